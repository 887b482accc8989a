//! Which engines are expected to hold which prefixes.
//!
//! Engines publish their cache events late and with gaps, so what stands here is a hint that ages:
//! own dispatches add to it, events add and remove, a gap forgets what the engine was said to hold.

use std::collections::VecDeque;

use boragepass_types::Hash64;

use crate::endpoints::EndpointIdx;
use crate::map::Map;
use crate::platform::CacheEvent;

const HOLDERS_MAX: usize = 2;
const PREFIXES_MAX: usize = 4_096;
const PREFIX_BYTES: usize = 256;

/// Prefixes and their holders.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    holders: Map<Hash64, Vec<EndpointIdx>>,
    order: VecDeque<Hash64>,
    last_event: Map<EndpointIdx, u64>,
}

/// Hash of the first bytes of an input.
pub(crate) fn prefix_of(input: &str) -> Hash64 {
    let bytes = input.as_bytes();
    Hash64::of(&bytes[..bytes.len().min(PREFIX_BYTES)])
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

    /// Notes that an endpoint has worked on a prefix.
    pub(crate) fn note(&mut self, prefix: Hash64, idx: EndpointIdx) {
        if !self.holders.contains_key(&prefix) {
            self.order.push_back(prefix);
            self.drop_oldest();
        }
        let holders = self.holders.entry(prefix).or_default();
        if holders.contains(&idx) {
            return;
        }
        if holders.len() == HOLDERS_MAX {
            holders.remove(0);
        }
        holders.push(idx);
    }

    /// Takes over the cache events of an engine.
    pub(crate) fn apply(&mut self, idx: EndpointIdx, events: &[CacheEvent]) {
        for event in events {
            let last = self.last_event.insert(idx, event.number).unwrap_or(0);
            if event.number <= last {
                self.last_event.insert(idx, last);
                continue;
            }
            if last != 0 && event.number > last + 1 {
                self.forget(idx);
            }
            if event.is_held {
                self.note(event.prefix, idx);
            } else if let Some(holders) = self.holders.get_mut(&event.prefix) {
                holders.retain(|holder| *holder != idx);
            }
        }
    }

    /// Forgets all that an endpoint was said to hold.
    pub(crate) fn forget(&mut self, idx: EndpointIdx) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| *holder != idx);
        }
    }

    fn drop_oldest(&mut self) {
        if self.order.len() <= PREFIXES_MAX {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.holders.remove(&oldest);
        }
    }
}
