//! How requests end: refused, timed out, broken off, left by their clients.

use boragepass_types::{SpanMs, TimeMs};

use super::RequestPath;
use crate::admission::{RefusalReason, retry_after};
use crate::effect::{Answer, Effect};
use crate::record::Record;
use crate::request::{Phase, RequestNumber};

/// Time after which a client may come back where no backlog says more.
const RETRY_AFTER: SpanMs = SpanMs(400);

impl RequestPath {
    /// Gives up a request and says why; breaks the answer off if the client has its head.
    pub(super) fn finish(&mut self, now: TimeMs, request: RequestNumber, reason: RefusalReason) {
        let Some(requested) = self.requests.get(&request) else {
            return;
        };
        if matches!(requested.phase, Phase::Answered) {
            return;
        }
        if requested.is_relaying {
            self.break_off(now, request);
            return;
        }
        // An endpoint may run what it was sent, whatever ends the request here.
        let runs = requested.runs + u32::from(matches!(requested.phase, Phase::Sent(_)));
        // A request that an endpoint may have run is never refused as one that did not run.
        let reason = match reason.status() {
            503 if runs > 0 => RefusalReason::EndpointLost,
            _ => reason,
        };
        let record = Record::new("request given up")
            .text("request", &requested.arrival.client_id)
            .text("reason", reason)
            .number("status", reason.status())
            .number("runs", requested.runs)
            .number("after_ms", now.since(requested.arrived_at).0)
            .number("left_ms", requested.left(now).0);
        let is_refusal = reason.status() == 503;
        self.log(record);
        let retry_after_ms = is_refusal.then(|| retry_after(RETRY_AFTER, &mut self.random));
        let answer = Answer { status: reason.status(), retry_after_ms, reason };
        self.effects.push(Effect::Respond(request, answer));
        self.answered(now, request);
    }

    /// Ends an answer that has begun so that it does not look whole.
    pub(super) fn break_off(&mut self, now: TimeMs, request: RequestNumber) {
        let Some(requested) = self.requests.get(&request) else {
            return;
        };
        let record = Record::new("answer broken off")
            .text("request", &requested.arrival.client_id)
            .number("runs", requested.runs)
            .number("after_ms", now.since(requested.arrived_at).0);
        self.log(record);
        self.effects.push(Effect::AbortAnswer(request));
        self.answered(now, request);
    }

    /// Frees what a request holds; only its answer is still on its way.
    pub(super) fn answered(&mut self, now: TimeMs, request: RequestNumber) {
        self.cancel_send(request);
        let asks: Vec<_> = match self.requests.get_mut(&request) {
            Some(requested) => {
                requested.phase = Phase::Answered;
                requested.stages.sent_piece_requests().cloned().collect()
            }
            None => Vec::new(),
        };
        for asked in asks {
            self.release(now, &asked);
        }
    }

    pub(super) fn on_delivered(&mut self, request: RequestNumber) {
        self.requests.remove(&request);
    }

    pub(super) fn on_hung_up(&mut self, now: TimeMs, request: RequestNumber) {
        let Some(requested) = self.requests.get(&request) else {
            return;
        };
        let record = Record::new("client left")
            .text("request", &requested.arrival.client_id)
            .number("after_ms", now.since(requested.arrived_at).0)
            .number("left_ms", requested.left(now).0);
        self.log(record);
        self.answered(now, request);
        self.requests.remove(&request);
        self.effects.push(Effect::DropRequest(request));
    }

    pub(super) fn on_timeout(&mut self, now: TimeMs, request: RequestNumber) {
        let Some(requested) = self.requests.get_mut(&request) else {
            return;
        };
        let reason = match &requested.phase {
            Phase::Answered => return,
            Phase::InStages => RefusalReason::TimeoutNotSent,
            Phase::Sent(_) => {
                requested.runs += 1;
                RefusalReason::TimeoutAtEndpoint
            }
        };
        self.cancel_send(request);
        self.finish(now, request, reason);
    }
}
