//! What this VM learns about endpoints.
//!
//! Two VMs of a region, chosen by rendezvous hash, watch each endpoint: they poll its load report
//! and its leaving mark and pass them on in the region. What nobody has reported for a while is
//! asked before it gets work, so that a VM whose view is old acts on the safe side.

use boragepass_types::{EndpointId, PoolId, SpanMs, TimeMs, VmId, rendezvous_weight};

use crate::counter::Counter;
use crate::effect::{Effect, Effects};
use crate::ejection::{EjectionCause, ejection_cap};
use crate::endpoints::{Endpoint, EndpointIdx, ReportedLoad, short_hash};
use crate::map::Map;
use crate::member_flow::SpreadFrom;
use crate::membership::MemberRecord;
use crate::message::{Holdings, PeerMessage, SharedLoad};
use crate::node::Node;
use crate::platform::{LoadReport, VmEntry, VmListReply, VmState};
use crate::state_change::StateChange;
use crate::timers::Timer;

/// Interval at which old state is dropped.
pub(crate) const SWEEP_INTERVAL: SpanMs = SpanMs(500);
const POLLS_PER_SHARE: u64 = 2;
const WATCHERS: usize = 2;
const HOLDINGS_REPEAT: SpanMs = SpanMs(10_000);
const POLL_PAUSE: SpanMs = SpanMs(100);
const ENTRIES_PER_MESSAGE: usize = 64;

/// State of the watch.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    polls: u64,
    list_version: u64,
    list_polled_at: Option<TimeMs>,
    polled_at: Map<EndpointIdx, TimeMs>,
    holdings_told_at: Map<EndpointIdx, TimeMs>,
    watched: Vec<(EndpointIdx, bool)>,
    watched_view: Option<(u64, usize)>,
    endpoint_count: usize,
    reports: Map<EndpointIdx, (TimeMs, SharedLoad)>,
    told: Map<EndpointIdx, SharedLoad>,
}

impl Watch {
    /// Whether the VM list has been read since the start.
    pub(crate) fn knows_vm_list(&self) -> bool {
        self.list_version > 0
    }
}

impl Node {
    /// Polls the endpoints that this VM watches and passes their loads on.
    pub(crate) fn on_load_poll_timer(&mut self, now: TimeMs, out: &mut Effects) {
        self.timers.set(now + self.settings.limits.load_poll_ms, Timer::LoadPoll);
        self.choose_watched();
        for (idx, _) in self.watch.watched.clone() {
            if self.endpoints.get(idx).state != VmState::Gone {
                self.poll_endpoint(now, idx, out);
            }
        }
        self.watch.polls += 1;
        if self.watch.polls.is_multiple_of(POLLS_PER_SHARE) {
            self.share_loads(now, out);
        }
    }

    /// Asks an endpoint for its report, unless it was asked a moment ago.
    pub(crate) fn poll_endpoint(&mut self, now: TimeMs, idx: EndpointIdx, out: &mut Effects) {
        let is_recent = self.watch.polled_at.get(&idx).is_some_and(|at| now.since(*at) < POLL_PAUSE);
        if is_recent {
            return;
        }
        self.watch.polled_at.insert(idx, now);
        let endpoint = self.endpoints.get(idx);
        let (id, address) = (endpoint.id.clone(), endpoint.address);
        out.push(Effect::PollLoad { endpoint: id, address, asked_at: now });
    }

    /// Works out which endpoints this VM watches, and for which it is the first watcher.
    fn choose_watched(&mut self) {
        let view = (self.membership.view, self.watch.endpoint_count);
        if self.watch.watched_view == Some(view) {
            return;
        }
        self.watch.watched_view = Some(view);
        let region = &self.settings.region;
        let vms: Vec<_> =
            self.membership.serving().filter(|record| record.region == *region).map(|record| &record.vm).collect();
        let mut watched = Vec::new();
        for (idx, endpoint) in self.endpoints.iter().filter(|(_, endpoint)| endpoint.region == *region) {
            let weight = |vm: &VmId| rendezvous_weight(endpoint.id.as_str(), vm.as_str());
            let mine = weight(&self.settings.vm);
            let ahead = vms.iter().filter(|vm| ***vm != self.settings.vm && weight(vm) > mine).count();
            if ahead < WATCHERS {
                watched.push((idx, ahead == 0));
            }
        }
        self.watch.watched = watched;
    }

    /// Passes on, in the region, what changed at the endpoints for which this VM watches first, and
    /// leaving marks in any case.
    fn share_loads(&mut self, now: TimeMs, out: &mut Effects) {
        let mut loads = Vec::new();
        for (idx, is_first) in self.watch.watched.clone() {
            let Some((at, report)) = self.watch.reports.get(&idx).cloned() else {
                continue;
            };
            if !is_first && !report.leaving {
                continue;
            }
            let age = SpanMs(report.age_ms.0 + now.since(at).0);
            if age > self.settings.limits.load_stale_ms {
                continue;
            }
            let told_at = self.watch.holdings_told_at.get(&idx).copied();
            let told = self.watch.told.get(&idx);
            let is_holdings_due = told_at.is_none_or(|at| now.since(at) > HOLDINGS_REPEAT)
                || told.is_none_or(|told| told.holdings != report.holdings);
            if is_holdings_due {
                self.watch.holdings_told_at.insert(idx, now);
            }
            self.watch.told.insert(idx, report.clone());
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

    /// Takes over a report that this VM asked for.
    pub(crate) fn on_load(
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
            self.watch.reports.remove(&idx);
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
            leaving: report.leaving,
            holdings: Some(Holdings { models: report.models.clone(), adapters: report.adapters.clone() }),
        };
        self.watch.reports.insert(idx, (now, shared));
        let is_news = report.leaving && self.endpoints.get(idx).is_open();
        let holdings = Holdings { models: report.models, adapters: report.adapters };
        self.note_report(now, Some(asked_at), idx, load, report.leaving, Some(holdings), out);
        if is_news {
            self.share_loads(now, out);
        }
    }

    /// Takes over loads that another VM passes on.
    pub(crate) fn on_loads(&mut self, now: TimeMs, loads: &[SharedLoad], out: &mut Effects) {
        for load in loads {
            let Some(idx) = self.endpoints.find_by_hash(load.endpoint) else {
                continue;
            };
            let known = ReportedLoad {
                running: load.running,
                queued: load.queued,
                slots: load.slots.max(1),
                measured_at: TimeMs(now.0.saturating_sub(load.age_ms.0)),
            };
            let heard_at = if self.is_distrustful(now) { None } else { Some(known.measured_at.min(now)) };
            self.note_report(now, heard_at, idx, known, load.leaving, load.holdings.clone(), out);
        }
    }

    fn note_report(
        &mut self,
        now: TimeMs,
        heard_at: Option<TimeMs>,
        idx: EndpointIdx,
        load: ReportedLoad,
        leaving: bool,
        holdings: Option<Holdings>,
        out: &mut Effects,
    ) {
        let endpoint = self.endpoints.get_mut(idx);
        let is_overtaken = heard_at < endpoint.reported_at;
        if is_overtaken && !leaving {
            return;
        }
        let was_open = endpoint.is_open();
        if let Some(holdings) = holdings {
            endpoint.models = holdings.models;
            endpoint.adapters = holdings.adapters;
        }
        endpoint.record_load(heard_at, load, leaving);
        if was_open && leaving {
            out.log(StateChange::EndpointLeaving { endpoint: endpoint.id.clone() });
        }
        let pool = endpoint.pool.clone();
        self.serve_queue(now, &pool, out);
    }

    /// Ejects an endpoint unless too much of its pool is ejected already.
    pub(crate) fn eject(&mut self, now: TimeMs, idx: EndpointIdx, cause: EjectionCause, out: &mut Effects) {
        let endpoint = self.endpoints.get(idx);
        if endpoint.health.is_ejected(now) {
            return;
        }
        let pool = self.endpoints.in_pool(&endpoint.pool, &endpoint.region);
        let ejected = pool.iter().filter(|other| self.endpoints.get(**other).health.is_ejected(now)).count();
        if ejected >= ejection_cap(pool.len()) || pool.len() == 1 {
            out.count(Counter::EjectionCapped);
            return;
        }
        let endpoint = self.endpoints.get_mut(idx);
        let for_ms = endpoint.health.eject(now);
        out.count(Counter::Ejected);
        out.log(StateChange::Ejected { endpoint: endpoint.id.clone(), for_ms, cause });
    }

    /// Returns endpoints whose ejection is over, and works out what pools can take.
    pub(crate) fn sweep_endpoints(&mut self, now: TimeMs, out: &mut Effects) {
        let mut capacity: Map<PoolId, f32> = Map::default();
        let indices: Vec<_> = self.endpoints.iter().map(|(idx, _)| idx).collect();
        for idx in indices {
            let endpoint = self.endpoints.get_mut(idx);
            if endpoint.health.clear_expired_ejection(now) {
                endpoint.limit.restart();
                endpoint.slowness = endpoint.slowness.min(1.5);
                out.log(StateChange::Returned { endpoint: endpoint.id.clone() });
            }
            if let Some(room) = room_of(endpoint, now, &self.settings.region, self.settings.limits.load_stale_ms) {
                *capacity.entry(endpoint.pool.clone()).or_default() += room;
            }
        }
        self.pool_capacity = capacity;
        self.pool_pace.values_mut().for_each(|pace| pace.roll(SWEEP_INTERVAL));
        let pools: Vec<_> = self.queues.keys().cloned().collect();
        for pool in pools {
            self.serve_queue(now, &pool, out);
        }
    }

    /// Relays poll the VM list; others do so until they know one VM, and now and then after that.
    pub(crate) fn on_platform_poll_timer(&mut self, now: TimeMs, out: &mut Effects) {
        self.timers.set(now + self.settings.limits.platform_poll_ms, Timer::PlatformPoll);
        let is_alone = self.membership.reachable().next().is_none();
        let is_overdue = self.watch.list_polled_at.is_none_or(|at| now.since(at) > SpanMs(30_000));
        if is_alone || is_overdue || self.membership.am_relay() {
            self.watch.list_polled_at = Some(now);
            out.push(Effect::PollVmList { since: self.watch.list_version });
            self.poll_head(out);
        } else if !self.is_ready() || self.verdict_row.is_due() {
            self.poll_head(out);
        }
    }

    /// Takes over changes of the VM list.
    pub(crate) fn on_vm_list(&mut self, now: TimeMs, reply: VmListReply, out: &mut Effects) {
        let VmListReply::Changes { version, entries } = reply else {
            return;
        };
        let is_first = self.watch.list_version == 0;
        self.watch.list_version = self.watch.list_version.max(version);
        if entries.is_empty() {
            return;
        }
        self.apply_entries(now, &entries, out);
        self.ask_for_verdicts_at_start(now, out);
        if !is_first && self.membership.am_relay() {
            for part in entries.chunks(ENTRIES_PER_MESSAGE) {
                self.spread(SpreadFrom::Here, &PeerMessage::VmEntries(part.to_vec()), out);
            }
        }
    }

    /// Takes over changes of the VM list that a relay passes on.
    pub(crate) fn on_entries(&mut self, now: TimeMs, entries: &[VmEntry], out: &mut Effects) {
        self.apply_entries(now, entries, out);
    }

    fn apply_entries(&mut self, now: TimeMs, entries: &[VmEntry], out: &mut Effects) {
        for entry in entries {
            let change = self.membership.apply_entry(now, entry);
            self.note_member_changes(change.into_iter().collect(), out);
            if let Some((idx, began_to_leave)) = self.endpoints.apply_entry(entry)
                && began_to_leave
            {
                let endpoint = self.endpoints.get(idx).id.clone();
                out.log(StateChange::EndpointLeaving { endpoint });
            }
        }
        self.watch.endpoint_count = self.endpoints.iter().count();
        self.check_commits(now, out);
    }
}

/// Work that an endpoint can take at once, if it can be used.
fn room_of(endpoint: &Endpoint, now: TimeMs, home: &boragepass_types::Region, stale: SpanMs) -> Option<f32> {
    let is_usable = endpoint.region == *home
        && endpoint.is_open()
        && endpoint.is_fresh(now, stale)
        && !endpoint.health.is_ejected(now);
    is_usable.then(|| endpoint.limit.value().min(endpoint.load.slots.max(1) as f32) / endpoint.slowness.max(0.1))
}
