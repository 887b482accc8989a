//! Chooses the region whose endpoints compute the pieces of a stage.
//!
//! Pool leaders report their backlog several times a second. Between two reports a VM adds the work
//! that it has requested itself, so that one stale report does not attract all of its work.

use std::collections::BTreeMap;

use boragepass_types::{FailureDomain, PoolId, Region, SpanMs, TimeMs};

use super::{EndpointTable, Homes};
use crate::configuration::StagePool;
use crate::message::PoolLoad;
use crate::settings::{Distance, PathSettings};

/// Age at which a leader's report is ignored.
const REPORT_AGE_MAX: SpanMs = SpanMs(3_000);
/// Cost of moving a megabyte to another region, as an equivalent wait.
const TRANSFER_MS_PER_MB: f64 = 60.0;
/// Cost of another region beside the round trip, which keeps work in this region while its wait is short.
const OTHER_REGION_MS: f64 = 10.0;
/// Cost of a region whose endpoints are all ejected.
const NO_HEALTHY_ENDPOINT_MS: f64 = 20_000.0;

#[derive(Debug, Clone)]
struct BacklogReport {
    received_at: TimeMs,
    wait_ms: f64,
    /// Endpoints that are not ejected.
    endpoints: u16,
    /// Endpoint time of the work that this VM requested since the report.
    requested_ms: f64,
}

/// Backlogs of all stage pools by region, as their leaders report them.
#[derive(Debug, Default)]
pub(crate) struct PoolBacklogs {
    reports: BTreeMap<(PoolId, Region), BacklogReport>,
}

/// Pieces of one stage for which a region is to be chosen.
#[derive(Debug)]
pub(crate) struct StageDemand<'a> {
    pub(crate) pool: &'a PoolId,
    pub(crate) spec: StagePool,
    pub(crate) pieces: usize,
    /// Bytes of the results of these pieces.
    pub(crate) result_bytes: u64,
    /// Bytes of its inputs by failure domain.
    pub(crate) input_bytes: &'a [(FailureDomain, u64)],
    /// Failure domain in which the results are expected to be consumed.
    pub(crate) consumer_domain: &'a FailureDomain,
    /// Regions that failed this stage already.
    pub(crate) avoided_regions: &'a [Region],
    /// Regions that are allowed.
    pub(crate) homes: &'a Homes,
}

impl PoolBacklogs {
    /// Replaces the backlog of a pool's region with its leader's report.
    pub(crate) fn on_report(&mut self, now: TimeMs, load: PoolLoad) {
        let report = BacklogReport {
            received_at: now,
            wait_ms: f64::from(load.wait_ms),
            endpoints: load.healthy_endpoints,
            requested_ms: 0.0,
        };
        self.reports.insert((load.pool, load.region), report);
    }

    /// Drops reports of regions without a healthy endpoint, after it turned out that a leader had lost its links.
    pub(crate) fn forget_unserved(&mut self) {
        self.reports.retain(|_, report| report.endpoints > 0);
    }

    /// Expected wait of a piece that is requested now; zero where no leader reported lately.
    pub(crate) fn wait_ms(&self, now: TimeMs, pool: &PoolId, region: &Region) -> f64 {
        match self.reports.get(&(pool.clone(), region.clone())) {
            Some(report) if now.since(report.received_at) < REPORT_AGE_MAX => {
                let elapsed_ms = now.since(report.received_at).0 as f64;
                let wait_ms = (report.wait_ms + report.requested_ms - elapsed_ms).max(0.0);
                if report.endpoints == 0 { wait_ms + NO_HEALTHY_ENDPOINT_MS } else { wait_ms }
            }
            Some(_) | None => 0.0,
        }
    }

    /// Shortest wait among the allowed regions of a pool.
    pub(crate) fn shortest_wait_ms(
        &self,
        now: TimeMs,
        table: &EndpointTable,
        settings: &PathSettings,
        pool: &PoolId,
        homes: &Homes,
    ) -> Option<f64> {
        let waits =
            endpoints_by_region(table, settings, pool, homes).into_keys().map(|region| self.wait_ms(now, pool, region));
        waits.min_by(f64::total_cmp)
    }

    /// Adds work requested by this VM to the backlog until the next report.
    pub(crate) fn record_piece_request(
        &mut self,
        now: TimeMs,
        demand: &StageDemand<'_>,
        region: &Region,
        endpoints: usize,
    ) {
        let work_ms = demand.pieces as f64
            * (demand.spec.piece_ms + demand.spec.call_ms / demand.spec.pieces_per_call_max as f64);
        let key = (demand.pool.clone(), region.clone());
        let report = self.reports.entry(key).or_insert(BacklogReport {
            received_at: now,
            wait_ms: 0.0,
            endpoints: endpoints as u16,
            requested_ms: 0.0,
        });
        report.requested_ms += work_ms / endpoints.max(1) as f64;
    }

    /// Chooses the cheapest allowed region and returns it with its number of endpoints. Avoided regions are chosen only if
    /// no other one has endpoints.
    pub(crate) fn choose(
        &self,
        now: TimeMs,
        table: &EndpointTable,
        settings: &PathSettings,
        demand: &StageDemand<'_>,
    ) -> Option<(Region, usize)> {
        let regions = endpoints_by_region(table, settings, demand.pool, demand.homes);
        let cost_ms = |region: &Region| self.cost_ms(now, settings, demand, region);
        let cheapest_region = |is_allowed: &dyn Fn(&Region) -> bool| {
            let candidates = regions.iter().filter(|(region, _)| is_allowed(region));
            let best = candidates.min_by(|a, b| cost_ms(a.0).total_cmp(&cost_ms(b.0)));
            best.map(|(region, count)| ((*region).clone(), *count))
        };
        cheapest_region(&|region| !demand.avoided_regions.contains(region)).or_else(|| cheapest_region(&|_| true))
    }

    fn cost_ms(&self, now: TimeMs, settings: &PathSettings, demand: &StageDemand<'_>, region: &Region) -> f64 {
        let is_own_region = *region == settings.region;
        let distance = if is_own_region { Distance::SameRegion } else { Distance::OtherRegion };
        let mut cost_ms = self.wait_ms(now, demand.pool, region) + 2.0 * distance.round_trip_ms();
        if !is_own_region {
            cost_ms += OTHER_REGION_MS;
        }
        let is_other_region = |domain: &FailureDomain| settings.region_of(domain) != region;
        let moved_input_bytes: u64 =
            demand.input_bytes.iter().filter(|(domain, _)| is_other_region(domain)).map(|(_, bytes)| bytes).sum();
        let moved_result_bytes = if is_other_region(demand.consumer_domain) { demand.result_bytes } else { 0 };
        cost_ms + (moved_input_bytes + moved_result_bytes) as f64 / 1e6 * TRANSFER_MS_PER_MB
    }
}

/// Number of endpoints of a pool in each allowed region.
fn endpoints_by_region<'a>(
    table: &EndpointTable,
    settings: &'a PathSettings,
    pool: &PoolId,
    homes: &Homes,
) -> BTreeMap<&'a Region, usize> {
    let mut regions = BTreeMap::new();
    let places = homes.places(settings);
    for known in table.serving(pool).filter(|known| places.allows_endpoint(known)) {
        *regions.entry(settings.region_of(&known.endpoint.failure_domain)).or_insert(0) += 1;
    }
    regions
}
