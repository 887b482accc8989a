//! Text of the burn and cost reports.

use boragepass::{BurnReport, CostReport};
use boragepass_types::{KeyHash, KeySalt, Permille, Plan, Priority, RatePerS, SpanMs};
use boragepass_wire::{WirePlan, WireServiceLevel, WireStageCost, WireUsageReport};

fn plan(workspace: &str, objective_permille: u16) -> WirePlan {
    let key_salt = KeySalt("salt".to_owned());
    let plan = Plan {
        workspace: workspace.parse().expect("the name is valid"),
        deadline_ms: SpanMs(6_000),
        rate_per_s: RatePerS(10),
        in_flight_max: 10,
        priority: Priority(5),
        attainment_weight_permille: Permille(900),
        objective_permille: Permille(objective_permille),
        entry_vms: 2,
        key_hash: KeyHash::of(&key_salt, &boragepass_types::AccessKey::new("key")),
        key_salt,
    };
    WirePlan::from(&plan)
}

fn usage(vm: &str, incarnation: u64, met: u64) -> WireUsageReport {
    WireUsageReport {
        vm: vm.to_owned(),
        incarnation,
        covers_ms: 3_600_000 + incarnation,
        levels: vec![
            WireServiceLevel {
                workspace: "gigdesk".to_owned(),
                pipeline: "contract-review".to_owned(),
                windows: [(100, met), (200, 200), (0, 0), (1_000, 990)],
                outcomes: [met, 100 - met, 0, 0],
            },
            WireServiceLevel {
                workspace: "gone".to_owned(),
                pipeline: "pickup-booking".to_owned(),
                windows: [(1, 1); 4],
                outcomes: [1, 0, 0, 0],
            },
        ],
        costs: vec![WireStageCost {
            workspace: "gigdesk".to_owned(),
            stage: "review".to_owned(),
            used: met,
            used_ms: met * 400,
            wasted: 2,
            wasted_ms: 90,
            cross_region_bytes: 1_024,
        }],
    }
}

/// Reports of two VMs; that of `lagos-1` arrives twice.
fn reports() -> Vec<WireUsageReport> {
    vec![usage("lagos-1", 7, 98), usage("lagos-2", 8, 90), usage("lagos-1", 7, 98)]
}

/// A report that arrives twice must not double its counts, and the text names the VMs whose counts are missing.
#[test]
fn burn_counts_each_process_once_and_lists_silent_vms() {
    let report = BurnReport::new(&reports(), &["lagos-3".to_owned()], &[plan("gigdesk", 990)]);
    insta::assert_snapshot!(report.text());
}

/// Wasted attempts have columns of their own; counted as used, they would hide the cost of hedging and retries.
#[test]
fn cost_counts_wasted_attempts_separately() {
    let report = CostReport::new(&reports(), &[]);
    insta::assert_snapshot!(report.text());
}
