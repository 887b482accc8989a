//! Answers of finished requests, for callers that send them again.

use std::collections::VecDeque;

use boragepass_types::{ContentDigest, Outcome, RequestId, SpanMs, TimeMs, WorkspaceId};

use crate::map::Map;

const BYTES_MAX: usize = 4 * 1_024 * 1_024;

struct Entry {
    digest: ContentDigest,
    outcome: Outcome,
    at: TimeMs,
}

/// Bounded store of answers.
#[derive(Default)]
pub(crate) struct FinishedRequests {
    entries: Map<(WorkspaceId, RequestId), Entry>,
    order: VecDeque<(WorkspaceId, RequestId)>,
    bytes: usize,
}

fn size_of(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Answered { output } => output.0.len(),
        _ => 0,
    }
}

impl FinishedRequests {
    /// Keeps an answer.
    pub(crate) fn insert(
        &mut self,
        now: TimeMs,
        key: (WorkspaceId, RequestId),
        digest: ContentDigest,
        outcome: Outcome,
        entries_max: usize,
    ) {
        self.bytes += size_of(&outcome);
        let replaced = self.entries.insert(key.clone(), Entry { digest, outcome, at: now });
        match replaced {
            Some(replaced) => self.bytes -= size_of(&replaced.outcome),
            None => self.order.push_back(key),
        }
        while self.order.len() > entries_max || self.bytes > BYTES_MAX {
            self.drop_oldest();
        }
    }

    /// Answer to the same content under the same id.
    pub(crate) fn find(&self, key: &(WorkspaceId, RequestId), digest: ContentDigest) -> Option<&Outcome> {
        self.entries.get(key).filter(|entry| entry.digest == digest).map(|entry| &entry.outcome)
    }

    /// Drops answers that are too old.
    pub(crate) fn drop_expired(&mut self, now: TimeMs, keep: SpanMs) {
        while let Some(oldest) = self.order.front() {
            if self.entries.get(oldest).is_some_and(|entry| now.since(entry.at) <= keep) {
                return;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.order.pop_front().and_then(|key| self.entries.remove(&key));
        self.bytes -= oldest.map_or(0, |entry| size_of(&entry.outcome));
    }
}
