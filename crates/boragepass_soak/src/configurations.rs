//! Configurations over the run: each version has a route that no other has, so that an answer on it shows which version a VM
//! has in force. Checks that versions are in force in time, never taken back, and that their routes are served.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::ledger::{Ending, Ledger};
use crate::plan::FaultPlan;
use crate::vm::SoakVm;

/// Time after which a version has to be in force at a VM in touch, as the users' smaller sites state it.
const APPLY_TIME: Duration = Duration::from_millis(2_500);
/// Time from the first effect of a version at a VM from which that VM handles nothing by an older one.
const DOWNGRADE_TIME: Duration = Duration::from_millis(250);
/// Time without a disturbance after which a VM is in touch.
const CONTACT_TIME: Duration = Duration::from_millis(4_000);

/// Number of a VM and of the start of its process.
type ProcessKey = (usize, usize);

/// Request on the route of a version.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VersionProbe {
    pub(crate) version: u64,
    process: ProcessKey,
    sent_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    /// Versions with the time of their confirmation, in order.
    written: Vec<(u64, Instant)>,
    /// Newest version whose route a process has served, and since when that is known.
    shown: HashMap<ProcessKey, (u64, Instant)>,
}

/// Configurations of a run and what VMs have shown of them.
pub(crate) struct Configurations {
    started_at: Instant,
    plan: FaultPlan,
    vms: Vec<SoakVm>,
    ledger: Arc<Ledger>,
    state: Mutex<State>,
}

impl Configurations {
    pub(crate) fn new(plan: FaultPlan, vms: Vec<SoakVm>, ledger: Arc<Ledger>, started_at: Instant) -> Self {
        let state = State { written: vec![(1, started_at)], ..State::default() };
        Self { started_at, plan, vms, ledger, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the store has confirmed a version.
    pub(crate) fn on_written(&self, version: u64) {
        self.state().written.push((version, Instant::now()));
    }

    /// Newest version.
    pub(crate) fn newest(&self) -> u64 {
        self.state().written.last().map_or(1, |(version, _)| *version)
    }

    /// Begins a request to a VM on the route of the newest version, or of the one before.
    pub(crate) fn probe(&self, vm: usize, is_newest: bool) -> VersionProbe {
        let state = self.state();
        let index = state.written.len().saturating_sub(if is_newest { 1 } else { 2 });
        let version = state.written.get(index).map_or(1, |(version, _)| *version);
        VersionProbe { version, process: (vm, self.vms[vm].start_count()), sent_at: Instant::now() }
    }

    /// Checks how a request was handled.
    pub(crate) fn check(&self, client_id: &str, probe: VersionProbe, ending: &Ending) {
        // A request that met a restart may have reached either process.
        if self.vms[probe.process.0].start_count() != probe.process.1 {
            return;
        }
        let mut state = self.state();
        let shown = state.shown.get(&probe.process).copied();
        let is_shown_before = |(_, since): &(u64, Instant)| probe.sent_at > *since + DOWNGRADE_TIME;
        let shown_version = shown.filter(is_shown_before).map_or(0, |(version, _)| version);
        let newest = state.written.last().copied();
        let problem = match ending {
            Ending::Answered if shown_version > probe.version => Some("served by an older configuration than before"),
            Ending::Status(404) if newest.is_some_and(|(version, _)| version == probe.version) => {
                let due_at = newest.map(|(_, written_at)| written_at + APPLY_TIME);
                let is_due = due_at.is_some_and(|due_at| probe.sent_at > due_at) && self.is_in_touch(&probe);
                if shown_version == probe.version {
                    Some("no longer served after it was")
                } else {
                    is_due.then_some("not served in time")
                }
            }
            _ => None,
        };
        if *ending == Ending::Answered && shown.is_none_or(|(version, _)| version < probe.version) {
            state.shown.insert(probe.process, (probe.version, Instant::now()));
        }
        drop(state);
        if let Some(problem) = problem {
            let (vm, start) = probe.process;
            let description = format!("route of configuration {}, VM {vm}, start {start}: {problem}", probe.version);
            self.ledger.record_violation(client_id, description);
        }
    }

    /// Whether no fault has disturbed the VM or the store from a while before the request until now.
    fn is_in_touch(&self, probe: &VersionProbe) -> bool {
        let from = probe.sent_at.saturating_duration_since(self.started_at).saturating_sub(CONTACT_TIME);
        let disturbances = self.plan.faults.iter().filter_map(|planned| {
            let duration_ms = planned.fault.disturbs_vm_for_ms(probe.process.0)?;
            let began = Duration::from_millis(planned.at_ms);
            Some((began, began + Duration::from_millis(duration_ms)))
        });
        let until = self.started_at.elapsed();
        disturbances.into_iter().all(|(began, ended)| ended < from || began > until)
    }
}
