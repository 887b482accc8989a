//! The simulated fleet: applies the effects of the VMs' reducers in virtual time and delivers the resulting events.
//!
//! It models the network, the store and the faults of processes. Endpoints model their own timing, and the ledger
//! checks what clients and endpoints observe.

mod added_routes;
mod clients;
mod cold;
mod evacuation;
mod harmful_part;
mod homes;
mod partition;
mod relays;
mod resumption;
mod sends;
mod stage_calls;
mod store;
mod stream_rows;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use boragepass_path::{
    Arrival, Batching, CallFailure, CallNumber, CallOutcome, ColdBounds, ConfigurationVersion, Effect, Endpoint,
    EndpointEntry, EndpointSignals, EndpointUpdate, Evacuations, Event, EventId, Homes, NamedRequest, PathSettings,
    PeerMessage, PieceOutcome, Progress, PromptPart, RecordedVersions, RefusalReason, RelayOrigin, Repeatability,
    ReplyHead, RequestNumber, RequestPath, RetryLimits, SendFailure, SendNumber, StoreVersion, VmRecord, VmState,
};
use boragepass_types::{
    EndpointId, FailureDomain, Hash64, Incarnation, Millicores, RequestRate, SpanMs, StoreEra, TimeMs, VmId,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::brittle::{Brittleness, FALL_MS};
use super::cold::{Coldness, OVERAGE, SLACK};
use super::deployment::{Deployment, RequestKind};
use super::endpoint::{FakeEndpoint, QueuedCall, StageRun};
use super::ledger::{Ending, Ledger, RequestRecord};
use super::pause::PausingRejections;
use super::rate_limit::StatedLimit;
pub use added_routes::ADDED_ROUTES;
pub use partition::EndpointLinks;
use partition::LinkOutcome;

/// Processor capacity of each VM; the model charges no processor time.
const VM_PROCESSOR: Millicores = Millicores(250);
/// Digest of the settings that all VMs have.
const SETTINGS_DIGEST: Hash64 = Hash64(1);
const START_TIME: TimeMs = TimeMs(1_000_000);
/// One-way delay between a client and a VM.
const CLIENT_DELAY_MS: u64 = 1;
/// One-way delay between regions.
const REGION_DELAY_MS: u64 = 20;
/// One-way delay between failure domains of a region. The users' sites state 0.5 and 1.4 ms.
const DOMAIN_DELAY_MS: u64 = 1;
/// Delay until a VM receives a change from the store.
const STORE_DELAY_MS: u64 = 5;
/// Time after which a connection attempt to an unresponsive endpoint fails.
const CONNECT_TIMEOUT_MS: u64 = 1_200;
/// Time for which a request may still be sent to endpoints after its client disconnected.
const DISCONNECT_SLACK_MS: u64 = 500;
/// Time for which a VM that has just started is not held to what others know.
const CONTACT_MS: u64 = 4_000;
/// Time for which a draining endpoint may still receive new requests, as the users' sites allow.
const DRAIN_GRACE_MS: u64 = 2_500;

/// Fault of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EndpointFault {
    /// Down for a time; all its work and state are lost.
    Crash {
        /// Time until it is up again.
        duration_ms: u64,
        /// Whether it leaves connections unanswered instead of refusing and resetting them.
        is_unresponsive: bool,
    },
    /// Works slower by this factor.
    SlowDown(f64),
    /// Loses this share of its answers after the work is done.
    LoseAnswers(f64),
    /// Answers this share of the plain requests with an error.
    ReturnErrors(f64),
    /// Announces through the store that it takes no new work.
    Drain,
    /// Announces in its replies, but not yet through the store, that it takes no new work.
    AnnounceLeaving,
    /// Removes its entry without a word in the store, serves on, and announces in its replies that it takes no new work.
    Unregister,
    /// Rejects requests and calls for a time and asks each VM for a pause.
    RejectWithPause {
        /// Time until it takes work again.
        duration_ms: u64,
        /// Pause that each rejection asks for.
        pause_ms: u64,
    },
    /// States a limit of requests per second in its replies.
    LimitRate(RequestRate),
    /// No longer states a limit.
    LiftRateLimit,
    /// States that it falls over if it has to reject more than this number of requests in a second, and soon lets none wait.
    BecomeBrittle(u32),
    /// No longer states that.
    EndBrittleness,
}

/// Entry VM with the state of its process and its links.
struct Vm {
    id: VmId,
    domain: FailureDomain,
    client_address: SocketAddr,
    peer_address: SocketAddr,
    relay_address: SocketAddr,
    /// Reducer of the running process; `None` while the VM is down.
    request_path: Option<RequestPath>,
    incarnation: u64,
    started_at: TimeMs,
    /// Earliest tick that is scheduled.
    wake_at: Option<TimeMs>,
    is_cut_from_store: bool,
    /// When it was last cut off from the store or connected again.
    store_link_changed_at: TimeMs,
    /// Whether the VM receives changes from the store rather than from peers.
    is_store_follower: bool,
    /// Version of the store's row of software versions that its process has read.
    pool_versions_row: u64,
    endpoint_links: EndpointLinks,
    paused_until: TimeMs,
    /// Events that arrived during a pause.
    held_events: VecDeque<Event>,
}

/// VM, incarnation of its process, and number of the send there.
type SendKey = (usize, u64, SendNumber);
/// VM, incarnation of its process, and number of the request there.
type RequestKey = (usize, u64, RequestNumber);
/// VM, incarnation of its process, and number of the call there.
type CallKey = (usize, u64, CallNumber);

/// Send of a request to an endpoint, until it ends for the VM.
struct ActiveSend {
    client_id: Arc<str>,
    request: RequestNumber,
    endpoint_id: EndpointId,
    /// Generation of the endpoint at the send; a later one means that the work was lost in a crash.
    endpoint_generation: u64,
    has_reply_head: bool,
    /// Whether the VM relays the stream to the client.
    is_relayed: bool,
    next_event: EventId,
    has_event: bool,
    /// Whether its connection hangs.
    is_hung: bool,
}

/// Step of the simulation at a scheduled time.
///
/// A `usize` with a `u64` is a VM and the incarnation of its process, an `EndpointId` with a `u64` is an endpoint and
/// its generation, and a `usize` alone is a kind of request.
enum Action {
    WakeVm(usize, u64),
    ResumeVm(usize, u64),
    DeliverEvent(usize, u64, Event),
    DeliverPeerMessage(SocketAddr, VmId, u64, PeerMessage),
    SubmitRequest(usize),
    ReceiveSend(SendKey, Vec<Arc<str>>, EventId),
    FinishPlainRun(SendKey, EndpointId, u64, bool),
    EmitStreamEvent(SendKey),
    CheckSilence(SendKey),
    ReceiveCall(usize, u64, CallNumber, EndpointId, Vec<boragepass_path::CallEntry>),
    FinishStageCall(EndpointId, u64, StageRun),
    AbandonRequest(Arc<str>, usize, u64, RequestNumber),
    SubmitHarmfulRequest(Hash64),
    CrashEngine(EndpointId, u64, Hash64),
    ReturnEngine(EndpointId),
    ResumeStream(Arc<str>),
    WriteEntry(EndpointId),
    WriteEntriesAgain,
    ReadRecordedVersions(usize, u64),
    ConfirmVersions(usize, u64),
}

/// Action with its time; the sequence number orders actions of the same time.
struct ScheduledAction {
    at: TimeMs,
    sequence: u64,
    action: Action,
}

impl PartialEq for ScheduledAction {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for ScheduledAction {}

impl PartialOrd for ScheduledAction {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledAction {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Simulation of entry VMs with their clients, endpoints, store and network.
pub struct PathFleet {
    /// Site that is simulated.
    pub deployment: Deployment,
    /// Observations of clients and endpoints, and the violations found in them.
    pub ledger: Ledger,
    now: TimeMs,
    last_sequence: u64,
    scheduled_actions: BinaryHeap<Reverse<ScheduledAction>>,
    rng: SmallRng,
    /// Draws what clients do, so that runs with the same seed have the same requests whatever faults are in force.
    client_rng: SmallRng,
    vms: Vec<Vm>,
    endpoints: BTreeMap<EndpointId, FakeEndpoint>,
    active_sends: HashMap<SendKey, ActiveSend>,
    /// Calls that stage endpoints have accepted and not answered.
    calls_by_tag: HashMap<u64, CallKey>,
    /// Time of disconnection and client id of abandoned requests.
    disconnected_requests: HashMap<RequestKey, (TimeMs, Arc<str>)>,
    /// Client ids of requests that have not ended at their VM.
    client_ids: HashMap<RequestKey, Arc<str>>,
    last_call_tag: u64,
    last_request_number: u64,
    replaced_endpoints: u64,
    batching: Batching,
    configuration_version: u64,
    store: store::Store,
    /// Multiple of the usual request rate.
    load_factor: f64,
    /// Whether the submission of requests has been scheduled.
    is_submitting: bool,
    harmful_requests: Option<harmful_part::HarmfulRequests>,
    relays: relays::Relays,
    /// VMs whose messages do not reach the others.
    split_vms: BTreeSet<usize>,
    /// Share of datagrams between VMs that are lost.
    pub datagram_loss: f64,
    /// Whether clients take up streams that broke after an event.
    pub clients_resume_streams: bool,
    /// Time until clients see that their stream broke; seconds if VMs lose power and leave connections unanswered.
    pub break_notice_ms: u64,
    /// Whether these clients name the stream that they take up.
    pub clients_name_streams: bool,
    /// Share of clients that connect to any VM, since their addresses are old.
    pub stale_client_share: f64,
    /// Share of requests whose clients disconnect after half of the objective.
    pub abandon_share: f64,
    /// Error of the clocks of endpoints in milliseconds.
    pub endpoint_clock_error_ms: i64,
    /// Time in milliseconds from the start of an endpoint that restarted under its id until its entry is written.
    pub registration_delay_ms: u64,
    /// Longest time in milliseconds by which a configuration reaches a VM later than usual; drawn anew each time.
    pub configuration_delay_max_ms: u64,
    /// Time in milliseconds by which changes of the store reach the VMs that follow it later than usual.
    pub feed_delay_ms: u64,
    /// Number of log records of the VMs by their text.
    pub log_record_counts: BTreeMap<&'static str, u32>,
}

impl PathFleet {
    /// Creates a fleet whose VMs have just started.
    pub fn new(deployment: Deployment, seed: u64) -> Self {
        Self::with_batching(deployment, seed, Batching::Led)
    }

    /// Creates a fleet with a given way to compose the calls of stage pools.
    pub fn with_batching(deployment: Deployment, seed: u64, batching: Batching) -> Self {
        let endpoints = deployment.endpoints.iter().map(|endpoint| {
            let stage = deployment.stage_pool(&endpoint.pool);
            let coldness = deployment.cold_start(&endpoint.pool).map(Coldness::new);
            let mut fake = FakeEndpoint::new(endpoint.clone(), stage, coldness);
            fake.unevenness = deployment.unevenness.filter(|_| fake.stage.is_none());
            (endpoint.id.clone(), fake)
        });
        let endpoints = endpoints.collect();
        let store = store::Store::new(&deployment.endpoints);
        let vms = (0..deployment.vms).map(|index| {
            let domain_index = index % deployment.domains.len();
            let domain = deployment.domains[domain_index].0.clone();
            Vm {
                id: format!("vm-{index}").parse().expect("the model's names are valid"),
                domain,
                client_address: SocketAddr::from(([10, domain_index as u8 + 1, 0, index as u8 + 1], 8_000)),
                peer_address: SocketAddr::from(([10, domain_index as u8 + 1, 0, index as u8 + 1], 7_000)),
                relay_address: SocketAddr::from(([10, domain_index as u8 + 1, 0, index as u8 + 1], 7_001)),
                request_path: None,
                incarnation: 0,
                started_at: START_TIME,
                wake_at: None,
                is_cut_from_store: false,
                store_link_changed_at: TimeMs(0),
                is_store_follower: true,
                pool_versions_row: 0,
                endpoint_links: EndpointLinks::Up,
                paused_until: TimeMs(0),
                held_events: VecDeque::new(),
            }
        });
        let vms = vms.collect();
        let mut fleet = Self {
            deployment,
            ledger: Ledger::default(),
            now: START_TIME,
            last_sequence: 0,
            scheduled_actions: BinaryHeap::new(),
            rng: SmallRng::seed_from_u64(seed),
            client_rng: SmallRng::seed_from_u64(!seed),
            vms,
            endpoints,
            active_sends: HashMap::new(),
            calls_by_tag: HashMap::new(),
            disconnected_requests: HashMap::new(),
            client_ids: HashMap::new(),
            last_call_tag: 0,
            last_request_number: 0,
            replaced_endpoints: 0,
            batching,
            configuration_version: 1,
            store,
            load_factor: 1.0,
            is_submitting: false,
            harmful_requests: None,
            relays: relays::Relays::default(),
            split_vms: BTreeSet::new(),
            datagram_loss: 0.0,
            clients_resume_streams: false,
            break_notice_ms: resumption::RESET_NOTICE_MS,
            clients_name_streams: true,
            stale_client_share: 0.0,
            abandon_share: 0.0,
            endpoint_clock_error_ms: 0,
            registration_delay_ms: 0,
            configuration_delay_max_ms: 0,
            feed_delay_ms: 0,
            log_record_counts: BTreeMap::new(),
        };
        fleet.record_homes();
        fleet.record_added_routes();
        for vm in 0..fleet.vms.len() {
            fleet.start_vm(vm);
        }
        fleet
    }

    /// Virtual time since the start.
    pub fn elapsed(&self) -> SpanMs {
        self.now.since(START_TIME)
    }

    /// Virtual time on the fleet's clock.
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

    /// Number of requests and calls that arrived at an endpoint since its last start.
    pub fn work_since_restart(&self, id: &EndpointId) -> u32 {
        self.endpoints.get(id).map_or(0, |endpoint| endpoint.arrivals)
    }

    /// Number of results that stage endpoints retain.
    pub fn retained_results(&self) -> usize {
        let stages = self.endpoints.values().filter_map(|endpoint| endpoint.stage.as_ref());
        stages.map(|stage| stage.results.values().filter(|result| result.expires_at > self.now).count()).sum()
    }

    /// Sets the request rate to a multiple of the usual rate; 0 stops submissions.
    pub fn set_load(&mut self, load_factor: f64) {
        self.load_factor = load_factor;
        if !self.is_submitting && load_factor > 0.0 {
            self.is_submitting = true;
            for kind in 0..self.deployment.kinds.len() {
                self.schedule_submission(kind);
            }
        }
    }

    /// Starts a new process on a VM that is down.
    pub fn start_vm(&mut self, vm: usize) {
        if self.vms[vm].request_path.is_some() {
            return;
        }
        let settings = self.next_incarnation_settings(vm);
        let (now, incarnation) = (self.now, settings.incarnation.0);
        self.vms[vm].started_at = now;
        self.vms[vm].request_path = Some(RequestPath::new(now, settings));
        self.vms[vm].wake_at = None;
        self.vms[vm].held_events.clear();
        self.vms[vm].is_store_follower = true;
        self.deliver(vm, 0, Event::SettingsRead(SETTINGS_DIGEST));
        self.deliver_store_contents(vm);
        self.read_recorded_versions(vm, incarnation);
        self.schedule(now, Action::WakeVm(vm, incarnation));
    }

    /// Settings for a new process on a VM, with the next incarnation.
    fn next_incarnation_settings(&mut self, vm: usize) -> PathSettings {
        let vm = &mut self.vms[vm];
        vm.incarnation += 1;
        let regions = self.deployment.domains.clone();
        let region = regions.iter().find(|(domain, _)| *domain == vm.domain).map(|(_, region)| region.clone());
        PathSettings {
            vm: vm.id.clone(),
            incarnation: Incarnation(vm.incarnation),
            region: region.expect("every VM is in a failure domain of the deployment"),
            failure_domain: vm.domain.clone(),
            client_address: vm.client_address,
            peer_address: vm.peer_address,
            relay_address: vm.relay_address,
            processor: VM_PROCESSOR,
            regions,
            retries: RetryLimits { ratio: 0.2, slack: 56.0, window_ms: SpanMs(10_000) },
            cold_bounds: ColdBounds { overage: OVERAGE, slack: SLACK },
            stop_grace_ms: SpanMs(8_000),
            batching: self.batching,
            seed: vm.incarnation,
        }
    }

    fn vm_records(&self) -> Vec<VmRecord> {
        let record = |vm: &Vm| VmRecord {
            vm: vm.id.clone(),
            incarnation: Incarnation(vm.incarnation),
            region: self.region_of(&vm.domain),
            failure_domain: vm.domain.clone(),
            client_address: vm.client_address,
            peer_address: vm.peer_address,
            relay_address: vm.relay_address,
            processor: VM_PROCESSOR,
            state: VmState::Starting,
        };
        self.vms.iter().map(record).collect()
    }

    fn region_of(&self, domain: &FailureDomain) -> boragepass_types::Region {
        let found = self.deployment.domains.iter().find(|(name, _)| name == domain);
        found.map(|(_, region)| region.clone()).expect("every domain of the model has a region")
    }

    /// Kills the process of a VM; its requests are lost together with the connections of their clients.
    pub fn kill_vm(&mut self, vm: usize) {
        if self.vms[vm].request_path.take().is_none() {
            return;
        }
        let incarnation = self.vms[vm].incarnation;
        self.break_relays(vm);
        let open_requests = self
            .client_ids
            .iter()
            .filter(|((key_vm, key_incarnation, _), _)| *key_vm == vm && *key_incarnation == incarnation);
        let mut client_ids: Vec<Arc<str>> = open_requests.map(|(_, client_id)| client_id.clone()).collect();
        client_ids.sort();
        for client_id in client_ids {
            if let Some(record) = self.ledger.requests.get_mut(&client_id)
                && record.ending.is_none()
            {
                record.is_excused = true;
                self.plan_next_attempt(&client_id);
            }
        }
        self.active_sends.retain(|(key_vm, ..), _| *key_vm != vm);
    }

    /// Tells a VM to terminate gracefully.
    pub fn stop_vm(&mut self, vm: usize) {
        self.deliver(vm, 0, Event::Terminate);
    }

    /// Stops the process of a VM from running for a time and excuses its requests.
    pub fn pause_vm(&mut self, vm: usize, duration_ms: u64) {
        // A shorter pause within a longer one has no effect.
        self.vms[vm].paused_until = self.vms[vm].paused_until.max(self.now + SpanMs(duration_ms));
        let incarnation = self.vms[vm].incarnation;
        let open_requests = self
            .client_ids
            .iter()
            .filter(|((key_vm, key_incarnation, _), _)| *key_vm == vm && *key_incarnation == incarnation);
        let client_ids: Vec<Arc<str>> = open_requests.map(|(_, client_id)| client_id.clone()).collect();
        client_ids.iter().for_each(|client_id| self.excuse_request(client_id));
    }

    /// Whether a VM is paused or was until a second ago, so that it may act on old input.
    fn was_recently_paused(&self, vm: usize) -> bool {
        self.now.since(self.vms[vm].paused_until).0 < 1_000
    }

    /// Whether a VM is held to what the store has confirmed: for a while it has run, reached the store and lost no datagrams.
    fn is_in_touch(&self, vm: usize) -> bool {
        let (now, vm_state) = (self.now, &self.vms[vm]);
        let changed_at = vm_state.started_at.max(vm_state.store_link_changed_at).max(vm_state.paused_until);
        !vm_state.is_cut_from_store
            && now.since(changed_at).0 > CONTACT_MS
            && self.datagram_loss == 0.0
            && !self.store.was_restored_lately(now)
    }

    /// Puts a fault in force at an endpoint.
    pub fn inject_fault(&mut self, id: &EndpointId, fault: EndpointFault) {
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        match fault {
            EndpointFault::Crash { duration_ms, is_unresponsive } => {
                endpoint.crash(now + SpanMs(duration_ms), is_unresponsive);
                let generation = endpoint.generation;
                let is_ever_cold = endpoint.coldness.is_some();
                self.reset_connections(id, generation, is_unresponsive);
                if is_ever_cold {
                    // Its entry states for how long it is cold.
                    self.schedule(now + SpanMs(duration_ms), Action::ReturnEngine(id.clone()));
                }
            }
            EndpointFault::SlowDown(factor) => endpoint.slowness = factor,
            EndpointFault::LoseAnswers(share) => endpoint.lost_answer_share = share,
            EndpointFault::ReturnErrors(share) => endpoint.error_answer_share = share,
            EndpointFault::LimitRate(rate) => endpoint.stated_limit = Some(StatedLimit::new(rate)),
            EndpointFault::AnnounceLeaving => {
                endpoint.leaving.get_or_insert_default();
            }
            EndpointFault::Unregister => {
                endpoint.leaving.get_or_insert_default();
                self.remove_entry(id);
            }
            EndpointFault::RejectWithPause { duration_ms, pause_ms } => {
                endpoint.rejections = Some(PausingRejections::new(SpanMs(pause_ms), now + SpanMs(duration_ms)));
            }
            EndpointFault::LiftRateLimit => endpoint.stated_limit = None,
            EndpointFault::BecomeBrittle(rejections_max) => {
                endpoint.brittleness = Some(Brittleness::new(rejections_max, now));
                self.ledger.on_brittleness(&endpoint.endpoint.pool);
            }
            EndpointFault::EndBrittleness => endpoint.brittleness = None,
            EndpointFault::Drain => {
                endpoint.endpoint.is_draining = true;
                self.write_entry(id);
            }
        }
    }

    /// Resets the connections of sends and calls that were lost in a crash; an unresponsive endpoint leaves them open.
    fn reset_connections(&mut self, id: &EndpointId, generation: u64, is_unresponsive: bool) {
        if is_unresponsive {
            return;
        }
        let send_keys: Vec<SendKey> = self
            .active_sends
            .iter()
            .filter(|(_, send)| send.endpoint_id == *id && send.endpoint_generation < generation)
            .map(|(key, _)| *key)
            .collect();
        let mut send_keys = send_keys;
        send_keys.sort_by_key(|(vm, incarnation, send)| (*vm, *incarnation, send.0));
        for key in send_keys {
            self.fail_send(key, SendFailure::ConnectionLost);
        }
        let calls: Vec<_> = self.calls_by_tag.iter().map(|(tag, call_key)| (*tag, *call_key)).collect();
        for (tag, (vm, incarnation, call)) in calls {
            let is_affected = self.is_call_to(tag, id);
            if is_affected {
                self.calls_by_tag.remove(&tag);
                let outcome = CallOutcome { results: Err(CallFailure::ConnectionLost), signals: None };
                let now = self.now;
                self.schedule(now + SpanMs(1), Action::DeliverEvent(vm, incarnation, Event::CallEnded(call, outcome)));
            }
        }
    }

    /// Whether a call went to an endpoint; the upper half of its tag is from the hash of the endpoint id.
    fn is_call_to(&self, tag: u64, id: &EndpointId) -> bool {
        tag >> 32 == Hash64::of(id.as_str().as_bytes()).0 >> 32
    }

    /// Clears all faults except drains and pauses: endpoints are up, VMs run and reach the store.
    pub fn clear_faults(&mut self) {
        self.datagram_loss = 0.0;
        self.abandon_share = 0.0;
        self.split_vms.clear();
        for endpoint in self.endpoints.values_mut() {
            endpoint.slowness = 1.0;
            endpoint.lost_answer_share = 0.0;
            endpoint.error_answer_share = 0.0;
            endpoint.stated_limit = None;
            endpoint.rejections = None;
            endpoint.brittleness = None;
            endpoint.down_until = endpoint.down_until.min(self.now);
        }
        for vm in 0..self.vms.len() {
            self.set_endpoint_links(&[vm], EndpointLinks::Up);
            self.set_cut_from_store(vm, false);
            self.start_vm(vm);
        }
    }

    /// Runs the simulation for a time.
    pub fn run_for(&mut self, ms: u64) {
        let elapsed_ms = self.elapsed().0;
        self.run_until(elapsed_ms + ms);
    }

    /// Runs the simulation until a time since the start.
    pub fn run_until(&mut self, elapsed_ms: u64) {
        let until = START_TIME + SpanMs(elapsed_ms);
        while let Some(Reverse(next)) = self.scheduled_actions.peek() {
            if next.at > until {
                break;
            }
            let Some(Reverse(next)) = self.scheduled_actions.pop() else {
                break;
            };
            self.now = self.now.max(next.at);
            self.perform(next.action);
        }
        self.now = until;
    }

    fn schedule(&mut self, at: TimeMs, action: Action) {
        self.last_sequence += 1;
        self.scheduled_actions.push(Reverse(ScheduledAction { at, sequence: self.last_sequence, action }));
    }

    /// Schedules an event for the current process of a VM.
    fn deliver(&mut self, vm: usize, after_ms: u64, event: Event) {
        let (at, incarnation) = (self.now + SpanMs(after_ms), self.vms[vm].incarnation);
        self.schedule(at, Action::DeliverEvent(vm, incarnation, event));
    }

    /// Performs an action that is due.
    fn perform(&mut self, action: Action) {
        match action {
            Action::WakeVm(vm, incarnation) => {
                if self.vms[vm].incarnation == incarnation {
                    self.vms[vm].wake_at = None;
                    self.handle_event(vm, incarnation, Event::Tick);
                }
            }
            Action::ResumeVm(vm, incarnation) => self.resume_vm(vm, incarnation),
            Action::DeliverEvent(vm, incarnation, event) => self.handle_event(vm, incarnation, event),
            Action::DeliverPeerMessage(address, from, incarnation, message) => {
                if let Some(vm) = self.vms.iter().position(|vm| vm.peer_address == address) {
                    let event = Event::PeerMessageReceived { from, incarnation: Incarnation(incarnation), message };
                    let to = self.vms[vm].incarnation;
                    self.handle_event(vm, to, event);
                }
            }
            Action::SubmitRequest(kind) => {
                self.submit_to_any_vm(kind);
                self.schedule_submission(kind);
            }
            Action::ReceiveSend(key, inputs, first_event) => self.receive_send(key, &inputs, first_event),
            Action::FinishPlainRun(key, endpoint_id, generation, is_error) => {
                self.finish_plain_run(key, &endpoint_id, generation, is_error)
            }
            Action::EmitStreamEvent(key) => self.emit_stream_event(key),
            Action::CheckSilence(key) => self.check_silence(key),
            Action::ReceiveCall(vm, incarnation, call, endpoint_id, entries) => {
                self.receive_call(vm, incarnation, call, &endpoint_id, entries);
            }
            Action::FinishStageCall(endpoint_id, generation, run) => {
                self.finish_stage_call(&endpoint_id, generation, run)
            }
            Action::AbandonRequest(client_id, vm, incarnation, request) => {
                self.abandon_request(&client_id, vm, incarnation, request)
            }
            Action::SubmitHarmfulRequest(part) => self.submit_harmful_request(part),
            Action::CrashEngine(endpoint_id, generation, part) => self.crash_engine(&endpoint_id, generation, part),
            Action::ReturnEngine(endpoint_id) => self.return_engine(&endpoint_id),
            Action::ResumeStream(stream) => self.resume_stream(&stream),
            Action::WriteEntry(endpoint_id) => self.write_entry(&endpoint_id),
            Action::WriteEntriesAgain => self.write_entries_again(),
            Action::ReadRecordedVersions(vm, incarnation) => self.read_recorded_versions(vm, incarnation),
            Action::ConfirmVersions(vm, incarnation) => self.confirm_versions(vm, incarnation),
        }
    }

    /// Passes an event to a VM, unless the process for which it was scheduled is gone or paused.
    fn handle_event(&mut self, vm: usize, incarnation: u64, event: Event) {
        if self.vms[vm].incarnation != incarnation {
            return;
        }
        if self.vms[vm].paused_until > self.now || !self.vms[vm].held_events.is_empty() {
            self.hold_event(vm, event);
            return;
        }
        self.run_reducer(vm, incarnation, event);
    }

    /// Holds an event for a paused VM; held events are delivered in the order of their arrival.
    fn hold_event(&mut self, vm: usize, event: Event) {
        if self.vms[vm].held_events.is_empty() {
            let (at, incarnation) = (self.vms[vm].paused_until, self.vms[vm].incarnation);
            self.schedule(at, Action::ResumeVm(vm, incarnation));
        }
        self.vms[vm].held_events.push_back(event);
    }

    /// Delivers the held events once the pause is over.
    fn resume_vm(&mut self, vm: usize, incarnation: u64) {
        if self.vms[vm].incarnation != incarnation {
            return;
        }
        if self.vms[vm].paused_until > self.now {
            let at = self.vms[vm].paused_until;
            self.schedule(at, Action::ResumeVm(vm, incarnation));
            return;
        }
        while let Some(event) = self.vms[vm].held_events.pop_front() {
            self.run_reducer(vm, incarnation, event);
        }
    }

    /// Passes an event to the reducer of a VM and applies the resulting effects.
    fn run_reducer(&mut self, vm: usize, incarnation: u64, event: Event) {
        let now = self.now;
        let Some(path) = self.vms[vm].request_path.as_mut() else {
            return;
        };
        let effects = path.handle(now, event);
        let next_wake = path.next_wake();
        for effect in effects {
            self.apply_effect(vm, incarnation, effect);
        }
        if let Some(next_wake) = next_wake
            && self.vms[vm].wake_at.is_none_or(|at| next_wake < at)
        {
            self.vms[vm].wake_at = Some(next_wake);
            self.schedule(next_wake.max(now), Action::WakeVm(vm, incarnation));
        }
    }

    /// One-way network delay between two failure domains.
    fn network_delay_ms(&self, from: &FailureDomain, to: &FailureDomain) -> u64 {
        if from == to {
            0
        } else if self.region_of(from) == self.region_of(to) {
            DOMAIN_DELAY_MS
        } else {
            REGION_DELAY_MS
        }
    }

    fn apply_effect(&mut self, vm: usize, incarnation: u64, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::Send { send, request, target, silence_ms, inputs, resume_after, .. } => {
                let key = (vm, incarnation, send);
                self.start_send(key, request, &target.endpoint, inputs.unwrap_or_default(), resume_after);
                if let Some(silence_ms) = silence_ms {
                    self.schedule(now + silence_ms, Action::CheckSilence(key));
                }
            }
            Effect::Relay { send, request, target, configuration, homes, .. } => {
                self.check_relay_homes(vm, incarnation, request, target.address);
                self.start_relay((vm, incarnation, send), request, target.address, configuration, homes);
            }
            Effect::CancelSend(send) => {
                self.cancel_send((vm, incarnation, send));
                self.cancel_relay((vm, incarnation, send));
            }
            Effect::RelayReply(request, send) => self.relay_reply((vm, incarnation, send), request),
            Effect::Respond(request, answer) => {
                if answer.reason == RefusalReason::NoRoute {
                    self.check_added_route_missing(vm, incarnation, request);
                }
                let is_behind = answer.reason == RefusalReason::ConfigurationBehind;
                if is_behind && self.refuse_relay_as_behind((vm, incarnation, request)) {
                    return;
                }
                let ending = if matches!(answer.status, 429 | 503) { Ending::Refused } else { Ending::Failed };
                self.end_request(vm, incarnation, request, ending);
                self.deliver(vm, 0, Event::AnswerDelivered(request));
            }
            Effect::AbortAnswer(request) => {
                self.end_request(vm, incarnation, request, Ending::Aborted);
                self.deliver(vm, 0, Event::ClientDisconnected(request));
            }
            Effect::CheckEndpoint(target) => {
                let is_refused = match self.vms[vm].endpoint_links {
                    EndpointLinks::Up => {
                        let refuses = |endpoint: &FakeEndpoint| endpoint.is_down(now) && !endpoint.is_unresponsive;
                        self.endpoints.get(&target.endpoint).is_some_and(refuses)
                    }
                    EndpointLinks::Hanging => false,
                    EndpointLinks::Resetting | EndpointLinks::RefusingNew => true,
                };
                if is_refused {
                    let round_trip_ms = 2 * self.endpoint_delay_ms(vm, &target.endpoint);
                    self.deliver(vm, round_trip_ms, Event::EndpointDown(target.endpoint));
                }
            }
            Effect::ProbeEndpoint(target) => self.probe_endpoint(vm, target.endpoint),
            Effect::QueryStatements(target, _) => self.query_statements(vm, target.endpoint),
            Effect::Call { call, target, entries, timeout_ms } => {
                let delay_ms = self.endpoint_delay_ms(vm, &target.endpoint);
                match self.link_outcome(vm, &target.endpoint) {
                    LinkOutcome::Passes => self.schedule(
                        now + SpanMs(delay_ms),
                        Action::ReceiveCall(vm, incarnation, call, target.endpoint, entries),
                    ),
                    LinkOutcome::Hangs => {}
                    LinkOutcome::Resets => {
                        let outcome = CallOutcome { results: Err(CallFailure::ConnectionLost), signals: None };
                        self.deliver(vm, 1, Event::CallEnded(call, outcome));
                    }
                    LinkOutcome::Fails { after_ms } => {
                        let outcome = CallOutcome { results: Err(CallFailure::NotReached), signals: None };
                        self.deliver(vm, after_ms, Event::CallEnded(call, outcome));
                    }
                }
                let outcome = CallOutcome { results: Err(CallFailure::TimedOut), signals: None };
                self.schedule(now + timeout_ms, Action::DeliverEvent(vm, incarnation, Event::CallEnded(call, outcome)));
            }
            Effect::FreeResults(target, handles) => {
                if let Some(stage) =
                    self.endpoints.get_mut(&target.endpoint).and_then(|endpoint| endpoint.stage.as_mut())
                {
                    for handle in handles {
                        stage.results.remove(&handle);
                    }
                }
            }
            Effect::SendPeerMessage(_, address, message) => self.send_peer_message(vm, incarnation, address, *message),
            Effect::SendPeerDatagram(_, address, message) => {
                if self.rng.random::<f64>() >= self.datagram_loss {
                    self.send_peer_message(vm, incarnation, address, *message);
                }
            }
            Effect::ShareState { address, .. } => self.share_state(vm, address),
            Effect::ShareConfiguration { address, .. } => self.share_configuration(vm, address),
            Effect::Exit => {
                self.vms[vm].request_path = None;
                self.start_vm(vm);
            }
            Effect::ReadRecordedVersions => self.read_recorded_versions(vm, incarnation),
            Effect::ReadEndpointEntry(id) => self.read_entry(vm, id),
            Effect::ConfirmVersions => self.confirm_versions(vm, incarnation),
            Effect::RecordVersions(versions) => self.record_versions(vm, incarnation, versions),
            Effect::ReadStreamVersions => self.read_stream_versions(vm),
            Effect::RecordStreamVersions(row) => self.record_stream_versions(vm, row),
            Effect::Log(record) => *self.log_record_counts.entry(record.what).or_default() += 1,
            Effect::FollowStore(follows) => {
                self.vms[vm].is_store_follower = follows;
                if follows {
                    self.deliver_store_contents(vm);
                }
            }
            Effect::DropRequest(_) | Effect::RegisterVm | Effect::SetReady(_) | Effect::CloseConnections => {}
        }
    }

    fn send_peer_message(&mut self, vm: usize, incarnation: u64, address: SocketAddr, message: PeerMessage) {
        let Some(to) = self.vms.iter().position(|other| other.peer_address == address) else {
            return;
        };
        if let PeerMessage::PieceRequest(piece_request) = &message {
            self.check_leader_homes(vm, to, &piece_request.client_id.clone());
        }
        if !self.are_linked(vm, to) {
            return;
        }
        let delay_ms = self.network_delay_ms(&self.vms[vm].domain, &self.vms[to].domain).max(1);
        let from = self.vms[vm].id.clone();
        let at = self.now + SpanMs(delay_ms);
        self.schedule(at, Action::DeliverPeerMessage(address, from, incarnation, message));
    }

    /// Delivers the configuration that a VM has to a peer, as a reliable bulk transfer.
    fn share_configuration(&mut self, vm: usize, address: SocketAddr) {
        let to = self.vms.iter().position(|other| other.peer_address == address);
        let Some(to) = to.filter(|to| self.are_linked(vm, *to)) else {
            return;
        };
        let configuration = self.vms[vm].request_path.as_ref().and_then(|path| path.configuration().cloned());
        if let Some(configuration) = configuration {
            let delay_ms = REGION_DELAY_MS + self.draw_configuration_delay_ms();
            self.deliver(to, delay_ms, Event::ConfigurationReceived(configuration));
        }
    }

    /// Delivers the endpoints that a VM has to a peer, as a reliable bulk transfer.
    fn share_state(&mut self, vm: usize, address: SocketAddr) {
        let Some(to) = self.vms.iter().position(|other| other.peer_address == address) else {
            return;
        };
        let Some(path) = self.vms[vm].request_path.as_ref().filter(|_| self.are_linked(vm, to)) else {
            return;
        };
        let cold = path.cold_endpoints(self.now);
        let update = EndpointUpdate::PeerSnapshot(path.shared_endpoints().collect(), path.endpoints_version());
        if let Some(evacuations) = path.evacuations().cloned() {
            self.deliver(to, REGION_DELAY_MS, Event::EvacuationsShared(evacuations));
        }
        self.deliver(to, REGION_DELAY_MS, Event::EndpointsUpdated(update));
        if !cold.is_empty() {
            self.deliver(to, REGION_DELAY_MS, Event::ColdEndpointsShared(cold));
        }
    }

    /// What an endpoint states of itself in a reply that reaches a VM after `delay_ms`.
    fn endpoint_signals(&mut self, vm: usize, id: &EndpointId, delay_ms: u64) -> Option<EndpointSignals> {
        let (now, incarnation) = (self.now, self.vms[vm].incarnation);
        let endpoint = self.endpoints.get_mut(id)?;
        if let Some(leaving) = &mut endpoint.leaving {
            leaving.on_reply(now + SpanMs(delay_ms), (vm, incarnation));
        }
        let rate_limit = endpoint.stated_limit.as_mut().map(|limit| {
            limit.on_reply(now, now + SpanMs(delay_ms), (vm, incarnation));
            limit.rate
        });
        let is_leaving = endpoint.leaving.is_some();
        let rejections_max = endpoint.brittleness.as_ref().map(|brittleness| brittleness.rejections_max);
        let cold_left_ms = endpoint.coldness.as_ref().map(|coldness| coldness.left(now));
        let load = endpoint.stated_load(now);
        Some(EndpointSignals {
            load,
            rate_limit,
            rejections_max,
            is_leaving,
            cold_left_ms,
            ..EndpointSignals::default()
        })
    }

    /// Lets an endpoint answer a VM that asks what it states of itself.
    fn query_statements(&mut self, vm: usize, id: EndpointId) {
        let now = self.now;
        let delay_ms = self.endpoint_delay_ms(vm, &id);
        let is_up = self.endpoints.get(&id).is_some_and(|endpoint| !endpoint.is_down(now));
        let is_reached = self.vms[vm].endpoint_links == EndpointLinks::Up && is_up;
        let signals = if is_reached { self.endpoint_signals(vm, &id, 2 * delay_ms) } else { None };
        self.deliver(vm, 2 * delay_ms, Event::StatementsQueried(id, signals));
    }

    /// Counts a rejection for want of room; a brittle endpoint falls over at too many of them.
    fn on_full_rejection(&mut self, id: &EndpointId) {
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        if endpoint.brittleness.as_mut().is_some_and(|brittleness| brittleness.on_rejection(now)) {
            let pool = endpoint.endpoint.pool.clone();
            self.ledger.on_fall(now, &pool);
            self.inject_fault(id, EndpointFault::Crash { duration_ms: FALL_MS, is_unresponsive: false });
            self.schedule(now + SpanMs(FALL_MS), Action::ReturnEngine(id.clone()));
        }
    }

    /// What an endpoint states in a rejection that reaches a VM after `delay_ms`, if it rejects all work now.
    fn rejection_signals(&mut self, vm: usize, id: &EndpointId, delay_ms: u64) -> Option<EndpointSignals> {
        let (now, incarnation) = (self.now, self.vms[vm].incarnation);
        let rejections = self.endpoints.get_mut(id)?.rejections.as_mut().filter(|it| now < it.rejects_until)?;
        rejections.on_rejection(now + SpanMs(delay_ms), (vm, incarnation));
        let pause_ms = Some(rejections.pause);
        let signals = self.endpoint_signals(vm, id, delay_ms)?;
        Some(EndpointSignals { pause_ms, ..signals })
    }

    /// Checks that a VM keeps to what the endpoint has stated of itself when a request or call arrives there.
    fn check_endpoint_signals(&mut self, vm: usize, id: &EndpointId, client_id: &Arc<str>) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.arrivals += 1;
        }
        self.check_evacuation(vm, id, client_id);
        self.check_coldness(id, client_id);
        if self.was_recently_paused(vm) {
            return;
        }
        let (now, incarnation) = (self.now, self.vms[vm].incarnation);
        let submitted_at = self.ledger.requests.get(client_id).map(|record| record.submitted_at).unwrap_or_default();
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        if endpoint.leaving.as_ref().is_some_and(|leaving| leaving.forbids((vm, incarnation), submitted_at)) {
            self.ledger.record_violation(
                now,
                client_id,
                "an endpoint got a new request after it announced its leaving",
            );
        }
        if endpoint.rejections.as_mut().is_some_and(|rejections| rejections.on_request(now, (vm, incarnation))) {
            self.ledger.record_violation(now, client_id, "an endpoint got requests in the pause that it asked for");
        }
        if endpoint.stated_limit.as_mut().is_some_and(|limit| limit.on_request(now, (vm, incarnation))) {
            self.ledger.record_violation(now, client_id, "an endpoint got more requests than the limit that it states");
        }
    }

    /// One-way network delay between a VM and an endpoint, at least 1 ms.
    fn endpoint_delay_ms(&self, vm: usize, id: &EndpointId) -> u64 {
        let to = self.endpoints.get(id).map(|endpoint| &endpoint.endpoint.failure_domain);
        to.map_or(0, |to| self.network_delay_ms(&self.vms[vm].domain, to)).max(1)
    }
}
