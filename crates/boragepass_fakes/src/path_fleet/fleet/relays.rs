//! Requests that one VM relays to another, between the two reducers.

use super::sends::reply_head;
use super::*;

/// Relays in progress, and what the relaying VMs have yet to pass on.
#[derive(Debug, Default)]
pub(super) struct Relays {
    /// Relay of the VM that sent it, by the request at the VM that serves it.
    sent_by: HashMap<RequestKey, SendKey>,
    serving: HashMap<SendKey, (RequestKey, RequestNumber)>,
    /// Endings that the relaying VMs were told and pass on.
    endings: HashMap<SendKey, Ending>,
    /// Open requests as their clients sent them.
    arrivals: HashMap<Arc<str>, Arrival>,
}

impl Relays {
    pub(super) fn on_submitted(&mut self, arrival: &Arrival) {
        self.arrivals.insert(arrival.client_id.clone(), arrival.clone());
    }

    pub(super) fn on_ended(&mut self, client_id: &Arc<str>) {
        self.arrivals.remove(client_id);
    }

    /// Ending that a relaying VM passes on, if it was told one.
    pub(super) fn take_ending(&mut self, key: &SendKey) -> Option<Ending> {
        self.endings.remove(key)
    }
}

impl PathFleet {
    /// Delivers a relayed request to the VM that is to serve it.
    pub(super) fn start_relay(
        &mut self,
        key: SendKey,
        request: RequestNumber,
        address: SocketAddr,
        configuration: ConfigurationVersion,
        homes: Homes,
    ) {
        let (vm, incarnation, send) = key;
        let client_id = self.client_ids.get(&(vm, incarnation, request)).cloned();
        let arrival = client_id.as_ref().and_then(|client_id| self.relays.arrivals.get(client_id).cloned());
        let to = self.vms.iter().position(|other| other.relay_address == address && other.request_path.is_some());
        let (Some(client_id), Some(arrival), Some(to)) = (client_id, arrival, to) else {
            self.deliver(vm, 2 * REGION_DELAY_MS, Event::SendFailed(send, SendFailure::NotSent));
            return;
        };
        self.last_request_number += 1;
        let number = RequestNumber(self.last_request_number);
        let origin = RelayOrigin { vm: self.vms[vm].id.clone(), configuration, homes };
        let arrival = Arrival { request: number, is_relayed: true, relay_origin: Some(origin), ..arrival };
        let serving_key = (to, self.vms[to].incarnation, number);
        self.client_ids.insert(serving_key, client_id);
        self.relays.sent_by.insert(serving_key, key);
        self.relays.serving.insert(key, (serving_key, request));
        let delay_ms = self.network_delay_ms(&self.vms[vm].domain, &self.vms[to].domain).max(1);
        self.deliver(to, delay_ms, Event::RequestArrived(Box::new(arrival)));
    }

    /// Ends a relay that its VM canceled: the serving VM sees that its client left.
    pub(super) fn cancel_relay(&mut self, key: SendKey) {
        if let Some((serving_key, _)) = self.relays.serving.remove(&key) {
            self.relays.sent_by.remove(&serving_key);
            self.client_ids.remove(&serving_key);
            self.deliver(serving_key.0, REGION_DELAY_MS, Event::ClientDisconnected(serving_key.2));
        }
    }

    /// Tells the VM that relayed a request, if one did, that its stream begins.
    pub(super) fn begin_relayed_stream(&mut self, key: RequestKey) {
        let Some((vm, _, send)) = self.relays.sent_by.get(&key).copied() else {
            return;
        };
        let head = reply_head(200, false, None);
        self.deliver(vm, REGION_DELAY_MS, Event::ReplyHeadArrived(send, head));
    }

    /// Passes the ending of a relayed request to the VM that relayed it; returns whether the request is relayed.
    pub(super) fn end_relayed_request(&mut self, key: RequestKey, ending: Ending) -> bool {
        let Some(relay_key) = self.relays.sent_by.remove(&key) else {
            return false;
        };
        let request = self.relays.serving.remove(&relay_key).map(|(_, request)| request);
        let client_id = self.client_ids.remove(&key);
        let (vm, incarnation, send) = relay_key;
        let record = client_id.as_ref().and_then(|client_id| self.ledger.requests.get(client_id));
        let is_stream = record.is_some_and(|record| {
            matches!(record.repeatability, Repeatability::StreamOnce | Repeatability::ResumableStream)
        });
        let last_event = record.and_then(|record| record.last_event_id);
        match ending {
            Ending::Answered { .. } if is_stream => {
                if let Some(request) = request {
                    self.end_request(vm, incarnation, request, ending);
                    self.deliver(vm, REGION_DELAY_MS, Event::AnswerDelivered(request));
                }
                self.deliver(vm, REGION_DELAY_MS, Event::StreamProgressed(send, Progress::Ended));
            }
            Ending::Aborted => {
                let broken = Progress::Broken(SendFailure::ConnectionLost, last_event);
                self.deliver(vm, REGION_DELAY_MS, Event::StreamProgressed(send, broken));
            }
            Ending::Answered { .. } | Ending::Refused | Ending::Failed => {
                let status = match ending {
                    Ending::Answered { .. } => 200,
                    Ending::Refused => 503,
                    Ending::Failed | Ending::Aborted => 502,
                };
                self.relays.endings.insert(relay_key, ending);
                let head = match status {
                    200 => reply_head(status, false, None),
                    _ => ReplyHead {
                        is_signed: false,
                        named_request: NamedRequest::None,
                        ..reply_head(status, false, None)
                    },
                };
                self.deliver(vm, REGION_DELAY_MS, Event::ReplyHeadArrived(send, head));
            }
        }
        true
    }

    /// Tells the VM that relayed a request, if one did, that the other one has an older configuration; returns whether the
    /// request is relayed.
    pub(super) fn refuse_relay_as_behind(&mut self, key: RequestKey) -> bool {
        let Some(relay_key) = self.relays.sent_by.remove(&key) else {
            return false;
        };
        self.relays.serving.remove(&relay_key);
        self.client_ids.remove(&key);
        let failed = Event::SendFailed(relay_key.2, SendFailure::ConfigurationBehind);
        self.deliver(relay_key.0, REGION_DELAY_MS, failed);
        true
    }

    /// Breaks the relays from and to a VM whose process was killed.
    pub(super) fn break_relays(&mut self, vm: usize) {
        let mut sent: Vec<SendKey> = self.relays.serving.keys().filter(|key| key.0 == vm).copied().collect();
        sent.sort_by_key(|(_, _, send)| send.0);
        for key in sent {
            // Events that the serving VM still gets reach no client.
            if let Some((serving_key, _)) = self.relays.serving.get(&key).copied() {
                let is_served = |(send_key, send): &(&SendKey, &mut ActiveSend)| {
                    (send_key.0, send_key.1, send.request) == serving_key
                };
                self.active_sends.iter_mut().filter(is_served).for_each(|(_, send)| send.is_hung = true);
            }
            self.cancel_relay(key);
        }
        let mut keys: Vec<RequestKey> = self.relays.sent_by.keys().filter(|key| key.0 == vm).copied().collect();
        keys.sort_by_key(|(_, _, request)| *request);
        for key in keys {
            self.end_relayed_request(key, Ending::Aborted);
        }
    }
}
