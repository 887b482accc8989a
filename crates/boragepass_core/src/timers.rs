//! Timers of the reducer, in the order in which they fire.

use std::collections::BTreeMap;

use boragepass_types::{AttemptId, OpId, TimeMs};

use crate::request_table::RequestKey;

/// What a timer is for. A timer whose subject is gone does nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Timer {
    RequestDeadline(RequestKey),
    AttemptSlow(AttemptId),
    TrialCheck(RequestKey),
    LateResultTimeout(AttemptId),
    ClaimTimeout(RequestKey),
    ClaimFlush,
    ClaimCleanup,
    Heartbeat,
    RelayHeartbeat,
    LoadPoll,
    PlatformPoll,
    OrderRound,
    ListCommitTimeout(OpId),
    GatherTimeout(OpId),
    Sweep,
    DrainLinger,
    DrainTimeout,
}

/// Queue of timers.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    queue: BTreeMap<(TimeMs, u64), Timer>,
    next_number: u64,
}

impl Timers {
    /// Sets a timer.
    pub(crate) fn set(&mut self, at: TimeMs, timer: Timer) {
        self.queue.insert((at, self.next_number), timer);
        self.next_number += 1;
    }

    /// Takes the next timer that is due, with the time at which it was.
    pub(crate) fn pop_due(&mut self, now: TimeMs) -> Option<(TimeMs, Timer)> {
        let entry = self.queue.first_entry()?;
        if entry.key().0 > now {
            return None;
        }
        let due_at = entry.key().0;
        Some((due_at, entry.remove()))
    }

    /// When the next timer is due.
    pub(crate) fn next_at(&self) -> Option<TimeMs> {
        self.queue.first_key_value().map(|((at, _), _)| *at)
    }
}
