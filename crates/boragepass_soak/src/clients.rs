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

use crate::configurations::Configurations;
use crate::endpoints::{EVENT_COUNT, VERSIONS, plain_answer, stream_event};
use crate::ledger::{Ending, Ledger, RequestKind};
use crate::site::{API_KEY, HOST, extra_prefix};

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
    configurations: Arc<Configurations>,
    random: SmallRng,
    sent_count: u64,
    /// Number of the VM and sender of the open connection.
    connection: Option<(usize, SendRequest<Full<Bytes>>)>,
    /// Stream that broke off and is taken up next.
    broken_stream: Option<BrokenStream>,
}

/// Stream that broke off after some events.
#[derive(Debug, Clone)]
struct BrokenStream {
    /// Id of the attempt that brought its first event.
    first_attempt: String,
    last_event: u64,
    version: &'static str,
}

impl Client {
    pub(crate) fn new(
        number: usize,
        seed: u64,
        vm_addresses: Vec<SocketAddr>,
        (ledger, is_over, configurations): (Arc<Ledger>, Arc<AtomicBool>, Arc<Configurations>),
    ) -> Self {
        let random = SmallRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(number as u64));
        let (connection, broken_stream) = (None, None);
        Self { number, vm_addresses, ledger, is_over, configurations, random, sent_count: 0, connection, broken_stream }
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
        let drawn_kind = match self.random.random_range(0..10) {
            0..=2 => RequestKind::Deposit,
            3..=6 => RequestKind::Status,
            _ => RequestKind::Review,
        };
        let resumed = self.broken_stream.take();
        let kind = if resumed.is_some() { RequestKind::ResumedReview } else { drawn_kind };
        let body: Vec<u8> = format!("{kind} {client_id}").into_bytes();
        self.ledger.on_request_sent(&client_id, kind, vm, &body);
        // Every second status request is on the route of one version; not drawn, so that seeds keep their requests.
        let is_probe = kind == RequestKind::Status && self.sent_count.is_multiple_of(2);
        let probe = is_probe.then(|| self.configurations.probe(vm, !self.sent_count.is_multiple_of(3)));
        let path = probe.map_or_else(|| kind.path().to_owned(), |probe| format!("{}s", extra_prefix(probe.version)));
        let request = build_request(kind, &path, &client_id, &body, resumed.as_ref());
        let sent = SentRequest { kind, client_id: &client_id, body: &body, resumed };
        let exchange = async {
            match sender.send_request(request).await {
                Ok(response) => read_answer(&sent, response, &self.ledger).await,
                Err(error) => (Ending::Broken(error.to_string()), false, None),
            }
        };
        let unanswered = (Ending::Unanswered, false, None);
        let (ending, is_reusable, broken_stream) = timeout(ANSWER_TIMEOUT, exchange).await.unwrap_or(unanswered);
        self.broken_stream = broken_stream;
        if let Some(probe) = probe {
            self.configurations.check(&client_id, probe, &ending);
            if ending == Ending::Status(404) {
                self.ledger.on_route_missing(&client_id);
                return is_reusable;
            }
        }
        self.ledger.on_request_ended(&client_id, ending);
        is_reusable
    }
}

/// Request whose answer a client waits for.
struct SentRequest<'a> {
    kind: RequestKind,
    client_id: &'a str,
    body: &'a [u8],
    resumed: Option<BrokenStream>,
}

impl SentRequest<'_> {
    /// Complete answers that are right; a stream may come from an endpoint of any version, or of that which began it.
    fn expected_answers(&self) -> Vec<(&'static str, String)> {
        let events = |stream: &str, from: u64, version: &'static str| {
            (version, (from..EVENT_COUNT).map(|number| stream_event(stream, number, version)).collect())
        };
        match (self.kind, &self.resumed) {
            (RequestKind::Deposit | RequestKind::Status, _) => vec![("", plain_answer(self.client_id, self.body))],
            (_, Some(stream)) => vec![events(&stream.first_attempt, stream.last_event + 1, stream.version)],
            (_, None) => VERSIONS.iter().map(|version| events(self.client_id, 0, version)).collect(),
        }
    }

    /// Stream that the client takes up next, if an answer of a version broke off after this text.
    fn broken_stream(&self, text: &str, version: &'static str) -> Option<BrokenStream> {
        let events = text.matches("\n\n").count() as u64;
        let (first_attempt, first_event) = match &self.resumed {
            Some(stream) => (stream.first_attempt.clone(), stream.last_event + 1),
            None => (self.client_id.to_owned(), 0),
        };
        let is_stream = matches!(self.kind, RequestKind::Review | RequestKind::ResumedReview);
        let last_event = (first_event + events).checked_sub(1)?;
        (is_stream && events > 0 && last_event + 1 < EVENT_COUNT).then_some(BrokenStream {
            first_attempt,
            last_event,
            version,
        })
    }
}

fn build_request(
    kind: RequestKind,
    path: &str,
    client_id: &str,
    body: &[u8],
    resumed: Option<&BrokenStream>,
) -> Request<Full<Bytes>> {
    let deadline_ms = match kind {
        RequestKind::Deposit => 1_000,
        RequestKind::Status => 2_000,
        RequestKind::Review | RequestKind::ResumedReview => 8_000,
    };
    let builder = Request::post(path)
        .header("host", HOST)
        .header("authorization", format!("Bearer {API_KEY}"))
        .header(names::ATTEMPT_ID, client_id)
        .header(names::DEADLINE_MS, deadline_ms.to_string());
    let builder = match resumed {
        Some(stream) => builder
            .header(names::LAST_EVENT_ID, stream.last_event.to_string())
            .header(names::FIRST_ATTEMPT_ID, &stream.first_attempt),
        None => builder,
    };
    let builder = match kind {
        RequestKind::Review | RequestKind::ResumedReview => builder
            .header(names::TOKEN_COUNTS, "1500,40")
            .header(names::PROMPT_PARTS, "5c1e07a2:1000,91bd3f06:500")
            .header(names::PIECES, "2,1")
            .header(names::PIECE_KEY, client_id),
        RequestKind::Deposit | RequestKind::Status => builder,
    };
    builder.body(Full::new(Bytes::copy_from_slice(body))).expect("requests of the soak are valid")
}

/// Reads an answer and checks it; returns its ending, whether the connection can be reused, and the stream to take up
/// next.
async fn read_answer(
    sent: &SentRequest<'_>,
    response: Response<Incoming>,
    ledger: &Ledger,
) -> (Ending, bool, Option<BrokenStream>) {
    let (parts, answer_body) = response.into_parts();
    let status = parts.status.as_u16();
    let has_close = parts.headers.get("connection").is_some_and(|value| value == "close");
    let is_signed = parts.headers.contains_key(&names::SIGNATURE);
    let (text, read_error) = collect_text(answer_body).await;
    if status != 200 {
        return (Ending::Status(status), !has_close && read_error.is_none(), None);
    }
    if !is_signed {
        ledger.record_violation(sent.client_id, "status 200 without the endpoint's signature header");
    }
    let expected_answers = sent.expected_answers();
    let Some(error) = read_error else {
        if expected_answers.iter().all(|(_, expected)| text != *expected) {
            let description = format!("a complete answer differs from the expected one: {text:?}");
            ledger.record_violation(sent.client_id, description);
        }
        return (Ending::Answered, !has_close, None);
    };
    let begun = expected_answers.iter().find(|(_, expected)| expected.starts_with(&text));
    if begun.is_none() {
        let description = format!("an incomplete answer differs from the start of the expected one: {text:?}");
        ledger.record_violation(sent.client_id, description);
    }
    let broken_stream = begun.and_then(|(version, _)| sent.broken_stream(&text, version));
    (Ending::Broken(error), false, broken_stream)
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
