//! Decisions taken for each request, kept in bounded memory and shown to operators by `explain`.

use std::collections::VecDeque;

use boragepass_types::{
    AttemptId, EndpointId, ListVersion, NotRunReason, OutcomeKind, RequestId, SpanMs, StageId, TimeMs, VmId,
    WorkspaceId,
};
use derive_more::Display;

use crate::map::Map;

const DECISIONS_PER_REQUEST_MAX: usize = 64;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub(crate) enum AttemptEnd {
    /// Its result was used.
    #[display("result used")]
    Used,
    /// Canceled because another attempt was faster.
    #[display("canceled, another was faster")]
    Superseded,
    /// The endpoint was busy and did not start it.
    #[display("endpoint busy")]
    Busy,
    /// The connection was refused before a byte was sent.
    #[display("connection refused before a byte left")]
    NotSent,
    /// It expired before a byte was sent.
    #[display("expired before a byte left")]
    Expired,
    /// The connection failed after a byte was sent.
    #[display("connection lost")]
    Lost,
    /// The reply named another attempt.
    #[display("foreign reply")]
    Foreign,
    /// Tokens of the stream were missing.
    #[display("stream with a gap")]
    Gap,
    /// The stream stalled.
    #[display("stalled")]
    Stalled,
    /// The endpoint refused the input.
    #[display("input rejected")]
    Rejected,
    /// The request ended.
    #[display("request ended")]
    Abandoned,
}

/// Endpoint that was compared for an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{endpoint} {expected_ms}")]
pub(crate) struct Candidate {
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
    /// Time that the stage was expected to take there.
    pub(crate) expected_ms: SpanMs,
}

/// Why an attempt was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub(crate) enum AttemptReason {
    /// First try of the stage.
    #[display("first try")]
    First,
    /// An earlier attempt failed.
    #[display("retry")]
    Retry,
    /// An earlier attempt is slow.
    #[display("hedge")]
    Hedge,
    /// A stream continues where an earlier attempt left off.
    #[display("resume")]
    Resume,
}

/// Step of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub(crate) enum ClaimStep {
    /// The write was sent.
    #[display("claim sent")]
    Sent,
    /// The claim is held.
    #[display("claim held")]
    Held,
    /// Another request holds the key.
    #[display("claim held by another request")]
    HeldByOther,
    /// The reply to the write was lost; the row is read to learn its result.
    #[display("claim reply lost, reading back")]
    ReadBack,
    /// A tombstone is written, so that a delayed write fails.
    #[display("claim given up with a tombstone")]
    Tombstone,
}

/// One decision.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum Decision {
    /// The request was admitted.
    #[display("admitted under lists {lists}: predicted {predicted} of {left}")]
    Admitted {
        /// Predicted time of all stages.
        predicted: SpanMs,
        /// Time until the deadline.
        left: SpanMs,
        /// Version of the lists.
        lists: ListVersion,
    },
    /// The request was refused.
    #[display("refused: {_0}")]
    Refused(NotRunReason),
    /// A resend joined the request.
    #[display("a resend joined")]
    Joined,
    /// The request continues from the progress of another VM.
    #[display("taken up from {from} at stage {stage}")]
    ResumedFromPeer {
        /// VM that ran the request before.
        from: VmId,
        /// Stage it had reached.
        stage: StageId,
    },
    /// A step of the claim.
    #[display("{_0}")]
    Claim(ClaimStep),
    /// The request is queued for an endpoint.
    #[display("stage {stage} waits: every endpoint is at its limit")]
    Queued {
        /// Stage that waits.
        stage: StageId,
    },
    /// An attempt was sent.
    #[display("stage {stage} attempt {attempt} ({reason}) to {endpoint}, of {}", join_candidates(candidates))]
    Routed {
        /// Stage that runs.
        stage: StageId,
        /// The attempt.
        attempt: AttemptId,
        /// Why it was sent.
        reason: AttemptReason,
        /// Endpoint chosen.
        endpoint: EndpointId,
        /// Endpoints compared.
        candidates: Vec<Candidate>,
    },
    /// An attempt ended.
    #[display("attempt {attempt} ended after {took}: {end}")]
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
        /// Time since it was sent.
        took: SpanMs,
    },
    /// The content is suspected and runs alone.
    #[display("content is suspected of crashing endpoints and runs alone")]
    Suspected,
    /// The request ended.
    #[display("outcome {_0}")]
    Finished(OutcomeKind),
}

fn join_candidates(candidates: &[Candidate]) -> String {
    let texts: Vec<_> = candidates.iter().map(ToString::to_string).collect();
    texts.join(", ")
}

/// Decision as text with its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceLine {
    /// Time since the first decision of this VM for the request.
    pub after_ms: SpanMs,
    /// The decision.
    pub text: String,
}

/// Decisions of one VM for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestTrace {
    /// VM that decided.
    pub vm: VmId,
    /// The request.
    pub request: RequestId,
    /// Workspace that sent it.
    pub workspace: WorkspaceId,
    /// Its decisions in order.
    pub lines: Vec<TraceLine>,
    /// Number of later decisions that did not fit.
    pub left_out: u32,
}

/// Decisions for one request, with the time since the first of them.
#[derive(Debug)]
struct Trace {
    started_at: TimeMs,
    decisions: Vec<(SpanMs, Decision)>,
    left_out: u32,
}

/// Traces of the latest requests.
#[derive(Debug)]
pub(crate) struct Tracer {
    vm: VmId,
    traces: Map<(RequestId, WorkspaceId), Trace>,
    insertion_order: VecDeque<(RequestId, WorkspaceId)>,
    requests_max: usize,
}

impl Tracer {
    /// Tracer that keeps the latest `requests_max` requests.
    pub(crate) fn new(vm: VmId, requests_max: usize) -> Self {
        Self { vm, traces: Map::default(), insertion_order: VecDeque::new(), requests_max }
    }

    /// Records a decision; drops the oldest request if there are too many.
    pub(crate) fn record(&mut self, now: TimeMs, workspace: &WorkspaceId, request: &RequestId, decision: Decision) {
        let key = (request.clone(), workspace.clone());
        if !self.traces.contains_key(&key) {
            self.insertion_order.push_back(key.clone());
            self.drop_oldest();
        }
        let trace =
            self.traces.entry(key).or_insert_with(|| Trace { started_at: now, decisions: Vec::new(), left_out: 0 });
        if trace.decisions.len() == DECISIONS_PER_REQUEST_MAX {
            trace.left_out += 1;
            return;
        }
        trace.decisions.push((now.since(trace.started_at), decision));
    }

    /// Traces of all requests with this id, one for each workspace that used it.
    pub(crate) fn find(&self, request: &RequestId) -> Vec<RequestTrace> {
        self.traces
            .iter()
            .filter(|((id, _), _)| id == request)
            .map(|((_, workspace), trace)| self.render(request, workspace, trace))
            .collect()
    }

    fn render(&self, request: &RequestId, workspace: &WorkspaceId, trace: &Trace) -> RequestTrace {
        let lines = trace.decisions.iter();
        let lines = lines.map(|(after_ms, decision)| TraceLine { after_ms: *after_ms, text: decision.to_string() });
        RequestTrace {
            vm: self.vm.clone(),
            request: request.clone(),
            workspace: workspace.clone(),
            lines: lines.collect(),
            left_out: trace.left_out,
        }
    }

    fn drop_oldest(&mut self) {
        if self.insertion_order.len() <= self.requests_max {
            return;
        }
        if let Some(oldest) = self.insertion_order.pop_front() {
            self.traces.remove(&oldest);
        }
    }
}
