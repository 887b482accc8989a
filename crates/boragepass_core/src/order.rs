//! Orders to engines: which models and adapters each is to load. An engine is an endpoint of a pool
//! whose stages name a model.
//!
//! One VM of a region at a time sends orders. It holds a lease with a fencing number, stored in the
//! table service. The holder counts its lease from before the write that took it; a successor takes
//! it once the row has been unchanged for the lease, the longest time an order may take to arrive
//! and a margin. An order states the desired state. An engine that does not check the fencing number
//! may accept a stale order; that is corrected because orders are sent again until the engine
//! reports the desired state.

use std::collections::BTreeMap;

use boragepass_types::{AdapterId, FenceNumber, ModelId, OpId, PoolId, RowVersion, SpanMs, TimeMs, rendezvous_weight};

use crate::counter::Counter;
use crate::effect::{Effect, Effects};
use crate::endpoints::EndpointIdx;
use crate::lease_row::LeaseRow;
use crate::map::Map;
use crate::node::{Node, TableOperation};
use crate::platform::{
    ExpectedVersion, Order, OrderReply, Row, RowKey, RowValue, RowWrite, TableReply, TableRequest, WriteId,
};
use crate::state_change::StateChange;
use crate::timers::Timer;

const ROUND_INTERVAL: SpanMs = SpanMs(1_000);
/// Added to the wait before a lease is taken over.
const TAKEOVER_MARGIN: SpanMs = SpanMs(1_000);
const RENEWALS_PER_LEASE: u64 = 3;
const RESEND_AFTER: SpanMs = SpanMs(5_000);
/// Mean load per slot above which a model needs one more engine.
const BUSY_LOAD: f32 = 0.8;
/// Load per slot below which an engine may be given another model.
const IDLE_LOAD: f32 = 0.4;

/// Lease as this VM sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Lease {
    /// Not read yet, expired here, or to be read again.
    Unknown,
    /// Held by another VM or by an earlier process of this one; `unchanged_since` is when this
    /// process first saw this version of the row.
    Observed { row: LeaseRow, version: RowVersion, unchanged_since: TimeMs },
    /// Held by this process.
    Held { fence: FenceNumber, version: RowVersion, renewal: u64, expires_at: TimeMs, renewed_at: TimeMs },
}

/// Write of the lease row. The lease counts from `started_at`.
#[derive(Debug, Clone)]
struct LeaseWrite {
    id: WriteId,
    row: LeaseRow,
    started_at: TimeMs,
}

/// Models and adapters that an engine is to load, and when the order was sent last.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Desired {
    models: Vec<ModelId>,
    adapters: Vec<AdapterId>,
    sent_at: Option<TimeMs>,
}

/// Lease and desired states, as far as this VM sends the orders.
#[derive(Debug)]
pub(crate) struct Orders {
    lease: Lease,
    pending_write: Option<LeaseWrite>,
    /// Write whose reply was lost. If the row shows its id, it took effect.
    unconfirmed_write: Option<LeaseWrite>,
    desired: Map<EndpointIdx, Desired>,
    /// When a model was first seen to have too few engines.
    shortage_since: BTreeMap<(PoolId, ModelId), TimeMs>,
    /// Engine of each order that awaits a reply.
    pending_orders: Map<OpId, EndpointIdx>,
}

impl Default for Orders {
    fn default() -> Self {
        Self {
            lease: Lease::Unknown,
            pending_write: None,
            unconfirmed_write: None,
            desired: Map::default(),
            shortage_since: BTreeMap::new(),
            pending_orders: Map::default(),
        }
    }
}

impl Node {
    /// Renews or acquires the lease and sends orders.
    pub(crate) fn on_order_timer(&mut self, now: TimeMs, out: &mut Effects) {
        self.timers.set(now + ROUND_INTERVAL, Timer::OrderRound);
        self.drop_expired_lease(now, out);
        if !self.is_order_candidate() || !self.has_engines() {
            return;
        }
        self.renew_or_acquire_lease(now, out);
        self.plan_orders(now);
        self.send_orders(now, out);
    }

    /// Whether this VM ranks first in the region by rendezvous hash. This is only a hint: the lease
    /// decides who sends orders.
    fn is_order_candidate(&self) -> bool {
        let region = &self.settings.region;
        let weight = |vm: &boragepass_types::VmId| rendezvous_weight(region.as_str(), vm.as_str());
        let serving = self.membership.serving().filter(|record| record.region == *region);
        let first = serving.map(|record| &record.vm).max_by_key(|vm| weight(vm));
        first == Some(&self.settings.vm)
    }

    fn has_engines(&self) -> bool {
        let is_engine_stage = |stage: &boragepass_types::Stage| stage.model.is_some();
        self.settings.pipelines.iter().any(|pipeline| pipeline.stages.iter().any(is_engine_stage))
    }

    fn drop_expired_lease(&mut self, now: TimeMs, out: &mut Effects) {
        if matches!(self.orders.lease, Lease::Held { expires_at, .. } if expires_at <= now) {
            self.orders.lease = Lease::Unknown;
            self.orders.desired.clear();
            out.count(Counter::LeaseLapsed);
            out.log(StateChange::LeaseLapsed { region: self.settings.region.clone() });
        }
    }

    fn lease_key(&self) -> RowKey {
        RowKey::Lease(self.settings.region.clone())
    }

    fn renew_or_acquire_lease(&mut self, now: TimeMs, out: &mut Effects) {
        if self.orders.pending_write.is_some() {
            return;
        }
        let lease_ms = self.settings.limits.lease_ms;
        match self.orders.lease.clone() {
            Lease::Held { fence, version, renewal, renewed_at, .. } => {
                let is_due = now.since(renewed_at).0 * RENEWALS_PER_LEASE >= lease_ms.0;
                if is_due {
                    self.write_lease(now, ExpectedVersion::Version(version), fence, renewal + 1, out);
                }
            }
            Lease::Observed { row, version, unchanged_since } => {
                let takeover_wait = lease_ms + self.settings.limits.order_time_max_ms + TAKEOVER_MARGIN;
                if now.since(unchanged_since) >= takeover_wait {
                    self.write_lease(now, ExpectedVersion::Version(version), row.fence.next(), 0, out);
                } else {
                    self.ask_table(TableRequest::Read(vec![self.lease_key()]), TableOperation::LeaseRead, out);
                }
            }
            Lease::Unknown => {
                self.ask_table(TableRequest::Read(vec![self.lease_key()]), TableOperation::LeaseRead, out);
            }
        }
    }

    fn write_lease(
        &mut self,
        now: TimeMs,
        expect: ExpectedVersion,
        fence: FenceNumber,
        renewal: u64,
        out: &mut Effects,
    ) {
        let op = self.new_op();
        let id = WriteId { vm: self.settings.vm.clone(), incarnation: self.settings.incarnation, op };
        let row = LeaseRow { holder: self.settings.vm.clone(), incarnation: self.settings.incarnation, fence, renewal };
        self.orders.pending_write = Some(LeaseWrite { id: id.clone(), row: row.clone(), started_at: now });
        let write = RowWrite { key: self.lease_key(), expect, id, value: RowValue::Lease(row) };
        self.ask_table(TableRequest::Commit(vec![write]), TableOperation::LeaseWrite, out);
    }

    /// Applies the lease row as it was read; acquires the lease if there is no row.
    pub(crate) fn on_lease_read(&mut self, now: TimeMs, reply: TableReply, out: &mut Effects) {
        let TableReply::Rows(rows) = reply else {
            return;
        };
        match rows.into_iter().next().flatten() {
            Some(row) => self.observe_lease(now, row, out),
            None if self.orders.pending_write.is_none() => {
                self.write_lease(now, ExpectedVersion::Absent, FenceNumber(1), 0, out);
            }
            None => {}
        }
    }

    fn observe_lease(&mut self, now: TimeMs, row: Row, out: &mut Effects) {
        let RowValue::Lease(lease) = row.value else {
            return;
        };
        if let Some(write) = self.orders.unconfirmed_write.clone().filter(|write| write.id == row.write_id) {
            // The write took effect although its reply was lost.
            self.orders.unconfirmed_write = None;
            self.record_lease_held(&write, row.version, out);
            return;
        }
        let known_since = match &self.orders.lease {
            Lease::Observed { version, unchanged_since, .. } if *version == row.version => Some(*unchanged_since),
            Lease::Held { version, .. } if *version == row.version => return,
            _ => None,
        };
        self.orders.lease =
            Lease::Observed { row: lease, version: row.version, unchanged_since: known_since.unwrap_or(now) };
    }

    /// Handles the reply to a write of the lease row.
    pub(crate) fn on_lease_written(&mut self, now: TimeMs, reply: TableReply, out: &mut Effects) {
        let Some(write) = self.orders.pending_write.clone() else {
            return;
        };
        match reply {
            TableReply::Committed(versions) => {
                self.orders.pending_write = None;
                let version = versions.first().copied().unwrap_or_default();
                self.record_lease_held(&write, version, out);
            }
            TableReply::Conflict(rows) => {
                let row = rows.into_iter().next().and_then(|(_, row)| row);
                match row {
                    Some(row) => self.observe_lease(now, row, out),
                    None => self.orders.lease = Lease::Unknown,
                }
                self.orders.pending_write = None;
            }
            TableReply::Unavailable | TableReply::Rows(_) => self.orders.pending_write = None,
            TableReply::Lost => {
                self.ask_table(TableRequest::Read(vec![self.lease_key()]), TableOperation::LeaseRead, out);
                self.orders.pending_write = None;
                self.orders.unconfirmed_write = Some(write);
            }
        }
    }

    fn record_lease_held(&mut self, write: &LeaseWrite, version: RowVersion, out: &mut Effects) {
        let is_new = !matches!(self.orders.lease, Lease::Held { fence, .. } if fence == write.row.fence);
        self.orders.lease = Lease::Held {
            fence: write.row.fence,
            version,
            renewal: write.row.renewal,
            expires_at: write.started_at + self.settings.limits.lease_ms,
            renewed_at: write.started_at,
        };
        if is_new {
            out.count(Counter::LeaseTaken);
            out.log(StateChange::LeaseHeld { region: self.settings.region.clone(), fence: write.row.fence });
        }
    }

    /// Decides what engines are to load. Pools with an engine that has never reported are left out,
    /// since what that engine holds is unknown.
    fn plan_orders(&mut self, now: TimeMs) {
        if !matches!(self.orders.lease, Lease::Held { .. }) {
            return;
        }
        for (pool, needs) in self.needed_models() {
            let engines = self.engines_of(&pool);
            if engines.is_empty() || engines.iter().any(|idx| self.endpoints.get(*idx).reported_at.is_none()) {
                continue;
            }
            for (model, adapters) in &needs {
                self.plan_model(now, &pool, model, adapters, &needs, &engines);
            }
        }
    }

    /// Models and adapters that some allowlist permits in this region, by pool.
    fn needed_models(&self) -> BTreeMap<PoolId, BTreeMap<ModelId, Vec<AdapterId>>> {
        let mut needed: BTreeMap<PoolId, BTreeMap<ModelId, Vec<AdapterId>>> = BTreeMap::new();
        let allowlists: Vec<_> =
            self.lists.allowlists().filter(|list| list.regions.contains(&self.settings.region)).collect();
        for stage in self.settings.pipelines.iter().flat_map(|pipeline| &pipeline.stages) {
            let Some(model) = &stage.model else {
                continue;
            };
            let is_allowed =
                allowlists.iter().any(|list| list.models.contains(model) && list.stages.contains(&stage.id));
            if !is_allowed {
                continue;
            }
            let adapters = needed.entry(stage.pool.clone()).or_default().entry(model.clone()).or_default();
            let adapter = stage.adapter.as_ref().filter(|adapter| !adapters.contains(adapter));
            adapters.extend(adapter.cloned());
        }
        needed
    }

    fn engines_of(&self, pool: &PoolId) -> Vec<EndpointIdx> {
        let all = self.endpoints.in_pool(pool, &self.settings.region);
        all.iter().copied().filter(|idx| self.endpoints.get(*idx).is_open()).collect()
    }

    fn desired_models(&self, idx: EndpointIdx) -> &[ModelId] {
        match self.orders.desired.get(&idx) {
            Some(desired) => &desired.models,
            None => &self.endpoints.get(idx).models,
        }
    }

    /// Gives a model one more engine if none holds it, or if its engines have been busy for the
    /// hysteresis time.
    fn plan_model(
        &mut self,
        now: TimeMs,
        pool: &PoolId,
        model: &ModelId,
        adapters: &[AdapterId],
        needs: &BTreeMap<ModelId, Vec<AdapterId>>,
        engines: &[EndpointIdx],
    ) {
        let holders: Vec<_> = engines.iter().copied().filter(|idx| self.desired_models(*idx).contains(model)).collect();
        let key = (pool.clone(), model.clone());
        let is_short = holders.is_empty() || self.mean_load(&holders) > BUSY_LOAD;
        if !is_short {
            self.orders.shortage_since.remove(&key);
            return;
        }
        let since = *self.orders.shortage_since.entry(key.clone()).or_insert(now);
        let is_persistent = holders.is_empty() || now.since(since) >= self.settings.limits.order_hysteresis_ms;
        let has_order_capacity = self.orders_in_progress() < self.settings.limits.orders_in_progress_max;
        if !is_persistent || !has_order_capacity {
            return;
        }
        let Some(engine) = self.engine_to_repurpose(model, needs, engines, holders.is_empty()) else {
            return;
        };
        self.orders.shortage_since.remove(&key);
        let desired = Desired { models: vec![model.clone()], adapters: adapters.to_vec(), sent_at: None };
        self.orders.desired.insert(engine, desired);
    }

    /// Least loaded engine that is not the last holder of a needed model. Unless the need is urgent,
    /// it must also be idle.
    fn engine_to_repurpose(
        &self,
        model: &ModelId,
        needs: &BTreeMap<ModelId, Vec<AdapterId>>,
        engines: &[EndpointIdx],
        is_urgent: bool,
    ) -> Option<EndpointIdx> {
        let is_spare = |idx: &EndpointIdx| {
            let models = self.desired_models(*idx);
            let is_last_holder = |held_model: &ModelId| {
                needs.contains_key(held_model)
                    && engines.iter().filter(|other| self.desired_models(**other).contains(held_model)).count() <= 1
            };
            !models.contains(model) && !models.iter().any(is_last_holder)
        };
        let load = |idx: &EndpointIdx| self.mean_load(&[*idx]);
        let spare_engine = engines.iter().copied().filter(is_spare).min_by(|a, b| load(a).total_cmp(&load(b)))?;
        (is_urgent || load(&spare_engine) < IDLE_LOAD).then_some(spare_engine)
    }

    fn mean_load(&self, engines: &[EndpointIdx]) -> f32 {
        let loads = engines.iter().map(|idx| {
            let load = &self.endpoints.get(*idx).load;
            (load.running + load.queued) as f32 / load.slots.max(1) as f32
        });
        loads.sum::<f32>() / engines.len().max(1) as f32
    }

    fn orders_in_progress(&self) -> usize {
        self.orders.desired.iter().filter(|(idx, desired)| !self.is_state_reported(**idx, desired)).count()
    }

    fn is_state_reported(&self, idx: EndpointIdx, desired: &Desired) -> bool {
        let endpoint = self.endpoints.get(idx);
        is_same_set(&endpoint.models, &desired.models)
            && desired.adapters.iter().all(|adapter| endpoint.adapters.contains(adapter))
    }

    /// Sends orders to engines that do not report their desired state. An order is not
    /// sent after the lease has expired.
    fn send_orders(&mut self, now: TimeMs, out: &mut Effects) {
        let Lease::Held { fence, expires_at, .. } = self.orders.lease else {
            return;
        };
        let mut due: Vec<_> = self
            .orders
            .desired
            .iter()
            .filter(|(idx, desired)| {
                !self.is_state_reported(**idx, desired) && desired.sent_at.is_none_or(|at| now.since(at) > RESEND_AFTER)
            })
            .map(|(idx, _)| *idx)
            .collect();
        due.sort();
        for idx in due {
            let op = self.new_op();
            let endpoint = self.endpoints.get(idx);
            let Some(desired) = self.orders.desired.get_mut(&idx) else {
                continue;
            };
            desired.sent_at = Some(now);
            let order = Order {
                endpoint: endpoint.id.clone(),
                fence,
                models: desired.models.clone(),
                adapters: desired.adapters.clone(),
            };
            let not_after = expires_at.min(now + self.settings.limits.order_time_max_ms);
            out.count(Counter::OrderSent);
            out.push(Effect::Order { op, not_after, address: endpoint.address, order });
            self.orders.pending_orders.insert(op, idx);
        }
    }

    /// Handles an engine's reply to an order.
    pub(crate) fn on_order_reply(&mut self, _now: TimeMs, op: OpId, reply: OrderReply, out: &mut Effects) {
        let Some(idx) = self.orders.pending_orders.remove(&op) else {
            return;
        };
        match reply {
            OrderReply::Accepted | OrderReply::Lost => {}
            OrderReply::Expired => {
                if let Some(desired) = self.orders.desired.get_mut(&idx) {
                    desired.sent_at = None;
                }
            }
            OrderReply::Fenced => {
                // The engine has seen a later fencing number, so another process holds the lease.
                out.count(Counter::OrderFenced);
                self.orders.lease = Lease::Unknown;
                self.orders.desired.clear();
            }
        }
    }
}

fn is_same_set(a: &[ModelId], b: &[ModelId]) -> bool {
    a.len() == b.len() && a.iter().all(|model| b.contains(model))
}
