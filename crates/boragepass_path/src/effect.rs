//! What the request path asks its executor to do.

use std::net::SocketAddr;
use std::sync::Arc;

use boragepass_types::{EndpointId, SpanMs, VmId, WorkspaceId};

use crate::admission::RefusalReason;
use crate::event::EventId;
use crate::message::PeerMessage;
use crate::record::Record;
use crate::request::{CallNumber, RequestNumber, SendNumber};

/// Where a piece's inputs come from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntrySource {
    /// The request's own key.
    Key(Arc<str>),
    /// Handles of earlier results.
    Inputs(Vec<Arc<str>>),
}

/// One piece of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallEntry {
    /// The client's id of the request.
    pub client_id: Arc<str>,
    /// Stage within the route.
    pub stage: usize,
    /// Piece within the stage.
    pub piece: u16,
    /// Time until the result is of no use.
    pub remaining_ms: SpanMs,
    /// Inputs.
    pub source: EntrySource,
}

/// Endpoint that something is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendTarget {
    /// Its id, which it checks.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
}

/// Final answer made by this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// When a further try may be served.
    pub retry_after_ms: Option<SpanMs>,
    /// Why.
    pub reason: RefusalReason,
}

/// Something to do.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Sends a request to an endpoint.
    Send {
        /// Number of this send.
        send: SendNumber,
        /// Request whose headers and body are sent.
        request: RequestNumber,
        /// Where.
        target: SendTarget,
        /// Time that the endpoint is given, counted from now.
        deadline_ms: SpanMs,
        /// Silence until the head of the reply, or between events of a stream, after which to ask
        /// whether another endpoint shall get the request; the send goes on meanwhile.
        silence_ms: Option<SpanMs>,
        /// Whether a connection that carried something before may be used.
        may_reuse_connection: bool,
        /// Whether the reply is relayed as it comes.
        is_stream: bool,
        /// Handles of the results that the endpoint fetches.
        inputs: Option<Vec<Arc<str>>>,
        /// Workspace whose key the client presented.
        workspace: Option<WorkspaceId>,
        /// Rank at the endpoint, zero is first.
        priority: Option<u8>,
        /// Event after which a stream goes on.
        resume_after: Option<EventId>,
    },
    /// Closes the connection of a send.
    CancelSend(SendNumber),
    /// Passes the reply of a send to the client, as the answer or as its continuation.
    RelayReply(RequestNumber, SendNumber),
    /// Gives an answer of this VM.
    Respond(RequestNumber, Answer),
    /// Ends an answer that has begun so that it does not look whole.
    AbortAnswer(RequestNumber),
    /// Forgets a request whose client is gone.
    DropRequest(RequestNumber),
    /// Makes a call of pieces.
    Call {
        /// Number of this call.
        call: CallNumber,
        /// Where.
        target: SendTarget,
        /// Pieces.
        entries: Vec<CallEntry>,
        /// Time after which it counts as failed.
        timeout_ms: SpanMs,
    },
    /// Gives up results at their maker.
    FreeResults(SendTarget, Vec<Arc<str>>),
    /// Sends a message that must arrive or be sent again.
    SendPeerMessage(VmId, SocketAddr, Box<PeerMessage>),
    /// Sends a message that may be lost.
    SendPeerDatagram(VmId, SocketAddr, Box<PeerMessage>),
    /// Sends the endpoints that are known to another VM, and the configuration if it lacks that.
    ShareState {
        /// To whom.
        vm: VmId,
        /// Where it listens.
        address: SocketAddr,
        /// Whether the configuration is sent too.
        with_configuration: bool,
    },
    /// Starts or stops to follow the store's changes.
    FollowStore(bool),
    /// Changes whether this VM counts as ready.
    SetReady(bool),
    /// Stops keeping clients' connections open.
    CloseConnections,
    /// Ends the process.
    Exit,
    /// A line of the log.
    Log(Box<Record>),
}
