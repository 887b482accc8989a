//! The daemon `boragepassd` around the reducer [`boragepass_core::Node`].
//!
//! It turns HTTP requests, messages of other VMs, replies and timers into events for the reducer and
//! executes the effects that the reducer returns. The reducer makes all decisions. `boragepass_entry`
//! uses the clock, the tasks and the links between VMs as well.

mod accept;
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

pub use accept::{AcceptChange, Acceptor};
pub use clock::{Clock, new_incarnation, unix_time};
pub use daemon::{Daemon, StartError};
pub use peer_link::{Identity, PeerLinks, Replaceable, Traffic, encode_frame};
pub use peer_server::{Inbox, serve as serve_peers};
pub use tasks::Tasks;
