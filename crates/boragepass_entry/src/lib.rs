//! The entry VM on the users' platform: sockets, timers and logs around the request path.
//!
//! It decides nothing. Everything runs on one thread: [`driver`] feeds events to the reducer of
//! `boragepass_path` and starts a local task for each effect that takes time.

mod address_server;
mod answer_body;
mod connections;
mod driver;
mod front;
mod http_io;
mod journal;
mod metrics;
mod peer_wire;
mod peers;
mod process;
mod sends;
mod small_server;
mod stage_calls;
mod store_client;
mod store_feed;

pub use http_io::HttpIo;
pub use process::{StartError, run};
