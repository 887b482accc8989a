//! What an endpoint's process states of itself in replies to this VM.
//!
//! A reply does not name the start of its process. A statement is taken to be of the process that ran when it arrived, so
//! that it also counts for a restart under the same id whose entry arrives only later.

use boragepass_types::{SpanMs, TimeMs};

use super::rate_limit::RateLimiter;
use super::rejection_limit::RejectionLimiter;

/// Statements of an endpoint's process.
#[derive(Debug, Clone, Default)]
pub(crate) struct EndpointStatements {
    /// When it last stated that it is leaving; the store may still list it as ready.
    leaving_stated_at: Option<TimeMs>,
    pause: Option<Pause>,
    pub(crate) rate_limiter: RateLimiter,
    pub(crate) rejection_limiter: RejectionLimiter,
}

/// Time for which an endpoint wants no requests from this VM, as a rejection stated.
#[derive(Debug, Clone, Copy)]
struct Pause {
    stated_at: TimeMs,
    until: TimeMs,
}

impl EndpointStatements {
    /// The statements that a process which started at `start` can have made.
    pub(crate) fn of_process_since(&self, start: TimeMs) -> Self {
        Self {
            leaving_stated_at: self.leaving_stated_at.filter(|at| *at >= start),
            pause: self.pause.filter(|pause| pause.stated_at >= start),
            rate_limiter: self.rate_limiter.stated_since(start),
            rejection_limiter: self.rejection_limiter.stated_since(start),
        }
    }

    /// Records that it is leaving; returns whether that is new.
    pub(crate) fn on_leaving(&mut self, now: TimeMs) -> bool {
        self.leaving_stated_at.replace(now).is_none()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_stated_at.is_some()
    }

    /// Records that it wants no requests from this VM for a time.
    pub(crate) fn on_pause(&mut self, now: TimeMs, pause: SpanMs) {
        let until = self.paused_until().max(now + pause);
        self.pause = Some(Pause { stated_at: now, until });
    }

    /// Until when it wants no requests from this VM.
    pub(crate) fn paused_until(&self) -> TimeMs {
        self.pause.map_or(TimeMs(0), |pause| pause.until)
    }
}
