//! Cost by stage and cross-region bytes, with waste apart.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use boragepass_wire::{WireStageCost, WireUsageReport};
use serde::Serialize;

/// Cost of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CostReport {
    /// Costs by workspace and stage.
    pub rows: Vec<WireStageCost>,
    /// VMs that did not answer; their costs are missing.
    pub silent: Vec<String>,
}

fn add(sum: &mut WireStageCost, cost: &WireStageCost) {
    sum.used += cost.used;
    sum.used_ms += cost.used_ms;
    sum.wasted += cost.wasted;
    sum.wasted_ms += cost.wasted_ms;
    sum.cross_region_bytes += cost.cross_region_bytes;
}

impl CostReport {
    /// Merges the parts of all VMs; a part counts once for each start of a process.
    pub fn new(reports: &[WireUsageReport], silent: &[String]) -> Self {
        let mut seen = BTreeSet::new();
        let mut rows = BTreeMap::new();
        for report in reports {
            if !seen.insert((report.vm.clone(), report.incarnation)) {
                continue;
            }
            for cost in &report.costs {
                let key = (cost.workspace.clone(), cost.stage.clone());
                match rows.entry(key) {
                    Entry::Vacant(vacant) => {
                        vacant.insert(cost.clone());
                    }
                    Entry::Occupied(mut sum) => add(sum.get_mut(), cost),
                }
            }
        }
        Self { rows: rows.into_values().collect(), silent: silent.to_vec() }
    }

    /// Report for people.
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
        if !self.silent.is_empty() {
            writeln!(text, "missing, because they did not answer: {}", self.silent.join(", ")).ok();
        }
        text
    }
}
