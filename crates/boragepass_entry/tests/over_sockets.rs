//! An entry VM as a process, between a client and stand-ins that speak the platform's protocol.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use boragepass_path::Endpoint;
use boragepass_platform::names;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use support::{ClientAnswer, EntryVm, Got, Reply, ask, get, serve, stage_endpoint, store};

const SITE: &str = include_str!("../../../platform/tests/fixtures/site.json");
const STREAM: &str = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";

fn endpoint(id: &str, pool: &str, address: SocketAddr) -> Endpoint {
    Endpoint {
        id: id.parse().expect("a valid id"),
        pool: pool.parse().expect("a valid name"),
        address,
        failure_domain: "lagos-a".parse().expect("a valid name"),
        is_draining: false,
        slots: 6,
        started_at_unix_ms: 1,
    }
}

fn vm_before(endpoints: &[Endpoint]) -> EntryVm {
    let vm = EntryVm::start(store(SITE, endpoints));
    vm.wait_ready();
    vm
}

fn client_request(path: &str, id: &str, body: &str) -> Request<Full<Bytes>> {
    Request::post(path)
        .header("host", "gigs.example")
        .header(names::ATTEMPT_ID, id)
        .header(names::DEADLINE_MS, "8000")
        .header(names::PIECES, "2,1")
        .header(names::PIECE_KEY, "piece-key")
        .header("authorization", "Bearer key-of-a-client")
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("a valid request")
}

fn send(vm: &EntryVm, path: &str, id: &str) -> ClientAnswer {
    ask(vm.address("clients"), client_request(path, id, "body"))
}

fn count(got: &std::sync::Mutex<Vec<Got>>) -> usize {
    got.lock().expect("no holder panics").len()
}

#[test]
fn a_request_passes_its_stages_and_streams_to_its_client() {
    let (models, at_models) = serve(|got| Some(Reply::signed(got, STREAM)));
    let (rates, at_rates) = stage_endpoint();
    let vm = vm_before(&[endpoint("i-models", "models", models), endpoint("i-rates", "rates", rates)]);
    let answer = send(&vm, "/reviews/7", "request-1");
    assert_eq!((answer.status, answer.body.as_deref()), (200, Ok(STREAM)));
    assert!(answer.headers.contains_key(names::SIGNATURE));
    let got = at_models.lock().expect("no holder panics")[0].clone();
    assert_eq!(got.header(&names::EXPECTED_ENDPOINT), Some("i-models"));
    assert_eq!(got.header(&names::WORKSPACE), Some("bozi300"));
    assert_eq!(got.header(&http::header::AUTHORIZATION), None);
    // The second stage made one piece from the two of the first; only its result goes to the model engine.
    assert_eq!(got.header(&names::INPUTS), Some("10.0.0.1:1/2"));
    assert_eq!(&got.body[..], b"body");
    assert!(count(&at_rates) >= 2, "two calls of pieces");
    let decisions = vm.lines_of("request-1");
    for what in ["request admitted", "pieces asked for", "request sent", "first event", "stream ended whole"] {
        assert!(decisions.iter().any(|line| line.contains(what)), "{what} is logged: {decisions:?}");
    }
}

#[test]
fn a_lost_answer_is_repeated_elsewhere_only_if_that_is_allowed() {
    let (losing, _) = serve(|_| None);
    let (sound, at_sound) = serve(|got| Some(Reply::signed(got, "sound")));
    let lost_only = vm_before(&[endpoint("i-losing", "api", losing)]);
    let answer = send(&lost_only, "/deposits/1", "deposit-1");
    assert_eq!(answer.status, 502, "a deposit that may have run promises nothing");
    let both = vm_before(&[endpoint("i-losing", "api", losing), endpoint("i-sound", "api", sound)]);
    for number in 0..4 {
        let answer = send(&both, "/status/1", &format!("status-{number}"));
        assert_eq!((answer.status, answer.body.as_deref()), (200, Ok("sound")));
    }
    assert!(count(&at_sound) >= 4);
}

#[test]
fn a_refusal_goes_out_with_a_time_to_come_back() {
    let (full, at_full) = serve(|got| {
        let id = got.header(&names::ATTEMPT_ID).unwrap_or_default().to_owned();
        Some(Reply { headers: vec![(names::NOT_RUN, "1".to_owned()), (names::ATTEMPT_ID, id)], ..Reply::new(503, "") })
    });
    let vm = vm_before(&[endpoint("i-full", "api", full)]);
    let answer = send(&vm, "/deposits/1", "deposit-1");
    assert_eq!(answer.status, 503);
    let after: f64 = answer.headers["retry-after"].to_str().unwrap_or_default().parse().expect("seconds");
    assert!((0.1..2.0).contains(&after), "{after}");
    assert_eq!(count(&at_full), 1);
}

#[test]
fn an_answer_without_signature_or_for_another_request_is_not_passed_on() {
    let replies = AtomicU32::new(0);
    let (odd, _) = serve(move |got| {
        let mut reply = Reply::signed(got, "not yours");
        match replies.fetch_add(1, Ordering::Relaxed) {
            0 => reply.headers.retain(|(name, _)| *name != names::SIGNATURE),
            _ => reply.headers[0].1 = "another-request".to_owned(),
        }
        Some(reply)
    });
    let vm = vm_before(&[endpoint("i-odd", "api", odd)]);
    for id in ["deposit-1", "deposit-2"] {
        let answer = send(&vm, "/deposits/1", id);
        assert_eq!(answer.status, 502);
        assert!(!answer.body.unwrap_or_default().contains("not yours"));
    }
}

#[test]
fn a_stream_that_stops_within_an_event_goes_on_at_another_engine() {
    let runs = Arc::new(AtomicU32::new(0));
    let counted = runs.clone();
    let handler = move |got: &Got| {
        let after = got.header(&names::LAST_EVENT_ID).map(str::to_owned);
        counted.fetch_add(1, Ordering::Relaxed);
        let body = if after.as_deref() == Some("0") { "id: 1\ndata: b\n\n" } else { "id: 0\ndata: a\n\nid: 1\nda" };
        Some(Reply::signed(got, body))
    };
    let (one, _) = serve(handler.clone());
    let (other, _) = serve(handler);
    let (rates, _) = stage_endpoint();
    let vm = vm_before(&[
        endpoint("i-one", "models", one),
        endpoint("i-other", "models", other),
        endpoint("i-rates", "rates", rates),
    ]);
    let answer = send(&vm, "/reviews/7", "request-1");
    assert_eq!((answer.status, answer.body.as_deref()), (200, Ok(STREAM)));
    assert_eq!(runs.load(Ordering::Relaxed), 2);
}

#[test]
fn a_stream_that_cannot_go_on_does_not_look_whole() {
    let (torn, _) = serve(|got| Some(Reply::signed(got, "id: 0\ndata: a\n\nid: 1\nda")));
    let (rates, _) = stage_endpoint();
    let vm = vm_before(&[endpoint("i-torn", "models", torn), endpoint("i-rates", "rates", rates)]);
    let answer = send(&vm, "/reviews/7", "request-1");
    assert_eq!(answer.status, 200);
    assert!(answer.body.is_err(), "{:?}", answer.body);
}

#[test]
fn bad_requests_get_a_clear_answer() {
    let (api, at_api) = serve(|got| Some(Reply::signed(got, "sound")));
    let vm = vm_before(&[endpoint("i-api", "api", api)]);
    let clients = vm.address("clients");
    assert_eq!(send(&vm, "/nowhere/1", "r-1").status, 404);
    let mut unknown = client_request("/status/1", "r-2", "");
    unknown.headers_mut().insert("authorization", "Bearer guessed".parse().expect("a valid value"));
    assert_eq!(ask(clients, unknown).status, 401);
    let mut malformed = client_request("/status/1", "r-3", "");
    malformed.headers_mut().insert(names::PIECES, "many".parse().expect("a valid value"));
    let answer = ask(clients, malformed);
    assert_eq!(answer.status, 400);
    assert!(answer.body.unwrap_or_default().contains("pieces is not readable"));
    assert_eq!(ask(clients, client_request("/status/1", "r-4", &"x".repeat(1_001))).status, 413);
    assert_eq!(count(&at_api), 0);
}

#[test]
fn a_vm_that_stops_finishes_what_it_has() {
    let (slow, _) = serve(|got| Some(Reply { after: Duration::from_millis(1_000), ..Reply::signed(got, "late") }));
    let mut vm = vm_before(&[endpoint("i-slow", "api", slow)]);
    let clients = vm.address("clients");
    let asked = std::thread::spawn(move || ask(clients, client_request("/status/1", "r-1", "")));
    std::thread::sleep(Duration::from_millis(300));
    let process = i32::try_from(vm.process().id()).expect("a process id");
    terminate(process);
    let answer = asked.join().expect("the client got an answer");
    assert_eq!((answer.status, answer.body.as_deref()), (200, Ok("late")));
    assert_eq!(get(vm.address("readiness"), names::READINESS_PATH).status, 503);
    let status = vm.process().wait().expect("the process ends");
    assert!(status.success(), "{status}");
}

fn terminate(process: i32) {
    let sent = std::process::Command::new("kill").arg("-TERM").arg(process.to_string()).status();
    assert!(sent.is_ok_and(|status| status.success()));
}

#[test]
fn operators_see_what_a_vm_knows() {
    let (api, _) = serve(|got| Some(Reply::signed(got, "sound")));
    let vm = vm_before(&[endpoint("i-api", "api", api)]);
    assert_eq!(send(&vm, "/status/1", "r-1").status, 200);
    let status = get(vm.address("operators"), "/v1/status").body.unwrap_or_default();
    assert!(status.contains("i-api") && status.contains("entry-1"), "{status}");
    let metrics = get(vm.address("metrics"), "/metrics").body.unwrap_or_default();
    assert!(metrics.contains(r#"boragepass_records_total{what="reply passed on"} 1"#), "{metrics}");
    let addresses = get(vm.address("addresses"), &format!("{}?region=lagos&zone=lagos-a", names::ADDRESSES_PATH));
    let expected = vm.address("clients").to_string();
    assert!(addresses.body.unwrap_or_default().contains(&expected));
}
