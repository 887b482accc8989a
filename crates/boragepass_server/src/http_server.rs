//! What the listeners for callers and operators share: limits, bodies and keys.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_h1::server::{ConnectionStatus, Server};
use async_std::channel::{Receiver, bounded};
use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::stream::StreamExt;
use boragepass_settings::HttpLimits;
use boragepass_types::AccessKey;
use futures::future::{Either, select};
use http_types::{Request, Response, StatusCode};
use serde_json::Value;

use crate::tasks::Tasks;

const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const CLOSE_AFTER_REFUSAL: Duration = Duration::from_millis(500);

/// Accepts connections and hands their requests to `answer`.
pub(crate) async fn serve<F, Fut>(listener: TcpListener, limits: HttpLimits, tasks: Tasks, answer: F)
where
    F: Fn(TcpStream, Request) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    let open = Arc::new(AtomicUsize::new(0));
    let mut incoming = listener.incoming();
    while let Some(stream) = incoming.next().await {
        let Ok(stream) = stream else {
            continue;
        };
        if open.fetch_add(1, Ordering::Relaxed) >= limits.connections_max {
            open.fetch_sub(1, Ordering::Relaxed);
            continue;
        }
        stream.set_nodelay(true).ok();
        let (open, answer) = (open.clone(), answer.clone());
        tasks.spawn(async move {
            serve_connection(stream, limits, answer).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve_connection<F, Fut>(stream: TcpStream, limits: HttpLimits, answer: F)
where
    F: Fn(TcpStream, Request) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    let (started, has_started) = bounded(1);
    let for_answers = stream.clone();
    let endpoint = move |request: Request| {
        // The head is complete; the channel holds one note a request.
        started.try_send(()).ok();
        let answer = answer(for_answers.clone(), request);
        async move { Ok(answer.await) }
    };
    let mut server = Server::new(stream.clone(), endpoint);
    while has_next_request(&stream).await {
        let one = server.accept_one();
        let slow_head = wait_for_slow_head(&has_started, limits);
        futures::pin_mut!(one, slow_head);
        match select(one, slow_head).await {
            Either::Left((Ok(ConnectionStatus::KeepAlive), _)) => {}
            // A connection that breaks the protocol or its limits is closed.
            Either::Left(_) | Either::Right(_) => return,
        }
    }
}

/// Waits for the first byte of the next request.
async fn has_next_request(stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    matches!(timeout(IDLE_TIMEOUT, stream.peek(&mut byte)).await, Ok(Ok(1)))
}

/// Ends when a head has taken too long, never once it is complete.
async fn wait_for_slow_head(has_started: &Receiver<()>, limits: HttpLimits) {
    let within = Duration::from_millis(limits.head_timeout_ms.0);
    if timeout(within, has_started.recv()).await.is_ok() {
        futures::future::pending::<()>().await;
    }
}

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    TooLarge,
    TooSlow,
    Broken,
}

impl BodyError {
    /// Status and reason for the sender.
    pub(crate) fn describe(self, limits: &HttpLimits) -> (StatusCode, String) {
        match self {
            Self::TooLarge => {
                (StatusCode::PayloadTooLarge, format!("the body is longer than {} bytes", limits.body_bytes_max))
            }
            Self::TooSlow => {
                (StatusCode::RequestTimeout, format!("the body did not come within {}", limits.body_timeout_ms))
            }
            Self::Broken => (StatusCode::BadRequest, "the body broke off".to_owned()),
        }
    }
}

/// Reads a body within the limits.
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
        Ok(Err(_)) => Err(BodyError::Broken),
        Ok(Ok(_)) if bytes.len() as u64 > max => Err(BodyError::TooLarge),
        Ok(Ok(_)) => Ok(bytes),
    }
}

/// Closes a connection whose body is not read to its end, once the refusal is on its way.
pub(crate) fn close_soon(stream: TcpStream) {
    async_std::task::spawn(async move {
        async_std::task::sleep(CLOSE_AFTER_REFUSAL).await;
        stream.shutdown(Shutdown::Both).ok();
    });
}

/// Key that a request presents.
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

/// Value of a key in a query string.
pub(crate) fn query_value(request: &Request, key: &str) -> Option<String> {
    request.url().query_pairs().find(|(name, _)| name == key).map(|(_, value)| value.into_owned())
}
