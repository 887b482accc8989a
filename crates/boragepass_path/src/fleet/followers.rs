//! Which VMs follow the store's changes for the others of their failure domain.
//!
//! Every call of the store is priced, and each change answers every VM that waits for one. Two VMs
//! of each failure domain follow the store and pass on what they learn: those with the most processor
//! among the VMs that live and that the store answers, by rendezvous hash. Each change is passed on as
//! the whole list, which fills the link of a small VM when many endpoints change at once. Any VM that sees a newer version in a
//! heartbeat asks its sender, so a domain whose followers are cut off learns from another one.

use boragepass_types::{TimeMs, VmId, rendezvous_weight};

use super::{Fleet, VmRecord};

/// Followers of a failure domain: one may be lost without a gap.
const FOLLOWERS: usize = 2;
const KEY: &str = "store-follower";

/// Whether a VM follows the store, as this one sees it.
pub(crate) fn is_store_follower(fleet: &Fleet, now: TimeMs, vm: &VmId) -> bool {
    let Some(record) = fleet.record(vm) else {
        return false;
    };
    let weight = |record: &VmRecord| (record.processor, rendezvous_weight(KEY, record.vm.as_str()));
    let own = weight(record);
    let candidates =
        fleet.live_vms_in_domain(now, &record.failure_domain).filter(|(_, can_reach_store)| *can_reach_store);
    let before = candidates.filter(|(other, _)| other.vm != *vm && weight(other) > own);
    before.count() < FOLLOWERS
}
