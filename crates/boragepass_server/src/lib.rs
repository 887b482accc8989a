//! The daemon around the reducer: listeners, effect executor, timers and counters.
//!
//! It turns sockets and timers into events and carries effects out. It decides nothing.

mod caller_http;
mod clock;
mod daemon;
mod executor;
mod http_server;
mod metrics;
mod operator_http;
mod peer_link;
mod peer_server;
mod replies;
mod tasks;

pub use clock::{Clock, new_incarnation};
pub use daemon::{Daemon, StartError};
pub use peer_link::{Identity, PeerLinks, Traffic};
pub use peer_server::{Inbox, serve as serve_peers};
pub use tasks::Tasks;
