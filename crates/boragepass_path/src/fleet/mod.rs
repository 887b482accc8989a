//! Other VMs: which live, which leads a pool, which follow the store, and which
//! addresses clients get.

mod addresses;
mod followers;
mod lead;
mod members;

pub(crate) use followers::is_follower;
pub(crate) use lead::lead_of;
pub(crate) use members::{Fleet, Heard};
pub use members::{VmRecord, VmState};
