//! Learns how fast endpoints work, from the requests that this VM sent them and from what they state.
//!
//! A pool has a typical time of a request: a fixed part, and a part in proportion to the prompt tokens that are not
//! cached. Both come from the pool's recent samples by medians of slopes (Theil-Sen), so that single outliers have no
//! effect. An endpoint has a factor over that time: the median of its own samples, drawn towards its pool while it has
//! few. What it states of its momentary slowness multiplies this factor for [`STATEMENT_AGE_MAX`].
//!
//! Only requests that met no queue are samples. Without samples and statements all factors are exactly 1. Designed for
//! 1,300 endpoints and a hundred samples per second in one VM: a sample costs some microseconds, and an endpoint less
//! than 500 bytes.

use std::collections::VecDeque;

use boragepass_types::{SpanMs, TimeMs};

/// Prompt tokens that a model engine prefills in a millisecond, until its pool has samples.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 93.0;
/// Age from which a stated slowness is worth nothing: slow-downs last for some 600 ms.
const STATEMENT_AGE_MAX: SpanMs = SpanMs(500);
/// Samples of a pool that are kept, and those without which its typical time is unknown.
const POOL_SAMPLES_MAX: usize = 40;
const POOL_SAMPLES_MIN: usize = 12;
/// Samples of a pool between two estimates of its typical time.
const POOL_ESTIMATE_INTERVAL: u32 = 8;
/// Samples and statements of an endpoint that are kept: a median of 15 ignores a slow-down that covers seven of them.
const ENDPOINT_SAMPLES_MAX: usize = 15;
/// Weight of the pool in the estimate of an endpoint, in samples.
const POOL_WEIGHT: f64 = 3.0;
/// Deviation that is attributed to chance, since the cached part of a prompt is an estimate.
const CHANCE_DEVIATION: f64 = 0.1;
/// Range of all factors. Endpoints of a pool differ by 0.6 to 1.6, with slow-downs of 2.5.
const FACTOR_RANGE: (f64, f64) = (0.25, 5.0);
/// Difference of the prefill of two samples from which their slope counts.
const SLOPE_DISTANCE_MIN_MS: f64 = 25.0;
/// Pairs of samples without which the slope is unknown.
const SLOPES_MIN: usize = 30;

/// What is known of a send that may become a sample of speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedProbe {
    /// Prefill of the prompt's uncached tokens at [`PREFILL_TOKENS_PER_MS`].
    pub prefill_ms: f64,
    /// Time that the network takes.
    pub round_trip_ms: f64,
}

/// Speed of an endpoint at a moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speed {
    /// Time that work takes there, over the typical time of its pool.
    pub work_factor: f64,
    /// Time of prefill there, over that at [`PREFILL_TOKENS_PER_MS`].
    pub prefill_factor: f64,
    /// Typical time of the pool beside prefill; zero if it is not known.
    pub fixed_ms: f64,
}

impl Speed {
    /// Speed of an endpoint of which nothing is known.
    pub const UNKNOWN: Self = Self { work_factor: 1.0, prefill_factor: 1.0, fixed_ms: 0.0 };

    /// Prompt tokens that it prefills in a millisecond.
    pub fn prefill_tokens_per_ms(&self) -> f64 {
        PREFILL_TOKENS_PER_MS / self.prefill_factor
    }

    /// Time that a request takes there beyond the typical time of its pool, beside prefill; negative at a fast one.
    pub fn excess_ms(&self) -> f64 {
        (self.work_factor - 1.0) * self.fixed_ms
    }
}

/// Typical time of requests at the endpoints of a pool.
#[derive(Debug, Clone)]
pub struct PoolSpeed {
    /// Prefill and measured time of recent samples.
    samples: VecDeque<(f64, f64)>,
    samples_since_estimate: u32,
    /// Fixed time, and factor over [`PREFILL_TOKENS_PER_MS`].
    estimate: Option<(f64, f64)>,
}

impl Default for PoolSpeed {
    fn default() -> Self {
        Self { samples: VecDeque::new(), samples_since_estimate: POOL_ESTIMATE_INTERVAL, estimate: None }
    }
}

impl PoolSpeed {
    /// Time of a request at a typical endpoint of the pool, if it is known.
    fn typical_ms(&self, prefill_ms: f64) -> Option<f64> {
        self.estimate.map(|(fixed_ms, factor)| (fixed_ms + factor * prefill_ms).max(1.0))
    }

    fn on_sample(&mut self, prefill_ms: f64, took_ms: f64) {
        if self.samples.len() == POOL_SAMPLES_MAX {
            self.samples.pop_front();
        }
        self.samples.push_back((prefill_ms, took_ms));
        self.samples_since_estimate += 1;
        if self.samples.len() >= POOL_SAMPLES_MIN && self.samples_since_estimate >= POOL_ESTIMATE_INTERVAL {
            self.samples_since_estimate = 0;
            let factor = self.slope().map_or(1.0, |slope| clamped(without_chance(slope)));
            let fixed = self.samples.iter().map(|(prefill_ms, took_ms)| took_ms - factor * prefill_ms).collect();
            self.estimate = median(fixed).map(|fixed_ms| (fixed_ms.max(0.0), factor));
        }
    }

    /// Median of the slopes between all pairs of samples that are far enough apart.
    fn slope(&self) -> Option<f64> {
        let pairs = self.samples.iter().enumerate().flat_map(|(index, first)| {
            self.samples.iter().skip(index + 1).map(move |second| (second.0 - first.0, second.1 - first.1))
        });
        let is_apart = |(prefill_ms, _): &(f64, f64)| prefill_ms.abs() >= SLOPE_DISTANCE_MIN_MS;
        let slopes: Vec<_> = pairs.filter(is_apart).map(|(prefill_ms, took_ms)| took_ms / prefill_ms).collect();
        if slopes.len() < SLOPES_MIN { None } else { median(slopes) }
    }
}

/// What is known of the speed of one start of an endpoint.
#[derive(Debug, Clone, Default)]
pub struct EndpointSpeed {
    /// Measured times over typical times.
    ratios: VecDeque<f64>,
    /// Stated slowness, 1 for the usual.
    stated: VecDeque<f64>,
    stated_at: Option<TimeMs>,
}

impl EndpointSpeed {
    /// Records the time that a request took that met no queue.
    pub fn on_sample(&mut self, pool: &mut PoolSpeed, probe: SpeedProbe, took: SpanMs) {
        let took_ms = (took.0 as f64 - probe.round_trip_ms).max(1.0);
        if let Some(typical_ms) = pool.typical_ms(probe.prefill_ms) {
            push_recent(&mut self.ratios, took_ms / typical_ms);
        }
        pool.on_sample(probe.prefill_ms, took_ms);
    }

    /// Records the slowness that the endpoint states, in percent of its usual time.
    pub fn on_stated(&mut self, now: TimeMs, percent: u32) {
        push_recent(&mut self.stated, clamped(f64::from(percent) / 100.0));
        self.stated_at = Some(now);
    }

    /// Slowness that the endpoint usually states. It counts as 1 until there are several statements.
    fn usual_stated(&self) -> f64 {
        let padded = self.stated.iter().copied().chain([1.0, 1.0]).collect();
        median(padded).unwrap_or(1.0)
    }

    /// Momentary slowness over the usual one; 1 without a recent statement.
    fn momentary_factor(&self, now: TimeMs) -> f64 {
        let is_recent = self.stated_at.is_some_and(|at| now.since(at) < STATEMENT_AGE_MAX);
        match self.stated.back() {
            Some(stated) if is_recent => stated / self.usual_stated(),
            Some(_) | None => 1.0,
        }
    }

    /// Whether the endpoint states that it is slower or faster than usual, so that a send now is no sample.
    pub fn is_unusual(&self, now: TimeMs) -> bool {
        (self.momentary_factor(now) - 1.0).abs() > 2.0 * CHANCE_DEVIATION
    }

    /// Factor over the pool's typical time, apart from slow-downs.
    fn lasting_factor(&self) -> f64 {
        let prior = self.usual_stated();
        let Some(measured) = median(self.ratios.iter().copied().collect()) else {
            return prior;
        };
        let samples = self.ratios.len() as f64;
        without_chance((samples * measured + POOL_WEIGHT * prior) / (samples + POOL_WEIGHT))
    }

    /// Speed at this moment.
    pub fn at(&self, now: TimeMs, pool: Option<&PoolSpeed>) -> Speed {
        let (fixed_ms, pool_factor) = pool.and_then(|pool| pool.estimate).unwrap_or((0.0, 1.0));
        let work_factor = clamped(self.lasting_factor() * self.momentary_factor(now));
        Speed { work_factor, prefill_factor: clamped(pool_factor * work_factor), fixed_ms }
    }
}

fn push_recent(values: &mut VecDeque<f64>, value: f64) {
    if values.len() == ENDPOINT_SAMPLES_MAX {
        values.pop_front();
    }
    values.push_back(value);
}

fn clamped(factor: f64) -> f64 {
    factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1)
}

/// Draws a factor towards 1 by the deviation that chance explains.
fn without_chance(factor: f64) -> f64 {
    let deviation = factor - 1.0;
    1.0 + deviation.signum() * (deviation.abs() - CHANCE_DEVIATION).max(0.0)
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    let middle = values.len() / 2;
    let in_range = values.get(middle).is_some();
    in_range.then(|| *values.select_nth_unstable_by(middle, f64::total_cmp).1)
}
