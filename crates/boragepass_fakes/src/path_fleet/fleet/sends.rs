//! Sends to plain services and model engines.

use super::*;

impl PathFleet {
    pub(super) fn start_send(
        &mut self,
        key: SendKey,
        request: RequestNumber,
        endpoint: &EndpointId,
        inputs: Vec<Arc<str>>,
        resume_after: Option<EventId>,
    ) {
        let (vm, incarnation, send) = key;
        let now = self.now;
        let Some(client_id) = self.requests.get(&(vm, incarnation, request)).cloned() else {
            return;
        };
        if let Some((at, _)) = self.hung_up.get(&(vm, incarnation, request))
            && now.since(*at).0 > HANG_UP_SLACK_MS
            && !self.was_paused(vm)
        {
            self.ledger.violate(now, &client_id, "a request was sent on after its client had left");
        }
        let travel = self.travel_to(vm, endpoint);
        let Some(known) = self.endpoints.get(endpoint) else {
            return;
        };
        let is_excused = self.vms[vm].is_cut_from_store || self.was_paused(vm);
        if !is_excused && known.drained_at.is_some_and(|at| now.since(at).0 > DRAIN_MS) {
            self.ledger.violate(now, &client_id, "a draining endpoint got a new request");
        }
        if known.is_down(now) {
            let wait = if known.is_unresponsive { CONNECT_MS } else { 2 * travel };
            self.deliver(vm, wait, Event::SendFailed(send, SendFailure::NotSent));
            return;
        }
        let sent = Sent {
            client_id,
            request,
            endpoint: endpoint.clone(),
            generation: known.generation,
            has_head: false,
            is_relayed: false,
            next_event: 0,
        };
        self.sends.insert(key, sent);
        let first = resume_after.map_or(0, |event| event + 1);
        self.push(now + SpanMs(travel), Item::SendArrives(key, inputs, first));
    }

    pub(super) fn facts(status: u16, is_not_run: bool) -> ReplyHead {
        ReplyHead { status, is_signed: !is_not_run, is_for_request: true, is_not_run, load: None }
    }

    pub(super) fn send_arrives(&mut self, key: SendKey, inputs: &[Arc<str>], first: EventId) {
        let (vm, _, send) = key;
        let now = self.now;
        let Some(sent) = self.sends.get_mut(&key) else {
            return;
        };
        sent.next_event = first;
        let (client_id, id) = (sent.client_id.clone(), sent.endpoint.clone());
        let back = self.travel_to(vm, &id);
        let Some(kind) = self.ledger.entries.get(&client_id).map(|entry| entry.kind) else {
            return;
        };
        let spec = self.deployment.kinds[kind].clone();
        let wrong_input = inputs.iter().any(|handle| self.owner_of(handle).is_some_and(|owner| owner != client_id));
        if wrong_input {
            self.ledger.violate(now, &client_id, "a request was given results of another one");
        }
        if inputs.iter().any(|handle| self.owner_of(handle).is_none()) {
            self.sends.remove(&key);
            self.deliver(vm, back, Event::ReplyHeadArrived(send, Self::facts(409, true)));
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        if endpoint.running >= endpoint.endpoint.slots as usize * 2 {
            self.sends.remove(&key);
            self.deliver(vm, back, Event::ReplyHeadArrived(send, Self::facts(503, true)));
            return;
        }
        endpoint.running += 1;
        let generation = endpoint.generation;
        self.ledger.on_run(now, &client_id, &id);
        if spec.own_tokens == 0 {
            let over = endpoint.running as f64 / f64::from(endpoint.endpoint.slots.max(1));
            let work_ms = (spec.work_ms as f64 * endpoint.slowness * over.max(1.0)) as u64;
            let is_error = self.random.random::<f64>() < endpoint.error_share;
            self.push(now + SpanMs(work_ms), Item::PlainDone(key, id, generation, is_error));
            return;
        }
        let prompt = self.ledger.entries.get(&client_id).map(|entry| entry.prompt.clone()).unwrap_or_default();
        let tokens = prompt.iter().map(|part| part.tokens).sum();
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        let (at, read) = endpoint.read_prompt(now, &prompt, tokens);
        self.ledger.prefilled_tokens += read;
        self.push(at, Item::StreamEvent(key));
    }

    pub(super) fn owner_of(&self, handle: &str) -> Option<Arc<str>> {
        let now = self.now;
        let stages = self.endpoints.values().filter_map(|endpoint| endpoint.stage.as_ref());
        let mut kept = stages.filter_map(|stage| stage.results.get(handle));
        kept.find(|kept| kept.lapses_at > now).map(|kept| kept.client_id.clone())
    }

    pub(super) fn is_gone(&self, sent_generation: u64, endpoint: &EndpointId) -> bool {
        self.endpoints.get(endpoint).is_none_or(|known| known.generation != sent_generation)
    }

    pub(super) fn plain_done(&mut self, key: SendKey, id: &EndpointId, generation: u64, is_error: bool) {
        if self.is_gone(generation, id) {
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.running = endpoint.running.saturating_sub(1);
        let is_lost = self.random.random::<f64>() < endpoint.lost_share;
        if !self.sends.contains_key(&key) {
            return;
        }
        if is_lost {
            self.end_lost(key, SendFailure::ConnectionLost);
            return;
        }
        if let Some(sent) = self.sends.get_mut(&key) {
            sent.has_head = true;
        }
        let (vm, _, send) = key;
        let back = self.travel_to(vm, id);
        self.deliver(vm, back, Event::ReplyHeadArrived(send, Self::facts(if is_error { 500 } else { 200 }, false)));
    }

    pub(super) fn end_lost(&mut self, key: SendKey, failure: SendFailure) {
        let (vm, incarnation, send) = key;
        let Some(sent) = self.sends.remove(&key) else {
            return;
        };
        let event = if sent.is_relayed {
            let last = sent.next_event.checked_sub(1);
            Event::StreamProgressed(send, Progress::Broken(failure, last))
        } else {
            Event::SendFailed(send, failure)
        };
        let at = self.now + SpanMs(1);
        self.push(at, Item::Handle(vm, incarnation, event));
    }

    pub(super) fn stream_event(&mut self, key: SendKey) {
        let (vm, _, send) = key;
        let Some(sent) = self.sends.get_mut(&key) else {
            return;
        };
        let (id, generation, client_id) = (sent.endpoint.clone(), sent.generation, sent.client_id.clone());
        let is_first_of_send = !sent.has_head;
        sent.has_head = true;
        let is_relayed = sent.is_relayed;
        if self.is_gone(generation, &id) {
            return;
        }
        let back = self.travel_to(vm, &id);
        let gap = self.endpoints.get(&id).map_or(20, FakeEndpoint::event_gap_ms).max(1);
        if is_first_of_send {
            self.deliver(vm, back, Event::ReplyHeadArrived(send, Self::facts(200, false)));
        } else if is_relayed {
            let Some(sent) = self.sends.get_mut(&key) else {
                return;
            };
            let event = sent.next_event;
            sent.next_event += 1;
            let kind = self.ledger.entries.get(&client_id).map_or(0, |entry| entry.kind);
            let events = self.deployment.kinds[kind].events;
            self.ledger.on_event(self.now, &client_id, event);
            if event == 0 {
                self.deliver(vm, back, Event::StreamProgressed(send, Progress::FirstEvent));
            }
            if event + 1 >= events {
                self.end_stream(key, &id);
                return;
            }
        }
        let at = self.now + SpanMs(gap);
        self.push(at, Item::StreamEvent(key));
    }

    pub(super) fn end_stream(&mut self, key: SendKey, id: &EndpointId) {
        let (vm, incarnation, send) = key;
        let Some(sent) = self.sends.remove(&key) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.running = endpoint.running.saturating_sub(1);
        }
        let entry = self.ledger.entries.get(&sent.client_id);
        let first_byte_ms =
            entry.and_then(|entry| entry.first_byte_at.map(|at| at.since(entry.asked_at).0 + CLIENT_MS));
        let ending = Ending::Answered { first_byte_ms: first_byte_ms.unwrap_or(0) };
        self.end_request(vm, incarnation, sent.request, ending);
        self.deliver(vm, 1, Event::StreamProgressed(send, Progress::Ended));
        self.deliver(vm, 2, Event::AnswerDelivered(sent.request));
    }

    pub(super) fn check_silence(&mut self, key: SendKey) {
        let (vm, _, send) = key;
        if self.sends.get(&key).is_some_and(|sent| !sent.has_head) {
            self.deliver(vm, 0, Event::EndpointSilent(send, None));
        }
    }

    pub(super) fn cancel_send(&mut self, key: SendKey) {
        if let Some(sent) = self.sends.remove(&key)
            && let Some(endpoint) = self.endpoints.get_mut(&sent.endpoint)
            && endpoint.generation == sent.generation
        {
            endpoint.running = endpoint.running.saturating_sub(1);
        }
    }

    pub(super) fn relay(&mut self, key: SendKey, request: RequestNumber) {
        let (vm, incarnation, _) = key;
        let Some(client_id) = self.requests.get(&(vm, incarnation, request)).cloned() else {
            return;
        };
        let Some(entry) = self.ledger.entries.get(&client_id) else {
            return;
        };
        let is_stream = matches!(entry.repeatability, Repeatability::StreamOnce | Repeatability::ResumableStream);
        if is_stream {
            if let Some(sent) = self.sends.get_mut(&key) {
                sent.is_relayed = true;
            }
            return;
        }
        let first_byte_ms = self.now.since(entry.asked_at).0 + CLIENT_MS;
        self.sends.remove(&key);
        self.end_request(vm, incarnation, request, Ending::Answered { first_byte_ms });
        self.deliver(vm, 1, Event::AnswerDelivered(request));
    }
}
