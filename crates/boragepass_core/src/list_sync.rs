//! How the lists come to this VM and when it may act on them.
//!
//! Changes come from other VMs, from the table service's log and in snapshots. A VM admits nothing
//! before its lists are as new as the head of the table service or, while that is down, as the
//! newest of the VMs it hears.

use boragepass_types::{ListVersion, TimeMs, VmId};

use crate::counter::Counter;
use crate::effect::{Effect, Effects};
use crate::list_change::ListChange;
use crate::lists::{Applied, ListsSnapshot};
use crate::member_flow::BroadcastSource;
use crate::membership::MemberRecord;
use crate::message::PeerMessage;
use crate::node::{Node, TableOperation};
use crate::platform::{ObjectRequest, RowKey, RowValue, TableReply, TableRequest};
use crate::state_change::StateChange;

const SNAPSHOT_EVERY: u64 = 64;
const ASK_PAUSE_MS: u64 = 200;

/// Changes in one read of the log.
pub(crate) const CHANGES_PER_READ: u64 = 64;

/// What is known of the lists elsewhere.
#[derive(Debug, Default)]
pub(crate) struct ListSync {
    /// Whether the head of the table service was read.
    table_known: bool,
    /// When the first VM that has lists was heard.
    peer_heard_at: Option<TimeMs>,
    /// Whether some other VM has told its verdicts, or there is none.
    pub(crate) has_peer_verdicts: bool,
    ready: bool,
    asked_at: Option<TimeMs>,
    snapshot_at: ListVersion,
}

impl ListSync {
    /// Forgets that the lists were as new as any: others may have gone on without this VM.
    pub(crate) fn reset_readiness(&mut self) {
        self.ready = false;
        self.table_known = false;
        self.peer_heard_at = None;
    }
}

impl Node {
    /// Whether this VM has lists that are as new as any it was shown.
    pub(crate) fn is_ready(&self) -> bool {
        self.list_sync.ready
    }

    /// Starts to admit once the lists are as new as the head of the table service or, while that
    /// is down, as the newest of the VMs that were heard within a moment.
    pub(crate) fn check_ready(&mut self, now: TimeMs, out: &mut Effects) {
        if self.list_sync.ready || self.lists.is_behind() {
            return;
        }
        let gather = self.settings.limits.start_gather_ms;
        let has_waited = self.started_at.is_some_and(|at| now.since(at) >= gather);
        let knows_verdicts = self.list_sync.has_peer_verdicts && self.verdict_row.is_known();
        if !knows_verdicts && !has_waited {
            return;
        }
        let has_gathered = self.list_sync.peer_heard_at.is_some_and(|at| now.since(at) >= gather);
        if self.list_sync.table_known || has_gathered {
            self.list_sync.ready = true;
            out.log(StateChange::Admitting { version: self.lists.version().unwrap_or_default() });
        }
    }

    /// Takes over a change, wherever it comes from.
    pub(crate) fn on_change(&mut self, now: TimeMs, change: ListChange, from: Option<&VmId>, out: &mut Effects) {
        let message = PeerMessage::Change(Box::new(change.clone()));
        match self.lists.apply(change) {
            Applied::Stale => out.count(Counter::ListChangeStale),
            Applied::Waits => {}
            Applied::InForce { count } => {
                out.push(Effect::Count { counter: Counter::ListChangeApplied, by: count as u64 });
                if self.is_ready() {
                    let source = from.map_or(BroadcastSource::Local, BroadcastSource::Peer);
                    self.broadcast(source, &message, out);
                }
                self.after_lists_changed(now, out);
            }
        }
    }

    fn after_lists_changed(&mut self, now: TimeMs, out: &mut Effects) {
        let version = self.lists.version().unwrap_or_default();
        self.membership.local_record.lists = version;
        if self.is_ready() {
            out.log(StateChange::ListsInForce { version });
        }
        self.check_ready(now, out);
        self.confirm_lists(now, out);
        self.check_commits(now, out);
        self.store_snapshot(version, out);
    }

    /// Tells the others at once which version is in force here.
    fn confirm_lists(&mut self, now: TimeMs, out: &mut Effects) {
        self.send_domain_heartbeat(now, out);
        self.send_relay_heartbeat(now, out);
    }

    /// Whether this VM does what one VM of the fleet has to do; two may think so for a moment.
    pub(crate) fn is_lowest_serving_vm(&self) -> bool {
        self.membership.serving().map(|record| &record.vm).min() == Some(&self.settings.vm)
    }

    /// One relay a fleet keeps the snapshot in the object store near the head.
    fn store_snapshot(&mut self, version: ListVersion, out: &mut Effects) {
        let is_due = version.0 >= self.list_sync.snapshot_at.0 + SNAPSHOT_EVERY;
        if !is_due || !self.is_lowest_serving_vm() {
            return;
        }
        self.list_sync.snapshot_at = version;
        let Some(snapshot) = self.lists.snapshot() else {
            return;
        };
        let op = self.new_op();
        out.push(Effect::Object { op, request: ObjectRequest::PutSnapshot(snapshot.into()) });
    }

    /// Takes over a snapshot if it is newer than the lists in force.
    pub(crate) fn load_snapshot(&mut self, now: TimeMs, snapshot: &ListsSnapshot, out: &mut Effects) {
        if self.lists.load(snapshot) {
            out.count(Counter::ListChangeApplied);
            self.after_lists_changed(now, out);
        }
    }

    /// Asks the table service for the latest version and the contents in quarantine.
    pub(crate) fn poll_head(&mut self, out: &mut Effects) {
        self.ask_table(TableRequest::Read(vec![RowKey::Head, RowKey::Verdicts]), TableOperation::HeadPoll, out);
    }

    /// Takes over the latest version and the contents in quarantine from the table service.
    pub(crate) fn on_head_read(&mut self, now: TimeMs, reply: TableReply, out: &mut Effects) {
        let TableReply::Rows(rows) = reply else {
            return;
        };
        let mut rows = rows.into_iter();
        let head = rows.next().flatten();
        let verdicts = rows.next().flatten();
        match head.map(|row| row.value) {
            Some(RowValue::Head(version)) => self.lists.note_shown(version),
            Some(_) => return,
            None => {}
        }
        if !self.may_have_stale_input(now) {
            self.list_sync.table_known = true;
        }
        self.lists.start_empty();
        if self.lists.is_behind() {
            self.read_changes(now, out);
        }
        self.on_verdict_row(now, verdicts, out);
        self.check_ready(now, out);
    }

    /// Reads the changes that are missing from the table service.
    fn read_changes(&mut self, now: TimeMs, out: &mut Effects) {
        let is_recent = self.list_sync.asked_at.is_some_and(|at| now.since(at).0 < ASK_PAUSE_MS);
        if is_recent {
            return;
        }
        self.list_sync.asked_at = Some(now);
        let after = self.lists.next_base();
        let keys = (1..=CHANGES_PER_READ).map(|step| RowKey::Change(ListVersion(after.0 + step)));
        self.ask_table(TableRequest::Read(keys.collect()), TableOperation::ChangesRead, out);
    }

    /// Takes over changes from the table service.
    pub(crate) fn on_changes_read(&mut self, now: TimeMs, reply: TableReply, out: &mut Effects) {
        self.list_sync.asked_at = None;
        let changes = changes_in(reply);
        let is_whole = changes.len() as u64 == CHANGES_PER_READ;
        for change in changes {
            self.on_change(now, change, None, out);
        }
        if self.lists.is_behind() && is_whole {
            self.read_changes(now, out);
        }
    }

    /// Asks a VM that shows later lists for what is missing here.
    pub(crate) fn catch_up_with(&mut self, now: TimeMs, sender: &MemberRecord, out: &mut Effects) {
        self.lists.note_shown(sender.lists);
        if sender.lists > ListVersion(0) && !self.may_have_stale_input(now) {
            self.list_sync.peer_heard_at.get_or_insert(now);
        }
        self.check_ready(now, out);
        let mine = self.lists.version();
        if sender.lists == ListVersion(0) || mine >= Some(sender.lists) {
            return;
        }
        let is_recent = self.list_sync.asked_at.is_some_and(|at| now.since(at).0 < ASK_PAUSE_MS);
        if is_recent {
            return;
        }
        self.list_sync.asked_at = Some(now);
        let question = match mine {
            Some(after) if after > ListVersion(0) => PeerMessage::ChangesQuery { after },
            _ => PeerMessage::SnapshotQuery,
        };
        self.send_to(sender, question, out);
    }

    /// Another VM lacks changes.
    pub(crate) fn on_changes_query(&mut self, from: &VmId, after: ListVersion, out: &mut Effects) {
        let Some(changes) = self.lists.changes_after(after) else {
            self.on_snapshot_query(from, out);
            return;
        };
        for change in changes {
            self.send_to_vm(from, PeerMessage::Change(Box::new(change)), out);
        }
    }

    /// Another VM lacks the lists.
    pub(crate) fn on_snapshot_query(&mut self, from: &VmId, out: &mut Effects) {
        if let Some(snapshot) = self.lists.snapshot() {
            self.send_to_vm(from, PeerMessage::Snapshot(snapshot.into()), out);
        }
    }
}

/// Changes in a reply of the table service.
pub(crate) fn changes_in(reply: TableReply) -> Vec<ListChange> {
    let TableReply::Rows(rows) = reply else {
        return Vec::new();
    };
    let values = rows.into_iter().flatten().map(|row| row.value);
    values
        .filter_map(|value| match value {
            RowValue::Change(change) => Some(*change),
            _ => None,
        })
        .collect()
}
