//! Chooses the leader of a stage pool within a region.
//!
//! Serving VMs that reach endpoints are candidates. Those of the endpoints' region come first, then those with the
//! most processor capacity, since a leader composes the calls of a whole region; a rendezvous hash breaks ties. VMs
//! that know different members may disagree for a moment; at worst the pool has two queues for that time.

use boragepass_types::{PoolId, Region, TimeMs, VmId, rendezvous_weight};

use super::Fleet;
use crate::placement::Homes;

/// Leader of a pool's endpoints in `region`; `None` if no VM serves.
pub(crate) fn pool_leader(fleet: &Fleet, now: TimeMs, pool: &PoolId, region: &Region) -> Option<VmId> {
    home_pool_leader(fleet, now, pool, region, &Homes::default())
}

/// Leader of a pool's endpoints in `region` for requests with home regions that clients sent to this VM: it is in one of
/// those or in this VM's region. `None` if no such VM serves.
pub(crate) fn home_pool_leader(
    fleet: &Fleet,
    now: TimeMs,
    pool: &PoolId,
    region: &Region,
    homes: &Homes,
) -> Option<VmId> {
    let key = format!("{pool}/{region}");
    let local_region = &fleet.local_record.region;
    let candidates = fleet.serving_with_endpoints(now).into_iter();
    let candidates = candidates.filter(|record| homes.allows_vm_of(&record.region, local_region));
    let leader = candidates.max_by_key(|record| {
        let weight = rendezvous_weight(&key, record.vm.as_str());
        (record.region == *region, record.processor, weight)
    });
    leader.map(|record| record.vm.clone())
}
