//! Compares how many requests meet their deadline under boragepass and under baseline policies, also while endpoints
//! fail, load bursts, load reports are stale or the home region is overloaded.

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

use crate::baseline::{Baseline, SelectionRule};

const HOME_REGION: &str = "lagos";
const REMOTE_REGION: &str = "abuja";
const WORKSPACE: &str = "gigdesk";
const TOKENS_PER_ANSWER: u32 = 16;
const TOKEN_MS: u64 = 4;
const REQUEST_DEADLINE: Duration = Duration::from_millis(600);
const STEADY_RATE_PER_S: u64 = 400;
const BURST_FACTOR: u64 = 3;
const OVERLOAD_RATE_PER_S: u64 = 1_200;
const RUN_TIME: Duration = Duration::from_secs(6);
const WARM_UP: Duration = Duration::from_secs(2);
/// Start and end of the burst.
const BURST: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(4));
const FIRST_FAULT_AFTER: Duration = Duration::from_secs(2);
const SECOND_FAULT_AFTER: Duration = Duration::from_secs(3);
/// Network delay to endpoints of the remote region.
const REMOTE_DELAY_MS: u64 = 30;

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
    /// Requests sent after the warm-up; the counts below cover only these.
    pub requests: u64,
    /// Of these, answered in full within the deadline.
    pub met: u64,
    /// Requests that did not meet it: late, refused, failed or wrong.
    pub missed: u64,
    /// Requests that were refused before anything ran.
    pub refused: u64,
    /// Answers that were wrong.
    pub wrong: u64,
    /// Bytes sent across regions, warm-up included.
    pub cross_region_bytes: u64,
    /// Time for which endpoints worked, all requests and endpoints together.
    pub endpoint_work_ms: u64,
    /// Stage runs beyond one for each stage of each request, warm-up included.
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

/// Measures every policy under every scenario, or under the scenario that `only` names.
pub fn measure_attainment(only: Option<&str>) -> Result<Vec<AttainmentFigures>, Box<dyn std::error::Error>> {
    let mut figures = Vec::new();
    for scenario in SCENARIOS {
        let name = serde_json::to_value(scenario)?;
        if only.is_some_and(|only| name != only) {
            continue;
        }
        for policy in POLICIES {
            figures.push(task::block_on(measure_policy(scenario, policy))?);
        }
    }
    Ok(figures)
}

/// Fleet under one policy and scenario.
struct PolicyRun {
    fleet: LoopbackFleet,
    daemons: Vec<Daemon>,
    home_endpoints: Vec<FakeEndpoint>,
    pipeline: Arc<Pipeline>,
    baseline: Option<Arc<Baseline>>,
}

/// Results of the measured requests.
#[derive(Default)]
struct Counts {
    requests: AtomicU64,
    met: AtomicU64,
    refused: AtomicU64,
    wrong: AtomicU64,
}

/// Starts the fakes and, for boragepass, two daemons that know all endpoints of the home region.
async fn start(scenario: Scenario, policy: Policy) -> Result<PolicyRun, Box<dyn std::error::Error>> {
    let mut fleet =
        LoopbackFleet::start(LoopbackFleetSettings { limits: Limits::default(), ..LoopbackFleetSettings::default() })
            .await?;
    fleet.commit_list_edit(ListEdit::SetPlan(plan(WORKSPACE, REQUEST_DEADLINE.as_millis() as u64, 1_000_000)));
    fleet.commit_list_edit(ListEdit::SetAllowlist(allowlist(WORKSPACE, &[HOME_REGION, REMOTE_REGION])));
    let home_pools = [("encoders", 5, 5), ("retrievers", 5, 5), ("rerankers", 3, 5), ("engines", 20, 20)];
    let remote_pools = [("encoders", 3, 5), ("retrievers", 3, 5), ("rerankers", 3, 5), ("engines", 10, 20)];
    let mut home_endpoints = Vec::new();
    for (pool, count, stage_ms) in home_pools {
        for number in 1..=count {
            let settings = endpoint_settings(format!("{pool}-{number}"), stage_ms, 0);
            home_endpoints.push(fleet.add_endpoint(settings, pool, HOME_REGION).await?);
        }
    }
    for (pool, count, stage_ms) in remote_pools {
        for number in 1..=count {
            let settings = endpoint_settings(format!("{REMOTE_REGION}-{pool}-{number}"), stage_ms, REMOTE_DELAY_MS);
            fleet.add_endpoint(settings, pool, REMOTE_REGION).await?;
        }
    }
    if scenario == Scenario::StaleLoadReports {
        home_endpoints.iter().for_each(|endpoint| endpoint.set_faults(|faults| faults.are_reports_frozen = true));
    }
    let pipeline = pipelines().into_iter().find(|known| known.id.as_str() == "contract-review");
    let pipeline = pipeline.ok_or("the fakes have no pipeline contract-review")?;
    let mut daemons = Vec::new();
    if policy == Policy::Boragepass {
        for number in 1..=2 {
            daemons.push(fleet.add_daemon(&format!("lagos-{number}"), HOME_REGION, &format!("lagos-{number}")).await?);
        }
        for daemon in &daemons {
            let endpoint_count = home_endpoints.len();
            let is_ready = |status: &boragepass_wire::WireFleetStatus| {
                status.admits
                    && status.endpoints.iter().filter(|endpoint| endpoint.age_ms.is_some()).count() >= endpoint_count
            };
            if !fleet.wait_for_status(daemon, is_ready).await {
                return Err("a daemon did not become ready in time".into());
            }
        }
    }
    let selection_rule = match policy {
        Policy::Boragepass => None,
        Policy::UniformRandom => Some(SelectionRule::UniformRandom),
        Policy::RoundRobin => Some(SelectionRule::RoundRobin),
    };
    let baseline = selection_rule.map(|rule| Arc::new(Baseline::new(rule, pipeline.clone(), &home_endpoints)));
    Ok(PolicyRun { fleet, daemons, home_endpoints, pipeline, baseline })
}

fn endpoint_settings(name: String, stage_ms: u64, network_delay_ms: u64) -> FakeEndpointSettings {
    FakeEndpointSettings {
        name,
        slots: 4,
        stage_ms,
        token_ms: TOKEN_MS,
        tokens: TOKENS_PER_ANSWER,
        network_delay_ms,
        models: vec!["contract-7b".to_owned(), "assistant-3b".to_owned()],
        report_lag_ms: 200,
        ..FakeEndpointSettings::default()
    }
}

/// Runs one policy under one scenario and counts its results.
async fn measure_policy(scenario: Scenario, policy: Policy) -> Result<AttainmentFigures, Box<dyn std::error::Error>> {
    let run = Arc::new(start(scenario, policy).await?);
    let counts = Arc::new(Counts::default());
    let faults = task::spawn(inject_faults(scenario, run.home_endpoints.clone()));
    let run_started = Instant::now();
    let mut sent_requests = Vec::new();
    let mut number = 0;
    let mut due = Duration::ZERO;
    while due < RUN_TIME {
        task::sleep(due.saturating_sub(run_started.elapsed())).await;
        let is_measured = due >= WARM_UP;
        let (run, counts) = (run.clone(), counts.clone());
        sent_requests.push(task::spawn(async move { run.send(number, is_measured, &counts).await }));
        number += 1;
        due += Duration::from_micros(1_000_000 / rate_per_s(scenario, due));
    }
    futures::future::join_all(sent_requests).await;
    faults.await;
    let (requests, met) = (counts.requests.load(Ordering::Relaxed), counts.met.load(Ordering::Relaxed));
    let stage_runs: u64 = run.fleet.endpoints.iter().map(FakeEndpoint::runs).sum();
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
        endpoint_work_ms: run.fleet.endpoints.iter().map(FakeEndpoint::work_ms).sum(),
        extra_runs: stage_runs.saturating_sub(number * stages),
    })
}

/// Requests a second at a time since the start of the run.
fn rate_per_s(scenario: Scenario, since_start: Duration) -> u64 {
    match scenario {
        Scenario::BurstOfThreeTimes if since_start >= BURST.0 && since_start < BURST.1 => {
            STEADY_RATE_PER_S * BURST_FACTOR
        }
        Scenario::HomeOverloaded => OVERLOAD_RATE_PER_S,
        _ => STEADY_RATE_PER_S,
    }
}

/// Injects the faults of a scenario at their times.
async fn inject_faults(scenario: Scenario, home_endpoints: Vec<FakeEndpoint>) {
    let engines: Vec<_> =
        home_endpoints.into_iter().filter(|endpoint| endpoint.name().starts_with("engines-")).collect();
    match scenario {
        Scenario::StragglerTenTimesSlower => {
            task::sleep(FIRST_FAULT_AFTER).await;
            engines[0].set_faults(|faults| faults.slow_factor = Some(10));
        }
        Scenario::TwoEndpointsCrashing => {
            task::sleep(FIRST_FAULT_AFTER).await;
            engines[0].crash();
            task::sleep(SECOND_FAULT_AFTER - FIRST_FAULT_AFTER).await;
            engines[1].crash();
        }
        Scenario::Steady | Scenario::BurstOfThreeTimes | Scenario::StaleLoadReports | Scenario::HomeOverloaded => {}
    }
}

impl PolicyRun {
    /// Sends a request and counts its result if it is measured.
    async fn send(&self, number: u64, is_measured: bool, counts: &Counts) {
        let input = format!("contract {number}");
        let expected = expected_answer(&self.pipeline, &input, TOKENS_PER_ANSWER);
        let sent_at = Instant::now();
        let (output, is_refused) = match &self.baseline {
            Some(baseline) => {
                (baseline.run(number, &input, REQUEST_DEADLINE).await.map(|output| output.to_string()), false)
            }
            None => self.send_to_daemon(number, &input).await,
        };
        let latency = sent_at.elapsed();
        if !is_measured {
            return;
        }
        counts.requests.fetch_add(1, Ordering::Relaxed);
        counts.refused.fetch_add(u64::from(is_refused), Ordering::Relaxed);
        match output {
            Some(output) if output != expected => {
                counts.wrong.fetch_add(1, Ordering::Relaxed);
            }
            Some(_) if latency <= REQUEST_DEADLINE => {
                counts.met.fetch_add(1, Ordering::Relaxed);
            }
            _ => {}
        }
    }

    /// Sends a request to one of the daemons; returns its output and whether it was refused.
    async fn send_to_daemon(&self, number: u64, input: &str) -> (Option<String>, bool) {
        let daemon = &self.daemons[number as usize % self.daemons.len()];
        let caller = Caller::new(WORKSPACE, &caller_key(WORKSPACE));
        let answer = caller.send(daemon.caller_address, "contract-review", &format!("r{number}"), input, None).await;
        (answer.output().map(ToOwned::to_owned), answer.name() == "not_run")
    }

    /// Returns the bytes that daemons report as sent across regions; 0 for baselines, which stay in the home region.
    async fn cross_region_bytes(&self) -> u64 {
        let Some(daemon) = self.daemons.first() else {
            return 0;
        };
        match self.fleet.send_operator_command(daemon, Method::Get, "/v1/usage", String::new()).await {
            Some(WireOperatorReply::Usage { reports, .. }) => {
                reports.iter().flat_map(|report| &report.costs).map(|cost| cost.cross_region_bytes).sum()
            }
            _ => 0,
        }
    }
}
