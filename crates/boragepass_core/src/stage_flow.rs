//! The way of a request through its stages: choose, dispatch, wait, next stage.

use boragepass_types::{Bytes, Payload, PoolId, SpanMs, StageKind, StreamId, TimeMs};

use crate::counter::Counter;
use crate::effect::{Dispatch, Effect, Effects, ResumePoint};
use crate::endpoints::Endpoint;
use crate::event::AttemptTag;
use crate::explain::{AttemptReason, Candidate, Decision};
use crate::node::Node;
use crate::prefix_cache::prefix_of;
use crate::queue::QueuePlace;
use crate::request_table::{ActiveRequest, Attempt, Phase, RequestKey};
use crate::routing::{Choice, Router, ScoredEndpoint, StageRequirements};
use crate::timers::Timer;

const PACE_KEEP: f32 = 0.6;
const SLOWEST_PACE: f32 = 0.001;
const QUEUE_LOOK_AHEAD: usize = 16;
const FUTILE_PERCENT: u64 = 50;
/// Share of the usual time before which no attempt counts as slow.
const HEDGE_PERCENT: u64 = 250;
const HEDGE_FLOOR: SpanMs = SpanMs(5);

impl Node {
    /// Starts an admitted request, where another VM left off if that is known.
    pub(crate) fn start_first_stage(&mut self, now: TimeMs, key: RequestKey, out: &mut Effects) {
        self.resume_from_progress(now, key, out);
        self.run_stage(now, key, AttemptReason::First, out);
    }

    /// Chooses an endpoint for the stage at hand and dispatches, or queues.
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

    /// Chooses an endpoint; endpoints that failed the request are asked again when no other is left.
    fn route(&mut self, now: TimeMs, key: RequestKey) -> Choice {
        let choice = self.choose(now, key);
        let Some(active) = self.requests.get_mut(key) else {
            return choice;
        };
        let may_ask_again = choice == Choice::NoEndpoint && !active.failed_endpoints.is_empty() && !active.is_suspect;
        if !may_ask_again {
            return choice;
        }
        active.failed_endpoints.clear();
        self.choose(now, key)
    }

    fn choose(&mut self, now: TimeMs, key: RequestKey) -> Choice {
        let Some(active) = self.requests.get(key) else {
            return Choice::NoEndpoint;
        };
        let stage = active.stage();
        let latency = &self.latency[active.pipeline_index];
        let rest = latency.iter().skip(active.stage_index + 1).map(|stage| stage.whole.quantiles(now).p50);
        let mut exclude = active.failed_endpoints.clone();
        exclude.extend(active.attempts.iter().filter_map(|id| self.attempts.get(id)).map(|attempt| attempt.endpoint));
        let requirements = StageRequirements {
            pool: &stage.pool,
            model: stage.model.as_ref(),
            adapter: stage.adapter.as_ref(),
            regions: &active.regions,
            excluded: &exclude,
            prefix: (stage.kind == StageKind::Generate).then(|| prefix_of(&active.input.0)),
            median_time: latency[active.stage_index].whole.quantiles(now).p50,
            later_stages_time: rest.fold(SpanMs(0), |sum, span| sum + span),
            time_left: active.deadline_at.since(now),
            home_wait: self.home_wait(active, latency[active.stage_index].whole.quantiles(now).p50),
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

    /// Expected wait in the queue of this VM.
    fn home_wait(&self, active: &ActiveRequest, usual: SpanMs) -> SpanMs {
        let pool = &active.stage().pool;
        let ahead = self
            .queues
            .get(pool)
            .map_or(0, |queue| queue.len_before(active.priority, active.stage_index, active.deadline_at));
        self.queue_wait(pool, ahead, usual)
    }

    /// Time until `ahead` requests have left the queue of a pool, at the pace of the last seconds.
    pub(crate) fn queue_wait(&self, pool: &PoolId, ahead: usize, usual: SpanMs) -> SpanMs {
        let capacity = self.pool_capacity.get(pool).copied().unwrap_or(1.0).max(1.0);
        let by_capacity = usual.0 as f32 / capacity;
        let by_pace = self.pool_pace.get(pool).map_or(by_capacity, PoolPace::ms_per_dispatch);
        SpanMs((ahead as f32 * by_pace.max(by_capacity)) as u64)
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
        let is_abroad = endpoint.region != self.settings.region;
        self.pool_pace.entry(stage.pool.clone()).or_default().count += 1;
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
            cross_region: Bytes(if is_abroad { active.input.0.len() as u64 } else { 0 }),
        };
        let dispatch = new_dispatch(now, active, endpoint, tag);
        active.attempts.push(id);
        active.attempts_made += 1;
        active.phase = Phase::Running;
        let not_after = active.deadline_at.min(now + self.settings.limits.dispatch_valid_ms);
        self.note_choice(now, key, &dispatch, candidates, reason);
        self.attempts.insert(id, attempt);
        self.note_dispatch(now, id, key, reason, out);
        out.push(Effect::Dispatch { not_after, dispatch: Box::new(dispatch) });
    }

    fn note_choice(
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

    fn note_dispatch(
        &mut self,
        now: TimeMs,
        id: boragepass_types::AttemptId,
        key: RequestKey,
        reason: AttemptReason,
        out: &mut Effects,
    ) {
        out.count(Counter::Dispatched);
        match reason {
            AttemptReason::First => {
                self.retry_budget.on_first_try();
                self.hedge_budget.on_first_try();
            }
            AttemptReason::Retry => out.count(Counter::Retried),
            AttemptReason::Hedge => out.count(Counter::Hedged),
            AttemptReason::Resume => out.count(Counter::Resumed),
        }
        let Some(active) = self.requests.get(key).filter(|active| active.stage().is_repeatable) else {
            return;
        };
        let first = &self.latency[active.pipeline_index][active.stage_index].first;
        let quantiles = first.quantiles(now);
        let patience = quantiles.p95.max(quantiles.p50.percent(HEDGE_PERCENT)).max(HEDGE_FLOOR);
        self.timers.set(now + patience, Timer::AttemptSlow(id));
    }

    fn enqueue(&mut self, now: TimeMs, key: RequestKey, out: &mut Effects) {
        let Some(active) = self.requests.get_mut(key) else {
            return;
        };
        if !active.attempts.is_empty() {
            return;
        }
        let place = QueuePlace::new(active.priority, active.stage_index, active.deadline_at, key);
        active.phase = Phase::Queued(place);
        let decision = Decision::Queued { stage: active.stage().id.clone() };
        self.tracer.record(now, &active.request.workspace, &active.request.id, decision);
        let queue = self.queues.entry(active.stage().pool.clone()).or_default();
        let dropped = queue.push(place, self.settings.limits.queue_len_max);
        if let Some(dropped) = dropped {
            self.shed(now, dropped, out);
        }
    }

    /// Dispatches what waits for a pool, as far as its endpoints allow.
    pub(crate) fn serve_queue(&mut self, now: TimeMs, pool: &PoolId, out: &mut Effects) {
        let Some(queue) = self.queues.get(pool).filter(|queue| queue.len() > 0) else {
            return;
        };
        for place in queue.first(QUEUE_LOOK_AHEAD) {
            let key = place.request;
            if self.is_futile(now, key) {
                self.remove_from_queue(pool, &place);
                self.shed(now, key, out);
                continue;
            }
            match self.route(now, key) {
                Choice::Use { chosen, candidates } => {
                    self.remove_from_queue(pool, &place);
                    let reason = self.reason_of(key);
                    self.dispatch(now, key, chosen, &candidates, reason, out);
                }
                Choice::NoEndpoint => {
                    self.remove_from_queue(pool, &place);
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

    fn reason_of(&self, key: RequestKey) -> AttemptReason {
        match self.requests.get(key) {
            Some(active) if active.tokens > 0 => AttemptReason::Resume,
            Some(active) if !active.failed_endpoints.is_empty() => AttemptReason::Retry,
            _ => AttemptReason::First,
        }
    }

    fn remove_from_queue(&mut self, pool: &PoolId, place: &QueuePlace) {
        if let Some(queue) = self.queues.get_mut(pool) {
            queue.remove(place);
        }
    }

    /// Whether a request cannot make its deadline any more.
    fn is_futile(&self, now: TimeMs, key: RequestKey) -> bool {
        let Some(active) = self.requests.get(key) else {
            return true;
        };
        let remaining = self.latency[active.pipeline_index].iter().skip(active.stage_index);
        let usual = remaining.map(|stage| stage.whole.quantiles(now).p50).fold(SpanMs(0), |sum, span| sum + span);
        usual.percent(FUTILE_PERCENT) > active.deadline_at.since(now)
    }

    /// Takes a request out of the queue it waits in.
    pub(crate) fn leave_queue(&mut self, key: RequestKey) {
        let Some(active) = self.requests.get(key) else {
            return;
        };
        if let Phase::Queued(place) = active.phase {
            let pool = active.stage().pool.clone();
            self.remove_from_queue(&pool, &place);
        }
    }

    /// Goes on to the next stage, or answers.
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

/// Pace at which requests leave the queue of a pool.
#[derive(Debug, Default, Clone)]
pub(crate) struct PoolPace {
    count: u32,
    per_ms: f32,
}

impl PoolPace {
    /// Takes over the dispatches of the last interval.
    pub(crate) fn roll(&mut self, interval: SpanMs) {
        let sample = self.count as f32 / interval.0.max(1) as f32;
        self.per_ms = self.per_ms * PACE_KEEP + sample * (1.0 - PACE_KEEP);
        self.count = 0;
    }

    fn ms_per_dispatch(&self) -> f32 {
        1.0 / self.per_ms.max(SLOWEST_PACE)
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
