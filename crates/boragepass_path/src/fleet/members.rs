//! Membership: the VMs known to this one and whether they are alive.
//!
//! Every VM sends heartbeats as datagrams to the VMs that the store, the settings or other VMs
//! name. A VM counts as dead after several intervals without a heartbeat, until the next one.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use boragepass_types::{FailureDomain, Hash64, Incarnation, Millicores, Region, SpanMs, TimeMs, VmId};
use derive_more::Display;

use super::heartbeat_schedule::{HeartbeatSchedule, HeartbeatSender};
use crate::configuration::ConfigurationVersion;
use crate::message::{PEER_REVISION, ProcessStatement};
use crate::settings::PathSettings;

/// Time for which a VM still gets heartbeats after its own last one or after it was last listed.
const UNHEARD_CONTACT_TIME: SpanMs = SpanMs(60_000);
/// Heartbeats of which one states what the VM's process runs. It shares no divisor with the heartbeats of which one goes
/// to other regions, so that those get it too.
const HEARTBEATS_PER_STATEMENT: u32 = 7;
/// Time after which a VM that has not confirmed a configuration is sent it again. A configuration of a thousand routes, some
/// 400 KB, takes 0.3 s on a link of 10 Mbit/s, twice that if two VMs send it.
const CONFIGURATION_RESEND_TIME: SpanMs = SpanMs(1_000);
/// Other VMs that one heartbeat names.
const INTRODUCED_VMS_MAX: usize = 4;

/// What a VM does with new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum VmState {
    /// Has no configuration or no endpoints yet.
    #[display("starting")]
    Starting,
    /// Accepts requests.
    #[display("serving")]
    Serving,
    /// Stops; finishes requests in progress.
    #[display("leaving")]
    Leaving,
}

/// What a VM states about itself in heartbeats and in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmRecord {
    /// Name of the VM.
    pub vm: VmId,
    /// Number of this start of its process.
    pub incarnation: Incarnation,
    /// Region that it runs in.
    pub region: Region,
    /// Failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// Address for clients.
    pub client_address: SocketAddr,
    /// Address for other VMs.
    pub peer_address: SocketAddr,
    /// Address for requests that other VMs relay.
    pub relay_address: SocketAddr,
    /// Processor capacity.
    pub processor: Millicores,
    /// What it does with new requests.
    pub state: VmState,
}

/// What a VM reaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Reach {
    /// Whether it reaches the store.
    pub(crate) store: bool,
    /// Whether it reaches endpoints.
    pub(crate) endpoints: bool,
}

#[derive(Debug, Clone)]
struct Member {
    record: VmRecord,
    last_heartbeat_at: Option<TimeMs>,
    last_named_at: TimeMs,
    reach: Reach,
    configuration: ConfigurationVersion,
    /// Configuration that this VM sent it last, and when.
    sent_configuration: Option<(ConfigurationVersion, TimeMs)>,
    process: Option<ProcessStatement>,
}

/// What operators are shown of a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmSummary {
    /// Name of the VM.
    pub vm: VmId,
    /// What it does with new requests.
    pub state: VmState,
    /// Version of the configuration that it has in force.
    pub configuration: ConfigurationVersion,
    /// What its process runs; `None` if it has not stated that yet, or is of a build that does not.
    pub process: Option<ProcessStatement>,
}

/// This VM and all others that it knows.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) local_record: VmRecord,
    members: BTreeMap<VmId, Member>,
    schedule: HeartbeatSchedule,
    /// Heartbeats to this VM's region since the last one that also went to others.
    region_heartbeats: u64,
    /// Addresses of VMs whose names are not known yet, from the settings and other VMs.
    seeds: Vec<SocketAddr>,
    /// What this VM's process runs.
    pub(crate) local_process: Option<ProcessStatement>,
    /// Heartbeats until the next one that carries `local_process`.
    heartbeats_until_statement: u32,
    /// Position of the next sample of live VMs.
    sample_offset: usize,
    /// Whether this VM reaches the store.
    pub(crate) can_reach_store: bool,
    /// Whether this VM reaches endpoints.
    pub(crate) reaches_endpoints: bool,
}

/// What a heartbeat changed about its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MembershipChange {
    /// Nothing but the time of the last heartbeat.
    Unchanged,
    /// It is new, alive again or has restarted.
    Joined,
    /// Its [`VmState`] changed.
    StateChanged,
    /// Nothing: the heartbeat is from an earlier incarnation or from this VM itself.
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
            relay_address: settings.relay_address,
            processor: settings.processor,
            state: VmState::Starting,
        };
        Self {
            local_record,
            members: BTreeMap::new(),
            schedule: HeartbeatSchedule::default(),
            region_heartbeats: 0,
            seeds: Vec::new(),
            local_process: None,
            heartbeats_until_statement: 0,
            sample_offset: 0,
            can_reach_store: true,
            reaches_endpoints: true,
        }
    }

    /// Adds the address of a VM whose name is not known.
    pub(crate) fn add_seed(&mut self, address: SocketAddr) {
        let is_known = self.members.values().any(|member| member.record.peer_address == address);
        if !is_known && address != self.local_record.peer_address && !self.seeds.contains(&address) {
            self.seeds.push(address);
        }
    }

    /// Adds a VM that the store lists, unless the same or a later incarnation of it is known.
    pub(crate) fn on_vm_listed(&mut self, now: TimeMs, record: VmRecord) {
        if record.vm == self.local_record.vm {
            return;
        }
        let is_newer = self.members.get(&record.vm).is_none_or(|member| member.record.incarnation < record.incarnation);
        if is_newer {
            self.insert_member(Member {
                record,
                last_heartbeat_at: None,
                last_named_at: now,
                reach: Reach { store: false, endpoints: true },
                configuration: ConfigurationVersion(0),
                sent_configuration: None,
                process: None,
            });
        }
    }

    /// Records a heartbeat and returns what it changed.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: TimeMs,
        record: VmRecord,
        reach: Reach,
        configuration: ConfigurationVersion,
        process: Option<ProcessStatement>,
    ) -> MembershipChange {
        if record.vm == self.local_record.vm {
            return MembershipChange::Stale;
        }
        self.seeds.retain(|seed| *seed != record.peer_address);
        let was_live = self.is_live(now, &record.vm);
        let change = match self.members.get(&record.vm) {
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
        let same_process = self.members.get(&record.vm).filter(|known| known.record.incarnation == record.incarnation);
        let process = process.or(same_process.and_then(|known| known.process));
        let sent_configuration = same_process.and_then(|known| known.sent_configuration);
        self.insert_member(Member {
            record,
            last_heartbeat_at: Some(now),
            last_named_at: now,
            reach,
            configuration,
            sent_configuration,
            process,
        });
        change
    }

    fn insert_member(&mut self, member: Member) {
        let is_in_region = member.record.region == self.local_record.region;
        if self.members.insert(member.record.vm.clone(), member).is_none() {
            match is_in_region {
                true => self.schedule.region_vms += 1,
                false => self.schedule.remote_vms += 1,
            }
        }
    }

    /// Records that this VM's process read valid settings. The next heartbeat states it.
    pub(crate) fn on_settings_read(&mut self, settings_digest: Hash64) {
        let settings_reads = self.local_process.map_or(0, |process| process.settings_reads) + 1;
        self.local_process = Some(ProcessStatement { peer_revision: PEER_REVISION, settings_digest, settings_reads });
        self.heartbeats_until_statement = 0;
    }

    /// What this VM's process runs, for a heartbeat; only a few carry it, to save bytes between regions.
    pub(crate) fn process_statement(&mut self) -> Option<ProcessStatement> {
        if self.heartbeats_until_statement > 0 {
            self.heartbeats_until_statement -= 1;
            return None;
        }
        self.heartbeats_until_statement = HEARTBEATS_PER_STATEMENT - 1;
        self.local_process
    }

    /// What operators are shown of the live VMs, this one first.
    pub(crate) fn summaries(&self, now: TimeMs, configuration: ConfigurationVersion) -> Vec<VmSummary> {
        let summary = |record: &VmRecord, configuration, process| VmSummary {
            vm: record.vm.clone(),
            state: record.state,
            configuration,
            process,
        };
        let live = self.members.values().filter(|member| self.is_live(now, &member.record.vm));
        std::iter::once(summary(&self.local_record, configuration, self.local_process))
            .chain(live.map(|member| summary(&member.record, member.configuration, member.process)))
            .collect()
    }

    /// Interval between two heartbeats of this VM.
    pub(crate) fn heartbeat_interval(&self) -> SpanMs {
        self.schedule.region_interval()
    }

    /// Whether a VM is alive: its last heartbeat is recent enough.
    pub(crate) fn is_live(&self, now: TimeMs, vm: &VmId) -> bool {
        let is_recent = |member: &Member| {
            let sender = match (member.process, member.record.region == self.local_record.region) {
                (None, _) => HeartbeatSender::Uniform,
                (Some(_), true) => HeartbeatSender::InRegion,
                (Some(_), false) => HeartbeatSender::Remote,
            };
            member.last_heartbeat_at.is_some_and(|at| now.since(at) < self.schedule.dead_after(sender))
        };
        *vm == self.local_record.vm || self.members.get(vm).is_some_and(is_recent)
    }

    /// Whether a VM is this one or sent a heartbeat within a time.
    pub(crate) fn is_heard_within(&self, now: TimeMs, vm: &VmId, time: SpanMs) -> bool {
        let is_heard = |member: &Member| member.last_heartbeat_at.is_some_and(|at| now.since(at) < time);
        *vm == self.local_record.vm || self.members.get(vm).is_some_and(is_heard)
    }

    pub(crate) fn record(&self, vm: &VmId) -> Option<&VmRecord> {
        if *vm == self.local_record.vm {
            return Some(&self.local_record);
        }
        self.members.get(vm).map(|member| &member.record)
    }

    /// Whether this VM knows of no other, not even an address.
    pub(crate) fn knows_no_other(&self) -> bool {
        self.members.is_empty() && self.seeds.is_empty()
    }

    /// VMs that were heard or listed within a time, dead ones too; this one included.
    pub(crate) fn known(&self, now: TimeMs, within: SpanMs) -> impl Iterator<Item = &VmRecord> {
        let last = |member: &Member| member.last_heartbeat_at.unwrap_or_default().max(member.last_named_at);
        let others = self.members.values().filter(move |member| now.since(last(member)) < within);
        std::iter::once(&self.local_record).chain(others.map(|member| &member.record))
    }

    /// Live VMs that accept requests, this one included if it does.
    pub(crate) fn serving(&self, now: TimeMs) -> impl Iterator<Item = &VmRecord> {
        let others =
            self.members.values().map(|member| &member.record).filter(move |record| self.is_live(now, &record.vm));
        std::iter::once(&self.local_record).chain(others).filter(|record| record.state == VmState::Serving)
    }

    /// Whether a VM reaches endpoints, as far as is known.
    pub(crate) fn does_reach_endpoints(&self, vm: &VmId) -> bool {
        if *vm == self.local_record.vm {
            return self.reaches_endpoints;
        }
        self.members.get(vm).is_none_or(|member| member.reach.endpoints)
    }

    /// Live VMs that accept requests and reach endpoints; all that accept requests if none of them does.
    pub(crate) fn serving_with_endpoints(&self, now: TimeMs) -> Vec<&VmRecord> {
        let serving: Vec<_> = self.serving(now).collect();
        let reaching: Vec<_> = serving.iter().copied().filter(|record| self.does_reach_endpoints(&record.vm)).collect();
        if reaching.is_empty() { serving } else { reaching }
    }

    /// Live VMs with whether they reach the store; this one included.
    pub(crate) fn live_vms(&self, now: TimeMs) -> impl Iterator<Item = (&VmRecord, bool)> {
        let others = self.members.values().filter(move |member| self.is_live(now, &member.record.vm));
        let others = others.map(|member| (&member.record, member.reach.store));
        std::iter::once((&self.local_record, self.can_reach_store)).chain(others)
    }

    /// Live VMs of a failure domain with whether they reach the store; this one included if it is there.
    pub(crate) fn live_vms_in_domain<'a>(
        &'a self,
        now: TimeMs,
        domain: &'a FailureDomain,
    ) -> impl Iterator<Item = (&'a VmRecord, bool)> {
        self.live_vms(now).filter(move |(record, _)| record.failure_domain == *domain)
    }

    /// Configuration version in a VM's last heartbeat; zero if it is unknown.
    pub(crate) fn configuration_version_of(&self, vm: &VmId) -> ConfigurationVersion {
        self.members.get(vm).map(|member| member.configuration).unwrap_or_default()
    }

    /// Whether a VM is to be sent a version of the configuration now: it has not stated that it has it, and was not sent it
    /// within [`CONFIGURATION_RESEND_TIME`]. Counts as sent from now on.
    pub(crate) fn take_configuration_share(&mut self, now: TimeMs, vm: &VmId, version: ConfigurationVersion) -> bool {
        let Some(member) = self.members.get_mut(vm).filter(|member| member.configuration < version) else {
            return false;
        };
        let is_on_its_way = member
            .sent_configuration
            .is_some_and(|(sent, at)| sent == version && now.since(at) < CONFIGURATION_RESEND_TIME);
        if !is_on_its_way {
            member.sent_configuration = Some((version, now));
        }
        !is_on_its_way
    }

    /// Whether most of the other VMs sent a heartbeat after a moment; false if no other VM is known.
    pub(crate) fn heard_most_since(&self, at: TimeMs) -> bool {
        let heard = self.members.values().filter(|member| member.last_heartbeat_at.is_some_and(|heard| heard > at));
        heard.count() * 2 > self.members.len()
    }

    /// Number of live VMs, this one included.
    pub(crate) fn live_count(&self, now: TimeMs) -> usize {
        1 + self.members.keys().filter(|vm| self.is_live(now, vm)).count()
    }

    /// VMs that get the next regular heartbeat: those of other regions get only some.
    pub(crate) fn next_heartbeat_targets(&mut self, now: TimeMs) -> Vec<(VmId, SocketAddr)> {
        self.region_heartbeats += 1;
        if self.region_heartbeats < self.schedule.remote_every() {
            return self.targets(now, |member| member.record.region == self.local_record.region);
        }
        self.region_heartbeats = 0;
        self.all_heartbeat_targets(now)
    }

    /// All VMs that get this VM's heartbeats, with their addresses.
    pub(crate) fn all_heartbeat_targets(&self, now: TimeMs) -> Vec<(VmId, SocketAddr)> {
        self.targets(now, |_| true)
    }

    fn targets(&self, now: TimeMs, is_target: impl Fn(&Member) -> bool) -> Vec<(VmId, SocketAddr)> {
        let gets_heartbeats = |member: &&Member| {
            let last = member.last_heartbeat_at.unwrap_or_default().max(member.last_named_at);
            now.since(last) < UNHEARD_CONTACT_TIME && is_target(member)
        };
        let members = self.members.values().filter(gets_heartbeats);
        let member_targets = members.map(|member| (member.record.vm.clone(), member.record.peer_address));
        // A seed's name is unknown until its own heartbeat, so this VM's name stands in.
        let seeds = self.seeds.iter().map(|seed| (self.local_record.vm.clone(), *seed));
        member_targets.chain(seeds).collect()
    }

    /// A few live VMs to name in a heartbeat, other ones each time, so that VMs learn of each other.
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
        self.sample_offset = (self.sample_offset + INTRODUCED_VMS_MAX) % live.len();
        live.iter().cycle().skip(self.sample_offset).take(INTRODUCED_VMS_MAX.min(live.len())).cloned().collect()
    }

    /// Adds the VMs that another VM named in its heartbeat.
    pub(crate) fn add_known_vms(&mut self, known_vms: Vec<(VmId, SocketAddr)>) {
        for (vm, address) in known_vms {
            let is_known = self.members.get(&vm).is_some_and(|member| member.record.peer_address == address);
            if vm != self.local_record.vm && !is_known {
                self.add_seed(address);
            }
        }
    }
}
