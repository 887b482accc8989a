//! HTTP server for clients: reads each request, passes it to the request path and sends the
//! response. It also enforces the configured sizes of heads and bodies and closes idle connections.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use boragepass_path::{Answer, Arrival, Event, HttpLimits, Record, RefusalReason};
use boragepass_platform::{DecodeError, decode_arrival};
use boragepass_server::Acceptor;
use boragepass_types::SpanMs;
use bytes::Bytes;
use futures::channel::oneshot;
use futures::future::{AbortHandle, AbortRegistration, Abortable, Either, select};
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use rustix::process::{Resource, getrlimit};
use serde_json::json;

use crate::answer_body::{AnswerBody, DeliveryGuard};
use crate::driver::{ClientExchange, Driver, ResponseSource};
use crate::http_io::{HttpIo, WatchedIo};
use crate::memory_budget::{ConnectionHold, MemoryBudget};
use crate::page_server::accept_record;
use crate::sends::{CONFIGURATION_BEHIND_HEADER, RELAYED_ENDPOINT_HEADER, Reply, take_relay_origin};

/// Limits until a configuration is known; the configurations of both sites state the same.
const LIMITS_DEFAULT: HttpLimits = HttpLimits {
    head_bytes_max: 16 * 1_024,
    body_bytes_max: 4 * 1_024 * 1_024,
    head_timeout_ms: SpanMs(3_000),
    idle_timeout_ms: SpanMs(15_000),
};
/// Smallest buffer that hyper accepts.
const BUFFER_BYTES_MIN: usize = 8 * 1_024;
/// Longest time to receive the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Chunks of a streamed answer that wait for a slow client.
const QUEUED_CHUNKS_MAX: usize = 32;
/// Memory of a connection beside its buffer for heads.
const CONNECTION_BYTES: usize = 16 * 1_024;
/// Seconds after which a client may come again whose request found no memory: those who let this VM wait give way by then.
const MEMORY_RETRY_AFTER_S: &str = "1";
/// Interval at which a listener whose clients have all connections that they may have looks for room.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// connection closed without an answer
#[derive(Debug, displaydoc::Display)]
pub(crate) struct ConnectionClosed;

impl std::error::Error for ConnectionClosed {}

fn http_limits(driver: &Driver) -> HttpLimits {
    driver.with_path(|path, _| path.configuration().map_or(LIMITS_DEFAULT, |configuration| configuration.limits))
}

/// Who connects to a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestSource {
    /// Clients.
    Client,
    /// Other VMs, which relay requests of their clients.
    OtherVm,
}

impl RequestSource {
    /// Name of its listener in the log.
    fn listener_name(self) -> &'static str {
        match self {
            Self::Client => "clients",
            Self::OtherVm => "relays",
        }
    }
}

/// Accepts connections until the process ends.
pub(crate) async fn serve(driver: Rc<Driver>, listener: TcpListener, source: RequestSource) {
    let (open_connections, connections_max) = (Rc::new(Cell::new(0_u64)), client_connections_max(descriptor_limit()));
    let acceptor_driver = driver.clone();
    let mut acceptor =
        Acceptor::new(listener, move |change| acceptor_driver.record(&accept_record(change, source.listener_name())));
    loop {
        wait_for_room(&driver, &open_connections, connections_max).await;
        let stream = acceptor.accept().await;
        // Without memory for it, the connection is closed before anything of it is read.
        let Ok((io, connection, closing)) = hold_connection(&driver.budget, stream, connection_bytes(&driver)) else {
            continue;
        };
        open_connections.set(open_connections.get() + 1);
        let (driver, open_connections) = (driver.clone(), open_connections.clone());
        task::spawn_local(async move {
            let _closed = Abortable::new(serve_connection(driver, io, connection, source), closing).await;
            open_connections.set(open_connections.get() - 1);
        });
    }
}

/// Memory of a connection without content.
fn connection_bytes(driver: &Driver) -> usize {
    http_limits(driver).head_bytes_max.max(BUFFER_BYTES_MIN) + CONNECTION_BYTES
}

/// Charges a new connection; also returns what closes it when others need its memory.
pub(crate) fn hold_connection(
    budget: &MemoryBudget,
    stream: TcpStream,
    bytes: usize,
) -> Result<(WatchedIo, Rc<ConnectionHold>, AbortRegistration), ConnectionClosed> {
    let (io, blocked_since) = WatchedIo::new(HttpIo::new(stream).map_err(|_| ConnectionClosed)?);
    let (abort, closing) = AbortHandle::new_pair();
    let connection = budget.hold_connection(bytes, blocked_since, abort).map_err(|_| ConnectionClosed)?;
    Ok((io, connection, closing))
}

/// Descriptors that this process may have; none if there is no limit.
fn descriptor_limit() -> Option<u64> {
    getrlimit(Resource::Nofile).current
}

/// Connections that clients may have. The rest of the descriptors is for other VMs, the store, endpoints and pages.
fn client_connections_max(descriptor_limit: Option<u64>) -> u64 {
    descriptor_limit.map_or(u64::MAX, |limit| limit / 4 * 3)
}

/// Waits until there is room for another connection. Until then, clients wait in the listener's queue.
async fn wait_for_room(driver: &Driver, open_connections: &Cell<u64>, connections_max: u64) {
    if open_connections.get() < connections_max {
        return;
    }
    driver.record(&Record::new("connections of clients limited").number("open", open_connections.get()));
    while open_connections.get() >= connections_max {
        task::sleep(ROOM_POLL_INTERVAL).await;
    }
    driver.record(&Record::new("connections of clients no longer limited").number("open", open_connections.get()));
}

/// Requests in progress on a connection, and when the last one ended.
#[derive(Debug)]
struct ConnectionActivity {
    has_had_request: Cell<bool>,
    requests_in_progress: Cell<u32>,
    last_ended_at: Cell<Instant>,
}

impl ConnectionActivity {
    /// Whether no request has come since the connection was opened, for a time.
    fn has_no_request_for(&self, idle_timeout: Duration) -> bool {
        !self.has_had_request.get() && self.last_ended_at.get().elapsed() >= idle_timeout
    }

    fn is_idle_for(&self, idle_timeout: Duration) -> bool {
        self.requests_in_progress.get() == 0 && self.last_ended_at.get().elapsed() >= idle_timeout
    }
}

async fn serve_connection(driver: Rc<Driver>, io: WatchedIo, hold: Rc<ConnectionHold>, source: RequestSource) {
    let peer = io.peer_address();
    let limits = http_limits(&driver);
    let activity = Rc::new(ConnectionActivity {
        has_had_request: false.into(),
        requests_in_progress: 0.into(),
        last_ended_at: Instant::now().into(),
    });
    let service = service_fn(|request| {
        let (driver, activity, hold) = (driver.clone(), activity.clone(), hold.clone());
        async move {
            activity.has_had_request.set(true);
            activity.requests_in_progress.set(activity.requests_in_progress.get() + 1);
            let response = handle_request(&driver, request, peer, source, &hold).await;
            activity.requests_in_progress.set(activity.requests_in_progress.get().saturating_sub(1));
            activity.last_ended_at.set(Instant::now());
            response
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.head_bytes_max.max(BUFFER_BYTES_MIN));
    let mut connection = pin!(builder.serve_connection(io, service));
    let connection_shutdown = driver.connection_shutdown.clone();
    let mut is_closing = false;
    let idle_timeout = Duration::from_millis(limits.idle_timeout_ms.0);
    loop {
        let was_closing = is_closing;
        let shutdown_or_idle = async {
            if was_closing {
                futures::future::pending::<()>().await;
            }
            // Nothing is sent on this channel; it is closed when connections have to close.
            let _ended = timeout(idle_timeout, connection_shutdown.recv()).await;
        };
        match select(connection.as_mut(), pin!(shutdown_or_idle)).await {
            Either::Left(_ended) => return,
            Either::Right(((), _)) => {
                if activity.has_no_request_for(idle_timeout) {
                    // A client that has not sent a whole head would keep a graceful shutdown waiting.
                    return;
                }
                if connection_shutdown.is_closed() || activity.is_idle_for(idle_timeout) {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

async fn handle_request(
    driver: &Rc<Driver>,
    request: Request<Incoming>,
    peer: Option<SocketAddr>,
    source: RequestSource,
    hold: &Rc<ConnectionHold>,
) -> Result<Response<AnswerBody>, ConnectionClosed> {
    let response = answer_request(driver, request, peer, source, hold).await;
    response.map(|response| response.map(|body| body.on_connection(hold.clone())))
}

async fn answer_request(
    driver: &Rc<Driver>,
    request: Request<Incoming>,
    peer: Option<SocketAddr>,
    source: RequestSource,
    hold: &ConnectionHold,
) -> Result<Response<AnswerBody>, ConnectionClosed> {
    let (mut request_head, request_body) = request.into_parts();
    let relay_origin = match source {
        RequestSource::OtherVm => take_relay_origin(&mut request_head.headers),
        RequestSource::Client => None,
    };
    hold.set_receiving(true);
    let request_body = read_body(driver, request_body, hold).await;
    hold.set_receiving(false);
    let request_body = match request_body {
        Ok(request_body) => request_body,
        Err(StatusCode::SERVICE_UNAVAILABLE) => return Ok(memory_spent_response()),
        Err(status) => return Ok(error_response(driver, status, "body not read", peer)),
    };
    let request_number = driver.next_request_number();
    let arrival = match decode_arrival(request_number, &request_head, &request_body) {
        Ok(arrival) => Arrival { is_relayed: source == RequestSource::OtherVm, relay_origin, ..arrival },
        Err(error) => return Ok(malformed_request_response(driver, &error, peer)),
    };
    let (response_sender, response_receiver) = oneshot::channel();
    let (chunk_sender, chunk_receiver) = async_std::channel::bounded(QUEUED_CHUNKS_MAX);
    let exchange = ClientExchange {
        request_head: Rc::new(request_head),
        request_body,
        client_id: Rc::from(&*arrival.client_id),
        response_sender: Some(response_sender),
        chunk_sender: Some(chunk_sender),
        chunk_receiver: Some(chunk_receiver),
    };
    driver.exchanges.borrow_mut().insert(request_number, exchange);
    let mut guard = DeliveryGuard::new(driver.clone(), request_number);
    driver.dispatch(Event::RequestArrived(Box::new(arrival)));
    let Ok(response) = response_receiver.await else {
        return Err(ConnectionClosed);
    };
    guard.disarm();
    let guard = DeliveryGuard::new(driver.clone(), request_number);
    Ok(match response {
        ResponseSource::Local(answer) => local_response(answer, guard, source),
        ResponseSource::Endpoint(Reply::Whole { head, body }) => {
            to_response(head, AnswerBody::whole(body, Some(guard)), source)
        }
        ResponseSource::Endpoint(Reply::Stream { head, chunks: Some(chunks), .. }) => {
            to_response(head, AnswerBody::stream(chunks, guard), source)
        }
        ResponseSource::Endpoint(Reply::Stream { .. }) => return Err(ConnectionClosed),
    })
}

/// Reads the body of a request; fails with the status of the answer.
async fn read_body(driver: &Driver, body: Incoming, hold: &ConnectionHold) -> Result<Bytes, StatusCode> {
    let bytes_max = http_limits(driver).body_bytes_max;
    if body.size_hint().lower() > bytes_max as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let len_max = body.size_hint().upper().map_or(bytes_max, |upper| upper as usize).min(bytes_max);
    let mut body = Limited::new(body, bytes_max);
    let mut buffer = hold.buffer();
    let read_all = async {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
                true => StatusCode::PAYLOAD_TOO_LARGE,
                false => StatusCode::BAD_REQUEST,
            })?;
            if let Some(data) = frame.data_ref() {
                buffer.extend(data, len_max).map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
            }
        }
        Ok(())
    };
    timeout(BODY_TIMEOUT, read_all).await.unwrap_or(Err(StatusCode::REQUEST_TIMEOUT))?;
    Ok(buffer.into_bytes())
}

/// Answer to a request for whose body there is no memory; nothing of it has run. It is counted, and logged with others.
fn memory_spent_response() -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(error_body("memory spent"), None));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(MEMORY_RETRY_AFTER_S));
    response
}

fn to_response(
    mut head: boragepass_platform::ForwardedReplyHead,
    body: AnswerBody,
    source: RequestSource,
) -> Response<AnswerBody> {
    if source == RequestSource::Client {
        head.headers.remove(RELAYED_ENDPOINT_HEADER);
    }
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}

fn error_body(reason: &str) -> Bytes {
    Bytes::from(json!({ "error": reason }).to_string())
}

fn local_response(answer: Answer, guard: DeliveryGuard, source: RequestSource) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(error_body(&answer.reason.to_string()), Some(guard)));
    // Every status of a refusal is a valid one, so the fallback is not used.
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if source == RequestSource::OtherVm && answer.reason == RefusalReason::ConfigurationBehind {
        headers.insert(CONFIGURATION_BEHIND_HEADER, HeaderValue::from_static("1"));
    }
    if let Some(retry_after) = answer.retry_after_ms {
        let seconds = format!("{:.3}", retry_after.0 as f64 / 1e3);
        if let Ok(seconds) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, seconds);
        }
    }
    response
}

fn malformed_request_response(driver: &Driver, error: &DecodeError, peer: Option<SocketAddr>) -> Response<AnswerBody> {
    error_response(driver, StatusCode::BAD_REQUEST, &error.to_string(), peer)
}

fn error_response(driver: &Driver, status: StatusCode, reason: &str, peer: Option<SocketAddr>) -> Response<AnswerBody> {
    let client = peer.map(|peer| peer.to_string()).unwrap_or_default();
    let record =
        Record::new("request not read").number("status", status.as_u16()).text("reason", reason).text("client", client);
    driver.record(&record);
    let mut response = Response::new(AnswerBody::whole(error_body(reason), None));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
