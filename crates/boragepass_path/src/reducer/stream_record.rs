//! Versions of begun streams in the store, which outlive all VMs; one VM collects and writes them.
//!
//! A VM sends the version of each stream that it begins to the collector if its pool had several versions. The collector
//! writes what is new at once, as clients also take up streams that began just before all VMs died. If another VM becomes
//! the collector, the VMs send it again the streams that a dead collector may not have written. A VM reads the table if a
//! request waits for a version that no holder knows. Load: 195 VMs that begin 80 streams a second make 25 writes and two
//! rows a second at most, whatever the number of VMs.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use boragepass_types::{PoolId, SpanMs, TimeMs, VmId, rendezvous_weight};

use super::RequestPath;
use crate::effect::Effect;
use crate::fleet::stream_collector;
use crate::message::PeerMessage;
use crate::placement::PastVersions;
use crate::record::Record;
use crate::request::{
    BeginningVersion, RequestNumber, STREAM_RETENTION, StreamCollector, StreamTable, StreamVersion, StreamVersionRow,
    stream_digest,
};
use crate::timers::Timer;

/// Time from the moment at which the collector learns of a stream until it writes that, with others that began meanwhile.
const WRITE_DELAY: SpanMs = SpanMs(40);
/// Shortest time between the starts of two reads of the table.
const READ_INTERVAL: SpanMs = SpanMs(1_000);
/// Time after which a read in progress does not keep requests waiting. A read of the table takes up to 100 ms at 10 Mbit/s.
const READ_PATIENCE: SpanMs = SpanMs(400);
/// Longest time for which a request waits for the version of its stream.
const WAIT_MAX: SpanMs = SpanMs(1_500);
/// Age up to which a new collector is sent streams again: VMs of another region notice within 11.5 s that a VM is dead.
const RESEND_AGE_MAX: SpanMs = SpanMs(15_000);
/// Streams that a VM sends again at a time.
const RESENDS_MAX: usize = 100;
/// Streams of its own that a VM remembers: 60 s of 80 a second, if it is alone.
const OWN_STREAMS_MAX: usize = 5_000;

/// Stream that this VM began.
#[derive(Debug)]
struct OwnStream {
    begun_at: TimeMs,
    stream: Arc<str>,
    version: BeginningVersion,
    pool: PoolId,
    /// Whether the collector was told.
    is_sent: bool,
}

/// State of this VM's part in the record of streams.
#[derive(Debug, Default)]
pub(super) struct StreamRecording {
    collector: StreamCollector,
    table: StreamTable,
    own_streams: VecDeque<OwnStream>,
    /// Collector as of the last sweep.
    collecting_vm: Option<VmId>,
    /// Whether the VM has read the table since it became the collector.
    has_current_slots: bool,
    /// Whether the versions of pools were read once.
    has_pool_versions: bool,
    is_read_in_progress: bool,
    read_started_at: Option<TimeMs>,
    /// Start of the last read that succeeded.
    last_read_at: Option<TimeMs>,
    /// Row that is being written.
    written_row: Option<StreamVersionRow>,
    /// Whether a [`Timer::WriteStreamVersions`] is pending.
    is_write_scheduled: bool,
}

impl StreamRecording {
    /// Version of a stream that the table named when it was read last.
    pub(super) fn recorded_version(&self, stream: &str) -> Option<&BeginningVersion> {
        self.table.version(stream)
    }

    /// A restored store may lack rows, so the table is read and compared with the held streams.
    pub(super) fn on_store_restored(&mut self) {
        self.collector.on_store_restored();
        self.has_current_slots = false;
    }
}

impl RequestPath {
    fn had_several_versions(&self, now: TimeMs, pool: &PoolId) -> bool {
        self.past_versions(now, pool) == PastVersions::Several
    }

    /// Passes a stream that this VM began on to the collector, unless that is one of the stream's holders.
    pub(super) fn record_own_stream(
        &mut self,
        now: TimeMs,
        pool: PoolId,
        stream: &Arc<str>,
        version: &BeginningVersion,
        holders: &[VmId],
    ) {
        let is_sent = self.had_several_versions(now, &pool);
        if is_sent {
            let collecting_vm = stream_collector(&self.fleet, now);
            if !holders.contains(&collecting_vm) {
                self.send_to_collector(now, &collecting_vm, stream.clone(), version.clone());
            }
        }
        let own_streams = &mut self.stream_recording.own_streams;
        if own_streams.len() >= OWN_STREAMS_MAX {
            own_streams.pop_front();
        }
        let own_stream = OwnStream { begun_at: now, stream: stream.clone(), version: version.clone(), pool, is_sent };
        own_streams.push_back(own_stream);
    }

    fn send_to_collector(&mut self, now: TimeMs, collecting_vm: &VmId, stream: Arc<str>, version: BeginningVersion) {
        if *collecting_vm == self.settings.vm {
            self.hold_stream(now, &stream, &version);
        } else {
            self.send_peer_datagram(collecting_vm, PeerMessage::StreamVersion(stream, version));
        }
    }

    /// Holds a stream for the store, in case this VM is or becomes the collector.
    pub(super) fn hold_stream(&mut self, now: TimeMs, stream: &str, version: &BeginningVersion) {
        if !self.stream_recording.collector.hold(now, stream_digest(stream), version.clone()) {
            self.log(Record::new("stream version dropped, too many to record"));
        }
        self.schedule_stream_write(now);
    }

    /// Schedules a write of what the table lacks if this VM is the collector and a pool had several versions.
    fn schedule_stream_write(&mut self, now: TimeMs) {
        let recording = &self.stream_recording;
        let is_collector = recording.collecting_vm.as_ref() == Some(&self.settings.vm);
        if is_collector
            && !recording.is_write_scheduled
            && recording.collector.has_unrecorded()
            && self.version_history.pools().any(|pool| self.had_several_versions(now, pool))
        {
            self.stream_recording.is_write_scheduled = true;
            self.timers.set(now + WRITE_DELAY, Timer::WriteStreamVersions);
        }
    }

    pub(super) fn write_scheduled_streams(&mut self, now: TimeMs) {
        self.stream_recording.is_write_scheduled = false;
        self.update_stream_record(now);
    }

    /// Writes what the table lacks if this VM is the collector; otherwise passes on what the collector may not know.
    pub(super) fn update_stream_record(&mut self, now: TimeMs) {
        let recording = &mut self.stream_recording;
        recording.collector.sweep(now);
        while recording.own_streams.front().is_some_and(|own| now.since(own.begun_at) >= STREAM_RETENTION) {
            recording.own_streams.pop_front();
        }
        if recording.last_read_at.is_some_and(|at| now.since(at) >= STREAM_RETENTION) {
            recording.table = StreamTable::default();
        }
        let collecting_vm = stream_collector(&self.fleet, now);
        self.send_unsent_streams(now, &collecting_vm);
        if collecting_vm != self.settings.vm {
            self.stream_recording.has_current_slots = false;
        } else if self.fleet.can_reach_store {
            self.write_stream_versions(now);
        }
    }

    fn send_unsent_streams(&mut self, now: TimeMs, collecting_vm: &VmId) {
        let recording = &mut self.stream_recording;
        if recording.collecting_vm.as_ref() != Some(collecting_vm) {
            recording.collecting_vm = Some(collecting_vm.clone());
            let recent = |own: &&mut OwnStream| now.since(own.begun_at) < RESEND_AGE_MAX;
            recording.own_streams.iter_mut().filter(recent).for_each(|own| own.is_sent = false);
        }
        let unsent = recording.own_streams.iter().filter(|own| !own.is_sent);
        let pools: BTreeSet<_> = unsent.map(|own| own.pool.clone()).collect();
        let pools: BTreeSet<_> = pools.into_iter().filter(|pool| self.had_several_versions(now, pool)).collect();
        if pools.is_empty() {
            return;
        }
        let unsent = self.stream_recording.own_streams.iter_mut();
        let unsent = unsent.filter(|own| !own.is_sent && pools.contains(&own.pool)).take(RESENDS_MAX);
        let unsent: Vec<_> = unsent
            .map(|own| {
                own.is_sent = true;
                (own.stream.clone(), own.version.clone())
            })
            .collect();
        for (stream, version) in unsent {
            self.send_to_collector(now, collecting_vm, stream, version);
        }
    }

    fn write_stream_versions(&mut self, now: TimeMs) {
        let recording = &self.stream_recording;
        if recording.written_row.is_some() || !recording.collector.has_unrecorded() {
            return;
        }
        let several = self.version_history.pools().filter(|pool| self.had_several_versions(now, pool));
        let versions: BTreeSet<_> =
            several.flat_map(|pool| self.version_history.recent_versions(now, pool)).cloned().collect();
        let first_slot = rendezvous_weight("stream-versions", self.settings.vm.as_str());
        let Some(row) = recording.collector.next_row(now, &versions, first_slot) else {
            return;
        };
        if !recording.has_current_slots {
            // Another VM may have written rows since this one read them.
            self.read_stream_versions_if_due(now);
            return;
        }
        self.log(
            Record::new("recording stream versions").number("streams", row.streams.len()).number("slot", row.slot),
        );
        self.stream_recording.written_row = Some(row.clone());
        self.effects.push(Effect::RecordStreamVersions(row));
    }

    /// The write ended; without a new version of the row it is not known whether the store carried it out, so the table is
    /// read before the next write, and what it lacks is written again.
    pub(super) fn on_stream_versions_recorded(&mut self, now: TimeMs, row_version: Option<u64>) {
        let recording = &mut self.stream_recording;
        match (recording.written_row.take(), row_version) {
            (Some(row), Some(row_version)) => {
                recording.collector.on_written(now, &StreamVersionRow { row_version, ..row });
            }
            _ => recording.has_current_slots = false,
        }
        self.schedule_stream_write(now);
    }

    /// After the first read of the versions of pools: reads the table if a pool had several.
    pub(super) fn read_stream_versions_at_start(&mut self, now: TimeMs) {
        if std::mem::replace(&mut self.stream_recording.has_pool_versions, true) {
            return;
        }
        let had_several = self.version_history.pools().any(|pool| {
            // The list of endpoints need not have arrived yet, so the row alone decides.
            self.version_history.past_versions(now, pool) == PastVersions::Several
        });
        if had_several {
            self.read_stream_versions_if_due(now);
        }
    }

    fn read_stream_versions_if_due(&mut self, now: TimeMs) {
        let recording = &mut self.stream_recording;
        let is_due = recording.read_started_at.is_none_or(|at| now.since(at) >= READ_INTERVAL);
        if is_due && !recording.is_read_in_progress && self.fleet.can_reach_store {
            recording.is_read_in_progress = true;
            recording.read_started_at = Some(now);
            self.effects.push(Effect::ReadStreamVersions);
        }
    }

    /// Takes in the table, lets the requests go on whose streams it names, and writes what it lacks.
    pub(super) fn on_stream_versions_read(&mut self, now: TimeMs, rows: Option<Vec<StreamVersionRow>>) {
        self.stream_recording.is_read_in_progress = false;
        let Some(rows) = rows else {
            return;
        };
        let recording = &mut self.stream_recording;
        recording.last_read_at = recording.read_started_at;
        recording.has_current_slots = true;
        recording.table = StreamTable::new(&rows);
        if recording.written_row.is_none() {
            recording.collector.on_table(now, &rows);
        }
        self.log(
            Record::new("stream versions read")
                .number("rows", rows.len())
                .number("streams", rows.iter().map(|row| row.streams.len()).sum::<usize>()),
        );
        let asked = self.requests.values().filter(|state| matches!(state.stream_version, StreamVersion::Asked(_)));
        let streams: BTreeSet<_> = asked.filter_map(|state| state.arrival.resumed_stream.clone()).collect();
        for stream in streams {
            if let Some(version) = self.stream_recording.recorded_version(&stream).cloned() {
                self.on_stream_version(now, stream, version);
            }
        }
        self.update_stream_record(now);
    }

    /// Reads the table for a request whose stream no holder knows, if that may tell; returns whether the request is to wait
    /// for a read, which has to begin after the request arrived.
    pub(super) fn awaits_stream_versions(&mut self, now: TimeMs, request: RequestNumber) -> bool {
        let Some(state) = self.requests.get(&request) else {
            return false;
        };
        let (arrived_at, pool) = (state.arrived_at, state.pool.clone());
        if state.arrival.resumed_stream.is_none() || now.since(arrived_at) >= WAIT_MAX {
            return false;
        }
        let was_read = self.stream_recording.last_read_at.is_some_and(|at| at >= arrived_at);
        if was_read || !self.fleet.can_reach_store || !self.had_several_versions(now, &pool) {
            return false;
        }
        self.read_stream_versions_if_due(now);
        let recording = &self.stream_recording;
        let is_slow = recording.read_started_at.is_some_and(|at| now.since(at) >= READ_PATIENCE);
        !(recording.is_read_in_progress && is_slow)
    }
}
