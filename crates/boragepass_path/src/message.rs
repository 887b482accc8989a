//! Messages between VMs: heartbeats, piece requests to pool leaders, and their results.

use std::net::SocketAddr;
use std::sync::Arc;

use boragepass_types::{
    EndpointId, FailureDomain, Hash64, Incarnation, PoolId, Region, RequestRate, SoftwareVersion, SpanMs, VmId,
};

use crate::configuration::ConfigurationVersion;
use crate::event::PieceOutcome;
use crate::fleet::VmRecord;
use crate::placement::{Evacuations, StoreVersion};

/// Id of a piece request, unique over all VMs and their restarts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PieceRequestId {
    /// VM that sent the piece request.
    pub vm: VmId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Number within that incarnation.
    pub number: u64,
}

/// Reference to the result of a piece.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ResultHandle {
    /// Handle that the endpoint assigned.
    pub handle: Arc<str>,
    /// Endpoint that computed the result and holds it.
    pub endpoint: EndpointId,
    /// Failure domain of that endpoint.
    pub failure_domain: FailureDomain,
}

/// Inputs from which a stage computes its pieces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StageInputs {
    /// Piece key of the request, for a stage without input stages.
    Key(Arc<str>),
    /// Handles of results of earlier stages.
    Results(Vec<Arc<str>>),
}

/// Request to a pool leader to have pieces computed, for one stage of one client request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PieceRequest {
    /// Id of this piece request.
    pub id: PieceRequestId,
    /// Pool that computes the pieces.
    pub pool: PoolId,
    /// Region whose endpoints compute them.
    pub region: Region,
    /// Id that the client gave to its request.
    pub client_id: Arc<str>,
    /// Index of the stage within the route.
    pub stage: usize,
    /// Indexes of the requested pieces.
    pub pieces: Vec<u16>,
    /// Inputs of the stage.
    pub inputs: StageInputs,
    /// Approximate size of one result.
    pub result_bytes: u64,
    /// Priority rank from workspace and route; zero is the most urgent.
    pub rank: u16,
    /// Time until the request misses its latency objective; negative once missed.
    pub objective_left_ms: i64,
    /// Time until the request's deadline.
    pub deadline_left_ms: SpanMs,
    /// Shortest time that the request needs after this stage.
    pub downstream_ms: SpanMs,
}

/// Outcome of one piece of a piece request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceResult {
    /// The piece was computed.
    Computed(ResultHandle),
    /// The piece was not computed, for this reason.
    NotComputed(PieceOutcome),
    /// The leader does not know the pool, or the pool has no usable endpoint in the region.
    NoEndpoint,
}

/// Backlog of a pool within a region, as the pool leader reports it.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolLoad {
    /// Pool.
    pub pool: PoolId,
    /// Region of the endpoints.
    pub region: Region,
    /// Time until a piece that is queued now would start.
    pub wait_ms: f32,
    /// Endpoints that are not ejected.
    pub healthy_endpoints: u16,
}

/// Load that one VM itself has placed on an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Endpoint that has the load.
    pub endpoint: EndpointId,
    /// Requests in progress.
    pub in_flight: u16,
    /// Prompt tokens that the endpoint has yet to prefill.
    pub unread_tokens: u32,
}

/// What a reply of an endpoint to a VM stated about the requests that it bears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointLimitReport {
    /// Endpoint that replied.
    pub endpoint: EndpointId,
    /// Rate of requests that it takes from all VMs together; `None` if it no longer limits it.
    pub limit: Option<RequestRate>,
    /// Rejections that it bears in a second; `None` if it bears any number.
    pub rejections_max: Option<u32>,
    /// Time since the reply.
    pub age_ms: SpanMs,
}

/// Endpoint that is cold after its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdReport {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Time for which it stays cold.
    pub left_ms: SpanMs,
}

/// Process of an endpoint that a VM found down.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DownReport {
    /// Endpoint that was found down.
    pub endpoint: EndpointId,
    /// Start of its process, as the entry states it that the VM has read last.
    pub started_at_unix_ms: u64,
    /// Time since then.
    pub age_ms: SpanMs,
}

/// Crashes of endpoints that a content of requests may have caused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ContentCrashes {
    /// Prompt part, or digest of whole requests.
    pub content: Hash64,
    /// Position of a prompt part, counted from 1; zero for whole requests.
    pub specificity: u8,
    /// Crashes, each with the weight of the evidence.
    pub crashes: Vec<(Hash64, u8)>,
    /// Time since the last of them.
    pub age_ms: SpanMs,
}

/// Counts the additions to messages between VMs. A VM that states none is of a build before the first.
pub const PEER_REVISION: u32 = 1;

/// What a VM's process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessStatement {
    /// Revision of the messages that it reads, see [`PEER_REVISION`].
    pub peer_revision: u32,
    /// Digest of the settings that it serves with.
    pub settings_digest: Hash64,
    /// Number of times that it read valid settings, the first time at its start.
    pub settings_reads: u32,
}

/// State that a VM sends to the others several times a second.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// The sending VM.
    pub vm: VmRecord,
    /// Version of the configuration in force.
    pub configuration: ConfigurationVersion,
    /// Whether the store answers the VM.
    pub has_store: bool,
    /// Whether the VM reaches endpoints; false if it lost its links to all of them.
    pub reaches_endpoints: bool,
    /// Version of the endpoint list that it knows.
    pub endpoints_version: StoreVersion,
    /// Backlogs of the pools that it leads.
    pub led_pools: Vec<PoolLoad>,
    /// Load that it has placed on endpoints.
    pub endpoint_loads: Vec<EndpointLoad>,
    /// Rate limits of endpoints, as their replies to the VM stated them.
    pub endpoint_limits: Vec<EndpointLimitReport>,
    /// Endpoints that the VM found down a moment ago.
    pub down_endpoints: Vec<DownReport>,
    /// Crashes of endpoints by the contents of requests that may have caused them.
    pub content_crashes: Vec<ContentCrashes>,
    /// Contents that other VMs hold crashes against and of which the VM has seen requests complete.
    pub cleared_contents: Vec<Hash64>,
    /// A few of the VMs that it knows; successive heartbeats carry different ones.
    pub known_vms: Vec<(VmId, SocketAddr)>,
    /// What the VM's process runs; only a few heartbeats carry it.
    pub process: Option<ProcessStatement>,
    /// Failure domains that the operators evacuate; `None` if the VM does not know them, or is of the previous build.
    pub evacuations: Option<Evacuations>,
    /// Endpoints that replies to the VM show as cold.
    pub cold_endpoints: Vec<ColdReport>,
}

/// Message between VMs.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// Announces that the sender is alive, and its state.
    Heartbeat(Box<Heartbeat>),
    /// Requests pieces from a pool leader.
    PieceRequest(Box<PieceRequest>),
    /// From a pool leader: acknowledges a piece request, with the results that are new, if any.
    /// From the VM that sent the piece request, without results: asks the leader for its state.
    Results(PieceRequestId, Vec<(u16, PieceResult)>),
    /// Cancels a piece request: its results may be dropped, and its waiting pieces are not needed.
    Release(PieceRequestId),
    /// Software version of the endpoint that began a stream, by the client's id of the attempt that brought the first
    /// event; no version if the endpoint states none.
    StreamVersion(Arc<str>, Option<SoftwareVersion>),
    /// Asks for the software version that began a stream.
    StreamVersionQuery(Arc<str>),
    /// Asks for configuration and endpoints: the sender has older versions, and the store does not deliver newer ones.
    StateQuery,
}
