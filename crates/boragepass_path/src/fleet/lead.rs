//! Which VM leads a pool within a region.
//!
//! A rendezvous hash over the VMs that serve, those of the endpoints' region before all others. VMs
//! that see different members may disagree for a moment; the worst case is two queues.

use boragepass_types::{PoolId, Region, TimeMs, VmId, rendezvous_weight};

use super::Fleet;

/// Lead of a pool, if any VM serves.
pub(crate) fn lead_of(fleet: &Fleet, now: TimeMs, pool: &PoolId, region: &Region) -> Option<VmId> {
    let key = format!("{pool}/{region}");
    let weight = |vm: &VmId| rendezvous_weight(&key, vm.as_str());
    let serving: Vec<_> = fleet.serving(now).collect();
    let at_home = serving.iter().filter(|record| record.region == *region);
    let lead = at_home.max_by_key(|record| weight(&record.vm));
    lead.or_else(|| serving.iter().max_by_key(|record| weight(&record.vm))).map(|record| record.vm.clone())
}
