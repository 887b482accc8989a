//! Clients that take up a stream again after it broke, and the software versions of the engines.

use super::*;

/// Time until a client sees that its stream broke, if its connection was reset.
pub(super) const RESET_NOTICE_MS: u64 = 20;
/// Time until a client that finds no VM tries again.
const NO_VM_RETRY_DELAY_MS: u64 = 200;

impl PathFleet {
    /// Replaces an endpoint by one of another software version and a new id at the same address, which is up after a
    /// time. Returns the new id.
    pub fn upgrade_endpoint(&mut self, id: &EndpointId, version: &str, down_ms: u64) -> Option<EndpointId> {
        let fault = EndpointFault::Crash { duration_ms: down_ms, is_unresponsive: false };
        self.inject_fault(id, fault);
        let mut endpoint = self.endpoints.remove(id)?;
        self.replaced_endpoints += 1;
        let pool = &endpoint.endpoint.pool;
        let new_id: EndpointId =
            format!("{pool}-replaced-{}", self.replaced_endpoints).parse().expect("the model's names are valid");
        endpoint.endpoint.id = new_id.clone();
        endpoint.endpoint.software_version = version.parse().ok();
        endpoint.endpoint.is_draining = false;
        endpoint.drain_started_at = None;
        endpoint.leaving = None;
        // The new endpoint has told no VM what it states.
        endpoint.rejections = None;
        endpoint.stated_limit = endpoint.stated_limit.map(|limit| StatedLimit::new(limit.rate));
        endpoint.brittleness = endpoint.brittleness.map(|it| Brittleness::new(it.rejections_max, self.now));
        self.endpoints.insert(new_id.clone(), endpoint);
        self.remove_entry(id);
        self.schedule(self.now + SpanMs(down_ms), Action::ReturnEngine(new_id.clone()));
        Some(new_id)
    }

    /// Restarts an endpoint under its id with another software version; it is up after a time.
    pub fn restart_with_version(&mut self, id: &EndpointId, version: &str, down_ms: u64) {
        self.inject_fault(id, EndpointFault::Crash { duration_ms: down_ms, is_unresponsive: false });
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.endpoint.software_version = version.parse().ok();
        }
        self.schedule(self.now + SpanMs(down_ms), Action::ReturnEngine(id.clone()));
    }

    /// Restarts an endpoint under its id; it is up after a time.
    pub fn restart_endpoint(&mut self, id: &EndpointId, down_ms: u64) {
        self.inject_fault(id, EndpointFault::Crash { duration_ms: down_ms, is_unresponsive: false });
        self.schedule(self.now + SpanMs(down_ms), Action::ReturnEngine(id.clone()));
    }

    /// Schedules the next attempt of a client whose stream broke, if it takes streams up again.
    pub(super) fn plan_next_attempt(&mut self, client_id: &Arc<str>) {
        let stream = self.ledger.stream_of(client_id);
        if self.clients_resume_streams && self.ledger.is_resumable(&stream) {
            self.schedule(self.now + SpanMs(self.break_notice_ms), Action::ResumeStream(stream));
        }
    }

    /// Submits the next attempt of a stream to any VM.
    pub(super) fn resume_stream(&mut self, stream: &Arc<str>) {
        let Some((kind, last_event_id, submitted_at)) = self
            .ledger
            .requests
            .get(stream)
            .and_then(|record| Some((record.kind, record.last_event_id?, record.submitted_at)))
        else {
            return;
        };
        let vm = match self.deployment.has_homes(kind) {
            true => self.pick_vm_for_home_client(kind),
            false => self.pick_serving_vm(),
        };
        let Some(vm) = vm else {
            if self.now.since(submitted_at).0 < self.deployment.kinds[kind].deadline_ms {
                self.schedule(self.now + SpanMs(NO_VM_RETRY_DELAY_MS), Action::ResumeStream(stream.clone()));
            }
            return;
        };
        let mut arrival = self.register_request(vm, kind, None, None);
        arrival.resume_after = Some(last_event_id);
        arrival.resumed_stream = self.clients_name_streams.then(|| stream.clone());
        self.relays.on_submitted(&arrival);
        self.ledger.on_resumption(stream, &arrival.client_id);
        self.deliver(vm, CLIENT_DELAY_MS, Event::RequestArrived(Box::new(arrival)));
    }

    /// Records an event that an endpoint of some version made for a request.
    pub(super) fn record_event(&mut self, client_id: &Arc<str>, id: &EndpointId, event: EventId) {
        let version = self.endpoints.get(id).and_then(|endpoint| endpoint.endpoint.software_version.clone());
        self.ledger.on_event(self.now, client_id, event, version);
    }
}
