//! Simulates load on the platform's request path in virtual time: the results that clients get, and their cost.

use std::time::Instant;

use boragepass_fakes::path_fleet::{Deployment, EndpointFault, PathFleet, Site};
use boragepass_path::Batching;
use boragepass_types::EndpointId;
use serde::Serialize;

const WARM_UP_MS: u64 = 3_000;
/// Time after the last request in which open requests end.
const DRAIN_MS: u64 = 13_000;
/// Share of a request's worth that a late answer earns; the sites state 0.1 to 0.3.
const LATE_SHARE: f64 = 0.15;

/// Load to simulate.
#[derive(Debug, Clone)]
pub struct PlatformLoad {
    /// Site whose deployment and requests are simulated.
    pub site: Site,
    /// Multiple of the site's normal request rate.
    pub load: f64,
    /// Who batches pieces into calls of stage pools.
    pub batching: Batching,
    /// Seed of the simulation.
    pub seed: u64,
    /// Seconds to measure.
    pub seconds: u64,
    /// Endpoint that is down during the measurement, if any.
    pub down: Option<EndpointId>,
}

/// Results of one kind of request.
#[derive(Debug, Serialize)]
pub struct KindFigures {
    /// Name of the kind.
    pub kind: &'static str,
    /// Requests that arrived.
    #[serde(rename = "asked")]
    pub requests: u32,
    /// Answered within the objective.
    pub in_time: u32,
    /// Answered after the objective.
    pub late: u32,
    /// Refused.
    pub refused: u32,
    /// Failed, or answers aborted.
    pub failed: u32,
}

/// Work of the endpoints of one stage pool, from the start of the run to its end.
#[derive(Debug, Serialize)]
pub struct PoolFigures {
    /// Name of the pool.
    pub pool: String,
    /// Calls to its endpoints.
    pub calls: u32,
    /// Mean number of pieces in a call.
    #[serde(rename = "pieces_a_call")]
    pub pieces_per_call: f64,
    /// Time that calls took over the whole run, over the endpoints' time in the measurement.
    pub busy_share: f64,
}

/// Figures of one load.
#[derive(Debug, Serialize)]
pub struct PlatformFigures {
    /// Simulated site.
    pub site: String,
    /// Multiple of the site's normal request rate.
    pub load: f64,
    /// Who batched pieces into calls of stage pools.
    pub batching: String,
    /// Seed of the simulation.
    pub seed: u64,
    /// Worth that answers earned, over the worth of all requests.
    pub worth: f64,
    /// Results by kind of request.
    pub kinds: Vec<KindFigures>,
    /// Calls to endpoints of stage pools.
    pub calls: u32,
    /// Mean number of pieces in a call.
    #[serde(rename = "pieces_a_call")]
    pub pieces_per_call: f64,
    /// Work by stage pool.
    pub pools: Vec<PoolFigures>,
    /// Pieces for whose result an endpoint had no space.
    #[serde(rename = "no_room")]
    pub pieces_without_space: u32,
    /// Prompt tokens that model engines prefilled.
    #[serde(rename = "tokens_read")]
    pub prefilled_tokens: u64,
    /// Sends of a request beyond its first.
    #[serde(rename = "repeats")]
    pub repeated_runs: u32,
    /// Guarantees that were violated.
    pub violations: Vec<String>,
    /// Wall-clock time of the simulation for each measured request.
    #[serde(rename = "us_a_request")]
    pub us_per_request: f64,
}

/// Simulates one load and measures its results and costs.
pub fn measure_platform(load: &PlatformLoad) -> PlatformFigures {
    let started = Instant::now();
    let mut fleet = PathFleet::with_batching(Deployment::of(load.site), load.seed, load.batching);
    fleet.run_until(1_000);
    fleet.set_load(load.load);
    fleet.run_until(WARM_UP_MS);
    let measured_from = fleet.now();
    if let Some(down) = &load.down {
        fleet.inject_fault(down, EndpointFault::Crash { duration_ms: load.seconds * 1_000, is_unresponsive: false });
    }
    fleet.run_for(load.seconds * 1_000);
    let measured_to = fleet.now();
    fleet.set_load(0.0);
    fleet.run_for(DRAIN_MS);
    let (mut earned_worth, mut requested_worth, mut requests) = (0.0, 0.0, 0);
    let kinds = fleet.deployment.kinds.iter().enumerate().map(|(kind_index, kind)| {
        let outcomes = fleet.ledger.outcomes(kind_index, kind.objective_ms(), measured_from, measured_to);
        earned_worth += kind.worth * (f64::from(outcomes.in_time) + LATE_SHARE * f64::from(outcomes.late));
        requested_worth += kind.worth * f64::from(outcomes.requests);
        requests += outcomes.requests;
        KindFigures {
            kind: kind.name,
            requests: outcomes.requests,
            in_time: outcomes.in_time,
            late: outcomes.late,
            refused: outcomes.refused,
            failed: outcomes.failed,
        }
    });
    let kinds = kinds.collect();
    let ledger = &fleet.ledger;
    PlatformFigures {
        site: load.site.to_string(),
        load: load.load,
        batching: load.batching.to_string(),
        seed: load.seed,
        worth: earned_worth / requested_worth,
        kinds,
        calls: ledger.calls,
        pieces_per_call: f64::from(ledger.pieces) / f64::from(ledger.calls.max(1)),
        pools: pool_figures(&fleet, load.seconds),
        pieces_without_space: ledger.pieces_without_space,
        prefilled_tokens: ledger.prefilled_tokens,
        repeated_runs: ledger.repeated_runs,
        violations: ledger.violations().iter().map(ToString::to_string).collect(),
        us_per_request: started.elapsed().as_secs_f64() * 1e6 / f64::from(requests.max(1)),
    }
}

/// Sums up the work of each stage pool; `seconds` is the measured time.
fn pool_figures(fleet: &PathFleet, seconds: u64) -> Vec<PoolFigures> {
    let figures = fleet.ledger.pool_work.iter().map(|(pool, work)| {
        let endpoints = fleet.deployment.endpoints.iter().filter(|endpoint| endpoint.pool == *pool).count();
        PoolFigures {
            pool: pool.to_string(),
            calls: work.calls,
            pieces_per_call: f64::from(work.pieces) / f64::from(work.calls.max(1)),
            busy_share: work.busy_ms as f64 / (endpoints.max(1) as f64 * seconds as f64 * 1e3),
        }
    });
    figures.collect()
}
