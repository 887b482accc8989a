//! Validated domain types that the other crates share.
//!
//! External input arrives as text or as a `Raw` type and is validated once, with `FromStr` or
//! `TryFrom`; problems in a document are reported together as [`Findings`]. Nothing here does I/O
//! or reads a clock.

mod access_key;
mod allowlist;
mod digest;
mod finding;
mod id;
mod outcome;
mod pipeline;
mod plan;
mod request;
mod software_version;
mod units;

pub use access_key::{AccessKey, KeyHash, KeySalt};
pub use allowlist::{Allowlist, RawAllowlist};
pub use digest::{ContentDigest, Hash64, rendezvous_weight};
pub use finding::{Finding, FindingKind, Findings, Location, suggest_key};
pub use id::{
    AdapterId, AttemptId, CallId, EndpointId, FailureDomain, FenceNumber, IdError, IdempotencyKey, Incarnation,
    ListVersion, ModelId, OpId, PipelineId, PoolId, Region, RequestId, RowVersion, StageId, StoreEra, StreamId, VmId,
    WorkspaceId,
};
pub use outcome::{FailureCause, NotRunReason, Outcome, OutcomeKind};
pub use pipeline::{Pipeline, RawPipeline, RawStage, Stage, StageKind};
pub use plan::{Plan, RawPlan};
pub use request::{Payload, RawRequest, Request};
pub use software_version::SoftwareVersion;
pub use units::{Bytes, Millicores, Permille, Priority, RatePerS, RequestRate, SpanMs, TimeMs};
