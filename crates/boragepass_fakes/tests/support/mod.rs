//! An installation for the end-to-end tests.

use std::time::{Duration, Instant};

use boragepass_core::{Limits, ListEdit};
use boragepass_fakes::{
    Caller, CallerAnswer, FakeEndpoint, FakeEndpointSettings, LoopbackFleet, LoopbackFleetSettings, allowlist,
    caller_key, plan,
};
use boragepass_server::Daemon;
use boragepass_types::SpanMs;

pub(crate) const REGION: &str = "lagos";
pub(crate) const TOKENS: u32 = 16;
const DEADLINE_MS: u64 = 20_000;
const WITHIN: Duration = Duration::from_secs(30);

/// Platform, endpoints and daemons.
pub(crate) struct Installation {
    pub(crate) world: LoopbackFleet,
    pub(crate) daemons: Vec<Daemon>,
}

impl Installation {
    /// Starts `vms` daemons in front of all endpoints of both workloads.
    pub(crate) async fn start(vms: usize) -> Self {
        let limits = Limits { drain_linger_ms: SpanMs(200), claim_timeout_ms: SpanMs(5_000), ..Limits::default() };
        let mut world =
            LoopbackFleet::start(LoopbackFleetSettings { limits, ..LoopbackFleetSettings::default() }).await.unwrap();
        for workspace in ["gigdesk", "lampu-lestari"] {
            world.commit_list_edit(ListEdit::SetPlan(plan(workspace, DEADLINE_MS, 10_000)));
            world.commit_list_edit(ListEdit::SetAllowlist(allowlist(workspace, &[REGION])));
        }
        for pool in ["encoders", "retrievers", "rerankers", "payouts", "members"] {
            for number in 1..=2 {
                let name = format!("{pool}-{number}");
                let settings = FakeEndpointSettings { name, ..FakeEndpointSettings::default() };
                world.add_endpoint(settings, pool, REGION).await.unwrap();
            }
        }
        for number in 1..=4 {
            let settings = FakeEndpointSettings {
                name: format!("engine-{number}"),
                models: vec!["contract-7b".to_owned(), "assistant-3b".to_owned()],
                tokens: TOKENS,
                ..FakeEndpointSettings::default()
            };
            world.add_endpoint(settings, "engines", REGION).await.unwrap();
        }
        let mut installation = Self { world, daemons: Vec::new() };
        for number in 1..=vms {
            installation.add_daemon(number).await;
        }
        for daemon in &installation.daemons {
            assert!(installation.world.wait_ready(daemon, vms).await, "a daemon did not become ready");
        }
        installation
    }

    /// Starts one more daemon.
    pub(crate) async fn add_daemon(&mut self, number: usize) {
        let (vm, failure_domain) = (format!("vm-{number}"), format!("{REGION}-{number}"));
        self.daemons.push(self.world.add_daemon(&vm, REGION, &failure_domain).await.unwrap());
    }

    /// Endpoint by name.
    pub(crate) fn endpoint(&self, name: &str) -> &FakeEndpoint {
        self.world.endpoints.iter().find(|endpoint| endpoint.name() == name).unwrap()
    }

    /// Endpoints whose name starts with a prefix.
    pub(crate) fn endpoints(&self, prefix: &str) -> Vec<FakeEndpoint> {
        let named = self.world.endpoints.iter().filter(|endpoint| endpoint.name().starts_with(prefix));
        named.cloned().collect()
    }

    /// Runs of all stages that may not be repeated.
    pub(crate) fn payouts(&self, key: &str) -> u32 {
        let runs = self.endpoints("payouts").into_iter();
        runs.map(|endpoint| endpoint.runs_by_key().get(key).copied().unwrap_or(0)).sum()
    }
}

/// Caller of a workspace.
pub(crate) fn caller(workspace: &str) -> Caller {
    Caller::new(workspace, &caller_key(workspace))
}

/// Books a pickup.
pub(crate) async fn book(daemon: &Daemon, id: &str, key: &str) -> CallerAnswer {
    let input = format!("pickup {key}");
    caller("lampu-lestari").send(daemon.callers, "pickup-booking", id, &input, Some(key)).await
}

/// Has a contract reviewed.
pub(crate) async fn review(daemon: &Daemon, id: &str, input: &str) -> CallerAnswer {
    caller("gigdesk").send(daemon.callers, "contract-review", id, input, None).await
}

/// Repeats something until it holds.
pub(crate) async fn eventually<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let started = Instant::now();
    while !holds().await {
        assert!(started.elapsed() < WITHIN, "{what} did not come to hold");
        async_std::task::sleep(Duration::from_millis(20)).await;
    }
}
