//! Reasons why a request is refused, and when its client may retry.

use boragepass_types::SpanMs;
use derive_more::Display;
use rand::Rng;

/// Reason why this VM answers a request itself, rather than relaying a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RefusalReason {
    /// No configuration is known yet.
    #[display("no configuration yet")]
    NoConfiguration,
    /// Another VM handled requests of this one by a newer configuration, or relays by a newer one.
    #[display("configuration not up to date")]
    ConfigurationBehind,
    /// No route matches.
    #[display("no route")]
    NoRoute,
    /// The API key is unknown or missing.
    #[display("unknown key")]
    UnknownKey,
    /// A required header is missing or cannot be parsed.
    #[display("malformed request")]
    Malformed,
    /// The request cannot be served before its deadline.
    #[display("deadline cannot be met")]
    Overload,
    /// Its stages could not be completed in time.
    #[display("late at a stage")]
    LateAtStage,
    /// A stage failed repeatedly.
    #[display("stage failed")]
    StageFailed,
    /// No endpoint of the pool can take the request.
    #[display("no endpoint")]
    NoEndpoint,
    /// All endpoints of the pool are in evacuated failure domains.
    #[display("endpoints evacuated")]
    EndpointsEvacuated,
    /// The VM starts and does not know yet which failure domains are evacuated.
    #[display("evacuations not known yet")]
    EvacuationsUnknown,
    /// No endpoint in a home region of its route and workspace can serve it.
    #[display("no endpoint in a home region")]
    NoHomeEndpoint,
    /// No endpoint of the software version that began its stream serves.
    #[display("no endpoint of the stream's version")]
    NoEndpointOfVersion,
    /// No VM that was asked knows which software version began its stream.
    #[display("stream's version unknown")]
    StreamVersionUnknown,
    /// Every endpoint to which it may be offered rejected it as full.
    #[display("endpoints full")]
    EndpointsFull,
    /// The endpoints state rate limits of which this VM's part is used up, or asked this VM for a pause.
    #[display("endpoints limit their requests")]
    LimitedByEndpoints,
    /// Its content crashed the endpoints that ran it.
    #[display("crashes endpoints")]
    CrashesEndpoints,
    /// The VM is stopping.
    #[display("stopping")]
    Stopping,
    /// Its deadline passed while no endpoint had it.
    #[display("timed out before it was sent")]
    TimeoutNotSent,
    /// Its deadline passed, or the endpoint stayed silent, while an endpoint ran it.
    #[display("timed out at an endpoint")]
    TimeoutAtEndpoint,
    /// The connection to the endpoint was lost while it may have run the request.
    #[display("endpoint lost")]
    EndpointLost,
    /// The endpoint's reply is unusable.
    #[display("unusable reply")]
    UnusableReply,
}

impl RefusalReason {
    /// HTTP status code of the answer. 503 promises that no endpoint ran the request.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::UnknownKey => 401,
            Self::NoRoute => 404,
            Self::NoConfiguration
            | Self::ConfigurationBehind
            | Self::Overload
            | Self::LateAtStage
            | Self::StageFailed
            | Self::NoEndpoint
            | Self::EndpointsEvacuated
            | Self::EvacuationsUnknown
            | Self::NoHomeEndpoint
            | Self::NoEndpointOfVersion
            | Self::StreamVersionUnknown
            | Self::EndpointsFull
            | Self::LimitedByEndpoints
            | Self::CrashesEndpoints
            | Self::Stopping
            | Self::TimeoutNotSent => 503,
            Self::EndpointLost | Self::UnusableReply => 502,
            Self::TimeoutAtEndpoint => 504,
        }
    }
}

/// Shortest retry delay for a refused client.
const RETRY_AFTER_MIN_MS: u64 = 200;
/// Random share added to the retry delay, so that refused clients do not return at the same time.
const RETRY_JITTER_SHARE: f64 = 0.5;

/// Retry delay for a client, given the time until there is capacity for it.
pub(crate) fn retry_after(capacity_in: SpanMs, rng: &mut impl Rng) -> SpanMs {
    let base = capacity_in.0.max(RETRY_AFTER_MIN_MS);
    SpanMs(base + (base as f64 * RETRY_JITTER_SHARE * rng.random::<f64>()) as u64)
}
