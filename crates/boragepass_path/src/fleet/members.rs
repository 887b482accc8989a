//! VMs known to this one and whether they live.
//!
//! Every VM sends heartbeats as datagrams to the VMs that the store, the settings or other VMs
//! name. A VM that was not heard for several intervals counts as dead until it is heard again.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use boragepass_types::{FailureDomain, Incarnation, Millicores, Region, SpanMs, TimeMs, VmId};
use derive_more::Display;

use crate::configuration::ConfigurationVersion;
use crate::settings::PathSettings;

/// Shortest interval between two heartbeats to the same VM.
const HEARTBEAT_MIN: SpanMs = SpanMs(250);
/// Part of the interval that each further VM adds, which bounds the datagrams of a VM to 125 a second.
const HEARTBEAT_PER_VM_MS: u64 = 8;
/// Intervals without a heartbeat after which a VM counts as dead.
const MISSED_MAX: u64 = 5;
/// How long a VM that is not heard is still sent heartbeats.
const CONTACTED: SpanMs = SpanMs(60_000);
/// VMs named in one heartbeat.
const OTHERS_MAX: usize = 4;

/// What a VM does with new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum VmState {
    /// Knows no configuration yet.
    #[display("starting")]
    Starting,
    /// Takes requests.
    #[display("serving")]
    Serving,
    /// Finishes what it has.
    #[display("leaving")]
    Leaving,
}

/// A VM as it states itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmRecord {
    /// The VM.
    pub vm: VmId,
    /// Start of its process.
    pub incarnation: Incarnation,
    /// Region.
    pub region: Region,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Where clients connect.
    pub client_address: SocketAddr,
    /// Where other VMs connect.
    pub peer_address: SocketAddr,
    /// Its processor.
    pub processor: Millicores,
    /// What it does with new requests.
    pub state: VmState,
}

#[derive(Debug, Clone)]
struct Member {
    record: VmRecord,
    heard_at: Option<TimeMs>,
    named_at: TimeMs,
    can_reach_store: bool,
    configuration: ConfigurationVersion,
}

/// All VMs as this one knows them.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) local_record: VmRecord,
    members: BTreeMap<VmId, Member>,
    /// Addresses without a name yet, from the settings.
    seeds: Vec<SocketAddr>,
    cursor: usize,
    /// Whether the store answers this VM.
    pub(crate) can_reach_store: bool,
}

/// What a heartbeat changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MembershipChange {
    /// Nothing but the time.
    Unchanged,
    /// The VM is new, lives again or started anew.
    Joined,
    /// It does something else with new requests.
    StateChanged,
    /// An older start of the VM; ignored.
    Stale,
}

impl Fleet {
    pub(crate) fn new(settings: &PathSettings) -> Self {
        let local_record = VmRecord {
            vm: settings.vm.clone(),
            incarnation: settings.incarnation,
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
            client_address: settings.client_address,
            peer_address: settings.peer_address,
            processor: settings.processor,
            state: VmState::Starting,
        };
        Self { local_record, members: BTreeMap::new(), seeds: Vec::new(), cursor: 0, can_reach_store: true }
    }

    /// Takes the addresses of VMs whose names are not known.
    pub(crate) fn add_seed(&mut self, address: SocketAddr) {
        let is_known = self.members.values().any(|member| member.record.peer_address == address);
        if !is_known && address != self.local_record.peer_address && !self.seeds.contains(&address) {
            self.seeds.push(address);
        }
    }

    /// Takes a VM that the store lists.
    pub(crate) fn on_vm_listed(&mut self, now: TimeMs, record: VmRecord) {
        if record.vm == self.local_record.vm {
            return;
        }
        let is_newer = self.members.get(&record.vm).is_none_or(|member| member.record.incarnation < record.incarnation);
        if is_newer {
            self.members.insert(
                record.vm.clone(),
                Member {
                    record,
                    heard_at: None,
                    named_at: now,
                    can_reach_store: false,
                    configuration: ConfigurationVersion(0),
                },
            );
        }
    }

    /// Takes a heartbeat.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: TimeMs,
        record: VmRecord,
        can_reach_store: bool,
        configuration: ConfigurationVersion,
    ) -> MembershipChange {
        if record.vm == self.local_record.vm {
            return MembershipChange::Stale;
        }
        self.seeds.retain(|seed| *seed != record.peer_address);
        let was_live = self.is_live(now, &record.vm);
        let heard = match self.members.get(&record.vm) {
            Some(member) if member.record.incarnation > record.incarnation => return MembershipChange::Stale,
            Some(member) if was_live && member.record.incarnation == record.incarnation => {
                if member.record.state == record.state {
                    MembershipChange::Unchanged
                } else {
                    MembershipChange::StateChanged
                }
            }
            Some(_) | None => MembershipChange::Joined,
        };
        let member = Member { record, heard_at: Some(now), named_at: now, can_reach_store, configuration };
        self.members.insert(member.record.vm.clone(), member);
        heard
    }

    /// Interval between two heartbeats.
    pub(crate) fn heartbeat_interval(&self) -> SpanMs {
        SpanMs(HEARTBEAT_MIN.0.max(self.members.len() as u64 * HEARTBEAT_PER_VM_MS))
    }

    /// Whether a VM was heard lately.
    pub(crate) fn is_live(&self, now: TimeMs, vm: &VmId) -> bool {
        let dead_after = self.heartbeat_interval().0 * MISSED_MAX;
        *vm == self.local_record.vm
            || self.members.get(vm).is_some_and(|member| member.heard_at.is_some_and(|at| now.since(at).0 < dead_after))
    }

    pub(crate) fn record(&self, vm: &VmId) -> Option<&VmRecord> {
        if *vm == self.local_record.vm {
            return Some(&self.local_record);
        }
        self.members.get(vm).map(|member| &member.record)
    }

    /// VMs that take requests, this one included if it does.
    pub(crate) fn serving(&self, now: TimeMs) -> impl Iterator<Item = &VmRecord> {
        let others =
            self.members.values().map(|member| &member.record).filter(move |record| self.is_live(now, &record.vm));
        std::iter::once(&self.local_record).chain(others).filter(|record| record.state == VmState::Serving)
    }

    /// VMs of a failure domain that live, with whether the store answers them; this one included.
    pub(crate) fn live_vms_in_domain<'a>(
        &'a self,
        now: TimeMs,
        domain: &'a FailureDomain,
    ) -> impl Iterator<Item = (&'a VmRecord, bool)> {
        let others = self.members.values().filter(move |member| self.is_live(now, &member.record.vm));
        let others = others.map(|member| (&member.record, member.can_reach_store));
        std::iter::once((&self.local_record, self.can_reach_store))
            .chain(others)
            .filter(move |(record, _)| record.failure_domain == *domain)
    }

    /// Configuration that a VM stated last.
    pub(crate) fn configuration_version_of(&self, vm: &VmId) -> ConfigurationVersion {
        self.members.get(vm).map(|member| member.configuration).unwrap_or_default()
    }

    /// VMs that live, this one included.
    pub(crate) fn live_count(&self, now: TimeMs) -> usize {
        1 + self.members.keys().filter(|vm| self.is_live(now, vm)).count()
    }

    /// Where heartbeats go.
    pub(crate) fn heartbeat_targets(&self, now: TimeMs) -> Vec<(VmId, SocketAddr)> {
        let is_contacted = |member: &&Member| {
            let last = member.heard_at.unwrap_or_default().max(member.named_at);
            now.since(last) < CONTACTED
        };
        let members = self.members.values().filter(is_contacted);
        let named = members.map(|member| (member.record.vm.clone(), member.record.peer_address));
        // A seed has no name yet; its own heartbeat brings one.
        let seeds = self.seeds.iter().map(|seed| (self.local_record.vm.clone(), *seed));
        named.chain(seeds).collect()
    }

    /// A few live VMs, other ones each time, for those that do not know them.
    pub(crate) fn sample_live_vms(&mut self, now: TimeMs) -> Vec<(VmId, SocketAddr)> {
        let live: Vec<_> = self
            .members
            .values()
            .filter(|member| self.is_live(now, &member.record.vm))
            .map(|member| (member.record.vm.clone(), member.record.peer_address))
            .collect();
        if live.is_empty() {
            return Vec::new();
        }
        self.cursor = (self.cursor + OTHERS_MAX) % live.len();
        live.iter().cycle().skip(self.cursor).take(OTHERS_MAX.min(live.len())).cloned().collect()
    }

    /// Takes VMs that another one knows.
    pub(crate) fn add_known_vms(&mut self, others: Vec<(VmId, SocketAddr)>) {
        for (vm, address) in others {
            let is_known = self.members.get(&vm).is_some_and(|member| member.record.peer_address == address);
            if vm != self.local_record.vm && !is_known {
                self.add_seed(address);
            }
        }
    }
}
