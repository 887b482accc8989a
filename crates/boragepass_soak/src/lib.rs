//! Randomized soak: entry VMs as real processes, with faults that come from outside them.
//!
//! Clients, the store and the endpoints are stand-ins in this process; every connection of a VM to
//! the store and to endpoints passes a loopback [`proxy`]. A [`plan`] drawn from a seed stops,
//! pauses, kills and restarts processes and makes links and stand-ins misbehave, in series that
//! overlap. The [`ledger`] holds what clients and endpoints saw, and checks the promises on it.

mod clients;
mod endpoints;
mod http_server;
mod ledger;
mod plan;
mod proxy;
mod run;
mod site;
mod store;
mod vm;

pub use http_server::{ReceivedRequest, Reply, serve};
pub use ledger::{Summary, Violation};
pub use plan::{Fault, FaultPlan, PlannedFault};
pub use run::{SoakError, SoakSettings, run};
