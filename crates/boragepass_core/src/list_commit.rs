//! Commits of the lists by operators.
//!
//! The row of a version is inserted only if it is absent, so of two operators one wins and the
//! other is told what changed. A commit whose reply was lost is settled by reading the row back;
//! if it is not there, a change that changes nothing takes its version, on which a delayed write
//! fails. A commit is accepted once every VM that may still admit requests enforces it.

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

/// Commit of an operator.
#[derive(Debug)]
struct Commit {
    call: Option<CallId>,
    change: ListChange,
    id: WriteId,
    phase: CommitPhase,
    read_backs: u32,
    /// Version the operator's change was made for.
    expected: ListVersion,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CommitPhase {
    Writing,
    ReadingBack,
    /// A change that changes nothing was written in its place.
    Burying,
    Spreading,
}

/// Commits under way.
#[derive(Debug, Default)]
pub(crate) struct Commits {
    under_way: BTreeMap<OpId, Commit>,
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
            let changes = self.changes_since(expected);
            self.reply_operator(call, OperatorReply::Conflict { expected, current, changes }, out);
            return;
        }
        let change = ListChange { version: current.next(), edit };
        let op = self.new_op();
        let id = self.write_id(op);
        let (phase, call) = (CommitPhase::Writing, Some(call));
        let commit = Commit { call, change: change.clone(), id: id.clone(), phase, read_backs: 0, expected };
        self.commits.under_way.insert(op, commit);
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
        let current_key = match &change.edit {
            ListEdit::SetPlan(plan) => Some(RowKey::Plan(plan.workspace.clone())),
            ListEdit::RemovePlan(workspace) => Some(RowKey::Plan(workspace.clone())),
            ListEdit::SetAllowlist(list) => Some(RowKey::Allowlist(list.workspace.clone())),
            ListEdit::RemoveAllowlist(workspace) => Some(RowKey::Allowlist(workspace.clone())),
            ListEdit::Nothing => None,
        };
        if let Some(key) = current_key {
            let value = RowValue::Change(Box::new(change.clone()));
            writes.push(RowWrite { key, expect: ExpectedVersion::Any, id: id.clone(), value });
        }
        self.ask_table(TableRequest::Commit(writes), TableOperation::ListCommit(op), out);
    }

    /// Takes over the fate of a commit.
    pub(crate) fn on_commit_reply(&mut self, now: TimeMs, op: OpId, reply: TableReply, out: &mut Effects) {
        let Some(phase) = self.commits.under_way.get(&op).map(|commit| commit.phase) else {
            return;
        };
        match (phase, reply) {
            (CommitPhase::Writing, TableReply::Committed(_)) => self.on_committed(now, op, out),
            (CommitPhase::Writing, TableReply::Conflict(rows)) => self.on_commit_row(now, op, first_row(rows), out),
            (CommitPhase::Writing, TableReply::Unavailable) => {
                self.end_commit(op, OperatorReply::Unavailable, out);
            }
            (CommitPhase::Burying, TableReply::Committed(_)) => self.on_buried(now, op, out),
            (CommitPhase::Burying, TableReply::Conflict(rows)) => self.on_commit_row(now, op, first_row(rows), out),
            (CommitPhase::Writing | CommitPhase::Burying, _) => self.read_commit_back(op, out),
            (CommitPhase::ReadingBack | CommitPhase::Spreading, _) => {}
        }
    }

    fn read_commit_back(&mut self, op: OpId, out: &mut Effects) {
        let Some(commit) = self.commits.under_way.get_mut(&op) else {
            return;
        };
        commit.phase = CommitPhase::ReadingBack;
        commit.read_backs += 1;
        let key = RowKey::Change(commit.change.version);
        self.ask_table(TableRequest::Read(vec![key]), TableOperation::ListReadBack(op), out);
    }

    /// Takes over the row of a version that was read back.
    pub(crate) fn on_commit_read_back(&mut self, now: TimeMs, op: OpId, reply: TableReply, out: &mut Effects) {
        let TableReply::Rows(rows) = reply else {
            self.try_read_back_again(op, out);
            return;
        };
        match rows.into_iter().next().flatten() {
            Some(row) => self.on_commit_row(now, op, Some(row), out),
            None => self.bury_commit(op, out),
        }
    }

    fn try_read_back_again(&mut self, op: OpId, out: &mut Effects) {
        let Some(commit) = self.commits.under_way.get(&op) else {
            return;
        };
        let version = commit.change.version;
        if commit.read_backs < READ_BACKS_MAX {
            self.read_commit_back(op, out);
        } else {
            self.end_commit(op, OperatorReply::Unsettled { version }, out);
        }
    }

    fn bury_commit(&mut self, op: OpId, out: &mut Effects) {
        let tombstone_op = self.new_op();
        let id = self.write_id(tombstone_op);
        let Some(commit) = self.commits.under_way.get_mut(&op) else {
            return;
        };
        commit.phase = CommitPhase::Burying;
        let change = ListChange { version: commit.change.version, edit: ListEdit::Nothing };
        self.write_change(op, &change, &id, out);
    }

    /// The commit's version was taken by a change that changes nothing: it surely failed.
    fn on_buried(&mut self, now: TimeMs, op: OpId, out: &mut Effects) {
        let Some(commit) = self.commits.under_way.get(&op) else {
            return;
        };
        let change = ListChange { version: commit.change.version, edit: ListEdit::Nothing };
        self.end_commit(op, OperatorReply::Unavailable, out);
        self.on_change(now, change, None, out);
    }

    /// Judges the row that stands where the commit wanted to go.
    fn on_commit_row(&mut self, now: TimeMs, op: OpId, row: Option<Row>, out: &mut Effects) {
        let Some(commit) = self.commits.under_way.get(&op) else {
            return;
        };
        let is_mine = row.as_ref().is_some_and(|row| row.write_id == commit.id);
        if is_mine {
            self.on_committed(now, op, out);
            return;
        }
        let after = commit.expected;
        let keys = (1..=CHANGES_PER_READ).map(|step| RowKey::Change(ListVersion(after.0 + step)));
        self.ask_table(TableRequest::Read(keys.collect()), TableOperation::ListConflict(op), out);
    }

    /// Takes over what changed since the version that an operator read.
    pub(crate) fn on_commit_conflict_read(&mut self, now: TimeMs, op: OpId, reply: TableReply, out: &mut Effects) {
        let changes = changes_in(reply);
        let texts = changes.iter().map(|change| format!("version {}: {}", change.version, change.edit.summary()));
        let texts: Vec<_> = texts.collect();
        let Some(commit) = self.commits.under_way.get(&op) else {
            return;
        };
        let expected = commit.expected;
        let known = self.lists.version().unwrap_or_default();
        let current = changes.last().map_or(known, |change| change.version.max(known));
        self.end_commit(op, OperatorReply::Conflict { expected, current, changes: texts }, out);
        for change in changes {
            self.on_change(now, change, None, out);
        }
    }

    fn on_committed(&mut self, now: TimeMs, op: OpId, out: &mut Effects) {
        let Some(commit) = self.commits.under_way.get_mut(&op) else {
            return;
        };
        commit.phase = CommitPhase::Spreading;
        let change = commit.change.clone();
        self.on_change(now, change, None, out);
        self.check_commits(now, out);
    }

    fn end_commit(&mut self, op: OpId, reply: OperatorReply, out: &mut Effects) {
        let call = self.commits.under_way.remove(&op).and_then(|commit| commit.call);
        if let Some(call) = call {
            self.reply_operator(call, reply, out);
        }
    }

    /// Accepts commits that are in force everywhere.
    pub(crate) fn check_commits(&mut self, now: TimeMs, out: &mut Effects) {
        let spreading: Vec<_> = self
            .commits
            .under_way
            .iter()
            .filter(|(_, commit)| commit.phase == CommitPhase::Spreading)
            .map(|(op, commit)| (*op, commit.change.version))
            .collect();
        for (op, version) in spreading {
            if self.waiting_for(now, version).is_empty() {
                self.end_commit(op, OperatorReply::Committed { version, waiting_for: Vec::new() }, out);
            }
        }
    }

    /// VMs that may still act on lists before `version`.
    pub(crate) fn waiting_for(&self, now: TimeMs, version: ListVersion) -> Vec<VmId> {
        let mut waiting = self.membership.behind(now, version, self.settings.limits.isolation_limit_ms);
        // Before the VM list is known, nobody can say who else admits requests.
        let is_fleet_known = self.watch.knows_vm_list();
        if self.lists.version() < Some(version) || !is_fleet_known {
            waiting.push(self.settings.vm.clone());
        }
        waiting
    }

    /// An operator has waited long enough.
    pub(crate) fn on_commit_timeout(&mut self, now: TimeMs, op: OpId, out: &mut Effects) {
        let Some(commit) = self.commits.under_way.get_mut(&op) else {
            return;
        };
        let version = commit.change.version;
        if commit.phase == CommitPhase::Spreading {
            let waiting_for = self.waiting_for(now, version);
            self.end_commit(op, OperatorReply::Committed { version, waiting_for }, out);
            return;
        }
        let call = commit.call.take();
        if let Some(call) = call {
            self.reply_operator(call, OperatorReply::Unsettled { version }, out);
        }
    }

    fn changes_since(&self, version: ListVersion) -> Vec<String> {
        let changes = self.lists.changes_after(version).unwrap_or_default();
        changes.iter().map(|change| format!("version {}: {}", change.version, change.edit.summary())).collect()
    }

    /// Answers an operator.
    pub(crate) fn reply_operator(&mut self, call: CallId, reply: OperatorReply, out: &mut Effects) {
        out.push(Effect::OperatorReply { call, reply: Box::new(reply) });
    }
}

fn first_row(rows: Vec<(RowKey, Option<Row>)>) -> Option<Row> {
    rows.into_iter().next().and_then(|(_, row)| row)
}
