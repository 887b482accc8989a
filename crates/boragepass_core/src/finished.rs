//! Answers of finished requests, so that a resent request gets the same answer without running again.

use std::collections::VecDeque;

use boragepass_types::{ContentDigest, Outcome, RequestId, SpanMs, TimeMs, WorkspaceId};

use crate::map::Map;

const OUTPUT_BYTES_MAX: usize = 4 * 1_024 * 1_024;

struct FinishedRequest {
    digest: ContentDigest,
    outcome: Outcome,
    finished_at: TimeMs,
}

/// Answers of finished requests, limited in number, bytes and age.
#[derive(Default)]
pub(crate) struct FinishedRequests {
    entries: Map<(WorkspaceId, RequestId), FinishedRequest>,
    insertion_order: VecDeque<(WorkspaceId, RequestId)>,
    output_bytes: usize,
}

fn output_size(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Answered { output } => output.0.len(),
        _ => 0,
    }
}

impl FinishedRequests {
    /// Stores an answer and drops the oldest ones while a limit is exceeded.
    pub(crate) fn insert(
        &mut self,
        now: TimeMs,
        key: (WorkspaceId, RequestId),
        digest: ContentDigest,
        outcome: Outcome,
        entries_max: usize,
    ) {
        self.output_bytes += output_size(&outcome);
        let replaced = self.entries.insert(key.clone(), FinishedRequest { digest, outcome, finished_at: now });
        match replaced {
            Some(replaced) => self.output_bytes -= output_size(&replaced.outcome),
            None => self.insertion_order.push_back(key),
        }
        while self.insertion_order.len() > entries_max || self.output_bytes > OUTPUT_BYTES_MAX {
            self.drop_oldest();
        }
    }

    /// Answer to a request with the same id and the same content.
    pub(crate) fn find(&self, key: &(WorkspaceId, RequestId), digest: ContentDigest) -> Option<&Outcome> {
        self.entries.get(key).filter(|entry| entry.digest == digest).map(|entry| &entry.outcome)
    }

    /// Drops answers older than `age_max`.
    pub(crate) fn drop_expired(&mut self, now: TimeMs, age_max: SpanMs) {
        while let Some(oldest) = self.insertion_order.front() {
            if self.entries.get(oldest).is_some_and(|entry| now.since(entry.finished_at) <= age_max) {
                return;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.insertion_order.pop_front().and_then(|key| self.entries.remove(&key));
        self.output_bytes -= oldest.map_or(0, |entry| output_size(&entry.outcome));
    }
}
