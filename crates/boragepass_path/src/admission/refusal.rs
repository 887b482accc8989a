//! Why a request is refused, and when its client may come back.

use boragepass_types::SpanMs;
use derive_more::Display;
use rand::Rng;

/// Why this VM answers a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RefusalReason {
    /// No configuration is known yet.
    #[display("no configuration yet")]
    NoConfiguration,
    /// No route matches.
    #[display("no route")]
    NoRoute,
    /// The key is unknown or missing.
    #[display("unknown key")]
    UnknownKey,
    /// A header that the request needs is missing or unreadable.
    #[display("malformed request")]
    Malformed,
    /// The request cannot be served before its deadline.
    #[display("deadline cannot be met")]
    Overload,
    /// Its stages could not be made in time.
    #[display("late at a stage")]
    LateAtStage,
    /// A stage failed repeatedly.
    #[display("stage failed")]
    StageFailed,
    /// No endpoint of the pool takes it.
    #[display("no endpoint")]
    NoEndpoint,
    /// Every endpoint that it may be sent to said that it is full.
    #[display("endpoints full")]
    EndpointsFull,
    /// It crashed the endpoints that ran it.
    #[display("crashes endpoints")]
    CrashesEndpoints,
    /// The VM is stopping.
    #[display("stopping")]
    Stopping,
    /// Its time ran out before anything of it was sent.
    #[display("timed out before it was sent")]
    TimeoutNotSent,
    /// Its time ran out while an endpoint worked on it.
    #[display("timed out at an endpoint")]
    TimeoutAtEndpoint,
    /// The endpoint was lost while it worked on the request.
    #[display("endpoint lost")]
    EndpointLost,
    /// The endpoint's reply cannot be used.
    #[display("unusable reply")]
    UnusableReply,
}

impl RefusalReason {
    /// HTTP status that says it.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::UnknownKey => 401,
            Self::NoRoute => 404,
            Self::NoConfiguration
            | Self::Overload
            | Self::LateAtStage
            | Self::StageFailed
            | Self::NoEndpoint
            | Self::EndpointsFull
            | Self::CrashesEndpoints
            | Self::Stopping
            | Self::TimeoutNotSent => 503,
            Self::EndpointLost | Self::UnusableReply => 502,
            Self::TimeoutAtEndpoint => 504,
        }
    }
}

/// Shortest time after which a refused client is asked back.
const RETRY_AFTER_MIN_MS: u64 = 200;
/// Spread of the times at which refused clients come back, as a share, so that they do not come together.
const RETRY_JITTER_SHARE: f64 = 0.5;

/// When a client may come back, given the time until there is place for it.
pub(crate) fn retry_after(capacity_in: SpanMs, random: &mut impl Rng) -> SpanMs {
    let base = capacity_in.0.max(RETRY_AFTER_MIN_MS);
    SpanMs(base + (base as f64 * RETRY_JITTER_SHARE * random.random::<f64>()) as u64)
}
