//! An endpoint on loopback: model engine, stage pool member or plain service.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use boragepass_server::Tasks;
use boragepass_types::{Hash64, StageKind};
use boragepass_wire::{LoadJson, OrderJson, StageLine, StageRequestJson};
use futures::channel::mpsc;
use http_types::{Body, Method, Request, Response, StatusCode};

use crate::fake_http::{json, serve};
use crate::slots::{Slot, Slots};
use crate::stage_output::{stage_output, token};

const PREFIX_BYTES: usize = 256;
const PREFIXES_MAX: usize = 64;
const EVENTS_MAX: usize = 32;
const HANG_LOOK: Duration = Duration::from_millis(20);

/// How an endpoint behaves.
#[derive(Debug, Clone)]
pub struct FakeEndpointSettings {
    /// Name.
    pub name: String,
    /// Work it runs at once.
    pub slots: u32,
    /// Time of a stage, or up to the first token.
    pub stage_ms: u64,
    /// Time between tokens.
    pub token_ms: u64,
    /// Tokens of a generated text.
    pub tokens: u32,
    /// Models it holds at first.
    pub models: Vec<String>,
    /// Adapters it holds at first.
    pub adapters: Vec<String>,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fence: bool,
    /// Age of the figures in its load reports.
    pub report_lag_ms: u64,
    /// Time that a request and its answer travel, one way, when it stands in another region.
    pub network_delay_ms: u64,
    /// How long it stays away after a crash.
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

/// Faults that can be switched on.
#[derive(Debug, Default, Clone)]
pub struct EndpointFaults {
    /// Input that crashes it.
    pub crash_on: Option<String>,
    /// How many times slower it is.
    pub slow_factor: Option<u64>,
    /// Replies to lose after the work was done.
    pub replies_to_lose: u32,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// Whether its load reports stand still.
    pub are_reports_frozen: bool,
    /// Whether its work comes to no end for now.
    pub is_hanging: bool,
}

#[derive(Debug, Default)]
struct State {
    models: Vec<String>,
    adapters: Vec<String>,
    highest_fence: u64,
    /// Fencing numbers of all orders, in the order in which they came.
    fences: Vec<u64>,
    prefixes: VecDeque<u64>,
    events: VecDeque<(u64, u64, bool)>,
    next_event: u64,
    loads: VecDeque<(Instant, u32, u32)>,
    runs: u64,
    runs_by_key: BTreeMap<String, u32>,
    work_ms: u64,
    crashes: u64,
    last_work_at: Option<Instant>,
}

/// Endpoint on loopback.
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
    /// Endpoint that does not listen yet.
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

    /// Starts to listen.
    pub async fn start(&self, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let endpoint = self.clone();
        let tasks = self.tasks.lock().expect("no holder of this lock panics").clone();
        let bound = serve(address, &tasks, move |request| answer(endpoint.clone(), request)).await?;
        *self.address.lock().expect("no holder of this lock panics") = Some(bound);
        Ok(bound)
    }

    /// Name.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// Address, once it listens.
    pub fn address(&self) -> Option<SocketAddr> {
        *self.address.lock().expect("no holder of this lock panics")
    }

    /// Switches faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut EndpointFaults)) {
        change(&mut self.faults.lock().expect("no holder of this lock panics"));
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().expect("no holder of this lock panics"))
    }

    /// Stages it has run.
    pub fn runs(&self) -> u64 {
        self.with_state(|state| state.runs)
    }

    /// Largest number of runs for one idempotency key.
    pub fn runs_max_per_key(&self) -> u32 {
        self.with_state(|state| state.runs_by_key.values().copied().max().unwrap_or(0))
    }

    /// Runs by idempotency key.
    pub fn runs_by_key(&self) -> BTreeMap<String, u32> {
        self.with_state(|state| state.runs_by_key.clone())
    }

    /// Time it has worked.
    pub fn work_ms(&self) -> u64 {
        self.with_state(|state| state.work_ms)
    }

    /// Times it has crashed.
    pub fn crashes(&self) -> u64 {
        self.with_state(|state| state.crashes)
    }

    /// When it last began to work.
    pub fn last_work_at(&self) -> Option<Instant> {
        self.with_state(|state| state.last_work_at)
    }

    /// Fencing numbers of all orders, in the order in which they came.
    pub fn fences(&self) -> Vec<u64> {
        self.with_state(|state| state.fences.clone())
    }

    /// Puts other models in place, as an order that nobody here knows would.
    pub fn set_models(&self, models: &[&str]) {
        self.with_state(|state| state.models = models.iter().map(|model| (*model).to_owned()).collect());
    }

    /// Models it holds.
    pub fn models(&self) -> Vec<String> {
        self.with_state(|state| state.models.clone())
    }

    /// Ends all its connections at once and stays away for a while.
    pub fn crash(&self) {
        self.with_state(|state| {
            state.crashes += 1;
            state.prefixes.clear();
        });
        let old = {
            let mut tasks = self.tasks.lock().expect("no holder of this lock panics");
            std::mem::take(&mut *tasks)
        };
        *self.slots.lock().expect("no holder of this lock panics") = Slots::new(self.settings.slots);
        let endpoint = self.clone();
        task::spawn(async move {
            old.abort_all();
            task::sleep(Duration::from_millis(endpoint.settings.restart_delay_ms)).await;
            if let Some(address) = endpoint.address() {
                endpoint.start(address).await.ok();
            }
        });
    }

    fn note_prefix(&self, input: &str) -> bool {
        let bytes = input.as_bytes();
        let prefix = Hash64::of(&bytes[..bytes.len().min(PREFIX_BYTES)]).0;
        self.with_state(|state| {
            if state.prefixes.contains(&prefix) {
                return true;
            }
            state.prefixes.push_back(prefix);
            push_event(state, prefix, true);
            if state.prefixes.len() > PREFIXES_MAX
                && let Some(dropped) = state.prefixes.pop_front()
            {
                push_event(state, dropped, false);
            }
            false
        })
    }

    fn report(&self) -> LoadJson {
        let (running, queued) = self.slots.lock().expect("no holder of this lock panics").load();
        let faults = self.faults.lock().expect("no holder of this lock panics").clone();
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        self.with_state(|state| {
            let now = Instant::now();
            if !faults.are_reports_frozen || state.loads.is_empty() {
                state.loads.push_back((now, running, queued));
            }
            while state.loads.len() > 1 && state.loads.get(1).is_some_and(|(at, _, _)| now - *at >= lag) {
                state.loads.pop_front();
            }
            let (at, running, queued) = state.loads.front().copied().unwrap_or((now, running, queued));
            LoadJson {
                running,
                queued,
                slots: self.settings.slots,
                leaving: faults.is_leaving,
                lag_ms: (now - at).as_millis() as u64,
                models: state.models.clone(),
                adapters: state.adapters.clone(),
                cache_events: state.events.iter().copied().collect(),
            }
        })
    }

    fn take_order(&self, order: &OrderJson) -> StatusCode {
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

    /// Stops or resumes all its work.
    pub fn set_hanging(&self, is_hanging: bool) {
        self.set_faults(|faults| faults.is_hanging = is_hanging);
    }

    async fn wait_while_hanging(&self) {
        while self.faults.lock().expect("no holder of this lock panics").is_hanging {
            task::sleep(HANG_LOOK).await;
        }
    }

    async fn travel(&self) {
        if self.settings.network_delay_ms > 0 {
            task::sleep(Duration::from_millis(self.settings.network_delay_ms)).await;
        }
    }

    fn factor(&self) -> u64 {
        self.faults.lock().expect("no holder of this lock panics").slow_factor.unwrap_or(1)
    }

    async fn work(&self, ms: u64) {
        if ms == 0 {
            return;
        }
        task::sleep(Duration::from_millis(ms)).await;
        self.with_state(|state| state.work_ms += ms);
    }
}

fn push_event(state: &mut State, prefix: u64, held: bool) {
    state.next_event += 1;
    state.events.push_back((state.next_event, prefix, held));
    if state.events.len() > EVENTS_MAX {
        state.events.pop_front();
    }
}

async fn answer(endpoint: FakeEndpoint, mut request: Request) -> Option<Response> {
    match (request.method(), request.url().path()) {
        (Method::Get, "/v1/load") => Some(json(StatusCode::Ok, &endpoint.report())),
        (Method::Post, "/v1/order") => {
            let order = serde_json::from_str(&request.body_string().await.ok()?).ok()?;
            Some(Response::new(endpoint.take_order(&order)))
        }
        (Method::Post, "/v1/stage") => {
            let stage = serde_json::from_str(&request.body_string().await.ok()?).ok()?;
            run_stage(endpoint, stage).await
        }
        _ => Some(Response::new(StatusCode::NotFound)),
    }
}

async fn run_stage(endpoint: FakeEndpoint, request: StageRequestJson) -> Option<Response> {
    let Ok(kind) = request.kind.parse::<StageKind>() else {
        return Some(Response::new(StatusCode::BadRequest));
    };
    let faults = endpoint.faults.lock().expect("no holder of this lock panics").clone();
    let slots = endpoint.slots.lock().expect("no holder of this lock panics").clone();
    endpoint.travel().await;
    let slot = slots.take(request.priority).await;
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
    let is_cached = kind == StageKind::Generate && endpoint.note_prefix(&request.input);
    let stage_ms = endpoint.settings.stage_ms * endpoint.factor();
    endpoint.work(if is_cached { stage_ms / 2 } else { stage_ms }).await;
    if lose_reply(&endpoint) {
        return None;
    }
    endpoint.travel().await;
    if kind == StageKind::Generate {
        return Some(stream(endpoint, request, slot));
    }
    let output = stage_output(kind, &request.tag.stage, &request.input, 0);
    let line = StageLine::Whole { tag: request.tag, output };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(line_of(&line));
    Some(response)
}

fn lose_reply(endpoint: &FakeEndpoint) -> bool {
    let mut faults = endpoint.faults.lock().expect("no holder of this lock panics");
    let is_lost = faults.replies_to_lose > 0;
    faults.replies_to_lose = faults.replies_to_lose.saturating_sub(1);
    is_lost
}

fn line_of(line: &StageLine) -> String {
    let mut text = serde_json::to_string(line).unwrap_or_default();
    text.push('\n');
    text
}

fn stream(endpoint: FakeEndpoint, request: StageRequestJson, slot: Slot) -> Response {
    let (sender, receiver) = mpsc::unbounded::<std::io::Result<String>>();
    let tasks = endpoint.tasks.lock().expect("no holder of this lock panics").clone();
    tasks.spawn(async move {
        let _slot = slot;
        let tokens = endpoint.settings.tokens;
        for index in request.resume_tokens..tokens {
            endpoint.work(endpoint.settings.token_ms * endpoint.factor()).await;
            let text = token(&request.tag.stage, &request.input, index);
            let line = StageLine::Tokens { tag: request.tag.clone(), first_index: index, count: 1, text };
            if sender.unbounded_send(Ok(line_of(&line))).is_err() {
                return;
            }
        }
        let end = StageLine::StreamEnd { tag: request.tag, tokens };
        sender.unbounded_send(Ok(line_of(&end))).ok();
    });
    let reader = futures::stream::TryStreamExt::into_async_read(receiver);
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(futures::io::BufReader::new(reader), None));
    response
}
