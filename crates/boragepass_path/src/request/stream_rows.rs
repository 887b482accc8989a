//! Rows of the store that name the software versions of begun streams, so that these outlive all VMs.
//!
//! One VM, the collector, writes them for the whole fleet: up to 80 streams a second of 195 VMs make two rows of 40 streams
//! a second. A row is written again with each stream that begins soon after its first, so that streams are in the store at
//! once and yet share a row. A row takes a numbered slot, and its slot is free again once no client takes up its streams any
//! more. A VM that did not see a row being written does not know its age, so it counts from when it read the row first.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use boragepass_types::{Hash64, SpanMs, TimeMs};

use super::{BeginningVersion, STREAM_RETENTION};

/// Slots of the table. At two rows a second, 120 are in use, and 240 after the collector changed. A page of the store's
/// lists holds 500 rows.
const SLOTS: u16 = 400;
/// Streams of one row. With 10 bytes each and the versions, the encoded row takes 44 KB, and 58 KB as base64; the store
/// accepts 65,536 bytes.
const ROW_STREAMS_MAX: usize = 3_000;
/// Time from the first write of a row in which streams are added to it.
const ROW_OPEN_TIME: SpanMs = SpanMs(500);
/// Versions of one row; each takes up to 203 bytes.
const ROW_VERSIONS_MAX: usize = 64;
/// Streams that a collector holds: 60 s of 200 streams a second, about 1.5 MB.
const HELD_STREAMS_MAX: usize = 12_000;

/// Digest under which the store's rows name a stream.
pub fn stream_digest(stream: &str) -> Hash64 {
    Hash64::of(stream.as_bytes())
}

/// Row of the store with the versions of some streams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamVersionRow {
    /// Number of the row within its table.
    pub slot: u16,
    /// Version of the row in the store, or of the one that it replaces; zero if there is none.
    pub row_version: u64,
    /// Streams by their digests, with the versions that began them; `None` for endpoints that state no version.
    pub streams: Vec<(Hash64, BeginningVersion)>,
}

/// Streams that the table named when this VM read it.
#[derive(Debug, Default)]
pub(crate) struct StreamTable {
    /// Versions by digest; `None` for a digest that streams of different versions share.
    by_digest: HashMap<Hash64, Option<BeginningVersion>>,
}

impl StreamTable {
    pub(crate) fn new(rows: &[StreamVersionRow]) -> Self {
        let mut by_digest: HashMap<Hash64, Option<BeginningVersion>> = HashMap::new();
        for (digest, version) in rows.iter().flat_map(|row| &row.streams) {
            let known = by_digest.entry(*digest).or_insert_with(|| Some(version.clone()));
            if known.as_ref() != Some(version) {
                *known = None;
            }
        }
        Self { by_digest }
    }

    /// Version that began a stream; `None` if the table does not name it, or names several.
    pub(crate) fn version(&self, stream: &str) -> Option<&BeginningVersion> {
        self.by_digest.get(&stream_digest(stream))?.as_ref()
    }
}

/// Digest of a stream and its version. Streams that share a digest are held apart, so that their readers see the conflict.
type StreamKey = (Hash64, BeginningVersion);

/// Row in a slot.
#[derive(Debug)]
struct UsedSlot {
    row_version: u64,
    /// When its streams had begun at the latest.
    begun_until: TimeMs,
}

/// Streams for which this VM is or may become the collector, and the rows of the table.
#[derive(Debug, Default)]
pub(crate) struct StreamCollector {
    /// Whether the table names each stream.
    held: BTreeMap<StreamKey, bool>,
    /// Held streams in the order of their arrival.
    arrivals: VecDeque<(TimeMs, StreamKey)>,
    slots: BTreeMap<u16, UsedSlot>,
    /// Row that this VM wrote last, and when it wrote it first.
    open_row: Option<(TimeMs, StreamVersionRow)>,
}

impl StreamCollector {
    /// Holds a stream. If there are too many, drops the oldest one and returns `false`.
    pub(crate) fn hold(&mut self, now: TimeMs, digest: Hash64, version: BeginningVersion) -> bool {
        let key = (digest, version);
        if self.held.contains_key(&key) {
            return true;
        }
        self.held.insert(key.clone(), false);
        self.arrivals.push_back((now, key));
        if self.held.len() <= HELD_STREAMS_MAX {
            return true;
        }
        if let Some((_, oldest)) = self.arrivals.pop_front() {
            self.held.remove(&oldest);
        }
        false
    }

    /// Drops streams that no client takes up any more.
    pub(crate) fn sweep(&mut self, now: TimeMs) {
        while let Some((at, _)) = self.arrivals.front()
            && now.since(*at) >= STREAM_RETENTION
        {
            if let Some((_, key)) = self.arrivals.pop_front() {
                self.held.remove(&key);
            }
        }
    }

    /// Whether the table lacks a stream, as far as this VM knows.
    pub(crate) fn has_unrecorded(&self) -> bool {
        self.held.values().any(|is_recorded| !is_recorded)
    }

    /// The store may lack any row, as it was restored from a copy.
    pub(crate) fn on_store_restored(&mut self) {
        self.held.values_mut().for_each(|is_recorded| *is_recorded = false);
        self.slots.clear();
        self.open_row = None;
    }

    /// Compares the held streams with the table as it was read.
    pub(crate) fn on_table(&mut self, now: TimeMs, rows: &[StreamVersionRow]) {
        let recorded: BTreeSet<_> = rows.iter().flat_map(|row| &row.streams).collect();
        self.held.iter_mut().for_each(|(key, is_recorded)| *is_recorded = recorded.contains(key));
        self.open_row = None;
        let known = std::mem::take(&mut self.slots);
        for row in rows {
            let unchanged = known.get(&row.slot).filter(|slot| slot.row_version == row.row_version);
            let begun_until = unchanged.map_or(now, |slot| slot.begun_until);
            self.slots.insert(row.slot, UsedSlot { row_version: row.row_version, begun_until });
        }
    }

    /// Next row to write: streams of these versions that the table lacks, with those of the last row if that is still open,
    /// or else in a free slot; `None` if there are none.
    /// The search for a slot begins at `first_slot`, which differs between VMs that both act as collectors.
    pub(crate) fn next_row(
        &self,
        now: TimeMs,
        versions: &BTreeSet<BeginningVersion>,
        first_slot: u64,
    ) -> Option<StreamVersionRow> {
        let open_row = self.open_row.as_ref().filter(|(opened_at, _)| now.since(*opened_at) < ROW_OPEN_TIME);
        let open_row = open_row.map(|(_, row)| row).filter(|row| row.streams.len() < ROW_STREAMS_MAX);
        let open_streams = open_row.map(|row| row.streams.clone()).unwrap_or_default();
        let mut row_versions: BTreeSet<_> = open_streams.iter().map(|(_, version)| version.clone()).collect();
        let fits = |(_, version): &&StreamKey| {
            let is_new = !row_versions.contains(version);
            if !versions.contains(version) || is_new && row_versions.len() >= ROW_VERSIONS_MAX {
                return false;
            }
            row_versions.insert(version.clone());
            true
        };
        let unrecorded = self.held.iter().filter(|(_, is_recorded)| !**is_recorded).map(|(key, _)| key);
        let added: Vec<_> = unrecorded.filter(fits).take(ROW_STREAMS_MAX - open_streams.len()).cloned().collect();
        if added.is_empty() {
            return None;
        }
        if let Some(StreamVersionRow { slot, row_version, .. }) = open_row {
            let streams = open_streams.into_iter().chain(added).collect();
            return Some(StreamVersionRow { slot: *slot, row_version: *row_version, streams });
        }
        let first_slot = (first_slot % u64::from(SLOTS)) as u16;
        let mut slots = (first_slot..SLOTS).chain(0..first_slot);
        let is_free =
            |slot: &u16| self.slots.get(slot).is_none_or(|used| now.since(used.begun_until) >= STREAM_RETENTION);
        // Without a free slot, as after several changes of the collector, the streams of the oldest row are given up.
        let oldest = || self.slots.iter().min_by_key(|(_, used)| used.begun_until).map(|(slot, _)| *slot);
        let slot = slots.find(is_free).or_else(oldest)?;
        let row_version = self.slots.get(&slot).map_or(0, |used| used.row_version);
        Some(StreamVersionRow { slot, row_version, streams: added })
    }

    /// The store holds this row, under its new version.
    pub(crate) fn on_written(&mut self, now: TimeMs, row: &StreamVersionRow) {
        for key in &row.streams {
            if let Some(is_recorded) = self.held.get_mut(key) {
                *is_recorded = true;
            }
        }
        self.slots.insert(row.slot, UsedSlot { row_version: row.row_version, begun_until: now });
        let opened_at = match &self.open_row {
            Some((opened_at, open_row)) if open_row.slot == row.slot => *opened_at,
            _ => now,
        };
        self.open_row = Some((opened_at, row.clone()));
    }
}
