//! Tracks which engines are expected to have which input prefixes in their caches.
//!
//! Engines publish their cache events late and with gaps, so the entries are hints for routing: a
//! successful attempt of this VM adds its endpoint, events add and remove it, and a gap in the event
//! numbers removes the endpoint from every prefix.

use std::collections::VecDeque;

use boragepass_types::Hash64;

use crate::endpoints::EndpointIdx;
use crate::map::Map;
use crate::platform::CacheEvent;

const HOLDERS_PER_PREFIX_MAX: usize = 2;
const PREFIXES_MAX: usize = 4_096;
const HASHED_PREFIX_BYTES: usize = 256;

/// Endpoints that are expected to hold each prefix; keeps the latest `PREFIXES_MAX` prefixes.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    holders: Map<Hash64, Vec<EndpointIdx>>,
    insertion_order: VecDeque<Hash64>,
    last_event_number: Map<EndpointIdx, u64>,
}

/// Hash of the first `HASHED_PREFIX_BYTES` of an input.
pub(crate) fn prefix_hash(input: &str) -> Hash64 {
    let bytes = input.as_bytes();
    Hash64::of(&bytes[..bytes.len().min(HASHED_PREFIX_BYTES)])
}

impl PrefixCache {
    /// Endpoints that are expected to hold a prefix.
    pub(crate) fn holders(&self, prefix: Option<Hash64>) -> impl Iterator<Item = EndpointIdx> + '_ {
        prefix.and_then(|prefix| self.holders.get(&prefix)).into_iter().flatten().copied()
    }

    /// Whether an endpoint is expected to hold a prefix.
    pub(crate) fn is_held(&self, prefix: Option<Hash64>, idx: EndpointIdx) -> bool {
        self.holders(prefix).any(|holder| holder == idx)
    }

    /// Adds an endpoint to a prefix, in place of its oldest holder if there are too many.
    pub(crate) fn add_holder(&mut self, prefix: Hash64, idx: EndpointIdx) {
        if !self.holders.contains_key(&prefix) {
            self.insertion_order.push_back(prefix);
            self.evict_oldest();
        }
        let holders = self.holders.entry(prefix).or_default();
        if holders.contains(&idx) {
            return;
        }
        if holders.len() == HOLDERS_PER_PREFIX_MAX {
            holders.remove(0);
        }
        holders.push(idx);
    }

    /// Applies the cache events of an engine, skipping those that were applied before.
    pub(crate) fn apply_events(&mut self, idx: EndpointIdx, events: &[CacheEvent]) {
        for event in events {
            let last_number = self.last_event_number.insert(idx, event.number).unwrap_or(0);
            if event.number <= last_number {
                self.last_event_number.insert(idx, last_number);
                continue;
            }
            if last_number != 0 && event.number > last_number + 1 {
                self.remove_holder(idx);
            }
            if event.is_held {
                self.add_holder(event.prefix, idx);
            } else if let Some(holders) = self.holders.get_mut(&event.prefix) {
                holders.retain(|holder| *holder != idx);
            }
        }
    }

    /// Removes an endpoint from every prefix.
    pub(crate) fn remove_holder(&mut self, idx: EndpointIdx) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| *holder != idx);
        }
    }

    fn evict_oldest(&mut self) {
        if self.insertion_order.len() <= PREFIXES_MAX {
            return;
        }
        if let Some(oldest) = self.insertion_order.pop_front() {
            self.holders.remove(&oldest);
        }
    }
}
