//! Progress of one request through the stages of its route.
//!
//! Holds which pieces are computed and which piece requests are in progress, and decides which stages can
//! start. Choosing regions and sending piece requests is left to the reducer.

use std::sync::Arc;

use boragepass_types::{FailureDomain, Region, TimeMs, VmId};

use crate::configuration::{Configuration, StageSpec};
use crate::message::{PieceRequestId, ResultHandle};

/// Size of a result from which a stage starts only when its results are needed, since results occupy
/// an endpoint's space and expire after seconds.
const LARGE_RESULT_BYTES: u64 = 1_000_000;
/// Number of calls by which a stage with large results may start early.
const LARGE_RESULT_HEAD_START_CALLS: usize = 0;

/// A piece request of one stage, as the requesting VM tracks it.
#[derive(Debug, Clone)]
pub(crate) struct SentPieceRequest {
    pub(crate) id: PieceRequestId,
    /// Pool leader that it was sent to.
    pub(crate) leader: VmId,
    pub(crate) region: Region,
    pub(crate) sent_at: TimeMs,
    /// Last message from the leader about it.
    pub(crate) heard_at: Option<TimeMs>,
}

#[derive(Debug, Clone, Default)]
struct Stage {
    results: Vec<Option<ResultHandle>>,
    sent_piece_request: Option<SentPieceRequest>,
    /// Whether every stage that takes its results is done.
    is_consumed: bool,
    /// Regions that failed this stage.
    avoided_regions: Vec<Region>,
}

impl Stage {
    fn is_done(&self) -> bool {
        self.is_consumed || self.results.iter().all(Option::is_some)
    }
}

/// Progress of all stages of one request; a stage is named by its index within the route.
#[derive(Debug, Clone)]
pub(crate) struct StageProgress {
    specs: Arc<[StageSpec]>,
    stages: Vec<Stage>,
}

impl StageProgress {
    /// Starts with the number of pieces that the request states per stage; a stage without pieces is done.
    pub(crate) fn new(specs: &[StageSpec], pieces: &[u16]) -> Self {
        let stage = |index: usize| Stage {
            results: vec![None; usize::from(pieces.get(index).copied().unwrap_or(0))],
            ..Stage::default()
        };
        Self { specs: specs.into(), stages: (0..specs.len()).map(stage).collect() }
    }

    pub(crate) fn len(&self) -> usize {
        self.specs.len()
    }

    pub(crate) fn spec(&self, stage: usize) -> &StageSpec {
        &self.specs[stage]
    }

    pub(crate) fn piece_count(&self, stage: usize) -> usize {
        self.stages[stage].results.len()
    }

    pub(crate) fn is_done(&self) -> bool {
        self.stages.iter().all(Stage::is_done)
    }

    /// Indices of a stage's pieces that have no result yet.
    pub(crate) fn missing_pieces(&self, stage: usize) -> Vec<u16> {
        let results = self.stages[stage].results.iter().enumerate();
        results.filter(|(_, result)| result.is_none()).map(|(index, _)| index as u16).collect()
    }

    pub(crate) fn sent_piece_request(&self, stage: usize) -> Option<&SentPieceRequest> {
        self.stages[stage].sent_piece_request.as_ref()
    }

    pub(crate) fn sent_piece_request_mut(&mut self, stage: usize) -> Option<&mut SentPieceRequest> {
        self.stages[stage].sent_piece_request.as_mut()
    }

    pub(crate) fn set_sent_piece_request(&mut self, stage: usize, sent_piece_request: Option<SentPieceRequest>) {
        self.stages[stage].sent_piece_request = sent_piece_request;
    }

    pub(crate) fn avoid_region(&mut self, stage: usize, region: Region) {
        self.stages[stage].avoided_regions.push(region);
    }

    pub(crate) fn avoided_regions(&self, stage: usize) -> &[Region] {
        &self.stages[stage].avoided_regions
    }

    /// Stage that a piece request belongs to, if it is in progress.
    pub(crate) fn stage_of_piece_request(&self, piece_request: &PieceRequestId) -> Option<usize> {
        self.stages.iter().position(|stage| {
            stage.sent_piece_request.as_ref().is_some_and(|sent_piece_request| sent_piece_request.id == *piece_request)
        })
    }

    /// Piece requests in progress.
    pub(crate) fn sent_piece_requests(&self) -> impl Iterator<Item = &SentPieceRequest> {
        self.stages.iter().filter_map(|stage| stage.sent_piece_request.as_ref())
    }

    /// Number of consecutive calls on the longest path from a stage on, that stage included unless done.
    fn remaining_calls_from(&self, stage: usize) -> usize {
        let consumers = (0..self.specs.len()).filter(|index| self.specs[*index].input_stages.contains(&stage));
        let calls_after = consumers.map(|index| self.remaining_calls_from(index)).max().unwrap_or(0);
        calls_after + usize::from(!self.stages[stage].is_done())
    }

    /// Least time from the end of a stage to the start of the request itself.
    pub(crate) fn downstream_ms(&self, stage: usize, configuration: &Configuration) -> f64 {
        let consumers = (0..self.specs.len()).filter(|index| self.specs[*index].input_stages.contains(&stage));
        consumers
            .map(|index| self.call_ms(index, configuration) + self.downstream_ms(index, configuration))
            .fold(0.0, f64::max)
    }

    /// Least time until the stages that are left are done.
    pub(crate) fn min_remaining_ms(&self, configuration: &Configuration) -> f64 {
        let open = (0..self.stages.len()).filter(|stage| !self.stages[*stage].is_done());
        open.map(|stage| self.call_ms(stage, configuration) + self.downstream_ms(stage, configuration))
            .fold(0.0, f64::max)
    }

    fn call_ms(&self, stage: usize, configuration: &Configuration) -> f64 {
        let pieces = self.piece_count(stage);
        match configuration.stage_pool(&self.specs[stage].pool) {
            Some(pool) if pieces > 0 => pool.call_ms + pieces.min(pool.pieces_per_call_max) as f64 * pool.piece_ms,
            Some(_) | None => 0.0,
        }
    }

    /// Stages that can start now. A stage with large results waits until no other path of the request
    /// has more calls left than its own.
    pub(crate) fn startable_stages(&self) -> Vec<usize> {
        let longest_path_calls =
            (0..self.stages.len()).map(|stage| self.remaining_calls_from(stage)).max().unwrap_or(0);
        let can_start = |stage: &usize| {
            let progress = &self.stages[*stage];
            let is_unsent = progress.sent_piece_request.is_none() && !progress.is_done();
            let has_inputs = self.specs[*stage].input_stages.iter().all(|input| self.stages[*input].is_done());
            let is_large = self.specs[*stage].result_bytes >= LARGE_RESULT_BYTES;
            let is_needed_soon =
                longest_path_calls <= self.remaining_calls_from(*stage) + LARGE_RESULT_HEAD_START_CALLS;
            is_unsent && has_inputs && (!is_large || is_needed_soon)
        };
        (0..self.stages.len()).filter(can_start).collect()
    }

    /// Results that a stage takes as inputs.
    pub(crate) fn inputs_of(&self, stage: usize) -> Vec<ResultHandle> {
        self.specs[stage]
            .input_stages
            .iter()
            .flat_map(|input| self.stages[*input].results.iter().flatten().cloned())
            .collect()
    }

    /// Results that the request itself takes: those of the stages that no other stage takes as inputs.
    pub(crate) fn final_results(&self) -> Vec<ResultHandle> {
        let is_final = |stage: &usize| !self.specs.iter().any(|spec| spec.input_stages.contains(stage));
        (0..self.stages.len())
            .filter(is_final)
            .flat_map(|stage| self.stages[stage].results.iter().flatten().cloned())
            .collect()
    }

    /// Bytes of the results of `stages` by failure domain.
    pub(crate) fn bytes_by_domain(&self, stages: impl Iterator<Item = usize>) -> Vec<(FailureDomain, u64)> {
        let mut bytes: Vec<(FailureDomain, u64)> = Vec::new();
        for stage in stages {
            for result in self.stages[stage].results.iter().flatten() {
                let size = self.specs[stage].result_bytes;
                match bytes.iter_mut().find(|(domain, _)| *domain == result.failure_domain) {
                    Some((_, total)) => *total += size,
                    None => bytes.push((result.failure_domain.clone(), size)),
                }
            }
        }
        bytes
    }

    /// Stages whose results no other stage takes as inputs.
    pub(crate) fn final_stages(&self) -> Vec<usize> {
        (0..self.specs.len()).filter(|stage| !self.specs.iter().any(|spec| spec.input_stages.contains(stage))).collect()
    }

    /// Stores the result of a piece; false if the piece has one already or does not exist.
    pub(crate) fn on_result(&mut self, stage: usize, piece: u16, result: ResultHandle) -> bool {
        match self.stages[stage].results.get_mut(usize::from(piece)) {
            Some(slot) if slot.is_none() => {
                *slot = Some(result);
                true
            }
            Some(_) | None => false,
        }
    }

    pub(crate) fn is_stage_done(&self, stage: usize) -> bool {
        self.stages[stage].is_done()
    }

    /// Marks the inputs of `stage`, which is done, as consumed unless another stage needs them. Returns the
    /// piece requests to release.
    pub(crate) fn mark_inputs_consumed(&mut self, stage: usize) -> Vec<SentPieceRequest> {
        let mut requests = Vec::new();
        for input in self.specs[stage].input_stages.clone() {
            let others = (0..self.specs.len()).filter(|other| self.specs[*other].input_stages.contains(&input));
            let is_needed = others.into_iter().any(|other| !self.stages[other].is_done());
            if !is_needed && !self.stages[input].is_consumed {
                self.stages[input].is_consumed = true;
                requests.extend(self.stages[input].sent_piece_request.clone());
            }
        }
        requests
    }

    /// Resets a stage and all its inputs because an input is gone. Returns the piece requests to release.
    pub(crate) fn reset_with_inputs(&mut self, stage: usize) -> Vec<SentPieceRequest> {
        let mut requests = Vec::new();
        for input in self.specs[stage].input_stages.clone() {
            requests.extend(self.reset_with_inputs(input));
        }
        let progress = &mut self.stages[stage];
        requests.extend(progress.sent_piece_request.take());
        progress.is_consumed = false;
        progress.results.iter_mut().for_each(|result| *result = None);
        requests
    }
}
