//! Chooses the endpoint that a request goes to: the one with the lowest expected cost.
//!
//! The cost of a candidate is in milliseconds: prefill of the prompt tokens that it has not cached,
//! prefill that is pending there, wait for a slot, and distance of the endpoint and of the inputs.
//! Requests that share a prompt prefix go to the same endpoint without any exchange between VMs,
//! because a rendezvous hash of the shared part prefers the same endpoints on all of them.

use boragepass_types::{EndpointId, FailureDomain, PoolId, TimeMs, rendezvous_weight};

use super::eligibility::is_eligible;
use super::endpoint_speed::{PREFILL_TOKENS_PER_MS, Speed};
use super::{AllowedPlaces, EndpointTable, KnownEndpoint};
use crate::event::{Arrival, PromptPart};
use crate::request::StreamVersion;
use crate::settings::PathSettings;

/// Shares of the shared prefix that the first and second preferred endpoint are expected to have cached.
const PREFERRED_CACHED_SHARES: [f64; 2] = [0.8, 0.4];
/// Length from which a shared prefix has its preferred endpoints in all regions: prefilling 4,000 tokens
/// takes as long as a round trip to another region.
const LONG_SHARED_TOKENS: u64 = 4_000;
/// Weight of a request's own prefill, above one because it also delays the tokens of all requests there.
const PREFILL_WEIGHT: f64 = 2.0;
/// Cost of each request that runs at a model engine: it slows every token of the others.
const RUNNING_REQUEST_MS: f64 = 4.0;
/// Service time of a pool whose average is not known yet.
const DEFAULT_SERVICE_MS: f64 = 100.0;
/// Cost of moving a megabyte of inputs to another failure domain, as an equivalent wait.
const INPUT_MS_PER_MB: f64 = 8.0;
/// Cost of an endpoint in another region beside the round trip, since traffic between regions is expensive.
const OTHER_REGION_MS: f64 = 20.0;
/// Cost of an ejected endpoint: any other one is chosen first.
const EJECTED_MS: f64 = 100_000.0;
/// Cost of an endpoint that rejected a request a moment ago because it is full.
const FULL_MS: f64 = 2_000.0;

/// Cost of a cold endpoint beside the time that the request has for its objective: any other one that serves in time is
/// chosen first.
const COLD_MS: f64 = 5.0;
/// Time left for the objective in forecasts, longer than any: a cold endpoint is expected to be chosen last.
pub(crate) const FORECAST_OBJECTIVE_LEFT_MS: f64 = 10_000.0;

/// What a request needs from an endpoint.
#[derive(Debug)]
pub(crate) struct RequestRequirements<'a> {
    pub(crate) pool: &'a PoolId,
    pub(crate) prompt: &'a [PromptPart],
    pub(crate) prompt_tokens: u64,
    /// Bytes of inputs by failure domain.
    pub(crate) input_bytes: &'a [(FailureDomain, u64)],
    /// Endpoints that the request was sent to already.
    pub(crate) excluded: &'a [EndpointId],
    pub(crate) stream_version: &'a StreamVersion,
    /// Where its endpoint may be.
    pub(crate) places: AllowedPlaces<'a>,
    /// Time until the request misses its objective.
    pub(crate) objective_left_ms: f64,
}

/// The endpoint chosen for a request.
#[derive(Debug, Clone)]
pub(crate) struct ChosenEndpoint {
    pub(crate) endpoint: EndpointId,
    pub(crate) cost_ms: f64,
    /// Prompt tokens that it is not expected to have cached.
    pub(crate) uncached_tokens: u64,
}

/// Last part of the prompt that requests share; its hash decides the preferred endpoints.
fn shared_part(prompt: &[PromptPart]) -> Option<&PromptPart> {
    prompt.len().checked_sub(2).and_then(|index| prompt.get(index))
}

/// Tokens of the prompt prefix that requests share: all parts but the last.
fn shared_tokens(prompt: &[PromptPart]) -> u64 {
    prompt.iter().rev().skip(1).map(|part| part.tokens).sum()
}

/// Preferred endpoints for the shared prefix of a prompt, in order.
///
/// A long prefix is worth a request to another region whose endpoint has it cached; a short one is
/// prefilled again in each failure domain.
fn preferred_endpoints(
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
    let is_eligible = |known: &&KnownEndpoint| is_long || known.endpoint.failure_domain == settings.failure_domain;
    let is_usable = |known: &&KnownEndpoint| {
        !known.is_ejected(now) && !known.limits_requests(now) && requirements.places.allows_endpoint(known)
    };
    let candidates = table.serving(requirements.pool).filter(is_usable).filter(is_eligible);
    let mut weighted_endpoints: Vec<_> = candidates
        .map(|known| (rendezvous_weight(&key, known.endpoint.id.as_str()), known.endpoint.id.clone()))
        .collect();
    weighted_endpoints.sort_by(|a, b| b.cmp(a));
    weighted_endpoints.into_iter().take(PREFERRED_CACHED_SHARES.len()).map(|(_, id)| id).collect()
}

/// Attention time for a million pairs of prompt tokens, as both sites state it.
const ATTENTION_MS_PER_MILLION_PAIRS: f64 = 0.44;

/// Prefill time of a prompt at an engine of a given speed that has most of its shared prefix cached.
pub(crate) fn prefill_ms(arrival: &Arrival, prefill_factor: f64) -> f64 {
    let tokens = arrival.prompt_tokens as f64;
    let uncached_tokens = tokens - shared_tokens(&arrival.prompt) as f64 * PREFERRED_CACHED_SHARES[0];
    let pairs_millions = tokens * uncached_tokens / 2e6;
    let usual_ms =
        uncached_tokens.max(0.0) / PREFILL_TOKENS_PER_MS + pairs_millions.max(0.0) * ATTENTION_MS_PER_MILLION_PAIRS;
    usual_ms * prefill_factor
}

fn uncached_tokens(requirements: &RequestRequirements<'_>, preferred: &[EndpointId], known: &KnownEndpoint) -> u64 {
    let cached_tokens = known.cached_prefix_tokens(requirements.prompt);
    let position = preferred.iter().position(|id| *id == known.endpoint.id);
    let share = position.and_then(|position| PREFERRED_CACHED_SHARES.get(position)).copied().unwrap_or(0.0);
    let expected_cached_tokens = (shared_tokens(requirements.prompt) as f64 * share) as u64;
    requirements.prompt_tokens.saturating_sub(cached_tokens.max(expected_cached_tokens))
}

fn slot_wait_ms(table: &EndpointTable, known: &KnownEndpoint, active_requests: u32, speed: Speed) -> f64 {
    let slots = known.endpoint.slots.max(1);
    let excess_requests = active_requests.saturating_add(1).saturating_sub(slots);
    let service_ms = table.average_service_ms(&known.endpoint.pool).unwrap_or(DEFAULT_SERVICE_MS);
    let service_ms = service_ms * speed.work_factor;
    f64::from(excess_requests) / f64::from(slots) * service_ms
        + if excess_requests > 0 { service_ms / 2.0 } else { 0.0 }
}

fn input_transfer_ms(settings: &PathSettings, requirements: &RequestRequirements<'_>, known: &KnownEndpoint) -> f64 {
    let endpoint_domain = &known.endpoint.failure_domain;
    let remote_inputs = requirements.input_bytes.iter().filter(|(domain, _)| domain != endpoint_domain);
    remote_inputs
        .map(|(domain, bytes)| {
            let is_far = settings.region_of(domain) != settings.region_of(endpoint_domain);
            *bytes as f64 / 1e6 * INPUT_MS_PER_MB + if is_far { 40.0 } else { 1.0 }
        })
        .sum()
}

/// Chooses the cheapest endpoint of a pool that the request has not been sent to, that its stream may go on at and that
/// accepts a request of this VM now; `None` if there is none.
pub(crate) fn choose_endpoint(
    table: &EndpointTable,
    settings: &PathSettings,
    now: TimeMs,
    requirements: &RequestRequirements<'_>,
) -> Option<ChosenEndpoint> {
    let preferred = preferred_endpoints(table, settings, requirements, now);
    let candidates = table.serving(requirements.pool).filter(|known| is_eligible(known, requirements, now));
    let priced = candidates.map(|known| {
        let uncached_tokens = uncached_tokens(requirements, &preferred, known);
        let active_requests = known.active_requests(now);
        let speed = table.speed(known, now);
        let distance = settings.distance_to(&known.endpoint.failure_domain);
        let mut cost_ms = distance.round_trip_ms();
        if distance == crate::settings::Distance::OtherRegion {
            cost_ms += OTHER_REGION_MS;
        }
        cost_ms += input_transfer_ms(settings, requirements, known);
        if requirements.prompt_tokens > 0 {
            let tokens_per_ms = speed.prefill_tokens_per_ms();
            let pending_tokens = known.pending_prefill_tokens(now, tokens_per_ms);
            let prefill_ms = (PREFILL_WEIGHT * uncached_tokens as f64 + pending_tokens as f64) / tokens_per_ms;
            cost_ms += prefill_ms + f64::from(active_requests) * RUNNING_REQUEST_MS * speed.work_factor;
        }
        cost_ms += slot_wait_ms(table, known, active_requests, speed) + speed.excess_ms();
        if known.is_ejected(now) {
            cost_ms += EJECTED_MS;
        }
        if known.is_full(now) {
            cost_ms += FULL_MS;
        }
        // Not part of the cost, from which the time that the request takes is forecast.
        let cold_price_ms = if known.is_cold(now) { requirements.objective_left_ms + COLD_MS } else { 0.0 };
        (cost_ms + cold_price_ms, ChosenEndpoint { endpoint: known.endpoint.id.clone(), cost_ms, uncached_tokens })
    });
    priced.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, choice)| choice)
}
