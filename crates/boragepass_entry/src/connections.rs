//! HTTP/1.1 connections to endpoints and the store, kept open between exchanges.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
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
use crate::memory_budget::MemoryBudget;
use crate::reply_body::BodyReader;

/// Longest time to connect: a round trip between regions takes 40 ms, and a lost packet is sent again
/// after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Longest time for a probe to connect, which is not worth a second attempt.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// Idle time after which an endpoint that states none is assumed to close a connection.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(4);
/// Fraction of the stated or assumed idle time for which a connection is reused, since the endpoint began
/// to count it earlier.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// Most idle connections per address; further ones are closed.
const IDLE_CONNECTIONS_PER_ADDRESS_MAX: usize = 32;
/// Largest head of a reply, and what is read ahead of its body.
const REPLY_BUFFER_BYTES: usize = 64 * 1_024;
/// Header in which an endpoint states how long it keeps an idle connection open.
const KEEP_ALIVE_HEADER: &str = "keep-alive";

/// Why an exchange failed before the head of its reply.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum ExchangeError {
    /// no connection: {0}
    NotSent(String),
    /// connection lost: {0}
    ConnectionLost(hyper::Error),
}

/// One connection. Dropping it does not close it, since a task of its own drives the socket;
/// [`Self::close`] does.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task_abort: AbortHandle,
    address: SocketAddr,
    idle_timeout: Duration,
    is_reusable: bool,
    /// Requests that were sent on it, including the one in progress.
    exchanges: u32,
}

impl Connection {
    /// Closes the socket at once.
    pub(crate) fn close(self) {
        self.task_abort.abort();
    }

    /// Returns a handle that closes the socket.
    pub(crate) fn abort_handle(&self) -> AbortHandle {
        self.task_abort.clone()
    }

    /// Number of exchanges before the one in progress.
    pub(crate) fn earlier_exchanges(&self) -> u32 {
        self.exchanges.saturating_sub(1)
    }

    fn record_reply_headers(&mut self, headers: &HeaderMap) {
        let connection = headers.get(http::header::CONNECTION).and_then(|value| value.to_str().ok());
        if connection.is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
            self.is_reusable = false;
        }
        let keep_alive = headers.get(KEEP_ALIVE_HEADER).and_then(|value| value.to_str().ok());
        let seconds = keep_alive.and_then(|value| {
            value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse::<u64>().ok())
        });
        if let Some(seconds) = seconds {
            self.idle_timeout = Duration::from_secs(seconds);
        }
    }
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

/// Opens connections and keeps idle ones, by address.
#[derive(Clone)]
pub(crate) struct Connections {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    pub(crate) body_reader: BodyReader,
    excess_bytes: Rc<Cell<u64>>,
}

/// Whether the other side of an idle connection sent bytes that belong to no request.
fn has_excess_bytes(error: &hyper::Error) -> bool {
    // hyper has no predicate for this error; all others of a connection have a cause or a predicate.
    std::error::Error::source(error).is_none()
        && !(error.is_closed() || error.is_canceled() || error.is_incomplete_message() || error.is_timeout())
}

impl Connections {
    /// Creates connections whose replies draw on a budget.
    pub(crate) fn new(budget: MemoryBudget) -> Self {
        Self { idle: Rc::default(), body_reader: BodyReader::new(budget), excess_bytes: Rc::default() }
    }

    /// Number of idle connections on which bytes arrived that belong to no request.
    pub(crate) fn excess_bytes(&self) -> u64 {
        self.excess_bytes.get()
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let idle_connections = idle.get_mut(&address)?;
        while let Some(IdleConnection { connection, idle_since }) = idle_connections.pop() {
            let usable_for = connection.idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION);
            if idle_since.elapsed() < usable_for && connection.sender.is_ready() {
                return Some(connection);
            }
            connection.close();
        }
        None
    }

    /// Keeps a connection for reuse once its reply was read in full, or closes it if it is not usable.
    pub(crate) async fn release(&self, mut connection: Connection) {
        // hyper reads on for a moment after the last byte, so `ready` fails if bytes follow the reply.
        let ready = timeout(Duration::from_millis(50), connection.sender.ready()).await;
        if !connection.is_reusable || !matches!(ready, Ok(Ok(()))) {
            connection.close();
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let idle_connections = idle.entry(connection.address).or_default();
        if idle_connections.len() >= IDLE_CONNECTIONS_PER_ADDRESS_MAX {
            connection.close();
        } else {
            idle_connections.push(IdleConnection { connection, idle_since: Instant::now() });
        }
    }

    /// Keeps a connection if its address has no idle one, or closes it.
    pub(crate) async fn release_if_none_idle(&self, connection: Connection) {
        let has_idle = self.idle.borrow().get(&connection.address).is_some_and(|idle| !idle.is_empty());
        if has_idle {
            connection.close();
        } else {
            self.release(connection).await;
        }
    }

    /// Closes connections that were idle for too long or that the other side closed.
    pub(crate) fn close_expired(&self) {
        let mut idle = self.idle.borrow_mut();
        for idle_connections in idle.values_mut() {
            let (usable, unusable): (Vec<_>, Vec<_>) = std::mem::take(idle_connections).into_iter().partition(|idle| {
                idle.idle_since.elapsed() < idle.connection.idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION)
                    && idle.connection.sender.is_ready()
            });
            *idle_connections = usable;
            unusable.into_iter().for_each(|idle| idle.connection.close());
        }
        idle.retain(|_, idle_connections| !idle_connections.is_empty());
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, ExchangeError> {
        let not_sent = |error: String| ExchangeError::NotSent(error);
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(not_sent(error.to_string())),
            Err(_) => return Err(not_sent(format!("no answer within {CONNECT_TIMEOUT:?}"))),
        };
        let io = HttpIo::new(stream).map_err(|error| not_sent(error.to_string()))?;
        let handshake = hyper::client::conn::http1::Builder::new().max_buf_size(REPLY_BUFFER_BYTES).handshake(io);
        let (sender, connection) = handshake.await.map_err(|error| not_sent(error.to_string()))?;
        let (task, task_abort) = abortable(connection);
        let excess_bytes = self.excess_bytes.clone();
        task::spawn_local(async move {
            // An error during an exchange is also returned to the caller that waits for the reply.
            if let Ok(Err(error)) = task.await
                && has_excess_bytes(&error)
            {
                excess_bytes.set(excess_bytes.get() + 1);
            }
        });
        Ok(Connection {
            sender,
            task_abort,
            address,
            idle_timeout: IDLE_TIMEOUT_DEFAULT,
            is_reusable: true,
            exchanges: 0,
        })
    }

    /// Whether an address refuses a new connection; one that opens is closed again.
    pub(crate) async fn is_refused(&self, address: SocketAddr) -> bool {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
            Ok(Ok(_)) | Err(_) => false,
        }
    }

    /// Whether a connection to an address opens soon; it is closed again.
    pub(crate) async fn opens(&self, address: SocketAddr) -> bool {
        matches!(timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await, Ok(Ok(_)))
    }

    /// Takes an idle connection if that is allowed, or else opens one.
    pub(crate) async fn open(&self, address: SocketAddr, may_reuse: bool) -> Result<Connection, ExchangeError> {
        if may_reuse && let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        self.connect(address).await
    }

    /// Sends a request and waits for the head of its reply. If a reused connection was closed before
    /// anything was written, this fails with [`ExchangeError::NotSent`] and the caller may open a new one.
    pub(crate) async fn exchange(
        &self,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        connection.exchanges = connection.exchanges.saturating_add(1);
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                connection.record_reply_headers(response.headers());
                Ok(response)
            }
            Err(mut error) => match error.take_message() {
                Some(_) => Err(ExchangeError::NotSent("connection closed before it was used".to_owned())),
                None => Err(ExchangeError::ConnectionLost(error.into_error())),
            },
        }
    }
}
