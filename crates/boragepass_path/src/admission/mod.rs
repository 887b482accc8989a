//! Admission of requests: the forecast of a request's latency, and the reasons for refusal.

mod forecast;
mod refusal;

pub use forecast::{Backlog, Forecast};
pub use refusal::RefusalReason;
pub(crate) use refusal::retry_after;
