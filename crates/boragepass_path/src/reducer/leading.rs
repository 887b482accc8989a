//! Pools that this VM leads: queues the piece requests of all VMs, batches them into calls to endpoints, and
//! returns the results to the VMs that requested them.

use std::collections::BTreeSet;

use boragepass_types::{EndpointId, Region, SpanMs, TimeMs, VmId};

use super::{PoolKey, RequestPath};
use crate::effect::{Effect, SendTarget};
use crate::event::{CallFailure, CallOutcome};
use crate::message::{PeerMessage, PieceRequest, PieceRequestId, PieceResult, PoolLoad};
use crate::placement::KnownEndpoint;
use crate::record::Record;
use crate::request::CallNumber;
use crate::stages::{AvailableEndpoint, Pool};
use crate::timers::Timer;

/// Interval at which a pool with waiting pieces is run again.
const POOL_RECHECK_INTERVAL: SpanMs = SpanMs(50);
/// Factor that turns the slowness of a call, its duration relative to the expected one, into the time that the
/// endpoint table records.
const SLOWNESS_SCALE_MS: f64 = 100.0;

impl RequestPath {
    /// Queues a piece request of this or another VM.
    pub(super) fn on_piece_request(&mut self, now: TimeMs, piece_request: PieceRequest) {
        let pool_key = (piece_request.pool.clone(), piece_request.region.clone());
        let id = piece_request.id.clone();
        let spec = self.configuration.as_ref().and_then(|configuration| configuration.stage_pool(&piece_request.pool));
        let Some(spec) = spec else {
            let failed_results = piece_request.pieces.iter().map(|piece| (*piece, PieceResult::NoEndpoint)).collect();
            self.send_results(now, &id, failed_results);
            return;
        };
        let is_remote_region = piece_request.region != self.settings.region;
        let pool = self.led_pools.entry(pool_key.clone()).or_insert_with(|| Pool::new(spec, is_remote_region));
        let finished_results = pool.add_piece_request(now, piece_request);
        if id.vm != self.settings.vm || !finished_results.is_empty() {
            self.send_results(now, &id, finished_results);
        }
        self.run_pool(now, &pool_key);
    }

    /// Drops the waiting pieces of a piece request and frees its results.
    pub(super) fn on_piece_request_released(&mut self, now: TimeMs, piece_request: &PieceRequestId) {
        let unneeded_results: Vec<_> =
            self.led_pools.values_mut().flat_map(|pool| pool.release(now, piece_request)).collect();
        self.free_results(unneeded_results);
    }

    /// Releases the piece requests of VMs that are dead or have restarted.
    pub(super) fn release_orphaned_piece_requests(&mut self, now: TimeMs) {
        let open_piece_requests: BTreeSet<PieceRequestId> =
            self.led_pools.values().flat_map(Pool::open_piece_requests).cloned().collect();
        let is_orphaned = |piece_request: &PieceRequestId| {
            let is_current =
                self.fleet.record(&piece_request.vm).is_some_and(|vm| vm.incarnation == piece_request.incarnation);
            !is_current || !self.fleet.is_live(now, &piece_request.vm)
        };
        let orphaned_piece_requests: Vec<PieceRequestId> =
            open_piece_requests.into_iter().filter(is_orphaned).collect();
        for piece_request in orphaned_piece_requests {
            self.on_piece_request_released(now, &piece_request);
        }
    }

    fn free_results(&mut self, unneeded_results: Vec<(EndpointId, std::sync::Arc<str>)>) {
        let mut by_endpoint: Vec<(EndpointId, Vec<std::sync::Arc<str>>)> = Vec::new();
        for (endpoint, handle) in unneeded_results {
            match by_endpoint.iter_mut().find(|(grouped_endpoint, _)| *grouped_endpoint == endpoint) {
                Some((_, handles)) => handles.push(handle),
                None => by_endpoint.push((endpoint, vec![handle])),
            }
        }
        for (endpoint, handles) in by_endpoint {
            if let Some(known_endpoint) = self.endpoint_table.get(&endpoint) {
                let target = SendTarget { endpoint, address: known_endpoint.endpoint.address };
                self.effects.push(Effect::FreeResults(target, handles));
            }
        }
    }

    pub(super) fn run_all_pools(&mut self, now: TimeMs) {
        let pool_keys: Vec<_> = self.led_pools.keys().cloned().collect();
        for pool_key in pool_keys {
            self.run_pool(now, &pool_key);
        }
    }

    /// Fails the pieces that cannot be computed in time and starts the calls that can start. Without a healthy
    /// endpoint, the other waiting pieces fail too if another region has one, or if this region has no endpoint at all.
    fn run_pool(&mut self, now: TimeMs, pool_key: &PoolKey) {
        let available = self.available_endpoints(now, pool_key);
        let should_fail_waiting =
            available.iter().all(|endpoint| endpoint.is_ejected) && self.is_served_elsewhere(now, pool_key);
        let Some(pool) = self.led_pools.get_mut(pool_key) else {
            return;
        };
        let mut results = pool.expire(now, available.len());
        if should_fail_waiting {
            results.extend(pool.fail_waiting_pieces(now));
        }
        let calls = pool.next_calls(now, &available, &mut self.call_counter);
        let has_waiting_pieces = pool.queue_len() > 0;
        self.send_grouped_results(now, results);
        for call in calls {
            let Some(known_endpoint) = self.endpoint_table.get_mut(&call.endpoint) else {
                continue;
            };
            known_endpoint.statements.on_send(now);
            let target = SendTarget { endpoint: call.endpoint.clone(), address: known_endpoint.endpoint.address };
            self.calls.insert(call.call, pool_key.clone());
            self.timers.set(now + call.overdue_ms, Timer::CallOverdue(call.call));
            self.effects.push(Effect::Call {
                call: call.call,
                target,
                entries: call.entries,
                timeout_ms: call.timeout_ms,
            });
        }
        if has_waiting_pieces {
            self.timers.set(now + POOL_RECHECK_INTERVAL, Timer::RunPools);
        }
    }

    /// Whether waiting pieces should move: another region has a healthy endpoint, or this one has no endpoint at all.
    fn is_served_elsewhere(&self, now: TimeMs, pool_key: &PoolKey) -> bool {
        let mut serving = self.endpoint_table.serving(&pool_key.0);
        let is_elsewhere = |known_endpoint: &KnownEndpoint| {
            !self.is_in_region(known_endpoint, &pool_key.1) && !known_endpoint.is_ejected(now)
        };
        serving.any(is_elsewhere)
            || !self
                .endpoint_table
                .serving(&pool_key.0)
                .any(|known_endpoint| self.is_in_region(known_endpoint, &pool_key.1))
    }

    fn is_in_region(&self, known_endpoint: &KnownEndpoint, region: &Region) -> bool {
        self.settings.region_of(&known_endpoint.endpoint.failure_domain) == region
    }

    fn available_endpoints(&self, now: TimeMs, pool_key: &PoolKey) -> Vec<AvailableEndpoint> {
        let in_region = self
            .endpoint_table
            .serving(&pool_key.0)
            .filter(|known_endpoint| self.is_in_region(known_endpoint, &pool_key.1));
        let running_calls =
            |endpoint: &EndpointId| self.led_pools.get(pool_key).map_or(0, |pool| pool.running_calls(endpoint));
        let to_available = |known_endpoint: &KnownEndpoint| {
            let endpoint = &known_endpoint.endpoint.id;
            let limited_calls = known_endpoint.limits_requests(now).then(|| usize::from(known_endpoint.accepts(now)));
            let limiter = &known_endpoint.statements.rejection_limiter;
            let free_slots = limiter.free_slots(now, running_calls(endpoint)).map(|slots| slots as usize);
            AvailableEndpoint {
                endpoint: endpoint.clone(),
                failure_domain: known_endpoint.endpoint.failure_domain.clone(),
                is_ejected: known_endpoint.is_ejected(now) || known_endpoint.is_paused(now),
                is_cold: known_endpoint.is_cold(now),
                calls_left: limited_calls.into_iter().chain(free_slots).min(),
            }
        };
        in_region.map(to_available).collect()
    }

    pub(super) fn on_call_overdue(&mut self, now: TimeMs, call: CallNumber) {
        let Some(pool_key) = self.calls.get(&call).cloned() else {
            return;
        };
        let live_vms = self.fleet.live_count(now);
        // If the retry budget does not allow repeating the pieces, the call runs until its timeout.
        if !self.retry_budget.try_take(now, &pool_key.0, 1, live_vms) {
            return;
        }
        let Some((endpoint, pieces)) = self.led_pools.get_mut(&pool_key).and_then(|pool| pool.on_overdue(call)) else {
            return;
        };
        self.log(
            Record::new("call is overdue, its pieces are made elsewhere")
                .text("pool", &pool_key.0)
                .text("endpoint", &endpoint)
                .number("pieces", pieces),
        );
        self.on_link_failure(now, &endpoint);
        self.endpoint_table.on_failure(now, &endpoint, false);
        self.run_pool(now, &pool_key);
    }

    pub(super) fn on_call_ended(&mut self, now: TimeMs, call: CallNumber, outcome: CallOutcome) {
        let Some(pool_key) = self.calls.remove(&call) else {
            return;
        };
        let failure = outcome.results.as_ref().err().copied();
        let signals = outcome.signals;
        let Some(pool) = self.led_pools.get_mut(&pool_key) else {
            return;
        };
        let call_end = pool.on_call_ended(now, call, outcome);
        if let Some(endpoint) = call_end.endpoint {
            if let Some(signals) = signals {
                self.on_endpoint_signals(now, &endpoint, signals);
            }
            self.record_call_outcome(now, &pool_key, &endpoint, failure, call_end.slowness);
        }
        self.free_results(call_end.unneeded_results);
        self.send_grouped_results(now, call_end.results);
        self.run_pool(now, &pool_key);
    }

    fn record_call_outcome(
        &mut self,
        now: TimeMs,
        pool_key: &PoolKey,
        endpoint: &EndpointId,
        failure: Option<CallFailure>,
        slowness: Option<f64>,
    ) {
        if let Some(slowness) = slowness {
            self.endpoint_table.on_success(now, endpoint, SpanMs((slowness * SLOWNESS_SCALE_MS) as u64));
        }
        let Some(failure) = failure else {
            self.on_endpoint_contact(now);
            return;
        };
        match failure {
            CallFailure::EndpointFull => {
                self.on_endpoint_contact(now);
                if let Some(known_endpoint) = self.endpoint_table.get_mut(endpoint) {
                    known_endpoint.statements.rejection_limiter.on_rejection(now);
                }
            }
            CallFailure::NotReached | CallFailure::ConnectionLost | CallFailure::TimedOut => {
                self.on_link_failure(now, endpoint);
            }
        }
        self.log(
            Record::new("call failed").text("pool", &pool_key.0).text("endpoint", endpoint).text("reason", failure),
        );
        let is_refused = failure == CallFailure::NotReached;
        if failure != CallFailure::EndpointFull {
            let ejected_for = self.endpoint_table.on_failure(now, endpoint, is_refused);
            self.log_ejection(endpoint, ejected_for);
        }
        if is_refused {
            self.on_endpoint_down(now, endpoint);
        }
    }

    pub(super) fn log_ejection(&mut self, endpoint: &EndpointId, ejected_for: Option<SpanMs>) {
        if let Some(span) = ejected_for {
            self.log(Record::new("endpoint ejected").text("endpoint", endpoint).number("for_ms", span.0));
        }
    }

    fn send_grouped_results(&mut self, now: TimeMs, results: Vec<(PieceRequestId, u16, PieceResult)>) {
        let mut by_piece_request: Vec<(PieceRequestId, Vec<(u16, PieceResult)>)> = Vec::new();
        for (piece_request, piece, result) in results {
            match by_piece_request.iter_mut().find(|(grouped_id, _)| *grouped_id == piece_request) {
                Some((_, pieces)) => pieces.push((piece, result)),
                None => by_piece_request.push((piece_request, vec![(piece, result)])),
            }
        }
        for (piece_request, results) in by_piece_request {
            self.send_results(now, &piece_request, results);
        }
    }

    fn send_results(&mut self, now: TimeMs, piece_request: &PieceRequestId, results: Vec<(u16, PieceResult)>) {
        if piece_request.vm == self.settings.vm {
            self.on_results(now, piece_request, results);
        } else {
            self.send_peer_message(&piece_request.vm.clone(), PeerMessage::Results(piece_request.clone(), results));
        }
    }

    /// Returns the results so far of a piece request, if this VM still has it; the VM that sent it asked.
    pub(super) fn on_results_query(&mut self, now: TimeMs, from: &VmId, piece_request: &PieceRequestId) {
        let found_results = self.led_pools.values_mut().find_map(|pool| pool.results_of(now, piece_request));
        if let Some(results) = found_results {
            self.send_peer_message(from, PeerMessage::Results(piece_request.clone(), results));
        }
    }

    /// Backlogs of the pools that this VM leads, for its heartbeat.
    pub(super) fn led_pool_loads(&self, now: TimeMs) -> Vec<PoolLoad> {
        let load = |((pool_id, region), pool): (&PoolKey, &Pool)| {
            let available = self.available_endpoints(now, &(pool_id.clone(), region.clone()));
            let healthy: Vec<_> = available.iter().filter(|endpoint| !endpoint.is_ejected).collect();
            PoolLoad {
                pool: pool_id.clone(),
                region: region.clone(),
                wait_ms: pool.wait_ms(now, healthy.iter().map(|endpoint| &endpoint.endpoint)) as f32,
                healthy_endpoints: healthy.len() as u16,
            }
        };
        self.led_pools.iter().map(load).collect()
    }
}
