//! Entry VMs as processes. A supervisor thread for each VM restarts it whenever it exits, and reports an exit that no
//! fault explains.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::ledger::Ledger;
use crate::run::SoakError;
use crate::site::{GRACE_S, ListenAddresses};

/// Delay between the exit of a process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Interval at which a supervisor thread checks its process.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time from the start of a process until the VM serves: its first read of the store and one heartbeat
/// interval.
const START_TIME_MAX: Duration = Duration::from_millis(3_000);

#[derive(Debug)]
struct Process {
    child: Option<Child>,
    start_count: usize,
    stop_requested_at: Option<Instant>,
    is_killed: bool,
    exited_at: Option<Instant>,
    paused_until: Option<Instant>,
    is_shut_down: bool,
}

/// Entry VM, which is restarted as a new process.
#[derive(Debug, Clone)]
pub(crate) struct SoakVm {
    pub(crate) number: usize,
    pub(crate) listen: ListenAddresses,
    /// Programs that its starts run in turn.
    programs: Vec<PathBuf>,
    folder: PathBuf,
    process: Arc<Mutex<Process>>,
    ledger: Arc<Ledger>,
}

/// Loopback addresses that a VM listens on. Each VM of each soak process has an IP address of its own, so that neither
/// another soak nor a client's connection can take a port between the exit of a VM and its restart.
pub(crate) fn listen_addresses(number: usize) -> ListenAddresses {
    let process_id = std::process::id();
    let ip = Ipv4Addr::new(127, 1 + (process_id >> 8 & 0x7f) as u8, process_id as u8, 1 + number as u8 % 254);
    let port = |port: u16| SocketAddr::from((ip, port));
    ListenAddresses {
        clients: port(8_000),
        readiness: port(8_001),
        addresses: port(8_002),
        operators: port(8_003),
        metrics: port(8_004),
        peers: port(8_005),
        relays: port(8_006),
    }
}

impl SoakVm {
    /// Number of starts of its process so far.
    pub(crate) fn start_count(&self) -> usize {
        self.process().start_count
    }

    pub(crate) fn new(
        number: usize,
        listen: ListenAddresses,
        programs: Vec<PathBuf>,
        folder: &Path,
        ledger: Arc<Ledger>,
    ) -> Self {
        let process = Process {
            child: None,
            start_count: 0,
            stop_requested_at: None,
            is_killed: false,
            exited_at: None,
            paused_until: None,
            is_shut_down: false,
        };
        Self { number, listen, programs, folder: folder.to_owned(), process: Arc::new(Mutex::new(process)), ledger }
    }

    fn process(&self) -> MutexGuard<'_, Process> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("entry-{}.ini", self.number))
    }

    pub(crate) fn client_address(&self) -> SocketAddr {
        self.listen.clients
    }

    /// Starts the process and a thread that supervises it.
    pub(crate) fn start(&self) -> Result<(), SoakError> {
        self.spawn()?;
        let vm = self.clone();
        std::thread::spawn(move || {
            while !vm.supervise() {
                std::thread::sleep(SUPERVISION_INTERVAL);
            }
        });
        Ok(())
    }

    fn spawn(&self) -> Result<(), SoakError> {
        let program = &self.programs[self.process().start_count % self.programs.len()];
        let start_error = |source| SoakError::Start { program: program.display().to_string(), source };
        let log_path = self.folder.join(format!("entry-{}.log", self.number));
        let log = File::options().create(true).append(true).open(log_path).map_err(start_error)?;
        let stderr_log = log.try_clone().map_err(start_error)?;
        let mut command = Command::new(program);
        command.arg("--settings").arg(self.settings_path()).stdin(Stdio::null()).stdout(log).stderr(stderr_log);
        let child = command.spawn().map_err(start_error)?;
        let mut process = self.process();
        process.child = Some(child);
        process.start_count += 1;
        process.stop_requested_at = None;
        process.is_killed = false;
        process.exited_at = None;
        Ok(())
    }

    /// Checks the process once: resumes it after a pause, kills it if it outlives its grace period, and restarts it if
    /// it has exited. Returns true once it needs no more supervision.
    fn supervise(&self) -> bool {
        let now = Instant::now();
        let must_restart = {
            let mut process = self.process();
            if process.paused_until.is_some_and(|until| until <= now) {
                process.paused_until = None;
                send_signal(&process, Signal::CONT);
            }
            let grace = Duration::from_secs(GRACE_S);
            if process.stop_requested_at.is_some_and(|at| now.duration_since(at) > grace) && !process.is_killed {
                process.is_killed = true;
                send_signal(&process, Signal::KILL);
                if process.paused_until.is_none() {
                    self.ledger.record_violation(
                        format!("VM {}", self.number),
                        "did not exit within its grace period after SIGTERM",
                    );
                }
            }
            let has_exited = process.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)));
            if has_exited {
                process.child = None;
                process.exited_at = Some(now);
                if process.stop_requested_at.is_none() && !process.is_killed {
                    self.ledger.record_violation(format!("VM {}", self.number), "exited without having been asked to");
                }
            }
            if process.is_shut_down {
                return process.child.is_none();
            }
            process.exited_at.is_some_and(|at| now.duration_since(at) >= RESTART_DELAY)
        };
        if must_restart && let Err(error) = self.spawn() {
            self.ledger.record_violation(format!("VM {}", self.number), error);
            return true;
        }
        false
    }

    /// Sends SIGTERM, unless the VM is down or already stopping.
    pub(crate) fn stop(&self) {
        let mut process = self.process();
        if process.child.is_none() || process.stop_requested_at.is_some() {
            return;
        }
        process.stop_requested_at = Some(Instant::now());
        self.ledger.record_vm_disturbance(self.number, Duration::from_secs(GRACE_S) + START_TIME_MAX, false);
        send_signal(&process, Signal::TERM);
    }

    pub(crate) fn kill(&self) {
        let mut process = self.process();
        process.is_killed = true;
        // Recorded before the signal: clients may see its effect at once, and report an ending that is then not yet
        // excused.
        self.ledger.record_vm_disturbance(self.number, START_TIME_MAX, true);
        send_signal(&process, Signal::KILL);
    }

    pub(crate) fn pause(&self, ms: u64) {
        let mut process = self.process();
        let duration = Duration::from_millis(ms);
        process.paused_until = Some(Instant::now() + duration);
        self.ledger.record_vm_disturbance(self.number, duration, true);
        send_signal(&process, Signal::STOP);
    }

    pub(crate) fn reload(&self) {
        send_signal(&self.process(), Signal::HUP);
    }

    /// Kills the process and disables its restart.
    pub(crate) fn shut_down(&self) {
        let mut process = self.process();
        process.is_shut_down = true;
        process.is_killed = true;
        send_signal(&process, Signal::KILL);
        if let Some(mut child) = process.child.take() {
            // Returns at once, since the process has been killed.
            child.wait().ok();
        }
    }
}

fn send_signal(process: &Process, signal: Signal) {
    let pid = process.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
    if let Some(pid) = pid {
        // The process may just have exited, which `supervise` detects.
        kill_process(pid, signal).ok();
    }
}
