//! Exchange of messages with other VMs.
//!
//! Sends heartbeats and broadcasts along the routes that `membership` gives, applies what other VMs
//! send, and detects when this VM has stalled or is isolated.

use boragepass_types::{
    ContentDigest, FailureDomain, Hash64, Incarnation, ListVersion, SpanMs, TimeMs, VmId, WorkspaceId,
};

use crate::claim_batch::PendingClaim;
use crate::counter::Counter;
use crate::effect::{Effect, Effects};
use crate::membership::{MemberChange, MemberRecord, MemberState};
use crate::message::{Heartbeat, PeerMessage, Verdict, VerdictKind};
use crate::node::Node;
use crate::platform::VmState;
use crate::quarantine::{Clearance, VerdictUpdate};
use crate::state_change::StateChange;
use crate::timers::Timer;

/// A timer that fires this late shows that the process did not run.
const STALL_THRESHOLD: SpanMs = SpanMs(400);
/// Time after a stall during which input may come from buffers that filled up meanwhile.
const STALE_INPUT_PERIOD: SpanMs = SpanMs(1_000);
const START_QUERY_RECEIVERS: usize = 3;

/// Where a broadcast message came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BroadcastSource<'a> {
    /// This VM.
    Local,
    /// Another VM, from which this one received it.
    Peer(&'a VmId),
}

impl Node {
    /// Sends a message to a VM.
    pub(crate) fn send_to(&mut self, record: &MemberRecord, message: PeerMessage, out: &mut Effects) {
        out.push(Effect::Send { to: record.vm.clone(), address: record.peer_address, message });
    }

    /// Sends a message to a VM by name, if it is known.
    pub(crate) fn send_to_vm(&mut self, vm: &VmId, message: PeerMessage, out: &mut Effects) {
        if let Some(record) = self.membership.get(vm).map(|member| member.record.clone()) {
            self.send_to(&record, message, out);
        }
    }

    /// Forwards a message so that every VM gets it: to the VMs of this failure domain and, from a
    /// relay, to the relays of the other domains, which forward it within theirs.
    pub(crate) fn broadcast(&mut self, from: BroadcastSource<'_>, message: &PeerMessage, out: &mut Effects) {
        let source = match from {
            BroadcastSource::Local => None,
            BroadcastSource::Peer(vm) => self.membership.get(vm).map(|member| member.record.failure_domain.clone()),
        };
        let local_domain = &self.settings.failure_domain;
        let is_from_local_domain = source.as_ref() == Some(local_domain);
        let mut receivers = Vec::new();
        if !is_from_local_domain {
            receivers.extend(self.membership.domain_peers().map(|member| member.record.clone()));
        }
        let is_from_this_vm = source.is_none();
        if (is_from_this_vm || is_from_local_domain) && self.membership.is_relay() {
            receivers.extend(self.membership.remote_relays().into_iter().cloned());
        }
        for record in receivers {
            self.send_to(&record, message.clone(), out);
        }
    }

    /// Broadcasts a verdict on content.
    pub(crate) fn broadcast_verdict(
        &mut self,
        digest: ContentDigest,
        workspace: &WorkspaceId,
        kind: VerdictKind,
        for_ms: SpanMs,
        out: &mut Effects,
    ) {
        let (lost, tester) = (self.quarantine.endpoints_lost_with(digest), self.settings.vm.clone());
        let verdict = Verdict { digest, workspace: workspace.clone(), kind, lost, tester, for_ms };
        self.broadcast(BroadcastSource::Local, &PeerMessage::Verdict(verdict), out);
    }

    fn heartbeat(
        &mut self,
        now: TimeMs,
        records: Vec<MemberRecord>,
        domains: Vec<(FailureDomain, ListVersion)>,
    ) -> PeerMessage {
        self.membership.local_record.lists = self.lists.version().unwrap_or_default();
        let quarantine_hash = self.quarantine.hash(now);
        let local_record = &self.membership.local_record;
        let (epoch, state, lists) = (local_record.epoch, local_record.state, local_record.lists);
        let sender = self.membership.is_full_record_due().then(|| Box::new(local_record.clone()));
        PeerMessage::Heartbeat(Heartbeat { epoch, state, lists, sender, domains, quarantine_hash, records })
    }

    /// Declares silent VMs dead and sends heartbeats within this failure domain.
    pub(crate) fn on_heartbeat_timer(&mut self, now: TimeMs, out: &mut Effects) {
        self.timers.set(now + self.settings.limits.heartbeat_ms, Timer::Heartbeat);
        let timeout = self.settings.limits.member_timeout_ms;
        let changes = self.membership.expire_silent_members(now, timeout);
        let has_changes = !changes.is_empty();
        self.log_member_changes(changes, out);
        self.send_domain_heartbeat(now, out);
        if has_changes {
            self.send_relay_heartbeat(now, out);
        }
    }

    /// Sends the periodic heartbeat of a relay to the relays of the other domains.
    pub(crate) fn on_relay_timer(&mut self, now: TimeMs, out: &mut Effects) {
        self.timers.set(now + self.settings.limits.relay_heartbeat_ms, Timer::RelayHeartbeat);
        self.send_relay_heartbeat(now, out);
    }

    /// Sends a heartbeat to the relays of other domains if this VM is a relay.
    pub(crate) fn send_relay_heartbeat(&mut self, now: TimeMs, out: &mut Effects) {
        if self.membership.is_relay() {
            self.send_heartbeat_to_other_domains(now, out);
        }
    }

    fn send_heartbeat_to_other_domains(&mut self, now: TimeMs, out: &mut Effects) {
        let records = self.membership.take_records_for_other_domains();
        self.membership.local_record.lists = self.lists.version().unwrap_or_default();
        let local_report = (self.settings.failure_domain.clone(), self.membership.local_domain_lists());
        self.announced_list_version = local_report.1;
        let message = self.heartbeat(now, records, vec![local_report]);
        let receivers: Vec<_> = self.membership.remote_relays().into_iter().cloned().collect();
        for record in receivers {
            self.send_to(&record, message.clone(), out);
        }
    }

    /// Sends a heartbeat within this failure domain; a relay adds records of other domains.
    pub(crate) fn send_domain_heartbeat(&mut self, now: TimeMs, out: &mut Effects) {
        let (records, domains) = if self.membership.is_relay() {
            (self.membership.take_records_for_local_domain(), self.membership.take_raised_lists())
        } else {
            (Vec::new(), Vec::new())
        };
        let message = self.heartbeat(now, records, domains);
        let receivers: Vec<_> = self.membership.domain_peers().map(|member| member.record.clone()).collect();
        for record in receivers {
            self.send_to(&record, message.clone(), out);
        }
    }

    /// Sends heartbeats within this domain and to other domains at once, also if this VM is no relay.
    pub(crate) fn send_all_heartbeats(&mut self, now: TimeMs, out: &mut Effects) {
        self.send_domain_heartbeat(now, out);
        self.send_heartbeat_to_other_domains(now, out);
    }

    /// If this VM is a relay, tells other domains at once that this one enforces later lists, so that
    /// commits of list changes do not wait for the next heartbeat.
    fn announce_local_domain_lists(&mut self, now: TimeMs, out: &mut Effects) {
        if self.membership.is_relay() && self.membership.local_domain_lists() > self.announced_list_version {
            self.send_heartbeat_to_other_domains(now, out);
        }
    }

    /// Handles a message from another VM, unless a later incarnation of the sender is known.
    pub(crate) fn on_peer_message(
        &mut self,
        now: TimeMs,
        from: VmId,
        incarnation: Incarnation,
        message: PeerMessage,
        out: &mut Effects,
    ) {
        let may_have_stale_input = self.may_have_stale_input(now);
        let is_current = self.membership.record_message(now, &from, incarnation, may_have_stale_input);
        if !is_current {
            out.count(Counter::PeerMessageStale);
            return;
        }
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(now, &from, incarnation, heartbeat, out),
            PeerMessage::Change(change) => self.on_change(now, *change, Some(&from), out),
            PeerMessage::ChangesQuery { after } => self.on_changes_query(&from, after, out),
            PeerMessage::SnapshotQuery => self.on_snapshot_query(&from, out),
            PeerMessage::Snapshot(snapshot) => self.load_snapshot(now, &snapshot, out),
            PeerMessage::Loads(loads) => self.on_shared_loads(now, &loads, out),
            PeerMessage::VmEntries(entries) => self.on_vm_entries(now, &entries, out),
            PeerMessage::Verdict(verdict) => self.on_verdict(now, BroadcastSource::Peer(&from), verdict, out),
            PeerMessage::Verdicts(verdicts) => self.on_verdicts(now, &from, verdicts, out),
            PeerMessage::VerdictsQuery => self.on_verdicts_query(now, &from, out),
            PeerMessage::ClaimWrites(writes) => {
                for write in writes {
                    self.enqueue_claim(now, PendingClaim { origin: from.clone(), write }, out);
                }
            }
            PeerMessage::ClaimReplies(replies) => self.on_claim_replies(now, replies, out),
            PeerMessage::ClaimQuery { key, version } => self.on_claim_query(&from, key, version, out),
            PeerMessage::ClaimStatus { key, version, status } => {
                self.on_claim_status(now, &key, version, status, out);
            }
            PeerMessage::Progress(progress) => {
                let entries_max = self.settings.limits.progress_max;
                self.progress.insert(now, *progress, entries_max);
            }
            PeerMessage::ProgressDone { workspace, request } => self.progress.remove(&workspace, &request),
            PeerMessage::Gather { op, question } => self.on_gather_request(now, &from, op, &question, out),
            PeerMessage::Gathered { op, part } => self.on_gather_reply(op, from, part, out),
        }
    }

    fn on_heartbeat(
        &mut self,
        now: TimeMs,
        from: &VmId,
        incarnation: Incarnation,
        heartbeat: Heartbeat,
        out: &mut Effects,
    ) {
        let Some(sender) = self.membership.sender_record(from, incarnation, &heartbeat) else {
            // The VM list or a later heartbeat brings the sender's whole record.
            return;
        };
        let may_have_stale_input = self.may_have_stale_input(now);
        let Some(mut changes) = self.membership.apply_self_report(now, &sender, may_have_stale_input) else {
            out.count(Counter::PeerMessageStale);
            return;
        };
        for record in &heartbeat.records {
            changes.extend(self.membership.apply_record(now, record, false));
        }
        for (domain, lists) in &heartbeat.domains {
            self.membership.record_domain_lists(domain, from, *lists);
        }
        let is_urgent = changes.iter().any(|change| !matches!(change, MemberChange::Alive(_)));
        self.log_member_changes(changes, out);
        if is_urgent && self.membership.is_relay() {
            self.send_all_heartbeats(now, out);
        }
        self.notify_declared_dead(now, &sender, out);
        self.query_verdicts(now, &sender, heartbeat.quarantine_hash, out);
        self.catch_up_with(now, &sender, out);
        self.announce_local_domain_lists(now, out);
        self.check_commits(now, out);
    }

    /// Tells a VM that it is recorded as dead, so that it can raise its epoch.
    fn notify_declared_dead(&mut self, now: TimeMs, sender: &MemberRecord, out: &mut Effects) {
        let known_record = self.membership.get(&sender.vm).map(|member| member.record.clone());
        if let Some(record) = known_record.filter(|record| record.state == MemberState::Dead) {
            let message = self.heartbeat(now, vec![record.clone()], Vec::new());
            self.send_to(&record, message, out);
        }
    }

    /// Asks a VM for its verdicts if its quarantine differs from the one here and is not empty; the hash of
    /// an empty one is 0.
    fn query_verdicts(&mut self, now: TimeMs, sender: &MemberRecord, sender_hash: Hash64, out: &mut Effects) {
        let local_hash = self.quarantine.hash(now);
        let is_due = self.verdicts_queried_at.is_none_or(|at| now.since(at) > SpanMs(2_000));
        if sender_hash != local_hash && sender_hash.0 != 0 && is_due {
            self.verdicts_queried_at = Some(now);
            self.send_to(sender, PeerMessage::VerdictsQuery, out);
        }
    }

    pub(crate) fn log_member_changes(&mut self, changes: Vec<MemberChange>, out: &mut Effects) {
        for change in changes {
            match change {
                MemberChange::Alive(vm) => out.log(StateChange::MemberAlive { vm }),
                MemberChange::Leaving(vm) => out.log(StateChange::MemberLeaving { vm }),
                MemberChange::Dead(vm, unheard_ms) => {
                    out.count(Counter::MemberDead);
                    out.log(StateChange::MemberDead { vm, unheard_ms });
                }
            }
        }
    }

    /// Applies a verdict received from another VM or read from the table service.
    pub(crate) fn on_verdict(&mut self, now: TimeMs, from: BroadcastSource<'_>, verdict: Verdict, out: &mut Effects) {
        let spans = self.settings.limits.verdict_spans();
        match self.quarantine.apply(now, &self.settings.vm, &verdict, spans) {
            VerdictUpdate::Known => return,
            VerdictUpdate::Recorded => self.broadcast(from, &PeerMessage::Verdict(verdict.clone()), out),
            VerdictUpdate::Quarantine => {
                let kind = VerdictKind::Quarantined;
                self.broadcast_verdict(verdict.digest, &verdict.workspace, kind, spans.quarantine, out);
                self.save_verdicts(now, out);
            }
        }
        match self.quarantine.clearance(now, verdict.digest) {
            Clearance::Quarantined(for_ms) => {
                out.count(Counter::QuarantineAdded);
                let (digest, workspace) = (verdict.digest, verdict.workspace);
                out.log(StateChange::ContentQuarantined { digest, workspace, for_ms });
                self.fail_quarantined_requests(now, digest, out);
            }
            Clearance::UnderRemoteTrial(_) => self.make_copies_await_trial(now, verdict.digest, None),
            Clearance::Alone | Clearance::Free => {}
        }
    }

    /// Fails requests whose content is in quarantine, unless a claim already has their output or the
    /// stage may not be repeated.
    fn fail_quarantined_requests(&mut self, now: TimeMs, digest: ContentDigest, out: &mut Effects) {
        for key in self.requests.keys() {
            let is_affected = self.requests.get(key).is_some_and(|active| {
                active.request.digest == digest && active.claimed_output.is_none() && active.stage().is_repeatable
            });
            if is_affected {
                self.finish_failed(now, key, boragepass_types::FailureCause::Quarantined, out);
            }
        }
    }

    /// Answers with the verdicts in force. A VM that is not ready may lack some and stays silent.
    fn on_verdicts_query(&mut self, now: TimeMs, from: &VmId, out: &mut Effects) {
        if !self.is_ready() {
            return;
        }
        let verdicts = self.quarantine.verdicts(now, &self.settings.vm);
        self.send_to_vm(from, PeerMessage::Verdicts(verdicts), out);
    }

    fn on_verdicts(&mut self, now: TimeMs, from: &VmId, verdicts: Vec<Verdict>, out: &mut Effects) {
        for verdict in verdicts {
            self.on_verdict(now, BroadcastSource::Peer(from), verdict, out);
        }
        self.list_sync.has_peer_verdicts = true;
        self.check_ready(now, out);
    }

    /// Asks a few VMs for their verdicts after the start; without other VMs there are none to wait for.
    pub(crate) fn query_verdicts_at_start(&mut self, now: TimeMs, out: &mut Effects) {
        if self.list_sync.has_peer_verdicts {
            return;
        }
        let others = self.membership.members().filter(|member| member.listed_state != Some(VmState::Gone));
        let records: Vec<_> = others.map(|member| member.record.clone()).take(START_QUERY_RECEIVERS).collect();
        if records.is_empty() {
            self.list_sync.has_peer_verdicts = true;
            self.check_ready(now, out);
        }
        for record in records {
            self.send_to(&record, PeerMessage::VerdictsQuery, out);
        }
    }

    /// Detects from a late timer that the process has stalled. Messages and load reports that waited
    /// in buffers meanwhile must not count as fresh.
    pub(crate) fn detect_stall(&mut self, now: TimeMs, due_at: TimeMs) {
        if now.since(due_at) < STALL_THRESHOLD || self.may_have_stale_input(now) {
            return;
        }
        self.stale_input_until = Some(now + STALE_INPUT_PERIOD);
        self.endpoints.mark_all_stale();
    }

    /// Whether input may have waited in buffers while the process was stalled.
    pub(crate) fn may_have_stale_input(&self, now: TimeMs) -> bool {
        self.stale_input_until.is_some_and(|until| now < until)
    }

    /// Whether this VM has heard neither the table service nor another VM for the isolation limit.
    pub(crate) fn is_isolated(&self, now: TimeMs) -> bool {
        let started_at = self.started_at.unwrap_or(now);
        let silence = self.membership.peer_silence(now, started_at);
        let Some(silence) = silence else {
            return false;
        };
        let table_silence = self.last_table_reply_at.map_or(silence, |at| now.since(at));
        silence.min(table_silence) > self.settings.limits.isolation_limit_ms
    }

    /// Logs when isolation begins or ends; when it begins, this VM is no longer ready.
    pub(crate) fn update_isolation(&mut self, now: TimeMs, out: &mut Effects) {
        let is_isolated = self.is_isolated(now);
        if is_isolated == self.was_isolated {
            return;
        }
        self.was_isolated = is_isolated;
        if is_isolated {
            self.list_sync.reset_readiness();
        }
        let started_at = self.started_at.unwrap_or(now);
        let for_ms = self.membership.peer_silence(now, started_at).unwrap_or_default();
        out.log(if is_isolated { StateChange::Isolated { for_ms } } else { StateChange::Reconnected });
    }
}
