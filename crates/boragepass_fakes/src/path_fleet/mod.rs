//! Simulation of entry VMs on the platform in virtual time: request path reducers, endpoints and clients.
//!
//! Load tools measure policies on it. Tests inject faults and check the guarantees of the request path
//! against a ledger of what clients and endpoints observed. All random choices come from one seed.

mod added_routes;
mod brittle;
mod cold;
mod deployment;
mod endpoint;
mod entry_reads;
mod evacuations;
mod fleet;
mod home_deployment;
mod homes;
mod leaving;
mod ledger;
mod partitions;
mod pause;
mod rate_limit;
mod uneven;

pub use deployment::{Deployment, RequestKind, Site};
pub use entry_reads::{answer_entry_reads, known_entry};
pub use evacuations::EvacuationRecord;
pub use fleet::{ADDED_ROUTES, EndpointFault, EndpointLinks, PathFleet};
pub use homes::HomeTallies;
pub use ledger::{Ending, Ledger, Outcomes, StreamAnswer, Violation};
pub use uneven::Unevenness;
