//! Limits on retries: the budget per pool, and the refusal of contents that crash endpoints.

mod budget;
mod crash_evidence;
mod crash_tracker;
mod rejection;

pub(crate) use budget::RetryBudget;
pub(crate) use crash_tracker::{ContentVerdict, CrashTracker};
pub(crate) use rejection::proves_not_run;
