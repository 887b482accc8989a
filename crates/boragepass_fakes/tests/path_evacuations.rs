//! Evacuation of failure domains: endpoints there get no new work, whatever happens to VMs and the store meanwhile, and
//! serve again once the domain is taken back.

use boragepass_fakes::path_fleet::{Deployment, PathFleet, Site};
use boragepass_types::FailureDomain;

const WARM_UP_MS: u64 = 3_000;
/// Longer than an evacuation takes to come into force (5 s).
const WATCHED_MS: u64 = 9_000;
/// Longest time in which an evacuation has to take effect in steady state, since later seconds are billed.
const STEADY_EFFECT_MS: u64 = 1_000;
const SITES: [Site; 2] = [Site::Lampu, Site::Gigdesk];

fn loaded_fleet(site: Site, seed: u64) -> (PathFleet, FailureDomain) {
    let mut fleet = PathFleet::new(Deployment::of(site), seed);
    fleet.run_until(1_000);
    fleet.set_load(1.0);
    fleet.run_for(WARM_UP_MS);
    let domain = fleet.deployment.domains[1].0.clone();
    (fleet, domain)
}

fn arrivals(fleet: &PathFleet, domain: &FailureDomain) -> u32 {
    fleet.ledger.evacuations.arrivals.get(domain).copied().unwrap_or_default()
}

/// Requests and calls that reach a domain within a time.
fn arrivals_within(fleet: &mut PathFleet, domain: &FailureDomain, ms: u64) -> u32 {
    let before = arrivals(fleet, domain);
    fleet.run_for(ms);
    arrivals(fleet, domain) - before
}

fn assert_kept(fleet: &PathFleet, site: Site) {
    let violations = fleet.ledger.violations();
    assert!(violations.is_empty(), "{site}: {} ({} in all)", violations[0], violations.len());
    assert_eq!(fleet.ledger.evacuations.late_arrivals, 0, "{site}: of any VM, in touch or not");
}

/// Guards against an evacuation that a part of the placement ignores, and against one that outlives its row.
#[test]
fn an_evacuated_domain_gets_no_work_under_load_and_serves_again_once_taken_back() {
    for site in SITES {
        let (mut fleet, domain) = loaded_fleet(site, 1);
        assert!(arrivals(&fleet, &domain) > 0, "{site}: the domain is used");
        fleet.evacuate(&domain);
        fleet.run_for(STEADY_EFFECT_MS);
        assert_eq!(arrivals_within(&mut fleet, &domain, WATCHED_MS), 0, "{site}");
        assert_kept(&fleet, site);
        fleet.take_back(&domain);
        fleet.run_for(STEADY_EFFECT_MS);
        assert!(arrivals_within(&mut fleet, &domain, WATCHED_MS) > 0, "{site}: the domain is used again");
    }
}

/// Guards against VMs that forget an evacuation when they lose the store.
#[test]
fn an_evacuation_stays_in_force_during_a_store_outage() {
    for site in SITES {
        let (mut fleet, domain) = loaded_fleet(site, 2);
        fleet.evacuate(&domain);
        fleet.run_for(STEADY_EFFECT_MS);
        fleet.set_store_outage(true);
        assert_eq!(arrivals_within(&mut fleet, &domain, WATCHED_MS), 0, "{site}");
        fleet.set_store_outage(false);
        assert_eq!(arrivals_within(&mut fleet, &domain, WATCHED_MS), 0, "{site}");
        assert_kept(&fleet, site);
    }
}

/// Guards against a VM that starts without the store and serves before another VM has told it of the evacuation.
#[test]
fn a_vm_that_restarts_without_the_store_keeps_to_an_evacuation() {
    for site in SITES {
        let (mut fleet, domain) = loaded_fleet(site, 3);
        fleet.evacuate(&domain);
        fleet.run_for(STEADY_EFFECT_MS);
        fleet.set_store_outage(true);
        for vm in 0..fleet.vm_count().min(3) {
            fleet.kill_vm(vm);
            fleet.run_for(300);
            fleet.start_vm(vm);
            assert_eq!(arrivals_within(&mut fleet, &domain, WATCHED_MS / 2), 0, "{site}: VM {vm}");
        }
        assert_eq!(fleet.vms_that_evacuate(&domain), fleet.vm_count(), "{site}");
        assert_kept(&fleet, site);
    }
}

/// Guards against VMs that learn of evacuations and their ends only from the store.
#[test]
fn a_vm_cut_off_from_the_store_learns_of_an_evacuation_from_others() {
    for site in SITES {
        let (mut fleet, domain) = loaded_fleet(site, 4);
        (1..fleet.vm_count()).for_each(|vm| fleet.set_cut_from_store(vm, true));
        fleet.evacuate(&domain);
        fleet.run_for(STEADY_EFFECT_MS);
        assert_eq!(fleet.vms_that_evacuate(&domain), fleet.vm_count(), "{site}");
        assert_eq!(arrivals_within(&mut fleet, &domain, WATCHED_MS), 0, "{site}");
        assert_kept(&fleet, site);
        fleet.take_back(&domain);
        fleet.run_for(STEADY_EFFECT_MS);
        assert_eq!(fleet.vms_that_evacuate(&domain), 0, "{site}");
    }
}

/// Guards against requests that wait for, or go to, the endpoints of a region or of all regions that are evacuated.
#[test]
fn other_regions_serve_for_an_evacuated_region_and_all_is_refused_if_none_is_left() {
    let site = Site::Gigdesk;
    let (mut fleet, domain) = loaded_fleet(site, 5);
    let domains = fleet.deployment.domains.clone();
    let region = domains.iter().find(|(name, _)| *name == domain).map(|(_, region)| region.clone());
    let in_region = domains.iter().filter(|(_, other)| Some(other) == region.as_ref());
    in_region.for_each(|(name, _)| fleet.evacuate(name));
    fleet.run_for(STEADY_EFFECT_MS);
    let served = fleet.log_record_counts["request sent"];
    assert_eq!(arrivals_within(&mut fleet, &domain, WATCHED_MS), 0);
    assert!(fleet.log_record_counts["request sent"] > served, "other regions serve");
    domains.iter().for_each(|(name, _)| fleet.evacuate(name));
    fleet.run_for(STEADY_EFFECT_MS);
    let from = fleet.now();
    fleet.run_for(2_000);
    let to = fleet.now();
    fleet.run_for(13_000);
    for kind in 0..fleet.deployment.kinds.len() {
        let outcomes = fleet.ledger.outcomes(kind, 1_000, from, to);
        assert_eq!((outcomes.refused, outcomes.failed), (outcomes.requests, 0), "kind {kind}: {outcomes:?}");
    }
    assert_kept(&fleet, site);
}
