//! What this VM knows of one request of a client.

use std::sync::Arc;

use boragepass_types::{EndpointId, PoolId, SpanMs, TimeMs, WorkspaceId};

use super::SendNumber;
use crate::configuration::{Configuration, Route};
use crate::event::{Arrival, EventId};
use crate::stages::StageProgress;

/// Endpoints that one request is offered to at most, those that turn it away included.
const OFFERS_MAX: usize = 4;
/// Endpoints beside those that may refuse its connection: when a quarter of a pool crashes, as the sites' days have it, 16 in a
/// row do so once in four thousand million times.
const UNREACHED_MAX: usize = 16;

/// Send that is in progress.
#[derive(Debug, Clone)]
pub(crate) struct Sending {
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
    Sent(Sending),
    /// Its final answer is on its way to the client.
    Answered,
}

/// Request of a client.
#[derive(Debug, Clone)]
pub(crate) struct Requested {
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
    pub(crate) tried: Vec<EndpointId>,
    /// Those among them that did not take the connection.
    pub(crate) unreached: usize,
    /// Sends that an endpoint may have run.
    pub(crate) runs: u32,
    /// Times that its stages were started over.
    pub(crate) restarts: u32,
    /// Whether the client has the head of the answer.
    pub(crate) is_relaying: bool,
    /// Last event that the client has in full.
    pub(crate) last_event: Option<EventId>,
}

impl Requested {
    pub(crate) fn left(&self, now: TimeMs) -> SpanMs {
        self.deadline_at.since(now)
    }

    /// Whether it may be offered to one more endpoint; one that cannot be reached counts for less.
    pub(crate) fn may_be_offered(&self) -> bool {
        self.tried.len() - self.unreached < OFFERS_MAX && self.unreached < UNREACHED_MAX
    }

    /// Whether one more endpoint may run it.
    pub(crate) fn may_run_again(&self) -> bool {
        self.runs == 0 || (self.route.repeatability.is_repeatable() && self.runs < self.route.endpoints_max)
    }

    pub(crate) fn sending(&self) -> Option<&Sending> {
        match &self.phase {
            Phase::Sent(sending) => Some(sending),
            Phase::InStages | Phase::Answered => None,
        }
    }
}
