//! Stages that run before a request itself: the progress of one request through its stages, and the
//! work queue of a stage pool at its leader.

mod pool;
mod progress;
mod rank;
mod result_space;

pub use pool::{AvailableEndpoint, CallEnd, PieceTask, Pool, PoolCall};
pub(crate) use progress::{SentPieceRequest, StageProgress};
pub use rank::PieceRank;
