//! Which VMs follow the store's changes for the others of their failure domain.
//!
//! Every call of the store is priced, and each change answers every VM that waits for one. Two VMs
//! of each failure domain follow the store and pass on what they learn; a rendezvous hash names
//! them among the VMs that live and that the store answers. Any VM that sees a newer version in a
//! heartbeat asks its sender, so a domain whose followers are cut off learns from another one.

use boragepass_types::{TimeMs, VmId, rendezvous_weight};

use super::Fleet;

/// Followers of a failure domain: one may be lost without a gap.
const FOLLOWERS: usize = 2;
const KEY: &str = "store-follower";

/// Whether a VM follows the store, as this one sees it.
pub(crate) fn is_follower(fleet: &Fleet, now: TimeMs, vm: &VmId) -> bool {
    let Some(domain) = fleet.record(vm).map(|record| record.failure_domain.clone()) else {
        return false;
    };
    let weight = |vm: &VmId| rendezvous_weight(KEY, vm.as_str());
    let own = weight(vm);
    let candidates = fleet.live_in(now, &domain).filter(|(_, has_store)| *has_store);
    let before = candidates.filter(|(other, _)| other.vm != *vm && weight(&other.vm) > own);
    before.count() < FOLLOWERS
}
