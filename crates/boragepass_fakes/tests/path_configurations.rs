//! Changes of the configuration in virtual time: in force in time, never taken back, added routes served.

#![allow(clippy::unwrap_used, reason = "a test fails where it panics")]

use boragepass_fakes::path_fleet::{ADDED_ROUTES, Deployment, EndpointLinks, PathFleet, Site};

/// Time in which a change reaches a VM that follows the store, and from there another one, at most.
const DELIVERY_MAX_MS: u64 = 900;

/// As many VMs as the grown sites have nearly, so that heartbeats are 0.7 s apart.
const VMS: usize = 60;
/// VMs that the clients use, once for each request of a round. The first one loses its links to endpoints, and each of its
/// requests goes to another VM.
const PROBED_VMS: [usize; 10] = [0, 0, 0, 0, 0, 0, 0, 0, 1, 2];

fn fleet(seed: u64) -> PathFleet {
    let mut deployment = Deployment::of(Site::Lampu);
    deployment.vms = VMS;
    let mut fleet = PathFleet::new(deployment, seed);
    fleet.configuration_delay_max_ms = DELIVERY_MAX_MS;
    fleet.run_until(6_000);
    fleet
}

/// Adds and removes routes in turn while clients use them at each VM.
fn change_routes(fleet: &mut PathFleet) {
    for is_present in [true, false, true] {
        for route in 0..ADDED_ROUTES {
            fleet.set_added_route(route, is_present);
            fleet.probe_added_route(&PROBED_VMS, route, 16);
        }
    }
}

fn violations(fleet: &PathFleet) -> Vec<String> {
    fleet.ledger.violations().iter().map(ToString::to_string).collect()
}

#[test]
fn added_routes_are_in_force_in_time_and_served_by_all_vms() {
    for seed in 1..=2 {
        let mut fleet = fleet(seed);
        change_routes(&mut fleet);
        fleet.check_added_routes_served();
        assert_eq!(violations(&fleet), Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn a_vm_that_relays_its_requests_handles_none_by_an_older_configuration_than_before() {
    for links in [EndpointLinks::Hanging, EndpointLinks::Resetting] {
        for seed in 1..=2 {
            let mut fleet = fleet(seed);
            fleet.set_load(1.0);
            fleet.set_endpoint_links(&[0], links);
            fleet.run_for(3_000);
            change_routes(&mut fleet);
            assert!(fleet.log_record_counts["request relayed"] > 100, "{:?}", fleet.log_record_counts);
            assert_eq!(violations(&fleet), Vec::<String>::new(), "{links}, seed {seed}");
        }
    }
}
