//! The daemon as a process of its own: settings, signals and exit status.

#![allow(clippy::unwrap_used, reason = "a test fails where it panics")]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use boragepass_core::{ListEdit, RowKey, RowValue, VmListEntry, VmState};
use boragepass_fakes::{
    Caller, FakeEndpointSettings, LoopbackFleet, LoopbackFleetSettings, OPERATOR_KEY, PEER_KEY, allowlist, caller_key,
    plan,
};

const REGION: &str = "lagos";
static NEXT_FILE: AtomicUsize = AtomicUsize::new(0);
const WITHIN: Duration = Duration::from_secs(60);

const PIPELINE: &str = "
[pipeline contract-review]
stages = encode, retrieve, review
[stage contract-review/encode]
kind = encode
pool = encoders
repeatable = true
expected_ms = 5
[stage contract-review/retrieve]
kind = retrieve
pool = retrievers
repeatable = true
expected_ms = 5
[stage contract-review/review]
kind = generate
pool = engines
model = contract-7b
repeatable = true
expected_ms = 25
";

struct Process {
    child: Child,
    callers: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        signal(&self.child, "-KILL");
        self.child.wait().ok();
    }
}

fn signal(child: &Child, name: &str) {
    Command::new("kill").args([name, &child.id().to_string()]).status().unwrap();
}

async fn platform() -> LoopbackFleet {
    let mut world = LoopbackFleet::start(LoopbackFleetSettings::default()).await.unwrap();
    world.commit_list_edit(ListEdit::SetPlan(plan("gigdesk", 20_000, 1_000)));
    world.commit_list_edit(ListEdit::SetAllowlist(allowlist("gigdesk", &[REGION])));
    for (pool, models) in [("encoders", &[][..]), ("retrievers", &[]), ("engines", &["contract-7b"])] {
        let settings = FakeEndpointSettings {
            name: format!("{pool}-1"),
            models: models.iter().map(|model| (*model).to_owned()).collect(),
            checks_fence: false,
            ..FakeEndpointSettings::default()
        };
        world.add_endpoint(settings, pool, REGION).await.unwrap();
    }
    world
}

fn settings_file(name: &str, text: &str) -> PathBuf {
    // Tests of this file run at once, each with its own platform.
    let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("boragepass-{}-{number}-{name}.ini", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn spawn(world: &LoopbackFleet, vm: &str) -> Process {
    let (table, objects, vm_list) = world.platform_addresses();
    let text = format!(
        "[node]\nvm = {vm}\nregion = {REGION}\nfailure_domain = {vm}\n\
         [listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
         [platform]\ntable = {table}\nobjects = {objects}\nvm_list = {vm_list}\n\
         [keys]\noperator = {OPERATOR_KEY}\npeer = {PEER_KEY}\n\
         [limits]\nlease_ms = 1500\norder_time_max_ms = 200\ndrain_linger_ms = 100\n{PIPELINE}"
    );
    let path = settings_file(vm, &text);
    let mut child = Command::new(env!("CARGO_BIN_EXE_boragepassd"))
        .args(["--settings", path.to_str().unwrap()])
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let line = lines.find_map(|line| line.ok().filter(|line| line.contains("callers "))).unwrap();
    // The rest of the log must be read, or the process would wait for a reader.
    std::thread::spawn(move || lines.for_each(drop));
    let address = |after: &str| -> SocketAddr {
        let rest = line.split(after).nth(1).unwrap();
        rest.split(',').next().unwrap().trim().parse().unwrap()
    };
    let (callers, peers) = (address("callers "), address("other VMs "));
    world.vm_list.put(VmListEntry::EntryVm {
        vm: vm.parse().unwrap(),
        region: REGION.parse().unwrap(),
        failure_domain: vm.parse().unwrap(),
        peer_address: peers,
        caller_address: callers,
        state: VmState::Live,
    });
    Process { child, callers }
}

async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < WITHIN, "{what} did not come to hold");
        task::sleep(Duration::from_millis(20)).await;
    }
}

async fn review_until_answered(process: &Process) {
    let caller = Caller::new("gigdesk", &caller_key("gigdesk"));
    let started = Instant::now();
    loop {
        let answer = caller.send(process.callers, "contract-review", "r1", "contract", None).await;
        if answer.name() == "answered" {
            return;
        }
        assert!(started.elapsed() < WITHIN, "{answer:?}");
        task::sleep(Duration::from_millis(50)).await;
    }
}

#[async_std::test]
async fn sigterm_drains_and_exits_0() {
    let world = platform().await;
    let mut process = spawn(&world, "vm-1");
    review_until_answered(&process).await;
    signal(&process.child, "-TERM");
    let status = process.child.wait().unwrap();
    assert_eq!(status.code(), Some(0));
}

#[test]
fn wrong_settings_exit_2() {
    let path = settings_file("wrong", "[node]\nvm = a b\n");
    let output =
        Command::new(env!("CARGO_BIN_EXE_boragepassd")).args(["--settings", path.to_str().unwrap()]).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains(":2: vm must contain only letters"), "{text}");
}

fn lease(world: &LoopbackFleet) -> Option<(String, u64)> {
    let state = world.table.state.lock().unwrap();
    match &state.row(&RowKey::Lease(REGION.parse().unwrap()))?.value {
        RowValue::Lease(lease) => Some((lease.holder.to_string(), lease.fence.0)),
        _ => None,
    }
}

#[async_std::test]
async fn lapsed_lease_with_resuming_holder() {
    let world = platform().await;
    let processes = [("vm-1", spawn(&world, "vm-1")), ("vm-2", spawn(&world, "vm-2"))];
    eventually("a lease", || lease(&world).is_some()).await;
    for (_, process) in &processes {
        review_until_answered(process).await;
    }
    let (holder, first_fence) = lease(&world).unwrap();
    let (_, paused) = processes.iter().find(|(vm, _)| *vm == holder).unwrap();
    let engine = world.endpoints.iter().find(|endpoint| endpoint.name() == "engines-1").unwrap();

    signal(&paused.child, "-STOP");
    eventually("a successor", || lease(&world).is_some_and(|(_, fence)| fence > first_fence)).await;
    engine.set_models(&["something-else"]);
    eventually("the successor's order", || engine.models() == ["contract-7b"]).await;
    let seen = engine.fences().len();

    // The holder resumes while the engine holds the wrong thing, which it would have put right.
    engine.set_models(&["something-else"]);
    signal(&paused.child, "-CONT");
    eventually("an order after the holder resumed", || {
        engine.fences().len() > seen && engine.models() == ["contract-7b"]
    })
    .await;
    review_until_answered(paused).await;
    let fences = engine.fences();
    assert!(fences.is_sorted(), "an order with an old fencing number arrived late: {fences:?}");
}
