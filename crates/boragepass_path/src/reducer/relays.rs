//! Requests that this VM relays to another one, since it reaches no endpoint itself.
//!
//! The other VM serves a relayed request as one of its own and never relays it again. What it answers goes to the client
//! unchanged, refusals too: its 503 states that the request did not run. It judges the request by its own configuration, so
//! it must not have an older one than this VM, and this VM must not go back to its own once the other has a newer one. A request is relayed only before any endpoint
//! can have run it, and not again once it has reached a VM, which may have used up the runs that its route allows.

use boragepass_types::{SpanMs, TimeMs, VmId};

use super::RequestPath;
use crate::admission::RefusalReason;
use crate::configuration::ConfigurationVersion;
use crate::effect::{Effect, RelayTarget};
use crate::event::{Arrival, Progress, RelayOrigin, ReplyHead, SendFailure};
use crate::fleet::relay_vm;
use crate::message::PeerMessage;
use crate::placement::Homes;
use crate::record::Record;
use crate::request::{Phase, RelayedSend, RequestNumber, SendNumber};

/// Time after which a VM that cannot get a newer configuration judges requests by its own again.
const CATCH_UP_MAX: SpanMs = SpanMs(4_000);
/// VMs to which one request is relayed at most.
const RELAY_VMS_MAX: usize = 3;

impl RequestPath {
    /// Whether this VM must not judge requests by the configuration that it has, since requests that it relayed may have been
    /// judged by a newer one.
    pub(super) fn is_behind_relays(&self, now: TimeMs) -> bool {
        self.configuration_at_relays.is_some_and(|(version, seen_at)| {
            version > self.configuration_version() && now.since(seen_at) < CATCH_UP_MAX
        })
    }

    /// Notes the configuration of another VM while requests are relayed, and asks for it if it is newer.
    pub(super) fn on_configuration_at_relay(&mut self, now: TimeMs, vm: &VmId, version: ConfigurationVersion) {
        let is_known = self.configuration_at_relays.is_some_and(|(known, _)| known >= version);
        if self.endpoint_reach.is_partitioned() && version > self.configuration_version() && !is_known {
            self.configuration_at_relays = Some((version, now));
            self.send_peer_message(vm, PeerMessage::StateQuery);
        }
    }

    /// Tells the VM that relayed a request at once that this one judges it by a newer configuration.
    pub(super) fn announce_newer_configuration(&mut self, now: TimeMs, origin: &RelayOrigin) {
        if origin.configuration < self.configuration_version()
            && let Some(address) = self.fleet.record(&origin.vm).map(|record| record.peer_address)
        {
            self.send_heartbeats_to(now, vec![(origin.vm.clone(), address)]);
        }
    }

    /// Whether an arriving request goes to another VM.
    pub(super) fn is_to_be_relayed(&self, now: TimeMs, arrival: &Arrival, homes: &Homes) -> bool {
        self.endpoint_reach.is_partitioned()
            && !arrival.is_relayed
            && relay_vm(&self.fleet, now, &arrival.client_id, &[], homes, self.configuration_version()).is_some()
    }

    /// Relays a request to another VM if this one reaches no endpoint; returns whether it did.
    pub(super) fn relay_if_partitioned(&mut self, now: TimeMs, request: RequestNumber) -> bool {
        if !self.endpoint_reach.is_partitioned() {
            return false;
        }
        let Some(state) = self.requests.get(&request).filter(|state| state.may_be_relayed()) else {
            return false;
        };
        if state.has_former_homes {
            // The other VM would know only the home regions of the configuration in force.
            self.fail_request(now, request, RefusalReason::NoHomeEndpoint);
            return true;
        }
        let client_id = state.arrival.client_id.clone();
        let version = self.configuration_version();
        let vm = relay_vm(&self.fleet, now, &client_id, &state.relay_vms, &state.homes, version).map(|record| {
            let target = RelayTarget { vm: record.vm.clone(), address: record.relay_address };
            (record.vm.clone(), target)
        });
        let Some((vm, target)) = vm.filter(|_| state.relay_vms.len() < RELAY_VMS_MAX) else {
            return false;
        };
        let piece_requests: Vec<_> = state.stages.sent_piece_requests().cloned().collect();
        for sent_piece_request in piece_requests {
            self.release_piece_request(now, &sent_piece_request);
        }
        self.relay_request(now, request, vm, target);
        true
    }

    fn relay_request(&mut self, now: TimeMs, request: RequestNumber, vm: VmId, target: RelayTarget) {
        let send = SendNumber::take(&mut self.send_counter);
        let configuration = self.configuration_version();
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let record = Record::new("request relayed")
            .text("request", &state.arrival.client_id)
            .number("send", send.0)
            .text("to", &vm)
            .number("configuration", configuration.0)
            .number("left_ms", state.time_left(now).0);
        let effect = Effect::Relay {
            send,
            request,
            target,
            deadline_ms: state.time_left(now),
            configuration,
            homes: state.homes.clone(),
            is_stream: state.route.repeatability.is_stream(),
            resume_after: state.last_event,
        };
        state.relay_vms.push(vm.clone());
        state.phase = Phase::Relayed(RelayedSend { send, vm, has_begun: false });
        self.relays.insert(send, request);
        self.log(record);
        self.effects.push(effect);
    }

    /// Relays the requests that wait for stages or to be sent.
    pub(super) fn relay_waiting_requests(&mut self, now: TimeMs) {
        let waiting = self.requests.iter().filter(|(_, state)| matches!(state.phase, Phase::InStages));
        let mut waiting: Vec<RequestNumber> = waiting.map(|(request, _)| *request).collect();
        waiting.sort();
        for request in waiting {
            self.relay_if_partitioned(now, request);
        }
    }

    /// Removes a relay; returns its request and details.
    fn end_relay(&mut self, send: SendNumber) -> Option<(RequestNumber, RelayedSend)> {
        let request = self.relays.remove(&send)?;
        match &self.requests.get(&request)?.phase {
            Phase::Relayed(relayed) if relayed.send == send => Some((request, relayed.clone())),
            Phase::Relayed(_) | Phase::InStages | Phase::Sent(_) | Phase::Answered => None,
        }
    }

    pub(super) fn on_relayed_head(&mut self, now: TimeMs, send: SendNumber, head: ReplyHead) {
        let Some(request) = self.relays.get(&send).copied() else {
            return;
        };
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let is_stream = state.route.repeatability.is_stream();
        let is_success_status = (200..300).contains(&head.status);
        let record = Record::new("relayed answer passed on")
            .text("request", &state.arrival.client_id)
            .number("send", send.0)
            .number("status", head.status)
            .number("took_ms", now.since(state.arrived_at).0);
        if is_success_status && !head.is_success() {
            self.effects.push(Effect::CancelSend(send));
            self.on_relay_failed(now, send, SendFailure::UnusableReply);
            return;
        }
        state.is_relaying = true;
        if let Phase::Relayed(relayed) = &mut state.phase {
            relayed.has_begun = true;
        }
        self.log(record);
        self.effects.push(Effect::RelayReply(request, send));
        if !is_stream || !is_success_status {
            self.relays.remove(&send);
            self.mark_answered(now, request);
        }
    }

    pub(super) fn on_relayed_progress(&mut self, now: TimeMs, send: SendNumber, progress: Progress) {
        match progress {
            Progress::FirstEvent => {}
            Progress::Ended => {
                if let Some((request, _)) = self.end_relay(send) {
                    self.mark_answered(now, request);
                }
            }
            Progress::Broken(failure, _) => self.on_relay_failed(now, send, failure),
        }
    }

    /// Handles a relay without a usable answer: another VM gets the request if it has not reached the first one.
    pub(super) fn on_relay_failed(&mut self, now: TimeMs, send: SendNumber, failure: SendFailure) {
        let Some((request, relayed)) = self.end_relay(send) else {
            return;
        };
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let record = Record::new("relay failed")
            .text("request", &state.arrival.client_id)
            .number("send", send.0)
            .text("to", &relayed.vm)
            .text("reason", failure);
        let is_sent = !matches!(failure, SendFailure::NotSent | SendFailure::ConfigurationBehind);
        state.possible_runs += u32::from(is_sent);
        state.phase = Phase::InStages;
        let is_relaying = state.is_relaying;
        self.log(record);
        if !is_sent {
            self.advance(now, request);
        } else if is_relaying {
            self.abort_answer(now, request);
        } else {
            self.fail_request(now, request, RefusalReason::EndpointLost);
        }
    }
}
