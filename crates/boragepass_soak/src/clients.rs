//! Clients, which send requests of all kinds to random VMs and check the answers.
//!
//! A client keeps its connection until that fails or the VM closes it, and then picks a VM at random again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use boragepass_entry::HttpIo;
use boragepass_platform::names;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::endpoints::{EVENT_COUNT, plain_answer, stream_event};
use crate::ledger::{Ending, Ledger, RequestKind};
use crate::site::{API_KEY, HOST};

/// Time after which a client counts a request as unanswered; longer than the longest timeout of a route.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(9_500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest pause of a client before a request, in milliseconds.
const PAUSE_MAX_MS: u64 = 150;
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// One client, which has at most one request in progress.
pub(crate) struct Client {
    number: usize,
    vm_addresses: Vec<SocketAddr>,
    ledger: Arc<Ledger>,
    is_over: Arc<AtomicBool>,
    random: SmallRng,
    sent_count: u64,
    /// Number of the VM and sender of the open connection.
    connection: Option<(usize, SendRequest<Full<Bytes>>)>,
}

impl Client {
    pub(crate) fn new(
        number: usize,
        seed: u64,
        vm_addresses: Vec<SocketAddr>,
        ledger: Arc<Ledger>,
        is_over: Arc<AtomicBool>,
    ) -> Self {
        let random = SmallRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(number as u64));
        Self { number, vm_addresses, ledger, is_over, random, sent_count: 0, connection: None }
    }

    /// Sends requests until the run is over.
    pub(crate) async fn run(mut self) {
        while !self.is_over.load(Ordering::Relaxed) {
            task::sleep(Duration::from_millis(self.random.random_range(0..PAUSE_MAX_MS))).await;
            if self.connection.is_none() {
                self.connect().await;
            }
            let Some((vm, mut sender)) = self.connection.take() else {
                task::sleep(RECONNECT_DELAY).await;
                continue;
            };
            if sender.ready().await.is_err() {
                continue;
            }
            let is_reusable = self.send_one(vm, &mut sender).await;
            self.connection = is_reusable.then_some((vm, sender));
        }
    }

    async fn connect(&mut self) {
        let vm = self.random.random_range(0..self.vm_addresses.len());
        let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.vm_addresses[vm])).await else {
            return;
        };
        let Ok(io) = HttpIo::new(stream) else {
            return;
        };
        if let Ok((sender, connection)) = handshake(io).await {
            // A connection error also fails the request that uses the connection, which reports it.
            task::spawn_local(async move { connection.await.ok() });
            self.connection = Some((vm, sender));
        }
    }

    /// Sends one random request and records its ending; returns whether the connection can be reused.
    async fn send_one(&mut self, vm: usize, sender: &mut SendRequest<Full<Bytes>>) -> bool {
        self.sent_count += 1;
        let client_id = format!("{:04x}{:08x}", self.number, self.sent_count);
        let kind = match self.random.random_range(0..10) {
            0..=2 => RequestKind::Deposit,
            3..=6 => RequestKind::Status,
            _ => RequestKind::Review,
        };
        let body: Vec<u8> = format!("{kind} {client_id}").into_bytes();
        self.ledger.on_request_sent(&client_id, kind, vm, &body);
        let request = build_request(kind, &client_id, &body);
        let exchange = async {
            match sender.send_request(request).await {
                Ok(response) => read_answer(kind, &client_id, &body, response, &self.ledger).await,
                Err(error) => (Ending::Broken(error.to_string()), false),
            }
        };
        let (ending, is_reusable) = timeout(ANSWER_TIMEOUT, exchange).await.unwrap_or((Ending::Unanswered, false));
        self.ledger.on_request_ended(&client_id, ending);
        is_reusable
    }
}

fn build_request(kind: RequestKind, client_id: &str, body: &[u8]) -> Request<Full<Bytes>> {
    let (path, deadline_ms) = match kind {
        RequestKind::Deposit => ("/deposits/d", 1_000),
        RequestKind::Status => ("/status/s", 2_000),
        RequestKind::Review => ("/reviews/r", 8_000),
    };
    let builder = Request::post(path)
        .header("host", HOST)
        .header("authorization", format!("Bearer {API_KEY}"))
        .header(names::ATTEMPT_ID, client_id)
        .header(names::DEADLINE_MS, deadline_ms.to_string());
    let builder = match kind {
        RequestKind::Review => builder
            .header(names::TOKEN_COUNTS, "1500,40")
            .header(names::PROMPT_PARTS, "5c1e07a2:1000,91bd3f06:500")
            .header(names::PIECES, "2,1")
            .header(names::PIECE_KEY, client_id),
        RequestKind::Deposit | RequestKind::Status => builder,
    };
    builder.body(Full::new(Bytes::copy_from_slice(body))).expect("requests of the soak are valid")
}

/// Reads an answer and checks it; returns its ending and whether the connection can be reused.
async fn read_answer(
    kind: RequestKind,
    client_id: &str,
    body: &[u8],
    response: Response<Incoming>,
    ledger: &Ledger,
) -> (Ending, bool) {
    let (parts, answer_body) = response.into_parts();
    let status = parts.status.as_u16();
    let has_close = parts.headers.get("connection").is_some_and(|value| value == "close");
    let is_signed = parts.headers.contains_key(&names::SIGNATURE);
    let (text, read_error) = collect_text(answer_body).await;
    if status != 200 {
        return (Ending::Status(status), !has_close && read_error.is_none());
    }
    let expected = match kind {
        RequestKind::Deposit | RequestKind::Status => plain_answer(client_id, body),
        RequestKind::Review => (0..EVENT_COUNT).map(|number| stream_event(client_id, number)).collect(),
    };
    if !is_signed {
        ledger.record_violation(client_id, "status 200 without the endpoint's signature header");
    }
    match read_error {
        Some(_) if !expected.starts_with(&text) => {
            ledger.record_violation(
                client_id,
                format!("an incomplete answer differs from the start of the expected one: {text:?}"),
            );
        }
        None if text != expected => {
            ledger.record_violation(client_id, format!("a complete answer differs from the expected one: {text:?}"))
        }
        Some(_) | None => {}
    }
    match read_error {
        Some(error) => (Ending::Broken(error), false),
        None => (Ending::Answered, !has_close),
    }
}

/// Text of a body as far as it arrived, and the error that ended it early, if any.
async fn collect_text(mut body: Incoming) -> (String, Option<String>) {
    let mut bytes = Vec::new();
    let read_error = loop {
        match body.frame().await {
            Some(Ok(frame)) => bytes.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data)),
            Some(Err(error)) => break Some(error.to_string()),
            None => break None,
        }
    };
    (String::from_utf8_lossy(&bytes).into_owned(), read_error)
}
