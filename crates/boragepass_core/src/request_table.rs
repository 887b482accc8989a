//! Table of the requests in progress and the state of each, with its attempts.
//!
//! Requests are found by key, by caller's id, by call and by content. The table only holds state; the
//! decisions are in `admission`, `stage_flow`, `attempt_flow` and `finish`.

use std::collections::BTreeSet;
use std::sync::Arc;

use boragepass_types::{
    AttemptId, Bytes, CallId, ContentDigest, Payload, Permille, Pipeline, Priority, Region, Request, RequestId, SpanMs,
    Stage, StageId, TimeMs, WorkspaceId,
};

use crate::endpoints::EndpointIdx;
use crate::event::AttemptTag;
use crate::map::Map;
use crate::platform::RowKey;
use crate::queue::QueuePosition;

/// Key of a request in progress on this VM; grows in the order of admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct RequestKey(pub(crate) u64);

/// Caller that waits for the outcome of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiter {
    pub(crate) call: CallId,
    pub(crate) wants_stream: bool,
}

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Its claim is being written.
    Claiming,
    /// An endpoint, in the queue of its pool.
    Queued(QueuePosition),
    /// A reply to one of its attempts.
    Running,
    /// The trial of its content, on this or another VM.
    AwaitingTrial,
}

/// Request in progress.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) request: Request,
    pub(crate) pipeline: Arc<Pipeline>,
    pub(crate) pipeline_index: usize,
    pub(crate) priority: Priority,
    /// Weight of meeting the deadline against the cost of cross-region bytes.
    pub(crate) attainment_weight: Permille,
    /// Number of entry VMs of the workspace's plan.
    pub(crate) entry_vms: u8,
    /// Regions that the workspace's allowlist permits.
    pub(crate) regions: Arc<BTreeSet<Region>>,
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) deadline_at: TimeMs,
    pub(crate) phase: Phase,
    pub(crate) stage_index: usize,
    pub(crate) stage_started_at: TimeMs,
    /// Input of the current stage.
    pub(crate) input: Payload,
    /// Text that the current stage's stream has produced so far.
    pub(crate) text: String,
    /// Number of tokens of `text`.
    pub(crate) tokens: u32,
    /// Attempts of the current stage in flight.
    pub(crate) attempts: Vec<AttemptId>,
    /// Endpoints that failed the current stage.
    pub(crate) failed_endpoints: Vec<EndpointIdx>,
    /// Attempts of all stages so far.
    pub(crate) attempts_made: u32,
    /// Times that the stream was moved to another endpoint because it was slow or stalled.
    pub(crate) stream_moves: u32,
    /// Stages that ran at least in part.
    pub(crate) executed_stages: Vec<StageId>,
    /// Row of the claim, if the pipeline needs one.
    pub(crate) claim: Option<RowKey>,
    /// Output of the stage that is not repeatable.
    pub(crate) claimed_output: Option<Payload>,
    /// Whether the content is suspected of crashing endpoints; no two such requests are sent to one endpoint.
    pub(crate) is_suspect: bool,
}

impl ActiveRequest {
    /// Current stage, running or waiting.
    pub(crate) fn stage(&self) -> &Stage {
        &self.pipeline.stages[self.stage_index]
    }

    /// Records that a stage ran at least in part.
    pub(crate) fn record_executed_stage(&mut self, stage: &StageId) {
        if !self.executed_stages.contains(stage) {
            self.executed_stages.push(stage.clone());
        }
    }

    /// Moves on to a stage and resets the state of the previous one.
    pub(crate) fn enter_stage(&mut self, now: TimeMs, index: usize, input: Payload) {
        self.stage_index = index;
        self.stage_started_at = now;
        self.input = input;
        self.text.clear();
        self.tokens = 0;
        self.failed_endpoints.clear();
        self.stream_moves = 0;
        self.phase = Phase::Running;
    }
}

/// Attempt in flight.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) request: RequestKey,
    pub(crate) tag: AttemptTag,
    pub(crate) endpoint: EndpointIdx,
    pub(crate) sent_at: TimeMs,
    pub(crate) first_token_at: Option<TimeMs>,
    pub(crate) last_progress_at: TimeMs,
    pub(crate) is_hedge: bool,
    pub(crate) is_suspect: bool,
    pub(crate) is_repeatable: bool,
    /// Bytes that the attempt sent to another region.
    pub(crate) cross_region: Bytes,
}

impl Attempt {
    /// Time since the attempt was sent.
    pub(crate) fn elapsed(&self, now: TimeMs) -> SpanMs {
        now.since(self.sent_at)
    }
}

/// All requests in progress.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    active: Map<RequestKey, ActiveRequest>,
    by_id: Map<(WorkspaceId, RequestId), RequestKey>,
    by_call: Map<CallId, RequestKey>,
    by_digest: Map<ContentDigest, Vec<RequestKey>>,
    next_key: u64,
}

impl RequestTable {
    /// Number of requests.
    pub(crate) fn len(&self) -> usize {
        self.active.len()
    }

    /// One request.
    pub(crate) fn get(&self, key: RequestKey) -> Option<&ActiveRequest> {
        self.active.get(&key)
    }

    /// One request, mutable.
    pub(crate) fn get_mut(&mut self, key: RequestKey) -> Option<&mut ActiveRequest> {
        self.active.get_mut(&key)
    }

    /// Request with the id that its caller gave it.
    pub(crate) fn find(&self, workspace: &WorkspaceId, id: &RequestId) -> Option<RequestKey> {
        self.by_id.get(&(workspace.clone(), id.clone())).copied()
    }

    /// Requests with the same content.
    pub(crate) fn requests_with_digest(&self, digest: ContentDigest) -> &[RequestKey] {
        self.by_digest.get(&digest).map_or(&[], Vec::as_slice)
    }

    /// Keys of all requests in the order of admission.
    pub(crate) fn keys(&self) -> Vec<RequestKey> {
        let mut keys: Vec<_> = self.active.keys().copied().collect();
        keys.sort();
        keys
    }

    /// Adds a request.
    pub(crate) fn insert(&mut self, active: ActiveRequest) -> RequestKey {
        let key = RequestKey(self.next_key);
        self.next_key += 1;
        self.by_id.insert((active.request.workspace.clone(), active.request.id.clone()), key);
        for waiter in &active.waiters {
            self.by_call.insert(waiter.call, key);
        }
        self.by_digest.entry(active.request.digest).or_default().push(key);
        self.active.insert(key, active);
        key
    }

    /// Lets another caller wait for a request.
    pub(crate) fn add_waiter(&mut self, key: RequestKey, waiter: Waiter) {
        if let Some(active) = self.active.get_mut(&key) {
            active.waiters.push(waiter);
            self.by_call.insert(waiter.call, key);
        }
    }

    /// Removes a caller; returns the request it waited for.
    pub(crate) fn remove_waiter(&mut self, call: CallId) -> Option<RequestKey> {
        let key = self.by_call.remove(&call)?;
        let active = self.active.get_mut(&key)?;
        active.waiters.retain(|waiter| waiter.call != call);
        Some(key)
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, key: RequestKey) -> Option<ActiveRequest> {
        let active = self.active.remove(&key)?;
        let id = (active.request.workspace.clone(), active.request.id.clone());
        if self.by_id.get(&id) == Some(&key) {
            self.by_id.remove(&id);
        }
        for waiter in &active.waiters {
            self.by_call.remove(&waiter.call);
        }
        let digest = active.request.digest;
        if let Some(copies) = self.by_digest.get_mut(&digest) {
            copies.retain(|copy| *copy != key);
            if copies.is_empty() {
                self.by_digest.remove(&digest);
            }
        }
        Some(active)
    }
}
