//! Connections of clients.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::stream::StreamExt;
use async_std::task;
use boragepass_path::{Answer, Event, HttpLimits, Record};
use boragepass_platform::{DecodeError, decode_arrival};
use boragepass_types::SpanMs;
use bytes::Bytes;
use futures::channel::oneshot;
use futures::future::{Either, select};
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde_json::json;

use crate::answer_body::{AnswerBody, EndGuard};
use crate::driver::{Driver, Exchange, Outcome};
use crate::http_io::HttpIo;
use crate::sends::Reply;

/// Limits before a configuration is known; both sites state these.
const LIMITS_DEFAULT: HttpLimits = HttpLimits {
    head_bytes_max: 16 * 1_024,
    body_bytes_max: 4 * 1_024 * 1_024,
    head_timeout_ms: SpanMs(3_000),
    idle_timeout_ms: SpanMs(15_000),
};
/// Smallest buffer that hyper takes.
const BUFFER_BYTES_MIN: usize = 8 * 1_024;
/// Longest time for a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Parts of a streamed answer that wait for a slow client.
const PARTS_MAX: usize = 32;
/// Pause after the system had no descriptor for a new connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The connection has to be closed without an answer.
#[derive(Debug, displaydoc::Display)]
struct Closed;

impl std::error::Error for Closed {}

fn limits(driver: &Driver) -> HttpLimits {
    driver.read(|path, _| path.configuration().map_or(LIMITS_DEFAULT, |configuration| configuration.limits))
}

/// Accepts clients until the process ends.
pub(crate) async fn serve(driver: Rc<Driver>, listener: TcpListener) {
    let mut incoming = listener.incoming();
    while let Some(stream) = incoming.next().await {
        match stream {
            Ok(stream) => {
                let driver = driver.clone();
                task::spawn_local(async move { serve_connection(driver, stream).await });
            }
            Err(error) => {
                driver.record(&Record::new("connection not accepted").text("error", error));
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// When a connection last carried something, and whether it does.
#[derive(Debug)]
struct Activity {
    requests: std::cell::Cell<u32>,
    last: std::cell::Cell<Instant>,
}

impl Activity {
    fn is_idle_for(&self, idle: Duration) -> bool {
        self.requests.get() == 0 && self.last.get().elapsed() >= idle
    }
}

async fn serve_connection(driver: Rc<Driver>, stream: TcpStream) {
    let peer = stream.peer_addr().ok();
    let Ok(io) = HttpIo::new(stream) else {
        return;
    };
    let limits = limits(&driver);
    let activity = Rc::new(Activity { requests: 0.into(), last: Instant::now().into() });
    let service = service_fn(|request| {
        let (driver, activity) = (driver.clone(), activity.clone());
        async move {
            activity.requests.set(activity.requests.get() + 1);
            let answer = answer(&driver, request, peer).await;
            activity.requests.set(activity.requests.get().saturating_sub(1));
            activity.last.set(Instant::now());
            answer
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.head_bytes_max.max(BUFFER_BYTES_MIN));
    let mut connection = pin!(builder.serve_connection(io, service));
    let closed = driver.closed.clone();
    let mut is_closing = false;
    let idle = Duration::from_millis(limits.idle_timeout_ms.0);
    loop {
        let is_told = is_closing;
        let pause = async {
            if is_told {
                futures::future::pending::<()>().await;
            }
            // The channel never carries anything; it ends when connections shall be closed.
            let _ended = timeout(idle, closed.recv()).await;
        };
        match select(connection.as_mut(), pin!(pause)).await {
            Either::Left(_ended) => return,
            Either::Right(((), _)) => {
                if closed.is_closed() || activity.is_idle_for(idle) {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

async fn answer(
    driver: &Rc<Driver>,
    request: Request<Incoming>,
    peer: Option<SocketAddr>,
) -> Result<Response<AnswerBody>, Closed> {
    let (parts, body) = request.into_parts();
    let body = match read_body(driver, body).await {
        Ok(body) => body,
        Err(status) => return Ok(refusal(driver, status, "body not read", peer)),
    };
    let number = driver.next_request();
    let arrival = match decode_arrival(number, &parts, &body) {
        Ok(arrival) => arrival,
        Err(error) => return Ok(malformed(driver, &error, peer)),
    };
    let (sender, receiver) = oneshot::channel();
    let (parts_sender, parts_receiver) = async_std::channel::bounded(PARTS_MAX);
    let exchange = Exchange {
        parts: Rc::new(parts),
        body,
        client_id: Rc::from(&*arrival.client_id),
        answer: Some(sender),
        parts_sender: Some(parts_sender),
        parts_receiver: Some(parts_receiver),
    };
    driver.exchanges.borrow_mut().insert(number, exchange);
    let mut guard = EndGuard::new(driver.clone(), number);
    driver.dispatch(Event::RequestArrived(Box::new(arrival)));
    let Ok(outcome) = receiver.await else {
        return Err(Closed);
    };
    guard.disarm();
    let guard = EndGuard::new(driver.clone(), number);
    Ok(match outcome {
        Outcome::Own(answer) => own_answer(answer, guard),
        Outcome::Reply(Reply::Whole { head, body }) => respond(head, AnswerBody::whole(body, Some(guard))),
        Outcome::Reply(Reply::Stream { head, parts: Some(parts), .. }) => {
            respond(head, AnswerBody::stream(parts, guard))
        }
        Outcome::Reply(Reply::Stream { .. }) => return Err(Closed),
    })
}

async fn read_body(driver: &Driver, body: Incoming) -> Result<Bytes, StatusCode> {
    let limited = Limited::new(body, limits(driver).body_bytes_max);
    match timeout(BODY_TIMEOUT, limited.collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

fn respond(head: boragepass_platform::PassedHead, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}

fn error_body(reason: &str) -> Bytes {
    Bytes::from(json!({ "error": reason }).to_string())
}

fn own_answer(answer: Answer, guard: EndGuard) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(error_body(&answer.reason.to_string()), Some(guard)));
    // Every status of a refusal is a known one.
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = answer.retry_after_ms {
        let seconds = format!("{:.3}", after.0 as f64 / 1e3);
        if let Ok(seconds) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, seconds);
        }
    }
    response
}

fn malformed(driver: &Driver, error: &DecodeError, peer: Option<SocketAddr>) -> Response<AnswerBody> {
    refusal(driver, StatusCode::BAD_REQUEST, &error.to_string(), peer)
}

fn refusal(driver: &Driver, status: StatusCode, reason: &str, peer: Option<SocketAddr>) -> Response<AnswerBody> {
    let client = peer.map(|peer| peer.to_string()).unwrap_or_default();
    let record =
        Record::new("request not read").number("status", status.as_u16()).text("reason", reason).text("client", client);
    driver.record(&record);
    let mut response = Response::new(AnswerBody::whole(error_body(reason), None));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
