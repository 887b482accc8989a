//! Requests that crash the endpoints that run them.
//!
//! A lost connection alone proves nothing. A crash counts against the contents that were lost with
//! it once the endpoint refuses connections, or starts anew, shortly after. A content that runs
//! whole anywhere is cleared. Counts travel with heartbeats, so the endpoints that a content cost
//! are counted over all VMs.

use std::collections::HashMap;

use boragepass_types::{EndpointId, Hash64, SpanMs, TimeMs};

/// Time within which an endpoint has to show that it crashed.
const PROOF_WINDOW: SpanMs = SpanMs(2_000);
/// Endpoints that a content may cost before it is refused.
const CRASHES_MAX: u8 = 2;
/// How long a content stays refused after its last crash.
const REMEMBERED: SpanMs = SpanMs(120_000);
/// Contents that heartbeats carry at most.
const SHARED_MAX: usize = 32;

#[derive(Debug, Clone)]
struct Suspect {
    endpoint: EndpointId,
    digest: Hash64,
    lost_at: TimeMs,
}

#[derive(Debug, Clone, Default)]
struct Crashes {
    own: u8,
    others: u8,
    last_at: TimeMs,
}

/// What is known of contents that crash endpoints.
#[derive(Debug, Default)]
pub(crate) struct CrashTracker {
    suspects: Vec<Suspect>,
    by_digest: HashMap<Hash64, Crashes>,
}

impl CrashTracker {
    /// Notes a connection that was lost while an endpoint ran a content.
    pub(crate) fn on_connection_lost(&mut self, now: TimeMs, endpoint: &EndpointId, digest: Hash64) {
        self.suspects.retain(|suspect| now.since(suspect.lost_at) < PROOF_WINDOW);
        self.suspects.push(Suspect { endpoint: endpoint.clone(), digest, lost_at: now });
    }

    /// Notes that an endpoint does not take connections or started anew.
    pub(crate) fn on_endpoint_down(&mut self, now: TimeMs, endpoint: &EndpointId) {
        let suspects = std::mem::take(&mut self.suspects);
        let (proved, open): (Vec<_>, Vec<_>) = suspects.into_iter().partition(|suspect| suspect.endpoint == *endpoint);
        self.suspects = open;
        for suspect in proved {
            if now.since(suspect.lost_at) < PROOF_WINDOW {
                let crashes = self.by_digest.entry(suspect.digest).or_default();
                crashes.own = crashes.own.saturating_add(1);
                crashes.last_at = now;
            }
        }
    }

    /// Clears a content that ran whole.
    pub(crate) fn on_completed(&mut self, digest: Hash64) {
        self.by_digest.remove(&digest);
        self.suspects.retain(|suspect| suspect.digest != digest);
    }

    /// Takes over what another VM counted.
    pub(crate) fn on_peer_counts(&mut self, now: TimeMs, crashes: &[(Hash64, u8)]) {
        for (digest, count) in crashes {
            let known = self.by_digest.entry(*digest).or_default();
            if *count > known.others {
                known.others = *count;
                known.last_at = now;
            }
        }
    }

    /// Whether a content has cost enough endpoints to be refused.
    pub(crate) fn is_harmful(&self, digest: Hash64) -> bool {
        self.by_digest.get(&digest).is_some_and(|crashes| crashes.own.saturating_add(crashes.others) >= CRASHES_MAX)
    }

    /// Own counts, for the others.
    pub(crate) fn own_counts(&self) -> Vec<(Hash64, u8)> {
        let own = self.by_digest.iter().filter(|(_, crashes)| crashes.own > 0);
        own.map(|(digest, crashes)| (*digest, crashes.own)).take(SHARED_MAX).collect()
    }

    /// Forgets old counts.
    pub(crate) fn sweep(&mut self, now: TimeMs) {
        self.suspects.retain(|suspect| now.since(suspect.lost_at) < PROOF_WINDOW);
        self.by_digest.retain(|_, crashes| now.since(crashes.last_at) < REMEMBERED);
    }
}
