//! Small stand-ins for what the platform and the endpoints are, with faults that a call switches on.
//!
//! They serve the tests, the demo and the benches. None of them decides anything for the system.

mod caller;
mod endpoint;
mod fake_http;
mod loopback_fleet;
mod object_store;
pub mod path_fleet;
mod slots;
mod stage_output;
mod table;
mod table_server;
pub mod virtual_fleet;
mod vm_list;
mod workload;

pub use caller::{Caller, CallerAnswer};
pub use endpoint::{EndpointFaults, FakeEndpoint, FakeEndpointSettings};
pub use loopback_fleet::{LoopbackFleet, LoopbackFleetSettings};
pub use object_store::FakeObjectStore;
pub use stage_output::{expected_answer, stage_output};
pub use table::{TableFaults, TableState};
pub use table_server::FakeTable;
pub use vm_list::FakeVmList;
pub use workload::{OPERATOR_KEY, PEER_KEY, allowlist, caller_key, pipelines, plan};
