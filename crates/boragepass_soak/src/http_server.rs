//! HTTP server of a stand-in, on a thread of its own.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::stream::StreamExt;
use async_std::task;
use boragepass_entry::HttpIo;
use boragepass_platform::names;
use bytes::Bytes;
use http::{HeaderName, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;

/// Request that a stand-in got.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// Path with its query.
    pub path: String,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl ReceivedRequest {
    /// Text of a header.
    pub fn header(&self, name: &HeaderName) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Reply of a stand-in.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(HeaderName, String)>,
    /// Parts of the body; the reply has a length if there is one, else its parts come one after the other.
    pub body_chunks: Vec<Bytes>,
    /// Time until the head.
    pub head_delay: Duration,
    /// Time between two parts.
    pub chunk_interval: Duration,
}

impl Reply {
    /// Reply with a body.
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        let body_chunks = vec![Bytes::from(body.into())];
        Self { status, headers: Vec::new(), body_chunks, head_delay: Duration::ZERO, chunk_interval: Duration::ZERO }
    }

    /// Signed reply to a request.
    pub fn signed(got: &ReceivedRequest, body: impl Into<Vec<u8>>) -> Self {
        let id = got.header(&names::ATTEMPT_ID).unwrap_or_default().to_owned();
        let headers = vec![(names::ATTEMPT_ID, id), (names::SIGNATURE, "sealed".to_owned())];
        Self { headers, ..Self::new(200, body) }
    }
}

type Handler = Arc<dyn Fn(&ReceivedRequest) -> Option<Reply> + Send + Sync>;
type Seen = Arc<Mutex<Vec<ReceivedRequest>>>;

/// HTTP server on a free port of the loopback address; a handler that gives no reply loses the
/// connection. The requests that it got are kept in order, the newest [`SEEN_MAX`] of them.
pub fn serve(handler: impl Fn(&ReceivedRequest) -> Option<Reply> + Send + Sync + 'static) -> (SocketAddr, Seen) {
    let seen = Arc::new(Mutex::new(Vec::new()));
    let handler: Handler = Arc::new(handler);
    let listener = task::block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let kept = seen.clone();
    std::thread::spawn(move || task::block_on(accept(listener, handler, kept)));
    (address, seen)
}

/// Requests that a server keeps.
const SEEN_MAX: usize = 4_096;

async fn accept(listener: TcpListener, handler: Handler, seen: Seen) {
    let mut incoming = listener.incoming();
    while let Some(Ok(stream)) = incoming.next().await {
        task::spawn_local(answer(stream, handler.clone(), seen.clone()));
    }
}

/// the reply is lost
#[derive(Debug, displaydoc::Display)]
struct Lost;

impl std::error::Error for Lost {}

async fn answer(stream: TcpStream, handler: Handler, seen: Seen) {
    let Ok(io) = HttpIo::new(stream) else {
        // The peer closed the connection at once.
        return;
    };
    let service = service_fn(|request: Request<Incoming>| {
        let (handler, seen) = (handler.clone(), seen.clone());
        async move {
            let (parts, body) = request.into_parts();
            let body = body.collect().await.map_err(|_| Lost)?.to_bytes();
            let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
            let got = ReceivedRequest { path, headers: parts.headers, body };
            let reply = handler(&got);
            keep(&seen, got);
            let reply = reply.ok_or(Lost)?;
            task::sleep(reply.head_delay).await;
            Ok::<_, Lost>(response(reply))
        }
    });
    // A lost reply ends the connection.
    http1::Builder::new().serve_connection(io, service).await.ok();
}

fn keep(seen: &Seen, got: ReceivedRequest) {
    let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
    if seen.len() >= SEEN_MAX {
        seen.remove(0);
    }
    seen.push(got);
}

fn response(reply: Reply) -> Response<UnsyncBoxBody<Bytes, Infallible>> {
    let Reply { status, headers, mut body_chunks, chunk_interval, .. } = reply;
    let body = match body_chunks.len() {
        0 | 1 => Full::new(body_chunks.pop().unwrap_or_default()).boxed_unsync(),
        _ => {
            let chunks = futures::stream::unfold(body_chunks.into_iter().enumerate(), move |mut chunks| async move {
                let (index, chunk) = chunks.next()?;
                if index > 0 {
                    task::sleep(chunk_interval).await;
                }
                Some((Ok(Frame::data(chunk)), chunks))
            });
            StreamBody::new(chunks).boxed_unsync()
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).expect("stand-ins answer with valid statuses");
    for (name, value) in headers {
        response.headers_mut().insert(name, value.parse().expect("stand-ins answer with valid headers"));
    }
    response
}
