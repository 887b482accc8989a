//! Cost by workspace and stage; attempts whose result was used and wasted ones are counted apart.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use boragepass_wire::{WireStageCost, WireUsageReport};
use serde::Serialize;

/// Costs of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CostReport {
    /// Costs by workspace and stage.
    pub rows: Vec<WireStageCost>,
    /// VMs that did not answer; their costs are missing.
    #[serde(rename = "silent")]
    pub silent_vms: Vec<String>,
}

fn add_cost(sum: &mut WireStageCost, cost: &WireStageCost) {
    sum.used += cost.used;
    sum.used_ms += cost.used_ms;
    sum.wasted += cost.wasted;
    sum.wasted_ms += cost.wasted_ms;
    sum.cross_region_bytes += cost.cross_region_bytes;
}

impl CostReport {
    /// Merges the reports of all VMs. Reports with the same VM and incarnation are of one process and count once.
    pub fn new(reports: &[WireUsageReport], silent_vms: &[String]) -> Self {
        let mut counted_processes = BTreeSet::new();
        let mut rows = BTreeMap::new();
        for report in reports {
            if !counted_processes.insert((report.vm.clone(), report.incarnation)) {
                continue;
            }
            for cost in &report.costs {
                let key = (cost.workspace.clone(), cost.stage.clone());
                match rows.entry(key) {
                    Entry::Vacant(vacant) => {
                        vacant.insert(cost.clone());
                    }
                    Entry::Occupied(mut sum) => add_cost(sum.get_mut(), cost),
                }
            }
        }
        Self { rows: rows.into_values().collect(), silent_vms: silent_vms.to_vec() }
    }

    /// Formats the report for people.
    pub fn text(&self) -> String {
        let mut text = String::from(
            "workspace         stage         used      used_ms   wasted    wasted_ms  cross_region_bytes\n",
        );
        for row in &self.rows {
            let WireStageCost { workspace, stage, used, used_ms, wasted, wasted_ms, cross_region_bytes } = row;
            // Writing to a string cannot fail.
            writeln!(
                text,
                "{workspace:<17} {stage:<13} {used:<9} {used_ms:<9} {wasted:<9} {wasted_ms:<10} {cross_region_bytes}"
            )
            .ok();
        }
        if !self.silent_vms.is_empty() {
            writeln!(text, "missing, because they did not answer: {}", self.silent_vms.join(", ")).ok();
        }
        text
    }
}
