//! Rate limit that an endpoint states in its replies, and the requests that it received from VMs that know it.

use std::collections::{BTreeMap, VecDeque};

use boragepass_types::{RequestRate, SpanMs, TimeMs};

/// Time from the first reply that states a limit until the limit is checked, as the users' sites set it.
const CHECKED_AFTER: SpanMs = SpanMs(4_000);
/// Time after a reply that states the limit from which a VM has to keep to it.
const REACTION_TIME: SpanMs = SpanMs(500);
/// Window over which requests are counted.
const WINDOW: SpanMs = SpanMs(4_000);
/// Multiple of the limit that the requests of a window may reach, and requests allowed on top.
const TOLERANCE_FACTOR: f64 = 1.5;
const TOLERANCE_REQUESTS: f64 = 5.0;

/// VM and incarnation of its process.
type VmProcess = (usize, u64);

/// Limit in force at an endpoint.
#[derive(Debug)]
pub(super) struct StatedLimit {
    pub(super) rate: RequestRate,
    first_stated_at: Option<TimeMs>,
    told_at: BTreeMap<VmProcess, TimeMs>,
    arrivals: VecDeque<TimeMs>,
}

impl StatedLimit {
    pub(super) fn new(rate: RequestRate) -> Self {
        Self { rate, first_stated_at: None, told_at: BTreeMap::new(), arrivals: VecDeque::new() }
    }

    /// Records that a reply which states the limit reaches a VM at `at`.
    pub(super) fn on_reply(&mut self, now: TimeMs, at: TimeMs, vm: VmProcess) {
        self.first_stated_at.get_or_insert(now);
        self.told_at.entry(vm).or_insert(at);
    }

    /// Counts a request of a VM; returns whether the VMs that know the limit exceed it.
    pub(super) fn on_request(&mut self, now: TimeMs, vm: VmProcess) -> bool {
        let is_told = self.told_at.get(&vm).is_some_and(|at| *at <= now && now.since(*at) >= REACTION_TIME);
        if !is_told {
            return false;
        }
        self.arrivals.push_back(now);
        while self.arrivals.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.arrivals.pop_front();
        }
        let allowed = self.rate.per_s() * WINDOW.0 as f64 / 1e3 * TOLERANCE_FACTOR + TOLERANCE_REQUESTS;
        let is_checked = self.first_stated_at.is_some_and(|at| now.since(at) >= CHECKED_AFTER);
        is_checked && self.arrivals.len() as f64 > allowed
    }
}
