//! Claims on requests that may not be repeated.
//!
//! A claim is a row that is inserted only if it is absent. Whoever holds it dispatches once. A
//! write whose reply was lost is read back; if it is not there it may still land, so a tombstone
//! takes its place, on which the delayed write fails. A claim whose request gave up before the
//! dispatch is released; a claim whose owner died is `unknown` and never runs again.
//!
//! This module decides and keeps no request: it tells the node what to write, read and grant.

use boragepass_types::{ContentDigest, Incarnation, OpId, Payload, RowVersion, SpanMs, TimeMs, VmId};

use crate::claim_output::{ClaimOutput, ClaimRefusal, WriteRoute};
use crate::claim_row::{ClaimOwner, ClaimRow, ClaimState};
use crate::explain::ClaimStep;
use crate::map::Map;
use crate::message::{ClaimStatus, ClaimWrite, ClaimWriteResult};
use crate::platform::{ExpectedVersion, Row, RowKey, RowValue, WriteId};
use crate::request_table::RequestKey;

const JOBS_MAX: usize = 20_000;
const WAIT: SpanMs = SpanMs(500);
const CLEANUP_INTERVAL: SpanMs = SpanMs(100);

#[derive(Debug, Clone, PartialEq, Eq)]
enum Purpose {
    Acquire,
    Tombstone { original: Box<ClaimWrite> },
    Release,
    Settle,
    MarkUnknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Writing,
    Reading,
    Waiting,
}

#[derive(Debug, Clone)]
struct Job {
    write: ClaimWrite,
    purpose: Purpose,
    phase: Phase,
    started_at: TimeMs,
    request: Option<RequestKey>,
}

/// Claim that a request holds.
#[derive(Debug, Clone)]
struct Held {
    request: RequestKey,
    version: RowVersion,
    digest: ContentDigest,
}

/// Question to another owner.
#[derive(Debug, Clone)]
struct Asking {
    request: RequestKey,
    row: Row,
    digest: ContentDigest,
}

/// All claims of this VM.
#[derive(Debug)]
pub(crate) struct Claims {
    owner: ClaimOwner,
    next_op: OpId,
    jobs: Map<OpId, Job>,
    held: Map<RowKey, Held>,
    asking: Map<RowKey, Asking>,
}

fn claim_row(row: &Row) -> Option<&ClaimRow> {
    match &row.value {
        RowValue::Claim(claim) => Some(claim),
        _ => None,
    }
}

/// Output of the stage that an earlier owner finished.
fn done_stage(write: &ClaimWrite) -> Option<Payload> {
    match &write.row.state {
        ClaimState::Held { stage_output, .. } => stage_output.clone(),
        _ => None,
    }
}

/// Whether a row is still as a write expected it, so that the write may yet land.
fn may_land(expect: ExpectedVersion, row: Option<&Row>) -> bool {
    match (expect, row) {
        (ExpectedVersion::Absent, None) => true,
        (ExpectedVersion::Version(version), Some(row)) => row.version == version,
        (ExpectedVersion::Any, _) => true,
        _ => false,
    }
}

impl Claims {
    /// Claims of a VM that holds none.
    pub(crate) fn new(vm: VmId, incarnation: Incarnation) -> Self {
        let owner = ClaimOwner { vm, incarnation };
        Self { owner, next_op: OpId(1), jobs: Map::default(), held: Map::default(), asking: Map::default() }
    }

    /// Request that holds or wants a key on this VM.
    pub(crate) fn request_for_key(&self, key: &RowKey) -> Option<RequestKey> {
        let held = self.held.get(key).map(|held| held.request);
        held.or_else(|| self.asking.get(key).map(|asking| asking.request)).or_else(|| {
            self.jobs.values().find(|job| job.write.key == *key && job.request.is_some()).and_then(|job| job.request)
        })
    }

    /// Whether nothing is left to write.
    pub(crate) fn is_idle(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Asks for a claim.
    pub(crate) fn acquire(
        &mut self,
        now: TimeMs,
        request: RequestKey,
        key: RowKey,
        digest: ContentDigest,
    ) -> Vec<ClaimOutput> {
        let step = ClaimOutput::Step { request, step: ClaimStep::Sent };
        let mut outputs = vec![step];
        self.write_held(now, request, key, digest, ExpectedVersion::Absent, None, &mut outputs);
        outputs
    }

    fn write_held(
        &mut self,
        now: TimeMs,
        request: RequestKey,
        key: RowKey,
        digest: ContentDigest,
        expect: ExpectedVersion,
        stage_output: Option<Payload>,
        outputs: &mut Vec<ClaimOutput>,
    ) {
        let state = ClaimState::Held { owner: self.owner.clone(), stage_output };
        let row = ClaimRow { digest, state };
        self.start(now, key, expect, row, Purpose::Acquire, Some(request), outputs);
    }

    fn start(
        &mut self,
        now: TimeMs,
        key: RowKey,
        expect: ExpectedVersion,
        row: ClaimRow,
        purpose: Purpose,
        request: Option<RequestKey>,
        outputs: &mut Vec<ClaimOutput>,
    ) {
        let op = self.next_op;
        self.next_op = op.next();
        let id = WriteId { vm: self.owner.vm.clone(), incarnation: self.owner.incarnation, op };
        let write = ClaimWrite { key, expect, id, row };
        let is_first_try = purpose != Purpose::Acquire || expect == ExpectedVersion::Absent;
        let is_tombstone = matches!(purpose, Purpose::Tombstone { .. });
        let route = if is_first_try && !is_tombstone { WriteRoute::Committer } else { WriteRoute::Here };
        outputs.push(ClaimOutput::Write { write: write.clone(), route });
        if self.jobs.len() < JOBS_MAX || request.is_some() {
            self.jobs.insert(op, Job { write, purpose, phase: Phase::Writing, started_at: now, request });
        }
    }

    /// Takes over the fate of a write.
    pub(crate) fn on_write(&mut self, now: TimeMs, op: OpId, result: ClaimWriteResult) -> Vec<ClaimOutput> {
        let mut outputs = Vec::new();
        let is_waited_for = self.jobs.get(&op).is_some_and(|job| job.phase == Phase::Writing);
        if !is_waited_for {
            return outputs;
        }
        let Some(job) = self.jobs.remove(&op) else {
            return outputs;
        };
        match result {
            ClaimWriteResult::Committed(version) => self.on_committed(now, job, version, &mut outputs),
            ClaimWriteResult::Conflict(row) => self.on_row(now, job, row, &mut outputs),
            ClaimWriteResult::Unavailable => self.on_unavailable(job, &mut outputs),
            ClaimWriteResult::Lost => self.read_back(now, job, &mut outputs),
        }
        outputs
    }

    fn on_committed(&mut self, now: TimeMs, job: Job, version: RowVersion, outputs: &mut Vec<ClaimOutput>) {
        match job.purpose {
            Purpose::Acquire => self.grant(now, job.request, &job.write, version, outputs),
            Purpose::Tombstone { original } => self.acquire_anew(now, job.request, &original, version, outputs),
            Purpose::Release | Purpose::Settle | Purpose::MarkUnknown => {}
        }
    }

    /// Goes on from a tombstone, if the request still waits.
    fn acquire_anew(
        &mut self,
        now: TimeMs,
        request: Option<RequestKey>,
        original: &ClaimWrite,
        version: RowVersion,
        outputs: &mut Vec<ClaimOutput>,
    ) {
        if let Some(request) = request {
            let stage_output = done_stage(original);
            let (key, digest) = (original.key.clone(), original.row.digest);
            self.write_held(now, request, key, digest, ExpectedVersion::Version(version), stage_output, outputs);
        }
    }

    fn grant(
        &mut self,
        now: TimeMs,
        request: Option<RequestKey>,
        write: &ClaimWrite,
        version: RowVersion,
        outputs: &mut Vec<ClaimOutput>,
    ) {
        let stage_output = done_stage(write);
        let Some(request) = request else {
            self.write_release(now, write.key.clone(), write.row.digest, version, stage_output, outputs);
            return;
        };
        self.held.insert(write.key.clone(), Held { request, version, digest: write.row.digest });
        outputs.push(ClaimOutput::Step { request, step: ClaimStep::Held });
        outputs.push(ClaimOutput::Granted { request, stage_output });
    }

    fn write_release(
        &mut self,
        now: TimeMs,
        key: RowKey,
        digest: ContentDigest,
        version: RowVersion,
        stage_output: Option<Payload>,
        outputs: &mut Vec<ClaimOutput>,
    ) {
        let state = match stage_output {
            Some(stage_output) => ClaimState::StageDone { stage_output },
            None => ClaimState::Released,
        };
        let row = ClaimRow { digest, state };
        self.start(now, key, ExpectedVersion::Version(version), row, Purpose::Release, None, outputs);
    }

    fn refuse(&mut self, request: Option<RequestKey>, why: ClaimRefusal, outputs: &mut Vec<ClaimOutput>) {
        if let Some(request) = request {
            outputs.push(ClaimOutput::Refused { request, why });
        }
    }

    fn on_unavailable(&mut self, mut job: Job, outputs: &mut Vec<ClaimOutput>) {
        self.refuse(job.request.take(), ClaimRefusal::Unavailable, outputs);
        match job.purpose {
            Purpose::Acquire | Purpose::MarkUnknown => {}
            Purpose::Tombstone { .. } | Purpose::Release | Purpose::Settle => self.wait(job),
        }
    }

    fn wait(&mut self, mut job: Job) {
        job.phase = Phase::Waiting;
        self.jobs.insert(job.write.id.op, job);
    }

    fn read_back(&mut self, now: TimeMs, mut job: Job, outputs: &mut Vec<ClaimOutput>) {
        if job.purpose == Purpose::MarkUnknown {
            return;
        }
        job.phase = Phase::Reading;
        job.started_at = now;
        if let Some(request) = job.request {
            outputs.push(ClaimOutput::Step { request, step: ClaimStep::ReadBack });
        }
        outputs.push(ClaimOutput::Read { job: job.write.id.op, key: job.write.key.clone() });
        self.jobs.insert(job.write.id.op, job);
    }

    /// Takes over a row that was read back; `None` when it could not be read.
    pub(crate) fn on_read(&mut self, now: TimeMs, job: OpId, row: Option<Option<Row>>) -> Vec<ClaimOutput> {
        let mut outputs = Vec::new();
        let is_waited_for = self.jobs.get(&job).is_some_and(|job| job.phase == Phase::Reading);
        if !is_waited_for {
            return outputs;
        }
        let Some(mut job) = self.jobs.remove(&job) else {
            return outputs;
        };
        let Some(row) = row else {
            self.refuse(job.request.take(), ClaimRefusal::Unavailable, &mut outputs);
            self.wait(job);
            return outputs;
        };
        if !may_land(job.write.expect, row.as_ref()) {
            self.on_row(now, job, row, &mut outputs);
            return outputs;
        }
        match job.purpose {
            Purpose::Acquire => self.bury(now, job, &mut outputs),
            Purpose::Tombstone { .. } | Purpose::Release | Purpose::Settle => self.write_again(now, job, &mut outputs),
            Purpose::MarkUnknown => {}
        }
        outputs
    }

    /// Puts a tombstone where a write may still land.
    fn bury(&mut self, now: TimeMs, job: Job, outputs: &mut Vec<ClaimOutput>) {
        if let Some(request) = job.request {
            outputs.push(ClaimOutput::Step { request, step: ClaimStep::Tombstone });
        }
        let state = match done_stage(&job.write) {
            Some(stage_output) => ClaimState::StageDone { stage_output },
            None => ClaimState::Released,
        };
        let row = ClaimRow { digest: job.write.row.digest, state };
        let (key, expect) = (job.write.key.clone(), job.write.expect);
        let purpose = Purpose::Tombstone { original: Box::new(job.write) };
        self.start(now, key, expect, row, purpose, job.request, outputs);
    }

    fn write_again(&mut self, now: TimeMs, mut job: Job, outputs: &mut Vec<ClaimOutput>) {
        job.phase = Phase::Writing;
        job.started_at = now;
        outputs.push(ClaimOutput::Write { write: job.write.clone(), route: WriteRoute::Here });
        self.jobs.insert(job.write.id.op, job);
    }

    /// Judges the row that stands where a write wanted to go.
    fn on_row(&mut self, now: TimeMs, mut job: Job, row: Option<Row>, outputs: &mut Vec<ClaimOutput>) {
        if let Some(row) = row.as_ref().filter(|row| row.write_id == job.write.id) {
            self.on_committed(now, job, row.version, outputs);
            return;
        }
        match &job.purpose {
            Purpose::Acquire => self.on_other_row(now, job, row, outputs),
            Purpose::Tombstone { original } => {
                let landed = row.as_ref().filter(|row| row.write_id == original.id);
                match landed.map(|row| row.version) {
                    Some(version) => {
                        let original = original.clone();
                        self.grant(now, job.request, &original, version, outputs);
                    }
                    None => self.on_other_row(now, job, row, outputs),
                }
            }
            Purpose::Release | Purpose::Settle => {
                let marked =
                    row.as_ref().filter(|row| claim_row(row).is_some_and(|claim| claim.state == ClaimState::Unknown));
                if let Some(row) = marked {
                    // Only the owner knows better than `unknown`.
                    job.write.expect = ExpectedVersion::Version(row.version);
                    self.write_again(now, job, outputs);
                }
            }
            Purpose::MarkUnknown => {}
        }
    }

    /// Judges somebody else's row for a request that wants the claim.
    fn on_other_row(&mut self, now: TimeMs, job: Job, row: Option<Row>, outputs: &mut Vec<ClaimOutput>) {
        let Some(request) = job.request else {
            return;
        };
        let (key, digest) = (job.write.key, job.write.row.digest);
        let Some(row) = row else {
            self.write_held(now, request, key, digest, ExpectedVersion::Absent, None, outputs);
            return;
        };
        let claim = claim_row(&row).cloned();
        let Some(claim) = claim.filter(|claim| claim.digest == digest) else {
            self.refuse(Some(request), ClaimRefusal::KeyConflict, outputs);
            return;
        };
        let expect = ExpectedVersion::Version(row.version);
        match claim.state {
            ClaimState::Released => self.write_held(now, request, key, digest, expect, None, outputs),
            ClaimState::StageDone { stage_output } => {
                self.write_held(now, request, key, digest, expect, Some(stage_output), outputs);
            }
            ClaimState::Answered { output } => self.refuse(Some(request), ClaimRefusal::Answered(output), outputs),
            ClaimState::Unknown => self.refuse(Some(request), ClaimRefusal::Unknown, outputs),
            ClaimState::Held { owner, .. } => {
                let version = row.version;
                outputs.push(ClaimOutput::Step { request, step: ClaimStep::HeldByOther });
                self.asking.insert(key.clone(), Asking { request, row, digest });
                outputs.push(ClaimOutput::AskOwner { request, key, version, owner });
            }
        }
    }

    /// Takes over what an owner says of its claim.
    pub(crate) fn on_owner_status(
        &mut self,
        now: TimeMs,
        key: &RowKey,
        version: RowVersion,
        status: ClaimStatus,
    ) -> Vec<ClaimOutput> {
        let mut outputs = Vec::new();
        if self.asking.get(key).is_none_or(|asking| asking.row.version != version) {
            return outputs;
        }
        let Some(asking) = self.asking.remove(key) else {
            return outputs;
        };
        let stage_output = match claim_row(&asking.row).map(|claim| claim.state.clone()) {
            Some(ClaimState::Held { stage_output, .. }) => stage_output,
            _ => None,
        };
        let is_free = status == ClaimStatus::WillNotRun || (status == ClaimStatus::NotKnown && stage_output.is_some());
        if is_free {
            let expect = ExpectedVersion::Version(version);
            self.write_held(now, asking.request, key.clone(), asking.digest, expect, stage_output, &mut outputs);
            return outputs;
        }
        if status == ClaimStatus::InProgress {
            self.refuse(Some(asking.request), ClaimRefusal::InProgress, &mut outputs);
            return outputs;
        }
        let row = ClaimRow { digest: asking.digest, state: ClaimState::Unknown };
        let expect = ExpectedVersion::Version(version);
        self.start(now, key.clone(), expect, row, Purpose::MarkUnknown, None, &mut outputs);
        self.refuse(Some(asking.request), ClaimRefusal::Unknown, &mut outputs);
        outputs
    }

    /// Takes over from a dead owner whose stage is known to be done.
    pub(crate) fn take_over_done(
        &mut self,
        now: TimeMs,
        key: &RowKey,
        version: RowVersion,
        stage_output: Payload,
    ) -> Vec<ClaimOutput> {
        let mut outputs = Vec::new();
        if let Some(asking) = self.asking.remove(key) {
            let expect = ExpectedVersion::Version(version);
            let (request, digest) = (asking.request, asking.digest);
            self.write_held(now, request, key.clone(), digest, expect, Some(stage_output), &mut outputs);
        }
        outputs
    }

    /// Whether a request waits for another owner's word.
    pub(crate) fn is_asking(&self, request: RequestKey) -> bool {
        self.asking.values().any(|asking| asking.request == request)
    }

    /// What this VM says of a claim whose row names it as owner.
    pub(crate) fn status_of(&self, key: &RowKey) -> ClaimStatus {
        if self.held.contains_key(key) {
            return ClaimStatus::InProgress;
        }
        let mut jobs = self.jobs.values().filter(|job| job.write.key == *key).peekable();
        if jobs.peek().is_none() {
            return ClaimStatus::NotKnown;
        }
        // A release that carries a stage's result says that the stage ran; until it has landed, the row does not.
        let has_run = |job: &Job| {
            matches!(job.purpose, Purpose::Settle) || matches!(job.write.row.state, ClaimState::StageDone { .. })
        };
        if jobs.any(|job| job.request.is_some() || has_run(job)) {
            ClaimStatus::InProgress
        } else {
            ClaimStatus::WillNotRun
        }
    }

    /// Gives up a request that has no claim yet; it will not run.
    pub(crate) fn abandon(&mut self, request: RequestKey) {
        self.asking.retain(|_, asking| asking.request != request);
        for job in self.jobs.values_mut().filter(|job| job.request == Some(request)) {
            job.request = None;
        }
    }

    /// Releases a claim under which nothing was dispatched.
    pub(crate) fn release(&mut self, now: TimeMs, key: &RowKey, stage_output: Option<Payload>) -> Vec<ClaimOutput> {
        let mut outputs = Vec::new();
        if let Some(held) = self.held.remove(key) {
            self.write_release(now, key.clone(), held.digest, held.version, stage_output, &mut outputs);
        }
        outputs
    }

    /// Settles a claim for good.
    pub(crate) fn settle(&mut self, now: TimeMs, key: &RowKey, state: ClaimState) -> Vec<ClaimOutput> {
        let mut outputs = Vec::new();
        if let Some(held) = self.held.remove(key) {
            let row = ClaimRow { digest: held.digest, state };
            let expect = ExpectedVersion::Version(held.version);
            self.start(now, key.clone(), expect, row, Purpose::Settle, None, &mut outputs);
        }
        outputs
    }

    /// Takes up jobs that wait and writes whose fate never came.
    pub(crate) fn clean_up(&mut self, now: TimeMs, timeout: SpanMs) -> Vec<ClaimOutput> {
        let mut due: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, job)| match job.phase {
                Phase::Waiting => now.since(job.started_at) > WAIT,
                Phase::Writing | Phase::Reading => now.since(job.started_at) > timeout,
            })
            .map(|(op, _)| *op)
            .collect();
        due.sort();
        let mut outputs = Vec::new();
        for op in due {
            if let Some(job) = self.jobs.remove(&op) {
                self.read_back(now, job, &mut outputs);
            }
        }
        outputs
    }

    /// Interval of [`Self::clean_up`].
    pub(crate) fn cleanup_interval() -> SpanMs {
        CLEANUP_INTERVAL
    }
}
