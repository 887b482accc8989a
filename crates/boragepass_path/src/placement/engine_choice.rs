//! Which endpoint a request goes to: the one at which it is expected to be answered first.
//!
//! Every candidate is priced in milliseconds: reading what it does not hold of the prompt, reading
//! what waits there already, waiting for a slot, and distance of the endpoint and of the inputs.
//! Requests that share parts of a prompt meet at the same endpoint without any exchange between
//! VMs, because a rendezvous hash of the shared part marks the same endpoints on all of them.

use boragepass_types::{EndpointId, FailureDomain, PoolId, TimeMs, rendezvous_weight};

use super::{EndpointTable, KnownEndpoint};
use crate::event::{Arrival, PromptPart};
use crate::settings::PathSettings;

/// Prompt tokens that a model engine reads in a millisecond; both sites state 93.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 93.0;
/// Shares of the shared parts that the endpoints marked first and second are expected to hold.
const MARKED_SHARES: [f64; 2] = [0.8, 0.4];
/// Length from which shared parts are kept at one endpoint for all regions: reading 4,000 tokens
/// takes as long as the journey to another region and back.
const LONG_SHARED_TOKENS: u64 = 4_000;
/// What reading costs beside this request's own wait: it delays the tokens of all others there.
const READ_WEIGHT: f64 = 2.0;
/// Cost of each request that runs already: it slows every token of the others.
const RUNNING_MS: f64 = 4.0;
/// Cost of a request that has to wait for a slot, where its usual time is not known yet.
const SERVICE_MS_DEFAULT: f64 = 100.0;
/// Cost of moving a megabyte of inputs to another failure domain, in the terms of a caller's wait.
const INPUT_MS_PER_MB: f64 = 8.0;
/// Cost of an endpoint outside this region beside its travel time: bytes between regions are dear.
const OTHER_REGION_MS: f64 = 20.0;
/// Cost of an endpoint that was ejected; it is used only if every other one is worse.
const EJECTED_MS: f64 = 100_000.0;
/// Cost of an endpoint that stated a moment ago that it is full.
const FULL_MS: f64 = 2_000.0;

/// What a request needs.
#[derive(Debug)]
pub(crate) struct RequestRequirements<'a> {
    pub(crate) pool: &'a PoolId,
    pub(crate) prompt: &'a [PromptPart],
    pub(crate) prompt_tokens: u64,
    /// Bytes of inputs by failure domain.
    pub(crate) input_bytes: &'a [(FailureDomain, u64)],
    /// Endpoints that are left out.
    pub(crate) excluded: &'a [EndpointId],
}

/// Chosen endpoint.
#[derive(Debug, Clone)]
pub(crate) struct ChosenEndpoint {
    pub(crate) endpoint: EndpointId,
    pub(crate) cost_ms: f64,
    /// Tokens of the prompt that it is not expected to hold.
    pub(crate) unread_tokens: u64,
}

/// Part of the prompt that requests share, from which an endpoint is marked.
fn shared_part(prompt: &[PromptPart]) -> Option<&PromptPart> {
    prompt.len().checked_sub(2).and_then(|index| prompt.get(index))
}

/// Tokens that requests share at the start of a prompt.
fn shared_tokens(prompt: &[PromptPart]) -> u64 {
    prompt.iter().rev().skip(1).map(|part| part.tokens).sum()
}

/// Endpoints that are marked for a prompt, the first one before the second.
///
/// A long shared part is worth a journey to the one endpoint that holds it; a short one is read
/// again in each failure domain.
fn marked(
    table: &EndpointTable,
    settings: &PathSettings,
    requirements: &RequestRequirements<'_>,
    now: TimeMs,
) -> Vec<EndpointId> {
    let Some(part) = shared_part(requirements.prompt) else {
        return Vec::new();
    };
    let key = part.id.to_string();
    let is_long = shared_tokens(requirements.prompt) >= LONG_SHARED_TOKENS;
    let is_near = |known: &&KnownEndpoint| is_long || known.endpoint.failure_domain == settings.failure_domain;
    let candidates = table.serving(requirements.pool).filter(|known| !known.is_ejected(now)).filter(is_near);
    let mut weighted: Vec<_> = candidates
        .map(|known| (rendezvous_weight(&key, known.endpoint.id.as_str()), known.endpoint.id.clone()))
        .collect();
    weighted.sort_by(|a, b| b.cmp(a));
    weighted.into_iter().take(MARKED_SHARES.len()).map(|(_, id)| id).collect()
}

/// Time of attention for a million pairs of prompt tokens, as both sites state it.
const PAIRS_MS_PER_MILLION: f64 = 0.44;

/// Time in which an engine reads the prompt of a request whose shared parts it holds.
pub(crate) fn prefill_ms(arrival: &Arrival) -> f64 {
    let tokens = arrival.prompt_tokens as f64;
    let own_tokens = tokens - shared_tokens(&arrival.prompt) as f64 * MARKED_SHARES[0];
    let pairs_millions = tokens * own_tokens / 2e6;
    own_tokens.max(0.0) / PREFILL_TOKENS_PER_MS + pairs_millions.max(0.0) * PAIRS_MS_PER_MILLION
}

fn unread_tokens(requirements: &RequestRequirements<'_>, marked: &[EndpointId], known: &KnownEndpoint) -> u64 {
    let held = known.known_tokens(requirements.prompt);
    let place = marked.iter().position(|id| *id == known.endpoint.id);
    let share = place.and_then(|place| MARKED_SHARES.get(place)).copied().unwrap_or(0.0);
    let expected = (shared_tokens(requirements.prompt) as f64 * share) as u64;
    requirements.prompt_tokens.saturating_sub(held.max(expected))
}

fn slot_wait_ms(table: &EndpointTable, known: &KnownEndpoint, active: u32) -> f64 {
    let slots = known.endpoint.slots.max(1);
    let over = (active + 1).saturating_sub(slots);
    let service_ms = table.service_ms(&known.endpoint.pool).unwrap_or(SERVICE_MS_DEFAULT);
    f64::from(over) / f64::from(slots) * service_ms + if over > 0 { service_ms / 2.0 } else { 0.0 }
}

fn inputs_ms(settings: &PathSettings, requirements: &RequestRequirements<'_>, known: &KnownEndpoint) -> f64 {
    let place = &known.endpoint.failure_domain;
    let elsewhere = requirements.input_bytes.iter().filter(|(domain, _)| domain != place);
    elsewhere
        .map(|(domain, bytes)| {
            let is_far = settings.region_of(domain) != settings.region_of(place);
            *bytes as f64 / 1e6 * INPUT_MS_PER_MB + if is_far { 40.0 } else { 1.0 }
        })
        .sum()
}

/// Chooses among the endpoints of a pool that the request has not been sent to.
pub(crate) fn choose_endpoint(
    table: &EndpointTable,
    settings: &PathSettings,
    now: TimeMs,
    requirements: &RequestRequirements<'_>,
) -> Option<ChosenEndpoint> {
    let marked = marked(table, settings, requirements, now);
    let untried = table.serving(requirements.pool).filter(|known| !requirements.excluded.contains(&known.endpoint.id));
    let priced = untried.map(|known| {
        let unread = unread_tokens(requirements, &marked, known);
        let active = known.active_requests(now);
        let distance = settings.distance_to(&known.endpoint.failure_domain);
        let mut cost_ms = distance.round_trip_ms();
        if distance == crate::settings::Distance::OtherRegion {
            cost_ms += OTHER_REGION_MS;
        }
        cost_ms += inputs_ms(settings, requirements, known);
        if requirements.prompt_tokens > 0 {
            let prefill_ms =
                (READ_WEIGHT * unread as f64 + known.pending_prefill_tokens(now) as f64) / PREFILL_TOKENS_PER_MS;
            cost_ms += prefill_ms + f64::from(active) * RUNNING_MS;
        }
        cost_ms += slot_wait_ms(table, known, active);
        if known.is_ejected(now) {
            cost_ms += EJECTED_MS;
        }
        if known.is_full(now) {
            cost_ms += FULL_MS;
        }
        ChosenEndpoint { endpoint: known.endpoint.id.clone(), cost_ms, unread_tokens: unread }
    });
    priced.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
}
