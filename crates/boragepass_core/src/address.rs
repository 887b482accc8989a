//! Which VMs serve a workspace.
//!
//! Rendezvous hashing gives each workspace a few VMs of each region. All VMs compute the same
//! result from the same membership, so plan limits are divided among them without coordination,
//! prompt prefixes stay in few caches, and a harmful workspace affects few VMs.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use boragepass_types::{Region, SpanMs, VmId, WorkspaceId, rendezvous_weight};

use crate::membership::{MemberRecord, Membership};

/// A workspace has at least two VMs in each region, so that its callers have another one to turn to.
const VMS_PER_REGION_MIN: usize = 2;

/// Address of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryAddress {
    /// The VM.
    pub vm: VmId,
    /// Its region.
    pub region: Region,
    /// Address that callers send to.
    pub address: SocketAddr,
}

/// Addresses for a caller, in the order in which it should try them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressAnswer {
    /// Addresses; the last one is in another region if the workspace is served in several.
    pub addresses: Vec<EntryAddress>,
    /// How long the caller may cache the answer.
    pub valid_ms: SpanMs,
}

/// VMs of a region that serve a workspace, highest hash weight first.
pub(crate) fn vms_in_region<'a>(
    membership: &'a Membership,
    workspace: &WorkspaceId,
    region: &Region,
    count: u8,
) -> Vec<&'a MemberRecord> {
    let mut ranked: Vec<_> = membership
        .serving()
        .filter(|record| record.region == *region)
        .map(|record| (rendezvous_weight(workspace.as_str(), record.vm.as_str()), record))
        .collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.vm.cmp(&b.1.vm)));
    ranked.truncate(usize::from(count).max(VMS_PER_REGION_MIN));
    ranked.into_iter().map(|(_, record)| record).collect()
}

/// Regions in which a workspace is served: those of its allowlist that have VMs, else all.
pub(crate) fn serving_regions(membership: &Membership, allowed: Option<&BTreeSet<Region>>) -> BTreeSet<Region> {
    let with_vms: BTreeSet<_> = membership.serving().map(|record| record.region.clone()).collect();
    let chosen: BTreeSet<_> =
        with_vms.iter().filter(|region| allowed.is_some_and(|allowed| allowed.contains(*region))).cloned().collect();
    if chosen.is_empty() { with_vms } else { chosen }
}

/// All VMs that serve a workspace, in the same order on every VM.
pub(crate) fn serving_vms<'a>(
    membership: &'a Membership,
    workspace: &WorkspaceId,
    allowed: Option<&BTreeSet<Region>>,
    count: u8,
) -> Vec<&'a MemberRecord> {
    let regions = serving_regions(membership, allowed);
    regions.iter().flat_map(|region| vms_in_region(membership, workspace, region, count)).collect()
}

/// Addresses for a caller in `region`; `rotation` distributes callers over the first `count` VMs.
pub(crate) fn resolve_addresses(
    membership: &Membership,
    workspace: &WorkspaceId,
    allowed: Option<&BTreeSet<Region>>,
    region: &Region,
    count: u8,
    rotation: usize,
    valid_ms: SpanMs,
) -> AddressAnswer {
    let regions = serving_regions(membership, allowed);
    let nearest = if regions.contains(region) { Some(region) } else { regions.first() };
    let mut records =
        nearest.map_or(Vec::new(), |nearest_region| vms_in_region(membership, workspace, nearest_region, count));
    let primaries = usize::from(count).clamp(1, records.len().max(1));
    if !records.is_empty() {
        records.rotate_left(rotation % primaries);
    }
    let others = regions.iter().filter(|other| Some(*other) != nearest);
    let remote = others.flat_map(|other| vms_in_region(membership, workspace, other, 1)).next();
    records.extend(remote);
    let to_entry = |record: &MemberRecord| EntryAddress {
        vm: record.vm.clone(),
        region: record.region.clone(),
        address: record.caller_address,
    };
    AddressAnswer { addresses: records.into_iter().map(to_entry).collect(), valid_ms }
}

/// VM that a caller tries after this one: the next in the workspace's list, in cyclic order.
pub(crate) fn successor<'a>(
    membership: &'a Membership,
    workspace: &WorkspaceId,
    count: u8,
) -> Option<&'a MemberRecord> {
    let records = vms_in_region(membership, workspace, &membership.local_record.region, count);
    let own_index = records.iter().position(|record| record.vm == membership.local_record.vm)?;
    let next = records[(own_index + 1) % records.len()];
    (next.vm != membership.local_record.vm).then_some(next)
}
