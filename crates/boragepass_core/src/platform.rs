//! What the platform's services take and give, free of their protocols.

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
    /// Lease for orders in a region.
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
    /// Claim.
    Claim(ClaimRow),
    /// Lease.
    Lease(LeaseRow),
    /// Contents in quarantine.
    Verdicts(Vec<Verdict>),
}

/// Row as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Version that the table service raises with every write.
    pub version: RowVersion,
    /// Last writer.
    pub write_id: WriteId,
    /// Content.
    pub value: RowValue,
}

/// Fleet-wide name of one write.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WriteId {
    /// VM that wrote.
    pub vm: VmId,
    /// Incarnation that wrote.
    pub incarnation: boragepass_types::Incarnation,
    /// Operation within the incarnation.
    pub op: OpId,
}

/// What a write expects of its row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedVersion {
    /// No such row.
    Absent,
    /// Row at this version.
    Version(RowVersion),
    /// Anything.
    Any,
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowWrite {
    /// Row to write.
    pub key: RowKey,
    /// Condition.
    pub expect: ExpectedVersion,
    /// Name of the write.
    pub id: WriteId,
    /// New content.
    pub value: RowValue,
}

/// Request to the table service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableRequest {
    /// All writes or none.
    Commit(Vec<RowWrite>),
    /// Rows by key.
    Read(Vec<RowKey>),
}

/// Reply of the table service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableReply {
    /// All writes took effect; the new row versions in order.
    Committed(Vec<RowVersion>),
    /// Nothing took effect; the rows whose condition failed.
    Conflict(Vec<(RowKey, Option<Row>)>),
    /// Rows in the order in which they were asked for.
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
    /// Entry VM that runs `boragepassd`.
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
    /// Endpoint.
    Endpoint {
        /// The endpoint.
        endpoint: EndpointId,
        /// Pool it belongs to.
        pool: PoolId,
        /// Its region.
        region: Region,
        /// Its failure domain.
        failure_domain: FailureDomain,
        /// Address.
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
    /// Replaced or removed.
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
    /// Work that runs.
    pub running: u32,
    /// Work that waits.
    pub queued: u32,
    /// Work it can run at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// How old the figures were when they were sent.
    pub lag_ms: SpanMs,
    /// Models it holds.
    pub models: Vec<ModelId>,
    /// Adapters it holds.
    pub adapters: Vec<AdapterId>,
    /// Prefixes added to or dropped from its cache.
    pub cache_events: Vec<CacheEvent>,
}

/// Change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Number of the event; a jump shows a gap.
    pub number: u64,
    /// Prefix.
    pub prefix: Hash64,
    /// Whether it is held now.
    pub is_held: bool,
}

/// Order to an endpoint: a desired state, never a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Endpoint that is to change.
    pub endpoint: EndpointId,
    /// Fencing number of the lease.
    pub fence: FenceNumber,
    /// Models it is to hold.
    pub models: Vec<ModelId>,
    /// Adapters it is to hold.
    pub adapters: Vec<AdapterId>,
}

/// Reply to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// The endpoint works on it.
    Accepted,
    /// The endpoint has seen a later fencing number.
    Fenced,
    /// The order was not sent because its time was over.
    Expired,
    /// No reply came.
    Lost,
}
