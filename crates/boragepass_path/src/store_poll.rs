//! Chooses how long the next poll for changes of the store may take.
//!
//! The store holds a poll open until there is a change, which keeps the number of calls low. A poll that the store
//! never received, or whose reply was lost, ends only with its timeout; until then this VM does not learn what the
//! store confirms. So the timeout is shorter than the recovery time, and while the store does not reply, polls
//! ask for an immediate answer and time out sooner.

use boragepass_types::SpanMs;

/// Share of the recovery time for which the store may hold a poll open.
const HOLD_PERCENT: u64 = 50;
/// Share of the recovery time after which a poll counts as lost. The rest is for the delay before the next one.
const TIMEOUT_PERCENT: u64 = 75;
/// Share of the recovery time after which a poll counts as lost while the store does not reply.
const TIMEOUT_UNREACHABLE_PERCENT: u64 = 37;

/// Poll for changes of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StorePoll {
    /// How long the store may hold the poll open if there are no changes.
    pub hold_ms: SpanMs,
    /// Time after which the poll counts as lost.
    pub timeout_ms: SpanMs,
}

impl StorePoll {
    /// Chooses the next poll, so that the store's newest state is known `recovery_ms` after a disruption ends.
    pub fn next(is_store_reachable: bool, recovery_ms: SpanMs) -> Self {
        if is_store_reachable {
            Self { hold_ms: recovery_ms.percent(HOLD_PERCENT), timeout_ms: recovery_ms.percent(TIMEOUT_PERCENT) }
        } else {
            Self { hold_ms: SpanMs(0), timeout_ms: recovery_ms.percent(TIMEOUT_UNREACHABLE_PERCENT) }
        }
    }
}
