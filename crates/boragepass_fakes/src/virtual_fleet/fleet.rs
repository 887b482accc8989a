//! Nodes, their messages, the platform and the callers in virtual time.

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

const START_MS: u64 = 1_000_000;
const NETWORK_MS: u64 = 1;

/// Whether a node's process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeState {
    /// It runs.
    Up,
    /// It is frozen until a time.
    Paused(TimeMs),
    /// It is gone.
    Down,
}

/// What a node has cost so far.
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
    /// Time spent in the reducer and the codec.
    pub processing_time: Duration,
    /// Transactions asked of the table service.
    pub table_writes: u64,
    /// Reads asked of the table service.
    pub table_reads: u64,
}

pub(super) struct Slot {
    pub(super) node: Node,
    pub(super) cost: NodeCost,
    pub(super) vm: VmId,
    pub(super) incarnation: Incarnation,
    pub(super) state: NodeState,
    pub(super) region: String,
    pub(super) failure_domain: String,
    pub(super) exited: bool,
}

/// Call of a caller.
#[derive(Debug, Clone)]
pub struct Call {
    /// Node that was asked.
    pub node: usize,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Request.
    pub request: Request,
    /// When.
    pub submitted_at: TimeMs,
    /// Answers with their times; more than one is a fault.
    pub outcomes: Vec<(TimeMs, Outcome)>,
}

pub(super) enum Delivery {
    ToNode { node: usize, incarnation: Incarnation, event: Event },
    ToEndpoint { node: usize, incarnation: Incarnation, not_after: TimeMs, dispatch: Box<Dispatch> },
    WorkDone { node: usize, incarnation: Incarnation, endpoint: usize, life: u32, dispatch: Box<Dispatch> },
    ToTable { node: usize, incarnation: Incarnation, op: OpId, request: TableRequest },
    OrderArrives { node: usize, incarnation: Incarnation, op: OpId, address: SocketAddr, order: Order },
    Delayed { node: usize, incarnation: Incarnation, effects: Vec<Effect> },
}

/// Faults of the table service.
#[derive(Debug, Default, Clone)]
pub struct SimTableFaults {
    pub is_down: bool,
    pub replies_to_lose: u32,
    /// Commits to hold back for a long time, their reply lost.
    pub commits_to_delay: u32,
}

/// Everything.
pub struct Fleet {
    pub now: TimeMs,
    pub rng: SmallRng,
    pub endpoints: Vec<SimEndpoint>,
    pub table: TableState,
    pub table_faults: SimTableFaults,
    pub calls: BTreeMap<CallId, Call>,
    pub operator_replies: BTreeMap<CallId, OperatorReply>,
    pub runs: Vec<StageRun>,
    pub orders: Vec<(TimeMs, usize, Order, bool)>,
    pub counters: BTreeMap<Counter, u64>,
    pub state_changes: Vec<(TimeMs, VmId, StateChange)>,
    pub message_count: u64,
    /// Pairs of regions that do not hear each other.
    pub disconnected_regions: BTreeSet<(String, String)>,
    /// Time for which the executor of each node holds effects back.
    pub executor_delay_ms: BTreeMap<usize, u64>,
    pub(super) snapshot: Option<Arc<ListsSnapshot>>,
    pub(super) slots: Vec<Slot>,
    pub(super) queue: BTreeMap<(TimeMs, u64), Delivery>,
    pub(super) next: u64,
    pub(super) next_call: u64,
    pub(super) next_incarnation: u64,
    pub(super) limits: Limits,
    pub(super) canceled: BTreeSet<(Incarnation, AttemptId)>,
    pub(super) list_log: Vec<VmListEntry>,
    pub(super) by_vm: HashMap<VmId, usize>,
    pub(super) by_address: HashMap<SocketAddr, usize>,
    pub(super) wakes: BTreeSet<(TimeMs, usize)>,
    pub(super) wake_of: Vec<Option<TimeMs>>,
    pub(super) measures_cost: bool,
    pub(super) paused: usize,
    pub(super) pipelines: Vec<Arc<Pipeline>>,
}

impl Fleet {
    /// Fleet without nodes.
    pub fn new(seed: u64, limits: Limits) -> Self {
        Self {
            now: TimeMs(START_MS),
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
            slots: Vec::new(),
            queue: BTreeMap::new(),
            next: 0,
            next_call: 0,
            next_incarnation: 1,
            limits,
            canceled: BTreeSet::new(),
            list_log: Vec::new(),
            by_vm: HashMap::new(),
            by_address: HashMap::new(),
            wakes: BTreeSet::new(),
            wake_of: Vec::new(),
            measures_cost: false,
            paused: 0,
            pipelines: pipelines(),
        }
    }

    /// Commits a change before any node runs.
    pub fn commit_list_edit(&mut self, edit: ListEdit) {
        let version = self.list_version().next();
        let id = WriteId { vm: name("seed"), incarnation: Incarnation(0), op: OpId(version.0) };
        let write = |key, value| RowWrite { key, expect: boragepass_core::ExpectedVersion::Any, id: id.clone(), value };
        let change = RowValue::Change(Box::new(ListChange { version, edit }));
        let writes = vec![write(RowKey::Change(version), change), write(RowKey::Head, RowValue::Head(version))];
        self.table.apply(&TableRequest::Commit(writes));
    }

    /// Version of the lists in the table.
    pub fn list_version(&self) -> ListVersion {
        match self.table.row(&RowKey::Head).map(|row| &row.value) {
            Some(RowValue::Head(version)) => *version,
            _ => ListVersion(0),
        }
    }

    /// Adds an endpoint.
    pub fn add_endpoint(&mut self, endpoint: SimEndpoint) -> usize {
        self.list_log.push(endpoint.entry.clone());
        self.by_address.insert(endpoint.address, self.endpoints.len());
        self.endpoints.push(endpoint);
        self.endpoints.len() - 1
    }

    /// Adds a node and starts it.
    pub fn add_node(&mut self, vm: &str, region: &str, failure_domain: &str) -> usize {
        let index = self.slots.len();
        let incarnation = self.take_incarnation();
        let node = self.new_node(index, vm, region, failure_domain, incarnation);
        self.slots.push(Slot {
            node,
            cost: NodeCost::default(),
            vm: name(vm),
            incarnation,
            state: NodeState::Up,
            region: region.to_owned(),
            failure_domain: failure_domain.to_owned(),
            exited: false,
        });
        self.by_vm.insert(self.slots[index].vm.clone(), index);
        self.wake_of.push(None);
        self.publish_node_entry(index, VmState::Live);
        self.handle_event(index, Event::Tick);
        index
    }

    fn take_incarnation(&mut self) -> Incarnation {
        let incarnation = Incarnation(self.next_incarnation);
        self.next_incarnation += 1;
        incarnation
    }

    fn new_node(&self, index: usize, vm: &str, region: &str, failure_domain: &str, incarnation: Incarnation) -> Node {
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

    /// Changes a node's entry in the VM list.
    pub fn publish_node_entry(&mut self, index: usize, state: VmState) {
        let slot = &self.slots[index];
        self.list_log.push(VmListEntry::EntryVm {
            vm: slot.vm.clone(),
            region: name(&slot.region),
            failure_domain: name(&slot.failure_domain),
            peer_address: node_address(index, 1),
            caller_address: node_address(index, 2),
            state,
        });
    }

    /// Number of nodes.
    pub fn node_count(&self) -> usize {
        self.slots.len()
    }

    /// State of a node.
    pub fn node_state(&self, index: usize) -> NodeState {
        self.slots[index].state
    }

    /// Whether a node asked to end.
    pub fn has_exited(&self, index: usize) -> bool {
        self.slots[index].exited
    }

    /// VM of a node.
    pub fn vm(&self, index: usize) -> &VmId {
        &self.slots[index].vm
    }

    /// Incarnation of a node.
    pub fn incarnation(&self, index: usize) -> Incarnation {
        self.slots[index].incarnation
    }

    /// Requests in progress at a node.
    pub fn in_progress(&self, index: usize) -> usize {
        self.slots[index].node.in_progress()
    }

    /// Ends a node's process at once.
    pub fn kill(&mut self, index: usize) {
        if matches!(self.slots[index].state, NodeState::Paused(_)) {
            self.paused -= 1;
        }
        self.slots[index].state = NodeState::Down;
        self.note_wake(index);
    }

    /// Freezes a node's process.
    pub fn pause(&mut self, index: usize, ms: u64) {
        if self.slots[index].state == NodeState::Up {
            self.slots[index].state = NodeState::Paused(TimeMs(self.now.0 + ms));
            self.paused += 1;
            self.note_wake(index);
        }
    }

    /// Starts a node that is down, with nothing that it knew.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.take_incarnation();
        let (vm, region) = (self.slots[index].vm.to_string(), self.slots[index].region.clone());
        let failure_domain = self.slots[index].failure_domain.clone();
        let node = self.new_node(index, &vm, &region, &failure_domain, incarnation);
        let slot = &mut self.slots[index];
        slot.node = node;
        slot.incarnation = incarnation;
        slot.state = NodeState::Up;
        slot.exited = false;
        self.publish_node_entry(index, VmState::Live);
        self.handle_event(index, Event::Tick);
    }

    /// Crashes an endpoint for a while.
    pub fn crash_endpoint(&mut self, index: usize, down_ms: u64) {
        let endpoint = &mut self.endpoints[index];
        endpoint.life += 1;
        endpoint.running = 0;
        endpoint.down_until = TimeMs(self.now.0 + down_ms);
        let address = endpoint.address;
        let mut lost = Vec::new();
        self.queue.retain(|_, delivery| match delivery {
            Delivery::WorkDone { node, incarnation, endpoint, dispatch, .. } if *endpoint == index => {
                lost.push((*node, *incarnation, dispatch.tag.attempt));
                false
            }
            Delivery::ToNode { event: Event::StageReply { echo: Some(_), .. }, .. } => true,
            _ => true,
        });
        debug_assert_eq!(address, self.endpoints[index].address);
        for (node, incarnation, attempt) in lost {
            let event = Event::StageReply { attempt, echo: None, reply: StageReply::Lost };
            self.deliver(NETWORK_MS, Delivery::ToNode { node, incarnation, event });
        }
    }

    /// Marks an endpoint as leaving in the VM list and in its reports.
    pub fn mark_endpoint_leaving(&mut self, index: usize) {
        let now = self.now;
        let endpoint = &mut self.endpoints[index];
        endpoint.leaving_since.get_or_insert(now);
        if let VmListEntry::Endpoint { state, .. } = &mut endpoint.entry {
            *state = VmState::Leaving;
        }
        self.list_log.push(self.endpoints[index].entry.clone());
    }

    /// Sends a request to a node.
    pub fn submit(&mut self, node: usize, workspace: &str, pipeline: &str, id: &str, input: &str) -> CallId {
        self.submit_with_key(node, workspace, pipeline, id, input, None)
    }

    /// Sends a request that may not be repeated.
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
            stream: false,
        });
        let request = request.expect("the requests of the tests are valid");
        let call = self.new_call();
        let (at, incarnation) = (self.now, self.slots[node].incarnation);
        self.calls
            .insert(call, Call { node, incarnation, request: request.clone(), submitted_at: at, outcomes: Vec::new() });
        let key = AccessKey::new(&caller_key(workspace));
        self.handle_event(node, Event::Submit { call, key, request });
        call
    }

    fn new_call(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }

    /// Sends an operator's command to a node.
    pub fn send_operator_command(&mut self, node: usize, command: OperatorCommand) -> CallId {
        let call = self.new_call();
        self.handle_event(node, Event::OperatorCommand { call, command });
        call
    }

    /// State of the fleet as a node sees it; `None` while it does not run.
    pub fn status(&mut self, node: usize) -> Option<Box<FleetStatus>> {
        let call = self.send_operator_command(node, OperatorCommand::Status);
        match self.operator_replies.remove(&call) {
            Some(OperatorReply::Status(status)) => Some(status),
            _ => None,
        }
    }

    /// Asks a node to stop as planned.
    pub fn terminate(&mut self, node: usize) {
        self.handle_event(node, Event::Terminate);
    }

    /// Lets time pass.
    pub fn advance(&mut self, ms: u64) {
        let until = TimeMs(self.now.0 + ms);
        loop {
            let delivery_at = self.queue.first_key_value().map(|((at, _), _)| *at);
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
            if self.paused > 0 {
                self.resume_paused();
            }
            match (delivery_at, wake) {
                (Some(at), _) if at <= next => self.deliver_first(),
                (_, Some((at, node))) if at <= next => self.handle_event(node, Event::Tick),
                _ => break,
            }
        }
        self.now = until;
        self.resume_paused();
    }

    fn next_wake(&self) -> Option<(TimeMs, usize)> {
        self.wakes.first().map(|(at, node)| ((*at).max(self.now), *node))
    }

    /// Notes when a node has to be woken.
    pub(super) fn note_wake(&mut self, node: usize) {
        if let Some(old) = self.wake_of[node].take() {
            self.wakes.remove(&(old, node));
        }
        let slot = &self.slots[node];
        let wake = match slot.state {
            NodeState::Up => slot.node.next_wake(),
            NodeState::Paused(until) => Some(until),
            NodeState::Down => None,
        };
        if let Some(at) = wake {
            self.wakes.insert((at, node));
            self.wake_of[node] = Some(at);
        }
    }

    fn resume_paused(&mut self) {
        for index in 0..self.slots.len() {
            if matches!(self.slots[index].state, NodeState::Paused(until) if until <= self.now) {
                self.slots[index].state = NodeState::Up;
                self.paused -= 1;
                self.note_wake(index);
            }
        }
    }

    pub(super) fn deliver(&mut self, after_ms: u64, delivery: Delivery) {
        let at = TimeMs(self.now.0 + after_ms);
        self.queue.insert((at, self.next), delivery);
        self.next += 1;
    }

    fn deliver_first(&mut self) {
        let Some((_, delivery)) = self.queue.pop_first() else {
            return;
        };
        match delivery {
            Delivery::ToNode { node, incarnation, event } => self.arrive_at_node(node, incarnation, event),
            Delivery::ToEndpoint { node, incarnation, not_after, dispatch } => {
                self.arrive_at_endpoint(node, incarnation, not_after, dispatch);
            }
            Delivery::WorkDone { node, incarnation, endpoint, life, dispatch } => {
                self.finish_work(node, incarnation, endpoint, life, &dispatch);
            }
            Delivery::ToTable { node, incarnation, op, request } => {
                self.arrive_at_table(node, incarnation, op, &request);
            }
            Delivery::OrderArrives { node, incarnation, op, address, order } => {
                self.arrive_order(node, incarnation, op, address, &order);
            }
            Delivery::Delayed { node, incarnation, effects } => {
                if self.is_current(node, incarnation) {
                    self.carry_out(node, effects);
                }
            }
        }
    }

    pub(super) fn is_current(&self, node: usize, incarnation: Incarnation) -> bool {
        self.slots[node].incarnation == incarnation && self.slots[node].state != NodeState::Down
    }

    fn arrive_at_node(&mut self, node: usize, incarnation: Incarnation, event: Event) {
        if !self.is_current(node, incarnation) {
            return;
        }
        match self.slots[node].state {
            NodeState::Paused(until) => {
                let wait = until.0.saturating_sub(self.now.0).max(1);
                self.deliver(wait, Delivery::ToNode { node, incarnation, event });
            }
            NodeState::Up => self.handle_event(node, event),
            NodeState::Down => {}
        }
    }

    /// Hands an event to a node and carries out what it asks for.
    pub fn handle_event(&mut self, node: usize, event: Event) {
        let slot = &mut self.slots[node];
        match slot.state {
            NodeState::Up => {}
            NodeState::Paused(_) => {
                let incarnation = slot.incarnation;
                self.arrive_at_node(node, incarnation, event);
                return;
            }
            NodeState::Down => return,
        }
        let started = self.measures_cost.then(Instant::now);
        let effects = slot.node.handle(self.now, event);
        if let Some(started) = started {
            slot.cost.processing_time += started.elapsed();
        }
        self.note_wake(node);
        let delay_ms = self.executor_delay_ms.get(&node).copied().unwrap_or(0);
        if delay_ms > 0 {
            let incarnation = self.slots[node].incarnation;
            self.deliver(delay_ms, Delivery::Delayed { node, incarnation, effects });
        } else {
            self.carry_out(node, effects);
        }
    }

    /// Starts to measure what nodes cost.
    pub fn measure_cost(&mut self) {
        self.measures_cost = true;
        for slot in &mut self.slots {
            slot.cost = NodeCost::default();
        }
    }

    /// What a node has cost since the measurement began.
    pub fn cost(&self, node: usize) -> NodeCost {
        self.slots[node].cost
    }
}

fn node_address(index: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], port))
}
