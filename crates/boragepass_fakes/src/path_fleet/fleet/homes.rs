//! Home regions in the fleet: which VM a client of a route with homes connects to, and checks of what is sent where.

use boragepass_types::Region;

use super::*;
use crate::path_fleet::HomeTallies;

/// Time after a disruption in which answers about addresses may name VMs of other regions.
const DISRUPTION_MS: u64 = 15_000;

impl PathFleet {
    /// Records the home regions of the configuration that is published now.
    pub(super) fn record_homes(&mut self) {
        let allowed = (0..self.deployment.kinds.len()).map(|kind| self.deployment.allowed_regions(kind)).collect();
        self.ledger.homes.on_published(self.now, allowed);
    }

    /// What went where home regions do not allow it.
    pub fn home_tallies(&self) -> HomeTallies {
        self.ledger.homes.tallies
    }

    /// Picks the VM of a client in a random failure domain that resolves the host of a kind with home regions at a random
    /// running VM.
    pub(super) fn pick_vm_for_home_client(&mut self, kind: usize) -> Option<usize> {
        let domain_index = self.client_rng.random_range(0..self.deployment.domains.len());
        let (domain, region) = self.deployment.domains[domain_index].clone();
        let running: Vec<usize> = (0..self.vms.len()).filter(|vm| self.vms[*vm].request_path.is_some()).collect();
        let asked = *running.get(self.client_rng.random_range(0..running.len().max(1)))?;
        let host = self.deployment.kinds[kind].route.host.clone();
        let path = self.vms[asked].request_path.as_ref()?;
        let addresses = path.host_addresses(self.now, &host, Some(&region), Some(&domain));
        let address = *addresses.get(self.client_rng.random_range(0..addresses.len().max(1)))?;
        let vm = self.vms.iter().position(|vm| vm.client_address == address)?;
        let vm_region = self.region_of(&self.vms[vm].domain);
        let is_foreign = vm_region != region && !self.is_allowed(self.now, kind, self.now, &vm_region, asked);
        if !self.is_disrupted(&region) {
            self.ledger.homes.tallies.submissions += 1;
            self.ledger.homes.tallies.foreign_submissions += u32::from(is_foreign);
        }
        Some(vm)
    }

    /// Whether a VM of a region is down, or was killed, paused or without links to endpoints until a while ago.
    fn is_disrupted(&self, region: &Region) -> bool {
        let is_disturbed = |vm: &Vm| {
            let has_restarted = vm.incarnation > 1 && self.now.since(vm.started_at).0 < DISRUPTION_MS;
            let was_paused = vm.paused_until > TimeMs(0) && self.now.since(vm.paused_until).0 < DISRUPTION_MS;
            vm.request_path.is_none() || has_restarted || was_paused || vm.endpoint_links != EndpointLinks::Up
        };
        self.vms.iter().any(|vm| self.region_of(&vm.domain) == *region && is_disturbed(vm))
    }

    fn is_allowed(&self, now: TimeMs, kind: usize, submitted_at: TimeMs, region: &Region, vm: usize) -> bool {
        self.ledger.homes.allows(now, kind, submitted_at, region, self.is_in_touch(vm))
    }

    /// Whether a region is allowed for a request of a client, from a VM; `None` if no client sent the request.
    fn is_allowed_for(&self, vm: usize, client_id: &Arc<str>, region: &Region) -> Option<bool> {
        let record = self.ledger.requests.get(client_id)?;
        Some(self.is_allowed(self.now, record.kind, record.submitted_at, region, vm))
    }

    fn is_restricted(&self, client_id: &Arc<str>) -> bool {
        let kind = self.ledger.requests.get(client_id).map(|record| record.kind);
        kind.is_some_and(|kind| self.deployment.has_homes(kind))
    }

    /// Checks that an endpoint which a VM sends a request or a piece to is in a home region of the request.
    pub(super) fn check_endpoint_homes(&mut self, vm: usize, id: &EndpointId, client_id: &Arc<str>, is_piece: bool) {
        let Some(domain) = self.endpoints.get(id).map(|endpoint| endpoint.endpoint.failure_domain.clone()) else {
            return;
        };
        let region = self.region_of(&domain);
        self.ledger.homes.tallies.sends += u32::from(!is_piece && self.is_restricted(client_id));
        if self.is_allowed_for(vm, client_id, &region) != Some(false) {
            return;
        }
        let (now, tallies) = (self.now, &mut self.ledger.homes.tallies);
        tallies.foreign_requests += u32::from(!is_piece);
        tallies.foreign_pieces += u32::from(is_piece);
        let description = match is_piece {
            true => "a piece was sent to an endpoint outside of the home regions",
            false => "a request was sent to an endpoint outside of its home regions",
        };
        self.ledger.record_violation(now, client_id, description);
    }

    /// Checks that a VM relays a request only within its home regions and the own region.
    pub(super) fn check_relay_homes(
        &mut self,
        vm: usize,
        incarnation: u64,
        request: RequestNumber,
        address: SocketAddr,
    ) {
        let to = self.vms.iter().position(|other| other.relay_address == address);
        let client_id = self.client_ids.get(&(vm, incarnation, request)).cloned();
        if let (Some(to), Some(client_id)) = (to, client_id) {
            self.ledger.homes.tallies.relays += u32::from(self.is_restricted(&client_id));
            self.check_vm_homes(vm, to, &client_id, "a request was relayed outside of its home regions");
        }
    }

    /// Checks that a VM has pieces led only within the home regions of their request and the own region.
    pub(super) fn check_leader_homes(&mut self, vm: usize, to: usize, client_id: &Arc<str>) {
        self.check_vm_homes(vm, to, client_id, "a piece request was sent to a VM outside of the home regions");
    }

    fn check_vm_homes(&mut self, vm: usize, to: usize, client_id: &Arc<str>, description: &'static str) {
        let (region, to_region) = (self.region_of(&self.vms[vm].domain), self.region_of(&self.vms[to].domain));
        if region != to_region && self.is_allowed_for(vm, client_id, &to_region) == Some(false) {
            let now = self.now;
            self.ledger.homes.tallies.foreign_relays += 1;
            self.ledger.record_violation(now, client_id, description);
        }
    }
}
