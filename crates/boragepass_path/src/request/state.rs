//! What this VM knows of one request of a client.

use std::sync::Arc;

use boragepass_types::{EndpointId, PoolId, SpanMs, TimeMs, WorkspaceId};

use super::SendNumber;
use crate::configuration::{Configuration, Route};
use crate::event::{Arrival, EventId};
use crate::stages::StageProgress;

/// Endpoints that one request is offered to at most, those that turn it away included.
const ENDPOINT_OFFERS_MAX: usize = 4;
/// Endpoints beside those that may refuse its connection: when a quarter of a pool crashes, as the sites' days have it, 16 in a
/// row do so once in four thousand million times.
const UNREACHABLE_MAX: usize = 16;

/// Send that is in progress.
#[derive(Debug, Clone)]
pub(crate) struct ActiveSend {
    pub(crate) send: SendNumber,
    pub(crate) endpoint: EndpointId,
    pub(crate) sent_at: TimeMs,
    /// Prompt tokens that the endpoint is expected to read for it.
    pub(crate) unread_tokens: u64,
}

/// Where a request stands.
#[derive(Debug, Clone)]
pub(crate) enum Phase {
    /// Its stages are made.
    InStages,
    /// An endpoint has it.
    Sent(ActiveSend),
    /// Its final answer is on its way to the client.
    Answered,
}

/// Request of a client.
#[derive(Debug, Clone)]
pub(crate) struct RequestState {
    pub(crate) arrival: Box<Arrival>,
    pub(crate) arrived_at: TimeMs,
    pub(crate) deadline_at: TimeMs,
    pub(crate) objective_at: TimeMs,
    pub(crate) route: Arc<Route>,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) workspace: Option<WorkspaceId>,
    pub(crate) rank: u16,
    pub(crate) pool: PoolId,
    pub(crate) stages: StageProgress,
    pub(crate) phase: Phase,
    /// Endpoints that it was sent to, also where nothing of it arrived.
    pub(crate) tried_endpoints: Vec<EndpointId>,
    /// Those among them that did not take the connection.
    pub(crate) unreachable_count: usize,
    /// Sends that an endpoint may have run.
    pub(crate) possible_runs: u32,
    /// Times that its stages were started over.
    pub(crate) stage_restarts: u32,
    /// Whether the client has the head of the answer.
    pub(crate) is_relaying: bool,
    /// Last event that the client has in full.
    pub(crate) last_event: Option<EventId>,
}

impl RequestState {
    pub(crate) fn time_left(&self, now: TimeMs) -> SpanMs {
        self.deadline_at.since(now)
    }

    /// Whether it may be offered to one more endpoint; one that cannot be reached counts for less.
    pub(crate) fn may_be_offered(&self) -> bool {
        self.tried_endpoints.len() - self.unreachable_count < ENDPOINT_OFFERS_MAX
            && self.unreachable_count < UNREACHABLE_MAX
    }

    /// Whether one more endpoint may run it.
    pub(crate) fn may_run_again(&self) -> bool {
        self.possible_runs == 0
            || (self.route.repeatability.is_repeatable() && self.possible_runs < self.route.endpoints_max)
    }

    pub(crate) fn active_send(&self) -> Option<&ActiveSend> {
        match &self.phase {
            Phase::Sent(active_send) => Some(active_send),
            Phase::InStages | Phase::Answered => None,
        }
    }
}
