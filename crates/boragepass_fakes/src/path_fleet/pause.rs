//! Rejections of an endpoint that say for how long it wants no requests from a VM.

use std::collections::BTreeMap;

use boragepass_types::{SpanMs, TimeMs};

/// Time after a rejection from which a VM has to keep to it.
const REACTION_TIME: SpanMs = SpanMs(500);
/// Requests that are tolerated in the rest of the pause.
const TOLERATED_REQUESTS: u32 = 2;

/// Pause that a VM was asked for.
#[derive(Debug)]
struct RequestedPause {
    told_at: TimeMs,
    until: TimeMs,
    requests: u32,
}

/// Rejection of all requests for a time.
#[derive(Debug)]
pub(super) struct PausingRejections {
    /// Pause that each rejection asks for.
    pub(super) pause: SpanMs,
    /// Until when the endpoint rejects requests.
    pub(super) rejects_until: TimeMs,
    pauses: BTreeMap<(usize, u64), RequestedPause>,
}

impl PausingRejections {
    pub(super) fn new(pause: SpanMs, rejects_until: TimeMs) -> Self {
        Self { pause, rejects_until, pauses: BTreeMap::new() }
    }

    /// Records that a rejection reaches a VM at `at`.
    pub(super) fn on_rejection(&mut self, at: TimeMs, vm: (usize, u64)) {
        let until = at + self.pause;
        let pause = self.pauses.entry(vm).or_insert(RequestedPause { told_at: at, until, requests: 0 });
        if at > pause.until {
            *pause = RequestedPause { told_at: at, until, requests: 0 };
        }
    }

    /// Counts a request of a VM; returns whether it comes too often in a pause.
    pub(super) fn on_request(&mut self, now: TimeMs, vm: (usize, u64)) -> bool {
        let Some(pause) = self.pauses.get_mut(&vm) else {
            return false;
        };
        if now < pause.told_at + REACTION_TIME || now >= pause.until {
            return false;
        }
        pause.requests += 1;
        pause.requests > TOLERATED_REQUESTS
    }
}
