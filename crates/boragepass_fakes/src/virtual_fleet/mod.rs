//! Simulation of several entry VMs: their reducers with fakes at every interface, in virtual time and
//! from one seed.
//!
//! The simulation carries messages and effects and injects the faults that a test switches on; it makes
//! no decision for the reducers.

mod effects;
mod endpoint;
mod fleet;

pub use endpoint::{SimEndpoint, StageRun};
pub use fleet::{Call, Fleet, NodeCost, NodeState, SimTableFaults};

/// Parses an identifier whose text is known to be valid.
fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the names of the fakes are valid")
}
