//! Observed times of stages, as quantiles of a sliding window.

use boragepass_types::{SpanMs, TimeMs};
use hdrhistogram::Histogram;

const WINDOW_MS: u64 = 15_000;
const FORGET_MS: u64 = 5_000;
const MIN_SAMPLES: u64 = 20;
const REFRESH_EVERY: u32 = 64;
const HIGHEST_MS: u64 = 600_000;
const SIGNIFICANT_DIGITS: u8 = 1;

/// Quantiles of a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Quantiles {
    pub(crate) p50: SpanMs,
    pub(crate) p95: SpanMs,
    pub(crate) p99: SpanMs,
}

/// Sliding window of times.
#[derive(Debug)]
pub(crate) struct LatencyWindow {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    started_at: TimeMs,
    since_refresh: u32,
    recorded_at: TimeMs,
    expected: Quantiles,
    cached: Quantiles,
}

fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, HIGHEST_MS, SIGNIFICANT_DIGITS).expect("the bounds are valid constants")
}

impl LatencyWindow {
    /// Window that answers with multiples of `expected` until it has samples.
    pub(crate) fn new(expected: SpanMs) -> Self {
        let cached = Quantiles { p50: expected, p95: SpanMs(expected.0 * 3), p99: SpanMs(expected.0 * 5) };
        let (current, previous) = (new_histogram(), new_histogram());
        Self {
            current,
            previous,
            started_at: TimeMs::default(),
            since_refresh: 0,
            recorded_at: TimeMs::default(),
            expected: cached,
            cached,
        }
    }

    /// Adds an observed time.
    pub(crate) fn record(&mut self, now: TimeMs, took: SpanMs) {
        if now.since(self.started_at) > SpanMs(WINDOW_MS) {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.started_at = now;
        }
        self.current.saturating_record(took.0.max(1));
        self.recorded_at = now;
        self.since_refresh += 1;
        let is_young = self.current.len() < u64::from(REFRESH_EVERY);
        if self.since_refresh >= REFRESH_EVERY || is_young {
            self.refresh();
        }
    }

    /// Latest quantiles; those of the configuration once the observed ones are old, so that a bad
    /// spell does not keep refusing the requests that would show its end.
    pub(crate) fn quantiles(&self, now: TimeMs) -> Quantiles {
        if now.since(self.recorded_at) > SpanMs(FORGET_MS) { self.expected } else { self.cached }
    }

    fn refresh(&mut self) {
        self.since_refresh = 0;
        let use_current = self.current.len() >= self.previous.len().min(MIN_SAMPLES * 10);
        let window = if use_current { &self.current } else { &self.previous };
        if window.len() < MIN_SAMPLES {
            return;
        }
        let at = |quantile| SpanMs(window.value_at_quantile(quantile));
        self.cached = Quantiles { p50: at(0.5), p95: at(0.95), p99: at(0.99) };
    }
}
