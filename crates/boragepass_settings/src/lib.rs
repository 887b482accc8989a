//! Settings files in INI: parsed (`raw`), then resolved into checked values (`resolve` for
//! `boragepassd`, `entry` for entry VMs).
//!
//! Syntax errors are reported first; in a file without them, one pass finds all problems. Each finding
//! carries the file and the line.

mod entry;
mod limit_keys;
mod raw;
mod reference;
mod resolve;

use std::net::SocketAddr;
use std::sync::Arc;

use boragepass_core::Limits;
use boragepass_types::{AccessKey, Bytes, FailureDomain, Findings, Pipeline, Region, SpanMs, VmId};

pub use entry::{EntrySettings, check_entry_settings, parse_entry_settings};
pub use reference::limits_reference;

/// Settings of a `boragepassd` process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this VM.
    pub vm: VmId,
    /// Region of this VM.
    pub region: Region,
    /// Failure domain of this VM.
    pub failure_domain: FailureDomain,
    /// Address on which callers are served.
    pub caller_address: SocketAddr,
    /// Address on which operators are served.
    pub operator_address: SocketAddr,
    /// Address on which connections of other VMs are accepted.
    pub peer_address: SocketAddr,
    /// Address of the platform's table service.
    pub table_address: SocketAddr,
    /// Address of the platform's object store.
    pub object_store_address: SocketAddr,
    /// Address of the platform's VM list.
    pub vm_list_address: SocketAddr,
    /// Key that operators must present.
    pub operator_key: AccessKey,
    /// Key that VMs present to each other.
    pub peer_key: AccessKey,
    /// Address to which counters are sent; `None` turns this off.
    pub metrics_address: Option<SocketAddr>,
    /// Limits of the HTTP servers for callers and operators.
    pub http: HttpLimits,
    /// Limits and intervals of the decision logic in `boragepass_core`.
    pub limits: Limits,
    /// Pipelines that callers may request.
    pub pipelines: Vec<Arc<Pipeline>>,
}

/// Limits of the HTTP servers for callers and operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    /// Largest body of a request.
    pub body_bytes_max: Bytes,
    /// Longest time for the head of a request.
    pub head_timeout_ms: SpanMs,
    /// Longest time for the body of a request.
    pub body_timeout_ms: SpanMs,
    /// Connections that are open at the same time.
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

/// Parses and checks the settings of a `boragepassd` process. Findings name the file as `path`.
pub fn parse_settings(path: &str, text: &str) -> Result<Settings, Findings> {
    let raw = raw::RawSettings::parse(path, text)?;
    resolve::resolve(&raw)
}
