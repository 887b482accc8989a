//! Stages of this VM's own requests: chooses a region for each stage, requests the pieces from its pool leader,
//! and handles the results, missing replies and lost results.

use boragepass_types::{FailureDomain, Region, SpanMs, TimeMs, VmId};

use super::RequestPath;
use crate::admission::RefusalReason;
use crate::effect::Effect;
use crate::event::PieceOutcome;
use crate::fleet::home_pool_leader;
use crate::message::{PeerMessage, PieceRequest, PieceRequestId, PieceResult, StageInputs};
use crate::placement::{RequestRequirements, StageDemand, choose_endpoint, prefill_ms};
use crate::record::Record;
use crate::request::{Phase, RequestNumber, RequestState};
use crate::settings::Batching;
use crate::stages::SentPieceRequest;
use crate::timers::Timer;

/// Interval at which an open piece request is checked. One that is not acknowledged by the first check moves to
/// another leader: two round trips between regions and some processing take less than 150 ms.
const PIECE_REQUEST_CHECK_INTERVAL: SpanMs = SpanMs(400);
/// Age from which a piece request may move to another region: longer than the largest full calls of three stages take.
const REGION_MOVE_WAIT_MIN: SpanMs = SpanMs(1_000);
/// How much sooner the other region has to start the pieces. Reported waits are up to 0.7 s old with 86 VMs, so with a
/// smaller gain all VMs move their piece requests to the same region at once.
const REGION_MOVE_GAIN_MS: f64 = 1_500.0;
/// How often the stages of a request are restarted because a result is lost.
const STAGE_RESTARTS_MAX: u32 = 2;
/// Number of regions that are tried for one stage.
const REGIONS_PER_STAGE_MAX: usize = 3;

impl RequestPath {
    pub(super) fn start_stages(&mut self, now: TimeMs, request: RequestNumber) {
        let startable = self.requests.get(&request).map(|state| state.stages.startable_stages());
        for stage in startable.unwrap_or_default() {
            if !self.request_pieces(now, request, stage, None) {
                return;
            }
        }
    }

    /// Requests the missing pieces of a stage from a pool leader. Returns false if the request failed instead.
    fn request_pieces(
        &mut self,
        now: TimeMs,
        request: RequestNumber,
        stage: usize,
        avoided_leader: Option<&VmId>,
    ) -> bool {
        let Some(state) = self.requests.get(&request) else {
            return false;
        };
        let spec = state.stages.spec(stage).clone();
        let Some(pool) = state.configuration.stage_pool(&spec.pool) else {
            self.fail_request(now, request, RefusalReason::NoEndpoint);
            return false;
        };
        let missing_pieces = state.stages.missing_pieces(stage);
        let input_bytes = state.stages.bytes_by_domain(spec.input_stages.iter().copied());
        let consumer_domain = self.consumer_domain(now, state, stage);
        let demand = StageDemand {
            pool: &spec.pool,
            spec: pool,
            pieces: missing_pieces.len(),
            result_bytes: spec.result_bytes * missing_pieces.len() as u64,
            input_bytes: &input_bytes,
            consumer_domain: &consumer_domain,
            avoided_regions: state.stages.avoided_regions(stage),
            homes: &state.homes,
        };
        let chosen = self.pool_backlogs.choose(now, &self.endpoint_table, &self.settings, &demand);
        let Some((region, endpoints)) = chosen else {
            let reason = self.unplaced_stage_reason(&spec.pool, &state.homes);
            self.fail_request(now, request, reason);
            return false;
        };
        self.pool_backlogs.record_piece_request(now, &demand, &region, endpoints);
        let local_vm = self.settings.vm.clone();
        let leader = match self.settings.batching {
            Batching::Led => home_pool_leader(&self.fleet, now, &spec.pool, &region, &state.homes),
            Batching::Alone => None,
        };
        let leader = leader.filter(|leader| Some(leader) != avoided_leader);
        let leader = leader.unwrap_or(local_vm);
        self.piece_request_counter += 1;
        let piece_request = self.build_piece_request(now, state, stage, &region);
        let id = piece_request.id.clone();
        self.log(
            Record::new("pieces asked for")
                .text("request", &piece_request.client_id)
                .number("stage", stage)
                .number("pieces", piece_request.pieces.len())
                .text("pool", &piece_request.pool)
                .text("region", &region)
                .text("lead", &leader)
                .number("wait_ms", self.pool_backlogs.wait_ms(now, &piece_request.pool, &region) as i64),
        );
        let sent_piece_request =
            SentPieceRequest { id: id.clone(), leader: leader.clone(), region, sent_at: now, heard_at: None };
        if let Some(state) = self.requests.get_mut(&request) {
            state.stages.set_sent_piece_request(stage, Some(sent_piece_request));
        }
        self.piece_requests.insert(id.clone(), request);
        self.timers.set(now + PIECE_REQUEST_CHECK_INTERVAL, Timer::PieceRequestCheck(id));
        self.send_piece_request(now, &leader, piece_request);
        true
    }

    /// Builds a piece request for the missing pieces of a stage. Its number is the current counter value.
    fn build_piece_request(&self, now: TimeMs, state: &RequestState, stage: usize, region: &Region) -> PieceRequest {
        let spec = state.stages.spec(stage);
        let inputs = if spec.input_stages.is_empty() {
            StageInputs::Key(state.arrival.piece_key.clone())
        } else {
            StageInputs::Results(state.stages.inputs_of(stage).into_iter().map(|result| result.handle).collect())
        };
        let prefill_factor = self.endpoint_table.pool_prefill_factor(&state.pool);
        let first_byte_ms = self.average_first_byte_ms(&state.pool) + prefill_ms(&state.arrival, prefill_factor);
        let downstream_ms = state.stages.downstream_ms(stage, &state.configuration) + first_byte_ms;
        PieceRequest {
            id: PieceRequestId {
                vm: self.settings.vm.clone(),
                incarnation: self.settings.incarnation,
                number: self.piece_request_counter,
            },
            pool: spec.pool.clone(),
            region: region.clone(),
            client_id: state.arrival.client_id.clone(),
            stage,
            pieces: state.stages.missing_pieces(stage),
            inputs,
            result_bytes: spec.result_bytes,
            rank: state.rank,
            objective_left_ms: state.objective_at.0 as i64 - now.0 as i64,
            deadline_left_ms: state.time_left(now),
            downstream_ms: SpanMs(downstream_ms as u64),
        }
    }

    /// Failure domain in which the results of a stage are expected to be consumed: for a final stage, that of the
    /// endpoint to which the request itself would be sent now; otherwise that of this VM.
    fn consumer_domain(&self, now: TimeMs, state: &RequestState, stage: usize) -> FailureDomain {
        let local_domain = self.settings.failure_domain.clone();
        if !state.stages.final_stages().contains(&stage) {
            return local_domain;
        }
        let requirements = RequestRequirements {
            pool: &state.pool,
            prompt: &state.arrival.prompt,
            prompt_tokens: state.arrival.prompt_tokens,
            input_bytes: &[],
            excluded: &[],
            stream_version: &state.stream_version,
            places: state.homes.places(&self.settings),
            objective_left_ms: crate::placement::FORECAST_OBJECTIVE_LEFT_MS,
        };
        let choice = choose_endpoint(&self.endpoint_table, &self.settings, now, &requirements);
        let known_endpoint = choice.and_then(|choice| self.endpoint_table.get(&choice.endpoint));
        known_endpoint.map_or(local_domain, |known_endpoint| known_endpoint.endpoint.failure_domain.clone())
    }

    fn send_piece_request(&mut self, now: TimeMs, leader: &VmId, piece_request: PieceRequest) {
        if *leader == self.settings.vm {
            self.on_piece_request(now, piece_request);
        } else {
            self.send_peer_message(leader, PeerMessage::PieceRequest(Box::new(piece_request)));
        }
    }

    /// Sends a message to a VM, if its address is known.
    pub(super) fn send_peer_message(&mut self, vm: &VmId, message: PeerMessage) {
        if let Some(record) = self.fleet.record(vm) {
            self.effects.push(Effect::SendPeerMessage(vm.clone(), record.peer_address, Box::new(message)));
        }
    }

    /// Checks an open piece request: moves it to another leader if this one does not answer, fails the request
    /// if it cannot be in time, moves it to a region with a shorter wait, or else asks the leader for its state.
    pub(super) fn check_piece_request(&mut self, now: TimeMs, piece_request: &PieceRequestId) {
        let Some(request) = self.piece_requests.get(piece_request).copied() else {
            return;
        };
        let Some(state) = self.requests.get(&request) else {
            self.piece_requests.remove(piece_request);
            return;
        };
        let Some(stage) = state.stages.stage_of_piece_request(piece_request) else {
            return;
        };
        let Some(sent_piece_request) = state.stages.sent_piece_request(stage).cloned() else {
            return;
        };
        if state.stages.is_stage_done(stage) {
            return;
        }
        let is_unresponsive = sent_piece_request
            .heard_at
            .is_none_or(|at| now.since(at) > PIECE_REQUEST_CHECK_INTERVAL + PIECE_REQUEST_CHECK_INTERVAL);
        let leader = &sent_piece_request.leader;
        // If no VM reaches endpoints, the leader is the same as before.
        let is_unable = !self.fleet.does_reach_endpoints(leader)
            && home_pool_leader(
                &self.fleet,
                now,
                &state.stages.spec(stage).pool,
                &sent_piece_request.region,
                &state.homes,
            )
            .as_ref()
                != Some(leader);
        let is_lost = *leader != self.settings.vm && (is_unresponsive || !self.fleet.is_live(now, leader));
        if is_lost || is_unable {
            self.log(
                Record::new("lead does not answer")
                    .text("request", &state.arrival.client_id)
                    .number("stage", stage)
                    .text("lead", leader)
                    .text("reaches_endpoints", !is_unable)
                    .number("since_ms", now.since(sent_piece_request.heard_at.unwrap_or(sent_piece_request.sent_at)).0),
            );
            self.release_piece_request(now, &sent_piece_request);
            self.request_pieces(now, request, stage, Some(&sent_piece_request.leader));
            return;
        }
        if self.will_miss_deadline(now, state) {
            self.fail_request(now, request, RefusalReason::LateAtStage);
            return;
        }
        if self.should_move_region(now, state, stage, &sent_piece_request) {
            self.log(
                Record::new("ask moved to another region")
                    .text("request", &state.arrival.client_id)
                    .number("stage", stage)
                    .text("pool", &state.stages.spec(stage).pool)
                    .text("region", &sent_piece_request.region),
            );
            self.release_piece_request(now, &sent_piece_request);
            self.request_pieces(now, request, stage, None);
            return;
        }
        if sent_piece_request.leader != self.settings.vm {
            self.send_peer_message(
                &sent_piece_request.leader.clone(),
                PeerMessage::Results(piece_request.clone(), Vec::new()),
            );
        }
        self.timers.set(now + PIECE_REQUEST_CHECK_INTERVAL, Timer::PieceRequestCheck(piece_request.clone()));
    }

    /// Whether a request whose stages are in progress would miss its deadline by the forecast.
    fn will_miss_deadline(&self, now: TimeMs, state: &RequestState) -> bool {
        let stages = &state.stages;
        let forecast = self.forecast(now, &state.configuration, &state.pool, stages, &state.arrival, &state.homes);
        forecast.misses_deadline(state.time_left(now))
    }

    /// Whether a piece request should move: no piece has a result yet, and another region would start them much sooner.
    fn should_move_region(
        &self,
        now: TimeMs,
        state: &RequestState,
        stage: usize,
        sent_piece_request: &SentPieceRequest,
    ) -> bool {
        let spec = state.stages.spec(stage);
        let has_waited = now.since(sent_piece_request.sent_at) >= REGION_MOVE_WAIT_MIN;
        // A request past its objective is queued behind all others in any region.
        let is_late = state.objective_at <= now;
        if !has_waited || is_late || state.stages.missing_pieces(stage).len() < state.stages.piece_count(stage) {
            return false;
        }
        let current_wait_ms = self.pool_backlogs.wait_ms(now, &spec.pool, &sent_piece_request.region);
        let shortest_wait_ms = self
            .pool_backlogs
            .shortest_wait_ms(now, &self.endpoint_table, &self.settings, &spec.pool, &state.homes)
            .unwrap_or(current_wait_ms);
        current_wait_ms > shortest_wait_ms + REGION_MOVE_GAIN_MS
    }

    /// Cancels a piece request at its leader: waiting pieces are dropped and results are freed.
    pub(super) fn release_piece_request(&mut self, now: TimeMs, sent_piece_request: &SentPieceRequest) {
        self.piece_requests.remove(&sent_piece_request.id);
        if sent_piece_request.leader == self.settings.vm {
            self.on_piece_request_released(now, &sent_piece_request.id);
        } else {
            self.send_peer_message(&sent_piece_request.leader, PeerMessage::Release(sent_piece_request.id.clone()));
        }
    }

    /// Handles results, or an acknowledgement without results, of a piece request of this VM.
    pub(super) fn on_results(&mut self, now: TimeMs, piece_request: &PieceRequestId, results: Vec<(u16, PieceResult)>) {
        let Some(request) = self.piece_requests.get(piece_request).copied() else {
            return;
        };
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(stage) = state.stages.stage_of_piece_request(piece_request) else {
            return;
        };
        if let Some(sent_piece_request) = state.stages.sent_piece_request_mut(stage) {
            sent_piece_request.heard_at = Some(now);
        }
        for (piece, result) in results {
            // A repeated outcome of a piece that has a result must not affect the request.
            let is_missing = self.requests.get(&request).is_some_and(|state| {
                matches!(state.phase, Phase::InStages) && state.stages.missing_pieces(stage).contains(&piece)
            });
            if !is_missing {
                continue;
            }
            match result {
                PieceResult::Computed(handle) => {
                    let Some(state) = self.requests.get_mut(&request) else {
                        return;
                    };
                    state.stages.on_result(stage, piece, handle);
                }
                PieceResult::NotComputed(outcome) => {
                    self.on_piece_failed(now, request, stage, outcome);
                    return;
                }
                PieceResult::NoEndpoint => {
                    self.request_from_other_region(now, request, stage, RefusalReason::NoEndpoint);
                    return;
                }
            }
        }
        self.advance_if_stage_done(now, request, stage);
    }

    fn advance_if_stage_done(&mut self, now: TimeMs, request: RequestNumber, stage: usize) {
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        if !state.stages.is_stage_done(stage) {
            return;
        }
        let unneeded_piece_requests = state.stages.mark_inputs_consumed(stage);
        for sent_piece_request in unneeded_piece_requests {
            self.release_piece_request(now, &sent_piece_request);
        }
        self.advance(now, request);
    }

    fn on_piece_failed(&mut self, now: TimeMs, request: RequestNumber, stage: usize, outcome: PieceOutcome) {
        match outcome {
            PieceOutcome::InputLost => self.restart_stages(now, request, &[stage]),
            PieceOutcome::Late => self.fail_request(now, request, RefusalReason::LateAtStage),
            PieceOutcome::Failed | PieceOutcome::NoSpace => {
                self.request_from_other_region(now, request, stage, RefusalReason::StageFailed);
            }
            PieceOutcome::Computed(_) => {}
        }
    }

    fn request_from_other_region(&mut self, now: TimeMs, request: RequestNumber, stage: usize, reason: RefusalReason) {
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(sent_piece_request) = state.stages.sent_piece_request(stage).cloned() else {
            return;
        };
        state.stages.avoid_region(stage, sent_piece_request.region.clone());
        let avoided_count = state.stages.avoided_regions(stage).len();
        if reason == RefusalReason::NoEndpoint && self.are_homes_avoided(request, stage) {
            self.fail_request(now, request, RefusalReason::NoHomeEndpoint);
            return;
        }
        if avoided_count >= REGIONS_PER_STAGE_MAX {
            self.fail_request(now, request, reason);
            return;
        }
        // Existing results stay at the old leader until they expire; only the missing pieces are requested again.
        self.piece_requests.remove(&sent_piece_request.id);
        self.request_pieces(now, request, stage, None);
    }

    /// Restarts stages and their input stages after results were lost.
    pub(super) fn restart_stages(&mut self, now: TimeMs, request: RequestNumber, stages: &[usize]) {
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.stage_restarts += 1;
        let are_restarts_used_up = state.stage_restarts > STAGE_RESTARTS_MAX;
        let piece_requests: Vec<_> = stages.iter().flat_map(|stage| state.stages.reset_with_inputs(*stage)).collect();
        state.phase = Phase::InStages;
        let client_id = state.arrival.client_id.clone();
        for stage in stages {
            let record = Record::new("stage starts over, a result is gone").text("request", &client_id);
            self.log(record.number("stage", *stage));
        }
        for sent_piece_request in piece_requests {
            self.release_piece_request(now, &sent_piece_request);
        }
        // Lost results are recomputed only if the request can still meet its deadline.
        let will_miss_deadline = self.requests.get(&request).is_some_and(|state| self.will_miss_deadline(now, state));
        if are_restarts_used_up || will_miss_deadline {
            self.fail_request(
                now,
                request,
                if are_restarts_used_up { RefusalReason::StageFailed } else { RefusalReason::LateAtStage },
            );
            return;
        }
        self.advance(now, request);
    }
}
