//! What clients and endpoints saw, and the promises that it is checked against.

use std::collections::BTreeMap;
use std::sync::Arc;

use boragepass_path::{EventId, PromptPart, Repeatability};
use boragepass_types::{EndpointId, PoolId, TimeMs};

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Answered whole, with the time to the first byte.
    Answered {
        /// Time from the request to the first byte.
        first_byte_ms: u64,
    },
    /// Refused with a promise that it has not run.
    Refused,
    /// Failed without such a promise.
    Failed,
    /// Broken off in the middle.
    Aborted,
}

/// Something that must not happen.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("{at_ms} ms, request {client_id}: {what}")]
pub struct Violation {
    /// When.
    pub at_ms: u64,
    /// Which request.
    pub client_id: Arc<str>,
    /// What.
    pub what: &'static str,
}

/// Counts of one kind of request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcomes {
    /// Requests whose outcome counts.
    pub requests: u32,
    /// Answered within the objective.
    pub in_time: u32,
    /// Answered later.
    pub late: u32,
    /// Refused.
    pub refused: u32,
    /// Failed, broken off or never answered.
    pub failed: u32,
}

#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) kind: usize,
    pub(super) prompt: Vec<PromptPart>,
    pub(super) asked_at: TimeMs,
    pub(super) repeatability: Repeatability,
    pub(super) endpoints_max: usize,
    pub(super) timeout_ms: u64,
    pub(super) runs: Vec<EndpointId>,
    pub(super) ending: Option<Ending>,
    pub(super) is_given_up: bool,
    pub(super) last_event: Option<EventId>,
    pub(super) first_byte_at: Option<TimeMs>,
    /// Whether the VM that took it was lost, so that nothing is owed.
    pub(super) is_excused: bool,
}

/// Work of the endpoints of one stage pool.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PoolWork {
    /// Calls.
    pub calls: u32,
    /// Pieces in them.
    pub pieces: u32,
    /// Stages of requests whose pieces were in them, summed over calls.
    pub request_stages: u32,
    /// Time that endpoints spent on them.
    pub busy_ms: u64,
}

/// What clients and endpoints saw.
#[derive(Debug, Default)]
pub struct Ledger {
    pub(super) entries: BTreeMap<Arc<str>, Entry>,
    violations: Vec<Violation>,
    /// Sends beyond the first of a request.
    pub repeated_runs: u32,
    /// Calls of pieces that endpoints made.
    pub calls: u32,
    /// Pieces in them.
    pub pieces: u32,
    /// The same by pool.
    pub pool_work: BTreeMap<PoolId, PoolWork>,
    /// Pieces that found no space.
    pub pieces_without_space: u32,
    /// Prompt tokens that endpoints read.
    pub prefilled_tokens: u64,
}

impl Ledger {
    pub(super) fn violate(&mut self, at: TimeMs, client_id: &Arc<str>, what: &'static str) {
        self.violations.push(Violation { at_ms: at.0, client_id: client_id.clone(), what });
    }

    /// What must not have happened.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// An endpoint begins to run a request.
    pub(super) fn on_run(&mut self, now: TimeMs, client_id: &Arc<str>, endpoint: &EndpointId) {
        let Some(entry) = self.entries.get_mut(client_id) else {
            self.violate(now, client_id, "an endpoint ran a request that no client sent");
            return;
        };
        if !entry.runs.is_empty() {
            self.repeated_runs += 1;
        }
        entry.runs.push(endpoint.clone());
        let mut endpoints = entry.runs.clone();
        endpoints.sort();
        endpoints.dedup();
        let is_once = matches!(entry.repeatability, Repeatability::Once | Repeatability::StreamOnce);
        let problem = if is_once && entry.runs.len() > 1 {
            Some("a request that may run once ran twice")
        } else if endpoints.len() > entry.endpoints_max {
            Some("more endpoints ran a request than its route allows")
        } else if entry.ending == Some(Ending::Refused) {
            Some("a refused request ran later")
        } else {
            None
        };
        if let Some(problem) = problem {
            self.violate(now, client_id, problem);
        }
    }

    /// A client gets an event of a stream.
    pub(super) fn on_event(&mut self, now: TimeMs, client_id: &Arc<str>, event: EventId) {
        let Some(entry) = self.entries.get_mut(client_id) else {
            return;
        };
        entry.first_byte_at.get_or_insert(now);
        let expected = entry.last_event.map_or(0, |last| last + 1);
        entry.last_event = Some(event);
        if event != expected {
            self.violate(now, client_id, "an event of a stream is missing or came twice");
        }
    }

    /// A client gets its final answer.
    pub(super) fn on_end(&mut self, now: TimeMs, client_id: &Arc<str>, ending: Ending) {
        let Some(entry) = self.entries.get_mut(client_id) else {
            return;
        };
        if entry.ending.is_some() {
            self.violate(now, client_id, "a client got two answers");
            return;
        }
        entry.ending = Some(ending);
        if ending == Ending::Refused && !entry.runs.is_empty() {
            self.violate(now, client_id, "a request was refused as not run, but an endpoint ran it");
        }
    }

    /// Requests that should have ended by `now` and did not.
    pub fn check_ended(&mut self, now: TimeMs, slack_ms: u64) {
        let is_open = |entry: &Entry| entry.ending.is_none() && !entry.is_given_up && !entry.is_excused;
        let is_overdue = |entry: &Entry| now.since(entry.asked_at).0 > entry.timeout_ms + slack_ms;
        let overdue: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_open(entry) && is_overdue(entry))
            .map(|(client_id, _)| client_id.clone())
            .collect();
        for client_id in overdue {
            self.violate(now, &client_id, "a client got no answer within its route's timeout");
        }
    }

    /// Outcomes of the requests of one kind that were asked within a span.
    pub fn outcomes(&self, kind: usize, objective_ms: u64, from: TimeMs, to: TimeMs) -> Outcomes {
        let mut outcomes = Outcomes::default();
        let counted = self.entries.values().filter(|entry| {
            entry.kind == kind && (from..to).contains(&entry.asked_at) && !entry.is_given_up && !entry.is_excused
        });
        for entry in counted {
            outcomes.requests += 1;
            match entry.ending {
                Some(Ending::Answered { first_byte_ms }) if first_byte_ms <= objective_ms => outcomes.in_time += 1,
                Some(Ending::Answered { .. }) => outcomes.late += 1,
                Some(Ending::Refused) => outcomes.refused += 1,
                Some(Ending::Failed | Ending::Aborted) | None => outcomes.failed += 1,
            }
        }
        outcomes
    }
}
