//! Arrival of a request: finds its route, workspace and pool, and admits it unless the forecast says that it
//! would miss its deadline.

use boragepass_types::{PoolId, SpanMs, TimeMs, WorkspaceId, rendezvous_weight};

use super::RequestPath;
use crate::admission::{Backlog, Forecast, RefusalReason};
use crate::configuration::{Configuration, Route};
use crate::effect::{Answer, Effect};
use crate::event::{Arrival, PromptPart};
use crate::placement::{Homes, RequestRequirements, choose_endpoint};
use crate::record::Record;
use crate::request::{Phase, RequestNumber, RequestState, StreamVersion};
use crate::stages::StageProgress;
use crate::timers::Timer;

/// Number of route priorities within one workspace priority.
const RANKS_PER_WORKSPACE_PRIORITY: u16 = 4;
/// Assumed time to the first byte of an answer at a pool without samples.
const DEFAULT_FIRST_BYTE_MS: f64 = 100.0;
/// Retry delay for clients while this VM has no configuration, the route no pool, or the process stops.
const NOT_READY_RETRY_AFTER: SpanMs = SpanMs(500);
/// Retry delay for clients while this VM asks for a newer configuration: an exchange between regions and its transfer.
const CATCH_UP_RETRY_AFTER: SpanMs = SpanMs(250);

/// Prompt parts that a log line lists.
const LOGGED_PROMPT_PARTS_MAX: usize = 6;

/// Workspace of a client, if its key belongs to one, and its priority.
struct ClientWorkspace {
    workspace: Option<WorkspaceId>,
    priority: u8,
}

impl RequestPath {
    pub(super) fn on_request_arrived(&mut self, now: TimeMs, arrival: Box<Arrival>) {
        let request = arrival.request;
        if let Some(origin) = &arrival.relay_origin {
            self.announce_newer_configuration(now, origin);
        }
        match self.admit(now, &arrival) {
            Ok(state) => {
                self.log_arrival(&state, &arrival);
                self.timers.set(state.deadline_at, Timer::RequestTimeout(request));
                self.requests.insert(request, RequestState { arrival, ..state });
                self.query_stream_version(now, request);
                self.advance(now, request);
            }
            Err((reason, retry_after_ms)) => {
                self.log(
                    Record::new("request refused")
                        .text("request", &arrival.client_id)
                        .text("host", &arrival.host)
                        .text("path", &arrival.path)
                        .text("reason", reason)
                        .text("is_relayed", arrival.is_relayed)
                        .text("prompt_parts", prompt_part_ids(&arrival.prompt))
                        .number("configuration", self.configuration_version().0)
                        .number("retry_after_ms", retry_after_ms.unwrap_or_default().0),
                );
                if reason == RefusalReason::NoHomeEndpoint {
                    self.log_refused_arrival_homes(&arrival);
                }
                let answer = Answer { status: reason.status(), retry_after_ms, reason };
                self.effects.push(Effect::Respond(request, answer));
            }
        }
    }

    fn log_arrival(&mut self, state: &RequestState, arrival: &Arrival) {
        let mut record = Record::new("request admitted")
            .text("request", &arrival.client_id)
            .text("route", &state.route.name)
            .text("pool", &state.pool)
            .number("configuration", state.configuration.version.0)
            .number("left_ms", state.deadline_at.since(state.arrived_at).0)
            .number("tokens", arrival.prompt_tokens)
            .text("prompt_parts", prompt_part_ids(&arrival.prompt))
            .text("content", arrival.digest)
            .text("is_relayed", arrival.is_relayed);
        if state.homes.is_restricted() {
            record = record.text("homes", state.homes.names());
        }
        if let Some(stream) = &arrival.resumed_stream {
            record = record.text("resumed_stream", stream);
        }
        if let Some(event) = arrival.resume_after {
            record = record.number("resume_after", event);
        }
        self.log(record);
    }

    fn admit(&mut self, now: TimeMs, arrival: &Arrival) -> Result<RequestState, (RefusalReason, Option<SpanMs>)> {
        if self.refuses_new_requests(now) {
            return Err((RefusalReason::Stopping, Some(NOT_READY_RETRY_AFTER)));
        }
        let Some(configuration) = self.configuration.clone() else {
            return Err((RefusalReason::NoConfiguration, Some(NOT_READY_RETRY_AFTER)));
        };
        let is_origin_newer =
            arrival.relay_origin.as_ref().is_some_and(|origin| origin.configuration > configuration.version);
        if is_origin_newer || self.is_behind_relays(now) {
            return Err((RefusalReason::ConfigurationBehind, Some(CATCH_UP_RETRY_AFTER)));
        }
        if self.endpoint_table.evacuations.is_awaited(now) {
            return Err((RefusalReason::EvacuationsUnknown, Some(NOT_READY_RETRY_AFTER)));
        }
        let matching_route = configuration.route(&arrival.host, &arrival.path);
        let route = matching_route.map_err(|_| (RefusalReason::NoRoute, None))?.clone();
        let client = client_workspace(&configuration, &route, arrival).ok_or((RefusalReason::UnknownKey, None))?;
        let trial = self.admit_content(now, arrival)?;
        let homes = self.arriving_homes(&configuration, &route, arrival);
        let pool = self
            .choose_home_pool(&route, &arrival.client_id, &homes)
            .ok_or((RefusalReason::NoEndpoint, Some(NOT_READY_RETRY_AFTER)))?;
        let stream_version = self.arriving_stream_version(now, arrival, &pool)?;
        let stages = StageProgress::new(&route.stages, &arrival.pieces);
        let time_left = arrival.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
        let forecast = self.forecast(now, &configuration, &pool, &stages, arrival, &homes);
        // The VM that a partitioned one relays to makes the forecast.
        let is_to_be_relayed = self.is_to_be_relayed(now, arrival, &homes);
        if !is_to_be_relayed && self.is_refused_by_homes(now, &pool, &stages, &homes) {
            return Err((RefusalReason::NoHomeEndpoint, Some(self.home_retry_after())));
        }
        if !is_to_be_relayed && forecast.misses_deadline(time_left) {
            let retry_after_ms = crate::admission::retry_after(forecast.excess_ms(time_left), &mut self.rng);
            return Err((RefusalReason::Overload, Some(retry_after_ms)));
        }
        if let Some(content) = trial {
            self.crash_tracker.on_trial(now, content);
        }
        // The VM that a partitioned one relays to counts the request.
        if !self.endpoint_reach.is_partitioned() {
            self.retry_budget.on_request(now, &pool);
            route.stages.iter().for_each(|stage| self.retry_budget.on_request(now, &stage.pool));
        }
        Ok(RequestState {
            arrival: Box::new(arrival.clone()),
            arrived_at: now,
            deadline_at: now + time_left,
            objective_at: now + route.objective_ms,
            rank: u16::from(client.priority) * RANKS_PER_WORKSPACE_PRIORITY
                + u16::from(route.priority).min(RANKS_PER_WORKSPACE_PRIORITY - 1),
            workspace: client.workspace,
            homes,
            has_former_homes: false,
            configuration,
            pool,
            stages,
            phase: Phase::InStages,
            tried_endpoints: Vec::new(),
            unreachable_count: 0,
            relay_vms: Vec::new(),
            possible_runs: 0,
            stage_restarts: 0,
            is_trial: trial.is_some(),
            is_relaying: false,
            stream_version,
            awaits_entry_since: None,
            last_event: arrival.resume_after,
            route,
        })
    }

    /// Forecast of the rest of a request's path.
    pub(super) fn forecast(
        &self,
        now: TimeMs,
        configuration: &Configuration,
        pool: &PoolId,
        stages: &StageProgress,
        arrival: &Arrival,
        homes: &Homes,
    ) -> Forecast {
        let stage_waits_ms = (0..stages.len()).filter(|stage| !stages.is_stage_done(*stage)).filter_map(|stage| {
            self.pool_backlogs.shortest_wait_ms(
                now,
                &self.endpoint_table,
                &self.settings,
                &stages.spec(stage).pool,
                homes,
            )
        });
        let requirements = RequestRequirements {
            pool,
            prompt: &arrival.prompt,
            prompt_tokens: arrival.prompt_tokens,
            input_bytes: &[],
            excluded: &[],
            stream_version: &StreamVersion::NotBegun,
            places: homes.places(&self.settings),
            objective_left_ms: crate::placement::FORECAST_OBJECTIVE_LEFT_MS,
        };
        let chosen_endpoint = choose_endpoint(&self.endpoint_table, &self.settings, now, &requirements);
        Forecast::from_backlog(Backlog {
            stages_wait_ms: stage_waits_ms.fold(0.0, f64::max),
            stages_ms: stages.min_remaining_ms(configuration),
            // The cost of an ejected endpoint is a penalty and not an expected time.
            endpoint_ms: chosen_endpoint
                .filter(|choice| choice.cost_ms < 50_000.0)
                .map_or(0.0, |choice| choice.cost_ms),
            first_byte_ms: self.average_first_byte_ms(pool),
        })
    }

    /// Average time to the first byte of an answer at a pool, without the prefill of the prompt.
    pub(super) fn average_first_byte_ms(&self, pool: &PoolId) -> f64 {
        self.average_first_byte_ms.get(pool).copied().unwrap_or(DEFAULT_FIRST_BYTE_MS)
    }

    /// Starts the next step of a request: the stages that can start, or the send once all stages are done.
    pub(super) fn advance(&mut self, now: TimeMs, request: RequestNumber) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        if !matches!(state.phase, Phase::InStages) {
            return;
        }
        if self.relay_if_partitioned(now, request) {
            return;
        }
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        if state.stages.is_done() {
            self.send_request(now, request);
        } else {
            self.start_stages(now, request);
        }
    }
}

/// Ids of the first prompt parts, for a log line.
fn prompt_part_ids(prompt: &[PromptPart]) -> String {
    let ids: Vec<_> = prompt.iter().take(LOGGED_PROMPT_PARTS_MAX).map(|part| part.id.to_string()).collect();
    ids.join(",")
}

/// Workspace of the request's client; `None` if the route needs a key and the request has no valid one.
fn client_workspace(configuration: &Configuration, route: &Route, arrival: &Arrival) -> Option<ClientWorkspace> {
    let workspace = arrival.key.as_ref().and_then(|key| configuration.workspace_of(key));
    match workspace {
        Some(workspace) => {
            Some(ClientWorkspace { workspace: Some(workspace.name.clone()), priority: workspace.priority })
        }
        None if route.is_anonymous || !configuration.has_workspaces() => {
            Some(ClientWorkspace { workspace: None, priority: 0 })
        }
        None => None,
    }
}

/// Chooses one of the weighted pools by weight. The choice is a hash of the request id, so a retried request gets the
/// same pool.
pub(super) fn choose_pool(weighted_pools: &[(PoolId, u32)], client_id: &str) -> Option<PoolId> {
    let total: u64 = weighted_pools.iter().map(|(_, weight)| u64::from(*weight)).sum();
    if total == 0 {
        return weighted_pools.first().map(|(pool, _)| pool.clone());
    }
    let mut offset = rendezvous_weight("split", client_id) % total;
    for (pool, weight) in weighted_pools {
        if offset < u64::from(*weight) {
            return Some(pool.clone());
        }
        offset -= u64::from(*weight);
    }
    None
}
