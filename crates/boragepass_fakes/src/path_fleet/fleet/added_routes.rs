//! Routes that the operator adds and removes, and requests that clients send to single VMs to see which are in force.

use super::*;
use crate::path_fleet::added_routes::{AddedRoute, Handling};

/// Routes that can be added.
pub const ADDED_ROUTES: u8 = 4;
/// Time between two rounds of requests after a change.
const ROUND_MS: u64 = 100;
/// Time in which all VMs know that evacuations were taken back.
const EVACUATIONS_ENDED_MS: u64 = 4_000;
/// Time in which requests on added routes are answered without faults.
const ALL_ANSWERED_MS: u64 = 5_000;

impl PathFleet {
    /// Adds a route to the configuration, or removes it.
    pub fn set_added_route(&mut self, route: AddedRoute, is_present: bool) {
        match is_present {
            true => self.deployment.added_routes.insert(route),
            false => self.deployment.added_routes.remove(&route),
        };
        self.change_configuration();
    }

    /// Sends a request on a route to each of some VMs, for some rounds.
    pub fn probe_added_route(&mut self, vms: &[usize], route: AddedRoute, rounds: u32) {
        for _ in 0..rounds {
            for vm in vms {
                if self.vms[*vm].request_path.is_some() && self.vms[*vm].paused_until <= self.now {
                    self.send_probe(*vm, route);
                }
            }
            self.run_for(ROUND_MS);
        }
    }

    fn send_probe(&mut self, vm: usize, route: AddedRoute) {
        let kind = self.deployment.added_route_kind();
        let arrival = self.register_request(vm, kind, None, None);
        let arrival = Arrival { path: format!("/added-{route}/x").into(), ..arrival };
        self.relays.on_submitted(&arrival);
        let process = (vm, self.vms[vm].incarnation);
        self.ledger.added_routes.on_sent(self.now, &arrival.client_id, process, route);
        self.deliver(vm, CLIENT_DELAY_MS, Event::RequestArrived(Box::new(arrival)));
    }

    /// Records the added routes of the configuration that is published now.
    pub(super) fn record_added_routes(&mut self) {
        self.ledger.added_routes.on_confirmed(self.now, self.deployment.added_routes.clone());
    }

    /// Checks a request that reaches an endpoint, if it is on an added route.
    pub(super) fn check_added_route_sent(&mut self, client_id: &Arc<str>) {
        self.check_added_route(client_id, Handling::Sent);
    }

    /// Checks a request to which a VM answers that no route matches, if it is on an added route.
    pub(super) fn check_added_route_missing(&mut self, vm: usize, incarnation: u64, request: RequestNumber) {
        if let Some(client_id) = self.client_ids.get(&(vm, incarnation, request)).cloned() {
            self.check_added_route(&client_id, Handling::NoRoute);
        }
    }

    fn check_added_route(&mut self, client_id: &Arc<str>, handling: Handling) {
        let Some(vm) = self.ledger.added_routes.vm_of(client_id) else {
            return;
        };
        let in_touch = self.is_in_touch(vm) && self.split_vms.is_empty();
        if let Some(description) = self.ledger.added_routes.check(self.now, client_id, handling, in_touch) {
            self.ledger.record_violation(self.now, client_id, description);
        }
    }

    /// Checks that each VM serves each added route, once all faults are removed. Takes back all evacuations.
    pub fn check_added_routes_served(&mut self) {
        let domains: Vec<_> = self.deployment.domains.iter().map(|(domain, _)| domain.clone()).collect();
        domains.iter().for_each(|domain| self.take_back(domain));
        self.run_for(EVACUATIONS_ENDED_MS);
        let first = self.last_request_number + 1;
        for vm in 0..self.vms.len() {
            (0..ADDED_ROUTES).for_each(|route| self.probe_added_route(&[vm], route, 1));
        }
        self.run_for(ALL_ANSWERED_MS);
        let added = self.ledger.added_routes.newest();
        let probes: Vec<Arc<str>> =
            (first..=self.last_request_number).map(|number| format!("{number:016x}").into()).collect();
        for client_id in probes {
            let is_added = self.ledger.added_routes.route_of(&client_id).is_some_and(|route| added.contains(&route));
            let record = self.ledger.requests.get(&client_id);
            let is_served = record.is_some_and(|record| matches!(record.ending, Some(Ending::Answered { .. })));
            if is_added && !is_served {
                self.ledger.record_violation(self.now, &client_id, "a route that was added is not served");
            }
        }
    }
}
