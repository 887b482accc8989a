//! Property tests of the decoders: encoding and decoding returns the same value, and arbitrary or
//! corrupted bytes give a value or an error, never a panic.

#![allow(clippy::unwrap_used, reason = "a test fails where it panics")]

use std::net::SocketAddr;

use boragepass_core::{
    ClaimOwner, ClaimRow, ClaimState, ClaimWrite, ExpectedVersion, Heartbeat, Holdings, ListChange, ListEdit,
    MemberRecord, MemberState, PeerMessage, Progress, RowKey, RowValue, RowWrite, SharedLoad, TableRequest, Verdict,
    VerdictKind, WriteId,
};
use boragepass_types::{ContentDigest, Hash64, Incarnation, ListVersion, OpId, Payload, RowVersion, SpanMs};
use boragepass_wire::{
    WireTableRequest, allowlist_from_json, decode_message, encode_message, plan_from_json, request_from_json,
};
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_assert_eq, prop_oneof, proptest};
use proptest::test_runner::{Config, RngSeed};

fn config() -> Config {
    let env_number = |variable: &str| std::env::var(variable).ok().and_then(|text| text.parse::<u64>().ok());
    Config {
        cases: env_number("BORAGEPASS_CASES").map_or(512, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(env_number("BORAGEPASS_SEED").unwrap_or(20_261_203)),
        failure_persistence: None,
        ..Config::default()
    }
}

fn id() -> impl Strategy<Value = String> {
    "[a-z0-9._:-]{1,20}"
}

fn member_record() -> impl Strategy<Value = MemberRecord> {
    let state = prop_oneof![Just(MemberState::Alive), Just(MemberState::Leaving), Just(MemberState::Dead)];
    (id(), any::<u64>(), any::<u32>(), state, id(), id(), any::<SocketAddr>(), any::<u64>()).prop_map(
        |(vm, incarnation, epoch, state, region, domain, address, lists)| MemberRecord {
            vm: vm.parse().unwrap(),
            incarnation: Incarnation(incarnation),
            epoch,
            state,
            region: region.parse().unwrap(),
            failure_domain: domain.parse().unwrap(),
            peer_address: without_ipv6_scope(address),
            caller_address: without_ipv6_scope(address),
            lists: ListVersion(lists),
        },
    )
}

/// Drops flow label and scope of an IPv6 address, which the text form does not carry.
fn without_ipv6_scope(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip(), address.port())
}

fn claim_state() -> impl Strategy<Value = ClaimState> {
    let held = (id(), any::<u64>(), proptest::option::of(any::<String>())).prop_map(|(vm, incarnation, output)| {
        let owner = ClaimOwner { vm: vm.parse().unwrap(), incarnation: Incarnation(incarnation) };
        ClaimState::Held { owner, stage_output: output.map(|text| Payload::new(&text)) }
    });
    prop_oneof![
        held,
        Just(ClaimState::Released),
        Just(ClaimState::Unknown),
        any::<String>().prop_map(|text| ClaimState::Answered { output: Payload::new(&text) }),
        any::<String>().prop_map(|text| ClaimState::StageDone { stage_output: Payload::new(&text) }),
    ]
}

fn claim_write() -> impl Strategy<Value = ClaimWrite> {
    let expect = prop_oneof![
        Just(ExpectedVersion::Absent),
        any::<u64>().prop_map(|version| ExpectedVersion::Version(RowVersion(version)))
    ];
    (id(), id(), expect, any::<u64>(), any::<u128>(), claim_state()).prop_map(
        |(workspace, key, expect, op, digest, state)| ClaimWrite {
            key: RowKey::Claim(workspace.parse().unwrap(), key.parse().unwrap()),
            expect,
            id: WriteId { vm: "vm-1".parse().unwrap(), incarnation: Incarnation(op), op: OpId(op) },
            row: ClaimRow { digest: ContentDigest(digest), state },
        },
    )
}

fn verdict() -> impl Strategy<Value = Verdict> {
    (any::<u128>(), id(), vec(any::<u64>(), 0..3)).prop_map(|(digest, workspace, lost)| Verdict {
        digest: ContentDigest(digest),
        workspace: workspace.parse().unwrap(),
        kind: VerdictKind::UnderTrial,
        lost: lost.into_iter().map(Hash64).collect(),
        tester: "vm-1".parse().unwrap(),
        for_ms: SpanMs(1),
    })
}

fn peer_message() -> impl Strategy<Value = PeerMessage> {
    let heartbeat = (member_record(), any::<u64>(), vec(member_record(), 0..4)).prop_map(|(sender, hash, records)| {
        let domains = records.iter().map(|record| (record.failure_domain.clone(), record.lists)).collect();
        PeerMessage::Heartbeat(Heartbeat {
            epoch: sender.epoch,
            state: sender.state,
            lists: sender.lists,
            sender: (hash % 2 == 0).then(|| Box::new(sender)),
            domains,
            quarantine_hash: Hash64(hash),
            records,
        })
    });
    let loads = vec((any::<u64>(), any::<u32>(), any::<bool>(), proptest::option::of(id())), 0..5).prop_map(|loads| {
        let loads = loads.into_iter().map(|(endpoint, number, leaving, model)| SharedLoad {
            endpoint: Hash64(endpoint),
            running: number,
            queued: number,
            slots: number,
            age_ms: SpanMs(u64::from(number)),
            leaving,
            holdings: model.map(|model| Holdings { models: vec![model.parse().unwrap()], adapters: Vec::new() }),
        });
        PeerMessage::Loads(loads.collect())
    });
    let change = (any::<u64>(), id()).prop_map(|(version, workspace)| {
        let edit = ListEdit::RemovePlan(workspace.parse().unwrap());
        PeerMessage::Change(Box::new(ListChange { version: ListVersion(version), edit }))
    });
    let progress = (id(), id(), any::<u8>(), any::<String>()).prop_map(|(workspace, request, stage, input)| {
        PeerMessage::Progress(Box::new(Progress {
            workspace: workspace.parse().unwrap(),
            request: request.parse().unwrap(),
            digest: ContentDigest(7),
            stage,
            input: Payload::new(&input),
            runner: "vm-1".parse().unwrap(),
        }))
    });
    prop_oneof![
        heartbeat,
        loads,
        change,
        verdict().prop_map(PeerMessage::Verdict),
        progress,
        vec(claim_write(), 0..4).prop_map(PeerMessage::ClaimWrites)
    ]
}

proptest! {
    #![proptest_config(config())]

    /// A field that a conversion drops or swaps changes the message on its way to another VM.
    #[test]
    fn a_peer_message_survives_encoding_and_decoding(message in peer_message()) {
        let bytes = encode_message(&message).unwrap();
        prop_assert_eq!(decode_message(&bytes).unwrap(), message);
    }

    /// A verdict that a conversion changes would put other content in quarantine after a restart.
    #[test]
    fn a_verdict_row_survives_encoding_and_decoding(verdicts in vec(verdict(), 0..4)) {
        let write = RowWrite {
            key: RowKey::Verdicts,
            expect: ExpectedVersion::Absent,
            id: WriteId { vm: "vm-1".parse().unwrap(), incarnation: Incarnation(1), op: OpId(1) },
            value: RowValue::Verdicts(verdicts),
        };
        let request = TableRequest::Commit(vec![write]);
        let json = serde_json::to_string(&WireTableRequest::from(&request)).unwrap();
        let wire: WireTableRequest = serde_json::from_str(&json).unwrap();
        prop_assert_eq!(TableRequest::try_from(wire).unwrap(), request);
    }

    /// Bytes from the network must not stop a VM. Some cases start with the version byte, since others
    /// are rejected before bincode reads them.
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(
        mut bytes in vec(any::<u8>(), 0..512),
        has_version_byte in any::<bool>(),
    ) {
        if has_version_byte {
            bytes.insert(0, 1);
        }
        decode_message(&bytes).ok();
    }

    /// One wrong byte and a cut end of up to two bytes reach decoding paths that random bytes miss.
    #[test]
    fn decoding_a_corrupted_message_does_not_panic(
        message in peer_message(),
        position in any::<usize>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = encode_message(&message).unwrap();
        let index = position % bytes.len();
        bytes[index] = byte;
        bytes.truncate(bytes.len() - position % 3);
        decode_message(&bytes).ok();
    }

    /// A request, plan or allowlist from outside must not stop a VM.
    #[test]
    fn parsing_arbitrary_text_does_not_panic(text in r#"[\[\]{}",:a-z0-9_ \\.-]{0,200}"#) {
        request_from_json(text.as_bytes()).ok();
        plan_from_json(text.as_bytes()).ok();
        allowlist_from_json(text.as_bytes()).ok();
    }

    /// A caller finds the problem by its path; the document here lacks keys and may hold an unknown one.
    #[test]
    fn a_finding_has_a_json_path(key in "[a-z_]{1,12}", value in any::<i64>()) {
        let text = format!("{{\"{key}\": {value}}}");
        let findings = request_from_json(text.as_bytes()).unwrap_err();
        assert!(findings.iter().all(|finding| finding.location.to_string().starts_with('$')));
    }
}

#[test]
fn an_unknown_protocol_version_is_rejected() {
    let problem = decode_message(&[9, 0]).unwrap_err();
    assert_eq!(problem.to_string(), "protocol version 9 is not supported");
}
