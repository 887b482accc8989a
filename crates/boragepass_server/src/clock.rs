//! The process's monotonic clock in milliseconds.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use boragepass_types::{Incarnation, TimeMs};

/// Time shown when the process starts, so that "a while ago" can be expressed.
const START_MS: u64 = 1_000_000;

/// Monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Clock that starts now.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Time now.
    pub fn now(&self) -> TimeMs {
        TimeMs(START_MS + self.started.elapsed().as_millis() as u64)
    }

    /// Instant of a time.
    pub fn instant(&self, at: TimeMs) -> Instant {
        self.started + Duration::from_millis(at.0.saturating_sub(START_MS))
    }
}

/// Incarnation of a process that starts now: later starts on a VM have larger numbers.
pub fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(since_epoch.as_micros() as u64)
}
