//! HTTP server for fakes of the store and of endpoints; each server runs on a thread of its own.

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

/// Request as a fake server received it.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl ReceivedRequest {
    /// Value of a header, if it is present and visible ASCII.
    pub fn header(&self, name: &HeaderName) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Reply of a fake server.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(HeaderName, String)>,
    /// Chunks of the body. A single chunk is sent with a content length, several are streamed.
    pub body_chunks: Vec<Bytes>,
    /// Delay before the head is sent.
    pub head_delay: Duration,
    /// Delay between two chunks.
    pub chunk_interval: Duration,
}

impl Reply {
    /// Reply without headers, which is sent at once.
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        let body_chunks = vec![Bytes::from(body.into())];
        Self { status, headers: Vec::new(), body_chunks, head_delay: Duration::ZERO, chunk_interval: Duration::ZERO }
    }

    /// Reply with status 200, the request's attempt id and a signature, as an endpoint sends it.
    pub fn signed(request: &ReceivedRequest, body: impl Into<Vec<u8>>) -> Self {
        let id = request.header(&names::ATTEMPT_ID).unwrap_or_default().to_owned();
        let headers = vec![(names::ATTEMPT_ID, id), (names::SIGNATURE, "sealed".to_owned())];
        Self { headers, ..Self::new(200, body) }
    }
}

type Handler = Arc<dyn Fn(&ReceivedRequest) -> Option<Reply> + Send + Sync>;
type ReceivedRequests = Arc<Mutex<Vec<ReceivedRequest>>>;

/// Starts an HTTP server on a free loopback port and returns its address and the requests that it receives, of which it
/// retains the newest [`RETAINED_REQUESTS_MAX`]. If the handler returns `None`, the server closes the connection
/// without a reply.
pub fn serve(
    handler: impl Fn(&ReceivedRequest) -> Option<Reply> + Send + Sync + 'static,
) -> (SocketAddr, ReceivedRequests) {
    let received = Arc::new(Mutex::new(Vec::new()));
    let handler: Handler = Arc::new(handler);
    let listener = task::block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let retained = received.clone();
    std::thread::spawn(move || task::block_on(accept_connections(listener, handler, retained)));
    (address, received)
}

/// Most requests that a server retains.
const RETAINED_REQUESTS_MAX: usize = 4_096;

async fn accept_connections(listener: TcpListener, handler: Handler, received: ReceivedRequests) {
    let mut incoming = listener.incoming();
    while let Some(Ok(stream)) = incoming.next().await {
        task::spawn_local(serve_connection(stream, handler.clone(), received.clone()));
    }
}

/// the fake loses this reply
#[derive(Debug, displaydoc::Display)]
struct ReplyLost;

impl std::error::Error for ReplyLost {}

async fn serve_connection(stream: TcpStream, handler: Handler, received: ReceivedRequests) {
    let Ok(io) = HttpIo::new(stream) else {
        // The peer has already closed the connection.
        return;
    };
    let service = service_fn(|request: Request<Incoming>| {
        let (handler, received) = (handler.clone(), received.clone());
        async move {
            let (parts, body) = request.into_parts();
            let body = body.collect().await.map_err(|_| ReplyLost)?.to_bytes();
            let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
            let request = ReceivedRequest { path, headers: parts.headers, body };
            let reply = handler(&request);
            retain_request(&received, request);
            let reply = reply.ok_or(ReplyLost)?;
            task::sleep(reply.head_delay).await;
            Ok::<_, ReplyLost>(into_response(reply))
        }
    });
    // Without a reply the service fails, which closes the connection.
    http1::Builder::new().serve_connection(io, service).await.ok();
}

fn retain_request(received: &ReceivedRequests, request: ReceivedRequest) {
    let mut received = received.lock().unwrap_or_else(PoisonError::into_inner);
    if received.len() >= RETAINED_REQUESTS_MAX {
        received.remove(0);
    }
    received.push(request);
}

fn into_response(reply: Reply) -> Response<UnsyncBoxBody<Bytes, Infallible>> {
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
    *response.status_mut() = StatusCode::from_u16(status).expect("fakes reply with valid statuses");
    for (name, value) in headers {
        response.headers_mut().insert(name, value.parse().expect("fakes reply with valid headers"));
    }
    response
}
