//! What happens to the request path: events from clients, endpoints, the store and other VMs.

use std::net::SocketAddr;
use std::sync::Arc;

use boragepass_types::{Hash64, Incarnation, SpanMs, VmId};

use crate::configuration::{ApiKey, Configuration};
use crate::fleet::VmRecord;
use crate::message::PeerMessage;
use crate::placement::EndpointUpdate;
use crate::request::{CallNumber, RequestNumber, SendNumber};

/// Number of an event within a stream.
pub type EventId = u64;

/// Part of a prompt, which several requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Which part.
    pub id: Hash64,
    /// Its length.
    pub tokens: u64,
}

/// Request of a client, read in full. Its headers and body stay with the executor.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Number on this VM.
    pub request: RequestNumber,
    /// The client's own id of this try.
    pub client_id: Arc<str>,
    /// Host asked for.
    pub host: Arc<str>,
    /// Path without query.
    pub path: Arc<str>,
    /// Key presented.
    pub key: Option<ApiKey>,
    /// How long the client waits, counted from the arrival.
    pub deadline_ms: Option<SpanMs>,
    /// Parts of the prompt in order.
    pub prompt: Vec<PromptPart>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the output.
    pub output_tokens_max: u64,
    /// Pieces of each stage.
    pub pieces: Vec<u16>,
    /// Key of the pieces of stages that need no inputs.
    pub piece_key: Arc<str>,
    /// Last event that the client has, where it resumes a stream.
    pub resume_after: Option<EventId>,
    /// Digest of path, client and body.
    pub digest: Hash64,
    /// Bytes of the body.
    pub body_bytes: u64,
}

/// Load that an endpoint states in a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// What the head of a reply says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplyHead {
    /// HTTP status.
    pub status: u16,
    /// Whether it carries the endpoint's signature.
    pub is_signed: bool,
    /// Whether it names the request that was sent.
    pub is_for_request: bool,
    /// Whether the endpoint states that it did not run the request.
    pub is_not_run: bool,
    /// Load that the endpoint states.
    pub load: Option<ReportedLoad>,
}

impl ReplyHead {
    /// Whether a client may get it as a success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.is_signed && self.is_for_request
    }
}

/// Why a send brought no usable reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum SendFailure {
    /// Nothing of the request left this VM.
    #[display("not sent")]
    NotSent,
    /// The connection ended before a whole reply.
    #[display("connection lost")]
    Lost,
    /// The reply is not HTTP or belongs to another request.
    #[display("unusable reply")]
    Unusable,
    /// Nothing came for too long, so another endpoint got the request.
    #[display("silent")]
    Silent,
}

/// Progress of a stream whose head was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// A first event went to the client.
    FirstEvent,
    /// The endpoint ended the stream whole.
    Ended,
    /// The stream broke off; the last event that the client has in full.
    Broken(SendFailure, Option<EventId>),
}

/// Result of one piece of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceOutcome {
    /// Result lies at the endpoint under this handle.
    Made(Arc<str>),
    /// Its time had run out at its turn.
    Late,
    /// An input does not exist any more.
    InputGone,
    /// The endpoint has no space for the result.
    NoRoom,
    /// The endpoint failed.
    Failed,
}

/// Why a call brought no results.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum CallFailure {
    /// The endpoint has no place for it; it did not run.
    #[display("endpoint full")]
    Full,
    /// Nothing left this VM, or another endpoint has the address.
    #[display("not reached")]
    NotReached,
    /// The connection ended or brought no usable reply.
    #[display("connection lost")]
    Lost,
    /// No reply came in time.
    #[display("no reply in time")]
    Silent,
}

/// End of a call of pieces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallOutcome {
    /// Results in the order of the pieces, or why there are none.
    pub results: Result<Vec<PieceOutcome>, CallFailure>,
    /// Load that the endpoint states.
    pub load: Option<ReportedLoad>,
}

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A client's request was read in full.
    RequestArrived(Box<Arrival>),
    /// A client closed its connection before its answer was whole.
    ClientDisconnected(RequestNumber),
    /// The last byte of an answer was handed to the connection.
    AnswerDelivered(RequestNumber),
    /// Head of a reply arrived; its body waits for a decision, whole unless the reply is a stream.
    ReplyHeadArrived(SendNumber, ReplyHead),
    /// A send brought no reply.
    SendFailed(SendNumber, SendFailure),
    /// Progress of a stream.
    StreamProgressed(SendNumber, Progress),
    /// An endpoint has been silent for as long as its send allows; the last event that the client has.
    EndpointSilent(SendNumber, Option<EventId>),
    /// A call of pieces ended.
    CallEnded(CallNumber, CallOutcome),
    /// A configuration came, from the store or another VM.
    ConfigurationReceived(Arc<Configuration>),
    /// What the store says of endpoints.
    EndpointsUpdated(EndpointUpdate),
    /// Whether the store answers this VM.
    StoreReachable(bool),
    /// VMs that the store lists.
    VmsListed(Vec<VmRecord>),
    /// Addresses of VMs that the settings name.
    SeedsListed(Vec<SocketAddr>),
    /// A message of another VM.
    PeerMessageReceived {
        /// Sender.
        from: VmId,
        /// Its start.
        incarnation: Incarnation,
        /// Message.
        message: PeerMessage,
    },
    /// The process was asked to stop.
    Terminate,
    /// A timer may be due.
    Tick,
}
