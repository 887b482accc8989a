//! What the demo's callers and stand-ins counted.

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
    /// Requests without any outcome, after asking the next address.
    pub(crate) lost: u64,
    /// Runs of calls that may not be repeated, beyond one for each key.
    pub(crate) doubled: u64,
    /// Answers that are not the one to the request.
    pub(crate) misdelivered: u64,
    pub(crate) plain_runs_max_per_key: u32,
    pub(crate) quarantined_on_vms: u64,
    pub(crate) endpoints_lost: u64,
}

impl Tally {
    /// Counts what a caller got.
    pub(crate) fn note(&mut self, answer: &CallerAnswer, expected: &str, took_ms: u64, deadline_ms: u64) {
        self.requests += 1;
        match answer.name() {
            "answered" => {
                self.answered += 1;
                self.deadline_met += u64::from(took_ms <= deadline_ms);
                self.misdelivered += u64::from(answer.output() != Some(expected));
            }
            "not_run" => self.not_run += 1,
            "failed" => self.failed += 1,
            "unknown" => self.unknown += 1,
            _ => self.lost += 1,
        }
    }

    /// Counts what the stand-ins saw.
    pub(crate) fn note_world(&mut self, world: &LoopbackFleet) {
        for endpoint in &world.endpoints {
            let runs = endpoint.runs_by_key();
            self.doubled += runs.values().map(|count| u64::from(count.saturating_sub(1))).sum::<u64>();
            self.plain_runs_max_per_key = self.plain_runs_max_per_key.max(endpoint.runs_max_per_key());
            self.endpoints_lost += endpoint.crashes();
        }
        self.doubled += doubled_across(world);
    }

    /// Whether nothing went wrong that must never go wrong.
    pub(crate) fn is_sound(&self) -> bool {
        self.lost == 0 && self.doubled == 0 && self.misdelivered == 0 && self.plain_runs_max_per_key == 1
    }
}

/// Keys that ran on more than one endpoint.
fn doubled_across(world: &LoopbackFleet) -> u64 {
    let mut endpoints_by_key = std::collections::BTreeMap::<String, u64>::new();
    for endpoint in &world.endpoints {
        for key in endpoint.runs_by_key().into_keys() {
            *endpoints_by_key.entry(key).or_default() += 1;
        }
    }
    endpoints_by_key.values().map(|count| count - 1).sum()
}
