//! Heartbeats, relays and messages from other VMs.

use boragepass_types::{
    ContentDigest, FailureDomain, Hash64, Incarnation, ListVersion, SpanMs, TimeMs, VmId, WorkspaceId,
};

use crate::claim_batch::Waiting;
use crate::counter::Counter;
use crate::effect::{Effect, Effects};
use crate::membership::{MemberChange, MemberRecord, MemberState};
use crate::message::{Heartbeat, PeerMessage, Verdict, VerdictKind};
use crate::node::Node;
use crate::platform::VmState;
use crate::quarantine::{Clearance, VerdictNews};
use crate::state_change::StateChange;
use crate::timers::Timer;

const STANDSTILL: SpanMs = SpanMs(400);
const DISTRUST: SpanMs = SpanMs(1_000);
const ASKED_AT_START: usize = 3;

/// Where a message that is passed on came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SpreadFrom<'a> {
    /// This VM.
    Here,
    /// Another VM.
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

    /// Passes a message on so that every VM gets it: everyone at home, and the relays of other
    /// failure domains, who tell theirs.
    pub(crate) fn spread(&mut self, from: SpreadFrom<'_>, message: &PeerMessage, out: &mut Effects) {
        let source = match from {
            SpreadFrom::Here => None,
            SpreadFrom::Peer(vm) => self.membership.get(vm).map(|member| member.record.failure_domain.clone()),
        };
        let home = &self.settings.failure_domain;
        let is_from_home = source.as_ref() == Some(home);
        let mut receivers = Vec::new();
        if !is_from_home {
            receivers.extend(self.membership.domain_peers().map(|member| member.record.clone()));
        }
        let is_from_here = source.is_none();
        if (is_from_here || is_from_home) && self.membership.am_relay() {
            receivers.extend(self.membership.remote_relays().into_iter().cloned());
        }
        for record in receivers {
            self.send_to(&record, message.clone(), out);
        }
    }

    /// Spreads what is known about content.
    pub(crate) fn spread_verdict(
        &mut self,
        digest: ContentDigest,
        workspace: &WorkspaceId,
        kind: VerdictKind,
        for_ms: SpanMs,
        out: &mut Effects,
    ) {
        let (lost, tester) = (self.quarantine.lost_with(digest), self.settings.vm.clone());
        let verdict = Verdict { digest, workspace: workspace.clone(), kind, lost, tester, for_ms };
        self.spread(SpreadFrom::Here, &PeerMessage::Verdict(verdict), out);
    }

    fn heartbeat(
        &mut self,
        now: TimeMs,
        records: Vec<MemberRecord>,
        domains: Vec<(FailureDomain, ListVersion)>,
    ) -> PeerMessage {
        self.membership.me.lists = self.lists.version().unwrap_or_default();
        let quarantine_hash = self.quarantine.hash(now);
        let me = &self.membership.me;
        let (epoch, state, lists) = (me.epoch, me.state, me.lists);
        let sender = self.membership.is_introduction_due().then(|| Box::new(me.clone()));
        PeerMessage::Heartbeat(Heartbeat { epoch, state, lists, sender, domains, quarantine_hash, records })
    }

    /// Heartbeats at home.
    pub(crate) fn on_heartbeat_timer(&mut self, now: TimeMs, out: &mut Effects) {
        self.timers.set(now + self.settings.limits.heartbeat_ms, Timer::Heartbeat);
        let timeout = self.settings.limits.member_timeout_ms;
        let changes = self.membership.expire(now, timeout);
        let is_news = !changes.is_empty();
        self.note_member_changes(changes, out);
        self.tell_home_now(now, out);
        if is_news {
            self.tell_abroad_now(now, out);
        }
    }

    /// Heartbeats to the relays of other failure domains.
    pub(crate) fn on_relay_timer(&mut self, now: TimeMs, out: &mut Effects) {
        self.timers.set(now + self.settings.limits.relay_heartbeat_ms, Timer::RelayHeartbeat);
        self.tell_abroad_now(now, out);
    }

    /// As a relay, tells the relays of other domains about this one.
    pub(crate) fn tell_abroad_now(&mut self, now: TimeMs, out: &mut Effects) {
        if self.membership.am_relay() {
            self.send_abroad(now, out);
        }
    }

    fn send_abroad(&mut self, now: TimeMs, out: &mut Effects) {
        let records = self.membership.take_for_abroad();
        self.membership.me.lists = self.lists.version().unwrap_or_default();
        let home = (self.settings.failure_domain.clone(), self.membership.home_lists());
        self.announced_list_version = home.1;
        let message = self.heartbeat(now, records, vec![home]);
        let receivers: Vec<_> = self.membership.remote_relays().into_iter().cloned().collect();
        for record in receivers {
            self.send_to(&record, message.clone(), out);
        }
    }

    /// Sends a heartbeat at home; a relay adds what it knows of other domains.
    pub(crate) fn tell_home_now(&mut self, now: TimeMs, out: &mut Effects) {
        let (records, domains) = if self.membership.am_relay() {
            (self.membership.take_for_home(), self.membership.take_risen())
        } else {
            (Vec::new(), Vec::new())
        };
        let message = self.heartbeat(now, records, domains);
        let receivers: Vec<_> = self.membership.domain_peers().map(|member| member.record.clone()).collect();
        for record in receivers {
            self.send_to(&record, message.clone(), out);
        }
    }

    /// Tells everybody at once, without waiting for the next heartbeat.
    pub(crate) fn tell_everyone_now(&mut self, now: TimeMs, out: &mut Effects) {
        self.tell_home_now(now, out);
        self.send_abroad(now, out);
    }

    /// As a relay, tells other domains at once that this one enforces later lists.
    fn report_home_lists(&mut self, now: TimeMs, out: &mut Effects) {
        if self.membership.am_relay() && self.membership.home_lists() > self.announced_list_version {
            self.send_abroad(now, out);
        }
    }

    /// Takes over a message from another VM.
    pub(crate) fn on_peer(
        &mut self,
        now: TimeMs,
        from: VmId,
        incarnation: Incarnation,
        message: PeerMessage,
        out: &mut Effects,
    ) {
        let is_distrustful = self.is_distrustful(now);
        let is_current = self.membership.note_message(now, &from, incarnation, is_distrustful);
        if !is_current {
            out.count(Counter::PeerStale);
            return;
        }
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(now, &from, incarnation, heartbeat, out),
            PeerMessage::Change(change) => self.on_change(now, *change, Some(&from), out),
            PeerMessage::ChangesQuery { after } => self.on_changes_query(&from, after, out),
            PeerMessage::SnapshotQuery => self.on_snapshot_query(&from, out),
            PeerMessage::Snapshot(snapshot) => self.load_snapshot(now, &snapshot, out),
            PeerMessage::Loads(loads) => self.on_loads(now, &loads, out),
            PeerMessage::VmEntries(entries) => self.on_entries(now, &entries, out),
            PeerMessage::Verdict(verdict) => self.on_verdict(now, SpreadFrom::Peer(&from), verdict, out),
            PeerMessage::Verdicts(verdicts) => self.on_verdicts(now, &from, verdicts, out),
            PeerMessage::VerdictsQuery => self.on_verdicts_query(now, &from, out),
            PeerMessage::ClaimWrites(writes) => {
                for write in writes {
                    self.collect_claim(now, Waiting { origin: from.clone(), write }, out);
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
            PeerMessage::Gather { op, question } => self.on_gather(now, &from, op, &question, out),
            PeerMessage::Gathered { op, part } => self.on_gathered(op, from, part, out),
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
        let Some(sender) = self.membership.record_of_sender(from, incarnation, &heartbeat) else {
            // The VM list or a later heartbeat will introduce the sender.
            return;
        };
        let is_distrustful = self.is_distrustful(now);
        let Some(mut changes) = self.membership.hear(now, &sender, is_distrustful) else {
            out.count(Counter::PeerStale);
            return;
        };
        for record in &heartbeat.records {
            changes.extend(self.membership.apply_record(now, record, false));
        }
        for (domain, lists) in &heartbeat.domains {
            self.membership.note_domain_lists(domain, from, *lists);
        }
        let is_urgent = changes.iter().any(|change| !matches!(change, MemberChange::Alive(_)));
        self.note_member_changes(changes, out);
        if is_urgent && self.membership.am_relay() {
            self.tell_everyone_now(now, out);
        }
        self.correct_sender(now, &sender, out);
        self.ask_for_verdicts(now, &sender, heartbeat.quarantine_hash, out);
        self.catch_up(now, &sender, out);
        self.report_home_lists(now, out);
        self.check_commits(now, out);
    }

    /// Tells a VM that was taken for dead, so that it can raise its epoch.
    fn correct_sender(&mut self, now: TimeMs, sender: &MemberRecord, out: &mut Effects) {
        let known = self.membership.get(&sender.vm).map(|member| member.record.clone());
        if let Some(record) = known.filter(|record| record.state == MemberState::Dead) {
            let message = self.heartbeat(now, vec![record.clone()], Vec::new());
            self.send_to(&record, message, out);
        }
    }

    fn ask_for_verdicts(&mut self, now: TimeMs, sender: &MemberRecord, theirs: Hash64, out: &mut Effects) {
        let mine = self.quarantine.hash(now);
        let is_due = self.verdicts_queried_at.is_none_or(|at| now.since(at) > SpanMs(2_000));
        if theirs != mine && theirs.0 != 0 && is_due {
            self.verdicts_queried_at = Some(now);
            self.send_to(sender, PeerMessage::VerdictsQuery, out);
        }
    }

    pub(crate) fn note_member_changes(&mut self, changes: Vec<MemberChange>, out: &mut Effects) {
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

    /// Takes over a verdict of another VM, or one that the table service keeps.
    pub(crate) fn on_verdict(&mut self, now: TimeMs, from: SpreadFrom<'_>, verdict: Verdict, out: &mut Effects) {
        let spans = self.settings.limits.verdict_spans();
        match self.quarantine.apply(now, &self.settings.vm, &verdict, spans) {
            VerdictNews::None => return,
            VerdictNews::Noted => self.spread(from, &PeerMessage::Verdict(verdict.clone()), out),
            VerdictNews::Quarantine => {
                let kind = VerdictKind::Quarantined;
                self.spread_verdict(verdict.digest, &verdict.workspace, kind, spans.quarantine, out);
                self.save_verdicts(now, out);
            }
        }
        match self.quarantine.clearance(now, verdict.digest) {
            Clearance::Quarantined(for_ms) => {
                out.count(Counter::QuarantineAdded);
                let (digest, workspace) = (verdict.digest, verdict.workspace);
                out.log(StateChange::Quarantined { digest, workspace, for_ms });
                self.end_quarantined(now, digest, out);
            }
            Clearance::TestedElsewhere(_) => self.hold_copies(now, verdict.digest, None),
            Clearance::Alone | Clearance::Free => {}
        }
    }

    /// Ends requests whose content another VM found guilty.
    fn end_quarantined(&mut self, now: TimeMs, digest: ContentDigest, out: &mut Effects) {
        for key in self.requests.keys() {
            let is_hit = self.requests.get(key).is_some_and(|active| {
                active.request.digest == digest && active.claimed_output.is_none() && active.stage().repeatable
            });
            if is_hit {
                self.finish_failed(now, key, boragepass_types::FailureCause::Quarantined, out);
            }
        }
    }

    /// A VM that has just started itself knows too little to answer.
    fn on_verdicts_query(&mut self, now: TimeMs, from: &VmId, out: &mut Effects) {
        if !self.is_ready() {
            return;
        }
        let verdicts = self.quarantine.verdicts(now, &self.settings.vm);
        self.send_to_vm(from, PeerMessage::Verdicts(verdicts), out);
    }

    fn on_verdicts(&mut self, now: TimeMs, from: &VmId, verdicts: Vec<Verdict>, out: &mut Effects) {
        for verdict in verdicts {
            self.on_verdict(now, SpreadFrom::Peer(from), verdict, out);
        }
        self.list_sync.verdicts_known = true;
        self.check_ready(now, out);
    }

    /// Asks a few VMs for their verdicts, since this VM has just started.
    pub(crate) fn ask_for_verdicts_at_start(&mut self, now: TimeMs, out: &mut Effects) {
        if self.list_sync.verdicts_known {
            return;
        }
        let others = self.membership.members().filter(|member| member.listed != Some(VmState::Gone));
        let records: Vec<_> = others.map(|member| member.record.clone()).take(ASKED_AT_START).collect();
        if records.is_empty() {
            self.list_sync.verdicts_known = true;
            self.check_ready(now, out);
        }
        for record in records {
            self.send_to(&record, PeerMessage::VerdictsQuery, out);
        }
    }

    /// Notes that a timer fires late: the process stood still, and what waited in its buffers is old.
    pub(crate) fn note_lateness(&mut self, now: TimeMs, due_at: TimeMs) {
        if now.since(due_at) < STANDSTILL || self.is_distrustful(now) {
            return;
        }
        self.distrust_until = Some(now + DISTRUST);
        self.endpoints.mark_all_stale();
    }

    /// Whether what arrives may have waited in buffers while the process stood still.
    pub(crate) fn is_distrustful(&self, now: TimeMs) -> bool {
        self.distrust_until.is_some_and(|until| now < until)
    }

    /// Whether this VM hears neither the table service nor another VM.
    pub(crate) fn is_isolated(&self, now: TimeMs) -> bool {
        let started_at = self.started_at.unwrap_or(now);
        let unheard = self.membership.unheard_for(now, started_at);
        let Some(unheard) = unheard else {
            return false;
        };
        let table = self.last_table_reply_at.map_or(unheard, |at| now.since(at));
        unheard.min(table) > self.settings.limits.isolation_limit_ms
    }

    /// Logs when isolation begins or ends.
    pub(crate) fn note_isolation(&mut self, now: TimeMs, out: &mut Effects) {
        let is_isolated = self.is_isolated(now);
        if is_isolated == self.was_isolated {
            return;
        }
        self.was_isolated = is_isolated;
        if is_isolated {
            self.list_sync.start_over();
        }
        let started_at = self.started_at.unwrap_or(now);
        let for_ms = self.membership.unheard_for(now, started_at).unwrap_or_default();
        out.log(if is_isolated { StateChange::Isolated { for_ms } } else { StateChange::Reconnected });
    }
}
