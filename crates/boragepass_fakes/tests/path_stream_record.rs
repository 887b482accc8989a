//! Versions of begun streams in the store: what the collector writes and when, and which streams go on from there.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use boragepass_fakes::path_fleet::{Deployment, PathFleet, Site, answer_entry_reads, known_entry};
use boragepass_path::{
    ApiKey, Arrival, Batching, ColdBounds, Effect, Endpoint, EndpointEntry, EndpointUpdate, Evacuations, Event,
    PathSettings, PeerMessage, RecordedVersions, RequestNumber, RequestPath, RetryLimits, StoreVersion,
    StreamVersionRow, stream_digest,
};
use boragepass_types::{EndpointId, Hash64, Incarnation, Millicores, SpanMs, StoreEra, TimeMs, rendezvous_weight};

const NOW: TimeMs = TimeMs(1_000);

/// Path of a VM that is alone, so it is the collector, before a pool of engines of these versions.
fn collector(versions: &[&str]) -> RequestPath {
    let deployment = Deployment::of(Site::Gigdesk);
    let (failure_domain, region) = deployment.domains[0].clone();
    let address = "10.1.0.1:7000".parse().expect("a valid address");
    let settings = PathSettings {
        vm: "vm-0".parse().expect("a valid id"),
        incarnation: Incarnation(1),
        region,
        failure_domain,
        client_address: address,
        peer_address: address,
        relay_address: address,
        processor: Millicores(120),
        regions: deployment.domains.clone(),
        retries: RetryLimits { ratio: 0.2, slack: 56.0, window_ms: SpanMs(10_000) },
        cold_bounds: ColdBounds::default(),
        stop_grace_ms: SpanMs(8_000),
        batching: Batching::Led,
        seed: 1,
    };
    let mut path = RequestPath::new(NOW, settings);
    path.handle(NOW, Event::EvacuationsUpdated(Evacuations::default()));
    path.handle(NOW, Event::ConfigurationReceived(Arc::new(deployment.configuration(1))));
    path.handle(NOW, endpoints(&deployment, 1));
    let mut by_pool: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
    for endpoint in &deployment.endpoints {
        by_pool.entry(endpoint.pool.clone()).or_default().insert(endpoint.software_version.clone());
    }
    by_pool.insert("models".parse().expect("a valid id"), versions.iter().map(|it| it.parse().ok()).collect());
    let effects = path.handle(NOW, Event::VersionsRecorded(RecordedVersions { by_pool }));
    let is_read = effects.iter().any(|effect| matches!(effect, Effect::ReadStreamVersions));
    assert_eq!(is_read, versions.len() > 1, "the table is read at the start if a pool had several versions");
    path
}

fn endpoints(deployment: &Deployment, era: u64) -> Event {
    let version = StoreVersion { era: StoreEra(era), number: 1 };
    Event::EndpointsUpdated(EndpointUpdate::Snapshot(deployment.endpoints.clone(), version))
}

fn begin_stream(table: &mut Table, path: &mut RequestPath, now: TimeMs, stream: &str, version: &str) {
    let message = PeerMessage::StreamVersion(stream.into(), version.parse().ok());
    let from = "vm-1".parse().expect("a valid id");
    table.handle(path, now, Event::PeerMessageReceived { from, incarnation: Incarnation(1), message });
}

/// Store that carries out the calls of a path, or some of them.
#[derive(Default)]
struct Table {
    rows: BTreeMap<u16, StreamVersionRow>,
    version: u64,
    reads: usize,
    writes: Vec<StreamVersionRow>,
    is_away: bool,
    replies_to_lose: usize,
}

impl Table {
    /// Runs the path to a time, in steps of 100 ms.
    fn run(&mut self, path: &mut RequestPath, from: TimeMs, ms: u64) {
        for step in 0..ms / 100 {
            self.handle(path, from + SpanMs(step * 100), Event::Tick);
        }
    }

    /// Passes an event to the path, and the events of the calls that it makes.
    fn handle(&mut self, path: &mut RequestPath, now: TimeMs, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            events.extend(path.handle(now, event).into_iter().filter_map(|effect| self.carry_out(effect)));
        }
    }

    fn carry_out(&mut self, effect: Effect) -> Option<Event> {
        match effect {
            Effect::ReadStreamVersions if self.is_away => Some(Event::StreamVersionsRead(None)),
            Effect::ReadStreamVersions => {
                self.reads += 1;
                Some(Event::StreamVersionsRead(Some(self.rows.values().cloned().collect())))
            }
            Effect::RecordStreamVersions(_) if self.is_away => Some(Event::StreamVersionsRecorded(None)),
            Effect::RecordStreamVersions(row) => {
                let present = self.rows.get(&row.slot).map_or(0, |present| present.row_version);
                assert_eq!(present, row.row_version, "the row that is replaced");
                self.version += 1;
                self.writes.push(row.clone());
                self.rows.insert(row.slot, StreamVersionRow { row_version: self.version, ..row });
                let is_lost = self.replies_to_lose > 0;
                self.replies_to_lose = self.replies_to_lose.saturating_sub(1);
                Some(Event::StreamVersionsRecorded((!is_lost).then_some(self.version)))
            }
            _ => None,
        }
    }

    fn names(&self, stream: &str, version: &str) -> bool {
        let entry = (stream_digest(stream), version.parse().ok());
        self.rows.values().any(|row| row.streams.contains(&entry))
    }
}

/// Collector that has answered its first read with an empty table.
fn ready_collector() -> RequestPath {
    let mut path = collector(&["1", "2"]);
    path.handle(NOW, Event::StreamVersionsRead(Some(Vec::new())));
    path
}

#[test]
fn a_stream_is_in_the_store_a_tenth_of_a_second_after_it_began() {
    let (mut path, mut table) = (ready_collector(), Table::default());
    table.run(&mut path, NOW, 1_000);
    for number in 0..20_u64 {
        let now = NOW + SpanMs(1_000 + number * 230);
        begin_stream(&mut table, &mut path, now, &number.to_string(), "1");
        table.handle(&mut path, now + SpanMs(100), Event::Tick);
        assert!(table.names(&number.to_string(), "1"), "stream {number}");
    }
}

/// Load of 195 VMs that begin 80 streams a second, over two minutes; rows must be reused.
#[test]
fn the_collector_fills_two_rows_a_second_and_reuses_them() {
    let (mut path, mut table) = (ready_collector(), Table::default());
    let engine = path.endpoints().find(|known| known.pool.as_str() == "models").expect("the site has engines").clone();
    let upgraded = Endpoint { software_version: "2".parse().ok(), ..engine };
    let list_version = StoreVersion { era: StoreEra(1), number: 2 };
    path.handle(NOW, Event::EndpointsUpdated(EndpointUpdate::Changed(upgraded, list_version)));
    for tenth in 0..1_200_u64 {
        let now = NOW + SpanMs(tenth * 100);
        (0..8).for_each(|number| begin_stream(&mut table, &mut path, now, &format!("{tenth}-{number}"), "1"));
        table.run(&mut path, now, 100);
    }
    let rows: Vec<_> = table.rows.values().map(|row| row.streams.len()).collect();
    let facts = (table.writes.len(), table.reads, rows.iter().sum::<usize>(), table.rows.len());
    assert!(facts.0 <= 1_201 && facts.1 <= 1 && facts.2 >= 4_700 && facts.3 <= 122, "{facts:?}");
    assert!(rows.iter().all(|streams| *streams <= 48), "{rows:?}");
    let last_minute = (600..1_198_u64).flat_map(|tenth| (0..8).map(move |number| format!("{tenth}-{number}")));
    let missing: Vec<_> = last_minute.filter(|stream| !table.names(stream, "1")).collect();
    assert_eq!(missing.len(), 0, "{:?}", missing.first());
}

#[test]
fn streams_that_begin_while_the_store_is_away_are_written_once_it_is_back() {
    for is_noticed in [true, false] {
        let (mut path, mut table) = (ready_collector(), Table { is_away: true, ..Table::default() });
        table.handle(&mut path, NOW, Event::StoreReachable(!is_noticed));
        (0..13_000).for_each(|number| begin_stream(&mut table, &mut path, NOW, &number.to_string(), "2"));
        table.run(&mut path, NOW, 20_000);
        table.is_away = false;
        table.handle(&mut path, NOW + SpanMs(20_000), Event::StoreReachable(true));
        table.run(&mut path, NOW + SpanMs(20_000), 5_000);
        assert!(table.names("12999", "2") && table.names("1000", "2"));
        assert!(!table.names("999", "2"), "the number of held streams is bounded");
        assert!(table.rows.values().all(|row| row.streams.len() <= 3_000));
        table.run(&mut path, NOW + SpanMs(60_000), 5_000);
        assert_eq!(table.writes.len(), 4);
    }
}

#[test]
fn a_write_whose_reply_is_lost_is_written_again_only_if_the_table_lacks_it() {
    for is_carried_out in [true, false] {
        let (mut path, mut table) = (ready_collector(), Table { replies_to_lose: 1, ..Table::default() });
        begin_stream(&mut table, &mut path, NOW, "stream", "1");
        table.run(&mut path, NOW, 600);
        let first = table.writes[0].clone();
        if !is_carried_out {
            table.rows.clear();
        }
        table.run(&mut path, NOW + SpanMs(600), 3_000);
        assert!(table.names("stream", "1"));
        let expected = if is_carried_out { vec![first] } else { vec![first.clone(), first] };
        assert_eq!(table.writes, expected);
    }
}

#[test]
fn a_restored_store_gets_the_streams_again_that_are_still_held_and_both_that_share_a_digest() {
    let (mut path, mut table) = (ready_collector(), Table::default());
    begin_stream(&mut table, &mut path, NOW, "stream", "1");
    begin_stream(&mut table, &mut path, NOW, "stream", "2");
    table.run(&mut path, NOW, 1_000);
    assert!(table.names("stream", "1") && table.names("stream", "2"));
    table.rows.clear();
    table.handle(&mut path, NOW + SpanMs(1_000), endpoints(&Deployment::of(Site::Gigdesk), 2));
    table.run(&mut path, NOW + SpanMs(1_000), 3_000);
    assert!(table.names("stream", "1") && table.names("stream", "2"));
}

/// Answers of a path to a request that takes up a stream, with the table as it is read and the store's entries.
fn take_up(
    stream: &str,
    rows: Option<Vec<StreamVersionRow>>,
    entry: impl Fn(&Endpoint) -> EndpointEntry,
) -> (Option<EndpointId>, Option<u16>) {
    let mut path = collector(&["1", "2"]);
    let mut effects = path.handle(NOW, Event::StreamVersionsRead(rows));
    effects.extend(path.handle(
        NOW,
        Event::RequestArrived(Box::new(Arrival {
            request: RequestNumber(1),
            client_id: "next-attempt".into(),
            is_relayed: false,
            relay_origin: None,
            host: "site.example".into(),
            path: "/ask/x".into(),
            key: Some(ApiKey("client-key".into())),
            deadline_ms: Some(SpanMs(8_000)),
            prompt: Vec::new(),
            prompt_tokens: 0,
            output_tokens_max: 0,
            pieces: vec![0; 4],
            piece_key: "next-attempt".into(),
            resume_after: Some(3),
            resumed_stream: Some(stream.into()),
            digest: Hash64(1),
            body_bytes: 0,
        })),
    ));
    effects.extend(answer_entry_reads(&mut path, NOW, &effects, &entry));
    for step in 1..=15 {
        let now = NOW + SpanMs(100 * step);
        let mut later = path.handle(now, Event::Tick);
        later.extend(answer_entry_reads(&mut path, now, &later, &entry));
        effects.extend(later);
    }
    let sent_to = effects.iter().find_map(|effect| match effect {
        Effect::Send { target, .. } => Some(target.endpoint.clone()),
        _ => None,
    });
    let status = effects.iter().find_map(|effect| match effect {
        Effect::Respond(_, answer) => Some(answer.status),
        _ => None,
    });
    (sent_to, status)
}

/// A digest that two streams share must not join one of them from two versions.
#[test]
fn a_stream_goes_on_from_the_table_unless_its_digest_has_two_versions() {
    let row = |slot, versions: &[&str]| {
        let streams = versions.iter().map(|version| (stream_digest("stream"), version.parse().ok())).collect();
        StreamVersionRow { slot, row_version: 7, streams }
    };
    let (sent_to, status) = take_up("stream", Some(vec![row(0, &["1"]), row(1, &["1"]), row(2, &[])]), known_entry);
    assert!(sent_to.is_some() && status.is_none());
    for rows in [None, Some(Vec::new()), Some(vec![row(0, &["1", "2"])]), Some(vec![row(0, &["1"]), row(1, &["2"])])] {
        assert_eq!(take_up("stream", rows.clone(), known_entry), (None, Some(503)), "{rows:?}");
    }
    assert_eq!(take_up("another stream", Some(vec![row(0, &["1"])]), known_entry), (None, Some(503)));
}

#[test]
fn a_stream_does_not_go_on_at_an_endpoint_whose_entry_is_not_the_known_one_or_cannot_be_read() {
    let rows = || {
        Some(vec![StreamVersionRow {
            slot: 0,
            row_version: 7,
            streams: vec![(stream_digest("stream"), "1".parse().ok())],
        }])
    };
    let later_start = |known: &Endpoint| EndpointEntry::StartedAt(known.started_at_unix_ms + 1);
    assert_eq!(take_up("stream", rows(), later_start), (None, Some(503)));
    assert_eq!(take_up("stream", rows(), |_| EndpointEntry::Missing), (None, Some(503)));
    assert_eq!(take_up("stream", rows(), |_| EndpointEntry::Unknown), (None, Some(503)), "no other VM was heard");
    let (sent_to, _) = take_up("stream", rows(), known_entry);
    assert!(sent_to.is_some());
}

/// Fleet of engines of two versions that loses all VMs four times, with a fault before each time; streams must go on from
/// the table in at least half of the cases.
fn lose_all_vms(seed: u64, mut fault: impl FnMut(&mut PathFleet)) -> PathFleet {
    let mut fleet = PathFleet::new(Deployment::of(Site::Gigdesk), seed);
    fleet.clients_resume_streams = true;
    let ids = fleet.endpoint_ids().into_iter();
    for id in ids.filter(|id| id.as_str().starts_with("models")).step_by(2).collect::<Vec<_>>() {
        fleet.upgrade_endpoint(&id, "2", 0);
    }
    fleet.run_until(1_000);
    fleet.set_load(1.0);
    fleet.run_for(4_000);
    fleet.break_notice_ms = 5_200;
    for _ in 0..4 {
        fault(&mut fleet);
        (0..fleet.vm_count()).for_each(|vm| fleet.kill_vm(vm));
        fleet.run_for(600);
        (0..fleet.vm_count()).for_each(|vm| fleet.start_vm(vm));
        fleet.run_for(4_000);
    }
    fleet.set_load(0.0);
    fleet.run_for(13_000);
    assert_eq!(fleet.ledger.violations().first(), None);
    let (resumed, continued) = (fleet.ledger.resumed_streams, fleet.ledger.continued_streams);
    println!("{continued} of {resumed} streams went on, calls {:?}", fleet.stream_version_calls());
    assert!(resumed >= 12 && continued * 2 >= resumed, "{continued} of {resumed} streams went on");
    fleet
}

fn collecting_vm(fleet: &PathFleet) -> usize {
    let weight = |vm: &usize| rendezvous_weight("version-recorder", &format!("vm-{vm}"));
    (0..fleet.vm_count()).max_by_key(weight).expect("the fleet has VMs")
}

#[test]
fn streams_go_on_though_the_store_was_away_while_they_began() {
    lose_all_vms(21, |fleet| {
        (0..fleet.vm_count()).for_each(|vm| fleet.set_cut_from_store(vm, true));
        fleet.run_for(2_500);
        (0..fleet.vm_count()).for_each(|vm| fleet.set_cut_from_store(vm, false));
        fleet.run_for(2_000);
    });
}

#[test]
fn streams_go_on_though_the_collector_died_before() {
    lose_all_vms(22, |fleet| {
        fleet.run_for(1_000);
        let collecting_vm = collecting_vm(fleet);
        fleet.kill_vm(collecting_vm);
        fleet.run_for(4_000);
    });
}

#[test]
fn streams_go_on_though_replies_were_lost_and_the_store_was_restored() {
    lose_all_vms(23, |fleet| fleet.lose_stream_version_replies(2));
    lose_all_vms(24, |fleet| {
        fleet.keep_store_copy();
        fleet.run_for(2_500);
        fleet.restore_store();
        fleet.run_for(2_500);
    });
}

/// Streams of a pool that had one version all along need no row.
#[test]
fn a_fleet_with_one_version_makes_no_calls_for_streams() {
    let mut fleet = PathFleet::new(Deployment::of(Site::Gigdesk), 25);
    fleet.clients_resume_streams = true;
    fleet.set_load(1.0);
    for _ in 0..2 {
        fleet.run_for(4_000);
        (0..fleet.vm_count()).for_each(|vm| fleet.kill_vm(vm));
        fleet.run_for(600);
        (0..fleet.vm_count()).for_each(|vm| fleet.start_vm(vm));
    }
    fleet.run_for(4_000);
    assert_eq!((fleet.stream_version_calls(), fleet.stream_version_rows()), ((0, 0), 0));
}
