//! Known endpoints, and the choice among them.

mod endpoint_table;
mod engine_choice;
mod prompt_cache;
mod region_choice;

pub use endpoint_table::{Endpoint, EndpointUpdate};
pub(crate) use endpoint_table::{EndpointTable, KnownEndpoint};
pub(crate) use engine_choice::{
    ChosenEndpoint, PREFILL_TOKENS_PER_MS, RequestRequirements, choose_endpoint, prefill_ms,
};
pub(crate) use region_choice::{PoolBacklogs, StageDemand};
