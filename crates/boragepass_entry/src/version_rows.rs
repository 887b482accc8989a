//! Reads and replaces the row of the store that keeps the software versions that pools had.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use async_std::task;
use boragepass_path::{EndpointUpdate, Event, Record, RecordedVersions};
use boragepass_platform::{decode_rows, encode_row_replacement, names, table_rows_path};
use boragepass_types::IdError;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::driver::Driver;
use crate::store_client::{StoreClient, StoreError};
use crate::store_feed::{CALL_TIMEOUT, read_endpoints, retry_delay};

/// Call that the request path asks for.
pub(crate) enum VersionCall {
    /// Reads the row.
    Read,
    /// Reads the list of endpoints and then the row.
    Confirm,
    /// Replaces the row unless it changed since it was read, then reads it.
    Replace(RecordedVersions),
}

/// Content of the row: versions by pool, none for endpoints that state no version.
#[derive(Debug, Serialize, Deserialize)]
struct VersionRow(BTreeMap<String, Vec<Option<String>>>);

impl From<&RecordedVersions> for VersionRow {
    fn from(recorded: &RecordedVersions) -> Self {
        let by_pool = recorded.by_pool.iter().map(|(pool, versions)| {
            (pool.to_string(), versions.iter().map(|version| version.as_ref().map(ToString::to_string)).collect())
        });
        Self(by_pool.collect())
    }
}

impl TryFrom<VersionRow> for RecordedVersions {
    type Error = IdError;

    fn try_from(row: VersionRow) -> Result<Self, Self::Error> {
        let parse_version = |version: Option<String>| version.as_deref().map(str::parse).transpose();
        let by_pool = row.0.into_iter().map(|(pool, versions)| {
            Ok((pool.parse()?, versions.into_iter().map(parse_version).collect::<Result<_, IdError>>()?))
        });
        Ok(Self { by_pool: by_pool.collect::<Result<_, IdError>>()? })
    }
}

struct VersionRows {
    driver: Rc<Driver>,
    client: StoreClient,
    /// Version of the row as it was read last; zero if it did not exist.
    row_version: u64,
    random: SmallRng,
}

/// Reads the row, and then carries out the calls that the request path asks for.
pub(crate) fn start(driver: &Rc<Driver>, store: SocketAddr, seed: u64) {
    let rows = VersionRows {
        driver: driver.clone(),
        client: StoreClient::new(store),
        row_version: 0,
        random: SmallRng::seed_from_u64(seed),
    };
    task::spawn_local(rows.run());
}

impl VersionRows {
    async fn run(mut self) {
        self.read_until_done().await;
        while let Some(call) = self.driver.next_version_call().await {
            match call {
                VersionCall::Read => {}
                VersionCall::Confirm => self.read_endpoints_until_done().await,
                VersionCall::Replace(versions) => self.replace(&versions).await,
            }
            self.read_until_done().await;
        }
    }

    /// Replaces the row. A failure needs no retry: the read that follows shows what the row states.
    async fn replace(&self, versions: &RecordedVersions) {
        let value = match serde_json::to_vec(&VersionRow::from(versions)) {
            Ok(value) => value,
            Err(error) => {
                self.driver.record(&Record::new("software versions not encoded").text("reason", error));
                return;
            }
        };
        let (table, key) = (names::POOL_VERSIONS_TABLE, names::POOL_VERSIONS_KEY);
        let body = encode_row_replacement(table, key, self.row_version, &value);
        if let Err(error) = self.client.post(names::ROWS_CHANGE_PATH, body, CALL_TIMEOUT).await {
            self.driver.record(&Record::new("software versions not recorded").text("reason", error));
        }
    }

    async fn read_endpoints_until_done(&mut self) {
        loop {
            match read_endpoints(&self.client).await {
                Ok(list) => {
                    let update = EndpointUpdate::Snapshot(list.endpoints, list.version);
                    self.driver.dispatch(Event::EndpointsUpdated(update));
                    return;
                }
                Err(error) => self.driver.record(&Record::new("endpoints not confirmed").text("reason", error)),
            }
            retry_delay(&mut self.random).await;
        }
    }

    async fn read_until_done(&mut self) {
        loop {
            match self.read().await {
                Ok(recorded) => {
                    self.driver.dispatch(Event::VersionsRecorded(recorded));
                    return;
                }
                Err(error) => {
                    self.driver.record(&Record::new("recorded software versions not read").text("reason", error));
                }
            }
            retry_delay(&mut self.random).await;
        }
    }

    async fn read(&mut self) -> Result<RecordedVersions, StoreError> {
        let reply = self.client.get(&table_rows_path(names::POOL_VERSIONS_TABLE, None), CALL_TIMEOUT).await?;
        let rows = decode_rows(&reply.body).map_err(StoreError::Unreadable)?.rows;
        let Some(row) = rows.into_iter().find(|row| row.key == names::POOL_VERSIONS_KEY) else {
            self.row_version = 0;
            return Ok(RecordedVersions::default());
        };
        let decoded: Result<VersionRow, _> = serde_json::from_slice(&row.value);
        let decoded = decoded.map_err(|error| StoreError::InvalidRow(error.to_string()))?;
        self.row_version = row.version;
        decoded.try_into().map_err(|error: IdError| StoreError::InvalidRow(error.to_string()))
    }
}
