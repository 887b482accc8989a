//! Brings the plans and allowlists to this VM and decides when it may admit requests under them.
//!
//! Changes arrive from other VMs, from the log in the table service and in snapshots. A VM admits no
//! requests until its lists are as new as the head of the table service or, while that is down, as
//! the newest version among the VMs it hears.

use boragepass_types::{ListVersion, TimeMs, VmId};

use crate::counter::Counter;
use crate::effect::{Effect, Effects};
use crate::list_change::ListChange;
use crate::lists::{ApplyResult, ListsSnapshot};
use crate::member_flow::BroadcastSource;
use crate::membership::MemberRecord;
use crate::message::PeerMessage;
use crate::node::{Node, TableOperation};
use crate::platform::{ObjectRequest, RowKey, RowValue, TableReply, TableRequest};
use crate::state_change::StateChange;

/// List versions between two snapshots in the object store.
const VERSIONS_PER_SNAPSHOT: u64 = 64;
/// Minimum time between two requests for missing changes.
const CHANGES_REQUEST_INTERVAL_MS: u64 = 200;

/// Changes requested in one read of the log.
pub(crate) const CHANGES_PER_READ: u64 = 64;

/// Progress of this VM towards lists that are as new as those of the others.
#[derive(Debug, Default)]
pub(crate) struct ListSync {
    /// Whether the head row of the table service was read.
    has_read_head: bool,
    /// When a VM that has lists was first heard.
    first_peer_heard_at: Option<TimeMs>,
    /// Whether another VM has sent its verdicts, or there is no other VM.
    pub(crate) has_peer_verdicts: bool,
    /// Whether this VM may admit requests under its lists.
    is_ready: bool,
    changes_requested_at: Option<TimeMs>,
    /// Version of the last snapshot that this VM stored in the object store.
    last_snapshot_version: ListVersion,
}

impl ListSync {
    /// Resets readiness after isolation: the other VMs may have committed changes in the meantime.
    pub(crate) fn reset_readiness(&mut self) {
        self.is_ready = false;
        self.has_read_head = false;
        self.first_peer_heard_at = None;
    }
}

impl Node {
    /// Whether this VM's lists are as new as any version it knows of, so that it may admit requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.list_sync.is_ready
    }

    /// Starts to admit requests once the lists are as new as the head of the table service or, while that
    /// is down, as the newest version among the VMs heard during `start_gather_ms`.
    pub(crate) fn check_ready(&mut self, now: TimeMs, out: &mut Effects) {
        if self.list_sync.is_ready || self.lists.is_behind() {
            return;
        }
        let gather_time = self.settings.limits.start_gather_ms;
        let has_waited = self.started_at.is_some_and(|at| now.since(at) >= gather_time);
        let knows_verdicts = self.list_sync.has_peer_verdicts && self.verdict_row.is_known();
        if !knows_verdicts && !has_waited {
            return;
        }
        let has_gathered = self.list_sync.first_peer_heard_at.is_some_and(|at| now.since(at) >= gather_time);
        if self.list_sync.has_read_head || has_gathered {
            self.list_sync.is_ready = true;
            out.log(StateChange::Admitting { version: self.lists.version().unwrap_or_default() });
        }
    }

    /// Applies a change and passes it on; `from` is the VM that sent it, if one did.
    pub(crate) fn on_change(&mut self, now: TimeMs, change: ListChange, from: Option<&VmId>, out: &mut Effects) {
        let message = PeerMessage::Change(Box::new(change.clone()));
        match self.lists.apply(change) {
            ApplyResult::Stale => out.count(Counter::ListChangeStale),
            ApplyResult::Deferred => {}
            ApplyResult::Applied { count } => {
                out.push(Effect::Count { counter: Counter::ListChangeApplied, by: count as u64 });
                if self.is_ready() {
                    let source = from.map_or(BroadcastSource::Local, BroadcastSource::Peer);
                    self.broadcast(source, &message, out);
                }
                self.on_lists_changed(now, out);
            }
        }
    }

    fn on_lists_changed(&mut self, now: TimeMs, out: &mut Effects) {
        let version = self.lists.version().unwrap_or_default();
        self.membership.local_record.lists = version;
        if self.is_ready() {
            out.log(StateChange::ListsInForce { version });
        }
        self.check_ready(now, out);
        self.announce_list_version(now, out);
        self.check_commits(now, out);
        self.store_snapshot_if_due(version, out);
    }

    /// Sends the version in force on this VM to the others without waiting for the next heartbeat.
    fn announce_list_version(&mut self, now: TimeMs, out: &mut Effects) {
        self.send_domain_heartbeat(now, out);
        self.send_relay_heartbeat(now, out);
    }

    /// Whether this VM has the lowest name of all that serve, and so performs the tasks of which the fleet
    /// needs one run. While views differ, two VMs may find it true.
    pub(crate) fn is_lowest_serving_vm(&self) -> bool {
        self.membership.serving().map(|record| &record.vm).min() == Some(&self.settings.vm)
    }

    /// Stores a snapshot in the object store if the last one is old; one VM of the fleet does this.
    fn store_snapshot_if_due(&mut self, version: ListVersion, out: &mut Effects) {
        let is_due = version.0 >= self.list_sync.last_snapshot_version.0 + VERSIONS_PER_SNAPSHOT;
        if !is_due || !self.is_lowest_serving_vm() {
            return;
        }
        self.list_sync.last_snapshot_version = version;
        let Some(snapshot) = self.lists.snapshot() else {
            return;
        };
        let op = self.new_op();
        out.push(Effect::Object { op, request: ObjectRequest::PutSnapshot(snapshot.into()) });
    }

    /// Loads a snapshot if it is newer than the lists in force.
    pub(crate) fn load_snapshot(&mut self, now: TimeMs, snapshot: &ListsSnapshot, out: &mut Effects) {
        if self.lists.load(snapshot) {
            out.count(Counter::ListChangeApplied);
            self.on_lists_changed(now, out);
        }
    }

    /// Reads the latest version and the quarantine verdicts from the table service.
    pub(crate) fn poll_head(&mut self, out: &mut Effects) {
        self.ask_table(TableRequest::Read(vec![RowKey::Head, RowKey::Verdicts]), TableOperation::HeadPoll, out);
    }

    /// Handles the latest version and the quarantine verdicts from the table service.
    pub(crate) fn on_head_read(&mut self, now: TimeMs, reply: TableReply, out: &mut Effects) {
        let TableReply::Rows(rows) = reply else {
            return;
        };
        let mut rows = rows.into_iter();
        let head = rows.next().flatten();
        let verdicts = rows.next().flatten();
        match head.map(|row| row.value) {
            Some(RowValue::Head(version)) => self.lists.record_version(version),
            Some(_) => return,
            None => {}
        }
        if !self.may_have_stale_input(now) {
            self.list_sync.has_read_head = true;
        }
        self.lists.start_empty();
        if self.lists.is_behind() {
            self.read_missing_changes(now, out);
        }
        self.on_verdict_row(now, verdicts, out);
        self.check_ready(now, out);
    }

    /// Reads the changes that this VM is missing from the table service.
    fn read_missing_changes(&mut self, now: TimeMs, out: &mut Effects) {
        let is_request_recent =
            self.list_sync.changes_requested_at.is_some_and(|at| now.since(at).0 < CHANGES_REQUEST_INTERVAL_MS);
        if is_request_recent {
            return;
        }
        self.list_sync.changes_requested_at = Some(now);
        let after = self.lists.version_or_zero();
        let keys = (1..=CHANGES_PER_READ).map(|offset| RowKey::Change(ListVersion(after.0 + offset)));
        self.ask_table(TableRequest::Read(keys.collect()), TableOperation::ChangesRead, out);
    }

    /// Applies the changes read from the table service.
    pub(crate) fn on_changes_read(&mut self, now: TimeMs, reply: TableReply, out: &mut Effects) {
        self.list_sync.changes_requested_at = None;
        let changes = changes_in(reply);
        let is_full_read = changes.len() as u64 == CHANGES_PER_READ;
        for change in changes {
            self.on_change(now, change, None, out);
        }
        if self.lists.is_behind() && is_full_read {
            self.read_missing_changes(now, out);
        }
    }

    /// Requests the missing changes from a VM that has later lists.
    pub(crate) fn catch_up_with(&mut self, now: TimeMs, sender: &MemberRecord, out: &mut Effects) {
        self.lists.record_version(sender.lists);
        if sender.lists > ListVersion(0) && !self.may_have_stale_input(now) {
            self.list_sync.first_peer_heard_at.get_or_insert(now);
        }
        self.check_ready(now, out);
        let local_version = self.lists.version();
        if sender.lists == ListVersion(0) || local_version >= Some(sender.lists) {
            return;
        }
        let is_request_recent =
            self.list_sync.changes_requested_at.is_some_and(|at| now.since(at).0 < CHANGES_REQUEST_INTERVAL_MS);
        if is_request_recent {
            return;
        }
        self.list_sync.changes_requested_at = Some(now);
        let query = match local_version {
            Some(after) if after > ListVersion(0) => PeerMessage::ChangesQuery { after },
            _ => PeerMessage::SnapshotQuery,
        };
        self.send_to(sender, query, out);
    }

    /// Sends the changes after a version to a VM that is missing them.
    pub(crate) fn on_changes_query(&mut self, from: &VmId, after: ListVersion, out: &mut Effects) {
        let Some(changes) = self.lists.changes_after(after) else {
            self.on_snapshot_query(from, out);
            return;
        };
        for change in changes {
            self.send_to_vm(from, PeerMessage::Change(Box::new(change)), out);
        }
    }

    /// Sends a snapshot to a VM that has no lists.
    pub(crate) fn on_snapshot_query(&mut self, from: &VmId, out: &mut Effects) {
        if let Some(snapshot) = self.lists.snapshot() {
            self.send_to_vm(from, PeerMessage::Snapshot(snapshot.into()), out);
        }
    }
}

/// List changes in a reply of the table service.
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
