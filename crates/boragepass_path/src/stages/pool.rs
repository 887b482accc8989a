//! Queue of one pool within one region, kept by the VM that leads it.
//!
//! The lead composes each call at the moment at which an endpoint can take it, from the pieces of
//! any requests that matter most then. A call that runs far longer than expected has its pieces
//! made again elsewhere; the first result of a piece counts.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use boragepass_types::{EndpointId, FailureDomain, SpanMs, TimeMs};

use super::PieceRank;
use super::result_space::Space;
use crate::configuration::StagePool;
use crate::effect::{CallEntry, PieceInputs};
use crate::event::{CallFailure, CallOutcome, PieceOutcome};
use crate::message::{PieceRequest, PieceRequestId, PieceResult, ResultHandle, StageInputs};
use crate::request::CallNumber;

/// Calls that one piece may be part of.
const ATTEMPTS_MAX: u32 = 3;
/// Share of the expected time of a call after which it counts as overdue.
const OVERDUE_FACTOR: f64 = 2.5;
/// Time that a call may take beside that.
const OVERDUE_SLACK_MS: f64 = 250.0;
/// Time after which a call is given up; an endpoint that is merely slow still delivers before.
const CALL_TIMEOUT_FACTOR: f64 = 12.0;
/// Pause before an endpoint that stated that it is full is asked again.
const FULL_PAUSE: SpanMs = SpanMs(60);
/// Work for late requests that waits at each endpoint. It is done as soon as what is in time leaves
/// place; more would hold clients that are better told to come back.
const LATE_BACKLOG_MS: f64 = 1_000.0;
/// How long results of a size that had no room are not tried again at an endpoint.
const NO_ROOM_PAUSE: SpanMs = SpanMs(300);
/// How long an ask is remembered after its last result, so that a repeated one is answered again.
const REMEMBERED: SpanMs = SpanMs(5_000);
/// Gain of a new sample in the usual ratio of a call's time to its expected time.
const SPEED_GAIN: f64 = 0.2;

/// Time for which a result lies at its endpoint, before any was given up: a call of the next stage.
const HOLD_MS_DEFAULT: f64 = 400.0;
/// Gain of a new sample in that time.
const HOLD_GAIN: f64 = 0.05;

/// Piece that waits for a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PieceTask {
    /// PieceRequest it belongs to.
    pub ask: PieceRequestId,
    /// Piece within the stage.
    pub piece: u16,
    /// The client's id of the request.
    pub client_id: Arc<str>,
    /// Stage within the route.
    pub stage: usize,
    /// Inputs.
    pub source: PieceInputs,
    /// Approximate size of the result.
    pub result_bytes: u64,
    /// Rank of workspace and route; zero is the most urgent.
    pub rank: u16,
    /// When the request's objective is missed, on the lead's clock; may lie in the past.
    pub objective_at_ms: i64,
    /// When the request's deadline is over.
    pub deadline_at: TimeMs,
    /// Time that the path after this stage takes at least.
    pub min_ms_after_stage: SpanMs,
    /// Calls that it was part of.
    pub attempts: u32,
    /// Endpoint at which it failed last.
    pub avoided_endpoint: Option<EndpointId>,
}

/// Call that shall be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolCall {
    /// Its number.
    pub call: CallNumber,
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Pieces.
    pub entries: Vec<CallEntry>,
    /// Time after which it counts as failed.
    pub timeout_ms: SpanMs,
    /// Time after which its pieces are made elsewhere.
    pub overdue_ms: SpanMs,
}

#[derive(Debug, Clone)]
struct RunningCall {
    endpoint: EndpointId,
    failure_domain: FailureDomain,
    pieces: Vec<PieceTask>,
    started_at: TimeMs,
    expected_ms: f64,
    is_overdue: bool,
}

#[derive(Debug, Clone, Default)]
struct AskState {
    results: BTreeMap<u16, PieceResult>,
    is_released: bool,
    touched_at: TimeMs,
}

#[derive(Debug, Clone, Default)]
struct Worker {
    calls: Vec<CallNumber>,
    full_until: TimeMs,
    /// Largest result that still fitted when it last had no room, and for how long that is believed.
    room_cap: Option<(u64, TimeMs)>,
    /// Bytes of results that lie there, with the time at which they are dropped.
    kept: Vec<(TimeMs, Arc<str>, u64)>,
    /// Usual time of a call there over the time that the configuration expects.
    slowness: f64,
}

/// Endpoint as the lead may use it now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AvailableEndpoint {
    /// Its id.
    pub endpoint: EndpointId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it failed lately; it is used only if no other one is left.
    pub is_ejected: bool,
}

/// Endpoint that made the pieces of a call.
#[derive(Debug)]
struct Maker {
    endpoint: EndpointId,
    failure_domain: FailureDomain,
    was_overdue: bool,
}

/// What a lead has to say and do after a call has ended.
#[derive(Debug, Default, PartialEq)]
pub struct CallEnd {
    /// Results by ask.
    pub results: Vec<(PieceRequestId, u16, PieceResult)>,
    /// Results that nobody needs any more, by endpoint.
    pub unneeded_results: Vec<(EndpointId, Arc<str>)>,
    /// Endpoint of the call.
    pub endpoint: Option<EndpointId>,
    /// How long it took over what was expected, if it brought results.
    pub slowness: Option<f64>,
}

/// Queue of a pool within a region.
#[derive(Debug)]
pub struct Pool {
    spec: StagePool,
    calls_per_endpoint: usize,
    queue: Vec<PieceTask>,
    asks: HashMap<PieceRequestId, AskState>,
    running: BTreeMap<CallNumber, RunningCall>,
    workers: BTreeMap<EndpointId, Worker>,
    /// Usual time for which a result lies at its endpoint.
    hold_ms: f64,
}

impl Pool {
    /// Empty queue. A lead that stands far from the endpoints keeps a second call waiting there.
    pub fn new(spec: StagePool, is_far: bool) -> Self {
        let calls_per_endpoint = if is_far { spec.slots as usize + 1 } else { spec.slots.max(1) as usize };
        Self {
            spec,
            calls_per_endpoint,
            queue: Vec::new(),
            asks: HashMap::new(),
            running: BTreeMap::new(),
            workers: BTreeMap::new(),
            hold_ms: HOLD_MS_DEFAULT,
        }
    }

    /// Takes over changed figures of the pool.
    pub fn set_spec(&mut self, spec: StagePool) {
        self.spec = spec;
    }

    /// Whether nothing is left to do.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty()
    }

    /// Pieces that wait.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    fn expected_ms(&self, pieces: usize) -> f64 {
        self.spec.call_ms + pieces as f64 * self.spec.piece_ms
    }

    /// How many times as long as expected an endpoint takes, by its last calls and the one that runs.
    fn slowness_of(&self, now: TimeMs, endpoint: &EndpointId) -> f64 {
        let usual = self.workers.get(endpoint).map_or(1.0, |worker| worker.slowness.max(1.0));
        let running = self.running.values().filter(|call| call.endpoint == *endpoint);
        running.map(|call| now.since(call.started_at).0 as f64 / call.expected_ms.max(1.0)).fold(usual, f64::max)
    }

    /// Takes an ask; one that is known gets the results that there are.
    pub fn add_piece_request(&mut self, now: TimeMs, ask: PieceRequest) -> Vec<(u16, PieceResult)> {
        if let Some(known) = self.asks.get_mut(&ask.id) {
            known.touched_at = now;
            return known.results.iter().map(|(piece, result)| (*piece, result.clone())).collect();
        }
        self.asks.insert(ask.id.clone(), AskState { touched_at: now, ..AskState::default() });
        let source = match ask.inputs {
            StageInputs::Key(key) => PieceInputs::Key(key),
            StageInputs::Results(handles) => PieceInputs::Inputs(handles),
        };
        for piece in ask.pieces {
            self.queue.push(PieceTask {
                ask: ask.id.clone(),
                piece,
                client_id: ask.client_id.clone(),
                stage: ask.stage,
                source: source.clone(),
                result_bytes: ask.result_bytes,
                rank: ask.rank,
                objective_at_ms: now.0 as i64 + ask.objective_left_ms,
                deadline_at: now + ask.deadline_left_ms,
                min_ms_after_stage: ask.downstream_ms,
                attempts: 0,
                avoided_endpoint: None,
            });
        }
        Vec::new()
    }

    /// Drops what is left of an ask; the results that lie at endpoints.
    pub fn release(&mut self, now: TimeMs, ask: &PieceRequestId) -> Vec<(EndpointId, Arc<str>)> {
        self.queue.retain(|piece| piece.ask != *ask);
        let Some(state) = self.asks.get_mut(ask) else {
            return Vec::new();
        };
        state.is_released = true;
        state.touched_at = now;
        let results = std::mem::take(&mut state.results);
        let mut unneeded = Vec::new();
        for result in results.into_values() {
            if let PieceResult::Computed(made) = result {
                self.forget_kept(now, &made.endpoint, &made.handle);
                unneeded.push((made.endpoint, made.handle));
            }
        }
        unneeded
    }

    /// Asks that have not been given up.
    pub fn open_piece_requests(&self) -> impl Iterator<Item = &PieceRequestId> {
        self.asks.iter().filter(|(_, state)| !state.is_released).map(|(ask, _)| ask)
    }

    /// Results of an ask so far, if it is known.
    pub fn results_of(&mut self, now: TimeMs, ask: &PieceRequestId) -> Option<Vec<(u16, PieceResult)>> {
        let state = self.asks.get_mut(ask)?;
        state.touched_at = now;
        Some(state.results.iter().map(|(piece, result)| (*piece, result.clone())).collect())
    }

    fn forget_kept(&mut self, now: TimeMs, endpoint: &EndpointId, handle: &str) {
        let Some(worker) = self.workers.get_mut(endpoint) else {
            return;
        };
        if let Some(place) = worker.kept.iter().position(|(_, kept, _)| **kept == *handle) {
            let (until, ..) = worker.kept.swap_remove(place);
            let left_ms = until.since(now).0 as f64;
            let held_ms = (self.spec.result_ttl_ms.0 as f64 - left_ms).max(0.0);
            self.hold_ms += HOLD_GAIN * (held_ms - self.hold_ms);
        }
    }

    /// Removes pieces that cannot be made in time any more, or that too many late ones are before.
    pub fn expire(&mut self, now: TimeMs, endpoints: usize) -> Vec<(PieceRequestId, u16, PieceResult)> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let call_ms = self.expected_ms(1) as u64;
        let surplus = self.surplus_asks(now, endpoints);
        let is_hopeless = |piece: &PieceTask| {
            piece.deadline_at < now + SpanMs(call_ms + piece.min_ms_after_stage.0) || surplus.contains(&piece.ask)
        };
        let mut expired = Vec::new();
        self.queue.retain(|piece| {
            let is_hopeless = is_hopeless(piece);
            if is_hopeless {
                expired.push((piece.ask.clone(), piece.piece, PieceResult::NotComputed(PieceOutcome::Late)));
            }
            !is_hopeless
        });
        for (ask, piece, result) in &expired {
            self.note_result(now, ask, *piece, result.clone());
        }
        expired
    }

    /// Time that a piece takes of an endpoint in a full call.
    fn full_call_piece_ms(&self) -> f64 {
        self.spec.piece_ms + self.spec.call_ms / self.spec.pieces_per_call_max as f64
    }

    /// Time in which all that waits is made by full calls.
    fn drain_ms(&self, endpoints: usize) -> f64 {
        self.queue.len() as f64 * self.full_call_piece_ms() / endpoints.max(1) as f64
    }

    /// Asks of late requests beyond those that can be made soon.
    fn surplus_asks(&self, now: TimeMs, endpoints: usize) -> HashSet<PieceRequestId> {
        let kept = (LATE_BACKLOG_MS * endpoints.max(1) as f64 / self.full_call_piece_ms()) as usize;
        if self.queue.len() <= kept {
            return HashSet::new();
        }
        let begun = self.begun_asks();
        let call_ms = self.expected_ms(self.spec.pieces_per_call_max.min(self.queue.len()));
        let drain_ms = self.drain_ms(endpoints);
        let ranked = self
            .queue
            .iter()
            .map(|piece| (PieceRank::of(piece, now, call_ms, drain_ms, begun.contains(&piece.ask)), &piece.ask));
        let mut late: Vec<_> = ranked.filter(|(rank, _)| rank.is_late()).collect();
        late.sort_by_key(|(rank, _)| *rank);
        late.into_iter().skip(kept).map(|(_, ask)| ask.clone()).collect()
    }

    fn note_result(&mut self, now: TimeMs, ask: &PieceRequestId, piece: u16, result: PieceResult) {
        if let Some(state) = self.asks.get_mut(ask) {
            state.touched_at = now;
            state.results.insert(piece, result);
        }
    }

    /// Forgets asks that ended a while ago.
    pub fn sweep(&mut self, now: TimeMs) {
        let (queue, running) = (&self.queue, &self.running);
        let is_open = |ask: &PieceRequestId| {
            queue.iter().any(|piece| piece.ask == *ask)
                || running.values().any(|call| call.pieces.iter().any(|piece| piece.ask == *ask))
        };
        self.asks.retain(|ask, state| now.since(state.touched_at) < REMEMBERED || is_open(ask));
        let idle = |worker: &Worker| worker.calls.is_empty() && worker.kept.iter().all(|(until, ..)| *until < now);
        self.workers.retain(|_, worker| !idle(worker) || worker.slowness > 1.5);
    }

    /// Answers every waiting piece that no endpoint is left for.
    pub fn fail_waiting_pieces(&mut self, now: TimeMs) -> Vec<(PieceRequestId, u16, PieceResult)> {
        let pieces = std::mem::take(&mut self.queue);
        let given_up: Vec<_> =
            pieces.into_iter().map(|piece| (piece.ask, piece.piece, PieceResult::NoEndpoint)).collect();
        for (ask, piece, result) in &given_up {
            self.note_result(now, ask, *piece, result.clone());
        }
        given_up
    }

    /// Calls that can be made now.
    pub fn next_calls(&mut self, now: TimeMs, usable: &[AvailableEndpoint], counter: &mut u64) -> Vec<PoolCall> {
        let mut calls = Vec::new();
        let has_healthy = usable.iter().any(|endpoint| !endpoint.is_ejected);
        while !self.queue.is_empty() {
            let free = usable.iter().filter(|candidate| !(has_healthy && candidate.is_ejected));
            let free = free.filter(|candidate| self.can_take(now, &candidate.endpoint));
            let Some(endpoint) = free.min_by(|a, b| self.load_of(&a.endpoint).total_cmp(&self.load_of(&b.endpoint)))
            else {
                break;
            };
            let endpoint = endpoint.clone();
            let pieces = self.take_batch(now, &endpoint.endpoint, usable);
            if pieces.is_empty() {
                break;
            }
            calls.push(self.start_call(now, endpoint, pieces, counter));
        }
        calls
    }

    fn can_take(&self, now: TimeMs, endpoint: &EndpointId) -> bool {
        self.workers
            .get(endpoint)
            .is_none_or(|worker| worker.calls.len() < self.calls_per_endpoint && worker.full_until <= now)
    }

    fn load_of(&self, endpoint: &EndpointId) -> f64 {
        let Some(worker) = self.workers.get(endpoint) else {
            return 0.0;
        };
        let kept: u64 = worker.kept.iter().map(|(_, _, bytes)| bytes).sum();
        let filled = kept as f64 / self.spec.result_space_bytes.max(1) as f64;
        worker.calls.len() as f64 * 4.0 + worker.slowness.max(1.0) + filled
    }

    /// Takes the pieces that matter most and whose results fit.
    ///
    /// An ask whose results fill much space is begun only if all of them fit beside what the asks
    /// that have begun still need. Otherwise asks that are half done fill the space and wait for
    /// each other until their results lapse.
    fn take_batch(&mut self, now: TimeMs, endpoint: &EndpointId, endpoints: &[AvailableEndpoint]) -> Vec<PieceTask> {
        let call_ms = self.expected_ms(self.spec.pieces_per_call_max.min(self.queue.len()));
        let drain_ms = self.drain_ms(endpoints.len());
        let begun = self.begun_asks();
        self.queue.sort_by_cached_key(|piece| PieceRank::of(piece, now, call_ms, drain_ms, begun.contains(&piece.ask)));
        let mut room = self.room_left(now, endpoint);
        let free: u64 = endpoints.iter().map(|usable| self.room_left(now, &usable.endpoint)).sum();
        let mut space = Space::new(free, self.spec.result_space_bytes, begun, &self.queue);
        let mut batch = Vec::new();
        let mut rest = Vec::with_capacity(self.queue.len());
        for piece in std::mem::take(&mut self.queue) {
            let is_avoided = endpoints.len() > 1 && piece.avoided_endpoint.as_ref() == Some(endpoint);
            let fits = batch.len() < self.spec.pieces_per_call_max && piece.result_bytes <= room && !is_avoided;
            if fits && space.admits(&piece) {
                room -= piece.result_bytes;
                batch.push(piece);
            } else {
                rest.push(piece);
            }
        }
        self.queue = rest;
        batch
    }

    /// Asks of which some pieces are made or in progress while others wait.
    fn begun_asks(&self) -> HashSet<PieceRequestId> {
        let running = self.running.values().flat_map(|call| call.pieces.iter().map(|piece| &piece.ask));
        let has_made =
            |state: &AskState| state.results.values().any(|result| matches!(result, PieceResult::Computed(_)));
        let made = self.asks.iter().filter(|(_, state)| has_made(state)).map(|(ask, _)| ask);
        running.chain(made).cloned().collect()
    }

    fn room_left(&mut self, now: TimeMs, endpoint: &EndpointId) -> u64 {
        let in_calls: u64 = self
            .running
            .values()
            .filter(|call| call.endpoint == *endpoint)
            .flat_map(|call| call.pieces.iter().map(|piece| piece.result_bytes))
            .sum();
        let worker = self.workers.entry(endpoint.clone()).or_default();
        worker.kept.retain(|(until, ..)| *until > now);
        let kept: u64 = worker.kept.iter().map(|(_, _, bytes)| bytes).sum();
        let room = self.spec.result_space_bytes.saturating_sub(kept + in_calls);
        match worker.room_cap {
            Some((cap, until)) if now < until => room.min(cap),
            Some(_) | None => room,
        }
    }

    fn start_call(
        &mut self,
        now: TimeMs,
        AvailableEndpoint { endpoint, failure_domain, .. }: AvailableEndpoint,
        mut pieces: Vec<PieceTask>,
        counter: &mut u64,
    ) -> PoolCall {
        let call = CallNumber::take(counter);
        pieces.iter_mut().for_each(|piece| piece.attempts += 1);
        let entries = pieces.iter().map(|piece| CallEntry {
            client_id: piece.client_id.clone(),
            stage: piece.stage,
            piece: piece.piece,
            remaining_ms: SpanMs(piece.deadline_at.since(now).0.saturating_sub(piece.min_ms_after_stage.0)),
            inputs: piece.source.clone(),
        });
        let entries = entries.collect();
        let waiting: f64 = self
            .running
            .values()
            .filter(|other| other.endpoint == endpoint)
            .map(|other| (other.expected_ms - now.since(other.started_at).0 as f64).max(0.0))
            .sum();
        let expected_ms = self.expected_ms(pieces.len()) + waiting;
        let worker = self.workers.entry(endpoint.clone()).or_default();
        worker.calls.push(call);
        let running = RunningCall {
            endpoint: endpoint.clone(),
            failure_domain,
            pieces,
            started_at: now,
            expected_ms,
            is_overdue: false,
        };
        self.running.insert(call, running);
        PoolCall {
            call,
            endpoint,
            entries,
            timeout_ms: SpanMs((expected_ms * CALL_TIMEOUT_FACTOR) as u64),
            overdue_ms: SpanMs((expected_ms * OVERDUE_FACTOR + OVERDUE_SLACK_MS) as u64),
        }
    }

    /// Whether a call belongs to this pool.
    pub fn has_call(&self, call: CallNumber) -> bool {
        self.running.contains_key(&call)
    }

    /// Puts the pieces of a call that runs too long back into the queue; how many, and its endpoint.
    pub fn on_overdue(&mut self, call: CallNumber) -> Option<(EndpointId, usize)> {
        let running = self.running.get_mut(&call)?;
        if running.is_overdue {
            return None;
        }
        running.is_overdue = true;
        let endpoint = running.endpoint.clone();
        let again: Vec<PieceTask> = running
            .pieces
            .iter()
            .filter(|piece| piece.attempts < ATTEMPTS_MAX)
            .map(|piece| PieceTask { avoided_endpoint: Some(endpoint.clone()), ..piece.clone() })
            .collect();
        let count = again.len();
        self.queue.extend(again);
        Some((endpoint, count))
    }

    /// Takes the end of a call.
    pub fn on_call_ended(&mut self, now: TimeMs, call: CallNumber, outcome: CallOutcome) -> CallEnd {
        let Some(running) = self.running.remove(&call) else {
            return CallEnd::default();
        };
        let endpoint = running.endpoint.clone();
        let worker = self.workers.entry(endpoint.clone()).or_default();
        worker.calls.retain(|other| *other != call);
        let mut end = CallEnd { endpoint: Some(endpoint.clone()), ..CallEnd::default() };
        match outcome.results {
            Ok(outcomes) => {
                let slowness = now.since(running.started_at).0 as f64 / running.expected_ms.max(1.0);
                let usual = if worker.slowness == 0.0 { 1.0 } else { worker.slowness };
                worker.slowness = usual + SPEED_GAIN * (slowness - usual);
                end.slowness = Some(slowness);
                let maker = Maker {
                    endpoint: endpoint.clone(),
                    failure_domain: running.failure_domain,
                    was_overdue: running.is_overdue,
                };
                for (piece, outcome) in running.pieces.into_iter().zip(outcomes) {
                    self.on_piece(now, piece, outcome, &maker, &mut end);
                }
            }
            Err(failure) => {
                if failure == CallFailure::EndpointFull {
                    worker.full_until = now + FULL_PAUSE;
                }
                let is_lost = matches!(failure, CallFailure::ConnectionLost | CallFailure::TimedOut);
                for piece in running.pieces {
                    self.retry_piece(now, piece, &endpoint, is_lost, running.is_overdue, &mut end);
                }
            }
        }
        end
    }

    fn on_piece(&mut self, now: TimeMs, piece: PieceTask, outcome: PieceOutcome, maker: &Maker, end: &mut CallEnd) {
        let Maker { endpoint, failure_domain, was_overdue } = maker;
        let is_wanted =
            self.asks.get(&piece.ask).is_some_and(|ask| !ask.is_released && !ask.results.contains_key(&piece.piece));
        match outcome {
            PieceOutcome::Computed(handle) => {
                if !is_wanted {
                    end.unneeded_results.push((endpoint.clone(), handle));
                    return;
                }
                self.queue.retain(|other| other.ask != piece.ask || other.piece != piece.piece);
                let worker = self.workers.entry(endpoint.clone()).or_default();
                worker.kept.push((now + self.spec.result_ttl_ms, handle.clone(), piece.result_bytes));
                let made = PieceResult::Computed(ResultHandle {
                    handle,
                    endpoint: endpoint.clone(),
                    failure_domain: failure_domain.clone(),
                });
                self.note_result(now, &piece.ask, piece.piece, made.clone());
                end.results.push((piece.ask, piece.piece, made));
            }
            // Another copy was made sooner; the inputs of this one may have been given up over it.
            PieceOutcome::Late | PieceOutcome::InputLost if !is_wanted => {}
            PieceOutcome::Late | PieceOutcome::InputLost => {
                let result = PieceResult::NotComputed(outcome);
                self.note_result(now, &piece.ask, piece.piece, result.clone());
                end.results.push((piece.ask, piece.piece, result));
            }
            PieceOutcome::NoSpace => {
                // The space is taken by results that this lead does not know of; another try is not a failure.
                let piece = PieceTask { attempts: piece.attempts.saturating_sub(1), ..piece };
                let cap = piece.result_bytes.saturating_sub(1);
                self.workers.entry(endpoint.clone()).or_default().room_cap = Some((cap, now + NO_ROOM_PAUSE));
                self.retry_piece(now, piece, endpoint, false, *was_overdue, end);
            }
            PieceOutcome::Failed => self.retry_piece(now, piece, endpoint, true, *was_overdue, end),
        }
    }

    fn retry_piece(
        &mut self,
        now: TimeMs,
        piece: PieceTask,
        endpoint: &EndpointId,
        is_counted: bool,
        was_overdue: bool,
        end: &mut CallEnd,
    ) {
        let is_open =
            self.asks.get(&piece.ask).is_some_and(|ask| !ask.is_released && !ask.results.contains_key(&piece.piece));
        // An overdue call's pieces wait or run elsewhere already.
        if !is_open || was_overdue {
            return;
        }
        if piece.attempts >= ATTEMPTS_MAX && is_counted {
            let result = PieceResult::NotComputed(PieceOutcome::Failed);
            self.note_result(now, &piece.ask, piece.piece, result.clone());
            end.results.push((piece.ask, piece.piece, result));
            return;
        }
        let attempts = if is_counted { piece.attempts } else { piece.attempts.saturating_sub(1) };
        self.queue.push(PieceTask { attempts, avoided_endpoint: Some(endpoint.clone()), ..piece });
    }

    /// Time until a piece that comes now would begin, with these endpoints.
    pub fn wait_ms<'a>(&self, now: TimeMs, endpoints: impl Iterator<Item = &'a EndpointId>) -> f64 {
        let ids: Vec<&EndpointId> = endpoints.collect();
        let mut endpoints: Vec<(f64, f64)> =
            ids.iter().map(|endpoint| (self.free_in_ms(now, endpoint), self.slowness_of(now, endpoint))).collect();
        let mut pieces = self.queue.len();
        while pieces > 0 {
            let taken = pieces.min(self.spec.pieces_per_call_max);
            let call_ms = self.expected_ms(taken);
            let end = |(free_in_ms, slowness): &(f64, f64)| free_in_ms + call_ms * slowness;
            match endpoints.iter_mut().min_by(|a, b| end(a).total_cmp(&end(b))) {
                Some(soonest) => soonest.0 = end(soonest),
                None => return 0.0,
            }
            pieces -= taken;
        }
        let room_wait_ms = self.room_wait_ms(now, &ids);
        // A slow endpoint that is free makes a piece later than a fast one that is not.
        let delay = |(free_in_ms, slowness): &(f64, f64)| free_in_ms + (slowness - 1.0) * self.expected_ms(1);
        endpoints.iter().map(delay).min_by(f64::total_cmp).unwrap_or(0.0).max(room_wait_ms)
    }

    /// Time until results that lie at endpoints have made space for what waits.
    fn room_wait_ms(&self, now: TimeMs, endpoints: &[&EndpointId]) -> f64 {
        let room = self.spec.result_space_bytes as f64 * endpoints.len() as f64;
        let workers = endpoints.iter().filter_map(|endpoint| self.workers.get(*endpoint));
        let kept: u64 = workers
            .flat_map(|worker| worker.kept.iter())
            .filter(|(until, ..)| *until > now)
            .map(|(_, _, bytes)| bytes)
            .sum();
        let running = self.running.values().flat_map(|call| call.pieces.iter().map(|piece| piece.result_bytes));
        let queued: u64 = self.queue.iter().map(|piece| piece.result_bytes).sum();
        let lacking = queued as f64 - (room - kept as f64 - running.sum::<u64>() as f64);
        if lacking <= 0.0 || room <= 0.0 { 0.0 } else { lacking / room * self.hold_ms }
    }

    /// Time until an endpoint has made the calls that it has.
    fn free_in_ms(&self, now: TimeMs, endpoint: &EndpointId) -> f64 {
        let slowness = self.slowness_of(now, endpoint);
        let calls = self.running.values().filter(|call| call.endpoint == *endpoint);
        let left = calls.map(|call| call.expected_ms * slowness - now.since(call.started_at).0 as f64);
        left.fold(0.0, f64::max)
    }
}
