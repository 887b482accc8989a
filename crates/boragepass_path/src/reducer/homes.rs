//! Home regions of requests: refusals for want of an endpoint there, and changes of the home regions while requests wait.
//!
//! A request keeps to the home regions of its own configuration and to those of every later one, since both may forbid
//! what the other allows. A request that an endpoint runs is left there; if it has to be sent again, the new ones bind.

use boragepass_types::{PoolId, SpanMs, TimeMs};

use super::RequestPath;
use super::arrivals::choose_pool;
use crate::admission::{RefusalReason, retry_after};
use crate::configuration::{Configuration, Route};
use crate::event::Arrival;
use crate::placement::{Homes, RequestRequirements, choose_endpoint};
use crate::record::Record;
use crate::request::{Phase, RequestNumber, RequestState, StreamVersion};
use crate::stages::StageProgress;

/// Retry delay for a client of whose home regions no endpoint can serve.
const HOME_RETRY_AFTER: SpanMs = SpanMs(1_000);
/// Time for which an endpoint that was found down is not tried for requests with home regions while all others there are
/// down too. A connection attempt to a silent endpoint takes 1.2 s, so within 2 s each of a few is tried once.
const FOUND_DOWN_TRUST: SpanMs = SpanMs(2_000);

impl RequestPath {
    /// Home regions of an arriving request.
    pub(super) fn arriving_homes(&self, configuration: &Configuration, route: &Route, arrival: &Arrival) -> Homes {
        let workspace = arrival.key.as_ref().and_then(|key| configuration.workspace_of(key));
        let homes = Homes::of(route, workspace);
        arrival.relay_origin.as_ref().map_or(homes.clone(), |origin| homes.and(&origin.homes))
    }

    /// Chooses a pool of a route by weight. For a request with home regions, only pools with an endpoint there count,
    /// unless none has one.
    pub(super) fn choose_home_pool(&self, route: &Route, client_id: &str, homes: &Homes) -> Option<PoolId> {
        if !homes.is_restricted() {
            return choose_pool(&route.weighted_pools, client_id);
        }
        let pools = route.weighted_pools.iter();
        let mut at_home: Vec<_> = pools.filter(|(pool, _)| self.is_served_at_home(pool, homes)).cloned().collect();
        if at_home.iter().any(|(_, weight)| *weight > 0) {
            at_home.retain(|(_, weight)| *weight > 0);
        }
        choose_pool(if at_home.is_empty() { &route.weighted_pools } else { &at_home }, client_id)
    }

    /// Whether an endpoint of a pool in a home region takes new work, whatever its health.
    fn is_served_at_home(&self, pool: &PoolId, homes: &Homes) -> bool {
        let places = homes.places(&self.settings);
        self.endpoint_table.serving(pool).any(|known| places.allows_endpoint(known))
    }

    /// Whether home regions are set and this VM found all endpoints of a pool there down a moment ago, or there are none.
    pub(super) fn are_homes_down(&self, now: TimeMs, pool: &PoolId, homes: &Homes) -> bool {
        let places = homes.places(&self.settings);
        let mut at_home = self.endpoint_table.serving(pool).filter(|known| places.allows_endpoint(known));
        places.is_restricted() && at_home.all(|known| known.was_found_down(now, FOUND_DOWN_TRUST))
    }

    /// Whether an arriving request is refused because no endpoint of its pool, or of a stage that it needs, can serve it
    /// in its home regions.
    pub(super) fn is_refused_by_homes(
        &self,
        now: TimeMs,
        pool: &PoolId,
        stages: &StageProgress,
        homes: &Homes,
    ) -> bool {
        let needed = (0..stages.len()).filter(|stage| !stages.is_stage_done(*stage));
        homes.is_restricted()
            && (self.are_homes_down(now, pool, homes)
                || needed.into_iter().any(|stage| !self.is_served_at_home(&stages.spec(stage).pool, homes)))
    }

    /// Whether a request that no endpoint takes is kept from endpoints by its home regions alone, or all endpoints there
    /// are down.
    pub(super) fn do_homes_exclude(&self, now: TimeMs, state: &RequestState) -> bool {
        if !state.homes.is_restricted() {
            return false;
        }
        let anywhere = Homes::default();
        let requirements = RequestRequirements {
            pool: &state.pool,
            prompt: &[],
            prompt_tokens: 0,
            input_bytes: &[],
            excluded: &state.tried_endpoints,
            stream_version: &state.stream_version,
            objective_left_ms: crate::placement::FORECAST_OBJECTIVE_LEFT_MS,
            places: anywhere.places(&self.settings),
        };
        let is_version_known = !matches!(state.stream_version, StreamVersion::BegunUnknown);
        let is_limited_at_home = self.is_limited_at_home(now, state);
        is_version_known
            && !is_limited_at_home
            && (self.are_homes_down(now, &state.pool, &state.homes)
                || choose_endpoint(&self.endpoint_table, &self.settings, now, &requirements).is_some())
    }

    /// Whether an endpoint in a home region takes requests again later, which it states itself.
    fn is_limited_at_home(&self, now: TimeMs, state: &RequestState) -> bool {
        let places = state.homes.places(&self.settings);
        let mut at_home = self.endpoint_table.serving(&state.pool).filter(|known| places.allows_endpoint(known));
        at_home.any(|known| known.limits_requests(now) || known.is_brittle())
    }

    /// Why no region can take the pieces of a stage.
    pub(super) fn unplaced_stage_reason(&self, pool: &PoolId, homes: &Homes) -> RefusalReason {
        let is_served = self.endpoint_table.serving(pool).next().is_some();
        if homes.is_restricted() && is_served { RefusalReason::NoHomeEndpoint } else { self.no_endpoint_reason(pool) }
    }

    /// Whether a request has home regions and all of those in which the pool of a stage has endpoints failed it already.
    pub(super) fn are_homes_avoided(&self, request: RequestNumber, stage: usize) -> bool {
        let Some(state) = self.requests.get(&request).filter(|state| state.homes.is_restricted()) else {
            return false;
        };
        let places = state.homes.places(&self.settings);
        let serving = self.endpoint_table.serving(&state.stages.spec(stage).pool);
        let mut at_home = serving.filter(|known| places.allows_endpoint(known));
        let avoided = state.stages.avoided_regions(stage);
        at_home.all(|known| avoided.contains(self.settings.region_of(&known.endpoint.failure_domain)))
    }

    /// Retry delay for a client whose request has no endpoint in its home regions.
    pub(super) fn home_retry_after(&mut self) -> SpanMs {
        retry_after(HOME_RETRY_AFTER, &mut self.rng)
    }

    /// Logs the home regions that refused an arriving request.
    pub(super) fn log_refused_arrival_homes(&mut self, arrival: &Arrival) {
        let Some(configuration) = self.configuration.clone() else {
            return;
        };
        let Ok(route) = configuration.route(&arrival.host, &arrival.path) else {
            return;
        };
        let homes = self.arriving_homes(&configuration, route, arrival);
        self.log(
            Record::new("refused by home regions")
                .text("request", &arrival.client_id)
                .text("route", &route.name)
                .text("homes", homes.names()),
        );
    }

    /// Logs the home regions that an admitted request was refused for.
    pub(super) fn log_home_refusal(&mut self, request: RequestNumber) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        let record = Record::new("refused by home regions")
            .text("request", &state.arrival.client_id)
            .text("route", &state.route.name)
            .text("homes", state.homes.names());
        self.log(record);
    }

    /// Binds all unanswered requests to the home regions of a new configuration too, and evaluates the waiting ones again.
    pub(super) fn apply_new_homes(&mut self, now: TimeMs) {
        let Some(configuration) = self.configuration.clone() else {
            return;
        };
        let mut narrowed = Vec::new();
        for (request, state) in &mut self.requests {
            let Ok(route) = configuration.route(&state.arrival.host, &state.arrival.path) else {
                continue;
            };
            let workspace = state.arrival.key.as_ref().and_then(|key| configuration.workspace_of(key));
            let new_homes = Homes::of(route, workspace);
            let homes = state.homes.and(&new_homes);
            state.has_former_homes = homes != new_homes;
            if homes != state.homes {
                state.homes = homes;
                narrowed.push(*request);
            }
        }
        narrowed.sort();
        for request in narrowed {
            self.evaluate_again(now, request);
        }
    }

    /// Refuses a waiting request or moves its pieces if its home regions have become fewer.
    fn evaluate_again(&mut self, now: TimeMs, request: RequestNumber) {
        let Some(state) = self.requests.get(&request).filter(|state| matches!(state.phase, Phase::InStages)) else {
            return;
        };
        let record = Record::new("home regions of a waiting request changed")
            .text("request", &state.arrival.client_id)
            .text("homes", state.homes.names());
        let is_refused = !self.is_to_be_relayed(now, &state.arrival, &state.homes)
            && self.is_refused_by_homes(now, &state.pool, &state.stages, &state.homes);
        self.log(record);
        if is_refused {
            self.fail_request(now, request, RefusalReason::NoHomeEndpoint);
        } else {
            self.leave_former_homes(now, request);
        }
    }

    /// Starts stages over whose results or piece requests are at places that are no longer allowed. Returns whether there
    /// were any.
    pub(super) fn leave_former_homes(&mut self, now: TimeMs, request: RequestNumber) -> bool {
        let Some(state) = self.requests.get(&request).filter(|state| state.homes.is_restricted()) else {
            return false;
        };
        let places = state.homes.places(&self.settings);
        let local_region = &self.settings.region;
        let is_misplaced = |stage: &usize| {
            let results = state.stages.bytes_by_domain(std::iter::once(*stage));
            let sent = state.stages.sent_piece_request(*stage);
            let is_forbidden_leader = |vm| {
                let record = self.fleet.record(vm);
                record.is_some_and(|record| !state.homes.allows_vm_of(&record.region, local_region))
            };
            results.iter().any(|(domain, _)| !places.allows_domain(domain))
                || (!state.stages.is_stage_done(*stage)
                    && sent.is_some_and(|sent| !state.homes.allows(&sent.region) || is_forbidden_leader(&sent.leader)))
        };
        let misplaced: Vec<usize> = (0..state.stages.len()).filter(is_misplaced).collect();
        if misplaced.is_empty() {
            return false;
        }
        self.restart_stages(now, request, &misplaced);
        true
    }
}

/// Home regions of the requests of a host: those that all of its routes with home regions allow. If they have none in
/// common, no VM is in a home of all, and clients connect within their own region.
pub(super) fn homes_of_host(configuration: &Configuration, host: &str) -> Homes {
    let routes = configuration.routes().filter(|route| *route.host == *host);
    routes.fold(Homes::default(), |homes, route| homes.and(&Homes::of(route, None)))
}
