//! Chooses the endpoint that runs a stage.
//!
//! The home region's candidates are a few random endpoints of the pool, plus those that are expected
//! to have the input's prefix in their cache; the one with the lowest expected time wins. Sampling
//! keeps VMs that share a stale load report from all choosing the same endpoint, and its cost does
//! not grow with the pool. Other regions are considered only when the home region would miss the
//! deadline. Dispatching, queueing and polling for load reports are left to the caller.

use std::collections::BTreeSet;

use boragepass_types::{AdapterId, Bytes, Hash64, ModelId, Permille, PoolId, Region, SpanMs, TimeMs};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::endpoints::{Endpoint, EndpointIdx, EndpointTable};
use crate::prefix_cache::PrefixCache;
use crate::settings::Limits;

const RANDOM_CANDIDATES_MAX: usize = 3;
const SAMPLE_TRIES_MAX: usize = 8;
/// Endpoints that are checked one after the other when no sampled one is eligible.
const SCANNED_ENDPOINTS_MAX: usize = 64;
/// Part of the median time that a cached prefix saves.
const PREFIX_HIT_SAVING: f32 = 0.3;
const RECENT_FAILURE_WINDOW: SpanMs = SpanMs(2_000);
/// Factor on the expected time of an endpoint that failed within `RECENT_FAILURE_WINDOW`.
const RECENT_FAILURE_PENALTY: f32 = 5.0;
const PERMILLE_MAX: u64 = 1_000;

/// What a stage requires of its endpoint, and the time it has.
#[derive(Debug, Clone)]
pub(crate) struct StageRequirements<'a> {
    pub(crate) pool: &'a PoolId,
    pub(crate) model: Option<&'a ModelId>,
    pub(crate) adapter: Option<&'a AdapterId>,
    /// Regions that the workspace's allowlist permits.
    pub(crate) regions: &'a BTreeSet<Region>,
    /// Endpoints that failed this stage or already run an attempt of it.
    pub(crate) excluded: &'a [EndpointIdx],
    /// Prefix hash of the input; `None` for stages that use no prefix cache.
    pub(crate) prefix: Option<Hash64>,
    /// Observed median time of the stage.
    pub(crate) median_time: SpanMs,
    /// Sum of the median times of the later stages.
    pub(crate) later_stages_time: SpanMs,
    /// Time until the request's deadline.
    pub(crate) time_left: SpanMs,
    /// Expected wait until an endpoint of the home region is free.
    pub(crate) home_wait: SpanMs,
    /// Bytes that a dispatch to another region would transfer.
    pub(crate) transfer_bytes: Bytes,
    /// Weight of meeting the deadline against the cost of cross-region bytes.
    pub(crate) attainment_weight: Permille,
    /// Whether the content is suspected of crashing endpoints; no two suspects are sent to one endpoint.
    pub(crate) needs_isolation: bool,
}

/// Candidate endpoint with the expected time of the stage on it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ScoredEndpoint {
    pub(crate) idx: EndpointIdx,
    pub(crate) expected_ms: f32,
}

/// Outcome of routing one attempt.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Choice {
    /// Dispatch to `chosen`, the fastest of `candidates`.
    Use { chosen: ScoredEndpoint, candidates: Vec<ScoredEndpoint> },
    /// Every suitable endpoint with a recent load report is at its limit; those of `poll` may not be.
    Wait { poll: Vec<EndpointIdx> },
    /// These endpoints may be suitable, but their load reports are too old to tell.
    Poll(Vec<EndpointIdx>),
    /// No endpoint can run the stage.
    NoEndpoint,
}

/// Inputs of routing that do not depend on the request.
pub(crate) struct Router<'a> {
    pub(crate) endpoints: &'a EndpointTable,
    pub(crate) prefix_cache: &'a PrefixCache,
    /// Region of this VM.
    pub(crate) home: &'a Region,
    pub(crate) limits: &'a Limits,
}

/// Endpoints of one region, as far as they were sampled or scanned.
#[derive(Default)]
struct RegionCandidates {
    candidates: Vec<ScoredEndpoint>,
    /// Whether a suitable endpoint was passed over because it is at its limit.
    has_busy: bool,
    /// Endpoints whose load reports are too old.
    stale: Vec<EndpointIdx>,
}

/// Outcome of routing to the other regions.
enum RemoteChoice {
    /// An endpoint that meets the deadline.
    Use(Choice),
    /// No endpoint is known to meet the deadline; the load reports of these are too old.
    Poll(Vec<EndpointIdx>),
}

/// Whether an endpoint is a candidate for a stage, and why not.
enum Eligibility {
    Eligible,
    Busy,
    Stale,
    Ineligible,
}

impl Router<'_> {
    /// Chooses an endpoint, in the home region if that meets the deadline.
    pub(crate) fn choose(&self, now: TimeMs, requirements: &StageRequirements<'_>, rng: &mut SmallRng) -> Choice {
        let home = if requirements.regions.contains(self.home) {
            self.sample_region(now, requirements, self.home, rng)
        } else {
            RegionCandidates::default()
        };
        let best_home = fastest(&home.candidates);
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
        match self.choose_remote(now, requirements, rng, &home) {
            RemoteChoice::Use(choice) => choice,
            RemoteChoice::Poll(endpoints) => fall_back_to_home(best_home, home, endpoints),
        }
    }

    /// Tries the other regions in random rotation; the first with a worthwhile endpoint is used.
    fn choose_remote(
        &self,
        now: TimeMs,
        requirements: &StageRequirements<'_>,
        rng: &mut SmallRng,
        home: &RegionCandidates,
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
            let mut remote = self.sample_region(now, requirements, region, rng);
            self.add_region_delay(requirements, &mut remote.candidates);
            let best_remote = fastest(&remote.candidates).filter(|scored| self.is_worthwhile(requirements, scored));
            if let Some(chosen) = best_remote {
                return RemoteChoice::Use(Choice::Use { chosen, candidates: remote.candidates });
            }
            stale.append(&mut remote.stale);
        }
        RemoteChoice::Poll(stale)
    }

    /// Adds the network round trip to another region.
    fn add_region_delay(&self, requirements: &StageRequirements<'_>, candidates: &mut [ScoredEndpoint]) {
        let round_trip_ms = 2 * self.limits.region_delay_ms.0;
        debug_assert!(!requirements.regions.is_empty());
        for candidate in candidates {
            candidate.expected_ms += round_trip_ms as f32;
        }
    }

    /// Whether an answer from another region meets the deadline, with the price of its bytes added to its time.
    fn is_worthwhile(&self, requirements: &StageRequirements<'_>, scored: &ScoredEndpoint) -> bool {
        let cost_weight = PERMILLE_MAX - u64::from(requirements.attainment_weight.0).min(PERMILLE_MAX);
        let price_ms = requirements.transfer_bytes.0 * self.limits.cross_region_price_ms_per_kb * cost_weight
            / PERMILLE_MAX
            / 1_024;
        scored.expected_ms + price_ms as f32 + requirements.later_stages_time.0 as f32
            <= requirements.time_left.0 as f32
    }

    fn sample_region(
        &self,
        now: TimeMs,
        requirements: &StageRequirements<'_>,
        region: &Region,
        rng: &mut SmallRng,
    ) -> RegionCandidates {
        let pool = self.endpoints.in_pool(requirements.pool, region);
        let mut sample = RegionCandidates::default();
        if pool.is_empty() {
            return sample;
        }
        for idx in self.prefix_cache.holders(requirements.prefix) {
            if self.endpoints.get(idx).region == *region {
                self.add_if_eligible(now, requirements, idx, &mut sample);
            }
        }
        let mut tries = 0;
        while sample.candidates.len() < RANDOM_CANDIDATES_MAX && tries < SAMPLE_TRIES_MAX {
            let idx = pool[rng.random_range(0..pool.len())];
            self.add_if_eligible(now, requirements, idx, &mut sample);
            tries += 1;
        }
        if sample.candidates.is_empty() {
            self.scan_pool(now, requirements, pool, rng, &mut sample);
        }
        sample
    }

    /// Checks the pool's endpoints in turn, for when none of the sampled ones is eligible.
    fn scan_pool(
        &self,
        now: TimeMs,
        requirements: &StageRequirements<'_>,
        pool: &[EndpointIdx],
        rng: &mut SmallRng,
        sample: &mut RegionCandidates,
    ) {
        let start = rng.random_range(0..pool.len());
        for offset in 0..pool.len().min(SCANNED_ENDPOINTS_MAX) {
            self.add_if_eligible(now, requirements, pool[(start + offset) % pool.len()], sample);
        }
        if !sample.candidates.is_empty() || sample.has_busy {
            return;
        }
        // Ejected endpoints are used rather than none at all.
        for &idx in pool.iter().take(SCANNED_ENDPOINTS_MAX) {
            let endpoint = self.endpoints.get(idx);
            if self.can_run_despite_ejection(endpoint, requirements, idx)
                && endpoint.is_fresh(now, self.limits.load_stale_ms)
            {
                sample.candidates.push(self.score(now, requirements, idx));
            }
        }
    }

    fn add_if_eligible(
        &self,
        now: TimeMs,
        requirements: &StageRequirements<'_>,
        idx: EndpointIdx,
        sample: &mut RegionCandidates,
    ) {
        let is_candidate = sample.candidates.iter().any(|scored| scored.idx == idx);
        if is_candidate {
            return;
        }
        match self.eligibility(now, requirements, idx) {
            Eligibility::Eligible => sample.candidates.push(self.score(now, requirements, idx)),
            Eligibility::Busy => sample.has_busy = true,
            Eligibility::Stale if !sample.stale.contains(&idx) => sample.stale.push(idx),
            Eligibility::Stale | Eligibility::Ineligible => {}
        }
    }

    /// Like `eligibility`, but ignores ejection, load and the age of the load report.
    fn can_run_despite_ejection(
        &self,
        endpoint: &Endpoint,
        requirements: &StageRequirements<'_>,
        idx: EndpointIdx,
    ) -> bool {
        endpoint.is_open()
            && endpoint.holds(requirements.model, requirements.adapter)
            && !requirements.excluded.contains(&idx)
            && !(requirements.needs_isolation && endpoint.suspects_in_flight > 0)
            && endpoint.limit.allows(endpoint.in_flight)
    }

    fn eligibility(&self, now: TimeMs, requirements: &StageRequirements<'_>, idx: EndpointIdx) -> Eligibility {
        let endpoint = self.endpoints.get(idx);
        if !endpoint.is_open() || requirements.excluded.contains(&idx) {
            return Eligibility::Ineligible;
        }
        if !endpoint.is_fresh(now, self.limits.load_stale_ms) {
            return Eligibility::Stale;
        }
        if !endpoint.holds(requirements.model, requirements.adapter) || endpoint.health.is_ejected(now) {
            return Eligibility::Ineligible;
        }
        let is_blocked_by_suspect = requirements.needs_isolation && endpoint.suspects_in_flight > 0;
        if is_blocked_by_suspect || endpoint.is_full(now) || !endpoint.limit.allows(endpoint.in_flight) {
            return Eligibility::Busy;
        }
        Eligibility::Eligible
    }

    /// Expected time on an endpoint: the median time, scaled by its slowness and the load ahead.
    fn score(&self, now: TimeMs, requirements: &StageRequirements<'_>, idx: EndpointIdx) -> ScoredEndpoint {
        let endpoint = self.endpoints.get(idx);
        let slots = endpoint.load.slots.max(1) as f32;
        let load = endpoint.expected_load(now);
        let median_ms = requirements.median_time.0.max(1) as f32;
        let queueing = ((load + 1.0) / slots).max(1.0) + load / slots / 4.0;
        let mut expected_ms = median_ms * endpoint.slowness * queueing;
        if self.prefix_cache.is_held(requirements.prefix, idx) {
            expected_ms -= median_ms * PREFIX_HIT_SAVING;
        }
        let has_failed_recently = endpoint.last_failure_at.is_some_and(|at| now.since(at) < RECENT_FAILURE_WINDOW);
        if has_failed_recently {
            expected_ms *= RECENT_FAILURE_PENALTY;
        }
        ScoredEndpoint { idx, expected_ms }
    }
}

fn fastest(candidates: &[ScoredEndpoint]) -> Option<ScoredEndpoint> {
    candidates.iter().copied().min_by(|a, b| a.expected_ms.total_cmp(&b.expected_ms))
}

fn fall_back_to_home(
    best_home: Option<ScoredEndpoint>,
    home: RegionCandidates,
    remote_poll: Vec<EndpointIdx>,
) -> Choice {
    let mut poll = home.stale;
    poll.extend(remote_poll);
    match best_home {
        Some(chosen) => Choice::Use { chosen, candidates: home.candidates },
        None if home.has_busy => Choice::Wait { poll },
        None if !poll.is_empty() => Choice::Poll(poll),
        None => Choice::NoEndpoint,
    }
}
