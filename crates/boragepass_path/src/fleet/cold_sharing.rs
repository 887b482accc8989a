//! Chooses the VMs that share a cold endpoint, from those that this VM knows, dead ones included.
//!
//! VMs that are cut off from each other have to agree, so neither heartbeats nor what VMs state of themselves counts, only
//! which VMs were heard or listed in the last [`KNOWN_FOR`]. The share of a dead VM is unused. For requests, the VMs
//! closest to the endpoint share; for calls of stage pools, those that lead the pool in turn if others are lost.

use boragepass_types::{FailureDomain, PoolId, Region, SpanMs, TimeMs, rendezvous_weight};

use super::{Fleet, VmRecord};
use crate::placement::Endpoint;

/// Time for which a VM shares after it was last heard or listed, longer than partitions last.
const KNOWN_FOR: SpanMs = SpanMs(600_000);
/// Time after its first contact for which a VM that started sends cold endpoints nothing: at 195 VMs, two heartbeats of
/// VMs of other regions.
const SETTLING_TIME: SpanMs = SpanMs(4_500);
/// VMs that share the calls to a cold endpoint of a stage pool: the leader, and two that may lead after it.
pub(crate) const LEADING_VMS_MAX: usize = 3;

/// When this VM started and first heard from another one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ColdSettling {
    started_at: TimeMs,
    first_heard_at: Option<TimeMs>,
}

impl ColdSettling {
    pub(crate) fn new(now: TimeMs) -> Self {
        Self { started_at: now, first_heard_at: None }
    }

    /// Records a heartbeat of another VM.
    pub(crate) fn on_heard(&mut self, now: TimeMs) {
        self.first_heard_at.get_or_insert(now);
    }

    /// Whether this VM knows enough of the others to send cold endpoints anything.
    pub(crate) fn is_settled(&self, now: TimeMs, fleet: &Fleet) -> bool {
        let since = if fleet.knows_no_other() { Some(self.started_at) } else { self.first_heard_at };
        since.is_some_and(|since| now.since(since) >= SETTLING_TIME)
    }
}

/// Number of VMs that share the requests to a cold endpoint, at most `vms_max`; `None` if this VM is not among them.
pub(crate) fn cold_sharing_vms(
    fleet: &Fleet,
    now: TimeMs,
    endpoint: &Endpoint,
    endpoint_region: &Region,
    vms_max: usize,
) -> Option<usize> {
    let closeness =
        |domain: &FailureDomain, region: &Region| (*domain == endpoint.failure_domain, region == endpoint_region);
    let rank = |record: &VmRecord| {
        let weight = rendezvous_weight(endpoint.id.as_str(), record.vm.as_str());
        (closeness(&record.failure_domain, &record.region), weight)
    };
    sharing(fleet, now, rank, vms_max)
}

/// Number of VMs that share the calls to a cold endpoint of a stage pool; `None` if this VM is not among them.
pub(crate) fn cold_leading_vms(
    fleet: &Fleet,
    now: TimeMs,
    pool: &PoolId,
    region: &Region,
    vms_max: usize,
) -> Option<usize> {
    let key = format!("{pool}/{region}");
    let rank =
        |record: &VmRecord| (record.region == *region, record.processor, rendezvous_weight(&key, record.vm.as_str()));
    sharing(fleet, now, rank, vms_max)
}

fn sharing<R: Ord>(fleet: &Fleet, now: TimeMs, rank: impl Fn(&VmRecord) -> R, vms_max: usize) -> Option<usize> {
    let mut ranked: Vec<_> = fleet.known(now, KNOWN_FOR).map(|record| (rank(record), &record.vm)).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.truncate(vms_max);
    ranked.iter().any(|(_, vm)| **vm == fleet.local_record.vm).then_some(ranked.len())
}
