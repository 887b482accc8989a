//! Endpoints in virtual time: the state and the timing of plain services, model engines and stage endpoints.
//!
//! The fleet decides what reaches an endpoint and when its replies arrive.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use boragepass_path::{CallEntry, Endpoint, PieceInputs, PieceOutcome, PromptPart, ReportedLoad, StagePool};
use boragepass_types::{Hash64, TimeMs};

use super::brittle::Brittleness;
use super::cold::Coldness;
use super::leaving::LeavingAnnouncement;
use super::pause::PausingRejections;
use super::rate_limit::StatedLimit;
use super::uneven::Unevenness;

/// Prompt tokens that a model engine prefills per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 93.0;
/// Time from the end of the prefill to the first event.
const FIRST_EVENT_DELAY_MS: f64 = 80.0;
/// Time between two events of a stream on an idle engine, and the increase with each running request.
const EVENT_GAP_MS: f64 = 16.5;
const EVENT_GAP_MS_PER_REQUEST: f64 = 0.6;
/// Calls that a busy stage endpoint queues before it rejects further ones.
const QUEUED_CALLS_MAX: usize = 2;

/// State of an endpoint and the faults that are in force at it.
#[derive(Debug)]
pub(super) struct FakeEndpoint {
    pub(super) endpoint: Endpoint,
    /// Whether it keeps an entry in the store.
    pub(super) is_registered: bool,
    /// End of a crash; until then the endpoint refuses connections, or does not answer if it is unresponsive.
    pub(super) down_until: TimeMs,
    pub(super) is_unresponsive: bool,
    /// Factor by which all work takes longer.
    pub(super) slowness: f64,
    /// Set if it differs in speed from the others.
    pub(super) unevenness: Option<Unevenness>,
    /// Share of the requests and calls whose answer is lost.
    pub(super) lost_answer_share: f64,
    /// Share of the requests that are answered with an error.
    pub(super) error_answer_share: f64,
    /// Number of crashes; work that started under an earlier number is lost.
    pub(super) generation: u64,
    pub(super) running_requests: usize,
    /// Requests and calls that arrived since its last start.
    pub(super) arrivals: u32,
    pub(super) drain_started_at: Option<TimeMs>,
    /// When its entry was removed from the store, until it writes it again.
    pub(super) removed_at: Option<TimeMs>,
    pub(super) stated_limit: Option<StatedLimit>,
    pub(super) leaving: Option<LeavingAnnouncement>,
    pub(super) brittleness: Option<Brittleness>,
    /// Cold periods; `None` if its pool states none.
    pub(super) coldness: Option<Coldness>,
    pub(super) rejections: Option<PausingRejections>,
    /// Time at which the engine has prefilled all prompts so far; prompts are prefilled one after the other.
    prefill_free_at_ms: f64,
    /// Prompt parts that need no prefill, with their tokens.
    prompt_cache: HashMap<Hash64, u64>,
    /// Present for endpoints of stage pools only.
    pub(super) stage: Option<StageState>,
}

/// Calls and results at a stage endpoint.
#[derive(Debug)]
pub(super) struct StageState {
    pub(super) spec: StagePool,
    pub(super) is_busy: bool,
    pub(super) queued_calls: VecDeque<QueuedCall>,
    /// Results by handle.
    pub(super) results: HashMap<Arc<str>, RetainedResult>,
    last_handle_number: u64,
}

/// Result that an endpoint retains until it expires or is freed.
#[derive(Debug, Clone)]
pub(super) struct RetainedResult {
    pub(super) client_id: Arc<str>,
    bytes: u64,
    pub(super) expires_at: TimeMs,
}

/// Call that waits for its turn.
#[derive(Debug, Clone)]
pub(super) struct QueuedCall {
    pub(super) tag: u64,
    pub(super) entries: Vec<CallEntry>,
    /// Size of the result in bytes and work factor of each entry.
    pub(super) piece_costs: Vec<(u64, f64)>,
}

/// Outcome of a call and the time that it takes.
#[derive(Debug)]
pub(super) struct StageRun {
    pub(super) tag: u64,
    pub(super) outcomes: Vec<PieceOutcome>,
    pub(super) duration_ms: u64,
}

impl FakeEndpoint {
    pub(super) fn new(endpoint: Endpoint, stage: Option<StagePool>, coldness: Option<Coldness>) -> Self {
        Self {
            endpoint,
            is_registered: true,
            down_until: TimeMs(0),
            is_unresponsive: false,
            slowness: 1.0,
            unevenness: None,
            lost_answer_share: 0.0,
            error_answer_share: 0.0,
            generation: 0,
            running_requests: 0,
            arrivals: 0,
            drain_started_at: None,
            removed_at: None,
            stated_limit: None,
            leaving: None,
            brittleness: None,
            coldness,
            rejections: None,
            prefill_free_at_ms: 0.0,
            prompt_cache: HashMap::new(),
            stage: stage.map(|spec| StageState {
                spec,
                is_busy: false,
                queued_calls: VecDeque::new(),
                results: HashMap::new(),
                last_handle_number: 0,
            }),
        }
    }

    pub(super) fn is_down(&self, now: TimeMs) -> bool {
        now < self.down_until
    }

    /// Requests that it takes at once.
    pub(super) fn capacity(&self, now: TimeMs) -> usize {
        let slots = self.endpoint.slots as usize;
        let is_brittle = self.brittleness.as_ref().is_some_and(|brittleness| brittleness.is_in_force(now));
        if is_brittle { slots } else { slots * 2 }
    }

    /// Whether a stage endpoint takes another call.
    pub(super) fn accepts_call(&self, now: TimeMs) -> bool {
        let is_brittle = self.brittleness.as_ref().is_some_and(|brittleness| brittleness.is_in_force(now));
        self.stage.as_ref().is_some_and(|stage| if is_brittle { !stage.is_busy } else { stage.accepts_call() })
    }

    /// Loses all state; the endpoint comes back empty.
    pub(super) fn crash(&mut self, until: TimeMs, is_unresponsive: bool) {
        self.down_until = until;
        self.is_unresponsive = is_unresponsive;
        self.generation += 1;
        self.running_requests = 0;
        self.arrivals = 0;
        self.prefill_free_at_ms = 0.0;
        self.prompt_cache.clear();
        if let Some(coldness) = &mut self.coldness {
            coldness.begin(until);
        }
        if let Some(stage) = &mut self.stage {
            stage.is_busy = false;
            stage.queued_calls.clear();
            stage.results.clear();
        }
    }

    /// Prefills a prompt and returns the time of the first event and the number of tokens that were not cached.
    pub(super) fn prefill(&mut self, now: TimeMs, prompt: &[PromptPart], tokens: u64) -> (TimeMs, u64) {
        let cached_tokens: u64 =
            prompt.iter().take_while(|part| self.prompt_cache.contains_key(&part.id)).map(|part| part.tokens).sum();
        self.prompt_cache.extend(prompt.iter().map(|part| (part.id, part.tokens)));
        let uncached_tokens = tokens.saturating_sub(cached_tokens);
        let prefill_start_ms = self.prefill_free_at_ms.max(now.0 as f64);
        let slowness = self.slowness_at(now);
        let usual_ms = match self.unevenness {
            Some(_) => Unevenness::prefill_ms(tokens, uncached_tokens),
            None => uncached_tokens as f64 / PREFILL_TOKENS_PER_MS,
        };
        let prefill_end_ms = prefill_start_ms + usual_ms * slowness;
        self.prefill_free_at_ms = prefill_end_ms;
        (TimeMs((prefill_end_ms + FIRST_EVENT_DELAY_MS * slowness) as u64), uncached_tokens)
    }

    /// Factor by which work takes longer now.
    pub(super) fn slowness_at(&self, now: TimeMs) -> f64 {
        self.slowness * self.unevenness.map_or(1.0, |_| Unevenness::slowness(&self.endpoint.id, now))
    }

    /// Load that it states in replies, if it states its slowness.
    pub(super) fn stated_load(&self, now: TimeMs) -> Option<ReportedLoad> {
        self.unevenness.filter(|unevenness| unevenness.is_stated).map(|_| ReportedLoad {
            running: self.running_requests as u32,
            waiting: 0,
            slots: self.endpoint.slots,
            slowness_percent: Some((self.slowness_at(now) * 100.0) as u32),
        })
    }

    pub(super) fn event_gap_ms(&self, now: TimeMs) -> u64 {
        ((EVENT_GAP_MS + EVENT_GAP_MS_PER_REQUEST * self.running_requests as f64) * self.slowness_at(now)) as u64
    }
}

impl StageState {
    fn accepts_call(&self) -> bool {
        !self.is_busy || self.queued_calls.len() < QUEUED_CALLS_MAX
    }

    fn free_bytes(&self) -> u64 {
        let used_bytes: u64 = self.results.values().map(|result| result.bytes).sum();
        self.spec.result_space_bytes.saturating_sub(used_bytes)
    }

    /// Runs a call: computes each piece whose inputs exist and whose result fits.
    pub(super) fn run_call(
        &mut self,
        now: TimeMs,
        call: QueuedCall,
        endpoint: &Endpoint,
        slowness: f64,
        is_handle_lost: impl Fn(&str) -> bool,
    ) -> StageRun {
        self.results.retain(|_, result| result.expires_at > now);
        self.is_busy = true;
        let mut work_ms = self.spec.call_ms;
        let mut outcomes = Vec::with_capacity(call.entries.len());
        for (entry, (result_bytes, work_factor)) in call.entries.iter().zip(&call.piece_costs) {
            let is_input_lost = match &entry.inputs {
                PieceInputs::Key(_) => false,
                PieceInputs::Inputs(handles) => handles.iter().any(|handle| is_handle_lost(handle)),
            };
            if is_input_lost {
                outcomes.push(PieceOutcome::InputLost);
                continue;
            }
            if *result_bytes > self.free_bytes() {
                outcomes.push(PieceOutcome::NoSpace);
                continue;
            }
            work_ms += self.spec.piece_ms * work_factor;
            self.last_handle_number += 1;
            let handle: Arc<str> = format!("{}/{:x}", endpoint.address, self.last_handle_number).into();
            let result = RetainedResult {
                client_id: entry.client_id.clone(),
                bytes: *result_bytes,
                expires_at: now + boragepass_types::SpanMs(self.spec.result_ttl_ms.0 + work_ms as u64),
            };
            self.results.insert(handle.clone(), result);
            outcomes.push(PieceOutcome::Computed(handle));
        }
        StageRun { tag: call.tag, outcomes, duration_ms: (work_ms * slowness) as u64 }
    }
}
