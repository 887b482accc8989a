//! Plans: the service level a workspace is promised and the load it may send.
//!
//! Converting a [`RawPlan`] reports every value out of range at once.

use crate::{Findings, KeyHash, KeySalt, Permille, Priority, RatePerS, SpanMs, WorkspaceId};

const DEADLINE_MAX_MS: u64 = 600_000;
const ENTRY_VMS_MAX: u8 = 32;
const PRIORITY_MAX: u8 = 9;
const PERMILLE_MAX: u16 = 1_000;

/// Plan as an operator sends it, not yet validated.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RawPlan {
    /// Workspace name.
    pub workspace: String,
    /// Default and upper limit of a request's deadline.
    pub deadline_ms: u64,
    /// Limit of requests per second over all VMs.
    pub rate_per_s: u32,
    /// Limit of requests in progress over all VMs.
    pub in_flight_max: u32,
    /// Priority under overload, from 0 to 9; the largest is served first.
    pub priority: u8,
    /// Weight of meeting deadlines against cost, in thousandths.
    pub attainment_weight_permille: u16,
    /// Share of requests to be answered within the deadline, in thousandths.
    pub objective_permille: u16,
    /// Number of entry VMs that serve the workspace in a region.
    pub entry_vms: u8,
    /// Salt of the bearer key.
    pub key_salt: String,
    /// Salted SHA-256 of the bearer key, hexadecimal.
    pub key_hash: String,
}

/// Validated plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Workspace the plan belongs to.
    pub workspace: WorkspaceId,
    /// Default and upper limit of a request's deadline.
    pub deadline_ms: SpanMs,
    /// Limit of requests per second over all VMs.
    pub rate_per_s: RatePerS,
    /// Limit of requests in progress over all VMs.
    pub in_flight_max: u32,
    /// Priority under overload.
    pub priority: Priority,
    /// Weight of meeting deadlines against cost.
    pub attainment_weight_permille: Permille,
    /// Share of requests to be answered within the deadline.
    pub objective_permille: Permille,
    /// Number of entry VMs that serve the workspace in a region.
    pub entry_vms: u8,
    /// Salt of the bearer key.
    pub key_salt: KeySalt,
    /// Salted hash of the bearer key.
    pub key_hash: KeyHash,
}

impl TryFrom<RawPlan> for Plan {
    type Error = Findings;

    fn try_from(raw: RawPlan) -> Result<Self, Self::Error> {
        let mut findings = Findings::default();
        let workspace = raw.workspace.parse::<WorkspaceId>();
        if let Err(error) = &workspace {
            findings.add_bad_value("$.workspace", error);
        }
        let key_hash = raw.key_hash.parse::<KeyHash>();
        if let Err(error) = &key_hash {
            findings.add_bad_value("$.key_hash", error);
        }
        let mut check_range = |key: &str, value: u64, low: u64, high: u64| {
            if !(low..=high).contains(&value) {
                findings.add_bad_value(&format!("$.{key}"), format!("must be from {low} to {high}, got {value}"));
            }
        };
        check_range("deadline_ms", raw.deadline_ms, 1, DEADLINE_MAX_MS);
        check_range("rate_per_s", raw.rate_per_s.into(), 1, u32::MAX.into());
        check_range("in_flight_max", raw.in_flight_max.into(), 1, u32::MAX.into());
        check_range("priority", raw.priority.into(), 0, PRIORITY_MAX.into());
        check_range("attainment_weight_permille", raw.attainment_weight_permille.into(), 0, PERMILLE_MAX.into());
        check_range("objective_permille", raw.objective_permille.into(), 1, u64::from(PERMILLE_MAX) - 1);
        check_range("entry_vms", raw.entry_vms.into(), 1, ENTRY_VMS_MAX.into());
        match (workspace, key_hash) {
            (Ok(workspace), Ok(key_hash)) => findings.into_result(Self {
                workspace,
                deadline_ms: SpanMs(raw.deadline_ms),
                rate_per_s: RatePerS(raw.rate_per_s),
                in_flight_max: raw.in_flight_max,
                priority: Priority(raw.priority),
                attainment_weight_permille: Permille(raw.attainment_weight_permille),
                objective_permille: Permille(raw.objective_permille),
                entry_vms: raw.entry_vms,
                key_salt: KeySalt(raw.key_salt),
                key_hash,
            }),
            _ => Err(findings),
        }
    }
}

impl From<&Plan> for RawPlan {
    fn from(plan: &Plan) -> Self {
        Self {
            workspace: plan.workspace.to_string(),
            deadline_ms: plan.deadline_ms.0,
            rate_per_s: plan.rate_per_s.0,
            in_flight_max: plan.in_flight_max,
            priority: plan.priority.0,
            attainment_weight_permille: plan.attainment_weight_permille.0,
            objective_permille: plan.objective_permille.0,
            entry_vms: plan.entry_vms,
            key_salt: plan.key_salt.0.clone(),
            key_hash: plan.key_hash.to_string(),
        }
    }
}
