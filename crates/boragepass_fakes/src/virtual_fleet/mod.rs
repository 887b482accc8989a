//! Several reducers with small fakes at their interfaces, in virtual time and from one seed.
//!
//! Nothing here knows how the reducers decide. Faults are switched on by the tests.

mod effects;
mod endpoint;
mod fleet;

pub use endpoint::{SimEndpoint, StageRun};
pub use fleet::{Call, Fleet, NodeCost, NodeState, SimTableFaults};

/// Identifier with a text that is known to be valid.
fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the names of the stand-ins are valid")
}
