//! Order of the pieces that wait at a pool's lead, for loads beyond what the pool can make in time.
//!
//! Pieces whose request can still meet its objective go first, by the time at which they have to be
//! made; each step of urgency moves that time forward by [`RANK_STEP_MS`]. Pieces that are late
//! already come after them, so that they do not make others late, the most urgent ones first. Only
//! as many of them wait as can be made soon; the others are given up at once, so that their clients
//! can come back when there is place.

use boragepass_types::TimeMs;

use super::PieceTask;

/// Head start of a request over one that is a rank less urgent, beside the time in which the queue is made.
const RANK_STEP_MS: i64 = 250;
/// The same among requests that are late: longer than any deadline, so that urgency decides.
const LATE_RANK_STEP_MS: i64 = 20_000;

/// Place of a piece in the queue; smaller ones are made first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PieceRank {
    is_late: bool,
    is_new: bool,
    due_ms: i64,
}

impl PieceRank {
    /// Whether the request misses its objective even if the piece is made at once.
    pub fn is_late(&self) -> bool {
        self.is_late
    }

    /// Rank of a piece at a moment, where a call takes `call_ms` and all that waits `drain_ms`. Pieces of
    /// an ask that has begun go first: what was made of it fills space until the rest is there.
    pub fn of(piece: &PieceTask, now: TimeMs, call_ms: f64, drain_ms: f64, has_begun: bool) -> Self {
        let start_by_ms = piece.objective_at_ms - piece.min_ms_after_stage.0 as i64 - call_ms as i64;
        let is_late = start_by_ms < now.0 as i64 && !has_begun;
        let (due_ms, step_ms) = if is_late {
            (piece.deadline_at.0 as i64, LATE_RANK_STEP_MS)
        } else {
            (start_by_ms, RANK_STEP_MS + drain_ms as i64)
        };
        Self { is_late, is_new: !has_begun, due_ms: due_ms + i64::from(piece.rank) * step_ms }
    }
}
