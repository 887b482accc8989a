//! Reservation of result space at the endpoints of a pool.
//!
//! Space is reserved for all pieces of a piece request at once, so that started ones can finish.

use std::collections::{HashMap, HashSet};

use super::PieceTask;
use crate::message::PieceRequestId;

/// Share of an endpoint's space below which a piece request may start without a reservation.
const SMALL_RESULTS_SHARE: f64 = 0.05;

/// Free space of a pool's endpoints and what of it is reserved, while one batch is composed.
#[derive(Debug)]
pub(super) struct SpaceReservations {
    free_bytes: u64,
    /// Bytes that started piece requests still need.
    reserved_bytes: u64,
    started: HashSet<PieceRequestId>,
    /// Bytes of the waiting pieces of each piece request.
    waiting_bytes: HashMap<PieceRequestId, u64>,
    /// Needed bytes up to which a piece request may start without a reservation.
    small_bytes: u64,
    /// Whether started piece requests need more than `small_bytes`.
    has_started_large: bool,
}

impl SpaceReservations {
    pub(super) fn new(
        free_bytes: u64,
        result_space_bytes: u64,
        started: HashSet<PieceRequestId>,
        queue: &[PieceTask],
    ) -> Self {
        let mut waiting_bytes: HashMap<PieceRequestId, u64> = HashMap::new();
        for piece in queue {
            *waiting_bytes.entry(piece.piece_request.clone()).or_default() += piece.result_bytes;
        }
        let small_bytes = (result_space_bytes as f64 * SMALL_RESULTS_SHARE) as u64;
        let needed_bytes =
            waiting_bytes.iter().filter(|(piece_request, _)| started.contains(*piece_request)).map(|(_, bytes)| *bytes);
        let reserved_bytes = needed_bytes.sum();
        Self {
            free_bytes,
            reserved_bytes,
            started,
            waiting_bytes,
            small_bytes,
            has_started_large: reserved_bytes > small_bytes,
        }
    }

    /// Takes the space for a piece if the piece may run now; returns whether it may.
    pub(super) fn try_reserve(&mut self, piece: &PieceTask) -> bool {
        let needed_bytes = self.waiting_bytes.get(&piece.piece_request).copied().unwrap_or(piece.result_bytes);
        if !self.started.contains(&piece.piece_request) {
            let fits = self.reserved_bytes + needed_bytes <= self.free_bytes;
            // A piece request that exceeds all free space can only run without other large ones.
            let is_alone = !self.has_started_large && needed_bytes > self.free_bytes;
            if needed_bytes > self.small_bytes && !fits && !is_alone {
                return false;
            }
            self.started.insert(piece.piece_request.clone());
            self.reserved_bytes += needed_bytes;
            self.has_started_large |= needed_bytes > self.small_bytes;
        }
        self.free_bytes = self.free_bytes.saturating_sub(piece.result_bytes);
        self.reserved_bytes = self.reserved_bytes.saturating_sub(piece.result_bytes);
        if let Some(waiting_bytes) = self.waiting_bytes.get_mut(&piece.piece_request) {
            *waiting_bytes = waiting_bytes.saturating_sub(piece.result_bytes);
        }
        true
    }
}
