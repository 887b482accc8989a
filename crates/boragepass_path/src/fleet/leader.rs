//! Which VM leads a pool within a region.
//!
//! A rendezvous hash over the VMs that serve: those of the endpoints' region before all others, and
//! among them those with the most processor, since a lead composes the calls of a whole region. VMs
//! that see different members may disagree for a moment; the worst case is two queues.

use boragepass_types::{PoolId, Region, TimeMs, VmId, rendezvous_weight};

use super::Fleet;

/// Lead of a pool, if any VM serves.
pub(crate) fn pool_leader(fleet: &Fleet, now: TimeMs, pool: &PoolId, region: &Region) -> Option<VmId> {
    let key = format!("{pool}/{region}");
    let lead = fleet.serving(now).max_by_key(|record| {
        let weight = rendezvous_weight(&key, record.vm.as_str());
        (record.region == *region, record.processor, weight)
    });
    lead.map(|record| record.vm.clone())
}
