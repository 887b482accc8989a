//! VMs that lose their links to all endpoints while clients, the store and the other VMs reach them, in virtual time.

use boragepass_fakes::path_fleet::{Deployment, EndpointLinks, PathFleet, Site};

const WARM_UP_MS: u64 = 4_000;
const PARTITION_MS: u64 = 13_000;
const DRAIN_MS: u64 = 13_000;
/// Clients that use old addresses, which some keep for three times as long as they should.
const STALE_CLIENT_SHARE: f64 = 0.3;

/// VM of each failure domain, and the VMs of the first one. The model deals VMs out to the failure domains in turn.
fn partitioned_vms(fleet: &PathFleet) -> [Vec<usize>; 2] {
    let domains = fleet.deployment.domains.len();
    [(0..domains).collect(), (0..fleet.vm_count()).step_by(domains).collect()]
}

/// Runs a partition of some VMs under the usual load, until all requests have ended.
fn run_partition(site: Site, links: EndpointLinks, choice: usize, warm_up_ms: u64) -> PathFleet {
    let mut fleet = PathFleet::new(Deployment::of(site), 1);
    fleet.stale_client_share = STALE_CLIENT_SHARE;
    fleet.run_until(1_000);
    fleet.set_load(1.0);
    fleet.run_for(warm_up_ms);
    let vms = partitioned_vms(&fleet)[choice].clone();
    fleet.set_endpoint_links(&vms, links);
    fleet.run_for(PARTITION_MS);
    fleet.set_endpoint_links(&vms, EndpointLinks::Up);
    fleet.set_load(0.0);
    fleet.run_for(DRAIN_MS);
    let now = fleet.now();
    fleet.ledger.check_ended(now, 500);
    fleet.ledger.check_partitions(now);
    fleet
}

const LINKS: [EndpointLinks; 3] = [EndpointLinks::Hanging, EndpointLinks::Resetting, EndpointLinks::RefusingNew];

fn for_each_partition(warm_up_ms: u64, check: impl Fn(&str, &PathFleet)) {
    for site in [Site::Lampu, Site::Gigdesk] {
        for links in LINKS {
            for choice in 0..2 {
                check(&format!("{site} {links} {choice}"), &run_partition(site, links, choice, warm_up_ms));
            }
        }
    }
}

#[test]
fn clients_of_vms_that_lost_their_links_to_endpoints_are_served_as_the_others() {
    for_each_partition(WARM_UP_MS, |name, fleet| {
        let violations = fleet.ledger.violations();
        let tallies = fleet.ledger.partition_tallies();
        assert!(violations.is_empty(), "{name}: {} ({} in all), {tallies:?}", violations[0], violations.len());
    });
}

/// An endpoint that still has open connections turns a request away, since results of two stages are gone.
#[test]
fn a_request_is_relayed_once_when_results_of_two_of_its_stages_are_gone() {
    let mut fleet = PathFleet::new(Deployment::of(Site::Lampu), 1);
    fleet.clients_resume_streams = true;
    fleet.run_until(1_000);
    fleet.set_load(1.0);
    fleet.start_harmful_requests(2, 2, 5.0);
    fleet.datagram_loss = 0.28;
    fleet.run_for(3_702);
    fleet.set_endpoint_links(&[5, 0, 1], EndpointLinks::RefusingNew);
    let stage_endpoint = fleet.endpoint_ids().into_iter().find(|id| id.as_str() == "venues-b-1-0");
    fleet.restart_endpoint(&stage_endpoint.expect("the site has this endpoint"), 100);
    fleet.run_for(10);
    fleet.set_load(0.0);
    fleet.stop_harmful_requests();
    fleet.run_for(DRAIN_MS);
    let violations = fleet.ledger.violations();
    assert!(violations.is_empty(), "{} ({} in all)", violations[0], violations.len());
}

/// A pool leader without links to endpoints would fail the pieces of all VMs.
#[test]
fn clients_of_other_vms_are_served_while_some_vms_have_lost_their_links_to_endpoints() {
    for_each_partition(WARM_UP_MS, |name, fleet| {
        let [_, (served, all)] = fleet.ledger.partition_tallies();
        assert!(served * 10 >= all * 9, "{name}: {served} of {all}");
    });
}

/// A VM without links sees resets of connections and then refusals, as if endpoint after endpoint crashed. The partition
/// begins before requests with the shared parts of prompts have completed, which would clear them.
#[test]
fn no_content_is_blamed_for_links_to_endpoints_that_were_lost() {
    for_each_partition(350, |name, fleet| {
        let blamed = fleet.log_record_counts.get("content crashes endpoints").copied().unwrap_or_default();
        assert_eq!(blamed, 0, "{name}");
    });
}
