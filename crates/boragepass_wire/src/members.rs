//! Wire types of heartbeats, member records and endpoint loads, as VMs send them.

use boragepass_core::{Heartbeat, Holdings, MemberRecord, MemberState, SharedLoad};
use boragepass_types::{Hash64, Incarnation, ListVersion, SpanMs};
use serde::{Deserialize, Serialize};

use crate::WireError;
use crate::error::{parse_field, parse_fields, to_strings, try_convert_all};

/// Wire type of [`MemberState`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireMemberState {
    /// In the VM list, but never heard from.
    Listed,
    /// Serves requests.
    Alive,
    /// Drains before it stops.
    Leaving,
    /// No longer heard from.
    Dead,
}

impl From<MemberState> for WireMemberState {
    fn from(state: MemberState) -> Self {
        match state {
            MemberState::Listed => Self::Listed,
            MemberState::Alive => Self::Alive,
            MemberState::Leaving => Self::Leaving,
            MemberState::Dead => Self::Dead,
        }
    }
}

impl From<WireMemberState> for MemberState {
    fn from(state: WireMemberState) -> Self {
        match state {
            WireMemberState::Listed => Self::Listed,
            WireMemberState::Alive => Self::Alive,
            WireMemberState::Leaving => Self::Leaving,
            WireMemberState::Dead => Self::Dead,
        }
    }
}

/// Wire type of [`MemberRecord`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireMemberRecord {
    vm: String,
    incarnation: u64,
    epoch: u32,
    state: WireMemberState,
    region: String,
    failure_domain: String,
    peer_address: std::net::SocketAddr,
    caller_address: std::net::SocketAddr,
    lists: u64,
}

impl From<&MemberRecord> for WireMemberRecord {
    fn from(record: &MemberRecord) -> Self {
        Self {
            vm: record.vm.to_string(),
            incarnation: record.incarnation.0,
            epoch: record.epoch,
            state: record.state.into(),
            region: record.region.to_string(),
            failure_domain: record.failure_domain.to_string(),
            peer_address: record.peer_address,
            caller_address: record.caller_address,
            lists: record.lists.0,
        }
    }
}

impl TryFrom<WireMemberRecord> for MemberRecord {
    type Error = WireError;

    fn try_from(wire: WireMemberRecord) -> Result<Self, Self::Error> {
        Ok(Self {
            vm: parse_field("vm", &wire.vm)?,
            incarnation: Incarnation(wire.incarnation),
            epoch: wire.epoch,
            state: wire.state.into(),
            region: parse_field("region", &wire.region)?,
            failure_domain: parse_field("failure_domain", &wire.failure_domain)?,
            peer_address: wire.peer_address,
            caller_address: wire.caller_address,
            lists: ListVersion(wire.lists),
        })
    }
}

/// Wire type of [`Heartbeat`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireHeartbeat {
    epoch: u32,
    state: WireMemberState,
    lists: u64,
    sender: Option<Box<WireMemberRecord>>,
    /// Failure domain and list version.
    domains: Vec<(String, u64)>,
    quarantine_hash: u64,
    records: Vec<WireMemberRecord>,
}

impl From<&Heartbeat> for WireHeartbeat {
    fn from(heartbeat: &Heartbeat) -> Self {
        Self {
            epoch: heartbeat.epoch,
            state: heartbeat.state.into(),
            lists: heartbeat.lists.0,
            sender: heartbeat.sender.as_deref().map(|sender| Box::new(sender.into())),
            domains: heartbeat.domains.iter().map(|(domain, lists)| (domain.to_string(), lists.0)).collect(),
            quarantine_hash: heartbeat.quarantine_hash.0,
            records: heartbeat.records.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<WireHeartbeat> for Heartbeat {
    type Error = WireError;

    fn try_from(wire: WireHeartbeat) -> Result<Self, Self::Error> {
        let domains = wire.domains.iter();
        let domains = domains.map(|(domain, lists)| Ok((parse_field("domain", domain)?, ListVersion(*lists))));
        let sender = wire.sender.map(|sender| MemberRecord::try_from(*sender).map(Box::new));
        Ok(Self {
            epoch: wire.epoch,
            state: wire.state.into(),
            lists: ListVersion(wire.lists),
            sender: sender.transpose()?,
            domains: domains.collect::<Result<_, WireError>>()?,
            quarantine_hash: Hash64(wire.quarantine_hash),
            records: try_convert_all(wire.records)?,
        })
    }
}

/// Wire type of [`SharedLoad`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireSharedLoad {
    /// Hash of the endpoint's id.
    endpoint: u64,
    running: u32,
    queued: u32,
    slots: u32,
    age_ms: u64,
    leaving: bool,
    /// Models and adapters.
    holdings: Option<(Vec<String>, Vec<String>)>,
}

impl From<&SharedLoad> for WireSharedLoad {
    fn from(load: &SharedLoad) -> Self {
        let holdings = load.holdings.as_ref();
        Self {
            endpoint: load.endpoint.0,
            running: load.running,
            queued: load.queued,
            slots: load.slots,
            age_ms: load.age_ms.0,
            leaving: load.leaving,
            holdings: holdings.map(|holdings| (to_strings(&holdings.models), to_strings(&holdings.adapters))),
        }
    }
}

impl TryFrom<WireSharedLoad> for SharedLoad {
    type Error = WireError;

    fn try_from(wire: WireSharedLoad) -> Result<Self, Self::Error> {
        let holdings = match wire.holdings {
            Some((models, adapters)) => {
                let (models, adapters) = (parse_fields("models", &models)?, parse_fields("adapters", &adapters)?);
                Some(Holdings { models, adapters })
            }
            None => None,
        };
        Ok(Self {
            endpoint: Hash64(wire.endpoint),
            running: wire.running,
            queued: wire.queued,
            slots: wire.slots,
            age_ms: SpanMs(wire.age_ms),
            leaving: wire.leaving,
            holdings,
        })
    }
}
