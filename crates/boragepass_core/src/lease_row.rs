//! Lease row in the table service.

use boragepass_types::{FenceNumber, Incarnation, VmId};

/// Lease of the VM that sends orders to the endpoints of a region.
///
/// The row holds no wall-clock time. The holder measures the lease from before its own write, a
/// successor from when it first read the row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRow {
    /// VM that holds the lease.
    pub holder: VmId,
    /// Incarnation of the holder.
    pub incarnation: Incarnation,
    /// Fencing number, incremented with every new holder.
    pub fence: FenceNumber,
    /// Incremented with every renewal.
    pub renewal: u64,
}
