//! Output of the request path: actions that its executor carries out.

use std::net::SocketAddr;
use std::sync::Arc;

use boragepass_types::{EndpointId, SpanMs, VmId, WorkspaceId};

use crate::admission::RefusalReason;
use crate::configuration::ConfigurationVersion;
use crate::event::EventId;
use crate::message::PeerMessage;
use crate::placement::{Homes, RecordedVersions};
use crate::record::Record;
use crate::request::{CallNumber, RequestNumber, SendNumber, StreamVersionRow};

/// What an endpoint computes a piece from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceInputs {
    /// The request's piece key, for a stage without input stages.
    Key(Arc<str>),
    /// Handles of the results of its input stages.
    Inputs(Vec<Arc<str>>),
}

/// One piece of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallEntry {
    /// Id that the client gave to the request.
    pub client_id: Arc<str>,
    /// Index of the stage within the route.
    pub stage: usize,
    /// Index of the piece within the stage.
    pub piece: u16,
    /// Time after which the result is useless, counted from now.
    pub remaining_ms: SpanMs,
    /// Inputs of the piece.
    pub inputs: PieceInputs,
}

/// Endpoint to which a send or call goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendTarget {
    /// Expected endpoint id; the endpoint refuses what names another one.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
}

/// VM to which a request is relayed, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayTarget {
    /// VM.
    pub vm: VmId,
    /// Address at which it takes relayed requests.
    pub address: SocketAddr,
}

/// Final answer that this VM generates itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Time after which the client may try again.
    pub retry_after_ms: Option<SpanMs>,
    /// Why the request was not served.
    pub reason: RefusalReason,
}

/// Action for the executor.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Sends a request to an endpoint.
    Send {
        /// Number of this send.
        send: SendNumber,
        /// Request whose headers and body are sent.
        request: RequestNumber,
        /// Endpoint that receives the request.
        target: SendTarget,
        /// Time that the endpoint has for the reply, counted from now.
        deadline_ms: SpanMs,
        /// Silence before the head of the reply, or between events of a stream, after which the executor reports
        /// `EndpointSilent`. The send continues until it is cancelled.
        silence_ms: Option<SpanMs>,
        /// Whether the send may use a pooled connection, rather than a new one.
        may_reuse_connection: bool,
        /// Whether the reply is streamed to the client as it arrives.
        is_stream: bool,
        /// Handles of the stage results that the endpoint fetches; `None` for a route without stages.
        inputs: Option<Vec<Arc<str>>>,
        /// Workspace of the key that the client presented.
        workspace: Option<WorkspaceId>,
        /// Scheduling priority at the endpoint; zero is the most urgent.
        priority: Option<u8>,
        /// Event after which the stream resumes.
        resume_after: Option<EventId>,
    },
    /// Relays a request to another VM, which serves it; its answer is reported as the reply of a send.
    Relay {
        /// Number of this send.
        send: SendNumber,
        /// Request whose headers and body are relayed.
        request: RequestNumber,
        /// VM that receives the request.
        target: RelayTarget,
        /// Time that the VM has for the answer, counted from now.
        deadline_ms: SpanMs,
        /// Oldest configuration by which the VM may judge the request.
        configuration: ConfigurationVersion,
        /// Home regions to which the VM has to keep beside those that it knows itself.
        homes: Homes,
        /// Whether the answer is streamed to the client as it arrives.
        is_stream: bool,
        /// Event after which the client takes up the stream.
        resume_after: Option<EventId>,
    },
    /// Closes the connection of a send.
    CancelSend(SendNumber),
    /// Relays the reply of a send to the client, as the answer or as the continuation of a stream.
    RelayReply(RequestNumber, SendNumber),
    /// Answers a request with a response that this VM generates.
    Respond(RequestNumber, Answer),
    /// Aborts an answer that has begun, so that the client sees that it is incomplete.
    AbortAnswer(RequestNumber),
    /// Drops what the executor holds of a request that has ended.
    DropRequest(RequestNumber),
    /// Opens a connection to an endpoint and closes it again; reports `EndpointDown` if the endpoint refuses it.
    CheckEndpoint(SendTarget),
    /// Opens a connection to an endpoint and closes it again; always reports `EndpointProbed`.
    ProbeEndpoint(SendTarget),
    /// Sends a health check at a path, whose reply shows what the endpoint states of itself; always reports
    /// `StatementsQueried`.
    QueryStatements(SendTarget, Arc<str>),
    /// Sends a call, which computes several pieces.
    Call {
        /// Number of this call.
        call: CallNumber,
        /// Endpoint that receives the call.
        target: SendTarget,
        /// Pieces to compute.
        entries: Vec<CallEntry>,
        /// Time after which the call fails.
        timeout_ms: SpanMs,
    },
    /// Tells an endpoint that it may drop results, by their handles.
    FreeResults(SendTarget, Vec<Arc<str>>),
    /// Sends a message to another VM that has to be delivered, or else sent again.
    SendPeerMessage(VmId, SocketAddr, Box<PeerMessage>),
    /// Sends a message to another VM that may be lost.
    SendPeerDatagram(VmId, SocketAddr, Box<PeerMessage>),
    /// Sends the known endpoints to another VM.
    ShareState {
        /// Receiving VM.
        vm: VmId,
        /// Address at which that VM listens for peers.
        address: SocketAddr,
    },
    /// Sends the configuration in force to another VM.
    ShareConfiguration {
        /// Receiving VM.
        vm: VmId,
        /// Address at which that VM listens for peers.
        address: SocketAddr,
    },
    /// Starts or stops following the store's changes.
    FollowStore(bool),
    /// Registers this VM in the store again.
    RegisterVm,
    /// Reads the versions of pools that the store keeps; reports `VersionsRecorded` once that succeeds.
    ReadRecordedVersions,
    /// Reads the list of endpoints, reported as a snapshot, and then the versions of pools that the store keeps; reports
    /// `VersionsRecorded` once both succeeded.
    ConfirmVersions,
    /// Reads the entry of an endpoint, once; always reports `EndpointEntryRead`.
    ReadEndpointEntry(EndpointId),
    /// Replaces the versions of pools that the store keeps, unless they changed since they were read; then reads them.
    RecordVersions(RecordedVersions),
    /// Reads the versions of begun streams that the store keeps, once; always reports `StreamVersionsRead`.
    ReadStreamVersions,
    /// Writes a row of versions of begun streams if the row that it replaces still has the version that it states; always
    /// reports `StreamVersionsRecorded`.
    RecordStreamVersions(StreamVersionRow),
    /// Sets whether this VM reports itself as ready.
    SetReady(bool),
    /// Stops keeping client connections alive.
    CloseConnections,
    /// Exits the process.
    Exit,
    /// Writes a log line.
    Log(Box<Record>),
}
