//! Messages between VMs.

use std::net::SocketAddr;
use std::sync::Arc;

use boragepass_types::{EndpointId, FailureDomain, Hash64, Incarnation, PoolId, Region, SpanMs, VmId};

use crate::configuration::ConfigurationVersion;
use crate::event::PieceOutcome;
use crate::fleet::VmRecord;

/// Request for pieces, unique on the VM that asks.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PieceRequestId {
    /// VM that asks.
    pub vm: VmId,
    /// Its start.
    pub incarnation: Incarnation,
    /// Number on it.
    pub number: u64,
}

/// Result of a piece.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ResultHandle {
    /// Handle, as the endpoint names it.
    pub handle: Arc<str>,
    /// Endpoint that made and keeps it.
    pub endpoint: EndpointId,
    /// Failure domain of that endpoint.
    pub failure_domain: FailureDomain,
}

/// Inputs of a stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Inputs {
    /// Key of the request.
    Key(Arc<str>),
    /// Results of earlier stages.
    Results(Vec<Arc<str>>),
}

/// Pieces of one stage of one request that a pool's lead shall have made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PieceRequest {
    /// Which ask.
    pub id: PieceRequestId,
    /// Pool.
    pub pool: PoolId,
    /// Region whose endpoints shall work.
    pub region: Region,
    /// The client's id of the request.
    pub client_id: Arc<str>,
    /// Stage within the route.
    pub stage: usize,
    /// Pieces that are wanted.
    pub pieces: Vec<u16>,
    /// Inputs.
    pub inputs: Inputs,
    /// Approximate size of one result.
    pub result_bytes: u64,
    /// Rank of workspace and route; zero is the most urgent.
    pub rank: u16,
    /// Time until the request's objective is missed; negative after that.
    pub objective_left_ms: i64,
    /// Time until the request's deadline.
    pub deadline_left_ms: SpanMs,
    /// Time that the path after this stage takes at least.
    pub downstream_ms: SpanMs,
}

/// Result of one piece of an ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceResult {
    /// Result.
    Made(ResultHandle),
    /// Why there is none.
    NotMade(PieceOutcome),
    /// No endpoint of the pool is left in this region.
    NoEndpoint,
}

/// Backlog of a pool within a region, as its lead sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolLoad {
    /// Pool.
    pub pool: PoolId,
    /// Region.
    pub region: Region,
    /// Time until a piece that comes now would begin.
    pub wait_ms: f32,
    /// Endpoints that work.
    pub healthy_endpoints: u16,
}

/// One VM's own work at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Requests in progress.
    pub in_flight: u16,
    /// Prompt tokens that have not been read yet.
    pub unread_tokens: u32,
}

/// What a VM says of itself several times a second.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// The VM.
    pub vm: VmRecord,
    /// Configuration in force.
    pub configuration: ConfigurationVersion,
    /// Whether the store answers it.
    pub has_store: bool,
    /// Version of the endpoint table that it has seen.
    pub endpoints_version: u64,
    /// Pools that it leads.
    pub led_pools: Vec<PoolLoad>,
    /// Its own work at endpoints.
    pub endpoint_loads: Vec<EndpointLoad>,
    /// Contents that crashed endpoints, with the number of crashes.
    pub content_crashes: Vec<(Hash64, u8)>,
    /// VMs that it knows, a few at a time.
    pub known_vms: Vec<(VmId, SocketAddr)>,
}

/// Message between VMs.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// A VM lives.
    Heartbeat(Box<Heartbeat>),
    /// Pieces are wanted.
    PieceRequest(Box<PieceRequest>),
    /// The lead has an ask; results of some of its pieces, perhaps of none yet.
    Results(PieceRequestId, Vec<(u16, PieceResult)>),
    /// The results of an ask are no longer needed, or what is left of it is no longer wanted.
    Release(PieceRequestId),
    /// The sender has older configuration or endpoints, and the store does not tell it more.
    StateQuery,
}
