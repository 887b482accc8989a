//! Stages of this VM's own requests: what is asked of leads, and what comes back.

use boragepass_types::{FailureDomain, Region, SpanMs, TimeMs, VmId};

use super::RequestPath;
use crate::admission::RefusalReason;
use crate::effect::Effect;
use crate::event::PieceOutcome;
use crate::fleet::pool_leader;
use crate::message::{Inputs, PeerMessage, PieceRequest, PieceRequestId, PieceResult};
use crate::placement::{RequestRequirements, StageDemand, choose_endpoint, prefill_ms};
use crate::record::Record;
use crate::request::{Phase, RequestNumber, Requested};
use crate::settings::Batching;
use crate::stages::SentPieceRequest;
use crate::timers::Timer;

/// Time after which an ask that was not acknowledged goes to another lead, and one that was is
/// repeated: two round trips between regions and some processing are under 150 ms.
const ASK_AGAIN: SpanMs = SpanMs(400);
/// Wait after which an ask may move to another region: longer than the largest full calls of three stages take.
const MOVES_AFTER: SpanMs = SpanMs(1_000);
/// How much sooner the other region has to begin. Reports of waits are up to 0.7 s old at 86 VMs, so that all VMs move
/// their asks to the same place if less is enough.
const MOVE_GAIN_MS: f64 = 1_500.0;
/// Times that the stages of a request are started over because a result is gone.
const RESTARTS_MAX: u32 = 2;
/// Regions that are tried for one stage.
const REGIONS_MAX: usize = 3;

impl RequestPath {
    pub(super) fn start_stages(&mut self, now: TimeMs, request: RequestNumber) {
        let startable = self.requests.get(&request).map(|requested| requested.stages.startable_stages());
        for stage in startable.unwrap_or_default() {
            if !self.ask_for(now, request, stage, None) {
                return;
            }
        }
    }

    /// Asks a lead for the missing pieces of a stage; false if the request ended over it.
    fn ask_for(&mut self, now: TimeMs, request: RequestNumber, stage: usize, avoided_lead: Option<&VmId>) -> bool {
        let Some(requested) = self.requests.get(&request) else {
            return false;
        };
        let spec = requested.stages.spec(stage).clone();
        let Some(pool) = requested.configuration.stage_pool(&spec.pool) else {
            self.finish(now, request, RefusalReason::NoEndpoint);
            return false;
        };
        let missing = requested.stages.missing_pieces(stage);
        let inputs_bytes = requested.stages.bytes_by_domain(spec.input_stages.iter().copied());
        let needed_in = self.needed_in(now, requested, stage);
        let wanted = StageDemand {
            pool: &spec.pool,
            spec: pool,
            pieces: missing.len(),
            result_bytes: spec.result_bytes * missing.len() as u64,
            input_bytes: &inputs_bytes,
            consumer_domain: &needed_in,
            avoided_regions: requested.stages.avoided_regions(stage),
        };
        let chosen = self.backlogs.choose(now, &self.table, &self.settings, &wanted);
        let Some((region, endpoints)) = chosen else {
            self.finish(now, request, RefusalReason::NoEndpoint);
            return false;
        };
        self.backlogs.record_piece_request(now, &wanted, &region, endpoints);
        let me = self.settings.vm.clone();
        let lead = match self.settings.batching {
            Batching::Led => pool_leader(&self.fleet, now, &spec.pool, &region),
            Batching::Alone => None,
        };
        let lead = lead.filter(|lead| Some(lead) != avoided_lead);
        let lead = lead.unwrap_or(me);
        self.ask_counter += 1;
        let ask = self.new_ask(now, requested, stage, &region);
        let id = ask.id.clone();
        self.log(
            Record::new("pieces asked for")
                .text("request", &ask.client_id)
                .number("stage", stage)
                .number("pieces", ask.pieces.len())
                .text("pool", &ask.pool)
                .text("region", &region)
                .text("lead", &lead)
                .number("wait_ms", self.backlogs.wait_ms(now, &ask.pool, &region) as i64),
        );
        let asked = SentPieceRequest { id: id.clone(), leader: lead.clone(), region, sent_at: now, heard_at: None };
        if let Some(requested) = self.requests.get_mut(&request) {
            requested.stages.set_sent_piece_request(stage, Some(asked));
        }
        self.asks.insert(id.clone(), request);
        self.timers.set(now + ASK_AGAIN, Timer::AskAgain(id));
        self.tell_ask(now, &lead, ask);
        true
    }

    /// PieceRequest for the missing pieces of a stage, with the number that was counted last.
    fn new_ask(&self, now: TimeMs, requested: &Requested, stage: usize, region: &Region) -> PieceRequest {
        let spec = requested.stages.spec(stage);
        let inputs = if spec.input_stages.is_empty() {
            Inputs::Key(requested.arrival.piece_key.clone())
        } else {
            Inputs::Results(requested.stages.inputs_of(stage).into_iter().map(|result| result.handle).collect())
        };
        let first_byte_ms = self.first_byte_ms(&requested.pool) + prefill_ms(&requested.arrival);
        let after_ms = requested.stages.downstream_ms(stage, &requested.configuration) + first_byte_ms;
        PieceRequest {
            id: PieceRequestId {
                vm: self.settings.vm.clone(),
                incarnation: self.settings.incarnation,
                number: self.ask_counter,
            },
            pool: spec.pool.clone(),
            region: region.clone(),
            client_id: requested.arrival.client_id.clone(),
            stage,
            pieces: requested.stages.missing_pieces(stage),
            inputs,
            result_bytes: spec.result_bytes,
            rank: requested.rank,
            objective_left_ms: requested.objective_at.0 as i64 - now.0 as i64,
            deadline_left_ms: requested.left(now),
            downstream_ms: SpanMs(after_ms as u64),
        }
    }

    /// Failure domain in which the results of a stage are expected to be needed: that of the endpoint
    /// which the request itself would go to now, for a stage that no other one follows.
    fn needed_in(&self, now: TimeMs, requested: &Requested, stage: usize) -> FailureDomain {
        let home = self.settings.failure_domain.clone();
        if !requested.stages.final_stages().contains(&stage) {
            return home;
        }
        let need = RequestRequirements {
            pool: &requested.pool,
            prompt: &requested.arrival.prompt,
            prompt_tokens: requested.arrival.prompt_tokens,
            input_bytes: &[],
            excluded: &[],
        };
        let choice = choose_endpoint(&self.table, &self.settings, now, &need);
        let known = choice.and_then(|choice| self.table.get(&choice.endpoint));
        known.map_or(home, |known| known.endpoint.failure_domain.clone())
    }

    fn tell_ask(&mut self, now: TimeMs, lead: &VmId, ask: PieceRequest) {
        if *lead == self.settings.vm {
            self.lead_ask(now, ask);
        } else {
            self.tell(lead, PeerMessage::PieceRequest(Box::new(ask)));
        }
    }

    /// Sends a message to a VM that is known.
    pub(super) fn tell(&mut self, vm: &VmId, message: PeerMessage) {
        if let Some(record) = self.fleet.record(vm) {
            self.effects.push(Effect::SendPeerMessage(vm.clone(), record.peer_address, Box::new(message)));
        }
    }

    /// An ask is still open: repeat it, or turn to another lead if this one does not answer.
    pub(super) fn on_ask_again(&mut self, now: TimeMs, ask: &PieceRequestId) {
        let Some(request) = self.asks.get(ask).copied() else {
            return;
        };
        let Some(requested) = self.requests.get(&request) else {
            self.asks.remove(ask);
            return;
        };
        let Some(stage) = requested.stages.stage_of_piece_request(ask) else {
            return;
        };
        let Some(asked) = requested.stages.sent_piece_request(stage).cloned() else {
            return;
        };
        if requested.stages.is_stage_done(stage) {
            return;
        }
        let is_mute = asked.heard_at.is_none_or(|at| now.since(at) > ASK_AGAIN + ASK_AGAIN);
        if asked.leader != self.settings.vm && (is_mute || !self.fleet.is_live(now, &asked.leader)) {
            self.log(
                Record::new("lead does not answer")
                    .text("request", &requested.arrival.client_id)
                    .number("stage", stage)
                    .text("lead", &asked.leader)
                    .number("since_ms", now.since(asked.heard_at.unwrap_or(asked.sent_at)).0),
            );
            self.release(now, &asked);
            self.ask_for(now, request, stage, Some(&asked.leader));
            return;
        }
        if self.is_hopeless(now, requested) {
            self.finish(now, request, RefusalReason::LateAtStage);
            return;
        }
        if self.waits_too_long(now, requested, stage, &asked) {
            self.log(
                Record::new("ask moved to another region")
                    .text("request", &requested.arrival.client_id)
                    .number("stage", stage)
                    .text("pool", &requested.stages.spec(stage).pool)
                    .text("region", &asked.region),
            );
            self.release(now, &asked);
            self.ask_for(now, request, stage, None);
            return;
        }
        if asked.leader != self.settings.vm {
            self.tell(&asked.leader.clone(), PeerMessage::Results(ask.clone(), Vec::new()));
        }
        self.timers.set(now + ASK_AGAIN, Timer::AskAgain(ask.clone()));
    }

    /// Whether a request that is in its stages would surely miss its deadline.
    fn is_hopeless(&self, now: TimeMs, requested: &Requested) -> bool {
        let stages = &requested.stages;
        let forecast = self.forecast(now, &requested.configuration, &requested.pool, stages, &requested.arrival);
        forecast.misses(requested.left(now))
    }

    /// Whether none of an ask's pieces is made yet while another region would make them much
    /// sooner than its own would begin them.
    fn waits_too_long(&self, now: TimeMs, requested: &Requested, stage: usize, asked: &SentPieceRequest) -> bool {
        let spec = requested.stages.spec(stage);
        let has_waited = now.since(asked.sent_at) >= MOVES_AFTER;
        // One that is late goes behind all others there as well.
        let is_late = requested.objective_at <= now;
        if !has_waited || is_late || requested.stages.missing_pieces(stage).len() < requested.stages.piece_count(stage)
        {
            return false;
        }
        let here = self.backlogs.wait_ms(now, &spec.pool, &asked.region);
        let shortest = self.backlogs.shortest_wait_ms(now, &self.table, &self.settings, &spec.pool).unwrap_or(here);
        here > shortest + MOVE_GAIN_MS
    }

    /// Gives up an ask: what waits is dropped, what was made is freed.
    pub(super) fn release(&mut self, now: TimeMs, asked: &SentPieceRequest) {
        self.asks.remove(&asked.id);
        if asked.leader == self.settings.vm {
            self.lead_release(now, &asked.id);
        } else {
            self.tell(&asked.leader, PeerMessage::Release(asked.id.clone()));
        }
    }

    /// Results of an ask of this VM.
    pub(super) fn on_results(&mut self, now: TimeMs, ask: &PieceRequestId, results: Vec<(u16, PieceResult)>) {
        let Some(request) = self.asks.get(ask).copied() else {
            return;
        };
        let Some(requested) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(stage) = requested.stages.stage_of_piece_request(ask) else {
            return;
        };
        if let Some(asked) = requested.stages.sent_piece_request_mut(stage) {
            asked.heard_at = Some(now);
        }
        for (piece, result) in results {
            // A copy of a piece that is there already says nothing about the request.
            let is_missing = self.requests.get(&request).is_some_and(|requested| {
                matches!(requested.phase, Phase::InStages) && requested.stages.missing_pieces(stage).contains(&piece)
            });
            if !is_missing {
                continue;
            }
            match result {
                PieceResult::Made(made) => {
                    let Some(requested) = self.requests.get_mut(&request) else {
                        return;
                    };
                    requested.stages.on_result(stage, piece, made);
                }
                PieceResult::NotMade(outcome) => {
                    self.on_piece_failed(now, request, stage, outcome);
                    return;
                }
                PieceResult::NoEndpoint => {
                    self.ask_elsewhere(now, request, stage, RefusalReason::NoEndpoint);
                    return;
                }
            }
        }
        self.after_results(now, request, stage);
    }

    fn after_results(&mut self, now: TimeMs, request: RequestNumber, stage: usize) {
        let Some(requested) = self.requests.get_mut(&request) else {
            return;
        };
        if !requested.stages.is_stage_done(stage) {
            return;
        }
        let unneeded = requested.stages.mark_inputs_consumed(stage);
        for asked in unneeded {
            self.release(now, &asked);
        }
        self.go_on(now, request);
    }

    fn on_piece_failed(&mut self, now: TimeMs, request: RequestNumber, stage: usize, outcome: PieceOutcome) {
        match outcome {
            PieceOutcome::InputGone => self.restart_stage(now, request, stage),
            PieceOutcome::Late => self.finish(now, request, RefusalReason::LateAtStage),
            PieceOutcome::Failed | PieceOutcome::NoRoom => {
                self.ask_elsewhere(now, request, stage, RefusalReason::StageFailed);
            }
            PieceOutcome::Made(_) => {}
        }
    }

    fn ask_elsewhere(&mut self, now: TimeMs, request: RequestNumber, stage: usize, reason: RefusalReason) {
        let Some(requested) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(asked) = requested.stages.sent_piece_request(stage).cloned() else {
            return;
        };
        requested.stages.avoid_region(stage, asked.region.clone());
        if requested.stages.avoided_regions(stage).len() >= REGIONS_MAX {
            self.finish(now, request, reason);
            return;
        }
        // What was made stays with its lead until it lapses; only the missing pieces are asked for.
        self.asks.remove(&asked.id);
        self.ask_for(now, request, stage, None);
    }

    /// Starts a stage and its inputs over, because a result is gone.
    pub(super) fn restart_stage(&mut self, now: TimeMs, request: RequestNumber, stage: usize) {
        let Some(requested) = self.requests.get_mut(&request) else {
            return;
        };
        requested.restarts += 1;
        let is_over = requested.restarts > RESTARTS_MAX;
        let asks = requested.stages.reset_with_inputs(stage);
        requested.phase = Phase::InStages;
        let record = Record::new("stage starts over, a result is gone")
            .text("request", &requested.arrival.client_id)
            .number("stage", stage);
        self.log(record);
        for asked in asks {
            self.release(now, &asked);
        }
        // Results that lapsed while their request waited are made again only if that still helps it.
        let is_hopeless = self.requests.get(&request).is_some_and(|requested| self.is_hopeless(now, requested));
        if is_over || is_hopeless {
            self.finish(now, request, if is_over { RefusalReason::StageFailed } else { RefusalReason::LateAtStage });
            return;
        }
        self.go_on(now, request);
    }
}
