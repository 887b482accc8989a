//! Crowds of clients that do not behave: a VM lives on within the memory of its machine and answers ordinary clients.
//!
//! The memory and the limits are lowered so that small crowds are enough. One crowd runs at a time.

#[allow(dead_code, unused_imports, reason = "other tests use the rest")]
#[path = "over_sockets/support/mod.rs"]
mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use boragepass_path::Endpoint;
use boragepass_platform::names;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use support::{EntryVm, Reply, get, send_request, serve, store};

const CONFIGURATION: &str = include_str!("../../../platform/tests/fixtures/site.json");
/// Memory of the machine.
const MEMORY_MB: u64 = 64;
/// Largest body of a request.
const BODY_BYTES_MAX: usize = 2 * 1_024 * 1_024;
/// Clients of a crowd; their bodies are twice the memory in all.
const CLIENTS: usize = 64;
/// Descriptors that a VM may have open with a crowd: one a client, one an endpoint connection each, and its own.
const DESCRIPTORS_MAX: usize = 2 * CLIENTS + 64;
/// Size of an answer that a crowd does not read, several times what the system's socket buffers take.
const UNREAD_ANSWER_BYTES: usize = 12 * 1_024 * 1_024;
/// Longest time that a client of a crowd waits for the VM to take more.
const WRITE_PATIENCE: Duration = Duration::from_millis(700);
/// Tries of an ordinary client, which comes back after a refusal.
const ORDINARY_TRIES: u32 = 100;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// What a faulty engine sends without end after the begin of an answer.
const ENDLESS_BLOCK: &[u8] = &[b'x'; 65_536];
/// Begins of such answers: in the head, in place of a head, and in the body.
const ENDLESS_ANSWERS: [&str; 3] =
    ["HTTP/1.1 200 OK\r\nx-endless: ", "", "HTTP/1.1 200 OK\r\nID\r\nSIGNATURE: s\r\n\r\n"];

/// VM with lowered limits and an endpoint that answers ordinary requests at once and others with a long body.
struct Target {
    vm: EntryVm,
    _turn: MutexGuard<'static, ()>,
}

impl Target {
    fn start() -> Self {
        let turn = ONE_AT_A_TIME.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let (api, _) = serve(|got| {
            let is_long = got.path.contains("long");
            Some(Reply::signed(got, if is_long { "x".repeat(UNREAD_ANSWER_BYTES) } else { "sound".to_owned() }))
        });
        let configuration =
            CONFIGURATION.replace(r#""maxBodyBytes": 1000"#, &format!(r#""maxBodyBytes": {BODY_BYTES_MAX}"#));
        assert_ne!(configuration, CONFIGURATION);
        let mut endpoints = vec![endpoint("api", api), endpoint("rates", api)];
        let engines = ENDLESS_ANSWERS.map(|begin| endpoint("models", endless_engine(begin)));
        endpoints.extend(engines);
        let memory = format!("[node]\nmemory_mb = {MEMORY_MB}");
        let vm = EntryVm::start_with(store(&configuration, &endpoints), &[("[node]", memory)]);
        vm.wait_ready();
        Self { vm, _turn: turn }
    }

    /// Lets a crowd connect to a listener, each client from a thread of its own, and returns its open connections.
    fn meet(&self, listener: &str, behave: impl Fn(&mut TcpStream, usize) + Send + Clone + 'static) -> Vec<TcpStream> {
        let address = self.vm.address(listener);
        let clients = (0..CLIENTS).map(|number| {
            let behave = behave.clone();
            std::thread::spawn(move || {
                connect(address).inspect(|stream| behave(&mut stream.try_clone().expect("a handle"), number))
            })
        });
        let clients: Vec<_> = clients.collect();
        clients.into_iter().filter_map(|client| client.join().expect("no client panics")).collect()
    }

    /// Checks the VM while the crowd's connections are still open, and after they are closed.
    fn check(mut self, crowd: Vec<TcpStream>) {
        self.wait_until_settled();
        self.check_once();
        drop(crowd);
        self.check_once();
    }

    /// Waits until the VM has read what it will of the crowd's bytes.
    fn wait_until_settled(&mut self) {
        let (mut peak_kb, mut unchanged) = (0, 0);
        for _ in 0..100 {
            std::thread::sleep(Duration::from_millis(50));
            let peak_before_kb = std::mem::replace(&mut peak_kb, self.peak_kb());
            unchanged = if peak_kb == peak_before_kb { unchanged + 1 } else { 0 };
            if unchanged == 16 {
                return;
            }
        }
    }

    /// Largest memory that the process had so far.
    fn peak_kb(&mut self) -> u64 {
        let path = format!("/proc/{}/status", self.vm.process().id());
        let status = std::fs::read_to_string(path).expect("the process runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the peak is listed");
        peak.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    fn check_once(&mut self) {
        self.answer_ordinary_client();
        let peak_kb = self.peak_kb();
        let process = self.vm.process();
        assert!(process.try_wait().expect("its own child").is_none(), "the process lives");
        let folder = format!("/proc/{}/fd", process.id());
        let descriptors = std::fs::read_dir(folder).expect("the process runs").count();
        println!("peak {peak_kb} KB, {descriptors} descriptors");
        assert!(peak_kb < MEMORY_MB * 1_024, "{peak_kb} KB");
        assert!(descriptors < DESCRIPTORS_MAX, "{descriptors} descriptors");
    }

    fn answer_ordinary_client(&self) {
        let mut last_answer = None;
        for number in 0..ORDINARY_TRIES {
            let request = Request::post("/status/1")
                .header("host", "gigs.example")
                .header(names::ATTEMPT_ID, format!("ordinary-{number}"))
                .header(names::DEADLINE_MS, "2000")
                .header("authorization", "Bearer key-of-a-client")
                .body(Full::new(Bytes::from_static(b"body")))
                .expect("a valid request");
            let answer = send_request(self.vm.address("clients"), request);
            if answer.status == 200 && answer.body.as_deref() == Ok("sound") {
                assert_eq!(get(self.vm.address("readiness"), names::READINESS_PATH).status, 200);
                return;
            }
            last_answer = Some(answer);
            std::thread::sleep(Duration::from_millis(100));
        }
        panic!("an ordinary client got no answer: {last_answer:?}");
    }
}

fn endpoint(pool: &str, address: SocketAddr) -> Endpoint {
    Endpoint {
        id: format!("i-{pool}-{}", address.port()).parse().expect("a valid id"),
        pool: pool.parse().expect("a valid name"),
        address,
        failure_domain: "lagos-a".parse().expect("a valid name"),
        is_draining: false,
        slots: 200,
        started_at_unix_ms: 1,
        software_version: "1".parse().ok(),
        cold_left_ms: boragepass_types::SpanMs(0),
    }
}

/// Starts an engine whose answers have no end.
fn endless_engine(begin: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut connection in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut request = [0; 16_384];
                let read = connection.read(&mut request).unwrap_or_default();
                let text = String::from_utf8_lossy(&request[..read]).to_ascii_lowercase();
                let id = text.lines().find(|line| line.starts_with(names::ATTEMPT_ID.as_str())).unwrap_or_default();
                let begin = begin.replace("ID", id).replace("SIGNATURE", names::SIGNATURE.as_str());
                // Bounded, so that the thread ends even if the VM reads on.
                let is_begun = connection.write_all(begin.as_bytes()).is_ok();
                (0..1_000).take_while(|_| is_begun && connection.write_all(ENDLESS_BLOCK).is_ok()).for_each(drop);
            });
        }
    });
    address
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_write_timeout(Some(WRITE_PATIENCE)).expect("a socket takes options");
    stream.set_read_timeout(Some(WRITE_PATIENCE)).expect("a socket takes options");
    Some(stream)
}

/// Writes until all is written or the VM takes no more.
fn write(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    stream.write_all(bytes).is_ok()
}

/// Head of a request without pieces, for a route that has stages too.
fn head(path: &str, number: usize, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: gigs.example\r\n{}: crowd-{number}\r\n{}: 60000\r\n\
         authorization: Bearer key-of-a-client\r\n{}: 0,0\r\n{framing}\r\n\r\n",
        names::ATTEMPT_ID,
        names::DEADLINE_MS,
        names::PIECES
    )
}

/// Sends a body of legal size in pieces, all but its last byte.
fn send_all_but_the_last_byte(stream: &mut TcpStream, number: usize, piece_bytes: usize) {
    write(stream, head("/status/1", number, &format!("content-length: {BODY_BYTES_MAX}")).as_bytes());
    let body = vec![b'x'; BODY_BYTES_MAX - 1];
    for piece in body.chunks(piece_bytes) {
        if !write(stream, piece) {
            return;
        }
        if piece_bytes < BODY_BYTES_MAX {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Sends a chunked body of chunks of a size without its end.
fn send_chunks(stream: &mut TcpStream, number: usize, chunk_bytes: usize, chunks: usize) {
    write(stream, head("/status/1", number, "transfer-encoding: chunked").as_bytes());
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    // Many small chunks a write, as a client of its own library sends them.
    let per_write = (64 * 1_024 / chunk.len()).max(1);
    let mut left = chunks;
    while left > 0 {
        let count = per_write.min(left);
        if !write(stream, chunk.repeat(count).as_bytes()) {
            return;
        }
        left -= count;
    }
}

#[test]
fn large_bodies_that_stop_short_of_their_end_do_not_use_up_the_memory() {
    let target = Target::start();
    let crowd = target.meet("clients", |stream, number| send_all_but_the_last_byte(stream, number, BODY_BYTES_MAX));
    target.check(crowd);
}

#[test]
fn large_bodies_that_arrive_piece_by_piece_do_not_use_up_the_memory() {
    let target = Target::start();
    let crowd = target.meet("clients", |stream, number| send_all_but_the_last_byte(stream, number, 16 * 1_024));
    target.check(crowd);
}

#[test]
fn large_bodies_that_other_vms_seem_to_relay_do_not_use_up_the_memory() {
    let target = Target::start();
    let crowd = target.meet("relays", |stream, number| send_all_but_the_last_byte(stream, number, BODY_BYTES_MAX));
    target.check(crowd);
}

#[test]
fn bodies_in_large_chunks_without_end_do_not_use_up_the_memory() {
    let target = Target::start();
    let crowd = target.meet("clients", |stream, number| send_chunks(stream, number, 64 * 1_024, 31));
    target.check(crowd);
}

#[test]
fn bodies_in_very_small_chunks_without_end_do_not_use_up_the_memory() {
    let target = Target::start();
    let crowd = target.meet("clients", |stream, number| send_chunks(stream, number, 32, 60_000));
    target.check(crowd);
}

#[test]
fn bodies_far_over_the_limit_do_not_use_up_the_memory() {
    let target = Target::start();
    let crowd = target.meet("clients", |stream, number| {
        if number % 2 == 0 {
            write(stream, head("/status/1", number, "content-length: 1000000000").as_bytes());
            let block = vec![b'x'; 64 * 1_024];
            (0..200).take_while(|_| write(stream, &block)).for_each(drop);
        } else {
            send_chunks(stream, number, 64 * 1_024, 200);
        }
    });
    target.check(crowd);
}

#[test]
fn whole_bodies_of_many_clients_do_not_use_up_the_memory() {
    let target = Target::start();
    let crowd = target.meet("clients", |stream, number| {
        send_all_but_the_last_byte(stream, number, BODY_BYTES_MAX);
        write(stream, b"x");
        let mut answer = [0; 1_024];
        if let Err(error) = stream.read(&mut answer) {
            let is_closed =
                matches!(error.kind(), ErrorKind::ConnectionReset | ErrorKind::WouldBlock | ErrorKind::TimedOut);
            assert!(is_closed, "{error}");
        }
    });
    target.check(crowd);
}

#[test]
fn answers_that_nobody_reads_do_not_use_up_the_memory() {
    let target = Target::start();
    let crowd = target.meet("clients", |stream, number| {
        write(stream, head("/status/long", number, "content-length: 4").as_bytes());
        write(stream, b"body");
        std::thread::sleep(WRITE_PATIENCE);
    });
    target.check(crowd);
}

#[test]
fn answers_of_engines_without_end_do_not_use_up_the_memory() {
    let target = Target::start();
    let crowd = target.meet("clients", |stream, number| {
        write(stream, head("/reviews/7", number, "content-length: 4").as_bytes());
        write(stream, b"body");
        std::thread::sleep(WRITE_PATIENCE);
    });
    target.check(crowd);
}

#[test]
fn heads_that_stop_short_of_their_end_do_not_use_up_the_memory() {
    for listener in ["clients", "relays", "addresses", "operators", "metrics", "readiness"] {
        let target = Target::start();
        let crowd = target.meet(listener, |stream, _| {
            write(stream, format!("GET / HTTP/1.1\r\nhost: any.example\r\nx: {}", "x".repeat(15_000)).as_bytes());
        });
        target.check(crowd);
    }
}
