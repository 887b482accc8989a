//! Malformed, oversized, unfinished and unauthorized HTTP requests get an error or are cut off by a timeout.

#![allow(clippy::unwrap_used, reason = "a test fails where it panics")]

use std::net::SocketAddr;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use boragepass_core::ListEdit;
use boragepass_fakes::{LoopbackFleet, LoopbackFleetSettings, allowlist, plan};
use boragepass_server::Daemon;
use boragepass_settings::HttpLimits;
use boragepass_types::{Bytes, SpanMs};

async fn start_daemon() -> (LoopbackFleet, Daemon) {
    let http = HttpLimits {
        body_bytes_max: Bytes(1_000),
        head_timeout_ms: SpanMs(300),
        body_timeout_ms: SpanMs(300),
        connections_max: 100,
    };
    let fleet = LoopbackFleet::start(LoopbackFleetSettings { http, ..LoopbackFleetSettings::default() }).await.unwrap();
    fleet.commit_list_edit(ListEdit::SetPlan(plan("gigdesk", 1_000, 1_000)));
    fleet.commit_list_edit(ListEdit::SetAllowlist(allowlist("gigdesk", &["lagos"])));
    let daemon = fleet.add_daemon("vm-1", "lagos", "lagos-a").await.unwrap();
    assert!(fleet.wait_ready(&daemon, 1).await);
    (fleet, daemon)
}

/// Sends bytes, leaves the connection open and returns what arrives until the daemon closes it.
async fn send_bytes(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The daemon may close the connection before all bytes are sent.
    stream.write_all(bytes).await.ok();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok();
    String::from_utf8_lossy(&answer).into_owned()
}

/// Head and body of a request whose `content-length` need not match the body.
fn post_with_length(len: usize, body: &str) -> Vec<u8> {
    format!("POST /v1/requests HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {len}\r\n\r\n{body}")
        .into_bytes()
}

/// One reply lists every finding, so that a caller need not fix them one by one.
#[async_std::test]
async fn a_malformed_request_gets_every_finding() {
    let (_fleet, daemon) = start_daemon().await;
    let body = r#"{"workspace": "gig desk", "pipline": "x", "request_id": 7, "input": "a"}"#;
    let answer = send_bytes(daemon.caller_address, &post_with_length(body.len(), body)).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    let json = answer.rsplit("\r\n").find(|line| line.starts_with('{')).unwrap();
    insta::assert_snapshot!(json);
}

/// The declared length is checked before the body is read, and the reply names the limit.
#[async_std::test]
async fn a_body_that_is_too_long_is_refused() {
    let (_fleet, daemon) = start_daemon().await;
    let answer = send_bytes(daemon.caller_address, &post_with_length(2_000, &"x".repeat(2_000))).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("the body is longer than 1000 bytes"), "{answer}");
}

/// A caller that stops in the middle of the body would hold its connection forever.
#[async_std::test]
async fn a_body_that_never_ends_is_cut_off() {
    let (_fleet, daemon) = start_daemon().await;
    let answer = send_bytes(daemon.caller_address, &post_with_length(500, "{")).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
}

/// A caller that stops in the middle of the head would hold its connection forever.
#[async_std::test]
async fn a_head_that_never_ends_is_cut_off() {
    let (_fleet, daemon) = start_daemon().await;
    let answer = send_bytes(daemon.caller_address, b"POST /v1/requests HTTP/1.1\r\nhost: x\r\nslow: ").await;
    assert_eq!(answer, "");
}

/// A head of unlimited length would fill the memory of the daemon.
#[async_std::test]
async fn endless_headers_are_cut_off() {
    let (_fleet, daemon) = start_daemon().await;
    let head = format!("POST /v1/requests HTTP/1.1\r\nhost: x\r\n{}", "a: b\r\n".repeat(20_000));
    let answer = send_bytes(daemon.caller_address, head.as_bytes()).await;
    assert!(!answer.contains("200"), "{answer}");
}

/// The operator address accepts no command without the operator key.
#[async_std::test]
async fn operators_need_their_key() {
    let (_fleet, daemon) = start_daemon().await;
    let request = b"GET /v1/status HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer wrong-key\r\n\r\n";
    let answer = send_bytes(daemon.operator_address, request).await;
    assert!(answer.starts_with("HTTP/1.1 403"), "{answer}");
}
