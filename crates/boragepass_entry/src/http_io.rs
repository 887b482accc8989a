//! Sockets of async-std as hyper reads and writes them.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::net::TcpStream;
use futures::io::{AsyncRead, AsyncWrite};
use socket2::{SockRef, TcpKeepalive};

const READ_BYTES: usize = 8 * 1_024;
/// Time after which unacknowledged bytes close a connection: a partition or a silent connection
/// shows no other sign.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(2_000);
/// Idle time before the first keep-alive probe, and between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer that close a connection.
const PROBES_MAX: u32 = 2;

/// Socket of async-std under hyper.
#[derive(Debug)]
pub struct HttpIo(TcpStream);

impl HttpIo {
    /// Socket that notices a peer that went silent.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))?;
        let probes = TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL);
        socket.set_tcp_keepalive(&probes.with_retries(PROBES_MAX))?;
        Ok(Self(stream))
    }
}

impl hyper::rt::Read for HttpIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; READ_BYTES];
        let len = buffer.remaining().min(READ_BYTES);
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
