//! Which endpoint a request goes to: the one at which it is expected to be answered first.
//!
//! Every candidate is priced in milliseconds: reading what it does not hold of the prompt, reading
//! what waits there already, waiting for a slot, and distance of the endpoint and of the inputs.
//! Requests that share parts of a prompt meet at the same endpoint without any exchange between
//! VMs, because a rendezvous hash of the shared part marks one endpoint of each failure domain.

use boragepass_types::{EndpointId, FailureDomain, PoolId, TimeMs, rendezvous_weight};

use super::{EndpointTable, KnownEndpoint};
use crate::event::PromptPart;
use crate::settings::PathSettings;

/// Prompt tokens that a model engine reads in a millisecond; both sites state 93.
const READ_TOKENS_PER_MS: f64 = 93.0;
/// Share of the shared parts that the marked endpoint is expected to hold.
const MARKED_SHARE: f64 = 0.8;
/// Cost of each request that runs already: it slows every token of the others.
const RUNNING_MS: f64 = 4.0;
/// Cost of a request that has to wait for a slot, where its usual time is not known yet.
const SERVICE_MS_DEFAULT: f64 = 100.0;
/// Cost of moving a megabyte of inputs to another failure domain, in the terms of a caller's wait.
const INPUT_MS_PER_MB: f64 = 40.0;
/// Cost of an endpoint outside this region beside its travel time: bytes between regions are dear.
const OTHER_REGION_MS: f64 = 60.0;
/// Cost of an endpoint that was ejected; it is used only if every other one is worse.
const EJECTED_MS: f64 = 100_000.0;
/// Cost of an endpoint that stated a moment ago that it is full.
const FULL_MS: f64 = 2_000.0;

/// What a request needs.
#[derive(Debug)]
pub(crate) struct Need<'a> {
    pub(crate) pool: &'a PoolId,
    pub(crate) prompt: &'a [PromptPart],
    pub(crate) prompt_tokens: u64,
    /// Bytes of inputs by failure domain.
    pub(crate) inputs: &'a [(FailureDomain, u64)],
    /// Endpoints that have had the request.
    pub(crate) tried: &'a [EndpointId],
}

/// Chosen endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Choice {
    pub(crate) endpoint: EndpointId,
    pub(crate) cost_ms: f64,
    /// Tokens of the prompt that it is not expected to hold.
    pub(crate) unread_tokens: u64,
}

/// Part of the prompt that requests share, from which an endpoint is marked.
fn shared_part(prompt: &[PromptPart]) -> Option<&PromptPart> {
    prompt.len().checked_sub(2).and_then(|index| prompt.get(index))
}

/// Endpoint of each failure domain that is marked for a prompt.
fn is_marked(table: &EndpointTable, need: &Need<'_>, candidate: &KnownEndpoint, now: TimeMs) -> bool {
    let Some(part) = shared_part(need.prompt) else {
        return false;
    };
    let key = part.id.to_string();
    let domain = &candidate.endpoint.failure_domain;
    let neighbours = table.serving(need.pool).filter(|known| known.endpoint.failure_domain == *domain);
    let marked = neighbours
        .filter(|known| !known.is_ejected(now))
        .max_by_key(|known| rendezvous_weight(&key, known.endpoint.id.as_str()));
    marked.is_some_and(|known| known.endpoint.id == candidate.endpoint.id)
}

fn unread_tokens(table: &EndpointTable, need: &Need<'_>, known: &KnownEndpoint, now: TimeMs) -> u64 {
    let held = known.known_tokens(need.prompt);
    let shared: u64 = need.prompt.iter().rev().skip(1).map(|part| part.tokens).sum();
    let expected = if is_marked(table, need, known, now) { (shared as f64 * MARKED_SHARE) as u64 } else { 0 };
    need.prompt_tokens.saturating_sub(held.max(expected))
}

fn slot_wait_ms(table: &EndpointTable, known: &KnownEndpoint, active: u32) -> f64 {
    let slots = known.endpoint.slots.max(1);
    let over = (active + 1).saturating_sub(slots);
    let service_ms = table.service_ms(&known.endpoint.pool).unwrap_or(SERVICE_MS_DEFAULT);
    f64::from(over) / f64::from(slots) * service_ms + if over > 0 { service_ms / 2.0 } else { 0.0 }
}

fn inputs_ms(settings: &PathSettings, need: &Need<'_>, known: &KnownEndpoint) -> f64 {
    let place = &known.endpoint.failure_domain;
    let elsewhere = need.inputs.iter().filter(|(domain, _)| domain != place);
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
    need: &Need<'_>,
) -> Option<Choice> {
    let untried = table.serving(need.pool).filter(|known| !need.tried.contains(&known.endpoint.id));
    let priced = untried.map(|known| {
        let unread = unread_tokens(table, need, known, now);
        let active = known.active(now);
        let distance = settings.distance_to(&known.endpoint.failure_domain);
        let mut cost_ms = distance.round_trip_ms();
        if distance == crate::settings::Distance::OtherRegion {
            cost_ms += OTHER_REGION_MS;
        }
        cost_ms += inputs_ms(settings, need, known);
        if need.prompt_tokens > 0 {
            cost_ms += (unread + known.unread(now)) as f64 / READ_TOKENS_PER_MS + f64::from(active) * RUNNING_MS;
        }
        cost_ms += slot_wait_ms(table, known, active);
        if known.is_ejected(now) {
            cost_ms += EJECTED_MS;
        }
        if known.is_full(now) {
            cost_ms += FULL_MS;
        }
        Choice { endpoint: known.endpoint.id.clone(), cost_ms, unread_tokens: unread }
    });
    priced.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
}
