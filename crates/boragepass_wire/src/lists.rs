//! Wire types of plans, allowlists and their changes, and the parsers of operators' JSON.
//!
//! JSON from an operator is validated with a finding for each problem; values from a VM or a store are
//! validated by the same rules but fail with one error.

use boragepass_core::{ListChange, ListEdit, ListsSnapshot};
use boragepass_types::{Allowlist, Findings, ListVersion, Plan, RawAllowlist, RawPlan};
use serde::{Deserialize, Serialize};

use crate::error::parse_field;
use crate::json::JsonObject;
use crate::{WireError, parse_object};

/// Wire type of [`Plan`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WirePlan {
    workspace: String,
    deadline_ms: u64,
    rate_per_s: u32,
    in_flight_max: u32,
    priority: u8,
    attainment_weight_permille: u16,
    objective_permille: u16,
    entry_vms: u8,
    key_salt: String,
    key_hash: String,
}

impl From<&Plan> for WirePlan {
    fn from(plan: &Plan) -> Self {
        let raw = RawPlan::from(plan);
        Self {
            workspace: raw.workspace,
            deadline_ms: raw.deadline_ms,
            rate_per_s: raw.rate_per_s,
            in_flight_max: raw.in_flight_max,
            priority: raw.priority,
            attainment_weight_permille: raw.attainment_weight_permille,
            objective_permille: raw.objective_permille,
            entry_vms: raw.entry_vms,
            key_salt: raw.key_salt,
            key_hash: raw.key_hash,
        }
    }
}

impl TryFrom<WirePlan> for Plan {
    type Error = WireError;

    fn try_from(wire: WirePlan) -> Result<Self, Self::Error> {
        let raw = RawPlan {
            workspace: wire.workspace,
            deadline_ms: wire.deadline_ms,
            rate_per_s: wire.rate_per_s,
            in_flight_max: wire.in_flight_max,
            priority: wire.priority,
            attainment_weight_permille: wire.attainment_weight_permille,
            objective_permille: wire.objective_permille,
            entry_vms: wire.entry_vms,
            key_salt: wire.key_salt,
            key_hash: wire.key_hash,
        };
        Self::try_from(raw).map_err(|findings| WireError::Undecodable(findings.to_string()))
    }
}

/// Wire type of [`Allowlist`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireAllowlist {
    workspace: String,
    models: Vec<String>,
    adapters: Vec<String>,
    stages: Vec<String>,
    regions: Vec<String>,
}

impl From<&Allowlist> for WireAllowlist {
    fn from(list: &Allowlist) -> Self {
        let raw = RawAllowlist::from(list);
        Self {
            workspace: raw.workspace,
            models: raw.models,
            adapters: raw.adapters,
            stages: raw.stages,
            regions: raw.regions,
        }
    }
}

impl TryFrom<WireAllowlist> for Allowlist {
    type Error = WireError;

    fn try_from(wire: WireAllowlist) -> Result<Self, Self::Error> {
        let raw = RawAllowlist {
            workspace: wire.workspace,
            models: wire.models,
            adapters: wire.adapters,
            stages: wire.stages,
            regions: wire.regions,
        };
        Self::try_from(raw).map_err(|findings| WireError::Undecodable(findings.to_string()))
    }
}

/// Wire type of [`ListEdit`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireListEdit {
    /// Sets a plan.
    SetPlan(WirePlan),
    /// Removes the plan of a workspace.
    RemovePlan(String),
    /// Sets an allowlist.
    SetAllowlist(WireAllowlist),
    /// Removes the allowlist of a workspace.
    RemoveAllowlist(String),
    /// Changes nothing.
    Nothing,
}

impl From<&ListEdit> for WireListEdit {
    fn from(edit: &ListEdit) -> Self {
        match edit {
            ListEdit::SetPlan(plan) => Self::SetPlan(plan.into()),
            ListEdit::RemovePlan(workspace) => Self::RemovePlan(workspace.to_string()),
            ListEdit::SetAllowlist(list) => Self::SetAllowlist(list.into()),
            ListEdit::RemoveAllowlist(workspace) => Self::RemoveAllowlist(workspace.to_string()),
            ListEdit::Nothing => Self::Nothing,
        }
    }
}

impl TryFrom<WireListEdit> for ListEdit {
    type Error = WireError;

    fn try_from(wire: WireListEdit) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireListEdit::SetPlan(plan) => Self::SetPlan(plan.try_into()?),
            WireListEdit::RemovePlan(workspace) => Self::RemovePlan(parse_field("workspace", &workspace)?),
            WireListEdit::SetAllowlist(list) => Self::SetAllowlist(list.try_into()?),
            WireListEdit::RemoveAllowlist(workspace) => Self::RemoveAllowlist(parse_field("workspace", &workspace)?),
            WireListEdit::Nothing => Self::Nothing,
        })
    }
}

/// Wire type of [`ListChange`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireListChange {
    version: u64,
    edit: WireListEdit,
}

impl From<&ListChange> for WireListChange {
    fn from(change: &ListChange) -> Self {
        Self { version: change.version.0, edit: (&change.edit).into() }
    }
}

impl TryFrom<WireListChange> for ListChange {
    type Error = WireError;

    fn try_from(wire: WireListChange) -> Result<Self, Self::Error> {
        Ok(Self { version: ListVersion(wire.version), edit: wire.edit.try_into()? })
    }
}

/// Wire type of [`ListsSnapshot`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireListsSnapshot {
    version: u64,
    plans: Vec<WirePlan>,
    allowlists: Vec<WireAllowlist>,
}

impl From<&ListsSnapshot> for WireListsSnapshot {
    fn from(snapshot: &ListsSnapshot) -> Self {
        Self {
            version: snapshot.version.0,
            plans: snapshot.plans.iter().map(|plan| plan.as_ref().into()).collect(),
            allowlists: snapshot.allowlists.iter().map(|list| list.as_ref().into()).collect(),
        }
    }
}

impl TryFrom<WireListsSnapshot> for ListsSnapshot {
    type Error = WireError;

    fn try_from(wire: WireListsSnapshot) -> Result<Self, Self::Error> {
        let plans = wire.plans.into_iter().map(|plan| Plan::try_from(plan).map(Into::into));
        let allowlists = wire.allowlists.into_iter().map(|list| Allowlist::try_from(list).map(Into::into));
        Ok(Self {
            version: ListVersion(wire.version),
            plans: plans.collect::<Result<_, _>>()?,
            allowlists: allowlists.collect::<Result<_, _>>()?,
        })
    }
}

/// Parses a plan from an operator's JSON; reports every problem with its path.
pub fn plan_from_json(bytes: &[u8]) -> Result<Plan, Findings> {
    let mut object = parse_object(bytes)?;
    let raw = RawPlan {
        workspace: object.text("workspace"),
        deadline_ms: object.number("deadline_ms"),
        rate_per_s: object.number("rate_per_s"),
        in_flight_max: object.number("in_flight_max"),
        priority: object.number("priority"),
        attainment_weight_permille: object.number("attainment_weight_permille"),
        objective_permille: object.number("objective_permille"),
        entry_vms: object.number("entry_vms"),
        key_salt: object.text("key_salt"),
        key_hash: object.text("key_hash"),
    };
    check_raw(object, raw)
}

/// Parses an allowlist from an operator's JSON; reports every problem with its path.
pub fn allowlist_from_json(bytes: &[u8]) -> Result<Allowlist, Findings> {
    let mut object = parse_object(bytes)?;
    let raw = RawAllowlist {
        workspace: object.text("workspace"),
        models: object.text_list("models"),
        adapters: object.text_list("adapters"),
        stages: object.text_list("stages"),
        regions: object.text_list("regions"),
    };
    check_raw(object, raw)
}

/// Validates `raw` if reading `object` had no findings: the defaults that stand in for missing or
/// mistyped values would be reported a second time.
pub(crate) fn check_raw<R, T: TryFrom<R, Error = Findings>>(object: JsonObject, raw: R) -> Result<T, Findings> {
    let findings = object.finish();
    if findings.is_empty() { T::try_from(raw) } else { Err(findings) }
}
