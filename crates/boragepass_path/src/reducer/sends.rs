//! Sends of requests to endpoints: the choice of an endpoint, handling of replies and streams, and retries.

use std::sync::Arc;

use boragepass_types::{SpanMs, TimeMs};

use super::RequestPath;
use crate::admission::RefusalReason;
use crate::configuration::{Repeatability, ServiceKind};
use crate::effect::{Effect, SendTarget};
use crate::event::{EventId, NamedRequest, Progress, ReplyHead, SendFailure};
use crate::message::ResultHandle;
use crate::placement::{ChosenEndpoint, RequestRequirements, choose_endpoint};
use crate::record::Record;
use crate::request::{ActiveSend, Phase, RequestNumber, RequestState, SendNumber, SendProgress, StreamVersion};
use crate::retry::proves_not_run;
use crate::timers::Timer;

/// Time for which an endpoint that rejected a request as full is chosen last.
const FULL_ENDPOINT_BACKOFF: SpanMs = SpanMs(150);
/// Shortest and longest time for which a request waits until an endpoint accepts it.
const ENDPOINT_WAIT_MIN: SpanMs = SpanMs(10);
const ENDPOINT_WAIT_MAX: SpanMs = SpanMs(500);
/// Time for which requests use no pooled connection to an endpoint, after it sent something that was not known to be a
/// reply to its request.
const CONNECTION_REUSE_PAUSE: SpanMs = SpanMs(15_000);
/// Silence of a stream, added to twice the expected time to its first byte, after which another endpoint resumes it.
const STREAM_SILENCE_MARGIN_MS: f64 = 1_300.0;
/// Share of the latency objective after which an idempotent request without a reply goes to another endpoint.
const SILENCE_OBJECTIVE_SHARE: f64 = 0.6;
/// Multiple of the pool's average service time that the silence has to exceed as well.
const SILENCE_SERVICE_TIME_FACTOR: f64 = 4.0;
/// Weight of a new sample in the moving average of the time to the first byte.
const FIRST_BYTE_EMA_WEIGHT: f64 = 0.1;
/// Least urgent priority that endpoints accept.
const ENDPOINT_PRIORITY_MAX: u16 = 9;
/// Statuses that imply that the request did not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

impl RequestPath {
    /// Sends a request to the endpoint that is expected to answer first, or fails it if none is left.
    pub(super) fn send_request(&mut self, now: TimeMs, request: RequestNumber) {
        let is_version_asked = |state: &RequestState| matches!(state.stream_version, StreamVersion::Asked(_));
        if self.requests.get(&request).is_some_and(is_version_asked) {
            // It is sent once the version that began its stream is known.
            return;
        }
        if self.is_refused_for_content(now, request) {
            self.fail_request(now, request, RefusalReason::CrashesEndpoints);
            return;
        }
        if self.is_too_late_to_send(now) {
            self.fail_request(now, request, RefusalReason::Stopping);
            return;
        }
        if self.relay_if_partitioned(now, request) || self.leave_former_homes(now, request) {
            return;
        }
        let Some(state) = self.requests.get(&request).filter(|state| !matches!(state.phase, Phase::Answered)) else {
            return;
        };
        let inputs = state.stages.final_results();
        let input_bytes = state.stages.bytes_by_domain(state.stages.final_stages().into_iter());
        let requirements = RequestRequirements {
            pool: &state.pool,
            prompt: &state.arrival.prompt,
            prompt_tokens: state.arrival.prompt_tokens,
            input_bytes: &input_bytes,
            excluded: &state.tried_endpoints,
            stream_version: &state.stream_version,
            places: state.homes.places(&self.settings),
            objective_left_ms: state.objective_at.since(now).0 as f64,
        };
        let choice = choose_endpoint(&self.endpoint_table, &self.settings, now, &requirements);
        let Some(choice) = choice.filter(|_| !self.are_homes_down(now, &state.pool, &state.homes)) else {
            let reason = self.unsent_reason(now, state);
            if !self.waits_for_endpoint(now, request) {
                self.fail_request(now, request, reason);
            }
            return;
        };
        if !self.awaits_endpoint_entry(now, request, &choice.endpoint) {
            self.send_to_endpoint(now, request, &choice, inputs);
        }
    }

    /// Why no endpoint of its pool can take a request.
    fn unsent_reason(&self, now: TimeMs, state: &RequestState) -> RefusalReason {
        if self.do_homes_exclude(now, state) {
            return RefusalReason::NoHomeEndpoint;
        }
        match &state.stream_version {
            StreamVersion::Begun(version) if !self.endpoint_table.serves_software_version(&state.pool, version) => {
                return RefusalReason::NoEndpointOfVersion;
            }
            StreamVersion::BegunUnknown => return RefusalReason::StreamVersionUnknown,
            StreamVersion::Begun(_) | StreamVersion::NotBegun | StreamVersion::Asked(_) => {}
        }
        let mut serving = self.endpoint_table.serving(&state.pool);
        if serving.any(|known| known.limits_requests(now) || known.is_brittle()) {
            RefusalReason::LimitedByEndpoints
        } else if state.tried_endpoints.is_empty() {
            self.no_endpoint_reason(&state.pool)
        } else {
            RefusalReason::EndpointsFull
        }
    }

    /// Whether the request waits until an endpoint accepts it: soon, and while it can still be in time.
    fn waits_for_endpoint(&mut self, now: TimeMs, request: RequestNumber) -> bool {
        let Some(state) = self.requests.get(&request) else {
            return false;
        };
        let (excluded, stream_version) = (&state.tried_endpoints, &state.stream_version);
        if self.are_homes_down(now, &state.pool, &state.homes) {
            return false;
        }
        let places = state.homes.places(&self.settings);
        let Some(wait) = self.endpoint_table.accepts_in(now, &state.pool, excluded, stream_version, places) else {
            return false;
        };
        let wait = wait.max(ENDPOINT_WAIT_MIN);
        let is_in_time = now + wait < state.objective_at || state.is_relaying;
        if wait > ENDPOINT_WAIT_MAX || !is_in_time {
            return false;
        }
        self.timers.set(now + wait, Timer::RetrySend(request));
        true
    }

    /// Sends a request to the chosen endpoint and accounts for the load that this adds.
    fn send_to_endpoint(
        &mut self,
        now: TimeMs,
        request: RequestNumber,
        choice: &ChosenEndpoint,
        inputs: Vec<ResultHandle>,
    ) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        let time_left = state.time_left(now);
        let Some(known_endpoint) = self.endpoint_table.get_mut(&choice.endpoint) else {
            return;
        };
        let round_trip_ms = self.settings.distance_to(&known_endpoint.endpoint.failure_domain).round_trip_ms();
        let speed_probe = known_endpoint.speed_probe(now, choice.uncached_tokens, round_trip_ms);
        known_endpoint.in_flight += 1;
        known_endpoint.own_pending_prefill_tokens += choice.uncached_tokens;
        let target = SendTarget { endpoint: choice.endpoint.clone(), address: known_endpoint.endpoint.address };
        known_endpoint.statements.on_send(now);
        let rate_limit = known_endpoint.statements.rate_limiter.limit();
        let software_version = known_endpoint.software_version().cloned();
        let may_reuse = state.may_reuse_connection() && known_endpoint.avoid_connection_reuse_until <= now;
        let service = state.configuration.service(&state.pool);
        let kv_cache_tokens = match service.map(|service| service.kind) {
            Some(ServiceKind::Model(model)) => model.kv_cache_tokens,
            Some(ServiceKind::Plain | ServiceKind::Stage(_)) | None => 0,
        };
        let silence_ms = self.silence_limit(now, state, choice);
        let send = SendNumber::take(&mut self.send_counter);
        let mut record = Record::new("request sent")
            .text("request", &state.arrival.client_id)
            .number("send", send.0)
            .text("endpoint", &choice.endpoint)
            .number("cost_ms", choice.cost_ms as i64)
            .number("unread_tokens", choice.uncached_tokens)
            .number("left_ms", time_left.0);
        if let Some(rate_limit) = rate_limit {
            record = record.text("endpoint_limit", rate_limit);
        }
        if let Some(Some(version)) = &software_version {
            record = record.text("software_version", version);
        }
        if let Some(event) = state.last_event {
            record = record.number("resume_after", event);
        }
        let is_staged = !state.route.stages.is_empty();
        let handles: Vec<Arc<str>> = inputs.into_iter().map(|result| result.handle).collect();
        let effect = Effect::Send {
            send,
            request,
            target,
            deadline_ms: time_left,
            silence_ms,
            may_reuse_connection: may_reuse,
            is_stream: state.route.repeatability.is_stream(),
            inputs: is_staged.then_some(handles),
            workspace: state.workspace.clone(),
            priority: (kv_cache_tokens > 0).then(|| state.rank.min(ENDPOINT_PRIORITY_MAX) as u8),
            resume_after: state.last_event,
        };
        let prompt = state.arrival.prompt.clone();
        if kv_cache_tokens > 0 {
            self.endpoint_table.record_prompt(now, &choice.endpoint, &prompt, kv_cache_tokens);
        }
        if let Some(state) = self.requests.get_mut(&request) {
            state.tried_endpoints.push(choice.endpoint.clone());
            state.phase = Phase::Sent(ActiveSend {
                send,
                endpoint: choice.endpoint.clone(),
                sent_at: now,
                pending_prefill_tokens: choice.uncached_tokens,
                speed_probe,
                progress: SendProgress::Waiting,
                software_version,
            });
        }
        self.sends.insert(send, request);
        self.log(record);
        self.effects.push(effect);
    }

    /// Silence after which another endpoint may get the request; `None` if no further endpoint may run it.
    fn silence_limit(&self, now: TimeMs, state: &RequestState, choice: &ChosenEndpoint) -> Option<SpanMs> {
        if state.possible_runs + 1 >= state.route.endpoints_max {
            return None;
        }
        let silence_ms = match state.route.repeatability {
            Repeatability::Idempotent => {
                let factor = self.endpoint_table.speed_of(&choice.endpoint, now).work_factor.max(1.0);
                let average_ms = self.endpoint_table.average_service_ms(&state.pool).unwrap_or(0.0) * factor;
                (state.route.objective_ms.0 as f64 * SILENCE_OBJECTIVE_SHARE)
                    .max(average_ms * SILENCE_SERVICE_TIME_FACTOR)
            }
            Repeatability::ResumableStream => {
                // The cost of an ejected endpoint is a penalty and not an expected time.
                let expected_ms = choice.cost_ms.clamp(0.0, 10_000.0) + self.average_first_byte_ms(&state.pool);
                expected_ms * 2.0 + STREAM_SILENCE_MARGIN_MS
            }
            Repeatability::Once | Repeatability::StreamOnce => return None,
        };
        Some(SpanMs(silence_ms as u64))
    }

    /// Moves the request of a silent endpoint to another one, if one is available and the retry budget allows it.
    /// Otherwise the send continues, since silence alone is no reason to fail a request.
    pub(super) fn on_endpoint_silent(&mut self, now: TimeMs, send: SendNumber, last_event: Option<EventId>) {
        let Some(request) = self.sends.get(&send).copied() else {
            return;
        };
        if let Some(state) = self.requests.get_mut(&request) {
            state.last_event = last_event.or(state.last_event);
        }
        if last_event.is_some() {
            self.on_event_received(now, request);
        }
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        let (tried_endpoints, may_be_offered) = (&state.tried_endpoints, state.may_be_offered());
        let (stream_version, places) = (&state.stream_version, state.homes.places(&self.settings));
        let has_alternative = self.endpoint_table.serving(&state.pool).any(|known_endpoint| {
            !tried_endpoints.contains(&known_endpoint.endpoint.id)
                && stream_version.allows(known_endpoint.software_version())
                && places.allows_endpoint(known_endpoint)
                && !known_endpoint.is_ejected(now)
                && known_endpoint.accepts(now)
        });
        let pool = state.pool.clone();
        let live_vms = self.fleet.live_count(now);
        if !has_alternative || !may_be_offered || !self.retry_budget.try_take(now, &pool, 1, live_vms) {
            return;
        }
        self.effects.push(Effect::CancelSend(send));
        self.on_send_failed(now, send, SendFailure::EndpointSilent);
    }

    /// Removes a send and the load that it accounts for. Returns its request and details.
    fn end_send(&mut self, send: SendNumber) -> Option<(RequestNumber, ActiveSend)> {
        let request = self.sends.remove(&send)?;
        let active_send = self.requests.get(&request)?.active_send()?.clone();
        if active_send.send != send {
            return None;
        }
        if let Some(known_endpoint) = self.endpoint_table.get_mut(&active_send.endpoint) {
            known_endpoint.in_flight = known_endpoint.in_flight.saturating_sub(1);
            known_endpoint.own_pending_prefill_tokens =
                known_endpoint.own_pending_prefill_tokens.saturating_sub(active_send.pending_prefill_tokens);
        }
        Some((request, active_send))
    }

    /// Cancels the send or relay of a request, if one is in progress.
    pub(super) fn cancel_send(&mut self, request: RequestNumber) {
        let send = match self.requests.get(&request).map(|state| &state.phase) {
            Some(Phase::Sent(active_send)) => active_send.send,
            Some(Phase::Relayed(relayed)) => relayed.send,
            Some(Phase::InStages | Phase::Answered) | None => return,
        };
        if self.relays.remove(&send).is_none() {
            self.end_send(send);
        }
        self.effects.push(Effect::CancelSend(send));
    }

    pub(super) fn on_reply_head(&mut self, now: TimeMs, send: SendNumber, head: ReplyHead) {
        let Some(request) = self.sends.get(&send).copied() else {
            return;
        };
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        let Some(active_send) = state.active_send().cloned() else {
            return;
        };
        let has_earlier_sends = state.has_earlier_sends();
        self.on_endpoint_contact(now);
        self.on_endpoint_alive(now, &active_send);
        if let Some(signals) = head.signals {
            self.on_endpoint_signals(now, &active_send.endpoint, signals);
        }
        let is_success_status = (200..300).contains(&head.status);
        if proves_not_run(&head, has_earlier_sends) {
            self.on_rejected(now, request, send, &active_send, head);
        } else if head.states_not_run && head.named_request != NamedRequest::Another {
            self.log_unusable_reply(request, send, &active_send, &head);
            self.on_send_failed(now, send, SendFailure::UnprovenRejection);
            self.effects.push(Effect::CancelSend(send));
        } else if !head.is_for_request() || (is_success_status && !head.is_signed) {
            self.log_unusable_reply(request, send, &active_send, &head);
            self.on_send_failed(now, send, SendFailure::UnusableReply);
            self.effects.push(Effect::CancelSend(send));
        } else if is_success_status {
            self.on_success_reply(now, request, send, &active_send);
        } else {
            self.on_error_reply(now, request, send, &active_send, head);
        }
    }

    /// Records that the endpoint of a send has replied, so that its process did not end since.
    fn on_endpoint_alive(&mut self, now: TimeMs, active_send: &ActiveSend) {
        if let Some(known_endpoint) = self.endpoint_table.get_mut(&active_send.endpoint) {
            known_endpoint.life.on_reply(now, active_send.sent_at);
        }
    }

    fn log_unusable_reply(
        &mut self,
        request: RequestNumber,
        send: SendNumber,
        active_send: &ActiveSend,
        head: &ReplyHead,
    ) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        let record = Record::new("reply not usable")
            .text("request", &state.arrival.client_id)
            .number("send", send.0)
            .text("endpoint", &active_send.endpoint)
            .number("status", head.status)
            .text("named_request", head.named_request)
            .number("states_not_run", u8::from(head.states_not_run))
            .number("is_signed", u8::from(head.is_signed))
            .number("earlier_exchanges", head.earlier_exchanges);
        self.log(record);
    }

    fn on_success_reply(&mut self, now: TimeMs, request: RequestNumber, send: SendNumber, active_send: &ActiveSend) {
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let reply_time = now.since(active_send.sent_at);
        let record = Record::new("reply passed on")
            .text("request", &state.arrival.client_id)
            .number("send", send.0)
            .text("endpoint", &active_send.endpoint)
            .number("took_ms", reply_time.0);
        state.is_relaying = true;
        if let Phase::Sent(active_send) = &mut state.phase {
            active_send.progress = SendProgress::Begun;
        }
        let is_stream = state.route.repeatability.is_stream();
        if !is_stream {
            self.crash_tracker.on_completed(now, &state.arrival);
        }
        self.log(record);
        self.effects.push(Effect::RelayReply(request, send));
        if is_stream {
            return;
        }
        if let Some(probe) = active_send.speed_probe {
            self.endpoint_table.on_speed_sample(&active_send.endpoint, probe, reply_time);
        }
        let ejected_for = self.endpoint_table.on_success(now, &active_send.endpoint, reply_time);
        self.log_ejection(&active_send.endpoint, ejected_for);
        self.end_send(send);
        self.mark_answered(now, request);
    }

    /// Handles a reply that states that the request did not run: retries within the limits.
    fn on_rejected(
        &mut self,
        now: TimeMs,
        request: RequestNumber,
        send: SendNumber,
        active_send: &ActiveSend,
        head: ReplyHead,
    ) {
        self.end_send(send);
        self.effects.push(Effect::CancelSend(send));
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let pause = head.signals.and_then(|signals| signals.pause_ms);
        let record = Record::new("endpoint turned the request away")
            .text("request", &state.arrival.client_id)
            .number("send", send.0)
            .text("endpoint", &active_send.endpoint)
            .number("status", head.status)
            .text("named_request", head.named_request)
            .number("earlier_exchanges", head.earlier_exchanges)
            .number("pause_ms", pause.unwrap_or_default().0);
        state.phase = Phase::InStages;
        let pool = state.pool.clone();
        let final_stages = state.stages.final_stages();
        self.log(record);
        match head.status {
            // Misdirected: the address now belongs to another endpoint.
            421 => {
                self.endpoint_table.remove_replaced(now, &active_send.endpoint);
                self.on_endpoint_down(now, &active_send.endpoint);
            }
            // Conflict: a stage result that the request needs is gone.
            409 => {
                self.restart_stages(now, request, &final_stages);
                return;
            }
            _ => self.endpoint_table.mark_full(now, &active_send.endpoint, now + FULL_ENDPOINT_BACKOFF),
        }
        let may_be_offered = self.requests.get(&request).is_some_and(RequestState::may_be_offered);
        let live_vms = self.fleet.live_count(now);
        if may_be_offered && self.retry_budget.try_take(now, &pool, 1, live_vms) {
            self.send_request(now, request);
        } else {
            self.fail_request(now, request, RefusalReason::EndpointsFull);
        }
    }

    fn on_error_reply(
        &mut self,
        now: TimeMs,
        request: RequestNumber,
        send: SendNumber,
        active_send: &ActiveSend,
        head: ReplyHead,
    ) {
        if head.status >= 500 && head.status != 504 {
            let ejected_for = self.endpoint_table.on_failure(now, &active_send.endpoint, false);
            self.log_ejection(&active_send.endpoint, ejected_for);
        }
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.possible_runs += 1;
        let record = Record::new("endpoint answered with an error")
            .text("request", &state.arrival.client_id)
            .number("send", send.0)
            .text("endpoint", &active_send.endpoint)
            .number("status", head.status);
        let may_retry = head.status >= 500 && state.may_run_again();
        let is_relaying = state.is_relaying;
        let pool = state.pool.clone();
        self.log(record);
        let live_vms = self.fleet.live_count(now);
        if may_retry && self.retry_budget.try_take(now, &pool, 1, live_vms) {
            self.end_send(send);
            self.effects.push(Effect::CancelSend(send));
            self.send_request(now, request);
        } else if is_relaying {
            self.end_send(send);
            self.effects.push(Effect::CancelSend(send));
            self.abort_answer(now, request);
        } else if NOT_RUN_STATUSES.contains(&head.status) {
            // The status implies that the request did not run, but the endpoint does not state so.
            self.end_send(send);
            self.effects.push(Effect::CancelSend(send));
            self.fail_request(now, request, RefusalReason::UnusableReply);
        } else {
            self.effects.push(Effect::RelayReply(request, send));
            self.end_send(send);
            self.mark_answered(now, request);
        }
    }

    pub(super) fn on_send_failed(&mut self, now: TimeMs, send: SendNumber, failure: SendFailure) {
        let Some((request, active_send)) = self.end_send(send) else {
            return;
        };
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let record = Record::new("send failed")
            .text("request", &state.arrival.client_id)
            .number("send", send.0)
            .text("endpoint", &active_send.endpoint)
            .text("reason", failure)
            .text("progress", active_send.progress)
            .number("after_ms", now.since(active_send.sent_at).0);
        if failure == SendFailure::NotSent {
            state.unreachable_count += 1;
        } else {
            state.possible_runs += 1;
        }
        state.phase = Phase::InStages;
        let may_run_again = state.may_run_again() && state.may_be_offered();
        let is_relaying = state.is_relaying;
        let pool = state.pool.clone();
        self.log(record);
        self.record_send_failure(now, request, &active_send, failure);
        let live_vms = self.fleet.live_count(now);
        // `on_endpoint_silent` has taken the budget already; sends of which no byte left need none.
        let needs_no_budget = matches!(failure, SendFailure::NotSent | SendFailure::EndpointSilent);
        let is_allowed = needs_no_budget || self.retry_budget.try_take(now, &pool, 1, live_vms);
        if may_run_again && is_allowed {
            self.send_request(now, request);
        } else if is_relaying {
            self.abort_answer(now, request);
        } else {
            let reason = match failure {
                SendFailure::NotSent | SendFailure::ConfigurationBehind => RefusalReason::NoEndpoint,
                SendFailure::ConnectionLost => RefusalReason::EndpointLost,
                SendFailure::UnusableReply | SendFailure::UnprovenRejection => RefusalReason::UnusableReply,
                SendFailure::EndpointSilent => RefusalReason::TimeoutAtEndpoint,
            };
            self.fail_request(now, request, reason);
        }
    }

    fn record_send_failure(
        &mut self,
        now: TimeMs,
        request: RequestNumber,
        active_send: &ActiveSend,
        failure: SendFailure,
    ) {
        let endpoint = &active_send.endpoint;
        if matches!(failure, SendFailure::NotSent | SendFailure::ConnectionLost) {
            self.on_link_failure(now, endpoint);
        }
        if failure != SendFailure::UnprovenRejection {
            let is_refused = failure == SendFailure::NotSent;
            let ejected_for = self.endpoint_table.on_failure(now, endpoint, is_refused);
            self.log_ejection(endpoint, ejected_for);
        }
        match failure {
            SendFailure::NotSent => self.on_endpoint_down(now, endpoint),
            SendFailure::ConnectionLost => self.suspect_crash(now, request, endpoint, active_send.progress),
            SendFailure::UnusableReply | SendFailure::UnprovenRejection => {
                if let Some(known_endpoint) = self.endpoint_table.get_mut(endpoint) {
                    known_endpoint.avoid_connection_reuse_until = now + CONNECTION_REUSE_PAUSE;
                }
                if failure == SendFailure::UnprovenRejection {
                    self.endpoint_table.mark_full(now, endpoint, now + FULL_ENDPOINT_BACKOFF);
                }
            }
            // Only other VMs answer that.
            SendFailure::EndpointSilent | SendFailure::ConfigurationBehind => {}
        }
    }

    pub(super) fn on_stream_progress(&mut self, now: TimeMs, send: SendNumber, progress: Progress) {
        let Some(request) = self.sends.get(&send).copied() else {
            return;
        };
        if !matches!(progress, Progress::Broken(..)) {
            self.on_endpoint_contact(now);
            if let Some(active_send) = self.requests.get(&request).and_then(RequestState::active_send).cloned() {
                self.on_endpoint_alive(now, &active_send);
            }
        }
        match progress {
            Progress::FirstEvent => self.on_first_event(now, request, send),
            Progress::Ended => {
                let ended_send = self.end_send(send);
                if let Some((_, active_send)) = ended_send
                    && let Some(state) = self.requests.get(&request)
                {
                    let record = Record::new("stream ended whole")
                        .text("request", &state.arrival.client_id)
                        .number("send", send.0)
                        .text("endpoint", &active_send.endpoint)
                        .number("took_ms", now.since(state.arrived_at).0);
                    if active_send.progress == SendProgress::Streaming {
                        self.crash_tracker.on_completed(now, &state.arrival);
                    }
                    self.log(record);
                    self.endpoint_table.on_success(now, &active_send.endpoint, SpanMs(1));
                }
                self.mark_answered(now, request);
            }
            Progress::Broken(failure, last_event) => {
                if let Some(state) = self.requests.get_mut(&request) {
                    state.last_event = last_event.or(state.last_event);
                }
                if last_event.is_some() {
                    self.on_event_received(now, request);
                }
                self.on_send_failed(now, send, failure);
            }
        }
    }

    fn on_first_event(&mut self, now: TimeMs, request: RequestNumber, send: SendNumber) {
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let Phase::Sent(active_send) = &mut state.phase else {
            return;
        };
        let took_ms = now.since(active_send.sent_at).0 as f64;
        let prefilled_tokens = std::mem::take(&mut active_send.pending_prefill_tokens);
        let speed_probe = active_send.speed_probe.take();
        active_send.progress = SendProgress::Streaming;
        let endpoint = active_send.endpoint.clone();
        let record = Record::new("first event")
            .text("request", &state.arrival.client_id)
            .number("send", send.0)
            .number("took_ms", took_ms as i64)
            .number("since_arrival_ms", now.since(state.arrived_at).0)
            .number("objective_left_ms", state.objective_at.0 as i64 - now.0 as i64);
        let piece_requests: Vec<_> = state.stages.sent_piece_requests().cloned().collect();
        let pool = state.pool.clone();
        if let Some(known_endpoint) = self.endpoint_table.get_mut(&endpoint) {
            known_endpoint.own_pending_prefill_tokens =
                known_endpoint.own_pending_prefill_tokens.saturating_sub(prefilled_tokens);
        }
        let tokens_per_ms = self.endpoint_table.speed_of(&endpoint, now).prefill_tokens_per_ms();
        if let Some(probe) = speed_probe {
            self.endpoint_table.on_speed_sample(&endpoint, probe, SpanMs(took_ms as u64));
        }
        let first_byte_beyond_prefill_ms = (took_ms - prefilled_tokens as f64 / tokens_per_ms).max(10.0);
        let average_ms = self.average_first_byte_ms.entry(pool).or_insert(first_byte_beyond_prefill_ms);
        *average_ms += FIRST_BYTE_EMA_WEIGHT * (first_byte_beyond_prefill_ms - *average_ms);
        self.log(record);
        self.on_event_received(now, request);
        // The endpoint has fetched its inputs by now, so the stage results are not needed any more.
        for sent_piece_request in piece_requests {
            self.release_piece_request(now, &sent_piece_request);
        }
    }
}
