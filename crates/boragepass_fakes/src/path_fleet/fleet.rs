//! The world in virtual time: it carries effects out and makes the events that follow.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use boragepass_path::{
    Arrival, Batching, CallFailure, CallNumber, CallOutcome, Effect, Endpoint, EndpointUpdate, Event, EventId,
    HeadFacts, PathSettings, PeerMessage, PieceOutcome, Progress, PromptPart, Repeatability, RequestNumber,
    RequestPath, RetryLimits, SendFailure, SendNumber, VmRecord, VmState,
};
use boragepass_types::{EndpointId, FailureDomain, Hash64, Incarnation, SpanMs, TimeMs, VmId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::deployment::{CLIENT_KEY, Deployment, RequestKind};
use super::endpoint::{FakeEndpoint, StageRun, WaitingCall};
use super::ledger::{Ending, Entry, Ledger};

const START: TimeMs = TimeMs(1_000_000);
const CLIENT_MS: u64 = 1;
const REGION_MS: u64 = 20;
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
        for_ms: u64,
        /// Whether it does not even refuse connections.
        is_dark: bool,
    },
    /// Works this many times as long.
    Slow(f64),
    /// Loses this share of its answers.
    LosesAnswers(f64),
    /// Answers this share of requests with an error.
    Fails(f64),
    /// Stops taking new work and leaves.
    Drains,
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
    pub give_up_share: f64,
    /// Counts of the decisions that the VMs logged.
    pub decisions: BTreeMap<&'static str, u32>,
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
            give_up_share: 0.0,
            decisions: BTreeMap::new(),
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
    pub fn kept_results(&self) -> usize {
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
        for event in [Event::Configured(configuration), Event::Endpoints(update), Event::Vms(records)] {
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
    pub fn pause_vm(&mut self, vm: usize, for_ms: u64) {
        // A shorter pause during a longer one changes nothing.
        self.vms[vm].paused_until = self.vms[vm].paused_until.max(self.now + SpanMs(for_ms));
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
    pub fn cut_store(&mut self, vm: usize, is_cut: bool) {
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
                self.deliver(vm, STORE_MS, Event::Configured(configuration.clone()));
            }
        }
    }

    /// Brings a fault about.
    pub fn fault(&mut self, id: &EndpointId, fault: EndpointFault) {
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        match fault {
            EndpointFault::Crash { for_ms, is_dark } => {
                endpoint.crash(now + SpanMs(for_ms), is_dark);
                let generation = endpoint.generation;
                self.lose_sends(id, generation, is_dark);
            }
            EndpointFault::Slow(factor) => endpoint.slowness = factor,
            EndpointFault::LosesAnswers(share) => endpoint.lost_share = share,
            EndpointFault::Fails(share) => endpoint.error_share = share,
            EndpointFault::Drains => {
                endpoint.endpoint.is_draining = true;
                endpoint.drained_at = Some(now);
                let changed = endpoint.endpoint.clone();
                self.store_version += 1;
                let version = self.store_version;
                for vm in 0..self.vms.len() {
                    if !self.vms[vm].is_cut_from_store && self.vms[vm].follows_store {
                        let update = EndpointUpdate::Changed(changed.clone(), version);
                        self.deliver(vm, STORE_MS, Event::Endpoints(update));
                    }
                }
            }
        }
    }

    /// A crash resets the connections of what ran; a dark endpoint leaves them silent.
    fn lose_sends(&mut self, id: &EndpointId, generation: u64, is_dark: bool) {
        if is_dark {
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
            self.end_lost(key, SendFailure::Lost);
        }
        let calls: Vec<_> = self.calls.iter().map(|(tag, call)| (*tag, *call)).collect();
        for (tag, (vm, incarnation, call)) in calls {
            let tag_endpoint = self.call_endpoints_contains(tag, id);
            if tag_endpoint {
                self.calls.remove(&tag);
                let outcome = CallOutcome { results: Err(CallFailure::Lost), load: None };
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
    pub fn heal(&mut self) {
        self.datagram_loss = 0.0;
        self.give_up_share = 0.0;
        for endpoint in self.endpoints.values_mut() {
            endpoint.slowness = 1.0;
            endpoint.lost_share = 0.0;
            endpoint.error_share = 0.0;
            endpoint.down_until = endpoint.down_until.min(self.now);
        }
        for vm in 0..self.vms.len() {
            self.cut_store(vm, false);
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
            Item::Handle(vm, incarnation, event) => self.handle(vm, incarnation, event),
            Item::Peer(address, from, incarnation, message) => {
                if let Some(vm) = self.vms.iter().position(|vm| vm.peer_address == address) {
                    let event = Event::Peer { from, incarnation: Incarnation(incarnation), message };
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
        if self.vms[vm].paused_until > self.now {
            let at = self.vms[vm].paused_until;
            self.push(at, Item::Handle(vm, incarnation, event));
            return;
        }
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
        if from == to { 0 } else { REGION_MS }
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
            Effect::Relay(request, send) => self.relay((vm, incarnation, send), request),
            Effect::Respond(request, answer) => {
                let ending = if matches!(answer.status, 429 | 503) { Ending::Refused } else { Ending::Failed };
                self.end_request(vm, incarnation, request, ending);
                self.deliver(vm, 0, Event::Delivered(request));
            }
            Effect::BreakOff(request) => {
                self.end_request(vm, incarnation, request, Ending::BrokenOff);
                self.deliver(vm, 0, Event::HungUp(request));
            }
            Effect::Call { call, target, entries, timeout_ms } => {
                let travel = self.travel_to(vm, &target.endpoint);
                self.push(now + SpanMs(travel), Item::CallArrives(vm, incarnation, call, target.endpoint, entries));
                let outcome = CallOutcome { results: Err(CallFailure::Silent), load: None };
                self.push(now + timeout_ms, Item::Handle(vm, incarnation, Event::CallEnded(call, outcome)));
            }
            Effect::Free(target, handles) => {
                if let Some(stage) = self.endpoints.get_mut(&target.endpoint).and_then(|known| known.stage.as_mut()) {
                    for handle in handles {
                        stage.results.remove(&handle);
                    }
                }
            }
            Effect::Tell(_, address, message) => self.send_peer(vm, incarnation, address, *message),
            Effect::Datagram(_, address, message) => {
                if self.random.random::<f64>() >= self.datagram_loss {
                    self.send_peer(vm, incarnation, address, *message);
                }
            }
            Effect::ShareState { address, .. } => self.share_state(vm, address),
            Effect::Exit => {
                self.vms[vm].path = None;
                self.start_vm(vm);
            }
            Effect::Log(record) => *self.decisions.entry(record.what).or_default() += 1,
            Effect::FollowStore(follows) => {
                self.vms[vm].follows_store = follows;
                if follows {
                    self.feed_vm(vm);
                }
            }
            Effect::Forget(_) | Effect::SetReady(_) | Effect::CloseConnections => {}
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
        let update = EndpointUpdate::Snapshot(path.endpoints().cloned().collect(), path.endpoints_version());
        if let Some(configuration) = configuration {
            self.deliver(to, REGION_MS, Event::Configured(configuration));
        }
        self.deliver(to, REGION_MS, Event::Endpoints(update));
    }

    fn travel_to(&self, vm: usize, endpoint: &EndpointId) -> u64 {
        let to = self.endpoints.get(endpoint).map(|known| &known.endpoint.failure_domain);
        to.map_or(0, |to| self.travel_ms(&self.vms[vm].domain, to)).max(1)
    }

    // Clients.

    fn schedule_ask(&mut self, kind: usize) {
        let per_ms = self.deployment.kinds[kind].per_s / 1e3 * self.load.max(0.001);
        let gap_ms = -(1.0 - self.random.random::<f64>()).ln() / per_ms;
        let at = self.now + SpanMs(gap_ms as u64);
        self.push(at, Item::Asked(kind));
    }

    fn ask(&mut self, kind: usize) {
        if self.load <= 0.0 {
            return;
        }
        let serving: BTreeSet<SocketAddr> = self
            .vms
            .iter()
            .filter_map(|vm| vm.path.as_ref())
            .flat_map(|path| path.addresses(self.now, None, None))
            .collect();
        let serving: Vec<usize> =
            (0..self.vms.len()).filter(|vm| serving.contains(&self.vms[*vm].client_address)).collect();
        let Some(vm) = serving.get(self.random.random_range(0..serving.len().max(1))).copied() else {
            return;
        };
        self.ask_at(vm, kind, None);
    }

    /// A client asks a VM, with this subject or any.
    pub fn ask_at(&mut self, vm: usize, kind: usize, subject: Option<u64>) {
        self.request_numbers += 1;
        let number = RequestNumber(self.request_numbers);
        let client_id: Arc<str> = format!("{:016x}", self.request_numbers).into();
        let spec = self.deployment.kinds[kind].clone();
        let arrival = self.arrival(&spec, number, &client_id, subject);
        let entry = Entry {
            kind,
            prompt: arrival.prompt.clone(),
            asked_at: self.now,
            repeatability: spec.route.repeatability,
            endpoints_max: spec.route.endpoints_max as usize,
            timeout_ms: spec.route.timeout_ms.0,
            runs: Vec::new(),
            ending: None,
            is_given_up: false,
            last_event: None,
            first_byte_at: None,
            is_excused: false,
        };
        self.ledger.entries.insert(client_id.clone(), entry);
        let incarnation = self.vms[vm].incarnation;
        self.requests.insert((vm, incarnation, number), client_id.clone());
        if self.vms[vm].path.is_none() || self.vms[vm].paused_until > self.now {
            self.excuse(&client_id);
        }
        if self.random.random::<f64>() < self.give_up_share {
            let at = self.now + SpanMs(spec.route.objective_ms.0 / 2);
            self.push(at, Item::GivesUp(client_id, vm, incarnation, number));
        }
        self.deliver(vm, CLIENT_MS, Event::Arrived(Box::new(arrival)));
    }

    fn excuse(&mut self, client_id: &Arc<str>) {
        if let Some(entry) = self.ledger.entries.get_mut(client_id) {
            entry.is_excused = true;
        }
    }

    fn arrival(
        &mut self,
        spec: &RequestKind,
        request: RequestNumber,
        client_id: &Arc<str>,
        subject: Option<u64>,
    ) -> Arrival {
        let subject = subject.unwrap_or_else(|| self.random.random_range(0..spec.subjects.max(1)));
        let mut vary = |mean: u64| (mean as f64 * self.random.random_range(0.4..1.6)) as u64;
        let own = PromptPart { id: Hash64::of(client_id.as_bytes()), tokens: vary(spec.own_tokens) };
        let shared_id = Hash64::of(format!("{}/{subject}", spec.name).as_bytes());
        let shared = PromptPart { id: shared_id, tokens: spec.shared_tokens };
        let prompt = if spec.own_tokens > 0 { vec![shared, own] } else { Vec::new() };
        let pieces = spec.pieces.iter().map(|count| {
            if self.random.random::<f64>() >= count.share {
                return 0;
            }
            if count.mean < 4.0 && count.mean > 1.0 {
                self.random.random_range(1..=(count.mean * 2.0 - 1.0).ceil() as u16)
            } else {
                count.mean as u16
            }
        });
        let pieces = pieces.collect();
        Arrival {
            request,
            client_id: client_id.clone(),
            host: spec.route.host.clone(),
            path: format!("/{}/x", spec.name).into(),
            key: Some(boragepass_path::ApiKey(Arc::from(CLIENT_KEY))),
            deadline_ms: Some(SpanMs(spec.deadline_ms)),
            prompt_tokens: prompt.iter().map(|part| part.tokens).sum(),
            prompt,
            output_tokens_max: spec.events * 5,
            pieces,
            piece_key: client_id.clone(),
            resume_after: None,
            digest: Hash64::of(client_id.as_bytes()),
            body_bytes: 0,
        }
    }

    fn give_up(&mut self, client_id: &Arc<str>, vm: usize, incarnation: u64, request: RequestNumber) {
        let Some(entry) = self.ledger.entries.get_mut(client_id) else {
            return;
        };
        if entry.ending.is_some() {
            return;
        }
        entry.is_given_up = true;
        self.hung_up.insert((vm, incarnation, request), (self.now, client_id.clone()));
        self.deliver(vm, CLIENT_MS, Event::HungUp(request));
    }

    fn end_request(&mut self, vm: usize, incarnation: u64, request: RequestNumber, ending: Ending) {
        if let Some(client_id) = self.requests.remove(&(vm, incarnation, request)) {
            let is_given_up = self.ledger.entries.get(&client_id).is_some_and(|entry| entry.is_given_up);
            if !is_given_up {
                self.ledger.on_end(self.now, &client_id, ending);
            }
        }
    }

    // Sends to plain services and model engines.

    fn start_send(
        &mut self,
        key: SendKey,
        request: RequestNumber,
        endpoint: &EndpointId,
        inputs: Vec<Arc<str>>,
        resume_after: Option<EventId>,
    ) {
        let (vm, incarnation, send) = key;
        let now = self.now;
        let Some(client_id) = self.requests.get(&(vm, incarnation, request)).cloned() else {
            return;
        };
        if let Some((at, _)) = self.hung_up.get(&(vm, incarnation, request))
            && now.since(*at).0 > HANG_UP_SLACK_MS
            && !self.was_paused(vm)
        {
            self.ledger.violate(now, &client_id, "a request was sent on after its client had left");
        }
        let travel = self.travel_to(vm, endpoint);
        let Some(known) = self.endpoints.get(endpoint) else {
            return;
        };
        let is_excused = self.vms[vm].is_cut_from_store || self.was_paused(vm);
        if !is_excused && known.drained_at.is_some_and(|at| now.since(at).0 > DRAIN_MS) {
            self.ledger.violate(now, &client_id, "a draining endpoint got a new request");
        }
        if known.is_down(now) {
            let wait = if known.is_dark { CONNECT_MS } else { 2 * travel };
            self.deliver(vm, wait, Event::SendFailed(send, SendFailure::NotSent));
            return;
        }
        let sent = Sent {
            client_id,
            request,
            endpoint: endpoint.clone(),
            generation: known.generation,
            has_head: false,
            is_relayed: false,
            next_event: 0,
        };
        self.sends.insert(key, sent);
        let first = resume_after.map_or(0, |event| event + 1);
        self.push(now + SpanMs(travel), Item::SendArrives(key, inputs, first));
    }

    fn facts(status: u16, is_not_run: bool) -> HeadFacts {
        HeadFacts { status, is_signed: !is_not_run, is_for_request: true, is_not_run, load: None }
    }

    fn send_arrives(&mut self, key: SendKey, inputs: &[Arc<str>], first: EventId) {
        let (vm, _, send) = key;
        let now = self.now;
        let Some(sent) = self.sends.get_mut(&key) else {
            return;
        };
        sent.next_event = first;
        let (client_id, id) = (sent.client_id.clone(), sent.endpoint.clone());
        let back = self.travel_to(vm, &id);
        let Some(kind) = self.ledger.entries.get(&client_id).map(|entry| entry.kind) else {
            return;
        };
        let spec = self.deployment.kinds[kind].clone();
        let wrong_input = inputs.iter().any(|handle| self.owner_of(handle).is_some_and(|owner| owner != client_id));
        if wrong_input {
            self.ledger.violate(now, &client_id, "a request was given results of another one");
        }
        if inputs.iter().any(|handle| self.owner_of(handle).is_none()) {
            self.sends.remove(&key);
            self.deliver(vm, back, Event::Replied(send, Self::facts(409, true)));
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        if endpoint.running >= endpoint.endpoint.slots as usize * 2 {
            self.sends.remove(&key);
            self.deliver(vm, back, Event::Replied(send, Self::facts(503, true)));
            return;
        }
        endpoint.running += 1;
        let generation = endpoint.generation;
        self.ledger.on_run(now, &client_id, &id);
        if spec.own_tokens == 0 {
            let over = endpoint.running as f64 / f64::from(endpoint.endpoint.slots.max(1));
            let work_ms = (spec.work_ms as f64 * endpoint.slowness * over.max(1.0)) as u64;
            let is_error = self.random.random::<f64>() < endpoint.error_share;
            self.push(now + SpanMs(work_ms), Item::PlainDone(key, id, generation, is_error));
            return;
        }
        let prompt = self.ledger.entries.get(&client_id).map(|entry| entry.prompt.clone()).unwrap_or_default();
        let tokens = prompt.iter().map(|part| part.tokens).sum();
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        let (at, read) = endpoint.read_prompt(now, &prompt, tokens);
        self.ledger.tokens_read += read;
        self.push(at, Item::StreamEvent(key));
    }

    fn owner_of(&self, handle: &str) -> Option<Arc<str>> {
        let now = self.now;
        let stages = self.endpoints.values().filter_map(|endpoint| endpoint.stage.as_ref());
        let mut kept = stages.filter_map(|stage| stage.results.get(handle));
        kept.find(|kept| kept.lapses_at > now).map(|kept| kept.client_id.clone())
    }

    fn is_gone(&self, sent_generation: u64, endpoint: &EndpointId) -> bool {
        self.endpoints.get(endpoint).is_none_or(|known| known.generation != sent_generation)
    }

    fn plain_done(&mut self, key: SendKey, id: &EndpointId, generation: u64, is_error: bool) {
        if self.is_gone(generation, id) {
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.running = endpoint.running.saturating_sub(1);
        let is_lost = self.random.random::<f64>() < endpoint.lost_share;
        if !self.sends.contains_key(&key) {
            return;
        }
        if is_lost {
            self.end_lost(key, SendFailure::Lost);
            return;
        }
        if let Some(sent) = self.sends.get_mut(&key) {
            sent.has_head = true;
        }
        let (vm, _, send) = key;
        let back = self.travel_to(vm, id);
        self.deliver(vm, back, Event::Replied(send, Self::facts(if is_error { 500 } else { 200 }, false)));
    }

    fn end_lost(&mut self, key: SendKey, failure: SendFailure) {
        let (vm, incarnation, send) = key;
        let Some(sent) = self.sends.remove(&key) else {
            return;
        };
        let event = if sent.is_relayed {
            let last = sent.next_event.checked_sub(1);
            Event::Streamed(send, Progress::Broken(failure, last))
        } else {
            Event::SendFailed(send, failure)
        };
        let at = self.now + SpanMs(1);
        self.push(at, Item::Handle(vm, incarnation, event));
    }

    fn stream_event(&mut self, key: SendKey) {
        let (vm, _, send) = key;
        let Some(sent) = self.sends.get_mut(&key) else {
            return;
        };
        let (id, generation, client_id) = (sent.endpoint.clone(), sent.generation, sent.client_id.clone());
        let is_first_of_send = !sent.has_head;
        sent.has_head = true;
        let is_relayed = sent.is_relayed;
        if self.is_gone(generation, &id) {
            return;
        }
        let back = self.travel_to(vm, &id);
        let gap = self.endpoints.get(&id).map_or(20, FakeEndpoint::event_gap_ms).max(1);
        if is_first_of_send {
            self.deliver(vm, back, Event::Replied(send, Self::facts(200, false)));
        } else if is_relayed {
            let Some(sent) = self.sends.get_mut(&key) else {
                return;
            };
            let event = sent.next_event;
            sent.next_event += 1;
            let kind = self.ledger.entries.get(&client_id).map_or(0, |entry| entry.kind);
            let events = self.deployment.kinds[kind].events;
            self.ledger.on_event(self.now, &client_id, event);
            if event == 0 {
                self.deliver(vm, back, Event::Streamed(send, Progress::FirstEvent));
            }
            if event + 1 >= events {
                self.end_stream(key, &id);
                return;
            }
        }
        let at = self.now + SpanMs(gap);
        self.push(at, Item::StreamEvent(key));
    }

    fn end_stream(&mut self, key: SendKey, id: &EndpointId) {
        let (vm, incarnation, send) = key;
        let Some(sent) = self.sends.remove(&key) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.running = endpoint.running.saturating_sub(1);
        }
        let entry = self.ledger.entries.get(&sent.client_id);
        let first_byte_ms =
            entry.and_then(|entry| entry.first_byte_at.map(|at| at.since(entry.asked_at).0 + CLIENT_MS));
        let ending = Ending::Answered { first_byte_ms: first_byte_ms.unwrap_or(0) };
        self.end_request(vm, incarnation, sent.request, ending);
        self.deliver(vm, 1, Event::Streamed(send, Progress::Ended));
        self.deliver(vm, 2, Event::Delivered(sent.request));
    }

    fn check_silence(&mut self, key: SendKey) {
        let (vm, _, send) = key;
        if self.sends.get(&key).is_some_and(|sent| !sent.has_head) {
            self.deliver(vm, 0, Event::Silent(send, None));
        }
    }

    fn cancel_send(&mut self, key: SendKey) {
        if let Some(sent) = self.sends.remove(&key)
            && let Some(endpoint) = self.endpoints.get_mut(&sent.endpoint)
            && endpoint.generation == sent.generation
        {
            endpoint.running = endpoint.running.saturating_sub(1);
        }
    }

    fn relay(&mut self, key: SendKey, request: RequestNumber) {
        let (vm, incarnation, _) = key;
        let Some(client_id) = self.requests.get(&(vm, incarnation, request)).cloned() else {
            return;
        };
        let Some(entry) = self.ledger.entries.get(&client_id) else {
            return;
        };
        let is_stream = matches!(entry.repeatability, Repeatability::StreamOnce | Repeatability::ResumableStream);
        if is_stream {
            if let Some(sent) = self.sends.get_mut(&key) {
                sent.is_relayed = true;
            }
            return;
        }
        let first_byte_ms = self.now.since(entry.asked_at).0 + CLIENT_MS;
        self.sends.remove(&key);
        self.end_request(vm, incarnation, request, Ending::Answered { first_byte_ms });
        self.deliver(vm, 1, Event::Delivered(request));
    }

    // Calls to stage endpoints.

    fn call_arrives(
        &mut self,
        vm: usize,
        incarnation: u64,
        call: CallNumber,
        id: &EndpointId,
        entries: Vec<boragepass_path::CallEntry>,
    ) {
        let now = self.now;
        let back = self.travel_to(vm, id);
        let fail = |failure| Event::CallEnded(call, CallOutcome { results: Err(failure), load: None });
        let sizes = entries.iter().map(|entry| self.piece_size(entry)).collect();
        for entry in &entries {
            self.check_piece(entry);
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        if endpoint.is_down(now) {
            let wait = if endpoint.is_dark { CONNECT_MS } else { back };
            self.deliver(vm, wait, fail(CallFailure::NotReached));
            return;
        }
        let Some(stage) = endpoint.stage.as_mut() else {
            return;
        };
        if !stage.has_place() {
            self.deliver(vm, back, fail(CallFailure::Full));
            return;
        }
        self.call_tags += 1;
        let tag = (Hash64::of(id.as_str().as_bytes()).0 >> 32 << 32) | (self.call_tags & 0xffff_ffff);
        self.calls.insert(tag, (vm, incarnation, call));
        let is_busy = stage.is_busy;
        stage.waiting.push_back(WaitingCall { tag, entries, sizes });
        if !is_busy {
            self.start_stage(id);
        }
    }

    fn piece_size(&self, entry: &boragepass_path::CallEntry) -> (u64, f64) {
        let kind = self.ledger.entries.get(&entry.client_id).map_or(0, |known| known.kind);
        let kind = &self.deployment.kinds[kind];
        let bytes = kind.route.stages.get(entry.stage).map_or(0, |stage| stage.result_bytes);
        (bytes, kind.pieces.get(entry.stage).map_or(1.0, |count| count.work_factor))
    }

    fn check_piece(&mut self, entry: &boragepass_path::CallEntry) {
        if let boragepass_path::EntrySource::Inputs(handles) = &entry.source {
            let is_foreign =
                handles.iter().any(|handle| self.owner_of(handle).is_some_and(|owner| owner != entry.client_id));
            if is_foreign || handles.is_empty() {
                self.ledger.violate(
                    self.now,
                    &entry.client_id,
                    "a piece was given no inputs or those of another request",
                );
            }
        }
    }

    fn start_stage(&mut self, id: &EndpointId) {
        let now = self.now;
        let gone: BTreeSet<Arc<str>> = {
            let waiting = self.endpoints.get(id).and_then(|endpoint| endpoint.stage.as_ref());
            let entries = waiting.into_iter().flat_map(|stage| stage.waiting.front()).flat_map(|call| &call.entries);
            let handles = entries.filter_map(|entry| match &entry.source {
                boragepass_path::EntrySource::Inputs(handles) => Some(handles.clone()),
                boragepass_path::EntrySource::Key(_) => None,
            });
            handles.flatten().filter(|handle| self.owner_of(handle).is_none()).collect()
        };
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        let (slowness, generation, maker) = (endpoint.slowness, endpoint.generation, endpoint.endpoint.clone());
        let Some(stage) = endpoint.stage.as_mut() else {
            return;
        };
        let Some(call) = stage.waiting.pop_front() else {
            return;
        };
        self.ledger.calls += 1;
        self.ledger.pieces += call.entries.len() as u32;
        let run = stage.run(now, call, &maker, slowness, |handle| gone.contains(handle));
        let no_room = run.outcomes.iter().filter(|outcome| **outcome == PieceOutcome::NoRoom).count();
        self.ledger.no_room += no_room as u32;
        let at = now + SpanMs(run.took_ms);
        self.push(at, Item::StageDone(id.clone(), generation, run));
    }

    fn stage_done(&mut self, id: &EndpointId, generation: u64, run: StageRun) {
        if self.is_gone(generation, id) {
            return;
        }
        if let Some((vm, incarnation, call)) = self.calls.remove(&run.tag) {
            let back = self.travel_to(vm, id);
            let is_lost = self.endpoints.get(id).is_some_and(|known| self.random.random::<f64>() < known.lost_share);
            let results = if is_lost { Err(CallFailure::Lost) } else { Ok(run.outcomes) };
            let event = Event::CallEnded(call, CallOutcome { results, load: None });
            let at = self.now + SpanMs(back);
            self.push(at, Item::Handle(vm, incarnation, event));
        }
        if let Some(stage) = self.endpoints.get_mut(id).and_then(|endpoint| endpoint.stage.as_mut()) {
            stage.is_busy = false;
        }
        self.start_stage(id);
    }
}
