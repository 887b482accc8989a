//! A workspace's plan: what it is promised and how much it may send.

use crate::{Findings, KeyHash, KeySalt, Permille, Priority, RatePerS, SpanMs, WorkspaceId};

const MAX_DEADLINE_MS: u64 = 600_000;
const MAX_ENTRY_VMS: u8 = 32;
const MAX_PRIORITY: u8 = 9;
const WHOLE_PERMILLE: u16 = 1_000;

/// Plan as it arrives from an operator.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RawPlan {
    /// Workspace name.
    pub workspace: String,
    /// Longest time a request may take.
    pub deadline_ms: u64,
    /// Requests a second over all VMs.
    pub rate_per_s: u32,
    /// Requests in progress over all VMs.
    pub in_flight_max: u32,
    /// Priority from 0 to 9.
    pub priority: u8,
    /// Weight of attainment against cost, in thousandths.
    pub attainment_weight_permille: u16,
    /// Objective for attainment, in thousandths.
    pub objective_permille: u16,
    /// How many entry VMs serve this workspace in a region.
    pub entry_vms: u8,
    /// Salt of the bearer key.
    pub key_salt: String,
    /// Salted SHA-256 of the bearer key, hexadecimal.
    pub key_hash: String,
}

/// Checked plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Workspace the plan belongs to.
    pub workspace: WorkspaceId,
    /// Longest time a request may take.
    pub deadline_ms: SpanMs,
    /// Requests a second over all VMs.
    pub rate_per_s: RatePerS,
    /// Requests in progress over all VMs.
    pub in_flight_max: u32,
    /// Importance under overload.
    pub priority: Priority,
    /// Weight of attainment against cost.
    pub attainment_weight_permille: Permille,
    /// Share of requests to be answered within the deadline.
    pub objective_permille: Permille,
    /// How many entry VMs serve this workspace in a region.
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
        check_range("deadline_ms", raw.deadline_ms, 1, MAX_DEADLINE_MS);
        check_range("rate_per_s", raw.rate_per_s.into(), 1, u32::MAX.into());
        check_range("in_flight_max", raw.in_flight_max.into(), 1, u32::MAX.into());
        check_range("priority", raw.priority.into(), 0, MAX_PRIORITY.into());
        check_range("attainment_weight_permille", raw.attainment_weight_permille.into(), 0, WHOLE_PERMILLE.into());
        check_range("objective_permille", raw.objective_permille.into(), 1, u64::from(WHOLE_PERMILLE) - 1);
        check_range("entry_vms", raw.entry_vms.into(), 1, MAX_ENTRY_VMS.into());
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
