//! What the fakes do with the effects of a node.

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

/// Length of a frame, head of an h2 DATA frame.
const FRAMING_BYTES: usize = 4 + 9;
const NETWORK_MS: u64 = 1;
const TABLE_MS: u64 = 3;

impl Fleet {
    pub(super) fn carry_out(&mut self, node: usize, effects: Vec<Effect>) {
        let incarnation = self.slots[node].incarnation;
        for effect in effects {
            self.carry_out_one(node, incarnation, effect);
        }
    }

    fn carry_out_one(&mut self, node: usize, incarnation: Incarnation, effect: Effect) {
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
                    self.deliver(0, Delivery::ToNode { node, incarnation, event });
                } else {
                    let travel = self.travel(0);
                    self.deliver(travel, Delivery::ToEndpoint { node, incarnation, not_after, dispatch });
                }
            }
            Effect::Cancel { attempt } => {
                self.canceled.insert((incarnation, attempt));
            }
            Effect::Table { op, request } => {
                let cost = &mut self.slots[node].cost;
                match &request {
                    TableRequest::Commit(_) => cost.table_writes += 1,
                    TableRequest::Read(_) => cost.table_reads += 1,
                }
                self.deliver(TABLE_MS, Delivery::ToTable { node, incarnation, op, request });
            }
            Effect::Object { op, request } => self.ask_objects(node, incarnation, op, request),
            Effect::PollVmList { since } => {
                let entries = self.list_log.iter().skip(since as usize).cloned().collect();
                let reply = VmListReply::Changes { version: self.list_log.len() as u64, entries };
                self.deliver(TABLE_MS, Delivery::ToNode { node, incarnation, event: Event::VmListReply(reply) });
            }
            Effect::PollLoad { endpoint, address, asked_at } => {
                let known = self.by_address.get(&address).map(|index| &self.endpoints[*index]);
                let report = known.filter(|known| known.is_up(self.now)).map(SimEndpoint::report);
                let event = Event::LoadReply { endpoint, asked_at, report };
                self.deliver(2 * NETWORK_MS, Delivery::ToNode { node, incarnation, event });
            }
            Effect::Send { to, message, .. } => self.send(node, incarnation, &to, message),
            Effect::Order { op, not_after, address, order } => {
                if self.now > not_after {
                    let event = Event::OrderReply { op, reply: OrderReply::Expired };
                    self.deliver(0, Delivery::ToNode { node, incarnation, event });
                } else {
                    let travel = self.rng.random_range(1..=self.limits.order_time_max_ms.0 - 1);
                    self.deliver(travel, Delivery::OrderArrives { node, incarnation, op, address, order });
                }
            }
            Effect::Count { counter, by } => *self.counters.entry(counter).or_default() += by,
            Effect::Log(change) => self.state_changes.push((self.now, self.slots[node].vm.clone(), change)),
            Effect::Exit => {
                self.slots[node].exited = true;
                self.slots[node].state = NodeState::Down;
                self.note_wake(node);
            }
            Effect::Token { .. } | Effect::AddressAnswer { .. } => {}
        }
    }

    fn travel(&mut self, extra_ms: u64) -> u64 {
        NETWORK_MS + extra_ms + self.rng.random_range(0..2)
    }

    fn send(&mut self, node: usize, incarnation: Incarnation, to: &VmId, message: PeerMessage) {
        let Some(target) = self.by_vm.get(to).copied() else {
            return;
        };
        let (from_region, to_region) = (self.slots[node].region.clone(), self.slots[target].region.clone());
        let is_cut = self.disconnected_regions.contains(&(from_region.clone(), to_region.clone()));
        if is_cut || self.slots[target].state == NodeState::Down {
            return;
        }
        self.message_count += 1;
        let message = if self.measures_cost { self.encode_and_decode(node, target, &message) } else { message };
        let extra_ms = if from_region == to_region { 0 } else { self.limits.region_delay_ms.0 };
        let travel = self.travel(extra_ms);
        let event = Event::PeerMessageReceived { from: self.slots[node].vm.clone(), incarnation, message };
        let target_incarnation = self.slots[target].incarnation;
        self.deliver(travel, Delivery::ToNode { node: target, incarnation: target_incarnation, event });
    }

    /// Takes a message through the codec and books its cost on both sides.
    fn encode_and_decode(&mut self, from: usize, to: usize, message: &PeerMessage) -> PeerMessage {
        let started = Instant::now();
        let bytes = encode_message(message).expect("messages of the reducer are encodable");
        let encoded_after = started.elapsed();
        let decoded = decode_message(&bytes).expect("encoded messages are decodable");
        let decoded_after = started.elapsed();
        let len = (bytes.len() + FRAMING_BYTES) as u64;
        let sender = &mut self.slots[from].cost;
        sender.messages_out += 1;
        sender.bytes_out += len;
        sender.processing_time += encoded_after;
        let receiver = &mut self.slots[to].cost;
        receiver.messages_in += 1;
        receiver.bytes_in += len;
        receiver.processing_time += decoded_after - encoded_after;
        decoded
    }

    fn ask_objects(&mut self, node: usize, incarnation: Incarnation, op: OpId, request: ObjectRequest) {
        let reply = match request {
            _ if self.table_faults.is_down => ObjectReply::Unavailable,
            ObjectRequest::GetSnapshot => ObjectReply::Snapshot(self.snapshot.clone()),
            ObjectRequest::PutSnapshot(snapshot) => {
                self.snapshot = Some(snapshot);
                ObjectReply::Stored
            }
        };
        self.deliver(TABLE_MS, Delivery::ToNode { node, incarnation, event: Event::ObjectReply { op, reply } });
    }

    pub(super) fn arrive_at_table(&mut self, node: usize, incarnation: Incarnation, op: OpId, request: &TableRequest) {
        let is_commit = matches!(request, TableRequest::Commit(_));
        if self.table_faults.is_down {
            return self.reply_from_table(node, incarnation, op, TableReply::Unavailable);
        }
        if is_commit && self.table_faults.commits_to_delay > 0 {
            self.table_faults.commits_to_delay -= 1;
            let after = self.rng.random_range(500..8_000);
            // The writer gives up long before; the write lands all the same.
            let never = OpId(u64::MAX);
            self.deliver(after, Delivery::ToTable { node, incarnation, op: never, request: request.clone() });
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
        self.deliver(TABLE_MS, Delivery::ToNode { node, incarnation, event });
    }

    pub(super) fn arrive_at_endpoint(
        &mut self,
        node: usize,
        incarnation: Incarnation,
        not_after: TimeMs,
        dispatch: Box<Dispatch>,
    ) {
        let attempt = dispatch.tag.attempt;
        let Some(index) = self.by_address.get(&dispatch.address).copied() else {
            return;
        };
        debug_assert!(self.now.0 <= not_after.0 + self.limits.region_delay_ms.0 + 5);
        let endpoint = &mut self.endpoints[index];
        if !endpoint.is_up(self.now) {
            let event = Event::StageReply { attempt, echo: None, reply: StageReply::NotSent };
            return self.deliver(NETWORK_MS, Delivery::ToNode { node, incarnation, event });
        }
        let crashed = endpoint.crash_on.as_ref().is_some_and(|word| dispatch.input.0.contains(word.as_str()));
        endpoint.running += 1;
        let (life, stage_ms) = (endpoint.life, endpoint.stage_ms);
        let (tag, key) = (dispatch.tag.clone(), dispatch.idempotency_key.clone());
        self.runs.push(StageRun {
            tag,
            idempotency_key: key,
            endpoint: index,
            started_at: self.now,
            caused_crash: crashed,
        });
        let done = Delivery::WorkDone { node, incarnation, endpoint: index, life, dispatch };
        if crashed {
            self.deliver(1, done);
            self.crash_endpoint(index, 20_000);
        } else {
            let jitter = self.rng.random_range(0..=stage_ms / 2);
            self.deliver(stage_ms + jitter, done);
        }
    }

    pub(super) fn finish_work(
        &mut self,
        node: usize,
        incarnation: Incarnation,
        endpoint: usize,
        life: u32,
        dispatch: &Dispatch,
    ) {
        let known = &mut self.endpoints[endpoint];
        if known.life != life {
            return;
        }
        known.running = known.running.saturating_sub(1);
        if self.canceled.contains(&(incarnation, dispatch.tag.attempt)) {
            return;
        }
        let attempt = dispatch.tag.attempt;
        let replies = known.replies(dispatch);
        for (order, (echo, reply)) in replies.into_iter().enumerate() {
            let event = Event::StageReply { attempt, echo, reply };
            self.deliver(NETWORK_MS + order as u64, Delivery::ToNode { node, incarnation, event });
        }
    }

    pub(super) fn arrive_order(
        &mut self,
        node: usize,
        incarnation: Incarnation,
        op: OpId,
        address: SocketAddr,
        order: &Order,
    ) {
        let Some(index) = self.by_address.get(&address).copied() else {
            return;
        };
        let now = self.now;
        let endpoint = &mut self.endpoints[index];
        let is_old = order.fence.0 < endpoint.highest_fence;
        let is_taken = endpoint.is_up(now) && !(endpoint.checks_fence && is_old);
        self.orders.push((now, index, order.clone(), is_taken));
        if is_taken {
            endpoint.highest_fence = endpoint.highest_fence.max(order.fence.0);
            endpoint.models.clone_from(&order.models);
        }
        let reply = if is_taken { OrderReply::Accepted } else { OrderReply::Fenced };
        let reply = if endpoint.is_up(now) { reply } else { OrderReply::Lost };
        self.deliver(NETWORK_MS, Delivery::ToNode { node, incarnation, event: Event::OrderReply { op, reply } });
    }
}
