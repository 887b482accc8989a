//! Which failure domain's endpoints make the pieces of a stage.
//!
//! Leads report their backlog several times a second. Between two reports a VM adds what it has
//! asked for itself, so that one stale figure does not draw all of its work.

use std::collections::BTreeMap;

use boragepass_types::{FailureDomain, PoolId, SpanMs, TimeMs};

use super::EndpointTable;
use crate::configuration::StagePool;
use crate::message::PoolLoad;
use crate::settings::{Distance, PathSettings};

/// Age at which a lead's report says nothing any more.
const REPORT_AGE_MAX: SpanMs = SpanMs(3_000);
/// Cost of moving a megabyte to another failure domain, in the terms of a caller's wait.
const RESULT_MS_PER_MB: f64 = 60.0;
/// Cost of leaving the region beside the travel time, which keeps work at home while it waits little.
const OTHER_REGION_MS: f64 = 10.0;
/// Cost of a failure domain whose endpoints all failed lately.
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
    reports: BTreeMap<(PoolId, FailureDomain), Report>,
}

/// Pieces that are wanted.
#[derive(Debug)]
pub(crate) struct Wanted<'a> {
    pub(crate) pool: &'a PoolId,
    pub(crate) spec: StagePool,
    pub(crate) pieces: usize,
    /// Bytes of the results of this stage.
    pub(crate) result_bytes: u64,
    /// Bytes of its inputs by failure domain.
    pub(crate) inputs: &'a [(FailureDomain, u64)],
    /// Failure domain in which the results are expected to be needed.
    pub(crate) needed_in: &'a FailureDomain,
    /// Failure domains that failed this stage already.
    pub(crate) avoided: &'a [FailureDomain],
}

impl PoolBacklogs {
    /// Takes a lead's report.
    pub(crate) fn on_report(&mut self, now: TimeMs, load: PoolLoad) {
        let report = Report { at: now, wait_ms: f64::from(load.wait_ms), endpoints: load.endpoints, asked_ms: 0.0 };
        self.reports.insert((load.pool, load.failure_domain), report);
    }

    /// Wait of a piece that is asked for now.
    pub(crate) fn wait_ms(&self, now: TimeMs, pool: &PoolId, domain: &FailureDomain) -> f64 {
        match self.reports.get(&(pool.clone(), domain.clone())) {
            Some(report) if now.since(report.at) < REPORT_AGE_MAX => {
                let elapsed_ms = now.since(report.at).0 as f64;
                let wait_ms = (report.wait_ms + report.asked_ms - elapsed_ms).max(0.0);
                if report.endpoints == 0 { wait_ms + UNUSABLE_MS } else { wait_ms }
            }
            Some(_) | None => 0.0,
        }
    }

    /// Shortest wait among the failure domains of a pool.
    pub(crate) fn shortest_wait_ms(&self, now: TimeMs, table: &EndpointTable, pool: &PoolId) -> Option<f64> {
        domains(table, pool).into_keys().map(|domain| self.wait_ms(now, pool, &domain)).min_by(f64::total_cmp)
    }

    /// Notes what was asked for since the last report.
    pub(crate) fn on_asked(&mut self, now: TimeMs, wanted: &Wanted<'_>, domain: &FailureDomain, endpoints: usize) {
        let work_ms = wanted.pieces as f64 * (wanted.spec.piece_ms + wanted.spec.call_ms / wanted.spec.batch as f64);
        let key = (wanted.pool.clone(), domain.clone());
        let report = self.reports.entry(key).or_insert(Report {
            at: now,
            wait_ms: 0.0,
            endpoints: endpoints as u16,
            asked_ms: 0.0,
        });
        report.asked_ms += work_ms / endpoints.max(1) as f64;
    }

    /// Chooses the failure domain in which the pieces are expected to be ready first.
    pub(crate) fn choose(
        &self,
        now: TimeMs,
        table: &EndpointTable,
        settings: &PathSettings,
        wanted: &Wanted<'_>,
    ) -> Option<(FailureDomain, usize)> {
        let domains = domains(table, wanted.pool);
        let allowed = domains.iter().filter(|(domain, _)| !wanted.avoided.contains(*domain));
        let cheapest = |candidates: Vec<(&FailureDomain, &usize)>| {
            candidates
                .into_iter()
                .min_by(|a, b| {
                    let cost = |domain| self.cost_ms(now, settings, wanted, domain);
                    cost(a.0).total_cmp(&cost(b.0))
                })
                .map(|(domain, count)| (domain.clone(), *count))
        };
        cheapest(allowed.collect()).or_else(|| cheapest(domains.iter().collect()))
    }

    fn cost_ms(&self, now: TimeMs, settings: &PathSettings, wanted: &Wanted<'_>, domain: &FailureDomain) -> f64 {
        let distance = settings.distance_to(domain);
        let mut cost_ms = self.wait_ms(now, wanted.pool, domain) + 2.0 * distance.round_trip_ms();
        if distance == Distance::OtherRegion {
            cost_ms += OTHER_REGION_MS;
        }
        let moved: u64 = wanted.inputs.iter().filter(|(place, _)| place != domain).map(|(_, bytes)| bytes).sum();
        let results = if domain == wanted.needed_in { 0 } else { wanted.result_bytes };
        cost_ms + (moved + results) as f64 / 1e6 * RESULT_MS_PER_MB
    }
}

fn domains(table: &EndpointTable, pool: &PoolId) -> BTreeMap<FailureDomain, usize> {
    let mut domains = BTreeMap::new();
    for known in table.serving(pool) {
        *domains.entry(known.endpoint.failure_domain.clone()).or_insert(0) += 1;
    }
    domains
}
