//! Client of the table service: `POST /v1/table` with a commit or a read.

use std::net::SocketAddr;
use std::time::Duration;

use boragepass_core::{TableReply, TableRequest};
use boragepass_wire::{WireTableReply, WireTableRequest};
use http_types::{Method, StatusCode};

use crate::{CallError, HttpClient};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a commit or a read. Any failure after which a write may have taken effect gives
/// [`TableReply::Lost`].
pub async fn send_table_request(client: &HttpClient, address: SocketAddr, request: &TableRequest) -> TableReply {
    let Ok(body) = serde_json::to_string(&WireTableRequest::from(request)) else {
        return TableReply::Unavailable;
    };
    match client.exchange(address, Method::Post, "/v1/table", body, REQUEST_TIMEOUT).await {
        Ok((StatusCode::Ok, text)) => parse_reply(&text),
        Ok((StatusCode::ServiceUnavailable, _)) => TableReply::Unavailable,
        Ok(_) => TableReply::Lost,
        Err(CallError::NotSent | CallError::Expired) => TableReply::Unavailable,
        Err(CallError::ConnectionLost) => TableReply::Lost,
    }
}

fn parse_reply(text: &str) -> TableReply {
    let wire = serde_json::from_str::<WireTableReply>(text);
    let reply = wire.ok().and_then(|wire| TableReply::try_from(wire).ok());
    reply.unwrap_or(TableReply::Lost)
}
