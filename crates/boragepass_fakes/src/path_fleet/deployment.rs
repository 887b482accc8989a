//! What stands where, and what is asked: two sites like those of the users, in our own words.

use std::net::SocketAddr;
use std::sync::Arc;

use boragepass_path::{
    ApiKey, Configuration, ConfigurationVersion, Endpoint, HttpLimits, ModelPool, Repeatability, Route, Service,
    ServiceKind, StagePool, StageSpec, Workspace,
};
use boragepass_types::{EndpointId, FailureDomain, PoolId, Region, SpanMs};

/// Key of every client.
pub(super) const CLIENT_KEY: &str = "client-key";
const HOST: &str = "site.example";

/// Site that is modelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::FromStr)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Site {
    /// Contract reviews for musicians.
    Gigdesk,
    /// Lamp collection.
    Lampu,
    /// Contract reviews, several times as many.
    GigdeskGrown,
    /// Lamp collection, ten times as many.
    LampuGrown,
}

/// Pieces of a stage: how many, and of what share of the requests.
#[derive(Debug, Clone, Copy)]
pub(super) struct PieceCount {
    pub(super) mean: f64,
    pub(super) share: f64,
    pub(super) work_factor: f64,
}

/// Kind of request.
#[derive(Debug, Clone)]
pub struct RequestKind {
    /// Name, which is also that of its route.
    pub name: &'static str,
    /// Requests a second.
    pub rate_per_s: f64,
    /// What one in time is worth.
    pub worth: f64,
    pub(super) route: Route,
    pub(super) pieces: Vec<PieceCount>,
    pub(super) shared_tokens: u64,
    pub(super) own_tokens: u64,
    /// Different shared parts.
    pub(super) subjects: u64,
    pub(super) events: u64,
    pub(super) work_ms: u64,
    pub(super) deadline_ms: u64,
}

/// What stands where.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Failure domains with their regions, one VM group each.
    pub domains: Vec<(FailureDomain, Region)>,
    /// VMs.
    pub vms: usize,
    /// Endpoints.
    pub endpoints: Vec<Endpoint>,
    /// Kinds of request.
    pub kinds: Vec<RequestKind>,
    pub(super) services: Vec<Service>,
}

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("names of the model are valid")
}

impl RequestKind {
    /// Time within which an answer is worth most, in milliseconds.
    pub fn objective_ms(&self) -> u64 {
        self.route.objective_ms.0
    }
}

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
    stages: Vec<(&'static str, Vec<usize>, u64, PieceCount)>,
    tokens: (u64, u64),
    subjects: u64,
    events: u64,
    work_ms: u64,
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
            weighted_pools: vec![(id(spec.pool), 1)],
            endpoints_max: spec.endpoints_max,
            stages: stages
                .map(|(pool, after, bytes, _)| StageSpec {
                    pool: id(pool),
                    input_stages: after.clone(),
                    result_bytes: *bytes,
                })
                .collect(),
            is_anonymous: false,
            event_gap_max_ms: Some(SpanMs(400)),
        };
        Self {
            name: spec.name,
            rate_per_s: spec.rate_per_s,
            worth: spec.worth,
            route,
            pieces: spec.stages.iter().map(|(.., count)| *count).collect(),
            shared_tokens: spec.tokens.0,
            own_tokens: spec.tokens.1,
            subjects: spec.subjects,
            events: spec.events,
            work_ms: spec.work_ms,
            deadline_ms: spec.deadline_ms,
        }
    }
}

const fn count(mean: f64, share: f64, work_factor: f64) -> PieceCount {
    PieceCount { mean, share, work_factor }
}

fn stage_pool(batch: usize, piece_ms: f64, room_bytes: u64) -> ServiceKind {
    ServiceKind::Stage(StagePool {
        slots: 1,
        queued_calls_max: 2,
        pieces_per_call_max: batch,
        call_ms: 150.0,
        piece_ms,
        result_space_bytes: room_bytes,
        result_ttl_ms: SpanMs(4_000),
    })
}

const MODEL: ServiceKind = ServiceKind::Model(ModelPool { slots: 48, kv_cache_tokens: 444_000 });

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
            stages: vec![("rates", vec![], 3_000_000, count(2.5, 0.7, 1.0))],
            tokens: (13_300, 3_720),
            subjects: 154,
            events: 24,
            work_ms: 0,
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
                ("rates", vec![], 8_000, count(1.0, 1.0, 0.3)),
                ("members", vec![0], 60_000, count(8.0, 1.0, 1.0)),
                ("venues", vec![1], 6_000, count(16.0, 1.0, 1.0)),
            ],
            tokens: (6_300, 2_890),
            subjects: 212,
            events: 10,
            work_ms: 0,
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
                ("rates", vec![], 3_000_000, count(1.5, 0.4, 1.0)),
                ("rates", vec![], 8_000, count(1.0, 1.0, 0.3)),
                ("members", vec![1], 60_000, count(8.0, 1.0, 1.0)),
                ("venues", vec![2], 6_000, count(16.0, 1.0, 1.0)),
            ],
            tokens: (350, 1_110),
            subjects: 440,
            events: 34,
            work_ms: 0,
        },
        plain("deposit", 12.5, Repeatability::Once, 1, 200, 2_000, 15),
        plain("status", 5.0, Repeatability::Idempotent, 2, 200, 2_000, 15),
    ]
}

fn plain(
    name: &'static str,
    rate_per_s: f64,
    repeatability: Repeatability,
    endpoints_max: u32,
    objective_ms: u64,
    deadline_ms: u64,
    work_ms: u64,
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
        tokens: (0, 0),
        subjects: 1,
        events: 0,
        work_ms,
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
                ("rates", vec![], 3_000_000, count(1.5, 0.4, 1.0)),
                ("rates", vec![], 8_000, count(1.0, 1.0, 0.3)),
                ("members", vec![1], 60_000, count(6.0, 1.0, 1.0)),
                ("venues", vec![2], 6_000, count(16.0, 1.0, 1.0)),
            ],
            tokens: (13_300, 3_720),
            subjects: 116,
            events: 24,
            work_ms: 0,
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
                ("rates", vec![], 8_000, count(1.0, 1.0, 0.3)),
                ("members", vec![0], 60_000, count(6.0, 1.0, 1.0)),
                ("venues", vec![1], 6_000, count(16.0, 1.0, 1.0)),
            ],
            tokens: (6_300, 2_890),
            subjects: 47,
            events: 10,
            work_ms: 0,
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
            stages: vec![("rates", vec![], 3_000_000, count(2.5, 0.7, 1.0))],
            tokens: (350, 1_110),
            subjects: 146,
            events: 34,
            work_ms: 0,
        },
        plain("payout", 6.24, Repeatability::Once, 1, 400, 4_000, 60),
        plain("lookup", 3.84, Repeatability::Idempotent, 2, 400, 4_000, 60),
    ]
}

/// Pool with what its endpoints do, how many stand in each failure domain, and their slots.
type PoolSpec = (&'static str, ServiceKind, Vec<usize>, u32);

/// Kinds of request at several times their rate, with as many times their subjects.
fn grown(kinds: Vec<KindSpec>, factor: f64, events_factor: f64) -> Vec<KindSpec> {
    let grow = |kind: KindSpec| KindSpec {
        rate_per_s: kind.rate_per_s * factor,
        subjects: (kind.subjects as f64 * factor) as u64,
        events: (kind.events as f64 * events_factor) as u64,
        // Plain services of the grown sites all take 60 ms and allow 400.
        work_ms: if kind.events == 0 { 60 } else { 0 },
        objective_ms: if kind.events == 0 { 400 } else { kind.objective_ms },
        deadline_ms: if kind.events == 0 { 4_000 } else { kind.deadline_ms },
        ..kind
    };
    kinds.into_iter().map(grow).collect()
}

/// Requests, pools and entry VMs of a site.
fn parts_of(site: Site) -> (Vec<KindSpec>, Vec<PoolSpec>, usize) {
    match site {
        Site::Gigdesk => (
            gigdesk_kinds(),
            vec![
                ("models", MODEL, vec![6; 3], 48),
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
                ("models", MODEL, vec![3; 3], 48),
                ("plain", ServiceKind::Plain, vec![1; 3], 6),
                ("rates", stage_pool(8, 16.0, 41_000_000), vec![1; 3], 1),
                ("members", stage_pool(8, 16.0, 1_400_000), vec![2, 2, 1], 1),
                ("venues", stage_pool(22, 5.8, 390_000), vec![2, 2, 1], 1),
            ],
            6,
        ),
        Site::GigdeskGrown => (
            grown(gigdesk_kinds(), 3.33, 0.85),
            vec![
                ("models", MODEL, vec![10; 6], 48),
                ("plain", ServiceKind::Plain, vec![1; 6], 6),
                ("rates", stage_pool(8, 16.0, 41_000_000), vec![3, 3, 3, 2, 2, 2], 1),
                ("members", stage_pool(36, 3.6, 6_300_000), vec![3, 3, 3, 2, 2, 2], 1),
                ("venues", stage_pool(60, 2.1, 1_000_000), vec![3; 6], 1),
            ],
            GROWN_VMS,
        ),
        Site::LampuGrown => (
            grown(lampu_kinds(), 10.0, 0.85),
            vec![
                ("models", MODEL, vec![15; 6], 48),
                ("plain", ServiceKind::Plain, vec![1; 6], 6),
                ("rates", stage_pool(10, 13.0, 65_000_000), vec![4, 3, 3, 3, 3, 3], 1),
                ("members", stage_pool(28, 4.6, 4_800_000), vec![3, 3, 3, 2, 2, 2], 1),
                ("venues", stage_pool(60, 2.1, 1_100_000), vec![3; 6], 1),
            ],
            GROWN_VMS,
        ),
    }
}

/// Entry VMs of a grown site; the users' have 83 and 86, whose heartbeats would fill a run of the model.
const GROWN_VMS: usize = 24;
/// Failure domains; a small site has the first three, one in each region.
const DOMAINS: [(&str, &str); 6] = [
    ("a-1", "region-a"),
    ("b-1", "region-b"),
    ("c-1", "region-c"),
    ("a-2", "region-a"),
    ("b-2", "region-b"),
    ("c-2", "region-c"),
];

impl Deployment {
    /// A site as it is on a calm day.
    pub fn of(site: Site) -> Self {
        let (kinds, pools, vms) = parts_of(site);
        let domains_count = pools.iter().map(|(_, _, counts, _)| counts.len()).max().unwrap_or(0);
        let domains: Vec<(FailureDomain, Region)> =
            DOMAINS.iter().take(domains_count).map(|(domain, region)| (id(domain), id(region))).collect();
        let mut endpoints = Vec::new();
        for (pool, _, counts, slots) in &pools {
            for (place, count) in counts.iter().enumerate() {
                for number in 0..*count {
                    endpoints.push(endpoint(pool, &domains[place].0, place, number, *slots));
                }
            }
        }
        let services = pools.into_iter().map(|(name, kind, ..)| Service {
            name: id(name),
            health_path: "/health".into(),
            connections_max: 300,
            kind,
        });
        Self {
            domains,
            vms,
            endpoints,
            kinds: kinds.into_iter().map(Into::into).collect(),
            services: services.collect(),
        }
    }

    /// The configuration at a version.
    pub fn configuration(&self, version: u64) -> Configuration {
        let limits = HttpLimits {
            head_bytes_max: 16_384,
            body_bytes_max: 4_194_304,
            head_timeout_ms: SpanMs(3_000),
            idle_timeout_ms: SpanMs(15_000),
        };
        let workspace = Workspace { name: id("workspace"), priority: 1, keys: vec![ApiKey(Arc::from(CLIENT_KEY))] };
        let routes = self.kinds.iter().map(|kind| kind.route.clone()).collect();
        Configuration::new(ConfigurationVersion(version), limits, routes, self.services.clone(), vec![workspace])
    }

    /// Pool of stage endpoints.
    pub(super) fn stage_pool(&self, pool: &PoolId) -> Option<StagePool> {
        self.services.iter().find(|service| service.name == *pool).and_then(|service| match service.kind {
            ServiceKind::Stage(stage) => Some(stage),
            ServiceKind::Plain | ServiceKind::Model(_) => None,
        })
    }
}

fn endpoint(pool: &str, domain: &FailureDomain, place: usize, number: usize, slots: u32) -> Endpoint {
    let name: EndpointId = id(&format!("{pool}-{domain}-{number}"));
    let hash = boragepass_types::Hash64::of(name.as_str().as_bytes()).0;
    let address = SocketAddr::from(([10, place as u8 + 1, 64, number as u8 + 1], 1_024 + (hash % 60_000) as u16));
    Endpoint {
        id: name,
        pool: id(pool),
        address,
        failure_domain: domain.clone(),
        is_draining: false,
        slots,
        started_at_unix_ms: 1,
    }
}
