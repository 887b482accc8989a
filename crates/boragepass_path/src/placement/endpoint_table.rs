//! Endpoints as the store lists them, with what this VM knows of their load and health.
//!
//! An endpoint that leaves the list while the store answers is gone. Entries that lapse while the
//! store is away are kept until the store has been back for [`LAPSE_GRACE`], since living endpoints
//! write theirs again within that time.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use boragepass_core::{EjectionCause, Health, ejection_cap};
use boragepass_types::{EndpointId, FailureDomain, PoolId, SpanMs, TimeMs, VmId};

use super::engine_choice::PREFILL_TOKENS_PER_MS;
use super::prompt_cache::PromptCache;
use crate::event::{PromptPart, ReportedLoad};
use crate::message::EndpointLoad;

/// Time within which entries that lapsed come back, as the platform's pages state.
const LAPSE_GRACE: SpanMs = SpanMs(2_000);
/// Age at which a load report says nothing any more; reports lag by some 100 ms already.
const REPORT_AGE_MAX: SpanMs = SpanMs(1_000);
/// Age at which another VM's own figures are dropped.
const OTHERS_AGE_MAX: SpanMs = SpanMs(2_500);
/// Weight of a new sample in the usual service time.
const SERVICE_TIME_GAIN: f64 = 0.1;

/// Endpoint as it lists itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Its id, one for each start unless it starts again under the same one.
    pub id: EndpointId,
    /// Pool it serves.
    pub pool: PoolId,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it takes no new work.
    pub is_draining: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Unix time of its start in milliseconds.
    pub started_at_unix_ms: u64,
}

/// Change of the endpoint list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The whole list at a version, as the store holds it.
    Snapshot(Vec<Endpoint>, u64),
    /// The whole list at a version, as another VM knows it.
    PeerSnapshot(Vec<Endpoint>, u64),
    /// One entry is new or changed.
    Changed(Endpoint, u64),
    /// One entry was removed.
    Removed(EndpointId, u64),
}

impl EndpointUpdate {
    fn version(&self) -> u64 {
        match self {
            Self::Snapshot(_, version)
            | Self::PeerSnapshot(_, version)
            | Self::Changed(_, version)
            | Self::Removed(_, version) => *version,
        }
    }
}

/// Endpoint with what this VM knows of it.
#[derive(Debug, Clone)]
pub(crate) struct KnownEndpoint {
    pub(crate) endpoint: Endpoint,
    pub(crate) in_flight: u32,
    pub(crate) unread_tokens: u64,
    pub(crate) avoid_connection_reuse_until: TimeMs,
    health: Health,
    report: Option<(TimeMs, ReportedLoad)>,
    others: BTreeMap<VmId, (TimeMs, EndpointLoad)>,
    memory: PromptCache,
    is_lapsed: bool,
    full_until: TimeMs,
}

impl KnownEndpoint {
    fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            in_flight: 0,
            unread_tokens: 0,
            avoid_connection_reuse_until: TimeMs(0),
            health: Health::default(),
            report: None,
            others: BTreeMap::new(),
            memory: PromptCache::default(),
            is_lapsed: false,
            full_until: TimeMs(0),
        }
    }

    /// Requests in progress, by this VM's own count, the others' and the endpoint's report.
    pub(crate) fn active_requests(&self, now: TimeMs) -> u32 {
        let others: u32 = self.fresh_others(now).map(|(_, load)| u32::from(load.in_flight)).sum();
        let counted = self.in_flight + others;
        match self.report {
            Some((at, load)) if now.since(at) < REPORT_AGE_MAX => counted.max(load.running + load.waiting),
            Some(_) | None => counted,
        }
    }

    /// Prompt tokens that wait to be read; what another VM reported has been read since as fast as engines read.
    pub(crate) fn pending_prefill_tokens(&self, now: TimeMs) -> u64 {
        let left = |(at, load): (TimeMs, &EndpointLoad)| {
            u64::from(load.unread_tokens).saturating_sub((now.since(at).0 as f64 * PREFILL_TOKENS_PER_MS) as u64)
        };
        self.unread_tokens + self.fresh_others(now).map(left).sum::<u64>()
    }

    fn fresh_others(&self, now: TimeMs) -> impl Iterator<Item = (TimeMs, &EndpointLoad)> {
        let is_fresh = move |at: &TimeMs| now.since(*at) < OTHERS_AGE_MAX;
        self.others.values().filter(move |(at, _)| is_fresh(at)).map(|(at, load)| (*at, load))
    }

    pub(crate) fn known_tokens(&self, prompt: &[PromptPart]) -> u64 {
        self.memory.known_tokens(prompt)
    }

    pub(crate) fn is_ejected(&self, now: TimeMs) -> bool {
        self.health.is_ejected(now)
    }

    /// Whether it said a moment ago that it has no place.
    pub(crate) fn is_full(&self, now: TimeMs) -> bool {
        now < self.full_until
    }
}

/// All endpoints of the list.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    by_id: BTreeMap<EndpointId, KnownEndpoint>,
    pub(crate) version: u64,
    is_store_away: bool,
    returned_at: Option<TimeMs>,
    service_ms: HashMap<PoolId, f64>,
}

impl EndpointTable {
    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    pub(crate) fn get(&self, id: &EndpointId) -> Option<&KnownEndpoint> {
        self.by_id.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &EndpointId) -> Option<&mut KnownEndpoint> {
        self.by_id.get_mut(id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &KnownEndpoint> {
        self.by_id.values()
    }

    /// Endpoints of a pool that may get new work, whatever their health.
    pub(crate) fn serving<'a>(&'a self, pool: &'a PoolId) -> impl Iterator<Item = &'a KnownEndpoint> {
        self.by_id.values().filter(move |known| known.endpoint.pool == *pool && !known.endpoint.is_draining)
    }

    /// Whether the list counts as known for `now`: entries are kept while the store is away.
    fn keeps_lapsed(&self, now: TimeMs) -> bool {
        self.is_store_away || self.returned_at.is_some_and(|at| now.since(at) < LAPSE_GRACE)
    }

    /// Notes whether the store answers.
    pub(crate) fn on_store_reachability(&mut self, now: TimeMs, is_reachable: bool) {
        if is_reachable && self.is_store_away {
            self.returned_at = Some(now);
        }
        self.is_store_away = !is_reachable;
    }

    /// Takes a change; one that is older than what is known changes nothing.
    pub(crate) fn update(&mut self, now: TimeMs, update: EndpointUpdate) {
        let version = update.version();
        if version < self.version {
            return;
        }
        self.version = version;
        match update {
            EndpointUpdate::Snapshot(endpoints, _) => {
                for id in self.missing_from(&endpoints) {
                    self.remove(now, &id);
                }
                endpoints.into_iter().for_each(|endpoint| self.put(endpoint));
            }
            // The other VM has waited for entries that lapsed; one that it left out is gone, also for a VM that the
            // store turns away. If that VM kept it, it would pass it on as part of this version.
            EndpointUpdate::PeerSnapshot(endpoints, _) => {
                for id in self.missing_from(&endpoints) {
                    self.by_id.remove(&id);
                }
                endpoints.into_iter().for_each(|endpoint| self.put(endpoint));
            }
            EndpointUpdate::Changed(endpoint, _) => self.put(endpoint),
            EndpointUpdate::Removed(id, _) => self.remove(now, &id),
        }
    }

    fn missing_from(&self, endpoints: &[Endpoint]) -> Vec<EndpointId> {
        let listed: BTreeSet<_> = endpoints.iter().map(|endpoint| &endpoint.id).collect();
        self.by_id.keys().filter(|id| !listed.contains(id)).cloned().collect()
    }

    fn put(&mut self, endpoint: Endpoint) {
        match self.by_id.get_mut(&endpoint.id) {
            Some(known) if known.endpoint.started_at_unix_ms == endpoint.started_at_unix_ms => {
                known.endpoint = endpoint;
                known.is_lapsed = false;
            }
            Some(_) | None => {
                self.by_id.insert(endpoint.id.clone(), KnownEndpoint::new(endpoint));
            }
        }
    }

    fn remove(&mut self, now: TimeMs, id: &EndpointId) {
        if self.keeps_lapsed(now) {
            if let Some(known) = self.by_id.get_mut(id) {
                known.is_lapsed = true;
            }
        } else {
            self.by_id.remove(id);
        }
    }

    /// Forgets entries that did not come back after the store did; whether there were any.
    pub(crate) fn sweep(&mut self, now: TimeMs) -> bool {
        if self.keeps_lapsed(now) {
            return false;
        }
        let before = self.by_id.len();
        self.by_id.retain(|_, known| !known.is_lapsed);
        self.returned_at = None;
        self.by_id.len() < before
    }

    /// Forgets an endpoint whose address answers for another one.
    pub(crate) fn remove_replaced(&mut self, id: &EndpointId) {
        self.by_id.remove(id);
    }

    /// Notes a load that an endpoint states.
    pub(crate) fn on_report(&mut self, now: TimeMs, id: &EndpointId, load: ReportedLoad) {
        if let Some(known) = self.by_id.get_mut(id) {
            known.report = Some((now, load));
        }
    }

    /// Takes over another VM's own figures.
    pub(crate) fn on_peer_loads(&mut self, now: TimeMs, vm: &VmId, loads: Vec<EndpointLoad>) {
        for known in self.by_id.values_mut() {
            known.others.remove(vm);
        }
        for load in loads {
            if let Some(known) = self.by_id.get_mut(&load.endpoint) {
                known.others.insert(vm.clone(), (now, load));
            }
        }
    }

    /// Notes that a request with this prompt was sent to an endpoint.
    pub(crate) fn record_prompt(&mut self, now: TimeMs, id: &EndpointId, prompt: &[PromptPart], kv_cache_tokens: u64) {
        if let Some(known) = self.by_id.get_mut(id) {
            known.memory.note(now, prompt, kv_cache_tokens);
        }
    }

    /// Usual time of a request at an endpoint of a pool.
    pub(crate) fn service_ms(&self, pool: &PoolId) -> Option<f64> {
        self.service_ms.get(pool).copied()
    }

    /// Notes a success that took `took`.
    pub(crate) fn on_success(&mut self, now: TimeMs, id: &EndpointId, took: SpanMs) -> Option<SpanMs> {
        let pool = self.by_id.get(id)?.endpoint.pool.clone();
        let took_ms = took.0 as f64;
        let usual = self.service_ms.entry(pool.clone()).or_insert(took_ms.max(1.0));
        let slowness = took_ms / usual.max(1.0);
        *usual += SERVICE_TIME_GAIN * (took_ms - *usual);
        let cause = self.by_id.get_mut(id)?.health.on_slowness_sample(slowness as f32)?;
        self.eject(now, id, &pool, cause)
    }

    /// Notes a failure and ejects the endpoint if it fails repeatedly; how long, if so.
    pub(crate) fn on_failure(&mut self, now: TimeMs, id: &EndpointId, is_refused: bool) -> Option<SpanMs> {
        let known = self.by_id.get_mut(id)?;
        let pool = known.endpoint.pool.clone();
        if known.is_ejected(now) {
            return None;
        }
        let cause = known.health.on_failure(is_refused)?;
        if is_refused {
            known.memory.clear();
        }
        self.eject(now, id, &pool, cause)
    }

    fn eject(&mut self, now: TimeMs, id: &EndpointId, pool: &PoolId, cause: EjectionCause) -> Option<SpanMs> {
        let serving = self.serving(pool).count();
        let ejected = self.serving(pool).filter(|known| known.is_ejected(now)).count();
        // An endpoint that refuses connections cannot serve, so no cap spares it.
        if ejected >= ejection_cap(serving) && cause != EjectionCause::Unreachable {
            return None;
        }
        self.by_id.get_mut(id).map(|known| known.health.eject(now))
    }

    /// Notes that an endpoint has no place for some time.
    pub(crate) fn mark_full(&mut self, id: &EndpointId, until: TimeMs) {
        if let Some(known) = self.by_id.get_mut(id) {
            known.full_until = until;
        }
    }

    /// This VM's own work at endpoints, for the others.
    pub(crate) fn own_loads(&self) -> Vec<EndpointLoad> {
        let has_work = |known: &&KnownEndpoint| known.in_flight > 0;
        let load = |known: &KnownEndpoint| EndpointLoad {
            endpoint: known.endpoint.id.clone(),
            in_flight: known.in_flight.min(u32::from(u16::MAX)) as u16,
            unread_tokens: known.unread_tokens.min(u64::from(u32::MAX)) as u32,
        };
        self.by_id.values().filter(has_work).map(load).collect()
    }
}
