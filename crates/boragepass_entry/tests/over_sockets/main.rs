//! An entry VM as a process, between a client and fakes of the store and endpoints that speak the
//! platform's protocol.

mod broken_streams;
mod descriptors;
mod kept_entries;
mod late_copies;
mod odd_rows;
mod slow_store;
mod support;

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use boragepass_path::{Endpoint, PieceOutcome};
use boragepass_platform::{decode_stage_call, encode_endpoint, encode_stage_results, names};
use boragepass_soak::Store;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use support::{
    ClientAnswer, EntryVm, ReceivedRequest, Reply, free_port, get, send_request, serve, stage_endpoint, store,
};

const CONFIGURATION: &str = include_str!("../../../../platform/tests/fixtures/site.json");
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
        software_version: "1".parse().ok(),
        cold_left_ms: boragepass_types::SpanMs(0),
    }
}

fn start_vm(endpoints: &[Endpoint]) -> EntryVm {
    let vm = EntryVm::start(store(CONFIGURATION, endpoints));
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

fn post(vm: &EntryVm, path: &str, id: &str) -> ClientAnswer {
    send_request(vm.address("clients"), client_request(path, id, "body"))
}

fn request_count(requests: &std::sync::Mutex<Vec<ReceivedRequest>>) -> usize {
    requests.lock().expect("the lock is not poisoned").len()
}

/// The model engine must get the client's body with the headers of the platform: the results of the stages
/// as inputs, the workspace, and the endpoint it has to check, but not the client's key.
#[test]
fn a_request_passes_its_stages_and_streams_to_its_client() {
    let (model_endpoint, model_requests) = serve(|got| Some(Reply::signed(got, STREAM)));
    let (stage_address, stage_calls) = stage_endpoint();
    let vm = start_vm(&[endpoint("i-models", "models", model_endpoint), endpoint("i-rates", "rates", stage_address)]);
    let answer = post(&vm, "/reviews/7", "request-1");
    assert_eq!((answer.status, answer.body.as_deref()), (200, Ok(STREAM)));
    assert!(answer.headers.contains_key(names::SIGNATURE));
    let got = model_requests.lock().expect("the lock is not poisoned")[0].clone();
    assert_eq!(got.header(&names::EXPECTED_ENDPOINT), Some("i-models"));
    assert_eq!(got.header(&names::WORKSPACE), Some("bozi300"));
    assert_eq!(got.header(&http::header::AUTHORIZATION), None);
    // The second stage computes one piece from the two of the first; only its result is an input of the model engine.
    assert_eq!(got.header(&names::INPUT_HANDLES), Some("10.0.0.1:1/2"));
    assert_eq!(&got.body[..], b"body");
    assert!(request_count(&stage_calls) >= 2, "each stage calls the pool");
    let log_lines = vm.lines_of("request-1");
    for what in ["request admitted", "pieces asked for", "request sent", "first event", "stream ended whole"] {
        assert!(log_lines.iter().any(|line| line.contains(what)), "{what} is logged: {log_lines:?}");
    }
}

/// An endpoint that closes the connection without a reply may have run the request. A retry of a request
/// that is not idempotent could run it twice.
#[test]
fn a_lost_reply_is_retried_only_for_idempotent_requests() {
    let (losing_endpoint, _) = serve(|_| None);
    let (replying_endpoint, replying_requests) = serve(|got| Some(Reply::signed(got, "sound")));
    let losing_vm = start_vm(&[endpoint("i-losing", "api", losing_endpoint)]);
    let answer = post(&losing_vm, "/deposits/1", "deposit-1");
    assert_eq!(answer.status, 502, "the status does not claim that the deposit did not run");
    let vm = start_vm(&[endpoint("i-losing", "api", losing_endpoint), endpoint("i-sound", "api", replying_endpoint)]);
    for number in 0..4 {
        let answer = post(&vm, "/status/1", &format!("status-{number}"));
        assert_eq!((answer.status, answer.body.as_deref()), (200, Ok("sound")));
    }
    assert!(request_count(&replying_requests) >= 4);
}

/// A full endpoint must not be asked again at once: the client gets a refusal that says when to retry.
#[test]
fn a_refusal_carries_retry_after() {
    let (full_endpoint, full_requests) = serve(|got| {
        let id = got.header(&names::ATTEMPT_ID).unwrap_or_default().to_owned();
        Some(Reply { headers: vec![(names::NOT_RUN, "1".to_owned()), (names::ATTEMPT_ID, id)], ..Reply::new(503, "") })
    });
    let vm = start_vm(&[endpoint("i-full", "api", full_endpoint)]);
    let answer = post(&vm, "/deposits/1", "deposit-1");
    assert_eq!(answer.status, 503);
    let retry_after: f64 = answer.headers["retry-after"].to_str().unwrap_or_default().parse().expect("seconds");
    assert!((0.1..2.0).contains(&retry_after), "{retry_after}");
    assert_eq!(request_count(&full_requests), 1);
}

/// A reply without a signature, or with the id of another request, may belong to another client.
#[test]
fn an_unsigned_or_foreign_reply_is_not_relayed() {
    let replies = AtomicU32::new(0);
    let (invalid_endpoint, _) = serve(move |got| {
        let mut reply = Reply::signed(got, "not yours");
        match replies.fetch_add(1, Ordering::Relaxed) {
            0 => reply.headers.retain(|(name, _)| *name != names::SIGNATURE),
            _ => reply.headers[0].1 = "another-request".to_owned(),
        }
        Some(reply)
    });
    let vm = start_vm(&[endpoint("i-odd", "api", invalid_endpoint)]);
    for id in ["deposit-1", "deposit-2"] {
        let answer = post(&vm, "/deposits/1", id);
        assert_eq!(answer.status, 502);
        assert!(!answer.body.unwrap_or_default().contains("not yours"));
    }
}

/// The part of an event that came before the break must not reach the client, since the other endpoint
/// sends that event again in full.
#[test]
fn a_stream_that_breaks_within_an_event_resumes_at_another_endpoint() {
    let runs = Arc::new(AtomicU32::new(0));
    let run_counter = runs.clone();
    let handler = move |got: &ReceivedRequest| {
        let last_event_id = got.header(&names::LAST_EVENT_ID).map(str::to_owned);
        run_counter.fetch_add(1, Ordering::Relaxed);
        let body =
            if last_event_id.as_deref() == Some("0") { "id: 1\ndata: b\n\n" } else { "id: 0\ndata: a\n\nid: 1\nda" };
        Some(Reply::signed(got, body))
    };
    let (first_endpoint, _) = serve(handler.clone());
    let (second_endpoint, _) = serve(handler);
    let (stage_address, _) = stage_endpoint();
    let vm = start_vm(&[
        endpoint("i-one", "models", first_endpoint),
        endpoint("i-other", "models", second_endpoint),
        endpoint("i-rates", "rates", stage_address),
    ]);
    let answer = post(&vm, "/reviews/7", "request-1");
    assert_eq!((answer.status, answer.body.as_deref()), (200, Ok(STREAM)));
    assert_eq!(runs.load(Ordering::Relaxed), 2);
}

/// If the body ended normally, the client would take an incomplete stream for a complete one.
#[test]
fn a_stream_that_cannot_resume_is_aborted() {
    let (broken_endpoint, _) = serve(|got| Some(Reply::signed(got, "id: 0\ndata: a\n\nid: 1\nda")));
    let (stage_address, _) = stage_endpoint();
    let vm = start_vm(&[endpoint("i-torn", "models", broken_endpoint), endpoint("i-rates", "rates", stage_address)]);
    let answer = post(&vm, "/reviews/7", "request-1");
    assert_eq!(answer.status, 200);
    assert!(answer.body.is_err(), "{:?}", answer.body);
}

/// Starts a model engine that begins one answer, of a head and the start of its body, and then ends.
fn ending_engine(framing: &'static str, body: &'static str) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("a request comes");
        let mut request = Vec::new();
        while !request.ends_with(b"body") {
            let mut bytes = [0; 4_096];
            let read = connection.read(&mut bytes).expect("a request comes");
            request.extend_from_slice(&bytes[..read]);
        }
        let text = String::from_utf8_lossy(&request);
        let is_id = |line: &&str| line.to_ascii_lowercase().starts_with(names::ATTEMPT_ID.as_str());
        let id_header = text.lines().find(is_id).expect("the request has an id");
        let answer = format!("HTTP/1.1 200 OK\r\n{id_header}\r\n{}: s\r\n{framing}\r\n{body}", names::SIGNATURE);
        connection.write_all(answer.as_bytes()).expect("the VM reads");
        std::thread::sleep(Duration::from_millis(50));
    });
    address
}

const CHUNKED: &str = "transfer-encoding: chunked\r\n";

/// A stream without a length or chunks ends with its connection, so its end shows only whether the last event is whole.
#[test]
fn a_stream_without_framing_is_complete_if_it_ends_after_an_event() {
    for (body, is_complete) in [(STREAM, true), ("id: 0\ndata: a\n\nid: 1\nda", false), ("", false)] {
        let (stage_address, _) = stage_endpoint();
        let engine = endpoint("i-one", "models", ending_engine("", body));
        let vm = start_vm(&[engine, endpoint("i-rates", "rates", stage_address)]);
        let answer = post(&vm, "/reviews/7", "request-1");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body.is_ok(), is_complete, "{body:?}: {:?}", answer.body);
    }
}

/// The client would take the event for a new one.
#[test]
fn an_event_that_an_engine_sends_twice_is_not_relayed() {
    let (stage_address, _) = stage_endpoint();
    let body = "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 1\ndata: b\n\n";
    let (engine, _) = serve(move |got| Some(Reply::signed(got, body)));
    let vm = start_vm(&[endpoint("i-one", "models", engine), endpoint("i-rates", "rates", stage_address)]);
    let answer = post(&vm, "/reviews/7", "request-1");
    assert!(answer.body.is_err(), "{:?}", answer.body);
}

#[test]
fn a_prompt_part_under_which_two_engines_ended_is_refused() {
    let (stage_address, _) = stage_endpoint();
    let vm = start_vm(&[
        endpoint("i-one", "models", ending_engine(CHUNKED, "")),
        endpoint("i-other", "models", ending_engine(CHUNKED, "")),
        endpoint("i-rates", "rates", stage_address),
    ]);
    let ask = |id: &str, prompt: &str| {
        let mut request = client_request("/reviews/7", id, "body");
        request.headers_mut().insert(names::PROMPT_PARTS, prompt.parse().expect("a valid value"));
        send_request(vm.address("clients"), request)
    };
    assert!(ask("request-1", "a0:100,b0:50,c1:10").body.is_err(), "the answer had begun");
    std::thread::sleep(Duration::from_millis(200));
    let answer = ask("request-2", "a0:100,b0:50,c2:10");
    assert_eq!(answer.status, 503);
    let log_lines = vm.lines_of("request-2");
    assert!(log_lines.iter().any(|line| line.contains("crashes endpoints")), "{log_lines:?}");
    ask("request-3", "a0:100,b1:50,c3:10");
    let log_lines = vm.lines_of("request-3");
    assert!(!log_lines.iter().any(|line| line.contains("crashes endpoints")), "another part: {log_lines:?}");
}

/// Requests that no endpoint may get: an unknown route or key, malformed headers, and a body that is too large.
#[test]
fn bad_requests_are_refused_and_not_sent() {
    let (api_endpoint, api_requests) = serve(|got| Some(Reply::signed(got, "sound")));
    let vm = start_vm(&[endpoint("i-api", "api", api_endpoint)]);
    let clients = vm.address("clients");
    assert_eq!(post(&vm, "/nowhere/1", "r-1").status, 404);
    let mut unknown_key = client_request("/status/1", "r-2", "");
    unknown_key.headers_mut().insert("authorization", "Bearer guessed".parse().expect("a valid value"));
    assert_eq!(send_request(clients, unknown_key).status, 401);
    let mut malformed = client_request("/status/1", "r-3", "");
    malformed.headers_mut().insert(names::PIECES, "many".parse().expect("a valid value"));
    let answer = send_request(clients, malformed);
    assert_eq!(answer.status, 400);
    assert!(answer.body.unwrap_or_default().contains("pieces is not readable"));
    assert_eq!(send_request(clients, client_request("/status/1", "r-4", &"x".repeat(1_001))).status, 413);
    assert_eq!(request_count(&api_requests), 0);
}

/// A stop during a request must not lose its answer, and the platform must see that the VM is not ready.
#[test]
fn a_vm_that_stops_finishes_its_requests() {
    let (slow_endpoint, _) =
        serve(|got| Some(Reply { head_delay: Duration::from_millis(1_000), ..Reply::signed(got, "late") }));
    let mut vm = start_vm(&[endpoint("i-slow", "api", slow_endpoint)]);
    let clients = vm.address("clients");
    let client = std::thread::spawn(move || send_request(clients, client_request("/status/1", "r-1", "")));
    std::thread::sleep(Duration::from_millis(300));
    let process_id = i32::try_from(vm.process().id()).expect("a process id");
    terminate(process_id);
    let answer = client.join().expect("the client got an answer");
    assert_eq!((answer.status, answer.body.as_deref()), (200, Ok("late")));
    assert_eq!(get(vm.address("readiness"), names::READINESS_PATH).status, 503);
    let status = vm.process().wait().expect("the process ends");
    assert!(status.success(), "{status}");
}

fn terminate(process_id: i32) {
    send_signal("-TERM", process_id);
}

fn send_signal(signal: &str, process_id: i32) {
    let sent = std::process::Command::new("kill").arg(signal).arg(process_id.to_string()).status();
    assert!(sent.is_ok_and(|status| status.success()));
}

/// Number of times that a VM read valid settings, their digest, and whether it rejected the file since.
fn settings_status(vm: &EntryVm) -> (u64, String, bool) {
    let status: serde_json::Value = serde_json::from_str(&status_of(vm)).expect("a JSON document");
    let own = &status["vms"][0];
    let digest = own["settings_digest"].as_str().expect("a digest").to_owned();
    (own["settings_reads"].as_u64().expect("a number"), digest, !status["rejected_settings"].is_null())
}

#[test]
fn operators_see_which_settings_a_vm_serves_with_after_the_file_changed() {
    let (slow_endpoint, _) =
        serve(|got| Some(Reply { head_delay: Duration::from_millis(1_000), ..Reply::signed(got, "kept") }));
    let mut vm = start_vm(&[endpoint("i-slow", "api", slow_endpoint)]);
    let process_id = i32::try_from(vm.process().id()).expect("a process id");
    let (first_reads, first_digest, is_rejected) = settings_status(&vm);
    assert_eq!((first_reads, is_rejected), (1, false));
    let clients = vm.address("clients");
    let client = std::thread::spawn(move || send_request(clients, client_request("/status/1", "r-1", "")));
    std::thread::sleep(Duration::from_millis(300));

    vm.change_settings("slack = 56", "slack = 57\nkey_of_a_later_build = 1");
    send_signal("-HUP", process_id);
    wait_until("the changed settings are read", || settings_status(&vm).0 == 2);
    let (_, changed_digest, _) = settings_status(&vm);
    assert_ne!(changed_digest, first_digest);

    vm.change_settings("slack = 57", "slack = many");
    wait_until("the bad file is rejected without a signal", || settings_status(&vm).2);
    assert_eq!(settings_status(&vm).1, changed_digest, "the earlier settings stay in force");
    let answer = client.join().expect("the client got an answer");
    assert_eq!((answer.status, answer.body.as_deref()), (200, Ok("kept")));
}

/// A poll that the store received while it was silent must not delay what it confirms once it is back.
#[test]
fn a_configuration_is_in_force_soon_after_a_silent_store_is_back() {
    const SILENCE_MS: u64 = 7_000;
    const IN_FORCE_WITHIN_MS: u64 = 4_000;
    let store = Store::start();
    store.put_row(names::CONFIGURATION_TABLE, names::CONFIGURATION_KEY, CONFIGURATION.into());
    let (api_endpoint, _) = serve(|got| Some(Reply::signed(got, "sound")));
    let api = endpoint("i-api", "api", api_endpoint);
    store.put_row(names::ENDPOINT_TABLE, api.id.as_str(), encode_endpoint(&api));
    let vm = EntryVm::start(store.address);
    vm.wait_ready();
    store.go_silent(SILENCE_MS);
    std::thread::sleep(Duration::from_millis(SILENCE_MS));
    let newer_configuration = CONFIGURATION.replacen("\"version\": 1", "\"version\": 2", 1);
    store.put_row(names::CONFIGURATION_TABLE, names::CONFIGURATION_KEY, newer_configuration.into());
    let is_in_force = || configuration_of(&vm) == Some(2);
    let returned_at = std::time::Instant::now();
    while !is_in_force() {
        let elapsed = returned_at.elapsed();
        assert!(elapsed < Duration::from_millis(IN_FORCE_WITHIN_MS), "not in force {elapsed:?} after the return");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn status_of(vm: &EntryVm) -> String {
    get(vm.address("operators"), "/v1/status").body.unwrap_or_default()
}

/// Version of the configuration that a VM itself has in force.
fn configuration_of(vm: &EntryVm) -> Option<u64> {
    let status: serde_json::Value = serde_json::from_str(&status_of(vm)).expect("a JSON document");
    status["configuration"].as_u64()
}

fn wait_until(what: &str, mut is_done: impl FnMut() -> bool) {
    for _ in 0..100 {
        if is_done() {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("not after 5 s: {what}");
}

/// The store gives the lost versions out again, so a poll after the last known version misses changes.
#[test]
fn changes_are_followed_after_the_store_was_restored_from_a_copy() {
    let store = Store::start();
    let write_configuration = |text: String| {
        store.put_row(names::CONFIGURATION_TABLE, names::CONFIGURATION_KEY, text.into());
    };
    let (api_endpoint, _) = serve(|got| Some(Reply::signed(got, "sound")));
    let list = |id: &str, is_draining| {
        let entry = Endpoint { is_draining, ..endpoint(id, "api", api_endpoint) };
        store.put_row(names::ENDPOINT_TABLE, id, encode_endpoint(&entry));
    };
    write_configuration(CONFIGURATION.into());
    list("i-first", false);
    let copied_version = store.version();
    let vm = EntryVm::start(store.address);
    vm.wait_ready();
    wait_until("the VM registers", || store.has_row(names::VM_TABLE, "entry-1"));
    list("i-second", false);
    // The last of many changes has a version that the store reaches again only later.
    (0..20).for_each(|number| list("i-second", number % 2 == 0));
    wait_until("the VM has the newest list", || status_of(&vm).contains(&format!("{}", store.version())));
    store.restore_copy(copied_version);
    write_configuration(CONFIGURATION.replacen("\"version\": 1", "\"version\": 2", 1));
    list("i-third", false);
    store.remove_row(names::ENDPOINT_TABLE, "i-first");
    wait_until("the configuration is in force", || configuration_of(&vm) == Some(2));
    wait_until("the added endpoint is known", || status_of(&vm).contains("i-third"));
    wait_until("the removed endpoint is gone", || !status_of(&vm).contains("i-first"));
    wait_until("the VM registers again", || store.has_row(names::VM_TABLE, "entry-1"));
}

/// A VM that shares the older configuration of a restored store would take back a change on VMs that start later.
#[test]
fn a_vm_shares_the_configuration_in_force_and_not_an_older_one_of_the_store() {
    let store = Store::start();
    let (api_endpoint, _) = serve(|got| Some(Reply::signed(got, "sound")));
    store.put_row(names::ENDPOINT_TABLE, "i-api", encode_endpoint(&endpoint("i-api", "api", api_endpoint)));
    store.put_row(names::CONFIGURATION_TABLE, names::CONFIGURATION_KEY, CONFIGURATION.into());
    let copied_version = store.version();
    let peer_port = free_port();
    let peers_at = |ip: &str| ("peers = 127.0.0.1:0", format!("peers = {ip}:{peer_port}"));
    let vm = EntryVm::start_with(store.address, &[peers_at("127.0.0.1")]);
    vm.wait_ready();
    let newer_configuration = CONFIGURATION.replacen("\"version\": 1", "\"version\": 2", 1);
    store.put_row(names::CONFIGURATION_TABLE, names::CONFIGURATION_KEY, newer_configuration.into());
    wait_until("the change is in force", || configuration_of(&vm) == Some(2));
    store.restore_copy(copied_version);
    wait_until("the VM reads the restored store", || status_of(&vm).contains("\"store_era\":2"));
    std::thread::sleep(Duration::from_millis(500));
    // This VM does not reach the store, so it learns everything from the other one.
    let unreachable_store = SocketAddr::from(([127, 0, 0, 1], free_port()));
    let lines = [
        peers_at("127.0.0.2"),
        ("vm = entry-1", "vm = entry-2".to_owned()),
        ("seeds =", "seeds = 127.0.0.1:1".to_owned()),
    ];
    let later_vm = EntryVm::start_with(unreachable_store, &lines);
    wait_until("the later VM has a configuration", || configuration_of(&later_vm).is_some());
    assert_eq!(configuration_of(&later_vm), Some(2));
}

/// Two engines of different versions serve, and each breaks off within the second event of a stream.
#[test]
fn a_stream_taken_up_at_another_vm_goes_on_at_the_version_that_began_it() {
    let engine = |version: &'static str| {
        let (address, _) = serve(move |got| {
            let is_resumed = got.header(&names::LAST_EVENT_ID).is_some();
            let begin = format!("id: 0\ndata: {version}\n\nid: 1\nda");
            let rest = format!("id: 1\ndata: {version}\n\n");
            Some(Reply::signed(got, if is_resumed { rest } else { begin }))
        });
        Endpoint { software_version: version.parse().ok(), ..endpoint(&format!("i-{version}"), "models", address) }
    };
    let (stage_address, _) = stage_endpoint();
    let rates = endpoint("i-rates", "rates", stage_address);
    let store = store(CONFIGURATION, &[engine("v1"), engine("v2"), rates]);
    let peer_port = free_port();
    let lines = |vm: &str, ip: &str| {
        [
            ("peers = 127.0.0.1:0", format!("peers = {ip}:{peer_port}")),
            ("vm = entry-1", format!("vm = {vm}")),
            ("seeds =", "seeds = 127.0.0.1:1".to_owned()),
        ]
    };
    let first_vm = EntryVm::start_with(store, &lines("entry-1", "127.0.0.1"));
    let other_vm = EntryVm::start_with(store, &lines("entry-2", "127.0.0.2"));
    first_vm.wait_ready();
    other_vm.wait_ready();
    wait_until("the VMs hear each other", || status_of(&first_vm).contains("entry-2"));
    for number in 0..6 {
        let stream = format!("stream-{number}");
        assert!(post(&first_vm, "/reviews/7", &stream).body.is_err(), "the stream breaks off");
        let log_lines = first_vm.lines_of(&stream);
        let began_at =
            if log_lines.iter().any(|line| line.contains("\"software_version\":\"v1\"")) { "v1" } else { "v2" };
        let mut request = client_request("/reviews/7", &format!("next-{number}"), "body");
        request.headers_mut().insert(names::LAST_EVENT_ID, "0".parse().expect("a valid value"));
        request.headers_mut().insert(names::FIRST_ATTEMPT_ID, stream.parse().expect("a valid value"));
        let answer = send_request(other_vm.address("clients"), request);
        assert_eq!(answer.body, Ok(format!("id: 1\ndata: {began_at}\n\n")));
    }
}

/// Engine of a version whose first reply breaks off within its second event.
fn breaking_engine(version: &'static str) -> Endpoint {
    let (address, _) = serve(move |got| {
        let is_resumed = got.header(&names::LAST_EVENT_ID).is_some();
        let begin = format!("id: 0\ndata: {version}\n\nid: 1\nda");
        let rest = format!("id: 1\ndata: {version}\n\n");
        Some(Reply::signed(got, if is_resumed { rest } else { begin }))
    });
    Endpoint { software_version: version.parse().ok(), ..endpoint(&format!("i-{version}"), "models", address) }
}

/// Rows that are not understood must not hide the others.
#[test]
fn streams_go_on_at_their_version_after_the_only_vm_was_killed() {
    let store = Store::start();
    store.put_row(names::CONFIGURATION_TABLE, names::CONFIGURATION_KEY, CONFIGURATION.into());
    let rates = endpoint("i-rates", "rates", stage_endpoint().0);
    for endpoint in [breaking_engine("v1"), breaking_engine("v2"), rates] {
        store.put_row(names::ENDPOINT_TABLE, endpoint.id.as_str(), encode_endpoint(&endpoint));
    }
    let first_vm = EntryVm::start(store.address);
    first_vm.wait_ready();
    let streams: Vec<_> = (0..6).map(|number| format!("stream-{number}")).collect();
    let begin = |stream: &String| {
        assert!(post(&first_vm, "/reviews/7", stream).body.is_err(), "the stream breaks off");
        let is_first = |line: &String| line.contains("\"software_version\":\"v1\"");
        if first_vm.lines_of(stream).iter().any(is_first) { "v1" } else { "v2" }
    };
    let versions: Vec<_> = streams.iter().map(begin).collect();
    wait_until("the streams are recorded", || !first_vm.lines_of("recording stream versions").is_empty());
    std::thread::sleep(Duration::from_millis(300));
    drop(first_vm);
    store.put_row(names::STREAM_VERSIONS_TABLE, "00399", b"not a row".to_vec());
    store.put_row(names::STREAM_VERSIONS_TABLE, "no-slot", b"[]\n".to_vec());
    let next_vm = EntryVm::start(store.address);
    next_vm.wait_ready();
    wait_until("the table is read", || !next_vm.lines_of("stream versions read").is_empty());
    assert_eq!(next_vm.lines_of("row of stream versions not understood").len(), 2);
    for (stream, version) in streams.into_iter().zip(versions) {
        let mut request = client_request("/reviews/7", &format!("next-{stream}"), "body");
        request.headers_mut().insert(names::LAST_EVENT_ID, "0".parse().expect("a valid value"));
        request.headers_mut().insert(names::FIRST_ATTEMPT_ID, stream.parse().expect("a valid value"));
        let answer = send_request(next_vm.address("clients"), request);
        assert_eq!(answer.body, Ok(format!("id: 1\ndata: {version}\n\n")));
    }
}

/// Starts an endpoint that replies to each request with some bytes and then with others without end. It counts the
/// connections that the VM closed.
fn endless_endpoint(begin: &'static str, repeated: &'static [u8]) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let closed_connections = Arc::new(AtomicU32::new(0));
    let closed_counter = closed_connections.clone();
    std::thread::spawn(move || {
        for connection in listener.incoming() {
            let mut connection = connection.expect("a connection");
            let closed_counter = closed_counter.clone();
            std::thread::spawn(move || {
                let mut request = Vec::new();
                let mut bytes = [0; 4_096];
                while !request.ends_with(b"body") && !request.ends_with(b"]}") {
                    match connection.read(&mut bytes) {
                        Ok(read @ 1..) => request.extend_from_slice(&bytes[..read]),
                        _ => return,
                    }
                }
                let text = String::from_utf8_lossy(&request).into_owned();
                let is_id = |line: &&str| line.to_ascii_lowercase().starts_with(names::ATTEMPT_ID.as_str());
                let id_header = text.lines().find(is_id).unwrap_or_default();
                let begin = begin.replace("ID", id_header).replace("SIGNATURE", names::SIGNATURE.as_str());
                connection.write_all(begin.as_bytes()).ok();
                // Bounded, so that the thread ends even if the VM reads on.
                for _ in 0..2_000_000_000_usize / repeated.len() {
                    if connection.write_all(repeated).is_err() {
                        closed_counter.fetch_add(1, Ordering::Relaxed);
                        return;
                    }
                }
            });
        }
    });
    (address, closed_connections)
}

/// Largest memory that a process has had, in kilobytes.
fn peak_memory_kb(vm: &mut EntryVm) -> u64 {
    let path = format!("/proc/{}/status", vm.process().id());
    let status = std::fs::read_to_string(path).expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("the peak is listed");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("a number")
}

const ENDLESS_BLOCK: &[u8] = &[b'x'; 65_536];
/// Memory that the platform gives a VM.
const VM_MEMORY_KB: u64 = 260 * 1_024;

/// The two VMs have stores of their own, and the first one's names addresses where nothing listens.
#[test]
fn a_vm_without_links_to_endpoints_relays_requests_to_another_one() {
    let (api, api_requests) = serve(|got| {
        if got.path.ends_with("/leave") {
            return Some(leaving_reply(Reply::signed(got, "gone soon")));
        }
        let is_lookup = got.path.starts_with("/status/");
        Some(if is_lookup { Reply::signed(got, "sound") } else { Reply { status: 409, ..Reply::signed(got, "taken") } })
    });
    let (engine, _) = serve(|got| Some(Reply::signed(got, STREAM)));
    let (stage_address, _) = stage_endpoint();
    let names_and_pools = [("i-api", "api"), ("i-engine", "models"), ("i-rates", "rates")];
    let live = [api, engine, stage_address];
    let endpoints_at = |addresses: [SocketAddr; 3]| -> Vec<Endpoint> {
        names_and_pools.iter().zip(addresses).map(|((id, pool), address)| endpoint(id, pool, address)).collect()
    };
    let dead = [(); 3].map(|()| SocketAddr::from(([127, 0, 0, 1], free_port())));
    let peer_port = free_port();
    let lines = |vm: &str, ip: &str| {
        [
            ("peers = 127.0.0.1:0", format!("peers = {ip}:{peer_port}")),
            ("vm = entry-1", format!("vm = {vm}")),
            ("seeds =", "seeds = 127.0.0.1:1".to_owned()),
        ]
    };
    let sound_vm = EntryVm::start_with(store(CONFIGURATION, &endpoints_at(live)), &lines("entry-1", "127.0.0.1"));
    let cut_vm = EntryVm::start_with(store(CONFIGURATION, &endpoints_at(dead)), &lines("entry-2", "127.0.0.2"));
    sound_vm.wait_ready();
    cut_vm.wait_ready();
    wait_until("the VMs hear each other", || status_of(&cut_vm).contains("entry-1"));
    wait_until("the VM finds that it reaches no endpoint", || {
        post(&cut_vm, "/status/1", "early");
        post(&cut_vm, "/reviews/7", "early");
        !cut_vm.lines_of("no endpoint reached").is_empty()
    });
    let lookup = post(&cut_vm, "/status/1", "lookup");
    assert_eq!((lookup.status, lookup.body), (200, Ok("sound".to_owned())));
    assert!(lookup.headers.contains_key(names::SIGNATURE));
    assert_eq!(post(&cut_vm, "/reviews/7", "review").body, Ok(STREAM.to_owned()));
    let deposit = post(&cut_vm, "/deposits/1", "deposit");
    assert_eq!((deposit.status, deposit.body), (409, Ok("taken".to_owned())));
    let keyless = Request::post("/status/1").header("host", "gigs.example").header(names::ATTEMPT_ID, "keyless");
    let keyless = keyless.body(Full::new(Bytes::from("body"))).expect("a valid request");
    assert_eq!(send_request(cut_vm.address("clients"), keyless).status, 401);
    let is_workspace_stated = |got: &ReceivedRequest| got.header(&names::WORKSPACE).is_some();
    assert!(api_requests.lock().expect("the lock is not poisoned").iter().all(is_workspace_stated));
    let addresses = |vm: &EntryVm| {
        let path = format!("{}?region=lagos&zone=lagos-a", names::ADDRESSES_PATH);
        get(vm.address("addresses"), &path).body.unwrap_or_default()
    };
    let leave = post(&cut_vm, "/status/leave", "leave");
    assert_eq!(leave.body, Ok("gone soon".to_owned()));
    assert!(!format!("{:?}", leave.headers).contains("i-api"), "{:?}", leave.headers);
    assert!(!cut_vm.lines_of("endpoint announces its leaving").is_empty(), "the VM relayed the announcement");
    for vm in [&sound_vm, &cut_vm] {
        assert!(!addresses(vm).contains(&cut_vm.address("clients").to_string()), "{}", addresses(vm));
    }
}

fn leaving_reply(reply: Reply) -> Reply {
    let mut reply = reply;
    reply.headers.push((names::LEAVING, "1".to_owned()));
    reply
}

/// Starts an endpoint that announces its leaving in the head of each reply and closes the connection before the body. It
/// counts its requests.
fn leaving_endpoint_without_bodies() -> (SocketAddr, Arc<AtomicU32>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let requests = Arc::new(AtomicU32::new(0));
    let request_counter = requests.clone();
    std::thread::spawn(move || {
        for connection in listener.incoming() {
            let mut connection = connection.expect("a connection");
            let mut request = Vec::new();
            let mut bytes = [0; 4_096];
            while !request.ends_with(b"body") {
                let read = connection.read(&mut bytes).expect("a request comes");
                request.extend_from_slice(&bytes[..read]);
            }
            request_counter.fetch_add(1, Ordering::Relaxed);
            let text = String::from_utf8_lossy(&request);
            let is_id = |line: &&str| line.to_ascii_lowercase().starts_with(names::ATTEMPT_ID.as_str());
            let id_header = text.lines().find(is_id).expect("the request has an id");
            let leaving = names::LEAVING;
            let head = format!("HTTP/1.1 200 OK\r\n{id_header}\r\n{leaving}: 1\r\ncontent-length: 9\r\n\r\n");
            connection.write_all(head.as_bytes()).expect("the VM reads");
        }
    });
    (address, requests)
}

#[test]
fn an_endpoint_that_announces_its_leaving_in_a_reply_without_its_body_gets_no_further_request() {
    let (leaving, leaving_requests) = leaving_endpoint_without_bodies();
    let (staying, _) = serve(|got| Some(Reply::signed(got, "sound")));
    let vm = start_vm(&[endpoint("i-leaving", "api", leaving), endpoint("i-staying", "api", staying)]);
    let statuses: Vec<_> = (0..12).map(|number| post(&vm, "/status/1", &format!("r-{number}")).status).collect();
    assert_eq!(statuses, [200; 12]);
    assert_eq!(leaving_requests.load(Ordering::Relaxed), 1);
}

/// The first restart does not end the leaving, the second does.
#[test]
fn an_endpoint_that_left_is_used_after_a_restart_once_it_no_longer_announces_its_leaving() {
    let is_leaving = Arc::new(AtomicBool::new(true));
    let (endpoint_is_leaving, store) = (is_leaving.clone(), Store::start());
    let (address, received) = serve(move |got| {
        let reply = Reply::signed(got, "sound");
        Some(if endpoint_is_leaving.load(Ordering::Relaxed) { leaving_reply(reply) } else { reply })
    });
    let (staying, _) = serve(|got| Some(Reply::signed(got, "sound")));
    let restart = |started_at_unix_ms: u64| {
        let entry = Endpoint { started_at_unix_ms, ..endpoint("i-leaving", "api", address) };
        store.put_row(names::ENDPOINT_TABLE, "i-leaving", encode_endpoint(&entry));
    };
    let received_count = |is_query: bool| {
        let received = received.lock().expect("the lock is not poisoned");
        received.iter().filter(|got| got.path.starts_with("/healthz") == is_query).count()
    };
    store.put_row(names::ENDPOINT_TABLE, "i-staying", encode_endpoint(&endpoint("i-staying", "api", staying)));
    restart(1);
    store.put_row(names::CONFIGURATION_TABLE, names::CONFIGURATION_KEY, CONFIGURATION.into());
    let vm = EntryVm::start(store.address);
    vm.wait_ready();
    let mut number = 0;
    let mut send = || {
        number += 1;
        assert_eq!(post(&vm, "/status/1", &format!("r-{number}")).status, 200);
    };
    wait_until("the endpoint announces its leaving", || {
        send();
        received_count(false) == 1
    });
    restart(2);
    wait_until("the restarted endpoint is asked", || received_count(true) == 1);
    (0..12).for_each(|_| send());
    assert_eq!(received_count(false), 1);
    is_leaving.store(false, Ordering::Relaxed);
    restart(3);
    wait_until("the restarted endpoint is used", || {
        send();
        received_count(false) > 1
    });
    assert_eq!(received_count(true), 2);
}

#[test]
fn a_stage_endpoint_that_announces_its_leaving_as_results_are_freed_gets_no_further_call() {
    let rates = |is_leaving: bool| {
        serve(move |got| {
            if got.path.starts_with(names::STAGE_FREE_PATH) {
                let reply = Reply::new(200, "");
                return Some(if is_leaving { leaving_reply(reply) } else { reply });
            }
            let entries = decode_stage_call(&got.body).expect("a readable call");
            let results: Vec<_> =
                entries.iter().map(|_| PieceOutcome::Computed(format!("10.0.0.1:1/{is_leaving}").into())).collect();
            Some(Reply::new(200, encode_stage_results(&results)))
        })
    };
    let (engine, _) = serve(|got| Some(Reply::signed(got, STREAM)));
    let ((leaving, leaving_requests), (staying, _)) = (rates(true), rates(false));
    let vm = start_vm(&[
        endpoint("i-leaving", "rates", leaving),
        endpoint("i-staying", "rates", staying),
        endpoint("i-engine", "models", engine),
    ]);
    let is_call = |got: &ReceivedRequest| !got.path.starts_with(names::STAGE_FREE_PATH);
    let calls = || {
        let requests = leaving_requests.lock().expect("the lock is not poisoned");
        (requests.iter().filter(|got| is_call(got)).count(), requests.len())
    };
    let mut number = 0;
    wait_until("the leaving endpoint is asked to free results", || {
        number += 1;
        post(&vm, "/reviews/7", &format!("r-{number}"));
        let (calls, requests) = calls();
        requests > calls
    });
    std::thread::sleep(Duration::from_millis(200));
    let (calls_before, _) = calls();
    (0..12).for_each(|number| assert_eq!(post(&vm, "/reviews/7", &format!("s-{number}")).status, 200));
    assert_eq!(calls().0, calls_before);
}

/// Each reply is read until it is clear that it is none; the client gets an error and the endpoint's connection is closed.
#[test]
fn replies_without_end_are_given_up_within_the_memory_of_a_vm() {
    let head = "HTTP/1.1 200 OK\r\nID\r\nSIGNATURE: s\r\n";
    let replies: [(&str, &str, &'static str, &'static [u8]); 7] = [
        ("/status/1", "api", "HTTP/1.1 200 OK\r\nx-endless: ", ENDLESS_BLOCK),
        ("/status/1", "api", "HTTP/1.1 200 OK\r\n", b"x-more: 1\r\n"),
        ("/status/1", "api", "", ENDLESS_BLOCK),
        ("/status/1", "api", "BODY\r\n", ENDLESS_BLOCK),
        ("/reviews/7", "models", "BODY\r\n", ENDLESS_BLOCK),
        ("/reviews/7", "models", "HTTP/1.1 200 OK\r\nx-endless: ", ENDLESS_BLOCK),
        ("/reviews/7", "rates", "BODY\r\n", ENDLESS_BLOCK),
    ];
    for (path, pool, begin, repeated) in replies {
        let begin: &'static str = Box::leak(begin.replace("BODY\r\n", &format!("{head}\r\n")).into_boxed_str());
        let (address, closed_connections) = endless_endpoint(begin, repeated);
        let (stage_address, _) = stage_endpoint();
        let mut endpoints = vec![endpoint("i-endless", pool, address)];
        if pool != "rates" {
            endpoints.push(endpoint("i-rates", "rates", stage_address));
        }
        let mut vm = start_vm(&endpoints);
        let clients = vm.address("clients");
        let threads = (0..12).map(|number| {
            let request = client_request(path, &format!("endless-{number}"), "body");
            std::thread::spawn(move || send_request(clients, request))
        });
        let threads: Vec<_> = threads.collect();
        for thread in threads {
            let answer = thread.join().expect("the client gets an answer");
            assert!(answer.status >= 500 || answer.body.is_err(), "{pool} {begin:?}: {answer:?}");
        }
        wait_until("connections are closed", || closed_connections.load(Ordering::Relaxed) >= 1);
        let peak_kb = peak_memory_kb(&mut vm);
        assert!(peak_kb < VM_MEMORY_KB, "{pool} {begin:?}: {peak_kb} KB");
        println!("{pool} {begin:?}: {peak_kb} KB {} closed", closed_connections.load(Ordering::Relaxed));
    }
}

/// Status and metrics reflect a request that was served, and the addresses name the VM itself.
#[test]
fn operators_and_clients_read_status_metrics_and_addresses() {
    let (api_endpoint, _) = serve(|got| Some(Reply::signed(got, "sound")));
    let vm = start_vm(&[endpoint("i-api", "api", api_endpoint)]);
    assert_eq!(post(&vm, "/status/1", "r-1").status, 200);
    let status = get(vm.address("operators"), "/v1/status").body.unwrap_or_default();
    assert!(status.contains("i-api") && status.contains("entry-1"), "{status}");
    let metrics = get(vm.address("metrics"), "/metrics").body.unwrap_or_default();
    assert!(metrics.contains(r#"boragepass_records_total{what="reply passed on"} 1"#), "{metrics}");
    let addresses = get(vm.address("addresses"), &format!("{}?region=lagos&zone=lagos-a", names::ADDRESSES_PATH));
    let expected = vm.address("clients").to_string();
    assert!(addresses.body.unwrap_or_default().contains(&expected));
}

/// Guards against an evacuation that the row in the store does not bring about, that a VM without the store does not learn
/// from another one, or that outlives the row.
#[test]
fn an_evacuated_domain_gets_no_request_until_it_is_taken_back() {
    let store = Store::start();
    let (api_endpoint, requests) = serve(|got| Some(Reply::signed(got, "sound")));
    store.put_row(names::ENDPOINT_TABLE, "i-api", encode_endpoint(&endpoint("i-api", "api", api_endpoint)));
    store.put_row(names::CONFIGURATION_TABLE, names::CONFIGURATION_KEY, CONFIGURATION.into());
    let peer_port = free_port();
    let peers_at = |ip: &str| ("peers = 127.0.0.1:0", format!("peers = {ip}:{peer_port}"));
    let vm = EntryVm::start_with(store.address, &[peers_at("127.0.0.1")]);
    vm.wait_ready();
    let unreachable_store = SocketAddr::from(([127, 0, 0, 1], free_port()));
    let lines = [
        peers_at("127.0.0.2"),
        ("vm = entry-1", "vm = entry-2".to_owned()),
        ("seeds =", "seeds = 127.0.0.1:1".to_owned()),
    ];
    let cut_off_vm = EntryVm::start_with(unreachable_store, &lines);
    cut_off_vm.wait_ready();
    let row = format!("{}lagos-a", names::EVACUATION_KEY_PREFIX);
    store.put_row(names::CONFIGURATION_TABLE, &row, b"planned work".to_vec());
    let vms = [&vm, &cut_off_vm];
    let is_evacuated = |vm: &EntryVm| status_of(vm).contains(r#""failure_domain":"lagos-a","known_for_ms""#);
    wait_until("both VMs know the evacuation", || vms.iter().all(|vm| is_evacuated(vm)));
    for (number, vm) in vms.iter().enumerate() {
        let answer = post(vm, "/status/1", &format!("evacuated-{number}"));
        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"));
        let metrics = get(vm.address("metrics"), "/metrics").body.unwrap_or_default();
        assert!(metrics.contains("boragepass_evacuated_domains 1"), "{metrics}");
    }
    assert_eq!(request_count(&requests), 0);
    store.remove_row(names::CONFIGURATION_TABLE, &row);
    wait_until("both VMs know that it ended", || !vms.iter().any(|vm| is_evacuated(vm)));
    for (number, vm) in vms.iter().enumerate() {
        assert_eq!(post(vm, "/status/1", &format!("taken-back-{number}")).status, 200);
    }
}

/// The first VM is in a home region of one route and the second in none. Guards against an address answer that ignores the
/// host, and against a request that is sent to an endpoint outside of its home regions.
#[test]
fn clients_resolve_by_host_and_are_refused_without_an_endpoint_in_a_home_region() {
    let (api_endpoint, api_requests) = serve(|got| Some(Reply::signed(got, "sound")));
    let configuration = CONFIGURATION
        .replace(r#""prefix": "/deposits/","#, r#""prefix": "/deposits/", "allowedRegions": ["oslo"],"#)
        .replace(
            r#""host": "gigs.example", "prefix": "/status/","#,
            r#""host": "homes.example", "prefix": "/status/", "allowedRegions": ["lagos"],"#,
        );
    let endpoints = [endpoint("i-api", "api", api_endpoint)];
    let peer_port = free_port();
    let start = |ip: &str, changed: &[(&str, String)]| {
        let peers = [
            ("peers = 127.0.0.1:0", format!("peers = {ip}:{peer_port}")),
            ("seeds =", "seeds = 127.0.0.1:1".to_owned()),
        ];
        EntryVm::start_with(store(&configuration, &endpoints), &[&peers, changed].concat())
    };
    let home_vm = start("127.0.0.1", &[]);
    let other_vm = start(
        "127.0.0.2",
        &[
            ("vm = entry-1", "vm = entry-2".to_owned()),
            ("region = lagos", "region = oslo".to_owned()),
            ("failure_domain = lagos-a", "failure_domain = oslo-a".to_owned()),
            ("lagos-a = lagos", "lagos-a = lagos\noslo-a = oslo".to_owned()),
        ],
    );
    [&home_vm, &other_vm].into_iter().for_each(EntryVm::wait_ready);
    wait_until("the VMs hear each other", || {
        status_of(&home_vm).contains("entry-2") && status_of(&other_vm).contains("entry-1")
    });
    let resolve = |vm: &EntryVm, query: &str| {
        get(vm.address("addresses"), &format!("{}?{query}", names::ADDRESSES_PATH)).body.unwrap_or_default()
    };
    let (home, other) = (home_vm.address("clients").to_string(), other_vm.address("clients").to_string());
    for vm in [&home_vm, &other_vm] {
        wait_until("all VMs are named without a host", || {
            let all = resolve(vm, "region=quito&zone=quito-a");
            all.contains(&home) && all.contains(&other)
        });
        let of_home_host = resolve(vm, "name=homes.example&region=quito&zone=quito-a");
        assert!(of_home_host.contains(&home) && !of_home_host.contains(&other), "{of_home_host}");
        let of_own_region = resolve(vm, "name=homes.example&region=oslo&zone=oslo-a");
        assert!(of_own_region.contains(&other) && !of_own_region.contains(&home), "{of_own_region}");
    }
    let refused = post(&home_vm, "/deposits/1", "r-home");
    assert_eq!(refused.status, 503);
    assert!(refused.headers.contains_key("retry-after"), "{:?}", refused.headers);
    assert!(refused.body.unwrap_or_default().contains("no endpoint in a home region"));
    assert_eq!(request_count(&api_requests), 0);
    assert!(home_vm.lines_of("r-home").iter().any(|line| line.contains("refused by home regions")));
    let metrics = get(home_vm.address("metrics"), "/metrics").body.unwrap_or_default();
    assert!(metrics.contains(r#"boragepass_records_total{what="refused by home regions"} 1"#), "{metrics}");
}

/// Starts a VM whose settings and configuration state cold starts of the pool `api`, and returns it with its store.
fn vm_with_cold_starts(endpoints: &[Endpoint]) -> EntryVm {
    let configuration = CONFIGURATION.replace(
        r#""name": "api", "healthPath": "/healthz" "#,
        r#""name": "api", "healthPath": "/healthz", "coldStartS": 5, "coldRateS": 2 "#,
    );
    assert!(configuration.contains("coldRateS"), "the fixture has the pool");
    let cold_section = ("[stop]", "[cold]\noverage = 1.5\nslack = 5\n[stop]".to_owned());
    let vm = EntryVm::start_with(store(&configuration, endpoints), &[cold_section]);
    vm.wait_ready();
    vm
}

fn cold_gauge(vm: &EntryVm) -> Option<u64> {
    let text = get(vm.address("metrics"), "/metrics").body.unwrap_or_default();
    text.lines().find_map(|line| line.strip_prefix("boragepass_cold_endpoints ")?.parse().ok())
}

/// An endpoint that comes up under a burst falls over if VMs that read its entry send it what they send others.
#[test]
fn an_endpoint_whose_entry_states_that_it_is_cold_gets_nothing_from_a_vm_that_just_started() {
    let (cold_endpoint, cold_requests) = serve(|got| Some(Reply::signed(got, "cold")));
    let entry = Endpoint { cold_left_ms: boragepass_types::SpanMs(3_000), ..endpoint("i-cold", "api", cold_endpoint) };
    let vm = vm_with_cold_starts(&[entry]);
    assert_eq!(cold_gauge(&vm), Some(1));
    let answer = post(&vm, "/status/1", "r-1");
    assert_eq!((answer.status, request_count(&cold_requests)), (503, 0));
    assert!(answer.headers.contains_key("retry-after"));
    wait_until("the endpoint is warm", || post(&vm, "/status/1", "r-2").status == 200);
    assert_eq!(cold_gauge(&vm), Some(0));
    assert!(!vm.lines_of("endpoint turned cold").is_empty());
    // It is logged with the next heartbeat.
    wait_until("it is logged as warm", || !vm.lines_of("endpoint turned warm").is_empty());
}

/// The entry may come late, so the header of the first reply has to stop the requests that follow.
#[test]
fn a_reply_that_states_that_its_endpoint_is_cold_stops_further_requests() {
    let (cold_endpoint, cold_requests) = serve(|got| {
        let mut reply = Reply::signed(got, "cold");
        reply.headers.push((names::COLD_LEFT_MS, "3000".to_owned()));
        Some(reply)
    });
    let vm = vm_with_cold_starts(&[endpoint("i-cold", "api", cold_endpoint)]);
    assert_eq!(post(&vm, "/status/1", "r-1").status, 200);
    assert_eq!(cold_gauge(&vm), Some(1));
    assert_eq!(post(&vm, "/status/1", "r-2").status, 503);
    assert_eq!(request_count(&cold_requests), 1);
}
