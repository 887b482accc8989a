//! Entry VMs on a platform in virtual time: reducers of the request path, endpoints, clients.
//!
//! It is the project's own model of the platform. Load tools play policies on it, and tests play
//! faults against what clients and endpoints saw. Every run follows from its seed.

mod deployment;
mod endpoint;
mod fleet;
mod ledger;

pub use deployment::{Deployment, RequestKind, Site};
pub use fleet::{EndpointFault, PathFleet};
pub use ledger::{Ending, Ledger, Outcomes, Violation};
