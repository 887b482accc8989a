//! A request arrives: its route, its workspace, and whether it can be served in time.

use std::sync::Arc;

use boragepass_types::{PoolId, SpanMs, TimeMs, WorkspaceId, rendezvous_weight};

use super::RequestPath;
use crate::admission::{Backlog, Forecast, RefusalReason};
use crate::configuration::{Configuration, Route};
use crate::effect::{Answer, Effect};
use crate::event::Arrival;
use crate::placement::{RequestRequirements, choose_endpoint};
use crate::record::Record;
use crate::request::{Phase, RequestNumber, Requested};
use crate::stages::StageProgress;
use crate::timers::Timer;

/// Ranks of routes within one rank of workspaces.
const ROUTE_RANKS: u16 = 4;
/// Time to the first byte of an answer where nothing is known of a pool.
const FIRST_BYTE_MS_DEFAULT: f64 = 100.0;
/// Time after which a client may ask again while there is no configuration or endpoint.
const UNKNOWN_RETRY: SpanMs = SpanMs(500);

/// Workspace of a request and its rank.
struct Tenancy {
    workspace: Option<WorkspaceId>,
    priority: u8,
}

impl RequestPath {
    pub(super) fn on_arrived(&mut self, now: TimeMs, arrival: Box<Arrival>) {
        let request = arrival.request;
        match self.admit(now, &arrival) {
            Ok(requested) => {
                self.log_arrival(&requested, &arrival);
                self.timers.set(requested.deadline_at, Timer::RequestTimeout(request));
                self.requests.insert(request, Requested { arrival, ..requested });
                self.go_on(now, request);
            }
            Err((reason, retry_after_ms)) => {
                self.log(
                    Record::new("request refused")
                        .text("request", &arrival.client_id)
                        .text("host", &arrival.host)
                        .text("path", &arrival.path)
                        .text("reason", reason)
                        .number("configuration", self.configuration.as_ref().map_or(0, |known| known.version.0))
                        .number("retry_after_ms", retry_after_ms.unwrap_or_default().0),
                );
                let answer = Answer { status: reason.status(), retry_after_ms, reason };
                self.effects.push(Effect::Respond(request, answer));
            }
        }
    }

    fn log_arrival(&mut self, requested: &Requested, arrival: &Arrival) {
        self.log(
            Record::new("request admitted")
                .text("request", &arrival.client_id)
                .text("route", &requested.route.name)
                .text("pool", &requested.pool)
                .number("configuration", requested.configuration.version.0)
                .number("left_ms", requested.deadline_at.since(requested.arrived_at).0)
                .number("tokens", arrival.prompt_tokens),
        );
    }

    fn admit(&mut self, now: TimeMs, arrival: &Arrival) -> Result<Requested, (RefusalReason, Option<SpanMs>)> {
        if self.refuses_all(now) {
            return Err((RefusalReason::Stopping, Some(UNKNOWN_RETRY)));
        }
        let Some(configuration) = self.configuration.clone() else {
            return Err((RefusalReason::NoConfiguration, Some(UNKNOWN_RETRY)));
        };
        let found = configuration.route(&arrival.host, &arrival.path);
        let route = found.map_err(|_| (RefusalReason::NoRoute, None))?.clone();
        let tenancy = tenancy(&configuration, &route, arrival).ok_or((RefusalReason::UnknownKey, None))?;
        if self.crashes.is_harmful(arrival.digest) {
            return Err((RefusalReason::Harmful, None));
        }
        let pool = choose_pool(&route, &arrival.client_id).ok_or((RefusalReason::NoEndpoint, Some(UNKNOWN_RETRY)))?;
        let stages = StageProgress::new(&route.stages, &arrival.pieces);
        let left = arrival.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
        let forecast = self.forecast(now, &configuration, &pool, &stages, arrival);
        if forecast.misses(left) {
            let place_in = crate::admission::retry_after(forecast.excess_ms(left), &mut self.random);
            return Err((RefusalReason::Overload, Some(place_in)));
        }
        self.budget.on_request(now, &pool);
        for stage in &route.stages {
            self.budget.on_request(now, &stage.pool);
        }
        Ok(Requested {
            arrival: Box::new(arrival.clone()),
            arrived_at: now,
            deadline_at: now + left,
            objective_at: now + route.objective_ms,
            rank: u16::from(tenancy.priority) * ROUTE_RANKS + u16::from(route.priority).min(ROUTE_RANKS - 1),
            workspace: tenancy.workspace,
            configuration,
            pool,
            stages,
            phase: Phase::InStages,
            tried: Vec::new(),
            unreached: 0,
            runs: 0,
            restarts: 0,
            is_relaying: false,
            last_event: arrival.resume_after,
            route,
        })
    }

    /// How long a request would take if it were let in now.
    pub(super) fn forecast(
        &self,
        now: TimeMs,
        configuration: &Configuration,
        pool: &PoolId,
        stages: &StageProgress,
        arrival: &Arrival,
    ) -> Forecast {
        let waits = (0..stages.len()).filter(|stage| !stages.is_stage_done(*stage)).filter_map(|stage| {
            self.backlogs.shortest_wait_ms(now, &self.table, &self.settings, &stages.spec(stage).pool)
        });
        let need = RequestRequirements {
            pool,
            prompt: &arrival.prompt,
            prompt_tokens: arrival.prompt_tokens,
            input_bytes: &[],
            excluded: &[],
        };
        let endpoint = choose_endpoint(&self.table, &self.settings, now, &need);
        Forecast::of(Backlog {
            stages_wait_ms: waits.fold(0.0, f64::max),
            stages_ms: stages.min_remaining_ms(configuration),
            endpoint_ms: endpoint.filter(|choice| choice.cost_ms < 50_000.0).map_or(0.0, |choice| choice.cost_ms),
            first_byte_ms: self.first_byte_ms(pool),
        })
    }

    /// Usual time to the first byte at a pool, beside reading.
    pub(super) fn first_byte_ms(&self, pool: &PoolId) -> f64 {
        self.first_byte_ms.get(pool).copied().unwrap_or(FIRST_BYTE_MS_DEFAULT)
    }

    /// Takes a request one step further: stages that can start, or the request itself.
    pub(super) fn go_on(&mut self, now: TimeMs, request: RequestNumber) {
        let Some(requested) = self.requests.get(&request) else {
            return;
        };
        if !matches!(requested.phase, Phase::InStages) {
            return;
        }
        if requested.stages.is_done() {
            self.send_request(now, request);
        } else {
            self.start_stages(now, request);
        }
    }
}

fn tenancy(configuration: &Configuration, route: &Route, arrival: &Arrival) -> Option<Tenancy> {
    let found = arrival.key.as_ref().and_then(|key| configuration.workspace_of(key));
    match found {
        Some(workspace) => Some(Tenancy { workspace: Some(workspace.name.clone()), priority: workspace.priority }),
        None if route.is_anonymous || !configuration.has_workspaces() => Some(Tenancy { workspace: None, priority: 0 }),
        None => None,
    }
}

/// Pool of a route by the weights of its split; the same request always gets the same one.
fn choose_pool(route: &Arc<Route>, client_id: &str) -> Option<PoolId> {
    let total: u64 = route.weighted_pools.iter().map(|(_, weight)| u64::from(*weight)).sum();
    if total == 0 {
        return route.weighted_pools.first().map(|(pool, _)| pool.clone());
    }
    let mut point = rendezvous_weight("split", client_id) % total;
    for (pool, weight) in &route.weighted_pools {
        if point < u64::from(*weight) {
            return Some(pool.clone());
        }
        point -= u64::from(*weight);
    }
    None
}
