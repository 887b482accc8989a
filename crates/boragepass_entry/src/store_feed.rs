//! Follows the store's tables: the operators' configuration and the endpoints that list themselves.
//!
//! A table is read once and then followed by its changes. After a gap in the history it is read
//! again. Calls that fail are repeated after a pause with jitter, so that many VMs that start or
//! lose the store together do not return together.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_std::task;
use boragepass_path::{EndpointUpdate, Event, Record, VmRecord, VmState};
use boragepass_platform::{
    Row, RowChange, decode_changes, decode_configuration, decode_endpoint, decode_rows, feed_path, list_path, names,
    put_row,
};
use boragepass_types::{Incarnation, Millicores};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::driver::Driver;
use crate::store_client::{StoreClient, StoreError};

/// How long the store holds a question for changes. Each question is priced; other VMs' heartbeats
/// show sooner if this connection went silent.
const FEED_WAIT: Duration = Duration::from_millis(5_000);
/// Time beyond that after which a question counts as lost: the store's answers may be slow.
const FEED_SLACK: Duration = Duration::from_millis(1_500);
/// Longest time of any other call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after changes, so that those which come together cost one call. Endpoints that drain have
/// to be known within 2.5 s.
const FEED_PAUSE: Duration = Duration::from_millis(200);
/// Interval at which a VM that leaves the store to others looks whether it still does.
const ROLE_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest pause after a failure, and the spread on top of it.
const PAUSE_MS: u64 = 150;
const PAUSE_SPREAD_MS: u64 = 350;

/// Table that is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Table {
    Configuration,
    Endpoints,
}

impl Table {
    fn name(self) -> &'static str {
        match self {
            Self::Configuration => names::CONFIGURATION_TABLE,
            Self::Endpoints => names::ENDPOINT_TABLE,
        }
    }
}

struct Feed {
    driver: Rc<Driver>,
    client: StoreClient,
    table: Table,
    is_reachable: bool,
    /// Keys of entries that could not be read and were logged.
    unreadable: HashSet<String>,
    random: SmallRng,
}

/// Starts to follow the store and lists this VM there.
pub(crate) fn start(driver: &Rc<Driver>, store: SocketAddr, me: VmRecord, seed: u64) {
    for table in [Table::Configuration, Table::Endpoints] {
        let feed = Feed {
            driver: driver.clone(),
            client: StoreClient::new(store),
            table,
            is_reachable: true,
            unreadable: HashSet::new(),
            random: SmallRng::seed_from_u64(seed),
        };
        task::spawn_local(feed.run());
    }
    task::spawn_local(list_vm(driver.clone(), StoreClient::new(store), me, SmallRng::seed_from_u64(seed)));
}

async fn pause(random: &mut SmallRng) {
    task::sleep(Duration::from_millis(PAUSE_MS + random.random_range(0..PAUSE_SPREAD_MS))).await;
}

impl Feed {
    async fn run(mut self) {
        loop {
            match self.read_table().await {
                Ok(version) => {
                    self.note_reached();
                    self.follow(version).await;
                }
                Err(error) => self.note_failure(&error).await,
            }
        }
    }

    /// Reads the whole table and returns the version that it reflects.
    async fn read_table(&mut self) -> Result<u64, StoreError> {
        let mut rows = Vec::new();
        let mut from: Option<String> = None;
        let mut version = None;
        loop {
            let path = list_path(self.table.name(), from.as_deref());
            let body = self.client.get(&path, CALL_TIMEOUT).await?;
            let page = decode_rows(&body).map_err(StoreError::Unreadable)?;
            // Changes after the first page are in the feed from its version on.
            let version = *version.get_or_insert(page.version);
            let last = page.rows.last().map(|row| row.key.clone());
            rows.extend(page.rows);
            match last {
                Some(last) if page.has_more => from = Some(format!("{last}%01")),
                Some(_) | None => {
                    self.take_table(rows, version);
                    return Ok(version);
                }
            }
        }
    }

    async fn follow(&mut self, mut after: u64) {
        loop {
            // Other VMs pass on what they learn; a VM that lost the store goes on until it is back.
            while self.is_reachable && !self.driver.follows_store.get() {
                task::sleep(ROLE_INTERVAL).await;
            }
            let path = feed_path(self.table.name(), after, FEED_WAIT.as_millis() as u64);
            let body = self.client.get(&path, FEED_WAIT + FEED_SLACK).await;
            let changes = body.and_then(|body| decode_changes(&body).map_err(StoreError::Unreadable));
            match changes {
                Ok(changes) => {
                    self.note_reached();
                    after = changes.version.max(after);
                    let has_changes = !changes.rows.is_empty();
                    for change in changes.rows {
                        self.take_change(change);
                    }
                    if has_changes {
                        task::sleep(FEED_PAUSE).await;
                    }
                }
                Err(StoreError::HistoryGone) => {
                    self.driver.record(&Record::new("store forgot its history").text("table", self.table.name()));
                    return;
                }
                Err(error) => self.note_failure(&error).await,
            }
        }
    }

    fn note_reached(&mut self) {
        if !self.is_reachable {
            self.is_reachable = true;
            self.driver.record(&Record::new("store reached again").text("table", self.table.name()));
        }
        if self.table == Table::Endpoints {
            self.driver.dispatch(Event::StoreReachable(true));
        }
    }

    async fn note_failure(&mut self, error: &StoreError) {
        if self.is_reachable {
            self.is_reachable = false;
            let record = Record::new("store lost").text("table", self.table.name()).text("reason", error);
            self.driver.record(&record);
        }
        if self.table == Table::Endpoints {
            self.driver.dispatch(Event::StoreReachable(false));
        }
        pause(&mut self.random).await;
    }

    fn take_table(&mut self, rows: Vec<Row>, version: u64) {
        match self.table {
            Table::Configuration => rows.into_iter().for_each(|row| self.take_configuration(&row)),
            Table::Endpoints => {
                let endpoints = rows.iter().filter_map(|row| self.read_endpoint(row)).collect();
                self.driver.dispatch(Event::EndpointsUpdated(EndpointUpdate::Snapshot(endpoints, version)));
            }
        }
    }

    fn take_change(&mut self, change: RowChange) {
        match (self.table, change) {
            (Table::Configuration, RowChange::Put(row)) => self.take_configuration(&row),
            (Table::Configuration, RowChange::Removed { .. }) => {}
            (Table::Endpoints, RowChange::Put(row)) => {
                let update = match self.read_endpoint(&row) {
                    Some(endpoint) => EndpointUpdate::Changed(endpoint, row.version),
                    None => return,
                };
                self.driver.dispatch(Event::EndpointsUpdated(update));
            }
            (Table::Endpoints, RowChange::Removed { key, version }) => {
                if let Ok(id) = key.parse() {
                    self.driver.dispatch(Event::EndpointsUpdated(EndpointUpdate::Removed(id, version)));
                }
            }
        }
    }

    fn take_configuration(&mut self, row: &Row) {
        if row.key != names::CONFIGURATION_KEY {
            return;
        }
        match decode_configuration(&row.value) {
            Ok(configuration) => {
                self.driver.peers.set_configuration(row.value.clone());
                self.driver.dispatch(Event::ConfigurationReceived(configuration.into()));
            }
            Err(error) => self.driver.record(&Record::new("configuration not read").text("reason", error)),
        }
    }

    fn read_endpoint(&mut self, row: &Row) -> Option<boragepass_path::Endpoint> {
        match decode_endpoint(&row.key, &row.value) {
            Ok(endpoint) => Some(endpoint),
            Err(error) => {
                if self.unreadable.insert(row.key.clone()) {
                    let record =
                        Record::new("endpoint entry not read").text("endpoint", &row.key).text("reason", error);
                    self.driver.record(&record);
                }
                None
            }
        }
    }
}

/// Row in which a VM lists itself.
#[derive(Debug, Serialize, Deserialize)]
struct VmRow {
    incarnation: u64,
    region: String,
    failure_domain: String,
    client_address: SocketAddr,
    peer_address: SocketAddr,
    #[serde(default)]
    millicores: u32,
}

impl From<&VmRecord> for VmRow {
    fn from(record: &VmRecord) -> Self {
        Self {
            incarnation: record.incarnation.0,
            region: record.region.to_string(),
            failure_domain: record.failure_domain.to_string(),
            client_address: record.client_address,
            peer_address: record.peer_address,
            millicores: record.processor.0,
        }
    }
}

fn vm_record(row: &Row) -> Option<VmRecord> {
    let listed: VmRow = serde_json::from_slice(&row.value).ok()?;
    Some(VmRecord {
        vm: row.key.parse().ok()?,
        incarnation: Incarnation(listed.incarnation),
        region: listed.region.parse().ok()?,
        failure_domain: listed.failure_domain.parse().ok()?,
        client_address: listed.client_address,
        peer_address: listed.peer_address,
        processor: Millicores(listed.millicores),
        state: VmState::Starting,
    })
}

/// Lists this VM, then reads which others are listed. Later ones introduce themselves by heartbeats.
async fn list_vm(driver: Rc<Driver>, client: StoreClient, me: VmRecord, mut random: SmallRng) {
    let value = serde_json::to_vec(&VmRow::from(&me)).unwrap_or_default();
    let body = put_row(names::VM_TABLE, me.vm.as_str(), &value);
    while let Err(error) = client.post(names::ROWS_CHANGE_PATH, body.clone(), CALL_TIMEOUT).await {
        // Writing the same row twice does no harm, so a lost reply is simply repeated.
        driver.record(&Record::new("VM not listed yet").text("reason", error));
        pause(&mut random).await;
    }
    loop {
        let listed = client.get(&list_path(names::VM_TABLE, None), CALL_TIMEOUT).await;
        match listed.and_then(|body| decode_rows(&body).map_err(StoreError::Unreadable)) {
            Ok(rows) => {
                driver.dispatch(Event::VmsListed(rows.rows.iter().filter_map(vm_record).collect()));
                return;
            }
            Err(error) => driver.record(&Record::new("VMs not read yet").text("reason", error)),
        }
        pause(&mut random).await;
    }
}
