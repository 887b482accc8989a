//! Requests with home regions, in virtual time: they are served there and nowhere else, under load and under failure.

use boragepass_fakes::path_fleet::{Deployment, EndpointFault, EndpointLinks, Outcomes, PathFleet, Site};
use boragepass_types::{EndpointId, TimeMs};

const DRAIN_MS: u64 = 13_000;

fn start(deployment: Deployment) -> PathFleet {
    let mut fleet = PathFleet::new(deployment, 1);
    fleet.clients_resume_streams = true;
    fleet.run_until(1_000);
    fleet.set_load(1.0);
    fleet.run_for(4_000);
    fleet
}

/// Ends the load, waits until all requests have ended, and checks that no guarantee was broken.
fn finish(fleet: &mut PathFleet) {
    fleet.set_load(0.0);
    fleet.run_for(DRAIN_MS);
    let now = fleet.now();
    fleet.ledger.check_ended(now, 500);
    let violations = fleet.ledger.violations();
    let tallies = fleet.home_tallies();
    assert!(violations.is_empty(), "{} ({} in all), {tallies:?}", violations[0], violations.len());
    assert!(tallies.sends > 0, "{tallies:?}");
    assert!(tallies.foreign_submissions * 20 <= tallies.submissions, "{tallies:?}");
}

fn outcomes(fleet: &PathFleet, kind: usize, from: TimeMs) -> Outcomes {
    fleet.ledger.outcomes(kind, fleet.deployment.kinds[kind].objective_ms(), from, TimeMs(u64::MAX))
}

fn refusals_by_homes(fleet: &PathFleet) -> u32 {
    fleet.log_record_counts.get("refused by home regions").copied().unwrap_or_default()
}

fn plain_endpoints(fleet: &PathFleet, domain: &str) -> Vec<EndpointId> {
    let is_plain = |id: &EndpointId| id.as_str().starts_with("plain") && id.as_str().contains(domain);
    fleet.endpoint_ids().into_iter().filter(is_plain).collect()
}

/// Guards against pieces, requests and addresses outside of home regions while all homes can serve.
#[test]
fn requests_with_home_regions_are_served_there_and_nowhere_else() {
    for site in [Site::Lampu, Site::Gigdesk] {
        let mut fleet = start(Deployment::with_homes(site));
        fleet.run_for(10_000);
        finish(&mut fleet);
        for kind in 0..fleet.deployment.kinds.len() {
            let all = outcomes(&fleet, kind, TimeMs(0));
            assert!((all.in_time + all.late) * 100 >= all.requests * 95, "{site} {kind}: {all:?}");
        }
    }
}

/// Guards against requests that go elsewhere, or wait out their deadline, while all endpoints of their home are down.
#[test]
fn requests_are_refused_while_all_endpoints_of_their_home_are_down_and_served_after() {
    for is_unresponsive in [false, true] {
        let mut fleet = start(Deployment::with_homes(Site::Lampu));
        let from = fleet.now();
        for id in plain_endpoints(&fleet, "-c-1-") {
            fleet.inject_fault(&id, EndpointFault::Crash { duration_ms: 8_000, is_unresponsive });
        }
        fleet.run_for(8_000);
        let (down, refusals) = (outcomes(&fleet, 3, from), refusals_by_homes(&fleet));
        fleet.run_for(4_000);
        let returned_at = fleet.now();
        fleet.run_for(8_000);
        finish(&mut fleet);
        assert!(down.refused * 10 >= down.requests * 7, "{down:?}");
        assert!(refusals * 2 >= down.refused, "{refusals} of {down:?}");
        let others = outcomes(&fleet, 4, from);
        assert!((others.in_time + others.late) * 10 >= others.requests * 9, "{others:?}");
        let after = outcomes(&fleet, 3, returned_at);
        assert!((after.in_time + after.late) * 10 >= after.requests * 9, "{after:?}");
    }
}

/// Guards against relays to VMs outside of the home regions, and pool leaders there, when VMs lose their links.
#[test]
fn vms_without_links_to_endpoints_relay_only_within_home_regions_and_their_own() {
    for links in [EndpointLinks::Hanging, EndpointLinks::Resetting, EndpointLinks::RefusingNew] {
        // Both VMs of region-a, and one VM of each region. VMs are dealt out to the regions in turn.
        for vms in [vec![0, 3], vec![0, 1, 2], vec![1, 4, 2]] {
            let mut fleet = start(Deployment::with_homes(Site::Lampu));
            fleet.stale_client_share = 0.3;
            fleet.set_endpoint_links(&vms, links);
            fleet.run_for(1_000);
            // Clients with old addresses still come to these VMs.
            for kind in [0, 1, 3].into_iter().cycle().take(60) {
                vms.iter().for_each(|vm| fleet.submit_to_vm(*vm, kind, None));
                fleet.run_for(100);
            }
            fleet.set_endpoint_links(&vms, EndpointLinks::Up);
            finish(&mut fleet);
            assert!(fleet.home_tallies().relays > 0, "{links} {vms:?}: {:?}", fleet.home_tallies());
        }
    }
}

/// Guards against leaders of piece requests outside of the home regions when no VM of a home is left.
#[test]
fn pieces_are_led_within_home_regions_after_all_vms_of_a_home_died() {
    let mut fleet = start(Deployment::with_homes(Site::Lampu));
    [1, 4].into_iter().for_each(|vm| fleet.kill_vm(vm));
    fleet.run_for(8_000);
    finish(&mut fleet);
}

/// Guards against waiting requests that keep to the former home regions after they were changed.
#[test]
fn waiting_requests_keep_to_home_regions_that_were_changed() {
    for homes in [["region-c"].as_slice(), &["region-a"]] {
        let mut fleet = start(Deployment::with_homes(Site::Lampu));
        fleet.set_load(1.6);
        fleet.run_for(4_000);
        [0, 1].into_iter().for_each(|kind| fleet.deployment.set_home_regions(kind, homes));
        fleet.change_configuration();
        fleet.run_for(5_000);
        let from = fleet.now();
        fleet.set_load(0.5);
        fleet.run_for(6_000);
        finish(&mut fleet);
        let changed = fleet.log_record_counts.get("home regions of a waiting request changed").copied();
        assert!(changed.unwrap_or_default() > 0, "no request waited");
        let served = outcomes(&fleet, 0, from);
        assert!((served.in_time + served.late) * 10 >= served.requests * 8, "{homes:?}: {served:?}");
    }
}

/// Guards against the run of early stages of a request of which no home has an endpoint of a later stage.
#[test]
fn requests_are_refused_if_their_home_has_no_endpoint_of_a_stage() {
    let mut deployment = Deployment::with_homes(Site::Lampu);
    deployment.endpoints.retain(|endpoint| !endpoint.id.as_str().starts_with("venues-b-1"));
    let mut fleet = start(deployment);
    finish(&mut fleet);
    let refused = outcomes(&fleet, 1, TimeMs(0));
    assert!(refused.requests > 0 && refused.refused == refused.requests, "{refused:?}");
    assert_eq!(refusals_by_homes(&fleet), refused.refused);
}
