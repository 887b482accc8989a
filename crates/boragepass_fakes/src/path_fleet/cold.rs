//! Cold periods of an endpoint, and the requests that it gets in them from all VMs together.

use std::collections::VecDeque;

use boragepass_path::ColdStart;
use boragepass_types::{SpanMs, TimeMs};

/// Bound on the requests of a second: this multiple of the rate, and requests on top. VMs have them as settings.
pub(super) const OVERAGE: f64 = 1.5;
pub(super) const SLACK: f64 = 5.0;
const WINDOW: SpanMs = SpanMs(1_000);
/// Time from the begin of a cold period until the bound holds: the entry or the first reply has to reach the VMs.
const REACTION_TIME: SpanMs = SpanMs(500);
/// Multiple of the bound at which the endpoint falls over.
const FALL_FACTOR: f64 = 2.0;

/// What the requests of a second do to a cold endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Strain {
    None,
    AboveBound,
    Fall,
}

/// Cold periods of an endpoint.
#[derive(Debug)]
pub(super) struct Coldness {
    terms: ColdStart,
    begins_at: TimeMs,
    until: TimeMs,
    arrivals: VecDeque<TimeMs>,
}

impl Coldness {
    pub(super) fn new(terms: ColdStart) -> Self {
        Self { terms, begins_at: TimeMs(0), until: TimeMs(0), arrivals: VecDeque::new() }
    }

    /// Begins a cold period.
    pub(super) fn begin(&mut self, at: TimeMs) {
        self.begins_at = at;
        self.until = at + self.terms.duration_ms;
        self.arrivals.clear();
    }

    /// Time for which it is still cold.
    pub(super) fn left(&self, now: TimeMs) -> SpanMs {
        self.until.since(now)
    }

    /// Counts a request or call.
    pub(super) fn on_request(&mut self, now: TimeMs) -> Strain {
        if now >= self.until || now < self.begins_at + REACTION_TIME {
            return Strain::None;
        }
        self.arrivals.push_back(now);
        while self.arrivals.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.arrivals.pop_front();
        }
        let bound = self.terms.rate.per_s() * OVERAGE + SLACK;
        match self.arrivals.len() as f64 {
            count if count > bound * FALL_FACTOR => Strain::Fall,
            count if count > bound => Strain::AboveBound,
            _ => Strain::None,
        }
    }
}
