//! Evacuated failure domains as the operator sees them, and the check that their endpoints get no new work.

use std::collections::BTreeMap;

use boragepass_types::{FailureDomain, SpanMs, TimeMs};

/// Time after the store's acknowledgement from which an evacuation is in force (`evacuateMs`).
pub(super) const EVACUATE: SpanMs = SpanMs(5_000);

/// Failure domains that are evacuated, and what reached their endpoints.
#[derive(Debug, Default)]
pub struct EvacuationRecord {
    /// When the store acknowledged each evacuation in force.
    acknowledged_at: BTreeMap<FailureDomain, TimeMs>,
    /// Requests and calls of any VM, in touch or not, that reached endpoints of domains whose evacuation is in force.
    pub late_arrivals: u32,
    /// Requests and calls that reached endpoints of each domain.
    pub arrivals: BTreeMap<FailureDomain, u32>,
}

impl EvacuationRecord {
    pub(super) fn begin(&mut self, now: TimeMs, domain: &FailureDomain) {
        self.acknowledged_at.entry(domain.clone()).or_insert(now);
    }

    pub(super) fn end(&mut self, domain: &FailureDomain) {
        self.acknowledged_at.remove(domain);
    }

    /// Records a request or call that reaches an endpoint of a domain; returns whether none may.
    pub(super) fn on_arrival(&mut self, now: TimeMs, domain: &FailureDomain) -> bool {
        *self.arrivals.entry(domain.clone()).or_default() += 1;
        let is_late = self.acknowledged_at.get(domain).is_some_and(|at| now.since(*at) > EVACUATE);
        self.late_arrivals += u32::from(is_late);
        is_late
    }
}
