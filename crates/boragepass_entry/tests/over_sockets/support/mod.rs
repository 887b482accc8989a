//! Fakes of the platform's store and endpoints, and an entry VM as a process of its own.

mod copying_engine;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use boragepass_entry::HttpIo;
use boragepass_path::{Endpoint, PieceOutcome};
use boragepass_platform::{
    Row, RowPage, decode_row_transaction, decode_stage_call, encode_changes, encode_endpoint, encode_rows,
    encode_stage_results, names,
};
pub(crate) use boragepass_soak::{ReceivedRequest, Reply, serve};
use bytes::Bytes;
pub(crate) use copying_engine::{Answer, Received, Runs, copying_engine, raw_answer, signed_answer};
use http::Request;
use http_body_util::{BodyExt, Full};

/// Starts a fake store whose configuration and endpoints do not change.
pub(crate) fn store(configuration: &str, endpoints: &[Endpoint]) -> SocketAddr {
    let mut tables: BTreeMap<&str, Vec<Row>> = BTreeMap::new();
    let value = Bytes::from(configuration.to_owned());
    let configuration_row = Row { key: names::CONFIGURATION_KEY.to_owned(), value, version: 1 };
    tables.insert(names::CONFIGURATION_TABLE, vec![configuration_row]);
    let endpoint_rows = endpoints.iter().map(|endpoint| Row {
        key: endpoint.id.to_string(),
        value: encode_endpoint(endpoint).into(),
        version: 2,
    });
    tables.insert(names::ENDPOINT_TABLE, endpoint_rows.collect());
    let (address, _) = serve(move |got| {
        if got.path.starts_with(names::ROWS_CHANGE_PATH) {
            decode_row_transaction(&got.body).expect("a readable change");
            return Some(Reply::new(200, r#"{"ver":3,"nowMs":1}"#));
        }
        let table = tables.keys().find(|table| got.path.contains(&format!("table={table}&")));
        let rows = table.and_then(|table| tables.get(table)).cloned().unwrap_or_default();
        if got.path.contains("waitMs=") {
            let no_changes = encode_changes("", &RowPage::last(Vec::new(), 3));
            return Some(Reply { head_delay: Duration::from_millis(500), ..Reply::new(200, no_changes) });
        }
        Some(Reply::new(200, encode_rows(table.copied().unwrap_or_default(), &RowPage::last(rows, 3))))
    });
    address
}

/// Starts a fake stage endpoint that computes every piece. Its results are numbered from zero.
pub(crate) fn stage_endpoint() -> (SocketAddr, Arc<Mutex<Vec<ReceivedRequest>>>) {
    let result_count = AtomicU64::new(0);
    serve(move |got| {
        if got.path.starts_with(names::STAGE_FREE_PATH) {
            return Some(Reply::new(200, ""));
        }
        let entries = decode_stage_call(&got.body).expect("a readable call");
        let results: Vec<PieceOutcome> = entries
            .iter()
            .map(|_| {
                PieceOutcome::Computed(format!("10.0.0.1:1/{}", result_count.fetch_add(1, Ordering::Relaxed)).into())
            })
            .collect();
        Some(Reply::new(200, encode_stage_results(&results)))
    })
}

/// Entry VM as a process of its own, which is killed on drop.
pub(crate) struct EntryVm {
    process: Child,
    settings_path: PathBuf,
    addresses: BTreeMap<String, SocketAddr>,
    log_lines: Arc<Mutex<Vec<String>>>,
}

impl EntryVm {
    pub(crate) fn start(store: SocketAddr) -> Self {
        Self::start_with(store, &[])
    }

    /// Starts a VM whose settings differ from the fixture in some lines, given as the old and the new line.
    pub(crate) fn start_with(store: SocketAddr, changed_lines: &[(&str, String)]) -> Self {
        static STARTED_VMS: AtomicU64 = AtomicU64::new(0);
        let number = STARTED_VMS.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("boragepass-entry-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let path = folder.join("settings.ini");
        let mut settings = include_str!("../../fixtures/settings.ini").replace("STORE", &store.to_string());
        for (old_line, new_line) in changed_lines {
            settings = settings.replace(old_line, new_line);
        }
        std::fs::write(&path, settings).expect("a settings file");
        let mut process = Command::new(env!("CARGO_BIN_EXE_boragepass-entry"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let output = process.stdout.take().expect("piped output");
        let log_lines = Arc::new(Mutex::new(Vec::new()));
        let mut reader = BufReader::new(output);
        let mut first_line = String::new();
        reader.read_line(&mut first_line).expect("a first line");
        let started: serde_json::Value = serde_json::from_str(&first_line).expect("a JSON line");
        let names = ["clients", "readiness", "addresses", "operators", "metrics", "relays"];
        let address = |name: &str| started[name].as_str().and_then(|text| text.parse().ok());
        let addresses = names.iter().filter_map(|name| Some(((*name).to_owned(), address(name)?))).collect();
        let reader_lines = log_lines.clone();
        std::thread::spawn(move || {
            for line in reader.lines().map_while(Result::ok) {
                reader_lines.lock().expect("the lock is not poisoned").push(line);
            }
        });
        Self { process, settings_path: path, addresses, log_lines }
    }

    /// Replaces a text in the settings file.
    pub(crate) fn change_settings(&self, old: &str, new: &str) {
        let settings = std::fs::read_to_string(&self.settings_path).expect("a settings file");
        std::fs::write(&self.settings_path, settings.replace(old, new)).expect("a settings file");
    }

    pub(crate) fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    /// Waits until this VM is ready, for 5 s at most.
    pub(crate) fn wait_ready(&self) {
        for _ in 0..100 {
            if get(self.address("readiness"), names::READINESS_PATH).status == 200 {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("not ready after 5 s");
    }

    /// Returns the log lines that contain the id of a request, after a wait for the log's flush.
    pub(crate) fn lines_of(&self, request: &str) -> Vec<String> {
        std::thread::sleep(Duration::from_millis(100));
        let log_lines = self.log_lines.lock().expect("the lock is not poisoned");
        log_lines.iter().filter(|line| line.contains(request)).cloned().collect()
    }

    pub(crate) fn process(&mut self) -> &mut Child {
        &mut self.process
    }
}

impl Drop for EntryVm {
    fn drop(&mut self) {
        // These fail if the process ended by itself.
        self.process.kill().ok();
        self.process.wait().ok();
    }
}

/// Returns a port that nothing listens on. It is below the range from which Linux assigns ports (from 32768 by
/// default), so that no other test's listener or connection gets it before it is bound.
pub(crate) fn free_port() -> u16 {
    static RETURNED_PORTS: AtomicU64 = AtomicU64::new(0);
    let first_port = u64::from(std::process::id());
    loop {
        let number = first_port + RETURNED_PORTS.fetch_add(1, Ordering::Relaxed);
        let port = 10_000 + u16::try_from(number % 20_000).expect("below 20,000");
        if TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)).is_ok() {
            return port;
        }
    }
}

/// Response that a client received.
#[derive(Debug)]
pub(crate) struct ClientAnswer {
    pub(crate) status: u16,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Result<String, String>,
}

/// Sends a request on a connection of its own.
pub(crate) fn send_request(address: SocketAddr, request: Request<Full<Bytes>>) -> ClientAnswer {
    task::block_on(async move {
        let stream = TcpStream::connect(address).await.expect("the VM listens");
        let io = HttpIo::new(stream).expect("a socket takes options");
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.expect("a handshake");
        task::spawn_local(async move {
            // The request below also fails with this error.
            connection.await.ok();
        });
        let response = sender.send_request(request).await.expect("an answer");
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned());
        ClientAnswer {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: body.map_err(|error| error.to_string()),
        }
    })
}

pub(crate) fn get(address: SocketAddr, path: &str) -> ClientAnswer {
    let request = Request::get(path).header("host", "any.example").body(Full::new(Bytes::new()));
    send_request(address, request.expect("a valid request"))
}
