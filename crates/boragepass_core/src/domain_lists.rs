//! Tracks which list version each failure domain enforces, and which VMs are still behind.
//!
//! A relay reports one version for all VMs of its domain, so that a commit is accepted without a record
//! from every VM.

use boragepass_types::{FailureDomain, ListVersion, SpanMs, TimeMs, VmId};

use crate::membership::{HEARTBEATS_PER_REPEAT, Member, MemberState, Membership};
use crate::platform::VmState;

/// Margin between the time at which an isolated VM stops admitting and the time at which others rely on it.
const ISOLATION_MARGIN: SpanMs = SpanMs(500);

impl Membership {
    /// List version that every VM of this domain enforces, as far as this VM hears them.
    pub(crate) fn local_domain_lists(&self) -> ListVersion {
        let peers = self.domain_peers().map(|member| &member.record);
        let heard_records = peers.filter(|record| record.state != MemberState::Listed).map(|record| record.lists);
        heard_records.fold(self.local_record.lists, ListVersion::min)
    }

    /// Records the list version that `reporter` reports for a domain.
    pub(crate) fn record_domain_lists(&mut self, domain: &FailureDomain, reporter: &VmId, lists: ListVersion) {
        if *domain == self.local_record.failure_domain {
            return;
        }
        let previous_version = self.domain_lists(domain);
        let highest_reported =
            self.domain_reports.entry(domain.clone()).or_default().entry(reporter.clone()).or_default();
        *highest_reported = lists.max(*highest_reported);
        if self.domain_lists(domain) > previous_version {
            self.raised_domains.insert(domain.clone());
        }
    }

    /// List version that every VM of another domain enforces. Each relay of that domain may miss a VM, so a
    /// relay of this domain takes the lowest of their reports. The other VMs of this domain take the highest
    /// that its relays pass on, since each of these is already such a lowest version.
    fn domain_lists(&self, domain: &FailureDomain) -> ListVersion {
        let Some(reports) = self.domain_reports.get(domain) else {
            return ListVersion(0);
        };
        if self.is_relay() {
            let reported_version = |relay: &&Member| reports.get(&relay.record.vm).copied().unwrap_or_default();
            return self.relays_of(domain).iter().map(reported_version).min().unwrap_or_default();
        }
        let local_reports = reports.iter().filter(|(vm, _)| {
            self.members.get(*vm).is_some_and(|member| member.record.failure_domain == self.local_record.failure_domain)
        });
        local_reports.map(|(_, lists)| *lists).max().unwrap_or_default()
    }

    /// Takes the domains whose version rose since the last call, with that version; every
    /// `HEARTBEATS_PER_REPEAT` heartbeats all domains, so that a lost message is made up for.
    pub(crate) fn take_raised_lists(&mut self) -> Vec<(FailureDomain, ListVersion)> {
        let mut domains = std::mem::take(&mut self.raised_domains);
        if self.heartbeat_count.is_multiple_of(HEARTBEATS_PER_REPEAT) {
            domains.extend(self.domain_reports.keys().cloned());
        }
        domains.into_iter().map(|domain| (domain.clone(), self.domain_lists(&domain))).collect()
    }

    /// List version that a VM enforces, by its own record or its domain's report.
    pub(crate) fn lists_of(&self, member: &Member) -> ListVersion {
        let is_up = matches!(member.record.state, MemberState::Alive | MemberState::Leaving);
        let is_remote = member.record.failure_domain != self.local_record.failure_domain;
        if is_up && is_remote {
            member.record.lists.max(self.domain_lists(&member.record.failure_domain))
        } else {
            member.record.lists
        }
    }

    /// VMs that may still admit requests under lists before `version`.
    ///
    /// A VM that hears no other VM stops admitting after `isolation`, so a single unheard VM is left out after
    /// that time. Several unheard VMs may hear each other and count until the VM list says that they are gone. A VM that
    /// was never heard counts as unheard: after a restart of this VM behind a network cut it may well serve.
    pub(crate) fn vms_behind(&self, now: TimeMs, version: ListVersion, isolation: SpanMs) -> Vec<VmId> {
        let is_behind =
            |member: &&Member| member.listed_state != Some(VmState::Gone) && self.lists_of(member) < version;
        let is_unheard = |member: &&Member| matches!(member.record.state, MemberState::Dead | MemberState::Listed);
        let unheard_count = self.members.values().filter(is_behind).filter(is_unheard).count();
        let is_surely_isolated = |member: &Member| {
            is_unheard(&member) && unheard_count == 1 && now.since(member.state_since) > isolation + ISOLATION_MARGIN
        };
        let waiting = self.members.values().filter(is_behind).filter(|member| !is_surely_isolated(member));
        waiting.map(|member| member.record.vm.clone()).collect()
    }
}
