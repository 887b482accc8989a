//! The process: its listeners, its signals and its settings.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_std::channel::{Receiver, bounded};
use async_std::net::{TcpListener, UdpSocket};
use async_std::task;
use boragepass_path::{Batching, Event, PathSettings, Record, RequestPath, RetryLimits, VmRecord, VmState};
use boragepass_server::{Clock, Identity, Tasks, new_incarnation};
use boragepass_settings::{EntrySettings, parse_entry};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::driver::Driver;
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::peers::{self, PeerSockets, Peers};
use crate::{address_server, front, small_server, store_feed};

/// Interval at which the settings file is read again, since it may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(3);
/// Interval at which idle connections are looked at.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which gathered log lines are written; what is gathered is lost if the process is killed.
const FLUSH_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the last log lines.
const FLUSH_BEFORE_EXIT: Duration = Duration::from_millis(50);

/// Reason why the process does not start.
#[derive(Debug, displaydoc::Display)]
pub enum StartError {
    /// cannot listen on {address}: {source}
    Listen {
        /// Address of the settings.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// cannot wait for signals: {0}
    Signals(std::io::Error),
    /// metrics: {0}
    Metrics(prometheus::Error),
}

impl std::error::Error for StartError {}

/// Listens, and says where: the system chooses the port where the settings name none.
async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let failed = |source| StartError::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

fn signals() -> Result<Receiver<i32>, StartError> {
    let (sender, receiver) = bounded(16);
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(StartError::Signals)?;
    std::thread::spawn(move || {
        for signal in signals.forever() {
            // A full queue means that the process has been told often enough.
            sender.try_send(signal).ok();
        }
    });
    Ok(receiver)
}

fn path_settings(settings: &EntrySettings, me: &VmRecord) -> PathSettings {
    PathSettings {
        vm: me.vm.clone(),
        incarnation: me.incarnation,
        region: me.region.clone(),
        failure_domain: me.failure_domain.clone(),
        client_address: me.client_address,
        peer_address: me.peer_address,
        processor: me.processor,
        regions: settings.regions.clone(),
        retries: RetryLimits {
            ratio: settings.retry_ratio,
            slack: settings.retry_slack,
            window_ms: settings.retry_window_ms,
        },
        stop_grace_ms: settings.stop_grace_ms,
        batching: Batching::Led,
        seed: me.incarnation.0,
    }
}

/// Runs an entry VM until it is asked to stop and has finished.
pub async fn run(settings_path: PathBuf, settings: EntrySettings) -> Result<(), StartError> {
    let signals = signals()?;
    let incarnation = new_incarnation();
    let (clients, clients_at) = listen(settings.clients).await?;
    let (readiness, readiness_at) = listen(settings.readiness).await?;
    let (addresses, addresses_at) = listen(settings.addresses).await?;
    let (operators, operators_at) = listen(settings.operators).await?;
    let (metrics, metrics_at) = listen(settings.metrics).await?;
    let (listener, address) = listen(settings.peers).await?;
    let datagrams = UdpSocket::bind(address).await.map_err(|source| StartError::Listen { address, source })?;
    let datagrams = Rc::new(datagrams);
    let sockets = PeerSockets { listener, datagrams: datagrams.clone() };
    let me = VmRecord {
        vm: settings.vm.clone(),
        incarnation,
        region: settings.region.clone(),
        failure_domain: settings.failure_domain.clone(),
        client_address: clients_at,
        peer_address: address,
        processor: settings.processor,
        state: VmState::Starting,
    };
    let tasks = Tasks::default();
    let identity = Identity { vm: settings.vm.clone(), incarnation, key: settings.peer_key.clone() };
    let clock = Clock::start();
    let path = RequestPath::new(clock.now(), path_settings(&settings, &me));
    let journal = Journal::new(settings.vm.to_string(), settings.log_lines_per_s);
    let counters = Metrics::new().map_err(StartError::Metrics)?;
    let driver = Driver::new(clock, path, journal, counters, Peers::new(identity, tasks.clone(), datagrams));
    let started = Record::new("started")
        .number("incarnation", incarnation.0)
        .text("clients", clients_at)
        .text("readiness", readiness_at)
        .text("addresses", addresses_at)
        .text("operators", operators_at)
        .text("metrics", metrics_at)
        .text("peers", address);
    driver.record(&started);
    peers::start(&driver, sockets, settings.peer_key.clone(), tasks.clone());
    store_feed::start(&driver, settings.store, me, incarnation.0);
    add_seeds(&driver, &settings);
    task::spawn_local(small_server::serve(readiness, address_server::readiness(driver.clone())));
    task::spawn_local(small_server::serve(addresses, address_server::addresses(driver.clone())));
    task::spawn_local(small_server::serve(operators, address_server::status(driver.clone())));
    task::spawn_local(small_server::serve(metrics, address_server::metrics(driver.clone())));
    task::spawn_local(front::serve(driver.clone(), clients));
    task::spawn_local(driver.clone().run_timers());
    task::spawn_local(sweep(driver.clone()));
    task::spawn_local(flush_journal(driver.clone()));
    task::spawn_local(watch_signals(driver.clone(), signals, settings_path.clone()));
    task::spawn_local(watch_settings(driver.clone(), settings_path));
    driver.wait_for_exit().await;
    driver.record(&Record::new("ended"));
    driver.journal.flush();
    task::sleep(FLUSH_BEFORE_EXIT).await;
    tasks.abort_all();
    Ok(())
}

/// Seeds name the operators' address of other VMs; they listen for VMs on the same port as this one.
fn add_seeds(driver: &Rc<Driver>, settings: &EntrySettings) {
    let seeds = settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), settings.peers.port())).collect();
    driver.dispatch(Event::SeedsListed(seeds));
}

async fn flush_journal(driver: Rc<Driver>) {
    loop {
        driver.journal.flush();
        task::sleep(FLUSH_INTERVAL).await;
    }
}

async fn sweep(driver: Rc<Driver>) {
    loop {
        task::sleep(SWEEP_INTERVAL).await;
        driver.connections.sweep();
    }
}

async fn watch_signals(driver: Rc<Driver>, signals: Receiver<i32>, path: PathBuf) {
    while let Ok(signal) = signals.recv().await {
        match signal {
            SIGHUP => reload(&driver, &path),
            _ => driver.dispatch(Event::Terminate),
        }
    }
}

async fn watch_settings(driver: Rc<Driver>, path: PathBuf) {
    let mut known = std::fs::read(&path).ok();
    loop {
        task::sleep(SETTINGS_INTERVAL).await;
        let now = std::fs::read(&path).ok();
        if now != known {
            known = now;
            reload(&driver, &path);
        }
    }
}

/// Reads the settings again. Addresses stay as they are until the next start.
fn reload(driver: &Rc<Driver>, path: &std::path::Path) {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string());
    let settings = text.and_then(|text| parse_entry(&name, &text).map_err(|findings| findings.to_string()));
    match settings {
        Ok(settings) => {
            driver.record(&Record::new("settings read again").number("seeds", settings.seeds.len()));
            add_seeds(driver, &settings);
        }
        Err(error) => driver.record(&Record::new("settings not read, the earlier ones hold").text("reason", error)),
    }
}
