//! Edges towards the platform and the endpoints: one module a protocol.
//!
//! All of them speak HTTP with JSON to an IP address and port. A reply that was lost is told apart
//! from a refusal, because a write may have taken effect.

mod endpoint;
mod http_client;
mod object_store;
mod table;
mod vm_list;

pub use endpoint::{NamedReply, poll_load, run_stage, send_order};
pub use http_client::{CallError, HttpClient};
pub use object_store::ask_objects;
pub use table::ask_table;
pub use vm_list::ask_vm_list;
