//! One daemon: its listeners, its reducer and its end.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use async_std::net::TcpListener;
use boragepass_clients::HttpClient;
use boragepass_core::{Counter, Event, Node, NodeSettings};
use boragepass_settings::Settings;

use crate::caller_http::{CallerContext, serve_callers};
use crate::clock::{Clock, new_incarnation};
use crate::executor::{Executor, PlatformAddresses};
use crate::metrics::Metrics;
use crate::operator_http::{OperatorContext, serve_operators};
use crate::peer_link::{Identity, PeerLinks};
use crate::peer_server::EventInbox;
use crate::replies::Replies;
use crate::tasks::Tasks;
use crate::{executor, peer_server};

const EVENTS_MAX: usize = 65_536;
const IDLE_WAKE: Duration = Duration::from_millis(500);
const FLUSH_BEFORE_EXIT: Duration = Duration::from_millis(200);

/// Reason why a daemon does not start.
#[derive(Debug, displaydoc::Display)]
pub enum StartError {
    /// cannot listen on {address}: {source}
    Listen {
        /// Address of the settings.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
}

impl std::error::Error for StartError {}

/// Running daemon.
pub struct Daemon {
    events: Sender<Event>,
    tasks: Tasks,
    executor: Executor,
    ended: Receiver<()>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where other VMs connect.
    pub peers: SocketAddr,
}

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let listener = TcpListener::bind(address).await.map_err(|source| StartError::Listen { address, source })?;
    let bound = listener.local_addr().map_err(|source| StartError::Listen { address, source })?;
    Ok((listener, bound))
}

impl Daemon {
    /// Starts a daemon.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let (caller_listener, callers) = listen(settings.caller_address).await?;
        let (operator_listener, operators) = listen(settings.operator_address).await?;
        let (peer_listener, peers) = listen(settings.peer_address).await?;
        let clock = Clock::start();
        let incarnation = new_incarnation();
        let (events, receiver) = bounded(EVENTS_MAX);
        let (end, ended) = bounded(1);
        let tasks = Tasks::default();
        let replies = Replies::default();
        let identity = Identity { vm: settings.vm.clone(), incarnation, key: settings.peer_key.clone() };
        let executor = Executor {
            clock,
            events: events.clone(),
            tasks: tasks.clone(),
            replies: replies.clone(),
            client: HttpClient::default(),
            platform: PlatformAddresses {
                table: settings.table_address,
                objects: settings.object_store_address,
                vm_list: settings.vm_list_address,
            },
            links: PeerLinks::new(identity, tasks.clone()),
            metrics: Metrics::new(settings.metrics_address),
            attempts: executor::new_attempts(),
        };
        let node = Node::new(NodeSettings {
            vm: settings.vm.clone(),
            incarnation,
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
            peer_address: peers,
            caller_address: callers,
            pipelines: settings.pipelines.clone(),
            limits: settings.limits.clone(),
            seed: incarnation.0,
        });
        let caller_context = CallerContext { limits: settings.http, events: events.clone(), replies: replies.clone() };
        let operator_context = OperatorContext {
            limits: settings.http,
            key: settings.operator_key.clone(),
            events: events.clone(),
            replies,
        };
        tasks.spawn(serve_callers(caller_listener, caller_context, tasks.clone()));
        tasks.spawn(serve_operators(operator_listener, operator_context, tasks.clone()));
        tasks.spawn(peer_server::serve(
            peer_listener,
            settings.peer_key.clone(),
            EventInbox(events.clone()),
            tasks.clone(),
        ));
        tasks.spawn(reduce(node, receiver, executor.clone(), end));
        Ok(Self { events, tasks, executor, ended, callers, operators, peers })
    }

    /// Asks the daemon to drain; a second time it ends at once.
    pub async fn terminate(&self) {
        // The channel closes only when the daemon ends.
        self.events.send(Event::Terminate).await.ok();
    }

    /// Waits until the daemon has drained.
    pub async fn wait(&self) {
        self.ended.recv().await.ok();
        async_std::task::sleep(FLUSH_BEFORE_EXIT).await;
        self.tasks.abort_all();
    }

    /// Ends the daemon at once, as if its VM had failed.
    pub fn kill(&self) {
        self.tasks.abort_all();
    }

    /// Value of a counter since the start.
    pub fn counter(&self, counter: Counter) -> u64 {
        self.executor.total(counter)
    }

    /// Bytes and messages sent to other VMs since the start.
    pub fn peer_traffic(&self) -> (u64, u64) {
        let traffic = &self.executor.links.traffic;
        (traffic.bytes.load(Ordering::Relaxed), traffic.messages.load(Ordering::Relaxed))
    }
}

/// Feeds events to the reducer and carries its effects out, until it asks to end.
async fn reduce(mut node: Node, events: Receiver<Event>, executor: Executor, end: Sender<()>) {
    loop {
        let event = next_event(&node, &events, &executor).await;
        for effect in node.handle(executor.clock.now(), event) {
            if !executor.run(effect) {
                end.send(()).await.ok();
                return;
            }
        }
    }
}

async fn next_event(node: &Node, events: &Receiver<Event>, executor: &Executor) -> Event {
    if let Ok(event) = events.try_recv() {
        return event;
    }
    let wake = node.next_wake().map_or(IDLE_WAKE, |at| {
        let due = executor.clock.instant(at);
        due.saturating_duration_since(std::time::Instant::now())
    });
    match timeout(wake, events.recv()).await {
        Ok(Ok(event)) => event,
        Ok(Err(_)) | Err(_) => Event::Tick,
    }
}
