//! Chooses the VM that keeps the software versions of pools and of begun streams in the store.

use boragepass_types::{Millicores, TimeMs, VmId, rendezvous_weight};

use super::{Fleet, VmRecord};

const RENDEZVOUS_KEY: &str = "version-recorder";

/// Whether a VM keeps the versions, by the membership that this VM knows: it is the one with the most processor capacity
/// among the live VMs that reach the store. Two VMs that both believe so do not overwrite each other, since each write
/// names the row that it replaces.
pub(crate) fn is_version_recorder(fleet: &Fleet, now: TimeMs, vm: &VmId) -> bool {
    let recorder = fleet.live_vms(now).filter(|(_, can_reach_store)| *can_reach_store).map(|(record, _)| record);
    recorder.max_by_key(|record| weight(record)).is_some_and(|record| record.vm == *vm)
}

/// VM that collects the versions of begun streams: the one that keeps those of pools. If no VM reaches the store, it is the
/// one that would if all did, which holds the streams until the store is back.
pub(crate) fn stream_collector(fleet: &Fleet, now: TimeMs) -> VmId {
    let collector = fleet.live_vms(now).max_by_key(|(record, can_reach_store)| (*can_reach_store, weight(record)));
    collector.map_or_else(|| fleet.local_record.vm.clone(), |(record, _)| record.vm.clone())
}

fn weight(record: &VmRecord) -> (Millicores, u64) {
    (record.processor, rendezvous_weight(RENDEZVOUS_KEY, record.vm.as_str()))
}
