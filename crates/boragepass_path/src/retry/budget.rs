//! Retry budget of each pool over a sliding window.
//!
//! All VMs together may retry a share of the window's requests plus a fixed number. Each VM uses the
//! share of its own requests and an equal part of the fixed number, without coordination.

use std::collections::{HashMap, VecDeque};

use boragepass_types::{PoolId, TimeMs};

use crate::settings::RetryLimits;

/// Slots that make up a window, which slides by one slot.
const WINDOW_SLOTS: u64 = 20;
/// Share of the allowance that is used, since a VM learns late of a change in the number of live VMs.
const USABLE_SHARE: f64 = 0.7;

#[derive(Debug, Clone, Copy, Default)]
struct WindowSlot {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Requests and retries of each pool in the last window.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    limits: RetryLimits,
    slot_ms: u64,
    pools: HashMap<PoolId, VecDeque<WindowSlot>>,
}

impl RetryBudget {
    pub(crate) fn new(limits: RetryLimits) -> Self {
        let slot_ms = (limits.window_ms.0 / WINDOW_SLOTS).max(1);
        Self { limits, slot_ms, pools: HashMap::new() }
    }

    fn current_slot(&mut self, now: TimeMs, pool: &PoolId) -> &mut WindowSlot {
        let number = now.0 / self.slot_ms;
        if !self.pools.contains_key(pool) {
            self.pools.insert(pool.clone(), VecDeque::new());
        }
        let slots = self.pools.entry(pool.clone()).or_default();
        while slots.front().is_some_and(|slot| slot.number + WINDOW_SLOTS < number) {
            slots.pop_front();
        }
        if slots.back().is_none_or(|slot| slot.number != number) {
            slots.push_back(WindowSlot { number, ..WindowSlot::default() });
        }
        let last = slots.len() - 1;
        &mut slots[last]
    }

    /// Counts a request for a pool.
    pub(crate) fn on_request(&mut self, now: TimeMs, pool: &PoolId) {
        self.current_slot(now, pool).requests += 1;
    }

    /// Takes `retries` from the budget; false if it does not allow all of them.
    pub(crate) fn try_take(&mut self, now: TimeMs, pool: &PoolId, retries: u32, live_vms: usize) -> bool {
        self.current_slot(now, pool);
        let slots = &self.pools[pool];
        let requests: u32 = slots.iter().map(|slot| slot.requests).sum();
        let used: u32 = slots.iter().map(|slot| slot.retries).sum();
        let slack = self.limits.slack / live_vms.max(1) as f64;
        let retries_allowed = USABLE_SHARE * (self.limits.ratio * f64::from(requests) + slack);
        if f64::from(used + retries) > retries_allowed {
            return false;
        }
        self.current_slot(now, pool).retries += retries;
        true
    }
}
