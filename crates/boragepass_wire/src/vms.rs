//! Entries of the VM list.

use boragepass_core::{VmListEntry, VmState};
use serde::{Deserialize, Serialize};

use crate::WireError;
use crate::error::field;

/// State of an entry on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireVmState {
    /// In use.
    Live,
    /// Takes no new work.
    Leaving,
    /// Replaced or removed.
    Gone,
}

impl From<VmState> for WireVmState {
    fn from(state: VmState) -> Self {
        match state {
            VmState::Live => Self::Live,
            VmState::Leaving => Self::Leaving,
            VmState::Gone => Self::Gone,
        }
    }
}

impl From<WireVmState> for VmState {
    fn from(state: WireVmState) -> Self {
        match state {
            WireVmState::Live => Self::Live,
            WireVmState::Leaving => Self::Leaving,
            WireVmState::Gone => Self::Gone,
        }
    }
}

/// Entry of the VM list on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireEntry {
    /// Entry VM.
    Entry {
        /// Name.
        vm: String,
        /// Region.
        region: String,
        /// Failure domain.
        failure_domain: String,
        /// Address for other VMs.
        peer_address: String,
        /// Address for callers.
        caller_address: String,
        /// State.
        state: WireVmState,
    },
    /// Endpoint.
    Endpoint {
        /// Name.
        endpoint: String,
        /// Pool.
        pool: String,
        /// Region.
        region: String,
        /// Failure domain.
        failure_domain: String,
        /// Address.
        address: String,
        /// Whether it refuses orders with an old fencing number.
        checks_fence: bool,
        /// State.
        state: WireVmState,
    },
}

impl From<&VmListEntry> for WireEntry {
    fn from(entry: &VmListEntry) -> Self {
        match entry {
            VmListEntry::EntryVm { vm, region, failure_domain, peer_address, caller_address, state } => Self::Entry {
                vm: vm.to_string(),
                region: region.to_string(),
                failure_domain: failure_domain.to_string(),
                peer_address: peer_address.to_string(),
                caller_address: caller_address.to_string(),
                state: (*state).into(),
            },
            VmListEntry::Endpoint { endpoint, pool, region, failure_domain, address, checks_fence, state } => {
                Self::Endpoint {
                    endpoint: endpoint.to_string(),
                    pool: pool.to_string(),
                    region: region.to_string(),
                    failure_domain: failure_domain.to_string(),
                    address: address.to_string(),
                    checks_fence: *checks_fence,
                    state: (*state).into(),
                }
            }
        }
    }
}

impl TryFrom<WireEntry> for VmListEntry {
    type Error = WireError;

    fn try_from(wire: WireEntry) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireEntry::Entry { vm, region, failure_domain, peer_address, caller_address, state } => Self::EntryVm {
                vm: field("vm", &vm)?,
                region: field("region", &region)?,
                failure_domain: field("failure_domain", &failure_domain)?,
                peer_address: field("peer_address", &peer_address)?,
                caller_address: field("caller_address", &caller_address)?,
                state: state.into(),
            },
            WireEntry::Endpoint { endpoint, pool, region, failure_domain, address, checks_fence, state } => {
                Self::Endpoint {
                    endpoint: field("endpoint", &endpoint)?,
                    pool: field("pool", &pool)?,
                    region: field("region", &region)?,
                    failure_domain: field("failure_domain", &failure_domain)?,
                    address: field("address", &address)?,
                    checks_fence,
                    state: state.into(),
                }
            }
        })
    }
}

/// Answer of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListJson {
    /// Version of the list.
    pub version: u64,
    /// Entries that changed since the version that was asked for.
    pub entries: Vec<WireEntry>,
}
