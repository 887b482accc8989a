//! Wire types of answers to operators in JSON, and of the traces and usage reports in them that VMs
//! also send to each other in bincode.

use boragepass_core::{
    Attainment, EndpointStatus, FleetStatus, NamedCost, OperatorReply, RequestTrace, ServiceLevel, StageCost,
    TraceLine, UsageReport, VmStatus,
};
use boragepass_types::{Bytes, Incarnation, OutcomeKind, SpanMs};
use serde::{Deserialize, Serialize};

use crate::error::{parse_field, to_strings, try_convert_all};
use crate::{WireAllowlist, WireError, WirePlan};

/// Wire type of [`RequestTrace`]: decisions of one VM for one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRequestTrace {
    /// VM.
    pub vm: String,
    /// Request.
    pub request: String,
    /// Workspace.
    pub workspace: String,
    /// Milliseconds since the request arrived, and the decision.
    pub lines: Vec<(u64, String)>,
    /// Number of decisions left out because the trace was full.
    pub left_out: u32,
}

impl From<&RequestTrace> for WireRequestTrace {
    fn from(trace: &RequestTrace) -> Self {
        Self {
            vm: trace.vm.to_string(),
            request: trace.request.to_string(),
            workspace: trace.workspace.to_string(),
            lines: trace.lines.iter().map(|line| (line.after_ms.0, line.text.clone())).collect(),
            left_out: trace.left_out,
        }
    }
}

impl TryFrom<WireRequestTrace> for RequestTrace {
    type Error = WireError;

    fn try_from(wire: WireRequestTrace) -> Result<Self, Self::Error> {
        let lines = wire.lines.into_iter();
        Ok(Self {
            vm: parse_field("vm", &wire.vm)?,
            request: parse_field("request", &wire.request)?,
            workspace: parse_field("workspace", &wire.workspace)?,
            lines: lines.map(|(after_ms, text)| TraceLine { after_ms: SpanMs(after_ms), text }).collect(),
            left_out: wire.left_out,
        })
    }
}

/// Wire type of [`ServiceLevel`]: service level of one pipeline of a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireServiceLevel {
    /// Workspace.
    pub workspace: String,
    /// Pipeline.
    pub pipeline: String,
    /// Requests that count for the service level and, of these, those answered within the deadline, in
    /// windows of 5 minutes, 1 hour, 6 hours and 3 days.
    pub windows: [(u64, u64); 4],
    /// Requests answered, not run, failed and unknown since the process started.
    pub outcomes: [u64; 4],
}

/// Order of the counts in [`WireServiceLevel::outcomes`].
const OUTCOME_ORDER: [OutcomeKind; 4] =
    [OutcomeKind::Answered, OutcomeKind::NotRun, OutcomeKind::Failed, OutcomeKind::Unknown];

impl From<&ServiceLevel> for WireServiceLevel {
    fn from(level: &ServiceLevel) -> Self {
        Self {
            workspace: level.workspace.to_string(),
            pipeline: level.pipeline.to_string(),
            windows: level.windows.map(|window| (window.total, window.met)),
            outcomes: OUTCOME_ORDER.map(|kind| level.outcomes.get(&kind).copied().unwrap_or(0)),
        }
    }
}

impl TryFrom<WireServiceLevel> for ServiceLevel {
    type Error = WireError;

    fn try_from(wire: WireServiceLevel) -> Result<Self, Self::Error> {
        Ok(Self {
            workspace: parse_field("workspace", &wire.workspace)?,
            pipeline: parse_field("pipeline", &wire.pipeline)?,
            windows: wire.windows.map(|(total, met)| Attainment { total, met }),
            outcomes: OUTCOME_ORDER.into_iter().zip(wire.outcomes).collect(),
        })
    }
}

/// Wire type of [`NamedCost`]: cost of one stage of a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireStageCost {
    /// Workspace.
    pub workspace: String,
    /// Stage.
    pub stage: String,
    /// Number of attempts whose result was used.
    pub used: u64,
    /// Time those attempts took.
    pub used_ms: u64,
    /// Number of attempts whose result was not used.
    pub wasted: u64,
    /// Time those attempts took.
    pub wasted_ms: u64,
    /// Bytes sent to another region.
    pub cross_region_bytes: u64,
}

impl From<&NamedCost> for WireStageCost {
    fn from(named_cost: &NamedCost) -> Self {
        Self {
            workspace: named_cost.workspace.to_string(),
            stage: named_cost.stage.to_string(),
            used: named_cost.cost.used,
            used_ms: named_cost.cost.used_ms.0,
            wasted: named_cost.cost.wasted,
            wasted_ms: named_cost.cost.wasted_ms.0,
            cross_region_bytes: named_cost.cost.cross_region.0,
        }
    }
}

impl TryFrom<WireStageCost> for NamedCost {
    type Error = WireError;

    fn try_from(wire: WireStageCost) -> Result<Self, Self::Error> {
        let cost = StageCost {
            used: wire.used,
            used_ms: SpanMs(wire.used_ms),
            wasted: wire.wasted,
            wasted_ms: SpanMs(wire.wasted_ms),
            cross_region: Bytes(wire.cross_region_bytes),
        };
        Ok(Self {
            workspace: parse_field("workspace", &wire.workspace)?,
            stage: parse_field("stage", &wire.stage)?,
            cost,
        })
    }
}

/// Wire type of [`UsageReport`]: usage on one VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireUsageReport {
    /// VM.
    pub vm: String,
    /// Incarnation.
    pub incarnation: u64,
    /// Time that the report covers.
    pub covers_ms: u64,
    /// Service levels by workspace and pipeline.
    pub levels: Vec<WireServiceLevel>,
    /// Costs by workspace and stage.
    pub costs: Vec<WireStageCost>,
}

impl From<&UsageReport> for WireUsageReport {
    fn from(report: &UsageReport) -> Self {
        Self {
            vm: report.vm.to_string(),
            incarnation: report.incarnation.0,
            covers_ms: report.covers_ms.0,
            levels: report.levels.iter().map(Into::into).collect(),
            costs: report.costs.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<WireUsageReport> for UsageReport {
    type Error = WireError;

    fn try_from(wire: WireUsageReport) -> Result<Self, Self::Error> {
        Ok(Self {
            vm: parse_field("vm", &wire.vm)?,
            incarnation: Incarnation(wire.incarnation),
            covers_ms: SpanMs(wire.covers_ms),
            levels: try_convert_all(wire.levels)?,
            costs: try_convert_all(wire.costs)?,
        })
    }
}

/// Wire type of [`VmStatus`]: state of one VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireVmStatus {
    /// VM.
    pub vm: String,
    /// Region.
    pub region: String,
    /// Membership state.
    pub state: String,
    /// List version in force on it.
    pub lists: u64,
}

impl From<&VmStatus> for WireVmStatus {
    fn from(status: &VmStatus) -> Self {
        Self {
            vm: status.vm.to_string(),
            region: status.region.to_string(),
            state: status.state.to_string(),
            lists: status.lists.0,
        }
    }
}

/// Wire type of [`EndpointStatus`]: state of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireEndpointStatus {
    /// Endpoint.
    pub endpoint: String,
    /// Region.
    pub region: String,
    /// Whether it accepts new work.
    pub is_open: bool,
    /// Whether it is ejected.
    pub is_ejected: bool,
    /// Attempts of the answering VM in progress there.
    pub in_flight: u32,
    /// Running and queued attempts in its last load report.
    pub reported: u32,
    /// Age of that report.
    pub age_ms: Option<u64>,
}

impl From<&EndpointStatus> for WireEndpointStatus {
    fn from(status: &EndpointStatus) -> Self {
        Self {
            endpoint: status.endpoint.to_string(),
            region: status.region.to_string(),
            is_open: status.is_open,
            is_ejected: status.is_ejected,
            in_flight: status.in_flight,
            reported: status.reported,
            age_ms: status.age_ms.map(|age| age.0),
        }
    }
}

/// Wire type of [`FleetStatus`]: state of the fleet as one VM sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireFleetStatus {
    /// VM that answers.
    pub vm: String,
    /// List version in force on it.
    pub lists: Option<u64>,
    /// Highest list version known to it.
    pub highest: u64,
    /// Whether it admits requests.
    pub admits: bool,
    /// Whether the table service answers.
    pub table_is_up: bool,
    /// Requests in progress on it.
    pub in_progress: u64,
    /// All known VMs.
    pub vms: Vec<WireVmStatus>,
    /// All known endpoints.
    pub endpoints: Vec<WireEndpointStatus>,
    /// VMs that may still admit requests under an older list version.
    pub waiting_for: Vec<String>,
}

impl From<&FleetStatus> for WireFleetStatus {
    fn from(status: &FleetStatus) -> Self {
        Self {
            vm: status.vm.to_string(),
            lists: status.lists.map(|version| version.0),
            highest: status.highest.0,
            admits: status.admits,
            table_is_up: status.table_is_up,
            in_progress: status.in_progress as u64,
            vms: status.vms.iter().map(Into::into).collect(),
            endpoints: status.endpoints.iter().map(Into::into).collect(),
            waiting_for: to_strings(&status.waiting_for),
        }
    }
}

/// Wire type of [`OperatorReply`]; a commit that waits for no VM is sent as `accepted`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "reply")]
pub enum WireOperatorReply {
    /// The change is committed and in force on every VM that may admit requests.
    Accepted {
        /// Version that the change created.
        version: u64,
    },
    /// The change is committed, but not yet in force on every VM.
    Committed {
        /// Version that the change created.
        version: u64,
        /// VMs that may still act on an older version.
        waiting_for: Vec<String>,
    },
    /// Another change was committed first; this one had no effect.
    Conflict {
        /// Version that the change is based on.
        expected: u64,
        /// Version in force.
        current: u64,
        /// Summaries of the changes in between.
        changes: Vec<String>,
    },
    /// The table service did not answer; the change had no effect.
    Unavailable,
    /// Whether the change was committed is not known.
    Unsettled {
        /// Version that the change created if it was committed.
        version: u64,
    },
    /// The VM has no list version yet.
    NoLists,
    /// The command is malformed.
    Malformed {
        /// Every problem with its location.
        findings: Vec<String>,
    },
    /// The operator's key is missing or wrong.
    Forbidden,
    /// Plans of all workspaces.
    Plans {
        /// Version of the lists.
        version: u64,
        /// Plans.
        plans: Vec<WirePlan>,
    },
    /// Allowlists of all workspaces.
    Allowlists {
        /// Version of the lists.
        version: u64,
        /// Allowlists.
        allowlists: Vec<WireAllowlist>,
    },
    /// State of the fleet.
    Status(WireFleetStatus),
    /// Decisions taken for a request.
    Explained {
        /// Decisions of each VM that answered.
        traces: Vec<WireRequestTrace>,
        /// VMs that did not answer.
        silent: Vec<String>,
    },
    /// Usage since the start of each process.
    Usage {
        /// Report of each VM that answered.
        reports: Vec<WireUsageReport>,
        /// VMs that did not answer.
        silent: Vec<String>,
        /// Plans, which hold the objectives.
        plans: Vec<WirePlan>,
    },
    /// Content in quarantine.
    Quarantine {
        /// Digest, workspace, and milliseconds until the quarantine ends.
        entries: Vec<(String, String, u64)>,
    },
    /// Content was released from quarantine.
    Cleared {
        /// Number of released entries.
        count: u64,
    },
}

impl From<&OperatorReply> for WireOperatorReply {
    fn from(reply: &OperatorReply) -> Self {
        match reply {
            OperatorReply::Committed { version, waiting_for } if waiting_for.is_empty() => {
                Self::Accepted { version: version.0 }
            }
            OperatorReply::Committed { version, waiting_for } => {
                Self::Committed { version: version.0, waiting_for: to_strings(waiting_for) }
            }
            OperatorReply::Conflict { expected, current, changes } => {
                Self::Conflict { expected: expected.0, current: current.0, changes: changes.clone() }
            }
            OperatorReply::Unavailable => Self::Unavailable,
            OperatorReply::Unsettled { version } => Self::Unsettled { version: version.0 },
            OperatorReply::NoLists => Self::NoLists,
            OperatorReply::Plans(version, plans) => {
                Self::Plans { version: version.0, plans: plans.iter().map(|plan| plan.as_ref().into()).collect() }
            }
            OperatorReply::Allowlists(version, lists) => Self::Allowlists {
                version: version.0,
                allowlists: lists.iter().map(|list| list.as_ref().into()).collect(),
            },
            OperatorReply::Status(status) => Self::Status(status.as_ref().into()),
            OperatorReply::Explained { traces, silent } => {
                Self::Explained { traces: traces.iter().map(Into::into).collect(), silent: to_strings(silent) }
            }
            OperatorReply::Usage { reports, silent, plans } => Self::Usage {
                reports: reports.iter().map(Into::into).collect(),
                silent: to_strings(silent),
                plans: plans.iter().map(|plan| plan.as_ref().into()).collect(),
            },
            OperatorReply::Quarantine(entries) => {
                let entries = entries.iter();
                let entries =
                    entries.map(|entry| (entry.digest.to_string(), entry.workspace.to_string(), entry.left_ms.0));
                Self::Quarantine { entries: entries.collect() }
            }
            OperatorReply::Cleared(count) => Self::Cleared { count: *count as u64 },
        }
    }
}
