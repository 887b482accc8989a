//! Baselines: uniform random choice and round robin over the home region, with plain retries.

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

use crate::path::run_one;

const TRIES: usize = 3;

/// How a baseline chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Choice {
    UniformRandom,
    RoundRobin,
}

/// A policy without load, limits or health.
pub(crate) struct Baseline {
    choice: Choice,
    client: HttpClient,
    pools: Vec<Vec<SocketAddr>>,
    pipeline: Arc<Pipeline>,
    turns: Vec<AtomicUsize>,
}

impl Baseline {
    /// Baseline over the home region's endpoints.
    pub(crate) fn new(choice: Choice, pipeline: Arc<Pipeline>, home: &[FakeEndpoint]) -> Self {
        let pool_of = |pool: &str| {
            let prefix = format!("{pool}-");
            let members = home.iter().filter(|endpoint| endpoint.name().starts_with(&prefix));
            members.filter_map(FakeEndpoint::address).collect()
        };
        let pools: Vec<_> = pipeline.stages.iter().map(|stage| pool_of(stage.pool.as_str())).collect();
        let turns = pools.iter().map(|_| AtomicUsize::new(0)).collect();
        Self { choice, client: HttpClient::default(), pools, pipeline, turns }
    }

    fn choose(&self, stage: usize, rng: &mut SmallRng) -> Option<SocketAddr> {
        let pool = &self.pools[stage];
        let index = match self.choice {
            Choice::UniformRandom => rng.random_range(0..pool.len().max(1)),
            Choice::RoundRobin => self.turns[stage].fetch_add(1, Ordering::Relaxed) % pool.len().max(1),
        };
        pool.get(index).copied()
    }

    /// Runs all stages; `None` when a stage failed on every try or the deadline passed.
    pub(crate) async fn run(&self, number: u64, input: &str, deadline: Duration) -> Option<Payload> {
        let mut rng = SmallRng::seed_from_u64(number);
        let started = Instant::now();
        let mut input = Payload::new(input);
        for index in 0..self.pipeline.stages.len() {
            let mut output = None;
            for attempt in 0..TRIES {
                let left = deadline.saturating_sub(started.elapsed());
                let address = self.choose(index, &mut rng)?;
                let dispatch = self.dispatch(number, index, attempt, address, &input, left);
                // The deadline ends the whole request; a baseline has no limit for one attempt.
                output = timeout(left, run_one(&self.client, &dispatch)).await.ok()?;
                if output.is_some() {
                    break;
                }
            }
            input = output?;
        }
        Some(input)
    }

    fn dispatch(
        &self,
        number: u64,
        index: usize,
        attempt: usize,
        address: SocketAddr,
        input: &Payload,
        left: Duration,
    ) -> Dispatch {
        let stage = &self.pipeline.stages[index];
        let attempt = number * 100 + (index * TRIES + attempt) as u64;
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
            left_ms: SpanMs(left.as_millis() as u64),
            idempotency_key: None,
        }
    }
}
