//! Settings of the reducer. `boragepass_settings` reads and checks them.

use std::net::SocketAddr;
use std::sync::Arc;

use boragepass_types::{Bytes, FailureDomain, Incarnation, Pipeline, Region, SpanMs, VmId};

/// Settings of one node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Id of this VM.
    pub vm: VmId,
    /// Number of this start of the process.
    pub incarnation: Incarnation,
    /// Region of this VM.
    pub region: Region,
    /// Failure domain of this VM.
    pub failure_domain: FailureDomain,
    /// Address for other VMs.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Pipelines that requests may name.
    pub pipelines: Vec<Arc<Pipeline>>,
    /// Limits and intervals.
    pub limits: Limits,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Limits and intervals of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Most requests in progress on this VM.
    pub requests_in_progress_max: usize,
    /// Most requests that wait for an endpoint of one pool.
    pub queue_len_max: usize,
    /// Most attempts of one request over all its stages.
    pub attempts_per_request_max: u32,
    /// Most retries, in percent of the first attempts.
    pub retry_budget_percent: u64,
    /// Most hedges, in percent of the first attempts.
    pub hedge_budget_percent: u64,
    /// How long a dispatch may wait in this process before it is sent.
    pub dispatch_valid_ms: SpanMs,
    /// Interval of heartbeats inside a failure domain.
    pub heartbeat_ms: SpanMs,
    /// Interval of heartbeats between relays.
    pub relay_heartbeat_ms: SpanMs,
    /// Silence after which a VM is declared dead.
    pub member_timeout_ms: SpanMs,
    /// Silence of the table service and of all other VMs after which this VM stops admitting.
    pub isolation_limit_ms: SpanMs,
    /// Interval of load polls by watchers.
    pub load_poll_ms: SpanMs,
    /// Age from which a load report no longer makes its endpoint a candidate.
    pub load_stale_ms: SpanMs,
    /// Interval at which relays poll the VM list and the head of the lists.
    pub platform_poll_ms: SpanMs,
    /// How long a VM that cannot reach the table service collects the list versions of other VMs before
    /// it trusts the newest.
    pub start_gather_ms: SpanMs,
    /// How long callers may cache the addresses of VMs.
    pub address_valid_ms: SpanMs,
    /// How long an operator's change may take to be in force on all VMs before its call is answered.
    pub accept_wait_ms: SpanMs,
    /// How long claims are collected into one transaction.
    pub claim_batch_ms: SpanMs,
    /// Most claims in one transaction.
    pub claim_batch_max: usize,
    /// Most transactions with claims per second, of all VMs together.
    pub claim_writes_per_s: u64,
    /// Most VMs of a region that commit claims.
    pub claim_committers: usize,
    /// How long acquiring a claim may take before the request is refused.
    pub claim_timeout_ms: SpanMs,
    /// How long content stays in quarantine.
    pub quarantine_ms: SpanMs,
    /// How long the trial of suspected content may take.
    pub trial_ms: SpanMs,
    /// How long a trial waits before it runs, so that all other VMs have heard of it.
    pub trial_delay_ms: SpanMs,
    /// One-way delay between regions.
    pub region_delay_ms: SpanMs,
    /// Cost of a kilobyte sent across regions, expressed as time, for a plan whose attainment weight
    /// is 0.
    pub cross_region_price_ms_per_kb: u64,
    /// Duration of the lease under which a VM sends orders.
    pub lease_ms: SpanMs,
    /// Longest time from issuing an order to its arrival at the endpoint.
    pub order_time_max_ms: SpanMs,
    /// Most orders of a region in progress at the weight store.
    pub orders_in_progress_max: usize,
    /// How long a shortage of a model must last before another endpoint is ordered to hold it. A model
    /// that no endpoint holds does not wait.
    pub order_hysteresis_ms: SpanMs,
    /// Most finished requests whose answers and traces are kept.
    pub finished_max: usize,
    /// How long answers of finished requests are kept.
    pub finished_ms: SpanMs,
    /// Largest stage output that is sent to another VM as progress.
    pub progress_bytes_max: Bytes,
    /// Most requests of other VMs whose progress is kept.
    pub progress_max: usize,
    /// Shortest time of a drain, for callers that have cached this VM's address.
    pub drain_linger_ms: SpanMs,
    /// Longest time of a drain; the process then exits even if requests are in progress.
    pub drain_ms: SpanMs,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            requests_in_progress_max: 20_000,
            queue_len_max: 2_000,
            attempts_per_request_max: 12,
            retry_budget_percent: 20,
            hedge_budget_percent: 10,
            dispatch_valid_ms: SpanMs(500),
            heartbeat_ms: SpanMs(500),
            relay_heartbeat_ms: SpanMs(1_000),
            member_timeout_ms: SpanMs(2_200),
            isolation_limit_ms: SpanMs(4_000),
            load_poll_ms: SpanMs(500),
            load_stale_ms: SpanMs(2_000),
            platform_poll_ms: SpanMs(1_000),
            start_gather_ms: SpanMs(1_500),
            address_valid_ms: SpanMs(5_000),
            accept_wait_ms: SpanMs(6_000),
            claim_batch_ms: SpanMs(5),
            claim_batch_max: 64,
            claim_writes_per_s: 200,
            claim_committers: 2,
            claim_timeout_ms: SpanMs(1_000),
            quarantine_ms: SpanMs(600_000),
            trial_ms: SpanMs(10_000),
            trial_delay_ms: SpanMs(100),
            region_delay_ms: SpanMs(30),
            cross_region_price_ms_per_kb: 20,
            lease_ms: SpanMs(10_000),
            order_time_max_ms: SpanMs(2_000),
            orders_in_progress_max: 2,
            order_hysteresis_ms: SpanMs(20_000),
            finished_max: 1_000,
            finished_ms: SpanMs(30_000),
            progress_bytes_max: Bytes(65_536),
            progress_max: 2_000,
            drain_linger_ms: SpanMs(5_000),
            drain_ms: SpanMs(30_000),
        }
    }
}
