//! Stages before a request: progress of one request through them, and the queue of a pool's lead.

mod pool;
mod progress;
mod rank;
mod result_space;

pub use pool::{AvailableEndpoint, CallEnd, PieceTask, Pool, PoolCall};
pub(crate) use progress::{SentPieceRequest, StageProgress};
pub use rank::PieceRank;
