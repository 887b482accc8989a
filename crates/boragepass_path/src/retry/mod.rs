//! Repeated sends: how many are allowed, and requests that crash the endpoints that run them.

mod budget;
mod crash_tracker;

pub(crate) use budget::RetryBudget;
pub(crate) use crash_tracker::CrashTracker;
