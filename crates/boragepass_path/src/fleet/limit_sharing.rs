//! Chooses the VMs that share the rate limit of an endpoint: the serving ones closest to it, so that they are
//! those that would use it anyway, ties broken by a rendezvous hash.

use boragepass_types::{FailureDomain, Region, TimeMs, rendezvous_weight};

use super::Fleet;
use crate::placement::Endpoint;

/// Number of VMs that share the limit of an endpoint, at most `vms_max`; `None` if this VM is not among them.
pub(crate) fn limit_sharing_vms(
    fleet: &Fleet,
    now: TimeMs,
    endpoint: &Endpoint,
    endpoint_region: &Region,
    vms_max: usize,
) -> Option<usize> {
    let closeness =
        |domain: &FailureDomain, region: &Region| (*domain == endpoint.failure_domain, region == endpoint_region);
    let mut ranked: Vec<_> = fleet
        .serving_with_endpoints(now)
        .into_iter()
        .map(|record| {
            let weight = rendezvous_weight(endpoint.id.as_str(), record.vm.as_str());
            (closeness(&record.failure_domain, &record.region), weight, &record.vm)
        })
        .collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.truncate(vms_max);
    let is_sharing = ranked.iter().any(|(.., vm)| **vm == fleet.local_record.vm);
    is_sharing.then_some(ranked.len())
}
