//! The request path: takes a client's request, has its stages computed in calls that are shared by many
//! requests, and then sends the request itself to one endpoint. Bodies are never interpreted.
//!
//! [`RequestPath::handle`] takes one [`Event`] and returns the resulting [`Effect`]s. It does no I/O, reads no
//! clock and uses no global randomness. Each module owns the state of one concern and returns decisions;
//! only `reducer` depends on all of them:
//!
//! - `configuration`: routes, services and API keys of one version;
//! - `fleet`: membership of VMs, leadership of pools, addresses for clients;
//! - `placement`: known endpoints, their load and health, and the choice of an endpoint;
//! - `stages`: progress of one request through its stages, and the queue of a pool leader;
//! - `admission`: forecast of a request's latency, and reasons for refusal;
//! - `retry`: retry budgets, and detection of requests that crash endpoints;
//! - `request`: state of one request from arrival to answer;
//! - `store_poll`: how long a poll of the store may take.

mod admission;
mod configuration;
mod effect;
mod event;
mod fleet;
mod message;
mod placement;
mod record;
mod reducer;
mod request;
mod retry;
mod settings;
mod stages;
mod store_poll;
mod timers;

pub use admission::{Backlog, Forecast, RefusalReason};
pub use configuration::{
    ApiKey, ColdStart, Configuration, ConfigurationVersion, HttpLimits, ModelPool, Repeatability, Route, RouteError,
    Service, ServiceKind, StagePool, StageSpec, Workspace,
};
pub use effect::{Answer, CallEntry, Effect, PieceInputs, RelayTarget, SendTarget};
pub use event::{
    Arrival, CallFailure, CallOutcome, EndpointEntry, EndpointSignals, Event, EventId, NamedRequest, PieceOutcome,
    Progress, PromptPart, RelayOrigin, ReplyHead, ReportedLoad, SendFailure,
};
pub use fleet::{VmRecord, VmState, VmSummary};
pub use message::{
    ColdReport, ContentCrashes, DownReport, EndpointLimitReport, EndpointLoad, Heartbeat, PEER_REVISION, PeerMessage,
    PieceRequest, PieceRequestId, PieceResult, PoolLoad, ProcessStatement, ResultHandle, StageInputs,
};
pub use placement::{
    Endpoint, EndpointSpeed, EndpointUpdate, EvacuationSource, Evacuations, Homes, PoolSpeed, RecordedVersions,
    SharedEndpoint, Speed, SpeedProbe, StoreVersion,
};
pub use record::{Record, RecordValue};
pub use reducer::RequestPath;
pub use request::{CallNumber, RequestNumber, SendNumber, StreamVersionRow, stream_digest};
pub use settings::{Batching, ColdBounds, PathSettings, RetryLimits};
pub use stages::{AvailableEndpoint, CallEnd, PieceRank, PieceTask, Pool, PoolCall};
pub use store_poll::StorePoll;
