//! One run: starts the VMs and their fakes, injects the planned faults while clients send requests, and checks the
//! ledger.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use boragepass_platform::names;

use crate::clients::Client;
use crate::configurations::Configurations;
use crate::endpoints::{EndpointKind, SoakEndpoint};
use crate::ledger::{Ledger, Summary};
use crate::odd_rows::{ODD_KEYS, odd_entries};
use crate::plan::{FAULT_FREE_END_MS, Fault, FaultPlan};
use crate::proxy::{LinkMode, Proxy};
use crate::site::{DOMAINS, configuration, settings_text};
use crate::store::Store;
use crate::vm::{SoakVm, listen_addresses};

/// Number of clients for each VM.
const CLIENTS_PER_VM: usize = 3;
/// Number of threads that the clients share.
const CLIENT_THREADS: usize = 4;
/// Longest time from the start of the processes until all VMs are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after the last fault from which on requests have to be served: the grace period of a stopped VM and its
/// restart.
const RECOVERY_TIME_MAX: Duration = Duration::from_millis(9_500);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for which a query of a VM waits for the next bytes.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Reason for which a run cannot be carried out.
#[derive(Debug, displaydoc::Display)]
pub enum SoakError {
    /// cannot start {program}: {source}
    Start {
        /// Path of the program.
        program: String,
        /// Cause.
        source: std::io::Error,
    },
    /// cannot write to {path}: {source}
    Write {
        /// Path of the file or folder.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// VM {0} is not ready after 15 s; its log is in the folder of the run
    NotReady(usize),
}

impl std::error::Error for SoakError {}

/// Settings of a run.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// Path of the program that runs as an entry VM.
    pub program: PathBuf,
    /// Program of the build in production, if the run upgrades from it: each VM starts with it, and each restart
    /// switches the VM to the other build.
    pub production: Option<PathBuf>,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Seed of the fault plan and of the clients' random draws.
    pub seed: u64,
    /// Length of the run in milliseconds.
    pub run_ms: u64,
    /// Number of entry VMs.
    pub vm_count: usize,
}

/// VMs under test and the fakes that they work with.
struct Site {
    ledger: Arc<Ledger>,
    store: Store,
    /// Links to the store, by the number of the VM.
    store_links: Vec<Proxy>,
    endpoints: Vec<SoakEndpoint>,
    vms: Vec<SoakVm>,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.vms.iter().for_each(SoakVm::shut_down);
    }
}

/// Runs one seed; returns the faults that were injected and what clients and endpoints observed.
pub fn run(soak: &SoakSettings) -> Result<(FaultPlan, Summary), SoakError> {
    let site = start_site(soak)?;
    let plan = FaultPlan::draw(soak.seed, soak.run_ms, site.vms.len(), site.endpoints.len());
    let is_over = Arc::new(AtomicBool::new(false));
    let started_at = Instant::now();
    let configurations = Arc::new(Configurations::new(plan.clone(), site.vms.clone(), site.ledger.clone(), started_at));
    let clients = start_clients(soak, &site, &is_over, &configurations);
    for (number, planned) in plan.faults.iter().enumerate() {
        sleep_until(started_at + Duration::from_millis(planned.at_ms));
        site.inject(planned.fault, number as u64 + 2, &configurations);
    }
    let faults_end_at = started_at + Duration::from_millis(soak.run_ms.saturating_sub(FAULT_FREE_END_MS));
    sleep_until(started_at + Duration::from_millis(soak.run_ms));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        if client.join().is_err() {
            site.ledger.record_violation("clients", "a thread of clients panicked");
        }
    }
    site.check_configurations(configurations.newest());
    Ok((plan, site.ledger.check_and_summarize(faults_end_at + RECOVERY_TIME_MAX)))
}

/// Version of the configuration that a VM states for itself in a reply with its status; none if it states none.
fn configuration_in(reply: &str) -> Option<u64> {
    let (_, body) = reply.split_once("\r\n\r\n")?;
    let status: serde_json::Value = serde_json::from_str(body).ok()?;
    status["configuration"].as_u64()
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn start_site(soak: &SoakSettings) -> Result<Site, SoakError> {
    let ledger = Arc::new(Ledger::new());
    let store = Store::start();
    store.put_row(names::CONFIGURATION_TABLE, names::CONFIGURATION_KEY, configuration(1));
    let endpoint_kinds = [
        EndpointKind::Plain,
        EndpointKind::Plain,
        EndpointKind::Model,
        EndpointKind::Model,
        EndpointKind::Model,
        EndpointKind::Stage,
        EndpointKind::Stage,
    ];
    let endpoints = endpoint_kinds.iter().enumerate().map(|(number, kind)| {
        let endpoint = SoakEndpoint::start(*kind, number, DOMAINS[number % DOMAINS.len()], ledger.clone());
        endpoint.publish(&store, false);
        endpoint
    });
    let endpoints = endpoints.collect();
    let write_error = |path: &PathBuf| {
        let path = path.display().to_string();
        move |source| SoakError::Write { path, source }
    };
    std::fs::create_dir_all(&soak.folder).map_err(write_error(&soak.folder))?;
    let mut site = Site { ledger, store, store_links: Vec::new(), endpoints, vms: Vec::new() };
    let mut seed_addresses = Vec::new();
    for number in 0..soak.vm_count {
        let listen = listen_addresses(number);
        seed_addresses.push(listen.peers);
        let link = Proxy::to(site.store.address);
        let programs = soak.production.iter().chain([&soak.program]).cloned().collect();
        let vm = SoakVm::new(number, listen, programs, &soak.folder, site.ledger.clone());
        let text = settings_text(number, &listen, link.address, &seed_addresses[..seed_addresses.len().min(3)]);
        std::fs::write(vm.settings_path(), text).map_err(write_error(&vm.settings_path()))?;
        site.store_links.push(link);
        site.vms.push(vm);
    }
    for vm in &site.vms {
        vm.start()?;
    }
    site.wait_ready()?;
    Ok(site)
}

fn start_clients(
    soak: &SoakSettings,
    site: &Site,
    is_over: &Arc<AtomicBool>,
    configurations: &Arc<Configurations>,
) -> Vec<std::thread::JoinHandle<()>> {
    let addresses: Vec<_> = site.vms.iter().map(SoakVm::client_address).collect();
    let new_client = |number| {
        let run = (site.ledger.clone(), is_over.clone(), configurations.clone());
        Client::new(number, soak.seed, addresses.clone(), run)
    };
    let clients: Vec<Client> = (0..soak.vm_count * CLIENTS_PER_VM).map(new_client).collect();
    let mut groups: Vec<Vec<Client>> = (0..CLIENT_THREADS).map(|_| Vec::new()).collect();
    for (number, client) in clients.into_iter().enumerate() {
        groups[number % CLIENT_THREADS].push(client);
    }
    let spawn_group = |group: Vec<Client>| {
        std::thread::spawn(move || {
            let clients = group.into_iter().map(|client| task::spawn_local(client.run()));
            task::block_on(async move { futures::future::join_all(clients).await });
        })
    };
    groups.into_iter().map(spawn_group).collect()
}

impl Site {
    fn wait_ready(&self) -> Result<(), SoakError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for vm in &self.vms {
            while !is_ready(vm) {
                if Instant::now() > deadline {
                    return Err(SoakError::NotReady(vm.number));
                }
                std::thread::sleep(READY_POLL_INTERVAL);
            }
        }
        Ok(())
    }

    /// Checks that every VM has put the newest configuration in force.
    fn check_configurations(&self, version: u64) {
        for vm in &self.vms {
            let status = query(vm.listen.operators, "/v1/status").unwrap_or_else(|error| error.to_string());
            if configuration_in(&status) != Some(version) {
                let description = format!("does not have configuration {version} in force at the end: {status}");
                self.ledger.record_violation(format!("VM {}", vm.number), description);
            }
        }
    }

    /// Injects a fault. `incarnation` makes the id of an endpoint that restarts unique.
    fn inject(&self, fault: Fault, incarnation: u64, configurations: &Configurations) {
        match fault {
            Fault::Stop(vm) => self.vms[vm].stop(),
            Fault::Kill(vm) => self.vms[vm].kill(),
            Fault::KillAll => self.vms.iter().for_each(SoakVm::kill),
            Fault::Pause(vm, ms) => self.vms[vm].pause(ms),
            Fault::Reload(vm) => self.vms[vm].reload(),
            Fault::StoreLink(vm, mode, ms) => disturb_link(&self.store_links[vm], mode, ms),
            Fault::EndpointLink(endpoint, mode, ms) => {
                self.ledger.record_endpoint_disturbance(endpoint, Duration::from_millis(ms));
                disturb_link(&self.endpoints[endpoint].link, mode, ms);
            }
            Fault::StoreAway(ms) => self.store.become_unavailable(ms),
            Fault::StoreSlow(ms) => self.store.slow_down(ms),
            Fault::StoreLoses(ms) => self.store.lose_replies(ms),
            Fault::StoreForgets => self.store.forget_changes(),
            Fault::StoreSilent(ms) => self.store.go_silent(ms),
            Fault::StoreRestored(changes) => self.store.lose_changes(changes),
            Fault::EndpointLoses(endpoint, ms) => {
                self.ledger.record_endpoint_disturbance(endpoint, Duration::from_millis(ms));
                self.endpoints[endpoint].lose_replies(ms);
            }
            Fault::EndpointFails(endpoint, ms) => self.endpoints[endpoint].fail(ms),
            Fault::EndpointFull(endpoint, ms) => self.endpoints[endpoint].become_full(ms),
            Fault::EndpointDrains(endpoint, ms) => {
                let (endpoint, store) = (self.endpoints[endpoint].clone(), self.store.clone());
                endpoint.publish(&store, true);
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(ms));
                    endpoint.restart_with_new_id(&store, incarnation);
                });
            }
            Fault::EndpointLeaves(endpoint, ms) => {
                let (endpoint, store) = (self.endpoints[endpoint].clone(), self.store.clone());
                endpoint.announce_leaving();
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(ms));
                    endpoint.restart(&store);
                });
            }
            Fault::EndpointReturns(endpoint, down_ms, registration_ms) => {
                self.ledger.record_endpoint_disturbance(endpoint, Duration::from_millis(down_ms + registration_ms));
                let (endpoint, store) = (self.endpoints[endpoint].clone(), self.store.clone());
                std::thread::spawn(move || {
                    let registration_delay = Duration::from_millis(registration_ms);
                    endpoint.return_as_other_version(&store, Duration::from_millis(down_ms), registration_delay);
                });
            }
            Fault::EndpointPauses(endpoint, ms, pause_s) => self.endpoints[endpoint].ask_for_pauses(ms, pause_s),
            Fault::EndpointLimits(endpoint, ms, per_s) => {
                let endpoint = self.endpoints[endpoint].clone();
                endpoint.limit_requests(Some(per_s));
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(ms));
                    endpoint.limit_requests(None);
                });
            }
            Fault::PlainEndpointsBrittle(ms, rejections_max) => {
                let endpoints: Vec<_> = self.endpoints.iter().filter(|it| it.is_plain()).cloned().collect();
                let falls = Arc::new(AtomicU32::new(0));
                endpoints.iter().for_each(|endpoint| endpoint.become_brittle(Some(rejections_max), falls.clone()));
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(ms));
                    endpoints.iter().for_each(|endpoint| endpoint.become_brittle(None, Arc::default()));
                });
            }
            Fault::OddEntry(number) => {
                let entries = odd_entries();
                let key = ODD_KEYS[number % ODD_KEYS.len()];
                self.store.put_row(names::ENDPOINT_TABLE, key, entries[number % entries.len()].clone());
            }
            Fault::OverwrittenEntry(endpoint, number, ms) => {
                let entries = odd_entries();
                let (endpoint, store) = (self.endpoints[endpoint].clone(), self.store.clone());
                endpoint.overwrite_entry(&store, entries[number % entries.len()].clone());
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(ms));
                    endpoint.publish(&store, false);
                });
            }
            Fault::Configure => {
                let version = configurations.newest() + 3;
                self.store.put_row(names::CONFIGURATION_TABLE, names::CONFIGURATION_KEY, configuration(version));
                configurations.on_written(version);
            }
        }
    }
}

/// Makes a link misbehave for some milliseconds.
fn disturb_link(link: &Proxy, mode: LinkMode, ms: u64) {
    link.set_mode(mode);
    let link = link.clone();
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(ms));
        link.set_mode(LinkMode::Pass);
    });
}

/// Whether a VM answers a readiness check with status 200.
fn is_ready(vm: &SoakVm) -> bool {
    // A VM whose readiness port does not answer yet is not ready.
    query(vm.listen.readiness, names::READINESS_PATH).is_ok_and(|response| response.starts_with("HTTP/1.1 200"))
}

/// Response to a request on a connection of its own: head and body as text.
fn query(address: SocketAddr, path: &str) -> std::io::Result<String> {
    let mut stream = std::net::TcpStream::connect(address)?;
    stream.set_read_timeout(Some(QUERY_TIMEOUT))?;
    write!(stream, "GET {path} HTTP/1.1\r\nhost: any\r\nconnection: close\r\n\r\n")?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    Ok(response)
}
