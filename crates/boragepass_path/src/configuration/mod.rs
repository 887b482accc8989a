//! One version of the operators' configuration, as the request path uses it: routes, pools, workspaces
//! and their API keys. It does not change; a new version replaces it.

mod route_table;

use std::collections::HashMap;
use std::sync::Arc;

use boragepass_types::{PoolId, Region, RequestRate, SpanMs, WorkspaceId};
use derive_more::Display;

pub use route_table::RouteError;
use route_table::RouteTable;

/// Version of a configuration, increasing.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct ConfigurationVersion(pub u64);

/// Secret that a client presents; left out of debug output.
#[derive(Clone, PartialEq, Eq, Hash, derive_more::Debug)]
pub struct ApiKey(#[debug(skip)] pub Arc<str>);

/// Whether a request of a route may run again, and whether its answer is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeatability {
    /// Request that may run more than once.
    Idempotent,
    /// Request that runs at most once.
    Once,
    /// Stream of events that runs at most once.
    StreamOnce,
    /// Stream of events that another endpoint may resume.
    ResumableStream,
}

impl Repeatability {
    /// Whether a second endpoint may run the request.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::StreamOnce | Self::ResumableStream)
    }
}

/// Stage of a route: work that completes before the request itself is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageSpec {
    /// Pool that does the work.
    pub pool: PoolId,
    /// Indices of the stages whose results it takes as inputs; all smaller than its own.
    pub input_stages: Vec<usize>,
    /// Expected size of one result.
    pub result_bytes: u64,
}

/// Route of one host.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host whose requests it serves.
    pub host: Arc<str>,
    /// Prefix of the paths that it serves; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether its requests may run again.
    pub repeatability: Repeatability,
    /// Longest deadline of a request, and the deadline of one that states none.
    pub timeout_ms: SpanMs,
    /// Latency objective, counted from the request's arrival.
    pub objective_ms: SpanMs,
    /// Rank among routes; zero is the most urgent.
    pub priority: u8,
    /// Pools that serve it, with the weights by which requests are split.
    pub weighted_pools: Vec<(PoolId, u32)>,
    /// Number of endpoints that may run one request.
    pub endpoints_max: u32,
    /// Stages before the request itself.
    pub stages: Vec<StageSpec>,
    /// Whether no API key is needed.
    pub is_anonymous: bool,
    /// Longest gap between events of a stream, if the route states one.
    pub event_gap_max_ms: Option<SpanMs>,
    /// Regions in which its requests may be served and stored; empty if all may.
    pub home_regions: Vec<Region>,
}

/// What the endpoints of a pool do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ServiceKind {
    /// Run requests without a model engine.
    Plain,
    /// Run a model engine.
    Model(ModelPool),
    /// Run calls that batch pieces of many requests.
    Stage(StagePool),
}

/// Figures of a pool of model engines, for each endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelPool {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Capacity of its KV cache.
    pub kv_cache_tokens: u64,
}

/// Figures of a stage pool, for each endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StagePool {
    /// Calls that it runs at once.
    pub slots: u32,
    /// Calls that may wait there.
    pub queued_calls_max: u32,
    /// Largest number of pieces in one call.
    pub pieces_per_call_max: usize,
    /// Fixed time of a call.
    pub call_ms: f64,
    /// Expected time that each piece adds to a call.
    pub piece_ms: f64,
    /// Space that it has for results.
    pub result_space_bytes: u64,
    /// Time for which it retains a result.
    pub result_ttl_ms: SpanMs,
}

/// What an endpoint bears after its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Time for which it is cold.
    pub duration_ms: SpanMs,
    /// Requests that it tolerates meanwhile, from all VMs together.
    pub rate: RequestRate,
}

/// A pool of endpoints that do the same work.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the pool.
    pub name: PoolId,
    /// Path of its health check.
    pub health_path: Arc<str>,
    /// Connections that one endpoint accepts from all clients together.
    pub connections_max: u32,
    /// What its endpoints do.
    pub kind: ServiceKind,
    /// What its endpoints bear after their start; `None` if they are never cold.
    pub cold_start: Option<ColdStart>,
}

/// A workspace with the keys of its clients.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// Rank among workspaces; zero is the most urgent.
    pub priority: u8,
    /// Keys that belong to it.
    pub keys: Vec<ApiKey>,
    /// Regions in which its requests may be served and stored; empty if all may.
    pub home_regions: Vec<Region>,
}

/// Limits on what clients may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    /// Largest request head.
    pub head_bytes_max: usize,
    /// Largest request body.
    pub body_bytes_max: usize,
    /// Longest time for a request head to arrive.
    pub head_timeout_ms: SpanMs,
    /// Longest idle time of a connection.
    pub idle_timeout_ms: SpanMs,
}

/// One version of the configuration.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// Version of the configuration.
    pub version: ConfigurationVersion,
    /// Limits on what clients may send.
    pub limits: HttpLimits,
    routes: RouteTable,
    services: HashMap<PoolId, Service>,
    workspaces: Vec<Workspace>,
    workspace_by_key: HashMap<ApiKey, usize>,
}

impl Configuration {
    /// Creates a configuration and indexes its routes and keys.
    pub fn new(
        version: ConfigurationVersion,
        limits: HttpLimits,
        routes: Vec<Route>,
        services: Vec<Service>,
        workspaces: Vec<Workspace>,
    ) -> Self {
        let services = services.into_iter().map(|service| (service.name.clone(), service)).collect();
        let mut workspace_by_key = HashMap::new();
        for (index, workspace) in workspaces.iter().enumerate() {
            workspace_by_key.extend(workspace.keys.iter().map(|key| (key.clone(), index)));
        }
        Self { version, limits, routes: RouteTable::new(routes), services, workspaces, workspace_by_key }
    }

    /// Finds the host's route with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>, RouteError> {
        self.routes.find(host, path)
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.iter()
    }

    /// Pool named `name`.
    pub fn service(&self, name: &PoolId) -> Option<&Service> {
        self.services.get(name)
    }

    /// All pools.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Figures of the pool named `name`, if it is a stage pool.
    pub fn stage_pool(&self, name: &PoolId) -> Option<StagePool> {
        match self.service(name)?.kind {
            ServiceKind::Stage(pool) => Some(pool),
            ServiceKind::Plain | ServiceKind::Model(_) => None,
        }
    }

    /// Whether any workspace is configured; without one, clients need no key.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// All workspaces.
    pub fn workspaces(&self) -> &[Workspace] {
        &self.workspaces
    }

    /// Workspace that a key belongs to.
    pub fn workspace_of(&self, key: &ApiKey) -> Option<&Workspace> {
        self.workspace_by_key.get(key).map(|index| &self.workspaces[*index])
    }
}
