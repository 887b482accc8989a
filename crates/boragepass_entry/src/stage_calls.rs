//! Requests that this VM sends to endpoints on its own: calls that compute pieces, calls that free results no longer
//! needed, and queries of what an endpoint states of itself.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use boragepass_path::{CallEntry, CallFailure, CallNumber, CallOutcome, Event, Record, SendTarget};
use boragepass_platform::{
    StageCallReply, decode_signals, decode_stage_call_reply, encode_free_results, encode_stage_call, names,
};
use boragepass_types::SpanMs;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST, HeaderValue};
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::Full;

use crate::connections::ExchangeError;
use crate::driver::Driver;

/// Longest time of a call that frees results; endpoints drop results by themselves after seconds.
const FREE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time of a query of an endpoint's statements, as long as a sound endpoint may be silent.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1_500);

fn post_request(path: &'static str, target: &SendTarget, body: Vec<u8>) -> Request<Full<Bytes>> {
    let mut request = request_to(target, Uri::from_static(path), body);
    *request.method_mut() = Method::POST;
    request.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    request
}

fn request_to(target: &SendTarget, uri: Uri, body: Vec<u8>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.uri_mut() = uri;
    let headers = request.headers_mut();
    if let Ok(host) = HeaderValue::from_str(&target.address.to_string()) {
        headers.insert(HOST, host);
    }
    if let Ok(id) = HeaderValue::from_str(target.endpoint.as_str()) {
        headers.insert(names::EXPECTED_ENDPOINT, id);
    }
    request
}

/// Starts the task of a call that computes pieces.
pub(crate) fn start_call(
    driver: &Rc<Driver>,
    call: CallNumber,
    target: SendTarget,
    entries: Vec<CallEntry>,
    timeout_ms: SpanMs,
) {
    let driver = driver.clone();
    task::spawn_local(async move {
        let call_timeout = Duration::from_millis(timeout_ms.0);
        let call_result = timeout(call_timeout, call_stage(&driver, &target, &entries)).await;
        let outcome = match call_result {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(failure)) => CallOutcome { results: Err(failure), signals: None },
            Err(_) => CallOutcome { results: Err(CallFailure::TimedOut), signals: None },
        };
        driver.dispatch(Event::CallEnded(call, outcome));
    });
}

async fn call_stage(
    driver: &Rc<Driver>,
    target: &SendTarget,
    entries: &[CallEntry],
) -> Result<CallOutcome, CallFailure> {
    let body = encode_stage_call(entries);
    let request = || post_request(names::STAGE_CALL_PATH, target, body.clone());
    let (status, headers, body) = exchange(driver, target, ConnectionChoice::New, request).await?;
    let reply = StageCallReply { status, headers: &headers, body: &body };
    Ok(decode_stage_call_reply(&reply, entries.len()))
}

/// Connection over which a request of this VM goes. Replies to these requests name none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionChoice {
    /// A new one, on which no copy of an earlier reply can arrive.
    New,
    /// One that was used before, if there is any. What the reply says must not matter.
    Reused,
}

/// Sends an idempotent request. It is sent again on a new connection if a reused one was closed before
/// anything was written.
async fn exchange(
    driver: &Rc<Driver>,
    target: &SendTarget,
    choice: ConnectionChoice,
    new_request: impl Fn() -> Request<Full<Bytes>>,
) -> Result<(StatusCode, HeaderMap, Bytes), CallFailure> {
    let connections = &driver.connections;
    let mut may_reuse = choice == ConnectionChoice::Reused;
    loop {
        let opened = connections.open(target.address, may_reuse).await;
        let mut connection = opened.map_err(|_| CallFailure::NotReached)?;
        let abort_handle = connection.abort_handle();
        let close_guard = CloseOnDrop(Some(abort_handle));
        match connections.exchange(&mut connection, new_request()).await {
            Ok(response) => {
                let (parts, incoming) = response.into_parts();
                let read = connections.body_reader.read(incoming).await;
                let Ok(body) = read else {
                    report_signals(driver, target, parts.status, &parts.headers);
                    return Err(CallFailure::ConnectionLost);
                };
                close_guard.disarm();
                connections.release_if_none_idle(connection).await;
                return Ok((parts.status, parts.headers, body));
            }
            Err(ExchangeError::NotSent(_)) if may_reuse => may_reuse = false,
            Err(ExchangeError::NotSent(_)) => return Err(CallFailure::NotReached),
            Err(ExchangeError::ConnectionLost(_)) => return Err(CallFailure::ConnectionLost),
        }
    }
}

/// Reports what an endpoint states of itself in a reply that no [`CallOutcome`] carries.
fn report_signals(driver: &Rc<Driver>, target: &SendTarget, status: StatusCode, headers: &HeaderMap) {
    if let Some(signals) = decode_signals(status, headers) {
        driver.dispatch(Event::EndpointStated(target.endpoint.clone(), signals));
    }
}

/// Closes a connection when its exchange is cancelled, which drops this guard.
struct CloseOnDrop(Option<futures::future::AbortHandle>);

impl CloseOnDrop {
    fn disarm(mut self) {
        self.0 = None;
    }
}

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        if let Some(abort_handle) = &self.0 {
            abort_handle.abort();
        }
    }
}

/// Starts the task of a call that frees results at the endpoint that computed them.
pub(crate) fn start_free_results(driver: &Rc<Driver>, target: SendTarget, handles: Vec<Arc<str>>) {
    let driver = driver.clone();
    task::spawn_local(async move {
        let body = encode_free_results(&handles);
        let request = || post_request(names::STAGE_FREE_PATH, &target, body.clone());
        let reply = timeout(FREE_TIMEOUT, exchange(&driver, &target, ConnectionChoice::Reused, request)).await;
        if let Ok(Ok((status, headers, _))) = &reply {
            report_signals(&driver, &target, *status, headers);
        }
        let is_freed = matches!(reply, Ok(Ok((StatusCode::OK, ..))));
        if !is_freed {
            let record = Record::new("results not given up, they lapse")
                .text("endpoint", &target.endpoint)
                .number("results", handles.len());
            driver.record(&record);
        }
    });
}

/// Starts the task of a health check that shows what an endpoint states of itself.
pub(crate) fn start_statements_query(driver: &Rc<Driver>, target: SendTarget, path: &str) {
    let uri = path.parse::<Uri>();
    let driver = driver.clone();
    task::spawn_local(async move {
        let signals = match uri {
            Ok(uri) => {
                let request = || request_to(&target, uri.clone(), Vec::new());
                let reply = timeout(QUERY_TIMEOUT, exchange(&driver, &target, ConnectionChoice::New, request)).await;
                reply.ok().and_then(Result::ok).and_then(|(status, headers, _)| decode_signals(status, &headers))
            }
            Err(error) => {
                driver.record(&Record::new("health check path is invalid").text("error", error));
                None
            }
        };
        driver.dispatch(Event::StatementsQueried(target.endpoint, signals));
    });
}
