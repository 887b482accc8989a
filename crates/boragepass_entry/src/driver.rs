//! Feeds events to the request path and carries its effects out.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use async_std::task;
use boragepass_path::{Answer, Effect, Event, Record, RequestNumber, RequestPath, SendNumber};
use boragepass_server::Clock;
use bytes::Bytes;
use futures::channel::oneshot;
use futures::future::AbortHandle;
use http::request::Parts;

use crate::answer_body::Part;
use crate::connections::Connections;
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::sends::{self, Reply};
use crate::stage_calls;

/// Longest sleep without a timer.
const IDLE_WAKE: Duration = Duration::from_millis(500);

/// Answer as the front gets it.
pub(crate) enum Outcome {
    /// Reply of an endpoint.
    Reply(Reply),
    /// Answer of this VM.
    Own(Answer),
}

/// Request of a client as the executor keeps it.
pub(crate) struct Exchange {
    pub(crate) parts: Rc<Parts>,
    pub(crate) body: Bytes,
    pub(crate) client_id: Rc<str>,
    /// Where the answer goes, until it has begun.
    pub(crate) answer: Option<oneshot::Sender<Outcome>>,
    /// Where the parts of a streamed answer go.
    pub(crate) parts_sender: Option<Sender<Part>>,
    /// Where a streamed answer is read, until it has begun.
    pub(crate) parts_receiver: Option<Receiver<Part>>,
}

/// Send in progress.
pub(crate) struct RunningSend {
    pub(crate) task: AbortHandle,
    /// Closes the socket, once there is one.
    pub(crate) closer: Option<AbortHandle>,
    /// Reply that waits for a decision.
    pub(crate) reply: Option<Reply>,
}

/// Request path with everything that carries its effects out.
pub(crate) struct Driver {
    clock: Clock,
    path: RefCell<RequestPath>,
    queue: RefCell<VecDeque<Event>>,
    is_busy: Cell<bool>,
    wake: (Sender<()>, Receiver<()>),
    pub(crate) connections: Connections,
    pub(crate) exchanges: RefCell<HashMap<RequestNumber, Exchange>>,
    pub(crate) sends: RefCell<HashMap<SendNumber, RunningSend>>,
    pub(crate) journal: Journal,
    pub(crate) metrics: Metrics,
    pub(crate) peers: Peers,
    pub(crate) is_ready: Cell<bool>,
    /// Whether this VM waits for changes at the store.
    pub(crate) follows_store: Cell<bool>,
    /// Closed when clients' connections shall not be kept any longer.
    closing: RefCell<Option<Sender<()>>>,
    pub(crate) closed: Receiver<()>,
    exit: (Sender<()>, Receiver<()>),
    requests: Cell<u64>,
}

impl Driver {
    pub(crate) fn new(clock: Clock, path: RequestPath, journal: Journal, metrics: Metrics, peers: Peers) -> Rc<Self> {
        let (closing, closed) = bounded(1);
        Rc::new(Self {
            clock,
            path: RefCell::new(path),
            queue: RefCell::default(),
            is_busy: Cell::new(false),
            wake: bounded(1),
            connections: Connections::default(),
            exchanges: RefCell::default(),
            sends: RefCell::default(),
            journal,
            metrics,
            peers,
            is_ready: Cell::new(false),
            follows_store: Cell::new(true),
            closing: RefCell::new(Some(closing)),
            closed,
            exit: bounded(1),
            requests: Cell::new(0),
        })
    }

    pub(crate) fn next_request(&self) -> RequestNumber {
        let mut counter = self.requests.get();
        let number = RequestNumber::take(&mut counter);
        self.requests.set(counter);
        number
    }

    /// Reads from the request path.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&RequestPath, boragepass_types::TimeMs) -> T) -> T {
        read(&self.path.borrow(), self.clock.now())
    }

    /// Writes a record of the executor itself.
    pub(crate) fn record(&self, record: &Record) {
        self.metrics.count(record);
        self.journal.write(record);
    }

    /// Waits until the process shall end.
    pub(crate) async fn wait_for_exit(&self) {
        // The sender lives as long as the driver.
        self.exit.1.recv().await.ok();
    }

    /// Queues an event from where effects may not be carried out, such as a destructor.
    pub(crate) fn post(&self, event: Event) {
        self.queue.borrow_mut().push_back(event);
        // A full channel means that the loop wakes anyway.
        self.wake.0.try_send(()).ok();
    }

    /// Hands an event to the request path.
    pub(crate) fn dispatch(self: &Rc<Self>, event: Event) {
        self.queue.borrow_mut().push_back(event);
        if self.is_busy.replace(true) {
            return;
        }
        let wake_before = self.path.borrow().next_wake();
        loop {
            let Some(event) = self.queue.borrow_mut().pop_front() else {
                break;
            };
            let effects = self.path.borrow_mut().handle(self.clock.now(), event);
            for effect in effects {
                self.carry_out(effect);
            }
        }
        self.is_busy.set(false);
        let wake_after = self.path.borrow().next_wake();
        if wake_after < wake_before || wake_before.is_none() {
            self.wake.0.try_send(()).ok();
        }
    }

    /// Fires timers and posted events until the process ends.
    pub(crate) async fn run_timers(self: Rc<Self>) {
        loop {
            let wake = self.path.borrow().next_wake();
            let wait = wake
                .map_or(IDLE_WAKE, |at| self.clock.instant(at).saturating_duration_since(std::time::Instant::now()));
            if !wait.is_zero() && self.queue.borrow().is_empty() {
                // Either a timer is due or something was posted.
                let _woken = timeout(wait, self.wake.1.recv()).await;
            }
            self.dispatch(Event::Tick);
            task::yield_now().await;
        }
    }

    fn carry_out(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Send { .. } => sends::start(self, effect),
            Effect::CancelSend(send) => self.cancel(send),
            Effect::RelayReply(request, send) => self.relay(request, send),
            Effect::Respond(request, answer) => self.respond(request, answer),
            Effect::AbortAnswer(request) | Effect::DropRequest(request) => {
                // Dropping the sender of the parts breaks the answer off.
                self.exchanges.borrow_mut().remove(&request);
            }
            Effect::Call { call, target, entries, timeout_ms } => {
                stage_calls::start_call(self, call, target, entries, timeout_ms);
            }
            Effect::FreeResults(target, handles) => stage_calls::start_free(self, target, handles),
            Effect::SendPeerMessage(vm, address, message) => self.peers.tell(&vm, address, &message),
            Effect::SendPeerDatagram(_, address, message) => self.peers.datagram(address, &message),
            Effect::ShareState { vm, address, with_configuration } => {
                self.peers.share_state(&vm, address, &self.path.borrow(), with_configuration);
            }
            Effect::FollowStore(follows) => self.follows_store.set(follows),
            Effect::SetReady(is_ready) => self.is_ready.set(is_ready),
            Effect::CloseConnections => {
                self.closing.borrow_mut().take();
            }
            Effect::Exit => {
                self.exit.0.try_send(()).ok();
            }
            Effect::Log(record) => self.record(&record),
        }
    }

    fn cancel(&self, send: SendNumber) {
        if let Some(running) = self.sends.borrow_mut().remove(&send) {
            running.task.abort();
            if let Some(closer) = running.closer {
                closer.abort();
            }
        }
    }

    fn respond(&self, request: RequestNumber, answer: Answer) {
        if let Some(exchange) = self.exchanges.borrow_mut().remove(&request)
            && let Some(sender) = exchange.answer
        {
            // A client that is gone needs no answer; its guard reports that.
            sender.send(Outcome::Own(answer)).ok();
        }
    }

    fn relay(self: &Rc<Self>, request: RequestNumber, send: SendNumber) {
        let reply = self.sends.borrow_mut().get_mut(&send).and_then(|running| running.reply.take());
        let Some(mut reply) = reply else {
            return;
        };
        let mut exchanges = self.exchanges.borrow_mut();
        let Some(exchange) = exchanges.get_mut(&request) else {
            return;
        };
        if let Reply::Stream { stream, parts, .. } = &mut reply {
            if let (Some(stream), Some(sender)) = (stream.take(), exchange.parts_sender.clone()) {
                sends::start_relay(self, send, stream, sender);
            }
            *parts = exchange.parts_receiver.take();
        }
        let is_whole = matches!(reply, Reply::Whole { .. });
        if let Some(sender) = exchange.answer.take() {
            sender.send(Outcome::Reply(reply)).ok();
        }
        if is_whole {
            exchanges.remove(&request);
            drop(exchanges);
            self.sends.borrow_mut().remove(&send);
        }
    }

    /// Drops the executor's part of a stream that ended whole.
    pub(crate) fn end_stream(&self, send: SendNumber) {
        self.sends.borrow_mut().remove(&send);
    }
}
