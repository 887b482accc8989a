//! Brittle endpoint: it lets no request wait, and falls over if it has to reject too many in a second.

use std::collections::VecDeque;

use boragepass_types::{SpanMs, TimeMs};

/// Time after the first statement from which an endpoint rejects earlier and may fall over, as the users' sites set it.
const CONTACT: SpanMs = SpanMs(4_000);
const WINDOW: SpanMs = SpanMs(1_000);
/// Time for which an endpoint that fell over is down.
pub(super) const FALL_MS: u64 = 3_000;

/// Brittleness that an endpoint states, and what it rejected meanwhile.
#[derive(Debug)]
pub(super) struct Brittleness {
    /// Rejections in a second that it bears.
    pub(super) rejections_max: u32,
    since: TimeMs,
    rejected_at: VecDeque<TimeMs>,
}

impl Brittleness {
    pub(super) fn new(rejections_max: u32, since: TimeMs) -> Self {
        Self { rejections_max, since, rejected_at: VecDeque::new() }
    }

    /// Whether no request may wait any more.
    pub(super) fn is_in_force(&self, now: TimeMs) -> bool {
        now.since(self.since) >= CONTACT
    }

    /// Records a rejection; returns whether the endpoint falls over.
    pub(super) fn on_rejection(&mut self, now: TimeMs) -> bool {
        self.rejected_at.push_back(now);
        while self.rejected_at.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.rejected_at.pop_front();
        }
        let falls = self.is_in_force(now) && self.rejected_at.len() > self.rejections_max as usize;
        if falls {
            self.rejected_at.clear();
        }
        falls
    }
}
