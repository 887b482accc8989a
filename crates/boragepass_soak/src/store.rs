//! Fake of the platform's store: tables of rows and a feed of their changes, with faults that a run switches on.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use boragepass_platform::{
    Row, RowChange, RowPage, decode_row_writes, decode_table_read, encode_changes, encode_rows, names,
};

use crate::http_server::{ReceivedRequest, Reply, serve};

/// Delay of the reply to a read of the feed that finds no changes; the real store waits up to 30 s, which would only
/// slow a soak down.
const EMPTY_FEED_DELAY: Duration = Duration::from_millis(100);
/// Delay of each reply while the store is slow.
const SLOW_REPLY_DELAY: Duration = Duration::from_millis(900);
/// Delay of each reply while the store is silent, longer than any client waits.
const SILENT_REPLY_DELAY: Duration = Duration::from_secs(3_600);

#[derive(Debug, Default)]
struct StoreState {
    tables: BTreeMap<String, BTreeMap<String, Row>>,
    changes: Vec<(String, RowChange)>,
    version: u64,
    /// Changes up to this version are dropped; a read that starts before it is answered with 410.
    forgotten_up_to: u64,
    unavailable_until: Option<Instant>,
    silent_until: Option<Instant>,
    slow_until: Option<Instant>,
    losing_replies_until: Option<Instant>,
}

/// Fake store; its clones share one state.
#[derive(Debug, Clone)]
pub struct Store {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
}

/// Whether a fault that lasts until a time is still active.
fn is_active(until: Option<Instant>) -> bool {
    until.is_some_and(|until| Instant::now() < until)
}

fn deadline_in_ms(ms: u64) -> Option<Instant> {
    Some(Instant::now() + Duration::from_millis(ms))
}

impl StoreState {
    fn put_row(&mut self, table: &str, key: &str, value: Vec<u8>) {
        self.version += 1;
        let row = Row { key: key.to_owned(), value: value.into(), version: self.version };
        self.tables.entry(table.to_owned()).or_default().insert(key.to_owned(), row.clone());
        self.changes.push((table.to_owned(), RowChange::Written(row)));
    }

    fn handle_request(&mut self, request: &ReceivedRequest) -> Option<Reply> {
        if is_active(self.silent_until) {
            return Some(Reply { head_delay: SILENT_REPLY_DELAY, ..Reply::new(503, "") });
        }
        if is_active(self.unavailable_until) {
            return Some(Reply::new(503, ""));
        }
        let head_delay = if is_active(self.slow_until) { SLOW_REPLY_DELAY } else { Duration::ZERO };
        if request.path.starts_with(names::ROWS_CHANGE_PATH) {
            for (table, row) in decode_row_writes(&request.body).ok()? {
                self.put_row(&table, &row.key, row.value.to_vec());
            }
            if is_active(self.losing_replies_until) {
                return None;
            }
            return Some(Reply { head_delay, ..Reply::new(200, format!(r#"{{"ver":{},"nowMs":1}}"#, self.version)) });
        }
        if is_active(self.losing_replies_until) {
            return None;
        }
        let read = decode_table_read(&request.path)?;
        let Some(seen_version) = read.changes_after else {
            let rows = self.tables.get(&read.table).map(|rows| rows.values().cloned().collect()).unwrap_or_default();
            let rows = RowPage { rows, version: self.version, has_more: false };
            return Some(Reply { head_delay, ..Reply::new(200, encode_rows(&read.table, &rows)) });
        };
        if seen_version < self.forgotten_up_to {
            return Some(Reply { head_delay, ..Reply::new(410, "") });
        }
        let version_of = |change: &RowChange| match change {
            RowChange::Written(row) => row.version,
            RowChange::Removed { version, .. } => *version,
        };
        let newer_changes =
            self.changes.iter().filter(|(table, change)| *table == read.table && version_of(change) > seen_version);
        let rows: Vec<_> = newer_changes.map(|(_, change)| change.clone()).collect();
        let head_delay = if rows.is_empty() { head_delay + EMPTY_FEED_DELAY } else { head_delay };
        let changes = RowPage { rows, version: self.version, has_more: false };
        Some(Reply { head_delay, ..Reply::new(200, encode_changes(&read.table, &changes)) })
    }
}

impl Store {
    /// Starts an empty store on a free loopback port.
    pub fn start() -> Self {
        let state: Arc<Mutex<StoreState>> = Arc::default();
        let server_state = state.clone();
        let (address, _) =
            serve(move |request| server_state.lock().unwrap_or_else(PoisonError::into_inner).handle_request(request));
        Self { address, state }
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row on behalf of operators and endpoints; the store's faults don't affect it.
    pub fn put_row(&self, table: &str, key: &str, value: Vec<u8>) {
        self.state().put_row(table, key, value);
    }

    pub(crate) fn remove_row(&self, table: &str, key: &str) {
        let mut state = self.state();
        state.version += 1;
        let removed = RowChange::Removed { key: key.to_owned(), version: state.version };
        if let Some(rows) = state.tables.get_mut(table) {
            rows.remove(key);
        }
        state.changes.push((table.to_owned(), removed));
    }

    pub(crate) fn become_unavailable(&self, ms: u64) {
        self.state().unavailable_until = deadline_in_ms(ms);
    }

    /// Accepts calls but never answers them, for a time. Calls that arrive meanwhile stay unanswered after it.
    pub fn go_silent(&self, ms: u64) {
        self.state().silent_until = deadline_in_ms(ms);
    }

    pub(crate) fn slow_down(&self, ms: u64) {
        self.state().slow_until = deadline_in_ms(ms);
    }

    /// Carries out requests but closes the connection instead of replying, for a time.
    pub(crate) fn lose_replies(&self, ms: u64) {
        self.state().losing_replies_until = deadline_in_ms(ms);
    }

    /// Drops the change history, so that VMs have to read whole tables again.
    pub(crate) fn forget_changes(&self) {
        let mut state = self.state();
        state.forgotten_up_to = state.version;
        state.changes.clear();
    }
}
