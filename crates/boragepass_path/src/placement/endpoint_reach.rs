//! Decides whether this VM has lost its links to all endpoints, rather than single endpoints having failed.
//!
//! Failures of several endpoints, or silence of all, only raise the suspicion. The VM then probes a few endpoints of
//! different pools and failure domains by opening a connection to each: it is partitioned if none of them opens, and until
//! a later probe opens. Replies do not count against that, since open connections may live on while new ones are refused.

use std::collections::BTreeSet;

use boragepass_types::{EndpointId, SpanMs, TimeMs};

/// Endpoints that are probed at a time.
pub(crate) const PROBED_ENDPOINTS: usize = 6;
/// Fewest endpoints from which a partition can be told from failures of each.
const PROBED_ENDPOINTS_MIN: usize = 3;
/// Shortest time between two rounds of probes.
const ROUND_INTERVAL: SpanMs = SpanMs(500);
/// Time after which a round without all its results is over.
const ROUND_TIMEOUT: SpanMs = SpanMs(2_000);
/// Silence of all endpoints, while a reply is due, that raises the suspicion. Sound endpoints may fall silent for a second,
/// but not all at once.
const SILENCE: SpanMs = SpanMs(700);
/// Endpoints that fail without a reply of any in between, which raises the suspicion.
const FAILED_ENDPOINTS: usize = 2;

/// Whether this VM reaches endpoints, and what speaks against it.
#[derive(Debug, Default)]
pub(crate) struct EndpointReach {
    is_partitioned: bool,
    last_contact_at: TimeMs,
    /// Endpoints that failed since the last contact with any.
    failed: BTreeSet<EndpointId>,
    round_began_at: Option<TimeMs>,
    /// Endpoints whose probes of the round have no result yet.
    pending: BTreeSet<EndpointId>,
}

/// Result of a round of probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RoundResult {
    /// An endpoint was reached, as before.
    Reached,
    /// An endpoint was reached, and this VM was partitioned before.
    Regained,
    /// No endpoint was reached any more.
    Lost,
    /// No endpoint was reached, as before.
    StillLost,
}

impl EndpointReach {
    pub(crate) fn is_partitioned(&self) -> bool {
        self.is_partitioned
    }

    /// Whether failures of endpoints may be those of this VM's own links.
    pub(crate) fn is_in_doubt(&self) -> bool {
        self.is_partitioned || !self.pending.is_empty() || self.failed.len() >= FAILED_ENDPOINTS
    }

    /// Records a reply of any endpoint.
    pub(crate) fn on_contact(&mut self, now: TimeMs) {
        self.last_contact_at = now;
        self.failed.clear();
    }

    /// Records that a connection to an endpoint failed, or that its reply is overdue.
    pub(crate) fn on_failure(&mut self, endpoint: &EndpointId) {
        self.failed.insert(endpoint.clone());
    }

    /// Whether a round of probes is due; `waiting_since` is when the oldest exchange without a reply began.
    pub(crate) fn is_round_due(&self, now: TimeMs, waiting_since: Option<TimeMs>) -> bool {
        let is_silent = waiting_since.is_some_and(|since| now.since(since.max(self.last_contact_at)) >= SILENCE);
        let is_suspected = self.is_partitioned || self.failed.len() >= FAILED_ENDPOINTS || is_silent;
        let interval = if self.pending.is_empty() { ROUND_INTERVAL } else { ROUND_TIMEOUT };
        is_suspected && self.round_began_at.is_none_or(|at| now.since(at) >= interval)
    }

    /// Begins a round of probes; too few endpoints show nothing.
    pub(crate) fn begin_round(&mut self, now: TimeMs, probed: impl Iterator<Item = EndpointId>) {
        self.round_began_at = Some(now);
        self.pending = probed.collect();
        if self.pending.len() < PROBED_ENDPOINTS_MIN {
            self.pending.clear();
        }
    }

    /// Records the result of a probe; returns that of the round once it is known.
    pub(crate) fn on_probed(&mut self, now: TimeMs, endpoint: &EndpointId, is_reached: bool) -> Option<RoundResult> {
        if !self.pending.remove(endpoint) {
            return None;
        }
        let was_partitioned = self.is_partitioned;
        if is_reached {
            self.pending.clear();
            self.is_partitioned = false;
            self.on_contact(now);
            return Some(if was_partitioned { RoundResult::Regained } else { RoundResult::Reached });
        }
        if !self.pending.is_empty() {
            return None;
        }
        self.is_partitioned = true;
        Some(if was_partitioned { RoundResult::StillLost } else { RoundResult::Lost })
    }
}
