//! Adaptive limit of concurrent work at one endpoint, by additive increase and multiplicative
//! decrease. A limit starts low after a return, so that an endpoint warms up slowly.

use boragepass_types::{SpanMs, TimeMs};

const INITIAL_LIMIT: f32 = 16.0;
const SLOW_START_LIMIT: f32 = 2.0;
const MIN_LIMIT: f32 = 1.0;
const MAX_LIMIT: f32 = 512.0;
const DECREASE_FACTOR: f32 = 0.7;
const SLOW_START_GROWTH: f32 = 1.0;
const BUSY_SHARE: f32 = 0.7;
const OVERLOAD_SLOWNESS: f32 = 4.0;
const DECREASE_INTERVAL: SpanMs = SpanMs(100);

/// Limit of concurrent work at one endpoint, as seen from this VM.
#[derive(Debug, Clone)]
pub(crate) struct ConcurrencyLimit {
    limit: f32,
    threshold: f32,
    decreased_at: TimeMs,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self { limit: INITIAL_LIMIT, threshold: INITIAL_LIMIT, decreased_at: TimeMs::default() }
    }
}

impl ConcurrencyLimit {
    /// Whether one more may be sent while `in_flight` are out.
    pub(crate) fn allows(&self, in_flight: u32) -> bool {
        (in_flight as f32) < self.limit
    }

    /// Current limit.
    pub(crate) fn value(&self) -> f32 {
        self.limit
    }

    /// Raises the limit after a success that took `slowness` times the usual.
    pub(crate) fn on_success(&mut self, now: TimeMs, in_flight: u32, slowness: f32) {
        if slowness > OVERLOAD_SLOWNESS {
            self.on_overload(now);
            return;
        }
        if (in_flight as f32) < self.limit * BUSY_SHARE {
            return;
        }
        let is_slow_start = self.limit < self.threshold;
        let growth = if is_slow_start { SLOW_START_GROWTH } else { 1.0 / self.limit };
        self.limit = (self.limit + growth).min(MAX_LIMIT);
    }

    /// Lowers the limit, at most once an interval.
    pub(crate) fn on_overload(&mut self, now: TimeMs) {
        if now.since(self.decreased_at) < DECREASE_INTERVAL {
            return;
        }
        self.decreased_at = now;
        self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
        self.threshold = self.limit;
    }

    /// Starts over after a return.
    pub(crate) fn restart(&mut self) {
        self.limit = SLOW_START_LIMIT;
        self.threshold = INITIAL_LIMIT;
    }
}
