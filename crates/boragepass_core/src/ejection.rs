//! Decides when an endpoint is ejected for failing or for being far slower than its pool, and for how
//! long. The caller ejects at most `ejection_cap` endpoints of a pool at once.

use boragepass_types::{SpanMs, TimeMs};
use derive_more::Display;

const FIRST_EJECTION: SpanMs = SpanMs(500);
const EJECTION_MAX: SpanMs = SpanMs(30_000);
const FAILURES_TO_EJECT: u32 = 3;
/// Observed time, as a multiple of the median time, from which an endpoint counts as slow.
const SLOWNESS_TO_EJECT: f32 = 6.0;
const SAMPLES_TO_EJECT: u32 = 4;
/// At most one in this many endpoints of a pool is ejected at once, but always one.
const EJECTION_CAP_DIVISOR: usize = 2;

/// Why an endpoint was ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum EjectionCause {
    /// It refuses connections.
    #[display("refuses connections")]
    Unreachable,
    /// `FAILURES_TO_EJECT` attempts in a row failed.
    #[display("fails repeatedly")]
    Failing,
    /// `SAMPLES_TO_EJECT` attempts in a row left its slowness above `SLOWNESS_TO_EJECT`.
    #[display("is far slower than its pool")]
    Slow,
}

/// Health of one endpoint as seen from this VM.
#[derive(Debug, Default, Clone)]
pub struct Health {
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: Option<TimeMs>,
    consecutive_slow_samples: u32,
}

/// Number of endpoints of a pool that may be ejected at once.
pub fn ejection_cap(pool_len: usize) -> usize {
    (pool_len / EJECTION_CAP_DIVISOR).max(1)
}

impl Health {
    /// Whether the endpoint is ejected.
    pub fn is_ejected(&self, now: TimeMs) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Clears an ejection whose time is over; returns whether there was one.
    pub fn clear_expired_ejection(&mut self, now: TimeMs) -> bool {
        let has_expired = self.ejected_until.is_some_and(|until| until <= now);
        if has_expired {
            self.ejected_until = None;
        }
        has_expired
    }

    /// Records the slowness of an endpoint that made progress; returns a cause if it should be ejected.
    pub fn on_slowness_sample(&mut self, slowness: f32) -> Option<EjectionCause> {
        self.consecutive_failures = 0;
        if slowness < SLOWNESS_TO_EJECT {
            self.consecutive_slow_samples = 0;
            self.consecutive_ejections = 0;
            return None;
        }
        self.consecutive_slow_samples += 1;
        (self.consecutive_slow_samples >= SAMPLES_TO_EJECT).then_some(EjectionCause::Slow)
    }

    /// Records a failure; returns a cause if the endpoint should be ejected.
    pub fn on_failure(&mut self, is_refused: bool) -> Option<EjectionCause> {
        self.consecutive_failures += 1;
        if is_refused {
            return Some(EjectionCause::Unreachable);
        }
        (self.consecutive_failures >= FAILURES_TO_EJECT).then_some(EjectionCause::Failing)
    }

    /// Ejects the endpoint, for twice as long as the last time, up to `EJECTION_MAX`; returns for how long.
    pub fn eject(&mut self, now: TimeMs) -> SpanMs {
        let doubled = FIRST_EJECTION.0.saturating_mul(1 << self.consecutive_ejections.min(6));
        let span = SpanMs(doubled.min(EJECTION_MAX.0));
        self.consecutive_ejections += 1;
        self.consecutive_slow_samples = 0;
        self.ejected_until = Some(now + span);
        span
    }
}
