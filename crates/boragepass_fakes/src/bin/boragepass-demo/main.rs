//! `boragepass-demo`: the whole system in one process on fakes, with injected failures.
//!
//! Three daemons serve two workloads while an engine is killed, a contract crashes engines, two
//! operators edit a plan at once, requests are refused and a VM is drained. The counts come from the
//! callers and the fakes, not from the daemons.

mod tally;

use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use boragepass_core::{Limits, ListEdit};
use boragepass_fakes::{
    Caller, CallerAnswer, FakeEndpointSettings, LoopbackFleet, LoopbackFleetSettings, allowlist, caller_key,
    expected_answer, pipelines, plan,
};
use boragepass_server::Daemon;
use boragepass_types::SpanMs;
use boragepass_wire::{WireOperatorReply, WirePlan};
use gumdrop::Options;
use http_types::Method;

use crate::tally::Tally;

const REGION: &str = "lagos";
const TOKENS: u32 = 16;
const DEADLINE_MS: u64 = 6_000;
const LOAD_REQUESTS: usize = 60;
const LOAD_INTERVAL: Duration = Duration::from_millis(15);

/// Runs the whole system in one process on fakes and injects failures.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// print one JSON object and nothing else
    json: bool,
}

/// The installation with its daemons and the counts so far.
struct Demo {
    fleet: LoopbackFleet,
    daemons: Vec<Daemon>,
    tally: Arc<Mutex<Tally>>,
    is_quiet: bool,
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    let arguments = Arguments::parse_args_default_or_exit();
    match task::block_on(run(arguments.json)) {
        Ok(tally) => {
            if arguments.json {
                println!("{}", serde_json::to_string(&tally).unwrap_or_default());
            }
            ExitCode::from(u8::from(!tally.has_no_violation()))
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

type DemoError = Box<dyn std::error::Error>;

async fn run(is_quiet: bool) -> Result<Tally, DemoError> {
    let mut demo = Demo::start(is_quiet).await?;
    demo.print_addresses();
    demo.send_one_request_of_each_workload().await;
    demo.kill_an_endpoint_under_load().await;
    demo.send_a_crashing_contract().await;
    demo.edit_a_plan_concurrently().await?;
    demo.show_refusals().await;
    demo.drain_a_vm_under_load().await;
    demo.finish()
}

impl Demo {
    async fn start(is_quiet: bool) -> Result<Self, DemoError> {
        let limits = Limits { drain_linger_ms: SpanMs(500), address_valid_ms: SpanMs(500), ..Limits::default() };
        let settings = LoopbackFleetSettings { limits, ..LoopbackFleetSettings::default() };
        let mut fleet = LoopbackFleet::start(settings).await?;
        for workspace in ["gigdesk", "lampu-lestari"] {
            fleet.commit_list_edit(ListEdit::SetPlan(plan(workspace, DEADLINE_MS, 1_000)));
            fleet.commit_list_edit(ListEdit::SetAllowlist(allowlist(workspace, &[REGION])));
        }
        let pools = [("encoders", 2), ("retrievers", 2), ("rerankers", 2), ("payouts", 2), ("members", 2)];
        for (pool, count) in pools {
            for number in 1..=count {
                let name = format!("{pool}-{number}");
                let settings = FakeEndpointSettings { name, ..FakeEndpointSettings::default() };
                fleet.add_endpoint(settings, pool, REGION).await?;
            }
        }
        for number in 1..=5 {
            let settings = FakeEndpointSettings {
                name: format!("engine-{number}"),
                models: vec!["contract-7b".to_owned(), "assistant-3b".to_owned()],
                tokens: TOKENS,
                ..FakeEndpointSettings::default()
            };
            fleet.add_endpoint(settings, "engines", REGION).await?;
        }
        let mut daemons = Vec::new();
        for (vm, failure_domain) in [("lagos-1", "lagos-a"), ("lagos-2", "lagos-b"), ("lagos-3", "lagos-c")] {
            daemons.push(fleet.add_daemon(vm, REGION, failure_domain).await?);
        }
        for daemon in &daemons {
            if !fleet.wait_ready(daemon, 3).await {
                return Err("a daemon did not become ready".into());
            }
        }
        Ok(Self { fleet, daemons, tally: Arc::default(), is_quiet })
    }

    fn print(&self, text: impl AsRef<str>) {
        if !self.is_quiet {
            println!("{}", text.as_ref());
        }
    }

    fn print_addresses(&self) {
        self.print("Three entry VMs serve two workspaces in front of fakes of the platform and the endpoints.");
        for (index, daemon) in self.daemons.iter().enumerate() {
            self.print(format!(
                "  lagos-{}: callers {}, operators {}",
                index + 1,
                daemon.caller_address,
                daemon.operator_address
            ));
        }
    }

    fn failover_caller(&self, workspace: &str) -> FailoverCaller {
        FailoverCaller {
            caller: Caller::new(workspace, &caller_key(workspace)),
            vms: self.daemons.iter().map(|daemon| daemon.caller_address).collect(),
            tally: self.tally.clone(),
        }
    }

    async fn send_one_request_of_each_workload(&self) {
        self.print("\n1. A bandleader has a contract reviewed, and a driver books a pickup with its payout credit.");
        let gigdesk = self.failover_caller("gigdesk");
        let review = gigdesk.send("contract-review", "review-1", "contract of a drummer in Abuja", None).await;
        self.print(format!("  review-1: {}, {}", review.name(), review.output().unwrap_or("no answer")));
        let lampu = self.failover_caller("lampu-lestari");
        let booking = lampu.send("pickup-booking", "booking-1", "pickup of 40 kg in Garut", Some("garut-40")).await;
        self.print(format!("  booking-1: {}, {}", booking.name(), booking.output().unwrap_or("no answer")));
        let again = lampu.send("pickup-booking", "booking-1-again", "pickup of 40 kg in Garut", Some("garut-40")).await;
        self.print(format!("  the driver sends it again under another id: {}, the same answer", again.name()));
        self.explain("review-1").await;
        self.explain("booking-1").await;
    }

    async fn explain(&self, request: &str) {
        let path = format!("/v1/explain/{request}");
        let Some(daemon) = self.daemons.last() else {
            return;
        };
        let reply = self.fleet.send_operator_command(daemon, Method::Get, &path, String::new()).await;
        let Some(WireOperatorReply::Explained { traces, .. }) = reply else {
            return;
        };
        self.print(format!("  trace of {request}:"));
        for trace in traces {
            for (after_ms, text) in &trace.lines {
                self.print(format!("    {} +{after_ms} ms: {text}", trace.vm));
            }
        }
    }

    /// Sends requests of both workloads at a fixed interval and runs `action` halfway.
    async fn send_load(&self, label: &str, action: impl Future<Output = ()>) {
        let mut send_tasks = Vec::new();
        let first_half = self.spawn_requests(label, 0..LOAD_REQUESTS / 2, &mut send_tasks);
        first_half.await;
        action.await;
        self.spawn_requests(label, LOAD_REQUESTS / 2..LOAD_REQUESTS, &mut send_tasks).await;
        futures::future::join_all(send_tasks).await;
    }

    async fn spawn_requests(
        &self,
        label: &str,
        numbers: std::ops::Range<usize>,
        send_tasks: &mut Vec<task::JoinHandle<()>>,
    ) {
        for number in numbers {
            let is_booking = number % 3 == 0;
            let sender = self.failover_caller(if is_booking { "lampu-lestari" } else { "gigdesk" });
            let id = format!("{label}-{number}");
            send_tasks.push(task::spawn(async move {
                if is_booking {
                    let input = format!("pickup {id}");
                    sender.send("pickup-booking", &id, &input, Some(&id)).await;
                } else {
                    sender.send("contract-review", &id, &format!("contract {id}"), None).await;
                }
            }));
            task::sleep(LOAD_INTERVAL).await;
        }
    }

    fn tally(&self) -> Tally {
        self.tally.lock().expect("no holder of this lock panics").clone()
    }

    fn print_difference(&self, before: &Tally) {
        let now = self.tally();
        self.print(format!(
            "  {} requests: {} answered, {} not run, {} failed, {} unknown, {} lost",
            now.requests - before.requests,
            now.answered - before.answered,
            now.not_run - before.not_run,
            now.failed - before.failed,
            now.unknown - before.unknown,
            now.lost - before.lost,
        ));
    }

    async fn kill_an_endpoint_under_load(&self) {
        self.print(
            "\n2. Under load, engine-1 is killed. Its stages are retried on other engines within the retry budget.",
        );
        let before = self.tally();
        self.send_load("killed", async { self.engine("engine-1").crash() }).await;
        self.print_difference(&before);
    }

    fn engine(&self, name: &str) -> &boragepass_fakes::FakeEndpoint {
        let found = self.fleet.endpoints.iter().find(|endpoint| endpoint.name() == name);
        found.expect("the demo has started this engine")
    }

    async fn send_a_crashing_contract(&self) {
        self.print("\n3. A contract crashes each engine that runs it. Its caller sends it three times, under new ids.");
        for engine in self.fleet.endpoints.iter().filter(|endpoint| endpoint.name().starts_with("engine-")) {
            engine.set_faults(|faults| faults.crash_on = Some("poisoned".to_owned()));
        }
        let crashes_before = self.engine_crash_count();
        let sender = self.failover_caller("gigdesk");
        for attempt in 1..=3 {
            let id = format!("harmful-{attempt}");
            let answer = sender.send_without_key("contract-review", &id, "contract poisoned").await;
            let reason = match &answer {
                CallerAnswer::Outcome(json) => json.reason.clone().unwrap_or_default(),
                _ => String::new(),
            };
            self.print(format!("  {id}: {}, {reason}", answer.name()));
        }
        let crashes = self.engine_crash_count() - crashes_before;
        let mut quarantined = 0;
        for daemon in &self.daemons {
            let reply = self.fleet.send_operator_command(daemon, Method::Get, "/v1/quarantine", String::new()).await;
            let has_entries = matches!(reply, Some(WireOperatorReply::Quarantine { entries }) if !entries.is_empty());
            quarantined += u64::from(has_entries);
        }
        self.tally.lock().expect("no holder of this lock panics").quarantined_on_vms = quarantined;
        self.print(format!("  engines crashed by it: {crashes}; in quarantine on {quarantined} VMs."));
    }

    fn engine_crash_count(&self) -> u64 {
        self.fleet.endpoints.iter().map(boragepass_fakes::FakeEndpoint::crashes).sum()
    }

    async fn edit_a_plan_concurrently(&self) -> Result<(), DemoError> {
        self.print("\n4. An operator shortens Gigdesk's deadline to 4 s; a second edit of the same version conflicts.");
        let body = serde_json::to_string(&WirePlan::from(&plan("gigdesk", 4_000, 1_000)))?;
        let version = self.fleet.status(&self.daemons[0]).await.and_then(|status| status.lists).unwrap_or(0);
        let path = format!("/v1/plans?expect_version={version}");
        let started = Instant::now();
        let first = self.fleet.send_operator_command(&self.daemons[0], Method::Put, &path, body.clone()).await;
        self.print(format!("  first, on lagos-1: {first:?} after {} ms", started.elapsed().as_millis()));
        let second = self.fleet.send_operator_command(&self.daemons[1], Method::Put, &path, body).await;
        self.print(format!("  second, on lagos-2: {second:?}"));
        match first {
            Some(WireOperatorReply::Accepted { .. }) => Ok(()),
            other => Err(format!("the change was not accepted: {other:?}").into()),
        }
    }

    async fn show_refusals(&self) {
        self.print("\n5. Refusals: nothing of a refused request ran.");
        let stranger =
            FailoverCaller { caller: Caller::new("gigdesk", "not-the-key"), ..self.failover_caller("gigdesk") };
        let answer = stranger.send("contract-review", "refused-1", "contract", None).await;
        self.print(format!("  a wrong key: {}", describe(&answer)));
        let lampu = self.failover_caller("lampu-lestari");
        let answer = lampu.send("pickup-booking", "refused-2", "pickup", None).await;
        self.print(format!("  a booking without idempotency_key: {}", describe(&answer)));
        self.fleet.table.set_faults(|faults| faults.is_down = true);
        let answer = lampu.send("pickup-booking", "refused-3", "pickup", Some("refused-3")).await;
        self.print(format!("  a booking while the table service is down: {}", describe(&answer)));
        let answer = self.failover_caller("gigdesk").send("contract-review", "not-refused", "contract", None).await;
        self.print(format!("  a review during the outage: {}", answer.name()));
        self.fleet.table.set_faults(|faults| faults.is_down = false);
    }

    async fn drain_a_vm_under_load(&mut self) {
        self.print("\n6. Under load, lagos-1 is drained. It finishes its requests in progress and redirects new ones.");
        let before = self.tally();
        self.send_load("drained", async { self.daemons[0].terminate().await }).await;
        let drained = self.daemons.remove(0);
        drained.wait().await;
        self.print_difference(&before);
    }

    fn finish(&self) -> Result<Tally, DemoError> {
        let mut tally = self.tally();
        tally.record_endpoint_counts(&self.fleet);
        self.print(format!(
            "\nIn all: {} requests, {} answered, {} within the deadline, {} not run, {} failed, {} unknown.",
            tally.requests, tally.answered, tally.deadline_met, tally.not_run, tally.failed, tally.unknown,
        ));
        self.print(format!(
            "Counted by the callers and the fakes: {} lost, {} run twice, {} misdelivered, at most {} run for a key.",
            tally.lost, tally.doubled, tally.misdelivered, tally.plain_runs_max_per_key,
        ));
        Ok(tally)
    }
}

fn describe(answer: &CallerAnswer) -> String {
    match answer {
        CallerAnswer::Outcome(json) => format!("{}, {}", json.outcome, json.reason.clone().unwrap_or_default()),
        other => other.name().to_owned(),
    }
}

/// A caller that tries the next address when a VM does not serve the request, and counts the answer.
struct FailoverCaller {
    caller: Caller,
    vms: Vec<std::net::SocketAddr>,
    tally: Arc<Mutex<Tally>>,
}

impl FailoverCaller {
    async fn send(&self, pipeline: &str, id: &str, input: &str, key: Option<&str>) -> CallerAnswer {
        let started = Instant::now();
        let answer = self.send_with_failover(pipeline, id, input, key).await;
        let elapsed_ms = started.elapsed().as_millis() as u64;
        let known = pipelines().into_iter().find(|known| known.id.as_str() == pipeline);
        let expected = known.map(|known| expected_answer(&known, input, TOKENS)).unwrap_or_default();
        let mut tally = self.tally.lock().expect("no holder of this lock panics");
        tally.record_answer(&answer, &expected, elapsed_ms, DEADLINE_MS);
        answer
    }

    /// Sends a request without an idempotency key.
    async fn send_without_key(&self, pipeline: &str, id: &str, input: &str) -> CallerAnswer {
        self.send(pipeline, id, input, None).await
    }

    async fn send_with_failover(&self, pipeline: &str, id: &str, input: &str, key: Option<&str>) -> CallerAnswer {
        let mut addresses = self.addresses().await;
        addresses.extend(&self.vms);
        let mut last = CallerAnswer::NotSent;
        for address in addresses {
            last = self.caller.send(address, pipeline, id, input, key).await;
            let should_try_next = match &last {
                CallerAnswer::Outcome(json) => json.outcome == "not_run" && !json.addresses.is_empty(),
                CallerAnswer::NotSent | CallerAnswer::ConnectionLost => true,
            };
            if !should_try_next {
                break;
            }
        }
        last
    }

    async fn addresses(&self) -> Vec<std::net::SocketAddr> {
        for vm in &self.vms {
            if let Some(answer) = self.caller.addresses(*vm, REGION).await {
                return answer.addresses.iter().filter_map(|address| address.parse().ok()).collect();
            }
        }
        Vec::new()
    }
}
