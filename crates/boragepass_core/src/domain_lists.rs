//! Which lists whole failure domains enforce, and who is still waited for.
//!
//! Relays report one version for all VMs of their domain, so that a change is confirmed without a
//! record of every VM.

use boragepass_types::{FailureDomain, ListVersion, SpanMs, TimeMs, VmId};

use crate::membership::{HEARTBEATS_PER_REPEAT, Member, MemberState, Membership};
use crate::platform::VmState;

const EXCUSE_MARGIN: SpanMs = SpanMs(500);

impl Membership {
    /// Lists that every VM of this domain enforces, as far as this VM hears them.
    pub(crate) fn local_domain_lists(&self) -> ListVersion {
        let peers = self.domain_peers().map(|member| &member.record);
        let up = peers.filter(|record| record.state != MemberState::Listed).map(|record| record.lists);
        up.fold(self.local_record.lists, ListVersion::min)
    }

    /// Takes over what `reporter` says of a domain.
    pub(crate) fn record_domain_lists(&mut self, domain: &FailureDomain, reporter: &VmId, lists: ListVersion) {
        if *domain == self.local_record.failure_domain {
            return;
        }
        let before = self.domain_lists(domain);
        let known = self.domain_reports.entry(domain.clone()).or_default().entry(reporter.clone()).or_default();
        *known = lists.max(*known);
        if self.domain_lists(domain) > before {
            self.raised_domains.insert(domain.clone());
        }
    }

    /// Lists that every VM of another domain enforces. Its relays may each miss a VM, so the smaller
    /// word counts; what a relay of this domain passes on was weighed like that already.
    fn domain_lists(&self, domain: &FailureDomain) -> ListVersion {
        let Some(reports) = self.domain_reports.get(domain) else {
            return ListVersion(0);
        };
        if self.is_relay() {
            let said = |relay: &&Member| reports.get(&relay.record.vm).copied().unwrap_or_default();
            return self.relays_of(domain).iter().map(said).min().unwrap_or_default();
        }
        let from_home = reports.iter().filter(|(vm, _)| {
            self.members.get(*vm).is_some_and(|member| member.record.failure_domain == self.local_record.failure_domain)
        });
        from_home.map(|(_, lists)| *lists).max().unwrap_or_default()
    }

    /// Domains whose lists rose, for this domain's VMs; all of them now and then.
    pub(crate) fn take_raised_lists(&mut self) -> Vec<(FailureDomain, ListVersion)> {
        let mut domains = std::mem::take(&mut self.raised_domains);
        if self.heartbeat_count.is_multiple_of(HEARTBEATS_PER_REPEAT) {
            domains.extend(self.domain_reports.keys().cloned());
        }
        domains.into_iter().map(|domain| (domain.clone(), self.domain_lists(&domain))).collect()
    }

    /// Lists that a VM enforces, by its own or its domain's record.
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
    /// A VM that hears nobody stops admitting after `isolation`, so a VM that nobody hears need
    /// not be waited for after that time; but several unheard VMs may hear each other and are
    /// waited for until the VM list drops them. A VM that this one has never heard counts as
    /// unheard: after a restart behind a cut it may well serve.
    pub(crate) fn behind(&self, now: TimeMs, version: ListVersion, isolation: SpanMs) -> Vec<VmId> {
        let is_behind =
            |member: &&Member| member.listed_state != Some(VmState::Gone) && self.lists_of(member) < version;
        let is_unheard = |member: &&Member| matches!(member.record.state, MemberState::Dead | MemberState::Listed);
        let unheard = self.members.values().filter(is_behind).filter(is_unheard).count();
        let is_excused = |member: &Member| {
            is_unheard(&member) && unheard == 1 && now.since(member.state_since) > isolation + EXCUSE_MARGIN
        };
        let waiting = self.members.values().filter(is_behind).filter(|member| !is_excused(member));
        waiting.map(|member| member.record.vm.clone()).collect()
    }
}
