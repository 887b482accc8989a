//! State of one request from its arrival to its answer.

mod numbers;
mod state;
mod stream_rows;
mod stream_versions;

pub use numbers::{CallNumber, RequestNumber, SendNumber};
pub(crate) use state::{ActiveSend, Phase, RelayedSend, RequestState, SendProgress};
pub(crate) use stream_rows::{StreamCollector, StreamTable};
pub use stream_rows::{StreamVersionRow, stream_digest};
pub(crate) use stream_versions::{BeginningVersion, STREAM_RETENTION, StreamVersion, StreamVersions};
