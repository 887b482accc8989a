//! Calls of pieces to stage endpoints, and their results.

use super::*;

impl PathFleet {
    /// A call reaches its endpoint, which refuses, rejects, queues or starts it.
    pub(super) fn receive_call(
        &mut self,
        vm: usize,
        incarnation: u64,
        call: CallNumber,
        id: &EndpointId,
        entries: Vec<boragepass_path::CallEntry>,
    ) {
        let now = self.now;
        let reply_delay_ms = self.endpoint_delay_ms(vm, id);
        let failure_event = |failure| Event::CallEnded(call, CallOutcome { results: Err(failure), signals: None });
        let piece_costs = entries.iter().map(|entry| self.piece_cost(entry)).collect();
        for entry in &entries {
            self.check_piece_inputs(entry);
            self.check_endpoint_homes(vm, id, &entry.client_id, true);
        }
        if let Some(entry) = entries.first() {
            self.check_endpoint_signals(vm, id, &entry.client_id);
        }
        if let Some(signals) = self.rejection_signals(vm, id, reply_delay_ms) {
            let outcome = CallOutcome { results: Err(CallFailure::EndpointFull), signals: Some(signals) };
            self.deliver(vm, reply_delay_ms, Event::CallEnded(call, outcome));
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        if endpoint.is_down(now) {
            let failure_delay_ms = if endpoint.is_unresponsive { CONNECT_TIMEOUT_MS } else { reply_delay_ms };
            self.deliver(vm, failure_delay_ms, failure_event(CallFailure::NotReached));
            return;
        }
        if !endpoint.accepts_call(now) {
            self.on_full_rejection(id);
            let signals = self.endpoint_signals(vm, id, reply_delay_ms);
            let outcome = CallOutcome { results: Err(CallFailure::EndpointFull), signals };
            self.deliver(vm, reply_delay_ms, Event::CallEnded(call, outcome));
            return;
        }
        let Some(stage) = endpoint.stage.as_mut() else {
            return;
        };
        self.last_call_tag += 1;
        let tag = (Hash64::of(id.as_str().as_bytes()).0 >> 32 << 32) | (self.last_call_tag & 0xffff_ffff);
        self.calls_by_tag.insert(tag, (vm, incarnation, call));
        let is_busy = stage.is_busy;
        stage.queued_calls.push_back(QueuedCall { tag, entries, piece_costs });
        if !is_busy {
            self.start_next_call(id);
        }
    }

    /// Size of the result in bytes and work factor of a piece.
    pub(super) fn piece_cost(&self, entry: &boragepass_path::CallEntry) -> (u64, f64) {
        let kind = self.ledger.requests.get(&entry.client_id).map_or(0, |record| record.kind);
        let kind = &self.deployment.kinds[kind];
        let bytes = kind.route.stages.get(entry.stage).map_or(0, |stage| stage.result_bytes);
        (bytes, kind.stage_pieces.get(entry.stage).map_or(1.0, |pieces| pieces.work_factor))
    }

    /// Checks that a piece has inputs of its own request only.
    pub(super) fn check_piece_inputs(&mut self, entry: &boragepass_path::CallEntry) {
        if let boragepass_path::PieceInputs::Inputs(handles) = &entry.inputs {
            let has_foreign_input =
                handles.iter().any(|handle| self.result_owner(handle).is_some_and(|owner| owner != entry.client_id));
            if has_foreign_input || handles.is_empty() {
                self.ledger.record_violation(
                    self.now,
                    &entry.client_id,
                    "a piece was given no inputs or those of another request",
                );
            }
        }
    }

    /// Starts the first queued call of an endpoint, if there is one.
    pub(super) fn start_next_call(&mut self, id: &EndpointId) {
        let now = self.now;
        let lost_handles: BTreeSet<Arc<str>> = {
            let stage = self.endpoints.get(id).and_then(|endpoint| endpoint.stage.as_ref());
            let entries = stage.into_iter().flat_map(|stage| stage.queued_calls.front()).flat_map(|call| &call.entries);
            let handles = entries.filter_map(|entry| match &entry.inputs {
                boragepass_path::PieceInputs::Inputs(handles) => Some(handles.clone()),
                boragepass_path::PieceInputs::Key(_) => None,
            });
            handles.flatten().filter(|handle| self.result_owner(handle).is_none()).collect()
        };
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        let (slowness, generation, stage_endpoint) =
            (endpoint.slowness, endpoint.generation, endpoint.endpoint.clone());
        let Some(stage) = endpoint.stage.as_mut() else {
            return;
        };
        let Some(call) = stage.queued_calls.pop_front() else {
            return;
        };
        self.ledger.calls += 1;
        self.ledger.pieces += call.entries.len() as u32;
        let work = self.ledger.pool_work.entry(stage_endpoint.pool.clone()).or_default();
        work.calls += 1;
        work.pieces += call.entries.len() as u32;
        let request_stages: BTreeSet<_> = call.entries.iter().map(|entry| (&entry.client_id, entry.stage)).collect();
        work.request_stages += request_stages.len() as u32;
        let run = stage.run_call(now, call, &stage_endpoint, slowness, |handle| lost_handles.contains(handle));
        work.busy_ms += run.duration_ms;
        let pieces_without_space = run.outcomes.iter().filter(|outcome| **outcome == PieceOutcome::NoSpace).count();
        self.ledger.pieces_without_space += pieces_without_space as u32;
        let finished_at = now + SpanMs(run.duration_ms);
        self.schedule(finished_at, Action::FinishStageCall(id.clone(), generation, run));
    }

    /// An endpoint ends a call, replies unless the answer is lost, and starts the next one.
    pub(super) fn finish_stage_call(&mut self, id: &EndpointId, generation: u64, run: StageRun) {
        if self.has_crashed_since(generation, id) {
            return;
        }
        if let Some((vm, incarnation, call)) = self.calls_by_tag.remove(&run.tag) {
            let reply_delay_ms = self.endpoint_delay_ms(vm, id);
            let is_lost =
                self.endpoints.get(id).is_some_and(|endpoint| self.rng.random::<f64>() < endpoint.lost_answer_share);
            let results = if is_lost { Err(CallFailure::ConnectionLost) } else { Ok(run.outcomes) };
            let signals = if is_lost { None } else { self.endpoint_signals(vm, id, reply_delay_ms) };
            let event = Event::CallEnded(call, CallOutcome { results, signals });
            let at = self.now + SpanMs(reply_delay_ms);
            self.schedule(at, Action::DeliverEvent(vm, incarnation, event));
        }
        if let Some(stage) = self.endpoints.get_mut(id).and_then(|endpoint| endpoint.stage.as_mut()) {
            stage.is_busy = false;
        }
        self.start_next_call(id);
    }
}
