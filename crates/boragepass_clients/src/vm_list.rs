//! Client of the VM list: `GET /v1/vms?since=VERSION` returns the entries that changed after a version.

use std::net::SocketAddr;
use std::time::Duration;

use boragepass_core::{VmListEntry, VmListReply};
use boragepass_wire::VmListJson;
use http_types::{Method, StatusCode};

use crate::HttpClient;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Fetches the entries that changed after version `since`.
pub async fn fetch_vm_list_changes(client: &HttpClient, address: SocketAddr, since: u64) -> VmListReply {
    let path = format!("/v1/vms?since={since}");
    match client.exchange(address, Method::Get, &path, String::new(), REQUEST_TIMEOUT).await {
        Ok((StatusCode::Ok, text)) => parse_changes(&text),
        _ => VmListReply::Unavailable,
    }
}

fn parse_changes(text: &str) -> VmListReply {
    let Ok(json) = serde_json::from_str::<VmListJson>(text) else {
        return VmListReply::Unavailable;
    };
    let entries: Result<Vec<_>, _> = json.entries.into_iter().map(VmListEntry::try_from).collect();
    match entries {
        Ok(entries) => VmListReply::Changes { version: json.version, entries },
        Err(_) => VmListReply::Unavailable,
    }
}
