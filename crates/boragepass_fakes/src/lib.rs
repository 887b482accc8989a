//! Fakes of the platform, the endpoints and the callers, for the tests, the demo and the benchmarks.
//!
//! A call switches a fault on. The fakes make no decision for the system under test: [`LoopbackFleet`]
//! runs real daemons against them over loopback sockets, [`virtual_fleet`] and [`path_fleet`] run
//! reducers in virtual time.

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
