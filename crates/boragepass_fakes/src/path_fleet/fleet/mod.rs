//! The world in virtual time: it carries effects out and makes the events that follow.

mod clients;
mod sends;
mod stage_calls;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use boragepass_path::{
    Arrival, Batching, CallFailure, CallNumber, CallOutcome, Effect, Endpoint, EndpointUpdate, Event, EventId,
    PathSettings, PeerMessage, PieceOutcome, Progress, PromptPart, Repeatability, ReplyHead, RequestNumber,
    RequestPath, RetryLimits, SendFailure, SendNumber, VmRecord, VmState,
};
use boragepass_types::{EndpointId, FailureDomain, Hash64, Incarnation, Millicores, SpanMs, TimeMs, VmId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::deployment::{CLIENT_KEY, Deployment, RequestKind};
use super::endpoint::{FakeEndpoint, StageRun, WaitingCall};
use super::ledger::{Ending, Entry, Ledger};

/// Processor of each VM; the model does not charge it.
const VM_PROCESSOR: Millicores = Millicores(250);
const START: TimeMs = TimeMs(1_000_000);
const CLIENT_MS: u64 = 1;
const REGION_MS: u64 = 20;
/// One way between failure domains of a region; the users' sites state 0.5 and 1.4 ms.
const DOMAIN_MS: u64 = 1;
const STORE_MS: u64 = 5;
/// Time after which a connection to an address that does not answer is given up.
const CONNECT_MS: u64 = 1_200;
/// Time after which a client's hang-up must have ended all sends of its request.
const HANG_UP_SLACK_MS: u64 = 500;
/// Time that an endpoint may get new work after it began to drain: the site's rule.
const DRAIN_MS: u64 = 2_500;

/// Fault of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EndpointFault {
    /// Down for a time; what it ran is lost.
    Crash {
        /// How long.
        duration_ms: u64,
        /// Whether it does not even refuse connections.
        is_unresponsive: bool,
    },
    /// Works this many times as long.
    SlowDown(f64),
    /// Loses this share of its answers.
    LoseAnswers(f64),
    /// Answers this share of requests with an error.
    ReturnErrors(f64),
    /// Stops taking new work and leaves.
    Drain,
}

struct Vm {
    id: VmId,
    domain: FailureDomain,
    client_address: SocketAddr,
    peer_address: SocketAddr,
    path: Option<RequestPath>,
    incarnation: u64,
    wakes_at: Option<TimeMs>,
    is_cut_from_store: bool,
    /// Whether it hears of changes from the store itself.
    follows_store: bool,
    paused_until: TimeMs,
    /// Events that came while it stood still.
    held: VecDeque<Event>,
}

/// Send in progress, by VM and number.
type SendKey = (usize, u64, SendNumber);

struct Sent {
    client_id: Arc<str>,
    request: RequestNumber,
    endpoint: EndpointId,
    generation: u64,
    has_head: bool,
    is_relayed: bool,
    next_event: EventId,
}

enum Item {
    Wake(usize, u64),
    Resume(usize, u64),
    Handle(usize, u64, Event),
    Peer(SocketAddr, VmId, u64, PeerMessage),
    Asked(usize),
    SendArrives(SendKey, Vec<Arc<str>>, EventId),
    PlainDone(SendKey, EndpointId, u64, bool),
    StreamEvent(SendKey),
    Silence(SendKey),
    CallArrives(usize, u64, CallNumber, EndpointId, Vec<boragepass_path::CallEntry>),
    StageDone(EndpointId, u64, StageRun),
    GivesUp(Arc<str>, usize, u64, RequestNumber),
}

struct Scheduled {
    at: TimeMs,
    order: u64,
    item: Item,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Entry VMs with all that is around them.
pub struct PathFleet {
    /// What stands where.
    pub deployment: Deployment,
    /// What clients and endpoints saw.
    pub ledger: Ledger,
    now: TimeMs,
    order: u64,
    pending: BinaryHeap<Reverse<Scheduled>>,
    random: SmallRng,
    vms: Vec<Vm>,
    endpoints: BTreeMap<EndpointId, FakeEndpoint>,
    sends: HashMap<SendKey, Sent>,
    calls: HashMap<u64, (usize, u64, CallNumber)>,
    hung_up: HashMap<(usize, u64, RequestNumber), (TimeMs, Arc<str>)>,
    requests: HashMap<(usize, u64, RequestNumber), Arc<str>>,
    call_tags: u64,
    request_numbers: u64,
    batching: Batching,
    configuration_version: u64,
    store_version: u64,
    load: f64,
    is_asking: bool,
    /// Share of datagrams that are lost.
    pub datagram_loss: f64,
    /// Share of requests whose clients leave after half of their objective.
    pub abandon_share: f64,
    /// Counts of the decisions that the VMs logged.
    pub decision_counts: BTreeMap<&'static str, u32>,
}

impl PathFleet {
    /// Fleet whose VMs have just started.
    pub fn new(deployment: Deployment, seed: u64) -> Self {
        Self::with_batching(deployment, seed, Batching::Led)
    }

    /// The same with another way to compose calls.
    pub fn with_batching(deployment: Deployment, seed: u64, batching: Batching) -> Self {
        let endpoints = deployment.endpoints.iter().map(|endpoint| {
            let stage = deployment.stage_pool(&endpoint.pool);
            (endpoint.id.clone(), FakeEndpoint::new(endpoint.clone(), stage))
        });
        let endpoints = endpoints.collect();
        let vms = (0..deployment.vms).map(|number| {
            let place = number % deployment.domains.len();
            let domain = deployment.domains[place].0.clone();
            Vm {
                id: format!("vm-{number}").parse().expect("names of the model are valid"),
                domain,
                client_address: SocketAddr::from(([10, place as u8 + 1, 0, number as u8 + 1], 8_000)),
                peer_address: SocketAddr::from(([10, place as u8 + 1, 0, number as u8 + 1], 7_000)),
                path: None,
                incarnation: 0,
                wakes_at: None,
                is_cut_from_store: false,
                follows_store: true,
                paused_until: TimeMs(0),
                held: VecDeque::new(),
            }
        });
        let vms = vms.collect();
        let mut fleet = Self {
            deployment,
            ledger: Ledger::default(),
            now: START,
            order: 0,
            pending: BinaryHeap::new(),
            random: SmallRng::seed_from_u64(seed),
            vms,
            endpoints,
            sends: HashMap::new(),
            calls: HashMap::new(),
            hung_up: HashMap::new(),
            requests: HashMap::new(),
            call_tags: 0,
            request_numbers: 0,
            batching,
            configuration_version: 1,
            store_version: 1,
            load: 1.0,
            is_asking: false,
            datagram_loss: 0.0,
            abandon_share: 0.0,
            decision_counts: BTreeMap::new(),
        };
        for vm in 0..fleet.vms.len() {
            fleet.start_vm(vm);
        }
        fleet
    }

    /// Time since the start.
    pub fn elapsed(&self) -> SpanMs {
        self.now.since(START)
    }

    /// Time on the fleet's clock.
    pub fn now(&self) -> TimeMs {
        self.now
    }

    /// Number of VMs.
    pub fn vm_count(&self) -> usize {
        self.vms.len()
    }

    /// Ids of all endpoints.
    pub fn endpoint_ids(&self) -> Vec<EndpointId> {
        self.endpoints.keys().cloned().collect()
    }

    /// Results that stage endpoints keep.
    pub fn retained_results(&self) -> usize {
        let stages = self.endpoints.values().filter_map(|endpoint| endpoint.stage.as_ref());
        stages.map(|stage| stage.results.values().filter(|kept| kept.lapses_at > self.now).count()).sum()
    }

    // What tests and load tools do.

    /// Lets clients ask at this multiple of the usual rate.
    pub fn set_load(&mut self, load: f64) {
        self.load = load;
        if !self.is_asking && load > 0.0 {
            self.is_asking = true;
            for kind in 0..self.deployment.kinds.len() {
                self.schedule_ask(kind);
            }
        }
    }

    /// Starts a VM with empty memory.
    pub fn start_vm(&mut self, vm: usize) {
        if self.vms[vm].path.is_some() {
            return;
        }
        let settings = self.settings(vm);
        let (now, incarnation) = (self.now, settings.incarnation.0);
        self.vms[vm].path = Some(RequestPath::new(now, settings));
        self.vms[vm].wakes_at = None;
        self.vms[vm].held.clear();
        self.vms[vm].follows_store = true;
        self.feed_vm(vm);
        self.push(now, Item::Wake(vm, incarnation));
    }

    fn settings(&mut self, vm: usize) -> PathSettings {
        let vm = &mut self.vms[vm];
        vm.incarnation += 1;
        let regions = self.deployment.domains.clone();
        let region = regions.iter().find(|(domain, _)| *domain == vm.domain).map(|(_, region)| region.clone());
        PathSettings {
            vm: vm.id.clone(),
            incarnation: Incarnation(vm.incarnation),
            region: region.expect("every VM stands in a domain of the deployment"),
            failure_domain: vm.domain.clone(),
            client_address: vm.client_address,
            peer_address: vm.peer_address,
            processor: VM_PROCESSOR,
            regions,
            retries: RetryLimits { ratio: 0.2, slack: 56.0, window_ms: SpanMs(10_000) },
            stop_grace_ms: SpanMs(8_000),
            batching: self.batching,
            seed: vm.incarnation,
        }
    }

    /// Gives a VM what the store holds.
    fn feed_vm(&mut self, vm: usize) {
        if self.vms[vm].is_cut_from_store {
            return;
        }
        let configuration = Arc::new(self.deployment.configuration(self.configuration_version));
        let listed = self.listed();
        let update = EndpointUpdate::Snapshot(listed, self.store_version);
        let records = self.vm_records();
        for event in
            [Event::ConfigurationReceived(configuration), Event::EndpointsUpdated(update), Event::VmsListed(records)]
        {
            self.deliver(vm, STORE_MS, event);
        }
    }

    fn listed(&self) -> Vec<Endpoint> {
        let listed = self.endpoints.values().filter(|endpoint| endpoint.is_listed);
        listed.map(|endpoint| endpoint.endpoint.clone()).collect()
    }

    fn vm_records(&self) -> Vec<VmRecord> {
        let record = |vm: &Vm| VmRecord {
            vm: vm.id.clone(),
            incarnation: Incarnation(vm.incarnation),
            region: self.region(&vm.domain),
            failure_domain: vm.domain.clone(),
            client_address: vm.client_address,
            peer_address: vm.peer_address,
            processor: VM_PROCESSOR,
            state: VmState::Starting,
        };
        self.vms.iter().map(record).collect()
    }

    fn region(&self, domain: &FailureDomain) -> boragepass_types::Region {
        let found = self.deployment.domains.iter().find(|(name, _)| name == domain);
        found.map(|(_, region)| region.clone()).expect("every domain of the model has a region")
    }

    /// Kills a VM; what its clients asked is lost with their connections.
    pub fn kill_vm(&mut self, vm: usize) {
        if self.vms[vm].path.take().is_none() {
            return;
        }
        let incarnation = self.vms[vm].incarnation;
        let lost = self.requests.iter().filter(|((at, run, _), _)| *at == vm && *run == incarnation);
        let lost: Vec<Arc<str>> = lost.map(|(_, client_id)| client_id.clone()).collect();
        for client_id in lost {
            if let Some(entry) = self.ledger.entries.get_mut(&client_id)
                && entry.ending.is_none()
            {
                entry.is_excused = true;
            }
        }
        self.sends.retain(|(at, ..), _| *at != vm);
    }

    /// Asks a VM to stop.
    pub fn stop_vm(&mut self, vm: usize) {
        self.deliver(vm, 0, Event::Terminate);
    }

    /// Holds a VM still for a time.
    pub fn pause_vm(&mut self, vm: usize, duration_ms: u64) {
        // A shorter pause during a longer one changes nothing.
        self.vms[vm].paused_until = self.vms[vm].paused_until.max(self.now + SpanMs(duration_ms));
        let incarnation = self.vms[vm].incarnation;
        let held = self.requests.iter().filter(|((at, run, _), _)| *at == vm && *run == incarnation);
        let held: Vec<Arc<str>> = held.map(|(_, client_id)| client_id.clone()).collect();
        held.iter().for_each(|client_id| self.excuse(client_id));
    }

    /// Whether a VM stood still a moment ago and may not have caught up.
    fn was_paused(&self, vm: usize) -> bool {
        self.now.since(self.vms[vm].paused_until).0 < 1_000
    }

    /// Cuts a VM from the store, or connects it again.
    pub fn set_cut_from_store(&mut self, vm: usize, is_cut: bool) {
        if self.vms[vm].is_cut_from_store == is_cut {
            return;
        }
        self.vms[vm].is_cut_from_store = is_cut;
        self.deliver(vm, STORE_MS, Event::StoreReachable(!is_cut));
        self.feed_vm(vm);
    }

    /// Puts a newer configuration in force.
    pub fn change_configuration(&mut self) {
        self.configuration_version += 1;
        self.store_version += 1;
        let configuration = Arc::new(self.deployment.configuration(self.configuration_version));
        for vm in 0..self.vms.len() {
            if !self.vms[vm].is_cut_from_store && self.vms[vm].follows_store {
                self.deliver(vm, STORE_MS, Event::ConfigurationReceived(configuration.clone()));
            }
        }
    }

    /// Brings a fault about.
    pub fn inject_fault(&mut self, id: &EndpointId, fault: EndpointFault) {
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        match fault {
            EndpointFault::Crash { duration_ms, is_unresponsive } => {
                endpoint.crash(now + SpanMs(duration_ms), is_unresponsive);
                let generation = endpoint.generation;
                self.lose_sends(id, generation, is_unresponsive);
            }
            EndpointFault::SlowDown(factor) => endpoint.slowness = factor,
            EndpointFault::LoseAnswers(share) => endpoint.lost_share = share,
            EndpointFault::ReturnErrors(share) => endpoint.error_share = share,
            EndpointFault::Drain => {
                endpoint.endpoint.is_draining = true;
                endpoint.drained_at = Some(now);
                let changed = endpoint.endpoint.clone();
                self.store_version += 1;
                let version = self.store_version;
                for vm in 0..self.vms.len() {
                    if !self.vms[vm].is_cut_from_store && self.vms[vm].follows_store {
                        let update = EndpointUpdate::Changed(changed.clone(), version);
                        self.deliver(vm, STORE_MS, Event::EndpointsUpdated(update));
                    }
                }
            }
        }
    }

    /// A crash resets the connections of what ran; a dark endpoint leaves them silent.
    fn lose_sends(&mut self, id: &EndpointId, generation: u64, is_unresponsive: bool) {
        if is_unresponsive {
            return;
        }
        let lost: Vec<SendKey> = self
            .sends
            .iter()
            .filter(|(_, sent)| sent.endpoint == *id && sent.generation < generation)
            .map(|(key, _)| *key)
            .collect();
        let mut lost = lost;
        lost.sort_by_key(|(vm, incarnation, send)| (*vm, *incarnation, send.0));
        for key in lost {
            self.end_lost(key, SendFailure::ConnectionLost);
        }
        let calls: Vec<_> = self.calls.iter().map(|(tag, call)| (*tag, *call)).collect();
        for (tag, (vm, incarnation, call)) in calls {
            let tag_endpoint = self.call_endpoints_contains(tag, id);
            if tag_endpoint {
                self.calls.remove(&tag);
                let outcome = CallOutcome { results: Err(CallFailure::ConnectionLost), load: None };
                let now = self.now;
                self.push(now + SpanMs(1), Item::Handle(vm, incarnation, Event::CallEnded(call, outcome)));
            }
        }
    }

    /// Tags carry their endpoint's hash, so that a crash finds its calls.
    fn call_endpoints_contains(&self, tag: u64, id: &EndpointId) -> bool {
        tag >> 32 == Hash64::of(id.as_str().as_bytes()).0 >> 32
    }

    /// Ends all faults: endpoints work, VMs run, the store answers all.
    pub fn clear_faults(&mut self) {
        self.datagram_loss = 0.0;
        self.abandon_share = 0.0;
        for endpoint in self.endpoints.values_mut() {
            endpoint.slowness = 1.0;
            endpoint.lost_share = 0.0;
            endpoint.error_share = 0.0;
            endpoint.down_until = endpoint.down_until.min(self.now);
        }
        for vm in 0..self.vms.len() {
            self.set_cut_from_store(vm, false);
            self.start_vm(vm);
        }
    }

    /// Plays on for a time.
    pub fn run_for(&mut self, ms: u64) {
        let elapsed_ms = self.elapsed().0;
        self.run_until(elapsed_ms + ms);
    }

    /// Plays until a moment after the start.
    pub fn run_until(&mut self, elapsed_ms: u64) {
        let until = START + SpanMs(elapsed_ms);
        while let Some(Reverse(next)) = self.pending.peek() {
            if next.at > until {
                break;
            }
            let Some(Reverse(next)) = self.pending.pop() else {
                break;
            };
            self.now = self.now.max(next.at);
            self.play(next.item);
        }
        self.now = until;
    }

    fn push(&mut self, at: TimeMs, item: Item) {
        self.order += 1;
        self.pending.push(Reverse(Scheduled { at, order: self.order, item }));
    }

    fn deliver(&mut self, vm: usize, after_ms: u64, event: Event) {
        let (at, incarnation) = (self.now + SpanMs(after_ms), self.vms[vm].incarnation);
        self.push(at, Item::Handle(vm, incarnation, event));
    }

    fn play(&mut self, item: Item) {
        match item {
            Item::Wake(vm, incarnation) => {
                if self.vms[vm].incarnation == incarnation {
                    self.vms[vm].wakes_at = None;
                    self.handle(vm, incarnation, Event::Tick);
                }
            }
            Item::Resume(vm, incarnation) => self.resume(vm, incarnation),
            Item::Handle(vm, incarnation, event) => self.handle(vm, incarnation, event),
            Item::Peer(address, from, incarnation, message) => {
                if let Some(vm) = self.vms.iter().position(|vm| vm.peer_address == address) {
                    let event = Event::PeerMessageReceived { from, incarnation: Incarnation(incarnation), message };
                    let to = self.vms[vm].incarnation;
                    self.handle(vm, to, event);
                }
            }
            Item::Asked(kind) => {
                self.ask(kind);
                self.schedule_ask(kind);
            }
            Item::SendArrives(key, inputs, first) => self.send_arrives(key, &inputs, first),
            Item::PlainDone(key, endpoint, generation, is_error) => {
                self.plain_done(key, &endpoint, generation, is_error)
            }
            Item::StreamEvent(key) => self.stream_event(key),
            Item::Silence(key) => self.check_silence(key),
            Item::CallArrives(vm, incarnation, call, endpoint, entries) => {
                self.call_arrives(vm, incarnation, call, &endpoint, entries);
            }
            Item::StageDone(endpoint, generation, run) => self.stage_done(&endpoint, generation, run),
            Item::GivesUp(client_id, vm, incarnation, request) => self.give_up(&client_id, vm, incarnation, request),
        }
    }

    fn handle(&mut self, vm: usize, incarnation: u64, event: Event) {
        if self.vms[vm].incarnation != incarnation {
            return;
        }
        if self.vms[vm].paused_until > self.now || !self.vms[vm].held.is_empty() {
            self.hold(vm, event);
            return;
        }
        self.hand_over(vm, incarnation, event);
    }

    /// Keeps an event for a VM that stands still; they are handed over in the order in which they came.
    fn hold(&mut self, vm: usize, event: Event) {
        if self.vms[vm].held.is_empty() {
            let (at, incarnation) = (self.vms[vm].paused_until, self.vms[vm].incarnation);
            self.push(at, Item::Resume(vm, incarnation));
        }
        self.vms[vm].held.push_back(event);
    }

    fn resume(&mut self, vm: usize, incarnation: u64) {
        if self.vms[vm].incarnation != incarnation {
            return;
        }
        if self.vms[vm].paused_until > self.now {
            let at = self.vms[vm].paused_until;
            self.push(at, Item::Resume(vm, incarnation));
            return;
        }
        while let Some(event) = self.vms[vm].held.pop_front() {
            self.hand_over(vm, incarnation, event);
        }
    }

    fn hand_over(&mut self, vm: usize, incarnation: u64, event: Event) {
        let now = self.now;
        let Some(path) = self.vms[vm].path.as_mut() else {
            return;
        };
        let effects = path.handle(now, event);
        let wake = path.next_wake();
        for effect in effects {
            self.carry_out(vm, incarnation, effect);
        }
        if let Some(wake) = wake
            && self.vms[vm].wakes_at.is_none_or(|at| wake < at)
        {
            self.vms[vm].wakes_at = Some(wake);
            self.push(wake.max(now), Item::Wake(vm, incarnation));
        }
    }

    fn travel_ms(&self, from: &FailureDomain, to: &FailureDomain) -> u64 {
        if from == to {
            0
        } else if self.region(from) == self.region(to) {
            DOMAIN_MS
        } else {
            REGION_MS
        }
    }

    fn carry_out(&mut self, vm: usize, incarnation: u64, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::Send { send, request, target, silence_ms, inputs, resume_after, .. } => {
                let key = (vm, incarnation, send);
                self.start_send(key, request, &target.endpoint, inputs.unwrap_or_default(), resume_after);
                if let Some(silence_ms) = silence_ms {
                    self.push(now + silence_ms, Item::Silence(key));
                }
            }
            Effect::CancelSend(send) => self.cancel_send((vm, incarnation, send)),
            Effect::RelayReply(request, send) => self.relay((vm, incarnation, send), request),
            Effect::Respond(request, answer) => {
                let ending = if matches!(answer.status, 429 | 503) { Ending::Refused } else { Ending::Failed };
                self.end_request(vm, incarnation, request, ending);
                self.deliver(vm, 0, Event::AnswerDelivered(request));
            }
            Effect::AbortAnswer(request) => {
                self.end_request(vm, incarnation, request, Ending::Aborted);
                self.deliver(vm, 0, Event::ClientDisconnected(request));
            }
            Effect::Call { call, target, entries, timeout_ms } => {
                let travel = self.travel_to(vm, &target.endpoint);
                self.push(now + SpanMs(travel), Item::CallArrives(vm, incarnation, call, target.endpoint, entries));
                let outcome = CallOutcome { results: Err(CallFailure::TimedOut), load: None };
                self.push(now + timeout_ms, Item::Handle(vm, incarnation, Event::CallEnded(call, outcome)));
            }
            Effect::FreeResults(target, handles) => {
                if let Some(stage) = self.endpoints.get_mut(&target.endpoint).and_then(|known| known.stage.as_mut()) {
                    for handle in handles {
                        stage.results.remove(&handle);
                    }
                }
            }
            Effect::SendPeerMessage(_, address, message) => self.send_peer(vm, incarnation, address, *message),
            Effect::SendPeerDatagram(_, address, message) => {
                if self.random.random::<f64>() >= self.datagram_loss {
                    self.send_peer(vm, incarnation, address, *message);
                }
            }
            Effect::ShareState { address, .. } => self.share_state(vm, address),
            Effect::Exit => {
                self.vms[vm].path = None;
                self.start_vm(vm);
            }
            Effect::Log(record) => *self.decision_counts.entry(record.what).or_default() += 1,
            Effect::FollowStore(follows) => {
                self.vms[vm].follows_store = follows;
                if follows {
                    self.feed_vm(vm);
                }
            }
            Effect::DropRequest(_) | Effect::SetReady(_) | Effect::CloseConnections => {}
        }
    }

    fn send_peer(&mut self, vm: usize, incarnation: u64, address: SocketAddr, message: PeerMessage) {
        let Some(to) = self.vms.iter().position(|other| other.peer_address == address) else {
            return;
        };
        let travel = self.travel_ms(&self.vms[vm].domain, &self.vms[to].domain).max(1);
        let from = self.vms[vm].id.clone();
        let at = self.now + SpanMs(travel);
        self.push(at, Item::Peer(address, from, incarnation, message));
    }

    fn share_state(&mut self, vm: usize, address: SocketAddr) {
        let Some(to) = self.vms.iter().position(|other| other.peer_address == address) else {
            return;
        };
        let Some(path) = &self.vms[vm].path else {
            return;
        };
        let configuration = path.configuration().cloned();
        let update = EndpointUpdate::PeerSnapshot(path.endpoints().cloned().collect(), path.endpoints_version());
        if let Some(configuration) = configuration {
            self.deliver(to, REGION_MS, Event::ConfigurationReceived(configuration));
        }
        self.deliver(to, REGION_MS, Event::EndpointsUpdated(update));
    }

    fn travel_to(&self, vm: usize, endpoint: &EndpointId) -> u64 {
        let to = self.endpoints.get(endpoint).map(|known| &known.endpoint.failure_domain);
        to.map_or(0, |to| self.travel_ms(&self.vms[vm].domain, to)).max(1)
    }
}
