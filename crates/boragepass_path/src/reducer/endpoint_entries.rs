//! Before a stream goes on at an endpoint, the store is asked whether its entry is still the known one. A VM that stood
//! still, was cut off or gets changes late would otherwise let it go on at a process that has replaced the known one.
//!
//! Without an answer of the store, or if the entry may have expired while the store was away, most of the other VMs have
//! to state that they know no newer list of endpoints.

use std::collections::BTreeMap;

use boragepass_types::{EndpointId, SpanMs, TimeMs};

use super::RequestPath;
use crate::admission::RefusalReason;
use crate::effect::Effect;
use crate::event::EndpointEntry;
use crate::record::Record;
use crate::request::{RequestNumber, StreamVersion};
use crate::timers::Timer;

/// Longest time for which a stream waits until it is known where it may go on.
const WAIT_MAX: SpanMs = SpanMs(500);
/// Interval at which a stream that waits for the other VMs looks for what they state.
const AGREEMENT_POLL_INTERVAL: SpanMs = SpanMs(50);
/// Heartbeat intervals within which most of the other VMs are heard, those of other regions too.
const AGREEMENT_HEARTBEATS: u64 = 4;

/// Reads of endpoints' entries in progress.
#[derive(Debug, Default)]
pub(super) struct EntryReads {
    by_endpoint: BTreeMap<EndpointId, EntryRead>,
}

#[derive(Debug)]
struct EntryRead {
    asked_at: TimeMs,
    waiting: Vec<RequestNumber>,
}

impl RequestPath {
    /// Whether a request has to wait before its stream may go on at an endpoint; it is sent, or failed, later.
    pub(super) fn awaits_endpoint_entry(&mut self, now: TimeMs, request: RequestNumber, endpoint: &EndpointId) -> bool {
        let Some(state) = self.requests.get_mut(&request) else {
            return false;
        };
        let Some(life) = self.endpoint_table.get(endpoint).map(|known_endpoint| known_endpoint.life) else {
            return false;
        };
        if !matches!(state.stream_version, StreamVersion::Begun(_)) || life.is_confirmed(now) {
            state.awaits_entry_since = None;
            return false;
        }
        let since = *state.awaits_entry_since.get_or_insert(now);
        if !self.fleet.can_reach_store || life.is_unanswered(now) {
            let recently = self.fleet.heartbeat_interval().0 * AGREEMENT_HEARTBEATS;
            if self.is_list_agreed_since(TimeMs(now.0.saturating_sub(recently))) {
                self.requests.entry(request).and_modify(|state| state.awaits_entry_since = None);
                return false;
            }
            if now.since(since) >= WAIT_MAX {
                self.fail_request(now, request, RefusalReason::StreamVersionUnknown);
            } else {
                self.timers.set(now + AGREEMENT_POLL_INTERVAL, Timer::RetrySend(request));
            }
            return true;
        }
        let reads = &mut self.entry_reads.by_endpoint;
        let read = reads.entry(endpoint.clone()).or_insert_with(|| {
            self.effects.push(Effect::ReadEndpointEntry(endpoint.clone()));
            EntryRead { asked_at: now, waiting: Vec::new() }
        });
        if !read.waiting.contains(&request) {
            read.waiting.push(request);
        }
        true
    }

    /// Lets the requests go on that wait for the entry of an endpoint.
    pub(super) fn on_endpoint_entry_read(&mut self, now: TimeMs, endpoint: &EndpointId, entry: EndpointEntry) {
        let Some(EntryRead { asked_at, waiting }) = self.entry_reads.by_endpoint.remove(endpoint) else {
            return;
        };
        let may_have_expired = self.endpoint_table.keeps_expired(now);
        if let Some(known_endpoint) = self.endpoint_table.get_mut(endpoint) {
            let known_start = known_endpoint.endpoint.started_at_unix_ms;
            match entry {
                // A store that was restored may have an earlier entry.
                EndpointEntry::StartedAt(start) if start <= known_start => known_endpoint.life.on_confirmed(asked_at),
                EndpointEntry::Missing if may_have_expired => known_endpoint.life.on_unanswered(now),
                EndpointEntry::StartedAt(_) | EndpointEntry::Missing => {
                    known_endpoint.life.on_found_down(now);
                    self.log(Record::new("endpoint's entry is not the known one").text("endpoint", endpoint));
                }
                EndpointEntry::Unknown => known_endpoint.life.on_unanswered(now),
            }
        }
        for request in waiting {
            self.advance(now, request);
        }
    }
}
