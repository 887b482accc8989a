//! Requests that wait for an endpoint of a pool.
//!
//! More important plans go first, then requests that are further along, since their work is lost
//! otherwise, then the nearest deadline. A full queue drops the least valuable.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use boragepass_types::{Priority, TimeMs};

use crate::request_table::RequestKey;

/// Place in a queue; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePlace {
    priority: Reverse<Priority>,
    stage: Reverse<usize>,
    deadline_at: TimeMs,
    pub(crate) request: RequestKey,
}

impl QueuePlace {
    /// Place of a request.
    pub(crate) fn new(priority: Priority, stage: usize, deadline_at: TimeMs, request: RequestKey) -> Self {
        Self { priority: Reverse(priority), stage: Reverse(stage), deadline_at, request }
    }
}

/// Queue of one pool.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    places: BTreeSet<QueuePlace>,
}

impl WaitQueue {
    /// Adds a request; gives back the one that must go when the queue is full.
    pub(crate) fn push(&mut self, place: QueuePlace, len_max: usize) -> Option<RequestKey> {
        self.places.insert(place);
        if self.places.len() <= len_max {
            return None;
        }
        self.places.pop_last().map(|dropped| dropped.request)
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, place: &QueuePlace) {
        self.places.remove(place);
    }

    /// First `count` requests.
    pub(crate) fn first(&self, count: usize) -> Vec<QueuePlace> {
        self.places.iter().take(count).copied().collect()
    }

    /// Number of requests that would go before a new one of `priority`.
    pub(crate) fn len_before(&self, priority: Priority, stage: usize, deadline_at: TimeMs) -> usize {
        if self.places.is_empty() {
            return 0;
        }
        let place = QueuePlace::new(priority, stage, deadline_at, RequestKey(u64::MAX));
        self.places.range(..place).count()
    }

    /// Number of requests.
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }
}
