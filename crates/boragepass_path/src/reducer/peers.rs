//! Messages from other VMs, this VM's heartbeats, and the exchange of configuration and endpoints.

use std::net::SocketAddr;

use boragepass_types::{Incarnation, SpanMs, TimeMs, VmId};

use super::RequestPath;
use crate::effect::Effect;
use crate::fleet::{MembershipChange, Reach, is_store_follower};
use crate::message::{Heartbeat, PeerMessage};
use crate::placement::EvacuationSource;
use crate::record::Record;
use crate::timers::Timer;

/// Time for which this VM's state may be older than another VM's before it asks that VM. The store's own feed
/// usually delivers the change sooner.
const STATE_LAG_MAX: SpanMs = SpanMs(200);

/// Time for which changes of the store are collected before they are forwarded together.
const SHARE_DELAY: SpanMs = SpanMs(40);

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
                self.share_state(from);
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
        let is_behind =
            heartbeat.configuration > configuration || heartbeat.endpoints_version > self.endpoint_table.version;
        self.query_newer_state(now, &vm, is_behind);
    }

    /// Asks a VM for its state if this one is behind it and was first found behind at least [`STATE_LAG_MAX`] ago.
    fn query_newer_state(&mut self, now: TimeMs, vm: &VmId, is_behind: bool) {
        if !is_behind {
            return;
        }
        match self.state_behind_since {
            Some(since) if now.since(since) >= STATE_LAG_MAX => {
                self.state_behind_since = None;
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

    fn share_state(&mut self, vm: &VmId) {
        let configuration = self.configuration_version();
        if let Some(record) = self.fleet.record(vm) {
            let effect = Effect::ShareState {
                vm: vm.clone(),
                address: record.peer_address,
                with_configuration: self.fleet.configuration_version_of(vm) < configuration,
            };
            self.effects.push(effect);
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
        let domain = self.settings.failure_domain.clone();
        let non_followers: Vec<VmId> = self
            .fleet
            .live_vms_in_domain(now, &domain)
            .map(|(record, _)| record.vm.clone())
            .filter(|vm| *vm != self.settings.vm && !is_store_follower(&self.fleet, now, vm))
            .collect();
        for vm in non_followers {
            self.share_state(&vm);
        }
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
