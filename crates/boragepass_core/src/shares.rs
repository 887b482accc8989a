//! Enforces the limits of a plan as a local share on each VM.
//!
//! The VMs that serve a workspace follow from its name and the live VMs, so each VM computes its share
//! of a plan without communication. When a VM leaves, the shares of the others grow.

use boragepass_types::{Plan, TimeMs, WorkspaceId};

use crate::map::Map;

/// Burst that a rate limit allows, as time at its rate.
const BURST_MS: f64 = 1_000.0;
const MS_PER_S: f64 = 1_000.0;

/// Use of one plan on this VM; `tokens` is its rate limit's token bucket.
#[derive(Debug, Clone)]
struct PlanUsage {
    tokens: f64,
    refilled_at: TimeMs,
    in_progress: u32,
}

/// Limit whose share is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ShareRefusal {
    Rate,
    InFlight,
}

/// Use of all plans on this VM, by workspace.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    by_workspace: Map<WorkspaceId, PlanUsage>,
}

/// Share of a limit for the VM at `rank` of `vms`; the shares of all ranks add up to the limit.
pub(crate) fn local_share(limit: u32, vms: usize, rank: usize) -> u32 {
    let vms = vms.max(1) as u32;
    let rank = rank as u32 % vms;
    limit / vms + u32::from(rank < limit % vms)
}

impl Shares {
    /// Admits one request under the share of the VM at `rank` of `vms`.
    pub(crate) fn try_take(&mut self, now: TimeMs, plan: &Plan, vms: usize, rank: usize) -> Result<(), ShareRefusal> {
        let rate = f64::from(plan.rate_per_s.0) / vms.max(1) as f64;
        let burst = (rate * BURST_MS / MS_PER_S).max(1.0);
        let in_flight_max = local_share(plan.in_flight_max, vms, rank).max(1);
        let usage = self.by_workspace.entry(plan.workspace.clone()).or_insert_with(|| PlanUsage {
            tokens: burst,
            refilled_at: now,
            in_progress: 0,
        });
        let refilled = now.since(usage.refilled_at).0 as f64 * rate / MS_PER_S;
        usage.tokens = (usage.tokens + refilled).min(burst);
        usage.refilled_at = now;
        if usage.in_progress >= in_flight_max {
            return Err(ShareRefusal::InFlight);
        }
        if usage.tokens < 1.0 {
            return Err(ShareRefusal::Rate);
        }
        usage.tokens -= 1.0;
        usage.in_progress += 1;
        Ok(())
    }

    /// Releases a request in progress.
    pub(crate) fn release(&mut self, workspace: &WorkspaceId) {
        if let Some(usage) = self.by_workspace.get_mut(workspace) {
            usage.in_progress = usage.in_progress.saturating_sub(1);
        }
    }

    /// Drops the usage of workspaces that are idle and whose bucket is full again.
    pub(crate) fn drop_idle(&mut self, now: TimeMs) {
        self.by_workspace
            .retain(|_, usage| usage.in_progress > 0 || now.since(usage.refilled_at).0 as f64 <= 2.0 * BURST_MS);
    }
}
