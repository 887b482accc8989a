//! Moves claims between requests, the VMs that commit them and the table service.
//!
//! The decisions are in `claims`; this module carries them out, batches the writes on the committers
//! and continues or ends the request that waited for a claim.

use boragepass_types::{NotRunReason, OpId, Outcome, SpanMs, StageId, TimeMs, VmId, rendezvous_weight};

use crate::claim_batch::{OutgoingReply, PendingClaim};
use crate::claim_output::{ClaimOutput, ClaimRefusal, WriteRoute};
use crate::claim_row::ClaimOwner;
use crate::claims::Claims;
use crate::counter::Counter;
use crate::effect::Effects;
use crate::explain::{AttemptReason, ClaimStep, Decision};
use crate::membership::{MemberRecord, MemberState};
use crate::message::{ClaimStatus, ClaimWrite, ClaimWriteReply, PeerMessage};
use crate::node::{Node, TableOperation};
use crate::platform::{RowKey, TableReply, TableRequest};
use crate::request_table::{Phase, RequestKey};
use crate::timers::Timer;

/// Percentage of the claim timeout after which a write that got no reply from its committer is read back.
const COMMITTER_TIMEOUT_PERCENT: u64 = 25;
const MS_PER_S: u64 = 1_000;
const RETRY_AFTER: SpanMs = SpanMs(1_000);

impl Node {
    /// Carries out the actions that the claims request.
    pub(crate) fn apply_claim_outputs(&mut self, now: TimeMs, outputs: Vec<ClaimOutput>, out: &mut Effects) {
        for output in outputs {
            match output {
                ClaimOutput::Write { write, route } => self.send_claim(now, write, route, out),
                ClaimOutput::Read { op, key } => {
                    self.ask_table(TableRequest::Read(vec![key]), TableOperation::ClaimRead(op), out);
                }
                ClaimOutput::Granted { request, stage_output } => {
                    self.on_claim_granted(now, request, stage_output, out)
                }
                ClaimOutput::Refused { request, reason } => self.on_claim_refused(now, request, reason, out),
                ClaimOutput::QueryOwner { request, key, version, owner } => {
                    self.query_owner(now, request, key, version, &owner, out);
                }
                ClaimOutput::Step { request, step } => self.record_claim_step(now, request, step, out),
            }
        }
    }

    fn record_claim_step(&mut self, now: TimeMs, request: RequestKey, step: ClaimStep, out: &mut Effects) {
        if step == ClaimStep::Held {
            out.count(Counter::ClaimHeld);
        }
        if let Some(active) = self.requests.get(request) {
            self.tracer.record(now, &active.request.workspace, &active.request.id, Decision::Claim(step));
        }
    }

    /// Sends a claim to the VM that commits it, which may be this one.
    fn send_claim(&mut self, now: TimeMs, write: ClaimWrite, route: WriteRoute, out: &mut Effects) {
        let committer = self.committer_of(&write.key).filter(|record| record.vm != self.settings.vm).cloned();
        match committer.filter(|_| route == WriteRoute::Committer) {
            Some(record) => self.send_to(&record, PeerMessage::ClaimWrites(vec![write]), out),
            None => {
                let origin = self.settings.vm.clone();
                self.enqueue_claim(now, PendingClaim { origin, write }, out);
            }
        }
    }

    /// Committer of a claim, one of the few in this region. VMs may disagree on it: the table service decides
    /// which write wins.
    fn committer_of(&self, key: &RowKey) -> Option<&MemberRecord> {
        let region = &self.settings.region;
        let mut ranked: Vec<_> = self
            .membership
            .serving()
            .filter(|record| record.region == *region)
            .map(|record| (rendezvous_weight(region.as_str(), record.vm.as_str()), record))
            .collect();
        ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.vm.cmp(&b.1.vm)));
        ranked.truncate(self.settings.limits.claim_committers);
        let key = key.to_string();
        ranked.into_iter().map(|(_, record)| record).max_by_key(|record| rendezvous_weight(&key, record.vm.as_str()))
    }

    /// Queues a claim for the next transaction.
    pub(crate) fn enqueue_claim(&mut self, now: TimeMs, claim: PendingClaim, out: &mut Effects) {
        if let Some(refused) = self.claim_batch.push(claim) {
            self.deliver_claim_replies(now, vec![refused], out);
            return;
        }
        if self.claim_batch.len() >= self.settings.limits.claim_batch_max {
            self.flush_claims(now, out);
        } else if !self.claim_batch.is_timer_set {
            self.set_flush_timer(now);
        }
    }

    /// Lets the first claim wait a few milliseconds for others, or longer so that this committer stays
    /// within its share of the fleet's transaction rate.
    fn set_flush_timer(&mut self, now: TimeMs) {
        self.claim_batch.is_timer_set = true;
        let batch_due_at = now + self.settings.limits.claim_batch_ms;
        let rate_allows_at = self.claim_batch.flushed_at.map_or(batch_due_at, |at| at + self.flush_interval());
        self.timers.set(batch_due_at.max(rate_allows_at), Timer::ClaimFlush);
    }

    /// Minimum time between transactions of one committer.
    fn flush_interval(&self) -> SpanMs {
        let mut by_region = std::collections::BTreeMap::<_, usize>::new();
        for record in self.membership.serving() {
            *by_region.entry(&record.region).or_default() += 1;
        }
        let limit = self.settings.limits.claim_committers;
        let committers: usize = by_region.values().map(|vms| (*vms).min(limit)).sum();
        SpanMs(committers as u64 * MS_PER_S / self.settings.limits.claim_writes_per_s)
    }

    /// Commits the queued claims in one transaction.
    pub(crate) fn flush_claims(&mut self, now: TimeMs, out: &mut Effects) {
        self.claim_batch.is_timer_set = false;
        if self.claim_batch.len() == 0 {
            return;
        }
        self.claim_batch.flushed_at = Some(now);
        let op = self.new_op();
        let writes = self.claim_batch.take_batch(op, self.settings.limits.claim_batch_max);
        out.count(Counter::ClaimBatchSent);
        out.push(crate::effect::Effect::Count { counter: Counter::ClaimRowSent, by: writes.len() as u64 });
        self.pending_table_operations.insert(op, TableOperation::ClaimBatch);
        out.count(Counter::TableRequestSent);
        out.push(crate::effect::Effect::Table { op, request: TableRequest::Commit(writes) });
        if self.claim_batch.len() > 0 {
            self.set_flush_timer(now);
        }
    }

    /// Handles the result of a transaction of claims.
    pub(crate) fn on_claim_batch_reply(&mut self, now: TimeMs, op: OpId, reply: TableReply, out: &mut Effects) {
        let Some(replies) = self.claim_batch.on_reply(op, reply) else {
            return;
        };
        if self.claim_batch.len() > 0 {
            self.flush_claims(now, out);
        }
        self.deliver_claim_replies(now, replies, out);
    }

    fn deliver_claim_replies(&mut self, now: TimeMs, replies: Vec<OutgoingReply>, out: &mut Effects) {
        let mut by_origin: std::collections::BTreeMap<VmId, Vec<ClaimWriteReply>> = std::collections::BTreeMap::new();
        for outgoing in replies {
            by_origin.entry(outgoing.origin).or_default().push(outgoing.reply);
        }
        for (origin, replies) in by_origin {
            if origin == self.settings.vm {
                self.on_claim_replies(now, replies, out);
            } else {
                self.send_to_vm(&origin, PeerMessage::ClaimReplies(replies), out);
            }
        }
    }

    /// Handles the results of claim writes of this VM.
    pub(crate) fn on_claim_replies(&mut self, now: TimeMs, replies: Vec<ClaimWriteReply>, out: &mut Effects) {
        for reply in replies {
            let is_own_write = reply.id.vm == self.settings.vm && reply.id.incarnation == self.settings.incarnation;
            if is_own_write {
                let outputs = self.claims.on_write(now, reply.id.op, reply.result);
                self.apply_claim_outputs(now, outputs, out);
            }
        }
    }

    /// Handles a claim row that was read back.
    pub(crate) fn on_claim_read(&mut self, now: TimeMs, op: OpId, reply: TableReply, out: &mut Effects) {
        let row = match reply {
            TableReply::Rows(rows) => rows.into_iter().next(),
            _ => None,
        };
        let outputs = self.claims.on_read(now, op, row);
        self.apply_claim_outputs(now, outputs, out);
    }

    /// Reads back claim writes without a result and schedules the next check.
    pub(crate) fn clean_up_claims(&mut self, now: TimeMs, out: &mut Effects) {
        self.timers.set(now + Claims::cleanup_interval(), Timer::ClaimCleanup);
        let outputs =
            self.claims.retry_overdue(now, self.settings.limits.claim_timeout_ms.percent(COMMITTER_TIMEOUT_PERCENT));
        self.apply_claim_outputs(now, outputs, out);
    }

    fn on_claim_granted(
        &mut self,
        now: TimeMs,
        key: RequestKey,
        stage_output: Option<boragepass_types::Payload>,
        out: &mut Effects,
    ) {
        let Some(active) = self.requests.get_mut(key) else {
            return;
        };
        active.phase = Phase::Running;
        let Some(output) = stage_output else {
            self.start_first_stage(now, key, out);
            return;
        };
        let claimed_stage = active.pipeline.stages.iter().position(|stage| !stage.is_repeatable).unwrap_or(0);
        active.claimed_output = Some(output.clone());
        let next_stage = claimed_stage + 1;
        if next_stage == active.pipeline.stages.len() {
            self.finish(now, key, Outcome::Answered { output }, out);
            return;
        }
        active.enter_stage(now, next_stage, output);
        self.run_stage(now, key, AttemptReason::First, out);
    }

    fn on_claim_refused(&mut self, now: TimeMs, key: RequestKey, reason: ClaimRefusal, out: &mut Effects) {
        let Some(stage) = self.non_repeatable_stage(key) else {
            return;
        };
        let outcome = match reason {
            ClaimRefusal::Unavailable => {
                out.count(Counter::ClaimUnavailable);
                Outcome::not_run_retry(NotRunReason::ClaimUnavailable, RETRY_AFTER)
            }
            ClaimRefusal::KeyConflict => Outcome::not_run(NotRunReason::KeyConflict),
            ClaimRefusal::Unknown => Outcome::Unknown { stage, retry_after_ms: None },
            ClaimRefusal::InProgress => Outcome::Unknown { stage, retry_after_ms: Some(RETRY_AFTER) },
            ClaimRefusal::Answered(output) => Outcome::Answered { output },
        };
        self.finish(now, key, outcome, out);
    }

    fn non_repeatable_stage(&self, key: RequestKey) -> Option<StageId> {
        let active = self.requests.get(key)?;
        active.pipeline.stages.iter().find(|stage| !stage.is_repeatable).map(|stage| stage.id.clone())
    }

    /// Queries the owner of a claim, or decides without it if that process no longer runs.
    fn query_owner(
        &mut self,
        now: TimeMs,
        request: RequestKey,
        key: RowKey,
        version: boragepass_types::RowVersion,
        owner: &ClaimOwner,
        out: &mut Effects,
    ) {
        let is_this_process = owner.vm == self.settings.vm && owner.incarnation == self.settings.incarnation;
        if is_this_process {
            let status = self.claims.status_of(&key);
            let outputs = self.claims.on_running_owner_reply(now, &key, version, status);
            self.apply_claim_outputs(now, outputs, out);
            return;
        }
        let record = self.membership.get(&owner.vm).map(|member| member.record.clone());
        let is_running = record.as_ref().is_some_and(|record| {
            record.incarnation == owner.incarnation && matches!(record.state, MemberState::Alive | MemberState::Leaving)
        });
        if let Some(record) = record.filter(|_| is_running) {
            self.send_to(&record, PeerMessage::ClaimQuery { key, version }, out);
            return;
        }
        let outputs = match self.claimed_output_from_progress(request) {
            Some(output) => self.claims.take_over_finished_stage(now, &key, version, output),
            None => self.claims.on_owner_reply(now, &key, version, ClaimStatus::NotKnown),
        };
        self.apply_claim_outputs(now, outputs, out);
    }

    /// Replies to a VM that asks whether this one dispatched under a claim.
    pub(crate) fn on_claim_query(
        &mut self,
        from: &VmId,
        key: RowKey,
        version: boragepass_types::RowVersion,
        out: &mut Effects,
    ) {
        let status = self.claims.status_of(&key);
        self.send_to_vm(from, PeerMessage::ClaimStatus { key, version, status }, out);
    }

    /// Handles the status that the owner of a claim reported.
    pub(crate) fn on_claim_status(
        &mut self,
        now: TimeMs,
        key: &RowKey,
        version: boragepass_types::RowVersion,
        status: ClaimStatus,
        out: &mut Effects,
    ) {
        let outputs = self.claims.on_running_owner_reply(now, key, version, status);
        self.apply_claim_outputs(now, outputs, out);
    }

    /// Ends a request whose claim took too long; nothing was dispatched under it.
    pub(crate) fn on_claim_timeout(&mut self, now: TimeMs, key: RequestKey, out: &mut Effects) {
        let is_claiming = self.requests.get(key).is_some_and(|active| active.phase == Phase::Claiming);
        if !is_claiming {
            return;
        }
        out.count(Counter::ClaimUnavailable);
        if self.claims.is_waiting_for_owner(key) {
            // Another VM holds the key and does not reply: it may be running the request.
            let stage = self.non_repeatable_stage(key);
            if let Some(stage) = stage {
                self.finish(now, key, Outcome::Unknown { stage, retry_after_ms: Some(RETRY_AFTER) }, out);
                return;
            }
        }
        let outcome = Outcome::not_run_retry(NotRunReason::ClaimUnavailable, RETRY_AFTER);
        self.finish(now, key, outcome, out);
    }
}
