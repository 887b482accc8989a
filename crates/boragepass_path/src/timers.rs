//! Pending timers of the reducer, ordered by due time.

use std::collections::BTreeSet;

use boragepass_types::{EndpointId, TimeMs};

use crate::message::PieceRequestId;
use crate::request::{CallNumber, RequestNumber};

/// Purpose of a timer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Sends heartbeats to other VMs.
    Heartbeat,
    /// Reschedules the pieces of a call that runs longer than expected.
    CallOverdue(CallNumber),
    /// Ends a request whose deadline passed.
    RequestTimeout(RequestNumber),
    /// Sends a request that waits until an endpoint accepts it.
    RetrySend(RequestNumber),
    /// Asks again for the software version that began the stream of a request.
    StreamVersionQuery(RequestNumber),
    /// Checks a piece request that is still open.
    PieceRequestCheck(PieceRequestId),
    /// Checks whether an endpoint that lost a connection is down.
    CheckEndpoint(EndpointId),
    /// Runs the queues of the led pools: starts calls and expires pieces that can no longer be in time.
    RunPools,
    /// Checks whether a stopping process can exit.
    CheckDrain,
    /// Forwards changes of the store to VMs that do not follow it.
    ShareState,
    /// Sends the configuration to VMs that still lack it.
    ShareConfiguration,
    /// Writes the versions of streams that the store's table lacks.
    WriteStreamVersions,
    /// Drops expired entries.
    Sweep,
}

/// Set of pending timers.
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
