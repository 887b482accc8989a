//! The reducer of the request path: hands each event to the concern that it is about.

mod arrivals;
mod endings;
mod leading;
mod peers;
mod sends;
mod stage_flow;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use boragepass_types::{FailureDomain, PoolId, Region, SpanMs, TimeMs, VmId};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::admission::RefusalReason;
use crate::configuration::Configuration;
use crate::effect::Effect;
use crate::event::Event;
use crate::fleet::{Fleet, VmState};
use crate::message::PieceRequestId;
use crate::placement::{Endpoint, EndpointTable, PoolBacklogs};
use crate::record::Record;
use crate::request::{CallNumber, RequestNumber, Requested, SendNumber};
use crate::retry::{CrashTracker, RetryBudget};
use crate::settings::PathSettings;
use crate::stages::Pool;
use crate::timers::{Timer, Timers};

/// Interval at which old entries are dropped.
const SWEEP_INTERVAL: SpanMs = SpanMs(500);
/// Interval at which a drain is checked.
const DRAIN_INTERVAL: SpanMs = SpanMs(100);
/// How long a stopping process serves at least, since clients keep addresses for a while.
const STOP_SERVES: SpanMs = SpanMs(3_000);
/// Time before the end of the grace period at which requests in progress are given up, so that
/// their clients get an answer.
const STOP_GIVES_UP: SpanMs = SpanMs(1_200);
/// Time of the grace period that is kept for the last answers to leave.
const STOP_RESERVE: SpanMs = SpanMs(700);

/// Pool within a region.
pub(crate) type PoolKey = (PoolId, Region);

/// Decisions of one VM on the requests of its clients.
#[derive(Debug)]
pub struct RequestPath {
    settings: PathSettings,
    configuration: Option<Arc<Configuration>>,
    fleet: Fleet,
    table: EndpointTable,
    backlogs: PoolBacklogs,
    pools: BTreeMap<PoolKey, Pool>,
    budget: RetryBudget,
    crashes: CrashTracker,
    requests: HashMap<RequestNumber, Requested>,
    sends: HashMap<SendNumber, RequestNumber>,
    calls: HashMap<CallNumber, PoolKey>,
    asks: HashMap<PieceRequestId, RequestNumber>,
    /// Usual time to the first byte of an answer at a pool, beside reading the prompt.
    first_byte_ms: HashMap<PoolId, f64>,
    timers: Timers,
    random: SmallRng,
    send_counter: u64,
    call_counter: u64,
    ask_counter: u64,
    stopping_since: Option<TimeMs>,
    behind_since: Option<TimeMs>,
    follows_store: bool,
    is_sharing: bool,
    effects: Vec<Effect>,
}

impl RequestPath {
    /// Request path of a VM that knows nothing yet.
    pub fn new(now: TimeMs, settings: PathSettings) -> Self {
        let mut timers = Timers::default();
        timers.set(now, Timer::Heartbeat);
        timers.set(now + SWEEP_INTERVAL, Timer::Sweep);
        Self {
            configuration: None,
            fleet: Fleet::new(&settings),
            table: EndpointTable::default(),
            backlogs: PoolBacklogs::default(),
            pools: BTreeMap::new(),
            budget: RetryBudget::new(settings.retries),
            crashes: CrashTracker::default(),
            requests: HashMap::new(),
            sends: HashMap::new(),
            calls: HashMap::new(),
            asks: HashMap::new(),
            first_byte_ms: HashMap::new(),
            timers,
            random: SmallRng::seed_from_u64(settings.seed),
            send_counter: 0,
            call_counter: 0,
            ask_counter: 0,
            stopping_since: None,
            behind_since: None,
            // A VM that knows no other one follows the store itself.
            follows_store: true,
            is_sharing: false,
            effects: Vec::new(),
            settings,
        }
    }

    /// Takes one event and returns what it calls for.
    pub fn handle(&mut self, now: TimeMs, event: Event) -> Vec<Effect> {
        match event {
            Event::RequestArrived(arrival) => self.on_arrived(now, arrival),
            Event::ClientDisconnected(request) => self.on_hung_up(now, request),
            Event::AnswerDelivered(request) => self.on_delivered(request),
            Event::ReplyHeadArrived(send, facts) => self.on_replied(now, send, facts),
            Event::SendFailed(send, failure) => self.on_send_failed(now, send, failure),
            Event::StreamProgressed(send, progress) => self.on_streamed(now, send, progress),
            Event::EndpointSilent(send, last_event) => self.on_silent(now, send, last_event),
            Event::CallEnded(call, outcome) => self.on_call_ended(now, call, outcome),
            Event::ConfigurationReceived(configuration) => self.on_configured(now, configuration),
            Event::EndpointsUpdated(update) => {
                self.table.update(now, update);
                self.on_store_news(now);
                self.check_ready(now);
                self.run_all_pools(now);
            }
            Event::StoreReachable(is_reachable) => {
                self.table.on_store_reachability(now, is_reachable);
                self.fleet.can_reach_store = is_reachable;
                self.check_following(now);
            }
            Event::VmsListed(records) => {
                for record in records {
                    self.fleet.on_vm_listed(now, record);
                }
                self.send_heartbeats(now);
            }
            Event::SeedsListed(seeds) => seeds.into_iter().for_each(|seed| self.fleet.add_seed(seed)),
            Event::PeerMessageReceived { from, incarnation, message } => self.on_peer(now, &from, incarnation, message),
            Event::Terminate => self.on_terminate(now),
            Event::Tick => {}
        }
        while let Some(timer) = self.timers.take_due(now) {
            self.on_timer(now, timer);
        }
        std::mem::take(&mut self.effects)
    }

    /// When the next timer is due.
    pub fn next_wake(&self) -> Option<TimeMs> {
        self.timers.next()
    }

    /// Configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Endpoints that are known.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.table.iter().map(|known| &known.endpoint)
    }

    /// Version of the endpoint list.
    pub fn endpoints_version(&self) -> u64 {
        self.table.version
    }

    /// VMs that serve, with this one if it does.
    pub fn serving_vms(&self, now: TimeMs) -> Vec<VmId> {
        self.fleet.serving(now).map(|record| record.vm.clone()).collect()
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }

    /// Addresses for a client of a region and failure domain; none before this VM serves.
    pub fn addresses(&self, now: TimeMs, region: Option<&Region>, domain: Option<&FailureDomain>) -> Vec<SocketAddr> {
        if self.configuration.is_none() {
            return Vec::new();
        }
        self.fleet.client_addresses(now, region, domain)
    }

    fn on_timer(&mut self, now: TimeMs, timer: Timer) {
        match timer {
            Timer::Heartbeat => {
                self.check_following(now);
                self.send_heartbeats(now);
                let interval = self.fleet.heartbeat_interval();
                self.timers.set(now + interval, Timer::Heartbeat);
            }
            Timer::CallOverdue(call) => self.on_call_overdue(now, call),
            Timer::RequestTimeout(request) => self.on_timeout(now, request),
            Timer::AskAgain(ask) => self.on_ask_again(now, &ask),
            Timer::Pools => self.run_all_pools(now),
            Timer::Share => self.share_with_domain(now),
            Timer::Drain => self.check_drained(now),
            Timer::Sweep => {
                if self.table.sweep(now) {
                    // The version does not rise, so that nobody asks.
                    self.on_store_news(now);
                }
                self.crashes.sweep(now);
                self.release_orphans(now);
                self.pools.values_mut().for_each(|pool| pool.sweep(now));
                self.run_all_pools(now);
                self.timers.set(now + SWEEP_INTERVAL, Timer::Sweep);
            }
        }
    }

    fn on_configured(&mut self, now: TimeMs, configuration: Arc<Configuration>) {
        let current = self.configuration.as_ref().map(|current| current.version);
        if current.is_some_and(|version| version >= configuration.version) {
            return;
        }
        let workspaces = configuration.workspaces();
        let keys: usize = workspaces.iter().map(|workspace| workspace.keys.len()).sum();
        let without_key = workspaces.iter().filter(|workspace| workspace.keys.is_empty()).count();
        self.log(
            Record::new("configuration in force")
                .number("version", configuration.version.0)
                .number("replaced", current.unwrap_or_default().0)
                .number("routes", configuration.routes().count())
                .number("workspaces", workspaces.len())
                .number("keys", keys)
                .number("workspaces_without_key", without_key),
        );
        for ((pool, _), queue) in &mut self.pools {
            if let Some(spec) = configuration.stage_pool(pool) {
                queue.set_spec(spec);
            }
        }
        self.configuration = Some(configuration);
        self.on_store_news(now);
        self.check_ready(now);
    }

    /// Takes requests once configuration and endpoints are known.
    fn check_ready(&mut self, now: TimeMs) {
        let is_known = self.configuration.is_some() && !self.table.is_empty();
        if self.fleet.local_record.state == VmState::Starting && is_known {
            self.fleet.local_record.state = VmState::Serving;
            self.effects.push(Effect::SetReady(true));
            self.log(Record::new("serving").number("endpoints", self.table.iter().count()));
            self.send_heartbeats(now);
        }
    }

    fn on_terminate(&mut self, now: TimeMs) {
        if self.stopping_since.is_some() {
            return;
        }
        self.stopping_since = Some(now);
        self.fleet.local_record.state = VmState::Leaving;
        self.log(Record::new("stopping").number("requests", self.requests.len()));
        self.effects.push(Effect::SetReady(false));
        self.effects.push(Effect::CloseConnections);
        self.send_heartbeats(now);
        self.timers.set(now + DRAIN_INTERVAL, Timer::Drain);
    }

    fn check_drained(&mut self, now: TimeMs) {
        let Some(since) = self.stopping_since else {
            return;
        };
        let stopped_for = now.since(since);
        let is_idle = self.requests.is_empty() && self.pools.values().all(Pool::is_idle);
        if stopped_for.0 + STOP_GIVES_UP.0 >= self.settings.stop_grace_ms.0 {
            let mut requests: Vec<_> = self.requests.keys().copied().collect();
            requests.sort();
            for request in requests {
                self.finish(now, request, RefusalReason::Stopping);
            }
        }
        let is_over = stopped_for.0 + STOP_RESERVE.0 >= self.settings.stop_grace_ms.0;
        if is_over || (is_idle && stopped_for >= STOP_SERVES) {
            self.log(
                Record::new("stopped").number("after_ms", stopped_for.0).number("requests_left", self.requests.len()),
            );
            self.effects.push(Effect::Exit);
            return;
        }
        self.timers.set(now + DRAIN_INTERVAL, Timer::Drain);
    }

    /// Whether a stopping process takes no more work.
    fn refuses_all(&self, now: TimeMs) -> bool {
        self.stopping_since.is_some_and(|since| now.since(since) >= STOP_SERVES)
    }

    fn log(&mut self, record: Record) {
        self.effects.push(Effect::Log(Box::new(record)));
    }
}
