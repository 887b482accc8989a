//! Ledger of what clients and endpoints observed, with checks of the guarantees of the request path.
//!
//! It knows no decision of the VMs, so that it can serve as an oracle in tests.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::added_routes::AddedRoutes;
use super::evacuations::EvacuationRecord;
use super::homes::HomeRecords;
use super::partitions::{FirstTry, Partitions, are_served_worse};
use boragepass_path::{EventId, PromptPart, Repeatability};
use boragepass_types::{EndpointId, Hash64, PoolId, SoftwareVersion, SpanMs, TimeMs};

/// End of a request as its client observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Answered in full.
    Answered {
        /// Time from the request to the first byte.
        first_byte_ms: u64,
    },
    /// Refused with the guarantee that it has not run.
    Refused,
    /// Failed without that guarantee.
    Failed,
    /// Aborted in the middle of the answer.
    Aborted,
}

/// Violation of a guarantee of the request path.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("{at_ms} ms, request {client_id}: {description}")]
pub struct Violation {
    /// Time on the fleet's clock.
    pub at_ms: u64,
    /// Request that is affected.
    pub client_id: Arc<str>,
    /// What happened.
    pub description: &'static str,
}

/// Numbers of requests of one kind by their outcome.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcomes {
    /// All requests, without those that clients abandoned and those that are excused.
    pub requests: u32,
    /// Answered within the objective.
    pub in_time: u32,
    /// Answered after the objective.
    pub late: u32,
    /// Refused.
    pub refused: u32,
    /// Failed, aborted or never answered.
    pub failed: u32,
}

/// Stream request that was answered, refused or failed.
#[derive(Debug, Clone, PartialEq)]
pub struct StreamAnswer {
    /// Index into the kinds of the deployment.
    pub kind: usize,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Endpoint of its last run.
    pub endpoint: Option<EndpointId>,
    /// Time to the first byte if it was answered.
    pub first_byte_ms: Option<u64>,
}

/// Request and what its client and endpoints observed of it.
#[derive(Debug, Clone)]
pub(super) struct RequestRecord {
    /// Index into the kinds of the deployment.
    pub(super) kind: usize,
    /// VM that the client sent it to.
    pub(super) vm: usize,
    pub(super) prompt: Vec<PromptPart>,
    pub(super) submitted_at: TimeMs,
    pub(super) repeatability: Repeatability,
    pub(super) endpoints_max: usize,
    pub(super) timeout_ms: u64,
    /// Endpoint of each run, in the order of their starts.
    pub(super) run_endpoints: Vec<EndpointId>,
    pub(super) ending: Option<Ending>,
    /// Whether the client left before the answer.
    pub(super) is_abandoned: bool,
    pub(super) last_event_id: Option<EventId>,
    /// Attempt that brought the first event, if this one takes up its stream.
    pub(super) stream: Option<Arc<str>>,
    /// Software version of the engine that made the stream's first event.
    pub(super) stream_version: Option<SoftwareVersion>,
    pub(super) first_byte_at: Option<TimeMs>,
    /// Whether the VM that received it was down, killed or paused, so that a missing answer is no violation.
    pub(super) is_excused: bool,
}

/// Work that the endpoints of one stage pool did.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PoolWork {
    /// Calls that were run.
    pub calls: u32,
    /// Pieces in them.
    pub pieces: u32,
    /// Different request stages in a call, summed over calls.
    pub request_stages: u32,
    /// Time that endpoints spent on calls.
    pub busy_ms: u64,
}

/// Crashes of engines that a harmful prompt part is known by, before sends of it count.
const HARMFUL_CRASHES: usize = 5;
/// Time after those crashes in which the VMs in touch learn of them.
const CONTACT_MS: u64 = 4_000;
/// Later arrivals of requests with the part at engines that are allowed.
const LATE_HARMFUL_ARRIVALS_MAX: u32 = 3;

/// Falls of a pool's brittle endpoints that are allowed, beside [`FALLS_SHARE`] for each of them.
const FALLS_BASE: f64 = 2.0;
const FALLS_SHARE: f64 = 0.1;

/// What a harmful prompt part has done.
#[derive(Debug, Default)]
pub(super) struct HarmfulPartRecord {
    /// Times at which it crashed an engine.
    pub(super) crashed_at: Vec<TimeMs>,
    /// Arrivals at engines after the part was known.
    late_arrivals: u32,
}

/// Observations of clients and endpoints, and the violations found in them.
#[derive(Debug, Default)]
pub struct Ledger {
    pub(super) requests: BTreeMap<Arc<str>, RequestRecord>,
    pub(super) harmful_parts: BTreeMap<Hash64, HarmfulPartRecord>,
    pub(super) partitions: Partitions,
    pub(super) added_routes: AddedRoutes,
    pub(super) homes: HomeRecords,
    /// Brittle endpoints and how often they fell over, by pool.
    pub(super) falls: BTreeMap<PoolId, (u32, u32)>,
    /// Evacuated failure domains and what reached their endpoints.
    pub evacuations: EvacuationRecord,
    violations: Vec<Violation>,
    /// Attempts that take up a stream again.
    pub resumed_streams: u32,
    /// Those of them that brought an event.
    pub continued_streams: u32,
    /// Runs of requests beyond the first of each.
    pub repeated_runs: u32,
    /// Calls that stage endpoints ran.
    pub calls: u32,
    /// Pieces in them.
    pub pieces: u32,
    /// Work by stage pool.
    pub pool_work: BTreeMap<PoolId, PoolWork>,
    /// Pieces that were not computed because their result did not fit.
    pub pieces_without_space: u32,
    /// Prompt tokens that model engines prefilled.
    pub prefilled_tokens: u64,
}

impl Ledger {
    pub(super) fn record_violation(&mut self, at: TimeMs, client_id: &Arc<str>, description: &'static str) {
        self.violations.push(Violation { at_ms: at.0, client_id: client_id.clone(), description });
    }

    /// Violations in the order in which they were found.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Records the start of a run and checks that the endpoint may run the request.
    pub(super) fn on_run(&mut self, now: TimeMs, client_id: &Arc<str>, endpoint: &EndpointId) {
        let Some(record) = self.requests.get_mut(client_id) else {
            self.record_violation(now, client_id, "an endpoint ran a request that no client sent");
            return;
        };
        if !record.run_endpoints.is_empty() {
            self.repeated_runs += 1;
        }
        record.run_endpoints.push(endpoint.clone());
        let mut distinct_endpoints = record.run_endpoints.clone();
        distinct_endpoints.sort();
        distinct_endpoints.dedup();
        let runs_at_most_once = matches!(record.repeatability, Repeatability::Once | Repeatability::StreamOnce);
        let violation = if runs_at_most_once && record.run_endpoints.len() > 1 {
            Some("a request that may run once ran twice")
        } else if distinct_endpoints.len() > record.endpoints_max {
            Some("more endpoints ran a request than its route allows")
        } else if record.ending == Some(Ending::Refused) {
            Some("a refused request ran later")
        } else {
            None
        };
        if let Some(violation) = violation {
            self.record_violation(now, client_id, violation);
        }
    }

    /// Records that a request with a harmful prompt part reached an engine, and checks that the part was not known yet.
    pub(super) fn on_harmful_arrival(&mut self, now: TimeMs, part: Hash64, client_id: &Arc<str>) {
        let Some(record) = self.harmful_parts.get_mut(&part) else {
            return;
        };
        let known_at = record.crashed_at.get(HARMFUL_CRASHES - 1).map(|at| *at + SpanMs(CONTACT_MS));
        if known_at.is_none_or(|at| now <= at) {
            return;
        }
        record.late_arrivals += 1;
        if record.late_arrivals > LATE_HARMFUL_ARRIVALS_MAX {
            self.record_violation(now, client_id, "a prompt part that crashes engines was sent to engines again");
        }
    }

    /// Records that one more endpoint of a pool is brittle.
    pub(super) fn on_brittleness(&mut self, pool: &PoolId) {
        self.falls.entry(pool.clone()).or_default().0 += 1;
    }

    /// Records that a brittle endpoint fell over, and checks how often its pool has done so.
    pub(super) fn on_fall(&mut self, now: TimeMs, pool: &PoolId) {
        let (endpoints, falls) = self.falls.entry(pool.clone()).or_default();
        *falls += 1;
        if f64::from(*falls) > FALLS_BASE + FALLS_SHARE * f64::from(*endpoints) {
            self.record_violation(now, &pool.as_str().into(), "brittle endpoints of a pool fell over too often");
        }
    }

    /// Attempt that brought the first event of a request's stream.
    pub(super) fn stream_of(&self, client_id: &Arc<str>) -> Arc<str> {
        let stream = self.requests.get(client_id).and_then(|record| record.stream.clone());
        stream.unwrap_or_else(|| client_id.clone())
    }

    /// Whether a client can take up a stream: it may be resumed and its first event has come.
    pub(super) fn is_resumable(&self, stream: &Arc<str>) -> bool {
        self.requests.get(stream).is_some_and(|record| {
            record.repeatability == Repeatability::ResumableStream
                && record.last_event_id.is_some()
                && !record.is_abandoned
        })
    }

    /// Records that an attempt takes up a stream; outcomes do not count it.
    pub(super) fn on_resumption(&mut self, stream: &Arc<str>, client_id: &Arc<str>) {
        if let Some(record) = self.requests.get_mut(client_id) {
            record.stream = Some(stream.clone());
            self.resumed_streams += 1;
        }
    }

    /// Records an event that a client received from an engine of some software version. Checks that the stream has no
    /// gap and no repetition over all attempts, and that it comes from one version.
    pub(super) fn on_event(
        &mut self,
        now: TimeMs,
        client_id: &Arc<str>,
        event: EventId,
        version: Option<SoftwareVersion>,
    ) {
        let stream = self.stream_of(client_id);
        if let Some(record) = self.requests.get_mut(client_id) {
            if record.first_byte_at.is_none() && stream != *client_id {
                self.continued_streams += 1;
            }
            record.first_byte_at.get_or_insert(now);
        }
        let Some(record) = self.requests.get_mut(&stream) else {
            return;
        };
        let expected = record.last_event_id.map_or(0, |last| last + 1);
        record.last_event_id = Some(event);
        if event == 0 {
            record.stream_version = version.clone();
        }
        let has_changed_version = record.stream_version != version;
        if event != expected {
            self.record_violation(now, client_id, "an event of a stream is missing or came twice");
        }
        if has_changed_version {
            self.record_violation(now, client_id, "a stream goes on at another software version");
        }
    }

    /// Records the end of a request and checks that it is the only one.
    pub(super) fn on_end(&mut self, now: TimeMs, client_id: &Arc<str>, ending: Ending) {
        let Some(record) = self.requests.get_mut(client_id) else {
            return;
        };
        if record.ending.is_some() {
            self.record_violation(now, client_id, "a client got two answers");
            return;
        }
        record.ending = Some(ending);
        if ending == Ending::Refused && !record.run_endpoints.is_empty() {
            self.record_violation(now, client_id, "a request was refused as not run, but an endpoint ran it");
        }
    }

    /// Reports each request whose route timeout is over by more than `slack_ms` and that has not ended.
    pub fn check_ended(&mut self, now: TimeMs, slack_ms: u64) {
        let is_open = |record: &RequestRecord| record.ending.is_none() && !record.is_abandoned && !record.is_excused;
        let is_overdue = |record: &RequestRecord| now.since(record.submitted_at).0 > record.timeout_ms + slack_ms;
        let overdue: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, record)| is_open(record) && is_overdue(record))
            .map(|(client_id, _)| client_id.clone())
            .collect();
        for client_id in overdue {
            self.record_violation(now, &client_id, "a client got no answer within its route's timeout");
        }
    }

    /// Served and all first tries at VMs that were partitioned from all endpoints, and at the others meanwhile.
    pub fn partition_tallies(&self) -> [(u32, u32); 2] {
        let counted = self
            .requests
            .values()
            .filter(|record| !record.is_abandoned && !record.is_excused && record.stream.is_none());
        self.partitions.tallies(counted.map(|record| FirstTry {
            vm: record.vm,
            submitted_at: record.submitted_at,
            is_served: matches!(record.ending, Some(Ending::Answered { .. })),
        }))
    }

    /// Checks that clients of partitioned VMs were not served far worse than the others, once all requests have ended.
    pub fn check_partitions(&mut self, now: TimeMs) {
        if are_served_worse(self.partition_tallies()) {
            self.record_violation(
                now,
                &"all".into(),
                "clients of partitioned VMs were served far worse than the others",
            );
        }
    }

    /// Requests with a prompt that were submitted within a span.
    pub fn stream_answers(&self, from: TimeMs, to: TimeMs) -> Vec<StreamAnswer> {
        let counted = self.requests.values().filter(|record| {
            (from..to).contains(&record.submitted_at) && !record.is_excused && !record.prompt.is_empty()
        });
        let answer = |record: &RequestRecord| StreamAnswer {
            kind: record.kind,
            prompt_tokens: record.prompt.iter().map(|part| part.tokens).sum(),
            endpoint: record.run_endpoints.last().cloned(),
            first_byte_ms: match record.ending {
                Some(Ending::Answered { first_byte_ms }) => Some(first_byte_ms),
                Some(Ending::Refused | Ending::Failed | Ending::Aborted) | None => None,
            },
        };
        counted.map(answer).collect()
    }

    /// Outcomes of the requests of one kind that were submitted within a span.
    pub fn outcomes(&self, kind: usize, objective_ms: u64, from: TimeMs, to: TimeMs) -> Outcomes {
        let mut outcomes = Outcomes::default();
        let counted = self.requests.values().filter(|record| {
            record.kind == kind
                && (from..to).contains(&record.submitted_at)
                && !record.is_abandoned
                && !record.is_excused
                && record.stream.is_none()
        });
        for record in counted {
            outcomes.requests += 1;
            match record.ending {
                Some(Ending::Answered { first_byte_ms }) if first_byte_ms <= objective_ms => outcomes.in_time += 1,
                Some(Ending::Answered { .. }) => outcomes.late += 1,
                Some(Ending::Refused) => outcomes.refused += 1,
                Some(Ending::Failed | Ending::Aborted) | None => outcomes.failed += 1,
            }
        }
        outcomes
    }
}
