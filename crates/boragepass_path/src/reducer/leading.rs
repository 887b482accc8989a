//! Pools that this VM leads: asks of all VMs, shared calls, results.

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

/// Time after which queues are looked at again while they hold work that cannot start.
const POOLS_AGAIN: SpanMs = SpanMs(50);
/// Scale on which the slowness of a call is kept as a time.
const SLOWNESS_SCALE_MS: f64 = 100.0;

impl RequestPath {
    /// Takes an ask of this or another VM.
    pub(super) fn lead_ask(&mut self, now: TimeMs, ask: PieceRequest) {
        let key = (ask.pool.clone(), ask.region.clone());
        let id = ask.id.clone();
        let spec = self.configuration.as_ref().and_then(|configuration| configuration.stage_pool(&ask.pool));
        let Some(spec) = spec else {
            let failed = ask.pieces.iter().map(|piece| (*piece, PieceResult::NoEndpoint)).collect();
            self.tell_results(now, &id, failed);
            return;
        };
        let is_far = ask.region != self.settings.region;
        let pool = self.pools.entry(key.clone()).or_insert_with(|| Pool::new(spec, is_far));
        let known = pool.add_piece_request(now, ask);
        if id.vm != self.settings.vm || !known.is_empty() {
            self.tell_results(now, &id, known);
        }
        self.run_pool(now, &key);
    }

    pub(super) fn lead_release(&mut self, now: TimeMs, ask: &PieceRequestId) {
        let unneeded: Vec<_> = self.pools.values_mut().flat_map(|pool| pool.release(now, ask)).collect();
        self.free(unneeded);
    }

    /// Gives up the asks of VMs that are dead or started anew.
    pub(super) fn release_orphans(&mut self, now: TimeMs) {
        let open: BTreeSet<PieceRequestId> = self.pools.values().flat_map(Pool::open_piece_requests).cloned().collect();
        let is_orphan = |ask: &PieceRequestId| {
            let is_current = self.fleet.record(&ask.vm).is_some_and(|vm| vm.incarnation == ask.incarnation);
            !is_current || !self.fleet.is_live(now, &ask.vm)
        };
        let orphans: Vec<PieceRequestId> = open.into_iter().filter(is_orphan).collect();
        for ask in orphans {
            self.lead_release(now, &ask);
        }
    }

    fn free(&mut self, unneeded: Vec<(EndpointId, std::sync::Arc<str>)>) {
        let mut by_endpoint: Vec<(EndpointId, Vec<std::sync::Arc<str>>)> = Vec::new();
        for (endpoint, handle) in unneeded {
            match by_endpoint.iter_mut().find(|(known, _)| *known == endpoint) {
                Some((_, handles)) => handles.push(handle),
                None => by_endpoint.push((endpoint, vec![handle])),
            }
        }
        for (endpoint, handles) in by_endpoint {
            if let Some(known) = self.table.get(&endpoint) {
                let target = SendTarget { endpoint, address: known.endpoint.address };
                self.effects.push(Effect::FreeResults(target, handles));
            }
        }
    }

    pub(super) fn run_all_pools(&mut self, now: TimeMs) {
        let keys: Vec<_> = self.pools.keys().cloned().collect();
        for key in keys {
            self.run_pool(now, &key);
        }
    }

    /// Answers what is hopeless and makes the calls that can be made.
    fn run_pool(&mut self, now: TimeMs, key: &PoolKey) {
        let usable = self.usable(now, key);
        let is_lost = usable.iter().all(|endpoint| endpoint.is_ejected) && self.is_served_elsewhere(now, key);
        let Some(pool) = self.pools.get_mut(key) else {
            return;
        };
        let mut results = pool.expire(now, usable.len());
        if is_lost {
            results.extend(pool.fail_waiting_pieces(now));
        }
        let calls = pool.next_calls(now, &usable, &mut self.call_counter);
        let is_waiting = pool.queue_len() > 0;
        self.tell_all_results(now, results);
        for call in calls {
            let Some(known) = self.table.get(&call.endpoint) else {
                continue;
            };
            let target = SendTarget { endpoint: call.endpoint.clone(), address: known.endpoint.address };
            self.calls.insert(call.call, key.clone());
            self.timers.set(now + call.overdue_ms, Timer::CallOverdue(call.call));
            self.effects.push(Effect::Call {
                call: call.call,
                target,
                entries: call.entries,
                timeout_ms: call.timeout_ms,
            });
        }
        if is_waiting {
            self.timers.set(now + POOLS_AGAIN, Timer::Pools);
        }
    }

    /// Whether endpoints of another region can take over, or none is left here at all.
    fn is_served_elsewhere(&self, now: TimeMs, key: &PoolKey) -> bool {
        let mut serving = self.table.serving(&key.0);
        let is_elsewhere = |known: &KnownEndpoint| !self.is_in(known, &key.1) && !known.is_ejected(now);
        serving.any(is_elsewhere) || !self.table.serving(&key.0).any(|known| self.is_in(known, &key.1))
    }

    fn is_in(&self, known: &KnownEndpoint, region: &Region) -> bool {
        self.settings.region_of(&known.endpoint.failure_domain) == region
    }

    fn usable(&self, now: TimeMs, key: &PoolKey) -> Vec<AvailableEndpoint> {
        let at_home = self.table.serving(&key.0).filter(|known| self.is_in(known, &key.1));
        let usable = |known: &KnownEndpoint| AvailableEndpoint {
            endpoint: known.endpoint.id.clone(),
            failure_domain: known.endpoint.failure_domain.clone(),
            is_ejected: known.is_ejected(now),
        };
        at_home.map(usable).collect()
    }

    pub(super) fn on_call_overdue(&mut self, now: TimeMs, call: CallNumber) {
        let Some(key) = self.calls.get(&call).cloned() else {
            return;
        };
        let live = self.fleet.live_count(now);
        // A call whose pieces may not be repeated within the budget is left to its timeout.
        if !self.budget.try_take(now, &key.0, 1, live) {
            return;
        }
        let Some((endpoint, pieces)) = self.pools.get_mut(&key).and_then(|pool| pool.on_overdue(call)) else {
            return;
        };
        self.log(
            Record::new("call is overdue, its pieces are made elsewhere")
                .text("pool", &key.0)
                .text("endpoint", &endpoint)
                .number("pieces", pieces),
        );
        self.table.on_failure(now, &endpoint, false);
        self.run_pool(now, &key);
    }

    pub(super) fn on_call_ended(&mut self, now: TimeMs, call: CallNumber, outcome: CallOutcome) {
        let Some(key) = self.calls.remove(&call) else {
            return;
        };
        let failure = outcome.results.as_ref().err().copied();
        let load = outcome.load;
        let Some(pool) = self.pools.get_mut(&key) else {
            return;
        };
        let end = pool.on_call_ended(now, call, outcome);
        if let Some(endpoint) = end.endpoint {
            if let Some(load) = load {
                self.table.on_report(now, &endpoint, load);
            }
            self.note_call_health(now, &key, &endpoint, failure, end.slowness);
        }
        self.free(end.unneeded_results);
        self.tell_all_results(now, end.results);
        self.run_pool(now, &key);
    }

    fn note_call_health(
        &mut self,
        now: TimeMs,
        key: &PoolKey,
        endpoint: &EndpointId,
        failure: Option<CallFailure>,
        slowness: Option<f64>,
    ) {
        if let Some(slowness) = slowness {
            self.table.on_success(now, endpoint, SpanMs((slowness * SLOWNESS_SCALE_MS) as u64));
        }
        let Some(failure) = failure else {
            return;
        };
        self.log(Record::new("call failed").text("pool", &key.0).text("endpoint", endpoint).text("reason", failure));
        let is_refused = failure == CallFailure::NotReached;
        if failure != CallFailure::Full {
            let ejected = self.table.on_failure(now, endpoint, is_refused);
            self.log_ejection(endpoint, ejected);
        }
        if is_refused {
            self.crashes.on_endpoint_down(now, endpoint);
        }
    }

    pub(super) fn log_ejection(&mut self, endpoint: &EndpointId, ejected: Option<SpanMs>) {
        if let Some(span) = ejected {
            self.log(Record::new("endpoint ejected").text("endpoint", endpoint).number("for_ms", span.0));
        }
    }

    fn tell_all_results(&mut self, now: TimeMs, results: Vec<(PieceRequestId, u16, PieceResult)>) {
        let mut by_ask: Vec<(PieceRequestId, Vec<(u16, PieceResult)>)> = Vec::new();
        for (ask, piece, result) in results {
            match by_ask.iter_mut().find(|(known, _)| *known == ask) {
                Some((_, pieces)) => pieces.push((piece, result)),
                None => by_ask.push((ask, vec![(piece, result)])),
            }
        }
        for (ask, results) in by_ask {
            self.tell_results(now, &ask, results);
        }
    }

    fn tell_results(&mut self, now: TimeMs, ask: &PieceRequestId, results: Vec<(u16, PieceResult)>) {
        if ask.vm == self.settings.vm {
            self.on_results(now, ask, results);
        } else {
            self.tell(&ask.vm.clone(), PeerMessage::Results(ask.clone(), results));
        }
    }

    /// The asking VM wants to know whether its ask is still here.
    pub(super) fn on_asked_about(&mut self, now: TimeMs, from: &VmId, ask: &PieceRequestId) {
        let known = self.pools.values_mut().find_map(|pool| pool.results_of(now, ask));
        if let Some(results) = known {
            self.tell(from, PeerMessage::Results(ask.clone(), results));
        }
    }

    /// Backlogs of the pools that this VM leads.
    pub(super) fn own_backlogs(&self, now: TimeMs) -> Vec<PoolLoad> {
        let load = |((pool, region), queue): (&PoolKey, &Pool)| {
            let usable = self.usable(now, &(pool.clone(), region.clone()));
            let healthy: Vec<_> = usable.iter().filter(|endpoint| !endpoint.is_ejected).collect();
            PoolLoad {
                pool: pool.clone(),
                region: region.clone(),
                wait_ms: queue.wait_ms(now, healthy.iter().map(|usable| &usable.endpoint)) as f32,
                healthy_endpoints: healthy.len() as u16,
            }
        };
        self.pools.iter().map(load).collect()
    }
}
