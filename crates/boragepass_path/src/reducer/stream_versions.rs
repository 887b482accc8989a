//! Streams go on only at the software version that began them. VMs pass these versions on to each other, since a client
//! may take a stream up again at any VM; requests wait here for a version that another VM holds.

use std::sync::Arc;

use boragepass_types::{PoolId, SpanMs, TimeMs, VmId};

use super::RequestPath;
use crate::admission::RefusalReason;
use crate::effect::Effect;
use crate::event::Arrival;
use crate::fleet::stream_holders;
use crate::message::PeerMessage;
use crate::placement::PastVersions;
use crate::record::Record;
use crate::request::{BeginningVersion, RequestNumber, RequestState, StreamVersion};
use crate::timers::Timer;

/// Time after which the holders of a stream's version are asked again: two round trips between regions.
const QUERY_INTERVAL: SpanMs = SpanMs(100);
/// Longest time for which a request waits until it is known which versions its pool had.
const WAIT_MAX: SpanMs = SpanMs(1_500);
/// Number of times that they are asked.
const QUERIES_MAX: u32 = 3;
/// Time after which a client may return to a stream of whose version no endpoint serves, as they restart within seconds.
const VERSION_RETRY_AFTER: SpanMs = SpanMs(2_000);

impl RequestPath {
    /// What the stream of an arriving request may go on at. Refuses it if no endpoint of the version serves.
    pub(super) fn arriving_stream_version(
        &self,
        now: TimeMs,
        arrival: &Arrival,
        pool: &PoolId,
    ) -> Result<StreamVersion, (RefusalReason, Option<SpanMs>)> {
        let stream_version = match (&arrival.resume_after, &arrival.resumed_stream) {
            (None, _) => StreamVersion::NotBegun,
            (Some(_), Some(stream)) => match self.known_stream_version(stream) {
                Some(version) => StreamVersion::Begun(version.clone()),
                None => StreamVersion::Asked(0),
            },
            // A client that does not name the stream can go on only if there was no choice of versions.
            (Some(_), None) => match self.past_versions(now, pool) {
                PastVersions::Several => return Err((RefusalReason::StreamVersionUnknown, None)),
                PastVersions::One(_) | PastVersions::Unknown => StreamVersion::Asked(0),
            },
        };
        match &stream_version {
            StreamVersion::Begun(version) if !self.endpoint_table.serves_software_version(pool, version) => {
                Err((RefusalReason::NoEndpointOfVersion, Some(VERSION_RETRY_AFTER)))
            }
            _ => Ok(stream_version),
        }
    }

    /// Version of a stream that this VM holds, or that the store's table named.
    fn known_stream_version(&self, stream: &str) -> Option<&BeginningVersion> {
        self.stream_versions.get(stream).or_else(|| self.stream_recording.recorded_version(stream))
    }

    /// Binds a request to the version of the endpoint from which its client received the first event, and passes the
    /// version on to the stream's holders.
    pub(super) fn on_event_received(&mut self, now: TimeMs, request: RequestNumber) {
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(version) = state.active_send().map(|active_send| active_send.software_version.clone()) else {
            return;
        };
        if state.stream_version != StreamVersion::NotBegun {
            return;
        }
        let Some(version) = version else {
            state.stream_version = StreamVersion::BegunUnknown;
            return;
        };
        state.stream_version = StreamVersion::Begun(version.clone());
        let (stream, pool) = (state.arrival.client_id.clone(), state.pool.clone());
        self.stream_versions.insert(now, stream.clone(), version.clone());
        let holders = stream_holders(&self.fleet, now, &stream);
        for vm in &holders {
            self.send_peer_datagram(vm, PeerMessage::StreamVersion(stream.clone(), version.clone()));
        }
        self.record_own_stream(now, pool, &stream, &version, &holders);
    }

    /// Asks the holders for the version of the stream that a request resumes, and reads the store's table if they do not
    /// reply. If neither knows it, the request goes on if its pool had only one version, and fails otherwise.
    pub(super) fn query_stream_version(&mut self, now: TimeMs, request: RequestNumber) {
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let StreamVersion::Asked(queries) = &mut state.stream_version else {
            return;
        };
        let earlier_queries = *queries;
        *queries = earlier_queries.saturating_add(1).min(QUERIES_MAX);
        let (arrived_at, stream) = (state.arrived_at, state.arrival.resumed_stream.clone());
        let pool = state.pool.clone();
        let awaits_table = earlier_queries > 0 && self.awaits_stream_versions(now, request);
        let may_have_one = self.endpoint_table.only_software_version(&pool).is_some()
            && self.past_versions(now, &pool) != PastVersions::Several;
        if may_have_one && (earlier_queries > 0 || stream.is_none()) {
            self.confirm_versions(now, arrived_at);
        }
        if earlier_queries >= QUERIES_MAX {
            let awaits_confirmation =
                may_have_one && !self.are_versions_confirmed(arrived_at) && now.since(arrived_at) < WAIT_MAX;
            if awaits_table || awaits_confirmation {
                self.timers.set(now + QUERY_INTERVAL, Timer::StreamVersionQuery(request));
            } else {
                self.go_on_at_only_version(now, request);
            }
            return;
        }
        if let Some(stream) = stream {
            for vm in stream_holders(&self.fleet, now, &stream) {
                self.send_peer_datagram(&vm, PeerMessage::StreamVersionQuery(stream.clone()));
            }
        }
        self.timers.set(now + QUERY_INTERVAL, Timer::StreamVersionQuery(request));
    }

    /// Lets a request go on whose stream's version no VM knows, if its pool had only one version; fails it otherwise.
    fn go_on_at_only_version(&mut self, now: TimeMs, request: RequestNumber) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        let is_confirmed = self.are_versions_confirmed(state.arrived_at);
        let version = match self.past_versions(now, &state.pool) {
            PastVersions::One(version) if is_confirmed => version.clone(),
            PastVersions::One(_) | PastVersions::Several | PastVersions::Unknown => {
                self.fail_request(now, request, RefusalReason::StreamVersionUnknown);
                return;
            }
        };
        if let Some(state) = self.requests.get_mut(&request) {
            state.stream_version = StreamVersion::Begun(version.clone());
            let record = Record::new("stream goes on at the only version")
                .text("request", &state.arrival.client_id)
                .text("software_version", version.as_ref().map_or("none", |version| version.as_str()));
            self.log(record);
            self.advance_if_ready(now, request);
        }
    }

    /// Decides on the requests whose clients name no stream, now that the versions of pools were read.
    pub(super) fn end_waits_for_confirmation(&mut self, now: TimeMs) {
        let is_waiting = |state: &RequestState| {
            matches!(state.stream_version, StreamVersion::Asked(_))
                && state.arrival.resumed_stream.is_none()
                && self.are_versions_confirmed(state.arrived_at)
        };
        let mut waiting: Vec<_> =
            self.requests.iter().filter(|(_, state)| is_waiting(state)).map(|(request, _)| *request).collect();
        waiting.sort();
        for request in waiting {
            self.go_on_at_only_version(now, request);
        }
    }

    /// Replies to a VM that asks for the version of a stream, if it is known here.
    pub(super) fn on_stream_version_query(&mut self, from: &VmId, stream: Arc<str>) {
        if let Some(version) = self.stream_versions.get(&stream).cloned() {
            self.send_peer_datagram(from, PeerMessage::StreamVersion(stream, version));
        }
    }

    /// Records the version of a stream that another VM states, and lets the requests go on that wait for it.
    pub(super) fn on_stream_version(&mut self, now: TimeMs, stream: Arc<str>, version: BeginningVersion) {
        let is_waiting = |state: &RequestState| {
            matches!(state.stream_version, StreamVersion::Asked(_))
                && state.arrival.resumed_stream.as_ref() == Some(&stream)
        };
        let mut waiting: Vec<_> =
            self.requests.iter().filter(|(_, state)| is_waiting(state)).map(|(request, _)| *request).collect();
        waiting.sort();
        self.stream_versions.insert(now, stream, version.clone());
        for request in waiting {
            let Some(state) = self.requests.get_mut(&request) else {
                continue;
            };
            state.stream_version = StreamVersion::Begun(version.clone());
            let record = Record::new("stream version learnt")
                .text("request", &state.arrival.client_id)
                .text("software_version", version.as_ref().map_or("none", |version| version.as_str()))
                .number("after_ms", now.since(state.arrived_at).0);
            let is_served = self.endpoint_table.serves_software_version(&state.pool, &version);
            self.log(record);
            if is_served {
                self.advance_if_ready(now, request);
            } else {
                self.fail_request(now, request, RefusalReason::NoEndpointOfVersion);
            }
        }
    }

    /// Sends a request that waited for its stream's version if its stages are done.
    fn advance_if_ready(&mut self, now: TimeMs, request: RequestNumber) {
        if self.requests.get(&request).is_some_and(|state| state.stages.is_done()) {
            self.advance(now, request);
        }
    }

    pub(super) fn send_peer_datagram(&mut self, vm: &VmId, message: PeerMessage) {
        if let Some(record) = self.fleet.record(vm) {
            self.effects.push(Effect::SendPeerDatagram(vm.clone(), record.peer_address, Box::new(message)));
        }
    }
}
