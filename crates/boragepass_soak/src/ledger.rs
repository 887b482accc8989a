//! Record of what clients and endpoints observed, and the guarantees that are checked on it.
//!
//! Most guarantees are checked as an event arrives. Those that an injected fault excuses are checked at the end of the
//! run, when all faults are known.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use boragepass_platform::names;

use crate::http_server::ReceivedRequest;
use crate::site::WORKSPACE;
use crate::statements::{SendingVm, SharedStatements};

/// Statuses that guarantee that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Kind of client request; its name is also the start of the request's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub(crate) enum RequestKind {
    /// Must not run more than once.
    #[display("deposit")]
    Deposit,
    /// Idempotent: may run again.
    #[display("status")]
    Status,
    /// Stream with stages, which another endpoint may resume.
    #[display("review")]
    Review,
    /// Attempt that takes up the stream of a review again.
    #[display("resumed review")]
    ResumedReview,
}

impl RequestKind {
    /// Path of its requests, unless they are on the route of one version of the configuration.
    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Deposit => "/deposits/d",
            Self::Status => "/status/s",
            Self::Review | Self::ResumedReview => "/reviews/r",
        }
    }
}

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Ending {
    /// Status 200 and a complete body.
    #[display("answered")]
    Answered,
    /// Any other status.
    #[display("status {_0}")]
    Status(u16),
    /// The connection failed before the answer was complete.
    #[display("broken: {_0}")]
    Broken(String),
    /// No complete answer within the client's timeout, which exceeds the timeout of each route.
    #[display("no answer")]
    Unanswered,
}

/// Observation that contradicts a guarantee.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("{at_ms} ms, {subject}: {description}")]
pub struct Violation {
    /// Milliseconds since the ledger was created.
    pub at_ms: u64,
    /// Client id of the request, or the VM, fleet or clients concerned.
    pub subject: String,
    /// What was observed.
    pub description: String,
}

#[derive(Debug)]
struct RequestRecord {
    kind: RequestKind,
    vm: usize,
    body: Vec<u8>,
    sent_at: Instant,
    /// Numbers and ids of the endpoints that ran it, in order; an endpoint that restarts gets another id.
    runs: Vec<(usize, String)>,
    end: Option<(Instant, Ending)>,
    /// Statements that replies to it carried.
    statements: Vec<SharedStatements>,
}

impl RequestRecord {
    fn run_endpoints(&self) -> String {
        let ids: Vec<&str> = self.runs.iter().map(|(_, id)| id.as_str()).collect();
        ids.join(", ")
    }
}

#[derive(Debug, Default)]
struct LedgerState {
    requests: HashMap<String, RequestRecord>,
    violations: Vec<Violation>,
    /// VM, start and end of each disturbance, and whether it may cut connections at any time, as a kill or a pause does
    /// and a request to stop does not.
    vm_disturbances: Vec<(usize, Instant, Instant, bool)>,
    /// Endpoint, start and end of each disturbance of an endpoint or its link.
    endpoint_disturbances: Vec<(usize, Instant, Instant)>,
}

/// Thread-safe record of a run.
#[derive(Debug)]
pub(crate) struct Ledger {
    started_at: Instant,
    state: Mutex<LedgerState>,
}

/// Result of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Summary {
    /// Number of requests by kind and ending.
    pub endings: BTreeMap<String, u32>,
    /// Violated guarantees, in the order of their detection.
    pub violations: Vec<Violation>,
}

impl Ledger {
    pub(crate) fn new() -> Self {
        Self { started_at: Instant::now(), state: Mutex::default() }
    }

    fn state(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn record_violation(&self, subject: impl ToString, description: impl ToString) {
        let at_ms = self.started_at.elapsed().as_millis() as u64;
        let violation = Violation { at_ms, subject: subject.to_string(), description: description.to_string() };
        self.state().violations.push(violation);
    }

    /// Records a request before its client sends it.
    pub(crate) fn on_request_sent(&self, client_id: &str, kind: RequestKind, vm: usize, body: &[u8]) {
        let record = RequestRecord {
            kind,
            vm,
            body: body.to_vec(),
            sent_at: Instant::now(),
            runs: Vec::new(),
            end: None,
            statements: Vec::new(),
        };
        self.state().requests.insert(client_id.to_owned(), record);
    }

    /// Records that an endpoint starts to run a request, and checks the request as the endpoint received it.
    pub(crate) fn on_run_started(
        &self,
        client_id: &str,
        endpoint_number: usize,
        endpoint_id: &str,
        request: &ReceivedRequest,
    ) {
        let violation = {
            let mut state = self.state();
            let Some(record) = state.requests.get_mut(client_id) else {
                drop(state);
                self.record_violation(client_id, "an endpoint ran a request that no client sent");
                return;
            };
            record.runs.push((endpoint_number, endpoint_id.to_owned()));
            let was_refused_as_not_run =
                matches!(&record.end, Some((_, Ending::Status(status))) if NOT_RUN_STATUSES.contains(status));
            if record.kind == RequestKind::Deposit && record.runs.len() > 1 {
                Some(format!("a request that must not run twice ran again, at endpoints {}", record.run_endpoints()))
            } else if record.kind == RequestKind::Deposit && was_refused_as_not_run {
                Some("a request ran after its client got a status that denies that it runs".to_owned())
            } else if record.body != request.body {
                Some("the request body at the endpoint differs from the client's".to_owned())
            } else if request.header(&names::WORKSPACE) != Some(WORKSPACE)
                || request.headers.contains_key("authorization")
            {
                Some("the endpoint received a wrong workspace or the client's API key".to_owned())
            } else if request.header(&names::DEADLINE_MS).is_none() {
                Some("the endpoint received no deadline".to_owned())
            } else {
                None
            }
        };
        if let Some(violation) = violation {
            self.record_violation(client_id, violation);
        }
    }

    /// VM to which a client sent a request, if the request is known.
    pub(crate) fn sending_vm(&self, client_id: &str) -> Option<SendingVm> {
        let state = self.state();
        let record = state.requests.get(client_id)?;
        let disturbances = state.vm_disturbances.iter().filter(|(vm, ..)| *vm == record.vm);
        let disturbed_until = disturbances.map(|(_, _, until, _)| *until + DISTURBANCE_AFTERMATH).max();
        Some(SendingVm { vm: record.vm, sent_at: record.sent_at, disturbed_until })
    }

    /// Records that the reply to a request carries statements.
    pub(crate) fn on_statements(&self, client_id: &str, statements: SharedStatements) {
        if let Some(record) = self.state().requests.get_mut(client_id) {
            record.statements.push(statements);
        }
    }

    /// Whether an endpoint or its link is disturbed.
    pub(crate) fn is_endpoint_disturbed(&self, endpoint_number: usize, now: Instant) -> bool {
        let state = self.state();
        state
            .endpoint_disturbances
            .iter()
            .any(|(number, from, to)| *number == endpoint_number && *from <= now && *to + DISTURBANCE_AFTERMATH >= now)
    }

    /// Checks that a stage call belongs to a request that a client sent.
    pub(crate) fn check_request_known(&self, client_id: &str) {
        let is_known = self.state().requests.contains_key(client_id);
        if !is_known {
            self.record_violation(client_id, "an endpoint computed a piece for a request that no client sent");
        }
    }

    /// Checks that there are input handles and that all of them belong to the request.
    pub(crate) fn check_input_handles<'a>(&self, client_id: &str, handles: impl Iterator<Item = &'a str>) {
        let handles: Vec<&str> = handles.collect();
        let is_own = |handle: &&str| handle.contains(&format!("/{client_id}."));
        if handles.is_empty() || !handles.iter().all(is_own) {
            self.record_violation(
                client_id,
                format!("input handles are missing or belong to another request: {}", handles.join(",")),
            );
        }
    }

    /// Forgets a request on the route of one version that its VM does not have: no endpoint may run it from now on.
    pub(crate) fn on_route_missing(&self, client_id: &str) {
        let record = self.state().requests.remove(client_id);
        if record.is_some_and(|record| !record.runs.is_empty()) {
            self.record_violation(client_id, "no route, but an endpoint ran it");
        }
    }

    /// Records how a request ended for its client, and checks it against the runs.
    pub(crate) fn on_request_ended(&self, client_id: &str, ending: Ending) {
        let violation = {
            let mut state = self.state();
            let Some(record) = state.requests.get_mut(client_id) else {
                return;
            };
            let is_not_run_status = matches!(ending, Ending::Status(status) if NOT_RUN_STATUSES.contains(&status));
            let violation = match &ending {
                Ending::Status(status @ (400 | 401 | 403 | 404 | 413 | 431)) => {
                    Some(format!("a valid request was answered with status {status}"))
                }
                _ if is_not_run_status && record.kind == RequestKind::Deposit && !record.runs.is_empty() => {
                    Some(format!(
                        "answered with a status that denies that it ran, but it ran at endpoints {}",
                        record.run_endpoints()
                    ))
                }
                Ending::Answered if record.runs.is_empty() => {
                    Some("answered, but no endpoint ran the request".to_owned())
                }
                _ => None,
            };
            let now = Instant::now();
            if ending == Ending::Answered {
                record.statements.iter().for_each(|statements| statements.get().on_reply_passed_on(now, record.vm));
            }
            record.end = Some((now, ending));
            violation
        };
        if let Some(violation) = violation {
            self.record_violation(client_id, violation);
        }
    }

    pub(crate) fn record_vm_disturbance(&self, vm: usize, span: Duration, is_abrupt: bool) {
        let now = Instant::now();
        self.state().vm_disturbances.push((vm, now, now + span, is_abrupt));
    }

    pub(crate) fn record_endpoint_disturbance(&self, endpoint_number: usize, span: Duration) {
        let now = Instant::now();
        self.state().endpoint_disturbances.push((endpoint_number, now, now + span));
    }

    /// Checks the guarantees that depend on all faults of the run, and that the fleet serves the requests that are sent
    /// after `recovery_deadline`.
    pub(crate) fn check_and_summarize(&self, recovery_deadline: Instant) -> Summary {
        let mut summary = Summary::default();
        let violations = {
            let state = self.state();
            let mut violations = Vec::new();
            let (mut sent, mut answered) = (0_u32, 0_u32);
            for (client_id, record) in &state.requests {
                let Some((ended_at, ending)) = &record.end else {
                    continue;
                };
                *summary.endings.entry(format!("{} {ending}", record.kind)).or_default() += 1;
                violations.extend(
                    state
                        .unexcused_violation(record, *ended_at, ending)
                        .map(|description| (client_id.clone(), description)),
                );
                if record.sent_at >= recovery_deadline {
                    sent += 1;
                    answered += u32::from(*ending == Ending::Answered);
                }
            }
            // 90% is far below what a fleet without faults serves and far above what one that does not recover serves.
            if sent == 0 || answered * 10 < sent * 9 {
                violations.push((
                    "fleet".to_owned(),
                    format!("only {answered} of {sent} requests were answered after the time for recovery"),
                ));
            }
            violations
        };
        for (subject, description) in violations {
            self.record_violation(subject, description);
        }
        summary.violations = self.state().violations.clone();
        summary
    }
}

/// Time after a disturbance in which its effects may still show: two connections in a row, each given up after 2 s.
const DISTURBANCE_AFTERMATH: Duration = Duration::from_millis(4_000);

impl LedgerState {
    /// Describes an ending that contradicts a guarantee and that no disturbance excuses.
    fn unexcused_violation(&self, record: &RequestRecord, ended_at: Instant, ending: &Ending) -> Option<String> {
        let overlaps = |from: Instant, to: Instant| from <= ended_at && to + DISTURBANCE_AFTERMATH >= record.sent_at;
        let is_abrupt = |(vm, from, to, is_abrupt): &(usize, Instant, Instant, bool)| {
            *vm == record.vm && *is_abrupt && overlaps(*from, *to)
        };
        let had_abrupt_vm_disturbance = self.vm_disturbances.iter().any(is_abrupt);
        let ran_at = |endpoint_number: &usize| record.runs.iter().any(|(run_number, _)| run_number == endpoint_number);
        let had_endpoint_disturbance = self
            .endpoint_disturbances
            .iter()
            .any(|(endpoint_number, from, to)| ran_at(endpoint_number) && overlaps(*from, *to));
        match ending {
            // A VM that was asked to stop may close a connection only before it reads a request or after its answer.
            Ending::Broken(error)
                if !record.runs.is_empty() && !had_abrupt_vm_disturbance && !had_endpoint_disturbance =>
            {
                Some(format!(
                    "answer broke off after an endpoint ran the request, while the VM was at most asked to stop: {error}"
                ))
            }
            Ending::Unanswered if !had_abrupt_vm_disturbance => {
                Some("no complete answer within the client's timeout".to_owned())
            }
            _ => None,
        }
    }
}
