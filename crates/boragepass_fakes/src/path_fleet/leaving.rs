//! Announcement of an endpoint, in its replies, that it is leaving.

use std::collections::BTreeMap;

use boragepass_types::{SpanMs, TimeMs};

/// Time after such a reply from which its VM may send no newer request, as the users' sites set it.
const GRACE: SpanMs = SpanMs(2_500);

/// Announcement and the VMs that got it, by the incarnation of their process.
#[derive(Debug, Default)]
pub(super) struct LeavingAnnouncement {
    told_at: BTreeMap<(usize, u64), TimeMs>,
}

impl LeavingAnnouncement {
    /// Records that a reply with the announcement reaches a VM at `at`.
    pub(super) fn on_reply(&mut self, at: TimeMs, vm: (usize, u64)) {
        self.told_at.entry(vm).or_insert(at);
    }

    /// Whether a VM must no longer send a request that a client submitted at `submitted_at`.
    pub(super) fn forbids(&self, vm: (usize, u64), submitted_at: TimeMs) -> bool {
        self.told_at.get(&vm).is_some_and(|told_at| submitted_at > *told_at + GRACE)
    }
}
