//! Quantiles of observed stage times over a sliding window.
//!
//! The window is two histograms that alternate. Quantiles are recomputed every `SAMPLES_PER_REFRESH`
//! samples, and on each of the first samples of a new histogram, not when they are read.

use boragepass_types::{SpanMs, TimeMs};
use hdrhistogram::Histogram;

/// Time that each of the two histograms covers.
const WINDOW_MS: u64 = 15_000;
const SAMPLES_VALID_MS: u64 = 5_000;
const SAMPLES_MIN: u64 = 20;
const SAMPLES_PER_REFRESH: u32 = 64;
const TRACKABLE_MAX_MS: u64 = 600_000;
const SIGNIFICANT_DIGITS: u8 = 1;

/// Quantiles of observed times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Quantiles {
    pub(crate) p50: SpanMs,
    pub(crate) p95: SpanMs,
    pub(crate) p99: SpanMs,
}

/// Sliding window of observed times.
#[derive(Debug)]
pub(crate) struct LatencyWindow {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    window_started_at: TimeMs,
    samples_since_refresh: u32,
    last_recorded_at: TimeMs,
    /// Quantiles derived from the configured time.
    expected: Quantiles,
    /// Quantiles at the last refresh.
    cached: Quantiles,
}

fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, TRACKABLE_MAX_MS, SIGNIFICANT_DIGITS).expect("the bounds are valid constants")
}

impl LatencyWindow {
    /// Window whose quantiles are multiples of the configured time until it has enough samples.
    pub(crate) fn new(expected: SpanMs) -> Self {
        let cached = Quantiles { p50: expected, p95: SpanMs(expected.0 * 3), p99: SpanMs(expected.0 * 5) };
        let (current, previous) = (new_histogram(), new_histogram());
        Self {
            current,
            previous,
            window_started_at: TimeMs::default(),
            samples_since_refresh: 0,
            last_recorded_at: TimeMs::default(),
            expected: cached,
            cached,
        }
    }

    /// Adds an observed time.
    pub(crate) fn record(&mut self, now: TimeMs, duration: SpanMs) {
        if now.since(self.window_started_at) > SpanMs(WINDOW_MS) {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.window_started_at = now;
        }
        self.current.saturating_record(duration.0.max(1));
        self.last_recorded_at = now;
        self.samples_since_refresh += 1;
        let is_new_window = self.current.len() < u64::from(SAMPLES_PER_REFRESH);
        if self.samples_since_refresh >= SAMPLES_PER_REFRESH || is_new_window {
            self.refresh();
        }
    }

    /// Latest quantiles, or the configured ones once no sample has come for `SAMPLES_VALID_MS`. Without that,
    /// quantiles from an overload would keep refusing the requests that would show its end.
    pub(crate) fn quantiles(&self, now: TimeMs) -> Quantiles {
        if now.since(self.last_recorded_at) > SpanMs(SAMPLES_VALID_MS) { self.expected } else { self.cached }
    }

    fn refresh(&mut self) {
        self.samples_since_refresh = 0;
        let use_current = self.current.len() >= self.previous.len().min(SAMPLES_MIN * 10);
        let window = if use_current { &self.current } else { &self.previous };
        if window.len() < SAMPLES_MIN {
            return;
        }
        let at = |quantile| SpanMs(window.value_at_quantile(quantile));
        self.cached = Quantiles { p50: at(0.5), p95: at(0.95), p99: at(0.99) };
    }
}
