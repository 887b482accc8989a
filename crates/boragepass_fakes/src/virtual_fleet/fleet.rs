//! The event loop in virtual time: nodes, callers and a queue of scheduled deliveries.
//!
//! Each event goes to a reducer in the order of its time; `effects` carries out what the reducer
//! returns. Nodes can be killed, paused and restarted, and the seed decides every random delay.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::{TableState, caller_key, pipelines};
use boragepass_core::{
    Counter, Dispatch, Effect, Event, FleetStatus, Limits, ListChange, ListEdit, ListsSnapshot, Node, NodeSettings,
    OperatorCommand, OperatorReply, Order, RowKey, RowValue, RowWrite, StageReply, StateChange, TableRequest,
    VmListEntry, VmState, WriteId,
};
use boragepass_types::{
    AccessKey, AttemptId, CallId, Incarnation, ListVersion, OpId, Outcome, Pipeline, RawRequest, Request, TimeMs, VmId,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::endpoint::{SimEndpoint, StageRun};
use super::name;

const START_TIME_MS: u64 = 1_000_000;
const NETWORK_DELAY_MS: u64 = 1;

/// State of a node's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeState {
    /// The process runs.
    Up,
    /// The process is frozen until this time.
    Paused(TimeMs),
    /// The process does not exist.
    Down,
}

/// Traffic and processing time of one node.
#[derive(Debug, Default, Clone, Copy)]
pub struct NodeCost {
    /// Messages sent to other VMs.
    pub messages_out: u64,
    /// Messages received from other VMs.
    pub messages_in: u64,
    /// Bytes sent, with framing.
    pub bytes_out: u64,
    /// Bytes received, with framing.
    pub bytes_in: u64,
    /// Wall-clock time in the reducer and the codec.
    pub processing_time: Duration,
    /// Transactions requested from the table service.
    pub table_writes: u64,
    /// Reads requested from the table service.
    pub table_reads: u64,
}

/// One entry VM: its reducer and the state of its process.
pub(super) struct SimNode {
    pub(super) reducer: Node,
    pub(super) cost: NodeCost,
    pub(super) vm: VmId,
    pub(super) incarnation: Incarnation,
    pub(super) state: NodeState,
    pub(super) region: String,
    pub(super) failure_domain: String,
    pub(super) has_exited: bool,
}

/// A request that a caller sent, with its answers.
#[derive(Debug, Clone)]
pub struct Call {
    /// Index of the node that received it.
    pub node: usize,
    /// Incarnation of that node at the time.
    pub incarnation: Incarnation,
    /// The request.
    pub request: Request,
    /// Time at which it was sent.
    pub submitted_at: TimeMs,
    /// Answers with their times; more than one violates the contract.
    pub outcomes: Vec<(TimeMs, Outcome)>,
}

/// What arrives at a scheduled time. `node` and `incarnation` name the process that sent it or receives
/// it; an event for an earlier incarnation is dropped.
pub(super) enum Delivery {
    NodeEvent { node: usize, incarnation: Incarnation, event: Event },
    Dispatch { node: usize, incarnation: Incarnation, not_after: TimeMs, dispatch: Box<Dispatch> },
    StageDone { node: usize, incarnation: Incarnation, endpoint: usize, crash_count: u32, dispatch: Box<Dispatch> },
    TableRequest { node: usize, incarnation: Incarnation, op: OpId, request: TableRequest },
    Order { node: usize, incarnation: Incarnation, op: OpId, address: SocketAddr, order: Order },
    DelayedEffects { node: usize, incarnation: Incarnation, effects: Vec<Effect> },
}

/// Faults of the table service.
#[derive(Debug, Default, Clone)]
pub struct SimTableFaults {
    /// Whether every request is answered as unavailable.
    pub is_down: bool,
    /// Number of commits that take effect while their reply is lost.
    pub replies_to_lose: u32,
    /// Number of commits that take effect seconds later while their reply is lost.
    pub commits_to_delay: u32,
}

/// Nodes, endpoints, platform and callers of one simulation.
///
/// Tests switch on faults through the public fields and read what happened from them.
pub struct Fleet {
    pub now: TimeMs,
    pub rng: SmallRng,
    pub endpoints: Vec<SimEndpoint>,
    pub table: TableState,
    pub table_faults: SimTableFaults,
    pub calls: BTreeMap<CallId, Call>,
    pub operator_replies: BTreeMap<CallId, OperatorReply>,
    pub runs: Vec<StageRun>,
    /// Orders that reached an endpoint: time, index of the endpoint, order, whether it was accepted.
    pub orders: Vec<(TimeMs, usize, Order, bool)>,
    pub counters: BTreeMap<Counter, u64>,
    pub state_changes: Vec<(TimeMs, VmId, StateChange)>,
    pub message_count: u64,
    /// Pairs of regions (from, to) between which messages are dropped.
    pub disconnected_regions: BTreeSet<(String, String)>,
    /// Delay, by node, before the effects of an event are carried out, as with a slow executor.
    pub executor_delay_ms: BTreeMap<usize, u64>,
    pub(super) snapshot: Option<Arc<ListsSnapshot>>,
    pub(super) nodes: Vec<SimNode>,
    pub(super) deliveries: BTreeMap<(TimeMs, u64), Delivery>,
    pub(super) next_delivery_number: u64,
    pub(super) next_call_number: u64,
    pub(super) next_incarnation: u64,
    pub(super) limits: Limits,
    pub(super) canceled_attempts: BTreeSet<(Incarnation, AttemptId)>,
    pub(super) vm_list_log: Vec<VmListEntry>,
    pub(super) node_by_vm: HashMap<VmId, usize>,
    pub(super) endpoint_by_address: HashMap<SocketAddr, usize>,
    /// Next wake-up of each running node, by time; `wake_time_of_node` holds the same times by node.
    pub(super) wake_schedule: BTreeSet<(TimeMs, usize)>,
    pub(super) wake_time_of_node: Vec<Option<TimeMs>>,
    pub(super) is_cost_measured: bool,
    pub(super) paused_count: usize,
    pub(super) pipelines: Vec<Arc<Pipeline>>,
}

impl Fleet {
    /// Creates a fleet without nodes and endpoints.
    pub fn new(seed: u64, limits: Limits) -> Self {
        Self {
            now: TimeMs(START_TIME_MS),
            rng: SmallRng::seed_from_u64(seed),
            endpoints: Vec::new(),
            table: TableState::default(),
            table_faults: SimTableFaults::default(),
            calls: BTreeMap::new(),
            operator_replies: BTreeMap::new(),
            runs: Vec::new(),
            orders: Vec::new(),
            counters: BTreeMap::new(),
            state_changes: Vec::new(),
            message_count: 0,
            disconnected_regions: BTreeSet::new(),
            executor_delay_ms: BTreeMap::new(),
            snapshot: None,
            nodes: Vec::new(),
            deliveries: BTreeMap::new(),
            next_delivery_number: 0,
            next_call_number: 0,
            next_incarnation: 1,
            limits,
            canceled_attempts: BTreeSet::new(),
            vm_list_log: Vec::new(),
            node_by_vm: HashMap::new(),
            endpoint_by_address: HashMap::new(),
            wake_schedule: BTreeSet::new(),
            wake_time_of_node: Vec::new(),
            is_cost_measured: false,
            paused_count: 0,
            pipelines: pipelines(),
        }
    }

    /// Commits an edit of the lists to the table without a node, as set-up before any node runs.
    pub fn commit_list_edit(&mut self, edit: ListEdit) {
        let version = self.list_version().next();
        let id = WriteId { vm: name("seed"), incarnation: Incarnation(0), op: OpId(version.0) };
        let write = |key, value| RowWrite { key, expect: boragepass_core::ExpectedVersion::Any, id: id.clone(), value };
        let change = RowValue::Change(Box::new(ListChange { version, edit }));
        let writes = vec![write(RowKey::Change(version), change), write(RowKey::Head, RowValue::Head(version))];
        self.table.apply(&TableRequest::Commit(writes));
    }

    /// Version of the lists that the table holds.
    pub fn list_version(&self) -> ListVersion {
        match self.table.row(&RowKey::Head).map(|row| &row.value) {
            Some(RowValue::Head(version)) => *version,
            _ => ListVersion(0),
        }
    }

    /// Adds an endpoint to the fleet and the VM list. Returns its index.
    pub fn add_endpoint(&mut self, endpoint: SimEndpoint) -> usize {
        self.vm_list_log.push(endpoint.entry.clone());
        self.endpoint_by_address.insert(endpoint.address, self.endpoints.len());
        self.endpoints.push(endpoint);
        self.endpoints.len() - 1
    }

    /// Adds a node to the fleet and the VM list and starts it. Returns its index.
    pub fn add_node(&mut self, vm: &str, region: &str, failure_domain: &str) -> usize {
        let index = self.nodes.len();
        let incarnation = self.allocate_incarnation();
        let reducer = self.new_reducer(index, vm, region, failure_domain, incarnation);
        self.nodes.push(SimNode {
            reducer,
            cost: NodeCost::default(),
            vm: name(vm),
            incarnation,
            state: NodeState::Up,
            region: region.to_owned(),
            failure_domain: failure_domain.to_owned(),
            has_exited: false,
        });
        self.node_by_vm.insert(self.nodes[index].vm.clone(), index);
        self.wake_time_of_node.push(None);
        self.publish_node_entry(index, VmState::Live);
        self.handle_event(index, Event::Tick);
        index
    }

    fn allocate_incarnation(&mut self) -> Incarnation {
        let incarnation = Incarnation(self.next_incarnation);
        self.next_incarnation += 1;
        incarnation
    }

    fn new_reducer(
        &self,
        index: usize,
        vm: &str,
        region: &str,
        failure_domain: &str,
        incarnation: Incarnation,
    ) -> Node {
        Node::new(NodeSettings {
            vm: name(vm),
            incarnation,
            region: name(region),
            failure_domain: name(failure_domain),
            peer_address: node_address(index, 1),
            caller_address: node_address(index, 2),
            pipelines: self.pipelines.clone(),
            limits: self.limits.clone(),
            seed: incarnation.0,
        })
    }

    /// Appends a node's entry with this state to the VM list.
    pub fn publish_node_entry(&mut self, index: usize, state: VmState) {
        let sim_node = &self.nodes[index];
        self.vm_list_log.push(VmListEntry::EntryVm {
            vm: sim_node.vm.clone(),
            region: name(&sim_node.region),
            failure_domain: name(&sim_node.failure_domain),
            peer_address: node_address(index, 1),
            caller_address: node_address(index, 2),
            state,
        });
    }

    /// Number of nodes.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// State of a node's process.
    pub fn node_state(&self, index: usize) -> NodeState {
        self.nodes[index].state
    }

    /// Whether a node exited on its own.
    pub fn has_exited(&self, index: usize) -> bool {
        self.nodes[index].has_exited
    }

    /// VM of a node.
    pub fn vm(&self, index: usize) -> &VmId {
        &self.nodes[index].vm
    }

    /// Incarnation of a node.
    pub fn incarnation(&self, index: usize) -> Incarnation {
        self.nodes[index].incarnation
    }

    /// Number of requests in progress at a node.
    pub fn in_progress(&self, index: usize) -> usize {
        self.nodes[index].reducer.in_progress()
    }

    /// Kills a node's process.
    pub fn kill(&mut self, index: usize) {
        if matches!(self.nodes[index].state, NodeState::Paused(_)) {
            self.paused_count -= 1;
        }
        self.nodes[index].state = NodeState::Down;
        self.reschedule_wake(index);
    }

    /// Freezes a node's process for `ms`; events that arrive in the meantime wait.
    pub fn pause(&mut self, index: usize, ms: u64) {
        if self.nodes[index].state == NodeState::Up {
            self.nodes[index].state = NodeState::Paused(TimeMs(self.now.0 + ms));
            self.paused_count += 1;
            self.reschedule_wake(index);
        }
    }

    /// Starts a node that is down under a new incarnation, without its former state.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.allocate_incarnation();
        let (vm, region) = (self.nodes[index].vm.to_string(), self.nodes[index].region.clone());
        let failure_domain = self.nodes[index].failure_domain.clone();
        let reducer = self.new_reducer(index, &vm, &region, &failure_domain, incarnation);
        let sim_node = &mut self.nodes[index];
        sim_node.reducer = reducer;
        sim_node.incarnation = incarnation;
        sim_node.state = NodeState::Up;
        sim_node.has_exited = false;
        self.publish_node_entry(index, VmState::Live);
        self.handle_event(index, Event::Tick);
    }

    /// Crashes an endpoint for `down_ms`: its stages in progress are lost.
    pub fn crash_endpoint(&mut self, index: usize, down_ms: u64) {
        let endpoint = &mut self.endpoints[index];
        endpoint.crash_count += 1;
        endpoint.running = 0;
        endpoint.down_until = TimeMs(self.now.0 + down_ms);
        let address = endpoint.address;
        let mut lost = Vec::new();
        self.deliveries.retain(|_, delivery| match delivery {
            Delivery::StageDone { node, incarnation, endpoint, dispatch, .. } if *endpoint == index => {
                lost.push((*node, *incarnation, dispatch.tag.attempt));
                false
            }
            Delivery::NodeEvent { event: Event::StageReply { echo: Some(_), .. }, .. } => true,
            _ => true,
        });
        debug_assert_eq!(address, self.endpoints[index].address);
        for (node, incarnation, attempt) in lost {
            let event = Event::StageReply { attempt, echo: None, reply: StageReply::Lost };
            self.schedule(NETWORK_DELAY_MS, Delivery::NodeEvent { node, incarnation, event });
        }
    }

    /// Marks an endpoint as leaving in the VM list and in its load reports.
    pub fn mark_endpoint_leaving(&mut self, index: usize) {
        let now = self.now;
        let endpoint = &mut self.endpoints[index];
        endpoint.leaving_since.get_or_insert(now);
        if let VmListEntry::Endpoint { state, .. } = &mut endpoint.entry {
            *state = VmState::Leaving;
        }
        self.vm_list_log.push(self.endpoints[index].entry.clone());
    }

    /// Sends a request without an idempotency key to a node.
    pub fn submit(&mut self, node: usize, workspace: &str, pipeline: &str, id: &str, input: &str) -> CallId {
        self.submit_with_key(node, workspace, pipeline, id, input, None)
    }

    /// Sends a request to a node, with an idempotency key if `key` is given.
    pub fn submit_with_key(
        &mut self,
        node: usize,
        workspace: &str,
        pipeline: &str,
        id: &str,
        input: &str,
        key: Option<&str>,
    ) -> CallId {
        let request = Request::try_from(RawRequest {
            workspace: workspace.to_owned(),
            pipeline: pipeline.to_owned(),
            request_id: id.to_owned(),
            input: input.to_owned(),
            deadline_ms: None,
            idempotency_key: key.map(ToOwned::to_owned),
            is_streaming: false,
        });
        let request = request.expect("the requests of the tests are valid");
        let call = self.new_call();
        let (submitted_at, incarnation) = (self.now, self.nodes[node].incarnation);
        self.calls
            .insert(call, Call { node, incarnation, request: request.clone(), submitted_at, outcomes: Vec::new() });
        let key = AccessKey::new(&caller_key(workspace));
        self.handle_event(node, Event::Submit { call, key, request });
        call
    }

    fn new_call(&mut self) -> CallId {
        self.next_call_number += 1;
        CallId(self.next_call_number)
    }

    /// Sends an operator's command to a node.
    pub fn send_operator_command(&mut self, node: usize, command: OperatorCommand) -> CallId {
        let call = self.new_call();
        self.handle_event(node, Event::OperatorCommand { call, command });
        call
    }

    /// Status of the fleet as a node reports it; `None` while the node does not run.
    pub fn status(&mut self, node: usize) -> Option<Box<FleetStatus>> {
        let call = self.send_operator_command(node, OperatorCommand::Status);
        match self.operator_replies.remove(&call) {
            Some(OperatorReply::Status(status)) => Some(status),
            _ => None,
        }
    }

    /// Asks a node to drain and stop.
    pub fn terminate(&mut self, node: usize) {
        self.handle_event(node, Event::Terminate);
    }

    /// Runs the simulation for `ms` of virtual time.
    pub fn advance(&mut self, ms: u64) {
        let until = TimeMs(self.now.0 + ms);
        loop {
            let delivery_at = self.deliveries.first_key_value().map(|((at, _), _)| *at);
            let wake = self.next_wake();
            let next = match (delivery_at, wake) {
                (Some(delivery), Some((wake, _))) => delivery.min(wake),
                (Some(delivery), None) => delivery,
                (None, Some((wake, _))) => wake,
                (None, None) => until,
            };
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            if self.paused_count > 0 {
                self.resume_due_nodes();
            }
            match (delivery_at, wake) {
                (Some(at), _) if at <= next => self.process_next_delivery(),
                (_, Some((at, node))) if at <= next => self.handle_event(node, Event::Tick),
                _ => break,
            }
        }
        self.now = until;
        self.resume_due_nodes();
    }

    fn next_wake(&self) -> Option<(TimeMs, usize)> {
        self.wake_schedule.first().map(|(at, node)| ((*at).max(self.now), *node))
    }

    /// Updates the wake-up of a node after an event or a change of its state.
    pub(super) fn reschedule_wake(&mut self, node: usize) {
        if let Some(old) = self.wake_time_of_node[node].take() {
            self.wake_schedule.remove(&(old, node));
        }
        let sim_node = &self.nodes[node];
        let wake = match sim_node.state {
            NodeState::Up => sim_node.reducer.next_wake(),
            NodeState::Paused(until) => Some(until),
            NodeState::Down => None,
        };
        if let Some(at) = wake {
            self.wake_schedule.insert((at, node));
            self.wake_time_of_node[node] = Some(at);
        }
    }

    fn resume_due_nodes(&mut self) {
        for index in 0..self.nodes.len() {
            if matches!(self.nodes[index].state, NodeState::Paused(until) if until <= self.now) {
                self.nodes[index].state = NodeState::Up;
                self.paused_count -= 1;
                self.reschedule_wake(index);
            }
        }
    }

    pub(super) fn schedule(&mut self, after_ms: u64, delivery: Delivery) {
        let at = TimeMs(self.now.0 + after_ms);
        self.deliveries.insert((at, self.next_delivery_number), delivery);
        self.next_delivery_number += 1;
    }

    fn process_next_delivery(&mut self) {
        let Some((_, delivery)) = self.deliveries.pop_first() else {
            return;
        };
        match delivery {
            Delivery::NodeEvent { node, incarnation, event } => self.deliver_to_node(node, incarnation, event),
            Delivery::Dispatch { node, incarnation, not_after, dispatch } => {
                self.deliver_to_endpoint(node, incarnation, not_after, dispatch);
            }
            Delivery::StageDone { node, incarnation, endpoint, crash_count, dispatch } => {
                self.finish_stage(node, incarnation, endpoint, crash_count, &dispatch);
            }
            Delivery::TableRequest { node, incarnation, op, request } => {
                self.deliver_to_table(node, incarnation, op, &request);
            }
            Delivery::Order { node, incarnation, op, address, order } => {
                self.deliver_order(node, incarnation, op, address, &order);
            }
            Delivery::DelayedEffects { node, incarnation, effects } => {
                if self.is_current(node, incarnation) {
                    self.execute_effects(node, effects);
                }
            }
        }
    }

    pub(super) fn is_current(&self, node: usize, incarnation: Incarnation) -> bool {
        self.nodes[node].incarnation == incarnation && self.nodes[node].state != NodeState::Down
    }

    fn deliver_to_node(&mut self, node: usize, incarnation: Incarnation, event: Event) {
        if !self.is_current(node, incarnation) {
            return;
        }
        match self.nodes[node].state {
            NodeState::Paused(until) => {
                let wait = until.0.saturating_sub(self.now.0).max(1);
                self.schedule(wait, Delivery::NodeEvent { node, incarnation, event });
            }
            NodeState::Up => self.handle_event(node, event),
            NodeState::Down => {}
        }
    }

    /// Passes an event to a node and carries out the effects that it returns. A paused node receives it
    /// after the pause.
    pub fn handle_event(&mut self, node: usize, event: Event) {
        let sim_node = &mut self.nodes[node];
        match sim_node.state {
            NodeState::Up => {}
            NodeState::Paused(_) => {
                let incarnation = sim_node.incarnation;
                self.deliver_to_node(node, incarnation, event);
                return;
            }
            NodeState::Down => return,
        }
        let started = self.is_cost_measured.then(Instant::now);
        let effects = sim_node.reducer.handle(self.now, event);
        if let Some(started) = started {
            sim_node.cost.processing_time += started.elapsed();
        }
        self.reschedule_wake(node);
        let delay_ms = self.executor_delay_ms.get(&node).copied().unwrap_or(0);
        if delay_ms > 0 {
            let incarnation = self.nodes[node].incarnation;
            self.schedule(delay_ms, Delivery::DelayedEffects { node, incarnation, effects });
        } else {
            self.execute_effects(node, effects);
        }
    }

    /// Starts to measure the cost of nodes, from zero.
    pub fn measure_cost(&mut self) {
        self.is_cost_measured = true;
        for sim_node in &mut self.nodes {
            sim_node.cost = NodeCost::default();
        }
    }

    /// Cost of a node; processing time and messages count from `measure_cost` on.
    pub fn cost(&self, node: usize) -> NodeCost {
        self.nodes[node].cost
    }
}

fn node_address(index: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], port))
}
