//! Chooses the leader of a stage pool within a region.
//!
//! Serving VMs that reach endpoints are candidates. Those of the endpoints' region come first, then those with the
//! most processor capacity, since a leader composes the calls of a whole region; a rendezvous hash breaks ties. VMs
//! that know different members may disagree for a moment; at worst the pool has two queues for that time.

use boragepass_types::{PoolId, Region, TimeMs, VmId, rendezvous_weight};

use super::Fleet;

/// Leader of a pool's endpoints in `region`; `None` if no VM serves.
pub(crate) fn pool_leader(fleet: &Fleet, now: TimeMs, pool: &PoolId, region: &Region) -> Option<VmId> {
    let key = format!("{pool}/{region}");
    let leader = fleet.serving_with_endpoints(now).into_iter().max_by_key(|record| {
        let weight = rendezvous_weight(&key, record.vm.as_str());
        (record.region == *region, record.processor, weight)
    });
    leader.map(|record| record.vm.clone())
}
