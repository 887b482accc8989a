//! Clients, which use their connections until those are gone.

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

use crate::endpoints::{EVENTS, event, plain_answer};
use crate::ledger::{Ending, Kind, Ledger};
use crate::site::{HOST, KEY};

/// Time after which a client counts a request as unanswered: the longest timeout of a route and some.
const ANSWER_MAX: Duration = Duration::from_millis(9_500);
const CONNECT_MAX: Duration = Duration::from_millis(1_000);
/// Longest pause of a client between two requests.
const PAUSE_MAX_MS: u64 = 150;
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// One client.
pub(crate) struct Client {
    number: usize,
    vms: Vec<SocketAddr>,
    ledger: Arc<Ledger>,
    is_over: Arc<AtomicBool>,
    random: SmallRng,
    sent: u64,
    connection: Option<(usize, SendRequest<Full<Bytes>>)>,
}

impl Client {
    pub(crate) fn new(
        number: usize,
        seed: u64,
        vms: Vec<SocketAddr>,
        ledger: Arc<Ledger>,
        is_over: Arc<AtomicBool>,
    ) -> Self {
        let random = SmallRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(number as u64));
        Self { number, vms, ledger, is_over, random, sent: 0, connection: None }
    }

    /// Asks until the run is over.
    pub(crate) async fn run(mut self) {
        while !self.is_over.load(Ordering::Relaxed) {
            task::sleep(Duration::from_millis(self.random.random_range(0..PAUSE_MAX_MS))).await;
            if self.connection.is_none() {
                self.connect().await;
            }
            let Some((vm, mut sender)) = self.connection.take() else {
                task::sleep(RECONNECT_PAUSE).await;
                continue;
            };
            if sender.ready().await.is_err() {
                continue;
            }
            let is_kept = self.ask(vm, &mut sender).await;
            self.connection = is_kept.then_some((vm, sender));
        }
    }

    async fn connect(&mut self) {
        let vm = self.random.random_range(0..self.vms.len());
        let Ok(Ok(stream)) = timeout(CONNECT_MAX, TcpStream::connect(self.vms[vm])).await else {
            return;
        };
        let Ok(io) = HttpIo::new(stream) else {
            return;
        };
        if let Ok((sender, connection)) = handshake(io).await {
            // Errors reach the exchanges that they break.
            task::spawn_local(async move { connection.await.ok() });
            self.connection = Some((vm, sender));
        }
    }

    /// One request; whether the connection may be used again.
    async fn ask(&mut self, vm: usize, sender: &mut SendRequest<Full<Bytes>>) -> bool {
        self.sent += 1;
        let client_id = format!("{:04x}{:08x}", self.number, self.sent);
        let kind = match self.random.random_range(0..10) {
            0..=2 => Kind::Deposit,
            3..=6 => Kind::Status,
            _ => Kind::Review,
        };
        let body: Vec<u8> = format!("{kind} {client_id}").into_bytes();
        self.ledger.on_sent(&client_id, kind, vm, &body);
        let request = request(kind, &client_id, &body);
        let exchange = async {
            match sender.send_request(request).await {
                Ok(response) => read(kind, &client_id, &body, response, &self.ledger).await,
                Err(error) => (Ending::Broken(error.to_string()), false),
            }
        };
        let (ending, is_kept) = timeout(ANSWER_MAX, exchange).await.unwrap_or((Ending::Unanswered, false));
        self.ledger.on_end(&client_id, ending);
        is_kept
    }
}

fn request(kind: Kind, client_id: &str, body: &[u8]) -> Request<Full<Bytes>> {
    let (path, deadline_ms) = match kind {
        Kind::Deposit => ("/deposits/d", 1_000),
        Kind::Status => ("/status/s", 2_000),
        Kind::Review => ("/reviews/r", 8_000),
    };
    let builder = Request::post(path)
        .header("host", HOST)
        .header("authorization", format!("Bearer {KEY}"))
        .header(names::ATTEMPT_ID, client_id)
        .header(names::DEADLINE_MS, deadline_ms.to_string());
    let builder = match kind {
        Kind::Review => builder
            .header(names::TOKEN_COUNTS, "1500,40")
            .header(names::PROMPT_PARTS, "5c1e07a2:1000,91bd3f06:500")
            .header(names::PIECES, "2,1")
            .header(names::PIECE_KEY, client_id),
        Kind::Deposit | Kind::Status => builder,
    };
    builder.body(Full::new(Bytes::copy_from_slice(body))).expect("requests of the soak are valid")
}

/// Reads an answer and checks it; whether the connection may be used again.
async fn read(
    kind: Kind,
    client_id: &str,
    body: &[u8],
    response: Response<Incoming>,
    ledger: &Ledger,
) -> (Ending, bool) {
    let (parts, answer) = response.into_parts();
    let status = parts.status.as_u16();
    let has_close = parts.headers.get("connection").is_some_and(|value| value == "close");
    let is_signed = parts.headers.contains_key(&names::SIGNATURE);
    let (text, broken) = collect(answer).await;
    if status != 200 {
        return (Ending::Status(status), !has_close && broken.is_none());
    }
    let expected = match kind {
        Kind::Deposit | Kind::Status => plain_answer(client_id, body),
        Kind::Review => (0..EVENTS).map(|number| event(client_id, number)).collect(),
    };
    if !is_signed {
        ledger.violate(client_id, "a success without the endpoint's signature");
    }
    match broken {
        Some(_) if !expected.starts_with(&text) => {
            ledger.violate(client_id, format!("the start of an answer is wrong: {text:?}"));
        }
        None if text != expected => ledger.violate(client_id, format!("an answer looks whole but is not: {text:?}")),
        Some(_) | None => {}
    }
    match broken {
        Some(error) => (Ending::Broken(error), false),
        None => (Ending::Answered, !has_close),
    }
}

/// Text of a body, and why it broke off, if it did.
async fn collect(mut body: Incoming) -> (String, Option<String>) {
    let mut bytes = Vec::new();
    let broken = loop {
        match body.frame().await {
            Some(Ok(frame)) => bytes.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data)),
            Some(Err(error)) => break Some(error.to_string()),
            None => break None,
        }
    };
    (String::from_utf8_lossy(&bytes).into_owned(), broken)
}
