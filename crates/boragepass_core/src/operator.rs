//! Operator commands and their replies.

use std::sync::Arc;

use boragepass_types::{
    Allowlist, ContentDigest, EndpointId, ListVersion, Plan, Region, RequestId, SpanMs, VmId, WorkspaceId,
};

use crate::explain::RequestTrace;
use crate::list_change::ListEdit;
use crate::membership::MemberState;
use crate::quarantine::QuarantineEntry;
use crate::usage::UsageReport;

/// Command of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Changes one of the lists.
    Commit {
        /// Version that the operator read; by default the one in force on this VM.
        expect: Option<ListVersion>,
        /// The change.
        edit: ListEdit,
    },
    /// All plans.
    Plans,
    /// One plan.
    Plan(WorkspaceId),
    /// All allowlists.
    Allowlists,
    /// One allowlist.
    Allowlist(WorkspaceId),
    /// State of VMs and endpoints, list versions and VMs that are behind.
    Status,
    /// Decisions for a request.
    Explain(RequestId),
    /// Usage of all VMs.
    Usage,
    /// Content in quarantine.
    Quarantine,
    /// Releases content from quarantine; all of it if no digest is given.
    QuarantineClear(Option<ContentDigest>),
}

/// Reply to an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorReply {
    /// The change is committed. It is accepted once `waiting_for` is empty.
    Committed {
        /// Version that the change created.
        version: ListVersion,
        /// VMs that may still act on an older version.
        waiting_for: Vec<VmId>,
    },
    /// Another change was committed first; this one had no effect.
    Conflict {
        /// Version that the change is based on.
        expected: ListVersion,
        /// Version in force.
        current: ListVersion,
        /// Summaries of the changes in between.
        changes: Vec<String>,
    },
    /// The table service did not answer; the change had no effect.
    Unavailable,
    /// The result of the commit is not known; `status` shows it later.
    Unsettled {
        /// Version that the change creates if it was committed.
        version: ListVersion,
    },
    /// This VM has no lists yet.
    NoLists,
    /// Plans with the version of the lists.
    Plans(ListVersion, Vec<Arc<Plan>>),
    /// Allowlists with the version of the lists.
    Allowlists(ListVersion, Vec<Arc<Allowlist>>),
    /// State of the fleet.
    Status(Box<FleetStatus>),
    /// Decisions for a request.
    Explained {
        /// Decisions by VM.
        traces: Vec<RequestTrace>,
        /// VMs that did not answer.
        silent: Vec<VmId>,
    },
    /// Usage of all VMs.
    Usage {
        /// Reports by VM.
        reports: Vec<UsageReport>,
        /// VMs that did not answer.
        silent: Vec<VmId>,
        /// Plans, which hold the service-level objectives.
        plans: Vec<Arc<Plan>>,
    },
    /// Content in quarantine.
    Quarantine(Vec<QuarantineEntry>),
    /// Number of entries released from quarantine.
    Cleared(usize),
}

/// State of the fleet as one VM sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetStatus {
    /// VM that answers.
    pub vm: VmId,
    /// List version in force on it.
    pub lists: Option<ListVersion>,
    /// Highest list version known to it.
    pub highest: ListVersion,
    /// Whether it admits requests.
    pub admits: bool,
    /// Whether the table service answers.
    pub table_is_up: bool,
    /// Requests in progress on it.
    pub in_progress: usize,
    /// All known VMs, with the one that answers first.
    pub vms: Vec<VmStatus>,
    /// All known endpoints that are not gone.
    pub endpoints: Vec<EndpointStatus>,
    /// VMs that may still admit requests under lists before `highest`.
    pub waiting_for: Vec<VmId>,
}

/// State of one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmStatus {
    /// The VM.
    pub vm: VmId,
    /// Region.
    pub region: Region,
    /// Membership state.
    pub state: MemberState,
    /// List version in force on it.
    pub lists: ListVersion,
}

/// State of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Region.
    pub region: Region,
    /// Whether it accepts new work.
    pub is_open: bool,
    /// Whether it is ejected.
    pub is_ejected: bool,
    /// Attempts of the answering VM in progress there.
    pub in_flight: u32,
    /// Running and queued attempts in its last load report.
    pub reported: u32,
    /// Age of the load report.
    pub age_ms: Option<SpanMs>,
}
