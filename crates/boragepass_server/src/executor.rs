//! Carries effects out.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use async_std::channel::Sender;
use boragepass_clients::{HttpClient, ask_objects, ask_table, ask_vm_list, poll_load, run_stage, send_order};
use boragepass_core::{Counter, Dispatch, Effect, Event};
use boragepass_types::{AttemptId, TimeMs};
use futures::future::AbortHandle;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::peer_link::PeerLinks;
use crate::replies::{Answer, Replies};
use crate::tasks::Tasks;

/// Addresses of the platform.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlatformAddresses {
    pub(crate) table: SocketAddr,
    pub(crate) objects: SocketAddr,
    pub(crate) vm_list: SocketAddr,
}

/// Carries effects out and feeds what comes back to the reducer.
#[derive(Clone)]
pub(crate) struct Executor {
    pub(crate) clock: Clock,
    pub(crate) events: Sender<Event>,
    pub(crate) tasks: Tasks,
    pub(crate) replies: Replies,
    pub(crate) client: HttpClient,
    pub(crate) platform: PlatformAddresses,
    pub(crate) links: PeerLinks,
    pub(crate) metrics: Metrics,
    pub(crate) attempts: Attempts,
}

/// Attempts that are out, to cancel them.
pub(crate) type Attempts = Arc<Mutex<HashMap<AttemptId, AbortHandle>>>;

/// No attempts.
pub(crate) fn new_attempts() -> Attempts {
    Attempts::default()
}

impl Executor {
    /// Carries one effect out; false when the process is to end.
    pub(crate) fn run(&self, effect: Effect) -> bool {
        match effect {
            Effect::Reply { call, outcome, alternative_addresses } => {
                self.replies.give(call, Answer::Outcome { outcome, alternative_addresses });
            }
            Effect::Token { call, text } => self.replies.give(call, Answer::Token(text)),
            Effect::AddressAnswer { call, answer } => self.replies.give(call, Answer::Addresses(answer)),
            Effect::OperatorReply { call, reply } => self.replies.give(call, Answer::Operator(reply)),
            Effect::Dispatch { not_after, dispatch } => self.dispatch(not_after, dispatch),
            Effect::Cancel { attempt } => self.cancel(attempt),
            Effect::Table { op, request } => {
                let (client, address) = (self.client.clone(), self.platform.table);
                self.ask(async move { Event::TableReply { op, reply: ask_table(&client, address, &request).await } });
            }
            Effect::Object { op, request } => {
                let (client, address) = (self.client.clone(), self.platform.objects);
                self.ask(
                    async move { Event::ObjectReply { op, reply: ask_objects(&client, address, &request).await } },
                );
            }
            Effect::PollVmList { since } => {
                let (client, address) = (self.client.clone(), self.platform.vm_list);
                self.ask(async move { Event::VmListReply(ask_vm_list(&client, address, since).await) });
            }
            Effect::PollLoad { endpoint, address, asked_at } => {
                let client = self.client.clone();
                self.ask(
                    async move { Event::LoadReply { endpoint, asked_at, report: poll_load(&client, address).await } },
                );
            }
            Effect::Order { op, not_after, address, order } => {
                let (client, not_after) = (self.client.clone(), self.clock.instant(not_after));
                self.ask(async move {
                    Event::OrderReply { op, reply: send_order(&client, address, &order, not_after).await }
                });
            }
            Effect::Send { to, address, message } => self.links.send(&to, address, &message),
            Effect::Count { counter, by } => self.metrics.count(counter, by),
            Effect::Log(change) => log::info!("{change}"),
            Effect::Exit => return false,
        }
        true
    }

    /// Does something and feeds the event it gives to the reducer.
    fn ask(&self, work: impl Future<Output = Event> + Send + 'static) {
        let events = self.events.clone();
        self.tasks.spawn(async move {
            let event = work.await;
            // The channel closes only when the daemon ends.
            events.send(event).await.ok();
        });
    }

    fn dispatch(&self, not_after: TimeMs, dispatch: Box<Dispatch>) {
        let attempt = dispatch.tag.attempt;
        let not_after = self.clock.instant(not_after);
        let (events, client, attempts) = (self.events.clone(), self.client.clone(), self.attempts.clone());
        // The entry must stand before the task can end and remove it.
        let mut guard = self.attempts.lock().expect("no holder of this lock panics");
        let handle = self.tasks.spawn(async move {
            let feed = |(echo, reply)| {
                events.try_send(Event::StageReply { attempt, echo, reply }).ok();
            };
            if run_stage(&client, &dispatch, not_after, feed).await.is_err() {
                events.try_send(Event::AttemptExpired { attempt }).ok();
            }
            attempts.lock().expect("no holder of this lock panics").remove(&attempt);
        });
        guard.insert(attempt, handle);
    }

    fn cancel(&self, attempt: AttemptId) {
        let handle = self.attempts.lock().expect("no holder of this lock panics").remove(&attempt);
        if let Some(handle) = handle {
            handle.abort();
        }
    }

    /// Value of a counter since the start.
    pub(crate) fn total(&self, counter: Counter) -> u64 {
        self.metrics.total(counter)
    }
}
