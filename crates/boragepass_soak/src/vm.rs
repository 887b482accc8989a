//! Entry VMs as processes, which are started again when they end.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::ledger::Ledger;
use crate::run::SoakError;
use crate::site::{GRACE_S, Ports};

/// Time until a process that ended is started again.
const RESTART_AFTER: Duration = Duration::from_millis(300);
/// Interval at which processes are looked at.
const LOOK: Duration = Duration::from_millis(50);
/// Time that a start may take until the VM serves: its first read of the store and one interval of heartbeats.
const STARTS_WITHIN: Duration = Duration::from_millis(3_000);

#[derive(Debug)]
struct Process {
    child: Option<Child>,
    stop_asked_at: Option<Instant>,
    killed: bool,
    ended_at: Option<Instant>,
    paused_until: Option<Instant>,
    is_over: bool,
}

/// Entry VM.
#[derive(Debug, Clone)]
pub(crate) struct SoakVm {
    pub(crate) number: usize,
    pub(crate) ports: Ports,
    program: PathBuf,
    folder: PathBuf,
    process: Arc<Mutex<Process>>,
    ledger: Arc<Ledger>,
}

/// Loopback address of a VM and its ports. Each soak process and VM has an address of its own, so that neither another soak
/// nor a client's connection takes a port between the end of a VM and its next start.
pub(crate) fn ports(number: usize) -> Ports {
    let soak = std::process::id();
    let host = Ipv4Addr::new(127, 1 + (soak >> 8 & 0x7f) as u8, soak as u8, 1 + number as u8 % 254);
    let port = |port: u16| SocketAddr::from((host, port));
    Ports {
        clients: port(8_000),
        readiness: port(8_001),
        addresses: port(8_002),
        operators: port(8_003),
        metrics: port(8_004),
        peers: port(8_005),
    }
}

impl SoakVm {
    pub(crate) fn new(number: usize, ports: Ports, program: &Path, folder: &Path, ledger: Arc<Ledger>) -> Self {
        let process = Process {
            child: None,
            stop_asked_at: None,
            killed: false,
            ended_at: None,
            paused_until: None,
            is_over: false,
        };
        Self {
            number,
            ports,
            program: program.to_owned(),
            folder: folder.to_owned(),
            process: Arc::new(Mutex::new(process)),
            ledger,
        }
    }

    fn process(&self) -> MutexGuard<'_, Process> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("entry-{}.ini", self.number))
    }

    pub(crate) fn clients(&self) -> SocketAddr {
        self.ports.clients
    }

    /// Starts the process and looks after it on a thread of its own.
    pub(crate) fn start(&self) -> Result<(), SoakError> {
        self.spawn()?;
        let vm = self.clone();
        std::thread::spawn(move || {
            while !vm.look_after() {
                std::thread::sleep(LOOK);
            }
        });
        Ok(())
    }

    fn spawn(&self) -> Result<(), SoakError> {
        let failed = |source| SoakError::Start { program: self.program.display().to_string(), source };
        let log = self.folder.join(format!("entry-{}.log", self.number));
        let log = File::options().create(true).append(true).open(log).map_err(failed)?;
        let errors = log.try_clone().map_err(failed)?;
        let mut command = Command::new(&self.program);
        command.arg("--settings").arg(self.settings_path()).stdin(Stdio::null()).stdout(log).stderr(errors);
        let child = command.spawn().map_err(failed)?;
        let mut process = self.process();
        process.child = Some(child);
        process.stop_asked_at = None;
        process.killed = false;
        process.ended_at = None;
        Ok(())
    }

    /// Notices the end of the process and starts it again; true once it is over for good.
    fn look_after(&self) -> bool {
        let now = Instant::now();
        let restart = {
            let mut process = self.process();
            if process.paused_until.is_some_and(|until| until <= now) {
                process.paused_until = None;
                signal(&process, Signal::CONT);
            }
            let grace = Duration::from_secs(GRACE_S);
            if process.stop_asked_at.is_some_and(|at| now.duration_since(at) > grace) && !process.killed {
                process.killed = true;
                signal(&process, Signal::KILL);
                if process.paused_until.is_none() {
                    self.ledger.violate(format!("VM {}", self.number), "has not stopped within its grace period");
                }
            }
            let ended = process.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)));
            if ended {
                process.child = None;
                process.ended_at = Some(now);
                if process.stop_asked_at.is_none() && !process.killed {
                    self.ledger.violate(format!("VM {}", self.number), "ended by itself");
                }
            }
            if process.is_over {
                return process.child.is_none();
            }
            process.ended_at.is_some_and(|at| now.duration_since(at) >= RESTART_AFTER)
        };
        if restart && let Err(error) = self.spawn() {
            self.ledger.violate(format!("VM {}", self.number), error);
            return true;
        }
        false
    }

    pub(crate) fn stop(&self) {
        let mut process = self.process();
        if process.child.is_none() || process.stop_asked_at.is_some() {
            return;
        }
        process.stop_asked_at = Some(Instant::now());
        self.ledger.disturb_vm(self.number, Duration::from_secs(GRACE_S) + STARTS_WITHIN, false);
        signal(&process, Signal::TERM);
    }

    pub(crate) fn kill(&self) {
        let mut process = self.process();
        process.killed = true;
        // Noted before the signal, since clients see its effect at once.
        self.ledger.disturb_vm(self.number, STARTS_WITHIN, true);
        signal(&process, Signal::KILL);
    }

    pub(crate) fn pause(&self, ms: u64) {
        let mut process = self.process();
        let span = Duration::from_millis(ms);
        process.paused_until = Some(Instant::now() + span);
        self.ledger.disturb_vm(self.number, span, true);
        signal(&process, Signal::STOP);
    }

    pub(crate) fn reload(&self) {
        signal(&self.process(), Signal::HUP);
    }

    /// Ends the process for good.
    pub(crate) fn end(&self) {
        let mut process = self.process();
        process.is_over = true;
        process.killed = true;
        signal(&process, Signal::KILL);
        if let Some(mut child) = process.child.take() {
            // It has been killed, so that this does not wait.
            child.wait().ok();
        }
    }
}

fn signal(process: &Process, signal: Signal) {
    let pid = process.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
    if let Some(pid) = pid {
        // The process may have ended a moment ago; its end is noticed by `look_after`.
        kill_process(pid, signal).ok();
    }
}
