//! Ends a request: replies to its callers with one outcome, cancels its attempts, and settles or
//! releases its claim.
//!
//! An attempt of a stage that must not be repeated is not canceled: it may have taken effect, so its
//! late result still settles the claim.

use boragepass_types::{AttemptId, CallId, FailureCause, NotRunReason, Outcome, Payload, SpanMs, TimeMs};

use crate::claim_row::ClaimState;
use crate::counter::Counter;
use crate::effect::{Effect, Effects};
use crate::explain::{AttemptEnd, Decision};
use crate::node::{Node, outcome_counter};
use crate::request_table::{ActiveRequest, RequestKey};
use crate::timers::Timer;
use crate::usage::EndedAttempt;

const RETRY_AFTER: SpanMs = SpanMs(1_000);
const LATE_RESULT_WAIT: SpanMs = SpanMs(60_000);

impl Node {
    /// Ends a request as `failed`, or as `not_run` if no stage of it can have run.
    pub(crate) fn finish_failed(&mut self, now: TimeMs, key: RequestKey, cause: FailureCause, out: &mut Effects) {
        let Some(active) = self.requests.get(key) else {
            return;
        };
        let executed_stages = self.possibly_executed_stages(active);
        let outcome = if executed_stages.is_empty() {
            let reason = match cause {
                FailureCause::DeadlinePassed => NotRunReason::DeadlinePassed,
                FailureCause::CallerDisconnected => NotRunReason::CallerDisconnected,
                FailureCause::Quarantined => NotRunReason::Quarantined,
                FailureCause::AttemptsExhausted | FailureCause::Rejected => {
                    NotRunReason::NoEndpoint(active.stage().id.clone())
                }
            };
            Outcome::not_run_retry(reason, RETRY_AFTER)
        } else {
            Outcome::Failed { executed_stages, cause }
        };
        self.finish(now, key, outcome, out);
    }

    /// Stages that ran or may be running.
    fn possibly_executed_stages(&self, active: &ActiveRequest) -> Vec<boragepass_types::StageId> {
        let mut stages = active.executed_stages.clone();
        let stage = &active.stage().id;
        if !active.attempts.is_empty() && !stages.contains(stage) {
            stages.push(stage.clone());
        }
        stages
    }

    /// Ends a request with an outcome and replies to all its callers.
    pub(crate) fn finish(&mut self, now: TimeMs, key: RequestKey, outcome: Outcome, out: &mut Effects) {
        self.leave_queue(key);
        self.claims.abandon(key);
        let Some(mut active) = self.requests.remove(key) else {
            return;
        };
        let kind = outcome.kind();
        self.end_attempts(now, &mut active, out);
        self.end_claim(now, &active, &outcome, out);
        if kind == boragepass_types::OutcomeKind::Answered {
            self.clear_suspicion(&active, out);
        }
        self.recheck_waiting_copies(now, active.request.digest);
        let request = &active.request;
        self.shares.release(&request.workspace);
        self.tracer.record(now, &request.workspace, &request.id, Decision::Finished(kind));
        let counts = self.counts_against_service_level(&outcome);
        self.usage.record_outcome(now, &request.workspace, &request.pipeline, kind, counts);
        let is_answered = matches!(outcome, Outcome::Answered { .. });
        if is_answered {
            let id = (request.workspace.clone(), request.id.clone());
            let entries_max = self.settings.limits.finished_max;
            self.finished.insert(now, id, request.digest, outcome.clone(), entries_max);
        }
        self.send_progress_done(&active, out);
        for waiter in &active.waiters {
            out.count(outcome_counter(kind));
            out.push(Effect::Reply { call: waiter.call, outcome: outcome.clone(), alternative_addresses: Vec::new() });
        }
    }

    fn counts_against_service_level(&self, outcome: &Outcome) -> bool {
        match outcome {
            Outcome::NotRun { reason, .. } => crate::admission::counts_against_service_level(reason),
            Outcome::Failed { cause, .. } => {
                !matches!(cause, FailureCause::CallerDisconnected | FailureCause::Rejected | FailureCause::Quarantined)
            }
            Outcome::Answered { .. } | Outcome::Unknown { .. } => true,
        }
    }

    /// Cancels the attempts in progress. One of a stage that must not be repeated keeps running, and its
    /// late result is awaited.
    fn end_attempts(&mut self, now: TimeMs, active: &mut ActiveRequest, out: &mut Effects) {
        for id in std::mem::take(&mut active.attempts) {
            let Some(attempt) = self.attempts.remove(&id) else {
                continue;
            };
            let endpoint = self.endpoints.get_mut(attempt.endpoint);
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
            endpoint.suspects_in_flight -= u32::from(attempt.is_suspect);
            active.record_executed_stage(&attempt.tag.stage);
            let took = attempt.elapsed(now);
            let decision = Decision::Ended { attempt: id, end: AttemptEnd::Abandoned, took };
            self.tracer.record(now, &active.request.workspace, &active.request.id, decision);
            let ended = EndedAttempt { took, is_used: false, cross_region: attempt.cross_region };
            self.usage.record_attempt(&active.request.workspace, &attempt.tag.stage, &ended);
            if attempt.is_repeatable {
                out.push(Effect::Cancel { attempt: id });
            } else {
                self.late_attempts.insert(id, attempt);
                self.late_claims.insert(id, self.new_late_claim(active));
                self.timers.set(now + LATE_RESULT_WAIT, Timer::LateResultTimeout(id));
            }
        }
    }

    fn new_late_claim(&self, active: &ActiveRequest) -> Option<LateClaim> {
        let row = active.claim.clone()?;
        let is_last_stage = active.stage_index + 1 == active.pipeline.stages.len();
        Some(LateClaim { row, is_last_stage })
    }

    /// Settles or releases the claim, unless a late result may still settle it.
    fn end_claim(&mut self, now: TimeMs, active: &ActiveRequest, outcome: &Outcome, out: &mut Effects) {
        let Some(row) = &active.claim else {
            return;
        };
        let awaits_late_result = self.late_claims.values().flatten().any(|late| late.row == *row);
        if awaits_late_result {
            return;
        }
        let outputs = match (outcome, &active.claimed_output) {
            (Outcome::Answered { output }, _) => {
                out.count(Counter::ClaimSettled);
                self.claims.settle(now, row, ClaimState::Answered { output: output.clone() })
            }
            (Outcome::Unknown { .. }, None) => {
                out.count(Counter::ClaimSettled);
                self.claims.settle(now, row, ClaimState::Unknown)
            }
            (_, stage_output) => {
                out.count(Counter::ClaimReleased);
                self.claims.release(now, row, stage_output.clone())
            }
        };
        self.apply_claim_outputs(now, outputs, out);
    }

    /// Settles the claim of an ended request by the late result of its attempt; `output` is `None` if the
    /// result is lost.
    pub(crate) fn settle_late_claim(&mut self, now: TimeMs, id: AttemptId, output: Option<Payload>, out: &mut Effects) {
        self.late_attempts.remove(&id);
        let Some(late) = self.late_claims.remove(&id).flatten() else {
            return;
        };
        let state = match output {
            Some(output) if late.is_last_stage => ClaimState::Answered { output },
            Some(stage_output) => ClaimState::StageDone { stage_output },
            None => ClaimState::Unknown,
        };
        out.count(Counter::ClaimSettled);
        let outputs = self.claims.settle(now, &late.row, state);
        self.apply_claim_outputs(now, outputs, out);
    }

    /// Cancels an attempt whose late result did not come in time, and settles its claim as `unknown`.
    pub(crate) fn on_late_result_timeout(&mut self, now: TimeMs, id: AttemptId, out: &mut Effects) {
        if self.late_attempts.contains_key(&id) {
            out.push(Effect::Cancel { attempt: id });
            self.settle_late_claim(now, id, None, out);
        }
    }

    /// Clears the content of a request that was answered, and tells the other VMs if it was under trial.
    fn clear_suspicion(&mut self, active: &ActiveRequest, out: &mut Effects) {
        let digest = active.request.digest;
        if self.quarantine.on_success(digest) {
            let kind = crate::message::VerdictKind::Cleared;
            self.broadcast_verdict(digest, &active.request.workspace, kind, SpanMs(0), out);
        }
    }

    /// Drops a queued request, because it is the last of a full queue or its deadline is out of reach.
    pub(crate) fn shed(&mut self, now: TimeMs, key: RequestKey, out: &mut Effects) {
        let has_run = self.requests.get(key).is_some_and(|active| !self.possibly_executed_stages(active).is_empty());
        if has_run {
            self.finish_failed(now, key, FailureCause::DeadlinePassed, out);
        } else {
            self.finish(now, key, Outcome::not_run_retry(NotRunReason::Shed, RETRY_AFTER), out);
        }
    }

    /// Ends a request for whose stage no endpoint is eligible, unless an attempt of it is in progress.
    pub(crate) fn give_up_without_endpoint(&mut self, now: TimeMs, key: RequestKey, out: &mut Effects) {
        let has_attempts = self.requests.get(key).is_none_or(|active| !active.attempts.is_empty());
        if !has_attempts {
            self.finish_failed(now, key, FailureCause::AttemptsExhausted, out);
        }
    }

    /// Ends a request at its deadline. Its outcome is `unknown` while an attempt of a stage that must
    /// not be repeated is in progress.
    pub(crate) fn on_deadline(&mut self, now: TimeMs, key: RequestKey, out: &mut Effects) {
        let Some(active) = self.requests.get(key) else {
            return;
        };
        let has_non_repeatable_attempt = !active.attempts.is_empty() && !active.stage().is_repeatable;
        if has_non_repeatable_attempt {
            let outcome = Outcome::Unknown { stage: active.stage().id.clone(), retry_after_ms: Some(RETRY_AFTER) };
            self.finish(now, key, outcome, out);
            return;
        }
        self.finish_failed(now, key, FailureCause::DeadlinePassed, out);
    }

    /// Removes a caller that has disconnected, and ends its request if no other caller waits for it. A
    /// stage that must not be repeated goes on, and so does a request that has the output of one.
    pub(crate) fn on_caller_disconnected(&mut self, now: TimeMs, call: CallId, out: &mut Effects) {
        let Some(key) = self.requests.remove_waiter(call) else {
            return;
        };
        let Some(active) = self.requests.get(key) else {
            return;
        };
        let has_non_repeatable_attempt = !active.attempts.is_empty() && !active.stage().is_repeatable;
        if active.waiters.is_empty() && !has_non_repeatable_attempt && active.claimed_output.is_none() {
            self.finish_failed(now, key, FailureCause::CallerDisconnected, out);
        }
    }
}

/// Claim that the late result of an attempt settles.
#[derive(Debug, Clone)]
pub(crate) struct LateClaim {
    pub(crate) row: crate::platform::RowKey,
    pub(crate) is_last_stage: bool,
}
