//! Loads on the platform's request path in virtual time: what clients get, and what it costs.

use std::time::Instant;

use boragepass_fakes::path_fleet::{Deployment, EndpointFault, PathFleet, Site};
use boragepass_path::Batching;
use boragepass_types::EndpointId;
use serde::Serialize;

const WARM_UP_MS: u64 = 3_000;
const TAIL_MS: u64 = 13_000;
/// Share of the worth of a request that a late answer earns; the sites state 0.1 to 0.3.
const LATE_SHARE: f64 = 0.15;

/// What is played.
#[derive(Debug, Clone)]
pub struct PlatformLoad {
    /// Site.
    pub site: Site,
    /// Multiple of the usual rate.
    pub load: f64,
    /// Who composes the calls of stage pools.
    pub batching: Batching,
    /// Seed.
    pub seed: u64,
    /// Seconds that are measured.
    pub seconds: u64,
    /// Endpoint that is down for the measured time, if any.
    pub down: Option<EndpointId>,
}

/// What the clients of one kind of request got.
#[derive(Debug, Serialize)]
pub struct KindFigures {
    /// Kind of request.
    pub kind: &'static str,
    /// Requests.
    pub asked: u32,
    /// Answered within the objective.
    pub in_time: u32,
    /// Answered later.
    pub late: u32,
    /// Refused.
    pub refused: u32,
    /// Failed or broken off.
    pub failed: u32,
}

/// What the endpoints of one stage pool did, from the start of the run to its end.
#[derive(Debug, Serialize)]
pub struct PoolFigures {
    /// Pool.
    pub pool: String,
    /// Calls.
    pub calls: u32,
    /// Pieces in a call.
    pub pieces_a_call: f64,
    /// Share of the time of its endpoints that calls took while requests came.
    pub busy_share: f64,
}

/// Figures of one load.
#[derive(Debug, Serialize)]
pub struct PlatformFigures {
    /// Site.
    pub site: String,
    /// Multiple of the usual rate.
    pub load: f64,
    /// Who composed the calls of stage pools.
    pub batching: String,
    /// Seed.
    pub seed: u64,
    /// Worth earned over worth asked for.
    pub worth: f64,
    /// By kind of request.
    pub kinds: Vec<KindFigures>,
    /// Calls of pieces.
    pub calls: u32,
    /// Pieces in a call.
    pub pieces_a_call: f64,
    /// By stage pool.
    pub pools: Vec<PoolFigures>,
    /// Pieces that found no space.
    pub no_room: u32,
    /// Prompt tokens that model engines read.
    pub tokens_read: u64,
    /// Repeated runs.
    pub repeats: u32,
    /// Promises that were broken.
    pub violations: Vec<String>,
    /// Processor time of all reducers and the model together, for each request.
    pub us_a_request: f64,
}

/// Plays one load.
pub fn platform(load: &PlatformLoad) -> PlatformFigures {
    let started = Instant::now();
    let mut fleet = PathFleet::with_batching(Deployment::of(load.site), load.seed, load.batching);
    fleet.run_until(1_000);
    fleet.set_load(load.load);
    fleet.run_until(WARM_UP_MS);
    let from = fleet.now();
    if let Some(down) = &load.down {
        fleet.inject_fault(down, EndpointFault::Crash { duration_ms: load.seconds * 1_000, is_unresponsive: false });
    }
    fleet.run_for(load.seconds * 1_000);
    let to = fleet.now();
    fleet.set_load(0.0);
    fleet.run_for(TAIL_MS);
    let (mut earned, mut owed, mut asked) = (0.0, 0.0, 0);
    let kinds = fleet.deployment.kinds.iter().enumerate().map(|(number, kind)| {
        let outcomes = fleet.ledger.outcomes(number, kind.objective_ms(), from, to);
        earned += kind.worth * (f64::from(outcomes.in_time) + LATE_SHARE * f64::from(outcomes.late));
        owed += kind.worth * f64::from(outcomes.requests);
        asked += outcomes.requests;
        KindFigures {
            kind: kind.name,
            asked: outcomes.requests,
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
        worth: earned / owed,
        kinds,
        calls: ledger.calls,
        pieces_a_call: f64::from(ledger.pieces) / f64::from(ledger.calls.max(1)),
        pools: pool_figures(&fleet, load.seconds),
        no_room: ledger.pieces_without_space,
        tokens_read: ledger.prefilled_tokens,
        repeats: ledger.repeated_runs,
        violations: ledger.violations().iter().map(ToString::to_string).collect(),
        us_a_request: started.elapsed().as_secs_f64() * 1e6 / f64::from(asked.max(1)),
    }
}

fn pool_figures(fleet: &PathFleet, seconds: u64) -> Vec<PoolFigures> {
    let figures = fleet.ledger.pool_work.iter().map(|(pool, work)| {
        let endpoints = fleet.deployment.endpoints.iter().filter(|endpoint| endpoint.pool == *pool).count();
        PoolFigures {
            pool: pool.to_string(),
            calls: work.calls,
            pieces_a_call: f64::from(work.pieces) / f64::from(work.calls.max(1)),
            busy_share: work.busy_ms as f64 / (endpoints.max(1) as f64 * seconds as f64 * 1e3),
        }
    });
    figures.collect()
}
