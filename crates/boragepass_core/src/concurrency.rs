//! Adaptive limit of concurrent attempts at one endpoint, by additive increase and multiplicative
//! decrease (AIMD). After an ejection or an absence the limit begins low and grows in a slow start, so
//! that the endpoint warms up slowly.

use boragepass_types::{SpanMs, TimeMs};

const INITIAL_LIMIT: f32 = 16.0;
const SLOW_START_LIMIT: f32 = 2.0;
const MIN_LIMIT: f32 = 1.0;
const MAX_LIMIT: f32 = 512.0;
const DECREASE_FACTOR: f32 = 0.7;
const SLOW_START_GROWTH: f32 = 1.0;
/// Share of the limit that must be in use for a success to raise it.
const UTILIZATION_TO_GROW: f32 = 0.7;
/// Time of a success, as a multiple of the median time, from which it counts as overload.
const OVERLOAD_SLOWNESS: f32 = 4.0;
const DECREASE_INTERVAL: SpanMs = SpanMs(100);

/// Limit of this VM's concurrent attempts at one endpoint.
#[derive(Debug, Clone)]
pub(crate) struct ConcurrencyLimit {
    limit: f32,
    slow_start_threshold: f32,
    last_decrease_at: TimeMs,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self { limit: INITIAL_LIMIT, slow_start_threshold: INITIAL_LIMIT, last_decrease_at: TimeMs::default() }
    }
}

impl ConcurrencyLimit {
    /// Whether one more attempt may be sent beside `in_flight` others.
    pub(crate) fn allows(&self, in_flight: u32) -> bool {
        (in_flight as f32) < self.limit
    }

    /// Current limit.
    pub(crate) fn value(&self) -> f32 {
        self.limit
    }

    /// Raises the limit after a success that took `slowness` times the median time, if the limit is nearly
    /// used; lowers it if the success was far too slow.
    pub(crate) fn on_success(&mut self, now: TimeMs, in_flight: u32, slowness: f32) {
        if slowness > OVERLOAD_SLOWNESS {
            self.on_overload(now);
            return;
        }
        if (in_flight as f32) < self.limit * UTILIZATION_TO_GROW {
            return;
        }
        let is_slow_start = self.limit < self.slow_start_threshold;
        let growth = if is_slow_start { SLOW_START_GROWTH } else { 1.0 / self.limit };
        self.limit = (self.limit + growth).min(MAX_LIMIT);
    }

    /// Lowers the limit, at most once per `DECREASE_INTERVAL`.
    pub(crate) fn on_overload(&mut self, now: TimeMs) {
        if now.since(self.last_decrease_at) < DECREASE_INTERVAL {
            return;
        }
        self.last_decrease_at = now;
        self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
        self.slow_start_threshold = self.limit;
    }

    /// Begins a slow start, for an endpoint that returns.
    pub(crate) fn restart(&mut self) {
        self.limit = SLOW_START_LIMIT;
        self.slow_start_threshold = INITIAL_LIMIT;
    }
}
