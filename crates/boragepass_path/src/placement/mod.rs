//! Known endpoints, and the choice among them.

mod endpoint_table;
mod engine_choice;
mod pool_choice;
mod prompt_memory;

pub use endpoint_table::{Endpoint, EndpointUpdate};
pub(crate) use endpoint_table::{EndpointTable, KnownEndpoint};
pub(crate) use engine_choice::{Choice, Need, READ_TOKENS_PER_MS, choose_endpoint, reading_ms};
pub(crate) use pool_choice::{PoolBacklogs, Wanted};
