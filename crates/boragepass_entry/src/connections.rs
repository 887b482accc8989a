//! Kept connections to endpoints and the store.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use bytes::Bytes;
use futures::future::{AbortHandle, abortable};
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;

use crate::http_io::HttpIo;

/// Longest time for a connection: a round trip between regions takes 40 ms, a lost packet a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Idle time that is assumed where an endpoint states none.
const KEEP_ALIVE_DEFAULT: Duration = Duration::from_secs(4);
/// Share of the stated idle time for which a connection is used, since the endpoint's clock started earlier.
const KEEP_ALIVE_SHARE: f64 = 0.7;
/// Idle connections kept for one address.
const IDLE_MAX: usize = 32;
/// Header that states the idle time.
const KEEP_ALIVE: &str = "keep-alive";

/// Why an exchange brought no reply.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum ExchangeError {
    /// no connection: {0}
    NotSent(String),
    /// connection lost: {0}
    Lost(hyper::Error),
}

/// One connection. Dropping it does not close it; [`Self::close`] does.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    address: SocketAddr,
    keep_alive: Duration,
    may_be_kept: bool,
}

impl Connection {
    /// Closes the socket at once.
    pub(crate) fn close(self) {
        self.driver.abort();
    }

    /// Handle that closes the socket.
    pub(crate) fn closer(&self) -> AbortHandle {
        self.driver.clone()
    }

    fn note_reply(&mut self, headers: &HeaderMap) {
        let connection = headers.get(http::header::CONNECTION).and_then(|value| value.to_str().ok());
        if connection.is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
            self.may_be_kept = false;
        }
        let stated = headers.get(KEEP_ALIVE).and_then(|value| value.to_str().ok());
        let seconds = stated.and_then(|value| {
            value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse::<u64>().ok())
        });
        if let Some(seconds) = seconds {
            self.keep_alive = Duration::from_secs(seconds);
        }
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
}

/// Connections that are idle, by address.
#[derive(Clone, Default)]
pub(crate) struct Connections {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Idle>>>>,
}

impl Connections {
    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        while let Some(Idle { connection, since }) = kept.pop() {
            let usable_for = connection.keep_alive.mul_f64(KEEP_ALIVE_SHARE);
            if since.elapsed() < usable_for && connection.sender.is_ready() {
                return Some(connection);
            }
            connection.close();
        }
        None
    }

    /// Keeps a connection whose reply was read in full.
    pub(crate) async fn give_back(&self, mut connection: Connection) {
        // hyper reads on for a moment after the last byte, so bytes that follow a reply are seen here.
        let ready = timeout(Duration::from_millis(50), connection.sender.ready()).await;
        if !connection.may_be_kept || !matches!(ready, Ok(Ok(()))) {
            connection.close();
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(connection.address).or_default();
        if kept.len() >= IDLE_MAX {
            connection.close();
        } else {
            kept.push(Idle { connection, since: Instant::now() });
        }
    }

    /// Closes connections that were idle too long or closed by the other side.
    pub(crate) fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        for kept in idle.values_mut() {
            let (usable, unusable): (Vec<_>, Vec<_>) = std::mem::take(kept).into_iter().partition(|idle| {
                idle.since.elapsed() < idle.connection.keep_alive.mul_f64(KEEP_ALIVE_SHARE)
                    && idle.connection.sender.is_ready()
            });
            *kept = usable;
            unusable.into_iter().for_each(|idle| idle.connection.close());
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, ExchangeError> {
        let not_sent = |error: String| ExchangeError::NotSent(error);
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(not_sent(error.to_string())),
            Err(_) => return Err(not_sent(format!("no answer within {CONNECT_TIMEOUT:?}"))),
        };
        let io = HttpIo::new(stream).map_err(|error| not_sent(error.to_string()))?;
        let (sender, connection) =
            hyper::client::conn::http1::handshake(io).await.map_err(|error| not_sent(error.to_string()))?;
        // An error of the connection reaches whoever waits for a reply on it.
        let (driver, handle) = abortable(connection);
        task::spawn_local(async move {
            let _ended = driver.await;
        });
        Ok(Connection { sender, driver: handle, address, keep_alive: KEEP_ALIVE_DEFAULT, may_be_kept: true })
    }

    /// Opens a connection, or takes one that is idle.
    pub(crate) async fn open(&self, address: SocketAddr, may_reuse: bool) -> Result<Connection, ExchangeError> {
        if may_reuse && let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        self.connect(address).await
    }

    /// Sends a request and waits for the head of its reply. A kept connection that was closed before
    /// anything was written is replaced by a new one.
    pub(crate) async fn exchange(
        &self,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                connection.note_reply(response.headers());
                Ok(response)
            }
            Err(mut error) => match error.take_message() {
                Some(_) => Err(ExchangeError::NotSent("connection closed before it was used".to_owned())),
                None => Err(ExchangeError::Lost(error.into_error())),
            },
        }
    }
}
