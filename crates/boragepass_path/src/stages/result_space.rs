//! Space for results at the endpoints of a pool, shared out to whole asks.

use std::collections::{HashMap, HashSet};

use super::PieceTask;
use crate::message::PieceRequestId;

/// Share of an endpoint's space below which the results of an ask need no reservation.
const SMALL_SHARE: f64 = 0.05;

/// Space that is free and who may take it.
#[derive(Debug)]
pub(super) struct Space {
    free: u64,
    /// Bytes that asks which have begun still need.
    reserved: u64,
    begun: HashSet<PieceRequestId>,
    /// Bytes of the waiting pieces of each ask.
    waiting: HashMap<PieceRequestId, u64>,
    small_bytes: u64,
    has_begun_large: bool,
}

impl Space {
    pub(super) fn new(free: u64, room_bytes: u64, begun: HashSet<PieceRequestId>, queue: &[PieceTask]) -> Self {
        let mut waiting: HashMap<PieceRequestId, u64> = HashMap::new();
        for piece in queue {
            *waiting.entry(piece.ask.clone()).or_default() += piece.result_bytes;
        }
        let small_bytes = (room_bytes as f64 * SMALL_SHARE) as u64;
        let needed = waiting.iter().filter(|(ask, _)| begun.contains(*ask)).map(|(_, bytes)| *bytes);
        let reserved = needed.sum();
        Self { free, reserved, begun, waiting, small_bytes, has_begun_large: reserved > small_bytes }
    }

    /// Whether a piece may be made now; takes its space if so.
    pub(super) fn admits(&mut self, piece: &PieceTask) -> bool {
        let needed = self.waiting.get(&piece.ask).copied().unwrap_or(piece.result_bytes);
        if !self.begun.contains(&piece.ask) {
            let fits = self.reserved + needed <= self.free;
            // An ask that is larger than all space can only be tried alone.
            let is_alone = !self.has_begun_large && needed > self.free;
            if needed > self.small_bytes && !fits && !is_alone {
                return false;
            }
            self.begun.insert(piece.ask.clone());
            self.reserved += needed;
            self.has_begun_large |= needed > self.small_bytes;
        }
        self.free = self.free.saturating_sub(piece.result_bytes);
        self.reserved = self.reserved.saturating_sub(piece.result_bytes);
        if let Some(waiting) = self.waiting.get_mut(&piece.ask) {
            *waiting = waiting.saturating_sub(piece.result_bytes);
        }
        true
    }
}
