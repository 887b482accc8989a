//! How often a VM sends heartbeats, and how long without one another VM counts as dead.
//!
//! A VM leads pools of its region and serves its clients, so a loss has to be found there first. VMs of other regions get
//! fewer heartbeats, since bytes between regions are billed. The intervals grow with the number of VMs, so that a VM
//! sends a bounded number of datagrams.

use boragepass_types::SpanMs;

/// Shortest interval between two heartbeats to the same VM.
const INTERVAL_MIN: SpanMs = SpanMs(250);
/// Interval per other VM of the region: 83 datagrams a second at most.
const INTERVAL_PER_REGION_VM_MS: u64 = 12;
/// Interval per VM of other regions: 63 datagrams a second at most.
const INTERVAL_PER_REMOTE_VM_MS: u64 = 16;
/// Interval per other VM of builds that tell regions not apart.
const UNIFORM_INTERVAL_PER_VM_MS: u64 = 8;
/// Intervals without a heartbeat after which a VM counts as dead.
const MISSED_HEARTBEATS_MAX: u64 = 5;

/// Numbers of other VMs that a VM knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct HeartbeatSchedule {
    /// VMs of its region.
    pub(crate) region_vms: u64,
    /// VMs of other regions.
    pub(crate) remote_vms: u64,
}

/// Sender of heartbeats, by what its interval depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeartbeatSender {
    /// VM of the same region.
    InRegion,
    /// VM of another region.
    Remote,
    /// VM that has not stated yet that its build tells regions apart.
    Uniform,
}

impl HeartbeatSchedule {
    /// Interval between two heartbeats to VMs of the region.
    pub(crate) fn region_interval(self) -> SpanMs {
        SpanMs(INTERVAL_MIN.0.max(self.region_vms * INTERVAL_PER_REGION_VM_MS))
    }

    /// Heartbeats to VMs of the region of which one also goes to VMs of other regions.
    pub(crate) fn remote_every(self) -> u64 {
        let remote_interval_ms = INTERVAL_MIN.0.max(self.remote_vms * INTERVAL_PER_REMOTE_VM_MS);
        remote_interval_ms.div_ceil(self.region_interval().0)
    }

    /// Time without a heartbeat after which a VM counts as dead.
    pub(crate) fn dead_after(self, sender: HeartbeatSender) -> SpanMs {
        let region_interval_ms = self.region_interval().0;
        let remote_interval_ms = region_interval_ms * self.remote_every();
        let uniform_interval_ms = (self.region_vms + self.remote_vms) * UNIFORM_INTERVAL_PER_VM_MS;
        let interval_ms = match sender {
            HeartbeatSender::InRegion => region_interval_ms,
            HeartbeatSender::Remote => remote_interval_ms,
            HeartbeatSender::Uniform => remote_interval_ms.max(uniform_interval_ms),
        };
        SpanMs(interval_ms * MISSED_HEARTBEATS_MAX)
    }
}
