//! State of one VM and the reducer that turns each event into effects.
//!
//! The reducer reads no clock, does no I/O and draws its random choices from a seeded generator, so
//! that a run can be repeated exactly. This module dispatches events, due timers and replies of the
//! table service; the decisions are in the other modules, as further `impl Node` blocks.

use std::net::SocketAddr;
use std::sync::Arc;

use boragepass_types::{
    AttemptId, CallId, EndpointId, ListVersion, OpId, Outcome, OutcomeKind, PipelineId, PoolId, Region, TimeMs,
    WorkspaceId,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::admission::CachedPlanShare;
use crate::claim_batch::ClaimBatch;
use crate::claims::Claims;
use crate::counter::Counter;
use crate::drain::Drain;
use crate::effect::{Effect, Effects};
use crate::endpoints::EndpointTable;
use crate::event::Event;
use crate::explain::Tracer;
use crate::finish::LateClaim;
use crate::finished::FinishedRequests;
use crate::gather::Gathers;
use crate::latency::LatencyWindow;
use crate::list_commit::Commits;
use crate::list_sync::ListSync;
use crate::lists::Lists;
use crate::map::Map;
use crate::membership::Membership;
use crate::order::Orders;
use crate::platform::{ObjectReply, TableReply, TableRequest};
use crate::prefix_cache::PrefixCache;
use crate::quarantine::Quarantine;
use crate::queue::WaitQueue;
use crate::request_table::{Attempt, RequestTable};
use crate::resume::ProgressStore;
use crate::retry::AttemptBudget;
use crate::settings::NodeSettings;
use crate::shares::Shares;
use crate::stage_flow::DispatchRate;
use crate::timers::{Timer, Timers};
use crate::usage::Usage;
use crate::verdict_row::VerdictRow;
use crate::watch::Watch;

/// Purpose of a pending table operation, which decides who handles its reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TableOperation {
    ClaimBatch,
    ClaimRead(OpId),
    HeadPoll,
    ChangesRead,
    ListCommit(OpId),
    ListReadBack(OpId),
    ListConflict(OpId),
    LeaseRead,
    LeaseWrite,
    VerdictsWrite,
}

/// Observed times of one stage of one pipeline.
#[derive(Debug)]
pub(crate) struct StageLatency {
    /// From an attempt's dispatch to its result.
    pub(crate) total: LatencyWindow,
    /// From the dispatch to the first token, or to the result of a stage without a stream.
    pub(crate) first_output: LatencyWindow,
}

/// State of one VM; [`Node::handle`] is its only input.
pub struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) rng: SmallRng,
    pub(crate) started_at: Option<TimeMs>,
    pub(crate) lists: Lists,
    pub(crate) list_sync: ListSync,
    pub(crate) commits: Commits,
    pub(crate) membership: Membership,
    pub(crate) endpoints: EndpointTable,
    pub(crate) prefix_cache: PrefixCache,
    pub(crate) watch: Watch,
    pub(crate) requests: RequestTable,
    pub(crate) attempts: Map<AttemptId, Attempt>,
    /// Attempts at stages that are not repeatable whose request has ended; a late reply settles the claim.
    pub(crate) late_attempts: Map<AttemptId, Attempt>,
    /// Claims that the late attempts settle.
    pub(crate) late_claims: Map<AttemptId, Option<LateClaim>>,
    pub(crate) next_attempt_id: AttemptId,
    pub(crate) queues: Map<PoolId, WaitQueue>,
    /// Attempts that the usable endpoints of each pool in this region can run at once, weighted by speed.
    pub(crate) pool_capacity: Map<PoolId, f32>,
    /// Observed rate of dispatches to each pool.
    pub(crate) pool_dispatch_rates: Map<PoolId, DispatchRate>,
    /// Observed times by index of pipeline and stage.
    pub(crate) latency: Vec<Vec<StageLatency>>,
    pub(crate) shares: Shares,
    pub(crate) share_cache: Map<WorkspaceId, CachedPlanShare>,
    pub(crate) retry_budget: AttemptBudget,
    pub(crate) hedge_budget: AttemptBudget,
    pub(crate) quarantine: Quarantine,
    pub(crate) claims: Claims,
    pub(crate) claim_batch: ClaimBatch,
    pub(crate) orders: Orders,
    pub(crate) tracer: Tracer,
    pub(crate) usage: Usage,
    pub(crate) finished: FinishedRequests,
    pub(crate) progress: ProgressStore,
    pub(crate) gathers: Gathers,
    pub(crate) timers: Timers,
    pub(crate) drain: Drain,
    pub(crate) pending_table_operations: Map<OpId, TableOperation>,
    pub(crate) next_op: OpId,
    pub(crate) table_is_up: bool,
    pub(crate) last_table_reply_at: Option<TimeMs>,
    pub(crate) was_isolated: bool,
    /// Until then, input may have been buffered while the process did not run, and does not count as recent.
    pub(crate) stale_input_until: Option<TimeMs>,
    /// Version of this failure domain's lists that was last announced to the other domains.
    pub(crate) announced_list_version: ListVersion,
    pub(crate) verdicts_queried_at: Option<TimeMs>,
    pub(crate) verdict_row: VerdictRow,
    /// Counts address answers, so that each starts with another VM.
    pub(crate) address_rotation: usize,
}

impl Node {
    /// Node that has handled no event yet.
    pub fn new(settings: NodeSettings) -> Self {
        let latency = settings.pipelines.iter().map(|pipeline| {
            let stages = pipeline.stages.iter();
            let windows = stages.map(|stage| StageLatency {
                total: LatencyWindow::new(stage.expected_ms),
                first_output: LatencyWindow::new(stage.expected_ms),
            });
            windows.collect()
        });
        let limits = settings.limits.clone();
        Self {
            rng: SmallRng::seed_from_u64(settings.seed),
            started_at: None,
            lists: Lists::default(),
            list_sync: ListSync::default(),
            commits: Commits::default(),
            membership: Membership::new(&settings),
            endpoints: EndpointTable::default(),
            prefix_cache: PrefixCache::default(),
            watch: Watch::default(),
            requests: RequestTable::default(),
            attempts: Map::default(),
            late_attempts: Map::default(),
            late_claims: Map::default(),
            next_attempt_id: AttemptId(1),
            queues: Map::default(),
            pool_capacity: Map::default(),
            pool_dispatch_rates: Map::default(),
            latency: latency.collect(),
            shares: Shares::default(),
            share_cache: Map::default(),
            retry_budget: AttemptBudget::new(limits.retry_budget_percent),
            hedge_budget: AttemptBudget::new(limits.hedge_budget_percent),
            quarantine: Quarantine::default(),
            claims: Claims::new(settings.vm.clone(), settings.incarnation),
            claim_batch: ClaimBatch::default(),
            orders: Orders::default(),
            tracer: Tracer::new(settings.vm.clone(), limits.finished_max),
            usage: Usage::default(),
            finished: FinishedRequests::default(),
            progress: ProgressStore::default(),
            gathers: Gathers::default(),
            timers: Timers::default(),
            drain: Drain::default(),
            pending_table_operations: Map::default(),
            next_op: OpId(1),
            table_is_up: true,
            last_table_reply_at: None,
            was_isolated: false,
            stale_input_until: None,
            announced_list_version: ListVersion(0),
            verdicts_queried_at: None,
            verdict_row: VerdictRow::default(),
            address_rotation: 0,
            settings,
        }
    }

    /// Runs the timers that are due, then handles an event; returns the effects in order.
    pub fn handle(&mut self, now: TimeMs, event: Event) -> Vec<Effect> {
        let mut out = Effects::default();
        self.start_on_first_event(now, &mut out);
        while let Some((due_at, timer)) = self.timers.pop_due(now) {
            self.detect_stall(now, due_at);
            self.dispatch_timer(now, timer, &mut out);
        }
        self.dispatch_event(now, event, &mut out);
        self.exit_when_drained(now, &mut out);
        out.into_vec()
    }

    /// When the next timer is due.
    pub fn next_wake(&self) -> Option<TimeMs> {
        self.timers.next_at()
    }

    /// Number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }

    fn dispatch_event(&mut self, now: TimeMs, event: Event, out: &mut Effects) {
        match event {
            Event::Submit { call, key, request } => self.submit(now, call, &key, request, out),
            Event::CallerDisconnected { call } => self.on_caller_disconnected(now, call, out),
            Event::AddressQuery { call, workspace, region } => self.answer_addresses(call, &workspace, region, out),
            Event::OperatorCommand { call, command } => self.on_operator_command(now, call, command, out),
            Event::StageReply { attempt, echo, reply } => self.on_stage_reply(now, attempt, echo, reply, out),
            Event::AttemptExpired { attempt } => self.on_expired(now, attempt, out),
            Event::TableReply { op, reply } => self.on_table(now, op, reply, out),
            Event::ObjectReply { op: _, reply } => self.on_object(now, reply, out),
            Event::PeerMessageReceived { from, incarnation, message } => {
                self.on_peer_message(now, from, incarnation, message, out)
            }
            Event::VmListReply(reply) => self.on_vm_list(now, reply, out),
            Event::LoadReply { endpoint, asked_at, report } => {
                self.on_load_reply(now, &endpoint, asked_at, report, out)
            }
            Event::OrderReply { op, reply } => self.on_order_reply(now, op, reply, out),
            Event::Terminate => self.on_terminate(now, out),
            Event::Tick => {}
        }
    }

    fn dispatch_timer(&mut self, now: TimeMs, timer: Timer, out: &mut Effects) {
        match timer {
            Timer::RequestDeadline(key) => self.on_deadline(now, key, out),
            Timer::AttemptSlow(attempt) => self.on_attempt_slow(now, attempt, out),
            Timer::TrialCheck(key) => self.on_trial_timer(now, key, out),
            Timer::LateResultTimeout(attempt) => self.on_late_result_timeout(now, attempt, out),
            Timer::ClaimTimeout(key) => self.on_claim_timeout(now, key, out),
            Timer::ClaimFlush => self.flush_claims(now, out),
            Timer::ClaimCleanup => self.clean_up_claims(now, out),
            Timer::Heartbeat => self.on_heartbeat_timer(now, out),
            Timer::RelayHeartbeat => self.on_relay_timer(now, out),
            Timer::LoadPoll => self.on_load_poll_timer(now, out),
            Timer::PlatformPoll => self.on_platform_poll_timer(now, out),
            Timer::OrderRound => self.on_order_timer(now, out),
            Timer::ListCommitTimeout(op) => self.on_commit_timeout(now, op, out),
            Timer::GatherTimeout(op) => self.finish_gather(op, out),
            Timer::Sweep => self.on_sweep_timer(now, out),
            Timer::DrainLinger => {}
            Timer::DrainTimeout => out.push(Effect::Exit),
        }
    }

    /// Starts the periodic timers and loads the snapshot of the lists, on the first event.
    fn start_on_first_event(&mut self, now: TimeMs, out: &mut Effects) {
        if self.started_at.is_some() {
            return;
        }
        self.started_at = Some(now);
        self.usage.start(now);
        let periodic = [
            Timer::Heartbeat,
            Timer::RelayHeartbeat,
            Timer::LoadPoll,
            Timer::PlatformPoll,
            Timer::OrderRound,
            Timer::Sweep,
            Timer::ClaimCleanup,
        ];
        for timer in periodic {
            self.timers.set(now, timer);
        }
        let op = self.new_op();
        out.push(Effect::Object { op, request: crate::platform::ObjectRequest::GetSnapshot });
    }

    fn on_sweep_timer(&mut self, now: TimeMs, out: &mut Effects) {
        self.timers.set(now + crate::watch::SWEEP_INTERVAL, Timer::Sweep);
        self.quarantine.sweep(now);
        self.check_verdict_row(now, out);
        self.shares.drop_idle(now);
        self.finished.drop_expired(now, self.settings.limits.finished_ms);
        self.progress.sweep(now);
        self.sweep_endpoints(now, out);
        self.update_isolation(now, out);
        self.check_ready(now, out);
        self.check_commits(now, out);
    }

    fn on_object(&mut self, now: TimeMs, reply: ObjectReply, out: &mut Effects) {
        if let ObjectReply::Snapshot(Some(snapshot)) = reply {
            self.load_snapshot(now, &snapshot, out);
        }
    }

    fn on_table(&mut self, now: TimeMs, op: OpId, reply: TableReply, out: &mut Effects) {
        self.update_table_state(now, &reply, out);
        let Some(operation) = self.pending_table_operations.remove(&op) else {
            return;
        };
        match operation {
            TableOperation::ClaimBatch => self.on_claim_batch_reply(now, op, reply, out),
            TableOperation::ClaimRead(job) => self.on_claim_read(now, job, reply, out),
            TableOperation::HeadPoll => self.on_head_read(now, reply, out),
            TableOperation::ChangesRead => self.on_changes_read(now, reply, out),
            TableOperation::ListCommit(commit) => self.on_commit_reply(now, commit, reply, out),
            TableOperation::ListReadBack(commit) => self.on_commit_read_back(now, commit, reply, out),
            TableOperation::ListConflict(commit) => self.on_commit_conflict_read(now, commit, reply, out),
            TableOperation::LeaseRead => self.on_lease_read(now, reply, out),
            TableOperation::LeaseWrite => self.on_lease_written(now, reply, out),
            TableOperation::VerdictsWrite => self.on_verdicts_written(now, reply, out),
        }
    }

    fn update_table_state(&mut self, now: TimeMs, reply: &TableReply, out: &mut Effects) {
        let is_up = !matches!(reply, TableReply::Unavailable | TableReply::Lost);
        if is_up && !self.may_have_stale_input(now) {
            self.last_table_reply_at = Some(now);
        } else if !is_up {
            out.count(Counter::TableRequestFailed);
        }
        if is_up != self.table_is_up {
            self.table_is_up = is_up;
            let change = if is_up {
                crate::state_change::StateChange::TableUp
            } else {
                crate::state_change::StateChange::TableDown
            };
            out.log(change);
        }
    }

    /// Sends a request to the table service and registers what its reply is for.
    pub(crate) fn ask_table(&mut self, request: TableRequest, operation: TableOperation, out: &mut Effects) -> OpId {
        let op = self.new_op();
        self.pending_table_operations.insert(op, operation);
        out.count(Counter::TableRequestSent);
        out.push(Effect::Table { op, request });
        op
    }

    /// Allocates an operation id.
    pub(crate) fn new_op(&mut self) -> OpId {
        let op = self.next_op;
        self.next_op = op.next();
        op
    }

    /// Index of a pipeline in the settings and in `latency`.
    pub(crate) fn pipeline_index(&self, id: &PipelineId) -> Option<usize> {
        self.settings.pipelines.iter().position(|pipeline| pipeline.id == *id)
    }

    /// Answers a call that waits for no request in progress.
    pub(crate) fn reply_directly(&mut self, call: CallId, outcome: Outcome, out: &mut Effects) {
        out.count(outcome_counter(outcome.kind()));
        let alternative_addresses = if self.is_draining() { self.alternative_addresses() } else { Vec::new() };
        out.push(Effect::Reply { call, outcome, alternative_addresses });
    }

    /// Addresses of up to three other serving VMs, those of this region first.
    fn alternative_addresses(&self) -> Vec<SocketAddr> {
        let home_region = &self.settings.region;
        let mut candidates: Vec<_> = self
            .membership
            .serving()
            .filter(|record| record.vm != self.settings.vm)
            .map(|record| (record.region != *home_region, record.caller_address))
            .collect();
        candidates.sort();
        candidates.truncate(3);
        candidates.into_iter().map(|(_, address)| address).collect()
    }

    fn answer_addresses(&mut self, call: CallId, workspace: &WorkspaceId, region: Option<Region>, out: &mut Effects) {
        let plan = self.lists.plan(workspace);
        let count = plan.map_or(1, |plan| plan.entry_vms);
        let allowed = self.lists.allowlist(workspace).map(|list| &list.regions);
        let region = region.unwrap_or_else(|| self.settings.region.clone());
        self.address_rotation = self.address_rotation.wrapping_add(1);
        let valid_ms = self.settings.limits.address_valid_ms;
        let answer = crate::address::resolve_addresses(
            &self.membership,
            workspace,
            allowed,
            &region,
            count,
            self.address_rotation,
            valid_ms,
        );
        out.push(Effect::AddressAnswer { call, answer });
    }

    /// Address of an endpoint, for tests and benches.
    pub fn endpoint_address(&self, id: &EndpointId) -> Option<SocketAddr> {
        self.endpoints.find(id).map(|idx| self.endpoints.get(idx).address)
    }

    /// Pipelines this node serves.
    pub fn pipelines(&self) -> &[Arc<boragepass_types::Pipeline>] {
        &self.settings.pipelines
    }
}

/// Counter of an outcome's kind.
pub(crate) fn outcome_counter(kind: OutcomeKind) -> Counter {
    match kind {
        OutcomeKind::Answered => Counter::OutcomeAnswered,
        OutcomeKind::NotRun => Counter::OutcomeNotRun,
        OutcomeKind::Failed => Counter::OutcomeFailed,
        OutcomeKind::Unknown => Counter::OutcomeUnknown,
    }
}
