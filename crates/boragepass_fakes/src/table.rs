//! The table service's state, without I/O, so that tests of the reducer use it as well.

use std::collections::BTreeMap;

use boragepass_core::{ExpectedVersion, Row, RowKey, RowWrite, TableReply, TableRequest};
use boragepass_types::RowVersion;

/// Faults that can be switched on.
#[derive(Debug, Default, Clone)]
pub struct TableFaults {
    /// Answers nothing and does nothing.
    pub is_down: bool,
    /// Replies of the next commits to lose after they took effect.
    pub replies_to_lose: u32,
    /// Time before each answer.
    pub delay_ms: u64,
}

/// Rows with transactions.
#[derive(Debug, Default, Clone)]
pub struct TableState {
    rows: BTreeMap<RowKey, Row>,
    /// Transactions that took effect.
    pub commits: u64,
    /// Requests that read.
    pub reads: u64,
    /// Rows written.
    pub rows_written: u64,
}

impl TableState {
    /// Carries out a request.
    pub fn apply(&mut self, request: &TableRequest) -> TableReply {
        match request {
            TableRequest::Read(keys) => {
                self.reads += 1;
                TableReply::Rows(keys.iter().map(|key| self.rows.get(key).cloned()).collect())
            }
            TableRequest::Commit(writes) => self.commit(writes),
        }
    }

    /// Row with a key.
    pub fn row(&self, key: &RowKey) -> Option<&Row> {
        self.rows.get(key)
    }

    fn commit(&mut self, writes: &[RowWrite]) -> TableReply {
        let failed: Vec<_> = writes
            .iter()
            .filter(|write| !self.holds(write))
            .map(|write| (write.key.clone(), self.rows.get(&write.key).cloned()))
            .collect();
        if !failed.is_empty() {
            return TableReply::Conflict(failed);
        }
        self.commits += 1;
        self.rows_written += writes.len() as u64;
        TableReply::Committed(writes.iter().map(|write| self.write(write)).collect())
    }

    fn holds(&self, write: &RowWrite) -> bool {
        let row = self.rows.get(&write.key);
        match write.expect {
            ExpectedVersion::Any => true,
            ExpectedVersion::Absent => row.is_none(),
            ExpectedVersion::Version(version) => row.is_some_and(|row| row.version == version),
        }
    }

    fn write(&mut self, write: &RowWrite) -> RowVersion {
        let version = self.rows.get(&write.key).map_or(RowVersion(1), |row| row.version.next());
        let row = Row { version, write_id: write.id.clone(), value: write.value.clone() };
        self.rows.insert(write.key.clone(), row);
        version
    }
}
