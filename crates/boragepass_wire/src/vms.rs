//! Wire types of the VM list, which names the entry VMs and the endpoints.

use boragepass_core::{VmListEntry, VmState};
use serde::{Deserialize, Serialize};

use crate::WireError;
use crate::error::parse_field;

/// Wire type of [`VmState`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireVmState {
    /// In use.
    Live,
    /// Accepts no new work.
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

/// Entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireVmListEntry {
    /// Entry VM.
    Entry {
        /// Name.
        vm: String,
        /// Region.
        region: String,
        /// Failure domain.
        failure_domain: String,
        /// Address that other VMs send to.
        peer_address: String,
        /// Address that callers send to.
        caller_address: String,
        /// State of the entry.
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
        /// Whether it refuses orders with an outdated fencing number.
        checks_fence: bool,
        /// State of the entry.
        state: WireVmState,
    },
}

impl From<&VmListEntry> for WireVmListEntry {
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

impl TryFrom<WireVmListEntry> for VmListEntry {
    type Error = WireError;

    fn try_from(wire: WireVmListEntry) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireVmListEntry::Entry { vm, region, failure_domain, peer_address, caller_address, state } => {
                Self::EntryVm {
                    vm: parse_field("vm", &vm)?,
                    region: parse_field("region", &region)?,
                    failure_domain: parse_field("failure_domain", &failure_domain)?,
                    peer_address: parse_field("peer_address", &peer_address)?,
                    caller_address: parse_field("caller_address", &caller_address)?,
                    state: state.into(),
                }
            }
            WireVmListEntry::Endpoint { endpoint, pool, region, failure_domain, address, checks_fence, state } => {
                Self::Endpoint {
                    endpoint: parse_field("endpoint", &endpoint)?,
                    pool: parse_field("pool", &pool)?,
                    region: parse_field("region", &region)?,
                    failure_domain: parse_field("failure_domain", &failure_domain)?,
                    address: parse_field("address", &address)?,
                    checks_fence,
                    state: state.into(),
                }
            }
        })
    }
}

/// Answer to a query of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListJson {
    /// Version of the list.
    pub version: u64,
    /// Entries that changed after the version in the query.
    pub entries: Vec<WireVmListEntry>,
}
