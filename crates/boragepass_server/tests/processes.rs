//! `boragepassd` as a process: settings, signals and exit status.

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
const TIMEOUT: Duration = Duration::from_secs(60);

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
    caller_address: SocketAddr,
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

async fn start_platform() -> LoopbackFleet {
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
    // The number keeps the files of tests that run in parallel apart.
    let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("boragepass-{}-{number}-{name}.ini", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// Starts a daemon and enters it in the VM list.
fn spawn_daemon(world: &LoopbackFleet, vm: &str) -> Process {
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
    // Reads the rest of the log, so that the process does not block on a full pipe.
    std::thread::spawn(move || lines.for_each(drop));
    let address = |label: &str| -> SocketAddr {
        let rest = line.split(label).nth(1).unwrap();
        rest.split(',').next().unwrap().trim().parse().unwrap()
    };
    let (caller_address, peer_address) = (address("callers "), address("other VMs "));
    world.vm_list.put(VmListEntry::EntryVm {
        vm: vm.parse().unwrap(),
        region: REGION.parse().unwrap(),
        failure_domain: vm.parse().unwrap(),
        peer_address,
        caller_address,
        state: VmState::Live,
    });
    Process { child, caller_address }
}

/// Polls a condition until it holds; fails after `TIMEOUT`.
async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < TIMEOUT, "timed out waiting for {what}");
        task::sleep(Duration::from_millis(20)).await;
    }
}

async fn review_until_answered(process: &Process) {
    let caller = Caller::new("gigdesk", &caller_key("gigdesk"));
    let started = Instant::now();
    loop {
        let answer = caller.send(process.caller_address, "contract-review", "r1", "contract", None).await;
        if answer.name() == "answered" {
            return;
        }
        assert!(started.elapsed() < TIMEOUT, "{answer:?}");
        task::sleep(Duration::from_millis(50)).await;
    }
}

#[async_std::test]
async fn sigterm_drains_and_exits_0() {
    let world = start_platform().await;
    let mut process = spawn_daemon(&world, "vm-1");
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

/// Holder and fencing number of the lease.
fn lease(world: &LoopbackFleet) -> Option<(String, u64)> {
    let state = world.table.state.lock().unwrap();
    match &state.row(&RowKey::Lease(REGION.parse().unwrap()))?.value {
        RowValue::Lease(lease) => Some((lease.holder.to_string(), lease.fence.0)),
        _ => None,
    }
}

/// A lease holder that is paused past the end of its lease still has its old fencing number when it
/// resumes. It must not send an order with it: this engine does not check fencing numbers and would
/// apply an order that is older than the successor's.
#[async_std::test]
async fn resumed_holder_of_a_lapsed_lease_sends_no_order_with_its_old_fence() {
    let world = start_platform().await;
    let processes = [("vm-1", spawn_daemon(&world, "vm-1")), ("vm-2", spawn_daemon(&world, "vm-2"))];
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
    let earlier_order_count = engine.fences().len();

    // The engine holds the wrong model when the old holder resumes, so that holder would order a change.
    engine.set_models(&["something-else"]);
    signal(&paused.child, "-CONT");
    eventually("an order after the holder resumed", || {
        engine.fences().len() > earlier_order_count && engine.models() == ["contract-7b"]
    })
    .await;
    review_until_answered(paused).await;
    let fences = engine.fences();
    assert!(fences.is_sorted(), "an order with an old fencing number arrived late: {fences:?}");
}
