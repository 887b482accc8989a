//! Ends of requests: refusal, timeout, aborted answers and disconnected clients.

use boragepass_types::{SpanMs, TimeMs};

use super::RequestPath;
use crate::admission::{RefusalReason, retry_after};
use crate::effect::{Answer, Effect};
use crate::record::Record;
use crate::request::{Phase, RequestNumber};
use crate::retry::ContentVerdict;

/// Retry delay for a client whose request was given up after admission.
const DEFAULT_RETRY_AFTER: SpanMs = SpanMs(400);

impl RequestPath {
    /// Ends a request with an error answer, or aborts its answer if the head was relayed already.
    pub(super) fn fail_request(&mut self, now: TimeMs, request: RequestNumber, reason: RefusalReason) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        if matches!(state.phase, Phase::Answered) {
            return;
        }
        if state.is_relaying {
            self.abort_answer(now, request);
            return;
        }
        // The endpoint of a send in progress may run the request, whatever ends it here.
        let runs = state.possible_runs + u32::from(matches!(state.phase, Phase::Sent(_) | Phase::Relayed(_)));
        // 503 promises that the request did not run.
        let reason = match reason.status() {
            503 if runs > 0 => RefusalReason::EndpointLost,
            _ => reason,
        };
        let capacity_in = match reason {
            // The client's next request may go to the endpoints that this one was sent to.
            RefusalReason::LimitedByEndpoints => {
                let places = state.homes.places(&self.settings);
                self.endpoint_table.accepts_in(now, &state.pool, &[], &state.stream_version, places)
            }
            RefusalReason::CrashesEndpoints => match self.crash_tracker.verdict(now, &state.arrival) {
                ContentVerdict::Refused(refused_for) => Some(refused_for),
                ContentVerdict::Allowed | ContentVerdict::TrialDue(_) => None,
            },
            _ => None,
        };
        let capacity_in = capacity_in.unwrap_or(DEFAULT_RETRY_AFTER);
        let record = Record::new("request given up")
            .text("request", &state.arrival.client_id)
            .text("reason", reason)
            .number("status", reason.status())
            .number("runs", state.possible_runs)
            .number("after_ms", now.since(state.arrived_at).0)
            .number("left_ms", state.time_left(now).0);
        let is_refusal = reason.status() == 503;
        self.log(record);
        if reason == RefusalReason::NoHomeEndpoint {
            self.log_home_refusal(request);
        }
        let retry_after_ms = is_refusal.then(|| retry_after(capacity_in, &mut self.rng));
        let answer = Answer { status: reason.status(), retry_after_ms, reason };
        self.effects.push(Effect::Respond(request, answer));
        self.mark_answered(now, request);
    }

    /// Aborts an answer that has begun, so that the client sees that it is incomplete.
    pub(super) fn abort_answer(&mut self, now: TimeMs, request: RequestNumber) {
        let Some(state) = self.requests.get(&request).filter(|state| !matches!(state.phase, Phase::Answered)) else {
            return;
        };
        let record = Record::new("answer broken off")
            .text("request", &state.arrival.client_id)
            .number("runs", state.possible_runs)
            .number("after_ms", now.since(state.arrived_at).0);
        self.log(record);
        self.effects.push(Effect::AbortAnswer(request));
        self.mark_answered(now, request);
    }

    /// Cancels the send of a request and releases its piece requests. Its entry stays until the answer is delivered.
    pub(super) fn mark_answered(&mut self, now: TimeMs, request: RequestNumber) {
        self.cancel_send(request);
        let piece_requests: Vec<_> = match self.requests.get_mut(&request) {
            Some(state) => {
                state.phase = Phase::Answered;
                state.stages.sent_piece_requests().cloned().collect()
            }
            None => Vec::new(),
        };
        for sent_piece_request in piece_requests {
            self.release_piece_request(now, &sent_piece_request);
        }
    }

    pub(super) fn on_answer_delivered(&mut self, request: RequestNumber) {
        self.requests.remove(&request);
        self.effects.push(Effect::DropRequest(request));
    }

    pub(super) fn on_client_disconnected(&mut self, now: TimeMs, request: RequestNumber) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        let record = Record::new("client left")
            .text("request", &state.arrival.client_id)
            .number("after_ms", now.since(state.arrived_at).0)
            .number("left_ms", state.time_left(now).0);
        self.log(record);
        self.mark_answered(now, request);
        self.requests.remove(&request);
        self.effects.push(Effect::DropRequest(request));
    }

    pub(super) fn on_timeout(&mut self, now: TimeMs, request: RequestNumber) {
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let reason = match &state.phase {
            Phase::Answered => return,
            Phase::InStages => RefusalReason::TimeoutNotSent,
            Phase::Sent(_) | Phase::Relayed(_) => {
                state.possible_runs += 1;
                RefusalReason::TimeoutAtEndpoint
            }
        };
        self.cancel_send(request);
        self.fail_request(now, request, reason);
    }
}
