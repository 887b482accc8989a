//! Baseline policies: uniform random or round-robin selection in the home region, with immediate retries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use boragepass_clients::HttpClient;
use boragepass_core::{AttemptTag, Dispatch};
use boragepass_fakes::FakeEndpoint;
use boragepass_types::{AttemptId, Incarnation, Payload, Pipeline, Priority, SpanMs, StreamId};
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::path::run_single_stage;

const ATTEMPTS_PER_STAGE_MAX: usize = 3;

/// How a baseline selects an endpoint of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SelectionRule {
    UniformRandom,
    RoundRobin,
}

/// Policy that knows neither load, limits nor health of endpoints.
pub(crate) struct Baseline {
    selection_rule: SelectionRule,
    client: HttpClient,
    pools: Vec<Vec<SocketAddr>>,
    pipeline: Arc<Pipeline>,
    /// Round-robin counter of each stage's pool.
    turn_counters: Vec<AtomicUsize>,
}

impl Baseline {
    /// Creates a baseline over the endpoints of the home region, which are grouped into pools by their names.
    pub(crate) fn new(selection_rule: SelectionRule, pipeline: Arc<Pipeline>, home_endpoints: &[FakeEndpoint]) -> Self {
        let pool_of = |pool: &str| {
            let prefix = format!("{pool}-");
            let members = home_endpoints.iter().filter(|endpoint| endpoint.name().starts_with(&prefix));
            members.filter_map(FakeEndpoint::address).collect()
        };
        let pools: Vec<_> = pipeline.stages.iter().map(|stage| pool_of(stage.pool.as_str())).collect();
        let turn_counters = pools.iter().map(|_| AtomicUsize::new(0)).collect();
        Self { selection_rule, client: HttpClient::default(), pools, pipeline, turn_counters }
    }

    fn select_endpoint(&self, stage: usize, rng: &mut SmallRng) -> Option<SocketAddr> {
        let pool = &self.pools[stage];
        let index = match self.selection_rule {
            SelectionRule::UniformRandom => rng.random_range(0..pool.len().max(1)),
            SelectionRule::RoundRobin => self.turn_counters[stage].fetch_add(1, Ordering::Relaxed) % pool.len().max(1),
        };
        pool.get(index).copied()
    }

    /// Runs all stages; returns `None` if a stage failed on every attempt or the deadline passed.
    pub(crate) async fn run(&self, number: u64, input: &str, deadline: Duration) -> Option<Payload> {
        let mut rng = SmallRng::seed_from_u64(number);
        let started = Instant::now();
        let mut input = Payload::new(input);
        for index in 0..self.pipeline.stages.len() {
            let mut output = None;
            for attempt in 0..ATTEMPTS_PER_STAGE_MAX {
                let time_left = deadline.saturating_sub(started.elapsed());
                let address = self.select_endpoint(index, &mut rng)?;
                let dispatch = self.build_dispatch(number, index, attempt, address, &input, time_left);
                // Only the deadline of the whole request applies; a baseline has no timeout for a single attempt.
                output = timeout(time_left, run_single_stage(&self.client, &dispatch)).await.ok()?;
                if output.is_some() {
                    break;
                }
            }
            input = output?;
        }
        Some(input)
    }

    fn build_dispatch(
        &self,
        number: u64,
        index: usize,
        attempt: usize,
        address: SocketAddr,
        input: &Payload,
        time_left: Duration,
    ) -> Dispatch {
        let stage = &self.pipeline.stages[index];
        let attempt = number * 100 + (index * ATTEMPTS_PER_STAGE_MAX + attempt) as u64;
        Dispatch {
            tag: AttemptTag {
                vm: "baseline".parse().expect("the name is valid"),
                incarnation: Incarnation(1),
                request: format!("r{number}").parse().expect("the ids of the bench are valid"),
                stage: stage.id.clone(),
                attempt: AttemptId(attempt),
            },
            endpoint: "baseline".parse().expect("the name is valid"),
            address,
            kind: stage.kind,
            model: stage.model.clone(),
            adapter: None,
            priority: Priority(5),
            input: input.clone(),
            stream: StreamId(attempt),
            resume: None,
            left_ms: SpanMs(time_left.as_millis() as u64),
            idempotency_key: None,
        }
    }
}
