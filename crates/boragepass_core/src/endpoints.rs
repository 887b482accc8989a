//! What this VM knows of every endpoint, indexed for choices in constant time.

use std::net::SocketAddr;

use boragepass_types::{AdapterId, EndpointId, Hash64, ModelId, PoolId, Region, SpanMs, TimeMs};

use crate::concurrency::ConcurrencyLimit;
use crate::ejection::Health;
use crate::map::Map;
use crate::platform::{LoadReport, VmListEntry, VmState};

const SLOWNESS_KEEP: f32 = 0.8;
const OTHERS_KEEP: f32 = 0.5;
/// Work that an endpoint is given, in slots: enough to keep it busy between two attempts.
const FULL_SLOTS: f32 = 1.5;
const LOAD_HALF_LIFE_MS: f32 = 1_500.0;

/// Hash that names an endpoint in load messages, four bytes long.
pub(crate) fn short_hash(hash: Hash64) -> Hash64 {
    Hash64(hash.0 & u64::from(u32::MAX))
}

/// Index of an endpoint; stays valid as long as the process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct EndpointIdx(pub(crate) u32);

/// Load as last reported.
#[derive(Debug, Default, Clone)]
pub(crate) struct ReportedLoad {
    pub(crate) running: u32,
    pub(crate) queued: u32,
    pub(crate) slots: u32,
    /// When the figures were true, by this VM's clock.
    pub(crate) measured_at: TimeMs,
}

/// One endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) hash: Hash64,
    pub(crate) pool: PoolId,
    pub(crate) region: Region,
    pub(crate) address: SocketAddr,
    pub(crate) state: VmState,
    pub(crate) reports_leaving: bool,
    pub(crate) models: Vec<ModelId>,
    pub(crate) adapters: Vec<AdapterId>,
    pub(crate) load: ReportedLoad,
    /// Work of other VMs, smoothed over several reports.
    pub(crate) others: f32,
    pub(crate) reported_at: Option<TimeMs>,
    pub(crate) in_flight: u32,
    pub(crate) suspects_in_flight: u32,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) health: Health,
    /// Observed time over the pool's usual time.
    pub(crate) slowness: f32,
    pub(crate) last_failure_at: Option<TimeMs>,
}

impl Endpoint {
    /// Whether it takes new work as far as is known.
    pub(crate) fn is_open(&self) -> bool {
        self.state == VmState::Live && !self.reports_leaving
    }

    /// Whether what is known is recent enough to act on.
    pub(crate) fn is_fresh(&self, now: TimeMs, stale: SpanMs) -> bool {
        self.reported_at.is_some_and(|at| now.since(at) <= stale)
    }

    /// Whether it holds what a stage needs.
    pub(crate) fn holds(&self, model: Option<&ModelId>, adapter: Option<&AdapterId>) -> bool {
        model.is_none_or(|model| self.models.contains(model))
            && adapter.is_none_or(|adapter| self.adapters.contains(adapter))
    }

    /// Expected work ahead of a new attempt: own attempts, which are known exactly, and those of
    /// other VMs, which count less the older the report is.
    pub(crate) fn expected_load(&self, now: TimeMs) -> f32 {
        let age_ms = now.since(self.load.measured_at).0 as f32;
        let trust = (-age_ms / LOAD_HALF_LIFE_MS).exp2();
        self.in_flight as f32 + self.others * trust
    }

    /// Whether one more attempt would wait there rather than run. What waits here can still be
    /// ordered, moved or refused; what waits at the endpoint cannot.
    pub(crate) fn is_full(&self, now: TimeMs) -> bool {
        let room = self.load.slots.max(1) as f32 * FULL_SLOTS;
        self.in_flight > 0 && self.expected_load(now) >= room
    }

    /// Notes how long a success took against the usual time.
    pub(crate) fn record_slowness(&mut self, sample: f32) {
        self.slowness = self.slowness * SLOWNESS_KEEP + sample * (1.0 - SLOWNESS_KEEP);
    }

    /// Takes over a load report that is as recent as `heard_at`.
    pub(crate) fn record_load(&mut self, heard_at: Option<TimeMs>, load: ReportedLoad, leaving: bool) {
        if load.measured_at >= self.load.measured_at {
            let reported = (load.running + load.queued) as f32;
            let sample = (reported - self.in_flight as f32).max(0.0);
            self.others = self.others * OTHERS_KEEP + sample * (1.0 - OTHERS_KEEP);
            self.load = load;
        }
        self.reports_leaving = leaving;
        self.reported_at = self.reported_at.max(heard_at);
    }
}

impl ReportedLoad {
    /// Load of a report that arrives at `now`.
    pub(crate) fn from_report(report: &LoadReport, now: TimeMs) -> Self {
        Self {
            running: report.running,
            queued: report.queued,
            slots: report.slots.max(1),
            measured_at: TimeMs(now.0.saturating_sub(report.lag_ms.0)),
        }
    }
}

/// Endpoints of one pool by region.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) by_region: Map<Region, Vec<EndpointIdx>>,
}

/// All endpoints.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    endpoints: Vec<Endpoint>,
    by_id: Map<EndpointId, EndpointIdx>,
    by_hash: Map<Hash64, EndpointIdx>,
    pools: Map<PoolId, Pool>,
}

impl EndpointTable {
    /// Endpoint at an index.
    pub(crate) fn get(&self, idx: EndpointIdx) -> &Endpoint {
        &self.endpoints[idx.0 as usize]
    }

    /// Endpoint at an index, to change it.
    pub(crate) fn get_mut(&mut self, idx: EndpointIdx) -> &mut Endpoint {
        &mut self.endpoints[idx.0 as usize]
    }

    /// Index of an endpoint.
    pub(crate) fn find(&self, id: &EndpointId) -> Option<EndpointIdx> {
        self.by_id.get(id).copied()
    }

    /// Index of the endpoint with a hash.
    pub(crate) fn find_by_hash(&self, hash: Hash64) -> Option<EndpointIdx> {
        self.by_hash.get(&hash).copied()
    }

    /// Makes nothing that is known recent enough to act on.
    pub(crate) fn mark_all_stale(&mut self) {
        for endpoint in &mut self.endpoints {
            endpoint.reported_at = None;
        }
    }

    /// All endpoints with their indices.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (EndpointIdx, &Endpoint)> {
        self.endpoints.iter().enumerate().map(|(index, endpoint)| (EndpointIdx(index as u32), endpoint))
    }

    /// Endpoints of a pool in a region.
    pub(crate) fn in_pool(&self, pool: &PoolId, region: &Region) -> &[EndpointIdx] {
        self.pools.get(pool).and_then(|pool| pool.by_region.get(region)).map_or(&[], Vec::as_slice)
    }

    /// Takes over an entry of the VM list; says which endpoint it concerns and whether it began to leave.
    pub(crate) fn apply_entry(&mut self, entry: &VmListEntry) -> Option<(EndpointIdx, bool)> {
        let VmListEntry::Endpoint { endpoint, pool, region, address, state, .. } = entry else {
            return None;
        };
        if let Some(idx) = self.find(endpoint) {
            let known = self.get_mut(idx);
            let was_open = known.is_open();
            if known.state == VmState::Gone && *state == VmState::Live {
                known.limit.restart();
                known.reported_at = None;
                known.reports_leaving = false;
            }
            known.state = *state;
            known.address = *address;
            return Some((idx, was_open && *state != VmState::Live));
        }
        let idx = EndpointIdx(self.endpoints.len() as u32);
        let hash = Hash64::of(endpoint.as_str().as_bytes());
        self.endpoints.push(Endpoint {
            id: endpoint.clone(),
            hash,
            pool: pool.clone(),
            region: region.clone(),
            address: *address,
            state: *state,
            reports_leaving: false,
            models: Vec::new(),
            adapters: Vec::new(),
            load: ReportedLoad::default(),
            others: 0.0,
            reported_at: None,
            in_flight: 0,
            suspects_in_flight: 0,
            limit: ConcurrencyLimit::default(),
            health: Health::default(),
            slowness: 1.0,
            last_failure_at: None,
        });
        self.by_id.insert(endpoint.clone(), idx);
        self.by_hash.insert(short_hash(hash), idx);
        let pool = self.pools.entry(pool.clone()).or_default();
        pool.by_region.entry(region.clone()).or_default().push(idx);
        Some((idx, false))
    }
}
