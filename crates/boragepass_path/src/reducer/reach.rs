//! Probes of endpoints on the suspicion that this VM has lost its links to all of them, and what follows if it has: the
//! other VMs learn of it, lead the stage pools, take the clients, and serve the requests that still come here.

use std::collections::BTreeMap;

use boragepass_types::{EndpointId, TimeMs, VmId};
use rand::seq::SliceRandom;

use super::RequestPath;
use crate::effect::{Effect, SendTarget};
use crate::placement::{PROBED_ENDPOINTS, RoundResult};
use crate::record::Record;
use crate::request::SendProgress;

impl RequestPath {
    /// Starts a round of probes if one is due.
    pub(super) fn probe_endpoints_if_due(&mut self, now: TimeMs) {
        if !self.endpoint_reach.is_round_due(now, self.waiting_since()) {
            return;
        }
        let probed = self.probe_targets();
        self.endpoint_reach.begin_round(now, probed.iter().map(|target| target.endpoint.clone()));
        self.effects.extend(probed.into_iter().map(Effect::ProbeEndpoint));
    }

    /// Records a reply of any endpoint.
    pub(super) fn on_endpoint_contact(&mut self, now: TimeMs) {
        self.endpoint_reach.on_contact(now);
        self.confirm_doubted_crashes(now);
    }

    /// Records that a connection to an endpoint failed or that its reply is overdue.
    pub(super) fn on_link_failure(&mut self, now: TimeMs, endpoint: &EndpointId) {
        self.endpoint_reach.on_failure(endpoint);
        self.probe_endpoints_if_due(now);
    }

    /// When the oldest send without a reply began.
    fn waiting_since(&self) -> Option<TimeMs> {
        let sends = self.sends.values().filter_map(|request| self.requests.get(request)?.active_send());
        sends.filter(|send| send.progress == SendProgress::Waiting).map(|send| send.sent_at).min()
    }

    /// Random endpoints, of as many pools and failure domains as possible.
    fn probe_targets(&mut self) -> Vec<SendTarget> {
        // Endpoints of an evacuated domain may be switched off, which says nothing about the links of this VM.
        let mut shuffled: Vec<_> =
            self.endpoint_table.not_evacuated().into_iter().map(|known| &known.endpoint).collect();
        shuffled.shuffle(&mut self.rng);
        let mut taken: BTreeMap<_, usize> = BTreeMap::new();
        let mut ranked: Vec<_> = shuffled
            .into_iter()
            .map(|endpoint| {
                let mut count = |name: &str| {
                    let count = taken.entry(name.to_owned()).or_default();
                    *count += 1;
                    *count
                };
                (count(endpoint.pool.as_str()) + count(endpoint.failure_domain.as_str()), endpoint)
            })
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        let target = |(_, endpoint): (usize, &crate::placement::Endpoint)| SendTarget {
            endpoint: endpoint.id.clone(),
            address: endpoint.address,
        };
        ranked.into_iter().take(PROBED_ENDPOINTS).map(target).collect()
    }

    pub(super) fn on_endpoint_probed(&mut self, now: TimeMs, endpoint: &EndpointId, is_reached: bool) {
        match self.endpoint_reach.on_probed(now, endpoint, is_reached) {
            None => {}
            Some(RoundResult::Reached) => self.confirm_doubted_crashes(now),
            Some(RoundResult::StillLost) => self.drop_doubted_crashes(),
            Some(RoundResult::Regained) => {
                self.log(Record::new("endpoints reached again").text("endpoint", endpoint));
                self.drop_doubted_crashes();
                self.announce_reach(now, true);
            }
            Some(RoundResult::Lost) => {
                let record = Record::new("no endpoint reached").number("requests", self.requests.len());
                self.log(record.number("led_pools", self.led_pools.len()));
                self.drop_doubted_crashes();
                self.announce_reach(now, false);
                self.relay_waiting_requests(now);
                self.move_piece_requests_from(now, &self.settings.vm.clone());
            }
        }
    }

    fn announce_reach(&mut self, now: TimeMs, reaches_endpoints: bool) {
        self.fleet.reaches_endpoints = reaches_endpoints;
        self.pool_backlogs.forget_unserved();
        self.send_heartbeats(now);
    }

    /// Moves this VM's piece requests away from a leader that reaches no endpoint.
    pub(super) fn move_piece_requests_from(&mut self, now: TimeMs, leader: &VmId) {
        let is_led = |id: &crate::message::PieceRequestId| {
            let request = self.piece_requests.get(id).and_then(|request| self.requests.get(request));
            request.is_some_and(|state| {
                state.stages.sent_piece_requests().any(|sent| sent.id == *id && sent.leader == *leader)
            })
        };
        let mut moving: Vec<_> = self.piece_requests.keys().filter(|id| is_led(id)).cloned().collect();
        moving.sort();
        for piece_request in moving {
            self.check_piece_request(now, &piece_request);
        }
    }
}
