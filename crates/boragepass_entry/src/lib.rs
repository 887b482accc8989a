//! An entry VM on the users' platform: the sockets, timers and logs around the request path.
//!
//! Decisions are left to the reducer of `boragepass_path`. Everything runs on one thread: `driver`
//! feeds events to the reducer and starts a local task for each effect that takes time.

mod answer_body;
mod client_server;
mod cold_section;
mod connections;
mod driver;
mod entry_reads;
mod http_io;
mod json_log;
mod memory_budget;
mod metrics;
mod page_server;
mod pages;
mod peer_sections;
pub mod peer_wire;
mod peers;
mod process;
mod reply_body;
mod sends;
mod stage_calls;
mod store_client;
mod store_feed;
mod stream_version_rows;
mod version_rows;

pub use http_io::HttpIo;
pub use peer_sections::Sections;
pub use process::{StartError, run};
