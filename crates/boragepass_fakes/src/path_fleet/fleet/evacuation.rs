//! Evacuation of failure domains: the operator's rows in the store, and the check of what reaches endpoints there.

use super::*;

impl PathFleet {
    /// Lets the operator write the row that evacuates a failure domain; the store acknowledges it at once.
    pub fn evacuate(&mut self, domain: &FailureDomain) {
        if self.store.evacuated.insert(domain.clone()) {
            self.ledger.evacuations.begin(self.now, domain);
            self.publish_evacuations();
        }
    }

    /// Lets the operator remove that row.
    pub fn take_back(&mut self, domain: &FailureDomain) {
        if self.store.evacuated.remove(domain) {
            self.ledger.evacuations.end(domain);
            self.publish_evacuations();
        }
    }

    /// Cuts all VMs off from the store, or connects them again.
    pub fn set_store_outage(&mut self, is_out: bool) {
        (0..self.vms.len()).for_each(|vm| self.set_cut_from_store(vm, is_out));
    }

    fn publish_evacuations(&mut self) {
        self.store.version += 1;
        for vm in 0..self.vms.len() {
            if !self.vms[vm].is_cut_from_store && self.vms[vm].is_store_follower {
                let evacuations = self.store.evacuations();
                self.deliver(vm, STORE_DELAY_MS, Event::EvacuationsUpdated(evacuations));
            }
        }
    }

    /// Brings the ledger in line with a store that was restored from a copy.
    pub(super) fn restore_evacuations(&mut self, before: &BTreeSet<FailureDomain>) {
        let restored = self.store.evacuated.clone();
        before.difference(&restored).for_each(|domain| self.ledger.evacuations.end(domain));
        restored.difference(before).for_each(|domain| self.ledger.evacuations.begin(self.now, domain));
    }

    /// Checks that a request or call of a VM may reach an endpoint.
    pub(super) fn check_evacuation(&mut self, vm: usize, id: &EndpointId, client_id: &Arc<str>) {
        let Some(domain) = self.endpoints.get(id).map(|endpoint| endpoint.endpoint.failure_domain.clone()) else {
            return;
        };
        let is_late = self.ledger.evacuations.on_arrival(self.now, &domain);
        if is_late && self.is_in_touch(vm) && !self.was_recently_paused(vm) {
            let description = "an endpoint of an evacuated failure domain got a request or a piece";
            self.ledger.record_violation(self.now, client_id, description);
        }
    }

    /// Number of running VMs that know a failure domain as evacuated.
    pub fn vms_that_evacuate(&self, domain: &FailureDomain) -> usize {
        let paths = self.vms.iter().filter_map(|vm| vm.request_path.as_ref());
        paths.filter(|path| path.evacuated_domains(self.now).any(|(evacuated, _)| evacuated == domain)).count()
    }
}
