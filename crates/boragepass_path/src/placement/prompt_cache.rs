//! Estimate of the prompt parts in an endpoint's KV cache, from the requests that this VM sent there.

use std::collections::HashMap;

use boragepass_types::{Hash64, TimeMs};

use crate::event::PromptPart;

/// Share of an endpoint's KV cache that the prompts of finished requests are expected to occupy.
const REUSABLE_CACHE_SHARE: f64 = 0.7;

#[derive(Debug, Clone, Copy)]
struct CachedPart {
    tokens: u64,
    used_at: TimeMs,
}

/// Prompt parts that one endpoint has probably cached, in least-recently-used order of eviction.
#[derive(Debug, Clone, Default)]
pub(super) struct PromptCache {
    parts: HashMap<Hash64, CachedPart>,
    tokens: u64,
}

impl PromptCache {
    /// Tokens at the start of a prompt that need no prefill.
    pub(super) fn cached_prefix_tokens(&self, prompt: &[PromptPart]) -> u64 {
        prompt.iter().take_while(|part| self.parts.contains_key(&part.id)).map(|part| part.tokens).sum()
    }

    /// Records that an endpoint prefills a prompt, and evicts the least recently used parts.
    pub(super) fn record(&mut self, now: TimeMs, prompt: &[PromptPart], kv_cache_tokens: u64) {
        for part in prompt {
            let cached = CachedPart { tokens: part.tokens, used_at: now };
            match self.parts.insert(part.id, cached) {
                Some(earlier) => self.tokens = self.tokens - earlier.tokens + part.tokens,
                None => self.tokens += part.tokens,
            }
        }
        let cached_tokens_max = (kv_cache_tokens as f64 * REUSABLE_CACHE_SHARE) as u64;
        while self.tokens > cached_tokens_max {
            let Some(oldest) = self.parts.iter().min_by_key(|(id, cached)| (cached.used_at, **id)).map(|(id, _)| *id)
            else {
                return;
            };
            if let Some(cached) = self.parts.remove(&oldest) {
                self.tokens -= cached.tokens;
            }
        }
    }

    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}
