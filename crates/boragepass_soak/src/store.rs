//! The platform's store: rows, a feed of their changes, and its faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use boragepass_platform::{
    Row, RowChange, RowPage, decode_row_writes, decode_table_read, encode_changes, encode_rows, names,
};

use crate::http_server::{Got, Reply, serve};

/// Longest time that a question for changes waits; the users' store waits up to 30 s, which would only slow a soak down.
const FEED_WAIT: Duration = Duration::from_millis(100);
/// Time of an answer while the store is slow.
const SLOW: Duration = Duration::from_millis(900);

#[derive(Debug, Default)]
struct Inner {
    tables: BTreeMap<String, BTreeMap<String, Row>>,
    changes: Vec<(String, RowChange)>,
    version: u64,
    /// Changes up to this version are forgotten.
    forgotten: u64,
    away_until: Option<Instant>,
    slow_until: Option<Instant>,
    loses_until: Option<Instant>,
}

/// Store that all VMs reach over links of their own.
#[derive(Debug, Clone)]
pub(crate) struct Store {
    pub(crate) address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
}

fn is_on(until: Option<Instant>) -> bool {
    until.is_some_and(|until| Instant::now() < until)
}

fn for_ms(ms: u64) -> Option<Instant> {
    Some(Instant::now() + Duration::from_millis(ms))
}

impl Inner {
    fn put(&mut self, table: &str, key: &str, value: Vec<u8>) {
        self.version += 1;
        let row = Row { key: key.to_owned(), value: value.into(), version: self.version };
        self.tables.entry(table.to_owned()).or_default().insert(key.to_owned(), row.clone());
        self.changes.push((table.to_owned(), RowChange::Written(row)));
    }

    fn answer(&mut self, got: &Got) -> Option<Reply> {
        if is_on(self.away_until) {
            return Some(Reply::new(503, ""));
        }
        let after = if is_on(self.slow_until) { SLOW } else { Duration::ZERO };
        if got.path.starts_with(names::ROWS_CHANGE_PATH) {
            for (table, row) in decode_row_writes(&got.body).ok()? {
                self.put(&table, &row.key, row.value.to_vec());
            }
            if is_on(self.loses_until) {
                return None;
            }
            return Some(Reply { after, ..Reply::new(200, format!(r#"{{"ver":{},"nowMs":1}}"#, self.version)) });
        }
        if is_on(self.loses_until) {
            return None;
        }
        let read = decode_table_read(&got.path)?;
        let Some(seen) = read.changes_after else {
            let rows = self.tables.get(&read.table).map(|rows| rows.values().cloned().collect()).unwrap_or_default();
            let rows = RowPage { rows, version: self.version, has_more: false };
            return Some(Reply { after, ..Reply::new(200, encode_rows(&read.table, &rows)) });
        };
        if seen < self.forgotten {
            return Some(Reply { after, ..Reply::new(410, "") });
        }
        let version_of = |change: &RowChange| match change {
            RowChange::Written(row) => row.version,
            RowChange::Removed { version, .. } => *version,
        };
        let news = self.changes.iter().filter(|(table, change)| *table == read.table && version_of(change) > seen);
        let rows: Vec<_> = news.map(|(_, change)| change.clone()).collect();
        let after = if rows.is_empty() { after + FEED_WAIT } else { after };
        let changes = RowPage { rows, version: self.version, has_more: false };
        Some(Reply { after, ..Reply::new(200, encode_changes(&read.table, &changes)) })
    }
}

impl Store {
    pub(crate) fn start() -> Self {
        let inner: Arc<Mutex<Inner>> = Arc::default();
        let answering = inner.clone();
        let (address, _) = serve(move |got| answering.lock().unwrap_or_else(PoisonError::into_inner).answer(got));
        Self { address, inner }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row as the operators and endpoints do, whatever the store does with VMs.
    pub(crate) fn put(&self, table: &str, key: &str, value: Vec<u8>) {
        self.inner().put(table, key, value);
    }

    pub(crate) fn remove(&self, table: &str, key: &str) {
        let mut inner = self.inner();
        inner.version += 1;
        let removed = RowChange::Removed { key: key.to_owned(), version: inner.version };
        if let Some(rows) = inner.tables.get_mut(table) {
            rows.remove(key);
        }
        inner.changes.push((table.to_owned(), removed));
    }

    pub(crate) fn be_away(&self, ms: u64) {
        self.inner().away_until = for_ms(ms);
    }

    pub(crate) fn be_slow(&self, ms: u64) {
        self.inner().slow_until = for_ms(ms);
    }

    pub(crate) fn lose_answers(&self, ms: u64) {
        self.inner().loses_until = for_ms(ms);
    }

    pub(crate) fn forget(&self) {
        let mut inner = self.inner();
        inner.forgotten = inner.version;
        inner.changes.clear();
    }
}
