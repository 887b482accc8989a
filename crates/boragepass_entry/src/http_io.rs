//! Adapter that lets hyper read and write sockets of async-std.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

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
