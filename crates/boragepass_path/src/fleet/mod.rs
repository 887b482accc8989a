//! Other VMs: which live, which leads a pool, and which addresses clients get.

mod addresses;
mod lead;
mod members;

pub(crate) use lead::lead_of;
pub(crate) use members::{Fleet, Heard};
pub use members::{VmRecord, VmState};
