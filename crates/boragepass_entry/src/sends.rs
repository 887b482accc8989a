//! Sends of clients' requests to endpoints or to other VMs, and the relay of streamed replies.
//!
//! Which endpoint gets a request, and whether its reply is relayed, is decided by the request path.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use async_std::channel::{Receiver, Sender};
use async_std::task;
use boragepass_path::{
    ConfigurationVersion, Effect, Event, EventId, Homes, Progress, RelayOrigin, SendFailure, SendNumber, SendTarget,
};
use boragepass_platform::{
    AddedHeaders, ForwardedReplyHead, decode_reply_head, decode_signals, forwarded_reply_head,
    forwarded_request_headers, relayed_request_headers,
};
use boragepass_types::{EndpointId, Region, SpanMs, VmId};
use bytes::Bytes;
use futures::future::{Either, abortable, select};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::answer_body::BodyChunk;
use crate::connections::{Connection, ExchangeError};
use crate::driver::{ClientExchange, Driver, RunningSend};
use crate::memory_budget::ChargedBuffer;
use crate::reply_body::BodyError;

/// Header in which a VM names the endpoint of an answer to the VM that relayed the request. Clients do not get it.
pub(crate) const RELAYED_ENDPOINT_HEADER: HeaderName = HeaderName::from_static("relayed-endpoint");
/// Header in which a VM that relays a request names itself.
const RELAYING_VM_HEADER: HeaderName = HeaderName::from_static("relaying-vm");
/// Header in which a VM that relays a request states the version of its configuration.
const RELAYING_CONFIGURATION_HEADER: HeaderName = HeaderName::from_static("relaying-configuration");
/// Header in which a VM that relays a request states its home regions, separated by commas; without it all regions are
/// allowed.
const RELAYED_HOMES_HEADER: HeaderName = HeaderName::from_static("relayed-home-regions");
/// Header of the answer of a VM that did not serve a relayed request since its configuration is older.
pub(crate) const CONFIGURATION_BEHIND_HEADER: HeaderName = HeaderName::from_static("configuration-behind");
/// Largest event of a stream, which is buffered until it is complete.
const EVENT_BYTES_MAX: usize = 1_024 * 1_024;

/// Interval at which a stream that waits for memory looks for some.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Stream of which only the head was read.
pub(crate) struct OpenStream {
    body: Incoming,
    connection: Connection,
    silence_timeout: Option<SpanMs>,
    /// Event after which it resumes.
    resume_after: Option<EventId>,
    /// Whether it may end without an event.
    may_be_empty: bool,
}

/// Reply of an endpoint.
pub(crate) enum Reply {
    /// Reply that was read in full.
    Whole { head: ForwardedReplyHead, body: Bytes },
    /// Stream of events. `stream` is taken when the relay starts, and `chunks` is set then.
    Stream { head: ForwardedReplyHead, stream: Option<Box<OpenStream>>, chunks: Option<Receiver<BodyChunk>> },
}

/// Request on its way to an endpoint, or to the VM that it is relayed to.
struct Outgoing {
    send: SendNumber,
    address: SocketAddr,
    /// Endpoint that it goes to; `None` if it is relayed.
    endpoint: Option<EndpointId>,
    request: Request<Full<Bytes>>,
    client_id: Rc<str>,
    may_reuse_connection: bool,
    is_stream: bool,
    silence_ms: Option<SpanMs>,
    resume_after: Option<EventId>,
}

/// Starts the task of a send or relay.
pub(crate) fn start_send(driver: &Rc<Driver>, effect: &Effect) {
    let (Effect::Send { send, request, .. } | Effect::Relay { send, request, .. }) = effect else {
        return;
    };
    let send = *send;
    let exchanges = driver.exchanges.borrow();
    let local_vm = driver.peers.local_vm();
    let outgoing = exchanges.get(request).and_then(|exchange| outgoing_request(exchange, effect, local_vm));
    drop(exchanges);
    let (job, task_abort) = abortable(run_send(driver.clone(), send, outgoing));
    driver.sends.borrow_mut().insert(send, RunningSend { task_abort, connection_abort: None, pending_reply: None });
    task::spawn_local(async move {
        let _aborted = job.await;
    });
}

async fn run_send(driver: Rc<Driver>, send: SendNumber, outgoing: Option<Outgoing>) {
    let silence_ms = outgoing.as_ref().and_then(|outgoing| outgoing.silence_ms);
    let exchange = pin!(async {
        match outgoing {
            Some(outgoing) => exchange_with_target(&driver, outgoing).await,
            None => Err(SendFailure::NotSent),
        }
    });
    let outcome = match select(exchange, pin!(silence_timeout(silence_ms))).await {
        Either::Left((outcome, _)) => outcome,
        Either::Right(((), exchange)) => {
            // If the request path then sends the request to another endpoint, it aborts this task.
            driver.dispatch(Event::EndpointSilent(send, None));
            exchange.await
        }
    };
    let event = match outcome {
        Ok(event) => event,
        Err(failure) => Event::SendFailed(send, failure),
    };
    if matches!(event, Event::SendFailed(..))
        && let Some(running) = driver.sends.borrow_mut().remove(&send)
        && let Some(connection_abort) = running.connection_abort
    {
        connection_abort.abort();
    }
    driver.dispatch(event);
}

/// Starts the task that reports an endpoint that refuses connections.
pub(crate) fn start_endpoint_check(driver: &Rc<Driver>, target: SendTarget) {
    let driver = driver.clone();
    task::spawn_local(async move {
        if driver.connections.is_refused(target.address).await {
            driver.dispatch(Event::EndpointDown(target.endpoint));
        }
    });
}

/// Starts the task that reports whether a connection to an endpoint opens.
pub(crate) fn start_endpoint_probe(driver: &Rc<Driver>, target: SendTarget) {
    let driver = driver.clone();
    task::spawn_local(async move {
        let is_reached = driver.connections.opens(target.address).await;
        driver.dispatch(Event::EndpointProbed(target.endpoint, is_reached));
    });
}

/// Completes after a time, or never without one.
async fn silence_timeout(timeout: Option<SpanMs>) {
    match timeout {
        Some(timeout) => task::sleep(Duration::from_millis(timeout.0)).await,
        None => futures::future::pending().await,
    }
}

/// Builds the request of a send or relay from that of the client.
fn outgoing_request(exchange: &ClientExchange, effect: &Effect, local_vm: &VmId) -> Option<Outgoing> {
    let client_head = &exchange.request_head;
    let path = client_head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::new(Full::new(exchange.request_body.clone()));
    *request.method_mut() = client_head.method.clone();
    *request.uri_mut() = path.parse::<Uri>().ok()?;
    let client_id = exchange.client_id.clone();
    match effect {
        Effect::Send {
            send,
            target,
            deadline_ms,
            silence_ms,
            may_reuse_connection,
            is_stream,
            inputs,
            workspace,
            priority,
            resume_after,
            ..
        } => {
            let added_headers = AddedHeaders {
                endpoint: &target.endpoint,
                remaining_ms: *deadline_ms,
                workspace: workspace.as_ref(),
                priority: *priority,
                input_handles: inputs.as_deref(),
                resume_after: *resume_after,
            };
            *request.headers_mut() = forwarded_request_headers(&client_head.headers, &added_headers);
            Some(Outgoing {
                send: *send,
                address: target.address,
                endpoint: Some(target.endpoint.clone()),
                request,
                client_id,
                may_reuse_connection: *may_reuse_connection,
                is_stream: *is_stream,
                silence_ms: *silence_ms,
                resume_after: *resume_after,
            })
        }
        Effect::Relay { send, target, deadline_ms, configuration, homes, is_stream, resume_after, .. } => {
            *request.headers_mut() = relayed_request_headers(&client_head.headers, *deadline_ms);
            let origin = RelayOrigin { vm: local_vm.clone(), configuration: *configuration, homes: homes.clone() };
            state_relay_origin(request.headers_mut(), &origin);
            Some(Outgoing {
                send: *send,
                address: target.address,
                endpoint: None,
                request,
                client_id,
                // The other VM's own refusals name no request; only the connection shows which one they belong to.
                may_reuse_connection: false,
                is_stream: *is_stream,
                silence_ms: None,
                resume_after: *resume_after,
            })
        }
        _ => None,
    }
}

/// Sets the headers with which this VM tells another one who relays a request.
fn state_relay_origin(headers: &mut HeaderMap, origin: &RelayOrigin) {
    headers.insert(RELAYING_CONFIGURATION_HEADER, HeaderValue::from(origin.configuration.0));
    let homes = origin.homes.regions().map(|regions| regions.iter().map(Region::as_str).collect::<Vec<_>>().join(","));
    let texts = [(RELAYING_VM_HEADER, Some(origin.vm.to_string())), (RELAYED_HOMES_HEADER, homes)];
    for (name, text) in texts {
        if let Some(value) = text.and_then(|text| HeaderValue::try_from(text).ok()) {
            headers.insert(name, value);
        }
    }
}

/// Takes the headers of the VM that relays a request; `None` if its build does not set them.
pub(crate) fn take_relay_origin(headers: &mut HeaderMap) -> Option<RelayOrigin> {
    let vm = headers.remove(RELAYING_VM_HEADER);
    let configuration = headers.remove(RELAYING_CONFIGURATION_HEADER);
    let homes = headers.remove(RELAYED_HOMES_HEADER).map(|homes| {
        let names = homes.to_str().unwrap_or_default().split(',');
        names.filter_map(|name| name.parse().ok()).collect()
    });
    Some(RelayOrigin {
        vm: vm?.to_str().ok()?.parse().ok()?,
        configuration: ConfigurationVersion(configuration?.to_str().ok()?.parse().ok()?),
        homes: Homes::stated(homes),
    })
}

async fn exchange_with_target(driver: &Rc<Driver>, outgoing: Outgoing) -> Result<Event, SendFailure> {
    let Outgoing { send, is_stream, silence_ms, resume_after, .. } = outgoing;
    let mut may_reuse = outgoing.may_reuse_connection;
    let (connection, response) = loop {
        let opened = driver.connections.open(outgoing.address, may_reuse).await;
        let mut connection = opened.map_err(|_| SendFailure::NotSent)?;
        if let Some(running) = driver.sends.borrow_mut().get_mut(&send) {
            running.connection_abort = Some(connection.abort_handle());
        }
        match driver.connections.exchange(&mut connection, outgoing.request.clone()).await {
            Ok(response) => break (connection, response),
            // The endpoint closed the reused connection before anything was written; a new connection shows
            // whether it can be reached.
            Err(ExchangeError::NotSent(_)) if may_reuse => may_reuse = false,
            Err(ExchangeError::NotSent(_)) => return Err(SendFailure::NotSent),
            Err(ExchangeError::ConnectionLost(error)) if error.is_parse() => return Err(SendFailure::UnusableReply),
            Err(ExchangeError::ConnectionLost(_)) => return Err(SendFailure::ConnectionLost),
        }
    };
    if outgoing.endpoint.is_none() && response.headers().contains_key(CONFIGURATION_BEHIND_HEADER) {
        return Err(SendFailure::ConfigurationBehind);
    }
    let mut client_head = forwarded_reply_head(&response);
    let reply_head =
        decode_reply_head(response.status(), response.headers(), &outgoing.client_id, connection.earlier_exchanges());
    if reply_head.states_not_run {
        driver.metrics.observe_rejection(&reply_head);
    }
    match &outgoing.endpoint {
        Some(endpoint) => name_endpoint(&mut client_head, endpoint),
        None => report_relayed_signals(driver, &mut client_head),
    }
    if is_stream && reply_head.is_success() {
        let is_framed = [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|name| response.headers().contains_key(name));
        // The end of the connection alone does not show that nothing was to come.
        let may_be_empty = is_framed || resume_after.is_some();
        let stream = OpenStream {
            body: response.into_body(),
            connection,
            silence_timeout: silence_ms,
            resume_after,
            may_be_empty,
        };
        store_reply(driver, send, Reply::Stream { head: client_head, stream: Some(Box::new(stream)), chunks: None });
        return Ok(Event::ReplyHeadArrived(send, reply_head));
    }
    let body = match driver.connections.body_reader.read(response.into_body()).await {
        Ok(body) => body,
        Err(error) => {
            if let (Some(endpoint), Some(signals)) = (outgoing.endpoint, reply_head.signals) {
                driver.dispatch(Event::EndpointStated(endpoint, signals));
            }
            return Err(match error {
                BodyError::ConnectionLost => SendFailure::ConnectionLost,
                BodyError::TooLarge => SendFailure::UnusableReply,
            });
        }
    };
    if !reply_head.is_for_request() || outgoing.endpoint.is_none() {
        // Without the request's name, the reply to it may still follow. Connections of relays are never reused.
        connection.abort_handle().abort();
    } else {
        let connections = driver.connections.clone();
        if let Some(running) = driver.sends.borrow_mut().get_mut(&send) {
            running.connection_abort = None;
        }
        task::spawn_local(async move { connections.release(connection).await });
    }
    store_reply(driver, send, Reply::Whole { head: client_head, body });
    Ok(Event::ReplyHeadArrived(send, reply_head))
}

/// Names the endpoint of a reply, for a VM that relayed the request.
fn name_endpoint(head: &mut ForwardedReplyHead, endpoint: &EndpointId) {
    // Ids that are no valid header value name no endpoint of a VM's list.
    if let Ok(value) = HeaderValue::from_str(endpoint.as_str()) {
        head.headers.insert(RELAYED_ENDPOINT_HEADER, value);
    }
}

/// Reports what the endpoint of a relayed answer states of itself: what this VM passes on binds it as well.
fn report_relayed_signals(driver: &Rc<Driver>, head: &mut ForwardedReplyHead) {
    let endpoint = head.headers.remove(RELAYED_ENDPOINT_HEADER);
    let endpoint = endpoint.and_then(|id| id.to_str().ok()?.parse().ok());
    if let (Some(endpoint), Some(signals)) = (endpoint, decode_signals(head.status, &head.headers)) {
        driver.dispatch(Event::EndpointStated(endpoint, signals));
    }
}

fn store_reply(driver: &Driver, send: SendNumber, reply: Reply) {
    if let Some(running) = driver.sends.borrow_mut().get_mut(&send) {
        running.pending_reply = Some(reply);
    }
}

/// Starts the task that relays a stream to its client.
pub(crate) fn start_relay(driver: &Rc<Driver>, send: SendNumber, stream: Box<OpenStream>, chunks: Sender<BodyChunk>) {
    let task_driver = driver.clone();
    let (job, task_abort) = abortable(async move { relay_stream(task_driver, send, *stream, chunks).await });
    if let Some(running) = driver.sends.borrow_mut().get_mut(&send) {
        running.task_abort = task_abort;
    }
    task::spawn_local(async move {
        let _aborted = job.await;
    });
}

async fn relay_stream(driver: Rc<Driver>, send: SendNumber, mut stream: OpenStream, chunks: Sender<BodyChunk>) {
    let mut last_event = stream.resume_after;
    let relayed = relay_events(&driver, send, &mut stream, &chunks, &mut last_event).await;
    let OpenStream { connection, .. } = stream;
    let progress = match relayed {
        Ok(()) => {
            // This fails if the client disconnected, which its guard reports.
            chunks.send(BodyChunk::End).await.ok();
            let connections = driver.connections.clone();
            task::spawn_local(async move { connections.release(connection).await });
            Progress::Ended
        }
        Err(failure) => {
            connection.close();
            Progress::Broken(failure, last_event)
        }
    };
    driver.remove_send(send);
    driver.dispatch(Event::StreamProgressed(send, progress));
}

/// Relays complete events. An incomplete event is never relayed, so that the stream can resume at another
/// endpoint after the last event that the client has. Ids of events increase; a stream that repeats one is given up.
async fn relay_events(
    driver: &Rc<Driver>,
    send: SendNumber,
    stream: &mut OpenStream,
    chunks: &Sender<BodyChunk>,
    last_event: &mut Option<EventId>,
) -> Result<(), SendFailure> {
    let mut buffer = driver.budget.buffer();
    let mut has_relayed_event = false;
    loop {
        let next = match select(stream.body.frame(), pin!(silence_timeout(stream.silence_timeout))).await {
            Either::Left((next, _)) => next,
            Either::Right(((), next)) => {
                driver.dispatch(Event::EndpointSilent(send, *last_event));
                next.await
            }
        };
        let frame = match next {
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return Err(SendFailure::ConnectionLost),
            None if buffer.bytes().is_empty() && (has_relayed_event || stream.may_be_empty) => return Ok(()),
            None => return Err(SendFailure::ConnectionLost),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.bytes().len() + data.len() > EVENT_BYTES_MAX {
            return Err(SendFailure::UnusableReply);
        }
        extend_when_free(&mut buffer, &data).await;
        let Some(end) = end_of_last_event(buffer.bytes()) else {
            continue;
        };
        let mut rest = driver.budget.buffer();
        extend_when_free(&mut rest, &buffer.bytes()[end..]).await;
        let events = std::mem::replace(&mut buffer, rest).into_bytes().slice(..end);
        let increasing_id = event_ids(&events).try_fold(*last_event, |last, id| (last < Some(id)).then_some(Some(id)));
        *last_event = increasing_id.ok_or(SendFailure::UnusableReply)?;
        if chunks.send(BodyChunk::Data(events)).await.is_err() {
            // The client disconnected. Its guard reports that, whereupon the request path cancels this send.
            futures::future::pending::<()>().await;
        }
        if !has_relayed_event {
            has_relayed_event = true;
            driver.dispatch(Event::StreamProgressed(send, Progress::FirstEvent));
        }
    }
}

/// Appends a part of a stream. Without memory for it the stream waits, since what other clients read frees some; its client's
/// deadline ends the wait.
async fn extend_when_free(buffer: &mut ChargedBuffer, part: &[u8]) {
    while !part.is_empty() && buffer.extend(part, EVENT_BYTES_MAX).is_err() {
        task::sleep(MEMORY_POLL_INTERVAL).await;
    }
}

/// Returns the position after the empty line that ends the last complete event.
fn end_of_last_event(buffer: &[u8]) -> Option<usize> {
    let plain = buffer.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = buffer.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    plain.max(crlf)
}

/// Returns the ids of some complete events, as far as they have one.
fn event_ids(events: &[u8]) -> impl Iterator<Item = EventId> {
    let lines = events.split(|byte| *byte == b'\n');
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}
