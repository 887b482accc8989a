//! Chooses the VM that keeps the software versions of pools in the store.

use boragepass_types::{TimeMs, VmId, rendezvous_weight};

use super::{Fleet, VmRecord};

const RENDEZVOUS_KEY: &str = "version-recorder";

/// Whether a VM keeps the versions, by the membership that this VM knows: it is the one with the most processor capacity
/// among the live VMs that reach the store. Two VMs that both believe so do not overwrite each other, since each write
/// names the row that it replaces.
pub(crate) fn is_version_recorder(fleet: &Fleet, now: TimeMs, vm: &VmId) -> bool {
    let weight = |record: &VmRecord| (record.processor, rendezvous_weight(RENDEZVOUS_KEY, record.vm.as_str()));
    let recorder = fleet.live_vms(now).filter(|(_, can_reach_store)| *can_reach_store).map(|(record, _)| record);
    recorder.max_by_key(|record| weight(record)).is_some_and(|record| record.vm == *vm)
}
