//! One run: the site is started, the plan is carried out, what was seen is checked.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use boragepass_platform::names;

use crate::clients::Client;
use crate::endpoints::{SoakEndpoint, Work};
use crate::ledger::{Ledger, Summary};
use crate::plan::{CALM_END_MS, Fault, FaultPlan};
use crate::proxy::{LinkMode, Proxy};
use crate::site::{DOMAINS, configuration, settings};
use crate::store::Store;
use crate::vm::{SoakVm, ports};

/// Clients for each VM.
const CLIENTS_PER_VM: usize = 3;
/// Threads that clients share.
const CLIENT_THREADS: usize = 4;
/// Time that a fleet may take until all VMs serve.
const READY_WITHIN: Duration = Duration::from_secs(15);
/// Time between the last fault's end and the requests that must be served again: a stopped VM's grace period and start.
const RECOVERY: Duration = Duration::from_millis(9_500);
const READY_LOOK: Duration = Duration::from_millis(50);

/// Why a run cannot be made.
#[derive(Debug, displaydoc::Display)]
pub enum SoakError {
    /// cannot start {program}: {source}
    Start {
        /// Program.
        program: String,
        /// Cause.
        source: std::io::Error,
    },
    /// cannot write to {path}: {source}
    Write {
        /// Path.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// VM {0} is not ready after 15 s; its log is in the folder of the run
    NotReady(usize),
}

impl std::error::Error for SoakError {}

/// What is run.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// Program of an entry VM.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Seed of the plan and of the clients.
    pub seed: u64,
    /// Length of the run.
    pub run_ms: u64,
    /// Entry VMs.
    pub vm_count: usize,
}

struct Site {
    ledger: Arc<Ledger>,
    store: Store,
    store_links: Vec<Proxy>,
    endpoints: Vec<SoakEndpoint>,
    vms: Vec<SoakVm>,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.vms.iter().for_each(SoakVm::end);
    }
}

/// Plays one seed.
pub fn run(soak: &SoakSettings) -> Result<(FaultPlan, Summary), SoakError> {
    let site = start_site(soak)?;
    let plan = FaultPlan::draw(soak.seed, soak.run_ms, site.vms.len(), site.endpoints.len());
    let is_over = Arc::new(AtomicBool::new(false));
    let started = Instant::now();
    let clients = start_clients(soak, &site, &is_over);
    let mut version = 1;
    for (number, planned) in plan.faults.iter().enumerate() {
        sleep_until(started + Duration::from_millis(planned.at_ms));
        site.apply(planned.fault, number as u64 + 2, &mut version);
    }
    let faults_end = started + Duration::from_millis(soak.run_ms.saturating_sub(CALM_END_MS));
    sleep_until(started + Duration::from_millis(soak.run_ms));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        if client.join().is_err() {
            site.ledger.violate("clients", "a thread of clients panicked");
        }
    }
    Ok((plan, site.ledger.finish(faults_end + RECOVERY)))
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn start_site(soak: &SoakSettings) -> Result<Site, SoakError> {
    let ledger = Arc::new(Ledger::new());
    let store = Store::start();
    store.put(names::CONFIGURATION_TABLE, names::CONFIGURATION_KEY, configuration(1));
    let works = [Work::Plain, Work::Plain, Work::Model, Work::Model, Work::Model, Work::Stage, Work::Stage];
    let endpoints = works.iter().enumerate().map(|(number, work)| {
        let endpoint = SoakEndpoint::start(*work, number, DOMAINS[number % DOMAINS.len()], ledger.clone());
        endpoint.list(&store, false);
        endpoint
    });
    let endpoints = endpoints.collect();
    let written = |path: &PathBuf| {
        let path = path.display().to_string();
        move |source| SoakError::Write { path, source }
    };
    std::fs::create_dir_all(&soak.folder).map_err(written(&soak.folder))?;
    let mut site = Site { ledger, store, store_links: Vec::new(), endpoints, vms: Vec::new() };
    let mut seeds = Vec::new();
    for number in 0..soak.vm_count {
        let ports = ports(number);
        seeds.push(ports.peers);
        let link = Proxy::to(site.store.address);
        let vm = SoakVm::new(number, ports, &soak.program, &soak.folder, site.ledger.clone());
        let text = settings(number, &ports, link.address, &seeds[..seeds.len().min(3)]);
        std::fs::write(vm.settings_path(), text).map_err(written(&vm.settings_path()))?;
        site.store_links.push(link);
        site.vms.push(vm);
    }
    for vm in &site.vms {
        vm.start()?;
    }
    site.wait_ready()?;
    Ok(site)
}

fn start_clients(soak: &SoakSettings, site: &Site, is_over: &Arc<AtomicBool>) -> Vec<std::thread::JoinHandle<()>> {
    let addresses: Vec<_> = site.vms.iter().map(SoakVm::clients).collect();
    let client = |number| Client::new(number, soak.seed, addresses.clone(), site.ledger.clone(), is_over.clone());
    let clients: Vec<Client> = (0..soak.vm_count * CLIENTS_PER_VM).map(client).collect();
    let mut groups: Vec<Vec<Client>> = (0..CLIENT_THREADS).map(|_| Vec::new()).collect();
    for (number, client) in clients.into_iter().enumerate() {
        groups[number % CLIENT_THREADS].push(client);
    }
    let thread = |group: Vec<Client>| {
        std::thread::spawn(move || {
            let clients = group.into_iter().map(|client| task::spawn_local(client.run()));
            task::block_on(async move { futures::future::join_all(clients).await });
        })
    };
    groups.into_iter().map(thread).collect()
}

impl Site {
    fn wait_ready(&self) -> Result<(), SoakError> {
        let until = Instant::now() + READY_WITHIN;
        for vm in &self.vms {
            while !is_ready(vm) {
                if Instant::now() > until {
                    return Err(SoakError::NotReady(vm.number));
                }
                std::thread::sleep(READY_LOOK);
            }
        }
        Ok(())
    }

    fn apply(&self, fault: Fault, number: u64, version: &mut u64) {
        match fault {
            Fault::Stop(vm) => self.vms[vm].stop(),
            Fault::Kill(vm) => self.vms[vm].kill(),
            Fault::Pause(vm, ms) => self.vms[vm].pause(ms),
            Fault::Reload(vm) => self.vms[vm].reload(),
            Fault::StoreLink(vm, mode, ms) => disturb(&self.store_links[vm], mode, ms),
            Fault::EndpointLink(endpoint, mode, ms) => {
                self.ledger.disturb_endpoint(endpoint, Duration::from_millis(ms));
                disturb(&self.endpoints[endpoint].link, mode, ms);
            }
            Fault::StoreAway(ms) => self.store.be_away(ms),
            Fault::StoreSlow(ms) => self.store.be_slow(ms),
            Fault::StoreLoses(ms) => self.store.lose_answers(ms),
            Fault::StoreForgets => self.store.forget(),
            Fault::EndpointLoses(endpoint, ms) => {
                self.ledger.disturb_endpoint(endpoint, Duration::from_millis(ms));
                self.endpoints[endpoint].lose_answers(ms);
            }
            Fault::EndpointFails(endpoint, ms) => self.endpoints[endpoint].fail(ms),
            Fault::EndpointFull(endpoint, ms) => self.endpoints[endpoint].be_full(ms),
            Fault::EndpointDrains(endpoint, ms) => {
                let (endpoint, store) = (self.endpoints[endpoint].clone(), self.store.clone());
                endpoint.list(&store, true);
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(ms));
                    endpoint.start_anew(&store, number);
                });
            }
            Fault::Configure => {
                *version += 3;
                self.store.put(names::CONFIGURATION_TABLE, names::CONFIGURATION_KEY, configuration(*version));
            }
        }
    }
}

/// Makes a link misbehave for a time.
fn disturb(link: &Proxy, mode: LinkMode, ms: u64) {
    link.set(mode);
    let link = link.clone();
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(ms));
        link.set(LinkMode::Pass);
    });
}

/// Whether a VM says that it is ready.
fn is_ready(vm: &SoakVm) -> bool {
    use std::io::{Read, Write};
    let ask = || -> std::io::Result<bool> {
        let mut stream = std::net::TcpStream::connect(vm.ports.readiness)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        write!(stream, "GET {} HTTP/1.1\r\nhost: any\r\nconnection: close\r\n\r\n", names::READINESS_PATH)?;
        let mut head = [0; 12];
        stream.read_exact(&mut head)?;
        Ok(head.ends_with(b"200"))
    };
    // A VM that does not answer yet is not ready.
    ask().unwrap_or(false)
}
