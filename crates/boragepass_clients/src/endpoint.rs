//! Endpoints: `POST /v1/stage` runs a stage, `GET /v1/load` reports, `POST /v1/order` changes what
//! an engine holds. A stage answers in lines of JSON; dropping the connection cancels it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::io::BufReadExt;
use async_std::stream::StreamExt;
use boragepass_core::{AttemptTag, Dispatch, LoadReport, Order, OrderReply, StageReply};
use boragepass_types::Payload;
use boragepass_wire::{LoadJson, OrderJson, StageLine, StageRequestJson, WireTag};
use http_types::{Method, StatusCode};

use crate::http_client::Reuse;
use crate::{CallError, HttpClient};

const LOAD_WITHIN: Duration = Duration::from_secs(1);
const ORDER_WITHIN: Duration = Duration::from_secs(5);

/// Reply with the attempt it names.
pub type NamedReply = (Option<AttemptTag>, StageReply);

/// Runs a stage and gives each reply to `take`. `Err(Expired)` when `not_after` passed before a
/// byte left; nothing else is an error.
pub async fn run_stage(
    client: &HttpClient,
    dispatch: &Dispatch,
    not_after: Instant,
    mut take: impl FnMut(NamedReply),
) -> Result<(), CallError> {
    let Ok(body) = serde_json::to_string(&StageRequestJson::from(dispatch)) else {
        take((None, StageReply::Rejected));
        return Ok(());
    };
    let may_send = || Instant::now() <= not_after;
    let reuse = if dispatch.idempotency_key.is_some() { Reuse::Fresh } else { Reuse::Kept };
    let answer = client.call(dispatch.address, Method::Post, "/v1/stage", body, reuse, may_send).await;
    let mut answer = match answer {
        Ok(answer) => answer,
        Err(CallError::Expired) => return Err(CallError::Expired),
        Err(CallError::NotSent) => {
            take((None, StageReply::NotSent));
            return Ok(());
        }
        Err(CallError::Lost) => {
            take((None, StageReply::Lost));
            return Ok(());
        }
    };
    let refusal = match answer.response.status() {
        StatusCode::Ok => None,
        StatusCode::ServiceUnavailable | StatusCode::TooManyRequests => Some(StageReply::Busy),
        status if status.is_client_error() => Some(StageReply::Rejected),
        _ => Some(StageReply::Lost),
    };
    if let Some(refusal) = refusal {
        take((None, refusal));
        return Ok(());
    }
    let mut lines = answer.response.take_body().into_reader().lines();
    let mut is_ended = false;
    while let Some(Ok(line)) = lines.next().await {
        let Some((reply, is_last)) = parse_line(&line) else {
            break;
        };
        is_ended |= is_last;
        take(reply);
    }
    if is_ended {
        client.keep(answer);
    } else {
        take((None, StageReply::Lost));
    }
    Ok(())
}

fn parse_line(line: &str) -> Option<(NamedReply, bool)> {
    let named = |tag: WireTag| AttemptTag::try_from(tag).ok();
    let parsed = match serde_json::from_str(line).ok()? {
        StageLine::Tokens { tag, first_index, count, text } => {
            let text = Payload::new(&text);
            ((named(tag), StageReply::Tokens { first_index, count, text }), false)
        }
        StageLine::StreamEnd { tag, tokens } => ((named(tag), StageReply::StreamEnd { tokens }), true),
        StageLine::Whole { tag, output } => ((named(tag), StageReply::Whole { output: Payload::new(&output) }), true),
    };
    Some(parsed)
}

/// Asks an endpoint for its load.
pub async fn poll_load(client: &HttpClient, address: SocketAddr) -> Option<LoadReport> {
    let exchange = client.exchange(address, Method::Get, "/v1/load", String::new(), LOAD_WITHIN).await;
    match exchange {
        Ok((StatusCode::Ok, text)) => {
            let json = serde_json::from_str::<LoadJson>(&text).ok()?;
            LoadReport::try_from(json).ok()
        }
        _ => None,
    }
}

/// Sends an order, unless `not_after` has passed.
pub async fn send_order(client: &HttpClient, address: SocketAddr, order: &Order, not_after: Instant) -> OrderReply {
    let Ok(body) = serde_json::to_string(&OrderJson::from(order)) else {
        return OrderReply::Lost;
    };
    let may_send = || Instant::now() <= not_after;
    let call = client.call(address, Method::Post, "/v1/order", body, Reuse::Fresh, may_send);
    match async_std::future::timeout(ORDER_WITHIN, call).await {
        Ok(Ok(answer)) => match answer.response.status() {
            StatusCode::Conflict => OrderReply::Fenced,
            status if status.is_success() => OrderReply::Accepted,
            _ => OrderReply::Lost,
        },
        Ok(Err(CallError::Expired)) => OrderReply::Expired,
        Ok(Err(CallError::NotSent | CallError::Lost)) | Err(_) => OrderReply::Lost,
    }
}
