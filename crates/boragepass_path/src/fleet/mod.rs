//! The fleet of VMs: which are alive, which is the leader of a pool, which follow the store, which hold the
//! versions of streams, which records the versions of pools, and which addresses clients get.

mod addresses;
mod cold_sharing;
mod followers;
mod heartbeat_schedule;
mod leader;
mod limit_sharing;
mod members;
mod relays;
mod stream_holders;
mod version_recorder;

pub(crate) use cold_sharing::{ColdSettling, LEADING_VMS_MAX, cold_leading_vms, cold_sharing_vms};
pub(crate) use followers::{follower_rank, is_store_follower};
pub(crate) use leader::{home_pool_leader, pool_leader};
pub(crate) use limit_sharing::limit_sharing_vms;
pub(crate) use members::{Fleet, MembershipChange, Reach};
pub use members::{VmRecord, VmState, VmSummary};
pub(crate) use relays::relay_vm;
pub(crate) use stream_holders::stream_holders;
pub(crate) use version_recorder::{is_version_recorder, stream_collector};
