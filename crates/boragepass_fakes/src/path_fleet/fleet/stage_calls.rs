//! Calls to stage endpoints.

use super::*;

impl PathFleet {
    pub(super) fn call_arrives(
        &mut self,
        vm: usize,
        incarnation: u64,
        call: CallNumber,
        id: &EndpointId,
        entries: Vec<boragepass_path::CallEntry>,
    ) {
        let now = self.now;
        let back = self.travel_to(vm, id);
        let fail = |failure| Event::CallEnded(call, CallOutcome { results: Err(failure), load: None });
        let sizes = entries.iter().map(|entry| self.piece_size(entry)).collect();
        for entry in &entries {
            self.check_piece(entry);
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        if endpoint.is_down(now) {
            let wait = if endpoint.is_unresponsive { CONNECT_MS } else { back };
            self.deliver(vm, wait, fail(CallFailure::NotReached));
            return;
        }
        let Some(stage) = endpoint.stage.as_mut() else {
            return;
        };
        if !stage.has_place() {
            self.deliver(vm, back, fail(CallFailure::EndpointFull));
            return;
        }
        self.call_tags += 1;
        let tag = (Hash64::of(id.as_str().as_bytes()).0 >> 32 << 32) | (self.call_tags & 0xffff_ffff);
        self.calls.insert(tag, (vm, incarnation, call));
        let is_busy = stage.is_busy;
        stage.waiting.push_back(WaitingCall { tag, entries, sizes });
        if !is_busy {
            self.start_stage(id);
        }
    }

    pub(super) fn piece_size(&self, entry: &boragepass_path::CallEntry) -> (u64, f64) {
        let kind = self.ledger.entries.get(&entry.client_id).map_or(0, |known| known.kind);
        let kind = &self.deployment.kinds[kind];
        let bytes = kind.route.stages.get(entry.stage).map_or(0, |stage| stage.result_bytes);
        (bytes, kind.pieces.get(entry.stage).map_or(1.0, |count| count.work_factor))
    }

    pub(super) fn check_piece(&mut self, entry: &boragepass_path::CallEntry) {
        if let boragepass_path::PieceInputs::Inputs(handles) = &entry.inputs {
            let is_foreign =
                handles.iter().any(|handle| self.owner_of(handle).is_some_and(|owner| owner != entry.client_id));
            if is_foreign || handles.is_empty() {
                self.ledger.violate(
                    self.now,
                    &entry.client_id,
                    "a piece was given no inputs or those of another request",
                );
            }
        }
    }

    pub(super) fn start_stage(&mut self, id: &EndpointId) {
        let now = self.now;
        let gone: BTreeSet<Arc<str>> = {
            let waiting = self.endpoints.get(id).and_then(|endpoint| endpoint.stage.as_ref());
            let entries = waiting.into_iter().flat_map(|stage| stage.waiting.front()).flat_map(|call| &call.entries);
            let handles = entries.filter_map(|entry| match &entry.inputs {
                boragepass_path::PieceInputs::Inputs(handles) => Some(handles.clone()),
                boragepass_path::PieceInputs::Key(_) => None,
            });
            handles.flatten().filter(|handle| self.owner_of(handle).is_none()).collect()
        };
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        let (slowness, generation, maker) = (endpoint.slowness, endpoint.generation, endpoint.endpoint.clone());
        let Some(stage) = endpoint.stage.as_mut() else {
            return;
        };
        let Some(call) = stage.waiting.pop_front() else {
            return;
        };
        self.ledger.calls += 1;
        self.ledger.pieces += call.entries.len() as u32;
        let work = self.ledger.pool_work.entry(maker.pool.clone()).or_default();
        work.calls += 1;
        work.pieces += call.entries.len() as u32;
        let request_stages: BTreeSet<_> = call.entries.iter().map(|entry| (&entry.client_id, entry.stage)).collect();
        work.request_stages += request_stages.len() as u32;
        let run = stage.run(now, call, &maker, slowness, |handle| gone.contains(handle));
        work.busy_ms += run.took_ms;
        let no_room = run.outcomes.iter().filter(|outcome| **outcome == PieceOutcome::NoSpace).count();
        self.ledger.pieces_without_space += no_room as u32;
        let at = now + SpanMs(run.took_ms);
        self.push(at, Item::StageDone(id.clone(), generation, run));
    }

    pub(super) fn stage_done(&mut self, id: &EndpointId, generation: u64, run: StageRun) {
        if self.is_gone(generation, id) {
            return;
        }
        if let Some((vm, incarnation, call)) = self.calls.remove(&run.tag) {
            let back = self.travel_to(vm, id);
            let is_lost = self.endpoints.get(id).is_some_and(|known| self.random.random::<f64>() < known.lost_share);
            let results = if is_lost { Err(CallFailure::ConnectionLost) } else { Ok(run.outcomes) };
            let event = Event::CallEnded(call, CallOutcome { results, load: None });
            let at = self.now + SpanMs(back);
            self.push(at, Item::Handle(vm, incarnation, event));
        }
        if let Some(stage) = self.endpoints.get_mut(id).and_then(|endpoint| endpoint.stage.as_mut()) {
            stage.is_busy = false;
        }
        self.start_stage(id);
    }
}
