//! Timers of the reducer, the earliest first.

use std::collections::BTreeSet;

use boragepass_types::TimeMs;

use crate::message::PieceRequestId;
use crate::request::{CallNumber, RequestNumber};

/// What a timer is for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Heartbeat to other VMs.
    Heartbeat,
    /// A call runs longer than expected.
    CallOverdue(CallNumber),
    /// A request's time is used up.
    RequestTimeout(RequestNumber),
    /// An ask may have to be sent again.
    AskAgain(PieceRequestId),
    /// Queues may have work that can start, or that cannot be done in time any more.
    Pools,
    /// A drain may be over.
    Drain,
    /// News of the store are passed on.
    Share,
    /// Old entries may be dropped.
    Sweep,
}

/// Pending timers.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    pending: BTreeSet<(TimeMs, Timer)>,
}

impl Timers {
    pub(crate) fn set(&mut self, at: TimeMs, timer: Timer) {
        self.pending.insert((at, timer));
    }

    pub(crate) fn next(&self) -> Option<TimeMs> {
        self.pending.first().map(|(at, _)| *at)
    }

    pub(crate) fn take_due(&mut self, now: TimeMs) -> Option<Timer> {
        let (at, _) = self.pending.first()?;
        if *at > now {
            return None;
        }
        self.pending.pop_first().map(|(_, timer)| timer)
    }
}
