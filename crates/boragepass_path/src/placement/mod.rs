//! Known endpoints with their load and health, the choice of an endpoint for a request, and the choice
//! of a region for the pieces of a stage.

mod cold_start;
mod eligibility;
mod endpoint_life;
mod endpoint_reach;
mod endpoint_speed;
mod endpoint_table;
mod engine_choice;
mod evacuations;
mod homes;
mod prompt_cache;
mod rate_limit;
mod region_choice;
mod rejection_limit;
mod shared_statement;
mod statements;
mod version_history;

pub(crate) use cold_start::{Turn, cold_share_per_s, cold_sharing_vms_max};
pub(crate) use endpoint_reach::{EndpointReach, PROBED_ENDPOINTS, RoundResult};
pub use endpoint_speed::{EndpointSpeed, PoolSpeed, Speed, SpeedProbe};
pub use endpoint_table::{Endpoint, EndpointUpdate, SharedEndpoint, StoreVersion};
pub(crate) use endpoint_table::{EndpointTable, KnownEndpoint};
pub(crate) use engine_choice::{
    ChosenEndpoint, FORECAST_OBJECTIVE_LEFT_MS, RequestRequirements, choose_endpoint, prefill_ms,
};
pub(crate) use evacuations::KnownEvacuations;
pub use evacuations::{EvacuationSource, Evacuations};
pub(crate) use homes::AllowedPlaces;
pub use homes::Homes;
pub(crate) use rate_limit::sharing_vms_max;
pub(crate) use region_choice::{PoolBacklogs, StageDemand};
pub(crate) use rejection_limit::brittle_sharing_vms_max;
pub(crate) use shared_statement::Statement;
pub use version_history::RecordedVersions;
pub(crate) use version_history::{PastVersions, VersionHistory};
