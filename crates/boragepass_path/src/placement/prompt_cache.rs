//! Which prompt parts an endpoint has read lately, as far as this VM sent them.

use std::collections::HashMap;

use boragepass_types::{Hash64, TimeMs};

use crate::event::PromptPart;

/// Share of an endpoint's memory that parts of finished requests are expected to keep.
const KEPT_SHARE: f64 = 0.7;

#[derive(Debug, Clone, Copy)]
struct Kept {
    tokens: u64,
    used_at: TimeMs,
}

/// Parts that one endpoint probably holds.
#[derive(Debug, Clone, Default)]
pub(super) struct PromptCache {
    parts: HashMap<Hash64, Kept>,
    tokens: u64,
}

impl PromptCache {
    /// Tokens at the start of a prompt that need not be read again.
    pub(super) fn known_tokens(&self, prompt: &[PromptPart]) -> u64 {
        prompt.iter().take_while(|part| self.parts.contains_key(&part.id)).map(|part| part.tokens).sum()
    }

    /// Notes that an endpoint reads a prompt, and forgets the least recently used parts.
    pub(super) fn note(&mut self, now: TimeMs, prompt: &[PromptPart], kv_cache_tokens: u64) {
        for part in prompt {
            let kept = Kept { tokens: part.tokens, used_at: now };
            match self.parts.insert(part.id, kept) {
                Some(earlier) => self.tokens = self.tokens - earlier.tokens + part.tokens,
                None => self.tokens += part.tokens,
            }
        }
        let kept_max = (kv_cache_tokens as f64 * KEPT_SHARE) as u64;
        while self.tokens > kept_max {
            let Some(oldest) = self.parts.iter().min_by_key(|(id, kept)| (kept.used_at, **id)).map(|(id, _)| *id)
            else {
                return;
            };
            if let Some(kept) = self.parts.remove(&oldest) {
                self.tokens -= kept.tokens;
            }
        }
    }

    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}
