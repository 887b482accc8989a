//! A prompt part that crashes each engine that begins an answer to it, and the requests that carry it.

use super::*;

/// Time from the head of a reply until the engine crashes.
const CRASH_DELAY_MS: u64 = 90;
/// Time until a crashed engine is back.
const CRASH_DURATION_MS: u64 = 3_300;
const HARMFUL_PART_TOKENS: u64 = 140;

/// Requests with a harmful prompt part, while clients send them.
#[derive(Debug, Clone, Copy)]
pub(super) struct HarmfulRequests {
    kind: usize,
    part: PromptPart,
    rate_per_s: f64,
}

impl PathFleet {
    /// Lets clients send requests of a kind with a harmful prompt part, beside its usual ones; each part is counted by itself.
    pub fn start_harmful_requests(&mut self, kind: usize, part: u64, rate_per_s: f64) {
        let part = PromptPart { id: Hash64::of(format!("harmful/{part}").as_bytes()), tokens: HARMFUL_PART_TOKENS };
        self.harmful_requests = Some(HarmfulRequests { kind, part, rate_per_s });
        self.ledger.harmful_parts.entry(part.id).or_default();
        self.schedule_harmful_request();
    }

    /// Ends the requests with the harmful prompt part.
    pub fn stop_harmful_requests(&mut self) {
        self.harmful_requests = None;
    }

    fn schedule_harmful_request(&mut self) {
        if let Some(HarmfulRequests { rate_per_s, part, .. }) = self.harmful_requests {
            let gap_ms = -(1.0 - self.client_rng.random::<f64>()).ln() / rate_per_s * 1e3;
            self.schedule(self.now + SpanMs(gap_ms as u64), Action::SubmitHarmfulRequest(part.id));
        }
    }

    /// Submits a request with the harmful part to any VM, if clients still send that part.
    pub(super) fn submit_harmful_request(&mut self, part: Hash64) {
        let Some(harmful_requests) = self.harmful_requests.filter(|harmful| harmful.part.id == part) else {
            return;
        };
        if let Some(vm) = self.pick_serving_vm() {
            let arrival = self.register_request(vm, harmful_requests.kind, None, Some(harmful_requests.part));
            // Nobody misses the answer.
            self.excuse_request(&arrival.client_id);
            self.deliver(vm, CLIENT_DELAY_MS, Event::RequestArrived(Box::new(arrival)));
        }
        self.schedule_harmful_request();
    }

    /// Harmful part of a request's prompt; the last part of a prompt never is one.
    fn harmful_part_of(&self, client_id: &Arc<str>) -> Option<Hash64> {
        let (_, parts) = self.ledger.requests.get(client_id)?.prompt.split_last()?;
        parts.iter().map(|part| part.id).find(|id| self.ledger.harmful_parts.contains_key(id))
    }

    /// Counts the arrival of a request with a harmful part at an engine.
    pub(super) fn on_arrival_at_engine(&mut self, vm: usize, client_id: &Arc<str>) {
        let has_just_started = self.now.since(self.vms[vm].started_at).0 < CONTACT_MS;
        if self.was_recently_paused(vm) || self.vms[vm].is_cut_from_store || has_just_started {
            return;
        }
        if let Some(part) = self.harmful_part_of(client_id) {
            self.ledger.on_harmful_arrival(self.now, part, client_id);
        }
    }

    /// Lets an engine crash soon if the answer that it has begun is to a harmful request; returns whether it is.
    pub(super) fn crashes_on_answer(&mut self, client_id: &Arc<str>, id: &EndpointId, generation: u64) -> bool {
        let part = self.harmful_part_of(client_id);
        if let Some(part) = part {
            self.schedule(self.now + SpanMs(CRASH_DELAY_MS), Action::CrashEngine(id.clone(), generation, part));
        }
        part.is_some()
    }

    pub(super) fn crash_engine(&mut self, id: &EndpointId, generation: u64, part: Hash64) {
        if self.has_crashed_since(generation, id) {
            return;
        }
        let now = self.now;
        self.ledger.harmful_parts.entry(part).or_default().crashed_at.push(now);
        self.inject_fault(id, EndpointFault::Crash { duration_ms: CRASH_DURATION_MS, is_unresponsive: false });
        self.schedule(now + SpanMs(CRASH_DURATION_MS), Action::ReturnEngine(id.clone()));
    }

    /// Publishes the new start of a crashed engine.
    pub(super) fn return_engine(&mut self, id: &EndpointId) {
        let started_at_unix_ms = self.now.0.saturating_add_signed(self.endpoint_clock_error_ms);
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        // A new process knows nothing of what the old one announced.
        endpoint.endpoint.started_at_unix_ms = started_at_unix_ms;
        endpoint.leaving = None;
        match self.registration_delay_ms {
            0 => self.write_entry(id),
            delay_ms => self.schedule(self.now + SpanMs(delay_ms), Action::WriteEntry(id.clone())),
        }
    }
}
