//! Start, run and end of a daemon: its listeners, its reducer and its exit.

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
use crate::replies::PendingReplies;
use crate::tasks::Tasks;
use crate::{executor, peer_server};

const EVENT_QUEUE_LEN_MAX: usize = 65_536;
/// Time without an event after which the reducer gets a tick if it has no timer.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for queued replies and messages to be sent before the tasks are aborted.
const FLUSH_TIME_BEFORE_EXIT: Duration = Duration::from_millis(200);

/// Why a daemon could not start.
#[derive(Debug, displaydoc::Display)]
pub enum StartError {
    /// cannot listen on {address}: {source}
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

impl std::error::Error for StartError {}

/// Running daemon.
pub struct Daemon {
    events: Sender<Event>,
    tasks: Tasks,
    executor: Executor,
    exit_receiver: Receiver<()>,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that operators connect to.
    pub operator_address: SocketAddr,
    /// Address that other VMs connect to.
    pub peer_address: SocketAddr,
}

/// Opens a listener; the returned address has the port that the system chose if `address` has port 0.
async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let listener = TcpListener::bind(address).await.map_err(|source| StartError::Listen { address, source })?;
    let bound = listener.local_addr().map_err(|source| StartError::Listen { address, source })?;
    Ok((listener, bound))
}

impl Daemon {
    /// Opens the listeners and starts the reducer.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let (caller_listener, caller_address) = listen(settings.caller_address).await?;
        let (operator_listener, operator_address) = listen(settings.operator_address).await?;
        let (peer_listener, peer_address) = listen(settings.peer_address).await?;
        let clock = Clock::start();
        let incarnation = new_incarnation();
        let (events, event_receiver) = bounded(EVENT_QUEUE_LEN_MAX);
        let (exit_sender, exit_receiver) = bounded(1);
        let tasks = Tasks::default();
        let replies = PendingReplies::default();
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
            running_attempts: executor::new_running_attempts(),
        };
        let node = Node::new(NodeSettings {
            vm: settings.vm.clone(),
            incarnation,
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
            peer_address,
            caller_address,
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
        tasks.spawn(run_reducer(node, event_receiver, executor.clone(), exit_sender));
        Ok(Self { events, tasks, executor, exit_receiver, caller_address, operator_address, peer_address })
    }

    /// Asks the daemon to drain and exit; a second call makes it exit at once.
    pub async fn terminate(&self) {
        // Fails only if the daemon has ended.
        self.events.send(Event::Terminate).await.ok();
    }

    /// Waits until the reducer asks to exit, then aborts all tasks.
    pub async fn wait(&self) {
        self.exit_receiver.recv().await.ok();
        async_std::task::sleep(FLUSH_TIME_BEFORE_EXIT).await;
        self.tasks.abort_all();
    }

    /// Aborts all tasks without draining, as if the VM had failed.
    pub fn kill(&self) {
        self.tasks.abort_all();
    }

    /// Total of a counter since the start.
    pub fn counter(&self, counter: Counter) -> u64 {
        self.executor.total(counter)
    }

    /// Bytes and messages queued for other VMs since the start.
    pub fn peer_traffic(&self) -> (u64, u64) {
        let traffic = &self.executor.links.traffic;
        (traffic.bytes.load(Ordering::Relaxed), traffic.messages.load(Ordering::Relaxed))
    }
}

/// Passes events to the reducer and executes its effects, until it asks to exit.
async fn run_reducer(mut node: Node, events: Receiver<Event>, executor: Executor, exit_sender: Sender<()>) {
    loop {
        let event = next_event(&node, &events, &executor).await;
        for effect in node.handle(executor.clock.now(), event) {
            if !executor.execute(effect) {
                exit_sender.send(()).await.ok();
                return;
            }
        }
    }
}

/// Next event, or a tick once the reducer's next timer is due (without a timer, after
/// [`IDLE_TICK_INTERVAL`]).
async fn next_event(node: &Node, events: &Receiver<Event>, executor: &Executor) -> Event {
    if let Ok(event) = events.try_recv() {
        return event;
    }
    let wait_time = node.next_wake().map_or(IDLE_TICK_INTERVAL, |at| {
        let due_at = executor.clock.instant(at);
        due_at.saturating_duration_since(std::time::Instant::now())
    });
    match timeout(wait_time, events.recv()).await {
        Ok(Ok(event)) => event,
        Ok(Err(_)) | Err(_) => Event::Tick,
    }
}
