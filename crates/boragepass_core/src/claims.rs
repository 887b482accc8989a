//! Claims on requests that must not be repeated.
//!
//! A claim is a row that is inserted only if it is absent. Its owner dispatches the request once.
//! A write whose reply was lost is read back. If the row is not there, the write may still commit
//! later, so a tombstone is written in its place and the delayed write fails on it. A claim whose
//! request ended before the dispatch is released. A claim whose owner died becomes `unknown` and
//! the request never runs again, unless the output of its stage that must not be repeated is known:
//! then it continues after that stage.
//!
//! This module decides and holds no requests: its outputs tell the node what to write and read, and
//! which requests got their claim.

use boragepass_types::{ContentDigest, Incarnation, OpId, Payload, RowVersion, SpanMs, TimeMs, VmId};

use crate::claim_output::{ClaimOutput, ClaimRefusal, WriteRoute};
use crate::claim_row::{ClaimOwner, ClaimRow, ClaimState};
use crate::explain::ClaimStep;
use crate::map::Map;
use crate::message::{ClaimStatus, ClaimWrite, ClaimWriteResult};
use crate::platform::{ExpectedVersion, Row, RowKey, RowValue, WriteId};
use crate::request_table::RequestKey;

/// Above this number, a write that no request waits for is sent without awaiting its result.
const PENDING_WRITES_MAX: usize = 20_000;
/// Time from the start of a write to its read-back, if the table service was unavailable.
const RETRY_DELAY: SpanMs = SpanMs(500);
const CLEANUP_INTERVAL: SpanMs = SpanMs(100);

/// Reason for a write.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Purpose {
    Acquire,
    /// Takes the place of `original`, whose result is lost.
    Tombstone {
        original: Box<ClaimWrite>,
    },
    Release,
    Settle,
    /// Marks a claim `unknown`: its owner may have run the request and cannot tell the result.
    MarkUnknown,
}

/// What a pending write waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WritePhase {
    Writing,
    Reading,
    AwaitingRetry,
}

/// Write to the claim table that is not settled yet.
#[derive(Debug, Clone)]
struct PendingWrite {
    write: ClaimWrite,
    purpose: Purpose,
    phase: WritePhase,
    started_at: TimeMs,
    /// Request that waits for the claim; `None` for a write without one and once the request has ended.
    request: Option<RequestKey>,
}

/// Claim that a request of this VM holds.
#[derive(Debug, Clone)]
struct HeldClaim {
    request: RequestKey,
    version: RowVersion,
    digest: ContentDigest,
}

/// Query to the owner named in a claim's row.
#[derive(Debug, Clone)]
struct OwnerQuery {
    request: RequestKey,
    row: Row,
    digest: ContentDigest,
}

/// Claims of this VM: held, being written and queried at other owners.
#[derive(Debug)]
pub(crate) struct Claims {
    local_owner: ClaimOwner,
    next_op: OpId,
    pending_writes: Map<OpId, PendingWrite>,
    held_claims: Map<RowKey, HeldClaim>,
    owner_queries: Map<RowKey, OwnerQuery>,
    /// Versions of claims of which the row names an owner that runs and does not know them.
    disowned_versions: Map<RowKey, RowVersion>,
}

fn claim_row(row: &Row) -> Option<&ClaimRow> {
    match &row.value {
        RowValue::Claim(claim) => Some(claim),
        _ => None,
    }
}

/// Output of the stage that must not be repeated, if an earlier owner finished it.
fn finished_stage_output(write: &ClaimWrite) -> Option<Payload> {
    match &write.row.state {
        ClaimState::Held { stage_output, .. } => stage_output.clone(),
        _ => None,
    }
}

/// Whether the row still meets the condition of a write, so that a delayed write could still commit.
fn may_still_commit(expect: ExpectedVersion, row: Option<&Row>) -> bool {
    match (expect, row) {
        (ExpectedVersion::Absent, None) => true,
        (ExpectedVersion::Version(version), Some(row)) => row.version == version,
        (ExpectedVersion::Any, _) => true,
        _ => false,
    }
}

impl Claims {
    /// Creates the claims of a VM that holds none.
    pub(crate) fn new(vm: VmId, incarnation: Incarnation) -> Self {
        let owner = ClaimOwner { vm, incarnation };
        Self {
            local_owner: owner,
            next_op: OpId(1),
            pending_writes: Map::default(),
            held_claims: Map::default(),
            owner_queries: Map::default(),
            disowned_versions: Map::default(),
        }
    }

    /// Request of this VM that holds a claim key or waits for it.
    pub(crate) fn request_for_key(&self, key: &RowKey) -> Option<RequestKey> {
        let held = self.held_claims.get(key).map(|held| held.request);
        held.or_else(|| self.owner_queries.get(key).map(|query| query.request)).or_else(|| {
            self.pending_writes
                .values()
                .find(|pending| pending.write.key == *key && pending.request.is_some())
                .and_then(|pending| pending.request)
        })
    }

    /// Whether no write is pending.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending_writes.is_empty()
    }

    /// Starts to acquire a claim for a request.
    pub(crate) fn acquire(
        &mut self,
        now: TimeMs,
        request: RequestKey,
        key: RowKey,
        digest: ContentDigest,
    ) -> Vec<ClaimOutput> {
        let step = ClaimOutput::Step { request, step: ClaimStep::Sent };
        let mut outputs = vec![step];
        self.write_claim(now, request, key, digest, ExpectedVersion::Absent, None, &mut outputs);
        outputs
    }

    fn write_claim(
        &mut self,
        now: TimeMs,
        request: RequestKey,
        key: RowKey,
        digest: ContentDigest,
        expect: ExpectedVersion,
        stage_output: Option<Payload>,
        outputs: &mut Vec<ClaimOutput>,
    ) {
        let state = ClaimState::Held { owner: self.local_owner.clone(), stage_output };
        let row = ClaimRow { digest, state };
        self.start_write(now, key, expect, row, Purpose::Acquire, Some(request), outputs);
    }

    fn start_write(
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
        let id = WriteId { vm: self.local_owner.vm.clone(), incarnation: self.local_owner.incarnation, op };
        let write = ClaimWrite { key, expect, id, row };
        let is_first_try = purpose != Purpose::Acquire || expect == ExpectedVersion::Absent;
        let is_tombstone = matches!(purpose, Purpose::Tombstone { .. });
        let route = if is_first_try && !is_tombstone { WriteRoute::Committer } else { WriteRoute::Local };
        outputs.push(ClaimOutput::Write { write: write.clone(), route });
        if self.pending_writes.len() < PENDING_WRITES_MAX || request.is_some() {
            self.pending_writes
                .insert(op, PendingWrite { write, purpose, phase: WritePhase::Writing, started_at: now, request });
        }
    }

    /// Handles the result of a write.
    pub(crate) fn on_write(&mut self, now: TimeMs, op: OpId, result: ClaimWriteResult) -> Vec<ClaimOutput> {
        let mut outputs = Vec::new();
        let is_expected = self.pending_writes.get(&op).is_some_and(|pending| pending.phase == WritePhase::Writing);
        if !is_expected {
            return outputs;
        }
        let Some(pending) = self.pending_writes.remove(&op) else {
            return outputs;
        };
        match result {
            ClaimWriteResult::Committed(version) => self.on_committed(now, pending, version, &mut outputs),
            ClaimWriteResult::Conflict(row) => self.resolve_conflict(now, pending, row, &mut outputs),
            ClaimWriteResult::Unavailable => self.on_unavailable(pending, &mut outputs),
            ClaimWriteResult::Lost => self.read_back(now, pending, &mut outputs),
        }
        outputs
    }

    fn on_committed(
        &mut self,
        now: TimeMs,
        pending: PendingWrite,
        version: RowVersion,
        outputs: &mut Vec<ClaimOutput>,
    ) {
        match pending.purpose {
            Purpose::Acquire => self.grant(now, pending.request, &pending.write, version, outputs),
            Purpose::Tombstone { original } => {
                self.acquire_after_tombstone(now, pending.request, &original, version, outputs)
            }
            Purpose::Release | Purpose::Settle | Purpose::MarkUnknown => {}
        }
    }

    /// Acquires the claim on top of the committed tombstone, if the request still waits.
    fn acquire_after_tombstone(
        &mut self,
        now: TimeMs,
        request: Option<RequestKey>,
        original: &ClaimWrite,
        version: RowVersion,
        outputs: &mut Vec<ClaimOutput>,
    ) {
        if let Some(request) = request {
            let stage_output = finished_stage_output(original);
            let (key, digest) = (original.key.clone(), original.row.digest);
            self.write_claim(now, request, key, digest, ExpectedVersion::Version(version), stage_output, outputs);
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
        let stage_output = finished_stage_output(write);
        let Some(request) = request else {
            self.write_release(now, write.key.clone(), write.row.digest, version, stage_output, outputs);
            return;
        };
        self.held_claims.insert(write.key.clone(), HeldClaim { request, version, digest: write.row.digest });
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
        self.start_write(now, key, ExpectedVersion::Version(version), row, Purpose::Release, None, outputs);
    }

    fn refuse(&mut self, request: Option<RequestKey>, reason: ClaimRefusal, outputs: &mut Vec<ClaimOutput>) {
        if let Some(request) = request {
            outputs.push(ClaimOutput::Refused { request, reason });
        }
    }

    fn on_unavailable(&mut self, mut pending: PendingWrite, outputs: &mut Vec<ClaimOutput>) {
        self.refuse(pending.request.take(), ClaimRefusal::Unavailable, outputs);
        match pending.purpose {
            Purpose::Acquire | Purpose::MarkUnknown => {}
            Purpose::Tombstone { .. } | Purpose::Release | Purpose::Settle => self.schedule_retry(pending),
        }
    }

    fn schedule_retry(&mut self, mut pending: PendingWrite) {
        pending.phase = WritePhase::AwaitingRetry;
        self.pending_writes.insert(pending.write.id.op, pending);
    }

    fn read_back(&mut self, now: TimeMs, mut pending: PendingWrite, outputs: &mut Vec<ClaimOutput>) {
        if pending.purpose == Purpose::MarkUnknown {
            return;
        }
        pending.phase = WritePhase::Reading;
        pending.started_at = now;
        if let Some(request) = pending.request {
            outputs.push(ClaimOutput::Step { request, step: ClaimStep::ReadBack });
        }
        outputs.push(ClaimOutput::Read { op: pending.write.id.op, key: pending.write.key.clone() });
        self.pending_writes.insert(pending.write.id.op, pending);
    }

    /// Handles a row that was read back; `row` is `None` if the read failed, `Some(None)` if there is no row.
    pub(crate) fn on_read(&mut self, now: TimeMs, op: OpId, row: Option<Option<Row>>) -> Vec<ClaimOutput> {
        let mut outputs = Vec::new();
        let is_expected = self.pending_writes.get(&op).is_some_and(|pending| pending.phase == WritePhase::Reading);
        if !is_expected {
            return outputs;
        }
        let Some(mut pending) = self.pending_writes.remove(&op) else {
            return outputs;
        };
        let Some(row) = row else {
            self.refuse(pending.request.take(), ClaimRefusal::Unavailable, &mut outputs);
            self.schedule_retry(pending);
            return outputs;
        };
        if !may_still_commit(pending.write.expect, row.as_ref()) {
            self.resolve_conflict(now, pending, row, &mut outputs);
            return outputs;
        }
        match pending.purpose {
            Purpose::Acquire => self.write_tombstone(now, pending, &mut outputs),
            Purpose::Tombstone { .. } | Purpose::Release | Purpose::Settle => {
                self.repeat_write(now, pending, &mut outputs)
            }
            Purpose::MarkUnknown => {}
        }
        outputs
    }

    /// Writes a tombstone under the condition of an unsettled write, so that only one of the two can commit.
    fn write_tombstone(&mut self, now: TimeMs, pending: PendingWrite, outputs: &mut Vec<ClaimOutput>) {
        if let Some(request) = pending.request {
            outputs.push(ClaimOutput::Step { request, step: ClaimStep::Tombstone });
        }
        let state = match finished_stage_output(&pending.write) {
            Some(stage_output) => ClaimState::StageDone { stage_output },
            None => ClaimState::Released,
        };
        let row = ClaimRow { digest: pending.write.row.digest, state };
        let (key, expect) = (pending.write.key.clone(), pending.write.expect);
        let purpose = Purpose::Tombstone { original: Box::new(pending.write) };
        self.start_write(now, key, expect, row, purpose, pending.request, outputs);
    }

    fn repeat_write(&mut self, now: TimeMs, mut pending: PendingWrite, outputs: &mut Vec<ClaimOutput>) {
        pending.phase = WritePhase::Writing;
        pending.started_at = now;
        outputs.push(ClaimOutput::Write { write: pending.write.clone(), route: WriteRoute::Local });
        self.pending_writes.insert(pending.write.id.op, pending);
    }

    /// Settles a write by the row found under its key.
    fn resolve_conflict(
        &mut self,
        now: TimeMs,
        mut pending: PendingWrite,
        row: Option<Row>,
        outputs: &mut Vec<ClaimOutput>,
    ) {
        if let Some(row) = row.as_ref().filter(|row| row.write_id == pending.write.id) {
            self.on_committed(now, pending, row.version, outputs);
            return;
        }
        match &pending.purpose {
            Purpose::Acquire => self.on_foreign_row(now, pending, row, outputs),
            Purpose::Tombstone { original } => {
                let committed = row.as_ref().filter(|row| row.write_id == original.id);
                match committed.map(|row| row.version) {
                    Some(version) => {
                        let original = original.clone();
                        self.grant(now, pending.request, &original, version, outputs);
                    }
                    None => self.on_foreign_row(now, pending, row, outputs),
                }
            }
            Purpose::Release | Purpose::Settle => {
                let unknown_row =
                    row.as_ref().filter(|row| claim_row(row).is_some_and(|claim| claim.state == ClaimState::Unknown));
                if let Some(row) = unknown_row {
                    // Another VM marked the claim `unknown`; its owner knows the outcome and overwrites that.
                    pending.write.expect = ExpectedVersion::Version(row.version);
                    self.repeat_write(now, pending, outputs);
                }
            }
            Purpose::MarkUnknown => {}
        }
    }

    /// Decides on a request's claim when the row under its key comes from another write.
    fn on_foreign_row(&mut self, now: TimeMs, pending: PendingWrite, row: Option<Row>, outputs: &mut Vec<ClaimOutput>) {
        let Some(request) = pending.request else {
            return;
        };
        let (key, digest) = (pending.write.key, pending.write.row.digest);
        let Some(row) = row else {
            self.write_claim(now, request, key, digest, ExpectedVersion::Absent, None, outputs);
            return;
        };
        let claim = claim_row(&row).cloned();
        let Some(claim) = claim.filter(|claim| claim.digest == digest) else {
            self.refuse(Some(request), ClaimRefusal::KeyConflict, outputs);
            return;
        };
        let expect = ExpectedVersion::Version(row.version);
        match claim.state {
            ClaimState::Released => self.write_claim(now, request, key, digest, expect, None, outputs),
            ClaimState::StageDone { stage_output } => {
                self.write_claim(now, request, key, digest, expect, Some(stage_output), outputs);
            }
            ClaimState::Answered { output } => self.refuse(Some(request), ClaimRefusal::Answered(output), outputs),
            ClaimState::Unknown => self.refuse(Some(request), ClaimRefusal::Unknown, outputs),
            ClaimState::Held { owner, .. } => {
                let version = row.version;
                outputs.push(ClaimOutput::Step { request, step: ClaimStep::HeldByOther });
                self.owner_queries.insert(key.clone(), OwnerQuery { request, row, digest });
                if self.disowned_versions.remove(&key) == Some(version) {
                    outputs.extend(self.on_owner_reply(now, &key, version, ClaimStatus::NotKnown));
                    return;
                }
                outputs.push(ClaimOutput::QueryOwner { request, key, version, owner });
            }
        }
    }

    /// Handles the status that a running owner of a claim reported. An owner forgets a claim once the table shows its end,
    /// so the row is looked at again if the owner does not know the claim.
    pub(crate) fn on_running_owner_reply(
        &mut self,
        now: TimeMs,
        key: &RowKey,
        version: RowVersion,
        status: ClaimStatus,
    ) -> Vec<ClaimOutput> {
        let is_open = |query: &&OwnerQuery| query.row.version == version;
        if status != ClaimStatus::NotKnown || self.owner_queries.get(key).filter(is_open).is_none() {
            return self.on_owner_reply(now, key, version, status);
        }
        let mut outputs = Vec::new();
        if let Some(query) = self.owner_queries.remove(key) {
            self.disowned_versions.insert(key.clone(), version);
            let expect = ExpectedVersion::Absent;
            self.write_claim(now, query.request, key.clone(), query.digest, expect, None, &mut outputs);
        }
        outputs
    }

    /// Handles the status of a claim; `NotKnown` if its owner no longer runs.
    pub(crate) fn on_owner_reply(
        &mut self,
        now: TimeMs,
        key: &RowKey,
        version: RowVersion,
        status: ClaimStatus,
    ) -> Vec<ClaimOutput> {
        let mut outputs = Vec::new();
        if self.owner_queries.get(key).is_none_or(|query| query.row.version != version) {
            return outputs;
        }
        let Some(query) = self.owner_queries.remove(key) else {
            return outputs;
        };
        let stage_output = match claim_row(&query.row).map(|claim| claim.state.clone()) {
            Some(ClaimState::Held { stage_output, .. }) => stage_output,
            _ => None,
        };
        let may_claim =
            status == ClaimStatus::WillNotRun || (status == ClaimStatus::NotKnown && stage_output.is_some());
        if may_claim {
            let expect = ExpectedVersion::Version(version);
            self.write_claim(now, query.request, key.clone(), query.digest, expect, stage_output, &mut outputs);
            return outputs;
        }
        if let ClaimStatus::Answered { output } = status {
            self.refuse(Some(query.request), ClaimRefusal::Answered(output), &mut outputs);
            return outputs;
        }
        if status == ClaimStatus::InProgress {
            self.refuse(Some(query.request), ClaimRefusal::InProgress, &mut outputs);
            return outputs;
        }
        let row = ClaimRow { digest: query.digest, state: ClaimState::Unknown };
        let expect = ExpectedVersion::Version(version);
        self.start_write(now, key.clone(), expect, row, Purpose::MarkUnknown, None, &mut outputs);
        self.refuse(Some(query.request), ClaimRefusal::Unknown, &mut outputs);
        outputs
    }

    /// Takes over the claim of a dead owner that is known to have finished the stage.
    pub(crate) fn take_over_finished_stage(
        &mut self,
        now: TimeMs,
        key: &RowKey,
        version: RowVersion,
        stage_output: Payload,
    ) -> Vec<ClaimOutput> {
        let mut outputs = Vec::new();
        if let Some(query) = self.owner_queries.remove(key) {
            let expect = ExpectedVersion::Version(version);
            let (request, digest) = (query.request, query.digest);
            self.write_claim(now, request, key.clone(), digest, expect, Some(stage_output), &mut outputs);
        }
        outputs
    }

    /// Whether a request waits for the status of a claim from its owner.
    pub(crate) fn is_waiting_for_owner(&self, request: RequestKey) -> bool {
        self.owner_queries.values().any(|query| query.request == request)
    }

    /// Status of a claim whose row names this VM as owner.
    pub(crate) fn status_of(&self, key: &RowKey) -> ClaimStatus {
        if self.held_claims.contains_key(key) {
            return ClaimStatus::InProgress;
        }
        let mut pending_writes = self.pending_writes.values().filter(|pending| pending.write.key == *key).peekable();
        if pending_writes.peek().is_none() {
            return ClaimStatus::NotKnown;
        }
        let mut settled_answers = self.pending_writes.values().filter(|pending| pending.write.key == *key);
        let answer = settled_answers.find_map(|pending| match (&pending.purpose, &pending.write.row.state) {
            (Purpose::Settle, ClaimState::Answered { output }) => Some(output.clone()),
            _ => None,
        });
        if let Some(output) = answer {
            return ClaimStatus::Answered { output };
        }
        // A pending release that carries a stage's output means that the stage ran; the row in the table does
        // not show that until the release commits.
        let has_run = |pending: &PendingWrite| {
            matches!(pending.purpose, Purpose::Settle)
                || matches!(pending.write.row.state, ClaimState::StageDone { .. })
        };
        if pending_writes.any(|pending| pending.request.is_some() || has_run(pending)) {
            ClaimStatus::InProgress
        } else {
            ClaimStatus::WillNotRun
        }
    }

    /// Detaches a request that has no claim yet and will not run.
    pub(crate) fn abandon(&mut self, request: RequestKey) {
        let waits_for =
            |key: &RowKey, pending: &PendingWrite| pending.write.key == *key && pending.request == Some(request);
        let pending_writes = &self.pending_writes;
        self.disowned_versions.retain(|key, _| !pending_writes.values().any(|pending| waits_for(key, pending)));
        self.owner_queries.retain(|_, query| query.request != request);
        for pending in self.pending_writes.values_mut().filter(|pending| pending.request == Some(request)) {
            pending.request = None;
        }
    }

    /// Releases a held claim, so that a resend may claim it again; `stage_output` is the output of the stage
    /// that must not be repeated, if it has run.
    pub(crate) fn release(&mut self, now: TimeMs, key: &RowKey, stage_output: Option<Payload>) -> Vec<ClaimOutput> {
        let mut outputs = Vec::new();
        if let Some(held) = self.held_claims.remove(key) {
            self.write_release(now, key.clone(), held.digest, held.version, stage_output, &mut outputs);
        }
        outputs
    }

    /// Writes the final state of a held claim.
    pub(crate) fn settle(&mut self, now: TimeMs, key: &RowKey, state: ClaimState) -> Vec<ClaimOutput> {
        let mut outputs = Vec::new();
        if let Some(held) = self.held_claims.remove(key) {
            let row = ClaimRow { digest: held.digest, state };
            let expect = ExpectedVersion::Version(held.version);
            self.start_write(now, key.clone(), expect, row, Purpose::Settle, None, &mut outputs);
        }
        outputs
    }

    /// Reads back the writes whose retry delay has passed or whose result is overdue.
    pub(crate) fn retry_overdue(&mut self, now: TimeMs, timeout: SpanMs) -> Vec<ClaimOutput> {
        let mut due: Vec<_> = self
            .pending_writes
            .iter()
            .filter(|(_, pending)| match pending.phase {
                WritePhase::AwaitingRetry => now.since(pending.started_at) > RETRY_DELAY,
                WritePhase::Writing | WritePhase::Reading => now.since(pending.started_at) > timeout,
            })
            .map(|(op, _)| *op)
            .collect();
        due.sort();
        let mut outputs = Vec::new();
        for op in due {
            if let Some(pending) = self.pending_writes.remove(&op) {
                self.read_back(now, pending, &mut outputs);
            }
        }
        outputs
    }

    /// Interval between calls of [`Self::retry_overdue`].
    pub(crate) fn cleanup_interval() -> SpanMs {
        CLEANUP_INTERVAL
    }
}
