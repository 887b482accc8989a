//! Counts of the demo, made by its callers and fake endpoints. The field names are the keys of the JSON
//! output.

use boragepass_fakes::{CallerAnswer, LoopbackFleet};
use serde::Serialize;

/// Counts of one run.
#[derive(Debug, Default, Clone, Serialize)]
pub(crate) struct Tally {
    pub(crate) requests: u64,
    pub(crate) answered: u64,
    pub(crate) deadline_met: u64,
    pub(crate) not_run: u64,
    pub(crate) failed: u64,
    pub(crate) unknown: u64,
    /// Requests without an outcome from any address.
    pub(crate) lost: u64,
    /// Runs with an idempotency key beyond the one that each key allows.
    pub(crate) doubled: u64,
    /// Answers that differ from the expected answer to the request.
    pub(crate) misdelivered: u64,
    /// Largest number of runs for one idempotency key on one endpoint.
    pub(crate) plain_runs_max_per_key: u32,
    /// VMs that hold content in quarantine.
    pub(crate) quarantined_on_vms: u64,
    /// Crashes of endpoints.
    pub(crate) endpoints_lost: u64,
}

impl Tally {
    /// Counts the answer that a caller received.
    pub(crate) fn record_answer(&mut self, answer: &CallerAnswer, expected: &str, elapsed_ms: u64, deadline_ms: u64) {
        self.requests += 1;
        match answer.name() {
            "answered" => {
                self.answered += 1;
                self.deadline_met += u64::from(elapsed_ms <= deadline_ms);
                self.misdelivered += u64::from(answer.output() != Some(expected));
            }
            "not_run" => self.not_run += 1,
            "failed" => self.failed += 1,
            "unknown" => self.unknown += 1,
            _ => self.lost += 1,
        }
    }

    /// Adds the runs and crashes that the fake endpoints counted.
    pub(crate) fn record_endpoint_counts(&mut self, fleet: &LoopbackFleet) {
        for endpoint in &fleet.endpoints {
            let runs = endpoint.runs_by_key();
            self.doubled += runs.values().map(|count| u64::from(count.saturating_sub(1))).sum::<u64>();
            self.plain_runs_max_per_key = self.plain_runs_max_per_key.max(endpoint.runs_max_per_key());
            self.endpoints_lost += endpoint.crashes();
        }
        self.doubled += count_keys_on_several_endpoints(fleet);
    }

    /// Whether no request was lost, run twice or answered wrongly, and keyed stages did run.
    pub(crate) fn has_no_violation(&self) -> bool {
        self.lost == 0 && self.doubled == 0 && self.misdelivered == 0 && self.plain_runs_max_per_key == 1
    }
}

/// Counts, for each idempotency key, the endpoints beyond the first on which it ran.
fn count_keys_on_several_endpoints(fleet: &LoopbackFleet) -> u64 {
    let mut endpoints_by_key = std::collections::BTreeMap::<String, u64>::new();
    for endpoint in &fleet.endpoints {
        for key in endpoint.runs_by_key().into_keys() {
            *endpoints_by_key.entry(key).or_default() += 1;
        }
    }
    endpoints_by_key.values().map(|count| count - 1).sum()
}
