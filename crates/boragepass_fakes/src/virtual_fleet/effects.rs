//! Carries out a node's effects on the fake platform, the endpoints and the other nodes.
//!
//! Deliveries are scheduled after a network delay, and the faults of the fleet apply here.

use std::net::SocketAddr;
use std::time::Instant;

use boragepass_core::{
    Dispatch, Effect, Event, ObjectReply, ObjectRequest, Order, OrderReply, PeerMessage, StageReply, TableReply,
    TableRequest, VmListReply,
};
use boragepass_types::{Incarnation, OpId, TimeMs, VmId};
use boragepass_wire::{decode_message, encode_message};
use rand::Rng;

use super::endpoint::{SimEndpoint, StageRun};
use super::fleet::{Delivery, Fleet, NodeState};

/// Length prefix of a message and header of an HTTP/2 DATA frame.
const FRAMING_BYTES: usize = 4 + 9;
const NETWORK_DELAY_MS: u64 = 1;
const TABLE_DELAY_MS: u64 = 3;

impl Fleet {
    pub(super) fn execute_effects(&mut self, node: usize, effects: Vec<Effect>) {
        let incarnation = self.nodes[node].incarnation;
        for effect in effects {
            self.execute_effect(node, incarnation, effect);
        }
    }

    fn execute_effect(&mut self, node: usize, incarnation: Incarnation, effect: Effect) {
        match effect {
            Effect::Reply { call, outcome, .. } => {
                if let Some(record) = self.calls.get_mut(&call) {
                    record.outcomes.push((self.now, outcome));
                }
            }
            Effect::OperatorReply { call, reply } => {
                self.operator_replies.insert(call, *reply);
            }
            Effect::Dispatch { not_after, dispatch } => {
                if self.now > not_after {
                    let event = Event::AttemptExpired { attempt: dispatch.tag.attempt };
                    self.schedule(0, Delivery::NodeEvent { node, incarnation, event });
                } else {
                    let delay_ms = self.network_delay(0);
                    self.schedule(delay_ms, Delivery::Dispatch { node, incarnation, not_after, dispatch });
                }
            }
            Effect::Cancel { attempt } => {
                self.canceled_attempts.insert((incarnation, attempt));
            }
            Effect::Table { op, request } => {
                let cost = &mut self.nodes[node].cost;
                match &request {
                    TableRequest::Commit(_) => cost.table_writes += 1,
                    TableRequest::Read(_) => cost.table_reads += 1,
                }
                self.schedule(TABLE_DELAY_MS, Delivery::TableRequest { node, incarnation, op, request });
            }
            Effect::Object { op, request } => self.deliver_to_object_store(node, incarnation, op, request),
            Effect::PollVmList { since } => {
                let entries = self.vm_list_log.iter().skip(since as usize).cloned().collect();
                let reply = VmListReply::Changes { version: self.vm_list_log.len() as u64, entries };
                self.schedule(
                    TABLE_DELAY_MS,
                    Delivery::NodeEvent { node, incarnation, event: Event::VmListReply(reply) },
                );
            }
            Effect::PollLoad { endpoint, address, asked_at } => {
                let polled = self.endpoint_by_address.get(&address).map(|index| &self.endpoints[*index]);
                let report = polled.filter(|polled| polled.is_up(self.now)).map(SimEndpoint::report);
                let event = Event::LoadReply { endpoint, asked_at, report };
                self.schedule(2 * NETWORK_DELAY_MS, Delivery::NodeEvent { node, incarnation, event });
            }
            Effect::Send { to, message, .. } => self.send(node, incarnation, &to, message),
            Effect::Order { op, not_after, address, order } => {
                if self.now > not_after {
                    let event = Event::OrderReply { op, reply: OrderReply::Expired };
                    self.schedule(0, Delivery::NodeEvent { node, incarnation, event });
                } else {
                    let delay_ms = self.rng.random_range(1..=self.limits.order_time_max_ms.0 - 1);
                    self.schedule(delay_ms, Delivery::Order { node, incarnation, op, address, order });
                }
            }
            Effect::Count { counter, by } => *self.counters.entry(counter).or_default() += by,
            Effect::Log(change) => self.state_changes.push((self.now, self.nodes[node].vm.clone(), change)),
            Effect::Exit => {
                self.nodes[node].has_exited = true;
                self.nodes[node].state = NodeState::Down;
                self.reschedule_wake(node);
            }
            Effect::Token { .. } | Effect::AddressAnswer { .. } => {}
        }
    }

    fn network_delay(&mut self, extra_ms: u64) -> u64 {
        NETWORK_DELAY_MS + extra_ms + self.rng.random_range(0..2)
    }

    fn send(&mut self, node: usize, incarnation: Incarnation, to: &VmId, message: PeerMessage) {
        let Some(target) = self.node_by_vm.get(to).copied() else {
            return;
        };
        let (from_region, to_region) = (self.nodes[node].region.clone(), self.nodes[target].region.clone());
        let is_disconnected = self.disconnected_regions.contains(&(from_region.clone(), to_region.clone()));
        if is_disconnected || self.nodes[target].state == NodeState::Down {
            return;
        }
        self.message_count += 1;
        let message = if self.is_cost_measured { self.encode_and_decode(node, target, &message) } else { message };
        let extra_ms = if from_region == to_region { 0 } else { self.limits.region_delay_ms.0 };
        let delay_ms = self.network_delay(extra_ms);
        let event = Event::PeerMessageReceived { from: self.nodes[node].vm.clone(), incarnation, message };
        let target_incarnation = self.nodes[target].incarnation;
        self.schedule(delay_ms, Delivery::NodeEvent { node: target, incarnation: target_incarnation, event });
    }

    /// Encodes and decodes a message and charges the cost to the sender and the receiver.
    fn encode_and_decode(&mut self, from: usize, to: usize, message: &PeerMessage) -> PeerMessage {
        let started = Instant::now();
        let bytes = encode_message(message).expect("messages of the reducer are encodable");
        let encoded_after = started.elapsed();
        let decoded = decode_message(&bytes).expect("encoded messages are decodable");
        let decoded_after = started.elapsed();
        let len = (bytes.len() + FRAMING_BYTES) as u64;
        let sender = &mut self.nodes[from].cost;
        sender.messages_out += 1;
        sender.bytes_out += len;
        sender.processing_time += encoded_after;
        let receiver = &mut self.nodes[to].cost;
        receiver.messages_in += 1;
        receiver.bytes_in += len;
        receiver.processing_time += decoded_after - encoded_after;
        decoded
    }

    fn deliver_to_object_store(&mut self, node: usize, incarnation: Incarnation, op: OpId, request: ObjectRequest) {
        let reply = match request {
            _ if self.table_faults.is_down => ObjectReply::Unavailable,
            ObjectRequest::GetSnapshot => ObjectReply::Snapshot(self.snapshot.clone()),
            ObjectRequest::PutSnapshot(snapshot) => {
                self.snapshot = Some(snapshot);
                ObjectReply::Stored
            }
        };
        self.schedule(
            TABLE_DELAY_MS,
            Delivery::NodeEvent { node, incarnation, event: Event::ObjectReply { op, reply } },
        );
    }

    pub(super) fn deliver_to_table(&mut self, node: usize, incarnation: Incarnation, op: OpId, request: &TableRequest) {
        let is_commit = matches!(request, TableRequest::Commit(_));
        if self.table_faults.is_down {
            return self.reply_from_table(node, incarnation, op, TableReply::Unavailable);
        }
        if is_commit && self.table_faults.commits_to_delay > 0 {
            self.table_faults.commits_to_delay -= 1;
            let after = self.rng.random_range(500..8_000);
            // The commit takes effect after its writer has given up. No node waits for this operation
            // id, so its reply is ignored.
            let unknown_op = OpId(u64::MAX);
            self.schedule(
                after,
                Delivery::TableRequest { node, incarnation, op: unknown_op, request: request.clone() },
            );
            return self.reply_from_table(node, incarnation, op, TableReply::Lost);
        }
        let reply = self.table.apply(request);
        if is_commit && self.table_faults.replies_to_lose > 0 {
            self.table_faults.replies_to_lose -= 1;
            return self.reply_from_table(node, incarnation, op, TableReply::Lost);
        }
        self.reply_from_table(node, incarnation, op, reply);
    }

    fn reply_from_table(&mut self, node: usize, incarnation: Incarnation, op: OpId, reply: TableReply) {
        let event = Event::TableReply { op, reply };
        self.schedule(TABLE_DELAY_MS, Delivery::NodeEvent { node, incarnation, event });
    }

    pub(super) fn deliver_to_endpoint(
        &mut self,
        node: usize,
        incarnation: Incarnation,
        not_after: TimeMs,
        dispatch: Box<Dispatch>,
    ) {
        let attempt = dispatch.tag.attempt;
        let Some(index) = self.endpoint_by_address.get(&dispatch.address).copied() else {
            return;
        };
        debug_assert!(self.now.0 <= not_after.0 + self.limits.region_delay_ms.0 + 5);
        let endpoint = &mut self.endpoints[index];
        if !endpoint.is_up(self.now) {
            let event = Event::StageReply { attempt, echo: None, reply: StageReply::NotSent };
            return self.schedule(NETWORK_DELAY_MS, Delivery::NodeEvent { node, incarnation, event });
        }
        let caused_crash = endpoint.crash_on.as_ref().is_some_and(|needle| dispatch.input.0.contains(needle.as_str()));
        endpoint.running += 1;
        let (crash_count, stage_ms) = (endpoint.crash_count, endpoint.stage_ms);
        let (tag, idempotency_key) = (dispatch.tag.clone(), dispatch.idempotency_key.clone());
        self.runs.push(StageRun { tag, idempotency_key, endpoint: index, started_at: self.now, caused_crash });
        let done = Delivery::StageDone { node, incarnation, endpoint: index, crash_count, dispatch };
        if caused_crash {
            self.schedule(1, done);
            self.crash_endpoint(index, 20_000);
        } else {
            let jitter = self.rng.random_range(0..=stage_ms / 2);
            self.schedule(stage_ms + jitter, done);
        }
    }

    pub(super) fn finish_stage(
        &mut self,
        node: usize,
        incarnation: Incarnation,
        endpoint: usize,
        crash_count: u32,
        dispatch: &Dispatch,
    ) {
        let sim_endpoint = &mut self.endpoints[endpoint];
        if sim_endpoint.crash_count != crash_count {
            return;
        }
        sim_endpoint.running = sim_endpoint.running.saturating_sub(1);
        if self.canceled_attempts.contains(&(incarnation, dispatch.tag.attempt)) {
            return;
        }
        let attempt = dispatch.tag.attempt;
        let replies = sim_endpoint.replies(dispatch);
        for (order, (echo, reply)) in replies.into_iter().enumerate() {
            let event = Event::StageReply { attempt, echo, reply };
            self.schedule(NETWORK_DELAY_MS + order as u64, Delivery::NodeEvent { node, incarnation, event });
        }
    }

    pub(super) fn deliver_order(
        &mut self,
        node: usize,
        incarnation: Incarnation,
        op: OpId,
        address: SocketAddr,
        order: &Order,
    ) {
        let Some(index) = self.endpoint_by_address.get(&address).copied() else {
            return;
        };
        let now = self.now;
        let endpoint = &mut self.endpoints[index];
        let is_stale = order.fence.0 < endpoint.highest_fence;
        let is_accepted = endpoint.is_up(now) && !(endpoint.checks_fence && is_stale);
        self.orders.push((now, index, order.clone(), is_accepted));
        if is_accepted {
            endpoint.highest_fence = endpoint.highest_fence.max(order.fence.0);
            endpoint.models.clone_from(&order.models);
        }
        let reply = if is_accepted { OrderReply::Accepted } else { OrderReply::Fenced };
        let reply = if endpoint.is_up(now) { reply } else { OrderReply::Lost };
        self.schedule(
            NETWORK_DELAY_MS,
            Delivery::NodeEvent { node, incarnation, event: Event::OrderReply { op, reply } },
        );
    }
}
