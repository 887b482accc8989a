//! Commits changes of the plans and allowlists for operators.
//!
//! The row of a version is inserted only if it is absent, so of two concurrent commits one succeeds and
//! the other operator gets the changes in between. A commit whose reply was lost is settled by reading
//! the row back. If it is not there, an empty change is written as a tombstone under its version, and
//! the delayed write fails on it. A commit is accepted once every VM that may still admit requests
//! enforces it.

use std::collections::BTreeMap;

use boragepass_types::{CallId, ListVersion, OpId, TimeMs, VmId};

use crate::effect::{Effect, Effects};
use crate::list_change::{ListChange, ListEdit};
use crate::list_sync::{CHANGES_PER_READ, changes_in};
use crate::node::{Node, TableOperation};
use crate::operator::OperatorReply;
use crate::platform::{ExpectedVersion, Row, RowKey, RowValue, RowWrite, TableReply, TableRequest, WriteId};
use crate::timers::Timer;

const READ_BACKS_MAX: u32 = 6;

/// Commit that is not yet accepted.
#[derive(Debug)]
struct Commit {
    /// Operator's call; `None` once it was answered.
    call: Option<CallId>,
    change: ListChange,
    id: WriteId,
    phase: CommitPhase,
    read_back_count: u32,
    /// Version of the lists that the operator's change is based on.
    expected: ListVersion,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CommitPhase {
    Writing,
    ReadingBack,
    /// An empty change is being written in its place.
    WritingTombstone,
    /// Committed; some VMs may still admit requests under older lists.
    AwaitingEnforcement,
}

/// Commits that are not yet accepted, by the operation that started them.
#[derive(Debug, Default)]
pub(crate) struct Commits {
    pending: BTreeMap<OpId, Commit>,
}

impl Node {
    /// Commits a change for an operator.
    pub(crate) fn commit(
        &mut self,
        now: TimeMs,
        call: CallId,
        expect: Option<ListVersion>,
        edit: ListEdit,
        out: &mut Effects,
    ) {
        let Some(current) = self.lists.version().filter(|_| self.is_ready()) else {
            self.reply_operator(call, OperatorReply::NoLists, out);
            return;
        };
        let expected = expect.unwrap_or(current);
        if expected != current {
            let changes = self.change_summaries_since(expected);
            self.reply_operator(call, OperatorReply::Conflict { expected, current, changes }, out);
            return;
        }
        let change = ListChange { version: current.next(), edit };
        let op = self.new_op();
        let id = self.write_id(op);
        let (phase, call) = (CommitPhase::Writing, Some(call));
        let commit = Commit { call, change: change.clone(), id: id.clone(), phase, read_back_count: 0, expected };
        self.commits.pending.insert(op, commit);
        self.timers.set(now + self.settings.limits.accept_wait_ms, Timer::ListCommitTimeout(op));
        self.write_change(op, &change, &id, out);
    }

    fn write_id(&self, op: OpId) -> WriteId {
        WriteId { vm: self.settings.vm.clone(), incarnation: self.settings.incarnation, op }
    }

    fn write_change(&mut self, op: OpId, change: &ListChange, id: &WriteId, out: &mut Effects) {
        let version_row = RowWrite {
            key: RowKey::Change(change.version),
            expect: ExpectedVersion::Absent,
            id: id.clone(),
            value: RowValue::Change(Box::new(change.clone())),
        };
        let head_row = RowWrite {
            key: RowKey::Head,
            expect: ExpectedVersion::Any,
            id: id.clone(),
            value: RowValue::Head(change.version),
        };
        let mut writes = vec![version_row, head_row];
        let entry_key = match &change.edit {
            ListEdit::SetPlan(plan) => Some(RowKey::Plan(plan.workspace.clone())),
            ListEdit::RemovePlan(workspace) => Some(RowKey::Plan(workspace.clone())),
            ListEdit::SetAllowlist(list) => Some(RowKey::Allowlist(list.workspace.clone())),
            ListEdit::RemoveAllowlist(workspace) => Some(RowKey::Allowlist(workspace.clone())),
            ListEdit::Nothing => None,
        };
        if let Some(key) = entry_key {
            let value = RowValue::Change(Box::new(change.clone()));
            writes.push(RowWrite { key, expect: ExpectedVersion::Any, id: id.clone(), value });
        }
        self.ask_table(TableRequest::Commit(writes), TableOperation::ListCommit(op), out);
    }

    /// Handles the result of a commit's write or of its tombstone's.
    pub(crate) fn on_commit_reply(&mut self, now: TimeMs, op: OpId, reply: TableReply, out: &mut Effects) {
        let Some(phase) = self.commits.pending.get(&op).map(|commit| commit.phase) else {
            return;
        };
        match (phase, reply) {
            (CommitPhase::Writing, TableReply::Committed(_)) => self.on_committed(now, op, out),
            (CommitPhase::Writing, TableReply::Conflict(rows)) => self.on_commit_row(now, op, first_row(rows), out),
            (CommitPhase::Writing, TableReply::Unavailable) => {
                self.end_commit(op, OperatorReply::Unavailable, out);
            }
            (CommitPhase::WritingTombstone, TableReply::Committed(_)) => self.on_tombstone_committed(now, op, out),
            (CommitPhase::WritingTombstone, TableReply::Conflict(rows)) => {
                self.on_commit_row(now, op, first_row(rows), out)
            }
            (CommitPhase::Writing | CommitPhase::WritingTombstone, _) => self.read_commit_back(op, out),
            (CommitPhase::ReadingBack | CommitPhase::AwaitingEnforcement, _) => {}
        }
    }

    fn read_commit_back(&mut self, op: OpId, out: &mut Effects) {
        let Some(commit) = self.commits.pending.get_mut(&op) else {
            return;
        };
        commit.phase = CommitPhase::ReadingBack;
        commit.read_back_count += 1;
        let key = RowKey::Change(commit.change.version);
        self.ask_table(TableRequest::Read(vec![key]), TableOperation::ListReadBack(op), out);
    }

    /// Handles the row of a version that was read back.
    pub(crate) fn on_commit_read_back(&mut self, now: TimeMs, op: OpId, reply: TableReply, out: &mut Effects) {
        let TableReply::Rows(rows) = reply else {
            self.retry_commit_read_back(op, out);
            return;
        };
        match rows.into_iter().next().flatten() {
            Some(row) => self.on_commit_row(now, op, Some(row), out),
            None => self.write_commit_tombstone(op, out),
        }
    }

    fn retry_commit_read_back(&mut self, op: OpId, out: &mut Effects) {
        let Some(commit) = self.commits.pending.get(&op) else {
            return;
        };
        let version = commit.change.version;
        if commit.read_back_count < READ_BACKS_MAX {
            self.read_commit_back(op, out);
        } else {
            self.end_commit(op, OperatorReply::Unsettled { version }, out);
        }
    }

    fn write_commit_tombstone(&mut self, op: OpId, out: &mut Effects) {
        let tombstone_op = self.new_op();
        let id = self.write_id(tombstone_op);
        let Some(commit) = self.commits.pending.get_mut(&op) else {
            return;
        };
        commit.phase = CommitPhase::WritingTombstone;
        let change = ListChange { version: commit.change.version, edit: ListEdit::Nothing };
        self.write_change(op, &change, &id, out);
    }

    /// Ends a commit whose version now belongs to an empty change, so that it can no longer take effect.
    fn on_tombstone_committed(&mut self, now: TimeMs, op: OpId, out: &mut Effects) {
        let Some(commit) = self.commits.pending.get(&op) else {
            return;
        };
        let change = ListChange { version: commit.change.version, edit: ListEdit::Nothing };
        self.end_commit(op, OperatorReply::Unavailable, out);
        self.on_change(now, change, None, out);
    }

    /// Settles a commit by the row found under its version.
    fn on_commit_row(&mut self, now: TimeMs, op: OpId, row: Option<Row>, out: &mut Effects) {
        let Some(commit) = self.commits.pending.get(&op) else {
            return;
        };
        let is_own_write = row.as_ref().is_some_and(|row| row.write_id == commit.id);
        if is_own_write {
            self.on_committed(now, op, out);
            return;
        }
        let after = commit.expected;
        let keys = (1..=CHANGES_PER_READ).map(|offset| RowKey::Change(ListVersion(after.0 + offset)));
        self.ask_table(TableRequest::Read(keys.collect()), TableOperation::ListConflict(op), out);
    }

    /// Ends a commit with a conflict and applies the changes since the version that the operator read.
    pub(crate) fn on_commit_conflict_read(&mut self, now: TimeMs, op: OpId, reply: TableReply, out: &mut Effects) {
        let changes = changes_in(reply);
        let summaries = changes.iter().map(|change| format!("version {}: {}", change.version, change.edit.summary()));
        let summaries: Vec<_> = summaries.collect();
        let Some(commit) = self.commits.pending.get(&op) else {
            return;
        };
        let expected = commit.expected;
        let local_version = self.lists.version().unwrap_or_default();
        let current = changes.last().map_or(local_version, |change| change.version.max(local_version));
        self.end_commit(op, OperatorReply::Conflict { expected, current, changes: summaries }, out);
        for change in changes {
            self.on_change(now, change, None, out);
        }
    }

    fn on_committed(&mut self, now: TimeMs, op: OpId, out: &mut Effects) {
        let Some(commit) = self.commits.pending.get_mut(&op) else {
            return;
        };
        commit.phase = CommitPhase::AwaitingEnforcement;
        let change = commit.change.clone();
        self.on_change(now, change, None, out);
        self.check_commits(now, out);
    }

    fn end_commit(&mut self, op: OpId, reply: OperatorReply, out: &mut Effects) {
        let call = self.commits.pending.remove(&op).and_then(|commit| commit.call);
        if let Some(call) = call {
            self.reply_operator(call, reply, out);
        }
    }

    /// Accepts the commits that every VM enforces.
    pub(crate) fn check_commits(&mut self, now: TimeMs, out: &mut Effects) {
        let awaiting: Vec<_> = self
            .commits
            .pending
            .iter()
            .filter(|(_, commit)| commit.phase == CommitPhase::AwaitingEnforcement)
            .map(|(op, commit)| (*op, commit.change.version))
            .collect();
        for (op, version) in awaiting {
            if self.waiting_for(now, version).is_empty() {
                self.end_commit(op, OperatorReply::Committed { version, waiting_for: Vec::new() }, out);
            }
        }
    }

    /// VMs that may still admit requests under lists before `version`.
    pub(crate) fn waiting_for(&self, now: TimeMs, version: ListVersion) -> Vec<VmId> {
        let mut waiting = self.membership.vms_behind(now, version, self.settings.limits.isolation_limit_ms);
        // Without the VM list, this VM cannot rule out that unknown VMs admit requests.
        let is_fleet_known = self.watch.knows_vm_list();
        if self.lists.version() < Some(version) || !is_fleet_known {
            waiting.push(self.settings.vm.clone());
        }
        waiting
    }

    /// Answers an operator whose commit is not accepted within `accept_wait_ms`.
    pub(crate) fn on_commit_timeout(&mut self, now: TimeMs, op: OpId, out: &mut Effects) {
        let Some(commit) = self.commits.pending.get_mut(&op) else {
            return;
        };
        let version = commit.change.version;
        if commit.phase == CommitPhase::AwaitingEnforcement {
            let waiting_for = self.waiting_for(now, version);
            self.end_commit(op, OperatorReply::Committed { version, waiting_for }, out);
            return;
        }
        let call = commit.call.take();
        if let Some(call) = call {
            self.reply_operator(call, OperatorReply::Unsettled { version }, out);
        }
    }

    fn change_summaries_since(&self, version: ListVersion) -> Vec<String> {
        let changes = self.lists.changes_after(version).unwrap_or_default();
        changes.iter().map(|change| format!("version {}: {}", change.version, change.edit.summary())).collect()
    }

    /// Sends a reply to an operator.
    pub(crate) fn reply_operator(&mut self, call: CallId, reply: OperatorReply, out: &mut Effects) {
        out.push(Effect::OperatorReply { call, reply: Box::new(reply) });
    }
}

fn first_row(rows: Vec<(RowKey, Option<Row>)>) -> Option<Row> {
    rows.into_iter().next().and_then(|(_, row)| row)
}
