//! Chooses the VMs that hold the software version of a stream, by a rendezvous hash of the stream, so that the VM
//! that began it and the one at which its client takes it up choose the same ones.

use boragepass_types::{TimeMs, VmId, rendezvous_weight};

use super::Fleet;

/// Holders of a stream besides the VM that began it. The version survives the loss of all but one.
const HOLDERS: usize = 3;

/// VMs other than this one that hold the version of a stream.
pub(crate) fn stream_holders(fleet: &Fleet, now: TimeMs, stream: &str) -> Vec<VmId> {
    let local_vm = &fleet.local_record.vm;
    let mut ranked: Vec<_> =
        fleet.serving(now).map(|record| (rendezvous_weight(stream, record.vm.as_str()), &record.vm)).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, vm)| vm).filter(|vm| *vm != local_vm).take(HOLDERS).cloned().collect()
}
