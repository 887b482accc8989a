//! Which software versions the pools had, also before this VM started; one VM keeps that in the store.

use boragepass_types::{PoolId, SpanMs, TimeMs};

use super::RequestPath;
use crate::effect::Effect;
use crate::fleet::is_version_recorder;
use crate::placement::{PastVersions, RecordedVersions};
use crate::record::Record;

/// Time after its start in which a VM hears the others and so knows whether it is the one that records versions. Also the
/// time between two changes of the row.
const RECORDING_DELAY: SpanMs = SpanMs(3_000);
/// Shortest time between two reads of the list and the row for streams.
const CONFIRMATION_INTERVAL: SpanMs = SpanMs(200);

/// State of this VM's calls that record versions.
#[derive(Debug)]
pub(super) struct VersionRecording {
    /// When the VM records versions next, if there is something to record.
    next_at: TimeMs,
    /// Whether the VM has read the row since it became the one that records versions.
    has_current_row: bool,
    is_call_in_progress: bool,
    /// When the VM may read the row again because a stream needs it.
    next_read_at: TimeMs,
    /// Start of the read in progress that also reads the list of endpoints.
    confirmation_started_at: Option<TimeMs>,
    /// Start of the last such read that succeeded.
    confirmed_at: Option<TimeMs>,
}

impl VersionRecording {
    pub(super) fn new(now: TimeMs) -> Self {
        Self {
            next_at: now + RECORDING_DELAY,
            has_current_row: false,
            is_call_in_progress: false,
            next_read_at: now,
            confirmation_started_at: None,
            confirmed_at: None,
        }
    }
}

impl RequestPath {
    /// Versions that a pool had since the oldest stream began that a client may take up, with those of the list now.
    pub(super) fn past_versions(&self, now: TimeMs, pool: &PoolId) -> PastVersions<'_> {
        match self.version_history.past_versions(now, pool) {
            PastVersions::One(version) if self.endpoint_table.only_software_version(pool) != Some(version) => {
                PastVersions::Several
            }
            past_versions => past_versions,
        }
    }

    pub(super) fn watch_versions(&mut self, now: TimeMs) {
        let listed = self.endpoint_table.iter().map(|known| (&known.endpoint.pool, &known.endpoint.software_version));
        self.version_history.on_listed(now, listed);
    }

    pub(super) fn on_versions_recorded(&mut self, now: TimeMs, recorded: RecordedVersions) {
        self.version_history.on_recorded(now, recorded);
        let recording = &mut self.version_recording;
        recording.is_call_in_progress = false;
        recording.confirmed_at = recording.confirmation_started_at.take().or(recording.confirmed_at);
        self.read_stream_versions_at_start(now);
        self.end_waits_for_confirmation(now);
    }

    /// Whether the versions that pools had are known as of a moment after `at`. A VM that was cut off or stood still may
    /// have missed versions that joined meanwhile. The store tells; while it cannot be reached, most of the other VMs have
    /// to state that they know no newer list of endpoints.
    pub(super) fn are_versions_confirmed(&self, at: TimeMs) -> bool {
        let is_read = self.version_recording.confirmed_at.is_some_and(|confirmed_at| confirmed_at >= at);
        is_read || (!self.fleet.can_reach_store && self.is_list_agreed_since(at))
    }

    /// Whether most of the other VMs were heard after `at` and none of the others knows a newer list of endpoints.
    pub(super) fn is_list_agreed_since(&self, at: TimeMs) -> bool {
        self.newest_peer_list <= self.endpoint_table.version && self.fleet.heard_most_since(at)
    }

    /// Reads from the store which versions the pools have and had, unless that is known as of a moment after `at`.
    pub(super) fn confirm_versions(&mut self, now: TimeMs, at: TimeMs) {
        if self.are_versions_confirmed(at) {
            return;
        }
        let recording = &mut self.version_recording;
        if recording.is_call_in_progress || now < recording.next_read_at {
            return;
        }
        recording.is_call_in_progress = true;
        recording.next_read_at = now + CONFIRMATION_INTERVAL;
        recording.confirmation_started_at = Some(now);
        self.effects.push(Effect::ConfirmVersions);
    }

    /// Brings the store's row up to date if this VM is the one that keeps it.
    pub(super) fn update_version_record(&mut self, now: TimeMs) {
        let is_recorder = self.fleet.can_reach_store && is_version_recorder(&self.fleet, now, &self.settings.vm);
        if !is_recorder {
            self.version_recording.has_current_row = false;
            return;
        }
        if self.version_recording.is_call_in_progress || now < self.version_recording.next_at {
            return;
        }
        if !self.version_recording.has_current_row {
            // Another VM may have changed the row since this one read it.
            self.version_recording.has_current_row = true;
            self.version_recording.is_call_in_progress = true;
            self.effects.push(Effect::ReadRecordedVersions);
        } else if let Some(versions) = self.version_history.unrecorded(now) {
            self.version_recording.is_call_in_progress = true;
            self.version_recording.next_at = now + RECORDING_DELAY;
            let pools = versions.by_pool.iter().filter(|(_, versions)| versions.len() > 1);
            self.log(
                Record::new("recording software versions")
                    .number("pools", versions.by_pool.len())
                    .text("pools_with_several", pools.map(|(pool, _)| pool.to_string()).collect::<Vec<_>>().join(",")),
            );
            self.effects.push(Effect::RecordVersions(versions));
        }
    }
}
