//! Which region's endpoints make the pieces of a stage.
//!
//! Leads report their backlog several times a second. Between two reports a VM adds what it has
//! asked for itself, so that one stale figure does not draw all of its work.

use std::collections::BTreeMap;

use boragepass_types::{FailureDomain, PoolId, Region, SpanMs, TimeMs};

use super::EndpointTable;
use crate::configuration::StagePool;
use crate::message::PoolLoad;
use crate::settings::{Distance, PathSettings};

/// Age at which a lead's report says nothing any more.
const REPORT_AGE_MAX: SpanMs = SpanMs(3_000);
/// Cost of moving a megabyte to another region, in the terms of a caller's wait.
const RESULT_MS_PER_MB: f64 = 60.0;
/// Cost of leaving the region beside the travel time, which keeps work at home while it waits little.
const OTHER_REGION_MS: f64 = 10.0;
/// Cost of a region whose endpoints all failed lately.
const UNUSABLE_MS: f64 = 20_000.0;

#[derive(Debug, Clone)]
struct Report {
    at: TimeMs,
    wait_ms: f64,
    endpoints: u16,
    asked_ms: f64,
}

/// Backlogs of all stage pools, as leads report them.
#[derive(Debug, Default)]
pub(crate) struct PoolBacklogs {
    reports: BTreeMap<(PoolId, Region), Report>,
}

/// Pieces that are wanted.
#[derive(Debug)]
pub(crate) struct StageDemand<'a> {
    pub(crate) pool: &'a PoolId,
    pub(crate) spec: StagePool,
    pub(crate) pieces: usize,
    /// Bytes of the results of this stage.
    pub(crate) result_bytes: u64,
    /// Bytes of its inputs by failure domain.
    pub(crate) input_bytes: &'a [(FailureDomain, u64)],
    /// Failure domain in which the results are expected to be needed.
    pub(crate) consumer_domain: &'a FailureDomain,
    /// Regions that failed this stage already.
    pub(crate) avoided_regions: &'a [Region],
}

impl PoolBacklogs {
    /// Takes a lead's report.
    pub(crate) fn on_report(&mut self, now: TimeMs, load: PoolLoad) {
        let report =
            Report { at: now, wait_ms: f64::from(load.wait_ms), endpoints: load.healthy_endpoints, asked_ms: 0.0 };
        self.reports.insert((load.pool, load.region), report);
    }

    /// Wait of a piece that is asked for now.
    pub(crate) fn wait_ms(&self, now: TimeMs, pool: &PoolId, region: &Region) -> f64 {
        match self.reports.get(&(pool.clone(), region.clone())) {
            Some(report) if now.since(report.at) < REPORT_AGE_MAX => {
                let elapsed_ms = now.since(report.at).0 as f64;
                let wait_ms = (report.wait_ms + report.asked_ms - elapsed_ms).max(0.0);
                if report.endpoints == 0 { wait_ms + UNUSABLE_MS } else { wait_ms }
            }
            Some(_) | None => 0.0,
        }
    }

    /// Shortest wait among the regions of a pool.
    pub(crate) fn shortest_wait_ms(
        &self,
        now: TimeMs,
        table: &EndpointTable,
        settings: &PathSettings,
        pool: &PoolId,
    ) -> Option<f64> {
        let waits = regions(table, settings, pool).into_keys().map(|region| self.wait_ms(now, pool, region));
        waits.min_by(f64::total_cmp)
    }

    /// Notes what was asked for since the last report.
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
        let report = self.reports.entry(key).or_insert(Report {
            at: now,
            wait_ms: 0.0,
            endpoints: endpoints as u16,
            asked_ms: 0.0,
        });
        report.asked_ms += work_ms / endpoints.max(1) as f64;
    }

    /// Chooses the region in which the pieces are expected to be ready first; its endpoints.
    pub(crate) fn choose(
        &self,
        now: TimeMs,
        table: &EndpointTable,
        settings: &PathSettings,
        demand: &StageDemand<'_>,
    ) -> Option<(Region, usize)> {
        let regions = regions(table, settings, demand.pool);
        let cost_ms = |region: &Region| self.cost_ms(now, settings, demand, region);
        let cheapest = |is_allowed: &dyn Fn(&Region) -> bool| {
            let candidates = regions.iter().filter(|(region, _)| is_allowed(region));
            let best = candidates.min_by(|a, b| cost_ms(a.0).total_cmp(&cost_ms(b.0)));
            best.map(|(region, count)| ((*region).clone(), *count))
        };
        cheapest(&|region| !demand.avoided_regions.contains(region)).or_else(|| cheapest(&|_| true))
    }

    fn cost_ms(&self, now: TimeMs, settings: &PathSettings, demand: &StageDemand<'_>, region: &Region) -> f64 {
        let is_home = *region == settings.region;
        let distance = if is_home { Distance::SameRegion } else { Distance::OtherRegion };
        let mut cost_ms = self.wait_ms(now, demand.pool, region) + 2.0 * distance.round_trip_ms();
        if !is_home {
            cost_ms += OTHER_REGION_MS;
        }
        let is_elsewhere = |place: &FailureDomain| settings.region_of(place) != region;
        let moved: u64 =
            demand.input_bytes.iter().filter(|(place, _)| is_elsewhere(place)).map(|(_, bytes)| bytes).sum();
        let results = if is_elsewhere(demand.consumer_domain) { demand.result_bytes } else { 0 };
        cost_ms + (moved + results) as f64 / 1e6 * RESULT_MS_PER_MB
    }
}

/// Regions with endpoints of a pool, and how many.
fn regions<'a>(table: &EndpointTable, settings: &'a PathSettings, pool: &PoolId) -> BTreeMap<&'a Region, usize> {
    let mut regions = BTreeMap::new();
    for known in table.serving(pool) {
        *regions.entry(settings.region_of(&known.endpoint.failure_domain)).or_insert(0) += 1;
    }
    regions
}
