//! Expected latency of a request if it were admitted now.

use boragepass_types::SpanMs;

/// Expected times along the path of a request.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Backlog {
    /// Wait at the pools of its stages: the longest one, each in the region where it is shortest.
    pub stages_wait_ms: f64,
    /// Shortest time of the stage calls on the critical path.
    pub stages_ms: f64,
    /// Queueing and prefill time at the best endpoint of its own pool.
    pub endpoint_ms: f64,
    /// Time from there to the first byte of the answer.
    pub first_byte_ms: f64,
}

/// Forecast of a request's latency.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Expected time until the first byte of the answer.
    pub first_byte_ms: f64,
}

/// Share of the forecast that has to fit into the deadline. Forecasts are rough, so a request is refused only
/// if it would miss its deadline by a wide margin.
const REQUIRED_FORECAST_SHARE: f64 = 0.8;

impl Forecast {
    /// Sums up the times of a backlog.
    pub fn from_backlog(backlog: Backlog) -> Self {
        let Backlog { stages_wait_ms, stages_ms, endpoint_ms, first_byte_ms } = backlog;
        Self { first_byte_ms: stages_wait_ms + stages_ms + endpoint_ms + first_byte_ms }
    }

    /// Whether the request would miss its deadline even if the forecast is too high.
    pub fn misses_deadline(&self, deadline_ms: SpanMs) -> bool {
        self.first_byte_ms * REQUIRED_FORECAST_SHARE > deadline_ms.0 as f64
    }

    /// Time by which the backlog has to shrink before the request can be admitted.
    pub fn excess_ms(&self, deadline_ms: SpanMs) -> SpanMs {
        SpanMs((self.first_byte_ms * REQUIRED_FORECAST_SHARE - deadline_ms.0 as f64).max(0.0) as u64)
    }
}
