//! Choice of the endpoint that runs a stage.
//!
//! A few random candidates of the home region are compared, not the whole pool: VMs that share a
//! stale report then do not all choose the same endpoint, and the cost does not grow with the
//! pool. Endpoints that are expected to hold the prefix in their cache join the candidates.
//! Another region is asked only when home would miss the deadline.

use std::collections::BTreeSet;

use boragepass_types::{AdapterId, Bytes, Hash64, ModelId, Permille, PoolId, Region, SpanMs, TimeMs};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::endpoints::{Endpoint, EndpointIdx, EndpointTable};
use crate::prefix_cache::PrefixCache;
use crate::settings::Limits;

const RANDOM_CANDIDATES: usize = 3;
const SAMPLE_TRIES: usize = 8;
const SCAN_MAX: usize = 64;
const PREFIX_SAVING: f32 = 0.3;
const RECENT_FAILURE: SpanMs = SpanMs(2_000);
const RECENT_FAILURE_FACTOR: f32 = 5.0;
const WHOLE_PERMILLE: u64 = 1_000;

/// What a stage needs of its endpoint.
#[derive(Debug, Clone)]
pub(crate) struct StageRequirements<'a> {
    pub(crate) pool: &'a PoolId,
    pub(crate) model: Option<&'a ModelId>,
    pub(crate) adapter: Option<&'a AdapterId>,
    /// Regions of the allowlist.
    pub(crate) regions: &'a BTreeSet<Region>,
    /// Endpoints that failed the request already.
    pub(crate) excluded: &'a [EndpointIdx],
    /// Prefix of the input.
    pub(crate) prefix: Option<Hash64>,
    /// Usual time of the stage.
    pub(crate) median_time: SpanMs,
    /// Usual time of the stages after it.
    pub(crate) later_stages_time: SpanMs,
    /// Time left.
    pub(crate) time_left: SpanMs,
    /// Expected wait until an endpoint at home is free.
    pub(crate) home_wait: SpanMs,
    /// Bytes that would cross regions.
    pub(crate) transfer_bytes: Bytes,
    /// Weight of attainment against cost.
    pub(crate) attainment_weight: Permille,
    /// Whether no other suspicious request may run there.
    pub(crate) needs_isolation: bool,
}

/// Candidate with its expected time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ScoredEndpoint {
    pub(crate) idx: EndpointIdx,
    pub(crate) expected_ms: f32,
}

/// Result of a choice.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Choice {
    /// Endpoint to use, among these candidates.
    Use { chosen: ScoredEndpoint, candidates: Vec<ScoredEndpoint> },
    /// All that could run it are at their limits; `ask` may be able to, but is not known well enough.
    Wait { poll: Vec<EndpointIdx> },
    /// Some may be able to run it, but what is known of them is too old.
    Poll(Vec<EndpointIdx>),
    /// Nothing can run it.
    NoEndpoint,
}

/// Inputs of a choice that do not depend on the request.
pub(crate) struct Router<'a> {
    pub(crate) endpoints: &'a EndpointTable,
    pub(crate) prefix_cache: &'a PrefixCache,
    pub(crate) home: &'a Region,
    pub(crate) limits: &'a Limits,
}

/// Candidates of one region.
#[derive(Default)]
struct Sample {
    candidates: Vec<ScoredEndpoint>,
    has_busy: bool,
    stale: Vec<EndpointIdx>,
}

/// What other regions offer.
enum RemoteChoice {
    /// An endpoint that makes the deadline.
    Use(Choice),
    /// Nothing now; these are not known well enough.
    Poll(Vec<EndpointIdx>),
}

/// Why an endpoint is no candidate.
enum Verdict {
    Eligible,
    Busy,
    Stale,
    Unfit,
}

impl Router<'_> {
    /// Chooses an endpoint.
    pub(crate) fn choose(&self, now: TimeMs, requirements: &StageRequirements<'_>, rng: &mut SmallRng) -> Choice {
        let home = if requirements.regions.contains(self.home) {
            self.sample(now, requirements, self.home, rng)
        } else {
            Sample::default()
        };
        let best_home = best(&home.candidates);
        if let Some(chosen) = best_home
            && chosen.expected_ms + requirements.later_stages_time.0 as f32 <= requirements.time_left.0 as f32
        {
            return Choice::Use { chosen, candidates: home.candidates };
        }
        let is_worth_waiting = home.has_busy
            && requirements.home_wait + requirements.median_time + requirements.later_stages_time
                <= requirements.time_left;
        if is_worth_waiting && best_home.is_none() {
            return Choice::Wait { poll: Vec::new() };
        }
        match self.choose_abroad(now, requirements, rng, &home) {
            RemoteChoice::Use(choice) => choice,
            RemoteChoice::Poll(endpoints) => settle_at_home(best_home, home, endpoints),
        }
    }

    fn choose_abroad(
        &self,
        now: TimeMs,
        requirements: &StageRequirements<'_>,
        rng: &mut SmallRng,
        home: &Sample,
    ) -> RemoteChoice {
        let mut regions: Vec<_> = requirements.regions.iter().filter(|region| *region != self.home).collect();
        let is_home_unknown = !home.has_busy && home.candidates.is_empty() && !home.stale.is_empty();
        if regions.is_empty() || is_home_unknown {
            return RemoteChoice::Poll(Vec::new());
        }
        let first = rng.random_range(0..regions.len());
        regions.rotate_left(first);
        let mut stale = Vec::new();
        for region in regions {
            let mut abroad = self.sample(now, requirements, region, rng);
            self.add_travel(requirements, &mut abroad.candidates);
            let reachable = best(&abroad.candidates).filter(|scored| self.is_worth(requirements, scored));
            if let Some(chosen) = reachable {
                return RemoteChoice::Use(Choice::Use { chosen, candidates: abroad.candidates });
            }
            stale.append(&mut abroad.stale);
        }
        RemoteChoice::Poll(stale)
    }

    /// Adds the delay of the way there and back.
    fn add_travel(&self, requirements: &StageRequirements<'_>, candidates: &mut [ScoredEndpoint]) {
        let travel_ms = 2 * self.limits.region_delay_ms.0;
        debug_assert!(!requirements.regions.is_empty());
        for candidate in candidates {
            candidate.expected_ms += travel_ms as f32;
        }
    }

    /// Whether an answer from another region comes in time and is worth its bytes.
    fn is_worth(&self, requirements: &StageRequirements<'_>, scored: &ScoredEndpoint) -> bool {
        let cost_weight = WHOLE_PERMILLE - u64::from(requirements.attainment_weight.0).min(WHOLE_PERMILLE);
        let price_ms = requirements.transfer_bytes.0 * self.limits.cross_region_price_ms_per_kb * cost_weight
            / WHOLE_PERMILLE
            / 1_024;
        scored.expected_ms + price_ms as f32 + requirements.later_stages_time.0 as f32
            <= requirements.time_left.0 as f32
    }

    fn sample(&self, now: TimeMs, requirements: &StageRequirements<'_>, region: &Region, rng: &mut SmallRng) -> Sample {
        let pool = self.endpoints.in_pool(requirements.pool, region);
        let mut sample = Sample::default();
        if pool.is_empty() {
            return sample;
        }
        for idx in self.prefix_cache.holders(requirements.prefix) {
            if self.endpoints.get(idx).region == *region {
                self.consider(now, requirements, idx, &mut sample);
            }
        }
        let mut tries = 0;
        while sample.candidates.len() < RANDOM_CANDIDATES && tries < SAMPLE_TRIES {
            let idx = pool[rng.random_range(0..pool.len())];
            self.consider(now, requirements, idx, &mut sample);
            tries += 1;
        }
        if sample.candidates.is_empty() {
            self.scan(now, requirements, pool, rng, &mut sample);
        }
        sample
    }

    fn scan(
        &self,
        now: TimeMs,
        requirements: &StageRequirements<'_>,
        pool: &[EndpointIdx],
        rng: &mut SmallRng,
        sample: &mut Sample,
    ) {
        let start = rng.random_range(0..pool.len());
        for offset in 0..pool.len().min(SCAN_MAX) {
            self.consider(now, requirements, pool[(start + offset) % pool.len()], sample);
        }
        if !sample.candidates.is_empty() || sample.has_busy {
            return;
        }
        for &idx in pool.iter().take(SCAN_MAX) {
            let endpoint = self.endpoints.get(idx);
            if self.can_ever_run(endpoint, requirements, idx) && endpoint.is_fresh(now, self.limits.load_stale_ms) {
                sample.candidates.push(self.score(now, requirements, idx));
            }
        }
    }

    fn consider(&self, now: TimeMs, requirements: &StageRequirements<'_>, idx: EndpointIdx, sample: &mut Sample) {
        let is_known = sample.candidates.iter().any(|scored| scored.idx == idx);
        if is_known {
            return;
        }
        match self.judge(now, requirements, idx) {
            Verdict::Eligible => sample.candidates.push(self.score(now, requirements, idx)),
            Verdict::Busy => sample.has_busy = true,
            Verdict::Stale if !sample.stale.contains(&idx) => sample.stale.push(idx),
            Verdict::Stale | Verdict::Unfit => {}
        }
    }

    fn can_ever_run(&self, endpoint: &Endpoint, requirements: &StageRequirements<'_>, idx: EndpointIdx) -> bool {
        endpoint.is_open()
            && endpoint.holds(requirements.model, requirements.adapter)
            && !requirements.excluded.contains(&idx)
            && !(requirements.needs_isolation && endpoint.suspects_in_flight > 0)
            && endpoint.limit.allows(endpoint.in_flight)
    }

    fn judge(&self, now: TimeMs, requirements: &StageRequirements<'_>, idx: EndpointIdx) -> Verdict {
        let endpoint = self.endpoints.get(idx);
        if !endpoint.is_open() || requirements.excluded.contains(&idx) {
            return Verdict::Unfit;
        }
        if !endpoint.is_fresh(now, self.limits.load_stale_ms) {
            return Verdict::Stale;
        }
        if !endpoint.holds(requirements.model, requirements.adapter) || endpoint.health.is_ejected(now) {
            return Verdict::Unfit;
        }
        let is_taken = requirements.needs_isolation && endpoint.suspects_in_flight > 0;
        if is_taken || endpoint.is_full(now) || !endpoint.limit.allows(endpoint.in_flight) {
            return Verdict::Busy;
        }
        Verdict::Eligible
    }

    fn score(&self, now: TimeMs, requirements: &StageRequirements<'_>, idx: EndpointIdx) -> ScoredEndpoint {
        let endpoint = self.endpoints.get(idx);
        let slots = endpoint.load.slots.max(1) as f32;
        let load = endpoint.expected_load(now);
        let usual_ms = requirements.median_time.0.max(1) as f32;
        let queueing = ((load + 1.0) / slots).max(1.0) + load / slots / 4.0;
        let mut expected_ms = usual_ms * endpoint.slowness * queueing;
        if self.prefix_cache.is_held(requirements.prefix, idx) {
            expected_ms -= usual_ms * PREFIX_SAVING;
        }
        let failed_recently = endpoint.last_failure_at.is_some_and(|at| now.since(at) < RECENT_FAILURE);
        if failed_recently {
            expected_ms *= RECENT_FAILURE_FACTOR;
        }
        ScoredEndpoint { idx, expected_ms }
    }
}

fn best(candidates: &[ScoredEndpoint]) -> Option<ScoredEndpoint> {
    candidates.iter().copied().min_by(|a, b| a.expected_ms.total_cmp(&b.expected_ms))
}

fn settle_at_home(best_home: Option<ScoredEndpoint>, home: Sample, ask_abroad: Vec<EndpointIdx>) -> Choice {
    let mut ask = home.stale;
    ask.extend(ask_abroad);
    match best_home {
        Some(chosen) => Choice::Use { chosen, candidates: home.candidates },
        None if home.has_busy => Choice::Wait { poll: ask },
        None if !ask.is_empty() => Choice::Poll(ask),
        None => Choice::NoEndpoint,
    }
}
