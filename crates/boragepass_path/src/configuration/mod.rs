//! One version of the operators' configuration, as the request path uses it.

mod route_table;

use std::collections::HashMap;
use std::sync::Arc;

use boragepass_types::{PoolId, SpanMs, WorkspaceId};
use derive_more::Display;

pub use route_table::RouteError;
use route_table::RouteTable;

/// Version of a configuration; later ones have larger numbers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct ConfigurationVersion(pub u64);

/// Secret that a client presents; never shown.
#[derive(Clone, PartialEq, Eq, Hash, derive_more::Debug)]
pub struct ApiKey(#[debug(skip)] pub Arc<str>);

/// What may be done again with a request of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeatability {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Stream of events that runs at most once.
    StreamOnce,
    /// Stream of events that another endpoint may go on with.
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

/// Stage of a route: work that ends before the request itself is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageSpec {
    /// Pool that does the work.
    pub pool: PoolId,
    /// Stages whose results it needs.
    pub input_stages: Vec<usize>,
    /// Approximate size of one result.
    pub result_bytes: u64,
}

/// Route of one host.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Host it belongs to.
    pub host: Arc<str>,
    /// Start of the paths it takes; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub repeatability: Repeatability,
    /// Longest time a client is kept waiting.
    pub timeout_ms: SpanMs,
    /// Time within which an answer is worth most.
    pub objective_ms: SpanMs,
    /// Rank among routes; zero is the most urgent.
    pub priority: u8,
    /// Pools with their weights.
    pub weighted_pools: Vec<(PoolId, u32)>,
    /// Endpoints that one request may be sent to.
    pub endpoints_max: u32,
    /// Stages before the request itself.
    pub stages: Vec<StageSpec>,
    /// Whether no API key is needed.
    pub is_anonymous: bool,
    /// Longest pause between events of a stream, if the route names one.
    pub event_gap_max_ms: Option<SpanMs>,
}

/// What the endpoints of a pool do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ServiceKind {
    /// Plain requests.
    Plain,
    /// Model engine.
    Model(ModelPool),
    /// Shared calls of pieces.
    Stage(StagePool),
}

/// Figures of a pool of model engines, for each endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelPool {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub kv_cache_tokens: u64,
}

/// Figures of a stage pool, for each endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StagePool {
    /// Calls in progress at once.
    pub slots: u32,
    /// Calls that may wait.
    pub queued_calls_max: u32,
    /// Most pieces of one call.
    pub pieces_per_call_max: usize,
    /// Time of a call beside its pieces.
    pub call_ms: f64,
    /// Approximate time of one piece.
    pub piece_ms: f64,
    /// Space for results.
    pub result_space_bytes: u64,
    /// How long a result is kept.
    pub result_ttl_ms: SpanMs,
}

/// Pool of endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: PoolId,
    /// Path of its health check.
    pub health_path: Arc<str>,
    /// Connections that one endpoint accepts from all clients together.
    pub connections_max: u32,
    /// What its endpoints do.
    pub kind: ServiceKind,
}

/// Customer with the keys of its clients.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Name.
    pub name: WorkspaceId,
    /// Rank among workspaces; zero is the most urgent.
    pub priority: u8,
    /// Keys.
    pub keys: Vec<ApiKey>,
}

/// Limits on what clients may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    /// Largest head of a request.
    pub head_bytes_max: usize,
    /// Largest body.
    pub body_bytes_max: usize,
    /// Longest time for a head.
    pub head_timeout_ms: SpanMs,
    /// Longest idle time of a connection.
    pub idle_timeout_ms: SpanMs,
}

/// One version of the configuration.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// Its version.
    pub version: ConfigurationVersion,
    /// Limits towards clients.
    pub limits: HttpLimits,
    routes: RouteTable,
    services: HashMap<PoolId, Service>,
    workspaces: Vec<Workspace>,
    workspace_by_key: HashMap<ApiKey, usize>,
}

impl Configuration {
    /// Configuration from its parts.
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

    /// Route with the longest prefix of a path among those of its host.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>, RouteError> {
        self.routes.find(host, path)
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.iter()
    }

    /// Pool of a name.
    pub fn service(&self, name: &PoolId) -> Option<&Service> {
        self.services.get(name)
    }

    /// All pools.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Stage pool of a name.
    pub fn stage_pool(&self, name: &PoolId) -> Option<StagePool> {
        match self.service(name)?.kind {
            ServiceKind::Stage(pool) => Some(pool),
            ServiceKind::Plain | ServiceKind::Model(_) => None,
        }
    }

    /// Whether clients have to present a key at all.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// All workspaces.
    pub fn workspaces(&self) -> &[Workspace] {
        &self.workspaces
    }

    /// Workspace that holds a key.
    pub fn workspace_of(&self, key: &ApiKey) -> Option<&Workspace> {
        self.workspace_by_key.get(key).map(|index| &self.workspaces[*index])
    }
}
