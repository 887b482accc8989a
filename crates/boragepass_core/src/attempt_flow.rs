//! Handles replies to attempts and attempts that fail or take too long: results, retries, hedges and
//! resumed streams.
//!
//! A stage that must not be repeated is neither hedged nor, once a byte may have left this VM,
//! retried: it might run twice. If its reply is lost, the request's outcome is `unknown`.

use boragepass_types::{AttemptId, FailureCause, Outcome, Payload, SpanMs, StageKind, TimeMs};

use crate::counter::Counter;
use crate::effect::{Effect, Effects};
use crate::event::{AttemptTag, StageReply};
use crate::explain::{AttemptEnd, AttemptReason, Decision};
use crate::node::Node;
use crate::request_table::{Attempt, RequestKey};
use crate::timers::Timer;
use crate::usage::EndedAttempt;

const STALL_TIMEOUT_MIN: SpanMs = SpanMs(300);
/// Times that a stalled stream is moved to another endpoint, per stage.
const STALL_MOVES_MAX: u32 = 3;
/// A stream counts as slow when it takes longer than this percentage of the stage's p95.
const SLOW_STREAM_PERCENT: u64 = 150;

/// Whether an attempt that ended like this certainly ran nothing of its stage.
fn never_ran(end: AttemptEnd) -> bool {
    matches!(end, AttemptEnd::Busy | AttemptEnd::NotSent | AttemptEnd::Expired)
}

impl Node {
    /// Handles a reply of an endpoint. A reply whose echo names another attempt, or a result without an
    /// echo, fails the attempt instead of answering its request.
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
        let requires_echo =
            matches!(reply, StageReply::Tokens { .. } | StageReply::StreamEnd { .. } | StageReply::Whole { .. });
        let is_foreign = match &echo {
            Some(echo) => *echo != attempt.tag,
            None => requires_echo,
        };
        if is_foreign {
            out.count(Counter::ResultForeign);
            self.fail_attempt(now, id, AttemptEnd::Foreign, out);
            return;
        }
        match reply {
            StageReply::Tokens { first_index, count, text } => self.on_tokens(now, id, first_index, count, &text, out),
            StageReply::StreamEnd { tokens } => self.on_stream_end(now, id, tokens, out),
            StageReply::Whole { output } => self.complete_attempt(now, id, output, out),
            StageReply::Rejected => self.fail_attempt(now, id, AttemptEnd::Rejected, out),
            StageReply::Busy => self.fail_attempt(now, id, AttemptEnd::Busy, out),
            StageReply::NotSent => self.fail_attempt(now, id, AttemptEnd::NotSent, out),
            StageReply::Lost => self.fail_attempt(now, id, AttemptEnd::Lost, out),
        }
    }

    /// Handles an attempt whose `not_after` passed before a byte left this VM.
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
        let streaming_waiters = active.waiters.iter().filter(|waiter| is_last_stage && waiter.wants_stream);
        for waiter in streaming_waiters {
            out.push(Effect::Token { call: waiter.call, text: text.clone() });
        }
        if is_first {
            let (pipeline, stage) = (active.pipeline_index, active.stage_index);
            self.latency[pipeline][stage].first_output.record(now, now.since(sent_at));
            self.cancel_other_attempts(now, key, id, out);
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
        self.complete_attempt(now, id, output, out);
    }

    /// Uses the result of an attempt and advances its request to the next stage.
    fn complete_attempt(&mut self, now: TimeMs, id: AttemptId, output: Payload, out: &mut Effects) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let key = attempt.request;
        if attempt.is_hedge {
            out.count(Counter::HedgeWon);
        }
        self.cancel_other_attempts(now, key, id, out);
        self.record_success(now, &attempt, output.0.len(), out);
        self.close_attempt(now, id, &attempt, AttemptEnd::Used, output.0.len());
        self.advance(now, key, output, out);
        self.serve_attempt_pool(now, &attempt, out);
    }

    fn record_success(&mut self, now: TimeMs, attempt: &Attempt, output_len: usize, out: &mut Effects) {
        let Some(active) = self.requests.get(attempt.request) else {
            return;
        };
        let elapsed = attempt.elapsed(now);
        let is_stream = active.stage().kind == StageKind::Generate;
        let prefix = is_stream.then(|| crate::prefix_cache::prefix_hash(&active.input.0));
        let stage = &mut self.latency[active.pipeline_index][active.stage_index];
        let median_ms = stage.total.quantiles(now).p50.0.max(1) as f32;
        stage.total.record(now, elapsed);
        if !is_stream || output_len == 0 {
            stage.first_output.record(now, elapsed);
        }
        if let Some(prefix) = prefix {
            self.prefix_cache.add_holder(prefix, attempt.endpoint);
        }
        self.record_attempt_speed(now, attempt, elapsed.0 as f32 / median_ms, out);
    }

    /// Updates an endpoint's slowness, limit and health with one attempt's time divided by the median time.
    fn record_attempt_speed(&mut self, now: TimeMs, attempt: &Attempt, slowness: f32, out: &mut Effects) {
        let endpoint = self.endpoints.get_mut(attempt.endpoint);
        endpoint.record_slowness(slowness);
        endpoint.limit.on_success(now, endpoint.in_flight, slowness);
        let slowness = endpoint.slowness;
        if let Some(cause) = endpoint.health.on_slowness_sample(slowness) {
            self.eject(now, attempt.endpoint, cause, out);
        }
    }

    /// Cancels the other attempts of a stage; the first to show progress wins.
    fn cancel_other_attempts(&mut self, now: TimeMs, key: RequestKey, winner: AttemptId, out: &mut Effects) {
        let others = self.requests.get(key).map(|active| active.attempts.clone()).unwrap_or_default();
        for id in others.into_iter().filter(|id| *id != winner) {
            let Some(attempt) = self.attempts.remove(&id) else {
                continue;
            };
            out.push(Effect::Cancel { attempt: id });
            self.record_superseded_attempt(now, &attempt, out);
            self.close_attempt(now, id, &attempt, AttemptEnd::Superseded, 0);
        }
    }

    /// Counts a canceled attempt against its endpoint if it already took longer than the median time: it would
    /// have taken at least as long as it ran.
    fn record_superseded_attempt(&mut self, now: TimeMs, attempt: &Attempt, out: &mut Effects) {
        let Some(active) = self.requests.get(attempt.request) else {
            return;
        };
        let stage = &self.latency[active.pipeline_index][active.stage_index];
        let median_ms = stage.first_output.quantiles(now).p50.0.max(1) as f32;
        let slowness = attempt.elapsed(now).0 as f32 / median_ms;
        if slowness > 1.0 {
            self.record_attempt_speed(now, attempt, slowness, out);
        }
    }

    /// Removes an attempt from its endpoint and its request, and records it in the trace and the usage.
    fn close_attempt(&mut self, now: TimeMs, id: AttemptId, attempt: &Attempt, end: AttemptEnd, output_len: usize) {
        let endpoint = self.endpoints.get_mut(attempt.endpoint);
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        endpoint.suspects_in_flight -= u32::from(attempt.is_suspect);
        let is_remote = endpoint.region != self.settings.region;
        let elapsed = attempt.elapsed(now);
        let Some(active) = self.requests.get_mut(attempt.request) else {
            return;
        };
        active.attempts.retain(|other| *other != id);
        if !never_ran(end) {
            active.record_executed_stage(&attempt.tag.stage);
        }
        let mut cross_region = attempt.cross_region;
        if is_remote {
            cross_region.0 += output_len as u64;
        }
        let (workspace, request) = (active.request.workspace.clone(), active.request.id.clone());
        self.tracer.record(now, &workspace, &request, Decision::Ended { attempt: id, end, took: elapsed });
        if !never_ran(end) {
            let ended = EndedAttempt { took: elapsed, is_used: end == AttemptEnd::Used, cross_region };
            self.usage.record_attempt(&workspace, &attempt.tag.stage, &ended);
        }
    }

    /// Ends an attempt without a result and decides what its request does next.
    pub(crate) fn fail_attempt(&mut self, now: TimeMs, id: AttemptId, end: AttemptEnd, out: &mut Effects) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let key = attempt.request;
        if matches!(end, AttemptEnd::Foreign | AttemptEnd::Gap | AttemptEnd::Stalled) && attempt.is_repeatable {
            out.push(Effect::Cancel { attempt: id });
        }
        self.record_endpoint_failure(now, &attempt, end, out);
        self.close_attempt(now, id, &attempt, end, 0);
        self.after_failure(now, key, &attempt, end, out);
        self.serve_attempt_pool(now, &attempt, out);
    }

    /// Counts a failed attempt against its endpoint; ejects the endpoint if it fails too often.
    fn record_endpoint_failure(&mut self, now: TimeMs, attempt: &Attempt, end: AttemptEnd, out: &mut Effects) {
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
            self.prefix_cache.remove_holder(attempt.endpoint);
        }
        if let Some(cause) = cause {
            self.eject(now, attempt.endpoint, cause, out);
        }
    }

    /// Finishes the request if the failure allows no other attempt, or else retries its stage unless another
    /// attempt still runs.
    fn after_failure(&mut self, now: TimeMs, key: RequestKey, attempt: &Attempt, end: AttemptEnd, out: &mut Effects) {
        let is_quarantined = end == AttemptEnd::Lost && self.assess_lost_attempt(now, key, attempt, out);
        let Some(active) = self.requests.get_mut(key) else {
            return;
        };
        active.failed_endpoints.push(attempt.endpoint);
        if end == AttemptEnd::Rejected {
            self.finish_failed(now, key, FailureCause::Rejected, out);
            return;
        }
        if !attempt.is_repeatable && !never_ran(end) {
            let outcome = Outcome::Unknown { stage: attempt.tag.stage.clone(), retry_after_ms: None };
            self.finish(now, key, outcome, out);
            return;
        }
        if is_quarantined {
            self.finish_failed(now, key, FailureCause::Quarantined, out);
            return;
        }
        if !active.attempts.is_empty() {
            return;
        }
        self.retry(now, key, end, out);
    }

    /// Runs the stage again if the request's attempts and the retry budget allow.
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
        if !never_ran(end) && !self.retry_budget.try_take() {
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

    /// Handles an attempt that takes longer than expected: before its first token it is hedged; after it, a
    /// stalled or slow stream is moved to another endpoint.
    pub(crate) fn on_attempt_slow(&mut self, now: TimeMs, id: AttemptId, out: &mut Effects) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let Some(active) = self.requests.get(attempt.request) else {
            return;
        };
        let key = attempt.request;
        let stage = &self.latency[active.pipeline_index][active.stage_index];
        let (first_output, total) = (stage.first_output.quantiles(now), stage.total.quantiles(now));
        let recheck_delay = first_output.p50.max(SpanMs(5));
        if let Some(first_token_at) = attempt.first_token_at {
            let stall_timeout = STALL_TIMEOUT_MIN.max(SpanMs(first_output.p95.0 * 2));
            let is_stalled = now.since(attempt.last_progress_at) > stall_timeout;
            let is_slow = now.since(first_token_at) > total.p95.percent(SLOW_STREAM_PERCENT).max(stall_timeout);
            // A slow stream that makes progress is moved once: if the next endpoint is as slow, another move
            // gains nothing.
            let may_move =
                if is_stalled { active.stream_moves < STALL_MOVES_MAX } else { is_slow && active.stream_moves == 0 };
            if may_move && self.hedge_budget.try_take() {
                if let Some(active) = self.requests.get_mut(key) {
                    active.stream_moves += 1;
                }
                self.record_stalled_attempt(now, id, out);
                self.fail_attempt(now, id, AttemptEnd::Stalled, out);
                return;
            }
            self.timers.set(now + stall_timeout, Timer::AttemptSlow(id));
            return;
        }
        let may_hedge = active.attempts.len() == 1 && !active.is_suspect;
        if may_hedge && self.hedge_budget.try_take() {
            self.run_stage(now, key, AttemptReason::Hedge, out);
        }
        if self.attempts.contains_key(&id) {
            self.timers.set(now + recheck_delay, Timer::AttemptSlow(id));
        }
    }

    /// Counts the time of a stalled or slow stream against its endpoint.
    fn record_stalled_attempt(&mut self, now: TimeMs, id: AttemptId, out: &mut Effects) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let Some(active) = self.requests.get(attempt.request) else {
            return;
        };
        let median_time = self.latency[active.pipeline_index][active.stage_index].total.quantiles(now).p50;
        let slowness = attempt.elapsed(now).0 as f32 / median_time.0.max(1) as f32;
        let endpoint = attempt.endpoint;
        self.endpoints.get_mut(endpoint).record_slowness(slowness);
        let cause = self.endpoints.get_mut(endpoint).health.on_slowness_sample(slowness);
        if let Some(cause) = cause {
            self.eject(now, endpoint, cause, out);
        }
    }

    fn serve_attempt_pool(&mut self, now: TimeMs, attempt: &Attempt, out: &mut Effects) {
        let pool = self.endpoints.get(attempt.endpoint).pool.clone();
        self.serve_queue(now, &pool, out);
    }

    /// Handles a reply to an attempt that has ended. It only matters for a stage that must not be
    /// repeated, whose claim it settles.
    fn on_late_reply(
        &mut self,
        now: TimeMs,
        id: AttemptId,
        echo: Option<&AttemptTag>,
        reply: StageReply,
        out: &mut Effects,
    ) {
        out.count(Counter::ResultLate);
        let is_echo_valid = self.late_attempts.get(&id).is_some_and(|attempt| echo == Some(&attempt.tag));
        match reply {
            StageReply::Whole { output } if is_echo_valid => self.settle_late_claim(now, id, Some(output), out),
            StageReply::Lost | StageReply::Rejected => self.settle_late_claim(now, id, None, out),
            _ => {}
        }
    }
}
