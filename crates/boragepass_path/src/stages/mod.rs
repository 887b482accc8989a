//! Stages before a request: progress of one request through them, and the queue of a pool's lead.

mod pool;
mod progress;
mod rank;
mod space;

pub use pool::{CallEnd, PieceTask, Pool, PoolCall, Usable};
pub(crate) use progress::{Asked, StageProgress};
pub use rank::PieceRank;
