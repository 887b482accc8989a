//! Clients: what they ask, when, and when they leave.

use super::*;

impl PathFleet {
    pub(super) fn schedule_ask(&mut self, kind: usize) {
        let per_ms = self.deployment.kinds[kind].rate_per_s / 1e3 * self.load.max(0.001);
        let gap_ms = -(1.0 - self.random.random::<f64>()).ln() / per_ms;
        let at = self.now + SpanMs(gap_ms as u64);
        self.push(at, Item::Asked(kind));
    }

    pub(super) fn ask(&mut self, kind: usize) {
        if self.load <= 0.0 {
            return;
        }
        let serving: BTreeSet<SocketAddr> = self
            .vms
            .iter()
            .filter_map(|vm| vm.path.as_ref())
            .flat_map(|path| path.addresses(self.now, None, None))
            .collect();
        let serving: Vec<usize> =
            (0..self.vms.len()).filter(|vm| serving.contains(&self.vms[*vm].client_address)).collect();
        let Some(vm) = serving.get(self.random.random_range(0..serving.len().max(1))).copied() else {
            return;
        };
        self.submit_to_vm(vm, kind, None);
    }

    /// A client asks a VM, with this subject or any.
    pub fn submit_to_vm(&mut self, vm: usize, kind: usize, subject: Option<u64>) {
        self.request_numbers += 1;
        let number = RequestNumber(self.request_numbers);
        let client_id: Arc<str> = format!("{:016x}", self.request_numbers).into();
        let spec = self.deployment.kinds[kind].clone();
        let arrival = self.arrival(&spec, number, &client_id, subject);
        let entry = Entry {
            kind,
            prompt: arrival.prompt.clone(),
            asked_at: self.now,
            repeatability: spec.route.repeatability,
            endpoints_max: spec.route.endpoints_max as usize,
            timeout_ms: spec.route.timeout_ms.0,
            runs: Vec::new(),
            ending: None,
            is_given_up: false,
            last_event: None,
            first_byte_at: None,
            is_excused: false,
        };
        self.ledger.entries.insert(client_id.clone(), entry);
        let incarnation = self.vms[vm].incarnation;
        self.requests.insert((vm, incarnation, number), client_id.clone());
        if self.vms[vm].path.is_none() || self.vms[vm].paused_until > self.now {
            self.excuse(&client_id);
        }
        if self.random.random::<f64>() < self.abandon_share {
            let at = self.now + SpanMs(spec.route.objective_ms.0 / 2);
            self.push(at, Item::GivesUp(client_id, vm, incarnation, number));
        }
        self.deliver(vm, CLIENT_MS, Event::RequestArrived(Box::new(arrival)));
    }

    pub(super) fn excuse(&mut self, client_id: &Arc<str>) {
        if let Some(entry) = self.ledger.entries.get_mut(client_id) {
            entry.is_excused = true;
        }
    }

    pub(super) fn arrival(
        &mut self,
        spec: &RequestKind,
        request: RequestNumber,
        client_id: &Arc<str>,
        subject: Option<u64>,
    ) -> Arrival {
        let subject = subject.unwrap_or_else(|| self.random.random_range(0..spec.subjects.max(1)));
        let mut vary = |mean: u64| (mean as f64 * self.random.random_range(0.4..1.6)) as u64;
        let own = PromptPart { id: Hash64::of(client_id.as_bytes()), tokens: vary(spec.own_tokens) };
        let shared_id = Hash64::of(format!("{}/{subject}", spec.name).as_bytes());
        let shared = PromptPart { id: shared_id, tokens: spec.shared_tokens };
        let prompt = if spec.own_tokens > 0 { vec![shared, own] } else { Vec::new() };
        let pieces = spec.pieces.iter().map(|count| {
            if self.random.random::<f64>() >= count.share {
                return 0;
            }
            if count.mean < 4.0 && count.mean > 1.0 {
                self.random.random_range(1..=(count.mean * 2.0 - 1.0).ceil() as u16)
            } else {
                count.mean as u16
            }
        });
        let pieces = pieces.collect();
        Arrival {
            request,
            client_id: client_id.clone(),
            host: spec.route.host.clone(),
            path: format!("/{}/x", spec.name).into(),
            key: Some(boragepass_path::ApiKey(Arc::from(CLIENT_KEY))),
            deadline_ms: Some(SpanMs(spec.deadline_ms)),
            prompt_tokens: prompt.iter().map(|part| part.tokens).sum(),
            prompt,
            output_tokens_max: spec.events * 5,
            pieces,
            piece_key: client_id.clone(),
            resume_after: None,
            digest: Hash64::of(client_id.as_bytes()),
            body_bytes: 0,
        }
    }

    pub(super) fn give_up(&mut self, client_id: &Arc<str>, vm: usize, incarnation: u64, request: RequestNumber) {
        let Some(entry) = self.ledger.entries.get_mut(client_id) else {
            return;
        };
        if entry.ending.is_some() {
            return;
        }
        entry.is_given_up = true;
        self.hung_up.insert((vm, incarnation, request), (self.now, client_id.clone()));
        self.deliver(vm, CLIENT_MS, Event::ClientDisconnected(request));
    }

    pub(super) fn end_request(&mut self, vm: usize, incarnation: u64, request: RequestNumber, ending: Ending) {
        if let Some(client_id) = self.requests.remove(&(vm, incarnation, request)) {
            let is_given_up = self.ledger.entries.get(&client_id).is_some_and(|entry| entry.is_given_up);
            if !is_given_up {
                self.ledger.on_end(self.now, &client_id, ending);
            }
        }
    }
}
