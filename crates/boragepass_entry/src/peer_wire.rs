//! Messages between VMs in bincode.

use std::net::SocketAddr;

use boragepass_path::{
    ConfigurationVersion, Endpoint, EndpointLoad, Heartbeat, PeerMessage, PieceOutcome, PieceRequest, PieceRequestId,
    PieceResult, PoolLoad, ResultHandle, StageInputs, VmRecord, VmState,
};
use boragepass_types::{Hash64, Incarnation, Millicores, SpanMs};
use serde::{Deserialize, Serialize};

/// Version of the format; another one is refused.
const VERSION: u8 = 2;
/// Largest message.
const MESSAGE_BYTES_MAX: usize = 16 * 1_024 * 1_024;

/// Why a message cannot be read.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum PeerWireError {
    /// unknown version {0}
    UnknownVersion(u8),
    /// undecodable: {0}
    Undecodable(String),
}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MESSAGE_BYTES_MAX>()
}

/// What one VM sends another.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum WireFrame {
    Message(WireMessage),
    State(WireState),
}

/// Configuration and endpoints as the sender knows them.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireState {
    /// Configuration as the store holds it.
    pub(crate) configuration: Option<Vec<u8>>,
    pub(crate) endpoints: Vec<WireEndpoint>,
    pub(crate) endpoints_version: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireEndpoint {
    id: String,
    pool: String,
    address: SocketAddr,
    failure_domain: String,
    is_draining: bool,
    slots: u32,
    born_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum WireMessage {
    Heartbeat(Box<WireHeartbeat>),
    Ask(Box<WireAsk>),
    Results(WireAskId, Vec<(u16, WirePieceResult)>),
    Release(WireAskId),
    WantState,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireHeartbeat {
    vm: WireVm,
    configuration: u64,
    has_store: bool,
    endpoints_version: u64,
    pools: Vec<(String, String, f32, u16)>,
    endpoints: Vec<(String, u16, u32)>,
    crashes: Vec<(u64, u8)>,
    others: Vec<(String, SocketAddr)>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireVm {
    vm: String,
    incarnation: u64,
    region: String,
    failure_domain: String,
    client_address: SocketAddr,
    peer_address: SocketAddr,
    millicores: u32,
    state: WireVmState,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
enum WireVmState {
    Starting,
    Serving,
    Leaving,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireAskId {
    vm: String,
    incarnation: u64,
    number: u64,
}

#[derive(Debug, Serialize, Deserialize)]
enum WireInputs {
    Key(String),
    Results(Vec<String>),
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireAsk {
    id: WireAskId,
    pool: String,
    region: String,
    client_id: String,
    stage: u16,
    pieces: Vec<u16>,
    inputs: WireInputs,
    result_bytes: u64,
    rank: u16,
    objective_left_ms: i64,
    deadline_left_ms: u64,
    after_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum WirePieceResult {
    Made { handle: String, endpoint: String, failure_domain: String },
    Late,
    InputGone,
    NoRoom,
    Failed,
    NoEndpoint,
}

fn parsed<T: std::str::FromStr>(text: &str) -> Result<T, PeerWireError>
where
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error: T::Err| PeerWireError::Undecodable(format!("{text:?}: {error}")))
}

impl From<&VmRecord> for WireVm {
    fn from(record: &VmRecord) -> Self {
        Self {
            vm: record.vm.to_string(),
            incarnation: record.incarnation.0,
            region: record.region.to_string(),
            failure_domain: record.failure_domain.to_string(),
            client_address: record.client_address,
            peer_address: record.peer_address,
            millicores: record.processor.0,
            state: match record.state {
                VmState::Starting => WireVmState::Starting,
                VmState::Serving => WireVmState::Serving,
                VmState::Leaving => WireVmState::Leaving,
            },
        }
    }
}

impl TryFrom<WireVm> for VmRecord {
    type Error = PeerWireError;

    fn try_from(wire: WireVm) -> Result<Self, Self::Error> {
        Ok(Self {
            vm: parsed(&wire.vm)?,
            incarnation: Incarnation(wire.incarnation),
            region: parsed(&wire.region)?,
            failure_domain: parsed(&wire.failure_domain)?,
            client_address: wire.client_address,
            peer_address: wire.peer_address,
            processor: Millicores(wire.millicores),
            state: match wire.state {
                WireVmState::Starting => VmState::Starting,
                WireVmState::Serving => VmState::Serving,
                WireVmState::Leaving => VmState::Leaving,
            },
        })
    }
}

impl From<&Heartbeat> for WireHeartbeat {
    fn from(heartbeat: &Heartbeat) -> Self {
        let pool =
            |load: &PoolLoad| (load.pool.to_string(), load.region.to_string(), load.wait_ms, load.healthy_endpoints);
        let endpoint = |load: &EndpointLoad| (load.endpoint.to_string(), load.in_flight, load.unread_tokens);
        Self {
            vm: (&heartbeat.vm).into(),
            configuration: heartbeat.configuration.0,
            has_store: heartbeat.has_store,
            endpoints_version: heartbeat.endpoints_version,
            pools: heartbeat.led_pools.iter().map(pool).collect(),
            endpoints: heartbeat.endpoint_loads.iter().map(endpoint).collect(),
            crashes: heartbeat.content_crashes.iter().map(|(digest, count)| (digest.0, *count)).collect(),
            others: heartbeat.known_vms.iter().map(|(vm, address)| (vm.to_string(), *address)).collect(),
        }
    }
}

impl TryFrom<WireHeartbeat> for Heartbeat {
    type Error = PeerWireError;

    fn try_from(wire: WireHeartbeat) -> Result<Self, Self::Error> {
        let pool = |(pool, region, wait_ms, endpoints): (String, String, f32, u16)| {
            Ok(PoolLoad { pool: parsed(&pool)?, region: parsed(&region)?, wait_ms, healthy_endpoints: endpoints })
        };
        let endpoint = |(endpoint, in_flight, unread_tokens): (String, u16, u32)| {
            Ok(EndpointLoad { endpoint: parsed(&endpoint)?, in_flight, unread_tokens })
        };
        Ok(Self {
            vm: wire.vm.try_into()?,
            configuration: ConfigurationVersion(wire.configuration),
            has_store: wire.has_store,
            endpoints_version: wire.endpoints_version,
            led_pools: wire.pools.into_iter().map(pool).collect::<Result<_, PeerWireError>>()?,
            endpoint_loads: wire.endpoints.into_iter().map(endpoint).collect::<Result<_, PeerWireError>>()?,
            content_crashes: wire.crashes.into_iter().map(|(digest, count)| (Hash64(digest), count)).collect(),
            known_vms: wire
                .others
                .into_iter()
                .map(|(vm, address)| Ok((parsed(&vm)?, address)))
                .collect::<Result<_, PeerWireError>>()?,
        })
    }
}

impl From<&PieceRequestId> for WireAskId {
    fn from(id: &PieceRequestId) -> Self {
        Self { vm: id.vm.to_string(), incarnation: id.incarnation.0, number: id.number }
    }
}

impl TryFrom<WireAskId> for PieceRequestId {
    type Error = PeerWireError;

    fn try_from(wire: WireAskId) -> Result<Self, Self::Error> {
        Ok(Self { vm: parsed(&wire.vm)?, incarnation: Incarnation(wire.incarnation), number: wire.number })
    }
}

impl From<&PieceRequest> for WireAsk {
    fn from(ask: &PieceRequest) -> Self {
        Self {
            id: (&ask.id).into(),
            pool: ask.pool.to_string(),
            region: ask.region.to_string(),
            client_id: ask.client_id.to_string(),
            stage: ask.stage as u16,
            pieces: ask.pieces.clone(),
            inputs: match &ask.inputs {
                StageInputs::Key(key) => WireInputs::Key(key.to_string()),
                StageInputs::Results(handles) => WireInputs::Results(handles.iter().map(ToString::to_string).collect()),
            },
            result_bytes: ask.result_bytes,
            rank: ask.rank,
            objective_left_ms: ask.objective_left_ms,
            deadline_left_ms: ask.deadline_left_ms.0,
            after_ms: ask.downstream_ms.0,
        }
    }
}

impl TryFrom<WireAsk> for PieceRequest {
    type Error = PeerWireError;

    fn try_from(wire: WireAsk) -> Result<Self, Self::Error> {
        Ok(Self {
            id: wire.id.try_into()?,
            pool: parsed(&wire.pool)?,
            region: parsed(&wire.region)?,
            client_id: wire.client_id.into(),
            stage: usize::from(wire.stage),
            pieces: wire.pieces,
            inputs: match wire.inputs {
                WireInputs::Key(key) => StageInputs::Key(key.into()),
                WireInputs::Results(handles) => StageInputs::Results(handles.into_iter().map(Into::into).collect()),
            },
            result_bytes: wire.result_bytes,
            rank: wire.rank,
            objective_left_ms: wire.objective_left_ms,
            deadline_left_ms: SpanMs(wire.deadline_left_ms),
            downstream_ms: SpanMs(wire.after_ms),
        })
    }
}

impl From<&PieceResult> for WirePieceResult {
    fn from(result: &PieceResult) -> Self {
        match result {
            PieceResult::Computed(made) => Self::Made {
                handle: made.handle.to_string(),
                endpoint: made.endpoint.to_string(),
                failure_domain: made.failure_domain.to_string(),
            },
            PieceResult::NotComputed(PieceOutcome::Late) => Self::Late,
            PieceResult::NotComputed(PieceOutcome::InputLost) => Self::InputGone,
            PieceResult::NotComputed(PieceOutcome::NoSpace) => Self::NoRoom,
            PieceResult::NotComputed(PieceOutcome::Failed | PieceOutcome::Computed(_)) => Self::Failed,
            PieceResult::NoEndpoint => Self::NoEndpoint,
        }
    }
}

impl TryFrom<WirePieceResult> for PieceResult {
    type Error = PeerWireError;

    fn try_from(wire: WirePieceResult) -> Result<Self, Self::Error> {
        Ok(match wire {
            WirePieceResult::Made { handle, endpoint, failure_domain } => Self::Computed(ResultHandle {
                handle: handle.into(),
                endpoint: parsed(&endpoint)?,
                failure_domain: parsed(&failure_domain)?,
            }),
            WirePieceResult::Late => Self::NotComputed(PieceOutcome::Late),
            WirePieceResult::InputGone => Self::NotComputed(PieceOutcome::InputLost),
            WirePieceResult::NoRoom => Self::NotComputed(PieceOutcome::NoSpace),
            WirePieceResult::Failed => Self::NotComputed(PieceOutcome::Failed),
            WirePieceResult::NoEndpoint => Self::NoEndpoint,
        })
    }
}

impl From<&PeerMessage> for WireMessage {
    fn from(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Heartbeat(heartbeat) => Self::Heartbeat(Box::new((&**heartbeat).into())),
            PeerMessage::PieceRequest(ask) => Self::Ask(Box::new((&**ask).into())),
            PeerMessage::Results(id, results) => {
                Self::Results(id.into(), results.iter().map(|(piece, result)| (*piece, result.into())).collect())
            }
            PeerMessage::Release(id) => Self::Release(id.into()),
            PeerMessage::StateQuery => Self::WantState,
        }
    }
}

impl TryFrom<WireMessage> for PeerMessage {
    type Error = PeerWireError;

    fn try_from(wire: WireMessage) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireMessage::Heartbeat(heartbeat) => Self::Heartbeat(Box::new((*heartbeat).try_into()?)),
            WireMessage::Ask(ask) => Self::PieceRequest(Box::new((*ask).try_into()?)),
            WireMessage::Results(id, results) => {
                let results = results.into_iter().map(|(piece, result)| Ok((piece, result.try_into()?)));
                Self::Results(id.try_into()?, results.collect::<Result<_, PeerWireError>>()?)
            }
            WireMessage::Release(id) => Self::Release(id.try_into()?),
            WireMessage::WantState => Self::StateQuery,
        })
    }
}

impl From<&Endpoint> for WireEndpoint {
    fn from(endpoint: &Endpoint) -> Self {
        Self {
            id: endpoint.id.to_string(),
            pool: endpoint.pool.to_string(),
            address: endpoint.address,
            failure_domain: endpoint.failure_domain.to_string(),
            is_draining: endpoint.is_draining,
            slots: endpoint.slots,
            born_ms: endpoint.started_at_unix_ms,
        }
    }
}

impl TryFrom<WireEndpoint> for Endpoint {
    type Error = PeerWireError;

    fn try_from(wire: WireEndpoint) -> Result<Self, Self::Error> {
        Ok(Self {
            id: parsed(&wire.id)?,
            pool: parsed(&wire.pool)?,
            address: wire.address,
            failure_domain: parsed(&wire.failure_domain)?,
            is_draining: wire.is_draining,
            slots: wire.slots,
            started_at_unix_ms: wire.born_ms,
        })
    }
}

/// Encodes a frame.
pub(crate) fn encode(frame: &WireFrame) -> Vec<u8> {
    let mut bytes = vec![VERSION];
    match bincode::serde::encode_to_vec(frame, config()) {
        Ok(body) => bytes.extend(body),
        // Only a message above the size limit cannot be encoded; the receiver refuses an empty one.
        Err(_) => bytes.clear(),
    }
    bytes
}

/// Decodes a frame.
pub(crate) fn decode(bytes: &[u8]) -> Result<WireFrame, PeerWireError> {
    match bytes.split_first() {
        Some((&VERSION, body)) => bincode::serde::decode_from_slice(body, config())
            .map(|(frame, _)| frame)
            .map_err(|error| PeerWireError::Undecodable(error.to_string())),
        Some((version, _)) => Err(PeerWireError::UnknownVersion(*version)),
        None => Err(PeerWireError::Undecodable("empty".to_owned())),
    }
}
