//! Effects: what a node asks its process to do.

use std::net::SocketAddr;

use boragepass_types::{
    AdapterId, AttemptId, CallId, EndpointId, ModelId, OpId, Outcome, Payload, Priority, SpanMs, StageKind, StreamId,
    TimeMs, VmId,
};

use crate::address::AddressAnswer;
use crate::counter::Counter;
use crate::event::AttemptTag;
use crate::message::PeerMessage;
use crate::operator::OperatorReply;
use crate::platform::{ObjectRequest, Order, TableRequest};
use crate::state_change::StateChange;

/// Output of [`crate::Node::handle`].
#[derive(Debug, Clone)]
pub enum Effect {
    /// Final answer to a caller.
    Reply {
        /// Connection that waits.
        call: CallId,
        /// The answer.
        outcome: Outcome,
        /// Addresses of other VMs to use, if this VM is draining.
        alternative_addresses: Vec<SocketAddr>,
    },
    /// Tokens for a caller that asked for a stream.
    Token {
        /// Connection that waits.
        call: CallId,
        /// Text of the tokens.
        text: Payload,
    },
    /// Answer to `Event::AddressQuery`.
    AddressAnswer {
        /// Connection that waits.
        call: CallId,
        /// The answer.
        answer: AddressAnswer,
    },
    /// Answer to an operator.
    OperatorReply {
        /// Connection that waits.
        call: CallId,
        /// The answer.
        reply: Box<OperatorReply>,
    },
    /// Sends a stage to an endpoint, unless `not_after` has passed.
    Dispatch {
        /// Last moment at which the first byte may leave.
        not_after: TimeMs,
        /// What to send.
        dispatch: Box<Dispatch>,
    },
    /// Cancels an attempt, at the endpoint too.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Sends a request to the table service.
    Table {
        /// Identifies the operation in the reply.
        op: OpId,
        /// The request.
        request: TableRequest,
    },
    /// Sends a request to the object store.
    Object {
        /// Identifies the operation in the reply.
        op: OpId,
        /// The request.
        request: ObjectRequest,
    },
    /// Sends a message to another VM.
    Send {
        /// Receiver.
        to: VmId,
        /// Its address for other VMs.
        address: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Asks an endpoint for its load report.
    PollLoad {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: SocketAddr,
        /// When the poll is sent; returned with the report.
        asked_at: TimeMs,
    },
    /// Asks for changes of the VM list after `since`.
    PollVmList {
        /// Version of the list that this VM has.
        since: u64,
    },
    /// Sends an order to an endpoint, unless `not_after` has passed.
    Order {
        /// Identifies the operation in the reply.
        op: OpId,
        /// Last moment at which the first byte may leave.
        not_after: TimeMs,
        /// Address of the endpoint.
        address: SocketAddr,
        /// The order.
        order: Order,
    },
    /// Raises a counter.
    Count {
        /// The counter.
        counter: Counter,
        /// By how much.
        by: u64,
    },
    /// Logs a change of state.
    Log(StateChange),
    /// Ends the process: its drain is complete or timed out, or it was asked a second time to stop.
    Exit,
}

/// Request to an endpoint to run a stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// Identity of the attempt.
    pub tag: AttemptTag,
    /// Endpoint that runs it.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Kind of stage.
    pub kind: StageKind,
    /// Model to use.
    pub model: Option<ModelId>,
    /// Adapter to use.
    pub adapter: Option<AdapterId>,
    /// Priority within the endpoint.
    pub priority: Priority,
    /// Input of the stage.
    pub input: Payload,
    /// Stream to start or resume.
    pub stream: StreamId,
    /// Where to continue, if a stream resumes.
    pub resume: Option<ResumePoint>,
    /// Time until the request's deadline.
    pub left_ms: SpanMs,
    /// Idempotency key of a stage that must not be repeated, for the service's own records.
    pub idempotency_key: Option<boragepass_types::IdempotencyKey>,
}

/// Point from which a stream continues on another endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumePoint {
    /// Number of tokens that this VM already has.
    pub tokens: u32,
    /// Their text.
    pub text: Payload,
}

/// Effects of one event, in order.
#[derive(Debug, Default)]
pub(crate) struct Effects(Vec<Effect>);

impl Effects {
    /// Adds an effect.
    pub(crate) fn push(&mut self, effect: Effect) {
        self.0.push(effect);
    }

    /// Raises a counter by one.
    pub(crate) fn count(&mut self, counter: Counter) {
        self.0.push(Effect::Count { counter, by: 1 });
    }

    /// Logs a change of state.
    pub(crate) fn log(&mut self, change: StateChange) {
        self.0.push(Effect::Log(change));
    }

    /// The effects in order.
    pub(crate) fn into_vec(self) -> Vec<Effect> {
        self.0
    }
}
