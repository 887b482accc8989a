//! HTTP/1.1 client with a pool of idle connections.
//!
//! The error of a failed call says whether the other side may have received part of the request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures::FutureExt;
use http_types::{Method, Request, Response, StatusCode, Url};

const IDLE_CONNECTIONS_PER_ADDRESS_MAX: usize = 64;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call gave no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum CallError {
    /// could not connect; no byte was sent
    NotSent,
    /// the connection failed or timed out after a byte may have been sent
    ConnectionLost,
    /// the time to send had passed before a byte was sent
    Expired,
}

impl std::error::Error for CallError {}

/// Whether a call may use an idle connection of the pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionReuse {
    /// Uses an idle connection if there is one.
    Allowed,
    /// Always opens a new connection.
    Never,
}

/// HTTP client whose clones share a pool of idle connections.
#[derive(Debug, Clone, Default)]
pub struct HttpClient {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<TcpStream>>>>,
}

/// Response and its connection, which may still hold the rest of the body.
pub(crate) struct OpenExchange {
    pub(crate) response: Response,
    stream: TcpStream,
    address: SocketAddr,
}

impl HttpClient {
    fn pop_idle(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().expect("no holder of this lock panics");
        idle.get_mut(&address)?.pop()
    }

    /// Returns a connection to the pool. The response must have been read to its end.
    pub(crate) fn return_to_pool(&self, exchange: OpenExchange) {
        let mut idle = self.idle.lock().expect("no holder of this lock panics");
        let streams = idle.entry(exchange.address).or_default();
        if streams.len() < IDLE_CONNECTIONS_PER_ADDRESS_MAX {
            streams.push(exchange.stream);
        }
    }

    /// Drops the idle connections to an address, which have probably failed as well.
    fn drop_idle(&self, address: SocketAddr) {
        self.idle.lock().expect("no holder of this lock panics").remove(&address);
    }

    async fn connect(&self, address: SocketAddr) -> Result<TcpStream, CallError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| CallError::NotSent)?.map_err(|_| CallError::NotSent)?;
        stream.set_nodelay(true).map_err(|_| CallError::NotSent)?;
        Ok(stream)
    }

    /// Whether an idle connection is usable: the other side has neither closed it nor sent anything.
    fn is_open(stream: &TcpStream) -> bool {
        let mut byte = [0_u8; 1];
        stream.peek(&mut byte).now_or_never().is_none()
    }

    /// Takes a connection from the pool or opens one. The other side may close an idle connection just
    /// as a request is sent on it, so a call that must not be repeated opens a new one.
    async fn connection(&self, address: SocketAddr, reuse: ConnectionReuse) -> Result<TcpStream, CallError> {
        if reuse == ConnectionReuse::Never {
            return self.connect(address).await;
        }
        while let Some(stream) = self.pop_idle(address) {
            if Self::is_open(&stream) {
                return Ok(stream);
            }
        }
        self.connect(address).await
    }

    /// Sends a request, unless `may_send` is false once the connection is open, and returns once the
    /// response's head is read.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: String,
        reuse: ConnectionReuse,
        may_send: impl Fn() -> bool,
    ) -> Result<OpenExchange, CallError> {
        let request = new_request(address, method, path, body)?;
        self.send(address, request, reuse, may_send).await
    }

    async fn send(
        &self,
        address: SocketAddr,
        request: Request,
        reuse: ConnectionReuse,
        may_send: impl Fn() -> bool,
    ) -> Result<OpenExchange, CallError> {
        let stream = self.connection(address, reuse).await?;
        if !may_send() {
            return Err(CallError::Expired);
        }
        let response = async_h1::connect(stream.clone(), request).await.map_err(|_| {
            self.drop_idle(address);
            CallError::ConnectionLost
        })?;
        Ok(OpenExchange { response, stream, address })
    }

    /// Sends a request and reads the whole response. A timeout counts as a lost connection, because
    /// bytes may have been sent.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: String,
        time_limit: Duration,
    ) -> Result<(StatusCode, String), CallError> {
        let request = new_request(address, method, path, body)?;
        self.exchange_request(address, request, time_limit).await
    }

    /// Like [`Self::exchange`], with a key as bearer token.
    pub async fn exchange_with_key(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: String,
        time_limit: Duration,
        key: &str,
    ) -> Result<(StatusCode, String), CallError> {
        let mut request = new_request(address, method, path, body)?;
        request.insert_header("authorization", format!("Bearer {key}"));
        self.exchange_request(address, request, time_limit).await
    }

    async fn exchange_request(
        &self,
        address: SocketAddr,
        request: Request,
        time_limit: Duration,
    ) -> Result<(StatusCode, String), CallError> {
        let whole_exchange = async {
            let mut exchange = self.send(address, request, ConnectionReuse::Allowed, || true).await?;
            let text = exchange.response.body_string().await.map_err(|_| CallError::ConnectionLost)?;
            let status = exchange.response.status();
            self.return_to_pool(exchange);
            Ok((status, text))
        };
        timeout(time_limit, whole_exchange).await.map_err(|_| CallError::ConnectionLost)?
    }
}

fn new_request(address: SocketAddr, method: Method, path: &str, body: String) -> Result<Request, CallError> {
    let url = Url::parse(&format!("http://{address}{path}")).map_err(|_| CallError::NotSent)?;
    let mut request = Request::new(method, url);
    request.set_body(body);
    Ok(request)
}
