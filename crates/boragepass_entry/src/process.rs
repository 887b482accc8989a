//! Starts and stops the process: its listeners, its signals, and its settings file, which is read again
//! when it changes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_std::channel::{Receiver, bounded};
use async_std::net::{TcpListener, UdpSocket};
use async_std::task;
use boragepass_path::{Batching, ColdBounds, Event, PathSettings, Record, RequestPath, RetryLimits, VmRecord, VmState};
use boragepass_server::{Clock, Identity, Tasks, new_incarnation};
use boragepass_settings::{EntrySettings, parse_entry_settings};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::client_server::RequestSource;
use crate::driver::Driver;
use crate::json_log::JsonLog;
use crate::memory_budget::MemoryBudget;
use crate::metrics::Metrics;
use crate::peers::{self, PeerSockets, Peers};
use crate::{client_server, entry_reads, page_server, pages, store_feed, stream_version_rows, version_rows};

/// Interval at which the settings file is compared with what was read last, since it may change without
/// a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(3);
/// Interval at which idle connections that expired are closed.
const IDLE_CONNECTION_SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which shortages of memory are logged.
const BUDGET_WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which buffered log lines are written; lines in the buffer are lost if the process is killed.
const LOG_FLUSH_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the writer thread to write the last log lines.
const FINAL_LOG_FLUSH_WAIT: Duration = Duration::from_millis(50);

/// Why the process does not start.
#[derive(Debug, displaydoc::Display)]
pub enum StartError {
    /// cannot listen on {address}: {source}
    Listen {
        /// Address that the settings name.
        address: SocketAddr,
        /// Error of the system.
        source: std::io::Error,
    },
    /// cannot wait for signals: {0}
    Signals(std::io::Error),
    /// cannot register the metrics: {0}
    Metrics(prometheus::Error),
}

impl std::error::Error for StartError {}

/// Binds a listener and returns its address: for port 0 the system chooses the port.
async fn bind_listener(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let listen_error = |source| StartError::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(listen_error)?;
    let bound_address = listener.local_addr().map_err(listen_error)?;
    Ok((listener, bound_address))
}

fn signal_receiver() -> Result<Receiver<i32>, StartError> {
    let (sender, receiver) = bounded(16);
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(StartError::Signals)?;
    std::thread::spawn(move || {
        for signal in signals.forever() {
            // If the queue is full, the signal is dropped; 16 earlier ones have yet to be handled.
            sender.try_send(signal).ok();
        }
    });
    Ok(receiver)
}

fn path_settings(settings: &EntrySettings, local_record: &VmRecord) -> PathSettings {
    PathSettings {
        vm: local_record.vm.clone(),
        incarnation: local_record.incarnation,
        region: local_record.region.clone(),
        failure_domain: local_record.failure_domain.clone(),
        client_address: local_record.client_address,
        peer_address: local_record.peer_address,
        relay_address: local_record.relay_address,
        processor: local_record.processor,
        regions: settings.domain_regions.clone(),
        cold_bounds: ColdBounds { overage: settings.cold_overage, slack: settings.cold_slack },
        retries: RetryLimits {
            ratio: settings.retry_ratio,
            slack: settings.retry_slack,
            window_ms: settings.retry_window_ms,
        },
        stop_grace_ms: settings.stop_grace_ms,
        batching: Batching::Led,
        seed: local_record.incarnation.0,
    }
}

/// Runs an entry VM until it is asked to stop and has drained.
pub async fn run(settings_path: PathBuf, settings: EntrySettings) -> Result<(), StartError> {
    let signals = signal_receiver()?;
    let incarnation = new_incarnation();
    let (client_listener, client_address) = bind_listener(settings.client_address).await?;
    let (readiness_listener, readiness_address) = bind_listener(settings.readiness_address).await?;
    let (resolver_listener, resolver_address) = bind_listener(settings.resolver_address).await?;
    let (operator_listener, operator_address) = bind_listener(settings.operator_address).await?;
    let (metrics_listener, metrics_address) = bind_listener(settings.metrics_address).await?;
    let (peer_listener, peer_address) = bind_listener(settings.peer_address).await?;
    let (relay_listener, relay_address) = bind_listener(settings.relay_address).await?;
    let datagrams =
        UdpSocket::bind(peer_address).await.map_err(|source| StartError::Listen { address: peer_address, source })?;
    let datagrams = Rc::new(datagrams);
    let sockets = PeerSockets { listener: peer_listener, datagrams: datagrams.clone() };
    let local_record = VmRecord {
        vm: settings.vm.clone(),
        incarnation,
        region: settings.region.clone(),
        failure_domain: settings.failure_domain.clone(),
        client_address,
        peer_address,
        relay_address,
        processor: settings.processor,
        state: VmState::Starting,
    };
    let tasks = Tasks::default();
    let identity = Identity { vm: settings.vm.clone(), incarnation, key: settings.peer_key.clone() };
    let clock = Clock::start();
    let path = RequestPath::new(clock.now(), path_settings(&settings, &local_record));
    let log = JsonLog::new(settings.vm.to_string(), settings.log_lines_per_s);
    let metrics = Metrics::new().map_err(StartError::Metrics)?;
    let budget = MemoryBudget::new(settings.memory);
    let peers = Peers::new(identity, tasks.clone(), datagrams);
    let driver = Driver::new(clock, path, log, metrics, peers, budget);
    let started = Record::new("started")
        .number("incarnation", incarnation.0)
        .text("clients", client_address)
        .text("readiness", readiness_address)
        .text("addresses", resolver_address)
        .text("operators", operator_address)
        .text("metrics", metrics_address)
        .text("peers", peer_address)
        .text("relays", relay_address);
    driver.record(&started);
    record_settings(&driver, &settings, "settings in force");
    peers::start(&driver, sockets, settings.peer_key.clone(), tasks.clone());
    store_feed::start(&driver, settings.store_address, settings.store_recovery_ms, local_record, incarnation.0);
    version_rows::start(&driver, settings.store_address, incarnation.0);
    stream_version_rows::start(&driver, settings.store_address);
    entry_reads::start(&driver, settings.store_address);
    update_seeds(&driver, &settings);
    task::spawn_local(page_server::serve(driver.clone(), readiness_listener, pages::readiness(driver.clone())));
    task::spawn_local(page_server::serve(driver.clone(), resolver_listener, pages::addresses(driver.clone())));
    task::spawn_local(page_server::serve(driver.clone(), operator_listener, pages::status(driver.clone())));
    task::spawn_local(page_server::serve(driver.clone(), metrics_listener, pages::metrics(driver.clone())));
    task::spawn_local(client_server::serve(driver.clone(), client_listener, RequestSource::Client));
    task::spawn_local(client_server::serve(driver.clone(), relay_listener, RequestSource::OtherVm));
    task::spawn_local(driver.clone().run_timers());
    task::spawn_local(sweep_idle_connections(driver.clone()));
    task::spawn_local(watch_budget(driver.clone()));
    task::spawn_local(flush_log(driver.clone()));
    task::spawn_local(watch_signals(driver.clone(), signals, settings_path.clone()));
    task::spawn_local(watch_settings(driver.clone(), settings_path));
    driver.wait_for_exit().await;
    driver.record(&Record::new("ended"));
    driver.log.flush();
    task::sleep(FINAL_LOG_FLUSH_WAIT).await;
    tasks.abort_all();
    Ok(())
}

/// Passes the seeds on to the request path. The settings name the operators' addresses of other VMs, which
/// listen for peers on the same port as this VM.
fn update_seeds(driver: &Rc<Driver>, settings: &EntrySettings) {
    let seeds =
        settings.seed_addresses.iter().map(|seed| SocketAddr::new(seed.ip(), settings.peer_address.port())).collect();
    driver.dispatch(Event::SeedsListed(seeds));
}

async fn flush_log(driver: Rc<Driver>) {
    loop {
        driver.log.flush();
        task::sleep(LOG_FLUSH_INTERVAL).await;
    }
}

async fn sweep_idle_connections(driver: Rc<Driver>) {
    loop {
        task::sleep(IDLE_CONNECTION_SWEEP_INTERVAL).await;
        driver.connections.close_expired();
    }
}

/// Records shortages of the memory for what this VM holds for others.
async fn watch_budget(driver: Rc<Driver>) {
    let mut known = driver.budget.shortages();
    loop {
        task::sleep(BUDGET_WATCH_INTERVAL).await;
        let (closed, refused) = driver.budget.shortages();
        if (closed, refused) != known {
            let record = Record::new("memory for clients and endpoints was spent")
                .number("closed_connections", closed - known.0)
                .number("refused", refused - known.1)
                .number("held_bytes", driver.budget.used_bytes())
                .number("limit_bytes", driver.budget.limit_bytes());
            driver.record(&record);
            known = (closed, refused);
        }
    }
}

async fn watch_signals(driver: Rc<Driver>, signals: Receiver<i32>, path: PathBuf) {
    while let Ok(signal) = signals.recv().await {
        match signal {
            SIGHUP => reload_settings(&driver, &path),
            _ => driver.dispatch(Event::Terminate),
        }
    }
}

async fn watch_settings(driver: Rc<Driver>, path: PathBuf) {
    let mut last_contents = std::fs::read(&path).ok();
    loop {
        task::sleep(SETTINGS_POLL_INTERVAL).await;
        let contents = std::fs::read(&path).ok();
        if contents != last_contents {
            last_contents = contents;
            reload_settings(&driver, &path);
        }
    }
}

/// Records the settings that are in force.
fn record_settings(driver: &Rc<Driver>, settings: &EntrySettings, what: &'static str) {
    let record = Record::new(what).text("digest", settings.digest).number("seeds", settings.seed_addresses.len());
    driver.record(&record.text("unknown_keys", settings.unknown_keys.join(",")));
    driver.dispatch(Event::SettingsRead(settings.digest));
}

/// Reads the settings again, of which only the seeds take effect before the next start.
fn reload_settings(driver: &Rc<Driver>, path: &std::path::Path) {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string());
    let settings = text.and_then(|text| parse_entry_settings(&name, &text).map_err(|findings| findings.to_string()));
    match settings {
        Ok(settings) => {
            record_settings(driver, &settings, "settings read again");
            driver.last_settings_error.replace(None);
            update_seeds(driver, &settings);
        }
        Err(error) => {
            driver.record(&Record::new("settings not read, the earlier ones hold").text("reason", &error));
            driver.last_settings_error.replace(Some(error));
        }
    }
}
