//! Keys of the `limits` and `http` sections, with their ranges and meanings. The parser and the
//! reference for operators use the same table.

use boragepass_core::Limits;
use boragepass_types::{Bytes, SpanMs};

use crate::HttpLimits;

/// Key with a number as its value, which is stored in a field of `T`.
pub(crate) struct LimitKey<T> {
    pub(crate) name: &'static str,
    /// Text in the reference.
    pub(crate) meaning: &'static str,
    /// Smallest value that is accepted.
    pub(crate) min: u64,
    /// Largest value that is accepted.
    pub(crate) max: u64,
    pub(crate) get: fn(&T) -> u64,
    pub(crate) set: fn(&mut T, u64),
}

const MS_PER_DAY: u64 = 86_400_000;

macro_rules! duration {
    ($name:ident, $min:expr, $max:expr, $meaning:expr) => {
        LimitKey {
            name: stringify!($name),
            meaning: $meaning,
            min: $min,
            max: $max,
            get: |limits| limits.$name.0,
            set: |limits, value| limits.$name = SpanMs(value),
        }
    };
}

macro_rules! count {
    ($name:ident: $kind:ty, $min:expr, $max:expr, $meaning:expr) => {
        LimitKey {
            name: stringify!($name),
            meaning: $meaning,
            min: $min,
            max: $max,
            get: |limits| limits.$name as u64,
            set: |limits, value| limits.$name = value as $kind,
        }
    };
}

macro_rules! bytes {
    ($name:ident, $min:expr, $max:expr, $meaning:expr) => {
        LimitKey {
            name: stringify!($name),
            meaning: $meaning,
            min: $min,
            max: $max,
            get: |limits| limits.$name.0,
            set: |limits, value| limits.$name = Bytes(value),
        }
    };
}

/// Keys of the `limits` section.
pub(crate) const LIMITS: &[LimitKey<Limits>] = &[
    count!(requests_in_progress_max: usize, 1, 1_000_000, "requests in progress on this VM"),
    count!(queue_len_max: usize, 1, 1_000_000, "requests that wait for an endpoint of one pool"),
    count!(attempts_per_request_max: u32, 1, 1_000, "attempts of one request over all its stages"),
    count!(retry_budget_percent: u64, 0, 100, "retries for each hundred first tries"),
    count!(hedge_budget_percent: u64, 0, 100, "hedges for each hundred first tries"),
    duration!(dispatch_valid_ms, 10, 60_000, "how long a dispatch may wait inside the process"),
    duration!(heartbeat_ms, 50, 10_000, "interval of heartbeats inside a failure domain"),
    duration!(relay_heartbeat_ms, 50, 10_000, "interval of heartbeats between relays"),
    duration!(member_timeout_ms, 200, 60_000, "silence after which a VM is dead"),
    duration!(isolation_limit_ms, 500, 60_000, "silence of everybody after which this VM stops admitting"),
    duration!(load_poll_ms, 50, 10_000, "interval of load polls by watchers"),
    duration!(load_stale_ms, 200, 60_000, "age at which a load report no longer makes an endpoint a candidate"),
    duration!(platform_poll_ms, 50, 60_000, "interval at which relays poll the VM list and the head of the lists"),
    duration!(
        start_gather_ms,
        0,
        60_000,
        "how long a VM without table service listens before it trusts the newest lists"
    ),
    duration!(address_valid_ms, 100, 600_000, "how long callers may keep an address answer"),
    duration!(accept_wait_ms, 100, 60_000, "how long an operator's change waits to be in force everywhere"),
    duration!(claim_batch_ms, 1, 1_000, "how long claims are collected into one transaction"),
    count!(claim_batch_max: usize, 1, 1_000, "claims in one transaction"),
    count!(claim_writes_per_s: u64, 1, 100_000, "transactions for claims a second, all VMs together"),
    count!(claim_committers: usize, 1, 64, "VMs of a region that commit claims"),
    duration!(claim_timeout_ms, 10, 60_000, "how long a claim may take before the request is refused"),
    duration!(quarantine_ms, 1_000, MS_PER_DAY, "how long content stays in quarantine"),
    duration!(trial_ms, 100, MS_PER_DAY, "how long a test of suspicious content may take"),
    duration!(trial_delay_ms, 0, 10_000, "how long a test waits until every VM has heard of it"),
    duration!(region_delay_ms, 0, 10_000, "one-way delay between regions"),
    count!(cross_region_price_ms_per_kb: u64, 0, 1_000_000, "time a kilobyte across regions is worth to a plan that weighs cost only"),
    duration!(lease_ms, 1_000, 600_000, "length of an order lease"),
    duration!(order_time_max_ms, 100, 60_000, "longest time an order may travel"),
    count!(orders_in_progress_max: usize, 1, 1_000, "orders in progress at the weight store, by region"),
    duration!(order_hysteresis_ms, 0, MS_PER_DAY, "how long demand must last before models move"),
    count!(finished_max: usize, 1, 1_000_000, "finished requests whose answers and decisions are kept"),
    duration!(finished_ms, 0, MS_PER_DAY, "how long finished answers are kept"),
    bytes!(progress_bytes_max, 0, 16_000_000, "largest stage result that is passed on as progress"),
    count!(progress_max: usize, 0, 1_000_000, "other VMs' requests whose progress is kept"),
    duration!(drain_linger_ms, 0, 600_000, "shortest time a drain takes, for callers that keep this VM's address"),
    duration!(drain_ms, 0, MS_PER_DAY, "longest time a drain takes"),
];

/// Keys of the `http` section.
pub(crate) const HTTP: &[LimitKey<HttpLimits>] = &[
    bytes!(body_bytes_max, 1, 1_000_000_000, "largest body of a request"),
    duration!(head_timeout_ms, 100, 600_000, "longest time for the head of a request"),
    duration!(body_timeout_ms, 100, 600_000, "longest time for the body of a request"),
    count!(connections_max: usize, 1, 1_000_000, "connections at once"),
];
