//! Bytes of messages between VMs. The snapshots were written by the build of the first landing with this format; every
//! later build has to write the same and to read them, so that VMs of both hear each other during an upgrade.

use std::net::SocketAddr;

use boragepass_entry::Sections;
use boragepass_entry::peer_wire::{WireFrame, WireState, decode, encode};
use boragepass_path::{
    ColdReport, ConfigurationVersion, ContentCrashes, DownReport, Endpoint, EndpointLimitReport, EndpointLoad,
    Evacuations, Heartbeat, PeerMessage, PieceOutcome, PieceRequest, PieceRequestId, PieceResult, PoolLoad,
    ProcessStatement, ResultHandle, SharedEndpoint, StageInputs, StoreVersion, VmRecord, VmState,
};
use boragepass_types::{Hash64, Incarnation, Millicores, RequestRate, SpanMs, StoreEra};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1], port))
}

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid id")
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        vm: VmRecord {
            vm: id("vm-1"),
            incarnation: Incarnation(7),
            region: id("region-a"),
            failure_domain: id("a-1"),
            client_address: address(8_000),
            peer_address: address(7_000),
            relay_address: address(7_001),
            processor: Millicores(120),
            state: VmState::Serving,
        },
        configuration: ConfigurationVersion(300),
        has_store: true,
        reaches_endpoints: true,
        endpoints_version: StoreVersion { era: StoreEra(2), number: 70_000 },
        led_pools: vec![PoolLoad { pool: id("pool"), region: id("region-a"), wait_ms: 12.5, healthy_endpoints: 3 }],
        endpoint_loads: vec![EndpointLoad { endpoint: id("e-1"), in_flight: 2, unread_tokens: 4_000 }],
        endpoint_limits: vec![EndpointLimitReport {
            endpoint: id("e-2"),
            limit: Some(RequestRate(2_500)),
            rejections_max: Some(4),
            age_ms: SpanMs(250),
        }],
        down_endpoints: vec![DownReport { endpoint: id("e-3"), started_at_unix_ms: 99, age_ms: SpanMs(5) }],
        content_crashes: vec![ContentCrashes {
            content: Hash64(1),
            specificity: 2,
            crashes: vec![(Hash64(3), 4)],
            age_ms: SpanMs(6),
        }],
        cleared_contents: vec![Hash64(5)],
        known_vms: vec![(id("vm-2"), address(7_002))],
        process: None,
        evacuations: None,
        cold_endpoints: Vec::new(),
    }
}

fn piece_request_id() -> PieceRequestId {
    PieceRequestId { vm: id("vm-1"), incarnation: Incarnation(7), number: 8 }
}

fn piece_request(inputs: StageInputs) -> PeerMessage {
    PeerMessage::PieceRequest(Box::new(PieceRequest {
        id: piece_request_id(),
        pool: id("pool"),
        region: id("region-a"),
        client_id: "client-1".into(),
        stage: 1,
        pieces: vec![0, 2],
        inputs,
        result_bytes: 3_000_000,
        rank: 5,
        objective_left_ms: -20,
        deadline_left_ms: SpanMs(4_000),
        downstream_ms: SpanMs(700),
    }))
}

fn results() -> PeerMessage {
    let computed = ResultHandle { handle: "handle".into(), endpoint: id("e-1"), failure_domain: id("a-1") };
    let results = [
        PieceResult::Computed(computed),
        PieceResult::NotComputed(PieceOutcome::Late),
        PieceResult::NotComputed(PieceOutcome::InputLost),
        PieceResult::NotComputed(PieceOutcome::NoSpace),
        PieceResult::NotComputed(PieceOutcome::Failed),
        PieceResult::NoEndpoint,
    ];
    PeerMessage::Results(piece_request_id(), (0..).zip(results).collect())
}

fn state() -> WireState {
    let endpoint = Endpoint {
        id: id("e-1"),
        pool: id("pool"),
        address: address(9_000),
        failure_domain: id("a-1"),
        is_draining: true,
        slots: 48,
        started_at_unix_ms: 1_700_000_000_000,
        software_version: Some(id("v1")),
        cold_left_ms: SpanMs(0),
    };
    let shared = SharedEndpoint { endpoint, is_expired: true };
    let endpoints_version = StoreVersion { era: StoreEra(2), number: 9 };
    WireState {
        configuration: Some(b"{}".to_vec()),
        endpoints: vec![(&shared).into()],
        endpoints_version: endpoints_version.into(),
    }
}

fn datagram(message: PeerMessage) -> WireFrame {
    WireFrame::SentBy { vm: "vm-1".to_owned(), incarnation: 7, message: (&message).into() }
}

fn frames() -> Vec<(&'static str, WireFrame)> {
    let message = |message: PeerMessage| WireFrame::Message((&message).into());
    vec![
        ("heartbeat", message(PeerMessage::Heartbeat(Box::new(heartbeat())))),
        ("piece_request_key", message(piece_request(StageInputs::Key("key".into())))),
        ("piece_request_results", message(piece_request(StageInputs::Results(vec!["handle".into()])))),
        ("results", message(results())),
        ("release", message(PeerMessage::Release(piece_request_id()))),
        ("state_query", message(PeerMessage::StateQuery)),
        ("stream_version", datagram(PeerMessage::StreamVersion("stream".into(), Some(id("v1"))))),
        ("stream_version_none", datagram(PeerMessage::StreamVersion("stream".into(), None))),
        ("stream_version_query", datagram(PeerMessage::StreamVersionQuery("stream".into()))),
        ("state", WireFrame::State(state())),
    ]
}

fn hex(bytes: &[u8]) -> String {
    let lines = bytes.chunks(32).map(|line| line.iter().map(|byte| format!("{byte:02x}")).collect::<String>());
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn messages_are_encoded_as_the_first_build_with_this_format_does() {
    for (name, frame) in frames() {
        insta::assert_snapshot!(name, hex(&encode(&frame, &Sections::default())));
    }
}

#[test]
fn messages_decode_to_what_was_encoded() {
    for (name, frame) in frames() {
        let (decoded, _) = decode(&encode(&frame, &Sections::default())).expect(name);
        assert_eq!(format!("{decoded:?}"), format!("{frame:?}"), "{name}");
    }
}

fn sections() -> Sections {
    let process = ProcessStatement { peer_revision: 1, settings_digest: Hash64(2), settings_reads: 3 };
    Sections { process: Some(process), ..Sections::default() }
}

/// Guards against a set that another VM reads differently, which would use an evacuated domain or leave a sound one.
#[test]
fn evacuations_are_read_as_they_were_sent() {
    for domains in [vec![], vec!["a-1", "region-b-2"]] {
        let domains = domains.into_iter().map(id).collect();
        let evacuations = Evacuations { version: StoreVersion { era: StoreEra(2), number: 70_000 }, domains };
        let sent = Sections { evacuations: Some(evacuations), ..Sections::default() };
        let (_, frame) = frames().swap_remove(0);
        let (without, bytes) = (encode(&frame, &Sections::default()), encode(&frame, &sent));
        assert!(bytes.starts_with(&without), "a build that does not know the section reads the frame alone");
        assert_eq!(decode(&bytes).expect("a whole section").1, sent);
        (without.len() + 1..bytes.len()).for_each(|len| assert!(decode(&bytes[..len]).is_err(), "{len} bytes"));
    }
}

#[test]
fn sections_follow_the_frame_and_keep_their_layout() {
    for (name, frame) in frames() {
        let (without, with) = (encode(&frame, &Sections::default()), encode(&frame, &sections()));
        assert!(with.starts_with(&without), "{name}: a build without sections reads the frame alone");
        insta::allow_duplicates! { insta::assert_snapshot!("sections", hex(&with[without.len()..])) };
        assert_eq!(decode(&with).expect(name).1, sections(), "{name}");
    }
}

#[test]
fn a_section_of_a_later_build_is_skipped() {
    for (name, frame) in frames() {
        let mut bytes = encode(&frame, &Sections::default());
        bytes.extend([0xff, 0xff, 3, 0, 0, 0, 1, 2, 3]);
        let known = encode(&frame, &sections());
        bytes.extend(&known[encode(&frame, &Sections::default()).len()..]);
        let (decoded, read_sections) = decode(&bytes).expect(name);
        assert_eq!(format!("{decoded:?}"), format!("{frame:?}"), "{name}");
        assert_eq!(read_sections, sections(), "{name}");
    }
}

#[test]
fn a_section_that_is_cut_off_is_an_error() {
    let (_, frame) = frames().swap_remove(0);
    let bytes = encode(&frame, &sections());
    let without = encode(&frame, &Sections::default()).len();
    for len in without + 1..bytes.len() {
        assert!(decode(&bytes[..len]).is_err(), "{len} bytes");
    }
}

/// Cold endpoints follow the other sections and keep their layout; a cut-off one is an error.
#[test]
fn cold_endpoints_follow_in_a_section_of_their_own() {
    let report = |name: &str, left_ms| ColdReport { endpoint: id(name), left_ms: SpanMs(left_ms) };
    let sections = Sections { cold_endpoints: vec![report("e-1", 8_000), report("e-22", 1)], ..sections() };
    let (_, frame) = frames().swap_remove(0);
    let bytes = encode(&frame, &sections);
    let without = encode(&frame, &self::sections()).len();
    let content = [0x40, 0x1f, 0, 0, 3, 0, b'e', b'-', b'1', 1, 0, 0, 0, 4, 0, b'e', b'-', b'2', b'2'];
    let header = [4, 0, content.len() as u8, 0, 0, 0];
    assert_eq!(bytes[without..], [&header[..], &content[..]].concat());
    assert_eq!(decode(&bytes).expect("a frame").1, sections);
    for len in without + 1..bytes.len() {
        assert!(decode(&bytes[..len]).is_err(), "{len} bytes");
    }
}
