//! Messages of other VMs, and this VM's heartbeats.

use boragepass_types::{Incarnation, SpanMs, TimeMs, VmId};

use super::RequestPath;
use crate::effect::Effect;
use crate::fleet::{MembershipChange, is_store_follower};
use crate::message::{Heartbeat, PeerMessage};
use crate::record::Record;
use crate::timers::Timer;

/// Time for which this VM may know less than another before it asks that one; the store's own feed
/// brings changes sooner.
const BEHIND_MAX: SpanMs = SpanMs(200);

/// Time in which changes of the store are gathered before they are passed on.
const SHARE_AFTER: SpanMs = SpanMs(40);

impl RequestPath {
    pub(super) fn on_peer(&mut self, now: TimeMs, from: &VmId, incarnation: Incarnation, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(now, *heartbeat),
            PeerMessage::PieceRequest(ask) => self.lead_ask(now, *ask),
            PeerMessage::Results(ask, results) => {
                let is_own = ask.vm == self.settings.vm && ask.incarnation == self.settings.incarnation;
                if is_own {
                    self.on_results(now, &ask, results);
                } else if ask.vm == *from && ask.incarnation == incarnation {
                    self.on_asked_about(now, from, &ask);
                }
            }
            PeerMessage::Release(ask) => self.lead_release(now, &ask),
            PeerMessage::StateQuery => {
                self.share_state(from);
            }
        }
    }

    fn on_heartbeat(&mut self, now: TimeMs, heartbeat: Heartbeat) {
        let vm = heartbeat.vm.vm.clone();
        let (state, incarnation) = (heartbeat.vm.state, heartbeat.vm.incarnation);
        match self.fleet.on_heartbeat(now, heartbeat.vm, heartbeat.has_store, heartbeat.configuration) {
            MembershipChange::Stale => return,
            MembershipChange::Joined | MembershipChange::StateChanged => {
                self.log(
                    Record::new("VM heard").text("vm", &vm).text("state", state).number("incarnation", incarnation.0),
                );
            }
            MembershipChange::Unchanged => {}
        }
        self.fleet.add_known_vms(heartbeat.known_vms);
        self.table.on_peer_loads(now, &vm, heartbeat.endpoint_loads);
        self.crashes.on_peer_counts(now, &heartbeat.content_crashes);
        for load in heartbeat.led_pools {
            self.backlogs.on_report(now, load);
        }
        let configuration = self.configuration.as_ref().map(|known| known.version).unwrap_or_default();
        let is_behind = heartbeat.configuration > configuration || heartbeat.endpoints_version > self.table.version;
        self.note_behind(now, &vm, is_behind);
    }

    /// Asks a VM that has known more than this one for a while.
    fn note_behind(&mut self, now: TimeMs, vm: &VmId, is_behind: bool) {
        if !is_behind {
            return;
        }
        match self.behind_since {
            Some(since) if now.since(since) >= BEHIND_MAX => {
                self.behind_since = None;
                self.tell(vm, PeerMessage::StateQuery);
            }
            Some(_) => {}
            None => self.behind_since = Some(now),
        }
    }

    fn share_state(&mut self, vm: &VmId) {
        let configuration = self.configuration.as_ref().map(|known| known.version).unwrap_or_default();
        if let Some(record) = self.fleet.record(vm) {
            let effect = Effect::ShareState {
                vm: vm.clone(),
                address: record.peer_address,
                with_configuration: self.fleet.configuration_version_of(vm) < configuration,
            };
            self.effects.push(effect);
        }
    }

    /// Follows the store or leaves that to others, as the live VMs of the failure domain call for.
    pub(super) fn check_following(&mut self, now: TimeMs) {
        let follows = is_store_follower(&self.fleet, now, &self.settings.vm);
        if follows != self.follows_store {
            self.follows_store = follows;
            self.log(Record::new("following the store changes").text("follows", follows));
            self.effects.push(Effect::FollowStore(follows));
        }
    }

    /// The store told something: passes it on soon to the VMs that do not follow it.
    pub(super) fn on_store_news(&mut self, now: TimeMs) {
        if self.follows_store && !self.is_sharing {
            self.is_sharing = true;
            self.timers.set(now + SHARE_AFTER, Timer::Share);
        }
    }

    pub(super) fn share_with_domain(&mut self, now: TimeMs) {
        self.is_sharing = false;
        let domain = self.settings.failure_domain.clone();
        let others: Vec<VmId> = self
            .fleet
            .live_vms_in_domain(now, &domain)
            .map(|(record, _)| record.vm.clone())
            .filter(|vm| *vm != self.settings.vm && !is_store_follower(&self.fleet, now, vm))
            .collect();
        for vm in others {
            self.share_state(&vm);
        }
    }

    pub(super) fn send_heartbeats(&mut self, now: TimeMs) {
        let contacts = self.fleet.heartbeat_targets(now);
        if contacts.is_empty() {
            return;
        }
        let heartbeat = Heartbeat {
            vm: self.fleet.local_record.clone(),
            configuration: self.configuration.as_ref().map(|known| known.version).unwrap_or_default(),
            has_store: self.fleet.can_reach_store,
            endpoints_version: self.table.version,
            led_pools: self.own_backlogs(now),
            endpoint_loads: self.table.own_loads(),
            content_crashes: self.crashes.own_counts(),
            known_vms: self.fleet.sample_live_vms(now),
        };
        for own in heartbeat.led_pools.clone() {
            self.backlogs.on_report(now, own);
        }
        let message = Box::new(PeerMessage::Heartbeat(Box::new(heartbeat)));
        for (vm, address) in contacts {
            self.effects.push(Effect::SendPeerDatagram(vm, address, message.clone()));
        }
    }
}
