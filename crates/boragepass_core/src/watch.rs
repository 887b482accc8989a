//! Endpoint load reports, ejection of endpoints, and polling of the VM list.
//!
//! Two VMs of a region, chosen by rendezvous hash, watch each endpoint: they poll its load report
//! and whether it is leaving, and share both within the region. An endpoint without a fresh report
//! is polled before it gets work, so that a VM with old information sends nothing to an endpoint that
//! is full or leaving.

use boragepass_types::{EndpointId, PoolId, SpanMs, TimeMs, VmId, rendezvous_weight};

use crate::counter::Counter;
use crate::effect::{Effect, Effects};
use crate::ejection::{EjectionCause, ejection_cap};
use crate::endpoints::{Endpoint, EndpointIdx, ReportedLoad, short_hash};
use crate::map::Map;
use crate::member_flow::BroadcastSource;
use crate::membership::MemberRecord;
use crate::message::{Holdings, PeerMessage, SharedLoad};
use crate::node::Node;
use crate::platform::{LoadReport, VmListEntry, VmListReply, VmState};
use crate::state_change::StateChange;
use crate::timers::Timer;

/// Interval at which expired state is dropped.
pub(crate) const SWEEP_INTERVAL: SpanMs = SpanMs(500);
/// Load polls per message that shares the loads.
const POLLS_PER_SHARE: u64 = 2;
const WATCHERS_PER_ENDPOINT: usize = 2;
/// Interval at which unchanged models and adapters are shared again, for VMs that missed them.
const HOLDINGS_REPEAT_INTERVAL: SpanMs = SpanMs(10_000);
/// Shortest time between two polls of one endpoint.
const POLL_INTERVAL_MIN: SpanMs = SpanMs(100);
const ENTRIES_PER_MESSAGE: usize = 64;

/// State of polling endpoints and the VM list.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    poll_count: u64,
    vm_list_version: u64,
    vm_list_polled_at: Option<TimeMs>,
    last_polled_at: Map<EndpointIdx, TimeMs>,
    holdings_shared_at: Map<EndpointIdx, TimeMs>,
    /// Endpoints that this VM watches, and whether it is the primary watcher.
    watched_endpoints: Vec<(EndpointIdx, bool)>,
    /// Membership view and endpoint count from which `watched_endpoints` was computed.
    watched_inputs: Option<(u64, usize)>,
    endpoint_count: usize,
    /// Latest report of each polled endpoint, and when it arrived.
    latest_reports: Map<EndpointIdx, (TimeMs, SharedLoad)>,
    /// Reports as this VM shared them last, to find changes of the holdings.
    last_shared_loads: Map<EndpointIdx, SharedLoad>,
}

impl Watch {
    /// Whether the VM list has been read since the start.
    pub(crate) fn knows_vm_list(&self) -> bool {
        self.vm_list_version > 0
    }
}

impl Node {
    /// Polls the endpoints that this VM watches and shares their loads.
    pub(crate) fn on_load_poll_timer(&mut self, now: TimeMs, out: &mut Effects) {
        self.timers.set(now + self.settings.limits.load_poll_ms, Timer::LoadPoll);
        self.choose_watched();
        for (idx, _) in self.watch.watched_endpoints.clone() {
            if self.endpoints.get(idx).state != VmState::Gone {
                self.poll_endpoint(now, idx, out);
            }
        }
        self.watch.poll_count += 1;
        if self.watch.poll_count.is_multiple_of(POLLS_PER_SHARE) {
            self.share_loads(now, out);
        }
    }

    /// Polls an endpoint's load, unless it was polled less than [`POLL_INTERVAL_MIN`] ago.
    pub(crate) fn poll_endpoint(&mut self, now: TimeMs, idx: EndpointIdx, out: &mut Effects) {
        let is_recent = self.watch.last_polled_at.get(&idx).is_some_and(|at| now.since(*at) < POLL_INTERVAL_MIN);
        if is_recent {
            return;
        }
        self.watch.last_polled_at.insert(idx, now);
        let endpoint = self.endpoints.get(idx);
        let (id, address) = (endpoint.id.clone(), endpoint.address);
        out.push(Effect::PollLoad { endpoint: id, address, asked_at: now });
    }

    /// Computes which endpoints this VM watches and for which it is the primary watcher. The result
    /// is kept until the membership or the number of endpoints changes.
    fn choose_watched(&mut self) {
        let inputs = (self.membership.view_version, self.watch.endpoint_count);
        if self.watch.watched_inputs == Some(inputs) {
            return;
        }
        self.watch.watched_inputs = Some(inputs);
        let region = &self.settings.region;
        let vms: Vec<_> =
            self.membership.serving().filter(|record| record.region == *region).map(|record| &record.vm).collect();
        let mut watched = Vec::new();
        for (idx, endpoint) in self.endpoints.iter().filter(|(_, endpoint)| endpoint.region == *region) {
            let weight = |vm: &VmId| rendezvous_weight(endpoint.id.as_str(), vm.as_str());
            let own_weight = weight(&self.settings.vm);
            let higher_ranked = vms.iter().filter(|vm| ***vm != self.settings.vm && weight(vm) > own_weight).count();
            if higher_ranked < WATCHERS_PER_ENDPOINT {
                watched.push((idx, higher_ranked == 0));
            }
        }
        self.watch.watched_endpoints = watched;
    }

    /// Shares fresh load reports within the region: those of endpoints whose primary watcher is this
    /// VM, and those of all watched endpoints that are leaving.
    fn share_loads(&mut self, now: TimeMs, out: &mut Effects) {
        let mut loads = Vec::new();
        for (idx, is_primary) in self.watch.watched_endpoints.clone() {
            let Some((at, report)) = self.watch.latest_reports.get(&idx).cloned() else {
                continue;
            };
            if !is_primary && !report.leaving {
                continue;
            }
            let age = SpanMs(report.age_ms.0 + now.since(at).0);
            if age > self.settings.limits.load_stale_ms {
                continue;
            }
            let shared_at = self.watch.holdings_shared_at.get(&idx).copied();
            let last_shared = self.watch.last_shared_loads.get(&idx);
            let is_holdings_due = shared_at.is_none_or(|at| now.since(at) > HOLDINGS_REPEAT_INTERVAL)
                || last_shared.is_none_or(|last_shared| last_shared.holdings != report.holdings);
            if is_holdings_due {
                self.watch.holdings_shared_at.insert(idx, now);
            }
            self.watch.last_shared_loads.insert(idx, report.clone());
            let holdings = report.holdings.clone().filter(|_| is_holdings_due);
            loads.push(SharedLoad { age_ms: age, holdings, ..report });
        }
        if loads.is_empty() {
            return;
        }
        let region = &self.settings.region;
        let receivers: Vec<MemberRecord> =
            self.membership.reachable().filter(|record| record.region == *region).cloned().collect();
        for record in receivers {
            self.send_to(&record, PeerMessage::Loads(loads.clone()), out);
        }
    }

    /// Applies the result of a poll; `None` means that the poll failed.
    pub(crate) fn on_load_reply(
        &mut self,
        now: TimeMs,
        id: &EndpointId,
        asked_at: TimeMs,
        report: Option<LoadReport>,
        out: &mut Effects,
    ) {
        let Some(idx) = self.endpoints.find(id) else {
            return;
        };
        let Some(report) = report else {
            self.watch.latest_reports.remove(&idx);
            self.endpoints.get_mut(idx).last_failure_at = Some(now);
            return;
        };
        self.prefix_cache.apply_events(idx, &report.cache_events);
        let load = ReportedLoad::from_report(&report, now);
        let shared = SharedLoad {
            endpoint: short_hash(self.endpoints.get(idx).hash),
            running: report.running,
            queued: report.queued,
            slots: report.slots,
            age_ms: report.lag_ms,
            leaving: report.is_leaving,
            holdings: Some(Holdings { models: report.models.clone(), adapters: report.adapters.clone() }),
        };
        self.watch.latest_reports.insert(idx, (now, shared));
        let starts_leaving = report.is_leaving && self.endpoints.get(idx).is_open();
        let holdings = Holdings { models: report.models, adapters: report.adapters };
        self.record_report(now, Some(asked_at), idx, load, report.is_leaving, Some(holdings), out);
        if starts_leaving {
            self.share_loads(now, out);
        }
    }

    /// Applies loads that another VM shares.
    pub(crate) fn on_shared_loads(&mut self, now: TimeMs, loads: &[SharedLoad], out: &mut Effects) {
        for load in loads {
            let Some(idx) = self.endpoints.find_by_hash(load.endpoint) else {
                continue;
            };
            let reported_load = ReportedLoad {
                running: load.running,
                queued: load.queued,
                slots: load.slots.max(1),
                measured_at: TimeMs(now.0.saturating_sub(load.age_ms.0)),
            };
            let reported_at =
                if self.may_have_stale_input(now) { None } else { Some(reported_load.measured_at.min(now)) };
            self.record_report(now, reported_at, idx, reported_load, load.leaving, load.holdings.clone(), out);
        }
    }

    /// Records a report unless a later one is known. A mark that the endpoint is
    /// leaving is recorded in any case.
    fn record_report(
        &mut self,
        now: TimeMs,
        reported_at: Option<TimeMs>,
        idx: EndpointIdx,
        load: ReportedLoad,
        is_leaving: bool,
        holdings: Option<Holdings>,
        out: &mut Effects,
    ) {
        let endpoint = self.endpoints.get_mut(idx);
        let is_outdated = reported_at < endpoint.reported_at;
        if is_outdated && !is_leaving {
            return;
        }
        let was_open = endpoint.is_open();
        if let Some(holdings) = holdings {
            endpoint.models = holdings.models;
            endpoint.adapters = holdings.adapters;
        }
        endpoint.record_load(reported_at, load, is_leaving);
        if was_open && is_leaving {
            out.log(StateChange::EndpointLeaving { endpoint: endpoint.id.clone() });
        }
        let pool = endpoint.pool.clone();
        self.serve_queue(now, &pool, out);
    }

    /// Ejects an endpoint unless the cap on ejected endpoints of its pool is reached.
    pub(crate) fn eject(&mut self, now: TimeMs, idx: EndpointIdx, cause: EjectionCause, out: &mut Effects) {
        let endpoint = self.endpoints.get(idx);
        if endpoint.health.is_ejected(now) {
            return;
        }
        let pool = self.endpoints.in_pool(&endpoint.pool, &endpoint.region);
        let ejected = pool.iter().filter(|other| self.endpoints.get(**other).health.is_ejected(now)).count();
        if ejected >= ejection_cap(pool.len()) || pool.len() == 1 {
            out.count(Counter::EndpointEjectionCapped);
            return;
        }
        let endpoint = self.endpoints.get_mut(idx);
        let for_ms = endpoint.health.eject(now);
        out.count(Counter::EndpointEjected);
        out.log(StateChange::EndpointEjected { endpoint: endpoint.id.clone(), for_ms, cause });
    }

    /// Returns endpoints whose ejection is over, and computes the capacity of each pool.
    pub(crate) fn sweep_endpoints(&mut self, now: TimeMs, out: &mut Effects) {
        let mut capacity: Map<PoolId, f32> = Map::default();
        let indices: Vec<_> = self.endpoints.iter().map(|(idx, _)| idx).collect();
        for idx in indices {
            let endpoint = self.endpoints.get_mut(idx);
            if endpoint.health.clear_expired_ejection(now) {
                endpoint.limit.restart();
                endpoint.slowness = endpoint.slowness.min(1.5);
                out.log(StateChange::EndpointReturned { endpoint: endpoint.id.clone() });
            }
            if let Some(concurrency) =
                endpoint_concurrency(endpoint, now, &self.settings.region, self.settings.limits.load_stale_ms)
            {
                *capacity.entry(endpoint.pool.clone()).or_default() += concurrency;
            }
        }
        self.pool_capacity = capacity;
        self.pool_dispatch_rates.values_mut().for_each(|rate| rate.end_interval(SWEEP_INTERVAL));
        let pools: Vec<_> = self.queues.keys().cloned().collect();
        for pool in pools {
            self.serve_queue(now, &pool, out);
        }
    }

    /// Polls the VM list. Relays do so at each tick; other VMs until they can reach one, and every
    /// 30 s after that. Polls the head of the lists at the same times, and also while this VM is not ready
    /// or has changed verdicts to write.
    pub(crate) fn on_platform_poll_timer(&mut self, now: TimeMs, out: &mut Effects) {
        self.timers.set(now + self.settings.limits.platform_poll_ms, Timer::PlatformPoll);
        let is_alone = self.membership.reachable().next().is_none();
        let is_overdue = self.watch.vm_list_polled_at.is_none_or(|at| now.since(at) > SpanMs(30_000));
        if is_alone || is_overdue || self.membership.is_relay() {
            self.watch.vm_list_polled_at = Some(now);
            out.push(Effect::PollVmList { since: self.watch.vm_list_version });
            self.poll_head(out);
        } else if !self.is_ready() || self.verdict_row.needs_sync() {
            self.poll_head(out);
        }
    }

    /// Applies changes read from the VM list; a relay passes them on.
    pub(crate) fn on_vm_list(&mut self, now: TimeMs, reply: VmListReply, out: &mut Effects) {
        let VmListReply::Changes { version, entries } = reply else {
            return;
        };
        let is_first = self.watch.vm_list_version == 0;
        self.watch.vm_list_version = self.watch.vm_list_version.max(version);
        if entries.is_empty() {
            return;
        }
        self.apply_entries(now, &entries, out);
        self.query_verdicts_at_start(now, out);
        if !is_first && self.membership.is_relay() {
            for part in entries.chunks(ENTRIES_PER_MESSAGE) {
                self.broadcast(BroadcastSource::Local, &PeerMessage::VmEntries(part.to_vec()), out);
            }
        }
    }

    /// Applies changes of the VM list that a relay passes on.
    pub(crate) fn on_vm_entries(&mut self, now: TimeMs, entries: &[VmListEntry], out: &mut Effects) {
        self.apply_entries(now, entries, out);
    }

    fn apply_entries(&mut self, now: TimeMs, entries: &[VmListEntry], out: &mut Effects) {
        for entry in entries {
            let change = self.membership.apply_entry(now, entry);
            self.log_member_changes(change.into_iter().collect(), out);
            if let Some((idx, starts_leaving)) = self.endpoints.apply_entry(entry)
                && starts_leaving
            {
                let endpoint = self.endpoints.get(idx).id.clone();
                out.log(StateChange::EndpointLeaving { endpoint });
            }
        }
        self.watch.endpoint_count = self.endpoints.iter().count();
        self.check_commits(now, out);
    }
}

/// Attempts that an endpoint can run at once, reduced by its slowness; `None` if it is not usable.
fn endpoint_concurrency(
    endpoint: &Endpoint,
    now: TimeMs,
    home_region: &boragepass_types::Region,
    stale_after: SpanMs,
) -> Option<f32> {
    let is_usable = endpoint.region == *home_region
        && endpoint.is_open()
        && endpoint.is_fresh(now, stale_after)
        && !endpoint.health.is_ejected(now);
    is_usable.then(|| endpoint.limit.value().min(endpoint.load.slots.max(1) as f32) / endpoint.slowness.max(0.1))
}
