//! Budget of repeated sends, for each pool and window.
//!
//! All VMs together may repeat a share of the requests of a window plus a fixed number. Each VM
//! takes the share of its own requests and an equal part of the fixed number, without asking.

use std::collections::{HashMap, VecDeque};

use boragepass_types::{PoolId, TimeMs};

use crate::settings::RetryLimits;

/// Parts into which a window is divided; counts slide by one part.
const PARTS: u64 = 20;
/// Share of the allowance that is used, since VMs see their number of live VMs late.
const USED_SHARE: f64 = 0.7;

#[derive(Debug, Clone, Copy, Default)]
struct Part {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of each pool in the last window.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    limits: RetryLimits,
    part_ms: u64,
    pools: HashMap<PoolId, VecDeque<Part>>,
}

impl RetryBudget {
    pub(crate) fn new(limits: RetryLimits) -> Self {
        let part_ms = (limits.window_ms.0 / PARTS).max(1);
        Self { limits, part_ms, pools: HashMap::new() }
    }

    fn part(&mut self, now: TimeMs, pool: &PoolId) -> &mut Part {
        let number = now.0 / self.part_ms;
        if !self.pools.contains_key(pool) {
            self.pools.insert(pool.clone(), VecDeque::new());
        }
        let parts = self.pools.entry(pool.clone()).or_default();
        while parts.front().is_some_and(|part| part.number + PARTS < number) {
            parts.pop_front();
        }
        if parts.back().is_none_or(|part| part.number != number) {
            parts.push_back(Part { number, ..Part::default() });
        }
        let last = parts.len() - 1;
        &mut parts[last]
    }

    /// Notes a request for a pool.
    pub(crate) fn on_request(&mut self, now: TimeMs, pool: &PoolId) {
        self.part(now, pool).requests += 1;
    }

    /// Takes some repeats, if the budget allows all of them.
    pub(crate) fn try_take(&mut self, now: TimeMs, pool: &PoolId, repeats: u32, live_vms: usize) -> bool {
        self.part(now, pool);
        let parts = &self.pools[pool];
        let requests: u32 = parts.iter().map(|part| part.requests).sum();
        let used: u32 = parts.iter().map(|part| part.repeats).sum();
        let slack = self.limits.slack / live_vms.max(1) as f64;
        let allowed = USED_SHARE * (self.limits.ratio * f64::from(requests) + slack);
        if f64::from(used + repeats) > allowed {
            return false;
        }
        self.part(now, pool).repeats += repeats;
        true
    }
}
