//! Which VMs there are, what state they are in and which lists they enforce.
//!
//! VMs of one failure domain exchange heartbeats directly and declare each other dead. Two relays of
//! each failure domain, chosen by rendezvous hash, exchange membership records with the relays of
//! the other domains and forward them within their own. Records are ordered by incarnation, epoch
//! and state, so that their order of arrival does not matter; a VM that finds itself reported dead
//! raises its epoch. Sending is left to `member_flow`, list versions by domain to `domain_lists`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use boragepass_types::{FailureDomain, Incarnation, ListVersion, Region, SpanMs, TimeMs, VmId, rendezvous_weight};

use crate::message::Heartbeat;
use crate::platform::{VmListEntry, VmState};
use crate::settings::NodeSettings;

const RELAYS_PER_DOMAIN: usize = 2;
/// One heartbeat of a relay in this many repeats a record that has not changed, and the sender's whole record.
pub(crate) const HEARTBEATS_PER_REPEAT: u64 = 8;

/// State of a VM; within an epoch, a later variant overrides an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub enum MemberState {
    /// In the VM list, but not heard from yet.
    #[display("listed")]
    Listed,
    /// Takes new requests.
    #[display("alive")]
    Alive,
    /// Draining: finishes its requests and takes no new ones.
    #[display("leaving")]
    Leaving,
    /// Silent for longer than the member timeout, or gone from the VM list.
    #[display("dead")]
    Dead,
}

/// What one VM reports about another, or about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// The VM.
    pub vm: VmId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Raised by the VM itself when it was wrongly reported dead.
    pub epoch: u32,
    /// State.
    pub state: MemberState,
    /// Region.
    pub region: Region,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Address that other VMs send to.
    pub peer_address: SocketAddr,
    /// Address that callers send to.
    pub caller_address: SocketAddr,
    /// Version of the lists that it enforces; zero before the first.
    pub lists: ListVersion,
}

impl MemberRecord {
    /// Of two records of one VM, the one with the higher rank is the later one.
    fn rank(&self) -> (Incarnation, u32, MemberState) {
        (self.incarnation, self.epoch, self.state)
    }
}

/// Another VM as this one knows it.
#[derive(Debug, Clone)]
pub(crate) struct Member {
    pub(crate) record: MemberRecord,
    /// When its last message arrived directly; `None` if it is known only through others.
    pub(crate) heard_at: Option<TimeMs>,
    pub(crate) state_since: TimeMs,
    /// State in the VM list; `None` if the list has not named it yet.
    pub(crate) listed_state: Option<VmState>,
}

/// Change of a VM's state, to be logged and passed on. `Dead` carries how long the VM was silent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum MemberChange {
    Alive(VmId),
    Leaving(VmId),
    Dead(VmId, SpanMs),
}

/// All VMs as this one sees them.
#[derive(Debug)]
pub(crate) struct Membership {
    pub(crate) local_record: MemberRecord,
    pub(crate) members: BTreeMap<VmId, Member>,
    /// VMs of this failure domain whose latest record has not been sent to other domains.
    unsent_to_other_domains: BTreeSet<VmId>,
    /// VMs of other domains whose latest record has not been sent within this domain.
    unsent_to_local_domain: BTreeSet<VmId>,
    /// Version of the lists that all VMs of a domain enforce, by the VM that reported it.
    pub(crate) domain_reports: BTreeMap<FailureDomain, BTreeMap<VmId, ListVersion>>,
    /// Domains whose reported version rose since this VM last sent it within its own domain.
    pub(crate) raised_domains: BTreeSet<FailureDomain>,
    /// VM whose unchanged record was repeated last.
    last_repeated_vm: Option<VmId>,
    /// Heartbeats for which records were collected.
    pub(crate) heartbeat_count: u64,
    /// Incremented when the state of a VM changes, so that results derived from it are recomputed.
    pub(crate) view_version: u64,
    /// When any other VM was last heard; messages that may be stale do not count.
    last_heard_at: Option<TimeMs>,
}

impl Membership {
    /// Membership that knows only this VM.
    pub(crate) fn new(settings: &NodeSettings) -> Self {
        let local_record = MemberRecord {
            vm: settings.vm.clone(),
            incarnation: settings.incarnation,
            epoch: 0,
            state: MemberState::Alive,
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
            peer_address: settings.peer_address,
            caller_address: settings.caller_address,
            lists: ListVersion(0),
        };
        Self {
            local_record,
            members: BTreeMap::new(),
            unsent_to_other_domains: BTreeSet::new(),
            unsent_to_local_domain: BTreeSet::new(),
            domain_reports: BTreeMap::new(),
            raised_domains: BTreeSet::new(),
            last_repeated_vm: None,
            heartbeat_count: 0,
            view_version: 0,
            last_heard_at: None,
        }
    }

    /// Other VMs.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// One other VM.
    pub(crate) fn get(&self, vm: &VmId) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Other VMs that are alive or leaving.
    pub(crate) fn reachable(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members
            .values()
            .map(|member| &member.record)
            .filter(|record| matches!(record.state, MemberState::Alive | MemberState::Leaving))
    }

    /// VMs that take new work, this one included.
    pub(crate) fn serving(&self) -> impl Iterator<Item = &MemberRecord> {
        let others = self.members.values().map(|member| &member.record);
        others.chain(std::iter::once(&self.local_record)).filter(|record| record.state == MemberState::Alive)
    }

    /// Applies an entry of the VM list. The list can mark a VM leaving or dead, but never alive:
    /// only a heartbeat does that.
    pub(crate) fn apply_entry(&mut self, now: TimeMs, entry: &VmListEntry) -> Option<MemberChange> {
        let VmListEntry::EntryVm { vm, region, failure_domain, peer_address, caller_address, state } = entry else {
            return None;
        };
        if *vm == self.local_record.vm {
            return None;
        }
        let record = MemberRecord {
            vm: vm.clone(),
            incarnation: Incarnation(0),
            epoch: 0,
            state: MemberState::Listed,
            region: region.clone(),
            failure_domain: failure_domain.clone(),
            peer_address: *peer_address,
            caller_address: *caller_address,
            lists: ListVersion(0),
        };
        let member = self.members.entry(vm.clone()).or_insert_with(|| Member {
            record,
            heard_at: None,
            state_since: now,
            listed_state: None,
        });
        member.listed_state = Some(*state);
        member.record.peer_address = *peer_address;
        member.record.caller_address = *caller_address;
        if *state == VmState::Gone && member.record.state != MemberState::Dead {
            let silence = member.heard_at.map_or(SpanMs(0), |at| now.since(at));
            return self.set_state(now, vm, MemberState::Dead, silence);
        }
        let is_leaving = *state == VmState::Leaving && member.record.state == MemberState::Alive;
        if is_leaving { self.set_state(now, vm, MemberState::Leaving, SpanMs(0)) } else { None }
    }

    /// Applies a VM's report about itself; `None` if a later incarnation of it is known.
    pub(crate) fn apply_self_report(
        &mut self,
        now: TimeMs,
        sender: &MemberRecord,
        may_have_stale_input: bool,
    ) -> Option<Vec<MemberChange>> {
        let known_incarnation = self.members.get(&sender.vm).map(|member| member.record.incarnation);
        if known_incarnation.is_some_and(|incarnation| incarnation > sender.incarnation) {
            return None;
        }
        let mut changes: Vec<_> = self.apply_record(now, sender, true).into_iter().collect();
        if !may_have_stale_input {
            self.last_heard_at = Some(now);
        }
        if let Some(member) = self.members.get_mut(&sender.vm) {
            member.heard_at = Some(now);
        }
        changes.dedup();
        Some(changes)
    }

    /// Applies a record of a VM, sent by itself or by another one. Older records are ignored.
    pub(crate) fn apply_record(
        &mut self,
        now: TimeMs,
        record: &MemberRecord,
        is_self_report: bool,
    ) -> Option<MemberChange> {
        if record.vm == self.local_record.vm {
            self.refute_death_report(record);
            return None;
        }
        let Some(member) = self.members.get_mut(&record.vm) else {
            let heard_at = None;
            self.members.insert(
                record.vm.clone(),
                Member { record: record.clone(), heard_at, state_since: now, listed_state: None },
            );
            self.record_state_change(&record.vm);
            return member_change(record, SpanMs(0));
        };
        let lists = member.record.lists;
        if record.rank() < member.record.rank() {
            return None;
        }
        let is_same = record.rank() == member.record.rank();
        let is_new_process = record.incarnation > member.record.incarnation;
        let latest_lists = if is_new_process { record.lists } else { lists.max(record.lists) };
        let previous_state = member.record.state;
        member.record = MemberRecord { lists: latest_lists, ..record.clone() };
        if is_new_process && !is_self_report {
            member.heard_at = None;
        }
        if is_same && latest_lists == lists {
            return None;
        }
        let is_only_lists_change = is_same && previous_state == record.state;
        if !is_only_lists_change {
            self.mark_unsent(&record.vm);
        }
        if previous_state == record.state {
            return None;
        }
        if let Some(member) = self.members.get_mut(&record.vm) {
            member.state_since = now;
        }
        self.view_version += 1;
        member_change(record, SpanMs(0))
    }

    /// Records that a message arrived directly from a VM; false if it comes from an incarnation that
    /// a later one has replaced.
    pub(crate) fn record_message(
        &mut self,
        now: TimeMs,
        vm: &VmId,
        incarnation: Incarnation,
        may_have_stale_input: bool,
    ) -> bool {
        let Some(member) = self.members.get_mut(vm) else {
            return true;
        };
        if member.record.incarnation > incarnation {
            return false;
        }
        if member.record.incarnation == incarnation {
            member.heard_at = Some(now);
            if !may_have_stale_input {
                self.last_heard_at = Some(now);
            }
        }
        true
    }

    /// Declares VMs dead that were silent for longer than the timeout: those of this failure domain
    /// and, on a relay, all of another domain none of whose relays was heard.
    pub(crate) fn expire_silent_members(&mut self, now: TimeMs, timeout: SpanMs) -> Vec<MemberChange> {
        let mut silent_vms = Vec::new();
        for member in self.members.values() {
            let is_up = matches!(member.record.state, MemberState::Alive | MemberState::Leaving);
            if is_up && self.is_in_local_domain(member) {
                let silent_since = member.heard_at.unwrap_or(member.state_since);
                if now.since(silent_since) > timeout {
                    silent_vms.push((member.record.vm.clone(), now.since(silent_since)));
                }
            }
        }
        let mut unreachable_domains: BTreeSet<FailureDomain> = BTreeSet::new();
        if self.is_relay() {
            for domain in self.other_domains() {
                let relays = self.relays_of(&domain);
                let is_unreachable = !relays.is_empty()
                    && relays.iter().all(|relay| {
                        let silent_since = relay.heard_at.unwrap_or(relay.state_since);
                        relay.record.state != MemberState::Dead && now.since(silent_since) > timeout
                    });
                if is_unreachable {
                    unreachable_domains.insert(domain);
                }
            }
        }
        for member in self.members.values() {
            let is_up = matches!(member.record.state, MemberState::Alive | MemberState::Leaving);
            if is_up && unreachable_domains.contains(&member.record.failure_domain) {
                let silent_since = member.heard_at.unwrap_or(member.state_since);
                silent_vms.push((member.record.vm.clone(), now.since(silent_since)));
            }
        }
        silent_vms
            .into_iter()
            .filter_map(|(vm, silence)| self.set_state(now, &vm, MemberState::Dead, silence))
            .collect()
    }

    fn is_in_local_domain(&self, member: &Member) -> bool {
        member.record.failure_domain == self.local_record.failure_domain
    }

    fn set_state(&mut self, now: TimeMs, vm: &VmId, state: MemberState, silence: SpanMs) -> Option<MemberChange> {
        let member = self.members.get_mut(vm)?;
        if member.record.state == state {
            return None;
        }
        member.record.state = state;
        member.state_since = now;
        let record = member.record.clone();
        self.record_state_change(vm);
        member_change(&record, silence)
    }

    fn record_state_change(&mut self, vm: &VmId) {
        self.mark_unsent(vm);
        self.view_version += 1;
    }

    fn mark_unsent(&mut self, vm: &VmId) {
        let is_local_domain =
            self.members.get(vm).is_some_and(|member| member.record.failure_domain == self.local_record.failure_domain);
        let set = if is_local_domain { &mut self.unsent_to_other_domains } else { &mut self.unsent_to_local_domain };
        set.insert(vm.clone());
    }

    /// Raises the epoch if this incarnation was reported dead, so that its own record overrides that.
    fn refute_death_report(&mut self, record: &MemberRecord) {
        let is_this_incarnation = record.incarnation == self.local_record.incarnation;
        if is_this_incarnation && record.epoch >= self.local_record.epoch && record.state == MemberState::Dead {
            self.local_record.epoch = record.epoch + 1;
        }
    }

    /// Other failure domains with a VM that the VM list does not report gone.
    pub(crate) fn other_domains(&self) -> BTreeSet<FailureDomain> {
        self.members
            .values()
            .filter(|member| member.listed_state != Some(VmState::Gone))
            .map(|member| member.record.failure_domain.clone())
            .filter(|domain| *domain != self.local_record.failure_domain)
            .collect()
    }

    /// Relays of another failure domain. If all its VMs are dead, dead ones are returned, so that
    /// heartbeats reach a domain that comes back.
    pub(crate) fn relays_of(&self, domain: &FailureDomain) -> Vec<&Member> {
        let weight = |member: &&Member| rendezvous_weight(domain.as_str(), member.record.vm.as_str());
        let in_domain =
            |member: &&Member| member.record.failure_domain == *domain && member.listed_state != Some(VmState::Gone);
        let mut candidates: Vec<_> =
            self.members.values().filter(in_domain).filter(|member| member.record.state != MemberState::Dead).collect();
        if candidates.is_empty() {
            candidates = self.members.values().filter(in_domain).collect();
        }
        candidates.sort_by_key(weight);
        candidates.reverse();
        candidates.truncate(RELAYS_PER_DOMAIN);
        candidates
    }

    /// Whether this VM is a relay of its failure domain.
    pub(crate) fn is_relay(&self) -> bool {
        let domain = self.local_record.failure_domain.as_str();
        let own_weight = rendezvous_weight(domain, self.local_record.vm.as_str());
        let higher_ranked = self.domain_peers().filter(|member| {
            member.record.state != MemberState::Listed
                && rendezvous_weight(domain, member.record.vm.as_str()) > own_weight
        });
        higher_ranked.count() < RELAYS_PER_DOMAIN
    }

    /// Other VMs of this failure domain that are not dead.
    pub(crate) fn domain_peers(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| {
            member.record.failure_domain == self.local_record.failure_domain
                && member.record.state != MemberState::Dead
                && member.listed_state != Some(VmState::Gone)
        })
    }

    /// Relays of all other failure domains.
    pub(crate) fn remote_relays(&self) -> Vec<&MemberRecord> {
        let domains = self.other_domains();
        domains.iter().flat_map(|domain| self.relays_of(domain)).map(|member| &member.record).collect()
    }

    /// Records for the relays of other domains: VMs of this domain that changed and, every
    /// [`HEARTBEATS_PER_REPEAT`], one that did not.
    pub(crate) fn take_records_for_other_domains(&mut self) -> Vec<MemberRecord> {
        let changed = std::mem::take(&mut self.unsent_to_other_domains);
        self.records_to_send(changed, true)
    }

    /// Records for this domain: VMs of other domains that changed and, every
    /// [`HEARTBEATS_PER_REPEAT`], one that did not.
    pub(crate) fn take_records_for_local_domain(&mut self) -> Vec<MemberRecord> {
        let changed = std::mem::take(&mut self.unsent_to_local_domain);
        self.records_to_send(changed, false)
    }

    fn records_to_send(&mut self, mut vms: BTreeSet<VmId>, is_local_domain: bool) -> Vec<MemberRecord> {
        self.heartbeat_count += 1;
        if self.heartbeat_count.is_multiple_of(HEARTBEATS_PER_REPEAT) {
            vms.extend(self.next_vm_to_repeat(is_local_domain));
        }
        let records = vms.iter().filter_map(|vm| self.members.get(vm)).map(|member| member.record.clone());
        records.filter(|record| record.state != MemberState::Listed).collect()
    }

    /// Whether the next heartbeat carries the sender's whole record. Only heartbeats with records of other
    /// VMs are counted, so that a VM that is no relay always sends it.
    pub(crate) fn is_full_record_due(&self) -> bool {
        self.heartbeat_count < HEARTBEATS_PER_REPEAT || self.heartbeat_count.is_multiple_of(HEARTBEATS_PER_REPEAT)
    }

    /// Next VM of this domain, or of the others, in cyclic order.
    fn next_vm_to_repeat(&mut self, is_local_domain: bool) -> Option<VmId> {
        let local_domain = self.local_record.failure_domain.clone();
        let is_wanted = |member: &Member| (member.record.failure_domain == local_domain) == is_local_domain;
        let after = |vm: &VmId| self.last_repeated_vm.as_ref().is_some_and(|last| vm > last);
        let mut wanted = self.members.iter().filter(|(_, member)| is_wanted(member)).map(|(vm, _)| vm);
        let next = wanted.clone().find(|vm| after(vm)).or_else(|| wanted.next()).cloned();
        self.last_repeated_vm.clone_from(&next);
        next
    }

    /// The sender's record: what its heartbeat says, and what is known of it for the rest. `None` if
    /// the sender is unknown and the heartbeat does not carry its whole record.
    pub(crate) fn sender_record(
        &self,
        vm: &VmId,
        incarnation: Incarnation,
        heartbeat: &Heartbeat,
    ) -> Option<MemberRecord> {
        let known_record = heartbeat.sender.as_deref().or_else(|| self.members.get(vm).map(|member| &member.record))?;
        Some(MemberRecord {
            incarnation,
            epoch: heartbeat.epoch,
            state: heartbeat.state,
            lists: heartbeat.lists,
            ..known_record.clone()
        })
    }

    /// Time since any other VM was heard; `None` if there are no other VMs.
    pub(crate) fn peer_silence(&self, now: TimeMs, started_at: TimeMs) -> Option<SpanMs> {
        let has_others = self.members.values().any(|member| member.listed_state != Some(VmState::Gone));
        has_others.then(|| now.since(self.last_heard_at.unwrap_or(started_at)))
    }
}

fn member_change(record: &MemberRecord, silence: SpanMs) -> Option<MemberChange> {
    match record.state {
        MemberState::Listed => None,
        MemberState::Alive => Some(MemberChange::Alive(record.vm.clone())),
        MemberState::Leaving => Some(MemberChange::Leaving(record.vm.clone())),
        MemberState::Dead => Some(MemberChange::Dead(record.vm.clone(), silence)),
    }
}
