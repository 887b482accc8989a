//! Cost of one admission and one routing decision against endpoints and workspaces.

use std::time::{Duration, Instant};

use boragepass_core::{
    AttemptTag, Effect, Event, ListChange, ListEdit, ListsSnapshot, LoadReport, Node, NodeSettings, PeerMessage,
    RowKey, StageReply, TableReply, TableRequest, VmListEntry, VmListReply, VmState,
};
use boragepass_fakes::{allowlist, caller_key, pipelines, plan};
use boragepass_types::{AccessKey, CallId, Incarnation, ListVersion, Payload, RawRequest, Request, SpanMs, TimeMs};
use serde::Serialize;

const SIZES: [(usize, usize); 3] = [(20, 5), (200, 500), (1_300, 4_200)];
const ROUNDS: u64 = 20_000;
const REGION: &str = "lagos";

/// Cost at one size.
#[derive(Debug, Clone, Serialize)]
pub struct DecisionFigures {
    /// Endpoints of the region.
    pub endpoints: usize,
    /// Workspaces.
    pub workspaces: usize,
    /// A request that is refused: key, plan, allowlist, limits, prediction.
    pub admission_us: f64,
    /// A request that is admitted and dispatched: admission, routing and their books.
    pub admission_and_routing_us: f64,
    /// The result of a stage: its books and the routing of the next stage.
    pub result_and_routing_us: f64,
}

/// Measures decisions at each size.
pub fn decisions() -> Vec<DecisionFigures> {
    SIZES.into_iter().map(|(endpoints, workspaces)| measure(endpoints, workspaces)).collect()
}

/// Lists with many workspaces.
pub(crate) fn snapshot(workspaces: usize) -> ListsSnapshot {
    let names: Vec<_> = (0..workspaces).map(|number| format!("workspace-{number}")).collect();
    let regions = [REGION, "abuja", "ibadan"];
    ListsSnapshot {
        version: ListVersion(1),
        plans: names.iter().map(|name| plan(name, 6_000, 1_000_000_000).into()).collect(),
        allowlists: names.iter().map(|name| allowlist(name, &regions).into()).collect(),
    }
}

/// Entries of endpoints over the pools of both workloads.
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

/// Settings of a node.
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

/// Node that admits and knows its endpoints.
pub(crate) fn ready_node(now: TimeMs, endpoints: usize, workspaces: usize) -> Node {
    let mut node = Node::new(node_settings("vm-1"));
    let effects = node.handle(now, Event::Tick);
    let entries = endpoint_entries(endpoints, &[REGION]);
    node.handle(now, Event::VmListReply(VmListReply::Changes { version: 1, entries }));
    let (from, incarnation) = ("vm-2".parse().expect("the name is valid"), Incarnation(1));
    let message = PeerMessage::Snapshot(std::sync::Arc::new(snapshot(workspaces)));
    node.handle(now, Event::PeerMessageReceived { from, incarnation, message });
    answer_head(&mut node, now, effects);
    refresh(&mut node, now, endpoints);
    node
}

/// Answers the node's question for the head of the lists.
fn answer_head(node: &mut Node, now: TimeMs, effects: Vec<Effect>) {
    for effect in effects {
        if let Effect::Table { op, request: TableRequest::Read(keys) } = effect
            && keys.first() == Some(&RowKey::Head)
        {
            node.handle(now, Event::TableReply { op, reply: TableReply::Rows(vec![None; keys.len()]) });
        }
    }
}

/// Reports of all endpoints.
fn refresh(node: &mut Node, now: TimeMs, endpoints: usize) {
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

fn request(number: u64, workspaces: usize, pipeline: &str) -> (AccessKey, Request) {
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

fn measure(endpoints: usize, workspaces: usize) -> DecisionFigures {
    let start = TimeMs(1_000_000);
    let mut node = ready_node(start, endpoints, workspaces);
    let now = start;
    let refused: Duration = (0..ROUNDS)
        .map(|number| {
            // A booking without its key is refused after all checks of access and lists.
            let (key, request) = request(number, workspaces, "pickup-booking");
            let event = Event::Submit { call: CallId(number), key, request };
            let began = Instant::now();
            node.handle(now, event);
            began.elapsed()
        })
        .sum();
    let mut admitted = Duration::ZERO;
    let mut results = Duration::ZERO;
    let mut result_count = 0_u64;
    for number in 0..ROUNDS {
        let (key, request) = request(number, workspaces, "contract-review");
        let event = Event::Submit { call: CallId(ROUNDS + number), key, request };
        let began = Instant::now();
        let mut effects = node.handle(now, event);
        admitted += began.elapsed();
        while let Some(tag) = dispatched(&effects) {
            let event = finished(tag);
            let began = Instant::now();
            effects = node.handle(now, event);
            results += began.elapsed();
            result_count += 1;
        }
    }
    let us = |total: Duration, count: u64| total.as_secs_f64() * 1e6 / count.max(1) as f64;
    DecisionFigures {
        endpoints,
        workspaces,
        admission_us: us(refused, ROUNDS),
        admission_and_routing_us: us(admitted, ROUNDS),
        result_and_routing_us: us(results, result_count),
    }
}

fn dispatched(effects: &[Effect]) -> Option<AttemptTag> {
    effects.iter().find_map(|effect| match effect {
        Effect::Dispatch { dispatch, .. } => Some(dispatch.tag.clone()),
        _ => None,
    })
}

fn finished(tag: AttemptTag) -> Event {
    let is_stream = tag.stage.as_str() == "review";
    let reply = if is_stream {
        StageReply::StreamEnd { tokens: 0 }
    } else {
        StageReply::Whole { output: Payload::new("output of a stage") }
    };
    Event::StageReply { attempt: tag.attempt, echo: Some(tag), reply }
}

/// Change of a plan.
pub(crate) fn plan_change(version: u64, workspace: usize) -> ListChange {
    let edit = ListEdit::SetPlan(plan(&format!("workspace-{workspace}"), 5_000, 1_000));
    ListChange { version: ListVersion(version), edit }
}
