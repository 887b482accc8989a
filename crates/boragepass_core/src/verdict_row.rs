//! Contents in quarantine, stored in the table service.
//!
//! VMs send verdicts to each other, but a VM may start just when the last one that knows them dies.
//! So all contents in quarantine are stored in one row as well: a VM reads it before it admits
//! anything, and relays read it with the head of the lists. Each version of the row is applied once.
//! The VM that quarantines or releases a content writes the row. The lowest serving VM writes it too
//! when the row differs from its own verdicts, because that VM died or a verdict expired.

use boragepass_types::{ContentDigest, RowVersion, TimeMs};

use crate::effect::Effects;
use crate::member_flow::BroadcastSource;
use crate::message::Verdict;
use crate::node::{Node, TableOperation};
use crate::platform::{ExpectedVersion, Row, RowKey, RowValue, RowWrite, TableReply, TableRequest, WriteId};

/// Most contents that the row holds; at about 150 bytes each it stays below 64 KiB.
const STORED_VERDICTS_MAX: usize = 256;

/// The row as this VM knows it.
#[derive(Debug, Default)]
pub(crate) struct VerdictRow {
    /// Whether the row, or its absence, was read.
    is_known: bool,
    /// Version that was applied or written last; `None` while there is no row.
    version: Option<RowVersion>,
    /// Contents in that version.
    row_digests: Vec<ContentDigest>,
    /// Contents of the write that awaits its reply.
    pending_write: Option<Vec<ContentDigest>>,
    /// Whether verdicts have changed since the last write, or that write failed.
    has_changes: bool,
}

impl VerdictRow {
    /// Whether the row, or its absence, was read.
    pub(crate) fn is_known(&self) -> bool {
        self.is_known
    }

    /// Whether the row has to be read again in order to write changes.
    pub(crate) fn needs_sync(&self) -> bool {
        self.has_changes
    }
}

impl Node {
    /// Applies the row as it was read, and writes it if verdicts have changed here.
    pub(crate) fn on_verdict_row(&mut self, now: TimeMs, row: Option<Row>, out: &mut Effects) {
        self.verdict_row.is_known = true;
        let version = row.as_ref().map(|row| row.version);
        if version > self.verdict_row.version {
            if let Some(Row { value: RowValue::Verdicts(verdicts), .. }) = row {
                self.verdict_row.row_digests = verdicts.iter().map(|verdict| verdict.digest).collect();
                for verdict in verdicts {
                    self.on_verdict(now, BroadcastSource::Local, verdict, out);
                }
            }
            self.verdict_row.version = version;
        }
        if self.verdict_row.has_changes {
            self.write_verdicts(now, out);
        }
    }

    /// Writes the row because verdicts have changed here; reads it first if it is not known yet.
    pub(crate) fn save_verdicts(&mut self, now: TimeMs, out: &mut Effects) {
        self.verdict_row.has_changes = true;
        if self.verdict_row.is_known {
            self.write_verdicts(now, out);
        } else {
            self.poll_head(out);
        }
    }

    fn write_verdicts(&mut self, now: TimeMs, out: &mut Effects) {
        if self.verdict_row.pending_write.is_some() {
            return;
        }
        self.verdict_row.has_changes = false;
        let mut verdicts: Vec<Verdict> = self.quarantine.verdicts(now, &self.settings.vm);
        verdicts.sort_by_key(|verdict| (std::cmp::Reverse(verdict.for_ms), verdict.digest));
        verdicts.truncate(STORED_VERDICTS_MAX);
        self.verdict_row.pending_write = Some(verdicts.iter().map(|verdict| verdict.digest).collect());
        let op = self.new_op();
        let write = RowWrite {
            key: RowKey::Verdicts,
            expect: self.verdict_row.version.map_or(ExpectedVersion::Absent, ExpectedVersion::Version),
            id: WriteId { vm: self.settings.vm.clone(), incarnation: self.settings.incarnation, op },
            value: RowValue::Verdicts(verdicts),
        };
        self.ask_table(TableRequest::Commit(vec![write]), TableOperation::VerdictsWrite, out);
    }

    /// Handles the reply to a write; after a failed one the row is read again at the next poll.
    pub(crate) fn on_verdicts_written(&mut self, now: TimeMs, reply: TableReply, out: &mut Effects) {
        let written = self.verdict_row.pending_write.take().unwrap_or_default();
        match reply {
            TableReply::Committed(versions) => {
                self.verdict_row.version = versions.first().copied();
                self.verdict_row.row_digests = written;
                if self.verdict_row.has_changes {
                    self.write_verdicts(now, out);
                }
            }
            TableReply::Conflict(rows) => {
                self.verdict_row.has_changes = true;
                let row = rows.into_iter().find(|(key, _)| *key == RowKey::Verdicts).and_then(|(_, row)| row);
                self.on_verdict_row(now, row, out);
            }
            TableReply::Rows(_) | TableReply::Unavailable | TableReply::Lost => self.verdict_row.has_changes = true,
        }
    }

    /// If this is the lowest serving VM, writes the row when it differs from the verdicts in force.
    pub(crate) fn check_verdict_row(&mut self, now: TimeMs, out: &mut Effects) {
        if !self.verdict_row.is_known || !self.is_ready() || !self.is_lowest_serving_vm() {
            return;
        }
        let quarantined: Vec<_> = self.quarantine.entries(now).into_iter().map(|entry| entry.digest).collect();
        let is_stored = |digest: &ContentDigest| self.verdict_row.row_digests.contains(digest);
        let is_missing = !quarantined.iter().all(is_stored) && self.verdict_row.row_digests.len() < STORED_VERDICTS_MAX;
        let has_expired = self.verdict_row.row_digests.iter().any(|digest| !quarantined.contains(digest));
        if is_missing || has_expired {
            self.save_verdicts(now, out);
        }
    }
}
