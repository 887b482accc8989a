//! Clients of the platform's services and of endpoints, one module per service.
//!
//! All of them send JSON over HTTP to an IP address and port. They report a lost reply apart from a
//! refusal, because a write whose reply was lost may have taken effect.

mod endpoint;
mod http_client;
mod object_store;
mod table;
mod vm_list;

pub use endpoint::{TaggedReply, poll_load, run_stage, send_order};
pub use http_client::{CallError, HttpClient};
pub use object_store::send_object_request;
pub use table::send_table_request;
pub use vm_list::fetch_vm_list_changes;
