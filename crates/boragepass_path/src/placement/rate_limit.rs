//! Keeps this VM's part of the rate limit that an endpoint states in its replies.
//!
//! The limit holds for all VMs together, so a few VMs share it equally and the others send the endpoint nothing.
//! Each of the sharing VMs has a token bucket that holds one request: a window of any length then holds one
//! request of each, and what the limit allows.

use boragepass_types::{RequestRate, SpanMs, TimeMs};

use super::shared_statement::SharedStatement;

/// VMs that share a limit, beyond one for each request per second. Their buckets are what a window may hold on top
/// of the limit, and endpoints tolerate five requests.
const SHARING_VMS_BASE: usize = 3;
/// Lowest rate that is kept to; at zero, no reply would ever show that the limit is lifted.
const LOWEST_RATE_PER_S: f64 = 0.1;

/// Number of VMs that share a limit.
pub(crate) fn sharing_vms_max(limit: RequestRate) -> usize {
    SHARING_VMS_BASE + limit.per_s() as usize
}

/// Limit of an endpoint and the requests that this VM may still send there.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RateLimiter {
    pub(crate) statement: SharedStatement<RequestRate>,
    share_per_ms: f64,
    tokens: f64,
    refilled_at: TimeMs,
}

impl RateLimiter {
    /// Limit in force.
    pub(crate) fn limit(&self) -> Option<RequestRate> {
        self.statement.value()
    }

    /// Sets this VM's part of the limit: one of `sharing_vms`, or none.
    pub(crate) fn set_sharing_vms(&mut self, now: TimeMs, sharing_vms: Option<usize>) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
        self.share_per_ms = match (self.limit(), sharing_vms) {
            (Some(limit), Some(sharing_vms)) => limit.per_s().max(LOWEST_RATE_PER_S) / 1e3 / sharing_vms.max(1) as f64,
            (Some(_), None) | (None, _) => 0.0,
        };
    }

    fn tokens_at(&self, now: TimeMs) -> f64 {
        (self.tokens + now.since(self.refilled_at).0 as f64 * self.share_per_ms).min(1.0)
    }

    /// Whether this VM may send a request now.
    pub(crate) fn allows(&self, now: TimeMs) -> bool {
        self.limit().is_none() || self.tokens_at(now) >= 1.0
    }

    /// Time until this VM may send a request; `None` if it has no part of the limit.
    pub(crate) fn allows_in(&self, now: TimeMs) -> Option<SpanMs> {
        if self.allows(now) {
            return Some(SpanMs(0));
        }
        (self.share_per_ms > 0.0).then(|| SpanMs(((1.0 - self.tokens_at(now)) / self.share_per_ms).ceil() as u64))
    }

    /// Counts a request that is sent.
    pub(crate) fn take(&mut self, now: TimeMs) {
        self.tokens = (self.tokens_at(now) - 1.0).max(0.0);
        self.refilled_at = now;
    }
}
