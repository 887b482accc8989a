//! Limits of a plan, enforced as local shares.
//!
//! The VMs that serve a workspace follow from its name and the live VMs, so each VM knows how many
//! share a plan and takes its part without asking. When a VM leaves, the others' parts grow.

use boragepass_types::{Plan, TimeMs, WorkspaceId};

use crate::map::Map;

const BURST_MS: f64 = 1_000.0;
const MS_PER_S: f64 = 1_000.0;

/// Use of one plan on this VM.
#[derive(Debug, Clone)]
struct Share {
    tokens: f64,
    filled_at: TimeMs,
    in_progress: u32,
}

/// Why a share is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ShareRefusal {
    Rate,
    InFlight,
}

/// Use of all plans on this VM.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    by_workspace: Map<WorkspaceId, Share>,
}

/// This VM's part of a limit that `vms` share; parts of all VMs add up to the limit.
pub(crate) fn part_of(limit: u32, vms: usize, rank: usize) -> u32 {
    let vms = vms.max(1) as u32;
    let rank = rank as u32 % vms;
    limit / vms + u32::from(rank < limit % vms)
}

impl Shares {
    /// Takes one request from the share that `rank` of `vms` VMs has.
    pub(crate) fn try_take(&mut self, now: TimeMs, plan: &Plan, vms: usize, rank: usize) -> Result<(), ShareRefusal> {
        let rate = f64::from(plan.rate_per_s.0) / vms.max(1) as f64;
        let burst = (rate * BURST_MS / MS_PER_S).max(1.0);
        let in_flight_max = part_of(plan.in_flight_max, vms, rank).max(1);
        let share = self.by_workspace.entry(plan.workspace.clone()).or_insert_with(|| Share {
            tokens: burst,
            filled_at: now,
            in_progress: 0,
        });
        let gained = now.since(share.filled_at).0 as f64 * rate / MS_PER_S;
        share.tokens = (share.tokens + gained).min(burst);
        share.filled_at = now;
        if share.in_progress >= in_flight_max {
            return Err(ShareRefusal::InFlight);
        }
        if share.tokens < 1.0 {
            return Err(ShareRefusal::Rate);
        }
        share.tokens -= 1.0;
        share.in_progress += 1;
        Ok(())
    }

    /// Gives back a request in progress.
    pub(crate) fn release(&mut self, workspace: &WorkspaceId) {
        if let Some(share) = self.by_workspace.get_mut(workspace) {
            share.in_progress = share.in_progress.saturating_sub(1);
        }
    }

    /// Drops shares that are idle and full.
    pub(crate) fn drop_idle(&mut self, now: TimeMs) {
        self.by_workspace
            .retain(|_, share| share.in_progress > 0 || now.since(share.filled_at).0 as f64 <= 2.0 * BURST_MS);
    }
}
