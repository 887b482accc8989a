//! Input of the request path: events from clients, endpoints, the store and other VMs.

use std::net::SocketAddr;
use std::sync::Arc;

use boragepass_types::{EndpointId, Hash64, Incarnation, RequestRate, SpanMs, VmId};

use crate::configuration::{ApiKey, Configuration, ConfigurationVersion};
use crate::fleet::VmRecord;
use crate::message::{ColdReport, PeerMessage};
use crate::placement::{EndpointUpdate, Evacuations, Homes, RecordedVersions};
use crate::request::{CallNumber, RequestNumber, SendNumber, StreamVersionRow};

/// Number of a server-sent event within a stream.
pub type EventId = u64;

/// Segment of a prompt. Requests with the same segment can share its cached state at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the segment's content.
    pub id: Hash64,
    /// Length in tokens.
    pub tokens: u64,
}

/// VM that relays a request, and what it had in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayOrigin {
    /// VM that the client sent the request to.
    pub vm: VmId,
    /// Version of its configuration.
    pub configuration: ConfigurationVersion,
    /// Home regions of the request there.
    pub homes: Homes,
}

/// Client request that was read in full. Its headers and body stay with the executor.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Number that identifies the request on this VM.
    pub request: RequestNumber,
    /// Id that the client gave to this attempt.
    pub client_id: Arc<str>,
    /// Whether another VM relays it, which reaches no endpoint itself.
    pub is_relayed: bool,
    /// VM that relayed it, if that one says so.
    pub relay_origin: Option<RelayOrigin>,
    /// Requested host.
    pub host: Arc<str>,
    /// Requested path, without the query.
    pub path: Arc<str>,
    /// API key that the client presented.
    pub key: Option<ApiKey>,
    /// How long the client waits, counted from the arrival.
    pub deadline_ms: Option<SpanMs>,
    /// Segments of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Upper limit of the output's length.
    pub output_tokens_max: u64,
    /// Number of pieces in each stage of the route.
    pub pieces: Vec<u16>,
    /// Key from which stages without input stages compute their pieces.
    pub piece_key: Arc<str>,
    /// Last event that the client received, if it resumes a stream.
    pub resume_after: Option<EventId>,
    /// Id of the client's attempt that brought the first event of the stream that this one resumes.
    pub resumed_stream: Option<Arc<str>>,
    /// Digest of path, client and body.
    pub digest: Hash64,
    /// Bytes of the body.
    pub body_bytes: u64,
}

/// Load that an endpoint reports in a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Requests that can run concurrently.
    pub slots: u32,
    /// Time that work takes at this moment, in percent of the usual time; `None` if it states none.
    pub slowness_percent: Option<u32>,
}

/// What an endpoint states of itself in a reply.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointSignals {
    /// Its load.
    pub load: Option<ReportedLoad>,
    /// Rate of requests that it takes from all VMs together; `None` if it states no limit.
    pub rate_limit: Option<RequestRate>,
    /// Requests that it may reject for want of room in a second before it falls over; `None` if it bears any number.
    pub rejections_max: Option<u32>,
    /// Whether it is leaving and takes no new work.
    pub is_leaving: bool,
    /// Time for which it wants no requests from this VM, if it rejected one.
    pub pause_ms: Option<SpanMs>,
    /// Time for which it is still cold; `None` if it does not state that.
    pub cold_left_ms: Option<SpanMs>,
}

/// Request that a reply names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum NamedRequest {
    /// The request that was sent.
    Sent,
    /// Another request.
    Another,
    /// None.
    None,
}

/// Properties of a reply that its head and its connection establish.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplyHead {
    /// HTTP status code.
    pub status: u16,
    /// Whether the endpoint's signature is present.
    pub is_signed: bool,
    /// Request that the reply names.
    pub named_request: NamedRequest,
    /// Whether the reply states that its request did not run.
    pub states_not_run: bool,
    /// Number of exchanges that the connection had carried before the request.
    pub earlier_exchanges: u32,
    /// What the endpoint states of itself; `None` if another endpoint replied or the reply is to another request.
    pub signals: Option<EndpointSignals>,
}

impl ReplyHead {
    /// Whether the reply may be relayed to the client as a success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.is_signed && self.is_for_request()
    }

    /// Whether the reply names the request that was sent.
    pub fn is_for_request(&self) -> bool {
        self.named_request == NamedRequest::Sent
    }
}

/// Why a send returned no usable reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum SendFailure {
    /// No byte of the request left this VM.
    #[display("not sent")]
    NotSent,
    /// The connection closed before the reply was complete.
    #[display("connection lost")]
    ConnectionLost,
    /// The reply is not valid HTTP or belongs to another request.
    #[display("unusable reply")]
    UnusableReply,
    /// The reply states that a request did not run, but may be a copy of an earlier reply to another send.
    #[display("unproven rejection")]
    UnprovenRejection,
    /// The VM that the request was relayed to has an older configuration than this one and did not serve it.
    #[display("older configuration there")]
    ConfigurationBehind,
    /// The endpoint stayed silent for too long, and its send was cancelled in favor of another endpoint.
    #[display("silent")]
    EndpointSilent,
}

/// Progress of a stream after its head was relayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The first event went to the client.
    FirstEvent,
    /// The endpoint completed the stream.
    Ended,
    /// The stream ended early; carries the last complete event that the client received.
    Broken(SendFailure, Option<EventId>),
}

/// Result of one piece of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceOutcome {
    /// The endpoint holds the result under this handle.
    Computed(Arc<str>),
    /// Its deadline had passed when the endpoint came to it.
    Late,
    /// An input result no longer exists.
    InputLost,
    /// The endpoint has no space for the result.
    NoSpace,
    /// The endpoint failed to compute the piece.
    Failed,
}

/// Why a call returned no results.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum CallFailure {
    /// The endpoint's queue is full; the call did not run.
    #[display("endpoint full")]
    EndpointFull,
    /// No byte left this VM, or a different endpoint answered at the address.
    #[display("not reached")]
    NotReached,
    /// The connection closed, or the reply is unusable.
    #[display("connection lost")]
    ConnectionLost,
    /// No reply arrived before the timeout.
    #[display("no reply in time")]
    TimedOut,
}

/// Outcome of a call, which computes several pieces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallOutcome {
    /// Outcomes in the order of the call's pieces, or why there are none.
    pub results: Result<Vec<PieceOutcome>, CallFailure>,
    /// What the endpoint states of itself; `None` if it did not reply.
    pub signals: Option<EndpointSignals>,
}

/// What the store lists of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointEntry {
    /// An entry of a process with this start, in milliseconds of Unix time.
    StartedAt(u64),
    /// No entry that names an endpoint.
    Missing,
    /// The store gave no answer in time.
    Unknown,
}

/// Input of the request path.
#[derive(Debug, Clone)]
pub enum Event {
    /// Another VM passed on, with its endpoint list, which endpoints are cold.
    ColdEndpointsShared(Vec<ColdReport>),
    /// A client's request was read in full.
    RequestArrived(Box<Arrival>),
    /// A client closed its connection before its answer was complete.
    ClientDisconnected(RequestNumber),
    /// The last byte of an answer was handed to the connection.
    AnswerDelivered(RequestNumber),
    /// The head of a reply arrived. The executor holds the body until the reply is relayed or cancelled: the
    /// whole body, unless the reply is a stream.
    ReplyHeadArrived(SendNumber, ReplyHead),
    /// A send failed without a usable reply.
    SendFailed(SendNumber, SendFailure),
    /// A relayed stream made progress or ended.
    StreamProgressed(SendNumber, Progress),
    /// The endpoint of a send exceeded the send's silence limit; carries the last event that the client received.
    /// The send is still running.
    EndpointSilent(SendNumber, Option<EventId>),
    /// A reply that no other event reports, since its body was lost or nobody waits for it, states this of its endpoint.
    EndpointStated(EndpointId, EndpointSignals),
    /// A read of an endpoint's entry ended.
    EndpointEntryRead(EndpointId, EndpointEntry),
    /// A query of what an endpoint states of itself ended; no value if it did not reply.
    StatementsQueried(EndpointId, Option<EndpointSignals>),
    /// An endpoint refuses connections.
    EndpointDown(EndpointId),
    /// A probe of an endpoint ended: whether a connection opened.
    EndpointProbed(EndpointId, bool),
    /// A call ended.
    CallEnded(CallNumber, CallOutcome),
    /// A configuration arrived, from the store or another VM.
    ConfigurationReceived(Arc<Configuration>),
    /// The list of endpoints changed, as the store or another VM reports it.
    EndpointsUpdated(EndpointUpdate),
    /// The failure domains that the operators evacuate were read in the store.
    EvacuationsUpdated(Evacuations),
    /// Another VM shared the failure domains that the operators evacuate, with its configuration and endpoints.
    EvacuationsShared(Evacuations),
    /// The versions of pools that the store keeps were read; empty if it has none.
    VersionsRecorded(RecordedVersions),
    /// A read of the versions of begun streams ended; `None` if it failed. Rows that cannot be decoded have no streams.
    StreamVersionsRead(Option<Vec<StreamVersionRow>>),
    /// A write of versions of begun streams ended: the new version of its row, or `None` if it failed or may have.
    StreamVersionsRecorded(Option<u64>),
    /// Whether the store answers this VM.
    StoreReachable(bool),
    /// VMs that the store lists.
    VmsListed(Vec<VmRecord>),
    /// Addresses of the VMs that the settings name as seeds.
    SeedsListed(Vec<SocketAddr>),
    /// A message from another VM arrived.
    PeerMessageReceived {
        /// Sending VM.
        from: VmId,
        /// Incarnation of the sending process.
        incarnation: Incarnation,
        /// Message.
        message: PeerMessage,
    },
    /// The process read valid settings, with this digest.
    SettingsRead(Hash64),
    /// The process received a request to stop.
    Terminate,
    /// A timer may be due; see [`RequestPath::next_wake`](crate::RequestPath::next_wake).
    Tick,
}
