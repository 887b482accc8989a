//! What an endpoint states of itself in replies to this VM.
//!
//! A reply does not name the start of its process, and the clock that an entry's start comes from may differ from that of
//! this VM. So when the list shows a later start, a statement may be of either process. It stays in force: a pause ends by
//! itself, limits are stated again in each reply, and this VM asks an endpoint whether it is still leaving.

use boragepass_types::{SpanMs, TimeMs};

use super::cold_start::ColdLimiter;
use super::rate_limit::RateLimiter;
use super::rejection_limit::RejectionLimiter;

/// Statements of an endpoint.
#[derive(Debug, Clone, Default)]
pub(crate) struct EndpointStatements {
    leaving: Leaving,
    paused_until: TimeMs,
    pub(crate) rate_limiter: RateLimiter,
    pub(crate) rejection_limiter: RejectionLimiter,
    pub(crate) cold_limiter: ColdLimiter,
}

/// Whether an endpoint stated that it is leaving; the store may still list it as ready.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Leaving {
    #[default]
    NotStated,
    Stated,
    /// It stated so, and then the list showed a later start.
    InDoubt {
        is_asked: bool,
    },
}

impl EndpointStatements {
    /// Records that the list shows a later start.
    pub(crate) fn on_restart(&mut self) {
        if self.leaving != Leaving::NotStated {
            self.leaving = Leaving::InDoubt { is_asked: false };
        }
    }

    /// Records that it is leaving; returns whether that is new.
    pub(crate) fn on_leaving(&mut self) -> bool {
        std::mem::replace(&mut self.leaving, Leaving::Stated) == Leaving::NotStated
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving != Leaving::NotStated
    }

    /// Whether it has to be asked if it is still leaving.
    pub(crate) fn is_leaving_to_be_asked(&self) -> bool {
        self.leaving == Leaving::InDoubt { is_asked: false }
    }

    /// Records that it was asked whether it is still leaving.
    pub(crate) fn on_leaving_asked(&mut self) {
        self.leaving = Leaving::InDoubt { is_asked: true };
    }

    /// Records that its reply did not state that it is leaving, or that it did not reply.
    pub(crate) fn on_leaving_answered(&mut self, has_replied: bool) {
        if let Leaving::InDoubt { .. } = self.leaving {
            self.leaving = if has_replied { Leaving::NotStated } else { Leaving::InDoubt { is_asked: false } };
        }
    }

    /// Counts a request or call that is sent.
    pub(crate) fn on_send(&mut self, now: TimeMs) {
        self.rate_limiter.take(now);
        self.cold_limiter.take(now);
    }

    /// Records that it wants no requests from this VM for a time.
    pub(crate) fn on_pause(&mut self, now: TimeMs, pause: SpanMs) {
        self.paused_until = self.paused_until.max(now + pause);
    }

    /// Until when it wants no requests from this VM.
    pub(crate) fn paused_until(&self) -> TimeMs {
        self.paused_until
    }
}
