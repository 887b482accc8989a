//! Streams that go on after a break, in virtual time, while engines of several software versions serve.

use boragepass_fakes::path_fleet::{Deployment, EndpointFault, PathFleet, Site};
use boragepass_types::EndpointId;

const WARM_UP_MS: u64 = 4_000;
const DRAIN_MS: u64 = 13_000;
const CRASH: EndpointFault = EndpointFault::Crash { duration_ms: 3_000, is_unresponsive: false };

fn engines(fleet: &PathFleet) -> Vec<EndpointId> {
    fleet.endpoint_ids().into_iter().filter(|id| id.as_str().starts_with("models")).collect()
}

/// Clients take up streams again, and every second engine has another software version.
fn mixed_fleet(site: Site, seed: u64) -> PathFleet {
    let mut fleet = PathFleet::new(Deployment::of(site), seed);
    fleet.clients_resume_streams = true;
    for id in engines(&fleet).iter().step_by(2) {
        fleet.upgrade_endpoint(id, "2", 0);
    }
    fleet.run_until(1_000);
    fleet.set_load(1.0);
    fleet.run_for(WARM_UP_MS);
    fleet
}

fn drain(fleet: &mut PathFleet) {
    fleet.set_load(0.0);
    fleet.run_for(DRAIN_MS);
    let now = fleet.now();
    fleet.ledger.check_ended(now, 500);
    if let Some(violation) = fleet.ledger.violations().first() {
        panic!("{violation} ({} in all)", fleet.ledger.violations().len());
    }
}

fn crash_engines_in_turn(fleet: &mut PathFleet) {
    for id in engines(fleet) {
        fleet.inject_fault(&id, CRASH);
        fleet.run_for(2_000);
    }
}

fn restart_vms_in_turn(fleet: &mut PathFleet) {
    for vm in 0..fleet.vm_count() {
        fleet.kill_vm(vm);
        fleet.run_for(1_500);
        fleet.start_vm(vm);
        fleet.run_for(1_500);
    }
}

/// Kills all VMs at the same moment and starts them again.
fn restart_all_vms(fleet: &mut PathFleet, down_ms: u64) {
    (0..fleet.vm_count()).for_each(|vm| fleet.kill_vm(vm));
    fleet.run_for(down_ms);
    (0..fleet.vm_count()).for_each(|vm| fleet.start_vm(vm));
}

#[test]
fn no_stream_is_joined_from_two_versions_after_a_restart_of_all_vms() {
    for (site, seed) in [(Site::Lampu, 6), (Site::Gigdesk, 7)] {
        for names_stream in [true, false] {
            let mut fleet = mixed_fleet(site, seed);
            fleet.clients_name_streams = names_stream;
            restart_all_vms(&mut fleet, 600);
            fleet.run_for(WARM_UP_MS);
            let earlier_version: Vec<_> =
                engines(&fleet).into_iter().filter(|id| !id.as_str().contains("replaced")).collect();
            for id in &earlier_version {
                fleet.upgrade_endpoint(id, "2", 0);
            }
            restart_all_vms(&mut fleet, 1_000);
            fleet.run_for(WARM_UP_MS);
            drain(&mut fleet);
        }
    }
}

#[test]
fn streams_of_the_only_version_go_on_after_a_restart_of_all_vms() {
    for (site, seed) in [(Site::Lampu, 8), (Site::Gigdesk, 9)] {
        for names_stream in [true, false] {
            let mut fleet = PathFleet::new(Deployment::of(site), seed);
            fleet.clients_resume_streams = true;
            fleet.clients_name_streams = names_stream;
            fleet.run_until(1_000);
            fleet.set_load(1.0);
            for _ in 0..4 {
                fleet.run_for(WARM_UP_MS);
                restart_all_vms(&mut fleet, 600);
            }
            drain(&mut fleet);
            let (resumed, continued) = (fleet.ledger.resumed_streams, fleet.ledger.continued_streams);
            assert!(resumed >= 12, "{site}: only {resumed} streams were taken up");
            assert!(continued * 2 >= resumed, "{site}: {continued} of {resumed} streams went on");
        }
    }
}

/// The clients see the break only after the longest pause that they wait for, when the VMs have run for seconds again.
#[test]
fn streams_of_several_versions_go_on_after_all_vms_lost_power() {
    let mut fleet = mixed_fleet(Site::Gigdesk, 10);
    fleet.break_notice_ms = 5_200;
    for _ in 0..4 {
        fleet.run_for(WARM_UP_MS);
        restart_all_vms(&mut fleet, 600);
    }
    drain(&mut fleet);
    let (resumed, continued) = (fleet.ledger.resumed_streams, fleet.ledger.continued_streams);
    assert!(resumed >= 12, "only {resumed} streams were taken up");
    assert!(continued * 2 >= resumed, "{continued} of {resumed} streams went on");
}

#[test]
fn a_stream_goes_on_only_at_the_software_version_that_began_it() {
    for (site, seed) in [(Site::Lampu, 1), (Site::Gigdesk, 2)] {
        let mut fleet = mixed_fleet(site, seed);
        crash_engines_in_turn(&mut fleet);
        restart_vms_in_turn(&mut fleet);
        drain(&mut fleet);
    }
}

#[test]
fn streams_that_clients_take_up_go_on_while_their_software_version_serves() {
    for (site, seed) in [(Site::Lampu, 3), (Site::Gigdesk, 4)] {
        let mut fleet = mixed_fleet(site, seed);
        (0..3).for_each(|_| restart_vms_in_turn(&mut fleet));
        drain(&mut fleet);
        let (resumed, continued) = (fleet.ledger.resumed_streams, fleet.ledger.continued_streams);
        assert!(resumed >= 12, "{site}: only {resumed} streams were taken up");
        assert!(continued * 2 >= resumed, "{site}: {continued} of {resumed} streams went on");
    }
}

/// No VM reads the store, so all know the engines as they were before the restarts.
#[test]
fn a_stream_goes_on_at_its_version_though_engines_restart_under_their_ids() {
    let mut fleet = mixed_fleet(Site::Lampu, 5);
    (0..fleet.vm_count()).for_each(|vm| fleet.set_cut_from_store(vm, true));
    for id in engines(&fleet).iter().step_by(3) {
        fleet.restart_with_version(id, "3", 1_000);
    }
    fleet.run_for(2_000);
    crash_engines_in_turn(&mut fleet);
    drain(&mut fleet);
}

/// Lets engines of another version join while one VM is out of step, and breaks the streams that began there.
fn join_while_out_of_step(site: Site, names_stream: bool, put_out_of_step: impl Fn(&mut PathFleet, usize, bool)) {
    for seed in 20..28 {
        let mut fleet = PathFleet::new(Deployment::of(site), seed);
        fleet.clients_resume_streams = true;
        fleet.clients_name_streams = names_stream;
        fleet.run_until(1_000);
        fleet.set_load(1.0);
        fleet.run_for(2 * WARM_UP_MS);
        let vm = seed as usize % fleet.vm_count();
        put_out_of_step(&mut fleet, vm, true);
        let earlier = engines(&fleet);
        let joining: Vec<_> = earlier.iter().step_by(2).filter_map(|id| fleet.upgrade_endpoint(id, "2", 0)).collect();
        fleet.run_for(2_000);
        joining.iter().for_each(|id| fleet.inject_fault(id, CRASH));
        fleet.run_for(1_500);
        put_out_of_step(&mut fleet, vm, false);
        fleet.run_for(2_000);
        drain(&mut fleet);
    }
}

#[test]
fn no_stream_is_joined_from_two_versions_at_a_vm_that_was_cut_off_while_one_of_them_joined() {
    for site in [Site::Lampu, Site::Gigdesk] {
        for names_stream in [true, false] {
            join_while_out_of_step(site, names_stream, |fleet, vm, is_out_of_step| {
                fleet.set_cut_from_store(vm, is_out_of_step);
                let cut: &[usize] = if is_out_of_step { &[vm] } else { &[] };
                fleet.split_vms(cut);
            });
        }
    }
}

#[test]
fn no_stream_is_joined_from_two_versions_at_a_vm_that_stood_still_while_one_of_them_joined() {
    for site in [Site::Lampu, Site::Gigdesk] {
        for names_stream in [true, false] {
            join_while_out_of_step(site, names_stream, |fleet, vm, is_out_of_step| {
                if is_out_of_step {
                    fleet.pause_vm(vm, 2_030);
                }
            });
        }
    }
}

/// Restarts all endpoints of the earlier version under their ids as a new one, while streams run there.
fn restart_earlier_version(site: Site, seed: u64, prepare: impl Fn(&mut PathFleet)) {
    const DOWN_MS: u64 = 1_000;
    const REGISTRATION_DELAY_MS: u64 = 300;
    let mut fleet = mixed_fleet(site, seed);
    fleet.registration_delay_ms = REGISTRATION_DELAY_MS;
    let earlier_version: Vec<_> = engines(&fleet).into_iter().filter(|id| !id.as_str().contains("replaced")).collect();
    prepare(&mut fleet);
    for id in &earlier_version {
        fleet.restart_with_version(id, "3", DOWN_MS);
        fleet.run_for(120);
    }
    fleet.run_for(2 * WARM_UP_MS);
    drain(&mut fleet);
}

#[test]
fn no_stream_goes_on_at_an_endpoint_that_crashed_and_returned_under_its_id_as_another_version() {
    for (site, seed) in [(Site::Lampu, 30), (Site::Lampu, 31), (Site::Gigdesk, 32), (Site::Gigdesk, 33)] {
        restart_earlier_version(site, seed, |_| {});
    }
}

#[test]
fn no_stream_goes_on_at_an_endpoint_that_returned_as_another_version_while_the_feed_lags() {
    for (site, seed) in [(Site::Lampu, 34), (Site::Lampu, 35), (Site::Gigdesk, 36), (Site::Gigdesk, 37)] {
        restart_earlier_version(site, seed, |fleet| fleet.feed_delay_ms = 1_500);
    }
}

#[test]
fn no_stream_goes_on_at_an_endpoint_that_returned_as_another_version_while_a_vm_stood_still() {
    for (site, seed) in [(Site::Lampu, 38), (Site::Lampu, 39), (Site::Gigdesk, 40), (Site::Gigdesk, 41)] {
        restart_earlier_version(site, seed, |fleet| fleet.pause_vm(seed as usize % fleet.vm_count(), 2_600));
    }
}

#[test]
fn no_stream_goes_on_at_an_endpoint_that_returned_as_another_version_while_a_vm_was_cut_off() {
    for (site, seed) in [(Site::Lampu, 42), (Site::Lampu, 43), (Site::Gigdesk, 44), (Site::Gigdesk, 45)] {
        restart_earlier_version(site, seed, |fleet| {
            let vm = seed as usize % fleet.vm_count();
            fleet.set_cut_from_store(vm, true);
            fleet.split_vms(&[vm]);
        });
    }
}
