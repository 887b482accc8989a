//! Feeds events to the request path and applies its effects, one event after the other.
//!
//! Sockets are left to the modules of the effects: [`sends`], [`stage_calls`] and [`crate::peers`].

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_std::channel::{Receiver, Sender, bounded, unbounded};
use async_std::future::timeout;
use async_std::task;
use boragepass_path::{Answer, Effect, Event, Record, RequestNumber, RequestPath, SendNumber};
use boragepass_platform::decode_configuration;
use boragepass_server::Clock;
use boragepass_types::EndpointId;
use bytes::Bytes;
use futures::channel::oneshot;
use futures::future::AbortHandle;
use http::request::Parts;

use crate::answer_body::BodyChunk;
use crate::connections::Connections;
use crate::json_log::JsonLog;
use crate::memory_budget::MemoryBudget;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::sends::{self, Reply};
use crate::stage_calls;
use crate::stream_version_rows::StreamVersionCall;
use crate::version_rows::VersionCall;

/// Longest sleep of the timer loop when no timer is set.
const IDLE_WAKE: Duration = Duration::from_millis(500);

/// Where a configuration comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum ConfigurationSource {
    /// The store.
    #[display("store")]
    Store,
    /// Another VM.
    #[display("other VM")]
    OtherVm,
}

/// Where the response to a client comes from.
pub(crate) enum ResponseSource {
    /// Reply of an endpoint.
    Endpoint(Reply),
    /// Answer made by this VM, such as a refusal.
    Local(Answer),
}

/// Request of a client, with the channels to the connection that waits for its response.
pub(crate) struct ClientExchange {
    pub(crate) request_head: Rc<Parts>,
    pub(crate) request_body: Bytes,
    pub(crate) client_id: Rc<str>,
    /// Hands the response to the client's connection; `None` once that is done.
    pub(crate) response_sender: Option<oneshot::Sender<ResponseSource>>,
    /// Takes the chunks of a streamed answer. Dropping it aborts the answer.
    pub(crate) chunk_sender: Option<Sender<BodyChunk>>,
    /// Other end of `chunk_sender`, until it moves into the response's body.
    pub(crate) chunk_receiver: Option<Receiver<BodyChunk>>,
}

/// Send of a request to an endpoint, in progress.
pub(crate) struct RunningSend {
    pub(crate) task_abort: AbortHandle,
    /// Closes the socket; `None` before there is one and after its connection was released.
    pub(crate) connection_abort: Option<AbortHandle>,
    /// Reply that the request path has yet to relay or discard.
    pub(crate) pending_reply: Option<Reply>,
}

/// The request path, and what is needed to apply its effects.
pub(crate) struct Driver {
    clock: Clock,
    path: RefCell<RequestPath>,
    event_queue: RefCell<VecDeque<Event>>,
    is_dispatching: Cell<bool>,
    wake_channel: (Sender<()>, Receiver<()>),
    pub(crate) connections: Connections,
    /// Memory for what this VM holds for clients and endpoints.
    pub(crate) budget: MemoryBudget,
    pub(crate) exchanges: RefCell<HashMap<RequestNumber, ClientExchange>>,
    pub(crate) sends: RefCell<HashMap<SendNumber, RunningSend>>,
    pub(crate) log: JsonLog,
    pub(crate) metrics: Metrics,
    pub(crate) peers: Peers,
    pub(crate) is_ready: Cell<bool>,
    /// Why the settings file was rejected when it was last read; `None` if it was not.
    pub(crate) last_settings_error: RefCell<Option<String>>,
    /// Whether this VM itself polls the store for changes.
    pub(crate) follows_store: Cell<bool>,
    /// Wakes the task that registers this VM in the store.
    registration_channel: (Sender<()>, Receiver<()>),
    /// What to do with the versions of pools that the store keeps.
    version_call_channel: (Sender<VersionCall>, Receiver<VersionCall>),
    /// What to do with the versions of begun streams that the store keeps.
    stream_version_call_channel: (Sender<StreamVersionCall>, Receiver<StreamVersionCall>),
    /// Endpoints whose entries are to be read, each once at a time.
    entry_read_channel: (Sender<EndpointId>, Receiver<EndpointId>),
    /// Dropped when clients' connections have to close after the response in progress.
    connection_shutdown_sender: RefCell<Option<Sender<()>>>,
    pub(crate) connection_shutdown: Receiver<()>,
    exit_channel: (Sender<()>, Receiver<()>),
    last_request_number: Cell<u64>,
}

impl Driver {
    pub(crate) fn new(
        clock: Clock,
        path: RequestPath,
        log: JsonLog,
        metrics: Metrics,
        peers: Peers,
        budget: MemoryBudget,
    ) -> Rc<Self> {
        let (connection_shutdown_sender, connection_shutdown) = bounded(1);
        Rc::new(Self {
            clock,
            path: RefCell::new(path),
            event_queue: RefCell::default(),
            is_dispatching: Cell::new(false),
            wake_channel: bounded(1),
            connections: Connections::new(budget.clone()),
            budget,
            exchanges: RefCell::default(),
            sends: RefCell::default(),
            log,
            metrics,
            peers,
            is_ready: Cell::new(false),
            last_settings_error: RefCell::default(),
            follows_store: Cell::new(true),
            registration_channel: bounded(1),
            version_call_channel: bounded(1),
            // One read and one write.
            stream_version_call_channel: bounded(2),
            entry_read_channel: unbounded(),
            connection_shutdown_sender: RefCell::new(Some(connection_shutdown_sender)),
            connection_shutdown,
            exit_channel: bounded(1),
            last_request_number: Cell::new(0),
        })
    }

    pub(crate) fn next_request_number(&self) -> RequestNumber {
        let mut last_number = self.last_request_number.get();
        let number = RequestNumber::take(&mut last_number);
        self.last_request_number.set(last_number);
        number
    }

    /// Calls a function with the request path and the current time.
    pub(crate) fn with_path<T>(&self, read: impl FnOnce(&RequestPath, boragepass_types::TimeMs) -> T) -> T {
        read(&self.path.borrow(), self.clock.now())
    }

    /// Counts and logs a record.
    pub(crate) fn record(&self, record: &Record) {
        self.metrics.observe(record);
        self.log.write(record);
    }

    /// Waits until the request path ends the process.
    pub(crate) async fn wait_for_exit(&self) {
        // The sender lives as long as the driver, so this does not fail.
        self.exit_channel.1.recv().await.ok();
    }

    /// Waits until this VM has to register in the store again.
    pub(crate) async fn wait_for_registration(&self) {
        // The sender lives as long as the driver, so this does not fail.
        self.registration_channel.1.recv().await.ok();
    }

    /// Waits for the next call that concerns the versions of pools.
    pub(crate) async fn next_version_call(&self) -> Option<VersionCall> {
        self.version_call_channel.1.recv().await.ok()
    }

    /// Waits for the next call that concerns the versions of begun streams.
    pub(crate) async fn next_stream_version_call(&self) -> Option<StreamVersionCall> {
        self.stream_version_call_channel.1.recv().await.ok()
    }

    /// Waits for the next endpoint whose entry is to be read.
    pub(crate) async fn next_entry_read(&self) -> Option<EndpointId> {
        self.entry_read_channel.1.recv().await.ok()
    }

    /// Passes a configuration, encoded as in the store, on to the request path. A newer one than that in force is
    /// also kept for other VMs.
    pub(crate) fn receive_configuration(self: &Rc<Self>, value: Bytes, source: ConfigurationSource) {
        self.metrics.observe_configuration(source, value.len());
        // Several VMs may send the same one, and to decode a large one takes long on a small VM.
        if self.peers.has_configuration(&value) {
            return;
        }
        let began_at = Instant::now();
        match decode_configuration(&value) {
            Ok(configuration) => {
                let current_version = self.with_path(|path, _| path.configuration().map(|known| known.version));
                if current_version.is_none_or(|version| version < configuration.version) {
                    let record = Record::new("configuration received")
                        .number("version", configuration.version.0)
                        .text("source", source)
                        .number("bytes", value.len())
                        .number("decode_ms", began_at.elapsed().as_millis());
                    self.record(&record);
                    self.peers.set_configuration(value);
                }
                self.dispatch(Event::ConfigurationReceived(configuration.into()));
            }
            Err(error) => {
                self.record(&Record::new("configuration not read").text("source", source).text("reason", error));
            }
        }
    }

    /// Queues an event from where effects must not be applied, such as a destructor.
    pub(crate) fn enqueue(&self, event: Event) {
        self.event_queue.borrow_mut().push_back(event);
        // A full channel means that a wake-up is already pending.
        self.wake_channel.0.try_send(()).ok();
    }

    /// Passes an event to the request path and applies the effects. A call from within an effect only
    /// queues its event.
    pub(crate) fn dispatch(self: &Rc<Self>, event: Event) {
        self.event_queue.borrow_mut().push_back(event);
        if self.is_dispatching.replace(true) {
            return;
        }
        let wake_before = self.path.borrow().next_wake();
        loop {
            let Some(event) = self.event_queue.borrow_mut().pop_front() else {
                break;
            };
            let effects = self.path.borrow_mut().handle(self.clock.now(), event);
            for effect in effects {
                self.apply_effect(effect);
            }
        }
        self.is_dispatching.set(false);
        let wake_after = self.path.borrow().next_wake();
        if wake_after < wake_before || wake_before.is_none() {
            self.wake_channel.0.try_send(()).ok();
        }
    }

    /// Handles due timers and queued events until the process ends.
    pub(crate) async fn run_timers(self: Rc<Self>) {
        loop {
            let next_wake = self.path.borrow().next_wake();
            let wait =
                next_wake.map_or(IDLE_WAKE, |at| self.clock.instant(at).saturating_duration_since(Instant::now()));
            if !wait.is_zero() && self.event_queue.borrow().is_empty() {
                // Either a timer is due or an event was queued.
                let _woken = timeout(wait, self.wake_channel.1.recv()).await;
            }
            self.dispatch(Event::Tick);
            task::yield_now().await;
        }
    }

    fn apply_effect(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Send { .. } | Effect::Relay { .. } => sends::start_send(self, &effect),
            Effect::CancelSend(send) => self.cancel_send(send),
            Effect::RelayReply(request, send) => self.relay_reply(request, send),
            Effect::Respond(request, answer) => self.respond_locally(request, answer),
            Effect::AbortAnswer(request) | Effect::DropRequest(request) => {
                // Dropping the chunk sender aborts the answer.
                self.exchanges.borrow_mut().remove(&request);
            }
            Effect::CheckEndpoint(target) => sends::start_endpoint_check(self, target),
            Effect::QueryStatements(target, path) => stage_calls::start_statements_query(self, target, &path),
            Effect::ProbeEndpoint(target) => sends::start_endpoint_probe(self, target),
            Effect::Call { call, target, entries, timeout_ms } => {
                stage_calls::start_call(self, call, target, entries, timeout_ms);
            }
            Effect::FreeResults(target, handles) => stage_calls::start_free_results(self, target, handles),
            Effect::SendPeerMessage(vm, address, message) => self.peers.send_message(&vm, address, &message),
            Effect::SendPeerDatagram(_, address, message) => self.peers.send_datagram(address, &message),
            Effect::ShareState { vm, address } => {
                self.peers.share_state(self.clock.now(), &vm, address, &self.path.borrow());
            }
            Effect::ShareConfiguration { vm, address } => {
                self.metrics.observe_shared_configuration(self.peers.share_configuration(&vm, address));
            }
            Effect::FollowStore(follows) => self.follows_store.set(follows),
            Effect::RegisterVm => {
                // A full channel means that this VM is about to register already.
                self.registration_channel.0.try_send(()).ok();
            }
            Effect::ReadRecordedVersions => self.start_version_call(VersionCall::Read),
            Effect::ConfirmVersions => self.start_version_call(VersionCall::Confirm),
            Effect::ReadEndpointEntry(endpoint) => {
                // The receiver lives as long as the driver, so this does not fail.
                self.entry_read_channel.0.try_send(endpoint).ok();
            }
            Effect::RecordVersions(versions) => self.start_version_call(VersionCall::Replace(versions)),
            Effect::ReadStreamVersions => self.start_stream_version_call(StreamVersionCall::Read),
            Effect::RecordStreamVersions(row) => self.start_stream_version_call(StreamVersionCall::Write(row)),
            Effect::SetReady(is_ready) => self.is_ready.set(is_ready),
            Effect::CloseConnections => {
                self.connection_shutdown_sender.borrow_mut().take();
            }
            Effect::Exit => {
                self.exit_channel.0.try_send(()).ok();
            }
            Effect::Log(record) => self.record(&record),
        }
    }

    fn start_version_call(&self, call: VersionCall) {
        // The request path starts the next call only after the last one ended, so the channel has room.
        if self.version_call_channel.0.try_send(call).is_err() {
            self.record(&Record::new("call for software versions dropped"));
        }
    }

    fn start_stream_version_call(&self, call: StreamVersionCall) {
        // The request path has at most one read and one write in progress, so the channel has room.
        if self.stream_version_call_channel.0.try_send(call).is_err() {
            self.record(&Record::new("call for stream versions dropped"));
        }
    }

    fn cancel_send(&self, send: SendNumber) {
        if let Some(running) = self.sends.borrow_mut().remove(&send) {
            running.task_abort.abort();
            if let Some(connection_abort) = running.connection_abort {
                connection_abort.abort();
            }
        }
    }

    fn respond_locally(&self, request: RequestNumber, answer: Answer) {
        if let Some(exchange) = self.exchanges.borrow_mut().remove(&request)
            && let Some(sender) = exchange.response_sender
        {
            // This fails if the client disconnected, which its guard reports.
            sender.send(ResponseSource::Local(answer)).ok();
        }
    }

    fn relay_reply(self: &Rc<Self>, request: RequestNumber, send: SendNumber) {
        let reply = self.sends.borrow_mut().get_mut(&send).and_then(|running| running.pending_reply.take());
        let Some(mut reply) = reply else {
            return;
        };
        let mut exchanges = self.exchanges.borrow_mut();
        let Some(exchange) = exchanges.get_mut(&request) else {
            return;
        };
        if let Reply::Stream { stream, chunks, .. } = &mut reply {
            if let (Some(stream), Some(sender)) = (stream.take(), exchange.chunk_sender.clone()) {
                sends::start_relay(self, send, stream, sender);
            }
            *chunks = exchange.chunk_receiver.take();
        }
        let is_read_in_full = matches!(reply, Reply::Whole { .. });
        if let Some(sender) = exchange.response_sender.take() {
            sender.send(ResponseSource::Endpoint(reply)).ok();
        }
        if is_read_in_full {
            exchanges.remove(&request);
            drop(exchanges);
            self.sends.borrow_mut().remove(&send);
        }
    }

    /// Numbers of requests and of sends that are kept.
    pub(crate) fn kept_entries(&self) -> (usize, usize) {
        (self.exchanges.borrow().len(), self.sends.borrow().len())
    }

    /// Drops the state of a send whose stream ended.
    pub(crate) fn remove_send(&self, send: SendNumber) {
        self.sends.borrow_mut().remove(&send);
    }
}
