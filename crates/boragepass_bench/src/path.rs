//! One daemon before fakes on loopback against calling the same fakes directly.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use boragepass_clients::{HttpClient, run_stage};
use boragepass_core::{AttemptTag, Dispatch, Limits, ListEdit, StageReply};
use boragepass_fakes::{
    Caller, FakeEndpointSettings, LoopbackFleet, LoopbackFleetSettings, allowlist, caller_key, expected_answer,
    pipelines, plan,
};
use boragepass_types::{AttemptId, Incarnation, Payload, Pipeline, Priority, SpanMs, StreamId};
use futures::lock::Mutex;
use serde::Serialize;

use crate::process::{heap_bytes, processor_time, resident_bytes};
use crate::times::Times;

const REGION: &str = "lagos";
const TOKENS: u32 = 4;
const CALLERS: usize = 96;
const PACED_RATE_PER_S: u64 = 1_000;
const PACED_FOR: Duration = Duration::from_secs(8);
const IN_FLIGHT: usize = 1_000;

/// Figures of the path.
#[derive(Debug, Clone, Serialize)]
pub struct PathFigures {
    /// Four-stage requests a second with callers that wait for each answer.
    pub requests_per_s: f64,
    /// Requests of that part.
    pub requests: u64,
    /// Answers that were wrong or missing.
    pub not_answered: u64,
    /// Processor time for one request, callers and fakes included.
    pub processor_us_per_request: f64,
    /// Median at half the target load, through the daemon.
    pub paced_p50_ms: f64,
    /// 99th percentile at half the target load, through the daemon.
    pub paced_p99_ms: f64,
    /// Median of calling the same fakes directly.
    pub direct_p50_ms: f64,
    /// 99th percentile of calling the same fakes directly.
    pub direct_p99_ms: f64,
    /// Added median.
    pub added_p50_ms: f64,
    /// Added 99th percentile.
    pub added_p99_ms: f64,
    /// Heap for one request in flight, callers and fakes included.
    pub heap_bytes_per_request_in_flight: u64,
    /// Resident memory after a tenth of the requests.
    pub resident_early_bytes: u64,
    /// Resident memory at the end.
    pub resident_late_bytes: u64,
    /// Heap after a tenth of the requests.
    pub heap_early_bytes: u64,
    /// Heap at the end.
    pub heap_late_bytes: u64,
}

struct Bench {
    world: LoopbackFleet,
    daemon: boragepass_server::Daemon,
    pipeline: Arc<Pipeline>,
}

async fn start() -> Result<Bench, Box<dyn std::error::Error>> {
    let limits = Limits::default();
    let mut world = LoopbackFleet::start(LoopbackFleetSettings { limits, ..LoopbackFleetSettings::default() }).await?;
    world.commit_list_edit(ListEdit::SetPlan(plan("gigdesk", 10_000, 1_000_000)));
    world.commit_list_edit(ListEdit::SetAllowlist(allowlist("gigdesk", &[REGION])));
    for (pool, count) in [("encoders", 3), ("retrievers", 3), ("rerankers", 3), ("engines", 4)] {
        for number in 1..=count {
            let settings = FakeEndpointSettings {
                name: format!("{pool}-{number}"),
                slots: 64,
                stage_ms: 0,
                token_ms: 0,
                tokens: TOKENS,
                models: vec!["contract-7b".to_owned(), "assistant-3b".to_owned()],
                ..FakeEndpointSettings::default()
            };
            world.add_endpoint(settings, pool, REGION).await?;
        }
    }
    let daemon = world.add_daemon("lagos-1", REGION, "lagos-a").await?;
    if !world.wait_ready(&daemon, 1).await {
        return Err("the daemon did not become ready".into());
    }
    let pipeline = pipelines().into_iter().find(|known| known.id.as_str() == "contract-review");
    Ok(Bench { world, daemon, pipeline: pipeline.ok_or("there is no such pipeline")? })
}

/// Measures the path with `requests` requests in its longest part.
pub fn path(requests: u64) -> Result<PathFigures, Box<dyn std::error::Error>> {
    task::block_on(async {
        let bench = start().await?;
        let (paced, _) = bench.paced(true).await;
        let (direct, _) = bench.paced(false).await;
        let (again, _) = bench.paced(true).await;
        let flood = bench.flood(requests).await;
        let heap_per_request = bench.heap_in_flight().await;
        let paced_p50 = paced.quantile_ms(0.5).min(again.quantile_ms(0.5));
        let paced_p99 = paced.quantile_ms(0.99).min(again.quantile_ms(0.99));
        Ok(PathFigures {
            requests_per_s: flood.answered as f64 / flood.took.as_secs_f64(),
            requests,
            not_answered: requests - flood.answered,
            processor_us_per_request: flood.processor.as_secs_f64() * 1e6 / requests as f64,
            paced_p50_ms: paced_p50,
            paced_p99_ms: paced_p99,
            direct_p50_ms: direct.quantile_ms(0.5),
            direct_p99_ms: direct.quantile_ms(0.99),
            added_p50_ms: paced_p50 - direct.quantile_ms(0.5),
            added_p99_ms: paced_p99 - direct.quantile_ms(0.99),
            heap_bytes_per_request_in_flight: heap_per_request,
            resident_early_bytes: flood.resident_early,
            resident_late_bytes: flood.resident_late,
            heap_early_bytes: flood.heap_early,
            heap_late_bytes: flood.heap_late,
        })
    })
}

struct Flood {
    answered: u64,
    took: Duration,
    processor: Duration,
    resident_early: u64,
    resident_late: u64,
    heap_early: u64,
    heap_late: u64,
}

impl Bench {
    /// Sends at half the target load, through the daemon or directly to the fakes.
    async fn paced(&self, through_daemon: bool) -> (Times, u64) {
        let times = Arc::new(Mutex::new(Times::new()));
        let caller = Caller::new("gigdesk", &caller_key("gigdesk"));
        let direct = Arc::new(Direct::new(self));
        let started = Instant::now();
        let mut sent = Vec::new();
        let mut number = 0;
        while started.elapsed() < PACED_FOR {
            let due = Duration::from_micros(number * 1_000_000 / PACED_RATE_PER_S);
            task::sleep(due.saturating_sub(started.elapsed())).await;
            let (caller, direct, times, vm) =
                (caller.clone(), direct.clone(), times.clone(), self.daemon.caller_address);
            sent.push(task::spawn(async move {
                let (id, input) = (format!("p{through_daemon}{number}"), format!("contract {number}"));
                let began = Instant::now();
                let is_answered = if through_daemon {
                    caller.send(vm, "contract-review", &id, &input, None).await.output().is_some()
                } else {
                    direct.run(&id, &input, number as usize).await
                };
                times.lock().await.add(began.elapsed());
                u64::from(is_answered)
            }));
            number += 1;
        }
        let answered = futures::future::join_all(sent).await.into_iter().sum();
        let times = std::mem::replace(&mut *times.lock().await, Times::new());
        (times, answered)
    }

    /// Callers that send their next request as soon as they have their answer.
    async fn flood(&self, requests: u64) -> Flood {
        let next = Arc::new(AtomicU64::new(0));
        let answered = Arc::new(AtomicU64::new(0));
        let processor_before = processor_time();
        let started = Instant::now();
        let mut callers = Vec::new();
        for _ in 0..CALLERS {
            let (next, answered, vm) = (next.clone(), answered.clone(), self.daemon.caller_address);
            let caller = Caller::new("gigdesk", &caller_key("gigdesk"));
            let pipeline = self.pipeline.clone();
            callers.push(task::spawn(async move {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= requests {
                        return;
                    }
                    let input = format!("contract {number}");
                    let answer = caller.send(vm, "contract-review", &format!("f{number}"), &input, None).await;
                    let is_right = answer.output() == Some(expected_answer(&pipeline, &input, TOKENS).as_str());
                    answered.fetch_add(u64::from(is_right), Ordering::Relaxed);
                }
            }));
        }
        while next.load(Ordering::Relaxed) < requests / 10 {
            task::sleep(Duration::from_millis(50)).await;
        }
        let (resident_early, heap_early) = (resident_bytes(), heap_bytes());
        futures::future::join_all(callers).await;
        Flood {
            answered: answered.load(Ordering::Relaxed),
            took: started.elapsed(),
            processor: processor_time().saturating_sub(processor_before),
            resident_early,
            resident_late: resident_bytes(),
            heap_early,
            heap_late: heap_bytes(),
        }
    }

    /// Heap for requests whose engines do not answer.
    async fn heap_in_flight(&self) -> u64 {
        for engine in self.world.endpoints.iter().filter(|endpoint| endpoint.name().starts_with("engines")) {
            engine.set_faults(|faults| faults.is_leaving = false);
        }
        for encoder in self.world.endpoints.iter().filter(|endpoint| endpoint.name().starts_with("encoders")) {
            encoder.set_hanging(true);
        }
        let before = heap_bytes();
        let mut sent = Vec::new();
        for number in 0..IN_FLIGHT {
            let vm = self.daemon.caller_address;
            sent.push(task::spawn(async move {
                let caller = Caller::new("gigdesk", &caller_key("gigdesk"));
                let (id, input) = (format!("h{number}"), format!("contract h{number}"));
                caller.send(vm, "contract-review", &id, &input, None).await.output().is_some()
            }));
        }
        task::sleep(Duration::from_secs(2)).await;
        let during = heap_bytes();
        for encoder in self.world.endpoints.iter().filter(|endpoint| endpoint.name().starts_with("encoders")) {
            encoder.set_hanging(false);
        }
        futures::future::join_all(sent).await;
        during.saturating_sub(before) / IN_FLIGHT as u64
    }
}

/// Calls the fakes without a daemon.
struct Direct {
    client: HttpClient,
    pools: Vec<Vec<SocketAddr>>,
    pipeline: Arc<Pipeline>,
}

impl Direct {
    fn new(bench: &Bench) -> Self {
        let pool_of = |pool: &str| {
            let members = bench.world.endpoints.iter().filter(|endpoint| endpoint.name().starts_with(pool));
            members.filter_map(boragepass_fakes::FakeEndpoint::address).collect()
        };
        let pools = bench.pipeline.stages.iter().map(|stage| pool_of(stage.pool.as_str())).collect();
        Self { client: HttpClient::default(), pools, pipeline: bench.pipeline.clone() }
    }

    async fn run(&self, id: &str, input: &str, turn: usize) -> bool {
        let mut input = Payload::new(input);
        for (index, stage) in self.pipeline.stages.iter().enumerate() {
            let pool = &self.pools[index];
            let Some(address) = pool.get(turn % pool.len().max(1)).copied() else {
                return false;
            };
            let tag = AttemptTag {
                vm: "direct".parse().expect("the name is valid"),
                incarnation: Incarnation(1),
                request: id.parse().expect("the ids of the bench are valid"),
                stage: stage.id.clone(),
                attempt: AttemptId(turn as u64 * 8 + index as u64),
            };
            let dispatch = Dispatch {
                tag,
                endpoint: "direct".parse().expect("the name is valid"),
                address,
                kind: stage.kind,
                model: stage.model.clone(),
                adapter: None,
                priority: Priority(5),
                input: input.clone(),
                stream: StreamId(0),
                resume: None,
                left_ms: SpanMs(10_000),
                idempotency_key: None,
            };
            match run_one(&self.client, &dispatch).await {
                Some(output) => input = output,
                None => return false,
            }
        }
        true
    }
}

/// Runs a stage and gives its output.
pub(crate) async fn run_one(client: &HttpClient, dispatch: &Dispatch) -> Option<Payload> {
    let mut output = None;
    let mut text = String::new();
    let not_after = Instant::now() + Duration::from_secs(60);
    let taken = run_stage(client, dispatch, not_after, |(_, reply)| match reply {
        StageReply::Whole { output: whole } => output = Some(whole),
        StageReply::Tokens { text: more, .. } => text.push_str(&more.0),
        StageReply::StreamEnd { .. } => output = Some(Payload::new(&text)),
        StageReply::Rejected | StageReply::Busy | StageReply::NotSent | StageReply::Lost => {}
    });
    taken.await.ok()?;
    output
}
