//! Reads and writes the rows of the store that keep the software versions of begun streams.
//!
//! Each call is carried out once: the request path decides whether it is repeated.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_std::task;
use boragepass_path::{Event, Record, StreamVersionRow};
use boragepass_platform::{
    Row, decode_rows, decode_stream_versions, decode_stream_versions_slot, decode_written_version,
    encode_row_replacement, encode_stream_versions, names, stream_versions_key, table_rows_path,
};

use crate::driver::Driver;
use crate::store_client::{StoreClient, StoreError};
use crate::store_feed::CALL_TIMEOUT;

/// Timeout of a write. Streams that begin meanwhile are written only after it, so it is shorter than that of a read.
const WRITE_TIMEOUT: Duration = Duration::from_millis(700);

/// Call that the request path asks for.
pub(crate) enum StreamVersionCall {
    /// Reads the table.
    Read,
    /// Writes a row unless the one that it replaces changed.
    Write(StreamVersionRow),
}

struct StreamVersionRows {
    driver: Rc<Driver>,
    client: StoreClient,
}

/// Carries out the calls that the request path asks for; a read does not wait for a write.
pub(crate) fn start(driver: &Rc<Driver>, store: SocketAddr) {
    let rows = Rc::new(StreamVersionRows { driver: driver.clone(), client: StoreClient::new(store) });
    task::spawn_local(async move {
        while let Some(call) = rows.driver.next_stream_version_call().await {
            task::spawn_local(rows.clone().carry_out(call));
        }
    });
}

impl StreamVersionRows {
    async fn carry_out(self: Rc<Self>, call: StreamVersionCall) {
        let event = match call {
            StreamVersionCall::Read => Event::StreamVersionsRead(self.read().await.map_or_else(
                |error| {
                    self.driver.record(&Record::new("stream versions not read").text("reason", error));
                    None
                },
                Some,
            )),
            StreamVersionCall::Write(row) => Event::StreamVersionsRecorded(self.write(&row).await.map_or_else(
                |error| {
                    self.driver.record(&Record::new("stream versions not recorded").text("reason", error));
                    None
                },
                Some,
            )),
        };
        self.driver.dispatch(event);
    }

    async fn write(&self, row: &StreamVersionRow) -> Result<u64, StoreError> {
        let value = encode_stream_versions(row).map_err(StoreError::Unreadable)?;
        let key = stream_versions_key(row.slot);
        let body = encode_row_replacement(names::STREAM_VERSIONS_TABLE, &key, row.row_version, &value);
        let reply = self.client.post(names::ROWS_CHANGE_PATH, body, WRITE_TIMEOUT).await?;
        decode_written_version(&reply.body).map_err(StoreError::Unreadable)
    }

    async fn read(&self) -> Result<Vec<StreamVersionRow>, StoreError> {
        let mut rows = BTreeMap::new();
        let mut from: Option<String> = None;
        loop {
            let path = table_rows_path(names::STREAM_VERSIONS_TABLE, from.as_deref());
            let reply = self.client.get(&path, CALL_TIMEOUT).await?;
            let page = decode_rows(&reply.body).map_err(StoreError::Unreadable)?;
            // The page starts with the row from which it was asked for.
            let last = page.rows.last().map(|row| row.key.clone()).filter(|_| page.has_more);
            for row in page.rows {
                if let Some(row) = self.decode_row(&row) {
                    rows.insert(row.slot, row);
                }
            }
            if last.is_none() || last == from {
                return Ok(rows.into_values().collect());
            }
            from = last;
        }
    }

    /// Decodes a row. One whose streams are not readable keeps its slot, so that it is replaced in time; one whose key is no
    /// slot is skipped.
    fn decode_row(&self, row: &Row) -> Option<StreamVersionRow> {
        let unreadable = |error| {
            let record = Record::new("row of stream versions not understood").text("key", &row.key);
            self.driver.record(&record.text("reason", error));
        };
        let slot = decode_stream_versions_slot(row).map_err(unreadable).ok()?;
        let streams = decode_stream_versions(row).map_err(unreadable).unwrap_or_default();
        Some(StreamVersionRow { slot, row_version: row.version, streams })
    }
}
