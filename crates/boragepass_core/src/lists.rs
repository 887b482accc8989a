//! The plans and allowlists that this VM enforces.
//!
//! Versions only rise. A change is applied if its version is the next one, deferred while an earlier
//! change is missing and ignored if its version is already applied. A snapshot is applied if it is
//! newer.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use boragepass_types::{Allowlist, ListVersion, Plan, WorkspaceId};

use crate::list_change::{ListChange, ListEdit};

const RECENT_CHANGES_MAX: usize = 512;
/// Edits above this number are dropped; this VM stays behind and requests them again.
const DEFERRED_EDITS_MAX: usize = 1_024;

/// All plans and allowlists at one version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListsSnapshot {
    /// Version of both lists.
    pub version: ListVersion,
    /// Plans.
    pub plans: Vec<Arc<Plan>>,
    /// Allowlists.
    pub allowlists: Vec<Arc<Allowlist>>,
}

/// Result of applying a received change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ApplyResult {
    /// Applied; `count` includes the deferred changes that followed it.
    Applied { count: usize },
    /// Kept until the missing earlier changes arrive.
    Deferred,
    /// Ignored: its version is already applied.
    Stale,
}

/// Plans and allowlists with the recent changes to them.
#[derive(Debug, Default)]
pub(crate) struct Lists {
    version: Option<ListVersion>,
    plans: BTreeMap<WorkspaceId, Arc<Plan>>,
    allowlists: BTreeMap<WorkspaceId, Arc<Allowlist>>,
    recent_changes: VecDeque<ListChange>,
    deferred_edits: BTreeMap<ListVersion, ListEdit>,
    /// Highest version that any VM or the table service has reported.
    pub(crate) highest_known: ListVersion,
}

impl Lists {
    /// Version in force, if there are lists.
    pub(crate) fn version(&self) -> Option<ListVersion> {
        self.version
    }

    /// Plan of a workspace.
    pub(crate) fn plan(&self, workspace: &WorkspaceId) -> Option<&Arc<Plan>> {
        self.plans.get(workspace)
    }

    /// Allowlist of a workspace.
    pub(crate) fn allowlist(&self, workspace: &WorkspaceId) -> Option<&Arc<Allowlist>> {
        self.allowlists.get(workspace)
    }

    /// All plans.
    pub(crate) fn plans(&self) -> impl Iterator<Item = &Arc<Plan>> {
        self.plans.values()
    }

    /// All allowlists.
    pub(crate) fn allowlists(&self) -> impl Iterator<Item = &Arc<Allowlist>> {
        self.allowlists.values()
    }

    /// Sets the version to 0 if there are no lists yet, so that the log is applied from its first change.
    pub(crate) fn start_empty(&mut self) {
        self.version.get_or_insert(ListVersion(0));
        self.apply_deferred();
    }

    /// Version in force, or 0 without lists; the log of changes is read from the version after it.
    pub(crate) fn version_or_zero(&self) -> ListVersion {
        self.version.unwrap_or_default()
    }

    /// Records a version that a VM or the table service has reported.
    pub(crate) fn record_version(&mut self, version: ListVersion) {
        self.highest_known = self.highest_known.max(version);
    }

    /// Whether a later version is known to exist.
    pub(crate) fn is_behind(&self) -> bool {
        self.version.is_none_or(|version| version < self.highest_known)
    }

    /// Applies a change, or defers it while an earlier one is missing.
    pub(crate) fn apply(&mut self, change: ListChange) -> ApplyResult {
        self.record_version(change.version);
        if self.version.is_some_and(|version| change.version <= version) {
            return ApplyResult::Stale;
        }
        if self.deferred_edits.len() < DEFERRED_EDITS_MAX {
            self.deferred_edits.insert(change.version, change.edit);
        }
        match self.apply_deferred() {
            0 => ApplyResult::Deferred,
            count => ApplyResult::Applied { count },
        }
    }

    /// Replaces the lists with a snapshot if it is newer; returns whether it was.
    pub(crate) fn load(&mut self, snapshot: &ListsSnapshot) -> bool {
        if self.version.is_some_and(|version| snapshot.version <= version) {
            return false;
        }
        self.record_version(snapshot.version);
        self.version = Some(snapshot.version);
        self.plans = snapshot.plans.iter().map(|plan| (plan.workspace.clone(), plan.clone())).collect();
        self.allowlists = snapshot.allowlists.iter().map(|list| (list.workspace.clone(), list.clone())).collect();
        self.recent_changes.clear();
        self.apply_deferred();
        true
    }

    /// Snapshot of both lists, if there are any.
    pub(crate) fn snapshot(&self) -> Option<ListsSnapshot> {
        self.version.map(|version| ListsSnapshot {
            version,
            plans: self.plans.values().cloned().collect(),
            allowlists: self.allowlists.values().cloned().collect(),
        })
    }

    /// Changes after a version, or `None` if some of them are no longer stored.
    pub(crate) fn changes_after(&self, after: ListVersion) -> Option<Vec<ListChange>> {
        let version = self.version?;
        if version <= after {
            return Some(Vec::new());
        }
        let first = self.recent_changes.front()?.version;
        let is_complete = first <= after.next();
        is_complete.then(|| self.recent_changes.iter().filter(|change| change.version > after).cloned().collect())
    }

    fn apply_deferred(&mut self) -> usize {
        let Some(mut version) = self.version else {
            return 0;
        };
        let mut count = 0;
        self.deferred_edits.retain(|deferred_version, _| *deferred_version > version);
        while let Some(edit) = self.deferred_edits.remove(&version.next()) {
            version = version.next();
            self.apply_edit(&edit);
            self.recent_changes.push_back(ListChange { version, edit });
            if self.recent_changes.len() > RECENT_CHANGES_MAX {
                self.recent_changes.pop_front();
            }
            count += 1;
        }
        self.version = Some(version);
        count
    }

    fn apply_edit(&mut self, edit: &ListEdit) {
        match edit {
            ListEdit::SetPlan(plan) => {
                self.plans.insert(plan.workspace.clone(), Arc::new(plan.clone()));
            }
            ListEdit::RemovePlan(workspace) => {
                self.plans.remove(workspace);
            }
            ListEdit::SetAllowlist(list) => {
                self.allowlists.insert(list.workspace.clone(), Arc::new(list.clone()));
            }
            ListEdit::RemoveAllowlist(workspace) => {
                self.allowlists.remove(workspace);
            }
            ListEdit::Nothing => {}
        }
    }
}
