//! Failure domains whose endpoints the operators want unused, for planned work there.
//!
//! The store holds one row per evacuated domain. Store followers read them; all other VMs learn the set from heartbeats
//! and shared state. The set with the highest version of the store wins, so that a VM with an older one cannot take a
//! domain back. Designed for 22 failure domains and a few changes per day; a check costs one look-up in a small set.

use std::collections::{BTreeMap, BTreeSet};

use boragepass_types::{FailureDomain, SpanMs, TimeMs};
use derive_more::Display;

use super::StoreVersion;

/// Time for which a VM that has configuration and endpoints waits for the set before it serves without. Only VMs of the
/// previous build share state without the set, so the wait ends early unless all others are of that build and the store
/// is unreachable.
const UNKNOWN_WAIT: SpanMs = SpanMs(3_000);

/// Evacuated failure domains at one version of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Version of the store at which they were read.
    pub version: StoreVersion,
    /// Failure domains.
    pub domains: BTreeSet<FailureDomain>,
}

/// Where a VM learnt a set of evacuated failure domains.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum EvacuationSource {
    /// It read the set in the store.
    #[display("store")]
    Store,
    /// Another VM sent it.
    #[display("other VM")]
    OtherVm,
}

/// Difference between two successive sets.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct EvacuationChange {
    /// Domains that are evacuated from now on.
    pub(crate) begun: Vec<FailureDomain>,
    /// Domains that are taken back, with how long this VM knew them as evacuated.
    pub(crate) ended: Vec<(FailureDomain, SpanMs)>,
}

/// Newest set that this VM knows.
#[derive(Debug, Default)]
pub(crate) struct KnownEvacuations {
    newest: Option<(Evacuations, EvacuationSource)>,
    /// When this VM learnt of each evacuation in force.
    begun_at: BTreeMap<FailureDomain, TimeMs>,
    /// Since when the set is all that this VM waits for before it serves.
    awaited_since: Option<TimeMs>,
}

impl KnownEvacuations {
    /// Newest set; `None` before the first.
    pub(crate) fn newest(&self) -> Option<&Evacuations> {
        self.newest.as_ref().map(|(evacuations, _)| evacuations)
    }

    /// Where the newest set comes from.
    pub(crate) fn source(&self) -> Option<EvacuationSource> {
        self.newest.as_ref().map(|(_, source)| *source)
    }

    /// Evacuated domains with how long this VM has known it.
    pub(crate) fn durations(&self, now: TimeMs) -> impl Iterator<Item = (&FailureDomain, SpanMs)> {
        self.begun_at.iter().map(move |(domain, begun_at)| (domain, now.since(*begun_at)))
    }

    /// Whether the endpoints of a domain get no new work.
    pub(crate) fn is_evacuated(&self, domain: &FailureDomain) -> bool {
        self.begun_at.contains_key(domain)
    }

    /// Replaces the set by a newer one and returns what it changes; an older one, or one of the same version, changes
    /// nothing.
    pub(crate) fn update(&mut self, now: TimeMs, read: Evacuations, source: EvacuationSource) -> EvacuationChange {
        if self.newest().is_some_and(|newest| newest.version >= read.version) {
            return EvacuationChange::default();
        }
        let begun: Vec<_> = read.domains.iter().filter(|domain| !self.is_evacuated(domain)).cloned().collect();
        let ended = self.durations(now).filter(|(domain, _)| !read.domains.contains(*domain));
        let ended: Vec<_> = ended.map(|(domain, duration)| (domain.clone(), duration)).collect();
        self.begun_at.retain(|domain, _| read.domains.contains(domain));
        self.begun_at.extend(begun.iter().map(|domain| (domain.clone(), now)));
        self.newest = Some((read, source));
        EvacuationChange { begun, ended }
    }

    /// Starts to wait for the first set, once everything else that this VM needs to serve is known.
    pub(crate) fn begin_wait(&mut self, now: TimeMs) {
        self.awaited_since.get_or_insert(now);
    }

    /// Whether this VM has to wait for the first set before it serves.
    pub(crate) fn is_awaited(&self, now: TimeMs) -> bool {
        self.newest.is_none() && self.awaited_since.is_some_and(|since| now.since(since) < UNKNOWN_WAIT)
    }
}
