//! Order of the pieces that wait at a pool's lead, for loads beyond what the pool can make in time.
//!
//! Pieces whose request can still meet its objective go first, by the time at which they have to be
//! made; each step of urgency moves that time forward by [`RANK_STEP_MS`]. Pieces that are late
//! already come after them, so that they do not make others late, and are ordered by deadline.

use boragepass_types::TimeMs;

use super::PieceTask;

/// Head start of a request over one that is a rank less urgent.
const RANK_STEP_MS: i64 = 250;

/// Place of a piece in the queue; smaller ones are made first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PieceRank {
    is_late: bool,
    is_new: bool,
    due_ms: i64,
}

impl PieceRank {
    /// Rank of a piece at a moment, where a call takes `call_ms`. Pieces of an ask that has begun
    /// go first: what was made of it fills space until the rest is there.
    pub fn of(piece: &PieceTask, now: TimeMs, call_ms: f64, has_begun: bool) -> Self {
        let start_by_ms = piece.objective_at_ms - piece.after_ms.0 as i64 - call_ms as i64;
        let urgency_ms = i64::from(piece.rank) * RANK_STEP_MS;
        let is_late = start_by_ms < now.0 as i64 && !has_begun;
        let due_ms = if is_late { piece.deadline_at.0 as i64 } else { start_by_ms };
        Self { is_late, is_new: !has_begun, due_ms: due_ms + urgency_ms }
    }
}
