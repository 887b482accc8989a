//! The two lists as this VM enforces them.
//!
//! Versions only rise: a change applies when it is the next one, waits when one before it is
//! missing and is ignored when it is old. A snapshot applies when it is newer.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use boragepass_types::{Allowlist, ListVersion, Plan, WorkspaceId};

use crate::list_change::{ListChange, ListEdit};

const RECENT_MAX: usize = 512;
const PENDING_MAX: usize = 1_024;

/// Both lists at one version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListsSnapshot {
    /// Version.
    pub version: ListVersion,
    /// Plans.
    pub plans: Vec<Arc<Plan>>,
    /// Allowlists.
    pub allowlists: Vec<Arc<Allowlist>>,
}

/// Consequence of a change that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Applied {
    /// In force, with `count` changes that it made possible.
    InForce { count: usize },
    /// One before it is missing.
    Waits,
    /// Already in force or replaced.
    Stale,
}

/// Both lists.
#[derive(Debug, Default)]
pub(crate) struct Lists {
    version: Option<ListVersion>,
    plans: BTreeMap<WorkspaceId, Arc<Plan>>,
    allowlists: BTreeMap<WorkspaceId, Arc<Allowlist>>,
    recent: VecDeque<ListChange>,
    pending: BTreeMap<ListVersion, ListEdit>,
    /// Highest version that anybody has shown.
    pub(crate) highest_shown: ListVersion,
}

impl Lists {
    /// Version in force, if there is one.
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

    /// Starts before the first change, to go through the log from there.
    pub(crate) fn start_empty(&mut self) {
        self.version.get_or_insert(ListVersion(0));
        self.apply_pending();
    }

    /// Version after which the log of changes must be read.
    pub(crate) fn next_base(&self) -> ListVersion {
        self.version.unwrap_or_default()
    }

    /// Notes a version that somebody has shown.
    pub(crate) fn note_shown(&mut self, version: ListVersion) {
        self.highest_shown = self.highest_shown.max(version);
    }

    /// Whether a later version is known to exist.
    pub(crate) fn is_behind(&self) -> bool {
        self.version.is_none_or(|version| version < self.highest_shown)
    }

    /// Takes over a change.
    pub(crate) fn apply(&mut self, change: ListChange) -> Applied {
        self.note_shown(change.version);
        if self.version.is_some_and(|version| change.version <= version) {
            return Applied::Stale;
        }
        if self.pending.len() < PENDING_MAX {
            self.pending.insert(change.version, change.edit);
        }
        match self.apply_pending() {
            0 => Applied::Waits,
            count => Applied::InForce { count },
        }
    }

    /// Takes over a snapshot if it is newer; says whether it was.
    pub(crate) fn load(&mut self, snapshot: &ListsSnapshot) -> bool {
        if self.version.is_some_and(|version| snapshot.version <= version) {
            return false;
        }
        self.note_shown(snapshot.version);
        self.version = Some(snapshot.version);
        self.plans = snapshot.plans.iter().map(|plan| (plan.workspace.clone(), plan.clone())).collect();
        self.allowlists = snapshot.allowlists.iter().map(|list| (list.workspace.clone(), list.clone())).collect();
        self.recent.clear();
        self.apply_pending();
        true
    }

    /// Both lists as a whole.
    pub(crate) fn snapshot(&self) -> Option<ListsSnapshot> {
        self.version.map(|version| ListsSnapshot {
            version,
            plans: self.plans.values().cloned().collect(),
            allowlists: self.allowlists.values().cloned().collect(),
        })
    }

    /// Changes after a version, or `None` when they are no longer all here.
    pub(crate) fn changes_after(&self, after: ListVersion) -> Option<Vec<ListChange>> {
        let version = self.version?;
        if version <= after {
            return Some(Vec::new());
        }
        let first = self.recent.front()?.version;
        let is_whole = first <= after.next();
        is_whole.then(|| self.recent.iter().filter(|change| change.version > after).cloned().collect())
    }

    fn apply_pending(&mut self) -> usize {
        let Some(mut version) = self.version else {
            return 0;
        };
        let mut count = 0;
        self.pending.retain(|pending, _| *pending > version);
        while let Some(edit) = self.pending.remove(&version.next()) {
            version = version.next();
            self.edit(&edit);
            self.recent.push_back(ListChange { version, edit });
            if self.recent.len() > RECENT_MAX {
                self.recent.pop_front();
            }
            count += 1;
        }
        self.version = Some(version);
        count
    }

    fn edit(&mut self, edit: &ListEdit) {
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
