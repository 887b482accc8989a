//! Histogram of latencies, kept in microseconds.

use std::time::Duration;

use hdrhistogram::Histogram;

const LATENCY_MAX_US: u64 = 120_000_000;

/// Histogram of latencies; longer ones than the largest bound count as that bound.
pub(crate) struct LatencyHistogram(Histogram<u64>);

impl LatencyHistogram {
    /// Creates an empty histogram.
    pub(crate) fn new() -> Self {
        Self(Histogram::new_with_bounds(1, LATENCY_MAX_US, 3).expect("the bounds are valid constants"))
    }

    /// Records a latency.
    pub(crate) fn record(&mut self, latency: Duration) {
        self.0.saturating_record((latency.as_micros() as u64).max(1));
    }

    /// Returns a quantile in milliseconds.
    pub(crate) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }
}
