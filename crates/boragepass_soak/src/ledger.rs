//! What clients and endpoints saw, and the promises that it is checked against.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use boragepass_platform::names;

use crate::http_server::ReceivedRequest;
use crate::site::WORKSPACE;

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub(crate) enum Kind {
    /// May run once.
    #[display("deposit")]
    Deposit,
    /// May run again.
    #[display("status")]
    Status,
    /// Stream with stages, which another endpoint may go on with.
    #[display("review")]
    Review,
}

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Ending {
    /// Whole success.
    #[display("answered")]
    Answered,
    /// Another status.
    #[display("status {_0}")]
    Status(u16),
    /// No whole answer.
    #[display("broken: {_0}")]
    Broken(String),
    /// No answer for longer than any route allows.
    #[display("no answer")]
    Unanswered,
}

/// Something that must not happen.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("{at_ms} ms, {subject}: {description}")]
pub struct Violation {
    /// Milliseconds since the start.
    pub at_ms: u64,
    /// Request or VM.
    pub subject: String,
    /// What.
    pub description: String,
}

#[derive(Debug)]
struct Entry {
    kind: Kind,
    vm: usize,
    body: Vec<u8>,
    sent_at: Instant,
    /// Numbers and ids of the endpoints that ran it.
    runs: Vec<(usize, String)>,
    ended: Option<(Instant, Ending)>,
}

impl Entry {
    fn run_ids(&self) -> String {
        let ids: Vec<&str> = self.runs.iter().map(|(_, id)| id.as_str()).collect();
        ids.join(", ")
    }
}

#[derive(Debug, Default)]
struct Inner {
    entries: HashMap<String, Entry>,
    violations: Vec<Violation>,
    /// Times in which a VM was disturbed, and whether more than a request to stop did it.
    disturbed: Vec<(usize, Instant, Instant, bool)>,
    /// Times in which an endpoint or its link was disturbed.
    endpoints: Vec<(usize, Instant, Instant)>,
}

/// What clients and endpoints saw.
#[derive(Debug)]
pub(crate) struct Ledger {
    started_at: Instant,
    inner: Mutex<Inner>,
}

/// Counts of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Summary {
    /// Requests by kind and ending.
    pub endings: BTreeMap<String, u32>,
    /// What must not have happened.
    pub violations: Vec<Violation>,
}

impl Ledger {
    pub(crate) fn new() -> Self {
        Self { started_at: Instant::now(), inner: Mutex::default() }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn violate(&self, subject: impl ToString, description: impl ToString) {
        let at_ms = self.started_at.elapsed().as_millis() as u64;
        let violation = Violation { at_ms, subject: subject.to_string(), description: description.to_string() };
        self.inner().violations.push(violation);
    }

    /// A client sends a request.
    pub(crate) fn on_sent(&self, client_id: &str, kind: Kind, vm: usize, body: &[u8]) {
        let entry = Entry { kind, vm, body: body.to_vec(), sent_at: Instant::now(), runs: Vec::new(), ended: None };
        self.inner().entries.insert(client_id.to_owned(), entry);
    }

    /// An endpoint begins to run a request.
    pub(crate) fn on_run(&self, client_id: &str, number: usize, endpoint: &str, got: &ReceivedRequest) {
        let problem = {
            let mut inner = self.inner();
            let Some(entry) = inner.entries.get_mut(client_id) else {
                drop(inner);
                self.violate(client_id, "an endpoint runs a request that no client sent");
                return;
            };
            entry.runs.push((number, endpoint.to_owned()));
            let is_refused = matches!(&entry.ended, Some((_, Ending::Status(status))) if PROMISES.contains(status));
            if entry.kind == Kind::Deposit && entry.runs.len() > 1 {
                Some(format!("a request that may run once runs again: {}", entry.run_ids()))
            } else if entry.kind == Kind::Deposit && is_refused {
                Some("a refused request runs later".to_owned())
            } else if entry.body != got.body {
                Some("the body that an endpoint gets is not the client's".to_owned())
            } else if got.header(&names::WORKSPACE) != Some(WORKSPACE) || got.headers.contains_key("authorization") {
                Some("an endpoint gets another workspace or the key itself".to_owned())
            } else if got.header(&names::DEADLINE_MS).is_none() {
                Some("an endpoint gets no deadline".to_owned())
            } else {
                None
            }
        };
        if let Some(problem) = problem {
            self.violate(client_id, problem);
        }
    }

    /// A piece is made for a request.
    pub(crate) fn check_known(&self, client_id: &str) {
        let is_known = self.inner().entries.contains_key(client_id);
        if !is_known {
            self.violate(client_id, "an endpoint makes a piece that no client's request has");
        }
    }

    /// Inputs belong to the request that they are given to, and there are some.
    pub(crate) fn check_handles<'a>(&self, client_id: &str, handles: impl Iterator<Item = &'a str>) {
        let handles: Vec<&str> = handles.collect();
        let is_own = |handle: &&str| handle.contains(&format!("/{client_id}."));
        if handles.is_empty() || !handles.iter().all(is_own) {
            self.violate(client_id, format!("inputs are missing or of another request: {}", handles.join(",")));
        }
    }

    /// A client's request ends.
    pub(crate) fn on_end(&self, client_id: &str, ending: Ending) {
        let problem = {
            let mut inner = self.inner();
            let Some(entry) = inner.entries.get_mut(client_id) else {
                return;
            };
            let is_promise = matches!(ending, Ending::Status(status) if PROMISES.contains(&status));
            let problem = match &ending {
                Ending::Status(status @ (400 | 401 | 403 | 404 | 413 | 431)) => {
                    Some(format!("a proper request is answered {status}"))
                }
                _ if is_promise && entry.kind == Kind::Deposit && !entry.runs.is_empty() => {
                    Some(format!("refused as not run, but it ran at {}", entry.run_ids()))
                }
                Ending::Answered if entry.runs.is_empty() => Some("answered, but no endpoint ran it".to_owned()),
                _ => None,
            };
            entry.ended = Some((Instant::now(), ending));
            problem
        };
        if let Some(problem) = problem {
            self.violate(client_id, problem);
        }
    }

    pub(crate) fn disturb_vm(&self, vm: usize, span: Duration, is_hard: bool) {
        let now = Instant::now();
        self.inner().disturbed.push((vm, now, now + span, is_hard));
    }

    pub(crate) fn disturb_endpoint(&self, number: usize, span: Duration) {
        let now = Instant::now();
        self.inner().endpoints.push((number, now, now + span));
    }

    /// Checks what is only known at the end.
    pub(crate) fn finish(&self, calm_from: Instant) -> Summary {
        let mut summary = Summary::default();
        let found = {
            let inner = self.inner();
            let mut found = Vec::new();
            let (mut calm, mut calm_answered) = (0_u32, 0_u32);
            for (client_id, entry) in &inner.entries {
                let Some((ended_at, ending)) = &entry.ended else {
                    continue;
                };
                *summary.endings.entry(format!("{} {ending}", entry.kind)).or_default() += 1;
                found.extend(inner.unexcused(entry, *ended_at, ending).map(|what| (client_id.clone(), what)));
                if entry.sent_at >= calm_from {
                    calm += 1;
                    calm_answered += u32::from(*ending == Ending::Answered);
                }
            }
            // Nine in ten is far below what a calm fleet serves and far above one that does not recover.
            if calm == 0 || calm_answered * 10 < calm * 9 {
                found.push(("fleet".to_owned(), format!("{calm_answered} of {calm} answered after the last fault")));
            }
            found
        };
        for (subject, what) in found {
            self.violate(subject, what);
        }
        summary.violations = self.inner().violations.clone();
        summary
    }
}

/// Time after a disturbance in which its effects may still show: connections are given up after 2 s, twice.
const AFTERMATH: Duration = Duration::from_millis(4_000);

impl Inner {
    /// What is wrong about an ending that no disturbance excuses.
    fn unexcused(&self, entry: &Entry, ended_at: Instant, ending: &Ending) -> Option<String> {
        let overlaps = |from: Instant, to: Instant| from <= ended_at && to + AFTERMATH >= entry.sent_at;
        let is_hard = |(vm, from, to, is_hard): &(usize, Instant, Instant, bool)| {
            *vm == entry.vm && *is_hard && overlaps(*from, *to)
        };
        let is_vm_hard = self.disturbed.iter().any(is_hard);
        let ran_at = |number: &usize| entry.runs.iter().any(|(run, _)| run == number);
        let is_run_disturbed = self.endpoints.iter().any(|(number, from, to)| ran_at(number) && overlaps(*from, *to));
        match ending {
            // A stopping VM may close a connection only before it reads a request, or after its answer.
            Ending::Broken(how) if !entry.runs.is_empty() && !is_vm_hard && !is_run_disturbed => {
                Some(format!("cut off after it was passed on, by a VM that was at most asked to stop: {how}"))
            }
            Ending::Unanswered if !is_vm_hard => Some("no answer for longer than its route allows".to_owned()),
            _ => None,
        }
    }
}
