//! Fake of the platform's store: tables of rows and a feed of their changes, with faults that a run switches on.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use boragepass_platform::{
    Row, RowChange, RowPage, decode_row_transaction, decode_table_read, encode_changes, encode_rows, names,
};

use crate::http_server::{ReceivedRequest, Reply, serve};

/// Delay of the reply to a read of the feed that finds no changes; the real store waits up to 30 s, which would only
/// slow a soak down.
const EMPTY_FEED_DELAY: Duration = Duration::from_millis(100);
/// Delay of each reply while the store is slow.
const SLOW_REPLY_DELAY: Duration = Duration::from_millis(900);
/// Delay of each reply while the store is silent, longer than any client waits.
const SILENT_REPLY_DELAY: Duration = Duration::from_secs(3_600);
/// Versions of which a copy is kept.
const COPIES_MAX: usize = 64;

/// Rows by table and key.
type Tables = BTreeMap<String, BTreeMap<String, Row>>;

#[derive(Debug, Default)]
struct StoreState {
    tables: Tables,
    /// Tables as of the latest versions, from which the store can be restored.
    copies: BTreeMap<u64, Tables>,
    /// How often the store was restored from a copy.
    restored_count: u64,
    changes: Vec<(String, RowChange)>,
    version: u64,
    /// Changes up to this version are dropped; a read that starts before it is answered with 410.
    forgotten_up_to: u64,
    /// Most rows of a page; all rows are on one without it.
    page_rows_max: Option<usize>,
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

fn version_of(change: &RowChange) -> u64 {
    match change {
        RowChange::Written(row) => row.version,
        RowChange::Removed { version, .. } => *version,
    }
}

impl StoreState {
    fn put_row(&mut self, table: &str, key: &str, value: Vec<u8>) {
        self.version += 1;
        let row = Row { key: key.to_owned(), value: value.into(), version: self.version };
        self.tables.entry(table.to_owned()).or_default().insert(key.to_owned(), row.clone());
        self.changes.push((table.to_owned(), RowChange::Written(row)));
        self.keep_copy();
    }

    /// Version of a row; zero if it does not exist.
    fn row_version(&self, table: &str, key: &str) -> u64 {
        self.tables.get(table).and_then(|rows| rows.get(key)).map_or(0, |row| row.version)
    }

    fn remove_row(&mut self, table: &str, key: &str) {
        self.version += 1;
        let removed = RowChange::Removed { key: key.to_owned(), version: self.version };
        if let Some(rows) = self.tables.get_mut(table) {
            rows.remove(key);
        }
        self.changes.push((table.to_owned(), removed));
        self.keep_copy();
    }

    fn keep_copy(&mut self) {
        self.copies.insert(self.version, self.tables.clone());
        while self.copies.len() > COPIES_MAX {
            self.copies.pop_first();
        }
    }

    /// Restores the copy of a version; later changes are lost and their versions are given out again.
    fn restore_copy(&mut self, version: u64) {
        let Some(tables) = self.copies.get(&version).cloned() else {
            return;
        };
        self.tables = tables;
        self.copies.split_off(&(version + 1));
        self.changes.retain(|(_, change)| version_of(change) <= version);
        self.version = version;
        self.restored_count += 1;
    }

    /// Brings a table to what it held before the store was restored.
    fn write_again(&mut self, table: &str, lost_tables: &Tables) {
        let lost_rows = lost_tables.get(table).cloned().unwrap_or_default();
        let restored_rows = self.tables.get(table).cloned().unwrap_or_default();
        for (key, row) in &lost_rows {
            if restored_rows.get(key).is_none_or(|restored| restored.value != row.value) {
                self.put_row(table, key, row.value.to_vec());
            }
        }
        for key in restored_rows.keys().filter(|key| !lost_rows.contains_key(*key)) {
            self.remove_row(table, key);
        }
    }

    fn handle_request(&mut self, request: &ReceivedRequest) -> Option<Reply> {
        let mut reply = self.reply_to(request)?;
        reply.headers.push((names::STORE_ERA, (self.restored_count + 1).to_string()));
        Some(reply)
    }

    fn reply_to(&mut self, request: &ReceivedRequest) -> Option<Reply> {
        if is_active(self.silent_until) {
            return Some(Reply { head_delay: SILENT_REPLY_DELAY, ..Reply::new(503, "") });
        }
        if is_active(self.unavailable_until) {
            return Some(Reply::new(503, ""));
        }
        let head_delay = if is_active(self.slow_until) { SLOW_REPLY_DELAY } else { Duration::ZERO };
        if request.path.starts_with(names::ROWS_CHANGE_PATH) {
            let transaction = decode_row_transaction(&request.body).ok()?;
            if !transaction.expected.iter().all(|(table, key, version)| self.row_version(table, key) == *version) {
                return Some(Reply { head_delay, ..Reply::new(412, "") });
            }
            for (table, row) in transaction.writes {
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
            let from = read.from.unwrap_or_default();
            if from.len() > names::KEY_BYTES_MAX {
                return Some(Reply { head_delay, ..Reply::new(400, "") });
            }
            let table = self.tables.get(&read.table);
            let mut rows = table.into_iter().flat_map(|rows| rows.range(from.clone()..)).map(|(_, row)| row.clone());
            let rows_max = read.limit.unwrap_or(usize::MAX).min(self.page_rows_max.unwrap_or(usize::MAX));
            let page: Vec<_> = rows.by_ref().take(rows_max).collect();
            let rows = RowPage { has_more: rows.next().is_some(), ..RowPage::last(page, self.version) };
            return Some(Reply { head_delay, ..Reply::new(200, encode_rows(&read.table, &rows)) });
        };
        if seen_version < self.forgotten_up_to || seen_version > self.version {
            return Some(Reply { head_delay, ..Reply::new(410, "") });
        }
        let newer_changes =
            self.changes.iter().filter(|(table, change)| *table == read.table && version_of(change) > seen_version);
        let rows: Vec<_> = newer_changes.map(|(_, change)| change.clone()).collect();
        let head_delay = if rows.is_empty() { head_delay + EMPTY_FEED_DELAY } else { head_delay };
        let changes = RowPage::last(rows, self.version);
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

    /// Removes a row on behalf of operators and endpoints.
    pub fn remove_row(&self, table: &str, key: &str) {
        self.state().remove_row(table, key);
    }

    pub(crate) fn become_unavailable(&self, ms: u64) {
        self.state().unavailable_until = deadline_in_ms(ms);
    }

    /// Accepts calls but never answers them, for a time. Calls that arrive meanwhile stay unanswered after it.
    pub fn go_silent(&self, ms: u64) {
        self.state().silent_until = deadline_in_ms(ms);
    }

    /// Version of the newest change.
    pub fn version(&self) -> u64 {
        self.state().version
    }

    /// Splits tables into pages of at most this many rows.
    pub fn limit_pages(&self, rows_max: usize) {
        self.state().page_rows_max = Some(rows_max);
    }

    /// Whether a table has a row with this key.
    pub fn has_row(&self, table: &str, key: &str) -> bool {
        self.state().tables.get(table).is_some_and(|rows| rows.contains_key(key))
    }

    /// Comes back as of a version: later changes are lost, and their versions are given out again.
    pub fn restore_copy(&self, version: u64) {
        self.state().restore_copy(version);
    }

    /// Comes back from a copy that lacks the last changes. What operators and endpoints wrote is written again.
    pub(crate) fn lose_changes(&self, changes: u64) {
        let mut state = self.state();
        let lost_tables = state.tables.clone();
        let version = state.version.saturating_sub(changes);
        state.restore_copy(version);
        for table in [names::CONFIGURATION_TABLE, names::ENDPOINT_TABLE] {
            state.write_again(table, &lost_tables);
        }
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
