//! Endpoints: plain services, model engines and stage endpoints, which note what they run.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use boragepass_path::{Endpoint, PieceInputs, PieceOutcome};
use boragepass_platform::{decode_stage_call, encode_endpoint, encode_stage_results, names};
use bytes::Bytes;

use crate::http_server::{Got, Reply, serve};
use crate::ledger::Ledger;
use crate::proxy::Proxy;
use crate::store::Store;

/// Events of a stream.
pub(crate) const EVENTS: u64 = 8;
const EVENT_PAUSE: Duration = Duration::from_millis(30);
const PLAIN_WORK: Duration = Duration::from_millis(15);
const STAGE_WORK: Duration = Duration::from_millis(60);
/// Status of an endpoint that has no place.
const STATUS_FULL: u16 = 503;

/// What an endpoint does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Work {
    #[display("api")]
    Plain,
    #[display("models")]
    Model,
    #[display("rates")]
    Stage,
}

#[derive(Debug)]
struct State {
    id: String,
    loses_until: Instant,
    fails_until: Instant,
    full_until: Instant,
}

/// Endpoint with the link that leads to it.
#[derive(Debug, Clone)]
pub(crate) struct SoakEndpoint {
    pub(crate) link: Proxy,
    work: Work,
    number: usize,
    domain: &'static str,
    state: Arc<Mutex<State>>,
}

/// Body of the whole answer to a request that is no stream.
pub(crate) fn plain_answer(client_id: &str, body: &[u8]) -> String {
    format!("answer to {client_id}: {}", String::from_utf8_lossy(body))
}

/// Event of a stream.
pub(crate) fn event(client_id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {client_id}/{number}\n\n")
}

impl SoakEndpoint {
    pub(crate) fn start(work: Work, number: usize, domain: &'static str, ledger: Arc<Ledger>) -> Self {
        let past = Instant::now();
        let id = format!("{work}-{number}-1");
        let state = State { id, loses_until: past, fails_until: past, full_until: past };
        let state = Arc::new(Mutex::new(state));
        let answering = state.clone();
        let (server, _) = serve(move |got| answer(work, number, &answering, &ledger, got));
        Self { link: Proxy::to(server), work, number, domain, state }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lists the endpoint at the store.
    pub(crate) fn list(&self, store: &Store, is_draining: bool) {
        let id = self.state().id.clone();
        let endpoint = Endpoint {
            id: id.parse().expect("ids of the soak are valid"),
            pool: self.work.to_string().parse().expect("pools of the soak are valid"),
            address: self.address(),
            failure_domain: self.domain.parse().expect("failure domains of the soak are valid"),
            is_draining,
            slots: 6,
            started_at_unix_ms: 1,
        };
        store.put(names::ENDPOINT_TABLE, &id, encode_endpoint(&endpoint));
    }

    /// Takes the entry away and starts anew under another id at the same address.
    pub(crate) fn start_anew(&self, store: &Store, start: u64) {
        let old = std::mem::replace(&mut self.state().id, format!("{}-{}-{start}", self.work, self.number));
        store.remove(names::ENDPOINT_TABLE, &old);
        self.list(store, false);
    }

    fn address(&self) -> SocketAddr {
        self.link.address
    }

    pub(crate) fn lose_answers(&self, ms: u64) {
        self.state().loses_until = Instant::now() + Duration::from_millis(ms);
    }

    pub(crate) fn fail(&self, ms: u64) {
        self.state().fails_until = Instant::now() + Duration::from_millis(ms);
    }

    pub(crate) fn be_full(&self, ms: u64) {
        self.state().full_until = Instant::now() + Duration::from_millis(ms);
    }
}

fn not_run(status: u16) -> Reply {
    Reply { headers: vec![(names::NOT_RUN, "1".to_owned())], ..Reply::new(status, "") }
}

fn answer(work: Work, number: usize, state: &Mutex<State>, ledger: &Ledger, got: &Got) -> Option<Reply> {
    if got.path.starts_with(names::STAGE_FREE_PATH) {
        return Some(Reply::new(200, ""));
    }
    let now = Instant::now();
    let (id, loses, fails, is_full) = {
        let state = state.lock().unwrap_or_else(PoisonError::into_inner);
        (state.id.clone(), now < state.loses_until, now < state.fails_until, now < state.full_until)
    };
    if got.header(&names::EXPECTED_ENDPOINT).is_some_and(|expected| expected != id) {
        return Some(not_run(421));
    }
    if is_full {
        return Some(not_run(STATUS_FULL));
    }
    let reply = match work {
        Work::Stage => stage(ledger, got),
        Work::Plain | Work::Model => request(work, number, &id, ledger, got, fails),
    };
    reply.filter(|_| !loses)
}

fn request(work: Work, number: usize, id: &str, ledger: &Ledger, got: &Got, fails: bool) -> Option<Reply> {
    let client_id = got.header(&names::ATTEMPT_ID).unwrap_or_default().to_owned();
    let inputs = got.header(&names::INPUT_HANDLES).unwrap_or_default();
    if work == Work::Model {
        ledger.check_handles(&client_id, inputs.split(',').filter(|handle| !handle.is_empty()));
    }
    ledger.on_run(&client_id, number, id, got);
    if fails {
        return Some(Reply { status: 500, ..Reply::signed(got, "failed") });
    }
    if work == Work::Plain {
        return Some(Reply { after: PLAIN_WORK, ..Reply::signed(got, plain_answer(&client_id, &got.body)) });
    }
    let first = got.header(&names::LAST_EVENT_ID).and_then(|last| last.parse::<u64>().ok()).map_or(0, |last| last + 1);
    let parts: Vec<Bytes> = (first..EVENTS).map(|number| event(&client_id, number).into()).collect();
    let mut reply = Reply::signed(got, "");
    reply.headers.push((http::header::CONTENT_TYPE, "text/event-stream".to_owned()));
    Some(Reply { parts, pause: EVENT_PAUSE, ..reply })
}

fn stage(ledger: &Ledger, got: &Got) -> Option<Reply> {
    let entries = decode_stage_call(&got.body).ok()?;
    let make = |entry: &boragepass_path::CallEntry| {
        if let PieceInputs::Inputs(handles) = &entry.inputs {
            ledger.check_handles(&entry.client_id, handles.iter().map(|handle| &**handle));
        }
        ledger.check_known(&entry.client_id);
        PieceOutcome::Computed(format!("127.0.0.1:1/{}.{}.{}", entry.client_id, entry.stage, entry.piece).into())
    };
    let results: Vec<PieceOutcome> = entries.iter().map(make).collect();
    Some(Reply { after: STAGE_WORK, ..Reply::new(200, encode_stage_results(&results)) })
}
