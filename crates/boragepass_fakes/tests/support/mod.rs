//! Installation on loopback sockets with both workloads, for the end-to-end tests.

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
const EVENTUALLY_TIMEOUT: Duration = Duration::from_secs(30);

/// Fake platform and endpoints with their daemons.
pub(crate) struct Installation {
    pub(crate) fleet: LoopbackFleet,
    pub(crate) daemons: Vec<Daemon>,
}

impl Installation {
    /// Starts `vms` daemons and the endpoints of both workloads, and waits until the daemons are ready.
    pub(crate) async fn start(vms: usize) -> Self {
        let limits = Limits { drain_linger_ms: SpanMs(200), claim_timeout_ms: SpanMs(5_000), ..Limits::default() };
        let mut fleet =
            LoopbackFleet::start(LoopbackFleetSettings { limits, ..LoopbackFleetSettings::default() }).await.unwrap();
        for workspace in ["gigdesk", "lampu-lestari"] {
            fleet.commit_list_edit(ListEdit::SetPlan(plan(workspace, DEADLINE_MS, 10_000)));
            fleet.commit_list_edit(ListEdit::SetAllowlist(allowlist(workspace, &[REGION])));
        }
        for pool in ["encoders", "retrievers", "rerankers", "payouts", "members"] {
            for number in 1..=2 {
                let name = format!("{pool}-{number}");
                let settings = FakeEndpointSettings { name, ..FakeEndpointSettings::default() };
                fleet.add_endpoint(settings, pool, REGION).await.unwrap();
            }
        }
        for number in 1..=4 {
            let settings = FakeEndpointSettings {
                name: format!("engine-{number}"),
                models: vec!["contract-7b".to_owned(), "assistant-3b".to_owned()],
                tokens: TOKENS,
                ..FakeEndpointSettings::default()
            };
            fleet.add_endpoint(settings, "engines", REGION).await.unwrap();
        }
        let mut installation = Self { fleet, daemons: Vec::new() };
        for number in 1..=vms {
            installation.add_daemon(number).await;
        }
        for daemon in &installation.daemons {
            assert!(installation.fleet.wait_ready(daemon, vms).await, "a daemon did not become ready");
        }
        installation
    }

    /// Starts one more daemon, without waiting until it is ready.
    pub(crate) async fn add_daemon(&mut self, number: usize) {
        let (vm, failure_domain) = (format!("vm-{number}"), format!("{REGION}-{number}"));
        self.daemons.push(self.fleet.add_daemon(&vm, REGION, &failure_domain).await.unwrap());
    }

    /// Endpoint by name.
    pub(crate) fn endpoint(&self, name: &str) -> &FakeEndpoint {
        self.fleet.endpoints.iter().find(|endpoint| endpoint.name() == name).unwrap()
    }

    /// Endpoints whose name starts with a prefix.
    pub(crate) fn endpoints(&self, prefix: &str) -> Vec<FakeEndpoint> {
        let named = self.fleet.endpoints.iter().filter(|endpoint| endpoint.name().starts_with(prefix));
        named.cloned().collect()
    }

    /// Number of payout runs with an idempotency key, over all endpoints.
    pub(crate) fn payout_runs(&self, key: &str) -> u32 {
        let runs = self.endpoints("payouts").into_iter();
        runs.map(|endpoint| endpoint.runs_by_key().get(key).copied().unwrap_or(0)).sum()
    }
}

/// Caller of a workspace.
pub(crate) fn caller(workspace: &str) -> Caller {
    Caller::new(workspace, &caller_key(workspace))
}

/// Sends a pickup booking, whose payout stage must not run twice.
pub(crate) async fn book(daemon: &Daemon, id: &str, key: &str) -> CallerAnswer {
    let input = format!("pickup {key}");
    caller("lampu-lestari").send(daemon.caller_address, "pickup-booking", id, &input, Some(key)).await
}

/// Sends a contract review, whose stages may all be repeated.
pub(crate) async fn review(daemon: &Daemon, id: &str, input: &str) -> CallerAnswer {
    caller("gigdesk").send(daemon.caller_address, "contract-review", id, input, None).await
}

/// Polls a condition until it is true; panics after `EVENTUALLY_TIMEOUT`.
pub(crate) async fn eventually<F: Future<Output = bool>>(description: &str, mut condition: impl FnMut() -> F) {
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < EVENTUALLY_TIMEOUT, "{description}: not true within {EVENTUALLY_TIMEOUT:?}");
        async_std::task::sleep(Duration::from_millis(20)).await;
    }
}
