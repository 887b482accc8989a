//! Calls of pieces to stage endpoints, and results that are given up.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use boragepass_path::{CallEntry, CallFailure, CallNumber, CallOutcome, Event, Record, SendTarget};
use boragepass_platform::{StageCallReply, decode_results, encode_call, encode_free, names};
use boragepass_types::SpanMs;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST, HeaderValue};
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full};

use crate::connections::{Connections, ExchangeError};
use crate::driver::Driver;

/// Longest time to give results up; they lapse by themselves after seconds.
const FREE_TIMEOUT: Duration = Duration::from_secs(2);

fn post(path: &'static str, target: &SendTarget, body: Vec<u8>) -> Request<Full<Bytes>> {
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

/// Starts a call.
pub(crate) fn start_call(
    driver: &Rc<Driver>,
    call: CallNumber,
    target: SendTarget,
    entries: Vec<CallEntry>,
    timeout_ms: SpanMs,
) {
    let driver = driver.clone();
    task::spawn_local(async move {
        let limit = Duration::from_millis(timeout_ms.0);
        let made = timeout(limit, make_call(&driver.connections, &target, &entries)).await;
        let outcome = match made {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(failure)) => CallOutcome { results: Err(failure), load: None },
            Err(_) => CallOutcome { results: Err(CallFailure::TimedOut), load: None },
        };
        driver.dispatch(Event::CallEnded(call, outcome));
    });
}

async fn make_call(
    connections: &Connections,
    target: &SendTarget,
    entries: &[CallEntry],
) -> Result<CallOutcome, CallFailure> {
    let body = encode_call(entries);
    let (status, headers, body) = exchange(connections, target, names::STAGE_CALL_PATH, body).await?;
    let reply = StageCallReply { status, headers: &headers, body: &body };
    Ok(decode_results(&reply, entries.len()))
}

/// Sends a request whose repetition does no harm, once more if a kept connection fails it.
async fn exchange(
    connections: &Connections,
    target: &SendTarget,
    path: &'static str,
    body: Vec<u8>,
) -> Result<(StatusCode, HeaderMap, Bytes), CallFailure> {
    let mut may_reuse = true;
    loop {
        let opened = connections.open(target.address, may_reuse).await;
        let mut connection = opened.map_err(|_| CallFailure::NotReached)?;
        let closer = connection.closer();
        let closes_if_given_up = CloseOnDrop(Some(closer));
        let request = post(path, target, body.clone());
        match connections.exchange(&mut connection, request).await {
            Ok(response) => {
                let (parts, incoming) = response.into_parts();
                let body = incoming.collect().await.map_err(|_| CallFailure::ConnectionLost)?.to_bytes();
                closes_if_given_up.keep();
                connections.give_back(connection).await;
                return Ok((parts.status, parts.headers, body));
            }
            Err(ExchangeError::NotSent(_)) if may_reuse => may_reuse = false,
            Err(ExchangeError::NotSent(_)) => return Err(CallFailure::NotReached),
            Err(ExchangeError::Lost(_)) => return Err(CallFailure::ConnectionLost),
        }
    }
}

/// Closes a socket when its exchange is given up.
struct CloseOnDrop(Option<futures::future::AbortHandle>);

impl CloseOnDrop {
    fn keep(mut self) {
        self.0 = None;
    }
}

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        if let Some(closer) = &self.0 {
            closer.abort();
        }
    }
}

/// Gives results up at their maker.
pub(crate) fn start_free(driver: &Rc<Driver>, target: SendTarget, handles: Vec<Arc<str>>) {
    let driver = driver.clone();
    task::spawn_local(async move {
        let exchange = exchange(&driver.connections, &target, names::STAGE_FREE_PATH, encode_free(&handles));
        let is_done = matches!(timeout(FREE_TIMEOUT, exchange).await, Ok(Ok((StatusCode::OK, ..))));
        if !is_done {
            let record = Record::new("results not given up, they lapse")
                .text("endpoint", &target.endpoint)
                .number("results", handles.len());
            driver.record(&record);
        }
    });
}
