//! Sites that the simulation can run: their failure domains, endpoints and kinds of request.
//!
//! Two sites are modelled on those of the users under names of our own, each also in a grown size.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use boragepass_path::{
    ApiKey, ColdStart, Configuration, ConfigurationVersion, Endpoint, HttpLimits, ModelPool, Repeatability, Route,
    Service, ServiceKind, StagePool, StageSpec, Workspace,
};
use boragepass_types::{EndpointId, FailureDomain, PoolId, Region, SpanMs};

use super::uneven::Unevenness;

/// API key of all clients.
pub(super) const CLIENT_KEY: &str = "client-key";
const HOST: &str = "site.example";

/// Modelled site.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::FromStr)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Site {
    /// Contract reviews for musicians.
    Gigdesk,
    /// Lamp collection.
    Lampu,
    /// Gigdesk at 3.33 times the request rate, on six failure domains.
    GigdeskGrown,
    /// Lampu at ten times the request rate, on six failure domains.
    LampuGrown,
}

/// Pieces that requests of one kind have at a stage.
#[derive(Debug, Clone, Copy)]
pub(super) struct StagePieces {
    /// Mean number of pieces of a request that has any.
    pub(super) mean_count: f64,
    /// Share of the requests that have pieces at this stage.
    pub(super) request_share: f64,
    /// Work of a piece, as a multiple of the time per piece of the stage pool.
    pub(super) work_factor: f64,
}

/// Kind of request: its route, its rate and its work.
#[derive(Debug, Clone)]
pub struct RequestKind {
    /// Name of the kind and of its route.
    pub name: &'static str,
    /// Requests per second at a load of 1.
    pub rate_per_s: f64,
    /// Value of an answer within the objective.
    pub worth: f64,
    pub(super) route: Route,
    /// API key of its clients.
    pub(super) key: &'static str,
    pub(super) stage_pieces: Vec<StagePieces>,
    /// Tokens of the part of the prompt that requests share; 0 for plain services.
    pub(super) shared_prompt_tokens: u64,
    /// Mean tokens of the part of the prompt that is unique to a request; 0 for plain services.
    pub(super) unique_prompt_tokens: u64,
    /// Number of different shared parts.
    pub(super) shared_prompt_count: u64,
    /// Events of a whole stream; 0 for plain services.
    pub(super) stream_events: u64,
    /// Service time at a plain service without overload.
    pub(super) service_ms: u64,
    /// Deadline that the client sends, also the timeout of the route.
    pub(super) deadline_ms: u64,
}

/// Infrastructure of a site and the requests that it serves.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Failure domains with their regions; VMs are spread evenly over them.
    pub domains: Vec<(FailureDomain, Region)>,
    /// Number of VMs.
    pub vms: usize,
    /// Endpoints.
    pub endpoints: Vec<Endpoint>,
    /// Kinds of request that clients submit.
    pub kinds: Vec<RequestKind>,
    pub(super) services: Vec<Service>,
    /// Routes that the operator added, beside those of the kinds.
    pub(super) added_routes: BTreeSet<u8>,
    /// Workspace with home regions, if any.
    pub(super) home_workspace: Option<Workspace>,
    /// Set if endpoints differ in speed and some prompts are long.
    pub unevenness: Option<Unevenness>,
}

fn parse_name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the model's names are valid")
}

impl RequestKind {
    /// Time to the first byte within which an answer has its full value.
    pub fn objective_ms(&self) -> u64 {
        self.route.objective_ms.0
    }

    /// Whether it is answered with a stream of events by a model engine.
    pub fn is_stream(&self) -> bool {
        self.stream_events > 0
    }
}

/// Parameters of a kind of request, before they are resolved into a route.
struct KindSpec {
    name: &'static str,
    rate_per_s: f64,
    worth: f64,
    priority: u8,
    objective_ms: u64,
    deadline_ms: u64,
    repeatability: Repeatability,
    endpoints_max: u32,
    pool: &'static str,
    /// Pool, stages whose results it needs, size of a result in bytes, and pieces of each stage.
    stages: Vec<(&'static str, Vec<usize>, u64, StagePieces)>,
    /// Tokens of the shared part and mean tokens of the unique part of a prompt.
    prompt_tokens: (u64, u64),
    shared_prompt_count: u64,
    stream_events: u64,
    service_ms: u64,
}

impl From<KindSpec> for RequestKind {
    fn from(spec: KindSpec) -> Self {
        let stages = spec.stages.iter();
        let route = Route {
            name: spec.name.into(),
            host: HOST.into(),
            prefix: format!("/{}/", spec.name).into(),
            repeatability: spec.repeatability,
            timeout_ms: SpanMs(spec.deadline_ms),
            objective_ms: SpanMs(spec.objective_ms),
            priority: spec.priority,
            weighted_pools: vec![(parse_name(spec.pool), 1)],
            endpoints_max: spec.endpoints_max,
            stages: stages
                .map(|(pool, input_stages, result_bytes, _)| StageSpec {
                    pool: parse_name(pool),
                    input_stages: input_stages.clone(),
                    result_bytes: *result_bytes,
                })
                .collect(),
            is_anonymous: false,
            event_gap_max_ms: Some(SpanMs(400)),
            home_regions: Vec::new(),
        };
        Self {
            name: spec.name,
            rate_per_s: spec.rate_per_s,
            worth: spec.worth,
            route,
            key: CLIENT_KEY,
            stage_pieces: spec.stages.iter().map(|(.., pieces)| *pieces).collect(),
            shared_prompt_tokens: spec.prompt_tokens.0,
            unique_prompt_tokens: spec.prompt_tokens.1,
            shared_prompt_count: spec.shared_prompt_count,
            stream_events: spec.stream_events,
            service_ms: spec.service_ms,
            deadline_ms: spec.deadline_ms,
        }
    }
}

const fn stage_pieces(mean_count: f64, request_share: f64, work_factor: f64) -> StagePieces {
    StagePieces { mean_count, request_share, work_factor }
}

fn stage_pool(pieces_per_call_max: usize, piece_ms: f64, result_space_bytes: u64) -> ServiceKind {
    ServiceKind::Stage(StagePool {
        slots: 1,
        queued_calls_max: 2,
        pieces_per_call_max,
        call_ms: 150.0,
        piece_ms,
        result_space_bytes,
        result_ttl_ms: SpanMs(4_000),
    })
}

const MODEL_POOL: ServiceKind = ServiceKind::Model(ModelPool { slots: 48, kv_cache_tokens: 444_000 });

fn gigdesk_kinds() -> Vec<KindSpec> {
    vec![
        KindSpec {
            name: "review",
            rate_per_s: 13.1,
            worth: 4.8,
            priority: 0,
            objective_ms: 1_300,
            deadline_ms: 8_000,
            repeatability: Repeatability::ResumableStream,
            endpoints_max: 2,
            pool: "models",
            stages: vec![("rates", vec![], 3_000_000, stage_pieces(2.5, 0.7, 1.0))],
            prompt_tokens: (13_300, 3_720),
            shared_prompt_count: 154,
            stream_events: 24,
            service_ms: 0,
        },
        KindSpec {
            name: "summary",
            rate_per_s: 12.0,
            worth: 1.5,
            priority: 1,
            objective_ms: 2_700,
            deadline_ms: 8_000,
            repeatability: Repeatability::StreamOnce,
            endpoints_max: 1,
            pool: "models",
            stages: vec![
                ("rates", vec![], 8_000, stage_pieces(1.0, 1.0, 0.3)),
                ("members", vec![0], 60_000, stage_pieces(8.0, 1.0, 1.0)),
                ("venues", vec![1], 6_000, stage_pieces(16.0, 1.0, 1.0)),
            ],
            prompt_tokens: (6_300, 2_890),
            shared_prompt_count: 212,
            stream_events: 10,
            service_ms: 0,
        },
        KindSpec {
            name: "ask",
            rate_per_s: 24.9,
            worth: 0.28,
            priority: 2,
            objective_ms: 3_300,
            deadline_ms: 12_000,
            repeatability: Repeatability::ResumableStream,
            endpoints_max: 2,
            pool: "models",
            stages: vec![
                ("rates", vec![], 3_000_000, stage_pieces(1.5, 0.4, 1.0)),
                ("rates", vec![], 8_000, stage_pieces(1.0, 1.0, 0.3)),
                ("members", vec![1], 60_000, stage_pieces(8.0, 1.0, 1.0)),
                ("venues", vec![2], 6_000, stage_pieces(16.0, 1.0, 1.0)),
            ],
            prompt_tokens: (350, 1_110),
            shared_prompt_count: 440,
            stream_events: 34,
            service_ms: 0,
        },
        plain_kind("deposit", 12.5, Repeatability::Once, 1, 200, 2_000, 15),
        plain_kind("status", 5.0, Repeatability::Idempotent, 2, 200, 2_000, 15),
    ]
}

fn plain_kind(
    name: &'static str,
    rate_per_s: f64,
    repeatability: Repeatability,
    endpoints_max: u32,
    objective_ms: u64,
    deadline_ms: u64,
    service_ms: u64,
) -> KindSpec {
    KindSpec {
        name,
        rate_per_s,
        worth: 1.0,
        priority: 2,
        objective_ms,
        deadline_ms,
        repeatability,
        endpoints_max,
        pool: "plain",
        stages: Vec::new(),
        prompt_tokens: (0, 0),
        shared_prompt_count: 1,
        stream_events: 0,
        service_ms,
    }
}

fn lampu_kinds() -> Vec<KindSpec> {
    vec![
        KindSpec {
            name: "manifest",
            rate_per_s: 6.58,
            worth: 4.8,
            priority: 0,
            objective_ms: 1_900,
            deadline_ms: 10_000,
            repeatability: Repeatability::ResumableStream,
            endpoints_max: 2,
            pool: "models",
            stages: vec![
                ("rates", vec![], 3_000_000, stage_pieces(1.5, 0.4, 1.0)),
                ("rates", vec![], 8_000, stage_pieces(1.0, 1.0, 0.3)),
                ("members", vec![1], 60_000, stage_pieces(6.0, 1.0, 1.0)),
                ("venues", vec![2], 6_000, stage_pieces(16.0, 1.0, 1.0)),
            ],
            prompt_tokens: (13_300, 3_720),
            shared_prompt_count: 116,
            stream_events: 24,
            service_ms: 0,
        },
        KindSpec {
            name: "handover",
            rate_per_s: 6.0,
            worth: 1.5,
            priority: 1,
            objective_ms: 2_700,
            deadline_ms: 8_000,
            repeatability: Repeatability::StreamOnce,
            endpoints_max: 1,
            pool: "models",
            stages: vec![
                ("rates", vec![], 8_000, stage_pieces(1.0, 1.0, 0.3)),
                ("members", vec![0], 60_000, stage_pieces(6.0, 1.0, 1.0)),
                ("venues", vec![1], 6_000, stage_pieces(16.0, 1.0, 1.0)),
            ],
            prompt_tokens: (6_300, 2_890),
            shared_prompt_count: 47,
            stream_events: 10,
            service_ms: 0,
        },
        KindSpec {
            name: "chat",
            rate_per_s: 12.4,
            worth: 0.28,
            priority: 2,
            objective_ms: 2_600,
            deadline_ms: 10_000,
            repeatability: Repeatability::ResumableStream,
            endpoints_max: 2,
            pool: "models",
            stages: vec![("rates", vec![], 3_000_000, stage_pieces(2.5, 0.7, 1.0))],
            prompt_tokens: (350, 1_110),
            shared_prompt_count: 146,
            stream_events: 34,
            service_ms: 0,
        },
        plain_kind("payout", 6.24, Repeatability::Once, 1, 400, 4_000, 60),
        plain_kind("lookup", 3.84, Repeatability::Idempotent, 2, 400, 4_000, 60),
    ]
}

/// Name of a pool, its kind, its endpoints per failure domain, and the slots of each endpoint.
type PoolSpec = (&'static str, ServiceKind, Vec<usize>, u32);

/// Kinds of request at a multiple of their rate, with the same multiple of shared prompt parts.
fn grow_kinds(kinds: Vec<KindSpec>, rate_factor: f64, events_factor: f64) -> Vec<KindSpec> {
    let grow_kind = |kind: KindSpec| KindSpec {
        rate_per_s: kind.rate_per_s * rate_factor,
        shared_prompt_count: (kind.shared_prompt_count as f64 * rate_factor) as u64,
        stream_events: (kind.stream_events as f64 * events_factor) as u64,
        // All plain services of the grown sites take 60 ms and have an objective of 400 ms.
        service_ms: if kind.stream_events == 0 { 60 } else { 0 },
        objective_ms: if kind.stream_events == 0 { 400 } else { kind.objective_ms },
        deadline_ms: if kind.stream_events == 0 { 4_000 } else { kind.deadline_ms },
        ..kind
    };
    kinds.into_iter().map(grow_kind).collect()
}

/// Kinds of request, pools and number of entry VMs of a site.
fn site_parts(site: Site) -> (Vec<KindSpec>, Vec<PoolSpec>, usize) {
    match site {
        Site::Gigdesk => (
            gigdesk_kinds(),
            vec![
                ("models", MODEL_POOL, vec![6; 3], 48),
                ("plain", ServiceKind::Plain, vec![1; 3], 6),
                ("rates", stage_pool(8, 16.0, 36_000_000), vec![2, 2, 1], 1),
                ("members", stage_pool(32, 4.0, 5_700_000), vec![2, 2, 1], 1),
                ("venues", stage_pool(64, 2.0, 1_100_000), vec![2, 2, 1], 1),
            ],
            8,
        ),
        Site::Lampu => (
            lampu_kinds(),
            vec![
                ("models", MODEL_POOL, vec![3; 3], 48),
                ("plain", ServiceKind::Plain, vec![1; 3], 6),
                ("rates", stage_pool(8, 16.0, 41_000_000), vec![1; 3], 1),
                ("members", stage_pool(8, 16.0, 1_400_000), vec![2, 2, 1], 1),
                ("venues", stage_pool(22, 5.8, 390_000), vec![2, 2, 1], 1),
            ],
            6,
        ),
        Site::GigdeskGrown => (
            grow_kinds(gigdesk_kinds(), 3.33, 0.85),
            vec![
                ("models", MODEL_POOL, vec![10; 6], 48),
                ("plain", ServiceKind::Plain, vec![1; 6], 6),
                ("rates", stage_pool(8, 16.0, 41_000_000), vec![3, 3, 3, 2, 2, 2], 1),
                ("members", stage_pool(36, 3.6, 6_300_000), vec![3, 3, 3, 2, 2, 2], 1),
                ("venues", stage_pool(60, 2.1, 1_000_000), vec![3; 6], 1),
            ],
            GROWN_VMS,
        ),
        Site::LampuGrown => (
            grow_kinds(lampu_kinds(), 10.0, 0.85),
            vec![
                ("models", MODEL_POOL, vec![15; 6], 48),
                ("plain", ServiceKind::Plain, vec![1; 6], 6),
                ("rates", stage_pool(10, 13.0, 65_000_000), vec![4, 3, 3, 3, 3, 3], 1),
                ("members", stage_pool(28, 4.6, 4_800_000), vec![3, 3, 3, 2, 2, 2], 1),
                ("venues", stage_pool(60, 2.1, 1_100_000), vec![3; 6], 1),
            ],
            GROWN_VMS,
        ),
    }
}

/// Entry VMs of a grown site. The users' sites have 83 and 86; the heartbeats of that many would dominate a run.
const GROWN_VMS: usize = 24;
/// Failure domains with their regions; a small site has the first three, one in each region.
const DOMAINS: [(&str, &str); 6] = [
    ("a-1", "region-a"),
    ("b-1", "region-b"),
    ("c-1", "region-c"),
    ("a-2", "region-a"),
    ("b-2", "region-b"),
    ("c-2", "region-c"),
];

impl Deployment {
    /// Builds a site without faults.
    pub fn of(site: Site) -> Self {
        let (kinds, pools, vms) = site_parts(site);
        let domain_count = pools.iter().map(|(_, _, endpoint_counts, _)| endpoint_counts.len()).max().unwrap_or(0);
        let domains: Vec<(FailureDomain, Region)> = DOMAINS
            .iter()
            .take(domain_count)
            .map(|(domain, region)| (parse_name(domain), parse_name(region)))
            .collect();
        let mut endpoints = Vec::new();
        for (pool, _, endpoint_counts, slots) in &pools {
            for (domain_index, endpoint_count) in endpoint_counts.iter().enumerate() {
                for index in 0..*endpoint_count {
                    endpoints.push(build_endpoint(pool, &domains[domain_index].0, domain_index, index, *slots));
                }
            }
        }
        let services = pools.into_iter().map(|(name, kind, ..)| Service {
            name: parse_name(name),
            health_path: "/health".into(),
            connections_max: 300,
            kind,
            cold_start: None,
        });
        Self {
            domains,
            vms,
            endpoints,
            kinds: kinds.into_iter().map(Into::into).collect(),
            services: services.collect(),
            added_routes: BTreeSet::new(),
            home_workspace: None,
            unevenness: None,
        }
    }

    /// Lets all pools state that their endpoints are cold for a time after their start.
    #[must_use]
    pub fn with_cold_starts(mut self, cold_start: ColdStart) -> Self {
        self.services.iter_mut().for_each(|service| service.cold_start = Some(cold_start));
        self
    }

    /// Cold starts of the endpoints of a pool.
    pub(super) fn cold_start(&self, pool: &PoolId) -> Option<ColdStart> {
        self.services.iter().find(|service| service.name == *pool)?.cold_start
    }

    /// Configuration with a given version.
    pub fn configuration(&self, version: u64) -> Configuration {
        let limits = HttpLimits {
            head_bytes_max: 16_384,
            body_bytes_max: 4_194_304,
            head_timeout_ms: SpanMs(3_000),
            idle_timeout_ms: SpanMs(15_000),
        };
        let workspace = Workspace {
            name: parse_name("workspace"),
            priority: 1,
            keys: vec![ApiKey(Arc::from(CLIENT_KEY))],
            home_regions: Vec::new(),
        };
        let added_kind = &self.kinds[self.added_route_kind()].route;
        let added = self.added_routes.iter().map(|number| Route {
            name: format!("added-{number}").into(),
            prefix: format!("/added-{number}/").into(),
            ..added_kind.clone()
        });
        let routes = self.kinds.iter().map(|kind| kind.route.clone()).chain(added).collect();
        let workspaces = std::iter::once(workspace).chain(self.home_workspace.clone()).collect();
        Configuration::new(ConfigurationVersion(version), limits, routes, self.services.clone(), workspaces)
    }

    /// Index of the kind whose service the added routes have.
    pub(super) fn added_route_kind(&self) -> usize {
        let is_repeatable = |kind: &RequestKind| kind.route.repeatability == Repeatability::Idempotent;
        self.kinds.iter().position(is_repeatable).unwrap_or_default()
    }

    /// Parameters of a pool, if it is a stage pool.
    pub(super) fn stage_pool(&self, pool: &PoolId) -> Option<StagePool> {
        self.services.iter().find(|service| service.name == *pool).and_then(|service| match service.kind {
            ServiceKind::Stage(stage) => Some(stage),
            ServiceKind::Plain | ServiceKind::Model(_) => None,
        })
    }
}

fn build_endpoint(pool: &str, domain: &FailureDomain, domain_index: usize, index: usize, slots: u32) -> Endpoint {
    let name: EndpointId = parse_name(&format!("{pool}-{domain}-{index}"));
    let hash = boragepass_types::Hash64::of(name.as_str().as_bytes()).0;
    let address = SocketAddr::from(([10, domain_index as u8 + 1, 64, index as u8 + 1], 1_024 + (hash % 60_000) as u16));
    Endpoint {
        id: name,
        pool: parse_name(pool),
        address,
        failure_domain: domain.clone(),
        is_draining: false,
        slots,
        started_at_unix_ms: 1,
        software_version: "1".parse().ok(),
        cold_left_ms: SpanMs(0),
    }
}
