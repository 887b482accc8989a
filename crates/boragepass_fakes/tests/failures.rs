//! Failures of VMs, endpoints, the table service and callers, injected over real sockets against real
//! daemons.

#![allow(clippy::unwrap_used, reason = "a test fails where it panics")]

mod support;

use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use boragepass_core::{Counter, ListEdit, VmState};
use boragepass_fakes::{CallerAnswer, expected_answer, pipelines, plan};
use boragepass_wire::{WireOperatorReply, WirePlan};
use http_types::Method;
use support::{Installation, REGION, TOKENS, book, caller, eventually, review};

fn plan_body(rate: u32) -> String {
    serde_json::to_string(&WirePlan::from(&plan("gigdesk", 20_000, rate))).unwrap()
}

/// While the table service is down no claim can be written, so a booking must not run. Reviews go on,
/// and a VM that starts during the outage takes the lists from its peers.
#[async_std::test]
async fn table_outage_refuses_bookings_but_not_reviews() {
    let mut installation = Installation::start(2).await;
    installation.fleet.table.set_faults(|faults| faults.is_down = true);
    let booking = book(&installation.daemons[0], "b1", "down").await;
    assert_eq!(booking.name(), "not_run");
    assert_eq!(installation.payout_runs("down"), 0);
    assert_eq!(review(&installation.daemons[0], "r1", "contract").await.name(), "answered");
    let commit = installation
        .fleet
        .send_operator_command(&installation.daemons[0], Method::Put, "/v1/plans", plan_body(9))
        .await;
    assert_eq!(commit, Some(WireOperatorReply::Unavailable));

    // A VM that starts during the outage takes the lists from its peers.
    installation.add_daemon(3).await;
    let started = &installation.daemons[2];
    assert!(installation.fleet.wait_for_status(started, |status| status.admits && status.lists == Some(4)).await);
    eventually("a review is answered at the new VM", || async {
        review(&installation.daemons[2], "r2", "contract").await.name() == "answered"
    })
    .await;

    installation.fleet.table.set_faults(|faults| faults.is_down = false);
    assert_eq!(book(&installation.daemons[0], "b2", "down").await.name(), "answered");
    assert_eq!(installation.payout_runs("down"), 1);
}

/// A commit whose reply is lost has taken effect. The VM reads the claim or the list change back instead
/// of reporting a failure or running the payout again.
#[async_std::test]
async fn lost_reply() {
    let installation = Installation::start(2).await;
    installation.fleet.table.set_faults(|faults| faults.replies_to_lose = 1);
    let first = book(&installation.daemons[0], "b1", "lost").await;
    assert_eq!(first.name(), "answered", "{first:?}");
    let again = book(&installation.daemons[1], "b2", "lost").await;
    assert_eq!(again.output(), first.output());
    assert_eq!(installation.payout_runs("lost"), 1);

    installation.fleet.table.set_faults(|faults| faults.replies_to_lose = 1);
    let commit = installation
        .fleet
        .send_operator_command(&installation.daemons[0], Method::Put, "/v1/plans", plan_body(7))
        .await;
    assert_eq!(commit, Some(WireOperatorReply::Accepted { version: 5 }));
}

/// The payout may have run when its reply is lost: repeating it could pay twice, so the request ends as
/// `unknown`, and a later request with the same key gets the same outcome.
#[async_std::test]
async fn lost_payout_reply_ends_as_unknown_after_one_run() {
    let installation = Installation::start(2).await;
    for payout in installation.endpoints("payouts") {
        payout.set_faults(|faults| faults.replies_to_lose = 1);
    }
    let first = book(&installation.daemons[0], "b1", "gone").await;
    assert_eq!(first.name(), "unknown", "{first:?}");
    eventually("the claim is settled", || async {
        book(&installation.daemons[1], "b2", "gone").await.name() == "unknown"
    })
    .await;
    assert_eq!(installation.payout_runs("gone"), 1);
}

/// Two operators edit the same version of the lists on two VMs. The second edit must not overwrite the
/// first: it fails as a conflict that names the change in between.
#[async_std::test]
async fn concurrent_list_edits_have_one_winner() {
    let installation = Installation::start(2).await;
    let (first, second) = futures::join!(
        installation.fleet.send_operator_command(
            &installation.daemons[0],
            Method::Put,
            "/v1/plans?expect_version=4",
            plan_body(11)
        ),
        installation.fleet.send_operator_command(
            &installation.daemons[1],
            Method::Put,
            "/v1/plans?expect_version=4",
            plan_body(12)
        ),
    );
    let replies = [first.unwrap(), second.unwrap()];
    let winners = replies.iter().filter(|reply| **reply == WireOperatorReply::Accepted { version: 5 });
    assert_eq!(winners.count(), 1, "{replies:?}");
    let names_the_change = replies.iter().any(|reply| match reply {
        WireOperatorReply::Conflict { expected: 4, current: 5, changes } => changes == &["version 5: plan gigdesk set"],
        _ => false,
    });
    assert!(names_the_change, "{replies:?}");
}

/// The progress of a request is shared with the other VMs. When its VM crashes and the caller sends it
/// again elsewhere, the finished stages are not repeated.
#[async_std::test]
async fn resend_after_a_vm_crash_reuses_finished_stages() {
    let installation = Installation::start(2).await;
    for engine in installation.endpoints("engine") {
        engine.set_faults(|faults| faults.slow_factor = Some(20));
    }
    let (first_vm, second_vm) = (&installation.daemons[0], &installation.daemons[1]);
    let send_task = task::spawn({
        let (caller, address) = (caller("gigdesk"), first_vm.caller_address);
        async move { caller.send(address, "contract-review", "r1", "contract", None).await }
    });
    let engines = installation.endpoints("engine");
    eventually("the review runs", || async { engines.iter().any(|engine| engine.runs() > 0) }).await;
    first_vm.kill();
    assert_eq!(send_task.await, CallerAnswer::ConnectionLost);

    let runs_before: u64 = installation.endpoints("encoders").iter().map(boragepass_fakes::FakeEndpoint::runs).sum();
    let answer = review(second_vm, "r1", "contract").await;
    assert_eq!(answer.name(), "answered", "{answer:?}");
    let runs_after: u64 = installation.endpoints("encoders").iter().map(boragepass_fakes::FakeEndpoint::runs).sum();
    assert_eq!(runs_after, runs_before, "the finished stages ran again");
}

/// The VM that holds the claim of a key crashes while the payout runs. Nobody can tell whether it
/// completed, so another VM answers `unknown` and never runs it again.
#[async_std::test]
async fn booking_of_a_crashed_vm_ends_as_unknown() {
    let installation = Installation::start(2).await;
    for payout in installation.endpoints("payouts") {
        payout.set_faults(|faults| faults.slow_factor = Some(2_000));
    }
    let send_task = task::spawn({
        let (caller, address) = (caller("lampu-lestari"), installation.daemons[0].caller_address);
        async move { caller.send(address, "pickup-booking", "b1", "pickup dead", Some("dead")).await }
    });
    eventually("the payout runs", || async { installation.payout_runs("dead") == 1 }).await;
    installation.daemons[0].kill();
    assert_eq!(send_task.await, CallerAnswer::ConnectionLost);
    eventually("the claim of the killed VM is final", || async {
        let answer = book(&installation.daemons[1], "b2", "dead").await;
        assert_eq!(answer.name(), "unknown", "{answer:?}");
        matches!(answer, CallerAnswer::Outcome(json) if json.retry_after_ms.is_none())
    })
    .await;
    assert_eq!(installation.payout_runs("dead"), 1);
}

/// Content that crashes each engine that runs it would take down the pool if it were retried or
/// sent again. After two crashes every VM refuses it, and other content is still served.
#[async_std::test]
async fn content_that_crashes_engines_is_quarantined_on_every_vm() {
    let installation = Installation::start(3).await;
    for engine in installation.endpoints("engine") {
        engine.set_faults(|faults| faults.crash_on = Some("poisoned".to_owned()));
    }
    let first = review(&installation.daemons[0], "h1", "contract poisoned").await;
    assert_eq!(first.name(), "failed", "{first:?}");
    for (number, daemon) in installation.daemons.iter().enumerate() {
        let answer = review(daemon, &format!("h2-{number}"), "contract poisoned").await;
        assert_ne!(answer.name(), "answered", "{answer:?}");
    }
    let crashes: u64 = installation.endpoints("engine").iter().map(boragepass_fakes::FakeEndpoint::crashes).sum();
    assert_eq!(crashes, 2);
    assert_eq!(review(&installation.daemons[1], "r1", "contract").await.name(), "answered");
}

/// One engine of the pool is a thousand times slower; hedging or routing around it must still answer
/// every request.
#[async_std::test]
async fn an_engine_that_is_far_too_slow_fails_no_request() {
    let installation = Installation::start(1).await;
    installation.endpoint("engine-1").set_faults(|faults| faults.slow_factor = Some(1_000));
    for number in 0..20 {
        let answer = review(&installation.daemons[0], &format!("r{number}"), &format!("contract {number}")).await;
        assert_eq!(answer.name(), "answered", "{answer:?}");
    }
}

/// The engine crashes after some tokens are out. Another engine continues after the last token received,
/// and the text is the same as without the crash.
#[async_std::test]
async fn a_stream_resumes_on_another_engine_after_a_crash() {
    let installation = Installation::start(1).await;
    let engines = installation.endpoints("engine");
    for engine in &engines {
        engine.set_faults(|faults| faults.slow_factor = Some(100));
    }
    let send_task = task::spawn({
        let (caller, address) = (caller("gigdesk"), installation.daemons[0].caller_address);
        async move { caller.send(address, "contract-review", "r1", "contract", None).await }
    });
    eventually("an engine is in the middle of the stream", || async {
        engines.iter().any(|engine| engine.work_ms() > 700)
    })
    .await;
    let busiest = engines.iter().max_by_key(|engine| engine.work_ms()).unwrap();
    busiest.crash();
    let answer = send_task.await;
    let pipeline = pipelines().into_iter().find(|known| known.id.as_str() == "contract-review").unwrap();
    assert_eq!(answer.output(), Some(expected_answer(&pipeline, "contract", TOKENS).as_str()), "{answer:?}");
    assert!(
        installation.daemons[0].counter(Counter::AttemptResumed) > 0,
        "the stream did not resume after the last token received"
    );
}

/// A streaming caller receives each token once and then exactly one outcome, as the last event.
#[async_std::test]
async fn a_stream_ends_in_one_outcome() {
    let installation = Installation::start(1).await;
    let body =
        r#"{"workspace":"gigdesk","pipeline":"contract-review","request_id":"s1","input":"contract","stream":true}"#;
    let head = format!(
        "POST /v1/requests HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {}\r\ncontent-length: {}\r\n\r\n",
        boragepass_fakes::caller_key("gigdesk"),
        body.len()
    );
    let mut stream = TcpStream::connect(installation.daemons[0].caller_address).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert_eq!(answer.matches("event: tokens").count(), TOKENS as usize, "{answer}");
    let (_, outcome) = answer.split_once("event: outcome").unwrap();
    assert!(outcome.contains(r#""outcome":"answered""#), "{answer}");
    assert!(!outcome.contains("event:"), "something follows the outcome: {answer}");
}

/// An endpoint whose load report says that it is leaving would lose the stages that are dispatched to it.
#[async_std::test]
async fn a_leaving_endpoint_receives_no_stages() {
    let installation = Installation::start(2).await;
    installation.endpoint("encoders-1").set_faults(|faults| faults.is_leaving = true);
    for daemon in &installation.daemons {
        let is_seen_leaving = |status: &boragepass_wire::WireFleetStatus| {
            status.endpoints.iter().any(|endpoint| endpoint.endpoint == "encoders-1" && !endpoint.is_open)
        };
        assert!(installation.fleet.wait_for_status(daemon, is_seen_leaving).await);
    }
    let runs_before = installation.endpoint("encoders-1").runs();
    for number in 0..10 {
        let answer = review(&installation.daemons[number % 2], &format!("r{number}"), "contract").await;
        assert_eq!(answer.name(), "answered");
    }
    assert_eq!(installation.endpoint("encoders-1").runs(), runs_before);
}

/// A VM is drained while requests arrive: each one is answered, or refused before anything ran with the
/// addresses of other VMs. Afterwards only the remaining VM is resolved.
#[async_std::test]
async fn a_draining_vm_answers_or_redirects_every_request() {
    let installation = Installation::start(2).await;
    let mut send_tasks = Vec::new();
    for number in 0..30 {
        let (caller, address) = (caller("gigdesk"), installation.daemons[0].caller_address);
        send_tasks.push(task::spawn(async move {
            let id = format!("r{number}");
            caller.send(address, "contract-review", &id, &format!("contract {number}"), None).await
        }));
        if number == 15 {
            installation.daemons[0].terminate().await;
        }
        task::sleep(Duration::from_millis(2)).await;
    }
    for answer in futures::future::join_all(send_tasks).await {
        let is_redirected = match &answer {
            CallerAnswer::Outcome(json) => json.outcome == "not_run" && !json.addresses.is_empty(),
            _ => false,
        };
        assert!(answer.name() == "answered" || is_redirected, "{answer:?}");
    }
    installation.daemons[0].wait().await;
    let answer = caller("gigdesk").addresses(installation.daemons[1].caller_address, REGION).await.unwrap();
    assert_eq!(answer.addresses, vec![installation.daemons[1].caller_address.to_string()]);
}

/// A rolling replacement leaves no VM that saw the edit of the lists. The new VMs have it and keep serving.
#[async_std::test]
async fn lists_survive_the_replacement_of_all_vms() {
    let mut installation = Installation::start(2).await;
    let commit = installation
        .fleet
        .send_operator_command(&installation.daemons[0], Method::Put, "/v1/plans", plan_body(77))
        .await;
    assert_eq!(commit, Some(WireOperatorReply::Accepted { version: 5 }));
    for number in 3..5 {
        installation.add_daemon(number).await;
        let started = installation.daemons.last().unwrap();
        assert!(installation.fleet.wait_ready(started, 2).await);
        let old = installation.daemons.remove(0);
        old.terminate().await;
        old.wait().await;
        installation.fleet.vm_list.set_state(&format!("vm/vm-{}", number - 2), VmState::Gone);
        let answer = review(&installation.daemons[0], &format!("r{number}"), "contract").await;
        assert_eq!(answer.name(), "answered", "{answer:?}");
    }
    for daemon in &installation.daemons {
        assert!(installation.fleet.wait_for_status(daemon, |status| status.lists == Some(5)).await);
    }
}

/// A caller with a wrong key and one of an unknown workspace get the same refusal, so that workspaces
/// cannot be probed.
#[async_std::test]
async fn a_wrong_key_does_not_reveal_whether_the_workspace_exists() {
    let installation = Installation::start(1).await;
    let stranger = boragepass_fakes::Caller::new("gigdesk", "not-the-key");
    let answer = stranger.send(installation.daemons[0].caller_address, "contract-review", "r1", "contract", None).await;
    let unknown = boragepass_fakes::Caller::new("nobody", "not-the-key");
    let answer_to_unknown =
        unknown.send(installation.daemons[0].caller_address, "contract-review", "r1", "contract", None).await;
    assert_eq!(answer.name(), "not_run");
    assert_eq!(answer, answer_to_unknown, "a stranger can tell which workspaces exist");
    let edit = ListEdit::RemovePlan("gigdesk".parse().unwrap());
    assert_eq!(edit.summary(), "plan gigdesk removed");
}
