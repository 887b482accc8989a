//! Order of the pieces in a pool leader's queue, for loads beyond the pool's capacity.
//!
//! Pieces of started piece requests go first, since their finished results occupy space until the
//! rest is computed. Then come pieces whose request can still meet its objective, by latest start time;
//! each rank of urgency brings that time forward by [`RANK_HEAD_START_MS`] and the time in which the queue
//! drains. Late pieces follow, so that they do not make others late, ordered by rank and then by deadline.
//! The queue limits how many late pieces wait; the rest fail at once, so that their clients can retry when
//! there is capacity.

use boragepass_types::TimeMs;

use super::PieceTask;

/// Head start of a request over one of the next rank, in addition to the time in which the queue drains.
const RANK_HEAD_START_MS: i64 = 250;
/// Head start among late requests: longer than any deadline, so that the rank alone decides.
const LATE_RANK_HEAD_START_MS: i64 = 20_000;

/// Position of a piece in the queue; smaller ones run first. Compared field by field in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PieceRank {
    is_late: bool,
    is_unstarted: bool,
    due_ms: i64,
}

impl PieceRank {
    /// Whether the request misses its objective even if the piece starts now.
    pub fn is_late(&self) -> bool {
        self.is_late
    }

    /// Rank of a piece at `now`. A call takes `call_ms`, the whole queue `drain_ms`; `has_started` says whether
    /// any piece of the same piece request is computed or running.
    pub fn of(piece: &PieceTask, now: TimeMs, call_ms: f64, drain_ms: f64, has_started: bool) -> Self {
        let start_by_ms = piece.objective_at_ms - piece.downstream_ms.0 as i64 - call_ms as i64;
        let is_late = start_by_ms < now.0 as i64 && !has_started;
        let (due_ms, step_ms) = if is_late {
            (piece.deadline_at.0 as i64, LATE_RANK_HEAD_START_MS)
        } else {
            (start_by_ms, RANK_HEAD_START_MS + drain_ms as i64)
        };
        Self { is_late, is_unstarted: !has_started, due_ms: due_ms + i64::from(piece.rank) * step_ms }
    }
}
