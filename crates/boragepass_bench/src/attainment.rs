//! Our policy against baselines under the faults of the brief, in one run.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use boragepass_core::{Limits, ListEdit};
use boragepass_fakes::{
    Caller, FakeEndpoint, FakeEndpointSettings, LoopbackFleet, LoopbackFleetSettings, allowlist, caller_key,
    expected_answer, pipelines, plan,
};
use boragepass_server::Daemon;
use boragepass_types::Pipeline;
use boragepass_wire::WireOperatorReply;
use http_types::Method;
use serde::Serialize;

use crate::baseline::{Baseline, Choice};

const HOME: &str = "lagos";
const ABROAD: &str = "abuja";
const WORKSPACE: &str = "gigdesk";
const TOKENS: u32 = 16;
const TOKEN_MS: u64 = 4;
const DEADLINE: Duration = Duration::from_millis(600);
const STEADY_PER_S: u64 = 400;
const BURST_FACTOR: u64 = 3;
const OVERLOAD_PER_S: u64 = 1_200;
const RUN_FOR: Duration = Duration::from_secs(6);
const WARM_UP: Duration = Duration::from_secs(2);
const BURST: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(4));
const FAULT_AFTER: Duration = Duration::from_secs(2);
const SECOND_FAULT_AFTER: Duration = Duration::from_secs(3);
const TRAVEL_MS: u64 = 30;

/// What happens during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Scenario {
    Steady,
    BurstOfThreeTimes,
    StragglerTenTimesSlower,
    TwoEndpointsCrashing,
    StaleLoadReports,
    HomeOverloaded,
}

/// How requests are routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Policy {
    Boragepass,
    UniformRandom,
    RoundRobin,
}

/// Figures of one policy under one scenario.
#[derive(Debug, Clone, Serialize)]
pub struct AttainmentFigures {
    scenario: Scenario,
    policy: Policy,
    /// Requests that count, sent after the warm-up.
    pub requests: u64,
    /// Of these, answered in full within the deadline.
    pub met: u64,
    /// Requests that missed it, refusals included.
    pub missed: u64,
    /// Refused before anything ran.
    pub refused: u64,
    /// Answers that were wrong.
    pub wrong: u64,
    /// Bytes that crossed regions.
    pub cross_region_bytes: u64,
    /// Time that endpoints worked.
    pub endpoint_work_ms: u64,
    /// Stages run beyond one for each stage of a request that was met.
    pub extra_runs: u64,
}

const SCENARIOS: [Scenario; 6] = [
    Scenario::Steady,
    Scenario::BurstOfThreeTimes,
    Scenario::StragglerTenTimesSlower,
    Scenario::TwoEndpointsCrashing,
    Scenario::StaleLoadReports,
    Scenario::HomeOverloaded,
];
const POLICIES: [Policy; 3] = [Policy::Boragepass, Policy::UniformRandom, Policy::RoundRobin];

/// Measures every policy under every scenario; `only` names one scenario.
pub fn attainment(only: Option<&str>) -> Result<Vec<AttainmentFigures>, Box<dyn std::error::Error>> {
    let mut figures = Vec::new();
    for scenario in SCENARIOS {
        let name = serde_json::to_value(scenario)?;
        if only.is_some_and(|only| name != only) {
            continue;
        }
        for policy in POLICIES {
            figures.push(task::block_on(measure(scenario, policy))?);
        }
    }
    Ok(figures)
}

struct Run {
    world: LoopbackFleet,
    daemons: Vec<Daemon>,
    home: Vec<FakeEndpoint>,
    pipeline: Arc<Pipeline>,
    baseline: Option<Arc<Baseline>>,
}

#[derive(Default)]
struct Counts {
    requests: AtomicU64,
    met: AtomicU64,
    refused: AtomicU64,
    wrong: AtomicU64,
}

async fn start(scenario: Scenario, policy: Policy) -> Result<Run, Box<dyn std::error::Error>> {
    let mut world =
        LoopbackFleet::start(LoopbackFleetSettings { limits: Limits::default(), ..LoopbackFleetSettings::default() })
            .await?;
    world.commit_list_edit(ListEdit::SetPlan(plan(WORKSPACE, DEADLINE.as_millis() as u64, 1_000_000)));
    world.commit_list_edit(ListEdit::SetAllowlist(allowlist(WORKSPACE, &[HOME, ABROAD])));
    let at_home = [("encoders", 5, 5), ("retrievers", 5, 5), ("rerankers", 3, 5), ("engines", 20, 20)];
    let abroad = [("encoders", 3, 5), ("retrievers", 3, 5), ("rerankers", 3, 5), ("engines", 10, 20)];
    let mut home = Vec::new();
    for (pool, count, stage_ms) in at_home {
        for number in 1..=count {
            let settings = endpoint_settings(format!("{pool}-{number}"), stage_ms, 0);
            home.push(world.add_endpoint(settings, pool, HOME).await?);
        }
    }
    for (pool, count, stage_ms) in abroad {
        for number in 1..=count {
            let settings = endpoint_settings(format!("{ABROAD}-{pool}-{number}"), stage_ms, TRAVEL_MS);
            world.add_endpoint(settings, pool, ABROAD).await?;
        }
    }
    if scenario == Scenario::StaleLoadReports {
        home.iter().for_each(|endpoint| endpoint.set_faults(|faults| faults.are_reports_frozen = true));
    }
    let pipeline = pipelines().into_iter().find(|known| known.id.as_str() == "contract-review");
    let pipeline = pipeline.ok_or("there is no such pipeline")?;
    let mut daemons = Vec::new();
    if policy == Policy::Boragepass {
        for number in 1..=2 {
            daemons.push(world.add_daemon(&format!("lagos-{number}"), HOME, &format!("lagos-{number}")).await?);
        }
        for daemon in &daemons {
            let known = home.len();
            let is_ready = |status: &boragepass_wire::WireFleetStatus| {
                status.admits && status.endpoints.iter().filter(|endpoint| endpoint.age_ms.is_some()).count() >= known
            };
            if !world.wait_for_status(daemon, is_ready).await {
                return Err("a daemon did not become ready".into());
            }
        }
    }
    let choice = match policy {
        Policy::Boragepass => None,
        Policy::UniformRandom => Some(Choice::UniformRandom),
        Policy::RoundRobin => Some(Choice::RoundRobin),
    };
    let baseline = choice.map(|choice| Arc::new(Baseline::new(choice, pipeline.clone(), &home)));
    Ok(Run { world, daemons, home, pipeline, baseline })
}

fn endpoint_settings(name: String, stage_ms: u64, network_delay_ms: u64) -> FakeEndpointSettings {
    FakeEndpointSettings {
        name,
        slots: 4,
        stage_ms,
        token_ms: TOKEN_MS,
        tokens: TOKENS,
        network_delay_ms,
        models: vec!["contract-7b".to_owned(), "assistant-3b".to_owned()],
        report_lag_ms: 200,
        ..FakeEndpointSettings::default()
    }
}

async fn measure(scenario: Scenario, policy: Policy) -> Result<AttainmentFigures, Box<dyn std::error::Error>> {
    let run = Arc::new(start(scenario, policy).await?);
    let counts = Arc::new(Counts::default());
    let faults = task::spawn(bring_about(scenario, run.home.clone()));
    let started = Instant::now();
    let mut sent = Vec::new();
    let mut number = 0;
    let mut due = Duration::ZERO;
    while due < RUN_FOR {
        task::sleep(due.saturating_sub(started.elapsed())).await;
        let counts_it = due >= WARM_UP;
        let (run, counts) = (run.clone(), counts.clone());
        sent.push(task::spawn(async move { run.send(number, counts_it, &counts).await }));
        number += 1;
        due += Duration::from_micros(1_000_000 / rate_per_s(scenario, due));
    }
    futures::future::join_all(sent).await;
    faults.await;
    let (requests, met) = (counts.requests.load(Ordering::Relaxed), counts.met.load(Ordering::Relaxed));
    let runs: u64 = run.world.endpoints.iter().map(FakeEndpoint::runs).sum();
    let stages = run.pipeline.stages.len() as u64;
    Ok(AttainmentFigures {
        scenario,
        policy,
        requests,
        met,
        missed: requests - met,
        refused: counts.refused.load(Ordering::Relaxed),
        wrong: counts.wrong.load(Ordering::Relaxed),
        cross_region_bytes: run.cross_region_bytes().await,
        endpoint_work_ms: run.world.endpoints.iter().map(FakeEndpoint::work_ms).sum(),
        extra_runs: runs.saturating_sub(number * stages),
    })
}

fn rate_per_s(scenario: Scenario, at: Duration) -> u64 {
    match scenario {
        Scenario::BurstOfThreeTimes if at >= BURST.0 && at < BURST.1 => STEADY_PER_S * BURST_FACTOR,
        Scenario::HomeOverloaded => OVERLOAD_PER_S,
        _ => STEADY_PER_S,
    }
}

async fn bring_about(scenario: Scenario, home: Vec<FakeEndpoint>) {
    let engines: Vec<_> = home.into_iter().filter(|endpoint| endpoint.name().starts_with("engines-")).collect();
    match scenario {
        Scenario::StragglerTenTimesSlower => {
            task::sleep(FAULT_AFTER).await;
            engines[0].set_faults(|faults| faults.slow_factor = Some(10));
        }
        Scenario::TwoEndpointsCrashing => {
            task::sleep(FAULT_AFTER).await;
            engines[0].crash();
            task::sleep(SECOND_FAULT_AFTER - FAULT_AFTER).await;
            engines[1].crash();
        }
        Scenario::Steady | Scenario::BurstOfThreeTimes | Scenario::StaleLoadReports | Scenario::HomeOverloaded => {}
    }
}

impl Run {
    async fn send(&self, number: u64, counts_it: bool, counts: &Counts) {
        let input = format!("contract {number}");
        let expected = expected_answer(&self.pipeline, &input, TOKENS);
        let began = Instant::now();
        let (output, is_refused) = match &self.baseline {
            Some(baseline) => (baseline.run(number, &input, DEADLINE).await.map(|output| output.to_string()), false),
            None => self.send_to_daemon(number, &input).await,
        };
        let took = began.elapsed();
        if !counts_it {
            return;
        }
        counts.requests.fetch_add(1, Ordering::Relaxed);
        counts.refused.fetch_add(u64::from(is_refused), Ordering::Relaxed);
        match output {
            Some(output) if output != expected => {
                counts.wrong.fetch_add(1, Ordering::Relaxed);
            }
            Some(_) if took <= DEADLINE => {
                counts.met.fetch_add(1, Ordering::Relaxed);
            }
            _ => {}
        }
    }

    async fn send_to_daemon(&self, number: u64, input: &str) -> (Option<String>, bool) {
        let daemon = &self.daemons[number as usize % self.daemons.len()];
        let caller = Caller::new(WORKSPACE, &caller_key(WORKSPACE));
        let answer = caller.send(daemon.caller_address, "contract-review", &format!("r{number}"), input, None).await;
        (answer.output().map(ToOwned::to_owned), answer.name() == "not_run")
    }

    async fn cross_region_bytes(&self) -> u64 {
        let Some(daemon) = self.daemons.first() else {
            return 0;
        };
        match self.world.send_operator_command(daemon, Method::Get, "/v1/usage", String::new()).await {
            Some(WireOperatorReply::Usage { reports, .. }) => {
                reports.iter().flat_map(|report| &report.costs).map(|cost| cost.cross_region_bytes).sum()
            }
            _ => 0,
        }
    }
}
