//! Endpoints in virtual time: plain services, model engines and stage endpoints.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use boragepass_path::{CallEntry, Endpoint, PieceInputs, PieceOutcome, PromptPart, StagePool};
use boragepass_types::{Hash64, TimeMs};

/// Prompt tokens that a model engine reads in a millisecond.
const READ_TOKENS_PER_MS: f64 = 93.0;
/// Time from the end of reading to the first event.
const FIRST_EVENT_MS: f64 = 80.0;
/// Time between events with one request, and what each further one adds.
const EVENT_MS: f64 = 16.5;
const EVENT_MS_PER_REQUEST: f64 = 0.6;
/// Calls that wait at a stage endpoint.
const STAGE_QUEUE: usize = 2;

/// Endpoint with what runs there.
#[derive(Debug)]
pub(super) struct FakeEndpoint {
    pub(super) endpoint: Endpoint,
    pub(super) is_listed: bool,
    /// Down until then; refuses connections or, where dark, does not answer.
    pub(super) down_until: TimeMs,
    pub(super) is_unresponsive: bool,
    pub(super) slowness: f64,
    /// Share of the requests whose answer is lost.
    pub(super) lost_share: f64,
    pub(super) error_share: f64,
    /// Raised at each crash, so that what ran before is known to be gone.
    pub(super) generation: u64,
    pub(super) running: usize,
    pub(super) drained_at: Option<TimeMs>,
    read_free_at_ms: f64,
    memory: HashMap<Hash64, u64>,
    pub(super) stage: Option<StageWork>,
}

/// What a stage endpoint holds.
#[derive(Debug)]
pub(super) struct StageWork {
    pub(super) spec: StagePool,
    pub(super) is_busy: bool,
    pub(super) waiting: VecDeque<WaitingCall>,
    /// Results with their size and the time at which they lapse.
    pub(super) results: HashMap<Arc<str>, Kept>,
    next_handle: u64,
}

#[derive(Debug, Clone)]
pub(super) struct Kept {
    pub(super) client_id: Arc<str>,
    bytes: u64,
    pub(super) lapses_at: TimeMs,
}

/// Call with the caller's tag.
#[derive(Debug, Clone)]
pub(super) struct WaitingCall {
    pub(super) tag: u64,
    pub(super) entries: Vec<CallEntry>,
    /// Size of a result and work of each entry.
    pub(super) sizes: Vec<(u64, f64)>,
}

/// What a call brought and how long it takes.
#[derive(Debug)]
pub(super) struct StageRun {
    pub(super) tag: u64,
    pub(super) outcomes: Vec<PieceOutcome>,
    pub(super) took_ms: u64,
}

impl FakeEndpoint {
    pub(super) fn new(endpoint: Endpoint, stage: Option<StagePool>) -> Self {
        Self {
            endpoint,
            is_listed: true,
            down_until: TimeMs(0),
            is_unresponsive: false,
            slowness: 1.0,
            lost_share: 0.0,
            error_share: 0.0,
            generation: 0,
            running: 0,
            drained_at: None,
            read_free_at_ms: 0.0,
            memory: HashMap::new(),
            stage: stage.map(|spec| StageWork {
                spec,
                is_busy: false,
                waiting: VecDeque::new(),
                results: HashMap::new(),
                next_handle: 0,
            }),
        }
    }

    pub(super) fn is_down(&self, now: TimeMs) -> bool {
        now < self.down_until
    }

    pub(super) fn crash(&mut self, until: TimeMs, is_unresponsive: bool) {
        self.down_until = until;
        self.is_unresponsive = is_unresponsive;
        self.generation += 1;
        self.running = 0;
        self.read_free_at_ms = 0.0;
        self.memory.clear();
        if let Some(stage) = &mut self.stage {
            stage.is_busy = false;
            stage.waiting.clear();
            stage.results.clear();
        }
    }

    /// Reads a prompt; when the first event is made, and how many tokens were read.
    pub(super) fn read_prompt(&mut self, now: TimeMs, prompt: &[PromptPart], tokens: u64) -> (TimeMs, u64) {
        let held: u64 =
            prompt.iter().take_while(|part| self.memory.contains_key(&part.id)).map(|part| part.tokens).sum();
        self.memory.extend(prompt.iter().map(|part| (part.id, part.tokens)));
        let unread = tokens.saturating_sub(held);
        let start = self.read_free_at_ms.max(now.0 as f64);
        let end = start + unread as f64 / READ_TOKENS_PER_MS * self.slowness;
        self.read_free_at_ms = end;
        (TimeMs((end + FIRST_EVENT_MS * self.slowness) as u64), unread)
    }

    pub(super) fn event_gap_ms(&self) -> u64 {
        ((EVENT_MS + EVENT_MS_PER_REQUEST * self.running as f64) * self.slowness) as u64
    }
}

impl StageWork {
    pub(super) fn has_place(&self) -> bool {
        !self.is_busy || self.waiting.len() < STAGE_QUEUE
    }

    fn room_left(&self) -> u64 {
        let kept: u64 = self.results.values().map(|kept| kept.bytes).sum();
        self.spec.result_space_bytes.saturating_sub(kept)
    }

    /// Makes a call whose turn has come.
    pub(super) fn run(
        &mut self,
        now: TimeMs,
        call: WaitingCall,
        maker: &Endpoint,
        slowness: f64,
        is_gone: impl Fn(&str) -> bool,
    ) -> StageRun {
        self.results.retain(|_, kept| kept.lapses_at > now);
        self.is_busy = true;
        let mut work_ms = self.spec.call_ms;
        let mut outcomes = Vec::with_capacity(call.entries.len());
        for (entry, (bytes, factor)) in call.entries.iter().zip(&call.sizes) {
            let lacks_input = match &entry.inputs {
                PieceInputs::Key(_) => false,
                PieceInputs::Inputs(handles) => handles.iter().any(|handle| is_gone(handle)),
            };
            if lacks_input {
                outcomes.push(PieceOutcome::InputLost);
                continue;
            }
            if *bytes > self.room_left() {
                outcomes.push(PieceOutcome::NoSpace);
                continue;
            }
            work_ms += self.spec.piece_ms * factor;
            self.next_handle += 1;
            let handle: Arc<str> = format!("{}/{:x}", maker.address, self.next_handle).into();
            let kept = Kept {
                client_id: entry.client_id.clone(),
                bytes: *bytes,
                lapses_at: now + boragepass_types::SpanMs(self.spec.result_ttl_ms.0 + work_ms as u64),
            };
            self.results.insert(handle.clone(), kept);
            outcomes.push(PieceOutcome::Computed(handle));
        }
        StageRun { tag: call.tag, outcomes, took_ms: (work_ms * slowness) as u64 }
    }
}
