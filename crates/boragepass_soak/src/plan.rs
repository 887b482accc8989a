//! Which faults come when, drawn from a seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::proxy::LinkMode;

/// Fault from outside the VMs.
#[derive(Debug, Clone, Copy, PartialEq, derive_more::Display)]
pub enum Fault {
    /// A VM is asked to stop; it is killed after its grace period and started again.
    #[display("VM {_0} is asked to stop")]
    Stop(usize),
    /// A VM is killed and started again.
    #[display("VM {_0} is killed")]
    Kill(usize),
    /// A VM stands still for some milliseconds.
    #[display("VM {_0} stands still for {_1} ms")]
    Pause(usize, u64),
    /// A VM's settings are announced as changed.
    #[display("VM {_0} reads its settings again")]
    Reload(usize),
    /// The link of a VM to the store, for some milliseconds.
    #[display("link of VM {_0} to the store {_1} for {_2} ms")]
    StoreLink(usize, LinkMode, u64),
    /// The link to an endpoint, for some milliseconds.
    #[display("link to endpoint {_0} {_1} for {_2} ms")]
    EndpointLink(usize, LinkMode, u64),
    /// The store answers nobody, for some milliseconds.
    #[display("store is away for {_0} ms")]
    StoreAway(u64),
    /// The store takes its time, for some milliseconds.
    #[display("store is slow for {_0} ms")]
    StoreSlow(u64),
    /// The store loses answers, for some milliseconds.
    #[display("store loses answers for {_0} ms")]
    StoreLoses(u64),
    /// The store forgets its history.
    #[display("store forgets its history")]
    StoreForgets,
    /// An endpoint runs requests and loses their answers, for some milliseconds.
    #[display("endpoint {_0} loses answers for {_1} ms")]
    EndpointLoses(usize, u64),
    /// An endpoint answers with errors, for some milliseconds.
    #[display("endpoint {_0} fails for {_1} ms")]
    EndpointFails(usize, u64),
    /// An endpoint turns requests away as full, for some milliseconds.
    #[display("endpoint {_0} is full for {_1} ms")]
    EndpointFull(usize, u64),
    /// An endpoint leaves and comes back after some milliseconds.
    #[display("endpoint {_0} drains for {_1} ms")]
    EndpointDrains(usize, u64),
    /// The operators write a new configuration.
    #[display("configuration changes")]
    Configure,
}

/// Fault at a time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedFault {
    /// Milliseconds since the first request.
    pub at_ms: u64,
    /// What happens.
    pub fault: Fault,
}

/// All faults of a run, in order.
#[derive(Debug, Clone, PartialEq)]
pub struct FaultPlan {
    /// Steps by time.
    pub faults: Vec<PlannedFault>,
}

/// Time without faults at the start, in which the fleet settles.
const CALM_START_MS: u64 = 1_000;
/// Time without faults at the end, in which everything has to recover: a stopped VM's grace period and its start.
pub(crate) const CALM_END_MS: u64 = 12_000;
/// Faults of a series.
const SERIES_MAX: usize = 4;

impl FaultPlan {
    /// Series of faults that overlap, for a run of some milliseconds.
    pub fn draw(seed: u64, run_ms: u64, vms: usize, endpoints: usize) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let end_ms = run_ms.saturating_sub(CALM_END_MS).max(CALM_START_MS + 1);
        let mut faults = Vec::new();
        // One series in two seconds on average, so that two or three are under way at any time.
        for _ in 0..(end_ms / 2_000).max(2) {
            let mut at_ms = random.random_range(CALM_START_MS..end_ms);
            for _ in 0..random.random_range(1..=SERIES_MAX) {
                if at_ms < end_ms {
                    faults.push(PlannedFault { at_ms, fault: fault(&mut random, vms, endpoints) });
                }
                at_ms += random.random_range(0..1_500);
            }
        }
        faults.sort_by_key(|planned| planned.at_ms);
        Self { faults }
    }
}

fn link_mode(random: &mut SmallRng) -> LinkMode {
    match random.random_range(0..5) {
        0 => LinkMode::Delay(random.random_range(20..400)),
        1 => LinkMode::Reset,
        2 => LinkMode::CutTowards,
        3 => LinkMode::CutFrom,
        _ => LinkMode::SilenceOpen,
    }
}

fn fault(random: &mut SmallRng, vms: usize, endpoints: usize) -> Fault {
    let (vm, endpoint) = (random.random_range(0..vms), random.random_range(0..endpoints));
    let for_ms = random.random_range(200..4_000);
    match random.random_range(0..16) {
        0 | 1 => Fault::Stop(vm),
        2 => Fault::Kill(vm),
        3 => Fault::Pause(vm, for_ms),
        4 => Fault::Reload(vm),
        5 => Fault::StoreLink(vm, link_mode(random), for_ms),
        6 | 7 => Fault::EndpointLink(endpoint, link_mode(random), for_ms),
        8 => Fault::StoreAway(for_ms),
        9 => Fault::StoreSlow(for_ms),
        10 => Fault::StoreLoses(for_ms),
        11 => Fault::StoreForgets,
        12 => Fault::EndpointLoses(endpoint, for_ms),
        13 => {
            if random.random() {
                Fault::EndpointFails(endpoint, for_ms)
            } else {
                Fault::EndpointFull(endpoint, for_ms)
            }
        }
        14 => Fault::EndpointDrains(endpoint, for_ms + 3_000),
        _ => Fault::Configure,
    }
}
