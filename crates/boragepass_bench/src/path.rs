//! Compares requests through one daemon in front of fake endpoints on loopback with calling the same fakes directly.

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
use crate::times::LatencyHistogram;

const REGION: &str = "lagos";
const TOKENS_PER_ANSWER: u32 = 4;
const CALLERS: usize = 96;
/// Rate of the latency measurement: half the target load.
const PACED_RATE_PER_S: u64 = 1_000;
const PACED_TIME: Duration = Duration::from_secs(8);
const REQUESTS_IN_FLIGHT: usize = 1_000;

/// Throughput, latency and memory of one daemon; callers and fake endpoints run in the same process.
#[derive(Debug, Clone, Serialize)]
pub struct PathFigures {
    /// Four-stage requests a second, with callers that send the next request when the last one is answered.
    pub requests_per_s: f64,
    /// Requests of the measurement of `requests_per_s`.
    pub requests: u64,
    /// Requests of that measurement whose answer was wrong or missing.
    pub not_answered: u64,
    /// Processor time for one request, callers and fakes included.
    pub processor_us_per_request: f64,
    /// Median latency through the daemon, at half the target load.
    pub paced_p50_ms: f64,
    /// 99th percentile of the latency through the daemon, at half the target load.
    pub paced_p99_ms: f64,
    /// Median latency of calling the same fakes directly.
    pub direct_p50_ms: f64,
    /// 99th percentile of the latency of calling the same fakes directly.
    pub direct_p99_ms: f64,
    /// Difference of the medians.
    pub added_p50_ms: f64,
    /// Difference of the 99th percentiles.
    pub added_p99_ms: f64,
    /// Heap for one request in flight, callers and fakes included.
    pub heap_bytes_per_request_in_flight: u64,
    /// Resident memory when a tenth of the requests was sent.
    pub resident_early_bytes: u64,
    /// Resident memory at the end.
    pub resident_late_bytes: u64,
    /// Heap when a tenth of the requests was sent.
    pub heap_early_bytes: u64,
    /// Heap at the end.
    pub heap_late_bytes: u64,
}

/// Running daemon with its fake endpoints.
struct PathBench {
    fleet: LoopbackFleet,
    daemon: boragepass_server::Daemon,
    pipeline: Arc<Pipeline>,
}

/// Starts a daemon in front of fake endpoints that answer without delay.
async fn start() -> Result<PathBench, Box<dyn std::error::Error>> {
    let limits = Limits::default();
    let mut fleet = LoopbackFleet::start(LoopbackFleetSettings { limits, ..LoopbackFleetSettings::default() }).await?;
    fleet.commit_list_edit(ListEdit::SetPlan(plan("gigdesk", 10_000, 1_000_000)));
    fleet.commit_list_edit(ListEdit::SetAllowlist(allowlist("gigdesk", &[REGION])));
    for (pool, count) in [("encoders", 3), ("retrievers", 3), ("rerankers", 3), ("engines", 4)] {
        for number in 1..=count {
            let settings = FakeEndpointSettings {
                name: format!("{pool}-{number}"),
                slots: 64,
                stage_ms: 0,
                token_ms: 0,
                tokens: TOKENS_PER_ANSWER,
                models: vec!["contract-7b".to_owned(), "assistant-3b".to_owned()],
                ..FakeEndpointSettings::default()
            };
            fleet.add_endpoint(settings, pool, REGION).await?;
        }
    }
    let daemon = fleet.add_daemon("lagos-1", REGION, "lagos-a").await?;
    if !fleet.wait_ready(&daemon, 1).await {
        return Err("the daemon did not become ready in time".into());
    }
    let pipeline = pipelines().into_iter().find(|known| known.id.as_str() == "contract-review");
    Ok(PathBench { fleet, daemon, pipeline: pipeline.ok_or("the fakes have no pipeline contract-review")? })
}

/// Measures latency, throughput over `requests` requests, and heap for each request in flight.
pub fn measure_path(requests: u64) -> Result<PathFigures, Box<dyn std::error::Error>> {
    task::block_on(async {
        let bench = start().await?;
        let (paced, _) = bench.measure_latency(true).await;
        let (direct, _) = bench.measure_latency(false).await;
        let (paced_again, _) = bench.measure_latency(true).await;
        let throughput = bench.measure_throughput(requests).await;
        let heap_per_request = bench.measure_heap_in_flight().await;
        let paced_p50 = paced.quantile_ms(0.5).min(paced_again.quantile_ms(0.5));
        let paced_p99 = paced.quantile_ms(0.99).min(paced_again.quantile_ms(0.99));
        Ok(PathFigures {
            requests_per_s: throughput.answered as f64 / throughput.elapsed.as_secs_f64(),
            requests,
            not_answered: requests - throughput.answered,
            processor_us_per_request: throughput.processor_time_used.as_secs_f64() * 1e6 / requests as f64,
            paced_p50_ms: paced_p50,
            paced_p99_ms: paced_p99,
            direct_p50_ms: direct.quantile_ms(0.5),
            direct_p99_ms: direct.quantile_ms(0.99),
            added_p50_ms: paced_p50 - direct.quantile_ms(0.5),
            added_p99_ms: paced_p99 - direct.quantile_ms(0.99),
            heap_bytes_per_request_in_flight: heap_per_request,
            resident_early_bytes: throughput.resident_early,
            resident_late_bytes: throughput.resident_late,
            heap_early_bytes: throughput.heap_early,
            heap_late_bytes: throughput.heap_late,
        })
    })
}

/// Results of a throughput measurement.
struct Throughput {
    answered: u64,
    elapsed: Duration,
    processor_time_used: Duration,
    resident_early: u64,
    resident_late: u64,
    heap_early: u64,
    heap_late: u64,
}

impl PathBench {
    /// Sends requests at half the target load, through the daemon or directly to the fakes; returns their latencies and
    /// the number of answers.
    async fn measure_latency(&self, through_daemon: bool) -> (LatencyHistogram, u64) {
        let latencies = Arc::new(Mutex::new(LatencyHistogram::new()));
        let caller = Caller::new("gigdesk", &caller_key("gigdesk"));
        let direct = Arc::new(DirectCaller::new(self));
        let started = Instant::now();
        let mut sent_requests = Vec::new();
        let mut number = 0;
        while started.elapsed() < PACED_TIME {
            let due = Duration::from_micros(number * 1_000_000 / PACED_RATE_PER_S);
            task::sleep(due.saturating_sub(started.elapsed())).await;
            let (caller, direct, latencies, vm) =
                (caller.clone(), direct.clone(), latencies.clone(), self.daemon.caller_address);
            sent_requests.push(task::spawn(async move {
                let (id, input) = (format!("p{through_daemon}{number}"), format!("contract {number}"));
                let sent_at = Instant::now();
                let is_answered = if through_daemon {
                    caller.send(vm, "contract-review", &id, &input, None).await.output().is_some()
                } else {
                    direct.run(&id, &input, number as usize).await
                };
                latencies.lock().await.record(sent_at.elapsed());
                u64::from(is_answered)
            }));
            number += 1;
        }
        let answered = futures::future::join_all(sent_requests).await.into_iter().sum();
        let latencies = std::mem::replace(&mut *latencies.lock().await, LatencyHistogram::new());
        (latencies, answered)
    }

    /// Measures throughput with callers that send their next request as soon as the last one is answered.
    async fn measure_throughput(&self, requests: u64) -> Throughput {
        let next_number = Arc::new(AtomicU64::new(0));
        let answered = Arc::new(AtomicU64::new(0));
        let processor_before = processor_time();
        let started = Instant::now();
        let mut callers = Vec::new();
        for _ in 0..CALLERS {
            let (next_number, answered, vm) = (next_number.clone(), answered.clone(), self.daemon.caller_address);
            let caller = Caller::new("gigdesk", &caller_key("gigdesk"));
            let pipeline = self.pipeline.clone();
            callers.push(task::spawn(async move {
                loop {
                    let number = next_number.fetch_add(1, Ordering::Relaxed);
                    if number >= requests {
                        return;
                    }
                    let input = format!("contract {number}");
                    let answer = caller.send(vm, "contract-review", &format!("f{number}"), &input, None).await;
                    let is_correct =
                        answer.output() == Some(expected_answer(&pipeline, &input, TOKENS_PER_ANSWER).as_str());
                    answered.fetch_add(u64::from(is_correct), Ordering::Relaxed);
                }
            }));
        }
        while next_number.load(Ordering::Relaxed) < requests / 10 {
            task::sleep(Duration::from_millis(50)).await;
        }
        let (resident_early, heap_early) = (resident_bytes(), heap_bytes());
        futures::future::join_all(callers).await;
        Throughput {
            answered: answered.load(Ordering::Relaxed),
            elapsed: started.elapsed(),
            processor_time_used: processor_time().saturating_sub(processor_before),
            resident_early,
            resident_late: resident_bytes(),
            heap_early,
            heap_late: heap_bytes(),
        }
    }

    /// Measures the heap for one request in flight, while the encoders hang.
    async fn measure_heap_in_flight(&self) -> u64 {
        for engine in self.fleet.endpoints.iter().filter(|endpoint| endpoint.name().starts_with("engines")) {
            engine.set_faults(|faults| faults.is_leaving = false);
        }
        for encoder in self.fleet.endpoints.iter().filter(|endpoint| endpoint.name().starts_with("encoders")) {
            encoder.set_hanging(true);
        }
        let before = heap_bytes();
        let mut sent_requests = Vec::new();
        for number in 0..REQUESTS_IN_FLIGHT {
            let vm = self.daemon.caller_address;
            sent_requests.push(task::spawn(async move {
                let caller = Caller::new("gigdesk", &caller_key("gigdesk"));
                let (id, input) = (format!("h{number}"), format!("contract h{number}"));
                caller.send(vm, "contract-review", &id, &input, None).await.output().is_some()
            }));
        }
        task::sleep(Duration::from_secs(2)).await;
        let during = heap_bytes();
        for encoder in self.fleet.endpoints.iter().filter(|endpoint| endpoint.name().starts_with("encoders")) {
            encoder.set_hanging(false);
        }
        futures::future::join_all(sent_requests).await;
        during.saturating_sub(before) / REQUESTS_IN_FLIGHT as u64
    }
}

/// Runs pipelines by calling the fakes without a daemon.
struct DirectCaller {
    client: HttpClient,
    pools: Vec<Vec<SocketAddr>>,
    pipeline: Arc<Pipeline>,
}

impl DirectCaller {
    fn new(bench: &PathBench) -> Self {
        let pool_of = |pool: &str| {
            let members = bench.fleet.endpoints.iter().filter(|endpoint| endpoint.name().starts_with(pool));
            members.filter_map(boragepass_fakes::FakeEndpoint::address).collect()
        };
        let pools = bench.pipeline.stages.iter().map(|stage| pool_of(stage.pool.as_str())).collect();
        Self { client: HttpClient::default(), pools, pipeline: bench.pipeline.clone() }
    }

    /// Runs all stages, each on the pool's endpoint of this turn; returns whether all succeeded.
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
            match run_single_stage(&self.client, &dispatch).await {
                Some(output) => input = output,
                None => return false,
            }
        }
        true
    }
}

/// Runs one stage on the endpoint of the dispatch; returns `None` unless it succeeds.
pub(crate) async fn run_single_stage(client: &HttpClient, dispatch: &Dispatch) -> Option<Payload> {
    let mut output = None;
    let mut text = String::new();
    let give_up_at = Instant::now() + Duration::from_secs(60);
    let call = run_stage(client, dispatch, give_up_at, |(_, reply)| match reply {
        StageReply::Whole { output: whole_output } => output = Some(whole_output),
        StageReply::Tokens { text: token_text, .. } => text.push_str(&token_text.0),
        StageReply::StreamEnd { .. } => output = Some(Payload::new(&text)),
        StageReply::Rejected | StageReply::Busy | StageReply::NotSent | StageReply::Lost => {}
    });
    call.await.ok()?;
    output
}
