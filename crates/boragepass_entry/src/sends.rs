//! Sends of requests to endpoints, and the relay of their replies.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use async_std::channel::{Receiver, Sender};
use async_std::task;
use boragepass_path::{Effect, Event, EventId, Progress, SendFailure, SendNumber};
use boragepass_platform::{Forwarding, PassedHead, decode_head, forwarded_headers, passed_head};
use boragepass_types::SpanMs;
use bytes::{Bytes, BytesMut};
use futures::future::{Either, abortable, select};
use http::{Request, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use crate::answer_body::Part;
use crate::connections::{Connection, ExchangeError};
use crate::driver::{Driver, RunningSend};

/// Largest reply that is read before it is passed on.
const REPLY_BYTES_MAX: usize = 16 * 1_024 * 1_024;
/// Largest event of a stream.
const EVENT_BYTES_MAX: usize = 1_024 * 1_024;

/// Stream whose head has arrived.
pub(crate) struct OpenStream {
    body: Incoming,
    connection: Connection,
    silence: Option<SpanMs>,
}

/// Reply of an endpoint.
pub(crate) enum Reply {
    /// Reply that was read in full.
    Whole { head: PassedHead, body: Bytes },
    /// Stream of events.
    Stream { head: PassedHead, stream: Option<Box<OpenStream>>, parts: Option<Receiver<Part>> },
}

/// Starts a send.
pub(crate) fn start(driver: &Rc<Driver>, effect: Effect) {
    let Effect::Send { send, .. } = &effect else {
        return;
    };
    let send = *send;
    let (job, handle) = abortable(run(driver.clone(), effect));
    driver.sends.borrow_mut().insert(send, RunningSend { task: handle, closer: None, reply: None });
    task::spawn_local(async move {
        let _aborted = job.await;
    });
}

async fn run(driver: Rc<Driver>, effect: Effect) {
    let Effect::Send { send, silence_ms, .. } = &effect else {
        return;
    };
    let send = *send;
    let exchange = pin!(exchange(&driver, &effect));
    let outcome = match select(exchange, pin!(silence(*silence_ms))).await {
        Either::Left((outcome, _)) => outcome,
        Either::Right(((), exchange)) => {
            // If another endpoint gets the request, this task is aborted over it.
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
        && let Some(closer) = running.closer
    {
        closer.abort();
    }
    driver.dispatch(event);
}

/// Ends after a time, or never.
async fn silence(after: Option<SpanMs>) {
    match after {
        Some(after) => task::sleep(Duration::from_millis(after.0)).await,
        None => futures::future::pending().await,
    }
}

fn request(driver: &Driver, effect: &Effect) -> Option<(Request<Full<Bytes>>, Rc<str>)> {
    let Effect::Send { request, target, deadline_ms, inputs, workspace, priority, resume_after, .. } = effect else {
        return None;
    };
    let exchanges = driver.exchanges.borrow();
    let exchange = exchanges.get(request)?;
    let forwarding = Forwarding {
        endpoint: &target.endpoint,
        deadline_ms: *deadline_ms,
        workspace: workspace.as_ref(),
        priority: *priority,
        inputs: inputs.as_deref(),
        resume_after: *resume_after,
    };
    let path = exchange.parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut built = Request::new(Full::new(exchange.body.clone()));
    *built.method_mut() = exchange.parts.method.clone();
    *built.uri_mut() = path.parse::<Uri>().ok()?;
    *built.headers_mut() = forwarded_headers(&exchange.parts.headers, &forwarding);
    Some((built, exchange.client_id.clone()))
}

async fn exchange(driver: &Rc<Driver>, effect: &Effect) -> Result<Event, SendFailure> {
    let Effect::Send { send, target, silence_ms, may_reuse_connection, is_stream, .. } = effect else {
        return Err(SendFailure::NotSent);
    };
    let mut may_reuse = *may_reuse_connection;
    let (connection, response, client_id) = loop {
        let (request, client_id) = request(driver, effect).ok_or(SendFailure::NotSent)?;
        let opened = driver.connections.open(target.address, may_reuse).await;
        let mut connection = opened.map_err(|_| SendFailure::NotSent)?;
        if let Some(running) = driver.sends.borrow_mut().get_mut(send) {
            running.closer = Some(connection.closer());
        }
        match driver.connections.exchange(&mut connection, request).await {
            Ok(response) => break (connection, response, client_id),
            // A kept connection was closed before it carried anything; a new one tells more.
            Err(ExchangeError::NotSent(_)) if may_reuse => may_reuse = false,
            Err(ExchangeError::NotSent(_)) => return Err(SendFailure::NotSent),
            Err(ExchangeError::Lost(error)) if error.is_parse() => return Err(SendFailure::UnusableReply),
            Err(ExchangeError::Lost(_)) => return Err(SendFailure::ConnectionLost),
        }
    };
    let head = passed_head(&response);
    let facts = decode_head(response.status(), response.headers(), &client_id);
    if *is_stream && facts.is_success() {
        let stream = OpenStream { body: response.into_body(), connection, silence: *silence_ms };
        keep_reply(driver, *send, Reply::Stream { head, stream: Some(Box::new(stream)), parts: None });
        return Ok(Event::ReplyHeadArrived(*send, facts));
    }
    let body = match Limited::new(response.into_body(), REPLY_BYTES_MAX).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Err(SendFailure::ConnectionLost),
    };
    if !facts.is_for_request {
        // The reply to this request may still follow on the connection, so it carries no other one.
        connection.closer().abort();
    } else {
        let connections = driver.connections.clone();
        if let Some(running) = driver.sends.borrow_mut().get_mut(send) {
            running.closer = None;
        }
        task::spawn_local(async move { connections.give_back(connection).await });
    }
    keep_reply(driver, *send, Reply::Whole { head, body });
    Ok(Event::ReplyHeadArrived(*send, facts))
}

fn keep_reply(driver: &Driver, send: SendNumber, reply: Reply) {
    if let Some(running) = driver.sends.borrow_mut().get_mut(&send) {
        running.reply = Some(reply);
    }
}

/// Passes a stream on, event by event.
pub(crate) fn start_relay(driver: &Rc<Driver>, send: SendNumber, stream: Box<OpenStream>, parts: Sender<Part>) {
    let inner = driver.clone();
    let (job, handle) = abortable(async move { relay(inner, send, *stream, parts).await });
    if let Some(running) = driver.sends.borrow_mut().get_mut(&send) {
        running.task = handle;
    }
    task::spawn_local(async move {
        let _aborted = job.await;
    });
}

async fn relay(driver: Rc<Driver>, send: SendNumber, mut stream: OpenStream, parts: Sender<Part>) {
    let mut last_event = None;
    let ended = relay_events(&driver, send, &mut stream, &parts, &mut last_event).await;
    let OpenStream { connection, .. } = stream;
    let progress = match ended {
        Ok(()) => {
            // A client that is gone is reported by its own guard.
            parts.send(Part::End).await.ok();
            let connections = driver.connections.clone();
            task::spawn_local(async move { connections.give_back(connection).await });
            Progress::Ended
        }
        Err(failure) => {
            connection.close();
            Progress::Broken(failure, last_event)
        }
    };
    driver.end_stream(send);
    driver.dispatch(Event::StreamProgressed(send, progress));
}

/// Passes whole events on; what follows the last whole one is never passed on.
async fn relay_events(
    driver: &Rc<Driver>,
    send: SendNumber,
    stream: &mut OpenStream,
    parts: &Sender<Part>,
    last_event: &mut Option<EventId>,
) -> Result<(), SendFailure> {
    let mut buffer = BytesMut::new();
    let mut has_event = false;
    loop {
        let next = match select(stream.body.frame(), pin!(silence(stream.silence))).await {
            Either::Left((next, _)) => next,
            Either::Right(((), next)) => {
                driver.dispatch(Event::EndpointSilent(send, *last_event));
                next.await
            }
        };
        let frame = match next {
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return Err(SendFailure::ConnectionLost),
            None if buffer.is_empty() => return Ok(()),
            None => return Err(SendFailure::ConnectionLost),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        if buffer.len() > EVENT_BYTES_MAX {
            return Err(SendFailure::UnusableReply);
        }
        let Some(end) = end_of_events(&buffer) else {
            continue;
        };
        let events = buffer.split_to(end).freeze();
        *last_event = last_id(&events).or(*last_event);
        if parts.send(Part::Data(events)).await.is_err() {
            // The client is gone; its guard reports that, and the send is cancelled over it.
            futures::future::pending::<()>().await;
        }
        if !has_event {
            has_event = true;
            driver.dispatch(Event::StreamProgressed(send, Progress::FirstEvent));
        }
    }
}

/// End of the last whole event, behind its empty line.
fn end_of_events(buffer: &[u8]) -> Option<usize> {
    let plain = buffer.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = buffer.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    plain.max(crlf)
}

/// Number of the last event of some whole ones.
fn last_id(events: &[u8]) -> Option<EventId> {
    let lines = events.split(|byte| *byte == b'\n');
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok()).next_back()
}
