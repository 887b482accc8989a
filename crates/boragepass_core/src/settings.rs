//! Checked settings that the reducer takes.

use std::net::SocketAddr;
use std::sync::Arc;

use boragepass_types::{Bytes, FailureDomain, Incarnation, Pipeline, Region, SpanMs, VmId};

/// Settings of one node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// This VM.
    pub vm: VmId,
    /// This start of the process.
    pub incarnation: Incarnation,
    /// Region of this VM.
    pub region: Region,
    /// Failure domain of this VM.
    pub failure_domain: FailureDomain,
    /// Address for other VMs.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Pipelines that callers may name.
    pub pipelines: Vec<Arc<Pipeline>>,
    /// Limits and intervals.
    pub limits: Limits,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Limits and intervals of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Requests in progress on this VM.
    pub requests_in_progress_max: usize,
    /// Requests that wait for an endpoint of one pool.
    pub queue_len_max: usize,
    /// Attempts of one request over all its stages.
    pub attempts_per_request_max: u32,
    /// Retries allowed, as a share of first tries.
    pub retry_budget_percent: u64,
    /// Hedges allowed, as a share of first tries.
    pub hedge_budget_percent: u64,
    /// How long a dispatch may wait in this process.
    pub dispatch_valid_ms: SpanMs,
    /// Interval of heartbeats inside a failure domain.
    pub heartbeat_ms: SpanMs,
    /// Interval of heartbeats between relays.
    pub relay_heartbeat_ms: SpanMs,
    /// Silence after which a VM is dead.
    pub member_timeout_ms: SpanMs,
    /// Silence of everybody after which this VM stops admitting.
    pub isolation_limit_ms: SpanMs,
    /// Interval of load polls by watchers.
    pub load_poll_ms: SpanMs,
    /// Age at which a load report no longer makes an endpoint a candidate.
    pub load_stale_ms: SpanMs,
    /// Interval at which relays poll the VM list and the head of the lists.
    pub platform_poll_ms: SpanMs,
    /// How long a VM without table service listens to others before it trusts the newest lists.
    pub start_gather_ms: SpanMs,
    /// How long callers may keep an address answer.
    pub address_valid_ms: SpanMs,
    /// How long an operator's change waits to be in force everywhere.
    pub accept_wait_ms: SpanMs,
    /// How long claims are collected into one transaction.
    pub claim_batch_ms: SpanMs,
    /// Claims in one transaction.
    pub claim_batch_max: usize,
    /// Transactions for claims a second, all VMs together.
    pub claim_writes_per_s: u64,
    /// VMs of a region that commit claims.
    pub claim_committers: usize,
    /// How long a claim may take before the request is refused.
    pub claim_timeout_ms: SpanMs,
    /// How long content stays in quarantine.
    pub quarantine_ms: SpanMs,
    /// How long a test of suspicious content may take.
    pub trial_ms: SpanMs,
    /// How long a test waits until every VM has heard of it.
    pub trial_delay_ms: SpanMs,
    /// One-way delay between regions.
    pub region_delay_ms: SpanMs,
    /// Time that a kilobyte across regions is worth to a plan that weighs cost only.
    pub cross_region_price_ms_per_kb: u64,
    /// Length of an order lease.
    pub lease_ms: SpanMs,
    /// Longest time an order may travel.
    pub order_time_max_ms: SpanMs,
    /// Orders a region may have in progress at the weight store.
    pub orders_in_progress_max: usize,
    /// How long demand must last before models move.
    pub order_hysteresis_ms: SpanMs,
    /// Finished requests whose answers and traces are kept.
    pub finished_max: usize,
    /// How long finished answers are kept.
    pub finished_ms: SpanMs,
    /// Largest stage result that is passed on as progress.
    pub progress_bytes_max: Bytes,
    /// Progress of other VMs' requests that is kept.
    pub progress_max: usize,
    /// Shortest time a drain takes, for callers that keep this VM's address.
    pub drain_linger_ms: SpanMs,
    /// Longest time a drain may take.
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
