//! Forecast of a request's path, and refusal of what cannot be served.

mod forecast;
mod refusal;

pub use forecast::{Backlog, Forecast};
pub use refusal::RefusalReason;
pub(crate) use refusal::retry_after;
