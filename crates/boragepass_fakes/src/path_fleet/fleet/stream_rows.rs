//! The store's table of the versions of begun streams, its calls, and their faults.

use boragepass_path::StreamVersionRow;

use super::*;

/// Times after which a read and a write without a reply fail.
const READ_TIMEOUT_MS: u64 = 1_500;
const WRITE_TIMEOUT_MS: u64 = 700;

/// Rows by their slot, with the calls that the store got and their faults.
#[derive(Debug, Clone, Default)]
pub(super) struct StreamRows {
    rows: BTreeMap<u16, StreamVersionRow>,
    reads: u64,
    writes: u64,
    replies_to_lose: u32,
}

impl StreamRows {
    /// Replaces the rows by those of a copy.
    pub(super) fn restore(&mut self, copy: Self) {
        self.rows = copy.rows;
    }
}

impl PathFleet {
    /// Reads and writes of the versions of begun streams that reached the store.
    pub fn stream_version_calls(&self) -> (u64, u64) {
        (self.store.stream_rows.reads, self.store.stream_rows.writes)
    }

    /// Number of rows with versions of begun streams.
    pub fn stream_version_rows(&self) -> usize {
        self.store.stream_rows.rows.len()
    }

    /// Loses the replies to the next writes of stream versions after they took effect.
    pub fn lose_stream_version_replies(&mut self, replies: u32) {
        self.store.stream_rows.replies_to_lose = replies;
    }

    pub(super) fn read_stream_versions(&mut self, vm: usize) {
        if self.vms[vm].is_cut_from_store {
            self.deliver(vm, READ_TIMEOUT_MS, Event::StreamVersionsRead(None));
            return;
        }
        self.store.stream_rows.reads += 1;
        let rows = self.store.stream_rows.rows.values().cloned().collect();
        self.deliver(vm, STORE_DELAY_MS, Event::StreamVersionsRead(Some(rows)));
    }

    /// Writes a row unless the one that it replaces has another version than it states.
    pub(super) fn record_stream_versions(&mut self, vm: usize, row: StreamVersionRow) {
        if self.vms[vm].is_cut_from_store {
            self.deliver(vm, WRITE_TIMEOUT_MS, Event::StreamVersionsRecorded(None));
            return;
        }
        let stream_rows = &mut self.store.stream_rows;
        stream_rows.writes += 1;
        if stream_rows.rows.get(&row.slot).map_or(0, |present| present.row_version) != row.row_version {
            self.deliver(vm, STORE_DELAY_MS, Event::StreamVersionsRecorded(None));
            return;
        }
        self.store.version += 1;
        let row_version = self.store.version;
        stream_rows.rows.insert(row.slot, StreamVersionRow { row_version, ..row });
        if stream_rows.replies_to_lose > 0 {
            stream_rows.replies_to_lose -= 1;
            self.deliver(vm, WRITE_TIMEOUT_MS, Event::StreamVersionsRecorded(None));
        } else {
            self.deliver(vm, STORE_DELAY_MS, Event::StreamVersionsRecorded(Some(row_version)));
        }
    }
}
