//! The VM list: `GET /v1/vms?since=VERSION` gives the entries that changed.

use std::net::SocketAddr;
use std::time::Duration;

use boragepass_core::{VmListEntry, VmListReply};
use boragepass_wire::VmListJson;
use http_types::{Method, StatusCode};

use crate::HttpClient;

const WITHIN: Duration = Duration::from_secs(2);

/// Asks the VM list.
pub async fn ask_vm_list(client: &HttpClient, address: SocketAddr, since: u64) -> VmListReply {
    let path = format!("/v1/vms?since={since}");
    match client.exchange(address, Method::Get, &path, String::new(), WITHIN).await {
        Ok((StatusCode::Ok, text)) => parse_list(&text),
        _ => VmListReply::Unavailable,
    }
}

fn parse_list(text: &str) -> VmListReply {
    let Ok(json) = serde_json::from_str::<VmListJson>(text) else {
        return VmListReply::Unavailable;
    };
    let entries: Result<Vec<_>, _> = json.entries.into_iter().map(VmListEntry::try_from).collect();
    match entries {
        Ok(entries) => VmListReply::Changes { version: json.version, entries },
        Err(_) => VmListReply::Unavailable,
    }
}
