//! Burn rates: how fast each workspace uses up its error budget, which is the failures that its objective allows.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use boragepass_core::BurnWindow;
use boragepass_types::Plan;
use boragepass_wire::{WirePlan, WireUsageReport};
use serde::Serialize;

const PERMILLE: f64 = 1_000.0;
/// Above this burn rate, the error budget is used up before the longest window ends.
const BURN_RATE_MAX: f64 = 1.0;

/// Burn rates of one pipeline of a workspace.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnRow {
    /// Workspace.
    pub workspace: String,
    /// Pipeline.
    pub pipeline: String,
    /// Objective in thousandths, if the workspace still has a plan.
    pub objective_permille: Option<u16>,
    /// Requests that count against the objective, by window.
    pub total: BTreeMap<String, u64>,
    /// Requests of `total` that were answered in full within the deadline, by window.
    pub met: BTreeMap<String, u64>,
    /// Burn rate by window: failures over the failures that the objective allows; `None` without requests or plan.
    pub burn: BTreeMap<String, Option<f64>>,
}

/// Burn rates of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnReport {
    /// Rows by workspace and pipeline.
    pub rows: Vec<BurnRow>,
    /// VMs whose counts are in the report.
    pub vms: Vec<String>,
    /// VMs that did not answer; their requests are missing.
    #[serde(rename = "silent")]
    pub silent_vms: Vec<String>,
    /// Shortest time that the counts of any VM cover.
    pub covers_ms: u64,
}

/// Total and met requests of each window, by workspace and pipeline.
type Totals = BTreeMap<(String, String), [(u64, u64); 4]>;

impl BurnReport {
    /// Merges the reports of all VMs. Reports with the same VM and incarnation are of one process and count once.
    pub fn new(reports: &[WireUsageReport], silent_vms: &[String], plans: &[WirePlan]) -> Self {
        let mut counted_processes = BTreeSet::new();
        let mut totals = Totals::new();
        let mut vms = BTreeSet::new();
        for report in reports {
            if !counted_processes.insert((report.vm.clone(), report.incarnation)) {
                continue;
            }
            vms.insert(report.vm.clone());
            for level in &report.levels {
                let workspace_and_pipeline = (level.workspace.clone(), level.pipeline.clone());
                let sums = totals.entry(workspace_and_pipeline).or_default();
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
            build_row(workspace, pipeline, objective_permille, sums)
        });
        Self {
            rows: rows.collect(),
            vms: vms.into_iter().collect(),
            silent_vms: silent_vms.to_vec(),
            covers_ms: reports.iter().map(|report| report.covers_ms).min().unwrap_or(0),
        }
    }

    /// Formats the report for people.
    pub fn text(&self) -> String {
        let mut text =
            String::from("workspace         pipeline          objective  window  requests  met       burn\n");
        for row in &self.rows {
            let objective = row.objective_permille.map_or_else(|| "none".to_owned(), format_percent);
            for window in BurnWindow::ALL {
                let name = window.to_string();
                let burn = row.burn.get(&name).copied().flatten();
                let burn_text = burn.map_or_else(|| "-".to_owned(), |burn| format!("{burn:.2}"));
                let warning = if burn.is_some_and(|burn| burn > BURN_RATE_MAX) { "  too fast" } else { "" };
                let (total, met) = (row.total.get(&name).unwrap_or(&0), row.met.get(&name).unwrap_or(&0));
                let (workspace, pipeline) = (&row.workspace, &row.pipeline);
                // Writing to a string cannot fail.
                writeln!(
                    text,
                    "{workspace:<17} {pipeline:<17} {objective:<10} {name:<7} {total:<9} {met:<9} {burn_text}{warning}"
                )
                .ok();
            }
        }
        writeln!(text, "from {} VMs; the youngest has counted for {} s", self.vms.len(), self.covers_ms / 1_000).ok();
        if !self.silent_vms.is_empty() {
            writeln!(text, "missing, because they did not answer: {}", self.silent_vms.join(", ")).ok();
        }
        text
    }
}

fn format_percent(permille: u16) -> String {
    format!("{}.{} %", permille / 10, permille % 10)
}

fn build_row(workspace: String, pipeline: String, objective_permille: Option<u16>, sums: [(u64, u64); 4]) -> BurnRow {
    let windows_with_sums = || BurnWindow::ALL.into_iter().map(|window| window.to_string()).zip(sums);
    let burn_rate = |(total, met): (u64, u64)| {
        let allowed_share = (PERMILLE - f64::from(objective_permille?)) / PERMILLE;
        (total > 0).then(|| (total - met) as f64 / total as f64 / allowed_share)
    };
    BurnRow {
        total: windows_with_sums().map(|(name, (total, _))| (name, total)).collect(),
        met: windows_with_sums().map(|(name, (_, met))| (name, met)).collect(),
        burn: windows_with_sums().map(|(name, sum)| (name, burn_rate(sum))).collect(),
        workspace,
        pipeline,
        objective_permille,
    }
}
