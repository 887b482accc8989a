//! The reducer of the request path: dispatches events and timers to the concerns, and collects their effects.
//!
//! This file holds the state and readiness. The submodules hold the flows: arrival and admission (`arrivals`), the stop
//! of the process (`stopping`), stages of this VM's requests (`stage_flow`), pools that this VM leads
//! (`leading`), sends to endpoints (`sends`), contents that crash them (`crashes`), software versions that begin
//! streams (`stream_versions`), their record in the store (`stream_record`) and those that pools had (`version_record`),
//! what endpoints state in replies (`signals`), the loss of all links to endpoints (`reach`), evacuated failure domains
//! (`evacuations`), home regions (`homes`), cold endpoints (`cold`), requests relayed to other VMs (`relays`), ends of
//! requests (`endings`), and other VMs (`peers`).

mod arrivals;
mod cold;
mod crashes;
mod endings;
mod endpoint_entries;
mod evacuations;
mod homes;
mod leading;
mod peers;
mod reach;
mod relays;
mod sends;
mod signals;
mod stage_flow;
mod stopping;
mod stream_record;
mod stream_versions;
mod version_record;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use boragepass_types::{EndpointId, FailureDomain, PoolId, Region, SpanMs, TimeMs, VmId};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::configuration::{Configuration, ConfigurationVersion};
use crate::effect::Effect;
use crate::event::Event;
use crate::fleet::{ColdSettling, Fleet, VmState, VmSummary};
use crate::message::PieceRequestId;
use crate::placement::{
    Endpoint, EndpointReach, EndpointTable, EndpointUpdate, EvacuationSource, Homes, PoolBacklogs, SharedEndpoint,
    Speed, StoreVersion, VersionHistory,
};
use crate::record::Record;
use crate::request::{CallNumber, RequestNumber, RequestState, SendNumber, StreamVersions};
use crate::retry::{CrashTracker, RetryBudget};
use crate::settings::PathSettings;
use crate::stages::Pool;
use crate::timers::{Timer, Timers};
use endpoint_entries::EntryReads;
use homes::homes_of_host;
use stream_record::StreamRecording;
use version_record::VersionRecording;

/// Interval at which expired entries are dropped.
const SWEEP_INTERVAL: SpanMs = SpanMs(500);
/// Stage pool within a region; each has its own leader and queue.
pub(crate) type PoolKey = (PoolId, Region);

/// State of the request path on one VM.
#[derive(Debug)]
pub struct RequestPath {
    settings: PathSettings,
    configuration: Option<Arc<Configuration>>,
    fleet: Fleet,
    endpoint_table: EndpointTable,
    endpoint_reach: EndpointReach,
    pool_backlogs: PoolBacklogs,
    led_pools: BTreeMap<PoolKey, Pool>,
    retry_budget: RetryBudget,
    cold_settling: ColdSettling,
    crash_tracker: CrashTracker,
    /// Endpoints that were found down while this VM's own links were in doubt.
    doubted_down_endpoints: Vec<EndpointId>,
    stream_versions: StreamVersions,
    version_history: VersionHistory,
    version_recording: VersionRecording,
    /// Newest version of the endpoint list that another VM stated.
    newest_peer_list: StoreVersion,
    stream_recording: StreamRecording,
    entry_reads: EntryReads,
    requests: HashMap<RequestNumber, RequestState>,
    /// Requests by the number of their send in progress.
    sends: HashMap<SendNumber, RequestNumber>,
    /// Requests by the number of their relay in progress.
    relays: HashMap<SendNumber, RequestNumber>,
    /// Newest configuration at VMs that may have served relayed requests, and when it was first seen there.
    configuration_at_relays: Option<(ConfigurationVersion, TimeMs)>,
    /// Led pools by the numbers of their calls in progress.
    calls: HashMap<CallNumber, PoolKey>,
    /// This VM's own piece requests in progress, with the request that each belongs to.
    piece_requests: HashMap<PieceRequestId, RequestNumber>,
    /// Moving average of the time to the first byte of an answer, without the prefill of the prompt.
    average_first_byte_ms: HashMap<PoolId, f64>,
    timers: Timers,
    rng: SmallRng,
    send_counter: u64,
    call_counter: u64,
    piece_request_counter: u64,
    stopping_since: Option<TimeMs>,
    /// When a heartbeat first showed a newer configuration or endpoint list, since the last query for them.
    state_behind_since: Option<TimeMs>,
    /// When this VM last asked another one for its state.
    state_queried_at: Option<TimeMs>,
    follows_store: bool,
    /// Whether a [`Timer::ShareState`] is pending.
    is_share_scheduled: bool,
    effects: Vec<Effect>,
}

impl RequestPath {
    /// Creates the request path of a VM that has no configuration, endpoints or peers yet.
    pub fn new(now: TimeMs, settings: PathSettings) -> Self {
        let mut timers = Timers::default();
        timers.set(now, Timer::Heartbeat);
        timers.set(now + SWEEP_INTERVAL, Timer::Sweep);
        Self {
            configuration: None,
            fleet: Fleet::new(&settings),
            endpoint_table: EndpointTable::new(),
            endpoint_reach: EndpointReach::default(),
            pool_backlogs: PoolBacklogs::default(),
            led_pools: BTreeMap::new(),
            retry_budget: RetryBudget::new(settings.retries),
            cold_settling: ColdSettling::new(now),
            crash_tracker: CrashTracker::default(),
            doubted_down_endpoints: Vec::new(),
            stream_versions: StreamVersions::default(),
            version_history: VersionHistory::default(),
            version_recording: VersionRecording::new(now),
            newest_peer_list: StoreVersion::default(),
            stream_recording: StreamRecording::default(),
            entry_reads: EntryReads::default(),
            requests: HashMap::new(),
            sends: HashMap::new(),
            relays: HashMap::new(),
            configuration_at_relays: None,
            calls: HashMap::new(),
            piece_requests: HashMap::new(),
            average_first_byte_ms: HashMap::new(),
            timers,
            rng: SmallRng::seed_from_u64(settings.seed),
            send_counter: 0,
            call_counter: 0,
            piece_request_counter: 0,
            stopping_since: None,
            state_behind_since: None,
            state_queried_at: None,
            // A VM that knows no other VM has to follow the store itself.
            follows_store: true,
            is_share_scheduled: false,
            effects: Vec::new(),
            settings,
        }
    }

    /// Handles one event and the timers that are due, and returns the resulting effects in order.
    pub fn handle(&mut self, now: TimeMs, event: Event) -> Vec<Effect> {
        match event {
            Event::RequestArrived(arrival) => self.on_request_arrived(now, arrival),
            Event::ClientDisconnected(request) => self.on_client_disconnected(now, request),
            Event::AnswerDelivered(request) => self.on_answer_delivered(request),
            Event::ReplyHeadArrived(send, head) if self.relays.contains_key(&send) => {
                self.on_relayed_head(now, send, head);
            }
            Event::ReplyHeadArrived(send, head) => self.on_reply_head(now, send, head),
            Event::SendFailed(send, failure) if self.relays.contains_key(&send) => {
                self.on_relay_failed(now, send, failure);
            }
            Event::SendFailed(send, failure) => self.on_send_failed(now, send, failure),
            Event::StreamProgressed(send, progress) if self.relays.contains_key(&send) => {
                self.on_relayed_progress(now, send, progress);
            }
            Event::StreamProgressed(send, progress) => self.on_stream_progress(now, send, progress),
            Event::EndpointSilent(send, last_event) => self.on_endpoint_silent(now, send, last_event),
            Event::EndpointStated(endpoint, signals) => self.on_endpoint_signals(now, &endpoint, signals),
            Event::StatementsQueried(endpoint, signals) => self.on_statements_queried(now, &endpoint, signals),
            Event::EndpointEntryRead(endpoint, entry) => self.on_endpoint_entry_read(now, &endpoint, entry),
            Event::EndpointDown(endpoint) => self.on_endpoint_down(now, &endpoint),
            Event::EndpointProbed(endpoint, is_reached) => self.on_endpoint_probed(now, &endpoint, is_reached),
            Event::CallEnded(call, outcome) => self.on_call_ended(now, call, outcome),
            Event::ConfigurationReceived(configuration) => self.on_configuration(now, configuration),
            Event::EndpointsUpdated(update) => self.on_endpoints_updated(now, update),
            Event::EvacuationsUpdated(read) => self.on_evacuations(now, read, EvacuationSource::Store),
            Event::EvacuationsShared(read) => self.on_evacuations(now, read, EvacuationSource::OtherVm),
            Event::ColdEndpointsShared(reports) => self.on_cold_reports(now, reports),
            Event::VersionsRecorded(recorded) => self.on_versions_recorded(now, recorded),
            Event::StreamVersionsRead(rows) => self.on_stream_versions_read(now, rows),
            Event::StreamVersionsRecorded(row_version) => self.on_stream_versions_recorded(now, row_version),
            Event::StoreReachable(is_reachable) => {
                self.endpoint_table.on_store_reachability(now, is_reachable);
                self.fleet.can_reach_store = is_reachable;
                self.update_store_following(now);
            }
            Event::VmsListed(records) => {
                for record in records {
                    self.fleet.on_vm_listed(now, record);
                }
                self.send_heartbeats(now);
            }
            Event::SeedsListed(seeds) => seeds.into_iter().for_each(|seed| self.fleet.add_seed(seed)),
            Event::PeerMessageReceived { from, incarnation, message } => self.on_peer(now, &from, incarnation, message),
            Event::SettingsRead(digest) => self.fleet.on_settings_read(digest),
            Event::Terminate => self.on_terminate(now),
            Event::Tick => {}
        }
        while let Some(timer) = self.timers.take_due(now) {
            self.on_timer(now, timer);
        }
        std::mem::take(&mut self.effects)
    }

    /// Time at which the next timer is due.
    pub fn next_wake(&self) -> Option<TimeMs> {
        self.timers.next()
    }

    /// Configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Version of the configuration in force; zero before there is one.
    pub(crate) fn configuration_version(&self) -> ConfigurationVersion {
        self.configuration.as_ref().map(|configuration| configuration.version).unwrap_or_default()
    }

    /// Known endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoint_table.iter().map(|known_endpoint| &known_endpoint.endpoint)
    }

    /// Speed of a known endpoint, as this VM estimates it.
    pub fn endpoint_speed(&self, now: TimeMs, endpoint: &EndpointId) -> Speed {
        self.endpoint_table.speed_of(endpoint, now)
    }

    /// Known endpoints, as this VM shares them with others.
    pub fn shared_endpoints(&self) -> impl Iterator<Item = SharedEndpoint> {
        self.endpoint_table.shared()
    }

    /// Version of the endpoint list.
    pub fn endpoints_version(&self) -> StoreVersion {
        self.endpoint_table.version
    }

    /// VMs that serve clients, including this one if it does.
    pub fn serving_vms(&self, now: TimeMs) -> Vec<VmId> {
        self.fleet.serving(now).map(|record| record.vm.clone()).collect()
    }

    /// What is known of the live VMs, this one first.
    pub fn vm_summaries(&self, now: TimeMs) -> Vec<VmSummary> {
        self.fleet.summaries(now, self.configuration_version())
    }

    /// Number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }

    /// Addresses for a client in a region and failure domain; none before this VM has a configuration.
    pub fn addresses(&self, now: TimeMs, region: Option<&Region>, domain: Option<&FailureDomain>) -> Vec<SocketAddr> {
        if self.configuration.is_none() {
            return Vec::new();
        }
        self.fleet.client_addresses(now, region, domain, &Homes::default())
    }

    /// Addresses for a client in a region and failure domain that sends requests to a host: those of its region, or of the
    /// home regions of the host's routes, if any other VM must not get the requests; none before this VM has a configuration.
    pub fn host_addresses(
        &self,
        now: TimeMs,
        host: &str,
        region: Option<&Region>,
        domain: Option<&FailureDomain>,
    ) -> Vec<SocketAddr> {
        let Some(configuration) = &self.configuration else {
            return Vec::new();
        };
        self.fleet.client_addresses(now, region, domain, &homes_of_host(configuration, host))
    }

    fn on_timer(&mut self, now: TimeMs, timer: Timer) {
        match timer {
            Timer::Heartbeat => {
                self.update_store_following(now);
                self.update_limit_shares(now);
                self.update_cold_shares(now);
                self.probe_endpoints_if_due(now);
                self.send_next_heartbeats(now);
                let interval = self.fleet.heartbeat_interval();
                self.timers.set(now + interval, Timer::Heartbeat);
            }
            Timer::CallOverdue(call) => self.on_call_overdue(now, call),
            Timer::RequestTimeout(request) => self.on_timeout(now, request),
            Timer::PieceRequestCheck(piece_request) => self.check_piece_request(now, &piece_request),
            Timer::RetrySend(request) => self.advance(now, request),
            Timer::StreamVersionQuery(request) => self.query_stream_version(now, request),
            Timer::CheckEndpoint(endpoint) => self.check_endpoint(&endpoint),
            Timer::RunPools => self.run_all_pools(now),
            Timer::ShareState => self.share_state_with_domain(now),
            Timer::ShareConfiguration => self.share_configuration_with_domain(now),
            Timer::CheckDrain => self.check_drain(now),
            Timer::WriteStreamVersions => self.write_scheduled_streams(now),
            Timer::Sweep => {
                if self.endpoint_table.sweep(now) {
                    // The list's version stays the same, so other VMs would not ask for the change.
                    self.schedule_state_share(now);
                }
                self.update_readiness(now);
                self.query_doubted_statements(now);
                self.crash_tracker.sweep(now);
                self.stream_versions.sweep(now);
                self.watch_versions(now);
                self.update_version_record(now);
                self.update_stream_record(now);
                self.release_orphaned_piece_requests(now);
                self.led_pools.values_mut().for_each(|pool| pool.sweep(now));
                self.run_all_pools(now);
                self.timers.set(now + SWEEP_INTERVAL, Timer::Sweep);
            }
        }
    }

    fn on_endpoints_updated(&mut self, now: TimeMs, update: EndpointUpdate) {
        let announced: Vec<_> = self.endpoint_table.announced_leaving().cloned().collect();
        let listed: BTreeSet<_> = self.endpoint_table.iter().map(|known| known.endpoint.id.clone()).collect();
        let source = update.source();
        let is_restored = self.endpoint_table.update(now, update);
        self.log_list_change(&listed, source);
        self.update_cold_terms(now);
        self.watch_versions(now);
        let version = self.endpoint_table.version;
        if is_restored {
            // The copy may lack the row of this VM, and what it recorded of versions.
            self.effects.push(Effect::RegisterVm);
            self.version_recording = VersionRecording::new(now);
            self.stream_recording.on_store_restored();
            self.log(Record::new("store was restored from a copy").text("version", version));
        }
        for endpoint in announced {
            if self.endpoint_table.get(&endpoint).is_none() {
                let record = Record::new("endpoint that announced its leaving is no longer listed");
                self.log(record.text("endpoint", &endpoint).text("version", version));
            }
        }
        self.query_doubted_statements(now);
        self.schedule_state_share(now);
        self.update_readiness(now);
        self.run_all_pools(now);
    }

    /// Logs which endpoints were added to the list and which were removed.
    fn log_list_change(&mut self, listed_before: &BTreeSet<EndpointId>, source: &'static str) {
        let listed: BTreeSet<_> = self.endpoint_table.iter().map(|known| known.endpoint.id.clone()).collect();
        if listed_before.is_empty() || listed == *listed_before {
            return;
        }
        let names = |ids: std::collections::btree_set::Difference<'_, EndpointId>| {
            ids.map(ToString::to_string).collect::<Vec<_>>().join(",")
        };
        let record = Record::new("endpoint list changed")
            .text("added", names(listed.difference(listed_before)))
            .text("removed", names(listed_before.difference(&listed)))
            .text("source", source)
            .text("version", self.endpoint_table.version);
        self.log(record);
    }

    fn on_configuration(&mut self, now: TimeMs, configuration: Arc<Configuration>) {
        let current_version = self.configuration.as_ref().map(|configuration| configuration.version);
        if current_version.is_some_and(|version| version >= configuration.version) {
            return;
        }
        let workspaces = configuration.workspaces();
        let key_count: usize = workspaces.iter().map(|workspace| workspace.keys.len()).sum();
        let workspaces_without_key = workspaces.iter().filter(|workspace| workspace.keys.is_empty()).count();
        self.log(
            Record::new("configuration in force")
                .number("version", configuration.version.0)
                .number("replaced", current_version.unwrap_or_default().0)
                .number("routes", configuration.routes().count())
                .number("workspaces", workspaces.len())
                .number("keys", key_count)
                .number("workspaces_without_key", workspaces_without_key),
        );
        for ((pool_id, _), pool) in &mut self.led_pools {
            if let Some(spec) = configuration.stage_pool(pool_id) {
                pool.set_spec(spec);
            }
        }
        self.configuration = Some(configuration);
        self.confirm_configuration(now);
        self.schedule_configuration_share(now);
        self.update_cold_terms(now);
        self.update_readiness(now);
        self.apply_new_homes(now);
    }

    /// Starts serving once configuration, endpoints and evacuated failure domains are known.
    fn update_readiness(&mut self, now: TimeMs) {
        let has_required_state = self.configuration.is_some() && !self.endpoint_table.is_empty();
        let is_startable = self.fleet.local_record.state == VmState::Starting && has_required_state;
        if is_startable && !self.awaits_evacuations(now) {
            self.fleet.local_record.state = VmState::Serving;
            self.effects.push(Effect::SetReady(true));
            self.log(Record::new("serving").number("endpoints", self.endpoint_table.iter().count()));
            self.send_heartbeats(now);
        }
    }

    fn log(&mut self, record: Record) {
        self.effects.push(Effect::Log(Box::new(record)));
    }
}
