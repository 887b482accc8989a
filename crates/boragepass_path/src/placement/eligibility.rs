//! Rules out the endpoints that may not take a request, whatever they would cost.

use boragepass_types::TimeMs;

use super::{KnownEndpoint, RequestRequirements};

/// Whether a request may be sent to an endpoint of its pool now: it was not sent there before, its stream may go on there,
/// the endpoint is in one of its home regions, and it accepts a request of this VM.
pub(crate) fn is_eligible(known: &KnownEndpoint, requirements: &RequestRequirements<'_>, now: TimeMs) -> bool {
    !requirements.excluded.contains(&known.endpoint.id)
        && requirements.places.allows_endpoint(known)
        && known.accepts(now)
        && requirements.stream_version.allows(known.software_version())
}
