//! Messages between VMs.
//!
//! They may be lost and carry only state that can be rebuilt; state that must survive is stored in the
//! platform's table and object store.

use std::sync::Arc;

use boragepass_types::{
    AdapterId, ContentDigest, FailureDomain, Hash64, ListVersion, ModelId, OpId, Payload, RequestId, RowVersion,
    SpanMs, VmId, WorkspaceId,
};

use crate::claim_row::ClaimRow;
use crate::explain::RequestTrace;
use crate::list_change::ListChange;
use crate::lists::ListsSnapshot;
use crate::membership::{MemberRecord, MemberState};
use crate::platform::{ExpectedVersion, Row, RowKey, VmListEntry, WriteId};
use crate::usage::UsageReport;

/// Message to another VM.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// Periodic heartbeat with the state that changed.
    Heartbeat(Heartbeat),
    /// A change of the lists, forwarded once by each VM that did not have it.
    Change(Box<ListChange>),
    /// Asks for changes after a version.
    ChangesQuery {
        /// Version that the sender has.
        after: ListVersion,
    },
    /// Asks for a snapshot of the lists.
    SnapshotQuery,
    /// A snapshot of the lists.
    Snapshot(Arc<ListsSnapshot>),
    /// Loads of the endpoints that the sender polls.
    Loads(Vec<SharedLoad>),
    /// Entries of the VM list that changed.
    VmEntries(Vec<VmListEntry>),
    /// Verdict on content that may crash endpoints.
    Verdict(Verdict),
    /// All verdicts that are in force.
    Verdicts(Vec<Verdict>),
    /// Asks for all verdicts that are in force.
    VerdictsQuery,
    /// Claims for the receiver to commit in a batch with others.
    ClaimWrites(Vec<ClaimWrite>),
    /// Results of claim writes.
    ClaimReplies(Vec<ClaimWriteReply>),
    /// Asks the owner of a claim whether it dispatched the request.
    ClaimQuery {
        /// Row of the claim.
        key: RowKey,
        /// Version of the row that names the owner.
        version: RowVersion,
    },
    /// Reply to `ClaimQuery`.
    ClaimStatus {
        /// Row of the claim.
        key: RowKey,
        /// Version of the row in the query.
        version: RowVersion,
        /// Status of the claim at its owner.
        status: ClaimStatus,
    },
    /// Progress of a request, for the VM that its caller would turn to next.
    Progress(Box<Progress>),
    /// A request is finished; its progress can be dropped.
    ProgressDone {
        /// Workspace of the request.
        workspace: WorkspaceId,
        /// The request.
        request: RequestId,
    },
    /// Asks for the receiver's part of the answer to an operator.
    Gather {
        /// Identifies the query in the reply.
        op: OpId,
        /// The query.
        question: GatherQuery,
    },
    /// Reply to `Gather`.
    Gathered {
        /// Id of the query.
        op: OpId,
        /// The sender's part of the answer.
        part: PartialAnswer,
    },
}

/// Periodic sign that the sender is alive, with the state that changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Incremented by the sender when it was wrongly reported dead, so that its record wins.
    pub epoch: u32,
    /// State of the sender.
    pub state: MemberState,
    /// Version of the lists that the sender enforces.
    pub lists: ListVersion,
    /// Whole record of the sender, for receivers that do not know it; relays omit it most of the time.
    pub sender: Option<Box<MemberRecord>>,
    /// Version of the lists that every VM of a failure domain enforces.
    pub domains: Vec<(FailureDomain, ListVersion)>,
    /// Hash of the quarantine that the sender enforces.
    pub quarantine_hash: Hash64,
    /// Records of other VMs whose state changed, and now and then one of the rest in rotation.
    pub records: Vec<MemberRecord>,
}

/// Load of one endpoint, as the VM that polls it shares it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedLoad {
    /// Hash of the endpoint's id.
    pub endpoint: Hash64,
    /// Attempts that run.
    pub running: u32,
    /// Attempts that wait.
    pub queued: u32,
    /// Attempts that it can run at once.
    pub slots: u32,
    /// Age of the report when it was sent.
    pub age_ms: SpanMs,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Models and adapters that it holds; omitted unless they changed or were not sent for a while.
    pub holdings: Option<Holdings>,
}

/// Models and adapters that an endpoint holds.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Holdings {
    /// Models.
    pub models: Vec<ModelId>,
    /// Adapters.
    pub adapters: Vec<AdapterId>,
}

/// Verdict on content that may crash endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// The content.
    pub digest: ContentDigest,
    /// Workspace that sent it.
    pub workspace: WorkspaceId,
    /// Kind of the verdict.
    pub kind: VerdictKind,
    /// Endpoints that were lost with it.
    pub lost: Vec<Hash64>,
    /// VM that runs the trial of the content.
    pub tester: VmId,
    /// How long the verdict stays in force.
    pub for_ms: SpanMs,
}

/// What a verdict says about its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum VerdictKind {
    /// One endpoint was lost; the sender tries the content on another.
    UnderTrial,
    /// The trial lost no endpoint.
    Cleared,
    /// Two endpoints were lost.
    Quarantined,
    /// An operator released it.
    Released,
}

/// Write of a claim, sent to the VM that commits it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimWrite {
    /// Row of the claim.
    pub key: RowKey,
    /// Condition on the row's current version.
    pub expect: ExpectedVersion,
    /// Identifies the write.
    pub id: WriteId,
    /// New value of the row.
    pub row: ClaimRow,
}

/// Result of a claim write, sent back to the VM that asked for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimWriteReply {
    /// The write.
    pub id: WriteId,
    /// Its result.
    pub result: ClaimWriteResult,
}

/// Result of a claim write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimWriteResult {
    /// It took effect.
    Committed(RowVersion),
    /// The condition did not hold; the current row.
    Conflict(Option<Row>),
    /// It did not take effect, because the table service was unavailable.
    Unavailable,
    /// It may have taken effect: the reply was lost.
    Lost,
}

/// Status of a claim at its owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ClaimStatus {
    /// The request runs or will run.
    InProgress,
    /// Nothing ran and nothing will.
    WillNotRun,
    /// The owner does not know the claim, so it may have run under it.
    NotKnown,
    /// The request was answered; the row may not show that yet.
    Answered {
        /// The answer.
        output: Payload,
    },
}

/// Progress of a request, from which another VM can resume it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Progress {
    /// Workspace of the request.
    pub workspace: WorkspaceId,
    /// The request.
    pub request: RequestId,
    /// Its content.
    pub digest: ContentDigest,
    /// Index of the stage that runs.
    pub stage: u8,
    /// Input of that stage.
    pub input: Payload,
    /// VM that runs the request.
    pub runner: VmId,
}

/// Query that an operator's command sends to every VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GatherQuery {
    /// Decisions taken for a request.
    Explain(RequestId),
    /// Usage since the process started.
    Usage,
}

/// One VM's part of the answer to a [`GatherQuery`].
#[derive(Debug, Clone, PartialEq)]
pub enum PartialAnswer {
    /// Decisions taken for a request.
    Explain(Vec<RequestTrace>),
    /// Usage since the process started.
    Usage(Box<UsageReport>),
}
