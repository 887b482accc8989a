//! Calls to stage endpoints: those that compute pieces, and those that free results no longer needed.

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

fn post_request(path: &'static str, target: &SendTarget, body: Vec<u8>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    let headers = request.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
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
    let (status, headers, body) = exchange(driver, target, names::STAGE_CALL_PATH, body).await?;
    let reply = StageCallReply { status, headers: &headers, body: &body };
    Ok(decode_stage_call_reply(&reply, entries.len()))
}

/// Sends an idempotent request. It is sent again on a new connection if a reused one was closed before
/// anything was written.
async fn exchange(
    driver: &Rc<Driver>,
    target: &SendTarget,
    path: &'static str,
    body: Vec<u8>,
) -> Result<(StatusCode, HeaderMap, Bytes), CallFailure> {
    let connections = &driver.connections;
    let mut may_reuse = true;
    loop {
        let opened = connections.open(target.address, may_reuse).await;
        let mut connection = opened.map_err(|_| CallFailure::NotReached)?;
        let abort_handle = connection.abort_handle();
        let close_guard = CloseOnDrop(Some(abort_handle));
        let request = post_request(path, target, body.clone());
        match connections.exchange(&mut connection, request).await {
            Ok(response) => {
                let (parts, incoming) = response.into_parts();
                let read = connections.body_reader.read(incoming).await;
                let Ok(body) = read else {
                    report_signals(driver, target, parts.status, &parts.headers);
                    return Err(CallFailure::ConnectionLost);
                };
                close_guard.disarm();
                connections.release(connection).await;
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
        let exchange = exchange(&driver, &target, names::STAGE_FREE_PATH, encode_free_results(&handles));
        let reply = timeout(FREE_TIMEOUT, exchange).await;
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
