//! One committed change of the two lists.

use boragepass_types::{Allowlist, ListVersion, Plan, WorkspaceId};

/// What a change does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListEdit {
    /// Sets a plan.
    SetPlan(Plan),
    /// Removes a plan.
    RemovePlan(WorkspaceId),
    /// Sets an allowlist.
    SetAllowlist(Allowlist),
    /// Removes an allowlist.
    RemoveAllowlist(WorkspaceId),
    /// Changes nothing; takes the version of a commit whose writer gave up.
    Nothing,
}

impl ListEdit {
    /// Short description for operators.
    pub fn summary(&self) -> String {
        match self {
            Self::SetPlan(plan) => format!("plan {} set", plan.workspace),
            Self::RemovePlan(workspace) => format!("plan {workspace} removed"),
            Self::SetAllowlist(list) => format!("allowlist {} set", list.workspace),
            Self::RemoveAllowlist(workspace) => format!("allowlist {workspace} removed"),
            Self::Nothing => "no change".to_owned(),
        }
    }
}

/// Change with the version it makes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListChange {
    /// Version after the change.
    pub version: ListVersion,
    /// The change.
    pub edit: ListEdit,
}
