//! Rows of the table service with transactions, without I/O: served over HTTP by `table_server`, used
//! directly by `virtual_fleet`.

use std::collections::BTreeMap;

use boragepass_core::{ExpectedVersion, Row, RowKey, RowWrite, TableReply, TableRequest};
use boragepass_types::RowVersion;

/// Faults that a test switches on.
#[derive(Debug, Default, Clone)]
pub struct TableFaults {
    /// Whether every request is refused with 503.
    pub is_down: bool,
    /// Number of commits whose reply is lost after they took effect.
    pub replies_to_lose: u32,
    /// Delay before each request is handled.
    pub delay_ms: u64,
}

/// Rows of the table with counts of the requests.
#[derive(Debug, Default, Clone)]
pub struct TableState {
    rows: BTreeMap<RowKey, Row>,
    /// Number of transactions that took effect.
    pub commits: u64,
    /// Number of read requests.
    pub reads: u64,
    /// Number of rows written.
    pub rows_written: u64,
}

impl TableState {
    /// Carries out a request. A commit takes effect as a whole or, if any row has another version than
    /// expected, not at all.
    pub fn apply(&mut self, request: &TableRequest) -> TableReply {
        match request {
            TableRequest::Read(keys) => {
                self.reads += 1;
                TableReply::Rows(keys.iter().map(|key| self.rows.get(key).cloned()).collect())
            }
            TableRequest::Commit(writes) => self.commit(writes),
        }
    }

    /// Row with this key, if there is one.
    pub fn row(&self, key: &RowKey) -> Option<&Row> {
        self.rows.get(key)
    }

    fn commit(&mut self, writes: &[RowWrite]) -> TableReply {
        let unmet: Vec<_> = writes
            .iter()
            .filter(|write| !self.meets_expectation(write))
            .map(|write| (write.key.clone(), self.rows.get(&write.key).cloned()))
            .collect();
        if !unmet.is_empty() {
            return TableReply::Conflict(unmet);
        }
        self.commits += 1;
        self.rows_written += writes.len() as u64;
        TableReply::Committed(writes.iter().map(|write| self.write_row(write)).collect())
    }

    fn meets_expectation(&self, write: &RowWrite) -> bool {
        let row = self.rows.get(&write.key);
        match write.expect {
            ExpectedVersion::Any => true,
            ExpectedVersion::Absent => row.is_none(),
            ExpectedVersion::Version(version) => row.is_some_and(|row| row.version == version),
        }
    }

    fn write_row(&mut self, write: &RowWrite) -> RowVersion {
        let version = self.rows.get(&write.key).map_or(RowVersion(1), |row| row.version.next());
        let row = Row { version, write_id: write.id.clone(), value: write.value.clone() };
        self.rows.insert(write.key.clone(), row);
        version
    }
}
