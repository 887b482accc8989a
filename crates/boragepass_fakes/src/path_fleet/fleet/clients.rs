//! Clients: when they submit requests, what they contain, and when clients disconnect.

use super::*;
use crate::path_fleet::uneven::Unevenness;

impl PathFleet {
    /// Schedules the next request of a kind, after an exponentially distributed gap.
    pub(super) fn schedule_submission(&mut self, kind: usize) {
        let rate_per_ms = self.deployment.kinds[kind].rate_per_s / 1e3 * self.load_factor.max(0.001);
        let gap_ms = -(1.0 - self.client_rng.random::<f64>()).ln() / rate_per_ms;
        let at = self.now + SpanMs(gap_ms as u64);
        self.schedule(at, Action::SubmitRequest(kind));
    }

    /// Submits a request to a random VM among those that any VM advertises to clients.
    pub(super) fn submit_to_any_vm(&mut self, kind: usize) {
        if self.load_factor <= 0.0 {
            return;
        }
        let vm = match self.deployment.has_homes(kind) {
            true => self.pick_vm_for_home_client(kind),
            false => self.pick_serving_vm(),
        };
        if let Some(vm) = vm {
            self.submit_to_vm(vm, kind, None);
        }
    }

    /// Picks one of the VMs that any VM advertises to clients.
    pub(super) fn pick_serving_vm(&mut self) -> Option<usize> {
        let serving_addresses: BTreeSet<SocketAddr> = self
            .vms
            .iter()
            .filter_map(|vm| vm.request_path.as_ref())
            .flat_map(|path| path.addresses(self.now, None, None))
            .collect();
        let is_stale = self.stale_client_share > 0.0 && self.client_rng.random::<f64>() < self.stale_client_share;
        let is_known = |vm: &usize| is_stale || serving_addresses.contains(&self.vms[*vm].client_address);
        let serving_vms: Vec<usize> = (0..self.vms.len()).filter(is_known).collect();
        serving_vms.get(self.client_rng.random_range(0..serving_vms.len().max(1))).copied()
    }

    /// Submits a request to a VM, with the shared prompt part of this number or a random one.
    pub fn submit_to_vm(&mut self, vm: usize, kind: usize, shared_prompt: Option<u64>) {
        let arrival = self.register_request(vm, kind, shared_prompt, None);
        let (client_id, number) = (arrival.client_id.clone(), arrival.request);
        let incarnation = self.vms[vm].incarnation;
        if self.client_rng.random::<f64>() < self.abandon_share {
            let at = self.now + SpanMs(self.deployment.kinds[kind].route.objective_ms.0 / 2);
            self.schedule(at, Action::AbandonRequest(client_id, vm, incarnation, number));
        }
        self.deliver(vm, CLIENT_DELAY_MS, Event::RequestArrived(Box::new(arrival)));
    }

    /// Draws a request for a VM and enters it in the ledger. `extra_part` goes between the parts of its prompt.
    pub(super) fn register_request(
        &mut self,
        vm: usize,
        kind: usize,
        shared_prompt: Option<u64>,
        extra_part: Option<PromptPart>,
    ) -> Arrival {
        self.last_request_number += 1;
        let number = RequestNumber(self.last_request_number);
        let client_id: Arc<str> = format!("{:016x}", self.last_request_number).into();
        let spec = self.deployment.kinds[kind].clone();
        let mut arrival = self.build_arrival(&spec, number, &client_id, shared_prompt);
        if let Some(part) = extra_part {
            arrival.prompt.insert(1, part);
            arrival.prompt_tokens += part.tokens;
        }
        let record = RequestRecord {
            kind,
            vm,
            prompt: arrival.prompt.clone(),
            submitted_at: self.now,
            repeatability: spec.route.repeatability,
            endpoints_max: spec.route.endpoints_max as usize,
            timeout_ms: spec.route.timeout_ms.0,
            run_endpoints: Vec::new(),
            ending: None,
            is_abandoned: false,
            last_event_id: None,
            stream: None,
            stream_version: None,
            first_byte_at: None,
            is_excused: false,
        };
        self.ledger.requests.insert(client_id.clone(), record);
        let incarnation = self.vms[vm].incarnation;
        self.client_ids.insert((vm, incarnation, number), client_id.clone());
        self.relays.on_submitted(&arrival);
        if self.vms[vm].request_path.is_none() || self.vms[vm].paused_until > self.now {
            self.excuse_request(&client_id);
        }
        arrival
    }

    /// Marks a request whose missing answer is no violation.
    pub(super) fn excuse_request(&mut self, client_id: &Arc<str>) {
        if let Some(record) = self.ledger.requests.get_mut(client_id) {
            record.is_excused = true;
        }
    }

    /// Draws the prompt and the numbers of pieces of a request.
    pub(super) fn build_arrival(
        &mut self,
        spec: &RequestKind,
        request: RequestNumber,
        client_id: &Arc<str>,
        shared_prompt: Option<u64>,
    ) -> Arrival {
        let shared_prompt =
            shared_prompt.unwrap_or_else(|| self.client_rng.random_range(0..spec.shared_prompt_count.max(1)));
        let mut vary_tokens = |mean: u64| (mean as f64 * self.client_rng.random_range(0.4..1.6)) as u64;
        let additional_tokens = self.deployment.unevenness.map_or(0, |_| Unevenness::additional_tokens(client_id));
        let unique_tokens = vary_tokens(spec.unique_prompt_tokens) + additional_tokens;
        let unique = PromptPart { id: Hash64::of(client_id.as_bytes()), tokens: unique_tokens };
        let shared_id = Hash64::of(format!("{}/{shared_prompt}", spec.name).as_bytes());
        let shared = PromptPart { id: shared_id, tokens: spec.shared_prompt_tokens };
        let prompt = if spec.unique_prompt_tokens > 0 { vec![shared, unique] } else { Vec::new() };
        let pieces = spec.stage_pieces.iter().map(|pieces| {
            if self.client_rng.random::<f64>() >= pieces.request_share {
                return 0;
            }
            if pieces.mean_count < 4.0 && pieces.mean_count > 1.0 {
                self.client_rng.random_range(1..=(pieces.mean_count * 2.0 - 1.0).ceil() as u16)
            } else {
                pieces.mean_count as u16
            }
        });
        let pieces = pieces.collect();
        Arrival {
            request,
            client_id: client_id.clone(),
            is_relayed: false,
            relay_origin: None,
            host: spec.route.host.clone(),
            path: format!("/{}/x", spec.name).into(),
            key: Some(boragepass_path::ApiKey(Arc::from(spec.key))),
            deadline_ms: Some(SpanMs(spec.deadline_ms)),
            prompt_tokens: prompt.iter().map(|part| part.tokens).sum(),
            prompt,
            output_tokens_max: spec.stream_events * 5,
            pieces,
            piece_key: client_id.clone(),
            resume_after: None,
            resumed_stream: None,
            digest: Hash64::of(client_id.as_bytes()),
            body_bytes: 0,
        }
    }

    /// A client disconnects before its answer.
    pub(super) fn abandon_request(
        &mut self,
        client_id: &Arc<str>,
        vm: usize,
        incarnation: u64,
        request: RequestNumber,
    ) {
        let Some(record) = self.ledger.requests.get_mut(client_id) else {
            return;
        };
        if record.ending.is_some() {
            return;
        }
        record.is_abandoned = true;
        self.disconnected_requests.insert((vm, incarnation, request), (self.now, client_id.clone()));
        self.deliver(vm, CLIENT_DELAY_MS, Event::ClientDisconnected(request));
    }

    /// Ends a request at its VM and records the ending that the client observed.
    pub(super) fn end_request(&mut self, vm: usize, incarnation: u64, request: RequestNumber, ending: Ending) {
        if self.end_relayed_request((vm, incarnation, request), ending) {
            return;
        }
        if let Some(client_id) = self.client_ids.remove(&(vm, incarnation, request)) {
            self.relays.on_ended(&client_id);
            let is_abandoned = self.ledger.requests.get(&client_id).is_some_and(|record| record.is_abandoned);
            if !is_abandoned {
                self.ledger.on_end(self.now, &client_id, ending);
                if ending == Ending::Aborted {
                    self.plan_next_attempt(&client_id);
                }
            }
        }
    }
}
