//! Keeps this VM's part of the slots of a brittle endpoint, one that falls over when it rejects too many requests in a
//! second.
//!
//! As many VMs share the endpoint as it has slots and bears rejections, the others send it nothing. Each keeps to its
//! part of the slots, one at least, and pauses after a rejection: if all of them send at once, those that find no slot are
//! no more than the endpoint bears.

use boragepass_types::{SpanMs, TimeMs};

use super::shared_statement::SharedStatement;

/// Pause after a rejection, so that a VM causes one a second at most.
const REJECTION_PAUSE: SpanMs = SpanMs(1_100);
/// Time until a slot of this VM's part is expected to be free.
const SLOT_WAIT: SpanMs = SpanMs(20);

/// Number of VMs that share a brittle endpoint with these slots.
pub(crate) fn brittle_sharing_vms_max(rejections_max: u32, slots: u32) -> usize {
    slots.max(1).saturating_add(rejections_max) as usize
}

/// Brittleness that an endpoint states, and this VM's part of its slots.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RejectionLimiter {
    /// Rejections in a second that the endpoint bears.
    pub(crate) statement: SharedStatement<u32>,
    own_slots: u32,
    paused_until: TimeMs,
}

impl RejectionLimiter {
    /// Sets this VM's part of the slots: that of one of `sharing_vms`, or none.
    pub(crate) fn set_sharing_vms(&mut self, slots: u32, sharing_vms: Option<usize>) {
        self.own_slots = sharing_vms.map_or(0, |sharing_vms| (slots / sharing_vms.max(1) as u32).max(1));
    }

    /// Records that the endpoint rejected a request of this VM as full.
    pub(crate) fn on_rejection(&mut self, now: TimeMs) {
        if self.statement.value().is_some() {
            self.paused_until = now + REJECTION_PAUSE;
        }
    }

    /// Requests that this VM may send beside those in progress; `None` if there is no limit.
    pub(crate) fn free_slots(&self, now: TimeMs, in_flight: u32) -> Option<u32> {
        self.statement.value()?;
        Some(if now < self.paused_until { 0 } else { self.own_slots.saturating_sub(in_flight) })
    }

    /// Time until this VM may send a request; `None` if it has no part of the slots.
    pub(crate) fn allows_in(&self, now: TimeMs, in_flight: u32) -> Option<SpanMs> {
        match self.free_slots(now, in_flight) {
            Some(0) if self.own_slots == 0 => None,
            Some(0) => Some(self.paused_until.since(now).max(SLOT_WAIT)),
            Some(_) | None => Some(SpanMs(0)),
        }
    }
}
