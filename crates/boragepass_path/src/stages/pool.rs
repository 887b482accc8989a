//! Work queue of one stage pool within one region, held by the VM that is the pool leader.
//!
//! The leader batches pieces of many requests into calls. It composes a call only when an endpoint
//! can accept one, from the highest-ranked pieces at that moment. The pieces of a call that runs far
//! longer than expected are queued again for another endpoint; the first result of a piece counts.
//! Sending calls and delivering results to the requesting VMs is left to the reducer.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use boragepass_types::{EndpointId, FailureDomain, SpanMs, TimeMs};

use super::PieceRank;
use super::result_space::SpaceReservations;
use crate::configuration::StagePool;
use crate::effect::{CallEntry, PieceInputs};
use crate::event::{CallFailure, CallOutcome, PieceOutcome};
use crate::message::{PieceRequest, PieceRequestId, PieceResult, ResultHandle, StageInputs};
use crate::request::CallNumber;

/// Calls that one piece may be part of before it fails.
const ATTEMPTS_MAX: u32 = 3;
/// Multiple of a call's expected time after which the call is overdue.
const OVERDUE_FACTOR: f64 = 2.5;
/// Added to the overdue time, so that short calls are not overdue at once.
const OVERDUE_MARGIN_MS: f64 = 250.0;
/// Multiple of a call's expected time after which the call fails; an endpoint that is only slow still replies before.
const CALL_TIMEOUT_FACTOR: f64 = 12.0;
/// Time without calls to an endpoint that rejected one because it is full.
const FULL_ENDPOINT_BACKOFF: SpanMs = SpanMs(60);
/// Work of late requests that may wait, per endpoint. It runs as soon as requests in time leave
/// capacity; requests beyond it fail at once, so that their clients retry instead of waiting.
const LATE_BACKLOG_PER_ENDPOINT_MS: f64 = 1_000.0;
/// Time for which an endpoint gets no results of a size for which it had no space.
const NO_SPACE_BACKOFF: SpanMs = SpanMs(300);
/// Time for which a finished piece request is kept, so that a repeat of it gets the same results.
const FINISHED_REQUEST_RETENTION: SpanMs = SpanMs(5_000);
/// Weight of a new sample in the moving average of an endpoint's slowness.
const SLOWNESS_EMA_WEIGHT: f64 = 0.2;

/// Assumed retention time of a result until one was released: about one call of the next stage.
const INITIAL_RETENTION_MS: f64 = 400.0;
/// Weight of a new sample in the moving average of the retention time.
const RETENTION_EMA_WEIGHT: f64 = 0.05;

/// A piece that waits for a call or is part of a running one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PieceTask {
    /// Piece request that it belongs to.
    pub piece_request: PieceRequestId,
    /// Index of the piece within the stage.
    pub piece: u16,
    /// The client's id of the request.
    pub client_id: Arc<str>,
    /// Index of the stage within the route.
    pub stage: usize,
    /// What the endpoint computes the piece from.
    pub inputs: PieceInputs,
    /// Expected size of the result.
    pub result_bytes: u64,
    /// Combined rank of workspace and route; zero is the most urgent.
    pub rank: u16,
    /// When the request misses its objective, on the leader's clock; may lie in the past.
    pub objective_at_ms: i64,
    /// When the request's deadline passes.
    pub deadline_at: TimeMs,
    /// Least time from the end of this stage to the request's first byte.
    pub downstream_ms: SpanMs,
    /// Calls that it was part of, without those that did not run or had no space for its result.
    pub attempts: u32,
    /// Endpoint of its last failed or overdue call; used only if it is the only one.
    pub avoided_endpoint: Option<EndpointId>,
}

/// A call for the executor to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolCall {
    /// Number of the call on this VM.
    pub call: CallNumber,
    /// Endpoint that it goes to.
    pub endpoint: EndpointId,
    /// Pieces of the batch.
    pub entries: Vec<CallEntry>,
    /// Time after which the call fails.
    pub timeout_ms: SpanMs,
    /// Time after which its pieces are queued again for another endpoint.
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
struct PieceRequestState {
    /// Results by the index of the piece.
    results: BTreeMap<u16, PieceResult>,
    is_released: bool,
    last_used_at: TimeMs,
}

#[derive(Debug, Clone, Default)]
struct EndpointState {
    calls: Vec<CallNumber>,
    /// Until when it gets no calls, after it rejected one because it is full.
    backoff_until: TimeMs,
    /// Largest result that it is assumed to have space for after it had none, and until when.
    space_cap: Option<(u64, TimeMs)>,
    /// Results that it retains: expiry, handle and bytes.
    retained_results: Vec<(TimeMs, Arc<str>, u64)>,
    /// Moving average of a call's time over its expected time; zero before the first call.
    slowness: f64,
}

/// An endpoint of the pool's region that accepts work, as the reducer knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AvailableEndpoint {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Failure domain of the endpoint.
    pub failure_domain: FailureDomain,
    /// Whether it is ejected or asked for a pause; it gets calls only if the same holds for all others.
    pub is_ejected: bool,
    /// Whether it is cold after its start; it gets a call only if no other one accepts it.
    pub is_cold: bool,
    /// Calls that what it states of itself allows now; `None` if it states no limit.
    pub calls_left: Option<usize>,
}

/// Where the results of an ended call come from.
#[derive(Debug)]
struct CallOrigin {
    endpoint: EndpointId,
    failure_domain: FailureDomain,
    was_overdue: bool,
}

/// What the leader reports and frees after a call has ended.
#[derive(Debug, Default, PartialEq)]
pub struct CallEnd {
    /// Results to report: piece request, piece and result.
    pub results: Vec<(PieceRequestId, u16, PieceResult)>,
    /// Results that no piece request needs, to be freed at their endpoint.
    pub unneeded_results: Vec<(EndpointId, Arc<str>)>,
    /// Endpoint of the call; `None` if the call is unknown.
    pub endpoint: Option<EndpointId>,
    /// Time of the call over its expected time, if it returned results.
    pub slowness: Option<f64>,
}

/// Queue, running calls and endpoint states of a stage pool within a region.
#[derive(Debug)]
pub struct Pool {
    spec: StagePool,
    calls_per_endpoint: usize,
    queue: Vec<PieceTask>,
    piece_requests: HashMap<PieceRequestId, PieceRequestState>,
    running: BTreeMap<CallNumber, RunningCall>,
    endpoint_states: BTreeMap<EndpointId, EndpointState>,
    /// Moving average of the time for which an endpoint retains a result.
    average_retention_ms: f64,
}

impl Pool {
    /// Creates an empty queue. A leader in another region than the endpoints keeps one call more at each, which
    /// starts there without waiting for a round trip.
    pub fn new(spec: StagePool, is_remote_region: bool) -> Self {
        let calls_per_endpoint = if is_remote_region { spec.slots as usize + 1 } else { spec.slots.max(1) as usize };
        Self {
            spec,
            calls_per_endpoint,
            queue: Vec::new(),
            piece_requests: HashMap::new(),
            running: BTreeMap::new(),
            endpoint_states: BTreeMap::new(),
            average_retention_ms: INITIAL_RETENTION_MS,
        }
    }

    /// Replaces the pool's figures after a change of the configuration.
    pub fn set_spec(&mut self, spec: StagePool) {
        self.spec = spec;
    }

    /// Whether no piece waits and no call runs.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty()
    }

    /// Calls of this leader that run at an endpoint or wait there.
    pub fn running_calls(&self, endpoint: &EndpointId) -> u32 {
        self.endpoint_states.get(endpoint).map_or(0, |endpoint_state| endpoint_state.calls.len() as u32)
    }

    /// Number of pieces that wait.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    fn expected_ms(&self, pieces: usize) -> f64 {
        self.spec.call_ms + pieces as f64 * self.spec.piece_ms
    }

    /// Factor by which an endpoint exceeds expected times, from its past calls and those that run.
    fn expected_slowness(&self, now: TimeMs, endpoint: &EndpointId) -> f64 {
        let average = self.endpoint_states.get(endpoint).map_or(1.0, |endpoint_state| endpoint_state.slowness.max(1.0));
        let running = self.running.values().filter(|call| call.endpoint == *endpoint);
        running.map(|call| now.since(call.started_at).0 as f64 / call.expected_ms.max(1.0)).fold(average, f64::max)
    }

    /// Queues the pieces of a piece request. Returns the results so far if the request is known already.
    pub fn add_piece_request(&mut self, now: TimeMs, piece_request: PieceRequest) -> Vec<(u16, PieceResult)> {
        if let Some(known) = self.piece_requests.get_mut(&piece_request.id) {
            known.last_used_at = now;
            return known.results.iter().map(|(piece, result)| (*piece, result.clone())).collect();
        }
        self.piece_requests
            .insert(piece_request.id.clone(), PieceRequestState { last_used_at: now, ..PieceRequestState::default() });
        let inputs = match piece_request.inputs {
            StageInputs::Key(key) => PieceInputs::Key(key),
            StageInputs::Results(handles) => PieceInputs::Inputs(handles),
        };
        for piece in piece_request.pieces {
            self.queue.push(PieceTask {
                piece_request: piece_request.id.clone(),
                piece,
                client_id: piece_request.client_id.clone(),
                stage: piece_request.stage,
                inputs: inputs.clone(),
                result_bytes: piece_request.result_bytes,
                rank: piece_request.rank,
                objective_at_ms: now.0 as i64 + piece_request.objective_left_ms,
                deadline_at: now + piece_request.deadline_left_ms,
                downstream_ms: piece_request.downstream_ms,
                attempts: 0,
                avoided_endpoint: None,
            });
        }
        Vec::new()
    }

    /// Drops the waiting pieces of a piece request and returns the results to free at endpoints.
    pub fn release(&mut self, now: TimeMs, piece_request: &PieceRequestId) -> Vec<(EndpointId, Arc<str>)> {
        self.queue.retain(|piece| piece.piece_request != *piece_request);
        let Some(state) = self.piece_requests.get_mut(piece_request) else {
            return Vec::new();
        };
        state.is_released = true;
        state.last_used_at = now;
        let results = std::mem::take(&mut state.results);
        let mut unneeded = Vec::new();
        for result in results.into_values() {
            if let PieceResult::Computed(result_handle) = result {
                self.forget_retained_result(now, &result_handle.endpoint, &result_handle.handle);
                unneeded.push((result_handle.endpoint, result_handle.handle));
            }
        }
        unneeded
    }

    /// Piece requests that have not been released.
    pub fn open_piece_requests(&self) -> impl Iterator<Item = &PieceRequestId> {
        self.piece_requests.iter().filter(|(_, state)| !state.is_released).map(|(piece_request, _)| piece_request)
    }

    /// Results of a piece request so far, if the request is known.
    pub fn results_of(&mut self, now: TimeMs, piece_request: &PieceRequestId) -> Option<Vec<(u16, PieceResult)>> {
        let state = self.piece_requests.get_mut(piece_request)?;
        state.last_used_at = now;
        Some(state.results.iter().map(|(piece, result)| (*piece, result.clone())).collect())
    }

    fn forget_retained_result(&mut self, now: TimeMs, endpoint: &EndpointId, handle: &str) {
        let Some(endpoint_state) = self.endpoint_states.get_mut(endpoint) else {
            return;
        };
        if let Some(position) =
            endpoint_state.retained_results.iter().position(|(_, retained, _)| **retained == *handle)
        {
            let (expires_at, ..) = endpoint_state.retained_results.swap_remove(position);
            let left_ms = expires_at.since(now).0 as f64;
            let retained_ms = (self.spec.result_ttl_ms.0 as f64 - left_ms).max(0.0);
            self.average_retention_ms += RETENTION_EMA_WEIGHT * (retained_ms - self.average_retention_ms);
        }
    }

    /// Removes pieces that cannot meet their deadline or exceed the backlog of late requests; returns them as late.
    pub fn expire(&mut self, now: TimeMs, endpoints: usize) -> Vec<(PieceRequestId, u16, PieceResult)> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let call_ms = self.expected_ms(1) as u64;
        let excess = self.excess_late_requests(now, endpoints);
        let is_hopeless = |piece: &PieceTask| {
            piece.deadline_at < now + SpanMs(call_ms + piece.downstream_ms.0) || excess.contains(&piece.piece_request)
        };
        let mut expired = Vec::new();
        self.queue.retain(|piece| {
            let is_hopeless = is_hopeless(piece);
            if is_hopeless {
                expired.push((piece.piece_request.clone(), piece.piece, PieceResult::NotComputed(PieceOutcome::Late)));
            }
            !is_hopeless
        });
        for (piece_request, piece, result) in &expired {
            self.record_result(now, piece_request, *piece, result.clone());
        }
        expired
    }

    /// Time of an endpoint that one piece of a full call takes.
    fn full_call_piece_ms(&self) -> f64 {
        self.spec.piece_ms + self.spec.call_ms / self.spec.pieces_per_call_max as f64
    }

    /// Time in which `endpoints` work off the queue in full calls.
    fn drain_ms(&self, endpoints: usize) -> f64 {
        self.queue.len() as f64 * self.full_call_piece_ms() / endpoints.max(1) as f64
    }

    /// Piece requests of late requests that exceed the backlog allowed for them, the lowest-ranked ones.
    fn excess_late_requests(&self, now: TimeMs, endpoints: usize) -> HashSet<PieceRequestId> {
        let late_pieces_max =
            (LATE_BACKLOG_PER_ENDPOINT_MS * endpoints.max(1) as f64 / self.full_call_piece_ms()) as usize;
        if self.queue.len() <= late_pieces_max {
            return HashSet::new();
        }
        let started = self.started_requests();
        let call_ms = self.expected_ms(self.spec.pieces_per_call_max.min(self.queue.len()));
        let drain_ms = self.drain_ms(endpoints);
        let ranked = self.queue.iter().map(|piece| {
            (PieceRank::of(piece, now, call_ms, drain_ms, started.contains(&piece.piece_request)), &piece.piece_request)
        });
        let mut late: Vec<_> = ranked.filter(|(rank, _)| rank.is_late()).collect();
        late.sort_by_key(|(rank, _)| *rank);
        late.into_iter().skip(late_pieces_max).map(|(_, piece_request)| piece_request.clone()).collect()
    }

    fn record_result(&mut self, now: TimeMs, piece_request: &PieceRequestId, piece: u16, result: PieceResult) {
        if let Some(state) = self.piece_requests.get_mut(piece_request) {
            state.last_used_at = now;
            state.results.insert(piece, result);
        }
    }

    /// Drops piece requests that ended a while ago and the states of endpoints that are idle and not slow.
    pub fn sweep(&mut self, now: TimeMs) {
        let (queue, running) = (&self.queue, &self.running);
        let is_open = |piece_request: &PieceRequestId| {
            queue.iter().any(|piece| piece.piece_request == *piece_request)
                || running.values().any(|call| call.pieces.iter().any(|piece| piece.piece_request == *piece_request))
        };
        self.piece_requests.retain(|piece_request, state| {
            now.since(state.last_used_at) < FINISHED_REQUEST_RETENTION || is_open(piece_request)
        });
        let is_unused = |endpoint_state: &EndpointState| {
            endpoint_state.calls.is_empty()
                && endpoint_state.retained_results.iter().all(|(expires_at, ..)| *expires_at < now)
        };
        self.endpoint_states.retain(|_, endpoint_state| !is_unused(endpoint_state) || endpoint_state.slowness > 1.5);
    }

    /// Fails all waiting pieces because no endpoint of the region is left; returns them.
    pub fn fail_waiting_pieces(&mut self, now: TimeMs) -> Vec<(PieceRequestId, u16, PieceResult)> {
        let pieces = std::mem::take(&mut self.queue);
        let failed_pieces: Vec<_> =
            pieces.into_iter().map(|piece| (piece.piece_request, piece.piece, PieceResult::NoEndpoint)).collect();
        for (piece_request, piece, result) in &failed_pieces {
            self.record_result(now, piece_request, *piece, result.clone());
        }
        failed_pieces
    }

    /// Composes the calls that endpoints can accept now, for the least loaded endpoint first.
    pub fn next_calls(&mut self, now: TimeMs, available: &[AvailableEndpoint], counter: &mut u64) -> Vec<PoolCall> {
        let mut calls = Vec::new();
        let has_healthy = available.iter().any(|endpoint| !endpoint.is_ejected);
        while !self.queue.is_empty() {
            let free = available.iter().filter(|candidate| !(has_healthy && candidate.is_ejected));
            let is_within_limit = |candidate: &&AvailableEndpoint| {
                let new_calls = calls.iter().filter(|call: &&PoolCall| call.endpoint == candidate.endpoint).count();
                candidate.calls_left.is_none_or(|calls_left| new_calls < calls_left)
            };
            let free = free.filter(is_within_limit);
            let free = free.filter(|candidate| self.can_accept_call(now, &candidate.endpoint));
            let Some(endpoint) = free.min_by(|a, b| {
                let by_load = self.load_score(&a.endpoint).total_cmp(&self.load_score(&b.endpoint));
                a.is_cold.cmp(&b.is_cold).then(by_load)
            }) else {
                break;
            };
            let endpoint = endpoint.clone();
            let pieces = self.take_next_batch(now, &endpoint.endpoint, available);
            if pieces.is_empty() {
                break;
            }
            calls.push(self.start_call(now, endpoint, pieces, counter));
        }
        calls
    }

    fn can_accept_call(&self, now: TimeMs, endpoint: &EndpointId) -> bool {
        self.endpoint_states.get(endpoint).is_none_or(|endpoint_state| {
            endpoint_state.calls.len() < self.calls_per_endpoint && endpoint_state.backoff_until <= now
        })
    }

    /// Load by which endpoints are compared: running calls weigh most, then slowness and the share of occupied space.
    fn load_score(&self, endpoint: &EndpointId) -> f64 {
        let Some(endpoint_state) = self.endpoint_states.get(endpoint) else {
            return 0.0;
        };
        let retained_bytes: u64 = endpoint_state.retained_results.iter().map(|(_, _, bytes)| bytes).sum();
        let filled = retained_bytes as f64 / self.spec.result_space_bytes.max(1) as f64;
        endpoint_state.calls.len() as f64 * 4.0 + endpoint_state.slowness.max(1.0) + filled
    }

    /// Takes the highest-ranked pieces whose results fit at the endpoint.
    ///
    /// A piece request with large results is started only if all of them fit beside what the started
    /// ones still need. Otherwise half-finished piece requests fill the space and wait for each other
    /// until their results expire.
    fn take_next_batch(
        &mut self,
        now: TimeMs,
        endpoint: &EndpointId,
        endpoints: &[AvailableEndpoint],
    ) -> Vec<PieceTask> {
        let call_ms = self.expected_ms(self.spec.pieces_per_call_max.min(self.queue.len()));
        let drain_ms = self.drain_ms(endpoints.len());
        let started = self.started_requests();
        self.queue.sort_by_cached_key(|piece| {
            PieceRank::of(piece, now, call_ms, drain_ms, started.contains(&piece.piece_request))
        });
        let mut free_bytes = self.free_space_bytes(now, endpoint);
        let pool_free_bytes: u64 =
            endpoints.iter().map(|available| self.free_space_bytes(now, &available.endpoint)).sum();
        let mut reservations =
            SpaceReservations::new(pool_free_bytes, self.spec.result_space_bytes, started, &self.queue);
        let mut batch = Vec::new();
        let mut rest = Vec::with_capacity(self.queue.len());
        for piece in std::mem::take(&mut self.queue) {
            let is_avoided = endpoints.len() > 1 && piece.avoided_endpoint.as_ref() == Some(endpoint);
            let fits = batch.len() < self.spec.pieces_per_call_max && piece.result_bytes <= free_bytes && !is_avoided;
            if fits && reservations.try_reserve(&piece) {
                free_bytes -= piece.result_bytes;
                batch.push(piece);
            } else {
                rest.push(piece);
            }
        }
        self.queue = rest;
        batch
    }

    /// Piece requests with at least one piece computed or in a running call.
    fn started_requests(&self) -> HashSet<PieceRequestId> {
        let running = self.running.values().flat_map(|call| call.pieces.iter().map(|piece| &piece.piece_request));
        let has_result =
            |state: &PieceRequestState| state.results.values().any(|result| matches!(result, PieceResult::Computed(_)));
        let with_results =
            self.piece_requests.iter().filter(|(_, state)| has_result(state)).map(|(piece_request, _)| piece_request);
        running.chain(with_results).cloned().collect()
    }

    fn free_space_bytes(&mut self, now: TimeMs, endpoint: &EndpointId) -> u64 {
        let reserved_by_calls: u64 = self
            .running
            .values()
            .filter(|call| call.endpoint == *endpoint)
            .flat_map(|call| call.pieces.iter().map(|piece| piece.result_bytes))
            .sum();
        let endpoint_state = self.endpoint_states.entry(endpoint.clone()).or_default();
        endpoint_state.retained_results.retain(|(expires_at, ..)| *expires_at > now);
        let retained_bytes: u64 = endpoint_state.retained_results.iter().map(|(_, _, bytes)| bytes).sum();
        let free_bytes = self.spec.result_space_bytes.saturating_sub(retained_bytes + reserved_by_calls);
        match endpoint_state.space_cap {
            Some((cap, expires_at)) if now < expires_at => free_bytes.min(cap),
            Some(_) | None => free_bytes,
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
            remaining_ms: SpanMs(piece.deadline_at.since(now).0.saturating_sub(piece.downstream_ms.0)),
            inputs: piece.inputs.clone(),
        });
        let entries = entries.collect();
        let busy_ms: f64 = self
            .running
            .values()
            .filter(|other| other.endpoint == endpoint)
            .map(|other| (other.expected_ms - now.since(other.started_at).0 as f64).max(0.0))
            .sum();
        let expected_ms = self.expected_ms(pieces.len()) + busy_ms;
        let endpoint_state = self.endpoint_states.entry(endpoint.clone()).or_default();
        endpoint_state.calls.push(call);
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
            overdue_ms: SpanMs((expected_ms * OVERDUE_FACTOR + OVERDUE_MARGIN_MS) as u64),
        }
    }

    /// Whether this pool runs a call.
    pub fn has_call(&self, call: CallNumber) -> bool {
        self.running.contains_key(&call)
    }

    /// Queues the pieces of an overdue call again; returns its endpoint and how many were queued.
    pub fn on_overdue(&mut self, call: CallNumber) -> Option<(EndpointId, usize)> {
        let running = self.running.get_mut(&call)?;
        if running.is_overdue {
            return None;
        }
        running.is_overdue = true;
        let endpoint = running.endpoint.clone();
        let retried: Vec<PieceTask> = running
            .pieces
            .iter()
            .filter(|piece| piece.attempts < ATTEMPTS_MAX)
            .map(|piece| PieceTask { avoided_endpoint: Some(endpoint.clone()), ..piece.clone() })
            .collect();
        let count = retried.len();
        self.queue.extend(retried);
        Some((endpoint, count))
    }

    /// Handles the end of a call: records results, queues failed pieces again and updates the endpoint's state.
    pub fn on_call_ended(&mut self, now: TimeMs, call: CallNumber, outcome: CallOutcome) -> CallEnd {
        let Some(running) = self.running.remove(&call) else {
            return CallEnd::default();
        };
        let endpoint = running.endpoint.clone();
        let endpoint_state = self.endpoint_states.entry(endpoint.clone()).or_default();
        endpoint_state.calls.retain(|other| *other != call);
        let mut end = CallEnd { endpoint: Some(endpoint.clone()), ..CallEnd::default() };
        match outcome.results {
            Ok(outcomes) => {
                let slowness = now.since(running.started_at).0 as f64 / running.expected_ms.max(1.0);
                let average = if endpoint_state.slowness == 0.0 { 1.0 } else { endpoint_state.slowness };
                endpoint_state.slowness = average + SLOWNESS_EMA_WEIGHT * (slowness - average);
                end.slowness = Some(slowness);
                let origin = CallOrigin {
                    endpoint: endpoint.clone(),
                    failure_domain: running.failure_domain,
                    was_overdue: running.is_overdue,
                };
                for (piece, outcome) in running.pieces.into_iter().zip(outcomes) {
                    self.on_piece_outcome(now, piece, outcome, &origin, &mut end);
                }
            }
            Err(failure) => {
                if failure == CallFailure::EndpointFull {
                    endpoint_state.backoff_until = now + FULL_ENDPOINT_BACKOFF;
                }
                let counts_as_attempt = matches!(failure, CallFailure::ConnectionLost | CallFailure::TimedOut);
                for piece in running.pieces {
                    self.retry_piece(now, piece, &endpoint, counts_as_attempt, running.is_overdue, &mut end);
                }
            }
        }
        end
    }

    fn on_piece_outcome(
        &mut self,
        now: TimeMs,
        piece: PieceTask,
        outcome: PieceOutcome,
        origin: &CallOrigin,
        end: &mut CallEnd,
    ) {
        let CallOrigin { endpoint, failure_domain, was_overdue } = origin;
        let is_wanted = self.piece_requests.get(&piece.piece_request).is_some_and(|piece_request| {
            !piece_request.is_released && !piece_request.results.contains_key(&piece.piece)
        });
        match outcome {
            PieceOutcome::Computed(handle) => {
                if !is_wanted {
                    end.unneeded_results.push((endpoint.clone(), handle));
                    return;
                }
                self.queue.retain(|other| other.piece_request != piece.piece_request || other.piece != piece.piece);
                let endpoint_state = self.endpoint_states.entry(endpoint.clone()).or_default();
                endpoint_state.retained_results.push((
                    now + self.spec.result_ttl_ms,
                    handle.clone(),
                    piece.result_bytes,
                ));
                let result = PieceResult::Computed(ResultHandle {
                    handle,
                    endpoint: endpoint.clone(),
                    failure_domain: failure_domain.clone(),
                });
                self.record_result(now, &piece.piece_request, piece.piece, result.clone());
                end.results.push((piece.piece_request, piece.piece, result));
            }
            // Another call computed the piece sooner, after which its inputs may have been freed.
            PieceOutcome::Late | PieceOutcome::InputLost if !is_wanted => {}
            PieceOutcome::Late | PieceOutcome::InputLost => {
                let result = PieceResult::NotComputed(outcome);
                self.record_result(now, &piece.piece_request, piece.piece, result.clone());
                end.results.push((piece.piece_request, piece.piece, result));
            }
            PieceOutcome::NoSpace => {
                // Results that this leader does not know of fill the space, so this does not count as an attempt.
                let piece = PieceTask { attempts: piece.attempts.saturating_sub(1), ..piece };
                let cap = piece.result_bytes.saturating_sub(1);
                self.endpoint_states.entry(endpoint.clone()).or_default().space_cap =
                    Some((cap, now + NO_SPACE_BACKOFF));
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
        counts_as_attempt: bool,
        was_overdue: bool,
        end: &mut CallEnd,
    ) {
        let is_open = self.piece_requests.get(&piece.piece_request).is_some_and(|piece_request| {
            !piece_request.is_released && !piece_request.results.contains_key(&piece.piece)
        });
        // The pieces of an overdue call are queued or running elsewhere already.
        if !is_open || was_overdue {
            return;
        }
        if piece.attempts >= ATTEMPTS_MAX && counts_as_attempt {
            let result = PieceResult::NotComputed(PieceOutcome::Failed);
            self.record_result(now, &piece.piece_request, piece.piece, result.clone());
            end.results.push((piece.piece_request, piece.piece, result));
            return;
        }
        let attempts = if counts_as_attempt { piece.attempts } else { piece.attempts.saturating_sub(1) };
        self.queue.push(PieceTask { attempts, avoided_endpoint: Some(endpoint.clone()), ..piece });
    }

    /// Expected time until a piece queued now starts at one of these endpoints.
    pub fn wait_ms<'a>(&self, now: TimeMs, endpoints: impl Iterator<Item = &'a EndpointId>) -> f64 {
        let ids: Vec<&EndpointId> = endpoints.collect();
        let mut endpoints: Vec<(f64, f64)> = ids
            .iter()
            .map(|endpoint| (self.busy_for_ms(now, endpoint), self.expected_slowness(now, endpoint)))
            .collect();
        let mut pieces = self.queue.len();
        while pieces > 0 {
            let taken = pieces.min(self.spec.pieces_per_call_max);
            let call_ms = self.expected_ms(taken);
            let end = |(busy_for_ms, slowness): &(f64, f64)| busy_for_ms + call_ms * slowness;
            match endpoints.iter_mut().min_by(|a, b| end(a).total_cmp(&end(b))) {
                Some(soonest) => soonest.0 = end(soonest),
                None => return 0.0,
            }
            pieces -= taken;
        }
        let space_wait_ms = self.space_wait_ms(now, &ids);
        // A slow idle endpoint may finish a piece later than a fast busy one, so its extra time counts as wait.
        let delay = |(busy_for_ms, slowness): &(f64, f64)| busy_for_ms + (slowness - 1.0) * self.expected_ms(1);
        endpoints.iter().map(delay).min_by(f64::total_cmp).unwrap_or(0.0).max(space_wait_ms)
    }

    /// Expected time until endpoints have freed space for the results of all waiting pieces.
    fn space_wait_ms(&self, now: TimeMs, endpoints: &[&EndpointId]) -> f64 {
        let capacity_bytes = self.spec.result_space_bytes as f64 * endpoints.len() as f64;
        let endpoint_states = endpoints.iter().filter_map(|endpoint| self.endpoint_states.get(*endpoint));
        let retained_bytes: u64 = endpoint_states
            .flat_map(|endpoint_state| endpoint_state.retained_results.iter())
            .filter(|(expires_at, ..)| *expires_at > now)
            .map(|(_, _, bytes)| bytes)
            .sum();
        let running = self.running.values().flat_map(|call| call.pieces.iter().map(|piece| piece.result_bytes));
        let queued: u64 = self.queue.iter().map(|piece| piece.result_bytes).sum();
        let missing_bytes = queued as f64 - (capacity_bytes - retained_bytes as f64 - running.sum::<u64>() as f64);
        if missing_bytes <= 0.0 || capacity_bytes <= 0.0 {
            0.0
        } else {
            missing_bytes / capacity_bytes * self.average_retention_ms
        }
    }

    /// Expected time until an endpoint has finished its running calls.
    fn busy_for_ms(&self, now: TimeMs, endpoint: &EndpointId) -> f64 {
        let slowness = self.expected_slowness(now, endpoint);
        let calls = self.running.values().filter(|call| call.endpoint == *endpoint);
        let left = calls.map(|call| call.expected_ms * slowness - now.since(call.started_at).0 as f64);
        left.fold(0.0, f64::max)
    }
}
