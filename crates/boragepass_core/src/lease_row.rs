//! Content of an order lease in the table service.

use boragepass_types::{FenceNumber, Incarnation, VmId};

/// Lease for orders to the endpoints of a region.
///
/// The row holds no wall-clock time: a holder counts from before its own write, a successor from
/// when it first saw the row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRow {
    /// Holder.
    pub holder: VmId,
    /// Incarnation of the holder.
    pub incarnation: Incarnation,
    /// Raised with every new holder.
    pub fence: FenceNumber,
    /// Raised with every renewal.
    pub renewal: u64,
}
