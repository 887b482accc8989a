//! Calls to endpoints: `POST /v1/stage` runs a stage, `GET /v1/load` reads the load, and
//! `POST /v1/order` changes which models and adapters an engine holds.
//!
//! The reply to a stage is a stream of JSON lines. Closing the connection cancels the stage.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::io::BufReadExt;
use async_std::stream::StreamExt;
use boragepass_core::{AttemptTag, Dispatch, LoadReport, Order, OrderReply, StageReply};
use boragepass_types::Payload;
use boragepass_wire::{LoadJson, OrderJson, StageReplyLine, StageRequestJson, WireAttemptTag};
use http_types::{Method, StatusCode};

use crate::http_client::ConnectionReuse;
use crate::{CallError, HttpClient};

const LOAD_TIMEOUT: Duration = Duration::from_secs(1);
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Stage reply and the attempt tag that the endpoint echoed, if it is valid.
pub type TaggedReply = (Option<AttemptTag>, StageReply);

/// Runs a stage and passes each reply to `on_reply`.
///
/// Returns `Err(Expired)` if `not_after` passed before a byte was sent. Every other failure is
/// passed on as a reply.
pub async fn run_stage(
    client: &HttpClient,
    dispatch: &Dispatch,
    not_after: Instant,
    mut on_reply: impl FnMut(TaggedReply),
) -> Result<(), CallError> {
    let Ok(body) = serde_json::to_string(&StageRequestJson::from(dispatch)) else {
        on_reply((None, StageReply::Rejected));
        return Ok(());
    };
    let may_send = || Instant::now() <= not_after;
    // A stage with an idempotency key must not be repeated, so it is not sent on an idle connection that
    // the endpoint may be closing.
    let reuse = if dispatch.idempotency_key.is_some() { ConnectionReuse::Never } else { ConnectionReuse::Allowed };
    let exchange = client.call(dispatch.address, Method::Post, "/v1/stage", body, reuse, may_send).await;
    let mut exchange = match exchange {
        Ok(exchange) => exchange,
        Err(CallError::Expired) => return Err(CallError::Expired),
        Err(CallError::NotSent) => {
            on_reply((None, StageReply::NotSent));
            return Ok(());
        }
        Err(CallError::ConnectionLost) => {
            on_reply((None, StageReply::Lost));
            return Ok(());
        }
    };
    let failure = match exchange.response.status() {
        StatusCode::Ok => None,
        StatusCode::ServiceUnavailable | StatusCode::TooManyRequests => Some(StageReply::Busy),
        status if status.is_client_error() => Some(StageReply::Rejected),
        _ => Some(StageReply::Lost),
    };
    if let Some(failure) = failure {
        on_reply((None, failure));
        return Ok(());
    }
    let mut lines = exchange.response.take_body().into_reader().lines();
    let mut is_complete = false;
    while let Some(Ok(line)) = lines.next().await {
        let Some((reply, is_last)) = parse_line(&line) else {
            break;
        };
        is_complete |= is_last;
        on_reply(reply);
    }
    if is_complete {
        client.return_to_pool(exchange);
    } else {
        on_reply((None, StageReply::Lost));
    }
    Ok(())
}

/// Parses one line of a stage's reply; the flag is true for the last line.
fn parse_line(line: &str) -> Option<(TaggedReply, bool)> {
    let parse_tag = |tag: WireAttemptTag| AttemptTag::try_from(tag).ok();
    let parsed = match serde_json::from_str(line).ok()? {
        StageReplyLine::Tokens { tag, first_index, count, text } => {
            let text = Payload::new(&text);
            ((parse_tag(tag), StageReply::Tokens { first_index, count, text }), false)
        }
        StageReplyLine::StreamEnd { tag, tokens } => ((parse_tag(tag), StageReply::StreamEnd { tokens }), true),
        StageReplyLine::Whole { tag, output } => {
            ((parse_tag(tag), StageReply::Whole { output: Payload::new(&output) }), true)
        }
    };
    Some(parsed)
}

/// Reads the load of an endpoint; `None` if it does not answer in time with a valid report.
pub async fn poll_load(client: &HttpClient, address: SocketAddr) -> Option<LoadReport> {
    let response = client.exchange(address, Method::Get, "/v1/load", String::new(), LOAD_TIMEOUT).await;
    match response {
        Ok((StatusCode::Ok, text)) => {
            let json = serde_json::from_str::<LoadJson>(&text).ok()?;
            LoadReport::try_from(json).ok()
        }
        _ => None,
    }
}

/// Sends an order to an endpoint, unless `not_after` has passed.
pub async fn send_order(client: &HttpClient, address: SocketAddr, order: &Order, not_after: Instant) -> OrderReply {
    let Ok(body) = serde_json::to_string(&OrderJson::from(order)) else {
        return OrderReply::Lost;
    };
    let may_send = || Instant::now() <= not_after;
    let call = client.call(address, Method::Post, "/v1/order", body, ConnectionReuse::Never, may_send);
    match async_std::future::timeout(ORDER_TIMEOUT, call).await {
        Ok(Ok(exchange)) => match exchange.response.status() {
            StatusCode::Conflict => OrderReply::Fenced,
            status if status.is_success() => OrderReply::Accepted,
            _ => OrderReply::Lost,
        },
        Ok(Err(CallError::Expired)) => OrderReply::Expired,
        Ok(Err(CallError::NotSent | CallError::ConnectionLost)) | Err(_) => OrderReply::Lost,
    }
}
