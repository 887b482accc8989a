//! The request path: opaque requests that pass through shared stage calls to one endpoint.
//!
//! [`RequestPath::handle`] takes one [`Event`] and returns the [`Effect`]s it calls for, without
//! I/O, clock or global randomness. Each folder owns the state of one concern, takes typed input
//! and returns decisions; only `reducer` knows all of them:
//!
//! - `configuration`: routes, services and API keys of one version;
//! - `fleet`: which VMs live, which VM leads a pool, which addresses clients get;
//! - `placement`: known endpoints, their load and health, and the choice among them;
//! - `stages`: progress of one request through its stages, and the queue of a pool's lead;
//! - `admission`: forecast of a request's path, and refusal of what cannot be served;
//! - `retry`: budgets of repeated sends, and requests that crash endpoints;
//! - `request`: the life of one request from arrival to its answer.

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
mod timers;

pub use admission::{Backlog, Forecast, RefusalReason};
pub use configuration::{
    ApiKey, Configuration, ConfigurationVersion, HttpLimits, ModelPool, Repeatability, Route, RouteError, Service,
    ServiceKind, StagePool, StageSpec, Workspace,
};
pub use effect::{Answer, CallEntry, Effect, EntrySource, SendTarget};
pub use event::{
    Arrival, CallFailure, CallOutcome, Event, EventId, PieceOutcome, Progress, PromptPart, ReplyHead, ReportedLoad,
    SendFailure,
};
pub use fleet::{VmRecord, VmState};
pub use message::{
    EndpointLoad, Heartbeat, Inputs, PeerMessage, PieceRequest, PieceRequestId, PieceResult, PoolLoad, ResultHandle,
};
pub use placement::{Endpoint, EndpointUpdate};
pub use record::{Record, RecordValue};
pub use reducer::RequestPath;
pub use request::{CallNumber, RequestNumber, SendNumber};
pub use settings::{Batching, PathSettings, RetryLimits};
pub use stages::{AvailableEndpoint, CallEnd, PieceRank, PieceTask, Pool, PoolCall};
