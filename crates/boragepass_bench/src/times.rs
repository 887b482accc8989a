//! Distribution of times in microseconds.

use std::time::Duration;

use hdrhistogram::Histogram;

const HIGHEST_US: u64 = 120_000_000;

/// Distribution of times.
pub(crate) struct Times(Histogram<u64>);

impl Times {
    /// Empty distribution.
    pub(crate) fn new() -> Self {
        Self(Histogram::new_with_bounds(1, HIGHEST_US, 3).expect("the bounds are valid constants"))
    }

    /// Adds a time.
    pub(crate) fn add(&mut self, took: Duration) {
        self.0.saturating_record((took.as_micros() as u64).max(1));
    }

    /// Quantile in milliseconds.
    pub(crate) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }
}
