//! Reads the store's entry of a single endpoint for the request path. Each read is carried out once: the request path
//! decides what follows if there is no answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_std::task;
use boragepass_path::{EndpointEntry, Event, Record};
use boragepass_platform::{decode_endpoint, decode_rows, names, table_row_path};
use boragepass_types::EndpointId;

use crate::driver::Driver;
use crate::store_client::{StoreClient, StoreError};

/// Timeout of a read, for which a stream stands still.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Carries out the reads that the request path asks for, side by side.
pub(crate) fn start(driver: &Rc<Driver>, store: SocketAddr) {
    let (driver, client) = (driver.clone(), Rc::new(StoreClient::new(store)));
    task::spawn_local(async move {
        while let Some(endpoint) = driver.next_entry_read().await {
            let (driver, client) = (driver.clone(), client.clone());
            task::spawn_local(async move {
                let entry = read(&client, &endpoint).await.unwrap_or_else(|error| {
                    let record = Record::new("endpoint's entry not read").text("endpoint", &endpoint);
                    driver.record(&record.text("reason", error));
                    EndpointEntry::Unknown
                });
                driver.dispatch(Event::EndpointEntryRead(endpoint, entry));
            });
        }
    });
}

async fn read(client: &StoreClient, endpoint: &EndpointId) -> Result<EndpointEntry, StoreError> {
    let reply = client.get(&table_row_path(names::ENDPOINT_TABLE, endpoint.as_str()), READ_TIMEOUT).await?;
    let rows = decode_rows(&reply.body).map_err(StoreError::Unreadable)?.rows;
    let row = rows.into_iter().find(|row| row.key == endpoint.as_str());
    let listed = row.and_then(|row| decode_endpoint(&row.key, &row.value).ok());
    Ok(listed.map_or(EndpointEntry::Missing, |endpoint| EndpointEntry::StartedAt(endpoint.started_at_unix_ms)))
}
