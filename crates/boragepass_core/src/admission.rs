//! Decides whether a request is admitted.
//!
//! A resend joins the request in progress or gets the stored outcome. Everything else is checked
//! against the lists, the quarantine, the plan's limits and the predicted time. All checks come
//! before any stage runs, so that a refusal is truthfully `not_run`. A request that is predicted to
//! miss its deadline is refused at once rather than after its deadline.

use std::collections::BTreeSet;
use std::sync::Arc;

use boragepass_types::{
    AccessKey, Allowlist, CallId, NotRunReason, Outcome, Pipeline, Plan, Region, Request, SpanMs, TimeMs,
};

use crate::address::serving_vms;
use crate::counter::Counter;
use crate::effect::Effects;
use crate::explain::Decision;
use crate::node::Node;
use crate::platform::RowKey;
use crate::quarantine::Clearance;
use crate::request_table::{ActiveRequest, Phase, Waiter};
use crate::shares::ShareRefusal;
use crate::timers::Timer;

const LIMIT_RETRY_AFTER: SpanMs = SpanMs(200);
const OVERLOAD_RETRY_AFTER: SpanMs = SpanMs(1_000);
/// A new request is refused once half of a full queue would go before it; the rest is for later stages.
const FIRST_STAGE_QUEUE_DIVISOR: usize = 2;

/// Plan and allowlist of one workspace.
pub(crate) struct PlanPolicy {
    pub(crate) plan: Arc<Plan>,
    pub(crate) allowlist: Option<Arc<Allowlist>>,
}

impl Node {
    /// Admits a request, or answers it at once.
    pub(crate) fn submit(&mut self, now: TimeMs, call: CallId, key: &AccessKey, request: Request, out: &mut Effects) {
        out.count(Counter::RequestSubmitted);
        let policy = match self.check_access(now, key, &request, out) {
            Ok(policy) => policy,
            Err(outcome) => {
                self.reply_directly(call, outcome, out);
                return;
            }
        };
        if self.join_or_replay(now, call, &request, out) {
            return;
        }
        match self.admit(now, &policy, &request) {
            Ok(admission) => self.start_request(now, call, request, &policy, admission, out),
            Err(reason) => self.refuse(now, call, &request, reason, out),
        }
    }

    /// Checks that this VM has lists, is not isolated, and that the key opens the workspace.
    fn check_access(
        &mut self,
        now: TimeMs,
        key: &AccessKey,
        request: &Request,
        out: &mut Effects,
    ) -> Result<PlanPolicy, Outcome> {
        if !self.is_ready() {
            return Err(Outcome::not_run_retry(NotRunReason::NoLists, OVERLOAD_RETRY_AFTER));
        }
        if self.is_isolated(now) {
            return Err(Outcome::not_run_retry(NotRunReason::Isolated, OVERLOAD_RETRY_AFTER));
        }
        let plan = self.lists.plan(&request.workspace).cloned();
        match plan.filter(|plan| plan.key_hash.matches(&plan.key_salt, key)) {
            Some(plan) => {
                let allowlist = self.lists.allowlist(&request.workspace).cloned();
                Ok(PlanPolicy { plan, allowlist })
            }
            None => {
                out.count(Counter::AccessRefused);
                Err(Outcome::not_run(NotRunReason::Forbidden))
            }
        }
    }

    /// Lets a resend wait for the request in progress, or answers it with the stored outcome; returns
    /// false if the request is neither.
    fn join_or_replay(&mut self, now: TimeMs, call: CallId, request: &Request, out: &mut Effects) -> bool {
        let by_id = self.requests.find(&request.workspace, &request.id);
        let by_key = self.claim_key(request).and_then(|key| self.claims.request_for_key(&key));
        let running_key = by_id
            .or(by_key)
            .filter(|key| self.requests.get(*key).is_some_and(|active| active.request.digest == request.digest));
        if let Some(key) = running_key {
            out.count(Counter::RequestJoined);
            self.requests.add_waiter(key, Waiter { call, wants_stream: request.is_streaming });
            self.tracer.record(now, &request.workspace, &request.id, Decision::Joined);
            return true;
        }
        let id = (request.workspace.clone(), request.id.clone());
        let Some(outcome) = self.finished.find(&id, request.digest).cloned() else {
            return false;
        };
        out.count(Counter::RequestReplayed);
        self.reply_directly(call, outcome, out);
        true
    }

    /// Row of a request's claim; `None` without an idempotency key.
    pub(crate) fn claim_key(&self, request: &Request) -> Option<RowKey> {
        let key = request.idempotency_key.clone()?;
        Some(RowKey::Claim(request.workspace.clone(), key))
    }

    fn admit(&mut self, now: TimeMs, policy: &PlanPolicy, request: &Request) -> Result<Admission, NotRunReason> {
        if self.is_draining() {
            return Err(NotRunReason::Draining);
        }
        let pipeline_index = self.pipeline_index(&request.pipeline);
        let pipeline_index =
            pipeline_index.ok_or_else(|| NotRunReason::UnknownPipeline(request.pipeline.to_string()))?;
        let pipeline = self.settings.pipelines[pipeline_index].clone();
        let regions = check_allowlist(policy, &pipeline)?;
        if !pipeline.is_repeatable() && request.idempotency_key.is_none() {
            return Err(NotRunReason::KeyRequired);
        }
        let is_suspect = self.check_quarantine(now, request)?;
        if self.requests.len() >= self.settings.limits.requests_in_progress_max {
            return Err(NotRunReason::Shed);
        }
        let time_left =
            request.deadline_ms.map_or(policy.plan.deadline_ms, |requested| requested.min(policy.plan.deadline_ms));
        let predicted = self.predict(now, pipeline_index, 0, policy, now + time_left);
        if predicted > time_left {
            return Err(NotRunReason::DeadlineTooShort { predicted, left: time_left });
        }
        let first_pool = &pipeline.stages[0].pool;
        let waiting =
            self.queues.get(first_pool).map_or(0, |queue| queue.len_before(policy.plan.priority, 0, now + time_left));
        if waiting >= self.settings.limits.queue_len_max / FIRST_STAGE_QUEUE_DIVISOR {
            return Err(NotRunReason::Shed);
        }
        self.take_plan_share(now, policy)?;
        Ok(Admission { pipeline, pipeline_index, regions, time_left, predicted, is_suspect })
    }

    /// Returns whether the content is suspected of crashing endpoints and must run alone.
    fn check_quarantine(&self, now: TimeMs, request: &Request) -> Result<bool, NotRunReason> {
        match self.quarantine.clearance(now, request.digest) {
            Clearance::Free => Ok(false),
            Clearance::Alone => Ok(true),
            Clearance::UnderRemoteTrial(_) => Err(NotRunReason::UnderTrial),
            Clearance::Quarantined(_) => Err(NotRunReason::Quarantined),
        }
    }

    fn take_plan_share(&mut self, now: TimeMs, policy: &PlanPolicy) -> Result<(), NotRunReason> {
        let (vms, rank) = self.plan_share(policy);
        self.shares.try_take(now, &policy.plan, vms, rank).map_err(|refusal| match refusal {
            ShareRefusal::Rate => NotRunReason::RateLimited,
            ShareRefusal::InFlight => NotRunReason::TooManyInFlight,
        })
    }

    /// Number of VMs that share a plan, and this VM's rank among them.
    fn plan_share(&mut self, policy: &PlanPolicy) -> (usize, usize) {
        let view = self.membership.view_version;
        let workspace = &policy.plan.workspace;
        let lists = self.lists.version();
        if let Some(cached) =
            self.share_cache.get(workspace).filter(|cached| (cached.view, cached.lists) == (view, lists))
        {
            return (cached.vms, cached.rank);
        }
        let allowed = policy.allowlist.as_ref().map(|list| &list.regions);
        let serving = serving_vms(&self.membership, workspace, allowed, policy.plan.entry_vms);
        let position = serving.iter().position(|record| record.vm == self.settings.vm);
        let vms = serving.len().max(1);
        let rank = position.unwrap_or(vms - 1);
        self.share_cache.insert(workspace.clone(), CachedPlanShare { view, lists, vms, rank });
        (vms, rank)
    }

    /// Predicted time of a pipeline's stages from `first` on: median time and queueing of each.
    pub(crate) fn predict(
        &self,
        now: TimeMs,
        pipeline_index: usize,
        first: usize,
        policy: &PlanPolicy,
        deadline_at: TimeMs,
    ) -> SpanMs {
        let pipeline = &self.settings.pipelines[pipeline_index];
        let mut total = SpanMs(0);
        for (index, stage) in pipeline.stages.iter().enumerate().skip(first) {
            let median_time = self.latency[pipeline_index][index].total.quantiles(now).p50;
            let waiting = self
                .queues
                .get(&stage.pool)
                .map_or(0, |queue| queue.len_before(policy.plan.priority, index, deadline_at));
            total += median_time;
            total += self.queue_wait(&stage.pool, waiting, median_time);
        }
        total
    }

    fn start_request(
        &mut self,
        now: TimeMs,
        call: CallId,
        request: Request,
        policy: &PlanPolicy,
        admission: Admission,
        out: &mut Effects,
    ) {
        out.count(Counter::RequestAdmitted);
        let lists = self.lists.version().unwrap_or_default();
        let Admission { pipeline, pipeline_index, regions, time_left, predicted, is_suspect } = admission;
        let decision = Decision::Admitted { predicted, left: time_left, lists };
        self.tracer.record(now, &request.workspace, &request.id, decision);
        let claim = if pipeline.is_repeatable() { None } else { self.claim_key(&request) };
        let deadline_at = now + time_left;
        let digest = request.digest;
        let active = ActiveRequest {
            pipeline,
            pipeline_index,
            priority: policy.plan.priority,
            attainment_weight: policy.plan.attainment_weight_permille,
            entry_vms: policy.plan.entry_vms,
            regions,
            waiters: vec![Waiter { call, wants_stream: request.is_streaming }],
            deadline_at,
            phase: Phase::Claiming,
            stage_index: 0,
            stage_started_at: now,
            input: request.input.clone(),
            text: String::new(),
            tokens: 0,
            attempts: Vec::new(),
            failed_endpoints: Vec::new(),
            attempts_made: 0,
            stream_moves: 0,
            executed_stages: Vec::new(),
            claim: claim.clone(),
            claimed_output: None,
            is_suspect,
            request,
        };
        let key = self.requests.insert(active);
        self.timers.set(deadline_at, Timer::RequestDeadline(key));
        match claim {
            Some(row) => {
                let limit = now + self.settings.limits.claim_timeout_ms;
                self.timers.set(limit.min(deadline_at), Timer::ClaimTimeout(key));
                let outputs = self.claims.acquire(now, key, row, digest);
                self.apply_claim_outputs(now, outputs, out);
            }
            None => self.start_first_stage(now, key, out),
        }
    }

    fn refuse(&mut self, now: TimeMs, call: CallId, request: &Request, reason: NotRunReason, out: &mut Effects) {
        self.tracer.record(now, &request.workspace, &request.id, Decision::Refused(reason.clone()));
        let is_counted = counts_against_service_level(&reason);
        let retry_after_ms = self.retry_after(now, request, &reason);
        let outcome = Outcome::NotRun { reason, retry_after_ms };
        if self.pipeline_index(&request.pipeline).is_some() {
            self.usage.record_outcome(now, &request.workspace, &request.pipeline, outcome.kind(), is_counted);
        }
        self.reply_directly(call, outcome, out);
    }

    fn retry_after(&self, now: TimeMs, request: &Request, reason: &NotRunReason) -> Option<SpanMs> {
        match reason {
            NotRunReason::RateLimited | NotRunReason::TooManyInFlight => Some(LIMIT_RETRY_AFTER),
            NotRunReason::Shed | NotRunReason::UnderTrial | NotRunReason::DeadlineTooShort { .. } => {
                Some(OVERLOAD_RETRY_AFTER)
            }
            NotRunReason::NoEndpoint(_) | NotRunReason::ClaimUnavailable => Some(OVERLOAD_RETRY_AFTER),
            NotRunReason::Draining => Some(SpanMs(0)),
            NotRunReason::Quarantined => match self.quarantine.clearance(now, request.digest) {
                Clearance::Quarantined(time_left) => Some(time_left),
                _ => None,
            },
            _ => None,
        }
    }
}

/// Result of `plan_share`, valid while the membership view and the lists are the same.
#[derive(Debug, Clone)]
pub(crate) struct CachedPlanShare {
    view: u64,
    lists: Option<boragepass_types::ListVersion>,
    vms: usize,
    rank: usize,
}

/// What the checks found out about an admitted request.
struct Admission {
    pipeline: Arc<Pipeline>,
    pipeline_index: usize,
    regions: Arc<BTreeSet<Region>>,
    time_left: SpanMs,
    predicted: SpanMs,
    is_suspect: bool,
}

fn check_allowlist(policy: &PlanPolicy, pipeline: &Pipeline) -> Result<Arc<BTreeSet<Region>>, NotRunReason> {
    let Some(allowlist) = &policy.allowlist else {
        return Err(NotRunReason::NotAllowed("anything: there is none for this workspace".to_owned()));
    };
    match allowlist.first_missing(pipeline) {
        Some(missing) => Err(NotRunReason::NotAllowed(missing)),
        None => Ok(Arc::new(allowlist.regions.clone())),
    }
}

/// Whether a refusal counts against the service level; one that the caller or the plan caused does not.
pub(crate) fn counts_against_service_level(reason: &NotRunReason) -> bool {
    match reason {
        NotRunReason::Forbidden
        | NotRunReason::UnknownPipeline(_)
        | NotRunReason::NotAllowed(_)
        | NotRunReason::KeyRequired
        | NotRunReason::KeyConflict
        | NotRunReason::RateLimited
        | NotRunReason::TooManyInFlight
        | NotRunReason::Quarantined
        | NotRunReason::Malformed
        | NotRunReason::CallerDisconnected => false,
        NotRunReason::Draining
        | NotRunReason::NoLists
        | NotRunReason::Isolated
        | NotRunReason::DeadlineTooShort { .. }
        | NotRunReason::Shed
        | NotRunReason::DeadlinePassed
        | NotRunReason::NoEndpoint(_)
        | NotRunReason::UnderTrial
        | NotRunReason::ClaimUnavailable => true,
    }
}
