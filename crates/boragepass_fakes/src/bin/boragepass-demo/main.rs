//! `boragepass-demo`: the whole path on embedded stand-ins, with failures midway.
//!
//! Three daemons, both workloads of the brief, one endpoint killed and one VM drained under load,
//! one list changed, a harmful contract and a few refusals. The counts come from the callers and
//! the stand-ins, not from the daemons.

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
const LOAD_PAUSE: Duration = Duration::from_millis(15);

/// Shows the whole path on embedded stand-ins.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// print one JSON object and nothing else
    json: bool,
}

/// The installation with its daemons.
struct Demo {
    world: LoopbackFleet,
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
            ExitCode::from(u8::from(!tally.is_sound()))
        }
        Err(problem) => {
            eprintln!("{problem}");
            ExitCode::FAILURE
        }
    }
}

type Problem = Box<dyn std::error::Error>;

async fn run(is_quiet: bool) -> Result<Tally, Problem> {
    let mut demo = Demo::start(is_quiet).await?;
    demo.introduce();
    demo.serve_one_of_each().await;
    demo.kill_an_endpoint_under_load().await;
    demo.meet_a_harmful_contract().await;
    demo.change_a_list().await?;
    demo.refuse().await;
    demo.drain_a_vm_under_load().await;
    demo.finish()
}

impl Demo {
    async fn start(is_quiet: bool) -> Result<Self, Problem> {
        let limits = Limits { drain_linger_ms: SpanMs(500), address_valid_ms: SpanMs(500), ..Limits::default() };
        let settings = LoopbackFleetSettings { limits, ..LoopbackFleetSettings::default() };
        let mut world = LoopbackFleet::start(settings).await?;
        for workspace in ["gigdesk", "lampu-lestari"] {
            world.commit_list_edit(ListEdit::SetPlan(plan(workspace, DEADLINE_MS, 1_000)));
            world.commit_list_edit(ListEdit::SetAllowlist(allowlist(workspace, &[REGION])));
        }
        let pools = [("encoders", 2), ("retrievers", 2), ("rerankers", 2), ("payouts", 2), ("members", 2)];
        for (pool, count) in pools {
            for number in 1..=count {
                let name = format!("{pool}-{number}");
                let settings = FakeEndpointSettings { name, ..FakeEndpointSettings::default() };
                world.add_endpoint(settings, pool, REGION).await?;
            }
        }
        for number in 1..=5 {
            let settings = FakeEndpointSettings {
                name: format!("engine-{number}"),
                models: vec!["contract-7b".to_owned(), "assistant-3b".to_owned()],
                tokens: TOKENS,
                ..FakeEndpointSettings::default()
            };
            world.add_endpoint(settings, "engines", REGION).await?;
        }
        let mut daemons = Vec::new();
        for (vm, failure_domain) in [("lagos-1", "lagos-a"), ("lagos-2", "lagos-b"), ("lagos-3", "lagos-c")] {
            daemons.push(world.add_daemon(vm, REGION, failure_domain).await?);
        }
        for daemon in &daemons {
            if !world.wait_ready(daemon, 3).await {
                return Err("a daemon did not become ready".into());
            }
        }
        Ok(Self { world, daemons, tally: Arc::default(), is_quiet })
    }

    fn say(&self, text: impl AsRef<str>) {
        if !self.is_quiet {
            println!("{}", text.as_ref());
        }
    }

    fn introduce(&self) {
        self.say("Three entry VMs serve two customers in front of stand-ins for the platform and the endpoints.");
        for (index, daemon) in self.daemons.iter().enumerate() {
            self.say(format!("  lagos-{}: callers {}, operators {}", index + 1, daemon.callers, daemon.operators));
        }
    }

    fn sender(&self, workspace: &str) -> Sender {
        Sender {
            caller: Caller::new(workspace, &caller_key(workspace)),
            vms: self.daemons.iter().map(|daemon| daemon.callers).collect(),
            tally: self.tally.clone(),
        }
    }

    async fn serve_one_of_each(&self) {
        self.say("\n1. A bandleader has a contract reviewed, and a driver books a pickup with its payout credit.");
        let gigdesk = self.sender("gigdesk");
        let review = gigdesk.send("contract-review", "review-1", "contract of a drummer in Abuja", None).await;
        self.say(format!("  review-1: {}, {}", review.name(), review.output().unwrap_or("no answer")));
        let lampu = self.sender("lampu-lestari");
        let booking = lampu.send("pickup-booking", "booking-1", "pickup of 40 kg in Garut", Some("garut-40")).await;
        self.say(format!("  booking-1: {}, {}", booking.name(), booking.output().unwrap_or("no answer")));
        let again = lampu.send("pickup-booking", "booking-1-again", "pickup of 40 kg in Garut", Some("garut-40")).await;
        self.say(format!("  the driver sends it again under another id: {}, the same answer", again.name()));
        self.explain("review-1").await;
        self.explain("booking-1").await;
    }

    async fn explain(&self, request: &str) {
        let path = format!("/v1/explain/{request}");
        let Some(daemon) = self.daemons.last() else {
            return;
        };
        let reply = self.world.send_operator_command(daemon, Method::Get, &path, String::new()).await;
        let Some(WireOperatorReply::Explained { traces, .. }) = reply else {
            return;
        };
        self.say(format!("  why {request} went the way it did:"));
        for trace in traces {
            for (after_ms, text) in &trace.lines {
                self.say(format!("    {} +{after_ms} ms: {text}", trace.vm));
            }
        }
    }

    /// Sends requests of both workloads in quick succession and does `midway` among them.
    async fn load(&self, label: &str, midway: impl Future<Output = ()>) {
        let mut sent = Vec::new();
        let first = self.send_some(label, 0..LOAD_REQUESTS / 2, &mut sent);
        first.await;
        midway.await;
        self.send_some(label, LOAD_REQUESTS / 2..LOAD_REQUESTS, &mut sent).await;
        futures::future::join_all(sent).await;
    }

    async fn send_some(&self, label: &str, numbers: std::ops::Range<usize>, sent: &mut Vec<task::JoinHandle<()>>) {
        for number in numbers {
            let is_booking = number % 3 == 0;
            let sender = self.sender(if is_booking { "lampu-lestari" } else { "gigdesk" });
            let id = format!("{label}-{number}");
            sent.push(task::spawn(async move {
                if is_booking {
                    let input = format!("pickup {id}");
                    sender.send("pickup-booking", &id, &input, Some(&id)).await;
                } else {
                    sender.send("contract-review", &id, &format!("contract {id}"), None).await;
                }
            }));
            task::sleep(LOAD_PAUSE).await;
        }
    }

    fn tally(&self) -> Tally {
        self.tally.lock().expect("no holder of this lock panics").clone()
    }

    fn say_difference(&self, before: &Tally) {
        let now = self.tally();
        self.say(format!(
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
        self.say(
            "\n2. Under load, engine-1 is killed. What ran there is tried again elsewhere within the retry budget.",
        );
        let before = self.tally();
        self.load("killed", async { self.engine("engine-1").crash() }).await;
        self.say_difference(&before);
    }

    fn engine(&self, name: &str) -> &boragepass_fakes::FakeEndpoint {
        let found = self.world.endpoints.iter().find(|endpoint| endpoint.name() == name);
        found.expect("the demo has started this engine")
    }

    async fn meet_a_harmful_contract(&self) {
        self.say("\n3. A contract crashes each engine that reads it. Its sender tries three times, under new ids.");
        for engine in self.world.endpoints.iter().filter(|endpoint| endpoint.name().starts_with("engine-")) {
            engine.set_faults(|faults| faults.crash_on = Some("poisoned".to_owned()));
        }
        let before = self.lost_engines();
        let sender = self.sender("gigdesk");
        for attempt in 1..=3 {
            let id = format!("harmful-{attempt}");
            let answer = sender.send_raw("contract-review", &id, "contract poisoned").await;
            let reason = match &answer {
                CallerAnswer::Outcome(json) => json.reason.clone().unwrap_or_default(),
                _ => String::new(),
            };
            self.say(format!("  {id}: {}, {reason}", answer.name()));
        }
        let crashed = self.lost_engines() - before;
        let mut quarantined = 0;
        for daemon in &self.daemons {
            let reply = self.world.send_operator_command(daemon, Method::Get, "/v1/quarantine", String::new()).await;
            let is_there = matches!(reply, Some(WireOperatorReply::Quarantine { entries }) if !entries.is_empty());
            quarantined += u64::from(is_there);
        }
        self.tally.lock().expect("no holder of this lock panics").quarantined_on_vms = quarantined;
        self.say(format!("  engines lost to it: {crashed}; in quarantine on {quarantined} VMs."));
    }

    fn lost_engines(&self) -> u64 {
        self.world.endpoints.iter().map(boragepass_fakes::FakeEndpoint::crashes).sum()
    }

    async fn change_a_list(&self) -> Result<(), Problem> {
        self.say("\n4. An operator shortens Gigdesk's deadline to 4 s; another one was a moment too late.");
        let body = serde_json::to_string(&WirePlan::from(&plan("gigdesk", 4_000, 1_000)))?;
        let version = self.world.status(&self.daemons[0]).await.and_then(|status| status.lists).unwrap_or(0);
        let path = format!("/v1/plans?expect_version={version}");
        let started = Instant::now();
        let first = self.world.send_operator_command(&self.daemons[0], Method::Put, &path, body.clone()).await;
        self.say(format!("  first, on lagos-1: {first:?} after {} ms", started.elapsed().as_millis()));
        let second = self.world.send_operator_command(&self.daemons[1], Method::Put, &path, body).await;
        self.say(format!("  second, on lagos-2: {second:?}"));
        match first {
            Some(WireOperatorReply::Accepted { .. }) => Ok(()),
            other => Err(format!("the change was not accepted: {other:?}").into()),
        }
    }

    async fn refuse(&self) {
        self.say("\n5. Refusals, each true: nothing of the request ran.");
        let stranger = Sender { caller: Caller::new("gigdesk", "not-the-key"), ..self.sender("gigdesk") };
        let answer = stranger.send("contract-review", "refused-1", "contract", None).await;
        self.say(format!("  a foreign key: {}", describe(&answer)));
        let lampu = self.sender("lampu-lestari");
        let answer = lampu.send("pickup-booking", "refused-2", "pickup", None).await;
        self.say(format!("  a booking without idempotency_key: {}", describe(&answer)));
        self.world.table.set_faults(|faults| faults.is_down = true);
        let answer = lampu.send("pickup-booking", "refused-3", "pickup", Some("refused-3")).await;
        self.say(format!("  a booking while the table service is down: {}", describe(&answer)));
        let answer = self.sender("gigdesk").send("contract-review", "not-refused", "contract", None).await;
        self.say(format!("  a review meanwhile: {}", answer.name()));
        self.world.table.set_faults(|faults| faults.is_down = false);
    }

    async fn drain_a_vm_under_load(&mut self) {
        self.say(
            "\n6. Under load, lagos-1 is stopped as planned. It finishes what it runs and sends the rest elsewhere.",
        );
        let before = self.tally();
        self.load("drained", async { self.daemons[0].terminate().await }).await;
        let drained = self.daemons.remove(0);
        drained.wait().await;
        self.say_difference(&before);
    }

    fn finish(&self) -> Result<Tally, Problem> {
        let mut tally = self.tally();
        tally.note_world(&self.world);
        self.say(format!(
            "\nIn all: {} requests, {} answered, {} within the deadline, {} not run, {} failed, {} unknown.",
            tally.requests, tally.answered, tally.deadline_met, tally.not_run, tally.failed, tally.unknown,
        ));
        self.say(format!(
            "Counted by the callers and the stand-ins: {} lost, {} doubled, {} misdelivered, {} run at most for a key.",
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

/// A caller that turns to the next address when one does not serve it.
struct Sender {
    caller: Caller,
    vms: Vec<std::net::SocketAddr>,
    tally: Arc<Mutex<Tally>>,
}

impl Sender {
    async fn send(&self, pipeline: &str, id: &str, input: &str, key: Option<&str>) -> CallerAnswer {
        let started = Instant::now();
        let answer = self.send_to_first_that_serves(pipeline, id, input, key).await;
        let took_ms = started.elapsed().as_millis() as u64;
        let known = pipelines().into_iter().find(|known| known.id.as_str() == pipeline);
        let expected = known.map(|known| expected_answer(&known, input, TOKENS)).unwrap_or_default();
        let mut tally = self.tally.lock().expect("no holder of this lock panics");
        tally.note(&answer, &expected, took_ms, DEADLINE_MS);
        answer
    }

    /// Sends without comparing the answer.
    async fn send_raw(&self, pipeline: &str, id: &str, input: &str) -> CallerAnswer {
        self.send(pipeline, id, input, None).await
    }

    async fn send_to_first_that_serves(
        &self,
        pipeline: &str,
        id: &str,
        input: &str,
        key: Option<&str>,
    ) -> CallerAnswer {
        let mut addresses = self.addresses().await;
        addresses.extend(&self.vms);
        let mut last = CallerAnswer::NotSent;
        for address in addresses {
            last = self.caller.send(address, pipeline, id, input, key).await;
            let is_elsewhere = match &last {
                CallerAnswer::Outcome(json) => json.outcome == "not_run" && !json.addresses.is_empty(),
                CallerAnswer::NotSent | CallerAnswer::ConnectionLost => true,
            };
            if !is_elsewhere {
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
