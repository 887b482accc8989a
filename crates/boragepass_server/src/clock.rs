//! Monotonic clock of the process in milliseconds, and incarnations.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use boragepass_types::{Incarnation, TimeMs};

/// Reading of the clock when it starts. It is not zero, so that times before the start can be expressed.
const START_MS: u64 = 1_000_000;

/// Monotonic clock that reads milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self { started_at: Instant::now() }
    }

    /// Current reading of the clock.
    pub fn now(&self) -> TimeMs {
        TimeMs(START_MS + self.started_at.elapsed().as_millis() as u64)
    }

    /// Converts a reading of the clock to an instant.
    pub fn instant(&self, at: TimeMs) -> Instant {
        self.started_at + Duration::from_millis(at.0.saturating_sub(START_MS))
    }
}

/// Incarnation of a process that starts now: microseconds since the Unix epoch, so that a later start
/// on the same VM has a larger number.
pub fn new_incarnation() -> Incarnation {
    Incarnation(unix_time().as_micros() as u64)
}

/// Time since the Unix epoch, by the time of day.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
