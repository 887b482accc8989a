//! Randomized soak test: runs entry VMs as real processes and injects faults from outside them.
//!
//! Clients, the store and the endpoints are fakes in this process. VMs reach the store and the endpoints through a
//! loopback [`proxy`] for each link. A [`plan`] drawn from a seed stops, pauses, kills and restarts VM processes and
//! makes links and fakes misbehave, in series that overlap. Endpoints state of themselves that they leave, pause, limit their
//! requests or are brittle; links send late copies of replies, and another writer leaves odd entries. Configurations change in series, some by many
//! routes. The [`ledger`] records what clients and endpoints observe,
//! and checks the guarantees of the product on it.

mod clients;
mod configurations;
mod endpoints;
mod http_server;
mod ledger;
mod odd_rows;
mod plan;
mod proxy;
mod run;
mod site;
mod statements;
mod store;
mod vm;

pub use http_server::{ReceivedRequest, Reply, serve};
pub use ledger::{Summary, Violation};
pub use odd_rows::{ODD_KEYS, odd_entries};
pub use plan::{Fault, FaultPlan, PlannedFault};
pub use run::{SoakError, SoakSettings, run};
pub use store::Store;
