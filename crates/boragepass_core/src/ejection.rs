//! Ejection of endpoints that fail or are far slower than their pool, capped at a share of it.

use boragepass_types::{SpanMs, TimeMs};
use derive_more::Display;

const BASE: SpanMs = SpanMs(500);
const LONGEST: SpanMs = SpanMs(30_000);
const FAILURES_TO_EJECT: u32 = 3;
const SLOWNESS_TO_EJECT: f32 = 6.0;
const SAMPLES_TO_EJECT: u32 = 4;
const CAP_DIVISOR: usize = 2;

/// Why an endpoint was ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum EjectionCause {
    /// Connections are refused.
    #[display("refuses connections")]
    Unreachable,
    /// Attempts fail one after the other.
    #[display("fails repeatedly")]
    Failing,
    /// Takes far longer than others.
    #[display("is far slower than its pool")]
    Slow,
}

/// Health of one endpoint as seen from this VM.
#[derive(Debug, Default, Clone)]
pub struct Health {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<TimeMs>,
    slow_samples: u32,
}

/// Number of endpoints of a pool that may be ejected at once.
pub fn ejection_cap(pool_len: usize) -> usize {
    (pool_len / CAP_DIVISOR).max(1)
}

impl Health {
    /// Whether the endpoint is ejected.
    pub fn is_ejected(&self, now: TimeMs) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Whether an ejection has just run out; true once.
    pub fn clear_expired_ejection(&mut self, now: TimeMs) -> bool {
        let is_over = self.ejected_until.is_some_and(|until| until <= now);
        if is_over {
            self.ejected_until = None;
        }
        is_over
    }

    /// Notes a success and says whether the endpoint is too slow to keep.
    pub fn on_success(&mut self, slowness: f32) -> Option<EjectionCause> {
        self.consecutive_failures = 0;
        if slowness < SLOWNESS_TO_EJECT {
            self.slow_samples = 0;
            self.ejections = 0;
            return None;
        }
        self.slow_samples += 1;
        (self.slow_samples >= SAMPLES_TO_EJECT).then_some(EjectionCause::Slow)
    }

    /// Notes a failure and says whether the endpoint should be ejected.
    pub fn on_failure(&mut self, is_refused: bool) -> Option<EjectionCause> {
        self.consecutive_failures += 1;
        if is_refused {
            return Some(EjectionCause::Unreachable);
        }
        (self.consecutive_failures >= FAILURES_TO_EJECT).then_some(EjectionCause::Failing)
    }

    /// Ejects, for twice as long as the last time.
    pub fn eject(&mut self, now: TimeMs) -> SpanMs {
        let doubled = BASE.0.saturating_mul(1 << self.ejections.min(6));
        let span = SpanMs(doubled.min(LONGEST.0));
        self.ejections += 1;
        self.slow_samples = 0;
        self.ejected_until = Some(now + span);
        span
    }
}
