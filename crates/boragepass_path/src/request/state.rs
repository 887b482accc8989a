//! State of one client request on this VM.

use std::sync::Arc;

use boragepass_types::{EndpointId, PoolId, SpanMs, TimeMs, VmId, WorkspaceId};

use super::{BeginningVersion, SendNumber, StreamVersion};
use crate::configuration::{Configuration, Route};
use crate::event::{Arrival, EventId};
use crate::placement::{Homes, SpeedProbe};
use crate::stages::StageProgress;

/// Largest number of endpoints to which one request is offered, including those that reject it.
const ENDPOINT_OFFERS_MAX: usize = 4;
/// Largest number of unreachable endpoints, which are counted apart from the offers. With a quarter of a pool
/// down, as in the sites' fault scenarios, 16 unreachable endpoints in a row have a probability of one in 4^16,
/// four billion.
const UNREACHABLE_MAX: usize = 16;

/// How far an endpoint has come with a send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub(crate) enum SendProgress {
    /// No reply has arrived.
    Waiting,
    /// The head of the reply has arrived, and no event of the stream.
    Begun,
    /// Events of the stream have arrived.
    Streaming,
}

/// Send of a request that is in progress.
#[derive(Debug, Clone)]
pub(crate) struct ActiveSend {
    pub(crate) send: SendNumber,
    pub(crate) endpoint: EndpointId,
    pub(crate) sent_at: TimeMs,
    /// Prompt tokens that the endpoint is expected to prefill for this request; zero once it has sent an event.
    pub(crate) pending_prefill_tokens: u64,
    /// Set if its time will show the speed of the endpoint.
    pub(crate) speed_probe: Option<SpeedProbe>,
    pub(crate) progress: SendProgress,
    /// Software version of the endpoint; no value if it may have restarted with another one.
    pub(crate) software_version: Option<BeginningVersion>,
}

/// Relay of a request to another VM that is in progress.
#[derive(Debug, Clone)]
pub(crate) struct RelayedSend {
    pub(crate) send: SendNumber,
    pub(crate) vm: VmId,
    /// Whether its answer has begun.
    pub(crate) has_begun: bool,
}

/// Phase of a request.
#[derive(Debug, Clone)]
pub(crate) enum Phase {
    /// Its stages are in progress, or it waits to be sent (again).
    InStages,
    /// It was sent to an endpoint, and the send is in progress.
    Sent(ActiveSend),
    /// It was relayed to another VM, which has not answered it in full.
    Relayed(RelayedSend),
    /// Its final answer is being delivered to the client.
    Answered,
}

/// State of a client request.
#[derive(Debug, Clone)]
pub(crate) struct RequestState {
    pub(crate) arrival: Box<Arrival>,
    pub(crate) arrived_at: TimeMs,
    pub(crate) deadline_at: TimeMs,
    pub(crate) objective_at: TimeMs,
    pub(crate) route: Arc<Route>,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) workspace: Option<WorkspaceId>,
    /// Regions in which it may be served.
    pub(crate) homes: Homes,
    /// Whether `homes` differs from what this VM's configuration in force states for it.
    pub(crate) has_former_homes: bool,
    pub(crate) rank: u16,
    pub(crate) pool: PoolId,
    pub(crate) stages: StageProgress,
    pub(crate) phase: Phase,
    /// Endpoints to which it was sent, including those that could not be reached.
    pub(crate) tried_endpoints: Vec<EndpointId>,
    /// How many of the tried endpoints could not be reached.
    pub(crate) unreachable_count: usize,
    /// VMs to which it was relayed.
    pub(crate) relay_vms: Vec<VmId>,
    /// Sends that an endpoint may have run.
    pub(crate) possible_runs: u32,
    /// How often a stage was restarted because a result was lost.
    pub(crate) stage_restarts: u32,
    /// Whether it is sent to see whether its content still crashes endpoints.
    pub(crate) is_trial: bool,
    /// Whether the head of the answer was relayed to the client.
    pub(crate) is_relaying: bool,
    /// What its stream may go on at.
    pub(crate) stream_version: StreamVersion,
    /// Since when it waits until it is known that its stream may go on at an endpoint.
    pub(crate) awaits_entry_since: Option<TimeMs>,
    /// Last complete event that the client received.
    pub(crate) last_event: Option<EventId>,
}

impl RequestState {
    pub(crate) fn time_left(&self, now: TimeMs) -> SpanMs {
        self.deadline_at.since(now)
    }

    /// Whether it may be offered to another endpoint. Unreachable endpoints count against a larger limit.
    pub(crate) fn may_be_offered(&self) -> bool {
        self.reached_endpoints() < ENDPOINT_OFFERS_MAX && self.unreachable_count < UNREACHABLE_MAX
    }

    /// Whether another VM may serve it in place of this one: it came from its client, waits here, and no endpoint can
    /// have run it, since the other VM uses up all runs that its route allows.
    pub(crate) fn may_be_relayed(&self) -> bool {
        matches!(self.phase, Phase::InStages) && !self.arrival.is_relayed && self.possible_runs == 0
    }

    /// Number of its sends that may have reached an endpoint.
    fn reached_endpoints(&self) -> usize {
        self.tried_endpoints.len() - self.unreachable_count
    }

    /// Whether it may have been sent before the send in progress, by this VM or the one that relayed it.
    pub(crate) fn has_earlier_sends(&self) -> bool {
        self.arrival.is_relayed || self.reached_endpoints() > 1
    }

    /// Whether its next send may go over a connection that was used before. There, a rejection does not always prove
    /// that the request did not run, so its route has to allow a further run.
    pub(crate) fn may_reuse_connection(&self) -> bool {
        self.route.repeatability.is_repeatable()
            && self.possible_runs + 1 < self.route.endpoints_max
            && self.reached_endpoints() == 0
            && !self.arrival.is_relayed
    }

    /// Whether another endpoint may run it.
    pub(crate) fn may_run_again(&self) -> bool {
        self.possible_runs == 0
            || (self.route.repeatability.is_repeatable() && self.possible_runs < self.route.endpoints_max)
    }

    pub(crate) fn active_send(&self) -> Option<&ActiveSend> {
        match &self.phase {
            Phase::Sent(active_send) => Some(active_send),
            Phase::InStages | Phase::Relayed(_) | Phase::Answered => None,
        }
    }
}
