//! Requests and replies of the platform's services: table service, object store, VM list and
//! endpoints. Their encodings are in `boragepass_wire`.

use std::net::SocketAddr;

use boragepass_types::{
    AdapterId, EndpointId, FailureDomain, FenceNumber, Hash64, ModelId, OpId, PoolId, Region, RowVersion, SpanMs, VmId,
};

use crate::claim_row::ClaimRow;
use crate::lease_row::LeaseRow;
use crate::list_change::ListChange;
use crate::message::Verdict;

/// Key of a row in the table service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display)]
pub enum RowKey {
    /// Latest version of the lists.
    #[display("head")]
    Head,
    /// One committed change of the lists.
    #[display("change/{_0}")]
    Change(boragepass_types::ListVersion),
    /// Current plan of a workspace.
    #[display("plan/{_0}")]
    Plan(boragepass_types::WorkspaceId),
    /// Current allowlist of a workspace.
    #[display("allowlist/{_0}")]
    Allowlist(boragepass_types::WorkspaceId),
    /// Claim on a request that may not be repeated.
    #[display("claim/{_0}/{_1}")]
    Claim(boragepass_types::WorkspaceId, boragepass_types::IdempotencyKey),
    /// Lease of the VM that sends orders in a region.
    #[display("lease/{_0}")]
    Lease(Region),
    /// Contents in quarantine.
    #[display("verdicts")]
    Verdicts,
}

/// Content of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowValue {
    /// Latest version of the lists.
    Head(boragepass_types::ListVersion),
    /// One committed change, also stored under its plan or allowlist key.
    Change(Box<ListChange>),
    /// Claim on a request that may not be repeated.
    Claim(ClaimRow),
    /// Lease of the VM that sends orders in a region.
    Lease(LeaseRow),
    /// Contents in quarantine.
    Verdicts(Vec<Verdict>),
}

/// Row of the table service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Version that the table service raises with every write.
    pub version: RowVersion,
    /// Id of the write that produced this version.
    pub write_id: WriteId,
    /// Content of the row.
    pub value: RowValue,
}

/// Id of a write, unique in the fleet. A writer whose reply was lost finds its own write by it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WriteId {
    /// VM that sent the write.
    pub vm: VmId,
    /// Incarnation of that VM's process.
    pub incarnation: boragepass_types::Incarnation,
    /// Number of the operation within the incarnation.
    pub op: OpId,
}

/// Version of the row at which a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedVersion {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(RowVersion),
    /// Whatever is there is overwritten.
    Any,
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowWrite {
    /// Row to write.
    pub key: RowKey,
    /// Condition under which the write takes effect.
    pub expect: ExpectedVersion,
    /// Id of the write.
    pub id: WriteId,
    /// New content of the row.
    pub value: RowValue,
}

/// Request to the table service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableRequest {
    /// Writes all rows in one transaction.
    Commit(Vec<RowWrite>),
    /// Reads rows by key.
    Read(Vec<RowKey>),
}

/// Reply of the table service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableReply {
    /// All writes took effect; the new row versions in order.
    Committed(Vec<RowVersion>),
    /// Nothing took effect; the rows whose condition failed.
    Conflict(Vec<(RowKey, Option<Row>)>),
    /// Rows in the order of the requested keys.
    Rows(Vec<Option<Row>>),
    /// Nothing took effect and nothing was read.
    Unavailable,
    /// No reply came; a write may have taken effect or may still do so.
    Lost,
}

/// Request to the object store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ObjectRequest {
    /// Reads the latest snapshot of the lists.
    GetSnapshot,
    /// Replaces the latest snapshot of the lists.
    PutSnapshot(std::sync::Arc<crate::lists::ListsSnapshot>),
}

/// Reply of the object store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ObjectReply {
    /// The snapshot, if there is one.
    Snapshot(Option<std::sync::Arc<crate::lists::ListsSnapshot>>),
    /// The write took effect.
    Stored,
    /// The store did not answer.
    Unavailable,
}

/// Entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VmListEntry {
    /// VM that runs `boragepassd`.
    EntryVm {
        /// The VM.
        vm: VmId,
        /// Its region.
        region: Region,
        /// Its failure domain.
        failure_domain: FailureDomain,
        /// Address for other VMs.
        peer_address: SocketAddr,
        /// Address for callers.
        caller_address: SocketAddr,
        /// Whether it is live, leaving or gone.
        state: VmState,
    },
    /// Endpoint of a pool.
    Endpoint {
        /// The endpoint.
        endpoint: EndpointId,
        /// Pool it belongs to.
        pool: PoolId,
        /// Its region.
        region: Region,
        /// Its failure domain.
        failure_domain: FailureDomain,
        /// Address for calls, load polls and orders.
        address: SocketAddr,
        /// Whether it refuses orders with an old fencing number.
        checks_fence: bool,
        /// Whether it is live, leaving or gone.
        state: VmState,
    },
}

/// State of a VM in the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum VmState {
    /// In use.
    Live,
    /// Takes no new work.
    Leaving,
    /// Has been replaced or removed.
    Gone,
}

/// Reply of the VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VmListReply {
    /// Entries that changed.
    Changes {
        /// Version of the list.
        version: u64,
        /// Changed entries.
        entries: Vec<VmListEntry>,
    },
    /// The list did not answer.
    Unavailable,
}

/// Load report of an endpoint.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct LoadReport {
    /// Attempts that run, of all VMs.
    pub running: u32,
    /// Attempts that wait at the endpoint.
    pub queued: u32,
    /// Attempts that it can run at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// Age of the figures when they were sent.
    pub lag_ms: SpanMs,
    /// Models it holds.
    pub models: Vec<ModelId>,
    /// Adapters it holds.
    pub adapters: Vec<AdapterId>,
    /// Prefixes added to or dropped from its cache.
    pub cache_events: Vec<CacheEvent>,
}

/// Prefix that was added to or dropped from an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number of the event; a jump means that events were missed.
    pub number: u64,
    /// Hash of the prefix.
    pub prefix: Hash64,
    /// Whether the cache holds the prefix now.
    pub is_held: bool,
}

/// Order to an endpoint. It states all models and adapters to hold, so that repeating it is harmless.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Endpoint that is to change.
    pub endpoint: EndpointId,
    /// Fencing number of the sender's lease; an endpoint can refuse a number older than one it has seen.
    pub fence: FenceNumber,
    /// Models it is to hold.
    pub models: Vec<ModelId>,
    /// Adapters it is to hold.
    pub adapters: Vec<AdapterId>,
}

/// Reply to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// The endpoint accepted the order and works on it.
    Accepted,
    /// The endpoint refused the order, since it has seen a later fencing number.
    Fenced,
    /// The order expired before it was sent.
    Expired,
    /// No reply came.
    Lost,
}
