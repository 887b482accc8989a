//! Encoding of messages between VMs in bincode, with a version byte before each.
//!
//! bincode writes no names, so the order of fields and variants is the format; names can change. VMs of the last
//! landing's build must read all messages during an upgrade, so additions go into sections behind the frame
//! ([`Sections`]), and a new kind of message goes only to VMs that state a revision that reads it.

use std::net::SocketAddr;

use boragepass_path::{
    ConfigurationVersion, ContentCrashes, DownReport, Endpoint, EndpointLimitReport, EndpointLoad, Heartbeat,
    PeerMessage, PieceOutcome, PieceRequest, PieceRequestId, PieceResult, PoolLoad, ResultHandle, SharedEndpoint,
    StageInputs, StoreVersion, VmRecord, VmState,
};
use boragepass_types::{Hash64, Incarnation, Millicores, RequestRate, SpanMs, StoreEra};
use serde::{Deserialize, Serialize};

use crate::peer_sections::Sections;

/// Version of the format. Messages with another one are rejected.
const FORMAT_VERSION: u8 = 8;
/// Largest message that is encoded or decoded.
const MESSAGE_BYTES_MAX: usize = 16 * 1_024 * 1_024;

/// Why a message cannot be decoded.
#[derive(Debug, displaydoc::Display)]
pub enum PeerWireError {
    /// unknown version {0}
    UnknownVersion(u8),
    /// undecodable: {0}
    Undecodable(String),
}

fn bincode_config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MESSAGE_BYTES_MAX>()
}

/// Content of one datagram, or of one message over a connection, to another VM.
#[derive(Debug, Serialize, Deserialize)]
pub enum WireFrame {
    Message(WireMessage),
    State(WireState),
    /// Message in a datagram, with its sender; a heartbeat names its sender itself.
    SentBy {
        vm: String,
        incarnation: u64,
        message: WireMessage,
    },
}

/// Configuration and endpoints that the sender knows.
#[derive(Debug, Serialize, Deserialize)]
pub struct WireState {
    /// Configuration, encoded as in the store.
    pub configuration: Option<Vec<u8>>,
    pub endpoints: Vec<WireEndpoint>,
    pub endpoints_version: WireStoreVersion,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireStoreVersion {
    era: u64,
    number: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct WireEndpoint {
    id: String,
    pool: String,
    address: SocketAddr,
    failure_domain: String,
    is_draining: bool,
    slots: u32,
    started_at_unix_ms: u64,
    software_version: Option<String>,
    is_expired: bool,
}

#[derive(Debug, Serialize, Deserialize)]
pub enum WireMessage {
    Heartbeat(Box<WireHeartbeat>),
    PieceRequest(Box<WirePieceRequest>),
    Results(WirePieceRequestId, Vec<(u16, WirePieceResult)>),
    Release(WirePieceRequestId),
    StateQuery,
    /// Stream, and the software version that began it.
    StreamVersion(String, Option<String>),
    StreamVersionQuery(String),
}

#[derive(Debug, Serialize, Deserialize)]
pub struct WireHeartbeat {
    vm: WireVm,
    configuration_version: u64,
    has_store: bool,
    reaches_endpoints: bool,
    endpoints_version: WireStoreVersion,
    /// Pool, region, time until a new piece would start, and healthy endpoints.
    led_pools: Vec<(String, String, f32, u16)>,
    /// Endpoint, requests in flight, and prompt tokens that are yet to be prefilled.
    endpoint_loads: Vec<(String, u16, u32)>,
    /// Endpoint, its limit in requests per thousand seconds or none, and milliseconds since it stated that.
    endpoint_limits: Vec<(String, Option<u64>, Option<u32>, u64)>,
    /// Endpoint, start of its process as a Unix time in milliseconds, and milliseconds since it was found down.
    down_endpoints: Vec<(String, u64, u64)>,
    content_crashes: Vec<WireContentCrashes>,
    cleared_contents: Vec<u64>,
    known_vms: Vec<(String, SocketAddr)>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireContentCrashes {
    content: u64,
    specificity: u8,
    /// Crash and weight of the evidence.
    crashes: Vec<(u64, u8)>,
    age_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireVm {
    vm: String,
    incarnation: u64,
    region: String,
    failure_domain: String,
    client_address: SocketAddr,
    peer_address: SocketAddr,
    relay_address: SocketAddr,
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
pub struct WirePieceRequestId {
    vm: String,
    incarnation: u64,
    number: u64,
}

#[derive(Debug, Serialize, Deserialize)]
enum WireStageInputs {
    Key(String),
    Results(Vec<String>),
}

#[derive(Debug, Serialize, Deserialize)]
pub struct WirePieceRequest {
    id: WirePieceRequestId,
    pool: String,
    region: String,
    client_id: String,
    stage: u16,
    pieces: Vec<u16>,
    inputs: WireStageInputs,
    result_bytes: u64,
    rank: u16,
    objective_left_ms: i64,
    deadline_left_ms: u64,
    downstream_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub enum WirePieceResult {
    Computed { handle: String, endpoint: String, failure_domain: String },
    Late,
    InputLost,
    NoSpace,
    Failed,
    NoEndpoint,
}

pub(crate) fn parse_field<T: std::str::FromStr>(text: &str) -> Result<T, PeerWireError>
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
            relay_address: record.relay_address,
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
            vm: parse_field(&wire.vm)?,
            incarnation: Incarnation(wire.incarnation),
            region: parse_field(&wire.region)?,
            failure_domain: parse_field(&wire.failure_domain)?,
            client_address: wire.client_address,
            peer_address: wire.peer_address,
            relay_address: wire.relay_address,
            processor: Millicores(wire.millicores),
            state: match wire.state {
                WireVmState::Starting => VmState::Starting,
                WireVmState::Serving => VmState::Serving,
                WireVmState::Leaving => VmState::Leaving,
            },
        })
    }
}

impl From<StoreVersion> for WireStoreVersion {
    fn from(version: StoreVersion) -> Self {
        Self { era: version.era.0, number: version.number }
    }
}

impl From<WireStoreVersion> for StoreVersion {
    fn from(wire: WireStoreVersion) -> Self {
        Self { era: StoreEra(wire.era), number: wire.number }
    }
}

impl From<&Heartbeat> for WireHeartbeat {
    fn from(heartbeat: &Heartbeat) -> Self {
        let pool_load =
            |load: &PoolLoad| (load.pool.to_string(), load.region.to_string(), load.wait_ms, load.healthy_endpoints);
        let endpoint_load = |load: &EndpointLoad| (load.endpoint.to_string(), load.in_flight, load.unread_tokens);
        let endpoint_limit = |report: &EndpointLimitReport| {
            (report.endpoint.to_string(), report.limit.map(|limit| limit.0), report.rejections_max, report.age_ms.0)
        };
        let down_report =
            |report: &DownReport| (report.endpoint.to_string(), report.started_at_unix_ms, report.age_ms.0);
        Self {
            vm: (&heartbeat.vm).into(),
            configuration_version: heartbeat.configuration.0,
            has_store: heartbeat.has_store,
            reaches_endpoints: heartbeat.reaches_endpoints,
            endpoints_version: heartbeat.endpoints_version.into(),
            led_pools: heartbeat.led_pools.iter().map(pool_load).collect(),
            endpoint_loads: heartbeat.endpoint_loads.iter().map(endpoint_load).collect(),
            endpoint_limits: heartbeat.endpoint_limits.iter().map(endpoint_limit).collect(),
            down_endpoints: heartbeat.down_endpoints.iter().map(down_report).collect(),
            content_crashes: heartbeat.content_crashes.iter().map(Into::into).collect(),
            cleared_contents: heartbeat.cleared_contents.iter().map(|content| content.0).collect(),
            known_vms: heartbeat.known_vms.iter().map(|(vm, address)| (vm.to_string(), *address)).collect(),
        }
    }
}

impl TryFrom<WireHeartbeat> for Heartbeat {
    type Error = PeerWireError;

    fn try_from(wire: WireHeartbeat) -> Result<Self, Self::Error> {
        let pool_load = |(pool, region, wait_ms, healthy_endpoints): (String, String, f32, u16)| {
            Ok(PoolLoad { pool: parse_field(&pool)?, region: parse_field(&region)?, wait_ms, healthy_endpoints })
        };
        let endpoint_load = |(endpoint, in_flight, unread_tokens): (String, u16, u32)| {
            Ok(EndpointLoad { endpoint: parse_field(&endpoint)?, in_flight, unread_tokens })
        };
        let endpoint_limit = |(endpoint, limit, rejections_max, age_ms): (String, Option<u64>, Option<u32>, u64)| {
            let limit = limit.map(RequestRate);
            let endpoint = parse_field(&endpoint)?;
            Ok(EndpointLimitReport { endpoint, limit, rejections_max, age_ms: SpanMs(age_ms) })
        };
        let down_report = |(endpoint, started_at_unix_ms, age_ms): (String, u64, u64)| {
            Ok(DownReport { endpoint: parse_field(&endpoint)?, started_at_unix_ms, age_ms: SpanMs(age_ms) })
        };
        Ok(Self {
            vm: wire.vm.try_into()?,
            configuration: ConfigurationVersion(wire.configuration_version),
            has_store: wire.has_store,
            reaches_endpoints: wire.reaches_endpoints,
            endpoints_version: wire.endpoints_version.into(),
            led_pools: wire.led_pools.into_iter().map(pool_load).collect::<Result<_, PeerWireError>>()?,
            endpoint_loads: wire.endpoint_loads.into_iter().map(endpoint_load).collect::<Result<_, PeerWireError>>()?,
            endpoint_limits: wire
                .endpoint_limits
                .into_iter()
                .map(endpoint_limit)
                .collect::<Result<_, PeerWireError>>()?,
            down_endpoints: wire.down_endpoints.into_iter().map(down_report).collect::<Result<_, PeerWireError>>()?,
            content_crashes: wire.content_crashes.into_iter().map(Into::into).collect(),
            cleared_contents: wire.cleared_contents.into_iter().map(Hash64).collect(),
            known_vms: wire
                .known_vms
                .into_iter()
                .map(|(vm, address)| Ok((parse_field(&vm)?, address)))
                .collect::<Result<_, PeerWireError>>()?,
            process: None,
            evacuations: None,
            cold_endpoints: Vec::new(),
        })
    }
}

impl From<&ContentCrashes> for WireContentCrashes {
    fn from(report: &ContentCrashes) -> Self {
        Self {
            content: report.content.0,
            specificity: report.specificity,
            crashes: report.crashes.iter().map(|(crash, weight)| (crash.0, *weight)).collect(),
            age_ms: report.age_ms.0,
        }
    }
}

impl From<WireContentCrashes> for ContentCrashes {
    fn from(wire: WireContentCrashes) -> Self {
        Self {
            content: Hash64(wire.content),
            specificity: wire.specificity,
            crashes: wire.crashes.into_iter().map(|(crash, weight)| (Hash64(crash), weight)).collect(),
            age_ms: SpanMs(wire.age_ms),
        }
    }
}

impl From<&PieceRequestId> for WirePieceRequestId {
    fn from(id: &PieceRequestId) -> Self {
        Self { vm: id.vm.to_string(), incarnation: id.incarnation.0, number: id.number }
    }
}

impl TryFrom<WirePieceRequestId> for PieceRequestId {
    type Error = PeerWireError;

    fn try_from(wire: WirePieceRequestId) -> Result<Self, Self::Error> {
        Ok(Self { vm: parse_field(&wire.vm)?, incarnation: Incarnation(wire.incarnation), number: wire.number })
    }
}

impl From<&PieceRequest> for WirePieceRequest {
    fn from(piece_request: &PieceRequest) -> Self {
        Self {
            id: (&piece_request.id).into(),
            pool: piece_request.pool.to_string(),
            region: piece_request.region.to_string(),
            client_id: piece_request.client_id.to_string(),
            stage: piece_request.stage as u16,
            pieces: piece_request.pieces.clone(),
            inputs: match &piece_request.inputs {
                StageInputs::Key(key) => WireStageInputs::Key(key.to_string()),
                StageInputs::Results(handles) => {
                    WireStageInputs::Results(handles.iter().map(ToString::to_string).collect())
                }
            },
            result_bytes: piece_request.result_bytes,
            rank: piece_request.rank,
            objective_left_ms: piece_request.objective_left_ms,
            deadline_left_ms: piece_request.deadline_left_ms.0,
            downstream_ms: piece_request.downstream_ms.0,
        }
    }
}

impl TryFrom<WirePieceRequest> for PieceRequest {
    type Error = PeerWireError;

    fn try_from(wire: WirePieceRequest) -> Result<Self, Self::Error> {
        Ok(Self {
            id: wire.id.try_into()?,
            pool: parse_field(&wire.pool)?,
            region: parse_field(&wire.region)?,
            client_id: wire.client_id.into(),
            stage: usize::from(wire.stage),
            pieces: wire.pieces,
            inputs: match wire.inputs {
                WireStageInputs::Key(key) => StageInputs::Key(key.into()),
                WireStageInputs::Results(handles) => {
                    StageInputs::Results(handles.into_iter().map(Into::into).collect())
                }
            },
            result_bytes: wire.result_bytes,
            rank: wire.rank,
            objective_left_ms: wire.objective_left_ms,
            deadline_left_ms: SpanMs(wire.deadline_left_ms),
            downstream_ms: SpanMs(wire.downstream_ms),
        })
    }
}

impl From<&PieceResult> for WirePieceResult {
    fn from(result: &PieceResult) -> Self {
        match result {
            PieceResult::Computed(result) => Self::Computed {
                handle: result.handle.to_string(),
                endpoint: result.endpoint.to_string(),
                failure_domain: result.failure_domain.to_string(),
            },
            PieceResult::NotComputed(PieceOutcome::Late) => Self::Late,
            PieceResult::NotComputed(PieceOutcome::InputLost) => Self::InputLost,
            PieceResult::NotComputed(PieceOutcome::NoSpace) => Self::NoSpace,
            PieceResult::NotComputed(PieceOutcome::Failed | PieceOutcome::Computed(_)) => Self::Failed,
            PieceResult::NoEndpoint => Self::NoEndpoint,
        }
    }
}

impl TryFrom<WirePieceResult> for PieceResult {
    type Error = PeerWireError;

    fn try_from(wire: WirePieceResult) -> Result<Self, Self::Error> {
        Ok(match wire {
            WirePieceResult::Computed { handle, endpoint, failure_domain } => Self::Computed(ResultHandle {
                handle: handle.into(),
                endpoint: parse_field(&endpoint)?,
                failure_domain: parse_field(&failure_domain)?,
            }),
            WirePieceResult::Late => Self::NotComputed(PieceOutcome::Late),
            WirePieceResult::InputLost => Self::NotComputed(PieceOutcome::InputLost),
            WirePieceResult::NoSpace => Self::NotComputed(PieceOutcome::NoSpace),
            WirePieceResult::Failed => Self::NotComputed(PieceOutcome::Failed),
            WirePieceResult::NoEndpoint => Self::NoEndpoint,
        })
    }
}

impl From<&PeerMessage> for WireMessage {
    fn from(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Heartbeat(heartbeat) => Self::Heartbeat(Box::new((&**heartbeat).into())),
            PeerMessage::PieceRequest(piece_request) => Self::PieceRequest(Box::new((&**piece_request).into())),
            PeerMessage::Results(id, results) => {
                Self::Results(id.into(), results.iter().map(|(piece, result)| (*piece, result.into())).collect())
            }
            PeerMessage::Release(id) => Self::Release(id.into()),
            PeerMessage::StateQuery => Self::StateQuery,
            PeerMessage::StreamVersion(stream, version) => {
                Self::StreamVersion(stream.to_string(), version.as_ref().map(ToString::to_string))
            }
            PeerMessage::StreamVersionQuery(stream) => Self::StreamVersionQuery(stream.to_string()),
        }
    }
}

impl TryFrom<WireMessage> for PeerMessage {
    type Error = PeerWireError;

    fn try_from(wire: WireMessage) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireMessage::Heartbeat(heartbeat) => Self::Heartbeat(Box::new((*heartbeat).try_into()?)),
            WireMessage::PieceRequest(piece_request) => Self::PieceRequest(Box::new((*piece_request).try_into()?)),
            WireMessage::Results(id, results) => {
                let results = results.into_iter().map(|(piece, result)| Ok((piece, result.try_into()?)));
                Self::Results(id.try_into()?, results.collect::<Result<_, PeerWireError>>()?)
            }
            WireMessage::Release(id) => Self::Release(id.try_into()?),
            WireMessage::StateQuery => Self::StateQuery,
            WireMessage::StreamVersion(stream, version) => {
                Self::StreamVersion(stream.into(), version.as_deref().map(parse_field).transpose()?)
            }
            WireMessage::StreamVersionQuery(stream) => Self::StreamVersionQuery(stream.into()),
        })
    }
}

impl From<&SharedEndpoint> for WireEndpoint {
    fn from(SharedEndpoint { endpoint, is_expired }: &SharedEndpoint) -> Self {
        Self {
            id: endpoint.id.to_string(),
            pool: endpoint.pool.to_string(),
            address: endpoint.address,
            failure_domain: endpoint.failure_domain.to_string(),
            is_draining: endpoint.is_draining,
            slots: endpoint.slots,
            started_at_unix_ms: endpoint.started_at_unix_ms,
            software_version: endpoint.software_version.as_ref().map(ToString::to_string),
            is_expired: *is_expired,
        }
    }
}

impl TryFrom<WireEndpoint> for SharedEndpoint {
    type Error = PeerWireError;

    fn try_from(wire: WireEndpoint) -> Result<Self, Self::Error> {
        let endpoint = Endpoint {
            id: parse_field(&wire.id)?,
            pool: parse_field(&wire.pool)?,
            address: wire.address,
            failure_domain: parse_field(&wire.failure_domain)?,
            is_draining: wire.is_draining,
            slots: wire.slots,
            started_at_unix_ms: wire.started_at_unix_ms,
            software_version: wire.software_version.as_deref().map(parse_field).transpose()?,
            cold_left_ms: SpanMs(0),
        };
        Ok(Self { endpoint, is_expired: wire.is_expired })
    }
}

/// Encodes a frame, behind the format's version, and the sections that follow it.
pub fn encode(frame: &WireFrame, sections: &Sections) -> Vec<u8> {
    let mut bytes = vec![FORMAT_VERSION];
    match bincode::serde::encode_to_vec(frame, bincode_config()) {
        Ok(body) => {
            bytes.extend(body);
            sections.encode_onto(&mut bytes);
        }
        // Only a message above the size limit cannot be encoded. It is sent empty, which the receiver rejects.
        Err(_) => bytes.clear(),
    }
    bytes
}

/// Decodes a frame of this version of the format, and the sections that follow it.
pub fn decode(bytes: &[u8]) -> Result<(WireFrame, Sections), PeerWireError> {
    match bytes.split_first() {
        Some((&FORMAT_VERSION, body)) => {
            let (frame, frame_bytes) = bincode::serde::decode_from_slice(body, bincode_config())
                .map_err(|error| PeerWireError::Undecodable(error.to_string()))?;
            Ok((frame, Sections::decode(body.get(frame_bytes..).unwrap_or_default())?))
        }
        Some((version, _)) => Err(PeerWireError::UnknownVersion(*version)),
        None => Err(PeerWireError::Undecodable("empty".to_owned())),
    }
}
