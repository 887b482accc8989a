//! How long a request would take if it were let in now.

use boragepass_types::SpanMs;

/// What waits before a request on its path.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Backlog {
    /// Shortest wait at the pools of its stages, one after the other.
    pub stages_wait_ms: f64,
    /// Least time of the stage calls that have to follow one another.
    pub stages_ms: f64,
    /// Wait and reading time at the best endpoint of its own pool.
    pub endpoint_ms: f64,
    /// Time from there to the first byte of an answer.
    pub first_byte_ms: f64,
}

/// Forecast of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Expected time until the first byte of an answer.
    pub first_byte_ms: f64,
}

/// Share of the forecast that has to fit into the deadline: forecasts are rough, so that only a
/// request that would miss its deadline by far is refused.
const REQUIRED_FORECAST_SHARE: f64 = 0.8;

impl Forecast {
    /// Forecast from what waits.
    pub fn from_backlog(backlog: Backlog) -> Self {
        let Backlog { stages_wait_ms, stages_ms, endpoint_ms, first_byte_ms } = backlog;
        Self { first_byte_ms: stages_wait_ms + stages_ms + endpoint_ms + first_byte_ms }
    }

    /// Whether the request would surely miss its deadline.
    pub fn misses_deadline(&self, deadline_ms: SpanMs) -> bool {
        self.first_byte_ms * REQUIRED_FORECAST_SHARE > deadline_ms.0 as f64
    }

    /// Time until the request could be let in.
    pub fn excess_ms(&self, deadline_ms: SpanMs) -> SpanMs {
        SpanMs((self.first_byte_ms * REQUIRED_FORECAST_SHARE - deadline_ms.0 as f64).max(0.0) as u64)
    }
}
