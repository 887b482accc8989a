//! Whether a request is taken on.
//!
//! Every reason to refuse is checked before anything of the request runs, so that a refusal is
//! truthfully `not_run`. What cannot make its deadline is refused at once instead of late.

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

const RETRY_SOON: SpanMs = SpanMs(200);
const RETRY_LATER: SpanMs = SpanMs(1_000);
const QUEUE_SHARE_FOR_FIRST_STAGES: usize = 2;

/// A plan with what it may use.
pub(crate) struct Terms {
    pub(crate) plan: Arc<Plan>,
    pub(crate) allowlist: Option<Arc<Allowlist>>,
}

impl Node {
    /// Takes a request on, or answers it at once.
    pub(crate) fn submit(&mut self, now: TimeMs, call: CallId, key: &AccessKey, request: Request, out: &mut Effects) {
        out.count(Counter::Submitted);
        let terms = match self.check_access(now, key, &request, out) {
            Ok(terms) => terms,
            Err(outcome) => {
                self.reply_directly(call, outcome, out);
                return;
            }
        };
        if self.join_or_replay(now, call, &request, out) {
            return;
        }
        match self.admit(now, &terms, &request) {
            Ok(admission) => self.begin(now, call, request, &terms, admission, out),
            Err(reason) => self.refuse(now, call, &request, reason, out),
        }
    }

    /// Lists must be in force and the key must open the workspace.
    fn check_access(
        &mut self,
        now: TimeMs,
        key: &AccessKey,
        request: &Request,
        out: &mut Effects,
    ) -> Result<Terms, Outcome> {
        if !self.is_ready() {
            return Err(Outcome::not_run_retry(NotRunReason::NoLists, RETRY_LATER));
        }
        if self.is_isolated(now) {
            return Err(Outcome::not_run_retry(NotRunReason::Isolated, RETRY_LATER));
        }
        let plan = self.lists.plan(&request.workspace).cloned();
        match plan.filter(|plan| plan.key_hash.matches(&plan.key_salt, key)) {
            Some(plan) => {
                let allowlist = self.lists.allowlist(&request.workspace).cloned();
                Ok(Terms { plan, allowlist })
            }
            None => {
                out.count(Counter::AccessRefused);
                Err(Outcome::not_run(NotRunReason::Forbidden))
            }
        }
    }

    /// A resend of what runs waits for it; a resend of what is done gets its answer.
    fn join_or_replay(&mut self, now: TimeMs, call: CallId, request: &Request, out: &mut Effects) -> bool {
        let by_id = self.requests.find(&request.workspace, &request.id);
        let by_key = self.claim_key(request).and_then(|key| self.claims.request_for_key(&key));
        let running = by_id
            .or(by_key)
            .filter(|key| self.requests.get(*key).is_some_and(|active| active.request.digest == request.digest));
        if let Some(key) = running {
            out.count(Counter::Joined);
            self.requests.add_waiter(key, Waiter { call, stream: request.is_streaming });
            self.tracer.record(now, &request.workspace, &request.id, Decision::Joined);
            return true;
        }
        let id = (request.workspace.clone(), request.id.clone());
        let Some(outcome) = self.finished.find(&id, request.digest).cloned() else {
            return false;
        };
        out.count(Counter::Replayed);
        self.reply_directly(call, outcome, out);
        true
    }

    /// Row of the claim that a request needs.
    pub(crate) fn claim_key(&self, request: &Request) -> Option<RowKey> {
        let key = request.idempotency_key.clone()?;
        Some(RowKey::Claim(request.workspace.clone(), key))
    }

    fn admit(&mut self, now: TimeMs, terms: &Terms, request: &Request) -> Result<Admission, NotRunReason> {
        if self.is_draining() {
            return Err(NotRunReason::Draining);
        }
        let pipeline_index = self.pipeline_index(&request.pipeline);
        let pipeline_index =
            pipeline_index.ok_or_else(|| NotRunReason::UnknownPipeline(request.pipeline.to_string()))?;
        let pipeline = self.settings.pipelines[pipeline_index].clone();
        let regions = check_allowlist(terms, &pipeline)?;
        if !pipeline.is_repeatable() && request.idempotency_key.is_none() {
            return Err(NotRunReason::KeyRequired);
        }
        let is_suspect = self.check_clearance(now, request)?;
        if self.requests.len() >= self.settings.limits.requests_in_progress_max {
            return Err(NotRunReason::Shed);
        }
        let left = request.deadline_ms.map_or(terms.plan.deadline_ms, |asked| asked.min(terms.plan.deadline_ms));
        let predicted = self.predict(now, pipeline_index, 0, terms, now + left);
        if predicted > left {
            return Err(NotRunReason::DeadlineTooShort { predicted, left });
        }
        let first_pool = &pipeline.stages[0].pool;
        let waiting =
            self.queues.get(first_pool).map_or(0, |queue| queue.len_before(terms.plan.priority, 0, now + left));
        if waiting >= self.settings.limits.queue_len_max / QUEUE_SHARE_FOR_FIRST_STAGES {
            return Err(NotRunReason::Shed);
        }
        self.take_share(now, terms)?;
        Ok(Admission { pipeline, pipeline_index, regions, left, predicted, is_suspect })
    }

    fn check_clearance(&self, now: TimeMs, request: &Request) -> Result<bool, NotRunReason> {
        match self.quarantine.clearance(now, request.digest) {
            Clearance::Free => Ok(false),
            Clearance::Alone => Ok(true),
            Clearance::UnderRemoteTrial(_) => Err(NotRunReason::UnderTrial),
            Clearance::Quarantined(_) => Err(NotRunReason::Quarantined),
        }
    }

    fn take_share(&mut self, now: TimeMs, terms: &Terms) -> Result<(), NotRunReason> {
        let (vms, rank) = self.share_of(terms);
        self.shares.try_take(now, &terms.plan, vms, rank).map_err(|refusal| match refusal {
            ShareRefusal::Rate => NotRunReason::RateLimited,
            ShareRefusal::InFlight => NotRunReason::TooManyInFlight,
        })
    }

    /// Number of VMs that share a plan, and this VM's place among them.
    fn share_of(&mut self, terms: &Terms) -> (usize, usize) {
        let view = self.membership.view_version;
        let workspace = &terms.plan.workspace;
        let lists = self.lists.version();
        if let Some(known) = self.share_cache.get(workspace).filter(|known| (known.view, known.lists) == (view, lists))
        {
            return (known.vms, known.rank);
        }
        let allowed = terms.allowlist.as_ref().map(|list| &list.regions);
        let serving = serving_vms(&self.membership, workspace, allowed, terms.plan.entry_vms);
        let position = serving.iter().position(|record| record.vm == self.settings.vm);
        let vms = serving.len().max(1);
        let rank = position.unwrap_or(vms - 1);
        self.share_cache.insert(workspace.clone(), KnownShare { view, lists, vms, rank });
        (vms, rank)
    }

    /// Predicted time of a pipeline's stages from `first` on.
    pub(crate) fn predict(
        &self,
        now: TimeMs,
        pipeline_index: usize,
        first: usize,
        terms: &Terms,
        deadline_at: TimeMs,
    ) -> SpanMs {
        let pipeline = &self.settings.pipelines[pipeline_index];
        let mut total = SpanMs(0);
        for (index, stage) in pipeline.stages.iter().enumerate().skip(first) {
            let usual = self.latency[pipeline_index][index].whole.quantiles(now).p50;
            let waiting = self
                .queues
                .get(&stage.pool)
                .map_or(0, |queue| queue.len_before(terms.plan.priority, index, deadline_at));
            total += usual;
            total += self.queue_wait(&stage.pool, waiting, usual);
        }
        total
    }

    fn begin(
        &mut self,
        now: TimeMs,
        call: CallId,
        request: Request,
        terms: &Terms,
        admission: Admission,
        out: &mut Effects,
    ) {
        out.count(Counter::Admitted);
        let lists = self.lists.version().unwrap_or_default();
        let Admission { pipeline, pipeline_index, regions, left, predicted, is_suspect } = admission;
        let decision = Decision::Admitted { predicted, left, lists };
        self.tracer.record(now, &request.workspace, &request.id, decision);
        let claim = if pipeline.is_repeatable() { None } else { self.claim_key(&request) };
        let deadline_at = now + left;
        let digest = request.digest;
        let active = ActiveRequest {
            pipeline,
            pipeline_index,
            priority: terms.plan.priority,
            attainment_weight: terms.plan.attainment_weight_permille,
            entry_vms: terms.plan.entry_vms,
            regions,
            waiters: vec![Waiter { call, stream: request.is_streaming }],
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
        self.timers.set(deadline_at, Timer::Deadline(key));
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
        let counts = bears_on_service_level(&reason);
        let retry_after_ms = self.retry_after(now, request, &reason);
        let outcome = Outcome::NotRun { reason, retry_after_ms };
        if self.pipeline_index(&request.pipeline).is_some() {
            self.usage.record_outcome(now, &request.workspace, &request.pipeline, outcome.kind(), counts);
        }
        self.reply_directly(call, outcome, out);
    }

    fn retry_after(&self, now: TimeMs, request: &Request, reason: &NotRunReason) -> Option<SpanMs> {
        match reason {
            NotRunReason::RateLimited | NotRunReason::TooManyInFlight => Some(RETRY_SOON),
            NotRunReason::Shed | NotRunReason::UnderTrial | NotRunReason::DeadlineTooShort { .. } => Some(RETRY_LATER),
            NotRunReason::NoEndpoint(_) | NotRunReason::ClaimUnavailable => Some(RETRY_LATER),
            NotRunReason::Draining => Some(SpanMs(0)),
            NotRunReason::Quarantined => match self.quarantine.clearance(now, request.digest) {
                Clearance::Quarantined(left) => Some(left),
                _ => None,
            },
            _ => None,
        }
    }
}

/// Share of a plan as last worked out.
#[derive(Debug, Clone)]
pub(crate) struct KnownShare {
    view: u64,
    lists: Option<boragepass_types::ListVersion>,
    vms: usize,
    rank: usize,
}

/// What an admitted request runs with.
struct Admission {
    pipeline: Arc<Pipeline>,
    pipeline_index: usize,
    regions: Arc<BTreeSet<Region>>,
    left: SpanMs,
    predicted: SpanMs,
    is_suspect: bool,
}

fn check_allowlist(terms: &Terms, pipeline: &Pipeline) -> Result<Arc<BTreeSet<Region>>, NotRunReason> {
    let Some(allowlist) = &terms.allowlist else {
        return Err(NotRunReason::NotAllowed("anything: there is none for this workspace".to_owned()));
    };
    match allowlist.first_missing(pipeline) {
        Some(missing) => Err(NotRunReason::NotAllowed(missing)),
        None => Ok(Arc::new(allowlist.regions.clone())),
    }
}

/// Whether a refusal counts against the service level; what the caller or the plan caused does not.
pub(crate) fn bears_on_service_level(reason: &NotRunReason) -> bool {
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
