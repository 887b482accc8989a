//! Endpoints as the store lists them, with what this VM knows of their load and health.
//!
//! An endpoint whose entry is removed while the store is reachable is gone. Entries that expire while
//! the store is unreachable are kept until it has been back for [`EXPIRY_GRACE`], since live endpoints
//! renew theirs within that time.
//!
//! What this VM knows of an endpoint outlives its entry for [`DEPARTED_RETENTION`]: an endpoint whose entry is removed
//! may serve on, and its entry may return.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use boragepass_core::{EjectionCause, Health, ejection_cap};
use boragepass_types::{EndpointId, FailureDomain, PoolId, SoftwareVersion, SpanMs, StoreEra, TimeMs, VmId};

use super::endpoint_life::{EndpointLife, RESTART_ENTRY_TIME};
use super::endpoint_speed::{EndpointSpeed, PREFILL_TOKENS_PER_MS, PoolSpeed, Speed, SpeedProbe};
use super::prompt_cache::PromptCache;
use super::shared_statement::Statement;
use super::statements::EndpointStatements;
use super::{AllowedPlaces, KnownEvacuations};
use crate::event::{PromptPart, ReportedLoad};
use crate::message::{ColdReport, DownReport, EndpointLimitReport, EndpointLoad};
use crate::request::{BeginningVersion, StreamVersion};

/// Time in which live endpoints renew expired entries after the store is back, as the platform documents.
const EXPIRY_GRACE: SpanMs = SpanMs(2_000);
/// Time for which what is known of a departed endpoint is kept, longer than an endpoint that is leaving serves on.
const DEPARTED_RETENTION: SpanMs = SpanMs(120_000);
/// Time for which a restored store may list a departed endpoint: longer than its copies are old, with the time until
/// entries expire there.
const RESTORED_ENTRY_AGE_MAX: SpanMs = SpanMs(30_000);
/// Age at which an endpoint's load report is ignored; a new one lags by some 100 ms already.
const REPORT_AGE_MAX: SpanMs = SpanMs(1_000);
/// Pending prefill at an endpoint up to which a request counts as one that meets no queue: some 5 ms of work.
const PROBE_PENDING_TOKENS_MAX: u64 = 500;
/// Age at which the load that another VM reported is ignored.
const PEER_LOAD_AGE_MAX: SpanMs = SpanMs(2_500);
/// Cold endpoints that a heartbeat names: 250 bytes, and VMs learn of most of them from their entries.
const COLD_REPORTS_MAX: usize = 8;
/// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_EMA_WEIGHT: f64 = 0.1;

/// An endpoint's entry in the store, written by the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Id, usually new for each start of its process.
    pub id: EndpointId,
    /// Pool that it belongs to.
    pub pool: PoolId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// Whether it accepts no new work.
    pub is_draining: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Start of its process; tells two starts under one id apart.
    pub started_at_unix_ms: u64,
    /// Version of its software; `None` if its entry states none.
    pub software_version: Option<SoftwareVersion>,
    /// Time for which it stays cold, counted from when it wrote its entry.
    pub cold_left_ms: SpanMs,
}

/// Version of the store's content. A store that was restored from a copy gives versions out again, in a later era.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
#[display("{number} of era {era}")]
pub struct StoreVersion {
    /// Era of the store.
    pub era: StoreEra,
    /// The store's version within the era.
    pub number: u64,
}

/// Endpoint of a list that a VM shares with others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedEndpoint {
    /// Endpoint.
    pub endpoint: Endpoint,
    /// Whether the store no longer lists it, and the VM keeps it only for the grace period.
    pub is_expired: bool,
}

/// Change of the endpoint list, with the list's version after it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The whole list, from the store.
    Snapshot(Vec<Endpoint>, StoreVersion),
    /// The whole list, from another VM.
    PeerSnapshot(Vec<SharedEndpoint>, StoreVersion),
    /// One entry was added or changed.
    Changed(Endpoint, StoreVersion),
    /// One entry was removed.
    Removed(EndpointId, StoreVersion),
}

impl EndpointUpdate {
    /// Where the change comes from, for a log line.
    pub(crate) fn source(&self) -> &'static str {
        match self {
            Self::Snapshot(..) => "store, whole list",
            Self::PeerSnapshot(..) => "other VM",
            Self::Changed(..) | Self::Removed(..) => "store",
        }
    }

    /// Entries in it as the store lists them; those from another VM do not state whether an endpoint is cold.
    fn store_entries(&self) -> Vec<(EndpointId, u64, SpanMs)> {
        let entry = |endpoint: &Endpoint| (endpoint.id.clone(), endpoint.started_at_unix_ms, endpoint.cold_left_ms);
        match self {
            Self::Snapshot(endpoints, _) => endpoints.iter().map(entry).collect(),
            Self::Changed(endpoint, _) => vec![entry(endpoint)],
            Self::PeerSnapshot(..) | Self::Removed(..) => Vec::new(),
        }
    }

    fn version(&self) -> StoreVersion {
        match self {
            Self::Snapshot(_, version)
            | Self::PeerSnapshot(_, version)
            | Self::Changed(_, version)
            | Self::Removed(_, version) => *version,
        }
    }
}

/// Endpoint that was removed from the list.
#[derive(Debug, Clone)]
struct Departure {
    known: KnownEndpoint,
    departed_at: TimeMs,
    /// Era of the list that it was removed from.
    era: StoreEra,
}

/// Endpoint with what this VM knows of it.
#[derive(Debug, Clone)]
pub(crate) struct KnownEndpoint {
    pub(crate) endpoint: Endpoint,
    /// Requests of this VM in progress there.
    pub(crate) in_flight: u32,
    /// Prompt tokens of those requests that wait for prefill.
    pub(crate) own_pending_prefill_tokens: u64,
    /// Until when requests go there over new connections, after an unusable reply.
    pub(crate) avoid_connection_reuse_until: TimeMs,
    health: Health,
    /// Last load report of the endpoint, and when it arrived.
    report: Option<(TimeMs, ReportedLoad)>,
    peer_loads: BTreeMap<VmId, (TimeMs, EndpointLoad)>,
    prompt_cache: PromptCache,
    /// Whether the store lost its entry and it is kept only for the grace period.
    is_expired: bool,
    /// Until when it is kept at least, as another VM does.
    kept_until: TimeMs,
    full_until: TimeMs,
    pub(crate) life: EndpointLife,
    /// When this VM last found it down.
    own_found_down_at: Option<TimeMs>,
    pub(crate) statements: EndpointStatements,
    speed: EndpointSpeed,
}

impl KnownEndpoint {
    fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            in_flight: 0,
            own_pending_prefill_tokens: 0,
            avoid_connection_reuse_until: TimeMs(0),
            health: Health::default(),
            report: None,
            peer_loads: BTreeMap::new(),
            prompt_cache: PromptCache::default(),
            is_expired: false,
            kept_until: TimeMs(0),
            full_until: TimeMs(0),
            life: EndpointLife::default(),
            own_found_down_at: None,
            statements: EndpointStatements::default(),
            speed: EndpointSpeed::default(),
        }
    }

    /// Requests in progress: the sum of all VMs' counts, or the endpoint's own report if that is higher.
    pub(crate) fn active_requests(&self, now: TimeMs) -> u32 {
        let peer_loads: u32 = self.fresh_peer_loads(now).map(|(_, load)| u32::from(load.in_flight)).sum();
        let counted = self.in_flight + peer_loads;
        match self.report {
            Some((at, load)) if now.since(at) < REPORT_AGE_MAX => {
                counted.max(load.running.saturating_add(load.waiting))
            }
            Some(_) | None => counted,
        }
    }

    /// Prompt tokens that wait for prefill. Counts of other VMs are reduced by what an engine has prefilled since.
    pub(crate) fn pending_prefill_tokens(&self, now: TimeMs, tokens_per_ms: f64) -> u64 {
        let remaining = |(at, load): (TimeMs, &EndpointLoad)| {
            u64::from(load.unread_tokens).saturating_sub((now.since(at).0 as f64 * tokens_per_ms) as u64)
        };
        self.own_pending_prefill_tokens + self.fresh_peer_loads(now).map(remaining).sum::<u64>()
    }

    /// What is known of a send now, if its time will show the endpoint's speed: there is no queue, and nothing unusual.
    pub(crate) fn speed_probe(&self, now: TimeMs, uncached_tokens: u64, round_trip_ms: f64) -> Option<SpeedProbe> {
        let has_waiting = self.report.is_some_and(|(at, load)| now.since(at) < REPORT_AGE_MAX && load.waiting > 0);
        let has_queue = has_waiting
            || self.active_requests(now) >= self.endpoint.slots.max(1)
            || self.pending_prefill_tokens(now, PREFILL_TOKENS_PER_MS) > PROBE_PENDING_TOKENS_MAX;
        let prefill_ms = uncached_tokens as f64 / PREFILL_TOKENS_PER_MS;
        (!has_queue && !self.speed.is_unusual(now)).then_some(SpeedProbe { prefill_ms, round_trip_ms })
    }

    fn fresh_peer_loads(&self, now: TimeMs) -> impl Iterator<Item = (TimeMs, &EndpointLoad)> {
        let is_fresh = move |at: &TimeMs| now.since(*at) < PEER_LOAD_AGE_MAX;
        self.peer_loads.values().filter(move |(at, _)| is_fresh(at)).map(|(at, load)| (*at, load))
    }

    pub(crate) fn cached_prefix_tokens(&self, prompt: &[PromptPart]) -> u64 {
        self.prompt_cache.cached_prefix_tokens(prompt)
    }

    fn takes_new_work(&self) -> bool {
        !self.endpoint.is_draining && !self.statements.is_leaving()
    }

    /// Whether it is cold after its start.
    pub(crate) fn is_cold(&self, now: TimeMs) -> bool {
        self.statements.cold_limiter.is_cold(now)
    }

    /// Time until its rate limit, the pause that it asked for and its cold start allow a request of this VM; `None` if that
    /// is not known.
    pub(crate) fn accepts_in(&self, now: TimeMs) -> Option<SpanMs> {
        let rate_allows_in = self.statements.rate_limiter.allows_in(now)?;
        let slots_allow_in = self.statements.rejection_limiter.allows_in(now, self.in_flight)?;
        let cold_allows_in = self.statements.cold_limiter.allows_in(now);
        Some(rate_allows_in.max(slots_allow_in).max(cold_allows_in).max(self.statements.paused_until().since(now)))
    }

    /// Whether it asked this VM for a pause that is not over.
    pub(crate) fn is_paused(&self, now: TimeMs) -> bool {
        now < self.statements.paused_until()
    }

    /// Whether its rate limit, the pause that it asked for and its cold start allow a request of this VM.
    pub(crate) fn accepts(&self, now: TimeMs) -> bool {
        !self.is_paused(now)
            && self.statements.rate_limiter.allows(now)
            && self.statements.cold_limiter.allows(now)
            && self.statements.rejection_limiter.free_slots(now, self.in_flight) != Some(0)
    }

    /// Whether it states that it falls over when it rejects too many requests.
    pub(crate) fn is_brittle(&self) -> bool {
        self.statements.rejection_limiter.statement.value().is_some()
    }

    /// Whether it states a rate limit, asked for a pause or is cold.
    pub(crate) fn limits_requests(&self, now: TimeMs) -> bool {
        self.is_paused(now) || self.statements.rate_limiter.limit().is_some() || self.is_cold(now)
    }

    pub(crate) fn is_ejected(&self, now: TimeMs) -> bool {
        self.health.is_ejected(now)
    }

    /// Whether it is ejected and this VM found it down within `span`.
    pub(crate) fn was_found_down(&self, now: TimeMs, span: SpanMs) -> bool {
        self.is_ejected(now) && self.own_found_down_at.is_some_and(|at| now.since(at) < span)
    }

    /// Software version that its entry states; no value if it may have restarted since with another one.
    pub(crate) fn software_version(&self) -> Option<&BeginningVersion> {
        (!self.life.is_in_doubt()).then_some(&self.endpoint.software_version)
    }

    /// Whether it rejected a request a moment ago because it is full.
    pub(crate) fn is_full(&self, now: TimeMs) -> bool {
        now < self.full_until
    }
}

/// All endpoints on the list, and the average service time of each pool.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    by_id: BTreeMap<EndpointId, KnownEndpoint>,
    pub(crate) version: StoreVersion,
    is_store_unreachable: bool,
    store_returned_at: Option<TimeMs>,
    /// Endpoints that were removed a while ago. They are chosen for nothing.
    departed: BTreeMap<EndpointId, Departure>,
    average_service_ms: HashMap<PoolId, f64>,
    pub(crate) evacuations: KnownEvacuations,
    pool_speeds: HashMap<PoolId, PoolSpeed>,
}

impl EndpointTable {
    pub(crate) fn new() -> Self {
        Self {
            by_id: BTreeMap::new(),
            version: StoreVersion::default(),
            is_store_unreachable: false,
            store_returned_at: None,
            departed: BTreeMap::new(),
            average_service_ms: HashMap::new(),
            evacuations: KnownEvacuations::default(),
            pool_speeds: HashMap::new(),
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    pub(crate) fn get(&self, id: &EndpointId) -> Option<&KnownEndpoint> {
        self.by_id.get(id)
    }

    /// What is known of an endpoint that is listed, or was until a while ago.
    pub(crate) fn get_mut(&mut self, id: &EndpointId) -> Option<&mut KnownEndpoint> {
        let departed = self.departed.get_mut(id).map(|departure| &mut departure.known);
        self.by_id.get_mut(id).or(departed)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &KnownEndpoint> {
        self.by_id.values()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut KnownEndpoint> {
        self.by_id.values_mut()
    }

    /// Endpoints as this VM shares them with others.
    pub(crate) fn shared(&self) -> impl Iterator<Item = SharedEndpoint> {
        let shared =
            |known: &KnownEndpoint| SharedEndpoint { endpoint: known.endpoint.clone(), is_expired: known.is_expired };
        self.by_id.values().map(shared)
    }

    /// Endpoints of a pool that are neither draining nor in an evacuated failure domain, whatever their health.
    pub(crate) fn serving<'a>(&'a self, pool: &'a PoolId) -> impl Iterator<Item = &'a KnownEndpoint> {
        let is_serving = |known: &KnownEndpoint| {
            known.takes_new_work() && !self.evacuations.is_evacuated(&known.endpoint.failure_domain)
        };
        self.by_id.values().filter(move |known| known.endpoint.pool == *pool && is_serving(known))
    }

    /// Whether a pool has endpoints that would take new work, but all of them are in evacuated failure domains.
    pub(crate) fn is_evacuated(&self, pool: &PoolId) -> bool {
        self.serving(pool).next().is_none()
            && self.by_id.values().any(|known| known.endpoint.pool == *pool && known.takes_new_work())
    }

    /// Endpoints outside of evacuated failure domains; all if there are none.
    pub(crate) fn not_evacuated(&self) -> Vec<&KnownEndpoint> {
        let is_evacuated = |known: &&KnownEndpoint| self.evacuations.is_evacuated(&known.endpoint.failure_domain);
        let outside: Vec<_> = self.iter().filter(|known| !is_evacuated(known)).collect();
        if outside.is_empty() { self.iter().collect() } else { outside }
    }

    /// Whether expired entries are kept: while the store is unreachable and for a grace period after.
    pub(crate) fn keeps_expired(&self, now: TimeMs) -> bool {
        self.is_store_unreachable || self.store_returned_at.is_some_and(|at| now.since(at) < EXPIRY_GRACE)
    }

    /// Records whether the store is reachable.
    pub(crate) fn on_store_reachability(&mut self, now: TimeMs, is_reachable: bool) {
        if is_reachable && self.is_store_unreachable {
            self.store_returned_at = Some(now);
            self.by_id.values_mut().for_each(|known| known.life.on_store_returned(now));
        }
        self.is_store_unreachable = !is_reachable;
    }

    /// Applies a change unless its version is older than the list. Returns whether it shows that the store was
    /// restored from a copy.
    pub(crate) fn update(&mut self, now: TimeMs, update: EndpointUpdate) -> bool {
        let version = update.version();
        if version < self.version {
            return false;
        }
        let is_restored = self.version != StoreVersion::default() && version.era > self.version.era;
        if is_restored {
            // Endpoints that registered after the copy from which the store was restored register again.
            self.store_returned_at = Some(now);
        }
        self.version = version;
        let store_entries = update.store_entries();
        match update {
            EndpointUpdate::Snapshot(endpoints, _) => {
                for id in self.missing_from(endpoints.iter()) {
                    self.remove(now, &id);
                }
                self.insert_listed(now, endpoints);
            }
            // The sender has waited out the grace period, so an endpoint missing here is gone even if the store
            // rejects this VM. A VM that kept it would pass it on as part of this version.
            EndpointUpdate::PeerSnapshot(shared, _) => {
                let (expired, listed): (Vec<_>, Vec<_>) = shared.into_iter().partition(|shared| shared.is_expired);
                let expired: Vec<_> = expired.into_iter().map(|shared| shared.endpoint).collect();
                let listed: Vec<_> = listed.into_iter().map(|shared| shared.endpoint).collect();
                for id in self.missing_from(listed.iter().chain(&expired)) {
                    self.drop_departed(now, &id);
                }
                self.insert_listed(now, listed);
                self.keep_expired(now, expired);
            }
            EndpointUpdate::Changed(endpoint, _) => self.insert_or_update(endpoint),
            EndpointUpdate::Removed(id, _) => self.remove(now, &id),
        }
        for (id, started_at_unix_ms, cold_left) in store_entries {
            if let Some(known) = self.by_id.get_mut(&id) {
                known.statements.cold_limiter.on_entry(now, (started_at_unix_ms, cold_left));
            }
        }
        is_restored
    }

    /// Listed endpoints that announced their leaving in a reply.
    pub(crate) fn announced_leaving(&self) -> impl Iterator<Item = &EndpointId> {
        self.by_id.iter().filter(|(_, known)| known.statements.is_leaving()).map(|(id, _)| id)
    }

    /// Listed endpoints that accept a request and have to be asked whether they are still leaving. The query takes a slot,
    /// so those in evacuated failure domains are asked once they are taken back.
    pub(crate) fn leaving_to_be_asked(&mut self, now: TimeMs) -> impl Iterator<Item = &mut KnownEndpoint> {
        let evacuations = &self.evacuations;
        let is_evacuated = |known: &KnownEndpoint| evacuations.is_evacuated(&known.endpoint.failure_domain);
        self.by_id.values_mut().filter(move |known| {
            known.statements.is_leaving_to_be_asked() && known.accepts(now) && !is_evacuated(known)
        })
    }

    fn missing_from<'a>(&self, endpoints: impl Iterator<Item = &'a Endpoint>) -> Vec<EndpointId> {
        let listed: BTreeSet<_> = endpoints.map(|endpoint| &endpoint.id).collect();
        self.by_id.keys().filter(|id| !listed.contains(id)).cloned().collect()
    }

    /// Inserts the endpoints of a whole list, except those that departed in an earlier era and those that restarted since:
    /// a store that was restored lists them until their entries expire or are written again.
    fn insert_listed(&mut self, now: TimeMs, endpoints: Vec<Endpoint>) {
        let era = self.version.era;
        for endpoint in endpoints {
            let has_restarted = self
                .get(&endpoint.id)
                .is_some_and(|known| known.endpoint.started_at_unix_ms > endpoint.started_at_unix_ms);
            let has_departed = self.departed.get(&endpoint.id).is_some_and(|departure| {
                departure.known.endpoint.started_at_unix_ms >= endpoint.started_at_unix_ms
                    && departure.era < era
                    && now.since(departure.departed_at) < RESTORED_ENTRY_AGE_MAX
            });
            if !has_departed && !has_restarted {
                self.insert_or_update(endpoint);
            }
        }
    }

    /// Keeps endpoints that another VM keeps for its grace period, for that time from now on. Those that this VM has removed
    /// do not come back.
    fn keep_expired(&mut self, now: TimeMs, endpoints: Vec<Endpoint>) {
        for endpoint in endpoints {
            let id = endpoint.id.clone();
            if !self.by_id.contains_key(&id) && !self.departed.contains_key(&id) {
                self.insert_or_update(endpoint);
            }
            // VMs that name it to each other would otherwise keep it forever.
            if let Some(known) = self.by_id.get_mut(&id).filter(|known| !known.is_expired) {
                known.is_expired = true;
                known.kept_until = now + EXPIRY_GRACE;
            }
        }
    }

    fn insert_or_update(&mut self, mut endpoint: Endpoint) {
        let departed = self.departed.remove(&endpoint.id).map(|departure| departure.known);
        let known = self.by_id.remove(&endpoint.id).or(departed);
        let known = match known {
            Some(mut known) if known.endpoint.started_at_unix_ms == endpoint.started_at_unix_ms => {
                // A process never leaves the draining state, but a restored store may list an older one.
                endpoint.is_draining |= known.endpoint.is_draining;
                known.endpoint = endpoint;
                known.is_expired = false;
                known
            }
            Some(mut earlier) => {
                earlier.statements.on_restart();
                KnownEndpoint { statements: earlier.statements, ..KnownEndpoint::new(endpoint) }
            }
            None => KnownEndpoint::new(endpoint),
        };
        self.by_id.insert(known.endpoint.id.clone(), known);
    }

    fn remove(&mut self, now: TimeMs, id: &EndpointId) {
        if self.keeps_expired(now) {
            if let Some(known) = self.by_id.get_mut(id) {
                known.is_expired = true;
            }
        } else {
            self.drop_departed(now, id);
        }
    }

    fn drop_departed(&mut self, now: TimeMs, id: &EndpointId) {
        if let Some(known) = self.by_id.remove(id) {
            self.departed.insert(id.clone(), Departure { known, departed_at: now, era: self.version.era });
        }
    }

    /// Drops entries that were not renewed after the store came back; returns whether there were any.
    pub(crate) fn sweep(&mut self, now: TimeMs) -> bool {
        self.departed.retain(|_, departure| now.since(departure.departed_at) < DEPARTED_RETENTION);
        if !self.is_store_unreachable {
            self.by_id.values_mut().for_each(|known| known.life.sweep(now));
        }
        if self.keeps_expired(now) {
            return false;
        }
        self.store_returned_at = None;
        let is_expired = |(_, known): &(&EndpointId, &KnownEndpoint)| known.is_expired && known.kept_until <= now;
        let expired: Vec<_> = self.by_id.iter().filter(is_expired).map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.drop_departed(now, id);
        }
        !expired.is_empty()
    }

    /// Removes an endpoint whose address now belongs to another one.
    pub(crate) fn remove_replaced(&mut self, now: TimeMs, id: &EndpointId) {
        self.drop_departed(now, id);
    }

    /// Records that an endpoint was found down.
    pub(crate) fn on_down(&mut self, now: TimeMs, id: &EndpointId) {
        if let Some(known) = self.by_id.get_mut(id) {
            known.life.on_found_down(now);
            known.own_found_down_at = Some(now);
            known.statements.cold_limiter.on_found_down(now, now, true);
        }
    }

    /// Endpoints that this VM found down a moment ago, for its heartbeat.
    pub(crate) fn own_down_reports(&self, now: TimeMs) -> Vec<DownReport> {
        let report = |known: &KnownEndpoint| {
            let age_ms = now.since(known.own_found_down_at?);
            (age_ms < RESTART_ENTRY_TIME).then(|| DownReport {
                endpoint: known.endpoint.id.clone(),
                started_at_unix_ms: known.endpoint.started_at_unix_ms,
                age_ms,
            })
        };
        self.by_id.values().filter_map(report).collect()
    }

    /// Records endpoints that another VM found down, unless this VM has read an entry of a later start.
    pub(crate) fn on_down_reports(&mut self, now: TimeMs, reports: Vec<DownReport>) {
        for DownReport { endpoint, started_at_unix_ms, age_ms } in reports {
            let known = self.by_id.get_mut(&endpoint);
            if let Some(known) = known.filter(|it| it.endpoint.started_at_unix_ms == started_at_unix_ms) {
                let found_down_at = TimeMs(now.0.saturating_sub(age_ms.0));
                known.life.on_found_down(found_down_at);
                known.statements.cold_limiter.on_found_down(now, found_down_at, false);
            }
        }
    }

    /// Endpoints that replies to this VM show as cold, those that stay cold longest first, for its heartbeat.
    pub(crate) fn own_cold_reports(&self, now: TimeMs) -> Vec<ColdReport> {
        let report = |known: &KnownEndpoint| {
            let left_ms = known.statements.cold_limiter.own_left(now)?;
            Some(ColdReport { endpoint: known.endpoint.id.clone(), left_ms })
        };
        let mut reports: Vec<_> = self.by_id.values().filter_map(report).collect();
        reports.sort_by_key(|report| std::cmp::Reverse(report.left_ms));
        reports.truncate(COLD_REPORTS_MAX);
        reports
    }

    /// Records the cold endpoints that another VM passes on.
    pub(crate) fn on_cold_reports(&mut self, now: TimeMs, reports: Vec<ColdReport>) {
        for ColdReport { endpoint, left_ms } in reports {
            if let Some(known) = self.by_id.get_mut(&endpoint) {
                known.statements.cold_limiter.on_peer_report(now, left_ms);
            }
        }
    }

    /// Records the load that an endpoint reported in a reply.
    pub(crate) fn on_report(&mut self, now: TimeMs, id: &EndpointId, load: ReportedLoad) {
        if let Some(known) = self.by_id.get_mut(id) {
            known.report = Some((now, load));
            if let Some(percent) = load.slowness_percent {
                self.pool_speeds.entry(known.endpoint.pool.clone()).or_default();
                known.speed.on_stated(now, percent);
            }
        }
    }

    /// Speed of an endpoint at this moment.
    pub(crate) fn speed(&self, known: &KnownEndpoint, now: TimeMs) -> Speed {
        known.speed.at(now, self.pool_speeds.get(&known.endpoint.pool))
    }

    /// Speed of an endpoint at this moment; that of one of which nothing is known if it is not listed.
    pub(crate) fn speed_of(&self, id: &EndpointId, now: TimeMs) -> Speed {
        self.by_id.get(id).map_or(Speed::UNKNOWN, |known| self.speed(known, now))
    }

    /// Time of prefill at a typical endpoint of a pool, over that at an endpoint of which nothing is known.
    pub(crate) fn pool_prefill_factor(&self, pool: &PoolId) -> f64 {
        EndpointSpeed::default().at(TimeMs(0), self.pool_speeds.get(pool)).prefill_factor
    }

    /// Records how long a request took from its send that met no queue. Speeds are learnt only in pools whose endpoints
    /// state their slowness, so that the others are served as before.
    pub(crate) fn on_speed_sample(&mut self, id: &EndpointId, probe: SpeedProbe, took: SpanMs) {
        if let Some(known) = self.by_id.get_mut(id)
            && let Some(pool) = self.pool_speeds.get_mut(&known.endpoint.pool)
        {
            known.speed.on_sample(pool, probe, took);
        }
    }

    /// Endpoints with a rate limit in force or that are brittle.
    pub(crate) fn limited_mut(&mut self) -> impl Iterator<Item = &mut KnownEndpoint> {
        self.by_id.values_mut().filter(|known| known.statements.rate_limiter.limit().is_some() || known.is_brittle())
    }

    /// Time until an endpoint of a pool that the stream may go on at and that is in an allowed place, leaving out those in
    /// `excluded`, accepts a request of this VM; `None` if that is known of none.
    pub(crate) fn accepts_in(
        &self,
        now: TimeMs,
        pool: &PoolId,
        excluded: &[EndpointId],
        stream_version: &StreamVersion,
        places: AllowedPlaces<'_>,
    ) -> Option<SpanMs> {
        let candidates = self
            .serving(pool)
            .filter(|known| !excluded.contains(&known.endpoint.id) && stream_version.allows(known.software_version()))
            .filter(|known| places.allows_endpoint(known));
        candidates.filter_map(|known| known.accepts_in(now)).min()
    }

    /// Whether an endpoint of a pool with this software version serves, whatever its health.
    pub(crate) fn serves_software_version(&self, pool: &PoolId, version: &BeginningVersion) -> bool {
        self.serving(pool).any(|known| known.software_version() == Some(version))
    }

    /// Software version of all endpoints of a pool, draining ones too; `None` if they differ, one is not known, or there are
    /// none.
    pub(crate) fn only_software_version(&self, pool: &PoolId) -> Option<&BeginningVersion> {
        let in_pool = self.by_id.values().filter(|known| known.endpoint.pool == *pool);
        let mut versions = in_pool.map(KnownEndpoint::software_version);
        let first = versions.next()??;
        versions.all(|version| version == Some(first)).then_some(first)
    }

    /// Statements about rate limits that this VM got, for its heartbeat.
    pub(crate) fn own_limit_reports(&self, now: TimeMs) -> Vec<EndpointLimitReport> {
        let report = |known: &KnownEndpoint| {
            let limit = known.statements.rate_limiter.statement.reported(now);
            let rejections = known.statements.rejection_limiter.statement.reported(now);
            let stated_at =
                [limit.map(|it| it.stated_at), rejections.map(|it| it.stated_at)].into_iter().flatten().max()?;
            Some(EndpointLimitReport {
                endpoint: known.endpoint.id.clone(),
                limit: limit.and_then(|it| it.value),
                rejections_max: rejections.and_then(|it| it.value),
                age_ms: now.since(stated_at),
            })
        };
        self.by_id.values().filter_map(report).collect()
    }

    /// Records the statements about rate limits that another VM got; returns whether a limit in force changed.
    pub(crate) fn on_limit_reports(&mut self, now: TimeMs, reports: Vec<EndpointLimitReport>) -> bool {
        let mut has_changed = false;
        for report in reports {
            if let Some(known) = self.get_mut(&report.endpoint) {
                let stated_at = TimeMs(now.0.saturating_sub(report.age_ms.0));
                let (limit, rejections) = (
                    Statement { value: report.limit, stated_at },
                    Statement { value: report.rejections_max, stated_at },
                );
                has_changed |= known.statements.rate_limiter.statement.on_any(limit);
                has_changed |= known.statements.rejection_limiter.statement.on_any(rejections);
            }
        }
        has_changed
    }

    /// Replaces the loads that another VM reported in its heartbeat.
    pub(crate) fn on_peer_loads(&mut self, now: TimeMs, vm: &VmId, loads: Vec<EndpointLoad>) {
        for known in self.by_id.values_mut() {
            known.peer_loads.remove(vm);
        }
        for load in loads {
            if let Some(known) = self.by_id.get_mut(&load.endpoint) {
                known.peer_loads.insert(vm.clone(), (now, load));
            }
        }
    }

    /// Records that a request with this prompt was sent to an endpoint.
    pub(crate) fn record_prompt(&mut self, now: TimeMs, id: &EndpointId, prompt: &[PromptPart], kv_cache_tokens: u64) {
        if let Some(known) = self.by_id.get_mut(id) {
            known.prompt_cache.record(now, prompt, kv_cache_tokens);
        }
    }

    /// Average time of a request at the endpoints of a pool.
    pub(crate) fn average_service_ms(&self, pool: &PoolId) -> Option<f64> {
        self.average_service_ms.get(pool).copied()
    }

    /// Records a success and ejects the endpoint if it is far slower than its pool; returns for how long it is ejected.
    pub(crate) fn on_success(&mut self, now: TimeMs, id: &EndpointId, took: SpanMs) -> Option<SpanMs> {
        let pool = self.by_id.get(id)?.endpoint.pool.clone();
        let took_ms = took.0 as f64;
        let average_ms = self.average_service_ms.entry(pool.clone()).or_insert(took_ms.max(1.0));
        let slowness = took_ms / average_ms.max(1.0);
        *average_ms += SERVICE_TIME_EMA_WEIGHT * (took_ms - *average_ms);
        let cause = self.by_id.get_mut(id)?.health.on_slowness_sample(slowness as f32)?;
        self.eject(now, id, &pool, cause)
    }

    /// Records a failure and ejects the endpoint if it fails repeatedly; returns for how long it is ejected.
    pub(crate) fn on_failure(&mut self, now: TimeMs, id: &EndpointId, is_refused: bool) -> Option<SpanMs> {
        let known = self.by_id.get_mut(id)?;
        let pool = known.endpoint.pool.clone();
        if known.is_ejected(now) {
            return None;
        }
        let cause = known.health.on_failure(is_refused)?;
        if is_refused {
            known.prompt_cache.clear();
        }
        self.eject(now, id, &pool, cause)
    }

    fn eject(&mut self, now: TimeMs, id: &EndpointId, pool: &PoolId, cause: EjectionCause) -> Option<SpanMs> {
        let serving = self.serving(pool).count();
        let ejected = self.serving(pool).filter(|known| known.is_ejected(now)).count();
        // An endpoint that refuses connections cannot serve, so the ejection cap does not apply to it.
        if ejected >= ejection_cap(serving) && cause != EjectionCause::Unreachable {
            return None;
        }
        self.by_id.get_mut(id).map(|known| known.health.eject(now))
    }

    /// Records that an endpoint is full until `until`.
    pub(crate) fn mark_full(&mut self, now: TimeMs, id: &EndpointId, until: TimeMs) {
        if let Some(known) = self.by_id.get_mut(id) {
            known.full_until = until;
            known.statements.rejection_limiter.on_rejection(now);
        }
    }

    /// This VM's own requests at endpoints, for its heartbeat.
    pub(crate) fn own_loads(&self) -> Vec<EndpointLoad> {
        let has_work = |known: &&KnownEndpoint| known.in_flight > 0;
        let load = |known: &KnownEndpoint| EndpointLoad {
            endpoint: known.endpoint.id.clone(),
            in_flight: known.in_flight.min(u32::from(u16::MAX)) as u16,
            unread_tokens: known.own_pending_prefill_tokens.min(u64::from(u32::MAX)) as u32,
        };
        self.by_id.values().filter(has_work).map(load).collect()
    }
}
