//! Progress of requests, kept on a second VM.
//!
//! A caller whose VM died sends its request to the next address it was given. To spare the finished
//! stages, each VM sends the latest stage result to the VM at that address, which keeps it in
//! bounded memory and continues the request from there. The progress may be lost at any time; the
//! request then starts over, or after the stage whose output its claim holds.

use std::collections::VecDeque;

use boragepass_types::{ContentDigest, Payload, RequestId, SpanMs, TimeMs, WorkspaceId};

use crate::address::successor;
use crate::counter::Counter;
use crate::effect::Effects;
use crate::explain::Decision;
use crate::map::Map;
use crate::message::{PeerMessage, Progress};
use crate::node::Node;
use crate::request_table::{ActiveRequest, RequestKey};

/// Most bytes of stage results that are kept.
const STORED_BYTES_MAX: usize = 4 * 1_024 * 1_024;
const PROGRESS_LIFETIME: SpanMs = SpanMs(30_000);

/// Progress of other VMs' requests; the oldest is dropped first.
#[derive(Debug, Default)]
pub(crate) struct ProgressStore {
    /// Progress with the time at which it arrived.
    entries: Map<(WorkspaceId, RequestId), (TimeMs, Progress)>,
    /// Keys of `entries`, oldest first.
    insertion_order: VecDeque<(WorkspaceId, RequestId)>,
    /// Total size of the inputs in `entries`.
    input_bytes: usize,
}

impl ProgressStore {
    /// Stores the latest progress of a request in place of an earlier one.
    pub(crate) fn insert(&mut self, now: TimeMs, progress: Progress, entries_max: usize) {
        let key = (progress.workspace.clone(), progress.request.clone());
        self.input_bytes += progress.input.0.len();
        match self.entries.insert(key.clone(), (now, progress)) {
            Some((_, replaced)) => self.input_bytes -= replaced.input.0.len(),
            None => self.insertion_order.push_back(key),
        }
        while self.insertion_order.len() > entries_max || self.input_bytes > STORED_BYTES_MAX {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.insertion_order.pop_front().and_then(|key| self.entries.remove(&key));
        self.input_bytes -= oldest.map_or(0, |(_, progress)| progress.input.0.len());
    }

    /// Progress of a request, if it had the same content.
    pub(crate) fn find(&self, workspace: &WorkspaceId, id: &RequestId, digest: ContentDigest) -> Option<&Progress> {
        let (_, progress) = self.entries.get(&(workspace.clone(), id.clone()))?;
        (progress.digest == digest).then_some(progress)
    }

    /// Drops the progress of a request.
    pub(crate) fn remove(&mut self, workspace: &WorkspaceId, id: &RequestId) {
        let key = (workspace.clone(), id.clone());
        if let Some((_, progress)) = self.entries.remove(&key) {
            self.input_bytes -= progress.input.0.len();
            self.insertion_order.retain(|other| *other != key);
        }
    }

    /// Drops expired progress.
    pub(crate) fn sweep(&mut self, now: TimeMs) {
        while let Some(oldest) = self.insertion_order.front() {
            if self.entries.get(oldest).is_some_and(|(at, _)| now.since(*at) <= PROGRESS_LIFETIME) {
                return;
            }
            self.drop_oldest();
        }
    }
}

impl Node {
    /// Sends the input of a request's current stage to the VM that its caller would try next, unless
    /// it is too large.
    pub(crate) fn send_progress(&mut self, key: RequestKey, out: &mut Effects) {
        let Some(active) = self.requests.get(key) else {
            return;
        };
        let bytes = active.input.0.len() as u64;
        if bytes > self.settings.limits.progress_bytes_max.0 {
            return;
        }
        let next = successor(&self.membership, &active.request.workspace, active.entry_vms);
        let Some(next) = next.cloned() else {
            return;
        };
        let progress = Progress {
            workspace: active.request.workspace.clone(),
            request: active.request.id.clone(),
            digest: active.request.digest,
            stage: active.stage_index as u8,
            input: active.input.clone(),
            runner: self.settings.vm.clone(),
        };
        self.send_to(&next, PeerMessage::Progress(Box::new(progress)), out);
    }

    /// Tells that VM that the request is finished, so that it drops the progress.
    pub(crate) fn send_progress_done(&mut self, active: &ActiveRequest, out: &mut Effects) {
        if active.stage_index == 0 {
            return;
        }
        let next = successor(&self.membership, &active.request.workspace, active.entry_vms);
        if let Some(next) = next.cloned() {
            let (workspace, request) = (active.request.workspace.clone(), active.request.id.clone());
            self.send_to(&next, PeerMessage::ProgressDone { workspace, request }, out);
        }
    }

    /// Continues a request from the progress of another VM. Progress past a stage that may not be
    /// repeated is left to the claim.
    pub(crate) fn resume_from_progress(&mut self, now: TimeMs, key: RequestKey, out: &mut Effects) {
        let Some(active) = self.requests.get_mut(key) else {
            return;
        };
        let request = &active.request;
        let found = self.progress.find(&request.workspace, &request.id, request.digest);
        let Some(progress) = found.filter(|found| usize::from(found.stage) < active.pipeline.stages.len()).cloned()
        else {
            return;
        };
        let stage = usize::from(progress.stage);
        let skips_claimed_stage = active.pipeline.stages[..stage].iter().any(|stage| !stage.is_repeatable);
        if skips_claimed_stage {
            return;
        }
        for finished_stage in &active.pipeline.clone().stages[..stage] {
            active.record_executed_stage(&finished_stage.id);
        }
        active.enter_stage(now, stage, progress.input.clone());
        let decision = Decision::ResumedFromPeer { from: progress.runner, stage: active.stage().id.clone() };
        out.count(Counter::RequestResumedFromPeer);
        self.tracer.record(now, &active.request.workspace, &active.request.id, decision);
        let (workspace, id) = (active.request.workspace.clone(), active.request.id.clone());
        self.progress.remove(&workspace, &id);
    }

    /// Output of the stage that may not be repeated, if another VM has sent it as progress.
    pub(crate) fn claimed_output_from_progress(&self, key: RequestKey) -> Option<Payload> {
        let active = self.requests.get(key)?;
        let request = &active.request;
        let claimed_index = active.pipeline.stages.iter().position(|stage| !stage.is_repeatable)?;
        let progress = self.progress.find(&request.workspace, &request.id, request.digest)?;
        (usize::from(progress.stage) == claimed_index + 1).then(|| progress.input.clone())
    }
}
