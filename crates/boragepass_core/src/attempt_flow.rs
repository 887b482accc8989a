//! What becomes of attempts: results, failures, retries, hedges and resumed streams.
//!
//! A stage that may not be repeated is dispatched once. Once a byte may have left, it is neither
//! retried nor hedged; a lost reply makes the request `unknown`.

use boragepass_types::{AttemptId, FailureCause, Outcome, Payload, SpanMs, StageKind, TimeMs};

use crate::counter::Counter;
use crate::effect::{Effect, Effects};
use crate::event::{AttemptTag, StageReply};
use crate::explain::{AttemptEnd, AttemptReason, Decision};
use crate::node::Node;
use crate::request_table::{Attempt, RequestKey};
use crate::timers::Timer;
use crate::usage::EndedAttempt;

const STALL_FLOOR: SpanMs = SpanMs(300);
const STALLED_MOVES_MAX: u32 = 3;
const SLOW_STREAM_PERCENT: u64 = 150;

/// Whether nothing of the stage ran when an attempt ended like this.
fn ran_nothing(end: AttemptEnd) -> bool {
    matches!(end, AttemptEnd::Busy | AttemptEnd::NotSent | AttemptEnd::Expired)
}

impl Node {
    /// Takes over a reply of an endpoint.
    pub(crate) fn on_stage_reply(
        &mut self,
        now: TimeMs,
        id: AttemptId,
        echo: Option<AttemptTag>,
        reply: StageReply,
        out: &mut Effects,
    ) {
        let Some(attempt) = self.attempts.get(&id) else {
            self.on_late_reply(now, id, echo.as_ref(), reply, out);
            return;
        };
        let must_be_named =
            matches!(reply, StageReply::Tokens { .. } | StageReply::StreamEnd { .. } | StageReply::Whole { .. });
        let is_foreign = match &echo {
            Some(echo) => *echo != attempt.tag,
            None => must_be_named,
        };
        if is_foreign {
            out.count(Counter::ResultForeign);
            self.fail_attempt(now, id, AttemptEnd::Foreign, out);
            return;
        }
        match reply {
            StageReply::Tokens { first_index, count, text } => self.on_tokens(now, id, first_index, count, &text, out),
            StageReply::StreamEnd { tokens } => self.on_stream_end(now, id, tokens, out),
            StageReply::Whole { output } => self.complete(now, id, output, out),
            StageReply::Rejected => self.fail_attempt(now, id, AttemptEnd::Rejected, out),
            StageReply::Busy => self.fail_attempt(now, id, AttemptEnd::Busy, out),
            StageReply::NotSent => self.fail_attempt(now, id, AttemptEnd::NotSent, out),
            StageReply::Lost => self.fail_attempt(now, id, AttemptEnd::Lost, out),
        }
    }

    /// An attempt whose time was over before a byte left.
    pub(crate) fn on_expired(&mut self, now: TimeMs, id: AttemptId, out: &mut Effects) {
        out.count(Counter::AttemptExpired);
        if self.attempts.contains_key(&id) {
            self.fail_attempt(now, id, AttemptEnd::Expired, out);
        }
    }

    fn on_tokens(
        &mut self,
        now: TimeMs,
        id: AttemptId,
        first_index: u32,
        count: u32,
        text: &Payload,
        out: &mut Effects,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let key = attempt.request;
        let sent_at = attempt.sent_at;
        let is_first = attempt.first_token_at.is_none();
        attempt.first_token_at.get_or_insert(now);
        attempt.last_progress_at = now;
        let Some(active) = self.requests.get_mut(key) else {
            return;
        };
        if first_index + count <= active.tokens {
            out.count(Counter::ResultTokenRepeated);
            return;
        }
        if first_index != active.tokens {
            out.count(Counter::ResultTokenGap);
            self.fail_attempt(now, id, AttemptEnd::Gap, out);
            return;
        }
        active.tokens += count;
        active.text.push_str(&text.0);
        let is_last_stage = active.stage_index + 1 == active.pipeline.stages.len();
        let streams = active.waiters.iter().filter(|waiter| is_last_stage && waiter.stream);
        for waiter in streams {
            out.push(Effect::Token { call: waiter.call, text: text.clone() });
        }
        if is_first {
            let (pipeline, stage) = (active.pipeline_index, active.stage_index);
            self.latency[pipeline][stage].first.record(now, now.since(sent_at));
            self.cancel_others(now, key, id, out);
        }
    }

    fn on_stream_end(&mut self, now: TimeMs, id: AttemptId, tokens: u32, out: &mut Effects) {
        let active = self.attempts.get(&id).and_then(|attempt| self.requests.get(attempt.request));
        let Some(active) = active else {
            return;
        };
        if active.tokens != tokens {
            out.count(Counter::ResultTokenGap);
            self.fail_attempt(now, id, AttemptEnd::Gap, out);
            return;
        }
        let output = Payload::new(&active.text);
        self.complete(now, id, output, out);
    }

    /// Uses the result of an attempt.
    fn complete(&mut self, now: TimeMs, id: AttemptId, output: Payload, out: &mut Effects) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let key = attempt.request;
        if attempt.is_hedge {
            out.count(Counter::HedgeWon);
        }
        self.cancel_others(now, key, id, out);
        self.note_success(now, &attempt, output.0.len(), out);
        self.close_attempt(now, id, &attempt, AttemptEnd::Used, output.0.len());
        self.advance(now, key, output, out);
        self.serve_pool_of(now, &attempt, out);
    }

    fn note_success(&mut self, now: TimeMs, attempt: &Attempt, output_len: usize, out: &mut Effects) {
        let Some(active) = self.requests.get(attempt.request) else {
            return;
        };
        let took = attempt.elapsed(now);
        let is_stream = active.stage().kind == StageKind::Generate;
        let prefix = is_stream.then(|| crate::prefix_cache::prefix_of(&active.input.0));
        let stage = &mut self.latency[active.pipeline_index][active.stage_index];
        let usual_ms = stage.whole.quantiles(now).p50.0.max(1) as f32;
        stage.whole.record(now, took);
        if !is_stream || output_len == 0 {
            stage.first.record(now, took);
        }
        if let Some(prefix) = prefix {
            self.prefix_cache.note(prefix, attempt.endpoint);
        }
        self.note_speed(now, attempt, took.0 as f32 / usual_ms, out);
    }

    /// Judges an endpoint by the time one attempt took against the usual time.
    fn note_speed(&mut self, now: TimeMs, attempt: &Attempt, slowness: f32, out: &mut Effects) {
        let endpoint = self.endpoints.get_mut(attempt.endpoint);
        endpoint.record_slowness(slowness);
        endpoint.limit.on_success(now, endpoint.in_flight, slowness);
        let slowness = endpoint.slowness;
        if let Some(cause) = endpoint.health.on_success(slowness) {
            self.eject(now, attempt.endpoint, cause, out);
        }
    }

    /// Cancels the other attempts of a stage; the first to show progress wins.
    fn cancel_others(&mut self, now: TimeMs, key: RequestKey, winner: AttemptId, out: &mut Effects) {
        let others = self.requests.get(key).map(|active| active.attempts.clone()).unwrap_or_default();
        for id in others.into_iter().filter(|id| *id != winner) {
            let Some(attempt) = self.attempts.remove(&id) else {
                continue;
            };
            out.push(Effect::Cancel { attempt: id });
            self.note_outrun(now, &attempt, out);
            self.close_attempt(now, id, &attempt, AttemptEnd::Superseded, 0);
        }
    }

    /// A canceled attempt took at least as long as it ran.
    fn note_outrun(&mut self, now: TimeMs, attempt: &Attempt, out: &mut Effects) {
        let Some(active) = self.requests.get(attempt.request) else {
            return;
        };
        let stage = &self.latency[active.pipeline_index][active.stage_index];
        let usual_ms = stage.first.quantiles(now).p50.0.max(1) as f32;
        let slowness = attempt.elapsed(now).0 as f32 / usual_ms;
        if slowness > 1.0 {
            self.note_speed(now, attempt, slowness, out);
        }
    }

    /// Takes an attempt out of the books of its endpoint and its request.
    fn close_attempt(&mut self, now: TimeMs, id: AttemptId, attempt: &Attempt, end: AttemptEnd, output_len: usize) {
        let endpoint = self.endpoints.get_mut(attempt.endpoint);
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        endpoint.suspects_in_flight -= u32::from(attempt.is_suspect);
        let is_abroad = endpoint.region != self.settings.region;
        let took = attempt.elapsed(now);
        let Some(active) = self.requests.get_mut(attempt.request) else {
            return;
        };
        active.attempts.retain(|other| *other != id);
        if !ran_nothing(end) {
            active.record_executed_stage(&attempt.tag.stage);
        }
        let mut cross_region = attempt.cross_region;
        if is_abroad {
            cross_region.0 += output_len as u64;
        }
        let (workspace, request) = (active.request.workspace.clone(), active.request.id.clone());
        self.tracer.record(now, &workspace, &request, Decision::Ended { attempt: id, end, took });
        if !ran_nothing(end) {
            let ended = EndedAttempt { took, is_used: end == AttemptEnd::Used, cross_region };
            self.usage.record_attempt(&workspace, &attempt.tag.stage, &ended);
        }
    }

    /// Ends an attempt that gave no result and decides what comes next.
    pub(crate) fn fail_attempt(&mut self, now: TimeMs, id: AttemptId, end: AttemptEnd, out: &mut Effects) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let key = attempt.request;
        if matches!(end, AttemptEnd::Foreign | AttemptEnd::Gap | AttemptEnd::Stalled) && attempt.is_repeatable {
            out.push(Effect::Cancel { attempt: id });
        }
        self.blame(now, &attempt, end, out);
        self.close_attempt(now, id, &attempt, end, 0);
        self.after_failure(now, key, &attempt, end, out);
        self.serve_pool_of(now, &attempt, out);
    }

    fn blame(&mut self, now: TimeMs, attempt: &Attempt, end: AttemptEnd, out: &mut Effects) {
        let endpoint = self.endpoints.get_mut(attempt.endpoint);
        let cause = match end {
            AttemptEnd::NotSent => endpoint.health.on_failure(true),
            AttemptEnd::Lost | AttemptEnd::Gap | AttemptEnd::Stalled | AttemptEnd::Foreign => {
                endpoint.health.on_failure(false)
            }
            AttemptEnd::Busy => {
                endpoint.limit.on_overload(now);
                return;
            }
            _ => return,
        };
        endpoint.last_failure_at = Some(now);
        if end == AttemptEnd::Lost {
            self.prefix_cache.forget(attempt.endpoint);
        }
        if let Some(cause) = cause {
            self.eject(now, attempt.endpoint, cause, out);
        }
    }

    fn after_failure(&mut self, now: TimeMs, key: RequestKey, attempt: &Attempt, end: AttemptEnd, out: &mut Effects) {
        let quarantined = end == AttemptEnd::Lost && self.assess_lost_attempt(now, key, attempt, out);
        let Some(active) = self.requests.get_mut(key) else {
            return;
        };
        active.failed_endpoints.push(attempt.endpoint);
        if end == AttemptEnd::Rejected {
            self.finish_failed(now, key, FailureCause::Rejected, out);
            return;
        }
        if !attempt.is_repeatable && !ran_nothing(end) {
            let outcome = Outcome::Unknown { stage: attempt.tag.stage.clone(), retry_after_ms: None };
            self.finish(now, key, outcome, out);
            return;
        }
        if quarantined {
            self.finish_failed(now, key, FailureCause::Quarantined, out);
            return;
        }
        if !active.attempts.is_empty() {
            return;
        }
        self.retry(now, key, end, out);
    }

    /// Tries the stage again if the budget allows.
    fn retry(&mut self, now: TimeMs, key: RequestKey, end: AttemptEnd, out: &mut Effects) {
        let Some(active) = self.requests.get(key) else {
            return;
        };
        let is_exhausted = active.attempts_made >= self.settings.limits.attempts_per_request_max;
        let has_tokens = active.tokens > 0;
        if is_exhausted {
            self.finish_failed(now, key, FailureCause::AttemptsExhausted, out);
            return;
        }
        if !ran_nothing(end) && !self.retry_budget.take() {
            out.count(Counter::RetryOverBudget);
            self.finish_failed(now, key, FailureCause::AttemptsExhausted, out);
            return;
        }
        if end == AttemptEnd::Lost && self.is_suspect(key) {
            self.await_trial(now, key);
            return;
        }
        let reason = if has_tokens { AttemptReason::Resume } else { AttemptReason::Retry };
        self.run_stage(now, key, reason, out);
    }

    /// An attempt has taken longer than usual.
    pub(crate) fn on_attempt_slow(&mut self, now: TimeMs, id: AttemptId, out: &mut Effects) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let Some(active) = self.requests.get(attempt.request) else {
            return;
        };
        let key = attempt.request;
        let stage = &self.latency[active.pipeline_index][active.stage_index];
        let (first, whole) = (stage.first.quantiles(now), stage.whole.quantiles(now));
        let pause = first.p50.max(SpanMs(5));
        if let Some(first_token_at) = attempt.first_token_at {
            let stall = STALL_FLOOR.max(SpanMs(first.p95.0 * 2));
            let is_stalled = now.since(attempt.last_progress_at) > stall;
            let is_slow = now.since(first_token_at) > whole.p95.percent(SLOW_STREAM_PERCENT).max(stall);
            // A stream that gets on is moved once; if others are as slow, moving it helps nobody.
            let may_move =
                if is_stalled { active.stream_moves < STALLED_MOVES_MAX } else { is_slow && active.stream_moves == 0 };
            if may_move && self.hedge_budget.take() {
                if let Some(active) = self.requests.get_mut(key) {
                    active.stream_moves += 1;
                }
                self.note_outrun_by_id(now, id, out);
                self.fail_attempt(now, id, AttemptEnd::Stalled, out);
                return;
            }
            self.timers.set(now + stall, Timer::AttemptSlow(id));
            return;
        }
        let may_hedge = active.attempts.len() == 1 && !active.is_suspect;
        if may_hedge && self.hedge_budget.take() {
            self.run_stage(now, key, AttemptReason::Hedge, out);
        }
        if self.attempts.contains_key(&id) {
            self.timers.set(now + pause, Timer::AttemptSlow(id));
        }
    }

    fn note_outrun_by_id(&mut self, now: TimeMs, id: AttemptId, out: &mut Effects) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let Some(active) = self.requests.get(attempt.request) else {
            return;
        };
        let usual = self.latency[active.pipeline_index][active.stage_index].whole.quantiles(now).p50;
        let slowness = attempt.elapsed(now).0 as f32 / usual.0.max(1) as f32;
        let endpoint = attempt.endpoint;
        self.endpoints.get_mut(endpoint).record_slowness(slowness);
        let cause = self.endpoints.get_mut(endpoint).health.on_success(slowness);
        if let Some(cause) = cause {
            self.eject(now, endpoint, cause, out);
        }
    }

    fn serve_pool_of(&mut self, now: TimeMs, attempt: &Attempt, out: &mut Effects) {
        let pool = self.endpoints.get(attempt.endpoint).pool.clone();
        self.serve_queue(now, &pool, out);
    }

    /// A reply to an attempt that has ended. Only a stage that may not be repeated still matters:
    /// its result settles the claim.
    fn on_late_reply(
        &mut self,
        now: TimeMs,
        id: AttemptId,
        echo: Option<&AttemptTag>,
        reply: StageReply,
        out: &mut Effects,
    ) {
        out.count(Counter::ResultLate);
        let is_named = self.late_attempts.get(&id).is_some_and(|attempt| echo == Some(&attempt.tag));
        match reply {
            StageReply::Whole { output } if is_named => self.settle_late_claim(now, id, Some(output), out),
            StageReply::Lost | StageReply::Rejected => self.settle_late_claim(now, id, None, out),
            _ => {}
        }
    }
}
