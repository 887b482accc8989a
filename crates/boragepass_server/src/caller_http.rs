//! HTTP API for callers: `POST /v1/requests` sends a request, `GET /v1/addresses` asks which VMs to use.
//!
//! A reply is one JSON outcome or, if the request asks for a stream, server-sent events.

use async_std::channel::{Receiver, Sender};
use async_std::io::BufReader;
use async_std::net::{TcpListener, TcpStream};
use boragepass_core::Event;
use boragepass_settings::HttpLimits;
use boragepass_types::{AccessKey, CallId, FailureCause, NotRunReason, Outcome, Region, WorkspaceId};
use boragepass_wire::{AddressesJson, OutcomeJson, request_from_json};
use futures::future::{Either, select};
use futures::stream::unfold;
use http_types::{Body, Method, Request, Response, StatusCode};

use crate::http_server::{bearer_key, close_after_refusal, json_response, query_value, read_body, serve};
use crate::replies::{CallReply, PendingReplies};
use crate::tasks::Tasks;

/// What all connections of callers share.
#[derive(Clone)]
pub(crate) struct CallerContext {
    pub(crate) limits: HttpLimits,
    pub(crate) events: Sender<Event>,
    pub(crate) replies: PendingReplies,
}

/// Accepts connections of callers.
pub(crate) async fn serve_callers(listener: TcpListener, context: CallerContext, tasks: Tasks) {
    let limits = context.limits;
    serve(listener, limits, tasks, move |stream, request| handle_request(context.clone(), stream, request)).await;
}

async fn handle_request(context: CallerContext, stream: TcpStream, request: Request) -> Response {
    match (request.method(), request.url().path()) {
        (Method::Post, "/v1/requests") => handle_submission(&context, stream, request).await,
        (Method::Get, "/v1/addresses") => handle_address_query(&context, &request).await,
        (_, "/v1/requests" | "/v1/addresses") => refuse(StatusCode::MethodNotAllowed, "this method is not allowed"),
        (_, path) => refuse(StatusCode::NotFound, &format!("{path:?} does not exist")),
    }
}

/// Response that tells the caller what is wrong with its request.
fn refuse(status: StatusCode, problem: &str) -> Response {
    json_response(status, &OutcomeJson::malformed(vec![problem.to_owned()]))
}

async fn handle_submission(context: &CallerContext, stream: TcpStream, mut request: Request) -> Response {
    let key = bearer_key(&request);
    let body = match read_body(&mut request, &context.limits).await {
        Ok(body) => body,
        Err(error) => {
            close_after_refusal(stream);
            let (status, message) = error.status_and_message(&context.limits);
            return refuse(status, &message);
        }
    };
    let parsed = match request_from_json(&body) {
        Ok(parsed) => parsed,
        Err(findings) => {
            let findings = findings.iter().map(ToString::to_string).collect();
            return json_response(StatusCode::BadRequest, &OutcomeJson::malformed(findings));
        }
    };
    // A missing key is refused like a wrong one.
    let key = key.unwrap_or_else(|| AccessKey::new(""));
    let is_stream = parsed.is_streaming;
    let (call, reply_receiver) = context.replies.register(is_stream);
    let guard = CallGuard { call, context: context.clone(), is_unanswered: true };
    if context.events.send(Event::Submit { call, key, request: parsed }).await.is_err() {
        let outcome = Outcome::not_run(NotRunReason::Draining);
        return json_response(StatusCode::ServiceUnavailable, &OutcomeJson::from(&outcome));
    }
    if is_stream {
        return stream_response(guard, reply_receiver).await;
    }
    outcome_when_ready(guard, stream, reply_receiver).await
}

/// Reports to the reducer that the caller has disconnected, if it is dropped before the outcome arrived.
struct CallGuard {
    call: CallId,
    context: CallerContext,
    is_unanswered: bool,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if self.is_unanswered {
            self.context.replies.unregister(self.call);
            // The event is lost if the queue is full; the request then ends at its deadline.
            self.context.events.try_send(Event::CallerDisconnected { call: self.call }).ok();
        }
    }
}

/// Waits for the outcome of a request or for the caller to disconnect.
async fn outcome_when_ready(mut guard: CallGuard, stream: TcpStream, reply_receiver: Receiver<CallReply>) -> Response {
    let reply = {
        let receive = reply_receiver.recv();
        let disconnected = wait_for_disconnect(&stream);
        futures::pin_mut!(receive, disconnected);
        match select(receive, disconnected).await {
            Either::Left((reply, _)) => reply.ok(),
            Either::Right(_) => None,
        }
    };
    let Some(CallReply::Outcome { outcome, alternative_addresses }) = reply else {
        return disconnected_response();
    };
    guard.is_unanswered = false;
    outcome_response(&outcome, &alternative_addresses)
}

/// Returns when the caller has closed its connection.
async fn wait_for_disconnect(stream: &TcpStream) {
    let mut byte = [0_u8; 1];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        // The caller has already sent its next request, so it is still connected.
        Ok(_) => futures::future::pending::<()>().await,
    }
}

/// Response that nobody reads; the connection's task has to return one.
fn disconnected_response() -> Response {
    let outcome = Outcome::Failed { executed_stages: Vec::new(), cause: FailureCause::CallerDisconnected };
    json_response(StatusCode::BadGateway, &OutcomeJson::from(&outcome))
}

fn outcome_response(outcome: &Outcome, alternative_addresses: &[std::net::SocketAddr]) -> Response {
    let mut json = OutcomeJson::from(outcome);
    json.addresses = alternative_addresses.iter().map(ToString::to_string).collect();
    let mut response = json_response(status_of(outcome), &json);
    if let Some(wait_ms) = json.retry_after_ms {
        response.insert_header("retry-after", wait_ms.div_ceil(1_000).to_string());
    }
    response
}

/// HTTP status of an outcome.
fn status_of(outcome: &Outcome) -> StatusCode {
    match outcome {
        Outcome::Answered { .. } => StatusCode::Ok,
        Outcome::Failed { cause: FailureCause::DeadlinePassed, .. } | Outcome::Unknown { .. } => {
            StatusCode::GatewayTimeout
        }
        Outcome::Failed { .. } => StatusCode::BadGateway,
        Outcome::NotRun { reason, .. } => match reason {
            NotRunReason::Forbidden | NotRunReason::NotAllowed(_) | NotRunReason::Quarantined => StatusCode::Forbidden,
            NotRunReason::UnknownPipeline(_) => StatusCode::NotFound,
            NotRunReason::KeyRequired | NotRunReason::Malformed => StatusCode::BadRequest,
            NotRunReason::KeyConflict => StatusCode::Conflict,
            NotRunReason::RateLimited | NotRunReason::TooManyInFlight => StatusCode::TooManyRequests,
            _ => StatusCode::ServiceUnavailable,
        },
    }
}

/// Streams server-sent events: tokens, then one outcome. Without the outcome a stream is incomplete.
/// A request that ends unanswered before its first token gets a plain response.
async fn stream_response(mut guard: CallGuard, reply_receiver: Receiver<CallReply>) -> Response {
    let first_reply = reply_receiver.recv().await;
    if let Ok(CallReply::Outcome { outcome, alternative_addresses }) = &first_reply
        && !matches!(outcome, Outcome::Answered { .. })
    {
        guard.is_unanswered = false;
        return outcome_response(outcome, alternative_addresses);
    }
    let Ok(first_reply) = first_reply else {
        return disconnected_response();
    };
    let state = StreamState { guard, reply_receiver, first_reply: Some(first_reply) };
    let events = unfold(state, |mut state| async move {
        let reply = match state.first_reply.take() {
            Some(reply) => reply,
            None if !state.guard.is_unanswered => return None,
            None => state.reply_receiver.recv().await.ok()?,
        };
        let text = sse_event(&reply);
        if !matches!(reply, CallReply::Token(_)) {
            state.guard.is_unanswered = false;
        }
        Some((Ok::<_, std::io::Error>(text), state))
    });
    let reader = futures::stream::TryStreamExt::into_async_read(Box::pin(events));
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(BufReader::new(reader), None));
    response.set_content_type(http_types::mime::SSE);
    response
}

/// Rest of a stream of replies.
struct StreamState {
    guard: CallGuard,
    reply_receiver: Receiver<CallReply>,
    first_reply: Option<CallReply>,
}

/// Server-sent event for a reply.
fn sse_event(reply: &CallReply) -> String {
    match reply {
        CallReply::Token(text) => {
            let json = serde_json::json!({ "text": text.0.as_ref() });
            format!("event: tokens\ndata: {json}\n\n")
        }
        CallReply::Outcome { outcome, .. } => {
            let json = serde_json::to_string(&OutcomeJson::from(outcome)).unwrap_or_default();
            format!("event: outcome\ndata: {json}\n\n")
        }
        CallReply::Addresses(_) | CallReply::Operator(_) => String::new(),
    }
}

async fn handle_address_query(context: &CallerContext, request: &Request) -> Response {
    let workspace = query_value(request, "workspace").unwrap_or_default().parse::<WorkspaceId>();
    let region = query_value(request, "region").map(|text| text.parse::<Region>()).transpose();
    let (workspace, region) = match (workspace, region) {
        (Ok(workspace), Ok(region)) => (workspace, region),
        (Err(error), _) => return refuse(StatusCode::BadRequest, &format!("query parameter workspace {error}")),
        (_, Err(error)) => return refuse(StatusCode::BadRequest, &format!("query parameter region {error}")),
    };
    let (call, reply_receiver) = context.replies.register(false);
    let event = Event::AddressQuery { call, workspace, region };
    if context.events.send(event).await.is_err() {
        return refuse(StatusCode::ServiceUnavailable, "this VM is stopping");
    }
    match reply_receiver.recv().await {
        Ok(CallReply::Addresses(answer)) => json_response(StatusCode::Ok, &AddressesJson::from(&answer)),
        _ => refuse(StatusCode::ServiceUnavailable, "this VM is stopping"),
    }
}
