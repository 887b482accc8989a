//! Callers: `POST /v1/requests` and `GET /v1/addresses`.

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

use crate::http_server::{bearer_key, close_soon, json_response, query_value, read_body, serve};
use crate::replies::{Answer, Replies};
use crate::tasks::Tasks;

/// What every connection of a caller needs.
#[derive(Clone)]
pub(crate) struct CallerContext {
    pub(crate) limits: HttpLimits,
    pub(crate) events: Sender<Event>,
    pub(crate) replies: Replies,
}

/// Accepts callers.
pub(crate) async fn serve_callers(listener: TcpListener, context: CallerContext, tasks: Tasks) {
    let limits = context.limits;
    serve(listener, limits, tasks, move |stream, request| answer(context.clone(), stream, request)).await;
}

async fn answer(context: CallerContext, stream: TcpStream, request: Request) -> Response {
    match (request.method(), request.url().path()) {
        (Method::Post, "/v1/requests") => answer_request(&context, stream, request).await,
        (Method::Get, "/v1/addresses") => answer_addresses(&context, &request).await,
        (_, "/v1/requests" | "/v1/addresses") => refuse(StatusCode::MethodNotAllowed, "this method is not allowed"),
        (_, path) => refuse(StatusCode::NotFound, &format!("{path:?} does not exist")),
    }
}

fn refuse(status: StatusCode, problem: &str) -> Response {
    json_response(status, &OutcomeJson::malformed(vec![problem.to_owned()]))
}

async fn answer_request(context: &CallerContext, stream: TcpStream, mut request: Request) -> Response {
    let key = bearer_key(&request);
    let body = match read_body(&mut request, &context.limits).await {
        Ok(body) => body,
        Err(error) => {
            close_soon(stream);
            let (status, problem) = error.describe(&context.limits);
            return refuse(status, &problem);
        }
    };
    let parsed = match request_from_json(&body) {
        Ok(parsed) => parsed,
        Err(findings) => {
            let findings = findings.iter().map(ToString::to_string).collect();
            return json_response(StatusCode::BadRequest, &OutcomeJson::malformed(findings));
        }
    };
    // A missing key opens nothing, like a wrong one.
    let key = key.unwrap_or_else(|| AccessKey::new(""));
    let is_stream = parsed.is_streaming;
    let (call, answers) = context.replies.open(is_stream);
    let guard = CallGuard { call, context: context.clone(), is_open: true };
    if context.events.send(Event::Submit { call, key, request: parsed }).await.is_err() {
        let outcome = Outcome::not_run(NotRunReason::Draining);
        return json_response(StatusCode::ServiceUnavailable, &OutcomeJson::from(&outcome));
    }
    if is_stream {
        return stream_response(guard, answers).await;
    }
    whole_response(guard, stream, answers).await
}

/// Tells the reducer when a caller's connection closes before its answer.
struct CallGuard {
    call: CallId,
    context: CallerContext,
    is_open: bool,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if self.is_open {
            self.context.replies.close(self.call);
            // A full queue delays the news; the deadline ends the request in any case.
            self.context.events.try_send(Event::CallerDisconnected { call: self.call }).ok();
        }
    }
}

async fn whole_response(mut guard: CallGuard, stream: TcpStream, answers: Receiver<Answer>) -> Response {
    let answer = {
        let receive = answers.recv();
        let gone = wait_until_closed(&stream);
        futures::pin_mut!(receive, gone);
        match select(receive, gone).await {
            Either::Left((answer, _)) => answer.ok(),
            Either::Right(_) => None,
        }
    };
    let Some(Answer::Outcome { outcome, alternative_addresses }) = answer else {
        return gone_response();
    };
    guard.is_open = false;
    outcome_response(&outcome, &alternative_addresses)
}

/// Ends when the caller has closed its connection.
async fn wait_until_closed(stream: &TcpStream) {
    let mut byte = [0_u8; 1];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        // The caller has sent its next request already, so it is still there.
        Ok(_) => futures::future::pending::<()>().await,
    }
}

/// Nobody reads this response, but the connection's task has to end with one.
fn gone_response() -> Response {
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

/// Server-sent events: tokens, then one outcome. A stream without the outcome is not whole.
async fn stream_response(mut guard: CallGuard, answers: Receiver<Answer>) -> Response {
    let first = answers.recv().await;
    if let Ok(Answer::Outcome { outcome, alternative_addresses }) = &first
        && !matches!(outcome, Outcome::Answered { .. })
    {
        guard.is_open = false;
        return outcome_response(outcome, alternative_addresses);
    }
    let Ok(first) = first else {
        return gone_response();
    };
    let state = StreamState { guard, answers, next: Some(first) };
    let events = unfold(state, |mut state| async move {
        let answer = match state.next.take() {
            Some(answer) => answer,
            None if !state.guard.is_open => return None,
            None => state.answers.recv().await.ok()?,
        };
        let text = event_text(&answer);
        if !matches!(answer, Answer::Token(_)) {
            state.guard.is_open = false;
        }
        Some((Ok::<_, std::io::Error>(text), state))
    });
    let reader = futures::stream::TryStreamExt::into_async_read(Box::pin(events));
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(BufReader::new(reader), None));
    response.set_content_type(http_types::mime::SSE);
    response
}

struct StreamState {
    guard: CallGuard,
    answers: Receiver<Answer>,
    next: Option<Answer>,
}

fn event_text(answer: &Answer) -> String {
    match answer {
        Answer::Token(text) => {
            let json = serde_json::json!({ "text": text.0.as_ref() });
            format!("event: tokens\ndata: {json}\n\n")
        }
        Answer::Outcome { outcome, .. } => {
            let json = serde_json::to_string(&OutcomeJson::from(outcome)).unwrap_or_default();
            format!("event: outcome\ndata: {json}\n\n")
        }
        Answer::Addresses(_) | Answer::Operator(_) => String::new(),
    }
}

async fn answer_addresses(context: &CallerContext, request: &Request) -> Response {
    let workspace = query_value(request, "workspace").unwrap_or_default().parse::<WorkspaceId>();
    let region = query_value(request, "region").map(|text| text.parse::<Region>()).transpose();
    let (workspace, region) = match (workspace, region) {
        (Ok(workspace), Ok(region)) => (workspace, region),
        (Err(error), _) => return refuse(StatusCode::BadRequest, &format!("query key workspace {error}")),
        (_, Err(error)) => return refuse(StatusCode::BadRequest, &format!("query key region {error}")),
    };
    let (call, answers) = context.replies.open(false);
    let event = Event::AddressQuery { call, workspace, region };
    if context.events.send(event).await.is_err() {
        return refuse(StatusCode::ServiceUnavailable, "this VM is stopping");
    }
    match answers.recv().await {
        Ok(Answer::Addresses(answer)) => json_response(StatusCode::Ok, &AddressesJson::from(&answer)),
        _ => refuse(StatusCode::ServiceUnavailable, "this VM is stopping"),
    }
}
