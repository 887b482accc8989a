//! HTTP API for operators: plans, allowlists, status, explain, usage and quarantine.
//!
//! Every request needs the operators' key. It becomes a command, which the reducer executes.

use async_std::channel::Sender;
use async_std::net::{TcpListener, TcpStream};
use boragepass_core::{Event, ListEdit, OperatorCommand};
use boragepass_settings::HttpLimits;
use boragepass_types::{AccessKey, ListVersion};
use boragepass_wire::{WireOperatorReply, allowlist_from_json, plan_from_json};
use http_types::{Method, Request, Response, StatusCode};

use crate::http_server::{bearer_key, close_after_refusal, json_response, query_value, read_body, serve};
use crate::replies::{CallReply, PendingReplies};
use crate::tasks::Tasks;

/// What all connections of operators share.
#[derive(Clone)]
pub(crate) struct OperatorContext {
    pub(crate) limits: HttpLimits,
    pub(crate) key: AccessKey,
    pub(crate) events: Sender<Event>,
    pub(crate) replies: PendingReplies,
}

/// Accepts connections of operators.
pub(crate) async fn serve_operators(listener: TcpListener, context: OperatorContext, tasks: Tasks) {
    let limits = context.limits;
    serve(listener, limits, tasks, move |stream, request| handle_request(context.clone(), stream, request)).await;
}

async fn handle_request(context: OperatorContext, stream: TcpStream, mut request: Request) -> Response {
    let is_operator = bearer_key(&request).is_some_and(|key| key.matches(&context.key));
    if !is_operator {
        return json_response(StatusCode::Forbidden, &WireOperatorReply::Forbidden);
    }
    let body = match read_body(&mut request, &context.limits).await {
        Ok(body) => body,
        Err(error) => {
            close_after_refusal(stream);
            let (status, message) = error.status_and_message(&context.limits);
            return malformed(status, vec![message]);
        }
    };
    let command = match parse_command(&request, &body) {
        Ok(command) => command,
        Err(findings) => return malformed(StatusCode::BadRequest, findings),
    };
    let (call, reply_receiver) = context.replies.register(false);
    if context.events.send(Event::OperatorCommand { call, command }).await.is_err() {
        return json_response(StatusCode::ServiceUnavailable, &WireOperatorReply::Unavailable);
    }
    match reply_receiver.recv().await {
        Ok(CallReply::Operator(reply)) => {
            let wire = WireOperatorReply::from(reply.as_ref());
            json_response(status_of(&wire), &wire)
        }
        _ => json_response(StatusCode::ServiceUnavailable, &WireOperatorReply::Unavailable),
    }
}

fn malformed(status: StatusCode, findings: Vec<String>) -> Response {
    json_response(status, &WireOperatorReply::Malformed { findings })
}

/// HTTP status of a reply.
fn status_of(reply: &WireOperatorReply) -> StatusCode {
    match reply {
        WireOperatorReply::Committed { .. } | WireOperatorReply::Unsettled { .. } => StatusCode::Accepted,
        WireOperatorReply::Conflict { .. } => StatusCode::Conflict,
        WireOperatorReply::Unavailable | WireOperatorReply::NoLists => StatusCode::ServiceUnavailable,
        WireOperatorReply::Malformed { .. } => StatusCode::BadRequest,
        WireOperatorReply::Forbidden => StatusCode::Forbidden,
        _ => StatusCode::Ok,
    }
}

fn parse_command(request: &Request, body: &[u8]) -> Result<OperatorCommand, Vec<String>> {
    let to_texts = |findings: boragepass_types::Findings| findings.iter().map(ToString::to_string).collect::<Vec<_>>();
    let expect = match query_value(request, "expect_version") {
        Some(text) => {
            let version = text.parse::<ListVersion>();
            Some(version.map_err(|error| vec![format!("query parameter expect_version {error}, got {text:?}")])?)
        }
        None => None,
    };
    let segments: Vec<_> = request.url().path_segments().into_iter().flatten().collect();
    let commit = |edit| Ok(OperatorCommand::Commit { expect, edit });
    match (request.method(), segments.as_slice()) {
        (Method::Get, ["v1", "plans"]) => Ok(OperatorCommand::Plans),
        (Method::Get, ["v1", "plans", name]) => Ok(OperatorCommand::Plan(parse_name(name)?)),
        (Method::Put, ["v1", "plans"]) => commit(ListEdit::SetPlan(plan_from_json(body).map_err(to_texts)?)),
        (Method::Delete, ["v1", "plans", name]) => commit(ListEdit::RemovePlan(parse_name(name)?)),
        (Method::Get, ["v1", "allowlists"]) => Ok(OperatorCommand::Allowlists),
        (Method::Get, ["v1", "allowlists", name]) => Ok(OperatorCommand::Allowlist(parse_name(name)?)),
        (Method::Put, ["v1", "allowlists"]) => {
            commit(ListEdit::SetAllowlist(allowlist_from_json(body).map_err(to_texts)?))
        }
        (Method::Delete, ["v1", "allowlists", name]) => commit(ListEdit::RemoveAllowlist(parse_name(name)?)),
        (Method::Get, ["v1", "status"]) => Ok(OperatorCommand::Status),
        (Method::Get, ["v1", "explain", name]) => Ok(OperatorCommand::Explain(parse_name(name)?)),
        (Method::Get, ["v1", "usage"]) => Ok(OperatorCommand::Usage),
        (Method::Get, ["v1", "quarantine"]) => Ok(OperatorCommand::Quarantine),
        (Method::Delete, ["v1", "quarantine"]) => Ok(OperatorCommand::QuarantineClear(None)),
        (Method::Delete, ["v1", "quarantine", name]) => Ok(OperatorCommand::QuarantineClear(Some(parse_name(name)?))),
        (method, _) => Err(vec![format!("{method} {:?} does not exist", request.url().path())]),
    }
}

/// Parses a name in the path; the error says which name is wrong.
fn parse_name<T: std::str::FromStr>(text: &str) -> Result<T, Vec<String>>
where
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error: T::Err| vec![format!("name {text:?} {error}")])
}
