//! One committed change of the plans or allowlists.

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
    /// Changes nothing; takes the version of a commit without a result, so that it can no longer commit.
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

/// Edit with the version it creates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListChange {
    /// Version after the change.
    pub version: ListVersion,
    /// The edit.
    pub edit: ListEdit,
}
