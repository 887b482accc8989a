//! Table of all endpoints with their state, load and health as seen from this VM.
//!
//! Endpoints are indexed by id, by hash, and by pool and region, so that routing finds its candidates
//! in constant time. Entries are never removed: an endpoint that is gone keeps its index.

use std::net::SocketAddr;

use boragepass_types::{AdapterId, EndpointId, Hash64, ModelId, PoolId, Region, SpanMs, TimeMs};

use crate::concurrency::ConcurrencyLimit;
use crate::ejection::Health;
use crate::map::Map;
use crate::platform::{LoadReport, VmListEntry, VmState};

/// Weight of the previous value in the moving average of slowness; the new sample has the rest.
const SLOWNESS_RETENTION: f32 = 0.8;
const OTHER_VMS_LOAD_RETENTION: f32 = 0.5;
/// Attempts that an endpoint is given for each of its slots: more than one, so that it has work
/// while the next attempt is on its way.
const WORK_PER_SLOT_MAX: f32 = 1.5;
/// Age of a report at which the load from other VMs counts half.
const LOAD_HALF_LIFE_MS: f32 = 1_500.0;

/// Hash that names an endpoint in load messages; four bytes keep those messages short.
pub(crate) fn short_hash(hash: Hash64) -> Hash64 {
    Hash64(hash.0 & u64::from(u32::MAX))
}

/// Index of an endpoint in the table; valid as long as the process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct EndpointIdx(pub(crate) u32);

/// Load that an endpoint last reported.
#[derive(Debug, Default, Clone)]
pub(crate) struct ReportedLoad {
    pub(crate) running: u32,
    pub(crate) queued: u32,
    pub(crate) slots: u32,
    /// When the endpoint measured its load, by this VM's clock.
    pub(crate) measured_at: TimeMs,
}

/// One endpoint as seen from this VM.
#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) hash: Hash64,
    pub(crate) pool: PoolId,
    pub(crate) region: Region,
    pub(crate) address: SocketAddr,
    pub(crate) state: VmState,
    /// Whether its last load report says that it takes no new work.
    pub(crate) reports_leaving: bool,
    pub(crate) models: Vec<ModelId>,
    pub(crate) adapters: Vec<AdapterId>,
    pub(crate) load: ReportedLoad,
    /// Attempts of other VMs, smoothed over several reports.
    pub(crate) other_vms_load: f32,
    /// Time of the last load report: when its poll was sent or, if another VM shared it, when the load was
    /// measured. `None` if no report may be acted on.
    pub(crate) reported_at: Option<TimeMs>,
    /// Attempts of this VM in progress there.
    pub(crate) in_flight: u32,
    /// Those of `in_flight` whose content is suspected of crashing endpoints.
    pub(crate) suspects_in_flight: u32,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) health: Health,
    /// Moving average of observed time divided by the stage's median time.
    pub(crate) slowness: f32,
    pub(crate) last_failure_at: Option<TimeMs>,
}

impl Endpoint {
    /// Whether it is listed as live and does not report that it is leaving.
    pub(crate) fn is_open(&self) -> bool {
        self.state == VmState::Live && !self.reports_leaving
    }

    /// Whether its last load report is at most `stale` old.
    pub(crate) fn is_fresh(&self, now: TimeMs, stale: SpanMs) -> bool {
        self.reported_at.is_some_and(|at| now.since(at) <= stale)
    }

    /// Whether it holds the model and the adapter of a stage.
    pub(crate) fn holds(&self, model: Option<&ModelId>, adapter: Option<&AdapterId>) -> bool {
        model.is_none_or(|model| self.models.contains(model))
            && adapter.is_none_or(|adapter| self.adapters.contains(adapter))
    }

    /// Expected number of attempts ahead of a new one: this VM's own, which are known exactly, and
    /// those of other VMs, whose weight decays with the age of the report.
    pub(crate) fn expected_load(&self, now: TimeMs) -> f32 {
        let age_ms = now.since(self.load.measured_at).0 as f32;
        let report_weight = (-age_ms / LOAD_HALF_LIFE_MS).exp2();
        self.in_flight as f32 + self.other_vms_load * report_weight
    }

    /// Whether one more attempt would wait at the endpoint rather than run. It waits in this VM's
    /// queue instead, where it can still be reordered, sent elsewhere or refused.
    pub(crate) fn is_full(&self, now: TimeMs) -> bool {
        let capacity = self.load.slots.max(1) as f32 * WORK_PER_SLOT_MAX;
        self.in_flight > 0 && self.expected_load(now) >= capacity
    }

    /// Adds the observed time of an attempt, divided by the median time, to the moving average.
    pub(crate) fn record_slowness(&mut self, sample: f32) {
        self.slowness = self.slowness * SLOWNESS_RETENTION + sample * (1.0 - SLOWNESS_RETENTION);
    }

    /// Applies a load report of the time `reported_at`; an older load does not replace a newer one.
    pub(crate) fn record_load(&mut self, reported_at: Option<TimeMs>, load: ReportedLoad, is_leaving: bool) {
        if load.measured_at >= self.load.measured_at {
            let reported = (load.running + load.queued) as f32;
            let sample = (reported - self.in_flight as f32).max(0.0);
            self.other_vms_load =
                self.other_vms_load * OTHER_VMS_LOAD_RETENTION + sample * (1.0 - OTHER_VMS_LOAD_RETENTION);
            self.load = load;
        }
        self.reports_leaving = is_leaving;
        self.reported_at = self.reported_at.max(reported_at);
    }
}

impl ReportedLoad {
    /// Load of a report that arrives at `now` and was measured `lag_ms` before.
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

    /// Mutable endpoint at an index.
    pub(crate) fn get_mut(&mut self, idx: EndpointIdx) -> &mut Endpoint {
        &mut self.endpoints[idx.0 as usize]
    }

    /// Index of an endpoint.
    pub(crate) fn find(&self, id: &EndpointId) -> Option<EndpointIdx> {
        self.by_id.get(id).copied()
    }

    /// Index of the endpoint with a short hash.
    pub(crate) fn find_by_hash(&self, hash: Hash64) -> Option<EndpointIdx> {
        self.by_hash.get(&hash).copied()
    }

    /// Marks every endpoint's load report as too old to act on.
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

    /// Applies an entry of the VM list; returns its endpoint and whether that has just stopped taking work.
    pub(crate) fn apply_entry(&mut self, entry: &VmListEntry) -> Option<(EndpointIdx, bool)> {
        let VmListEntry::Endpoint { endpoint, pool, region, address, state, .. } = entry else {
            return None;
        };
        if let Some(idx) = self.find(endpoint) {
            let existing = self.get_mut(idx);
            let was_open = existing.is_open();
            if existing.state == VmState::Gone && *state == VmState::Live {
                existing.limit.restart();
                existing.reported_at = None;
                existing.reports_leaving = false;
            }
            existing.state = *state;
            existing.address = *address;
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
            other_vms_load: 0.0,
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
