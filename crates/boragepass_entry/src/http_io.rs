//! Adapter that lets hyper read and write sockets of async-std.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use futures::io::{AsyncRead, AsyncWrite};
use socket2::{SockRef, TcpKeepalive};

const READ_CHUNK_BYTES: usize = 8 * 1_024;
/// Time after which unacknowledged bytes close a connection. A network partition or a
/// peer that went silent shows no other sign.
///
/// It also ends a connection at the first unanswered keep-alive probe that finds the peer silent for so long, whatever
/// number of probes is allowed. A sound peer may be silent for a second or so, after a second without traffic.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Idle time before the first TCP keep-alive probe, and between probes.
const KEEPALIVE_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes that closes a connection.
const KEEPALIVE_PROBES_MAX: u32 = 3;

/// TCP socket of async-std with the traits of hyper.
#[derive(Debug)]
pub struct HttpIo(TcpStream);

impl HttpIo {
    /// Wraps a socket and sets its options, so that a peer that went silent is noticed within seconds.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_PROBE_INTERVAL).with_interval(KEEPALIVE_PROBE_INTERVAL);
        socket.set_tcp_keepalive(&keepalive.with_retries(KEEPALIVE_PROBES_MAX))?;
        Ok(Self(stream))
    }
}

impl hyper::rt::Read for HttpIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let len = buffer.remaining().min(READ_CHUNK_BYTES);
        let read = Pin::new(&mut self.0).poll_read(context, &mut chunk[..len]);
        read.map_ok(|len| buffer.put_slice(&chunk[..len]))
    }
}

impl hyper::rt::Write for HttpIo {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_close(context)
    }
}

/// Socket that shows since when the other side has not read what is sent to it.
#[derive(Debug)]
pub(crate) struct WatchedIo {
    io: HttpIo,
    blocked_since: Rc<Cell<Option<Instant>>>,
}

impl WatchedIo {
    /// Watches a socket; the second value is when the other side stopped reading, if it has.
    pub(crate) fn new(io: HttpIo) -> (Self, Rc<Cell<Option<Instant>>>) {
        let blocked_since = Rc::default();
        (Self { io, blocked_since: Rc::clone(&blocked_since) }, blocked_since)
    }
}

impl WatchedIo {
    /// Address of the other side, if it is still connected.
    pub(crate) fn peer_address(&self) -> Option<SocketAddr> {
        self.io.0.peer_addr().ok()
    }
}

impl hyper::rt::Read for WatchedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(context, buffer)
    }
}

impl hyper::rt::Write for WatchedIo {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(context, bytes);
        let blocked_since = written.is_pending().then(|| self.blocked_since.get().unwrap_or_else(Instant::now));
        self.blocked_since.set(blocked_since);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}
