//! What a reducer takes from other VMs and leaves to them: leads, the store, the list of endpoints.

use std::net::SocketAddr;
use std::sync::Arc;

use boragepass_fakes::path_fleet::{Deployment, Site};
use boragepass_path::{
    ApiKey, Arrival, Batching, ConfigurationVersion, Effect, EndpointUpdate, Event, Heartbeat, PathSettings,
    PeerMessage, RequestNumber, RequestPath, RetryLimits, VmRecord, VmState,
};
use boragepass_types::{Hash64, Incarnation, Millicores, Region, SpanMs, TimeMs, VmId};

const NOW: TimeMs = TimeMs(1_000);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1], port))
}

fn record(number: u16, millicores: u32) -> VmRecord {
    VmRecord {
        vm: format!("vm-{number}").parse().expect("a valid id"),
        incarnation: Incarnation(1),
        region: "region-a".parse().expect("a valid name"),
        failure_domain: "a-1".parse().expect("a valid name"),
        client_address: address(8_000 + number),
        peer_address: address(7_000 + number),
        processor: Millicores(millicores),
        state: VmState::Serving,
    }
}

fn heartbeat(vm: VmRecord) -> Event {
    let heartbeat = Heartbeat {
        configuration: ConfigurationVersion(1),
        has_store: true,
        endpoints_version: 1,
        led_pools: Vec::new(),
        endpoint_loads: Vec::new(),
        content_crashes: Vec::new(),
        known_vms: Vec::new(),
        vm,
    };
    let (from, incarnation) = (heartbeat.vm.vm.clone(), heartbeat.vm.incarnation);
    Event::PeerMessageReceived { from, incarnation, message: PeerMessage::Heartbeat(Box::new(heartbeat)) }
}

fn arrival(number: u64) -> Event {
    let client_id: Arc<str> = format!("{number:016x}").into();
    Event::RequestArrived(Box::new(Arrival {
        request: RequestNumber(number),
        client_id: client_id.clone(),
        host: "site.example".into(),
        path: "/summary/x".into(),
        key: Some(ApiKey("client-key".into())),
        deadline_ms: Some(SpanMs(8_000)),
        prompt: Vec::new(),
        prompt_tokens: 0,
        output_tokens_max: 0,
        pieces: vec![1, 8, 16],
        piece_key: client_id,
        resume_after: None,
        digest: Hash64(number),
        body_bytes: 0,
    }))
}

/// Reducer of a small VM that knows the deployment.
fn path(deployment: &Deployment) -> RequestPath {
    path_of(record(0, 120), deployment)
}

fn path_of(me: VmRecord, deployment: &Deployment) -> RequestPath {
    let settings = PathSettings {
        vm: me.vm,
        incarnation: me.incarnation,
        region: me.region,
        failure_domain: me.failure_domain,
        client_address: me.client_address,
        peer_address: me.peer_address,
        processor: me.processor,
        regions: deployment.domains.clone(),
        retries: RetryLimits { ratio: 0.2, slack: 56.0, window_ms: SpanMs(10_000) },
        stop_grace_ms: SpanMs(8_000),
        batching: Batching::Led,
        seed: 1,
    };
    let mut path = RequestPath::new(NOW, settings);
    path.handle(NOW, Event::ConfigurationReceived(Arc::new(deployment.configuration(1))));
    path.handle(NOW, Event::EndpointsUpdated(EndpointUpdate::Snapshot(deployment.endpoints.clone(), 1)));
    path
}

/// Region of the endpoints and VM of each ask.
fn leads_asked(path: &mut RequestPath) -> Vec<(Region, VmId)> {
    let effects = (1..=20).flat_map(|number| path.handle(NOW, arrival(number)));
    let asks = effects.filter_map(|effect| match effect {
        Effect::SendPeerMessage(vm, _, message) => match *message {
            PeerMessage::PieceRequest(ask) => Some((ask.region, vm)),
            _ => None,
        },
        _ => None,
    });
    asks.collect()
}

#[test]
fn a_vm_with_more_processor_leads() {
    let deployment = Deployment::of(Site::Gigdesk);
    let mut path = path(&deployment);
    for number in 1..=12 {
        path.handle(NOW, heartbeat(record(number, if number == 7 { 500 } else { 120 })));
    }
    let leads = leads_asked(&mut path);
    assert_eq!(leads.len(), 20);
    assert!(leads.iter().all(|(_, lead)| lead.as_str() == "vm-7"), "{leads:?}");
}

#[test]
fn a_vm_leads_in_its_own_region_and_where_none_is_left() {
    let deployment = Deployment::of(Site::Gigdesk);
    let mut path = path(&deployment);
    let far = VmRecord {
        region: "region-b".parse().expect("a valid name"),
        failure_domain: "b-1".parse().expect("a valid name"),
        ..record(3, 4_000)
    };
    path.handle(NOW, heartbeat(far));
    path.handle(NOW, heartbeat(record(1, 500)));
    let leads = leads_asked(&mut path);
    let expected = |region: &Region| if region.as_str() == "region-a" { "vm-1" } else { "vm-3" };
    assert!(leads.iter().any(|(region, _)| region.as_str() == "region-a"), "{leads:?}");
    assert!(leads.iter().all(|(region, lead)| lead.as_str() == expected(region)), "{leads:?}");
}

/// A follower sends the whole list of endpoints to its failure domain at each change; on the grown sites that filled the 10 Mbit/s
/// of a small VM when a fifth of the endpoints were replaced, and others learnt of a drain four seconds late.
#[test]
fn small_vms_leave_the_store_to_large_ones() {
    let deployment = Deployment::of(Site::Gigdesk);
    for number in 0..10 {
        let mut path = path_of(record(number, 120), &deployment);
        for large in [20, 21] {
            path.handle(NOW, heartbeat(record(large, 500)));
        }
        let effects = path.handle(NOW + SpanMs(300), Event::Tick);
        let leaves_it = effects.iter().any(|effect| matches!(effect, Effect::FollowStore(false)));
        assert!(leaves_it, "vm-{number} goes on to follow the store");
    }
}

/// A follower that the store turned away kept an endpoint that was gone, and passed it on to its failure domain as part of a list
/// that nobody asked about any more.
#[test]
fn an_endpoint_that_others_left_out_is_gone_for_a_vm_without_the_store() {
    let deployment = Deployment::of(Site::Gigdesk);
    let mut path = path(&deployment);
    path.handle(NOW, Event::StoreReachable(false));
    let (gone, rest) = deployment.endpoints.split_first().expect("the site has endpoints");
    path.handle(NOW, Event::EndpointsUpdated(EndpointUpdate::PeerSnapshot(rest.to_vec(), 2)));
    assert_eq!(path.endpoints_version(), 2);
    assert!(path.endpoints().all(|endpoint| endpoint.id != gone.id), "{} is still listed", gone.id);
}

/// While the store is away, and until it has been back for two seconds, an entry that it lost is no proof.
#[test]
fn an_entry_that_lapsed_is_passed_on_as_gone_once_its_time_is_over() {
    let deployment = Deployment::of(Site::Gigdesk);
    let mut path = path(&deployment);
    path.handle(NOW, heartbeat(record(1, 120)));
    path.handle(NOW, heartbeat(record(2, 120)));
    path.handle(NOW, Event::StoreReachable(false));
    path.handle(NOW + SpanMs(100), Event::StoreReachable(true));
    let gone = deployment.endpoints[0].id.clone();
    path.handle(NOW + SpanMs(200), Event::EndpointsUpdated(EndpointUpdate::Removed(gone.clone(), 2)));
    assert!(path.endpoints().any(|endpoint| endpoint.id == gone), "it may come back");
    let mut shares = 0;
    for step in 1..=60 {
        let now = NOW + SpanMs(200 + 50 * step);
        let events = [heartbeat(record(1, 120)), heartbeat(record(2, 120)), Event::Tick];
        let effects = events.into_iter().flat_map(|event| path.handle(now, event));
        shares += effects.filter(|effect| matches!(effect, Effect::ShareState { .. })).count();
    }
    assert!(path.endpoints().all(|endpoint| endpoint.id != gone), "its time is over");
    assert!(shares >= 2, "{shares} lists passed on, at the change and at its end");
}
