//! Answers to operators in JSON, and the parts of them that VMs exchange.

use boragepass_core::{
    Attainment, EndpointStatus, FleetStatus, NamedCost, OperatorReply, RequestTrace, ServiceLevel, StageCost,
    TraceLine, UsageReport, VmStatus,
};
use boragepass_types::{Bytes, Incarnation, OutcomeKind, SpanMs};
use serde::{Deserialize, Serialize};

use crate::error::{field, texts, try_all};
use crate::{WireAllowlist, WireError, WirePlan};

/// Decisions of one VM for one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRequestTrace {
    /// VM.
    pub vm: String,
    /// Request.
    pub request: String,
    /// Workspace.
    pub workspace: String,
    /// Time since the request arrived, and the decision.
    pub lines: Vec<(u64, String)>,
    /// Decisions that did not fit.
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
            vm: field("vm", &wire.vm)?,
            request: field("request", &wire.request)?,
            workspace: field("workspace", &wire.workspace)?,
            lines: lines.map(|(after_ms, text)| TraceLine { after_ms: SpanMs(after_ms), text }).collect(),
            left_out: wire.left_out,
        })
    }
}

/// Service level of one pipeline of a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireServiceLevel {
    /// Workspace.
    pub workspace: String,
    /// Pipeline.
    pub pipeline: String,
    /// Requests that count and those that met the deadline, for 5 minutes, 1 hour, 6 hours, 3 days.
    pub windows: [(u64, u64); 4],
    /// Requests answered, not run, failed, unknown since the process started.
    pub outcomes: [u64; 4],
}

const KINDS: [OutcomeKind; 4] = [OutcomeKind::Answered, OutcomeKind::NotRun, OutcomeKind::Failed, OutcomeKind::Unknown];

impl From<&ServiceLevel> for WireServiceLevel {
    fn from(level: &ServiceLevel) -> Self {
        Self {
            workspace: level.workspace.to_string(),
            pipeline: level.pipeline.to_string(),
            windows: level.windows.map(|window| (window.total, window.met)),
            outcomes: KINDS.map(|kind| level.outcomes.get(&kind).copied().unwrap_or(0)),
        }
    }
}

impl TryFrom<WireServiceLevel> for ServiceLevel {
    type Error = WireError;

    fn try_from(wire: WireServiceLevel) -> Result<Self, Self::Error> {
        Ok(Self {
            workspace: field("workspace", &wire.workspace)?,
            pipeline: field("pipeline", &wire.pipeline)?,
            windows: wire.windows.map(|(total, met)| Attainment { total, met }),
            outcomes: KINDS.into_iter().zip(wire.outcomes).collect(),
        })
    }
}

/// Cost of one stage of a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireStageCost {
    /// Workspace.
    pub workspace: String,
    /// Stage.
    pub stage: String,
    /// Attempts whose result was used.
    pub used: u64,
    /// Time they took.
    pub used_ms: u64,
    /// Attempts whose result was not used.
    pub wasted: u64,
    /// Time they took.
    pub wasted_ms: u64,
    /// Bytes that crossed regions.
    pub cross_region_bytes: u64,
}

impl From<&NamedCost> for WireStageCost {
    fn from(named: &NamedCost) -> Self {
        Self {
            workspace: named.workspace.to_string(),
            stage: named.stage.to_string(),
            used: named.cost.used,
            used_ms: named.cost.used_ms.0,
            wasted: named.cost.wasted,
            wasted_ms: named.cost.wasted_ms.0,
            cross_region_bytes: named.cost.cross_region.0,
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
        Ok(Self { workspace: field("workspace", &wire.workspace)?, stage: field("stage", &wire.stage)?, cost })
    }
}

/// Usage of one VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireUsageReport {
    /// VM.
    pub vm: String,
    /// Incarnation.
    pub incarnation: u64,
    /// Time that the report covers.
    pub covers_ms: u64,
    /// Service levels.
    pub levels: Vec<WireServiceLevel>,
    /// Costs.
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
            vm: field("vm", &wire.vm)?,
            incarnation: Incarnation(wire.incarnation),
            covers_ms: SpanMs(wire.covers_ms),
            levels: try_all(wire.levels)?,
            costs: try_all(wire.costs)?,
        })
    }
}

/// State of one VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireVmStatus {
    /// VM.
    pub vm: String,
    /// Region.
    pub region: String,
    /// State.
    pub state: String,
    /// Version in force on it.
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

/// State of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireEndpointStatus {
    /// Endpoint.
    pub endpoint: String,
    /// Region.
    pub region: String,
    /// Whether it takes new work.
    pub is_open: bool,
    /// Whether it is ejected.
    pub is_ejected: bool,
    /// Work of the answering VM there.
    pub in_flight: u32,
    /// Work it reports.
    pub reported: u32,
    /// Age of the report.
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

/// State of the fleet as one VM sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireFleetStatus {
    /// VM that answers.
    pub vm: String,
    /// Version in force on it.
    pub lists: Option<u64>,
    /// Highest version known.
    pub highest: u64,
    /// Whether it admits requests.
    pub admits: bool,
    /// Whether the table service answers.
    pub table_is_up: bool,
    /// Requests in progress on it.
    pub in_progress: u64,
    /// VMs.
    pub vms: Vec<WireVmStatus>,
    /// Endpoints.
    pub endpoints: Vec<WireEndpointStatus>,
    /// VMs that may still act on an older version.
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
            waiting_for: texts(&status.waiting_for),
        }
    }
}

/// Answer to an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "reply")]
pub enum WireOperatorReply {
    /// In force on every VM that may admit requests.
    Accepted {
        /// Version.
        version: u64,
    },
    /// Cannot be undone, but not in force everywhere yet.
    Committed {
        /// Version.
        version: u64,
        /// VMs that are waited for.
        waiting_for: Vec<String>,
    },
    /// Somebody else was first.
    Conflict {
        /// Version the change was made for.
        expected: u64,
        /// Version in force.
        current: u64,
        /// What changed in between.
        changes: Vec<String>,
    },
    /// Nothing took effect.
    Unavailable,
    /// Not known whether the change took effect.
    Unsettled {
        /// Version it makes if it did.
        version: u64,
    },
    /// The VM has no lists yet.
    NoLists,
    /// The command is wrong.
    Malformed {
        /// Every problem with its place.
        findings: Vec<String>,
    },
    /// The operator's key is missing or wrong.
    Forbidden,
    /// Plans.
    Plans {
        /// Version of the lists.
        version: u64,
        /// Plans.
        plans: Vec<WirePlan>,
    },
    /// Allowlists.
    Allowlists {
        /// Version of the lists.
        version: u64,
        /// Allowlists.
        allowlists: Vec<WireAllowlist>,
    },
    /// State of the fleet.
    Status(WireFleetStatus),
    /// Decisions.
    Explained {
        /// Decisions by VM.
        traces: Vec<WireRequestTrace>,
        /// VMs that did not answer.
        silent: Vec<String>,
    },
    /// Usage.
    Usage {
        /// Reports by VM.
        reports: Vec<WireUsageReport>,
        /// VMs that did not answer.
        silent: Vec<String>,
        /// Plans, for their objectives.
        plans: Vec<WirePlan>,
    },
    /// Content in quarantine: digest, workspace, time left.
    Quarantine {
        /// Entries.
        entries: Vec<(String, String, u64)>,
    },
    /// Entries let go.
    Cleared {
        /// How many.
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
                Self::Committed { version: version.0, waiting_for: texts(waiting_for) }
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
                Self::Explained { traces: traces.iter().map(Into::into).collect(), silent: texts(silent) }
            }
            OperatorReply::Usage { reports, silent, plans } => Self::Usage {
                reports: reports.iter().map(Into::into).collect(),
                silent: texts(silent),
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
