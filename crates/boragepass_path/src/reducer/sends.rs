//! Sends of requests to endpoints, their replies, and what follows when one fails.

use std::sync::Arc;

use boragepass_types::{EndpointId, SpanMs, TimeMs};

use super::RequestPath;
use crate::admission::RefusalReason;
use crate::configuration::{Repeatability, ServiceKind};
use crate::effect::{Effect, SendTarget};
use crate::event::{EventId, Progress, ReplyHead, SendFailure};
use crate::message::ResultHandle;
use crate::placement::{ChosenEndpoint, PREFILL_TOKENS_PER_MS, RequestRequirements, choose_endpoint};
use crate::record::Record;
use crate::request::{Phase, RequestNumber, Requested, SendNumber, Sending};

/// How long an endpoint that turned a request away as full is asked last.
const FULL_FOR: SpanMs = SpanMs(150);
/// How long no used connection to an endpoint carries a request that may run only once, after the
/// endpoint sent something that was no reply to its request.
const DISTRUST: SpanMs = SpanMs(15_000);
/// Silence of a stream beyond its expected first byte after which another endpoint goes on with it.
const STREAM_SILENCE_MS: f64 = 1_300.0;
/// Share of the objective after which an idempotent request that had no reply goes elsewhere.
const SILENCE_SHARE: f64 = 0.6;
/// Multiple of the usual time of a request that silence has to exceed as well.
const SILENCE_FACTOR: f64 = 4.0;
/// Gain of a new sample in the usual time to the first byte.
const FIRST_BYTE_GAIN: f64 = 0.1;
/// Least urgent rank that endpoints know.
const ENDPOINT_RANK_MAX: u16 = 9;
/// Statuses that promise that a request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

impl RequestPath {
    /// Sends a request to the endpoint that is expected to answer first.
    pub(super) fn send_request(&mut self, now: TimeMs, request: RequestNumber) {
        let Some(requested) = self.requests.get(&request) else {
            return;
        };
        let inputs = requested.stages.final_results();
        let inputs_bytes = requested.stages.bytes_by_domain(requested.stages.final_stages().into_iter());
        let need = RequestRequirements {
            pool: &requested.pool,
            prompt: &requested.arrival.prompt,
            prompt_tokens: requested.arrival.prompt_tokens,
            input_bytes: &inputs_bytes,
            excluded: &requested.tried,
        };
        let Some(choice) = choose_endpoint(&self.table, &self.settings, now, &need) else {
            let reason =
                if requested.tried.is_empty() { RefusalReason::NoEndpoint } else { RefusalReason::EndpointsFull };
            self.finish(now, request, reason);
            return;
        };
        self.send_to(now, request, &choice, inputs);
    }

    /// Sends a request to a chosen endpoint and notes that in the books.
    fn send_to(&mut self, now: TimeMs, request: RequestNumber, choice: &ChosenEndpoint, inputs: Vec<ResultHandle>) {
        let Some(requested) = self.requests.get(&request) else {
            return;
        };
        let left = requested.left(now);
        let Some(known) = self.table.get_mut(&choice.endpoint) else {
            return;
        };
        known.in_flight += 1;
        known.unread_tokens += choice.unread_tokens;
        let target = SendTarget { endpoint: choice.endpoint.clone(), address: known.endpoint.address };
        let may_reuse = requested.route.repeatability.is_repeatable() || known.avoid_connection_reuse_until <= now;
        let service = requested.configuration.service(&requested.pool);
        let kv_cache_tokens = match service.map(|service| service.kind) {
            Some(ServiceKind::Model(model)) => model.kv_cache_tokens,
            Some(ServiceKind::Plain | ServiceKind::Stage(_)) | None => 0,
        };
        let silence_ms = self.silence(requested, choice.cost_ms);
        let send = SendNumber::take(&mut self.send_counter);
        let record = Record::new("request sent")
            .text("request", &requested.arrival.client_id)
            .number("send", send.0)
            .text("endpoint", &choice.endpoint)
            .number("cost_ms", choice.cost_ms as i64)
            .number("unread_tokens", choice.unread_tokens)
            .number("left_ms", left.0);
        let is_staged = !requested.route.stages.is_empty();
        let handles: Vec<Arc<str>> = inputs.into_iter().map(|result| result.handle).collect();
        let effect = Effect::Send {
            send,
            request,
            target,
            deadline_ms: left,
            silence_ms,
            may_reuse_connection: may_reuse,
            is_stream: requested.route.repeatability.is_stream(),
            inputs: is_staged.then_some(handles),
            workspace: requested.workspace.clone(),
            priority: (kv_cache_tokens > 0).then(|| requested.rank.min(ENDPOINT_RANK_MAX) as u8),
            resume_after: requested.last_event,
        };
        let prompt = requested.arrival.prompt.clone();
        if kv_cache_tokens > 0 {
            self.table.record_prompt(now, &choice.endpoint, &prompt, kv_cache_tokens);
        }
        if let Some(requested) = self.requests.get_mut(&request) {
            requested.tried.push(choice.endpoint.clone());
            requested.phase = Phase::Sent(Sending {
                send,
                endpoint: choice.endpoint.clone(),
                sent_at: now,
                unread_tokens: choice.unread_tokens,
            });
        }
        self.sends.insert(send, request);
        self.log(record);
        self.effects.push(effect);
    }

    /// Silence of an endpoint after which another one may get the request, if the route allows that.
    fn silence(&self, requested: &Requested, cost_ms: f64) -> Option<SpanMs> {
        if requested.runs + 1 >= requested.route.endpoints_max {
            return None;
        }
        let silence_ms = match requested.route.repeatability {
            Repeatability::Idempotent => {
                let usual = self.table.average_service_ms(&requested.pool).unwrap_or(0.0);
                (requested.route.objective_ms.0 as f64 * SILENCE_SHARE).max(usual * SILENCE_FACTOR)
            }
            Repeatability::ResumableStream => {
                let expected = cost_ms.min(10_000.0) + self.first_byte_ms(&requested.pool);
                expected * 2.0 + STREAM_SILENCE_MS
            }
            Repeatability::Once | Repeatability::StreamOnce => return None,
        };
        Some(SpanMs(silence_ms as u64))
    }

    /// An endpoint is silent: another one gets the request if there is one and the budget allows it.
    /// Otherwise the send goes on, since silence alone is no reason to give a request up.
    pub(super) fn on_silent(&mut self, now: TimeMs, send: SendNumber, last_event: Option<EventId>) {
        let Some(request) = self.sends.get(&send).copied() else {
            return;
        };
        let Some(requested) = self.requests.get_mut(&request) else {
            return;
        };
        requested.last_event = last_event.or(requested.last_event);
        let (tried, may_be_offered) = (&requested.tried, requested.may_be_offered());
        let has_other = self
            .table
            .serving(&requested.pool)
            .any(|known| !tried.contains(&known.endpoint.id) && !known.is_ejected(now));
        let pool = requested.pool.clone();
        let live = self.fleet.live_count(now);
        if !has_other || !may_be_offered || !self.budget.try_take(now, &pool, 1, live) {
            return;
        }
        self.effects.push(Effect::CancelSend(send));
        self.on_send_failed(now, send, SendFailure::Silent);
    }

    /// Ends a send in the books; its request and what is known of it.
    fn end_send(&mut self, send: SendNumber) -> Option<(RequestNumber, Sending)> {
        let request = self.sends.remove(&send)?;
        let sending = self.requests.get(&request)?.sending()?.clone();
        if sending.send != send {
            return None;
        }
        if let Some(known) = self.table.get_mut(&sending.endpoint) {
            known.in_flight = known.in_flight.saturating_sub(1);
            known.unread_tokens = known.unread_tokens.saturating_sub(sending.unread_tokens);
        }
        Some((request, sending))
    }

    /// Closes the send of a request, if one is in progress.
    pub(super) fn cancel_send(&mut self, request: RequestNumber) {
        let send = self.requests.get(&request).and_then(|requested| requested.sending()).map(|sending| sending.send);
        if let Some(send) = send {
            self.end_send(send);
            self.effects.push(Effect::CancelSend(send));
        }
    }

    pub(super) fn on_replied(&mut self, now: TimeMs, send: SendNumber, facts: ReplyHead) {
        let Some(request) = self.sends.get(&send).copied() else {
            return;
        };
        let Some(requested) = self.requests.get(&request) else {
            return;
        };
        let Some(sending) = requested.sending().cloned() else {
            return;
        };
        if let Some(load) = facts.load {
            self.table.on_report(now, &sending.endpoint, load);
        }
        let is_success_status = (200..300).contains(&facts.status);
        if facts.is_not_run {
            self.on_turned_away(now, request, send, &sending, facts);
        } else if !facts.is_for_request || (is_success_status && !facts.is_signed) {
            self.on_send_failed(now, send, SendFailure::Unusable);
            self.effects.push(Effect::CancelSend(send));
        } else if is_success_status {
            self.on_success(now, request, send, &sending);
        } else {
            self.on_error_status(now, request, send, &sending, facts);
        }
    }

    fn on_success(&mut self, now: TimeMs, request: RequestNumber, send: SendNumber, sending: &Sending) {
        let Some(requested) = self.requests.get_mut(&request) else {
            return;
        };
        let took = now.since(sending.sent_at);
        let record = Record::new("reply passed on")
            .text("request", &requested.arrival.client_id)
            .number("send", send.0)
            .text("endpoint", &sending.endpoint)
            .number("took_ms", took.0);
        requested.is_relaying = true;
        let is_stream = requested.route.repeatability.is_stream();
        let digest = requested.arrival.digest;
        self.log(record);
        self.effects.push(Effect::RelayReply(request, send));
        if is_stream {
            return;
        }
        self.crashes.on_completed(digest);
        let ejected = self.table.on_success(now, &sending.endpoint, took);
        self.log_ejection(&sending.endpoint, ejected);
        self.end_send(send);
        self.answered(now, request);
    }

    /// An endpoint states that it did not run the request.
    fn on_turned_away(
        &mut self,
        now: TimeMs,
        request: RequestNumber,
        send: SendNumber,
        sending: &Sending,
        facts: ReplyHead,
    ) {
        self.end_send(send);
        self.effects.push(Effect::CancelSend(send));
        let Some(requested) = self.requests.get_mut(&request) else {
            return;
        };
        let record = Record::new("endpoint turned the request away")
            .text("request", &requested.arrival.client_id)
            .number("send", send.0)
            .text("endpoint", &sending.endpoint)
            .number("status", facts.status);
        requested.phase = Phase::InStages;
        let pool = requested.pool.clone();
        let final_stages = requested.stages.final_stages();
        self.log(record);
        match facts.status {
            // Another endpoint has the address.
            421 => self.table.remove_replaced(&sending.endpoint),
            409 => {
                for stage in final_stages {
                    self.restart_stage(now, request, stage);
                }
                return;
            }
            _ => self.table.mark_full(&sending.endpoint, now + FULL_FOR),
        }
        let may_be_offered = self.requests.get(&request).is_some_and(Requested::may_be_offered);
        let live = self.fleet.live_count(now);
        if may_be_offered && self.budget.try_take(now, &pool, 1, live) {
            self.send_request(now, request);
        } else {
            self.finish(now, request, RefusalReason::EndpointsFull);
        }
    }

    fn on_error_status(
        &mut self,
        now: TimeMs,
        request: RequestNumber,
        send: SendNumber,
        sending: &Sending,
        facts: ReplyHead,
    ) {
        if facts.status >= 500 && facts.status != 504 {
            let ejected = self.table.on_failure(now, &sending.endpoint, false);
            self.log_ejection(&sending.endpoint, ejected);
        }
        let Some(requested) = self.requests.get_mut(&request) else {
            return;
        };
        requested.runs += 1;
        let record = Record::new("endpoint answered with an error")
            .text("request", &requested.arrival.client_id)
            .number("send", send.0)
            .text("endpoint", &sending.endpoint)
            .number("status", facts.status);
        let is_worth_another = facts.status >= 500 && requested.may_run_again();
        let is_relaying = requested.is_relaying;
        let pool = requested.pool.clone();
        self.log(record);
        let live = self.fleet.live_count(now);
        if is_worth_another && self.budget.try_take(now, &pool, 1, live) {
            self.end_send(send);
            self.effects.push(Effect::CancelSend(send));
            self.send_request(now, request);
        } else if is_relaying {
            self.end_send(send);
            self.effects.push(Effect::CancelSend(send));
            self.break_off(now, request);
        } else if NOT_RUN_STATUSES.contains(&facts.status) {
            // Without the endpoint's word for it, such a status would promise too much.
            self.end_send(send);
            self.effects.push(Effect::CancelSend(send));
            self.finish(now, request, RefusalReason::UnusableReply);
        } else {
            self.effects.push(Effect::RelayReply(request, send));
            self.end_send(send);
            self.answered(now, request);
        }
    }

    pub(super) fn on_send_failed(&mut self, now: TimeMs, send: SendNumber, failure: SendFailure) {
        let Some((request, sending)) = self.end_send(send) else {
            return;
        };
        let Some(requested) = self.requests.get_mut(&request) else {
            return;
        };
        let record = Record::new("send failed")
            .text("request", &requested.arrival.client_id)
            .number("send", send.0)
            .text("endpoint", &sending.endpoint)
            .text("reason", failure)
            .number("after_ms", now.since(sending.sent_at).0);
        let digest = requested.arrival.digest;
        if failure == SendFailure::NotSent {
            requested.unreached += 1;
        } else {
            requested.runs += 1;
        }
        requested.phase = Phase::InStages;
        let may_run_again = requested.may_run_again() && requested.may_be_offered();
        let is_relaying = requested.is_relaying;
        let pool = requested.pool.clone();
        self.log(record);
        self.note_send_health(now, &sending.endpoint, failure, digest);
        let live = self.fleet.live_count(now);
        // A silent endpoint is replaced only after the budget has been asked.
        let is_paid = matches!(failure, SendFailure::NotSent | SendFailure::Silent);
        let is_allowed = is_paid || self.budget.try_take(now, &pool, 1, live);
        if may_run_again && is_allowed {
            self.send_request(now, request);
        } else if is_relaying {
            self.break_off(now, request);
        } else {
            let reason = match failure {
                SendFailure::NotSent => RefusalReason::NoEndpoint,
                SendFailure::Lost => RefusalReason::EndpointLost,
                SendFailure::Unusable => RefusalReason::UnusableReply,
                SendFailure::Silent => RefusalReason::TimeoutAtEndpoint,
            };
            self.finish(now, request, reason);
        }
    }

    fn note_send_health(
        &mut self,
        now: TimeMs,
        endpoint: &EndpointId,
        failure: SendFailure,
        digest: boragepass_types::Hash64,
    ) {
        let is_refused = failure == SendFailure::NotSent;
        let ejected = self.table.on_failure(now, endpoint, is_refused);
        self.log_ejection(endpoint, ejected);
        match failure {
            SendFailure::NotSent => self.crashes.on_endpoint_down(now, endpoint),
            SendFailure::Lost => self.crashes.on_connection_lost(now, endpoint, digest),
            SendFailure::Unusable => {
                if let Some(known) = self.table.get_mut(endpoint) {
                    known.avoid_connection_reuse_until = now + DISTRUST;
                }
            }
            SendFailure::Silent => {}
        }
    }

    pub(super) fn on_streamed(&mut self, now: TimeMs, send: SendNumber, progress: Progress) {
        let Some(request) = self.sends.get(&send).copied() else {
            return;
        };
        match progress {
            Progress::FirstEvent => self.on_first_event(now, request, send),
            Progress::Ended => {
                let sent = self.end_send(send);
                if let Some((_, sending)) = sent
                    && let Some(requested) = self.requests.get(&request)
                {
                    let record = Record::new("stream ended whole")
                        .text("request", &requested.arrival.client_id)
                        .number("send", send.0)
                        .text("endpoint", &sending.endpoint)
                        .number("took_ms", now.since(requested.arrived_at).0);
                    self.crashes.on_completed(requested.arrival.digest);
                    self.log(record);
                    self.table.on_success(now, &sending.endpoint, SpanMs(1));
                }
                self.answered(now, request);
            }
            Progress::Broken(failure, last_event) => {
                if let Some(requested) = self.requests.get_mut(&request) {
                    requested.last_event = last_event.or(requested.last_event);
                }
                self.on_send_failed(now, send, failure);
            }
        }
    }

    fn on_first_event(&mut self, now: TimeMs, request: RequestNumber, send: SendNumber) {
        let Some(requested) = self.requests.get_mut(&request) else {
            return;
        };
        let Phase::Sent(sending) = &mut requested.phase else {
            return;
        };
        let took_ms = now.since(sending.sent_at).0 as f64;
        let unread = std::mem::take(&mut sending.unread_tokens);
        let endpoint = sending.endpoint.clone();
        let record = Record::new("first event")
            .text("request", &requested.arrival.client_id)
            .number("send", send.0)
            .number("took_ms", took_ms as i64)
            .number("since_arrival_ms", now.since(requested.arrived_at).0)
            .number("objective_left_ms", requested.objective_at.0 as i64 - now.0 as i64);
        let asks: Vec<_> = requested.stages.sent_piece_requests().cloned().collect();
        let pool = requested.pool.clone();
        if let Some(known) = self.table.get_mut(&endpoint) {
            known.unread_tokens = known.unread_tokens.saturating_sub(unread);
        }
        let beside_reading = (took_ms - unread as f64 / PREFILL_TOKENS_PER_MS).max(10.0);
        let usual = self.first_byte_ms.entry(pool).or_insert(beside_reading);
        *usual += FIRST_BYTE_GAIN * (beside_reading - *usual);
        self.log(record);
        // The endpoint has fetched its inputs by now.
        for asked in asks {
            self.release(now, &asked);
        }
    }
}
