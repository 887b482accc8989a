//! Service-level burn: how fast each workspace uses up the failures its objective allows.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use boragepass_core::BurnWindow;
use boragepass_types::Plan;
use boragepass_wire::{WirePlan, WireUsageReport};
use serde::Serialize;

const WHOLE_PERMILLE: f64 = 1_000.0;
/// Burn at which the objective's failures are used up before the longest window ends.
const FAST_BURN: f64 = 1.0;

/// Burn of one pipeline of a workspace.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnRow {
    /// Workspace.
    pub workspace: String,
    /// Pipeline.
    pub pipeline: String,
    /// Objective in thousandths, if the workspace still has a plan.
    pub objective_permille: Option<u16>,
    /// Requests that count, by window.
    pub total: BTreeMap<String, u64>,
    /// Of these, answered in full within the deadline.
    pub met: BTreeMap<String, u64>,
    /// Failures over failures that the objective allows; `None` without requests or plan.
    pub burn: BTreeMap<String, Option<f64>>,
}

/// Burn of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnReport {
    /// Rows by workspace and pipeline.
    pub rows: Vec<BurnRow>,
    /// VMs whose part is in the report.
    pub vms: Vec<String>,
    /// VMs that did not answer; their requests are missing.
    pub silent: Vec<String>,
    /// Shortest time that any VM's part covers.
    pub covers_ms: u64,
}

type Totals = BTreeMap<(String, String), [(u64, u64); 4]>;

impl BurnReport {
    /// Merges the parts of all VMs; a part counts once for each start of a process.
    pub fn new(reports: &[WireUsageReport], silent: &[String], plans: &[WirePlan]) -> Self {
        let mut seen = BTreeSet::new();
        let mut totals = Totals::new();
        let mut vms = BTreeSet::new();
        for report in reports {
            if !seen.insert((report.vm.clone(), report.incarnation)) {
                continue;
            }
            vms.insert(report.vm.clone());
            for level in &report.levels {
                let key = (level.workspace.clone(), level.pipeline.clone());
                let sums = totals.entry(key).or_default();
                for (sum, (total, met)) in sums.iter_mut().zip(level.windows) {
                    sum.0 += total;
                    sum.1 += met;
                }
            }
        }
        let objectives: BTreeMap<_, _> = plans
            .iter()
            .filter_map(|plan| Plan::try_from(plan.clone()).ok())
            .map(|plan| (plan.workspace.to_string(), plan.objective_permille.0))
            .collect();
        let rows = totals.into_iter().map(|((workspace, pipeline), sums)| {
            let objective_permille = objectives.get(&workspace).copied();
            row(workspace, pipeline, objective_permille, sums)
        });
        Self {
            rows: rows.collect(),
            vms: vms.into_iter().collect(),
            silent: silent.to_vec(),
            covers_ms: reports.iter().map(|report| report.covers_ms).min().unwrap_or(0),
        }
    }

    /// Report for people.
    pub fn text(&self) -> String {
        let mut text =
            String::from("workspace         pipeline          objective  window  requests  met       burn\n");
        for row in &self.rows {
            let objective = row.objective_permille.map_or_else(|| "none".to_owned(), percent);
            for window in BurnWindow::ALL {
                let name = window.to_string();
                let burn = row.burn.get(&name).copied().flatten();
                let shown = burn.map_or_else(|| "-".to_owned(), |burn| format!("{burn:.2}"));
                let mark = if burn.is_some_and(|burn| burn > FAST_BURN) { "  too fast" } else { "" };
                let (total, met) = (row.total.get(&name).unwrap_or(&0), row.met.get(&name).unwrap_or(&0));
                let (workspace, pipeline) = (&row.workspace, &row.pipeline);
                // Writing to a string cannot fail.
                writeln!(
                    text,
                    "{workspace:<17} {pipeline:<17} {objective:<10} {name:<7} {total:<9} {met:<9} {shown}{mark}"
                )
                .ok();
            }
        }
        writeln!(text, "from {} VMs; the youngest has counted for {} s", self.vms.len(), self.covers_ms / 1_000).ok();
        if !self.silent.is_empty() {
            writeln!(text, "missing, because they did not answer: {}", self.silent.join(", ")).ok();
        }
        text
    }
}

fn percent(permille: u16) -> String {
    format!("{}.{} %", permille / 10, permille % 10)
}

fn row(workspace: String, pipeline: String, objective_permille: Option<u16>, sums: [(u64, u64); 4]) -> BurnRow {
    let named = || BurnWindow::ALL.into_iter().map(|window| window.to_string()).zip(sums);
    let burn_of = |(total, met): (u64, u64)| {
        let allowed = (WHOLE_PERMILLE - f64::from(objective_permille?)) / WHOLE_PERMILLE;
        (total > 0).then(|| (total - met) as f64 / total as f64 / allowed)
    };
    BurnRow {
        total: named().map(|(name, (total, _))| (name, total)).collect(),
        met: named().map(|(name, (_, met))| (name, met)).collect(),
        burn: named().map(|(name, sum)| (name, burn_of(sum))).collect(),
        workspace,
        pipeline,
        objective_permille,
    }
}
