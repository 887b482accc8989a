//! Which regions requests of each kind were allowed in over time, and what was sent elsewhere.
//!
//! A VM may have a configuration that is [`CONFIG_APPLY_MS`] old. A request has to keep to a configuration that may have
//! been in force when it came and to one that may be in force now.

use std::collections::BTreeSet;

use boragepass_types::{Region, SpanMs, TimeMs};

/// Time in which a new configuration is in force at all VMs in touch.
const CONFIG_APPLY_MS: u64 = 4_000;

/// Numbers of what went where home regions do not allow it, and of client connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HomeTallies {
    /// Requests sent to an endpoint outside of their home regions.
    pub foreign_requests: u32,
    /// Pieces computed outside of the home regions of their request.
    pub foreign_pieces: u32,
    /// Bodies relayed, and piece requests sent, to VMs neither in a home nor in the sender's region.
    pub foreign_relays: u32,
    /// Relays of requests with home regions.
    pub relays: u32,
    /// Requests with home regions that were sent to an endpoint.
    pub sends: u32,
    /// Requests on routes with home regions that clients submitted in regions without a disruption lately.
    pub submissions: u32,
    /// Those of them to a VM neither in a home nor in the client's region.
    pub foreign_submissions: u32,
}

/// Home regions by kind of request over time, and the tallies.
#[derive(Debug, Default)]
pub(super) struct HomeRecords {
    /// Allowed regions of each kind since a time, in order of time.
    history: Vec<(TimeMs, Vec<BTreeSet<Region>>)>,
    pub(super) tallies: HomeTallies,
}

impl HomeRecords {
    /// Records the allowed regions of each kind that a new configuration states.
    pub(super) fn on_published(&mut self, now: TimeMs, allowed: Vec<BTreeSet<Region>>) {
        self.history.push((now, allowed));
    }

    /// Whether a request of a kind, submitted at a time, may be in a region now. For a VM that is not in touch, any
    /// configuration so far may be in force.
    pub(super) fn allows(
        &self,
        now: TimeMs,
        kind: usize,
        submitted_at: TimeMs,
        region: &Region,
        in_touch: bool,
    ) -> bool {
        self.allows_between(submitted_at, submitted_at, kind, region, in_touch)
            && self.allows_between(now, now, kind, region, in_touch)
    }

    /// Whether a configuration that may have been in force within a span allows a region.
    fn allows_between(&self, from: TimeMs, to: TimeMs, kind: usize, region: &Region, in_touch: bool) -> bool {
        self.history.iter().enumerate().any(|(index, (since, allowed))| {
            let replaced_at = self.history.get(index + 1).map(|(at, _)| *at + SpanMs(CONFIG_APPLY_MS));
            let may_be_in_force = *since <= to && (!in_touch || replaced_at.is_none_or(|at| from <= at));
            may_be_in_force && allowed.get(kind).is_none_or(|regions| regions.contains(region))
        })
    }
}
