//! Cold endpoints get no more requests in a second than they bear, from all VMs together, in virtual time.

use boragepass_fakes::path_fleet::{Deployment, PathFleet, Site};
use boragepass_path::ColdStart;
use boragepass_types::{EndpointId, RequestRate, SpanMs};

const COLD_MS: u64 = 8_000;
/// Low enough that a burst exceeds it at once unless VMs keep to it together.
const LOW_RATE: RequestRate = RequestRate(1_000);
const USUAL_RATE: RequestRate = RequestRate(9_100);
const DOWN_MS: u64 = 1_500;

fn cold_fleet(site: Site, rate: RequestRate, seed: u64) -> PathFleet {
    let terms = ColdStart { duration_ms: SpanMs(COLD_MS), rate };
    let mut fleet = PathFleet::new(Deployment::of(site).with_cold_starts(terms), seed);
    fleet.run_until(6_000);
    fleet.set_load(1.0);
    fleet.run_for(3_000);
    fleet
}

fn endpoints(fleet: &PathFleet, is_chosen: impl Fn(&EndpointId) -> bool) -> Vec<EndpointId> {
    fleet.endpoint_ids().into_iter().filter(|id| is_chosen(id)).collect()
}

fn assert_bound_holds(fleet: &PathFleet, what: &str) {
    let cold = fleet.ledger.violations().iter().filter(|violation| violation.description.contains("cold"));
    assert_eq!(cold.count(), 0, "{what}: {:?}", fleet.ledger.violations().first());
}

/// Endpoints that come back empty have the lowest load, and each VM by itself would fill them first.
#[test]
fn a_failure_domain_that_comes_back_cold_under_a_burst_is_filled_slowly() {
    for (site, seed) in [(Site::Lampu, 1), (Site::Gigdesk, 2), (Site::LampuGrown, 3)] {
        let mut fleet = cold_fleet(site, LOW_RATE, seed);
        let ids = endpoints(&fleet, |id| id.as_str().contains("-a-1-"));
        fleet.set_load(1.7);
        fleet.return_cold(&ids, DOWN_MS);
        fleet.run_for(DOWN_MS + COLD_MS + 2_000);
        assert_bound_holds(&fleet, &site.to_string());
        let unused: Vec<_> = ids.iter().filter(|id| fleet.work_since_restart(id) == 0).collect();
        assert!(unused.is_empty(), "{site}: used again once warm: {unused:?}");
        assert!(fleet.log_record_counts["endpoint turned cold"] > 0);
        assert!(fleet.log_record_counts["endpoint turned warm"] > 0);
    }
}

/// Each half would take the whole rate if it counted only the VMs that it hears.
#[test]
fn two_halves_of_the_vms_keep_to_the_rate_together() {
    for (site, seed) in [(Site::Lampu, 4), (Site::Gigdesk, 5)] {
        let mut fleet = cold_fleet(site, USUAL_RATE, seed);
        let half: Vec<_> = (0..fleet.vm_count() / 2).collect();
        fleet.split_vms(&half);
        fleet.run_for(4_000);
        fleet.set_load(3.0);
        let ids = endpoints(&fleet, |_| true);
        fleet.return_cold(&ids, DOWN_MS);
        fleet.run_for(DOWN_MS + COLD_MS + 2_000);
        assert_bound_holds(&fleet, &site.to_string());
    }
}

/// A VM that starts knows neither the others nor what they send.
#[test]
fn vms_that_all_restart_keep_to_the_rate_of_cold_endpoints() {
    for (site, seed) in [(Site::Lampu, 6), (Site::Gigdesk, 7)] {
        let mut fleet = cold_fleet(site, LOW_RATE, seed);
        let ids = endpoints(&fleet, |_| true);
        fleet.return_cold(&ids, 300);
        fleet.run_for(1_000);
        (0..fleet.vm_count()).for_each(|vm| fleet.kill_vm(vm));
        fleet.run_for(500);
        (0..fleet.vm_count()).for_each(|vm| fleet.start_vm(vm));
        fleet.run_for(COLD_MS + 4_000);
        assert_bound_holds(&fleet, &site.to_string());
    }
}

/// Requests wait for a token or are refused; once warm, the pools serve as before.
#[test]
fn pools_whose_endpoints_are_all_cold_serve_at_their_rate_and_recover() {
    let mut fleet = cold_fleet(Site::Lampu, LOW_RATE, 8);
    let from = fleet.now();
    endpoints(&fleet, |_| true).iter().for_each(|id| fleet.chill_endpoint(id));
    fleet.run_for(COLD_MS);
    let to = fleet.now();
    fleet.run_for(4_000);
    let warm_from = fleet.now();
    fleet.run_for(6_000);
    let warm_to = fleet.now();
    fleet.set_load(0.0);
    fleet.run_for(13_000);
    assert_bound_holds(&fleet, "all cold");
    for (kind, spec) in fleet.deployment.kinds.iter().enumerate() {
        let cold = fleet.ledger.outcomes(kind, spec.objective_ms(), from, to);
        let warm = fleet.ledger.outcomes(kind, spec.objective_ms(), warm_from, warm_to);
        println!("{}: cold {cold:?}, warm {warm:?}", spec.name);
        assert_eq!(cold.failed, 0, "{}: {cold:?}", spec.name);
        assert!(cold.in_time + cold.late > 0, "{}: {cold:?}", spec.name);
        assert_eq!(warm.refused + warm.failed, 0, "{}: {warm:?}", spec.name);
    }
}
