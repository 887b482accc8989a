//! Moves a request through the stages of its pipeline: chooses an endpoint, dispatches an attempt or
//! queues the request, and hands the output to the next stage.
//!
//! `routing` scores the endpoints, `attempt_flow` handles replies, retries and hedges, and `finish`
//! ends the request.

use boragepass_types::{Bytes, Payload, PoolId, SpanMs, StageKind, StreamId, TimeMs};

use crate::counter::Counter;
use crate::effect::{Dispatch, Effect, Effects, ResumePoint};
use crate::endpoints::Endpoint;
use crate::event::AttemptTag;
use crate::explain::{AttemptReason, Candidate, Decision};
use crate::node::Node;
use crate::prefix_cache::prefix_hash;
use crate::queue::QueuePosition;
use crate::request_table::{ActiveRequest, Attempt, Phase, RequestKey};
use crate::routing::{Choice, Router, ScoredEndpoint, StageRequirements};
use crate::timers::Timer;

/// Weight of the earlier intervals in the moving average of a dispatch rate.
const PREVIOUS_RATE_WEIGHT: f32 = 0.6;
const DISPATCHES_PER_MS_MIN: f32 = 0.001;
/// Queued requests that one call of `serve_queue` considers.
const REQUESTS_PER_SERVE_MAX: usize = 16;
/// Percentage of the median time of the remaining stages that a queued request must have left.
const FUTILE_PERCENT: u64 = 50;
/// Percentage of the median time to the first output before which no attempt counts as slow.
const SLOW_AFTER_PERCENT: u64 = 250;
const SLOW_AFTER_MIN: SpanMs = SpanMs(5);

impl Node {
    /// Starts an admitted request, at the stage that another VM had reached if its progress is known.
    pub(crate) fn start_first_stage(&mut self, now: TimeMs, key: RequestKey, out: &mut Effects) {
        self.resume_from_progress(now, key, out);
        self.run_stage(now, key, AttemptReason::First, out);
    }

    /// Dispatches the current stage of a request, or queues it while no endpoint has room. A request
    /// that must wait for another one with its content is not dispatched yet; a hedge does not wait, since
    /// its own request is already running.
    pub(crate) fn run_stage(&mut self, now: TimeMs, key: RequestKey, reason: AttemptReason, out: &mut Effects) {
        if reason != AttemptReason::Hedge && self.must_await_trial(now, key) {
            self.await_trial(now, key);
            return;
        }
        match self.route(now, key) {
            Choice::Use { chosen, candidates } => self.dispatch(now, key, chosen, &candidates, reason, out),
            Choice::Wait { poll: endpoints } | Choice::Poll(endpoints) => {
                for idx in endpoints {
                    self.poll_endpoint(now, idx, out);
                }
                self.enqueue(now, key, out);
            }
            Choice::NoEndpoint => self.give_up_without_endpoint(now, key, out),
        }
    }

    /// Chooses an endpoint. When only endpoints that failed the request are left, they become eligible
    /// again, unless the content is suspected of crashing endpoints.
    fn route(&mut self, now: TimeMs, key: RequestKey) -> Choice {
        let choice = self.choose_untried(now, key);
        let Some(active) = self.requests.get_mut(key) else {
            return choice;
        };
        let may_reuse_failed =
            choice == Choice::NoEndpoint && !active.failed_endpoints.is_empty() && !active.is_suspect;
        if !may_reuse_failed {
            return choice;
        }
        active.failed_endpoints.clear();
        self.choose_untried(now, key)
    }

    /// Chooses among the endpoints that neither failed the request nor run an attempt of it.
    fn choose_untried(&mut self, now: TimeMs, key: RequestKey) -> Choice {
        let Some(active) = self.requests.get(key) else {
            return Choice::NoEndpoint;
        };
        let stage = active.stage();
        let latency = &self.latency[active.pipeline_index];
        let later_medians = latency.iter().skip(active.stage_index + 1).map(|stage| stage.total.quantiles(now).p50);
        let mut excluded = active.failed_endpoints.clone();
        excluded.extend(active.attempts.iter().filter_map(|id| self.attempts.get(id)).map(|attempt| attempt.endpoint));
        let requirements = StageRequirements {
            pool: &stage.pool,
            model: stage.model.as_ref(),
            adapter: stage.adapter.as_ref(),
            regions: &active.regions,
            excluded: &excluded,
            prefix: (stage.kind == StageKind::Generate).then(|| prefix_hash(&active.input.0)),
            median_time: latency[active.stage_index].total.quantiles(now).p50,
            later_stages_time: later_medians.fold(SpanMs(0), |sum, span| sum + span),
            time_left: active.deadline_at.since(now),
            home_wait: self.home_wait(active, latency[active.stage_index].total.quantiles(now).p50),
            transfer_bytes: Bytes(active.input.0.len() as u64),
            attainment_weight: active.attainment_weight,
            needs_isolation: active.is_suspect,
        };
        let router = Router {
            endpoints: &self.endpoints,
            prefix_cache: &self.prefix_cache,
            home: &self.settings.region,
            limits: &self.settings.limits,
        };
        router.choose(now, &requirements, &mut self.rng)
    }

    /// Expected wait in this VM's queue for the pool of the current stage.
    fn home_wait(&self, active: &ActiveRequest, median_time: SpanMs) -> SpanMs {
        let pool = &active.stage().pool;
        let ahead = self
            .queues
            .get(pool)
            .map_or(0, |queue| queue.len_before(active.priority, active.stage_index, active.deadline_at));
        self.queue_wait(pool, ahead, median_time)
    }

    /// Time until `ahead` requests have left the queue of a pool, by its capacity or by its recent
    /// dispatch rate, whichever gives the longer wait.
    pub(crate) fn queue_wait(&self, pool: &PoolId, ahead: usize, median_time: SpanMs) -> SpanMs {
        let capacity = self.pool_capacity.get(pool).copied().unwrap_or(1.0).max(1.0);
        let by_capacity = median_time.0 as f32 / capacity;
        let by_rate = self.pool_dispatch_rates.get(pool).map_or(by_capacity, DispatchRate::ms_per_dispatch);
        SpanMs((ahead as f32 * by_rate.max(by_capacity)) as u64)
    }

    fn dispatch(
        &mut self,
        now: TimeMs,
        key: RequestKey,
        chosen: ScoredEndpoint,
        candidates: &[ScoredEndpoint],
        reason: AttemptReason,
        out: &mut Effects,
    ) {
        let id = self.next_attempt_id;
        self.next_attempt_id = id.next();
        let Some(active) = self.requests.get_mut(key) else {
            return;
        };
        let stage = active.stage().clone();
        let endpoint = self.endpoints.get_mut(chosen.idx);
        endpoint.in_flight += 1;
        endpoint.suspects_in_flight += u32::from(active.is_suspect);
        let is_remote = endpoint.region != self.settings.region;
        self.pool_dispatch_rates.entry(stage.pool.clone()).or_default().dispatches_in_interval += 1;
        let tag = AttemptTag {
            vm: self.settings.vm.clone(),
            incarnation: self.settings.incarnation,
            request: active.request.id.clone(),
            stage: stage.id.clone(),
            attempt: id,
        };
        let attempt = Attempt {
            request: key,
            tag: tag.clone(),
            endpoint: chosen.idx,
            sent_at: now,
            first_token_at: None,
            last_progress_at: now,
            is_hedge: reason == AttemptReason::Hedge,
            is_suspect: active.is_suspect,
            is_repeatable: stage.is_repeatable,
            cross_region: Bytes(if is_remote { active.input.0.len() as u64 } else { 0 }),
        };
        let dispatch = new_dispatch(now, active, endpoint, tag);
        active.attempts.push(id);
        active.attempts_made += 1;
        active.phase = Phase::Running;
        let not_after = active.deadline_at.min(now + self.settings.limits.dispatch_valid_ms);
        self.record_routing_decision(now, key, &dispatch, candidates, reason);
        self.attempts.insert(id, attempt);
        self.record_dispatch(now, id, key, reason, out);
        out.push(Effect::Dispatch { not_after, dispatch: Box::new(dispatch) });
    }

    /// Records the chosen endpoint and the candidates in the trace of the request.
    fn record_routing_decision(
        &mut self,
        now: TimeMs,
        key: RequestKey,
        dispatch: &Dispatch,
        candidates: &[ScoredEndpoint],
        reason: AttemptReason,
    ) {
        let Some(active) = self.requests.get(key) else {
            return;
        };
        let candidates = candidates.iter().map(|scored| Candidate {
            endpoint: self.endpoints.get(scored.idx).id.clone(),
            expected_ms: SpanMs(scored.expected_ms.max(0.0) as u64),
        });
        let decision = Decision::Routed {
            stage: dispatch.tag.stage.clone(),
            attempt: dispatch.tag.attempt,
            reason,
            endpoint: dispatch.endpoint.clone(),
            candidates: candidates.collect(),
        };
        self.tracer.record(now, &active.request.workspace, &active.request.id, decision);
    }

    /// Counts a dispatch, credits the retry and hedge budgets with a first attempt, and sets the timer
    /// that detects a slow attempt. A stage that may not be repeated is never hedged and has none.
    fn record_dispatch(
        &mut self,
        now: TimeMs,
        id: boragepass_types::AttemptId,
        key: RequestKey,
        reason: AttemptReason,
        out: &mut Effects,
    ) {
        out.count(Counter::AttemptDispatched);
        match reason {
            AttemptReason::First => {
                self.retry_budget.on_first_try();
                self.hedge_budget.on_first_try();
            }
            AttemptReason::Retry => out.count(Counter::AttemptRetried),
            AttemptReason::Hedge => out.count(Counter::AttemptHedged),
            AttemptReason::Resume => out.count(Counter::AttemptResumed),
        }
        let Some(active) = self.requests.get(key).filter(|active| active.stage().is_repeatable) else {
            return;
        };
        let first = &self.latency[active.pipeline_index][active.stage_index].first_output;
        let quantiles = first.quantiles(now);
        let slow_after = quantiles.p95.max(quantiles.p50.percent(SLOW_AFTER_PERCENT)).max(SLOW_AFTER_MIN);
        self.timers.set(now + slow_after, Timer::AttemptSlow(id));
    }

    /// Queues a request, unless it has an attempt in progress. A full queue drops its last request.
    fn enqueue(&mut self, now: TimeMs, key: RequestKey, out: &mut Effects) {
        let Some(active) = self.requests.get_mut(key) else {
            return;
        };
        if !active.attempts.is_empty() {
            return;
        }
        let position = QueuePosition::new(active.priority, active.stage_index, active.deadline_at, key);
        active.phase = Phase::Queued(position);
        let decision = Decision::Queued { stage: active.stage().id.clone() };
        self.tracer.record(now, &active.request.workspace, &active.request.id, decision);
        let queue = self.queues.entry(active.stage().pool.clone()).or_default();
        let dropped = queue.push(position, self.settings.limits.queue_len_max);
        if let Some(dropped) = dropped {
            self.shed(now, dropped, out);
        }
    }

    /// Dispatches the queued requests of a pool in order until one has to wait for an endpoint.
    pub(crate) fn serve_queue(&mut self, now: TimeMs, pool: &PoolId, out: &mut Effects) {
        let Some(queue) = self.queues.get(pool).filter(|queue| queue.len() > 0) else {
            return;
        };
        for position in queue.peek(REQUESTS_PER_SERVE_MAX) {
            let key = position.request;
            if self.is_futile(now, key) {
                self.remove_from_queue(pool, &position);
                self.shed(now, key, out);
                continue;
            }
            match self.route(now, key) {
                Choice::Use { chosen, candidates } => {
                    self.remove_from_queue(pool, &position);
                    let reason = self.dispatch_reason(key);
                    self.dispatch(now, key, chosen, &candidates, reason, out);
                }
                Choice::NoEndpoint => {
                    self.remove_from_queue(pool, &position);
                    self.give_up_without_endpoint(now, key, out);
                }
                Choice::Wait { poll: endpoints } | Choice::Poll(endpoints) => {
                    for idx in endpoints {
                        self.poll_endpoint(now, idx, out);
                    }
                    return;
                }
            }
        }
    }

    fn dispatch_reason(&self, key: RequestKey) -> AttemptReason {
        match self.requests.get(key) {
            Some(active) if active.tokens > 0 => AttemptReason::Resume,
            Some(active) if !active.failed_endpoints.is_empty() => AttemptReason::Retry,
            _ => AttemptReason::First,
        }
    }

    fn remove_from_queue(&mut self, pool: &PoolId, position: &QueuePosition) {
        if let Some(queue) = self.queues.get_mut(pool) {
            queue.remove(position);
        }
    }

    /// Whether a queued request has too little time left to meet its deadline.
    fn is_futile(&self, now: TimeMs, key: RequestKey) -> bool {
        let Some(active) = self.requests.get(key) else {
            return true;
        };
        let remaining = self.latency[active.pipeline_index].iter().skip(active.stage_index);
        let median_time = remaining.map(|stage| stage.total.quantiles(now).p50).fold(SpanMs(0), |sum, span| sum + span);
        median_time.percent(FUTILE_PERCENT) > active.deadline_at.since(now)
    }

    /// Removes a request from the queue that it waits in, if any.
    pub(crate) fn leave_queue(&mut self, key: RequestKey) {
        let Some(active) = self.requests.get(key) else {
            return;
        };
        if let Phase::Queued(position) = active.phase {
            let pool = active.stage().pool.clone();
            self.remove_from_queue(&pool, &position);
        }
    }

    /// Takes the output of the current stage and runs the next one, or answers after the last one.
    pub(crate) fn advance(&mut self, now: TimeMs, key: RequestKey, output: Payload, out: &mut Effects) {
        let Some(active) = self.requests.get_mut(key) else {
            return;
        };
        let stage = active.stage().clone();
        active.record_executed_stage(&stage.id);
        if !stage.is_repeatable {
            active.claimed_output = Some(output.clone());
        }
        let next = active.stage_index + 1;
        if next == active.pipeline.stages.len() {
            self.finish(now, key, boragepass_types::Outcome::Answered { output }, out);
            return;
        }
        active.enter_stage(now, next, output);
        self.send_progress(key, out);
        self.run_stage(now, key, AttemptReason::First, out);
    }
}

/// Moving average of the rate at which this VM dispatches to a pool.
#[derive(Debug, Default, Clone)]
pub(crate) struct DispatchRate {
    dispatches_in_interval: u32,
    dispatches_per_ms: f32,
}

impl DispatchRate {
    /// Adds the dispatches of the interval that ends to the average, and starts a new one.
    pub(crate) fn end_interval(&mut self, interval: SpanMs) {
        let sample = self.dispatches_in_interval as f32 / interval.0.max(1) as f32;
        self.dispatches_per_ms = self.dispatches_per_ms * PREVIOUS_RATE_WEIGHT + sample * (1.0 - PREVIOUS_RATE_WEIGHT);
        self.dispatches_in_interval = 0;
    }

    fn ms_per_dispatch(&self) -> f32 {
        1.0 / self.dispatches_per_ms.max(DISPATCHES_PER_MS_MIN)
    }
}

fn new_dispatch(now: TimeMs, active: &ActiveRequest, endpoint: &Endpoint, tag: AttemptTag) -> Dispatch {
    let stage = active.stage();
    Dispatch {
        stream: StreamId(tag.attempt.0),
        tag,
        endpoint: endpoint.id.clone(),
        address: endpoint.address,
        kind: stage.kind,
        model: stage.model.clone(),
        adapter: stage.adapter.clone(),
        priority: active.priority,
        input: active.input.clone(),
        resume: resume_point(active),
        left_ms: active.deadline_at.since(now),
        idempotency_key: active.request.idempotency_key.clone().filter(|_| !stage.is_repeatable),
    }
}

fn resume_point(active: &ActiveRequest) -> Option<ResumePoint> {
    let is_stream = active.stage().kind == StageKind::Generate && active.tokens > 0;
    is_stream.then(|| ResumePoint { tokens: active.tokens, text: Payload::new(&active.text) })
}
