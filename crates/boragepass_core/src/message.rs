//! Messages between VMs. Only soft state travels here; what must last goes to the platform.

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
    /// Sign of life with what changed.
    Heartbeat(Heartbeat),
    /// A change of the lists, passed on once by everyone who did not have it.
    Change(Box<ListChange>),
    /// Asks for changes after a version.
    ChangesQuery {
        /// Version the asker has.
        after: ListVersion,
    },
    /// Asks for the lists as a whole.
    SnapshotQuery,
    /// The lists as a whole.
    Snapshot(Arc<ListsSnapshot>),
    /// Loads of the endpoints that the sender watches.
    Loads(Vec<SharedLoad>),
    /// Entries of the VM list that changed.
    VmEntries(Vec<VmListEntry>),
    /// What is known about content that may crash endpoints.
    Verdict(Verdict),
    /// All verdicts that are in force.
    Verdicts(Vec<Verdict>),
    /// Asks for all verdicts that are in force.
    VerdictsQuery,
    /// Claims to commit together with others.
    ClaimWrites(Vec<ClaimWrite>),
    /// What became of claims.
    ClaimReplies(Vec<ClaimWriteReply>),
    /// Asks the owner of a claim whether it dispatched.
    ClaimQuery {
        /// Row of the claim.
        key: RowKey,
        /// Version of the row that names the owner.
        version: RowVersion,
    },
    /// Whether the owner will never dispatch under the claim.
    ClaimStatus {
        /// Row of the claim.
        key: RowKey,
        /// Version of the row that was asked about.
        version: RowVersion,
        /// What the owner does.
        status: ClaimStatus,
    },
    /// How far a request is, for the VM that its caller turns to next.
    Progress(Box<Progress>),
    /// A request is finished; its progress can be forgotten.
    ProgressDone {
        /// Workspace of the request.
        workspace: WorkspaceId,
        /// The request.
        request: RequestId,
    },
    /// Asks for a part of an operator's answer.
    Gather {
        /// Names the question.
        op: OpId,
        /// The question.
        question: GatherQuery,
    },
    /// Part of an operator's answer.
    Gathered {
        /// The question it belongs to.
        op: OpId,
        /// The part.
        part: PartialAnswer,
    },
}

/// Sign of life.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Raised by the sender when it was wrongly reported dead.
    pub epoch: u32,
    /// State of the sender.
    pub state: MemberState,
    /// Lists that the sender enforces.
    pub lists: ListVersion,
    /// The sender as a whole, for receivers that do not know it; left out most of the time.
    pub sender: Option<Box<MemberRecord>>,
    /// Lists that every VM of a failure domain enforces.
    pub domains: Vec<(FailureDomain, ListVersion)>,
    /// Hash of the quarantine that the sender enforces.
    pub quarantine_hash: Hash64,
    /// Other VMs whose state changed, and a few more in turn.
    pub records: Vec<MemberRecord>,
}

/// Load of one endpoint as its watcher passes it on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedLoad {
    /// Hash of the endpoint's id.
    pub endpoint: Hash64,
    /// Work that runs.
    pub running: u32,
    /// Work that waits.
    pub queued: u32,
    /// Work it can run at once.
    pub slots: u32,
    /// Age of the figures when the watcher sent them.
    pub age_ms: SpanMs,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// What it holds, when that changed or was not said for a while.
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

/// What is known about content that may crash endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// The content.
    pub digest: ContentDigest,
    /// Workspace that sent it.
    pub workspace: WorkspaceId,
    /// What is known.
    pub kind: VerdictKind,
    /// Endpoints that were lost with it.
    pub lost: Vec<Hash64>,
    /// VM that tests it.
    pub tester: VmId,
    /// How long the verdict stays in force.
    pub for_ms: SpanMs,
}

/// Kind of a verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum VerdictKind {
    /// One endpoint was lost; the sender tests the content alone on another.
    UnderTrial,
    /// The test passed.
    Cleared,
    /// Two endpoints were lost.
    Quarantined,
    /// An operator let it go.
    Released,
}

/// Claim on its way to the VM that commits it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimWrite {
    /// Row.
    pub key: RowKey,
    /// Condition.
    pub expect: ExpectedVersion,
    /// Name of the write.
    pub id: WriteId,
    /// New content.
    pub row: ClaimRow,
}

/// What became of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimWriteReply {
    /// The write.
    pub id: WriteId,
    /// Its fate.
    pub result: ClaimWriteResult,
}

/// Fate of a claim write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimWriteResult {
    /// It took effect.
    Committed(RowVersion),
    /// It did not; the row as it stands.
    Conflict(Option<Row>),
    /// It did not.
    Unavailable,
    /// Not known.
    Lost,
}

/// What an owner says of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClaimStatus {
    /// The request runs or will run.
    InProgress,
    /// Nothing ran and nothing will.
    WillNotRun,
    /// The owner does not know the claim, so it may have run under it.
    NotKnown,
}

/// How far a request is.
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

/// Question to every VM for an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GatherQuery {
    /// Decisions taken for a request.
    Explain(RequestId),
    /// Usage since the process started.
    Usage,
}

/// One VM's part of an answer.
#[derive(Debug, Clone, PartialEq)]
pub enum PartialAnswer {
    /// Decisions taken for a request.
    Explain(Vec<RequestTrace>),
    /// Usage since the process started.
    Usage(Box<UsageReport>),
}
