//! Fake endpoint on a loopback socket: a model engine, a member of a stage pool or a plain service.
//!
//! It runs stages for a fixed time, streams tokens, reports its load, accepts orders and injects the
//! faults that a test switches on. The outputs come from `stage_output`.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use boragepass_server::Tasks;
use boragepass_types::{Hash64, StageKind};
use boragepass_wire::{LoadJson, OrderJson, StageReplyLine, StageRequestJson};
use futures::channel::mpsc;
use http_types::{Body, Method, Request, Response, StatusCode};

use crate::fake_http::{json_response, serve};
use crate::slots::{Slot, Slots};
use crate::stage_output::{stage_output, token};

/// Length of the start of an input that its prefix hash covers.
const PREFIX_HASH_BYTES: usize = 256;
const CACHED_PREFIXES_MAX: usize = 64;
const CACHE_EVENTS_MAX: usize = 32;
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Fixed behaviour of a fake endpoint.
#[derive(Debug, Clone)]
pub struct FakeEndpointSettings {
    /// Name.
    pub name: String,
    /// Stages that run in parallel.
    pub slots: u32,
    /// Run time of a stage, or of a generating stage up to the first token; half of it if the prefix is
    /// cached.
    pub stage_ms: u64,
    /// Time between tokens.
    pub token_ms: u64,
    /// Tokens of a generated text.
    pub tokens: u32,
    /// Models that it has loaded at the start.
    pub models: Vec<String>,
    /// Adapters that it has loaded at the start.
    pub adapters: Vec<String>,
    /// Whether it refuses an order with a lower fencing number.
    pub checks_fence: bool,
    /// Age of the figures in its load reports.
    pub report_lag_ms: u64,
    /// One-way network delay of a stage request and of its answer, for an endpoint in another region.
    pub network_delay_ms: u64,
    /// Time from a crash until it listens again.
    pub restart_delay_ms: u64,
}

impl Default for FakeEndpointSettings {
    fn default() -> Self {
        Self {
            name: "endpoint".to_owned(),
            slots: 8,
            stage_ms: 5,
            token_ms: 1,
            tokens: 16,
            models: Vec::new(),
            adapters: Vec::new(),
            checks_fence: true,
            report_lag_ms: 0,
            network_delay_ms: 0,
            restart_delay_ms: 3_600_000,
        }
    }
}

/// Faults that a test switches on.
#[derive(Debug, Default, Clone)]
pub struct EndpointFaults {
    /// Text that crashes the endpoint when an input contains it.
    pub crash_on: Option<String>,
    /// Factor by which its work takes longer.
    pub slow_factor: Option<u64>,
    /// Number of stage requests whose reply is lost after the stage ran.
    pub replies_to_lose: u32,
    /// Whether its load reports say that it takes no new work.
    pub is_leaving: bool,
    /// Whether its load reports keep repeating old figures.
    pub are_reports_frozen: bool,
    /// Whether stages that hold a slot wait until the fault is switched off.
    pub is_hanging: bool,
}

#[derive(Debug, Default)]
struct State {
    models: Vec<String>,
    adapters: Vec<String>,
    highest_fence: u64,
    /// Fencing numbers of all orders received, refused ones too, in the order of arrival.
    fences: Vec<u64>,
    /// Hashes of cached prefixes, the oldest first.
    cached_prefixes: VecDeque<u64>,
    /// Latest changes of the prefix cache: number, prefix hash, whether the prefix is held now.
    cache_events: VecDeque<(u64, u64, bool)>,
    last_event_number: u64,
    /// Time of measurement, running stages and queued stages, the oldest first.
    load_samples: VecDeque<(Instant, u32, u32)>,
    runs: u64,
    runs_by_key: BTreeMap<String, u32>,
    work_ms: u64,
    crashes: u64,
    last_work_at: Option<Instant>,
}

/// Fake endpoint on a loopback socket. Clones share their state.
#[derive(Clone)]
pub struct FakeEndpoint {
    settings: Arc<FakeEndpointSettings>,
    state: Arc<Mutex<State>>,
    faults: Arc<Mutex<EndpointFaults>>,
    slots: Arc<Mutex<Slots>>,
    tasks: Arc<Mutex<Tasks>>,
    address: Arc<Mutex<Option<SocketAddr>>>,
}

impl FakeEndpoint {
    /// Creates an endpoint that does not listen yet.
    pub fn new(settings: FakeEndpointSettings) -> Self {
        let state = State { models: settings.models.clone(), adapters: settings.adapters.clone(), ..State::default() };
        Self {
            slots: Arc::new(Mutex::new(Slots::new(settings.slots))),
            settings: Arc::new(settings),
            state: Arc::new(Mutex::new(state)),
            faults: Arc::default(),
            tasks: Arc::default(),
            address: Arc::default(),
        }
    }

    /// Starts to listen. Returns the bound address.
    pub async fn start(&self, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let endpoint = self.clone();
        let tasks = self.tasks.lock().expect("no holder of this lock panics").clone();
        let bound = serve(address, &tasks, move |request| handle_request(endpoint.clone(), request)).await?;
        *self.address.lock().expect("no holder of this lock panics") = Some(bound);
        Ok(bound)
    }

    /// Name.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// Bound address; `None` before the first start.
    pub fn address(&self) -> Option<SocketAddr> {
        *self.address.lock().expect("no holder of this lock panics")
    }

    /// Changes the faults in force.
    pub fn set_faults(&self, change: impl FnOnce(&mut EndpointFaults)) {
        change(&mut self.faults.lock().expect("no holder of this lock panics"));
    }

    fn with_state<T>(&self, access: impl FnOnce(&mut State) -> T) -> T {
        access(&mut self.state.lock().expect("no holder of this lock panics"))
    }

    /// Number of stages that it has started.
    pub fn runs(&self) -> u64 {
        self.with_state(|state| state.runs)
    }

    /// Largest number of runs for any one idempotency key.
    pub fn runs_max_per_key(&self) -> u32 {
        self.with_state(|state| state.runs_by_key.values().copied().max().unwrap_or(0))
    }

    /// Number of runs by idempotency key.
    pub fn runs_by_key(&self) -> BTreeMap<String, u32> {
        self.with_state(|state| state.runs_by_key.clone())
    }

    /// Total run time of its stages.
    pub fn work_ms(&self) -> u64 {
        self.with_state(|state| state.work_ms)
    }

    /// Number of crashes.
    pub fn crashes(&self) -> u64 {
        self.with_state(|state| state.crashes)
    }

    /// Start time of its last stage.
    pub fn last_work_at(&self) -> Option<Instant> {
        self.with_state(|state| state.last_work_at)
    }

    /// Fencing numbers of all orders received, refused ones too, in the order of arrival.
    pub fn fences(&self) -> Vec<u64> {
        self.with_state(|state| state.fences.clone())
    }

    /// Replaces the loaded models without an order, as an intervention from outside the system would.
    pub fn set_models(&self, models: &[&str]) {
        self.with_state(|state| state.models = models.iter().map(|model| (*model).to_owned()).collect());
    }

    /// Models that it has loaded.
    pub fn models(&self) -> Vec<String> {
        self.with_state(|state| state.models.clone())
    }

    /// Breaks all connections, loses the prefix cache and listens again after `restart_delay_ms`.
    pub fn crash(&self) {
        self.with_state(|state| {
            state.crashes += 1;
            state.cached_prefixes.clear();
        });
        let aborted_tasks = {
            let mut tasks = self.tasks.lock().expect("no holder of this lock panics");
            std::mem::take(&mut *tasks)
        };
        *self.slots.lock().expect("no holder of this lock panics") = Slots::new(self.settings.slots);
        let endpoint = self.clone();
        task::spawn(async move {
            aborted_tasks.abort_all();
            task::sleep(Duration::from_millis(endpoint.settings.restart_delay_ms)).await;
            if let Some(address) = endpoint.address() {
                endpoint.start(address).await.ok();
            }
        });
    }

    /// Adds the prefix of an input to the prefix cache. Returns whether it was cached before.
    fn record_prefix(&self, input: &str) -> bool {
        let bytes = input.as_bytes();
        let prefix = Hash64::of(&bytes[..bytes.len().min(PREFIX_HASH_BYTES)]).0;
        self.with_state(|state| {
            if state.cached_prefixes.contains(&prefix) {
                return true;
            }
            state.cached_prefixes.push_back(prefix);
            push_cache_event(state, prefix, true);
            if state.cached_prefixes.len() > CACHED_PREFIXES_MAX
                && let Some(dropped) = state.cached_prefixes.pop_front()
            {
                push_cache_event(state, dropped, false);
            }
            false
        })
    }

    fn load_report(&self) -> LoadJson {
        let (running, queued) = self.slots.lock().expect("no holder of this lock panics").load();
        let faults = self.faults.lock().expect("no holder of this lock panics").clone();
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        self.with_state(|state| {
            let now = Instant::now();
            if !faults.are_reports_frozen || state.load_samples.is_empty() {
                state.load_samples.push_back((now, running, queued));
            }
            while state.load_samples.len() > 1 && state.load_samples.get(1).is_some_and(|(at, _, _)| now - *at >= lag) {
                state.load_samples.pop_front();
            }
            let (at, running, queued) = state.load_samples.front().copied().unwrap_or((now, running, queued));
            LoadJson {
                running,
                queued,
                slots: self.settings.slots,
                leaving: faults.is_leaving,
                lag_ms: (now - at).as_millis() as u64,
                models: state.models.clone(),
                adapters: state.adapters.clone(),
                cache_events: state.cache_events.iter().copied().collect(),
            }
        })
    }

    fn apply_order(&self, order: &OrderJson) -> StatusCode {
        self.with_state(|state| {
            state.fences.push(order.fence);
            if self.settings.checks_fence && order.fence < state.highest_fence {
                return StatusCode::Conflict;
            }
            state.highest_fence = state.highest_fence.max(order.fence);
            state.models.clone_from(&order.models);
            state.adapters.clone_from(&order.adapters);
            StatusCode::Accepted
        })
    }

    /// Suspends or resumes all stages.
    pub fn set_hanging(&self, is_hanging: bool) {
        self.set_faults(|faults| faults.is_hanging = is_hanging);
    }

    async fn wait_while_hanging(&self) {
        while self.faults.lock().expect("no holder of this lock panics").is_hanging {
            task::sleep(HANG_POLL_INTERVAL).await;
        }
    }

    async fn wait_network_delay(&self) {
        if self.settings.network_delay_ms > 0 {
            task::sleep(Duration::from_millis(self.settings.network_delay_ms)).await;
        }
    }

    fn slow_factor(&self) -> u64 {
        self.faults.lock().expect("no holder of this lock panics").slow_factor.unwrap_or(1)
    }

    /// Waits for the run time of some work and adds it to the total.
    async fn simulate_work(&self, ms: u64) {
        if ms == 0 {
            return;
        }
        task::sleep(Duration::from_millis(ms)).await;
        self.with_state(|state| state.work_ms += ms);
    }
}

fn push_cache_event(state: &mut State, prefix: u64, is_held: bool) {
    state.last_event_number += 1;
    state.cache_events.push_back((state.last_event_number, prefix, is_held));
    if state.cache_events.len() > CACHE_EVENTS_MAX {
        state.cache_events.pop_front();
    }
}

async fn handle_request(endpoint: FakeEndpoint, mut request: Request) -> Option<Response> {
    match (request.method(), request.url().path()) {
        (Method::Get, "/v1/load") => Some(json_response(StatusCode::Ok, &endpoint.load_report())),
        (Method::Post, "/v1/order") => {
            let order = serde_json::from_str(&request.body_string().await.ok()?).ok()?;
            Some(Response::new(endpoint.apply_order(&order)))
        }
        (Method::Post, "/v1/stage") => {
            let stage = serde_json::from_str(&request.body_string().await.ok()?).ok()?;
            run_stage(endpoint, stage).await
        }
        _ => Some(Response::new(StatusCode::NotFound)),
    }
}

/// Runs a stage. `None` breaks the connection, as a crash or a lost reply does.
async fn run_stage(endpoint: FakeEndpoint, request: StageRequestJson) -> Option<Response> {
    let Ok(kind) = request.kind.parse::<StageKind>() else {
        return Some(Response::new(StatusCode::BadRequest));
    };
    let faults = endpoint.faults.lock().expect("no holder of this lock panics").clone();
    let slots = endpoint.slots.lock().expect("no holder of this lock panics").clone();
    endpoint.wait_network_delay().await;
    let slot = slots.acquire(request.priority).await;
    endpoint.wait_while_hanging().await;
    endpoint.with_state(|state| {
        state.runs += 1;
        state.last_work_at = Some(Instant::now());
        if let Some(key) = &request.idempotency_key {
            *state.runs_by_key.entry(key.clone()).or_default() += 1;
        }
    });
    if faults.crash_on.as_ref().is_some_and(|needle| request.input.contains(needle.as_str())) {
        endpoint.crash();
        return None;
    }
    let is_cached = kind == StageKind::Generate && endpoint.record_prefix(&request.input);
    let stage_ms = endpoint.settings.stage_ms * endpoint.slow_factor();
    endpoint.simulate_work(if is_cached { stage_ms / 2 } else { stage_ms }).await;
    if should_lose_reply(&endpoint) {
        return None;
    }
    endpoint.wait_network_delay().await;
    if kind == StageKind::Generate {
        return Some(stream_response(endpoint, request, slot));
    }
    let output = stage_output(kind, &request.tag.stage, &request.input, 0);
    let line = StageReplyLine::Whole { tag: request.tag, output };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(encode_line(&line));
    Some(response)
}

/// Whether the reply in hand is one to lose; each call uses up one.
fn should_lose_reply(endpoint: &FakeEndpoint) -> bool {
    let mut faults = endpoint.faults.lock().expect("no holder of this lock panics");
    let is_lost = faults.replies_to_lose > 0;
    faults.replies_to_lose = faults.replies_to_lose.saturating_sub(1);
    is_lost
}

fn encode_line(line: &StageReplyLine) -> String {
    let mut text = serde_json::to_string(line).unwrap_or_default();
    text.push('\n');
    text
}

fn stream_response(endpoint: FakeEndpoint, request: StageRequestJson, slot: Slot) -> Response {
    let (sender, receiver) = mpsc::unbounded::<std::io::Result<String>>();
    let tasks = endpoint.tasks.lock().expect("no holder of this lock panics").clone();
    tasks.spawn(async move {
        let _slot = slot;
        let tokens = endpoint.settings.tokens;
        for index in request.resume_tokens..tokens {
            endpoint.simulate_work(endpoint.settings.token_ms * endpoint.slow_factor()).await;
            let text = token(&request.tag.stage, &request.input, index);
            let line = StageReplyLine::Tokens { tag: request.tag.clone(), first_index: index, count: 1, text };
            if sender.unbounded_send(Ok(encode_line(&line))).is_err() {
                return;
            }
        }
        let end = StageReplyLine::StreamEnd { tag: request.tag, tokens };
        sender.unbounded_send(Ok(encode_line(&end))).ok();
    });
    let reader = futures::stream::TryStreamExt::into_async_read(receiver);
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(futures::io::BufReader::new(reader), None));
    response
}
