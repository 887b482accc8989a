//! All decisions of boragepass, without I/O, clock or global randomness.
//!
//! [`Node::handle`] takes one [`Event`] and returns the [`Effect`]s that it causes. The daemon turns
//! sockets and timers into events and executes the effects; tests and benches drive the same
//! function. An effect that depends on a lease or a deadline carries `not_after`: the executor checks
//! it on the monotonic clock right before the bytes are sent.
//!
//! Where decisions are made:
//! - requests: `admission` admits or refuses, `routing` chooses an endpoint, `stage_flow` dispatches,
//!   `attempt_flow` retries and hedges, `finish` ends;
//! - claims: `claims` acquires them and decides on lost replies and dead owners, `finish` settles or releases them;
//! - plans and allowlists: `list_commit` decides when a version is in force;
//! - VMs: `membership` declares a VM dead, `domain_lists` decides which ones a list version waits for.

mod address;
mod admission;
mod attempt_flow;
mod claim_batch;
mod claim_flow;
mod claim_output;
mod claim_row;
mod claims;
mod concurrency;
mod counter;
mod domain_lists;
mod drain;
mod effect;
mod ejection;
mod endpoints;
mod event;
mod explain;
mod finish;
mod finished;
mod gather;
mod latency;
mod lease_row;
mod list_change;
mod list_commit;
mod list_sync;
mod lists;
mod map;
mod member_flow;
mod membership;
mod message;
mod node;
mod operator;
mod operator_flow;
mod order;
mod platform;
mod prefix_cache;
mod quarantine;
mod queue;
mod request_table;
mod resume;
mod retry;
mod routing;
mod settings;
mod shares;
mod stage_flow;
mod state_change;
mod timers;
mod trial;
mod usage;
mod verdict_row;
mod watch;

pub use address::{AddressAnswer, EntryAddress};
pub use claim_row::{ClaimOwner, ClaimRow, ClaimState};
pub use counter::Counter;
pub use effect::{Dispatch, Effect, ResumePoint};
pub use ejection::{EjectionCause, Health, ejection_cap};
pub use event::{AttemptTag, Event, StageReply};
pub use explain::{RequestTrace, TraceLine};
pub use lease_row::LeaseRow;
pub use list_change::{ListChange, ListEdit};
pub use lists::ListsSnapshot;
pub use membership::{MemberRecord, MemberState};
pub use message::{
    ClaimStatus, ClaimWrite, ClaimWriteReply, ClaimWriteResult, GatherQuery, Heartbeat, Holdings, PartialAnswer,
    PeerMessage, Progress, SharedLoad, Verdict, VerdictKind,
};
pub use node::Node;
pub use operator::{EndpointStatus, FleetStatus, OperatorCommand, OperatorReply, VmStatus};
pub use platform::{
    CacheEvent, ExpectedVersion, LoadReport, ObjectReply, ObjectRequest, Order, OrderReply, Row, RowKey, RowValue,
    RowWrite, TableReply, TableRequest, VmListEntry, VmListReply, VmState, WriteId,
};
pub use quarantine::QuarantineEntry;
pub use settings::{Limits, NodeSettings};
pub use state_change::StateChange;
pub use usage::{Attainment, BurnWindow, NamedCost, ServiceLevel, StageCost, UsageReport};
