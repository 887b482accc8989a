//! Measures the time of an admission and of a routing decision at several numbers of endpoints and workspaces.

use std::time::{Duration, Instant};

use boragepass_core::{
    AttemptTag, Effect, Event, ListChange, ListEdit, ListsSnapshot, LoadReport, Node, NodeSettings, PeerMessage,
    RowKey, StageReply, TableReply, TableRequest, VmListEntry, VmListReply, VmState,
};
use boragepass_fakes::{allowlist, caller_key, pipelines, plan};
use boragepass_types::{AccessKey, CallId, Incarnation, ListVersion, Payload, RawRequest, Request, SpanMs, TimeMs};
use serde::Serialize;

/// Endpoints and workspaces of each measurement.
const SIZES: [(usize, usize); 3] = [(20, 5), (200, 500), (1_300, 4_200)];
const REQUESTS_PER_SIZE: u64 = 20_000;
const REGION: &str = "lagos";

/// Cost at one size.
#[derive(Debug, Clone, Serialize)]
pub struct DecisionFigures {
    /// Endpoints in the region.
    pub endpoints: usize,
    /// Workspaces with a plan and an allowlist.
    pub workspaces: usize,
    /// Time for a request whose admission ends in a refusal.
    pub admission_us: f64,
    /// Time for a request that is admitted and dispatched, bookkeeping included.
    pub admission_and_routing_us: f64,
    /// Time for the result of a stage: its bookkeeping and the routing of the next stage.
    pub result_and_routing_us: f64,
}

/// Measures decisions at each size.
pub fn measure_decisions() -> Vec<DecisionFigures> {
    SIZES.into_iter().map(|(endpoints, workspaces)| measure_size(endpoints, workspaces)).collect()
}

/// Builds lists with a plan and an allowlist for each workspace.
pub(crate) fn lists_snapshot(workspaces: usize) -> ListsSnapshot {
    let names: Vec<_> = (0..workspaces).map(|number| format!("workspace-{number}")).collect();
    let regions = [REGION, "abuja", "ibadan"];
    ListsSnapshot {
        version: ListVersion(1),
        plans: names.iter().map(|name| plan(name, 6_000, 1_000_000_000).into()).collect(),
        allowlists: names.iter().map(|name| allowlist(name, &regions).into()).collect(),
    }
}

/// Builds VM list entries of endpoints, spread over the pools of both workloads and the regions.
pub(crate) fn endpoint_entries(count: usize, regions: &[&str]) -> Vec<VmListEntry> {
    let pools = ["engines", "encoders", "retrievers", "rerankers", "payouts", "members"];
    let entries = (0..count).map(|number| VmListEntry::Endpoint {
        endpoint: format!("endpoint-{number}").parse().expect("the names of the bench are valid"),
        pool: pools[number % pools.len()].parse().expect("the names of the bench are valid"),
        region: regions[number / pools.len() % regions.len()].parse().expect("the names of the bench are valid"),
        failure_domain: "a".parse().expect("the names of the bench are valid"),
        address: std::net::SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 80)),
        checks_fence: true,
        state: VmState::Live,
    });
    entries.collect()
}

/// Settings of a node in the benchmark's region.
pub(crate) fn node_settings(vm: &str) -> NodeSettings {
    NodeSettings {
        vm: vm.parse().expect("the names of the bench are valid"),
        incarnation: Incarnation(1),
        region: REGION.parse().expect("the names of the bench are valid"),
        failure_domain: "lagos-a".parse().expect("the names of the bench are valid"),
        peer_address: ([10, 0, 0, 1], 1).into(),
        caller_address: ([10, 0, 0, 1], 2).into(),
        pipelines: pipelines(),
        limits: boragepass_core::Limits::default(),
        seed: 1,
    }
}

/// Builds a node that admits requests and has a load report of each endpoint.
pub(crate) fn ready_node(now: TimeMs, endpoints: usize, workspaces: usize) -> Node {
    let mut node = Node::new(node_settings("vm-1"));
    let effects = node.handle(now, Event::Tick);
    let entries = endpoint_entries(endpoints, &[REGION]);
    node.handle(now, Event::VmListReply(VmListReply::Changes { version: 1, entries }));
    let (from, incarnation) = ("vm-2".parse().expect("the name is valid"), Incarnation(1));
    let message = PeerMessage::Snapshot(std::sync::Arc::new(lists_snapshot(workspaces)));
    node.handle(now, Event::PeerMessageReceived { from, incarnation, message });
    answer_head_read(&mut node, now, effects);
    report_loads(&mut node, now, endpoints);
    node
}

/// Answers the node's read of the list head: the table holds no lists.
fn answer_head_read(node: &mut Node, now: TimeMs, effects: Vec<Effect>) {
    for effect in effects {
        if let Effect::Table { op, request: TableRequest::Read(keys) } = effect
            && keys.first() == Some(&RowKey::Head)
        {
            node.handle(now, Event::TableReply { op, reply: TableReply::Rows(vec![None; keys.len()]) });
        }
    }
}

/// Delivers a load report of each endpoint.
fn report_loads(node: &mut Node, now: TimeMs, endpoints: usize) {
    for number in 0..endpoints {
        let report = LoadReport {
            running: (number % 5) as u32,
            queued: 0,
            slots: 8,
            is_leaving: false,
            lag_ms: SpanMs(100),
            models: vec![
                "contract-7b".parse().expect("the name is valid"),
                "assistant-3b".parse().expect("the name is valid"),
            ],
            adapters: Vec::new(),
            cache_events: Vec::new(),
        };
        let endpoint = format!("endpoint-{number}").parse().expect("the names of the bench are valid");
        node.handle(now, Event::LoadReply { endpoint, asked_at: now, report: Some(report) });
    }
}

fn build_request(number: u64, workspaces: usize, pipeline: &str) -> (AccessKey, Request) {
    let workspace = format!("workspace-{}", number as usize % workspaces);
    let raw = RawRequest {
        workspace: workspace.clone(),
        pipeline: pipeline.to_owned(),
        request_id: format!("r{number}"),
        input: format!("contract {number}"),
        deadline_ms: None,
        idempotency_key: None,
        is_streaming: false,
    };
    let request = Request::try_from(raw).expect("the requests of the bench are valid");
    (AccessKey::new(&caller_key(&workspace)), request)
}

/// Measures decisions of one node with this number of endpoints and workspaces.
fn measure_size(endpoints: usize, workspaces: usize) -> DecisionFigures {
    let start = TimeMs(1_000_000);
    let mut node = ready_node(start, endpoints, workspaces);
    let now = start;
    let refusal_time: Duration = (0..REQUESTS_PER_SIZE)
        .map(|number| {
            // A booking without an idempotency key is refused only after the checks of access key, plan and allowlist.
            let (key, request) = build_request(number, workspaces, "pickup-booking");
            let event = Event::Submit { call: CallId(number), key, request };
            let started_at = Instant::now();
            node.handle(now, event);
            started_at.elapsed()
        })
        .sum();
    let mut admission_time = Duration::ZERO;
    let mut result_time = Duration::ZERO;
    let mut result_count = 0_u64;
    for number in 0..REQUESTS_PER_SIZE {
        let (key, request) = build_request(number, workspaces, "contract-review");
        let event = Event::Submit { call: CallId(REQUESTS_PER_SIZE + number), key, request };
        let started_at = Instant::now();
        let mut effects = node.handle(now, event);
        admission_time += started_at.elapsed();
        while let Some(tag) = dispatched_tag(&effects) {
            let event = successful_reply(tag);
            let started_at = Instant::now();
            effects = node.handle(now, event);
            result_time += started_at.elapsed();
            result_count += 1;
        }
    }
    let us = |total: Duration, count: u64| total.as_secs_f64() * 1e6 / count.max(1) as f64;
    DecisionFigures {
        endpoints,
        workspaces,
        admission_us: us(refusal_time, REQUESTS_PER_SIZE),
        admission_and_routing_us: us(admission_time, REQUESTS_PER_SIZE),
        result_and_routing_us: us(result_time, result_count),
    }
}

/// Returns the tag of the first dispatch among the effects.
fn dispatched_tag(effects: &[Effect]) -> Option<AttemptTag> {
    effects.iter().find_map(|effect| match effect {
        Effect::Dispatch { dispatch, .. } => Some(dispatch.tag.clone()),
        _ => None,
    })
}

/// Reply with which an endpoint ends an attempt successfully.
fn successful_reply(tag: AttemptTag) -> Event {
    let is_stream = tag.stage.as_str() == "review";
    let reply = if is_stream {
        StageReply::StreamEnd { tokens: 0 }
    } else {
        StageReply::Whole { output: Payload::new("output of a stage") }
    };
    Event::StageReply { attempt: tag.attempt, echo: Some(tag), reply }
}

/// Builds a list change that sets the plan of a workspace.
pub(crate) fn plan_change(version: u64, workspace: usize) -> ListChange {
    let edit = ListEdit::SetPlan(plan(&format!("workspace-{workspace}"), 5_000, 1_000));
    ListChange { version: ListVersion(version), edit }
}
