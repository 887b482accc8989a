//! Operators' commands and their answers.

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
        /// Version the operator read; the one in force on this VM if not given.
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
    /// VMs, endpoints, versions and what waits on whom.
    Status,
    /// Decisions for a request.
    Explain(RequestId),
    /// Usage of all VMs.
    Usage,
    /// Content in quarantine.
    Quarantine,
    /// Lets content go; all of it if no digest is given.
    QuarantineClear(Option<ContentDigest>),
}

/// Answer to an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorReply {
    /// The change can no longer be undone. It is accepted when nobody is waited for.
    Committed {
        /// Version it made.
        version: ListVersion,
        /// VMs that may still act on an older version.
        waiting_for: Vec<VmId>,
    },
    /// Somebody else changed the lists first; nothing of this change took effect.
    Conflict {
        /// Version the change was made for.
        expected: ListVersion,
        /// Version in force.
        current: ListVersion,
        /// What changed in between.
        changes: Vec<String>,
    },
    /// The table service did not answer; nothing took effect.
    Unavailable,
    /// The table service did not say whether the change took effect; `status` will show it.
    Unsettled {
        /// Version the change makes if it took effect.
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
    /// Decisions, and VMs that did not answer.
    Explained {
        /// Decisions by VM.
        traces: Vec<RequestTrace>,
        /// VMs that did not answer.
        silent: Vec<VmId>,
    },
    /// Usage, and VMs that did not answer.
    Usage {
        /// Reports by VM.
        reports: Vec<UsageReport>,
        /// VMs that did not answer.
        silent: Vec<VmId>,
        /// Plans, for their objectives.
        plans: Vec<Arc<Plan>>,
    },
    /// Content in quarantine.
    Quarantine(Vec<QuarantineEntry>),
    /// Number of entries let go.
    Cleared(usize),
}

/// State of the fleet as one VM sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetStatus {
    /// VM that answers.
    pub vm: VmId,
    /// Version in force on it.
    pub lists: Option<ListVersion>,
    /// Highest version known.
    pub highest: ListVersion,
    /// Whether it admits requests.
    pub admits: bool,
    /// Whether the table service answers.
    pub table_is_up: bool,
    /// Requests in progress on it.
    pub in_progress: usize,
    /// VMs.
    pub vms: Vec<VmStatus>,
    /// Endpoints.
    pub endpoints: Vec<EndpointStatus>,
    /// VMs that are waited for.
    pub waiting_for: Vec<VmId>,
}

/// State of one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmStatus {
    /// The VM.
    pub vm: VmId,
    /// Region.
    pub region: Region,
    /// State.
    pub state: MemberState,
    /// Version in force on it.
    pub lists: ListVersion,
}

/// State of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Region.
    pub region: Region,
    /// Whether it takes new work.
    pub is_open: bool,
    /// Whether it is ejected.
    pub is_ejected: bool,
    /// Work that this VM has there.
    pub in_flight: u32,
    /// Work that it reports.
    pub reported: u32,
    /// Age of the report.
    pub age_ms: Option<SpanMs>,
}
