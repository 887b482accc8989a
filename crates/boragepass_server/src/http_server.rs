//! HTTP server for callers and operators: accepts connections, enforces their limits, reads bodies and
//! keys, and builds JSON responses.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_h1::server::{ConnectionStatus, Server};
use async_std::channel::{Receiver, bounded};
use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::net::{Shutdown, TcpListener, TcpStream};
use boragepass_settings::HttpLimits;
use boragepass_types::AccessKey;
use futures::future::{Either, select};
use http_types::{Request, Response, StatusCode};
use serde_json::Value;

use crate::accept::{AcceptChange, Acceptor};
use crate::tasks::Tasks;

const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const CLOSE_DELAY_AFTER_REFUSAL: Duration = Duration::from_millis(500);

/// Accepts connections and passes their requests to `handler`. A connection over the limit is closed.
pub(crate) async fn serve<F, Fut>(listener: TcpListener, limits: HttpLimits, tasks: Tasks, handler: F)
where
    F: Fn(TcpStream, Request) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    let open_connections = Arc::new(AtomicUsize::new(0));
    let mut acceptor = Acceptor::new(listener, AcceptChange::log);
    loop {
        let stream = acceptor.accept().await;
        if open_connections.fetch_add(1, Ordering::Relaxed) >= limits.connections_max {
            open_connections.fetch_sub(1, Ordering::Relaxed);
            continue;
        }
        stream.set_nodelay(true).ok();
        let (open_connections, handler) = (open_connections.clone(), handler.clone());
        tasks.spawn(async move {
            serve_connection(stream, limits, handler).await;
            open_connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Serves the requests of a connection one after the other.
async fn serve_connection<F, Fut>(stream: TcpStream, limits: HttpLimits, handler: F)
where
    F: Fn(TcpStream, Request) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    let (head_complete_sender, head_complete) = bounded(1);
    let connection = stream.clone();
    let on_request = move |request: Request| {
        // The head is complete. The channel holds one message per request.
        head_complete_sender.try_send(()).ok();
        let response = handler(connection.clone(), request);
        async move { Ok(response.await) }
    };
    let mut server = Server::new(stream.clone(), on_request);
    while has_next_request(&stream).await {
        let request_served = server.accept_one();
        let head_timeout = wait_for_head_timeout(&head_complete, limits);
        futures::pin_mut!(request_served, head_timeout);
        match select(request_served, head_timeout).await {
            Either::Left((Ok(ConnectionStatus::KeepAlive), _)) => {}
            // A connection that violates the protocol or exceeds its limits is closed.
            Either::Left(_) | Either::Right(_) => return,
        }
    }
}

/// Waits for the first byte of the next request; false if the connection closed or stayed idle too long.
async fn has_next_request(stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    matches!(timeout(IDLE_TIMEOUT, stream.peek(&mut byte)).await, Ok(Ok(1)))
}

/// Returns when a head was not complete in time; never returns once it is complete.
async fn wait_for_head_timeout(head_complete: &Receiver<()>, limits: HttpLimits) {
    let time_limit = Duration::from_millis(limits.head_timeout_ms.0);
    if timeout(time_limit, head_complete.recv()).await.is_ok() {
        futures::future::pending::<()>().await;
    }
}

/// Why a request's body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    TooLarge,
    TooSlow,
    ReadFailed,
}

impl BodyError {
    /// Status and message of the response.
    pub(crate) fn status_and_message(self, limits: &HttpLimits) -> (StatusCode, String) {
        match self {
            Self::TooLarge => {
                (StatusCode::PayloadTooLarge, format!("the body is longer than {} bytes", limits.body_bytes_max))
            }
            Self::TooSlow => {
                (StatusCode::RequestTimeout, format!("the body did not arrive within {}", limits.body_timeout_ms))
            }
            Self::ReadFailed => (StatusCode::BadRequest, "the body could not be read to its end".to_owned()),
        }
    }
}

/// Reads the body of a request within the limits.
pub(crate) async fn read_body(request: &mut Request, limits: &HttpLimits) -> Result<Vec<u8>, BodyError> {
    let max = limits.body_bytes_max.0;
    if request.len().is_some_and(|len| len as u64 > max) {
        return Err(BodyError::TooLarge);
    }
    let mut bytes = Vec::new();
    let mut reader = request.take_body().into_reader().take(max + 1);
    let read = timeout(Duration::from_millis(limits.body_timeout_ms.0), reader.read_to_end(&mut bytes)).await;
    match read {
        Err(_) => Err(BodyError::TooSlow),
        Ok(Err(_)) => Err(BodyError::ReadFailed),
        Ok(Ok(_)) if bytes.len() as u64 > max => Err(BodyError::TooLarge),
        Ok(Ok(_)) => Ok(bytes),
    }
}

/// Closes a connection after a refusal has had time to be sent, as the rest of the body is not read.
pub(crate) fn close_after_refusal(stream: TcpStream) {
    async_std::task::spawn(async move {
        async_std::task::sleep(CLOSE_DELAY_AFTER_REFUSAL).await;
        stream.shutdown(Shutdown::Both).ok();
    });
}

/// Key that a request presents as bearer token.
pub(crate) fn bearer_key(request: &Request) -> Option<AccessKey> {
    let value = request.header("authorization")?.last().as_str();
    value.strip_prefix("Bearer ").map(AccessKey::new)
}

/// Response with a JSON body.
pub(crate) fn json_response(status: StatusCode, value: &impl serde::Serialize) -> Response {
    let mut response = Response::new(status);
    let text = serde_json::to_string(value).unwrap_or_else(|_| Value::Null.to_string());
    response.set_body(text);
    response.set_content_type(http_types::mime::JSON);
    response
}

/// Value of a parameter in a request's query string.
pub(crate) fn query_value(request: &Request, parameter: &str) -> Option<String> {
    request.url().query_pairs().find(|(name, _)| name == parameter).map(|(_, value)| value.into_owned())
}
