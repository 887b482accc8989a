//! HTTP calls over kept connections, which say whether a byte may have left.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures::FutureExt;
use http_types::{Method, Request, Response, StatusCode, Url};

const IDLE_PER_ADDRESS_MAX: usize = 64;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call gave no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum CallError {
    /// no connection; no byte left
    NotSent,
    /// the connection failed after a byte may have left
    ConnectionLost,
    /// the time was over before a byte left
    Expired,
}

impl std::error::Error for CallError {}

/// Which connection a call takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// One that is kept, if there is one.
    Kept,
    /// A new one.
    Fresh,
}

/// Client that keeps connections.
#[derive(Debug, Clone, Default)]
pub struct HttpClient {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<TcpStream>>>>,
}

/// Response with the connection it came on.
pub(crate) struct Answer {
    pub(crate) response: Response,
    stream: TcpStream,
    address: SocketAddr,
}

impl HttpClient {
    fn take_idle(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().expect("no holder of this lock panics");
        idle.get_mut(&address)?.pop()
    }

    /// Keeps a connection whose response was read to its end.
    pub(crate) fn keep(&self, answer: Answer) {
        let mut idle = self.idle.lock().expect("no holder of this lock panics");
        let streams = idle.entry(answer.address).or_default();
        if streams.len() < IDLE_PER_ADDRESS_MAX {
            streams.push(answer.stream);
        }
    }

    /// Forgets connections to an address that failed.
    fn forget(&self, address: SocketAddr) {
        self.idle.lock().expect("no holder of this lock panics").remove(&address);
    }

    async fn connect(&self, address: SocketAddr) -> Result<TcpStream, CallError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| CallError::NotSent)?.map_err(|_| CallError::NotSent)?;
        stream.set_nodelay(true).map_err(|_| CallError::NotSent)?;
        Ok(stream)
    }

    /// Whether the other side has closed a kept connection.
    fn is_open(stream: &TcpStream) -> bool {
        let mut byte = [0_u8; 1];
        stream.peek(&mut byte).now_or_never().is_none()
    }

    /// Connection to use. A kept one may be closed by the other side at the very moment of use, so a
    /// call that may not be repeated takes a fresh one.
    async fn connection(&self, address: SocketAddr, reuse: Reuse) -> Result<TcpStream, CallError> {
        if reuse == Reuse::Fresh {
            return self.connect(address).await;
        }
        while let Some(stream) = self.take_idle(address) {
            if Self::is_open(&stream) {
                return Ok(stream);
            }
        }
        self.connect(address).await
    }

    /// Sends a request whose first byte leaves only if `may_send` still holds once a connection is
    /// there, and gives the response's head.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: String,
        reuse: Reuse,
        may_send: impl Fn() -> bool,
    ) -> Result<Answer, CallError> {
        let request = new_request(address, method, path, body)?;
        self.send(address, request, reuse, may_send).await
    }

    async fn send(
        &self,
        address: SocketAddr,
        request: Request,
        reuse: Reuse,
        may_send: impl Fn() -> bool,
    ) -> Result<Answer, CallError> {
        let stream = self.connection(address, reuse).await?;
        if !may_send() {
            return Err(CallError::Expired);
        }
        let response = async_h1::connect(stream.clone(), request).await.map_err(|_| {
            self.forget(address);
            CallError::ConnectionLost
        })?;
        Ok(Answer { response, stream, address })
    }

    /// Sends a request and reads the whole response.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: String,
        within: Duration,
    ) -> Result<(StatusCode, String), CallError> {
        let request = new_request(address, method, path, body)?;
        self.exchange_request(address, request, within).await
    }

    /// Like [`Self::exchange`], with a bearer key.
    pub async fn exchange_with_key(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: String,
        within: Duration,
        key: &str,
    ) -> Result<(StatusCode, String), CallError> {
        let mut request = new_request(address, method, path, body)?;
        request.insert_header("authorization", format!("Bearer {key}"));
        self.exchange_request(address, request, within).await
    }

    async fn exchange_request(
        &self,
        address: SocketAddr,
        request: Request,
        within: Duration,
    ) -> Result<(StatusCode, String), CallError> {
        let exchange = async {
            let mut answer = self.send(address, request, Reuse::Kept, || true).await?;
            let text = answer.response.body_string().await.map_err(|_| CallError::ConnectionLost)?;
            let status = answer.response.status();
            self.keep(answer);
            Ok((status, text))
        };
        timeout(within, exchange).await.map_err(|_| CallError::ConnectionLost)?
    }
}

fn new_request(address: SocketAddr, method: Method, path: &str, body: String) -> Result<Request, CallError> {
    let url = Url::parse(&format!("http://{address}{path}")).map_err(|_| CallError::NotSent)?;
    let mut request = Request::new(method, url);
    request.set_body(body);
    Ok(request)
}
