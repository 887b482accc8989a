//! Loopback TCP proxy for one link to a server. It forwards bytes, and delays, resets or holds back its connections
//! while a fault lasts.

use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;

/// How a link behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, derive_more::Display)]
pub enum LinkMode {
    /// Forwards bytes.
    #[default]
    #[display("passes")]
    Pass,
    /// Delays each chunk by some milliseconds.
    #[display("delays by {_0} ms")]
    Delay(u64),
    /// Closes all open connections, and new ones on arrival.
    #[display("resets")]
    Reset,
    /// Closes all open connections and refuses new ones, as a machine whose process has ended does.
    #[display("refuses")]
    Refuse,
    /// Holds back bytes towards the server, and forwards those from it.
    #[display("cut towards the server")]
    CutTowards,
    /// Holds back bytes from the server, and forwards those towards it.
    #[display("cut from the server")]
    CutFrom,
    /// Holds back all bytes for good on the connections that are open now, and forwards those of new ones.
    #[display("silences open connections")]
    SilenceOpen,
    /// Sends bytes without end in place of the server's.
    #[display("sends bytes without end")]
    Endless,
    /// Sends a copy of an earlier reply where the next one on a connection is due, for some of the requests.
    #[display("sends late copies of replies")]
    Copies,
}

/// Requests of which one gets a copy of an earlier reply.
const REQUESTS_PER_COPY: u64 = 3;
/// Longest reply that is copied.
const COPIED_BYTES_MAX: usize = 64 * 1_024;
/// Starts of replies that state that their request did not run, as far as the link can tell.
const REJECTION_STARTS: [&[u8]; 3] = [b"HTTP/1.1 421", b"HTTP/1.1 429", b"HTTP/1.1 503"];

/// Bytes of the replies that a link can send once more.
#[derive(Debug, Default)]
struct CopySource {
    /// Reply to the last request on the connection.
    last_reply: Mutex<Vec<u8>>,
}

fn is_rejection(reply: &[u8]) -> bool {
    REJECTION_STARTS.iter().any(|start| reply.starts_with(start))
}

/// Direction in which bytes are forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    FromServer,
}

/// One direction of a connection.
#[derive(Debug, Clone)]
struct Forwarding {
    connection: u64,
    direction: Direction,
    source: Arc<CopySource>,
    /// Socket towards the client.
    replies: TcpStream,
}

#[derive(Debug, Default)]
struct LinkState {
    mode: LinkMode,
    /// Connections with a smaller number stay silent for good.
    silenced_below: u64,
    connection_count: u64,
    /// Last rejection on any connection of the link.
    last_rejection: Vec<u8>,
    /// Requests on connections that were used before, while copies are sent.
    copy_turns: u64,
}

/// Link to one server, reached at the proxy's own address.
#[derive(Debug, Clone)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<LinkState>>,
}

/// Interval at which held or idle connections check the link's mode.
const HELD_POLL_INTERVAL: Duration = Duration::from_millis(20);
const CHUNK_BYTES: usize = 16 * 1_024;
const ENDLESS_BYTES: [u8; CHUNK_BYTES] = [b'x'; CHUNK_BYTES];

impl Proxy {
    /// Starts a proxy for a server on a free port.
    pub(crate) fn to(server: SocketAddr) -> Self {
        let listener = task::block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let proxy = Self { address, state: Arc::default() };
        task::spawn(proxy.clone().accept_connections(listener, server));
        proxy
    }

    /// Accepts connections. While the link refuses them, its port has no listener.
    async fn accept_connections(self, listener: TcpListener, server: SocketAddr) {
        let mut listener = Some(listener);
        loop {
            if self.is_refusing() {
                drop(listener.take());
                task::sleep(HELD_POLL_INTERVAL).await;
                continue;
            }
            if listener.is_none() {
                // This fails while another socket has the port.
                listener = TcpListener::bind(self.address).await.ok();
            }
            match &listener {
                Some(listener) => {
                    if let Ok(Ok((stream, _))) = timeout(HELD_POLL_INTERVAL, listener.accept()).await {
                        task::spawn(self.clone().forward_connection(stream, server));
                    }
                }
                None => task::sleep(HELD_POLL_INTERVAL).await,
            }
        }
    }

    fn is_refusing(&self) -> bool {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).mode == LinkMode::Refuse
    }

    pub(crate) fn set_mode(&self, mode: LinkMode) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.mode = mode;
        if mode == LinkMode::SilenceOpen {
            state.silenced_below = state.connection_count;
        }
    }

    fn connection_mode(&self, connection: u64) -> LinkMode {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        match state.mode {
            _ if connection < state.silenced_below => LinkMode::SilenceOpen,
            LinkMode::SilenceOpen => LinkMode::Pass,
            mode => mode,
        }
    }

    /// Connects to the server and forwards both directions until either socket closes or the link resets.
    async fn forward_connection(self, client: TcpStream, server: SocketAddr) {
        let connection = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.connection_count += 1;
            state.connection_count - 1
        };
        let is_reset = matches!(self.connection_mode(connection), LinkMode::Reset | LinkMode::Refuse);
        let Ok(server) = (if is_reset { Err(()) } else { TcpStream::connect(server).await.map_err(drop) }) else {
            // Dropping the client's socket closes it without a byte.
            return;
        };
        let (source, replies) = (Arc::new(CopySource::default()), client.clone());
        let to_server = Forwarding { connection, direction: Direction::ToServer, source: source.clone(), replies };
        let from_server = Forwarding { direction: Direction::FromServer, source, ..to_server.clone() };
        let to_server = self.clone().forward_bytes(to_server, client.clone(), server.clone());
        let from_server = self.clone().forward_bytes(from_server, server, client);
        futures::join!(to_server, from_server);
    }

    /// Bytes to send to the client before a request is forwarded; none if its connection carried no reply before.
    fn due_copy(&self, forwarding: &Forwarding) -> Vec<u8> {
        let own_reply =
            std::mem::take(&mut *forwarding.source.last_reply.lock().unwrap_or_else(PoisonError::into_inner));
        if own_reply.is_empty() || self.connection_mode(forwarding.connection) != LinkMode::Copies {
            return Vec::new();
        }
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.copy_turns += 1;
        match state.copy_turns % REQUESTS_PER_COPY {
            0 if is_rejection(&own_reply) || state.last_rejection.is_empty() => own_reply,
            0 => state.last_rejection.clone(),
            _ => Vec::new(),
        }
    }

    /// Keeps bytes of a reply, so that they can be sent once more.
    fn keep_reply(&self, forwarding: &Forwarding, bytes: &[u8]) {
        let mut last_reply = forwarding.source.last_reply.lock().unwrap_or_else(PoisonError::into_inner);
        if last_reply.len() + bytes.len() <= COPIED_BYTES_MAX {
            last_reply.extend_from_slice(bytes);
        }
        if is_rejection(&last_reply) {
            self.state.lock().unwrap_or_else(PoisonError::into_inner).last_rejection.clone_from(&last_reply);
        }
    }

    async fn forward_bytes(self, forwarding: Forwarding, mut source: TcpStream, mut target: TcpStream) {
        let (connection, direction) = (forwarding.connection, forwarding.direction);
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let read = timeout(HELD_POLL_INTERVAL, source.read(&mut chunk)).await;
            if matches!(self.connection_mode(connection), LinkMode::Reset | LinkMode::Refuse) {
                break;
            }
            if self.connection_mode(connection) == LinkMode::Endless && direction == Direction::FromServer {
                if target.write_all(&ENDLESS_BYTES).await.is_err() {
                    break;
                }
                continue;
            }
            let len = match read {
                Err(_) => continue,
                Ok(Ok(len)) if len > 0 => len,
                Ok(_) => break,
            };
            match direction {
                Direction::FromServer => self.keep_reply(&forwarding, &chunk[..len]),
                Direction::ToServer => {
                    let copy = self.due_copy(&forwarding);
                    if (&forwarding.replies).write_all(&copy).await.is_err() {
                        break;
                    }
                }
            }
            if !self.wait_to_forward(connection, direction).await || target.write_all(&chunk[..len]).await.is_err() {
                break;
            }
        }
        // Closing both sockets ends the other direction as well.
        source.shutdown(Shutdown::Both).ok();
        target.shutdown(Shutdown::Both).ok();
    }

    /// Waits until a chunk may be forwarded; returns false if the connection is reset.
    async fn wait_to_forward(&self, connection: u64, direction: Direction) -> bool {
        loop {
            match (self.connection_mode(connection), direction) {
                (LinkMode::Reset | LinkMode::Refuse, _) => return false,
                (LinkMode::Delay(ms), _) => {
                    task::sleep(Duration::from_millis(ms)).await;
                    return true;
                }
                (LinkMode::CutTowards, Direction::ToServer)
                | (LinkMode::CutFrom, Direction::FromServer)
                | (LinkMode::SilenceOpen, _) => task::sleep(HELD_POLL_INTERVAL).await,
                (
                    LinkMode::Pass | LinkMode::CutTowards | LinkMode::CutFrom | LinkMode::Endless | LinkMode::Copies,
                    _,
                ) => return true,
            }
        }
    }
}
