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
pub(crate) struct Need<'a> {
    pub(crate) pool: &'a PoolId,
    pub(crate) model: Option<&'a ModelId>,
    pub(crate) adapter: Option<&'a AdapterId>,
    /// Regions of the allowlist.
    pub(crate) regions: &'a BTreeSet<Region>,
    /// Endpoints that failed the request already.
    pub(crate) exclude: &'a [EndpointIdx],
    /// Prefix of the input.
    pub(crate) prefix: Option<Hash64>,
    /// Usual time of the stage.
    pub(crate) usual: SpanMs,
    /// Usual time of the stages after it.
    pub(crate) rest: SpanMs,
    /// Time left.
    pub(crate) left: SpanMs,
    /// Expected wait until an endpoint at home is free.
    pub(crate) home_wait: SpanMs,
    /// Bytes that would cross regions.
    pub(crate) bytes: Bytes,
    /// Weight of attainment against cost.
    pub(crate) attainment_weight: Permille,
    /// Whether no other suspicious request may run there.
    pub(crate) alone: bool,
}

/// Candidate with its expected time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Scored {
    pub(crate) idx: EndpointIdx,
    pub(crate) expected_ms: f32,
}

/// Result of a choice.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Choice {
    /// Endpoint to use, among these candidates.
    Use { chosen: Scored, candidates: Vec<Scored> },
    /// All that could run it are at their limits; `ask` may be able to, but is not known well enough.
    Wait { ask: Vec<EndpointIdx> },
    /// Some may be able to run it, but what is known of them is too old.
    Ask(Vec<EndpointIdx>),
    /// Nothing can run it.
    Nothing,
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
    candidates: Vec<Scored>,
    has_busy: bool,
    stale: Vec<EndpointIdx>,
}

/// What other regions offer.
enum Abroad {
    /// An endpoint that makes the deadline.
    Use(Choice),
    /// Nothing now; these are not known well enough.
    Ask(Vec<EndpointIdx>),
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
    pub(crate) fn choose(&self, now: TimeMs, need: &Need<'_>, rng: &mut SmallRng) -> Choice {
        let home =
            if need.regions.contains(self.home) { self.sample(now, need, self.home, rng) } else { Sample::default() };
        let best_home = best(&home.candidates);
        if let Some(chosen) = best_home
            && chosen.expected_ms + need.rest.0 as f32 <= need.left.0 as f32
        {
            return Choice::Use { chosen, candidates: home.candidates };
        }
        let is_worth_waiting = home.has_busy && need.home_wait + need.usual + need.rest <= need.left;
        if is_worth_waiting && best_home.is_none() {
            return Choice::Wait { ask: Vec::new() };
        }
        match self.choose_abroad(now, need, rng, &home) {
            Abroad::Use(choice) => choice,
            Abroad::Ask(endpoints) => settle_at_home(best_home, home, endpoints),
        }
    }

    fn choose_abroad(&self, now: TimeMs, need: &Need<'_>, rng: &mut SmallRng, home: &Sample) -> Abroad {
        let mut regions: Vec<_> = need.regions.iter().filter(|region| *region != self.home).collect();
        let is_home_unknown = !home.has_busy && home.candidates.is_empty() && !home.stale.is_empty();
        if regions.is_empty() || is_home_unknown {
            return Abroad::Ask(Vec::new());
        }
        let first = rng.random_range(0..regions.len());
        regions.rotate_left(first);
        let mut stale = Vec::new();
        for region in regions {
            let mut abroad = self.sample(now, need, region, rng);
            self.add_travel(need, &mut abroad.candidates);
            let reachable = best(&abroad.candidates).filter(|scored| self.is_worth(need, scored));
            if let Some(chosen) = reachable {
                return Abroad::Use(Choice::Use { chosen, candidates: abroad.candidates });
            }
            stale.append(&mut abroad.stale);
        }
        Abroad::Ask(stale)
    }

    /// Adds the delay of the way there and back.
    fn add_travel(&self, need: &Need<'_>, candidates: &mut [Scored]) {
        let travel_ms = 2 * self.limits.region_delay_ms.0;
        debug_assert!(!need.regions.is_empty());
        for candidate in candidates {
            candidate.expected_ms += travel_ms as f32;
        }
    }

    /// Whether an answer from another region comes in time and is worth its bytes.
    fn is_worth(&self, need: &Need<'_>, scored: &Scored) -> bool {
        let cost_weight = WHOLE_PERMILLE - u64::from(need.attainment_weight.0).min(WHOLE_PERMILLE);
        let price_ms = need.bytes.0 * self.limits.cross_region_price_ms_per_kb * cost_weight / WHOLE_PERMILLE / 1_024;
        scored.expected_ms + price_ms as f32 + need.rest.0 as f32 <= need.left.0 as f32
    }

    fn sample(&self, now: TimeMs, need: &Need<'_>, region: &Region, rng: &mut SmallRng) -> Sample {
        let pool = self.endpoints.in_pool(need.pool, region);
        let mut sample = Sample::default();
        if pool.is_empty() {
            return sample;
        }
        for idx in self.prefix_cache.holders(need.prefix) {
            if self.endpoints.get(idx).region == *region {
                self.consider(now, need, idx, &mut sample);
            }
        }
        let mut tries = 0;
        while sample.candidates.len() < RANDOM_CANDIDATES && tries < SAMPLE_TRIES {
            let idx = pool[rng.random_range(0..pool.len())];
            self.consider(now, need, idx, &mut sample);
            tries += 1;
        }
        if sample.candidates.is_empty() {
            self.scan(now, need, pool, rng, &mut sample);
        }
        sample
    }

    fn scan(&self, now: TimeMs, need: &Need<'_>, pool: &[EndpointIdx], rng: &mut SmallRng, sample: &mut Sample) {
        let start = rng.random_range(0..pool.len());
        for offset in 0..pool.len().min(SCAN_MAX) {
            self.consider(now, need, pool[(start + offset) % pool.len()], sample);
        }
        if !sample.candidates.is_empty() || sample.has_busy {
            return;
        }
        for &idx in pool.iter().take(SCAN_MAX) {
            let endpoint = self.endpoints.get(idx);
            if self.can_ever_run(endpoint, need, idx) && endpoint.is_fresh(now, self.limits.load_stale_ms) {
                sample.candidates.push(self.score(now, need, idx));
            }
        }
    }

    fn consider(&self, now: TimeMs, need: &Need<'_>, idx: EndpointIdx, sample: &mut Sample) {
        let is_known = sample.candidates.iter().any(|scored| scored.idx == idx);
        if is_known {
            return;
        }
        match self.judge(now, need, idx) {
            Verdict::Eligible => sample.candidates.push(self.score(now, need, idx)),
            Verdict::Busy => sample.has_busy = true,
            Verdict::Stale if !sample.stale.contains(&idx) => sample.stale.push(idx),
            Verdict::Stale | Verdict::Unfit => {}
        }
    }

    fn can_ever_run(&self, endpoint: &Endpoint, need: &Need<'_>, idx: EndpointIdx) -> bool {
        endpoint.is_open()
            && endpoint.holds(need.model, need.adapter)
            && !need.exclude.contains(&idx)
            && !(need.alone && endpoint.suspects_in_flight > 0)
            && endpoint.limit.allows(endpoint.in_flight)
    }

    fn judge(&self, now: TimeMs, need: &Need<'_>, idx: EndpointIdx) -> Verdict {
        let endpoint = self.endpoints.get(idx);
        if !endpoint.is_open() || need.exclude.contains(&idx) {
            return Verdict::Unfit;
        }
        if !endpoint.is_fresh(now, self.limits.load_stale_ms) {
            return Verdict::Stale;
        }
        if !endpoint.holds(need.model, need.adapter) || endpoint.health.is_ejected(now) {
            return Verdict::Unfit;
        }
        let is_taken = need.alone && endpoint.suspects_in_flight > 0;
        if is_taken || endpoint.is_full(now) || !endpoint.limit.allows(endpoint.in_flight) {
            return Verdict::Busy;
        }
        Verdict::Eligible
    }

    fn score(&self, now: TimeMs, need: &Need<'_>, idx: EndpointIdx) -> Scored {
        let endpoint = self.endpoints.get(idx);
        let slots = endpoint.load.slots.max(1) as f32;
        let load = endpoint.expected_load(now);
        let usual_ms = need.usual.0.max(1) as f32;
        let queueing = ((load + 1.0) / slots).max(1.0) + load / slots / 4.0;
        let mut expected_ms = usual_ms * endpoint.slowness * queueing;
        if self.prefix_cache.is_held(need.prefix, idx) {
            expected_ms -= usual_ms * PREFIX_SAVING;
        }
        let failed_recently = endpoint.last_failure_at.is_some_and(|at| now.since(at) < RECENT_FAILURE);
        if failed_recently {
            expected_ms *= RECENT_FAILURE_FACTOR;
        }
        Scored { idx, expected_ms }
    }
}

fn best(candidates: &[Scored]) -> Option<Scored> {
    candidates.iter().copied().min_by(|a, b| a.expected_ms.total_cmp(&b.expected_ms))
}

fn settle_at_home(best_home: Option<Scored>, home: Sample, ask_abroad: Vec<EndpointIdx>) -> Choice {
    let mut ask = home.stale;
    ask.extend(ask_abroad);
    match best_home {
        Some(chosen) => Choice::Use { chosen, candidates: home.candidates },
        None if home.has_busy => Choice::Wait { ask },
        None if !ask.is_empty() => Choice::Ask(ask),
        None => Choice::Nothing,
    }
}
