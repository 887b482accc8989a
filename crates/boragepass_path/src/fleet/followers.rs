//! Chooses the VMs that follow the store's changes and relay them to their failure domain.
//!
//! Every call of the store is billed, and each change causes a reply to every VM that waits for one.
//! So only two VMs of each failure domain follow the store: among the live VMs that reach it, those
//! with the most processor capacity, ties broken by a rendezvous hash. Capacity comes first because
//! each change is relayed as the whole list, which saturates the link of a small VM when many endpoints
//! change at once. Any VM that sees a newer version in a heartbeat queries its sender, so a domain
//! whose followers are cut off learns from another domain.

use boragepass_types::{TimeMs, VmId, rendezvous_weight};

use super::{Fleet, VmRecord};

/// Two, so that the loss of one follower leaves no gap.
const FOLLOWERS_PER_DOMAIN: usize = 2;
const RENDEZVOUS_KEY: &str = "store-follower";

/// Whether a VM follows the store, by the membership that this VM knows.
pub(crate) fn is_store_follower(fleet: &Fleet, now: TimeMs, vm: &VmId) -> bool {
    follower_rank(fleet, now, vm).is_some()
}

/// Place of a VM among the followers of its failure domain, from zero; `None` if it does not follow the store.
pub(crate) fn follower_rank(fleet: &Fleet, now: TimeMs, vm: &VmId) -> Option<usize> {
    let record = fleet.record(vm)?;
    let weight = |record: &VmRecord| (record.processor, rendezvous_weight(RENDEZVOUS_KEY, record.vm.as_str()));
    let own = weight(record);
    let candidates =
        fleet.live_vms_in_domain(now, &record.failure_domain).filter(|(_, can_reach_store)| *can_reach_store);
    let rank = candidates.filter(|(other, _)| other.vm != *vm && weight(other) > own).count();
    (rank < FOLLOWERS_PER_DOMAIN).then_some(rank)
}
