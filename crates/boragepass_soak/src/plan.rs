//! Schedule of faults for a run, drawn from a seed.
//!
//! The same seed always draws the same faults, so that a failed run can be repeated. The variants of
//! [`Fault`] and [`LinkMode`] and the order of the draws are part of what a seed means.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::proxy::LinkMode;
use crate::site::GRACE_S;

/// Fault that is injected from outside the VMs. Durations are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, derive_more::Display)]
pub enum Fault {
    /// A VM gets SIGTERM; it is killed if it outlives its grace period, and started again.
    #[display("VM {_0} is asked to stop")]
    Stop(usize),
    /// A VM gets SIGKILL and is started again.
    #[display("VM {_0} is killed")]
    Kill(usize),
    /// A VM is suspended by SIGSTOP for a time.
    #[display("VM {_0} stands still for {_1} ms")]
    Pause(usize, u64),
    /// A VM gets SIGHUP, on which it reads its settings again.
    #[display("VM {_0} reads its settings again")]
    Reload(usize),
    /// The link from a VM to the store misbehaves for a time.
    #[display("link of VM {_0} to the store {_1} for {_2} ms")]
    StoreLink(usize, LinkMode, u64),
    /// The link to an endpoint misbehaves for a time.
    #[display("link to endpoint {_0} {_1} for {_2} ms")]
    EndpointLink(usize, LinkMode, u64),
    /// The store answers every VM with status 503 for a time.
    #[display("store is away for {_0} ms")]
    StoreAway(u64),
    /// The store delays its replies for a time.
    #[display("store is slow for {_0} ms")]
    StoreSlow(u64),
    /// The store carries out requests but closes the connection instead of replying, for a time.
    #[display("store loses answers for {_0} ms")]
    StoreLoses(u64),
    /// The store drops its change history, so that VMs have to read whole tables again.
    #[display("store forgets its history")]
    StoreForgets,
    /// The store accepts calls but never answers them, for a time.
    #[display("store is silent for {_0} ms")]
    StoreSilent(u64),
    /// The store comes back from a copy that lacks its last changes; operators and endpoints write theirs again.
    #[display("store comes back from a copy without its last {_0} changes")]
    StoreRestored(u64),
    /// An endpoint runs requests but closes the connection instead of replying, for a time.
    #[display("endpoint {_0} loses answers for {_1} ms")]
    EndpointLoses(usize, u64),
    /// A plain or model endpoint answers with status 500 for a time; stage endpoints are not affected.
    #[display("endpoint {_0} fails for {_1} ms")]
    EndpointFails(usize, u64),
    /// An endpoint rejects requests as full for a time.
    #[display("endpoint {_0} is full for {_1} ms")]
    EndpointFull(usize, u64),
    /// An endpoint is listed as draining, and comes back after a time under a new id.
    #[display("endpoint {_0} drains for {_1} ms")]
    EndpointDrains(usize, u64),
    /// A new version of the configuration is written to the store.
    #[display("configuration changes")]
    Configure,
    /// An endpoint announces its leaving in its replies only, and restarts after a time under its id.
    #[display("endpoint {_0} announces its leaving for {_1} ms")]
    EndpointLeaves(usize, u64),
    /// An endpoint rejects all requests for a time, each with a pause in seconds.
    #[display("endpoint {_0} asks for pauses of {_2} s for {_1} ms")]
    EndpointPauses(usize, u64, u64),
    /// An endpoint states a limit of requests per second for a time.
    #[display("endpoint {_0} states a limit of {_2} requests/s for {_1} ms")]
    EndpointLimits(usize, u64, u32),
    /// The plain endpoints work slowly and state for a time how many rejections a second each bears.
    #[display("plain endpoints bear {_1} rejections/s for {_0} ms")]
    PlainEndpointsBrittle(u64, u32),
    /// All VMs get SIGKILL at once and are started again.
    #[display("all VMs are killed")]
    KillAll,
    /// Another writer leaves an odd entry among those of the endpoints, under a key of its own.
    #[display("odd entry {_0} appears among the endpoints")]
    OddEntry(usize),
    /// Another writer overwrites the entry of an endpoint, which writes its own again after a time.
    #[display("entry of endpoint {_0} is overwritten by odd entry {_1} for {_2} ms")]
    OverwrittenEntry(usize, usize, u64),
    /// An endpoint crashes and returns under its id after a time as the other software version. It writes its new entry
    /// some time later.
    #[display("endpoint {_0} returns after {_1} ms as the other version and registers {_2} ms later")]
    EndpointReturns(usize, u64, u64),
}

/// Fault and the time at which it is injected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedFault {
    /// Milliseconds since the clients started.
    pub at_ms: u64,
    /// The fault.
    pub fault: Fault,
}

/// All faults of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct FaultPlan {
    /// Faults, earliest first.
    pub faults: Vec<PlannedFault>,
}

/// Time at the start of a run before the first fault, in which the fleet settles.
const FAULT_FREE_START_MS: u64 = 1_000;
/// Time at the end of a run in which no fault is injected and everything has to recover. It covers the grace period of
/// a stopped VM and its restart.
pub(crate) const FAULT_FREE_END_MS: u64 = 12_000;
/// Distinguishes the generator of the store faults from that of the others.
const STORE_FAULTS_SEED: u64 = 0x73_746f_7265;
/// Distinguishes the generator of endless replies from the others.
const ENDLESS_REPLIES_SEED: u64 = 0x65_6e64_6c65_7373;
/// Distinguishes the generator of what endpoints state of themselves from the others.
const STATEMENTS_SEED: u64 = 0x73_7461_7465;
/// Distinguishes the generator of kills of all VMs from the others.
const KILL_OF_ALL_SEED: u64 = 0x61_6c6c;
/// Distinguishes the generator of late copies from the others.
const COPIES_SEED: u64 = 0x636f_7069_6573;
/// Distinguishes the generator of odd entries from the others.
const ODD_ENTRIES_SEED: u64 = 0x6f_6464;
/// Distinguishes the generator of endpoints that return as another version from the others.
/// Longest time in which a process that was killed serves again.
const RESTART_MS_MAX: u64 = 3_300;
/// Longest time in which a restored store has all that it lost again.
const RESTORE_MS_MAX: u64 = 2_000;
const RETURNS_SEED: u64 = 0x7265_7475_726e;
const CONFIGURATIONS_SEED: u64 = 0x5bd1_e995_9d1b_54a3;
/// Shortest time for which endpoints are brittle; in the first 4 s of it rejections do no harm.
const BRITTLE_MS_MIN: u64 = 8_000;
/// Most faults in one series.
const FAULTS_PER_SERIES_MAX: usize = 4;

impl Fault {
    /// Time for which it disturbs a VM or the store in a way that excuses an old configuration there; `None` if it does not.
    pub(crate) fn disturbs_vm_for_ms(&self, vm: usize) -> Option<u64> {
        match self {
            Self::Stop(other) if *other == vm => Some(GRACE_S * 1_000 + RESTART_MS_MAX),
            Self::Kill(other) if *other == vm => Some(RESTART_MS_MAX),
            Self::KillAll => Some(RESTART_MS_MAX),
            Self::Pause(other, ms) | Self::StoreLink(other, _, ms) if *other == vm => Some(*ms),
            Self::StoreAway(ms) | Self::StoreSlow(ms) | Self::StoreLoses(ms) | Self::StoreSilent(ms) => Some(*ms),
            Self::StoreForgets => Some(0),
            Self::StoreRestored(_) => Some(RESTORE_MS_MAX),
            _ => None,
        }
    }
}

impl FaultPlan {
    /// Draws overlapping series of faults for a run of `run_ms` milliseconds.
    pub fn draw(seed: u64, run_ms: u64, vm_count: usize, endpoint_count: usize) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let end_ms = run_ms.saturating_sub(FAULT_FREE_END_MS).max(FAULT_FREE_START_MS + 1);
        let mut faults = Vec::new();
        // On average one series starts every two seconds, so that two or three overlap at any time.
        for _ in 0..(end_ms / 2_000).max(2) {
            let mut at_ms = random.random_range(FAULT_FREE_START_MS..end_ms);
            for _ in 0..random.random_range(1..=FAULTS_PER_SERIES_MAX) {
                if at_ms < end_ms {
                    faults.push(PlannedFault { at_ms, fault: draw_fault(&mut random, vm_count, endpoint_count) });
                }
                at_ms += random.random_range(0..1_500);
            }
        }
        draw_store_faults(seed, end_ms, &mut faults);
        draw_endless_replies(seed, end_ms, endpoint_count, &mut faults);
        draw_statements(seed, end_ms, endpoint_count, &mut faults);
        draw_kill_of_all(seed, end_ms, &mut faults);
        draw_copies(seed, end_ms, endpoint_count, &mut faults);
        draw_odd_entries(seed, end_ms, endpoint_count, &mut faults);
        draw_returns(seed, end_ms, endpoint_count, &mut faults);
        draw_configurations(seed, end_ms, &mut faults);
        faults.sort_by_key(|planned| planned.at_ms);
        Self { faults }
    }
}

/// Draws the faults that were added later, from a generator of their own so that the others stay as they were.
fn draw_store_faults(seed: u64, end_ms: u64, faults: &mut Vec<PlannedFault>) {
    let mut random = SmallRng::seed_from_u64(seed ^ STORE_FAULTS_SEED);
    for fault in [Fault::StoreSilent(random.random_range(500..6_000)), Fault::StoreRestored(random.random_range(1..9))]
    {
        if random.random() {
            faults.push(PlannedFault { at_ms: random.random_range(FAULT_FREE_START_MS..end_ms), fault });
        }
    }
}

/// Draws an endpoint that sends bytes without end for a time, from a generator of its own for the same reason.
fn draw_endless_replies(seed: u64, end_ms: u64, endpoint_count: usize, faults: &mut Vec<PlannedFault>) {
    let mut random = SmallRng::seed_from_u64(seed ^ ENDLESS_REPLIES_SEED);
    let duration_ms = random.random_range(100..1_500);
    let fault = Fault::EndpointLink(random.random_range(0..endpoint_count), LinkMode::Endless, duration_ms);
    if random.random() {
        faults.push(PlannedFault { at_ms: random.random_range(FAULT_FREE_START_MS..end_ms), fault });
    }
}

/// Draws what endpoints state of themselves in replies, from a generator of its own for the same reason.
fn draw_statements(seed: u64, end_ms: u64, endpoint_count: usize, faults: &mut Vec<PlannedFault>) {
    let mut random = SmallRng::seed_from_u64(seed ^ STATEMENTS_SEED);
    for number in 0..4 {
        let (endpoint, duration_ms) = (random.random_range(0..endpoint_count), random.random_range(3_000..9_000));
        let fault = match number {
            0 => Fault::EndpointLeaves(endpoint, duration_ms),
            1 => Fault::EndpointPauses(endpoint, duration_ms / 2, random.random_range(1..4)),
            2 => Fault::EndpointLimits(endpoint, duration_ms, random.random_range(1..12)),
            _ => {
                let rejections_max = random.random_range(0..3);
                Fault::PlainEndpointsBrittle(duration_ms.max(BRITTLE_MS_MIN), rejections_max)
            }
        };
        let at_ms = random.random_range(FAULT_FREE_START_MS..end_ms);
        if random.random() {
            faults.push(PlannedFault { at_ms, fault });
        }
    }
}

/// Draws up to two kills of all VMs, from a generator of its own for the same reason.
fn draw_kill_of_all(seed: u64, end_ms: u64, faults: &mut Vec<PlannedFault>) {
    let mut random = SmallRng::seed_from_u64(seed ^ KILL_OF_ALL_SEED);
    for _ in 0..random.random_range(0..3) {
        faults.push(PlannedFault { at_ms: random.random_range(FAULT_FREE_START_MS..end_ms), fault: Fault::KillAll });
    }
}

/// Draws endpoints that reject requests and send late copies of their replies, from a generator of its own for the same
/// reason.
fn draw_copies(seed: u64, end_ms: u64, endpoint_count: usize, faults: &mut Vec<PlannedFault>) {
    let mut random = SmallRng::seed_from_u64(seed ^ COPIES_SEED);
    for _ in 0..random.random_range(1..5) {
        let (endpoint, duration_ms) = (random.random_range(0..endpoint_count), random.random_range(1_500..7_000));
        let at_ms = random.random_range(FAULT_FREE_START_MS..end_ms);
        let copies = Fault::EndpointLink(endpoint, LinkMode::Copies, duration_ms);
        faults.push(PlannedFault { at_ms, fault: copies });
        // Short series of rejections, so that requests run between the copies of them.
        for step in 0..duration_ms / 800 {
            let rejections = PlannedFault { at_ms: at_ms + step * 800, fault: Fault::EndpointFull(endpoint, 200) };
            if rejections.at_ms < end_ms {
                faults.push(rejections);
            }
        }
    }
}

/// Draws odd entries among the endpoints, from a generator of its own for the same reason.
fn draw_odd_entries(seed: u64, end_ms: u64, endpoint_count: usize, faults: &mut Vec<PlannedFault>) {
    let mut random = SmallRng::seed_from_u64(seed ^ ODD_ENTRIES_SEED);
    for _ in 0..random.random_range(1..6) {
        let entry = random.random_range(0..usize::MAX);
        let fault = match random.random_range(0..3) {
            0 => {
                let endpoint = random.random_range(0..endpoint_count);
                Fault::OverwrittenEntry(endpoint, entry, random.random_range(300..2_000))
            }
            _ => Fault::OddEntry(entry),
        };
        faults.push(PlannedFault { at_ms: random.random_range(FAULT_FREE_START_MS..end_ms), fault });
    }
}

/// Draws endpoints that return as another version, from a generator of its own for the same reason.
fn draw_returns(seed: u64, end_ms: u64, endpoint_count: usize, faults: &mut Vec<PlannedFault>) {
    let mut random = SmallRng::seed_from_u64(seed ^ RETURNS_SEED);
    for _ in 0..random.random_range(1..5) {
        let (endpoint, down_ms) = (random.random_range(0..endpoint_count), random.random_range(1_000..4_500));
        let fault = Fault::EndpointReturns(endpoint, down_ms, random.random_range(0..400));
        faults.push(PlannedFault { at_ms: random.random_range(FAULT_FREE_START_MS..end_ms), fault });
    }
}

/// Draws series of changes of the configuration, from a generator of its own for the same reason.
fn draw_configurations(seed: u64, end_ms: u64, faults: &mut Vec<PlannedFault>) {
    let mut random = SmallRng::seed_from_u64(seed ^ CONFIGURATIONS_SEED);
    for _ in 0..random.random_range(1..4) {
        let mut at_ms = random.random_range(FAULT_FREE_START_MS..end_ms);
        for _ in 0..random.random_range(2..9) {
            if at_ms < end_ms {
                faults.push(PlannedFault { at_ms, fault: Fault::Configure });
            }
            at_ms += random.random_range(50..500);
        }
    }
}

fn draw_link_mode(random: &mut SmallRng) -> LinkMode {
    match random.random_range(0..5) {
        0 => LinkMode::Delay(random.random_range(20..400)),
        1 => LinkMode::Reset,
        2 => LinkMode::CutTowards,
        3 => LinkMode::CutFrom,
        _ => LinkMode::SilenceOpen,
    }
}

fn draw_fault(random: &mut SmallRng, vm_count: usize, endpoint_count: usize) -> Fault {
    let (vm, endpoint) = (random.random_range(0..vm_count), random.random_range(0..endpoint_count));
    let duration_ms = random.random_range(200..4_000);
    match random.random_range(0..16) {
        0 | 1 => Fault::Stop(vm),
        2 => Fault::Kill(vm),
        3 => Fault::Pause(vm, duration_ms),
        4 => Fault::Reload(vm),
        5 => Fault::StoreLink(vm, draw_link_mode(random), duration_ms),
        6 | 7 => Fault::EndpointLink(endpoint, draw_link_mode(random), duration_ms),
        8 => Fault::StoreAway(duration_ms),
        9 => Fault::StoreSlow(duration_ms),
        10 => Fault::StoreLoses(duration_ms),
        11 => Fault::StoreForgets,
        12 => Fault::EndpointLoses(endpoint, duration_ms),
        13 => {
            if random.random() {
                Fault::EndpointFails(endpoint, duration_ms)
            } else {
                Fault::EndpointFull(endpoint, duration_ms)
            }
        }
        14 => Fault::EndpointDrains(endpoint, duration_ms + 3_000),
        _ => Fault::Configure,
    }
}
