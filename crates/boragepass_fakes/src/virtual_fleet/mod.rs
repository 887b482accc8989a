//! Several reducers with small fakes at their interfaces, in virtual time and from one seed.
//!
//! Nothing here knows how the reducers decide. Faults are switched on by the tests.

mod endpoint;
mod fleet;

pub use endpoint::{Run, SimEndpoint};
pub use fleet::{Call, Fleet, NodeCost, NodeState, SimTableFaults};
