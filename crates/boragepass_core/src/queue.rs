//! Queue of the requests that wait for an endpoint of a pool.
//!
//! The order is by priority of the plan, then by stage, latest first, because the work of its earlier
//! stages is lost when a request is dropped, then by deadline. A full queue drops its last request.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use boragepass_types::{Priority, TimeMs};

use crate::request_table::RequestKey;

/// Sort key of a request in a queue; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    priority: Reverse<Priority>,
    stage: Reverse<usize>,
    deadline_at: TimeMs,
    pub(crate) request: RequestKey,
}

impl QueuePosition {
    /// Position of a request.
    pub(crate) fn new(priority: Priority, stage: usize, deadline_at: TimeMs, request: RequestKey) -> Self {
        Self { priority: Reverse(priority), stage: Reverse(stage), deadline_at, request }
    }
}

/// Queue of one pool.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    positions: BTreeSet<QueuePosition>,
}

impl WaitQueue {
    /// Adds a request; returns the one that is dropped if the queue would exceed `len_max`.
    pub(crate) fn push(&mut self, position: QueuePosition, len_max: usize) -> Option<RequestKey> {
        self.positions.insert(position);
        if self.positions.len() <= len_max {
            return None;
        }
        self.positions.pop_last().map(|dropped| dropped.request)
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, position: &QueuePosition) {
        self.positions.remove(position);
    }

    /// Positions of the first `count` requests, which stay in the queue.
    pub(crate) fn peek(&self, count: usize) -> Vec<QueuePosition> {
        self.positions.iter().take(count).copied().collect()
    }

    /// Number of requests that would go before a new one of this priority, stage and deadline.
    pub(crate) fn len_before(&self, priority: Priority, stage: usize, deadline_at: TimeMs) -> usize {
        if self.positions.is_empty() {
            return 0;
        }
        let position = QueuePosition::new(priority, stage, deadline_at, RequestKey(u64::MAX));
        self.positions.range(..position).count()
    }

    /// Number of requests.
    pub(crate) fn len(&self) -> usize {
        self.positions.len()
    }
}
