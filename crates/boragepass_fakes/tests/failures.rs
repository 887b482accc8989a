//! Each failure of the brief, brought about over real sockets.

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

#[async_std::test]
async fn table_down() {
    let mut installation = Installation::start(2).await;
    installation.world.table.set_faults(|faults| faults.is_down = true);
    let booking = book(&installation.daemons[0], "b1", "down").await;
    assert_eq!(booking.name(), "not_run");
    assert_eq!(installation.payouts("down"), 0);
    assert_eq!(review(&installation.daemons[0], "r1", "contract").await.name(), "answered");
    let commit = installation
        .world
        .send_operator_command(&installation.daemons[0], Method::Put, "/v1/plans", plan_body(9))
        .await;
    assert_eq!(commit, Some(WireOperatorReply::Unavailable));

    // A VM that starts meanwhile takes the lists from the others.
    installation.add_daemon(3).await;
    let started = &installation.daemons[2];
    assert!(installation.world.wait_for_status(started, |status| status.admits && status.lists == Some(4)).await);
    eventually("a review at the new VM", || async {
        review(&installation.daemons[2], "r2", "contract").await.name() == "answered"
    })
    .await;

    installation.world.table.set_faults(|faults| faults.is_down = false);
    assert_eq!(book(&installation.daemons[0], "b2", "down").await.name(), "answered");
    assert_eq!(installation.payouts("down"), 1);
}

#[async_std::test]
async fn lost_reply() {
    let installation = Installation::start(2).await;
    installation.world.table.set_faults(|faults| faults.replies_to_lose = 1);
    let first = book(&installation.daemons[0], "b1", "lost").await;
    assert_eq!(first.name(), "answered", "{first:?}");
    let again = book(&installation.daemons[1], "b2", "lost").await;
    assert_eq!(again.output(), first.output());
    assert_eq!(installation.payouts("lost"), 1);

    installation.world.table.set_faults(|faults| faults.replies_to_lose = 1);
    let commit = installation
        .world
        .send_operator_command(&installation.daemons[0], Method::Put, "/v1/plans", plan_body(7))
        .await;
    assert_eq!(commit, Some(WireOperatorReply::Accepted { version: 5 }));
}

#[async_std::test]
async fn reply_of_a_payout_lost() {
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
    assert_eq!(installation.payouts("gone"), 1);
}

#[async_std::test]
async fn two_operators() {
    let installation = Installation::start(2).await;
    let (first, second) = futures::join!(
        installation.world.send_operator_command(
            &installation.daemons[0],
            Method::Put,
            "/v1/plans?expect_version=4",
            plan_body(11)
        ),
        installation.world.send_operator_command(
            &installation.daemons[1],
            Method::Put,
            "/v1/plans?expect_version=4",
            plan_body(12)
        ),
    );
    let replies = [first.unwrap(), second.unwrap()];
    let winners = replies.iter().filter(|reply| **reply == WireOperatorReply::Accepted { version: 5 });
    assert_eq!(winners.count(), 1, "{replies:?}");
    let told = replies.iter().any(|reply| match reply {
        WireOperatorReply::Conflict { expected: 4, current: 5, changes } => changes == &["version 5: plan gigdesk set"],
        _ => false,
    });
    assert!(told, "{replies:?}");
}

#[async_std::test]
async fn vm_killed_mid_request() {
    let installation = Installation::start(2).await;
    for engine in installation.endpoints("engine") {
        engine.set_faults(|faults| faults.slow_factor = Some(20));
    }
    let (victim, survivor) = (&installation.daemons[0], &installation.daemons[1]);
    let sending = task::spawn({
        let (caller, address) = (caller("gigdesk"), victim.callers);
        async move { caller.send(address, "contract-review", "r1", "contract", None).await }
    });
    let engines = installation.endpoints("engine");
    eventually("the review runs", || async { engines.iter().any(|engine| engine.runs() > 0) }).await;
    victim.kill();
    assert_eq!(sending.await, CallerAnswer::ConnectionLost);

    let before: u64 = installation.endpoints("encoders").iter().map(boragepass_fakes::FakeEndpoint::runs).sum();
    let answer = review(survivor, "r1", "contract").await;
    assert_eq!(answer.name(), "answered", "{answer:?}");
    let after: u64 = installation.endpoints("encoders").iter().map(boragepass_fakes::FakeEndpoint::runs).sum();
    assert_eq!(after, before, "the finished stages ran again");
}

#[async_std::test]
async fn vm_killed_while_it_books() {
    let installation = Installation::start(2).await;
    for payout in installation.endpoints("payouts") {
        payout.set_faults(|faults| faults.slow_factor = Some(2_000));
    }
    let sending = task::spawn({
        let (caller, address) = (caller("lampu-lestari"), installation.daemons[0].callers);
        async move { caller.send(address, "pickup-booking", "b1", "pickup dead", Some("dead")).await }
    });
    eventually("the payout runs", || async { installation.payouts("dead") == 1 }).await;
    installation.daemons[0].kill();
    assert_eq!(sending.await, CallerAnswer::ConnectionLost);
    eventually("the owner is known to be dead", || async {
        let answer = book(&installation.daemons[1], "b2", "dead").await;
        assert_eq!(answer.name(), "unknown", "{answer:?}");
        matches!(answer, CallerAnswer::Outcome(json) if json.retry_after_ms.is_none())
    })
    .await;
    assert_eq!(installation.payouts("dead"), 1);
}

#[async_std::test]
async fn harmful_request() {
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

#[async_std::test]
async fn straggler() {
    let installation = Installation::start(1).await;
    installation.endpoint("engine-1").set_faults(|faults| faults.slow_factor = Some(1_000));
    for number in 0..20 {
        let answer = review(&installation.daemons[0], &format!("r{number}"), &format!("contract {number}")).await;
        assert_eq!(answer.name(), "answered", "{answer:?}");
    }
}

#[async_std::test]
async fn engine_killed_mid_stream() {
    let installation = Installation::start(1).await;
    let engines = installation.endpoints("engine");
    for engine in &engines {
        engine.set_faults(|faults| faults.slow_factor = Some(100));
    }
    let sending = task::spawn({
        let (caller, address) = (caller("gigdesk"), installation.daemons[0].callers);
        async move { caller.send(address, "contract-review", "r1", "contract", None).await }
    });
    eventually("some engine is in mid-stream", || async { engines.iter().any(|engine| engine.work_ms() > 700) }).await;
    let busiest = engines.iter().max_by_key(|engine| engine.work_ms()).unwrap();
    busiest.crash();
    let answer = sending.await;
    let pipeline = pipelines().into_iter().find(|known| known.id.as_str() == "contract-review").unwrap();
    assert_eq!(answer.output(), Some(expected_answer(&pipeline, "contract", TOKENS).as_str()), "{answer:?}");
    assert!(installation.daemons[0].counter(Counter::AttemptResumed) > 0, "the stream did not go on where it stood");
}

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
    let mut stream = TcpStream::connect(installation.daemons[0].callers).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert_eq!(answer.matches("event: tokens").count(), TOKENS as usize, "{answer}");
    let (_, outcome) = answer.split_once("event: outcome").unwrap();
    assert!(outcome.contains(r#""outcome":"answered""#), "{answer}");
    assert!(!outcome.contains("event:"), "something follows the outcome: {answer}");
}

#[async_std::test]
async fn endpoint_leaving() {
    let installation = Installation::start(2).await;
    installation.endpoint("encoders-1").set_faults(|faults| faults.is_leaving = true);
    for daemon in &installation.daemons {
        let is_known = |status: &boragepass_wire::WireStatus| {
            status.endpoints.iter().any(|endpoint| endpoint.endpoint == "encoders-1" && !endpoint.is_open)
        };
        assert!(installation.world.wait_for_status(daemon, is_known).await);
    }
    let before = installation.endpoint("encoders-1").runs();
    for number in 0..10 {
        let answer = review(&installation.daemons[number % 2], &format!("r{number}"), "contract").await;
        assert_eq!(answer.name(), "answered");
    }
    assert_eq!(installation.endpoint("encoders-1").runs(), before);
}

#[async_std::test]
async fn planned_stop_under_load() {
    let installation = Installation::start(2).await;
    let mut sent = Vec::new();
    for number in 0..30 {
        let (caller, address) = (caller("gigdesk"), installation.daemons[0].callers);
        sent.push(task::spawn(async move {
            let id = format!("r{number}");
            caller.send(address, "contract-review", &id, &format!("contract {number}"), None).await
        }));
        if number == 15 {
            installation.daemons[0].terminate().await;
        }
        task::sleep(Duration::from_millis(2)).await;
    }
    for answer in futures::future::join_all(sent).await {
        let is_elsewhere = match &answer {
            CallerAnswer::Outcome(json) => json.outcome == "not_run" && !json.addresses.is_empty(),
            _ => false,
        };
        assert!(answer.name() == "answered" || is_elsewhere, "{answer:?}");
    }
    installation.daemons[0].wait().await;
    let answer = caller("gigdesk").addresses(installation.daemons[1].callers, REGION).await.unwrap();
    assert_eq!(answer.addresses, vec![installation.daemons[1].callers.to_string()]);
}

#[async_std::test]
async fn all_vms_replaced_one_by_one() {
    let mut installation = Installation::start(2).await;
    let commit = installation
        .world
        .send_operator_command(&installation.daemons[0], Method::Put, "/v1/plans", plan_body(77))
        .await;
    assert_eq!(commit, Some(WireOperatorReply::Accepted { version: 5 }));
    for number in 3..5 {
        installation.add_daemon(number).await;
        let started = installation.daemons.last().unwrap();
        assert!(installation.world.wait_ready(started, 2).await);
        let old = installation.daemons.remove(0);
        old.terminate().await;
        old.wait().await;
        installation.world.vm_list.set_state(&format!("vm/vm-{}", number - 2), VmState::Gone);
        let answer = review(&installation.daemons[0], &format!("r{number}"), "contract").await;
        assert_eq!(answer.name(), "answered", "{answer:?}");
    }
    for daemon in &installation.daemons {
        assert!(installation.world.wait_for_status(daemon, |status| status.lists == Some(5)).await);
    }
}

#[async_std::test]
async fn strangers_are_refused() {
    let installation = Installation::start(1).await;
    let stranger = boragepass_fakes::Caller::new("gigdesk", "not-the-key");
    let answer = stranger.send(installation.daemons[0].callers, "contract-review", "r1", "contract", None).await;
    let unknown = boragepass_fakes::Caller::new("nobody", "not-the-key");
    let other = unknown.send(installation.daemons[0].callers, "contract-review", "r1", "contract", None).await;
    assert_eq!(answer.name(), "not_run");
    assert_eq!(answer, other, "a stranger can tell which workspaces exist");
    let edit = ListEdit::RemovePlan("gigdesk".parse().unwrap());
    assert_eq!(edit.summary(), "plan gigdesk removed");
}
