//! Endpoints that turn cold, and VMs that are cut off from each other.

use super::super::cold::Strain;
use super::*;

impl PathFleet {
    /// Lets an endpoint become cold without a restart; its entry states it.
    pub fn chill_endpoint(&mut self, id: &EndpointId) {
        let now = self.now;
        if let Some(coldness) = self.endpoints.get_mut(id).and_then(|endpoint| endpoint.coldness.as_mut()) {
            coldness.begin(now);
            self.write_entry(id);
        }
    }

    /// Restarts endpoints under their ids, so that they come back cold together.
    pub fn return_cold(&mut self, ids: &[EndpointId], down_ms: u64) {
        ids.iter().for_each(|id| self.restart_endpoint(id, down_ms));
    }

    /// Cuts the links between these VMs and all others; none to connect all again.
    pub fn split_vms(&mut self, vms: &[usize]) {
        self.split_vms = vms.iter().copied().collect();
    }

    /// Whether messages from one VM reach another.
    pub(super) fn are_linked(&self, from: usize, to: usize) -> bool {
        self.split_vms.contains(&from) == self.split_vms.contains(&to)
    }

    /// Counts a request or call at a cold endpoint, from whichever VM it comes; one above what it bears is a violation, and
    /// far more than that make it fall over.
    pub(super) fn check_coldness(&mut self, id: &EndpointId, client_id: &Arc<str>) {
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(id).filter(|endpoint| !endpoint.is_down(now)) else {
            return;
        };
        let strain = endpoint.coldness.as_mut().map_or(Strain::None, |coldness| coldness.on_request(now));
        if strain != Strain::None {
            self.ledger.record_violation(now, client_id, "a cold endpoint got more requests in a second than it bears");
        }
        if strain == Strain::Fall {
            self.inject_fault(id, EndpointFault::Crash { duration_ms: FALL_MS, is_unresponsive: false });
        }
    }
}
