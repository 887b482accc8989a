//! Client of the object store, which holds the snapshot of the lists: `GET` and
//! `PUT /v1/objects/lists-snapshot`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use boragepass_core::{ListsSnapshot, ObjectReply, ObjectRequest};
use boragepass_wire::WireListsSnapshot;
use http_types::{Method, StatusCode};

use crate::HttpClient;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const SNAPSHOT_PATH: &str = "/v1/objects/lists-snapshot";

/// Reads or replaces the snapshot of the lists.
pub async fn send_object_request(client: &HttpClient, address: SocketAddr, request: &ObjectRequest) -> ObjectReply {
    match request {
        ObjectRequest::GetSnapshot => {
            match client.exchange(address, Method::Get, SNAPSHOT_PATH, String::new(), REQUEST_TIMEOUT).await {
                Ok((StatusCode::Ok, text)) => parse_snapshot(&text),
                Ok((StatusCode::NotFound, _)) => ObjectReply::Snapshot(None),
                _ => ObjectReply::Unavailable,
            }
        }
        ObjectRequest::PutSnapshot(snapshot) => {
            let Ok(body) = serde_json::to_string(&WireListsSnapshot::from(snapshot.as_ref())) else {
                return ObjectReply::Unavailable;
            };
            match client.exchange(address, Method::Put, SNAPSHOT_PATH, body, REQUEST_TIMEOUT).await {
                Ok((StatusCode::Ok, _)) => ObjectReply::Stored,
                _ => ObjectReply::Unavailable,
            }
        }
    }
}

fn parse_snapshot(text: &str) -> ObjectReply {
    let wire = serde_json::from_str::<WireListsSnapshot>(text);
    match wire.ok().and_then(|wire| ListsSnapshot::try_from(wire).ok()) {
        Some(snapshot) => ObjectReply::Snapshot(Some(Arc::new(snapshot))),
        None => ObjectReply::Unavailable,
    }
}
