//! Events: the inputs of a node.

use boragepass_types::{
    AccessKey, AttemptId, CallId, EndpointId, Incarnation, OpId, Payload, Region, Request, RequestId, StageId, TimeMs,
    VmId, WorkspaceId,
};

use crate::message::PeerMessage;
use crate::operator::OperatorCommand;
use crate::platform::{LoadReport, ObjectReply, OrderReply, TableReply, VmListReply};

/// Input of [`crate::Node::handle`].
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller sends a request.
    Submit {
        /// Connection that waits for the answer.
        call: CallId,
        /// Key the caller presented.
        key: AccessKey,
        /// The request.
        request: Request,
    },
    /// The caller's connection closed before its answer.
    CallerDisconnected {
        /// Connection that closed.
        call: CallId,
    },
    /// A caller asks for the addresses of the VMs to use.
    AddressQuery {
        /// Connection that waits for the answer.
        call: CallId,
        /// Workspace of the caller.
        workspace: WorkspaceId,
        /// Region of the caller; `None` means this VM's region.
        region: Option<Region>,
    },
    /// An operator's command.
    OperatorCommand {
        /// Connection that waits for the answer.
        call: CallId,
        /// The command.
        command: OperatorCommand,
    },
    /// An endpoint replied to an attempt.
    StageReply {
        /// Attempt whose connection carried the reply.
        attempt: AttemptId,
        /// Attempt that the endpoint's reply names; `None` if the reply carries no such name.
        echo: Option<AttemptTag>,
        /// The reply.
        reply: StageReply,
    },
    /// An attempt's `not_after` passed before a byte left this VM.
    AttemptExpired {
        /// The attempt that was not sent.
        attempt: AttemptId,
    },
    /// The table service replied or failed to.
    TableReply {
        /// Operation it replies to.
        op: OpId,
        /// The reply.
        reply: TableReply,
    },
    /// The object store replied or failed to.
    ObjectReply {
        /// Operation it replies to.
        op: OpId,
        /// The reply.
        reply: ObjectReply,
    },
    /// A message from another VM.
    PeerMessageReceived {
        /// VM that sent it.
        from: VmId,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// The message.
        message: PeerMessage,
    },
    /// A poll of the VM list succeeded or failed.
    VmListReply(VmListReply),
    /// A poll of an endpoint's load succeeded or failed.
    LoadReply {
        /// Endpoint that was polled.
        endpoint: EndpointId,
        /// When the poll was sent; the report is at least as recent.
        asked_at: TimeMs,
        /// Its report; `None` if the poll failed.
        report: Option<LoadReport>,
    },
    /// An endpoint replied to an order.
    OrderReply {
        /// Operation it replies to.
        op: OpId,
        /// The reply.
        reply: OrderReply,
    },
    /// The process was asked to stop.
    Terminate,
    /// Time passed; only the timers that are due run.
    Tick,
}

/// Identity of one attempt, echoed by the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AttemptTag {
    /// VM that dispatched.
    pub vm: VmId,
    /// Incarnation that dispatched.
    pub incarnation: Incarnation,
    /// Request the attempt belongs to.
    pub request: RequestId,
    /// Stage that runs.
    pub stage: StageId,
    /// Id of the attempt, unique within the incarnation.
    pub attempt: AttemptId,
}

/// Reply to an attempt, or how its connection failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StageReply {
    /// Tokens of a stream.
    Tokens {
        /// Index of the first token.
        first_index: u32,
        /// Number of tokens.
        count: u32,
        /// Their text.
        text: Payload,
    },
    /// End of a stream.
    StreamEnd {
        /// Number of tokens of the whole stream, including those before a resume.
        tokens: u32,
    },
    /// Whole result of a stage without a stream.
    Whole {
        /// Output of the stage.
        output: Payload,
    },
    /// The endpoint refused the input, as every other endpoint would.
    Rejected,
    /// The endpoint refused the work and ran nothing.
    Busy,
    /// No byte left this VM.
    NotSent,
    /// The connection failed after a byte had left.
    Lost,
}
