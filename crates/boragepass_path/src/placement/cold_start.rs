//! Keeps this VM's part of the requests that a cold endpoint bears, and decides for how long an endpoint is cold.
//!
//! A pool may state that its endpoints are cold for a time after their start. All VMs together then keep to a rate: a few
//! VMs have an equal part of it, each with a token bucket of one request, and the others send the endpoint nothing
//! (`fleet/cold_sharing.rs` chooses them). The bucket is empty when the endpoint turns cold, since this VM may have sent
//! requests just before it learnt of it.
//!
//! A VM learns of a cold period from the endpoint's entry, from its replies and from other VMs, or assumes one after an
//! endpoint was found down. Designed for 1,300 endpoints of which a failure domain's (217) turn cold at once.

use boragepass_types::{SpanMs, TimeMs};

use crate::configuration::ColdStart;
use crate::settings::ColdBounds;

/// Share of the spare requests of a second that sharing VMs may use; the rest covers VMs that disagree for a moment.
const SPARE_SHARE: f64 = 2.0 / 3.0;
/// Share of the bound that the parts may add up to, since delays in the network compress a second.
const BOUND_SHARE: f64 = 0.9;
/// Time by which a period that another VM passes on has to exceed the known one. A shorter difference comes from the
/// message's delay, and VMs that pass periods to each other would extend them without end.
const PEER_EXTENSION_MIN: SpanMs = SpanMs(2_000);
/// Age of a stated period from which a reply that states none ends it; a younger one may have begun after the reply.
const REPLY_DELAY_MAX: SpanMs = SpanMs(1_000);

/// Number of VMs that share a cold endpoint.
pub(crate) fn cold_sharing_vms_max(cold_start: ColdStart, bounds: ColdBounds) -> usize {
    let spare = cold_start.rate.per_s() * (bounds.overage - 1.0) + bounds.slack;
    ((spare * SPARE_SHARE) as usize).max(1)
}

/// Requests a second of each of `vms` that share `rate_per_s` of a cold endpoint.
///
/// A second holds one request more of each VM, and their sum stays within the bound, if that leaves anything.
pub(crate) fn cold_share_per_s(cold_start: ColdStart, bounds: ColdBounds, rate_per_s: f64, vms: usize) -> f64 {
    let vms = vms.max(1) as f64;
    let bound = cold_start.rate.per_s() * bounds.overage + bounds.slack;
    let left = bound * BOUND_SHARE - vms;
    // A bound of less than a request for each VM leaves nothing; half of the rate is the least that serves at all.
    left.max(cold_start.rate.per_s() / 2.0).min(rate_per_s) / vms
}

/// How this VM knows of a cold period.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// The endpoint's entry, or another VM.
    Others,
    /// A reply to this VM.
    Reply,
    /// The endpoint was found down, by this VM or another one.
    FoundDown,
    /// It answered this VM after this VM had found it down.
    Answer,
}

impl Source {
    fn is_assumed(self) -> bool {
        matches!(self, Self::FoundDown | Self::Answer)
    }
}

#[derive(Debug, Clone, Copy)]
struct ColdPeriod {
    learnt_at: TimeMs,
    until: TimeMs,
    source: Source,
}

/// Start of an endpoint's process as a Unix time in milliseconds, and the time for which its entry states it is cold.
type EntryStatement = (u64, SpanMs);

/// Cold period of an endpoint and the requests that this VM may still send there.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ColdLimiter {
    /// What its pool states; `None` if its endpoints are never cold.
    terms: Option<ColdStart>,
    period: Option<ColdPeriod>,
    /// Last statement of its entry in the store.
    entry: Option<EntryStatement>,
    /// Whether this VM found it down and has had no answer since.
    awaits_answer: bool,
    share_per_ms: f64,
    tokens: f64,
    refilled_at: TimeMs,
    /// Whether it was cold when that was last logged.
    is_logged_cold: bool,
}

/// Change that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Turn {
    /// It turned cold.
    Cold,
    /// It turned warm.
    Warm,
}

impl ColdLimiter {
    /// Sets what the pool states.
    pub(crate) fn set_terms(&mut self, terms: Option<ColdStart>) {
        self.terms = terms;
    }

    /// What the pool states; `None` if its endpoints are never cold.
    pub(crate) fn terms(&self) -> Option<ColdStart> {
        self.terms
    }

    fn until(&self) -> TimeMs {
        match (self.terms, self.period) {
            // No endpoint is cold for longer than its pool states.
            (Some(terms), Some(period)) => period.until.min(period.learnt_at + terms.duration_ms),
            (Some(_), None) | (None, _) => TimeMs(0),
        }
    }

    /// Time for which it is still cold; zero if it is warm.
    pub(crate) fn left(&self, now: TimeMs) -> SpanMs {
        self.until().since(now)
    }

    /// Whether it is cold.
    pub(crate) fn is_cold(&self, now: TimeMs) -> bool {
        now < self.until()
    }

    /// Time for which it is still cold, as replies to this VM show; `None` if they show nothing.
    pub(crate) fn own_left(&self, now: TimeMs) -> Option<SpanMs> {
        let is_own = self.period.is_some_and(|period| matches!(period.source, Source::Reply | Source::Answer));
        (is_own && self.is_cold(now)).then(|| self.left(now))
    }

    fn begin(&mut self, now: TimeMs, until: TimeMs, source: Source) {
        if !self.is_cold(now) {
            self.tokens = 0.0;
            self.share_per_ms = 0.0;
            self.refilled_at = now;
        }
        self.period = Some(ColdPeriod { learnt_at: now, until, source });
    }

    /// Applies a period that the endpoint states: it replaces an assumed one and extends a stated one.
    fn state(&mut self, now: TimeMs, left: SpanMs, source: Source) {
        let is_longer = self.period.is_none_or(|period| period.source.is_assumed() || period.until < now + left);
        if is_longer {
            self.begin(now, now + left, source);
        }
    }

    /// Records the entry as the store lists it; one that is read again changes nothing.
    pub(crate) fn on_entry(&mut self, now: TimeMs, statement: EntryStatement) {
        let (started_at_unix_ms, left) = statement;
        let is_older = self.entry.is_some_and(|(known_start, _)| started_at_unix_ms < known_start);
        if is_older || self.entry == Some(statement) {
            return;
        }
        let is_new_start = self.entry.is_none_or(|(known_start, _)| known_start != started_at_unix_ms);
        self.entry = Some(statement);
        if left > SpanMs(0) {
            self.awaits_answer = false;
            self.state(now, left, Source::Others);
        } else if is_new_start && self.period.is_some_and(|period| period.source.is_assumed()) {
            self.awaits_answer = false;
            self.period = None;
        }
    }

    /// Records the time left that another VM passes on.
    pub(crate) fn on_peer_report(&mut self, now: TimeMs, left: SpanMs) {
        if self.until() + PEER_EXTENSION_MIN < now + left {
            self.begin(now, now + left, Source::Others);
        }
    }

    /// Records that a VM found it down: it may be back any moment, and is cold then.
    pub(crate) fn on_found_down(&mut self, now: TimeMs, found_down_at: TimeMs, by_this_vm: bool) {
        let Some(terms) = self.terms else {
            return;
        };
        self.awaits_answer |= by_this_vm;
        let until = found_down_at + terms.duration_ms;
        if self.until() + PEER_EXTENSION_MIN < until || (by_this_vm && self.until() < until) {
            self.begin(now, until, Source::FoundDown);
        }
    }

    /// Records a reply, with the time left that it states.
    pub(crate) fn on_reply(&mut self, now: TimeMs, left: Option<SpanMs>) {
        let awaited = std::mem::take(&mut self.awaits_answer);
        match (left, self.terms) {
            (Some(SpanMs(0)), _) => {
                let is_over =
                    |period: ColdPeriod| period.source.is_assumed() || now.since(period.learnt_at) >= REPLY_DELAY_MAX;
                self.period = self.period.filter(|period| !is_over(*period));
            }
            (Some(left), _) => self.state(now, left, Source::Reply),
            (None, Some(terms)) if awaited => self.begin(now, now + terms.duration_ms, Source::Answer),
            (None, _) => {}
        }
    }

    /// Sets the requests a second that this VM may send while it is cold.
    pub(crate) fn set_share(&mut self, now: TimeMs, share_per_s: f64) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
        self.share_per_ms = share_per_s / 1e3;
    }

    /// This VM's part in requests per thousand seconds, for a log line.
    pub(crate) fn share_per_1000_s(&self) -> u64 {
        (self.share_per_ms * 1e6) as u64
    }

    fn tokens_at(&self, now: TimeMs) -> f64 {
        (self.tokens + now.since(self.refilled_at).0 as f64 * self.share_per_ms).min(1.0)
    }

    /// Whether this VM may send a request now.
    pub(crate) fn allows(&self, now: TimeMs) -> bool {
        !self.is_cold(now) || self.tokens_at(now) >= 1.0
    }

    /// Time until this VM may send a request: the next token, or the end of the period if that is sooner.
    pub(crate) fn allows_in(&self, now: TimeMs) -> SpanMs {
        if self.allows(now) {
            return SpanMs(0);
        }
        let token_in = (1.0 - self.tokens_at(now)) / self.share_per_ms;
        SpanMs(if token_in.is_finite() { token_in.ceil() as u64 } else { u64::MAX }).min(self.left(now))
    }

    /// Counts a request that is sent.
    pub(crate) fn take(&mut self, now: TimeMs) {
        self.tokens = (self.tokens_at(now) - 1.0).max(0.0);
        self.refilled_at = now;
    }

    /// Whether it turned cold or warm since the last call.
    pub(crate) fn take_turn(&mut self, now: TimeMs) -> Option<Turn> {
        let is_cold = self.is_cold(now);
        let was_cold = std::mem::replace(&mut self.is_logged_cold, is_cold);
        match (was_cold, is_cold) {
            (false, true) => Some(Turn::Cold),
            (true, false) => Some(Turn::Warm),
            (true, true) | (false, false) => None,
        }
    }
}
