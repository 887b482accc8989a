//! Executes the reducer's effects.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use async_std::channel::Sender;
use boragepass_clients::{
    HttpClient, fetch_vm_list_changes, poll_load, run_stage, send_object_request, send_order, send_table_request,
};
use boragepass_core::{Counter, Dispatch, Effect, Event};
use boragepass_types::{AttemptId, TimeMs};
use futures::future::AbortHandle;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::peer_link::PeerLinks;
use crate::replies::{CallReply, PendingReplies};
use crate::tasks::Tasks;

/// Addresses of the platform's services.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlatformAddresses {
    pub(crate) table: SocketAddr,
    pub(crate) objects: SocketAddr,
    pub(crate) vm_list: SocketAddr,
}

/// Executes effects and sends the resulting events to the reducer.
#[derive(Clone)]
pub(crate) struct Executor {
    pub(crate) clock: Clock,
    pub(crate) events: Sender<Event>,
    pub(crate) tasks: Tasks,
    pub(crate) replies: PendingReplies,
    pub(crate) client: HttpClient,
    pub(crate) platform: PlatformAddresses,
    pub(crate) links: PeerLinks,
    pub(crate) metrics: Metrics,
    pub(crate) running_attempts: RunningAttempts,
}

/// Abort handles of the attempts in progress.
pub(crate) type RunningAttempts = Arc<Mutex<HashMap<AttemptId, AbortHandle>>>;

/// Creates an empty map of attempts.
pub(crate) fn new_running_attempts() -> RunningAttempts {
    RunningAttempts::default()
}

impl Executor {
    /// Executes an effect; false if the process is to exit.
    pub(crate) fn execute(&self, effect: Effect) -> bool {
        match effect {
            Effect::Reply { call, outcome, alternative_addresses } => {
                self.replies.deliver(call, CallReply::Outcome { outcome, alternative_addresses });
            }
            Effect::Token { call, text } => self.replies.deliver(call, CallReply::Token(text)),
            Effect::AddressAnswer { call, answer } => self.replies.deliver(call, CallReply::Addresses(answer)),
            Effect::OperatorReply { call, reply } => self.replies.deliver(call, CallReply::Operator(reply)),
            Effect::Dispatch { not_after, dispatch } => self.dispatch(not_after, dispatch),
            Effect::Cancel { attempt } => self.cancel(attempt),
            Effect::Table { op, request } => {
                let (client, address) = (self.client.clone(), self.platform.table);
                self.spawn_request(async move {
                    Event::TableReply { op, reply: send_table_request(&client, address, &request).await }
                });
            }
            Effect::Object { op, request } => {
                let (client, address) = (self.client.clone(), self.platform.objects);
                self.spawn_request(async move {
                    Event::ObjectReply { op, reply: send_object_request(&client, address, &request).await }
                });
            }
            Effect::PollVmList { since } => {
                let (client, address) = (self.client.clone(), self.platform.vm_list);
                self.spawn_request(
                    async move { Event::VmListReply(fetch_vm_list_changes(&client, address, since).await) },
                );
            }
            Effect::PollLoad { endpoint, address, asked_at } => {
                let client = self.client.clone();
                self.spawn_request(async move {
                    Event::LoadReply { endpoint, asked_at, report: poll_load(&client, address).await }
                });
            }
            Effect::Order { op, not_after, address, order } => {
                let (client, not_after) = (self.client.clone(), self.clock.instant(not_after));
                self.spawn_request(async move {
                    Event::OrderReply { op, reply: send_order(&client, address, &order, not_after).await }
                });
            }
            Effect::Send { to, address, message } => self.links.send(&to, address, &message),
            Effect::Count { counter, by } => self.metrics.add(counter, by),
            Effect::Log(change) => log::info!("{change}"),
            Effect::Exit => return false,
        }
        true
    }

    /// Spawns a task and sends the event that it returns to the reducer.
    fn spawn_request(&self, request: impl Future<Output = Event> + Send + 'static) {
        let events = self.events.clone();
        self.tasks.spawn(async move {
            let event = request.await;
            // Fails only if the daemon has ended.
            events.send(event).await.ok();
        });
    }

    fn dispatch(&self, not_after: TimeMs, dispatch: Box<Dispatch>) {
        let attempt = dispatch.tag.attempt;
        let not_after = self.clock.instant(not_after);
        let (events, client, running_attempts) =
            (self.events.clone(), self.client.clone(), self.running_attempts.clone());
        // Held until the handle is inserted, so that the task cannot remove it before.
        let mut running_attempts_guard = self.running_attempts.lock().expect("no holder of this lock panics");
        let abort_handle = self.tasks.spawn(async move {
            let on_reply = |(echo, reply)| {
                events.try_send(Event::StageReply { attempt, echo, reply }).ok();
            };
            if run_stage(&client, &dispatch, not_after, on_reply).await.is_err() {
                events.try_send(Event::AttemptExpired { attempt }).ok();
            }
            running_attempts.lock().expect("no holder of this lock panics").remove(&attempt);
        });
        running_attempts_guard.insert(attempt, abort_handle);
    }

    fn cancel(&self, attempt: AttemptId) {
        let abort_handle = self.running_attempts.lock().expect("no holder of this lock panics").remove(&attempt);
        if let Some(abort_handle) = abort_handle {
            abort_handle.abort();
        }
    }

    /// Total of a counter since the start.
    pub(crate) fn total(&self, counter: Counter) -> u64 {
        self.metrics.total(counter)
    }
}
