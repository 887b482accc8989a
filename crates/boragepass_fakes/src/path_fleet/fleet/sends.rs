//! Sends of requests to plain services and model engines, and their replies.

use super::*;

/// Head of a reply that names its request, on a new connection.
pub(super) fn reply_head(status: u16, states_not_run: bool, signals: Option<EndpointSignals>) -> ReplyHead {
    ReplyHead {
        status,
        is_signed: !states_not_run,
        named_request: NamedRequest::Sent,
        states_not_run,
        earlier_exchanges: 0,
        signals,
    }
}

impl PathFleet {
    /// Starts a send and checks that the request may still be sent and the endpoint may receive it.
    pub(super) fn start_send(
        &mut self,
        key: SendKey,
        request: RequestNumber,
        id: &EndpointId,
        inputs: Vec<Arc<str>>,
        resume_after: Option<EventId>,
    ) {
        let (vm, incarnation, send) = key;
        let now = self.now;
        let Some(client_id) = self.client_ids.get(&(vm, incarnation, request)).cloned() else {
            return;
        };
        if let Some((at, _)) = self.disconnected_requests.get(&(vm, incarnation, request))
            && now.since(*at).0 > DISCONNECT_SLACK_MS
            && !self.was_recently_paused(vm)
        {
            self.ledger.record_violation(now, &client_id, "a request was sent on after its client had left");
        }
        self.check_endpoint_homes(vm, id, &client_id, false);
        let delay_ms = self.endpoint_delay_ms(vm, id);
        let Some(endpoint) = self.endpoints.get(id) else {
            // Another endpoint has the address now.
            let head = reply_head(421, true, None);
            self.deliver(vm, 2 * delay_ms, Event::ReplyHeadArrived(send, head));
            return;
        };
        let is_excused =
            self.vms[vm].is_cut_from_store || self.was_recently_paused(vm) || self.store.was_restored_lately(now);
        if !is_excused && endpoint.drain_started_at.is_some_and(|at| now.since(at).0 > DRAIN_GRACE_MS) {
            self.ledger.record_violation(now, &client_id, "a draining endpoint got a new request");
        }
        let is_removed = endpoint.removed_at.is_some_and(|at| now.since(at).0 > DRAIN_GRACE_MS);
        if is_removed && self.is_in_touch(vm) {
            self.ledger.record_violation(now, &client_id, "an endpoint that the store no longer lists got a request");
        }
        let (is_down, is_unresponsive, generation) =
            (endpoint.is_down(now), endpoint.is_unresponsive, endpoint.generation);
        let link_outcome = self.link_outcome(vm, id);
        match link_outcome {
            LinkOutcome::Passes | LinkOutcome::Hangs => {}
            LinkOutcome::Resets => {
                self.deliver(vm, 1, Event::SendFailed(send, SendFailure::ConnectionLost));
                return;
            }
            LinkOutcome::Fails { after_ms } => {
                self.deliver(vm, after_ms, Event::SendFailed(send, SendFailure::NotSent));
                return;
            }
        }
        let is_hung = matches!(link_outcome, LinkOutcome::Hangs);
        if is_down && !is_hung {
            let failure_delay_ms = if is_unresponsive { CONNECT_TIMEOUT_MS } else { 2 * delay_ms };
            self.deliver(vm, failure_delay_ms, Event::SendFailed(send, SendFailure::NotSent));
            return;
        }
        let active_send = ActiveSend {
            client_id,
            request,
            endpoint_id: id.clone(),
            endpoint_generation: generation,
            has_reply_head: false,
            is_relayed: false,
            next_event: 0,
            has_event: false,
            is_hung,
        };
        self.active_sends.insert(key, active_send);
        let first_event = resume_after.map_or(0, |event| event + 1);
        self.schedule(now + SpanMs(delay_ms), Action::ReceiveSend(key, inputs, first_event));
    }

    /// Delivers the head of a reply; a rejection before the run (`is_not_run`) carries no signature.
    fn deliver_reply_head(&mut self, (vm, _, send): SendKey, id: &EndpointId, status: u16, is_not_run: bool) {
        let delay_ms = self.endpoint_delay_ms(vm, id);
        let signals = self.endpoint_signals(vm, id, delay_ms);
        let head = reply_head(status, is_not_run, signals);
        self.deliver(vm, delay_ms, Event::ReplyHeadArrived(send, head));
    }

    /// A send reaches its endpoint, which rejects it (409 for lost inputs, 503 if full) or starts a run.
    pub(super) fn receive_send(&mut self, key: SendKey, inputs: &[Arc<str>], first_event: EventId) {
        let now = self.now;
        let Some(active_send) = self.active_sends.get_mut(&key).filter(|active_send| !active_send.is_hung) else {
            return;
        };
        active_send.next_event = first_event;
        let (client_id, id) = (active_send.client_id.clone(), active_send.endpoint_id.clone());
        self.check_endpoint_signals(key.0, &id, &client_id);
        self.on_arrival_at_engine(key.0, &client_id);
        self.check_added_route_sent(&client_id);
        let reply_delay_ms = self.endpoint_delay_ms(key.0, &id);
        if let Some(signals) = self.rejection_signals(key.0, &id, reply_delay_ms) {
            self.active_sends.remove(&key);
            let head = reply_head(503, true, Some(signals));
            self.deliver(key.0, reply_delay_ms, Event::ReplyHeadArrived(key.2, head));
            return;
        }
        let Some(kind) = self.ledger.requests.get(&client_id).map(|record| record.kind) else {
            return;
        };
        let spec = self.deployment.kinds[kind].clone();
        let has_foreign_input =
            inputs.iter().any(|handle| self.result_owner(handle).is_some_and(|owner| owner != client_id));
        if has_foreign_input {
            self.ledger.record_violation(now, &client_id, "a request was given results of another one");
        }
        if inputs.iter().any(|handle| self.result_owner(handle).is_none()) {
            self.active_sends.remove(&key);
            self.deliver_reply_head(key, &id, 409, true);
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        if endpoint.running_requests >= endpoint.capacity(now) {
            self.active_sends.remove(&key);
            self.on_full_rejection(&id);
            self.deliver_reply_head(key, &id, 503, true);
            return;
        }
        endpoint.running_requests += 1;
        let generation = endpoint.generation;
        self.ledger.on_run(now, &client_id, &id);
        if spec.unique_prompt_tokens == 0 {
            let requests_per_slot = endpoint.running_requests as f64 / f64::from(endpoint.endpoint.slots.max(1));
            let service_ms = (spec.service_ms as f64 * endpoint.slowness_at(now) * requests_per_slot.max(1.0)) as u64;
            let is_error = self.rng.random::<f64>() < endpoint.error_answer_share;
            self.schedule(now + SpanMs(service_ms), Action::FinishPlainRun(key, id, generation, is_error));
            return;
        }
        let prompt = self.ledger.requests.get(&client_id).map(|record| record.prompt.clone()).unwrap_or_default();
        let tokens = prompt.iter().map(|part| part.tokens).sum();
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        let (first_event_at, prefilled_tokens) = endpoint.prefill(now, &prompt, tokens);
        self.ledger.prefilled_tokens += prefilled_tokens;
        self.schedule(first_event_at, Action::EmitStreamEvent(key));
    }

    /// Client id of the request that a retained result belongs to.
    pub(super) fn result_owner(&self, handle: &str) -> Option<Arc<str>> {
        let now = self.now;
        let stages = self.endpoints.values().filter_map(|endpoint| endpoint.stage.as_ref());
        let mut results = stages.filter_map(|stage| stage.results.get(handle));
        results.find(|result| result.expires_at > now).map(|result| result.client_id.clone())
    }

    /// Whether an endpoint has crashed since it had this generation.
    pub(super) fn has_crashed_since(&self, generation: u64, id: &EndpointId) -> bool {
        self.endpoints.get(id).is_none_or(|endpoint| endpoint.generation != generation)
    }

    /// A plain service ends a run and replies, unless the reply is lost.
    pub(super) fn finish_plain_run(&mut self, key: SendKey, id: &EndpointId, generation: u64, is_error: bool) {
        if self.has_crashed_since(generation, id) {
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.running_requests = endpoint.running_requests.saturating_sub(1);
        let is_lost = self.rng.random::<f64>() < endpoint.lost_answer_share;
        if !self.active_sends.contains_key(&key) {
            return;
        }
        if is_lost {
            self.fail_send(key, SendFailure::ConnectionLost);
            return;
        }
        if let Some(active_send) = self.active_sends.get_mut(&key) {
            active_send.has_reply_head = true;
        }
        self.deliver_reply_head(key, id, if is_error { 500 } else { 200 }, false);
    }

    /// Ends a send and reports the failure to its VM.
    pub(super) fn fail_send(&mut self, key: SendKey, failure: SendFailure) {
        let (vm, incarnation, send) = key;
        let Some(active_send) = self.active_sends.remove(&key) else {
            return;
        };
        let event = if active_send.is_relayed {
            let last_event = active_send.next_event.checked_sub(1);
            Event::StreamProgressed(send, Progress::Broken(failure, last_event))
        } else {
            Event::SendFailed(send, failure)
        };
        let at = self.now + SpanMs(1);
        self.schedule(at, Action::DeliverEvent(vm, incarnation, event));
    }

    /// A model engine emits the reply head or the next event of a stream; events flow once the VM relays the stream.
    pub(super) fn emit_stream_event(&mut self, key: SendKey) {
        let (vm, _, send) = key;
        let Some(active_send) = self.active_sends.get_mut(&key).filter(|active_send| !active_send.is_hung) else {
            return;
        };
        let (id, generation, client_id) =
            (active_send.endpoint_id.clone(), active_send.endpoint_generation, active_send.client_id.clone());
        let is_first_of_send = !active_send.has_reply_head;
        active_send.has_reply_head = true;
        let is_relayed = active_send.is_relayed;
        if self.has_crashed_since(generation, &id) {
            return;
        }
        let reply_delay_ms = self.endpoint_delay_ms(vm, &id);
        let gap_ms = self.endpoints.get(&id).map_or(20, |endpoint| endpoint.event_gap_ms(self.now)).max(1);
        if is_first_of_send {
            self.deliver_reply_head(key, &id, 200, false);
            if self.crashes_on_answer(&client_id, &id, generation) {
                return;
            }
        } else if is_relayed {
            let Some(active_send) = self.active_sends.get_mut(&key) else {
                return;
            };
            let event = active_send.next_event;
            active_send.next_event += 1;
            let is_first_event = !std::mem::replace(&mut active_send.has_event, true);
            let kind = self.ledger.requests.get(&client_id).map_or(0, |record| record.kind);
            let events = self.deployment.kinds[kind].stream_events;
            self.record_event(&client_id, &id, event);
            if is_first_event {
                self.deliver(vm, reply_delay_ms, Event::StreamProgressed(send, Progress::FirstEvent));
            }
            if event + 1 >= events {
                self.end_stream(key, &id);
                return;
            }
        }
        let at = self.now + SpanMs(gap_ms);
        self.schedule(at, Action::EmitStreamEvent(key));
    }

    /// Ends a stream after its last event.
    pub(super) fn end_stream(&mut self, key: SendKey, id: &EndpointId) {
        let (vm, incarnation, send) = key;
        let Some(active_send) = self.active_sends.remove(&key) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.running_requests = endpoint.running_requests.saturating_sub(1);
        }
        let record = self.ledger.requests.get(&active_send.client_id);
        let first_byte_ms =
            record.and_then(|record| record.first_byte_at.map(|at| at.since(record.submitted_at).0 + CLIENT_DELAY_MS));
        let ending = Ending::Answered { first_byte_ms: first_byte_ms.unwrap_or(0) };
        self.end_request(vm, incarnation, active_send.request, ending);
        self.deliver(vm, 1, Event::StreamProgressed(send, Progress::Ended));
        self.deliver(vm, 2, Event::AnswerDelivered(active_send.request));
    }

    /// Reports an endpoint as silent if no reply head has arrived.
    pub(super) fn check_silence(&mut self, key: SendKey) {
        let (vm, _, send) = key;
        if self.active_sends.get(&key).is_some_and(|active_send| !active_send.has_reply_head) {
            self.deliver(vm, 0, Event::EndpointSilent(send, None));
        }
    }

    /// Ends a send that its VM canceled.
    pub(super) fn cancel_send(&mut self, key: SendKey) {
        if let Some(active_send) = self.active_sends.remove(&key)
            && let Some(endpoint) = self.endpoints.get_mut(&active_send.endpoint_id)
            && endpoint.generation == active_send.endpoint_generation
        {
            endpoint.running_requests = endpoint.running_requests.saturating_sub(1);
        }
    }

    /// Relays a reply to the client: a stream from here on, a plain reply at once.
    pub(super) fn relay_reply(&mut self, key: SendKey, request: RequestNumber) {
        let (vm, incarnation, _) = key;
        if let Some(ending) = self.relays.take_ending(&key) {
            self.end_request(vm, incarnation, request, ending);
            self.deliver(vm, 1, Event::AnswerDelivered(request));
            return;
        }
        let Some(client_id) = self.client_ids.get(&(vm, incarnation, request)).cloned() else {
            return;
        };
        let Some(record) = self.ledger.requests.get(&client_id) else {
            return;
        };
        let is_stream = matches!(record.repeatability, Repeatability::StreamOnce | Repeatability::ResumableStream);
        if is_stream {
            if let Some(active_send) = self.active_sends.get_mut(&key) {
                active_send.is_relayed = true;
            }
            self.begin_relayed_stream((vm, incarnation, request));
            return;
        }
        let first_byte_ms = self.now.since(record.submitted_at).0 + CLIENT_DELAY_MS;
        self.active_sends.remove(&key);
        self.end_request(vm, incarnation, request, Ending::Answered { first_byte_ms });
        self.deliver(vm, 1, Event::AnswerDelivered(request));
    }
}
