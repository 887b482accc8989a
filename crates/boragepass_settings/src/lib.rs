//! Settings in INI, resolved into checked values.
//!
//! The file is parsed raw in one place (`raw`), then resolved (`resolve`). Every problem is found in
//! one pass and carries its file and line.

mod entry;
mod limit_keys;
mod raw;
mod reference;
mod resolve;

use std::net::SocketAddr;
use std::sync::Arc;

use boragepass_core::Limits;
use boragepass_types::{AccessKey, Bytes, FailureDomain, Findings, Pipeline, Region, SpanMs, VmId};

pub use entry::{EntrySettings, parse_entry_settings};
pub use reference::limits_reference;

/// Settings of one process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This VM.
    pub vm: VmId,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// Where other VMs connect.
    pub peer_address: SocketAddr,
    /// The platform's table service.
    pub table_address: SocketAddr,
    /// The platform's object store.
    pub object_store_address: SocketAddr,
    /// The platform's VM list.
    pub vm_list_address: SocketAddr,
    /// Key that operators present.
    pub operator_key: AccessKey,
    /// Key that other VMs present.
    pub peer_key: AccessKey,
    /// Where counters are sent, if anywhere.
    pub metrics_address: Option<SocketAddr>,
    /// Limits towards callers and operators.
    pub http: HttpLimits,
    /// Limits of the decisions.
    pub limits: Limits,
    /// Pipelines.
    pub pipelines: Vec<Arc<Pipeline>>,
}

/// Limits towards callers and operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    /// Largest body.
    pub body_bytes_max: Bytes,
    /// Longest time for the head of a request.
    pub head_timeout_ms: SpanMs,
    /// Longest time for the body of a request.
    pub body_timeout_ms: SpanMs,
    /// Connections at once.
    pub connections_max: usize,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            body_bytes_max: Bytes(1_048_576),
            head_timeout_ms: SpanMs(10_000),
            body_timeout_ms: SpanMs(10_000),
            connections_max: 10_000,
        }
    }
}

/// Parses and checks settings. `path` is the name that findings carry.
pub fn parse_settings(path: &str, text: &str) -> Result<Settings, Findings> {
    let raw = raw::RawSettings::parse(path, text)?;
    resolve::resolve(&raw)
}
