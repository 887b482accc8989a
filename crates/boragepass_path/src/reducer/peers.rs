//! Messages from other VMs, this VM's heartbeats, and the exchange of configuration and endpoints.

use std::net::SocketAddr;

use boragepass_types::{Incarnation, SpanMs, TimeMs, VmId};

use super::RequestPath;
use crate::effect::Effect;
use crate::fleet::{MembershipChange, Reach, follower_rank, is_store_follower};
use crate::message::{Heartbeat, PeerMessage};
use crate::placement::EvacuationSource;
use crate::record::Record;
use crate::timers::Timer;

/// Time for which this VM's state may be older than another VM's before it asks that VM. The store's own feed
/// usually delivers the change sooner.
const STATE_LAG_MAX: SpanMs = SpanMs(200);

/// The same for the configuration alone, which may be large and on its way.
const CONFIGURATION_LAG_MAX: SpanMs = SpanMs(500);
/// Shortest time between two queries. Each answer carries the whole state.
const STATE_QUERY_INTERVAL: SpanMs = SpanMs(600);

/// Time for which changes of the store are collected before they are forwarded together.
const SHARE_DELAY: SpanMs = SpanMs(40);
/// Time after which the second follower of a failure domain sends a configuration to the VMs that have not confirmed it.
const NEXT_FOLLOWER_DELAY: SpanMs = SpanMs(400);

/// What another VM has newer than this one.
#[derive(Debug, Clone, Copy)]
struct NewerState {
    configuration: bool,
    endpoints: bool,
}

impl RequestPath {
    pub(super) fn on_peer(&mut self, now: TimeMs, from: &VmId, incarnation: Incarnation, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(now, *heartbeat),
            PeerMessage::PieceRequest(piece_request) => self.on_piece_request(now, *piece_request),
            PeerMessage::Results(piece_request, results) => {
                let is_for_local_request =
                    piece_request.vm == self.settings.vm && piece_request.incarnation == self.settings.incarnation;
                if is_for_local_request {
                    self.on_results(now, &piece_request, results);
                } else if piece_request.vm == *from && piece_request.incarnation == incarnation {
                    self.on_results_query(now, from, &piece_request);
                }
            }
            PeerMessage::Release(piece_request) => self.on_piece_request_released(now, &piece_request),
            PeerMessage::StreamVersion(stream, version) => {
                self.hold_stream(now, &stream, &version);
                self.on_stream_version(now, stream, version);
            }
            PeerMessage::StreamVersionQuery(stream) => self.on_stream_version_query(from, stream),
            PeerMessage::StateQuery => {
                self.share_endpoints(from);
                self.share_configuration(now, from);
            }
        }
    }

    fn on_heartbeat(&mut self, now: TimeMs, heartbeat: Heartbeat) {
        let vm = heartbeat.vm.vm.clone();
        let (state, incarnation) = (heartbeat.vm.state, heartbeat.vm.incarnation);
        let reached_endpoints = self.fleet.does_reach_endpoints(&vm);
        let reach = Reach { store: heartbeat.has_store, endpoints: heartbeat.reaches_endpoints };
        match self.fleet.on_heartbeat(now, heartbeat.vm, reach, heartbeat.configuration, heartbeat.process) {
            MembershipChange::Stale => return,
            MembershipChange::Joined | MembershipChange::StateChanged => {
                self.log(
                    Record::new("VM heard").text("vm", &vm).text("state", state).number("incarnation", incarnation.0),
                );
            }
            MembershipChange::Unchanged => {}
        }
        self.fleet.add_known_vms(heartbeat.known_vms);
        if let Some(evacuations) = heartbeat.evacuations {
            self.on_evacuations(now, evacuations, EvacuationSource::OtherVm);
        }
        if reached_endpoints != reach.endpoints {
            self.log(Record::new("VM reaches endpoints").text("vm", &vm).text("reaches", reach.endpoints));
            self.update_limit_shares(now);
            self.pool_backlogs.forget_unserved();
            self.move_piece_requests_from(now, &vm);
        }
        self.endpoint_table.on_peer_loads(now, &vm, heartbeat.endpoint_loads);
        if self.endpoint_table.on_limit_reports(now, heartbeat.endpoint_limits) {
            self.update_limit_shares(now);
        }
        self.endpoint_table.on_down_reports(now, heartbeat.down_endpoints);
        self.cold_settling.on_heard(now);
        self.on_cold_reports(now, heartbeat.cold_endpoints);
        if self.crash_tracker.on_peer_reports(now, &heartbeat.content_crashes, &heartbeat.cleared_contents) {
            self.end_harmful_requests(now);
        }
        // A VM without links knows nothing of the endpoints of its pools.
        for load in heartbeat.led_pools.into_iter().filter(|_| reach.endpoints) {
            self.pool_backlogs.on_report(now, load);
        }
        let configuration = self.configuration_version();
        self.newest_peer_list = self.newest_peer_list.max(heartbeat.endpoints_version);
        self.on_configuration_at_relay(now, &vm, heartbeat.configuration);
        let newer = NewerState {
            configuration: heartbeat.configuration > configuration,
            endpoints: heartbeat.endpoints_version > self.endpoint_table.version,
        };
        self.query_newer_state(now, &vm, newer);
    }

    /// Asks a VM for its state if this one has been behind it for a while and no other one was asked a moment ago.
    fn query_newer_state(&mut self, now: TimeMs, vm: &VmId, newer: NewerState) {
        if !newer.configuration && !newer.endpoints {
            return;
        }
        let lag_max = if newer.endpoints { STATE_LAG_MAX } else { CONFIGURATION_LAG_MAX };
        let is_asked = self.state_queried_at.is_some_and(|at| now.since(at) < STATE_QUERY_INTERVAL);
        match self.state_behind_since {
            Some(since) if now.since(since) >= lag_max && !is_asked => {
                self.state_behind_since = None;
                self.state_queried_at = Some(now);
                let known = self.configuration_version().0;
                let record = Record::new("state asked for")
                    .text("vm", vm)
                    .number("configuration", self.fleet.configuration_version_of(vm).0)
                    .number("known_configuration", known)
                    .number("behind_ms", now.since(since).0);
                self.log(record);
                self.send_peer_message(vm, PeerMessage::StateQuery);
            }
            Some(_) => {}
            None => self.state_behind_since = Some(now),
        }
    }

    fn share_endpoints(&mut self, vm: &VmId) {
        if let Some(address) = self.fleet.record(vm).map(|record| record.peer_address) {
            self.effects.push(Effect::ShareState { vm: vm.clone(), address });
        }
    }

    /// Sends a VM the configuration, unless it has it or was sent it a moment ago.
    fn share_configuration(&mut self, now: TimeMs, vm: &VmId) {
        let version = self.configuration_version();
        if self.fleet.take_configuration_share(now, vm, version)
            && let Some(address) = self.fleet.record(vm).map(|record| record.peer_address)
        {
            self.effects.push(Effect::ShareConfiguration { vm: vm.clone(), address });
        }
    }

    /// Starts or stops following the store, depending on the live VMs of the failure domain.
    pub(super) fn update_store_following(&mut self, now: TimeMs) {
        let follows = is_store_follower(&self.fleet, now, &self.settings.vm);
        if follows != self.follows_store {
            self.follows_store = follows;
            self.log(Record::new("following the store changes").text("follows", follows));
            self.effects.push(Effect::FollowStore(follows));
        }
    }

    /// Schedules the forwarding of a change of the store to the VMs of the failure domain that do not follow it.
    pub(super) fn schedule_state_share(&mut self, now: TimeMs) {
        if self.follows_store && !self.is_share_scheduled {
            self.is_share_scheduled = true;
            self.timers.set(now + SHARE_DELAY, Timer::ShareState);
        }
    }

    pub(super) fn share_state_with_domain(&mut self, now: TimeMs) {
        self.is_share_scheduled = false;
        let non_followers = self.non_followers(now);
        for vm in non_followers {
            self.share_endpoints(&vm);
        }
    }

    /// Sends a new configuration to the VMs of the failure domain that do not follow the store. Only the first follower does
    /// so at once, so that a large one crosses the link of a small VM once.
    pub(super) fn schedule_configuration_share(&mut self, now: TimeMs) {
        if let Some(rank) = follower_rank(&self.fleet, now, &self.settings.vm) {
            let delay = if rank == 0 { SHARE_DELAY } else { NEXT_FOLLOWER_DELAY };
            self.timers.set(now + delay, Timer::ShareConfiguration);
        }
    }

    pub(super) fn share_configuration_with_domain(&mut self, now: TimeMs) {
        for vm in self.non_followers(now) {
            self.share_configuration(now, &vm);
        }
    }

    /// Other live VMs of the failure domain that do not follow the store.
    fn non_followers(&self, now: TimeMs) -> Vec<VmId> {
        let live = self.fleet.live_vms_in_domain(now, &self.settings.failure_domain);
        let others = live.map(|(record, _)| &record.vm).filter(|vm| **vm != self.settings.vm);
        others.filter(|vm| !is_store_follower(&self.fleet, now, vm)).cloned().collect()
    }

    /// Tells the VMs of the failure domain that follow the store that this one has a new configuration, so that they do not
    /// send it again.
    pub(super) fn confirm_configuration(&mut self, now: TimeMs) {
        if self.follows_store {
            return;
        }
        let domain = &self.settings.failure_domain;
        let followers = self
            .fleet
            .live_vms_in_domain(now, domain)
            .filter(|(record, _)| is_store_follower(&self.fleet, now, &record.vm))
            .map(|(record, _)| (record.vm.clone(), record.peer_address))
            .collect();
        self.send_heartbeats_to(now, followers);
    }

    /// Sends the regular heartbeat.
    pub(super) fn send_next_heartbeats(&mut self, now: TimeMs) {
        let targets = self.fleet.next_heartbeat_targets(now);
        self.send_heartbeats_to(now, targets);
    }

    /// Tells all VMs at once of a change.
    pub(super) fn send_heartbeats(&mut self, now: TimeMs) {
        let targets = self.fleet.all_heartbeat_targets(now);
        self.send_heartbeats_to(now, targets);
    }

    pub(super) fn send_heartbeats_to(&mut self, now: TimeMs, targets: Vec<(VmId, SocketAddr)>) {
        if targets.is_empty() {
            return;
        }
        let heartbeat = Heartbeat {
            vm: self.fleet.local_record.clone(),
            configuration: self.configuration_version(),
            has_store: self.fleet.can_reach_store,
            reaches_endpoints: self.fleet.reaches_endpoints,
            endpoints_version: self.endpoint_table.version,
            led_pools: if self.fleet.reaches_endpoints { self.led_pool_loads(now) } else { Vec::new() },
            endpoint_loads: self.endpoint_table.own_loads(),
            endpoint_limits: self.endpoint_table.own_limit_reports(now),
            down_endpoints: self.endpoint_table.own_down_reports(now),
            content_crashes: self.crash_tracker.reports(now),
            cleared_contents: self.crash_tracker.cleared_reports(now),
            known_vms: self.fleet.sample_live_vms(now),
            process: self.fleet.process_statement(),
            evacuations: self.evacuations().cloned(),
            cold_endpoints: self.endpoint_table.own_cold_reports(now),
        };
        for pool_load in heartbeat.led_pools.clone() {
            self.pool_backlogs.on_report(now, pool_load);
        }
        let message = Box::new(PeerMessage::Heartbeat(Box::new(heartbeat)));
        for (vm, address) in targets {
            self.effects.push(Effect::SendPeerDatagram(vm, address, message.clone()));
        }
    }
}
