//! Fake endpoints: plain services, model engines and stage endpoints. They report what they run to the ledger, and fail
//! while a fault lasts.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use boragepass_path::{Endpoint, PieceInputs, PieceOutcome};
use boragepass_platform::{decode_stage_call, encode_endpoint, encode_stage_results, names};
use bytes::Bytes;

use crate::http_server::{ReceivedRequest, Reply, serve};
use crate::ledger::Ledger;
use crate::proxy::{LinkMode, Proxy};
use crate::statements::{SendingVm, SharedStatements};
use crate::store::Store;

/// Number of events of a stream.
pub(crate) const EVENT_COUNT: u64 = 8;
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
const PLAIN_WORK_TIME: Duration = Duration::from_millis(15);
const STAGE_WORK_TIME: Duration = Duration::from_millis(60);
/// Path of health checks, as the platform's fixture configures it.
const HEALTH_PATH: &str = "/healthz";
/// Status of an endpoint that has no free slot.
const STATUS_FULL: u16 = 503;
/// Requests that an endpoint runs at once, as its entry states.
const SLOTS: usize = 6;
/// Work time of a plain endpoint that is brittle.
const BRITTLE_WORK_TIME: Duration = Duration::from_millis(800);
/// Time for which an endpoint that fell over closes its connections.
const FALL_TIME: Duration = Duration::from_millis(2_000);
/// Falls that the users' rules allow while the endpoints of a pool are brittle, of fewer than ten endpoints.
const FALLS_MAX: u32 = 2;

/// Kind of endpoint; its displayed name is the name of its pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum EndpointKind {
    #[display("api")]
    Plain,
    #[display("models")]
    Model,
    #[display("rates")]
    Stage,
}

#[derive(Debug)]
struct EndpointState {
    id: String,
    losing_replies_until: Instant,
    failing_until: Instant,
    full_until: Instant,
    /// End of the rejections, and the pause that each asks for.
    pausing_until: (Instant, Duration),
    down_until: Instant,
    started_at_unix_ms: u64,
    version: &'static str,
    statements: SharedStatements,
    /// Ends of the requests that it runs.
    running_until: Vec<Instant>,
}

/// Endpoint and the link through which VMs reach it.
#[derive(Debug, Clone)]
pub(crate) struct SoakEndpoint {
    pub(crate) link: Proxy,
    kind: EndpointKind,
    number: usize,
    domain: &'static str,
    state: Arc<Mutex<EndpointState>>,
}

/// Body of the complete answer of a plain service.
pub(crate) fn plain_answer(client_id: &str, body: &[u8]) -> String {
    format!("answer to {client_id}: {}", String::from_utf8_lossy(body))
}

/// Time in which a link closes all its connections.
const CLOSING_TIME: Duration = Duration::from_millis(100);
/// Software versions of the endpoints, which alternate.
pub(crate) const VERSIONS: [&str; 2] = ["1", "2"];

/// One event of a stream, as an endpoint of some software version sends it. A stream is named after the attempt that
/// brought its first event.
pub(crate) fn stream_event(stream: &str, number: u64, version: &str) -> String {
    format!("id: {number}\ndata: {stream}/{number} of version {version}\n\n")
}

impl SoakEndpoint {
    pub(crate) fn start(kind: EndpointKind, number: usize, domain: &'static str, ledger: Arc<Ledger>) -> Self {
        let inactive = Instant::now();
        let id = format!("{kind}-{number}-1");
        let state = EndpointState {
            id,
            losing_replies_until: inactive,
            failing_until: inactive,
            full_until: inactive,
            pausing_until: (inactive, Duration::ZERO),
            down_until: inactive,
            started_at_unix_ms: 1,
            version: VERSIONS[number % VERSIONS.len()],
            statements: SharedStatements::default(),
            running_until: Vec::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let server_state = state.clone();
        let (server, _) = serve(move |request| handle_request(kind, number, &server_state, &ledger, request));
        Self { link: Proxy::to(server), kind, number, domain, state }
    }

    fn state(&self) -> MutexGuard<'_, EndpointState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the endpoint's row to the store.
    pub(crate) fn publish(&self, store: &Store, is_draining: bool) {
        let (id, started_at_unix_ms, version) = {
            let state = self.state();
            (state.id.clone(), state.started_at_unix_ms, state.version)
        };
        let endpoint = Endpoint {
            id: id.parse().expect("ids of the soak are valid"),
            pool: self.kind.to_string().parse().expect("pools of the soak are valid"),
            address: self.address(),
            failure_domain: self.domain.parse().expect("failure domains of the soak are valid"),
            is_draining,
            slots: SLOTS as u32,
            started_at_unix_ms,
            software_version: version.parse().ok(),
            cold_left_ms: boragepass_types::SpanMs(0),
        };
        store.put_row(names::ENDPOINT_TABLE, &id, encode_endpoint(&endpoint));
    }

    /// Replaces the content of the endpoint's row, as another writer does.
    pub(crate) fn overwrite_entry(&self, store: &Store, entry: Vec<u8>) {
        let id = self.state().id.clone();
        store.put_row(names::ENDPOINT_TABLE, &id, entry);
    }

    /// Replaces the endpoint's row by one with a new id at the same address, as after a restart.
    pub(crate) fn restart_with_new_id(&self, store: &Store, incarnation: u64) {
        let old_id = std::mem::replace(&mut self.state().id, format!("{}-{}-{incarnation}", self.kind, self.number));
        store.remove_row(names::ENDPOINT_TABLE, &old_id);
        self.publish(store, false);
    }

    /// Starts anew under the same id, without what it stated before.
    pub(crate) fn restart(&self, store: &Store) {
        {
            let mut state = self.state();
            state.started_at_unix_ms += 1;
            state.statements = SharedStatements::default();
        }
        self.publish(store, false);
    }

    /// Ends its process and starts it anew under the same id as the other software version, with its entry written later.
    /// Returns once that is done.
    pub(crate) fn return_as_other_version(&self, store: &Store, down: Duration, registration_delay: Duration) {
        self.link.set_mode(LinkMode::Refuse);
        std::thread::sleep(down);
        // Another fault of the link may have ended this one.
        self.link.set_mode(LinkMode::Refuse);
        std::thread::sleep(CLOSING_TIME);
        {
            let mut state = self.state();
            state.version = VERSIONS.into_iter().find(|version| *version != state.version).unwrap_or(state.version);
            state.started_at_unix_ms += 1;
            state.statements = SharedStatements::default();
        }
        self.link.set_mode(LinkMode::Pass);
        std::thread::sleep(registration_delay);
        self.publish(store, false);
    }

    pub(crate) fn is_plain(&self) -> bool {
        self.kind == EndpointKind::Plain
    }

    /// Announces its leaving in replies.
    pub(crate) fn announce_leaving(&self) {
        self.state().statements.get().is_leaving = true;
    }

    /// States a limit of requests per second, or no longer.
    pub(crate) fn limit_requests(&self, per_s: Option<u32>) {
        self.state().statements.get().set_limit(per_s);
    }

    /// States how many rejections a second it bears, or that it bears any number. `pool_falls` counts how often the endpoints
    /// of its pool fall over.
    pub(crate) fn become_brittle(&self, rejections_max: Option<u32>, pool_falls: Arc<AtomicU32>) {
        self.state().statements.get().set_rejections_max(rejections_max, pool_falls);
    }

    /// Rejects requests for a time and asks for a pause each time.
    pub(crate) fn ask_for_pauses(&self, ms: u64, pause_s: u64) {
        self.state().pausing_until = (Instant::now() + Duration::from_millis(ms), Duration::from_secs(pause_s));
    }

    fn address(&self) -> SocketAddr {
        self.link.address
    }

    /// Runs requests but closes the connection instead of replying, for a time.
    pub(crate) fn lose_replies(&self, ms: u64) {
        self.state().losing_replies_until = Instant::now() + Duration::from_millis(ms);
    }

    /// Records runs but answers them with status 500, for a time; stage calls are not affected.
    pub(crate) fn fail(&self, ms: u64) {
        self.state().failing_until = Instant::now() + Duration::from_millis(ms);
    }

    /// Rejects requests as full without running them, for a time.
    pub(crate) fn become_full(&self, ms: u64) {
        self.state().full_until = Instant::now() + Duration::from_millis(ms);
    }
}

fn not_run_reply(status: u16) -> Reply {
    Reply { headers: vec![(names::NOT_RUN, "1".to_owned())], ..Reply::new(status, "") }
}

fn handle_request(
    kind: EndpointKind,
    number: usize,
    state: &Mutex<EndpointState>,
    ledger: &Ledger,
    request: &ReceivedRequest,
) -> Option<Reply> {
    if request.path.starts_with(names::STAGE_FREE_PATH) {
        return Some(Reply::new(200, ""));
    }
    let now = Instant::now();
    let (id, version, loses_reply, is_failing, is_full, is_down, statements) = {
        let state = state.lock().unwrap_or_else(PoisonError::into_inner);
        let is_full = now < state.full_until;
        let (loses_reply, is_failing) = (now < state.losing_replies_until, now < state.failing_until);
        let is_down = now < state.down_until;
        (state.id.clone(), state.version, loses_reply, is_failing, is_full, is_down, state.statements.clone())
    };
    if request.header(&names::EXPECTED_ENDPOINT).is_some_and(|expected| expected != id) {
        return Some(not_run_reply(421));
    }
    if is_down {
        return None;
    }
    if request.path.starts_with(HEALTH_PATH) {
        return Some(with_statements(Reply::new(200, ""), &statements));
    }
    let client_id = request.header(&names::ATTEMPT_ID).unwrap_or_default();
    let sender = ledger.sending_vm(client_id);
    if let Some(violation) = sender.and_then(|sender| statements.get().on_request(now, &sender)) {
        ledger.record_violation(client_id, format!("{violation}: {id}"));
    }
    let may_lose_reply = loses_reply || ledger.is_endpoint_disturbed(number, now);
    if let Some(reply) = reject_with_pause(state, sender, may_lose_reply) {
        return (!loses_reply).then_some(with_statements(reply, &statements));
    }
    if is_full {
        return Some(with_statements(not_run_reply(STATUS_FULL), &statements));
    }
    if kind == EndpointKind::Plain && !take_slot(now, state, ledger, number) {
        return Some(with_statements(not_run_reply(STATUS_FULL), &statements));
    }
    let reply = match kind {
        EndpointKind::Stage => run_stage_call(ledger, request),
        EndpointKind::Plain | EndpointKind::Model => {
            if !may_lose_reply {
                ledger.on_statements(client_id, statements.clone());
            }
            let mut reply = run_request(kind, number, (&id, version), ledger, request, is_failing);
            if let Some(reply) = reply.as_mut().filter(|_| statements.get().rejections_max().is_some()) {
                reply.head_delay = reply.head_delay.max(BRITTLE_WORK_TIME);
            }
            reply
        }
    };
    reply.filter(|_| !loses_reply).map(|reply| with_statements(reply, &statements))
}

/// Adds the headers of what an endpoint states of itself.
fn with_statements(mut reply: Reply, statements: &SharedStatements) -> Reply {
    let statements = statements.get();
    if statements.is_leaving {
        reply.headers.push((names::LEAVING, "1".to_owned()));
    }
    reply.headers.extend(statements.limit().map(|limit| (names::RATE_LIMIT, limit.to_string())));
    reply.headers.extend(statements.rejections_max().map(|number| (names::REJECTIONS_MAX, number.to_string())));
    reply
}

/// Rejects a request while the endpoint asks for pauses. A VM is not held to a pause if the reply may be lost.
fn reject_with_pause(state: &Mutex<EndpointState>, sender: Option<SendingVm>, may_lose_reply: bool) -> Option<Reply> {
    let now = Instant::now();
    let state = state.lock().unwrap_or_else(PoisonError::into_inner);
    let (pausing_until, pause) = state.pausing_until;
    if now >= pausing_until {
        return None;
    }
    if let Some(SendingVm { vm, .. }) = sender.filter(|_| !may_lose_reply) {
        state.statements.get().on_pause(now, vm, pause);
    }
    let mut reply = not_run_reply(STATUS_FULL);
    reply.headers.push((http::header::RETRY_AFTER, pause.as_secs().to_string()));
    Some(reply)
}

/// Takes a slot if the endpoint is brittle; returns false if none is free, after which it may fall over.
fn take_slot(now: Instant, state: &Mutex<EndpointState>, ledger: &Ledger, number: usize) -> bool {
    let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
    if state.statements.get().rejections_max().is_none() {
        state.running_until.clear();
        return true;
    }
    state.running_until.retain(|until| now < *until);
    let is_brittle = state.statements.get().is_brittle(now);
    if !is_brittle || state.running_until.len() < SLOTS {
        state.running_until.push(now + BRITTLE_WORK_TIME);
        return true;
    }
    let falls = state.statements.get().on_rejection(now);
    if let Some(falls) = falls {
        state.down_until = now + FALL_TIME;
        ledger.record_endpoint_disturbance(number, FALL_TIME);
        if falls > FALLS_MAX {
            ledger.record_violation(&state.id, format!("fell over, the {falls}. fall in its pool while it is brittle"));
        }
    }
    false
}

fn run_request(
    kind: EndpointKind,
    number: usize,
    (id, version): (&str, &str),
    ledger: &Ledger,
    request: &ReceivedRequest,
    is_failing: bool,
) -> Option<Reply> {
    let client_id = request.header(&names::ATTEMPT_ID).unwrap_or_default().to_owned();
    let inputs = request.header(&names::INPUT_HANDLES).unwrap_or_default();
    if kind == EndpointKind::Model {
        ledger.check_input_handles(&client_id, inputs.split(',').filter(|handle| !handle.is_empty()));
    }
    ledger.on_run_started(&client_id, number, id, request);
    if is_failing {
        return Some(Reply { status: 500, ..Reply::signed(request, "failed") });
    }
    if kind == EndpointKind::Plain {
        return Some(Reply {
            head_delay: PLAIN_WORK_TIME,
            ..Reply::signed(request, plain_answer(&client_id, &request.body))
        });
    }
    let first_event =
        request.header(&names::LAST_EVENT_ID).and_then(|last| last.parse::<u64>().ok()).map_or(0, |last| last + 1);
    let stream = request.header(&names::FIRST_ATTEMPT_ID).unwrap_or(&client_id);
    let body_chunks: Vec<Bytes> =
        (first_event..EVENT_COUNT).map(|event| stream_event(stream, event, version).into()).collect();
    let mut reply = Reply::signed(request, "");
    reply.headers.push((http::header::CONTENT_TYPE, "text/event-stream".to_owned()));
    Some(Reply { body_chunks, chunk_interval: EVENT_INTERVAL, ..reply })
}

fn run_stage_call(ledger: &Ledger, request: &ReceivedRequest) -> Option<Reply> {
    let entries = decode_stage_call(&request.body).ok()?;
    let run_entry = |entry: &boragepass_path::CallEntry| {
        if let PieceInputs::Inputs(handles) = &entry.inputs {
            ledger.check_input_handles(&entry.client_id, handles.iter().map(|handle| &**handle));
        }
        ledger.check_request_known(&entry.client_id);
        PieceOutcome::Computed(format!("127.0.0.1:1/{}.{}.{}", entry.client_id, entry.stage, entry.piece).into())
    };
    let results: Vec<PieceOutcome> = entries.iter().map(run_entry).collect();
    Some(Reply { head_delay: STAGE_WORK_TIME, ..Reply::new(200, encode_stage_results(&results)) })
}
