//! Endpoints of unequal speed, each with short slow-downs, and prompts of which some are long.
//!
//! All of it follows from hashes of names and the time, so that runs with the same seed meet the same slow-downs.

use boragepass_types::{EndpointId, Hash64, TimeMs};

/// Prompt tokens that a typical engine prefills per millisecond, and attention time per million pairs of tokens.
const PREFILL_TOKENS_PER_MS: f64 = 54.6;
const ATTENTION_MS_PER_MILLION_PAIRS: f64 = 0.248;
/// Length, factor and share in time of slow-downs.
const SLOW_DOWN_MS: u64 = 600;
const SLOW_DOWN_FACTOR: f64 = 2.5;
const SLOW_DOWN_SHARE: f64 = 0.15;
/// Share of the prompts that are long, and their additional tokens.
const LONG_PROMPT_SHARE: f64 = 0.1;
const LONG_PROMPT_TOKENS: (u64, u64) = (15_000, 36_000);

/// Maps a text to a number in [0, 1).
fn fraction(text: &str) -> f64 {
    Hash64::of(text.as_bytes()).0 as f64 / (u64::MAX as f64 + 1.0)
}

/// How uneven the endpoints of a deployment are.
#[derive(Debug, Clone, Copy)]
pub struct Unevenness {
    /// Whether endpoints state their slowness in replies.
    pub is_stated: bool,
}

impl Unevenness {
    /// Time that work takes at an endpoint apart from slow-downs, over the usual time: 0.6 to 1.6.
    pub fn lasting_slowness(id: &EndpointId) -> f64 {
        0.6 + fraction(id.as_str())
    }

    /// Time that work takes at an endpoint now, over the usual time.
    pub(super) fn slowness(id: &EndpointId, now: TimeMs) -> f64 {
        let is_slowed_down = fraction(&format!("{id} {}", now.0 / SLOW_DOWN_MS)) < SLOW_DOWN_SHARE;
        Self::lasting_slowness(id) * if is_slowed_down { SLOW_DOWN_FACTOR } else { 1.0 }
    }

    /// Time of prefill at a typical endpoint.
    pub(super) fn prefill_ms(tokens: u64, uncached_tokens: u64) -> f64 {
        let pairs_millions = tokens as f64 * uncached_tokens as f64 / 2e6;
        uncached_tokens as f64 / PREFILL_TOKENS_PER_MS + pairs_millions * ATTENTION_MS_PER_MILLION_PAIRS
    }

    /// Tokens that a prompt has beyond those of its kind.
    pub(super) fn additional_tokens(client_id: &str) -> u64 {
        let (min, max) = LONG_PROMPT_TOKENS;
        let is_long = fraction(&format!("long {client_id}")) < LONG_PROMPT_SHARE;
        if is_long { min + (fraction(client_id) * (max - min) as f64) as u64 } else { 0 }
    }
}
