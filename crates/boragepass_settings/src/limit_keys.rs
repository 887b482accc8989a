//! Keys of the `limits` and `http` sections, one row each: the parser and the reference share them.

use boragepass_core::Limits;
use boragepass_types::{Bytes, SpanMs};

use crate::HttpLimits;

/// Key of a number.
pub(crate) struct LimitKey<T> {
    pub(crate) name: &'static str,
    pub(crate) about: &'static str,
    pub(crate) low: u64,
    pub(crate) high: u64,
    pub(crate) get: fn(&T) -> u64,
    pub(crate) set: fn(&mut T, u64),
}

const DAY_MS: u64 = 86_400_000;

macro_rules! span {
    ($name:ident, $low:expr, $high:expr, $about:expr) => {
        LimitKey {
            name: stringify!($name),
            about: $about,
            low: $low,
            high: $high,
            get: |limits| limits.$name.0,
            set: |limits, value| limits.$name = SpanMs(value),
        }
    };
}

macro_rules! count {
    ($name:ident: $kind:ty, $low:expr, $high:expr, $about:expr) => {
        LimitKey {
            name: stringify!($name),
            about: $about,
            low: $low,
            high: $high,
            get: |limits| limits.$name as u64,
            set: |limits, value| limits.$name = value as $kind,
        }
    };
}

macro_rules! bytes {
    ($name:ident, $low:expr, $high:expr, $about:expr) => {
        LimitKey {
            name: stringify!($name),
            about: $about,
            low: $low,
            high: $high,
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
    span!(dispatch_valid_ms, 10, 60_000, "how long a dispatch may wait inside the process"),
    span!(heartbeat_ms, 50, 10_000, "interval of heartbeats inside a failure domain"),
    span!(relay_heartbeat_ms, 50, 10_000, "interval of heartbeats between relays"),
    span!(member_timeout_ms, 200, 60_000, "silence after which a VM is dead"),
    span!(isolation_limit_ms, 500, 60_000, "silence of everybody after which this VM stops admitting"),
    span!(load_poll_ms, 50, 10_000, "interval of load polls by watchers"),
    span!(load_stale_ms, 200, 60_000, "age at which a load report no longer makes an endpoint a candidate"),
    span!(platform_poll_ms, 50, 60_000, "interval at which relays poll the VM list and the head of the lists"),
    span!(start_gather_ms, 0, 60_000, "how long a VM without table service listens before it trusts the newest lists"),
    span!(address_valid_ms, 100, 600_000, "how long callers may keep an address answer"),
    span!(accept_wait_ms, 100, 60_000, "how long an operator's change waits to be in force everywhere"),
    span!(claim_batch_ms, 1, 1_000, "how long claims are collected into one transaction"),
    count!(claim_batch_max: usize, 1, 1_000, "claims in one transaction"),
    count!(claim_writes_per_s: u64, 1, 100_000, "transactions for claims a second, all VMs together"),
    count!(claim_committers: usize, 1, 64, "VMs of a region that commit claims"),
    span!(claim_timeout_ms, 10, 60_000, "how long a claim may take before the request is refused"),
    span!(quarantine_ms, 1_000, DAY_MS, "how long content stays in quarantine"),
    span!(trial_ms, 100, DAY_MS, "how long a test of suspicious content may take"),
    span!(trial_delay_ms, 0, 10_000, "how long a test waits until every VM has heard of it"),
    span!(region_delay_ms, 0, 10_000, "one-way delay between regions"),
    count!(cross_region_price_ms_per_kb: u64, 0, 1_000_000, "time a kilobyte across regions is worth to a plan that weighs cost only"),
    span!(lease_ms, 1_000, 600_000, "length of an order lease"),
    span!(order_time_max_ms, 100, 60_000, "longest time an order may travel"),
    count!(orders_in_progress_max: usize, 1, 1_000, "orders in progress at the weight store, by region"),
    span!(order_hysteresis_ms, 0, DAY_MS, "how long demand must last before models move"),
    count!(finished_max: usize, 1, 1_000_000, "finished requests whose answers and decisions are kept"),
    span!(finished_ms, 0, DAY_MS, "how long finished answers are kept"),
    bytes!(progress_bytes_max, 0, 16_000_000, "largest stage result that is passed on as progress"),
    count!(progress_max: usize, 0, 1_000_000, "other VMs' requests whose progress is kept"),
    span!(drain_linger_ms, 0, 600_000, "shortest time a drain takes, for callers that keep this VM's address"),
    span!(drain_ms, 0, DAY_MS, "longest time a drain takes"),
];

/// Keys of the `http` section.
pub(crate) const HTTP: &[LimitKey<HttpLimits>] = &[
    bytes!(body_bytes_max, 1, 1_000_000_000, "largest body of a request"),
    span!(head_timeout_ms, 100, 600_000, "longest time for the head of a request"),
    span!(body_timeout_ms, 100, 600_000, "longest time for the body of a request"),
    count!(connections_max: usize, 1, 1_000_000, "connections at once"),
];
