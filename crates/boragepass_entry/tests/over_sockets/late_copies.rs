//! Endpoints that send copies of earlier answers where the answer to another request is due.

use std::net::SocketAddr;
use std::time::Duration;

use boragepass_path::PieceOutcome;
use boragepass_platform::{encode_stage_results, names};

use crate::support::{
    Answer, ClientAnswer, EntryVm, Received, Reply, Runs, copying_engine, free_port, raw_answer, send_request, serve,
    signed_answer, stage_endpoint, store,
};
use crate::{CONFIGURATION, client_request, endpoint, post, start_vm, status_of, wait_until};

/// Runs all requests but those whose path ends with "full", which it rejects.
fn engine_that_copies(rejection: impl Fn(&Received) -> String + Send + Sync + 'static) -> (SocketAddr, Runs) {
    copying_engine(move |received| match received.path.ends_with("full") {
        true => Answer::Reject(rejection(received)),
        false => Answer::Run(signed_answer(received, "ran")),
    })
}

fn not_run_header() -> String {
    format!("{}: 1\r\n", names::NOT_RUN)
}

fn unnamed_rejection(_: &Received) -> String {
    raw_answer("503 Service Unavailable", &not_run_header(), "")
}

fn named_rejection(received: &Received) -> String {
    let headers = format!("{}{}: {}\r\n", not_run_header(), names::ATTEMPT_ID, received.attempt);
    raw_answer("503 Service Unavailable", &headers, "")
}

fn misdirected(_: &Received) -> String {
    raw_answer("421 Misdirected Request", "", "")
}

fn runs_of(runs: &[&Runs], attempt: &str) -> u32 {
    let count = |runs: &&Runs| runs.lock().expect("the lock is not poisoned").get(attempt).copied().unwrap_or(0);
    runs.iter().map(count).sum()
}

/// Waits for longer than a full endpoint is left alone, and shorter than connections are kept.
fn wait_for_reuse() {
    std::thread::sleep(Duration::from_millis(400));
}

fn is_refusal(answer: &ClientAnswer) -> bool {
    [408, 421, 429, 503].contains(&answer.status)
}

#[test]
fn a_booking_is_not_refused_as_not_run_on_a_late_copy_of_a_rejection_of_another_request() {
    for rejection in [unnamed_rejection, named_rejection, misdirected] {
        let (engine, runs) = engine_that_copies(rejection);
        let vm = start_vm(&[endpoint("i-one", "api", engine)]);
        post(&vm, "/deposits/full", "booking-1");
        wait_for_reuse();
        let answer = post(&vm, "/deposits/1", "booking-2");
        assert!(!is_refusal(&answer) || runs_of(&[&runs], "booking-2") == 0, "{answer:?}");
    }
}

#[test]
fn a_booking_does_not_run_twice_on_a_late_copy_of_a_rejection_of_another_request() {
    let engines = [(); 2].map(|()| engine_that_copies(unnamed_rejection));
    let vm = start_vm(&[endpoint("i-one", "api", engines[0].0), endpoint("i-other", "api", engines[1].0)]);
    post(&vm, "/deposits/full", "booking-1");
    wait_for_reuse();
    let answer = post(&vm, "/deposits/1", "booking-2");
    assert_eq!(runs_of(&[&engines[0].1, &engines[1].1], "booking-2"), 1, "{answer:?}");
    assert_eq!(answer.status, 200);
}

/// The client's second request has the attempt id of the first one, as if another VM had relayed it after a rejection.
#[test]
fn a_booking_is_not_refused_as_not_run_on_a_late_copy_of_a_rejection_of_its_own_earlier_send() {
    let (engine, runs) = engine_that_copies(named_rejection);
    let vm = start_vm(&[endpoint("i-one", "api", engine)]);
    post(&vm, "/deposits/full", "booking-1");
    wait_for_reuse();
    let answer = post(&vm, "/deposits/1", "booking-1");
    assert!(!is_refusal(&answer) || runs_of(&[&runs], "booking-1") == 0, "{answer:?}");
}

/// A route that allows two attempts, so that the first one may go over a kept connection.
#[test]
fn a_lookup_is_neither_refused_as_not_run_nor_run_too_often_on_a_late_copy_of_a_rejection() {
    let engines = [(); 3].map(|()| engine_that_copies(unnamed_rejection));
    let ids = ["i-one", "i-other", "i-third"];
    let endpoints: Vec<_> = ids.iter().zip(&engines).map(|(id, (address, _))| endpoint(id, "api", *address)).collect();
    let vm = start_vm(&endpoints);
    post(&vm, "/status/full", "lookup-1");
    wait_for_reuse();
    let answer = post(&vm, "/status/1", "lookup-2");
    assert_eq!((answer.status, answer.body.as_deref()), (200, Ok("ran")));
    let all_runs: Vec<&Runs> = engines.iter().map(|(_, runs)| runs).collect();
    assert!(runs_of(&all_runs, "lookup-2") <= 2, "the route allows two");
}

/// A pool can make stages and serve a route of its own, over the same connections.
#[test]
fn a_booking_is_not_refused_as_not_run_on_a_late_copy_of_a_rejection_of_a_stage_call() {
    let (engine, runs) = copying_engine(|received| match received.path.as_str() {
        "/deposits/1" => Answer::Run(signed_answer(received, "ran")),
        _ => Answer::Reject(unnamed_rejection(received)),
    });
    let (model_engine, _) = serve(|got| Some(Reply::signed(got, "id: 0\ndata: a\n\n")));
    let configuration = CONFIGURATION.replace("\"service\": \"api\"", "\"service\": \"rates\"");
    let endpoints = [endpoint("i-one", "rates", engine), endpoint("i-model", "models", model_engine)];
    let vm = EntryVm::start(store(&configuration, &endpoints));
    vm.wait_ready();
    let clients = vm.address("clients");
    let review = std::thread::spawn(move || send_request(clients, client_request("/reviews/7", "review-1", "body")));
    wait_until("a stage call was rejected", || !vm.lines_of("endpoint full").is_empty());
    let answer = post(&vm, "/deposits/1", "booking-1");
    assert!(!is_refusal(&answer) || runs_of(&[&runs], "booking-1") == 0, "{answer:?}");
    drop(vm);
    review.join().ok();
}

/// Each answer to a stage call is copied, and each result has a handle of its own.
#[test]
fn a_late_copy_of_a_stage_answer_gives_no_request_the_results_of_another_call() {
    let results = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let made = results.clone();
    let (stage_engine, _) = copying_engine(move |received| {
        if !received.path.starts_with(names::STAGE_CALL_PATH) {
            return Answer::Run(raw_answer("200 OK", "", ""));
        }
        let entries = boragepass_platform::decode_stage_call(received.body.as_bytes()).expect("a readable call");
        let mut made = made.lock().expect("the lock is not poisoned");
        let outcomes: Vec<_> = entries
            .iter()
            .map(|entry| {
                made.push((entry.client_id.to_string(), entry.stage));
                PieceOutcome::Computed(format!("10.0.0.1:1/{}", made.len() - 1).into())
            })
            .collect();
        let body = String::from_utf8(encode_stage_results(&outcomes)).expect("JSON");
        // The endpoint sends a copy of this answer too.
        Answer::Reject(raw_answer("200 OK", "content-type: application/json\r\n", &body))
    });
    let (model_engine, model_requests) = serve(|got| Some(Reply::signed(got, "id: 0\ndata: a\n\n")));
    let vm = start_vm(&[endpoint("i-rates", "rates", stage_engine), endpoint("i-model", "models", model_engine)]);
    let answers: Vec<_> = (0..4)
        .map(|number| {
            let mut request = client_request("/reviews/7", &format!("review-{number}"), "body");
            // All calls have the same number of pieces, so that a copy fits each of them.
            request.headers_mut().insert(names::PIECES, "1,1".parse().expect("a valid value"));
            let answer = send_request(vm.address("clients"), request);
            std::thread::sleep(Duration::from_millis(150));
            answer
        })
        .collect();
    let results = results.lock().expect("the lock is not poisoned");
    for got in model_requests.lock().expect("the lock is not poisoned").iter() {
        let attempt = got.header(&names::ATTEMPT_ID).unwrap_or_default();
        for handle in got.header(&names::INPUT_HANDLES).unwrap_or_default().split(',') {
            let number: usize = handle.rsplit('/').next().and_then(|number| number.parse().ok()).expect("a handle");
            assert_eq!(results[number], (attempt.to_owned(), 1), "the request got the result of another piece");
        }
    }
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert_eq!(served, answers.len(), "{answers:?}");
}

/// Starts a VM that reaches no endpoint beside one whose only endpoint sends late copies of rejections.
#[test]
fn a_relayed_booking_is_not_refused_as_not_run_on_a_late_copy_of_a_rejection() {
    let (engine, runs) = engine_that_copies(unnamed_rejection);
    let (model_engine, _) = serve(|got| Some(Reply::signed(got, "id: 0\ndata: a\n\n")));
    let (stage_address, _) = stage_endpoint();
    let peer_port = free_port();
    let lines = |vm: &str, ip: &str| {
        [
            ("peers = 127.0.0.1:0", format!("peers = {ip}:{peer_port}")),
            ("vm = entry-1", format!("vm = {vm}")),
            ("seeds =", "seeds = 127.0.0.1:1".to_owned()),
        ]
    };
    let names_and_pools = [("i-api", "api"), ("i-model", "models"), ("i-rates", "rates")];
    let endpoints_at = |addresses: [SocketAddr; 3]| -> Vec<_> {
        names_and_pools.iter().zip(addresses).map(|((id, pool), address)| endpoint(id, pool, address)).collect()
    };
    let live = endpoints_at([engine, model_engine, stage_address]);
    let dead = endpoints_at([(); 3].map(|()| SocketAddr::from(([127, 0, 0, 1], free_port()))));
    let sound_vm = EntryVm::start_with(store(CONFIGURATION, &live), &lines("entry-1", "127.0.0.1"));
    let cut_vm = EntryVm::start_with(store(CONFIGURATION, &dead), &lines("entry-2", "127.0.0.2"));
    sound_vm.wait_ready();
    cut_vm.wait_ready();
    wait_until("the VMs hear each other", || status_of(&cut_vm).contains("entry-1"));
    wait_until("the VM finds that it reaches no endpoint", || {
        post(&cut_vm, "/status/1", "early");
        post(&cut_vm, "/reviews/7", "early");
        !cut_vm.lines_of("no endpoint reached").is_empty()
    });
    post(&cut_vm, "/deposits/full", "booking-1");
    wait_for_reuse();
    let answer = post(&cut_vm, "/deposits/1", "booking-2");
    assert!(!cut_vm.lines_of("request relayed").is_empty());
    assert!(!is_refusal(&answer) || runs_of(&[&runs], "booking-2") == 0, "{answer:?}");
}
