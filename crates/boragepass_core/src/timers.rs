//! Pending timers of the reducer, ordered by due time.

use std::collections::BTreeMap;

use boragepass_types::{AttemptId, OpId, TimeMs};

use crate::request_table::RequestKey;

/// What happens when a timer fires. Timers are never canceled: one whose request, attempt or operation
/// has ended does nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Timer {
    RequestDeadline(RequestKey),
    /// Checks whether an attempt is slow or stalled.
    AttemptSlow(AttemptId),
    /// Checks whether a request that waits for the trial of its content may run.
    TrialCheck(RequestKey),
    /// Ends the wait for the result of an attempt that outlived its request.
    LateResultTimeout(AttemptId),
    ClaimTimeout(RequestKey),
    /// Writes the collected claims in one transaction.
    ClaimFlush,
    ClaimCleanup,
    Heartbeat,
    RelayHeartbeat,
    LoadPoll,
    PlatformPoll,
    OrderRound,
    ListCommitTimeout(OpId),
    GatherTimeout(OpId),
    /// Drops expired entries and serves the queues.
    Sweep,
    /// Wakes the reducer when the drain may end, since callers no longer use this VM's address.
    DrainLinger,
    /// Ends the process although requests are still in progress.
    DrainTimeout,
}

/// Queue of timers; those due at the same time fire in the order in which they were set.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    queue: BTreeMap<(TimeMs, u64), Timer>,
    next_sequence_number: u64,
}

impl Timers {
    pub(crate) fn set(&mut self, at: TimeMs, timer: Timer) {
        self.queue.insert((at, self.next_sequence_number), timer);
        self.next_sequence_number += 1;
    }

    /// Removes the next timer that is due and returns it with its due time.
    pub(crate) fn pop_due(&mut self, now: TimeMs) -> Option<(TimeMs, Timer)> {
        let entry = self.queue.first_entry()?;
        if entry.key().0 > now {
            return None;
        }
        let due_at = entry.key().0;
        Some((due_at, entry.remove()))
    }

    /// Due time of the next timer.
    pub(crate) fn next_at(&self) -> Option<TimeMs> {
        self.queue.first_key_value().map(|((at, _), _)| *at)
    }
}
