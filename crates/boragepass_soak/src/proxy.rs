//! Loopback proxy of one link, which delays, resets, cuts one way or silences its connections.

use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::stream::StreamExt;
use async_std::task;

/// How a link behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, derive_more::Display)]
pub enum LinkMode {
    /// Passes bytes on.
    #[default]
    #[display("passes")]
    Pass,
    /// Holds each chunk back for some milliseconds.
    #[display("delays by {_0} ms")]
    Delay(u64),
    /// Closes all connections, and new ones at once.
    #[display("resets")]
    Reset,
    /// Holds back what goes to the server.
    #[display("cut towards the server")]
    CutTowards,
    /// Holds back what comes from the server.
    #[display("cut from the server")]
    CutFrom,
    /// Holds back everything on connections that are open, and passes new ones.
    #[display("silences open connections")]
    SilenceOpen,
}

/// Direction of a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Towards,
    From,
}

#[derive(Debug, Default)]
struct State {
    mode: LinkMode,
    /// Connections with a smaller number are silent for good.
    silent_below: u64,
    connections: u64,
}

/// Link to one server.
#[derive(Debug, Clone)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// Interval at which a held copy looks whether it may go on.
const HELD_LOOK: Duration = Duration::from_millis(20);
const CHUNK_BYTES: usize = 16 * 1_024;

impl Proxy {
    /// Link on a free port.
    pub(crate) fn to(server: SocketAddr) -> Self {
        let listener = task::block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let proxy = Self { address, state: Arc::default() };
        let accepting = proxy.clone();
        task::spawn(async move {
            let mut incoming = listener.incoming();
            while let Some(Ok(stream)) = incoming.next().await {
                task::spawn(accepting.clone().connect(stream, server));
            }
        });
        proxy
    }

    pub(crate) fn set(&self, mode: LinkMode) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.mode = mode;
        if mode == LinkMode::SilenceOpen {
            state.silent_below = state.connections;
        }
    }

    fn mode_of(&self, connection: u64) -> LinkMode {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        match state.mode {
            _ if connection < state.silent_below => LinkMode::SilenceOpen,
            LinkMode::SilenceOpen => LinkMode::Pass,
            mode => mode,
        }
    }

    async fn connect(self, client: TcpStream, server: SocketAddr) {
        let connection = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.connections += 1;
            state.connections - 1
        };
        let is_reset = self.mode_of(connection) == LinkMode::Reset;
        let Ok(server) = (if is_reset { Err(()) } else { TcpStream::connect(server).await.map_err(drop) }) else {
            // Dropping the client's socket closes it without a byte.
            return;
        };
        let towards = self.clone().copy(connection, client.clone(), server.clone(), Direction::Towards);
        let from = self.clone().copy(connection, server, client, Direction::From);
        futures::join!(towards, from);
    }

    async fn copy(self, connection: u64, mut source: TcpStream, mut target: TcpStream, direction: Direction) {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let read = async_std::future::timeout(HELD_LOOK, source.read(&mut chunk)).await;
            if self.mode_of(connection) == LinkMode::Reset {
                break;
            }
            let len = match read {
                Err(_) => continue,
                Ok(Ok(len)) if len > 0 => len,
                Ok(_) => break,
            };
            if !self.hold(connection, direction).await || target.write_all(&chunk[..len]).await.is_err() {
                break;
            }
        }
        // The other direction notices that its socket is closed.
        source.shutdown(Shutdown::Both).ok();
        target.shutdown(Shutdown::Both).ok();
    }

    /// Waits until a chunk may go on; false if the connection is reset.
    async fn hold(&self, connection: u64, direction: Direction) -> bool {
        loop {
            match (self.mode_of(connection), direction) {
                (LinkMode::Reset, _) => return false,
                (LinkMode::Delay(ms), _) => {
                    task::sleep(Duration::from_millis(ms)).await;
                    return true;
                }
                (LinkMode::CutTowards, Direction::Towards)
                | (LinkMode::CutFrom, Direction::From)
                | (LinkMode::SilenceOpen, _) => task::sleep(HELD_LOOK).await,
                (LinkMode::Pass | LinkMode::CutTowards | LinkMode::CutFrom, _) => return true,
            }
        }
    }
}
