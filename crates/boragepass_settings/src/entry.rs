//! Resolves the settings of an entry VM on the users' platform.

use std::net::SocketAddr;
use std::str::FromStr;

use boragepass_types::{
    AccessKey, Bytes, FailureDomain, FindingKind, Findings, Hash64, Millicores, Region, SpanMs, VmId, suggest_key,
};

use crate::raw::RawSettings;
use crate::resolve::SectionReader;

const SECTIONS: &[&str] = &["node", "listen", "store", "peers", "failure_domains", "retries", "stop", "log", "cold"];
/// Sections that differ from VM to VM.
const VM_SECTIONS: &[&str] = &["node", "listen"];
/// About six log lines for each request, at 100 requests a second.
const DEFAULT_LOG_LINES_PER_S: u32 = 600;

/// Keeps to the rate that the pool states.
const DEFAULT_COLD_OVERAGE: f64 = 1.0;
const DEFAULT_PROCESSOR: Millicores = Millicores(1_000);
const DEFAULT_MEMORY: Megabytes = Megabytes(Bytes(260_000_000));
const DEFAULT_STORE_RECOVERY: SpanMs = SpanMs(4_000);
/// Shorter recovery times would poll the store too often.
const STORE_RECOVERY_MIN: SpanMs = SpanMs(200);

/// Settings of an entry VM.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Name of this VM.
    pub vm: VmId,
    /// Region of this VM.
    pub region: Region,
    /// Failure domain of this VM.
    pub failure_domain: FailureDomain,
    /// Address on which client requests are served.
    pub client_address: SocketAddr,
    /// Address of the readiness check by the platform.
    pub readiness_address: SocketAddr,
    /// Address on which clients ask which entry VMs to connect to.
    pub resolver_address: SocketAddr,
    /// Address on which operators query this VM's state.
    pub operator_address: SocketAddr,
    /// Address on which metrics are scraped.
    pub metrics_address: SocketAddr,
    /// Address on which other VMs connect over TCP and send datagrams over UDP.
    pub peer_address: SocketAddr,
    /// Address on which other VMs relay requests of clients when they reach no endpoint.
    pub relay_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Time after a disruption of the store within which its newest state has to be known.
    pub store_recovery_ms: SpanMs,
    /// Key that VMs present to each other.
    pub peer_key: AccessKey,
    /// Addresses of some other VMs, from which this VM learns of the rest. Only their IPs are used: the
    /// other VMs accept peers on the same port as this one.
    pub seed_addresses: Vec<SocketAddr>,
    /// Processor time that this VM may use.
    pub processor: Millicores,
    /// Memory of the machine, of which a share may be held for clients and endpoints.
    pub memory: Bytes,
    /// Region of each failure domain.
    pub domain_regions: Vec<(FailureDomain, Region)>,
    /// Retry budget: retries allowed for each request, as a ratio.
    pub retry_ratio: f64,
    /// Retry budget: retries of all VMs together that are allowed beyond the ratio.
    pub retry_slack: f64,
    /// Retry budget: window over which retries and requests are counted.
    pub retry_window_ms: SpanMs,
    /// Time between the stop signal and the moment when the process is killed.
    pub stop_grace_ms: SpanMs,
    /// Requests in one second that a cold endpoint bears, as a multiple of the rate that its pool states.
    pub cold_overage: f64,
    /// Requests in one second that a cold endpoint bears beyond that multiple.
    pub cold_slack: f64,
    /// Limit of the log rate; lines above it are dropped and counted.
    pub log_lines_per_s: u32,
    /// Digest of what VMs with the same settings have in common.
    pub digest: Hash64,
    /// Sections and keys that this build does not know, as another build's file may have them.
    pub unknown_keys: Vec<String>,
}

/// Addresses separated by commas.
struct AddressList(Vec<SocketAddr>);

impl FromStr for AddressList {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
        items.map(str::parse).collect::<Result<_, _>>().map(Self)
    }
}

/// Number of cores, with a fraction.
struct Cores(Millicores);

impl FromStr for Cores {
    type Err = std::num::ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let cores: f64 = text.parse()?;
        Ok(Self(Millicores((cores.max(0.0) * 1e3).round() as u32)))
    }
}

/// Why a size is not accepted.
#[derive(Debug, displaydoc::Display)]
enum MegabytesError {
    /// {0}
    Unreadable(std::num::ParseFloatError),
    /// must be more than zero
    NotPositive,
}

/// Size in megabytes, with a fraction.
struct Megabytes(Bytes);

impl FromStr for Megabytes {
    type Err = MegabytesError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let megabytes: f64 = text.parse().map_err(MegabytesError::Unreadable)?;
        if megabytes > 0.0 { Ok(Self(Bytes((megabytes * 1e6) as u64))) } else { Err(MegabytesError::NotPositive) }
    }
}

/// Duration in seconds with a fraction.
struct Seconds(SpanMs);

impl FromStr for Seconds {
    type Err = std::num::ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let seconds: f64 = text.parse()?;
        Ok(Self(SpanMs((seconds.max(0.0) * 1e3) as u64)))
    }
}

/// Why a number is not accepted.
#[derive(Debug, displaydoc::Display)]
enum NonNegativeError {
    /// {0}
    Unreadable(std::num::ParseFloatError),
    /// must be zero or more
    Negative,
}

/// Number that is zero or more.
struct NonNegative(f64);

impl FromStr for NonNegative {
    type Err = NonNegativeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number: f64 = text.parse().map_err(NonNegativeError::Unreadable)?;
        if number.is_finite() && number >= 0.0 { Ok(Self(number)) } else { Err(NonNegativeError::Negative) }
    }
}

/// Why a recovery time is not accepted.
#[derive(Debug, displaydoc::Display)]
enum RecoveryTimeError {
    /// {0}
    Unreadable(std::num::ParseFloatError),
    /// must be at least {0}
    TooShort(SpanMs),
}

/// Recovery time of the store feed in milliseconds, with a fraction.
struct RecoveryTime(SpanMs);

impl FromStr for RecoveryTime {
    type Err = RecoveryTimeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let recovery_ms: f64 = text.parse().map_err(RecoveryTimeError::Unreadable)?;
        let recovery = SpanMs(recovery_ms.max(0.0) as u64);
        if recovery < STORE_RECOVERY_MIN {
            return Err(RecoveryTimeError::TooShort(STORE_RECOVERY_MIN));
        }
        Ok(Self(recovery))
    }
}

fn check_sections(raw: &RawSettings, findings: &mut Findings) {
    for section in raw.sections.iter().filter(|section| !SECTIONS.contains(&section.name.as_str())) {
        let fix = suggest_key(&section.name, SECTIONS);
        let kind = FindingKind::UnknownKey(format!("[{}]", section.name));
        findings.push(raw.location(section.line), kind, fix);
    }
}

fn resolve_domain_regions(raw: &RawSettings, findings: &mut Findings) -> Vec<(FailureDomain, Region)> {
    let Some(section) = raw.sections.iter().find(|section| section.name == "failure_domains") else {
        return Vec::new();
    };
    let mut domain_regions = Vec::new();
    for entry in &section.entries {
        match (entry.key.parse::<FailureDomain>(), entry.value.parse::<Region>()) {
            (Ok(domain), Ok(region)) => domain_regions.push((domain, region)),
            (Err(error), _) | (_, Err(error)) => {
                let kind = FindingKind::BadValue { key: entry.key.clone(), problem: error.to_string() };
                findings.push(raw.location(entry.line), kind, None);
            }
        }
    }
    domain_regions
}

/// Address of the port behind another one; the platform leaves both to this system.
fn next_port(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip(), address.port().saturating_add(1))
}

/// Digest of what VMs have in common: all sections but those that name the VM and its addresses.
fn shared_digest(raw: &RawSettings) -> Hash64 {
    let mut text = String::new();
    for section in raw.sections.iter().filter(|section| !VM_SECTIONS.contains(&section.name.as_str())) {
        text.push_str(&format!("[{}]\n", section.name));
        section.entries.iter().for_each(|entry| text.push_str(&format!("{}={}\n", entry.key, entry.value)));
    }
    Hash64::of(text.as_bytes())
}

/// Settings, and what the file has beyond them.
fn resolve(raw: &RawSettings) -> Result<(EntrySettings, Findings), Findings> {
    let mut findings = Findings::default();
    check_sections(raw, &mut findings);
    let domain_regions = resolve_domain_regions(raw, &mut findings);
    let mut node =
        SectionReader::new(raw, "node", &["vm", "region", "failure_domain", "cores", "memory_mb"], &mut findings);
    let (vm, region, failure_domain) = (node.required("vm"), node.required("region"), node.required("failure_domain"));
    let cores: Option<Cores> = node.optional("cores");
    let memory: Option<Megabytes> = node.optional("memory_mb");
    let listen_keys = ["clients", "readiness", "addresses", "operators", "metrics", "peers", "relays"];
    let mut listen = SectionReader::new(raw, "listen", &listen_keys, &mut findings);
    let (client_address, readiness_address, resolver_address) =
        (listen.required("clients"), listen.required("readiness"), listen.required("addresses"));
    let (operator_address, metrics_address) = (listen.required("operators"), listen.required("metrics"));
    let (peer_address, relay_address): (Option<SocketAddr>, _) = (listen.required("peers"), listen.optional("relays"));
    let mut store = SectionReader::new(raw, "store", &["address", "recovery_ms"], &mut findings);
    let store_address = store.required("address");
    let store_recovery: Option<RecoveryTime> = store.optional("recovery_ms");
    let mut peers = SectionReader::new(raw, "peers", &["key", "seeds"], &mut findings);
    let peer_key = peers.access_key("key");
    let seed_addresses: Option<AddressList> = peers.optional("seeds");
    let mut retries = SectionReader::new(raw, "retries", &["ratio", "slack", "window_s"], &mut findings);
    let (retry_ratio, retry_slack) = (retries.required("ratio"), retries.required("slack"));
    let retry_window: Option<Seconds> = retries.required("window_s");
    let stop_grace: Option<Seconds> = SectionReader::new(raw, "stop", &["grace_s"], &mut findings).required("grace_s");
    let mut cold = SectionReader::new(raw, "cold", &["overage", "slack"], &mut findings);
    let (cold_overage, cold_slack): (Option<NonNegative>, Option<NonNegative>) =
        (cold.optional("overage"), cold.optional("slack"));
    let log_lines_per_s = SectionReader::new(raw, "log", &["lines_per_s"], &mut findings).optional("lines_per_s");
    let unknown_keys: Vec<_> = findings.unknown_keys().map(ToOwned::to_owned).collect();
    let has_errors = findings.iter().count() > unknown_keys.len();
    let settings = || {
        let peer_address = peer_address?;
        Some(EntrySettings {
            vm: vm?,
            region: region?,
            failure_domain: failure_domain?,
            client_address: client_address?,
            readiness_address: readiness_address?,
            resolver_address: resolver_address?,
            operator_address: operator_address?,
            metrics_address: metrics_address?,
            peer_address,
            // Files of builds that relay nothing do not name it.
            relay_address: relay_address.unwrap_or_else(|| next_port(peer_address)),
            store_address: store_address?,
            store_recovery_ms: store_recovery.map_or(DEFAULT_STORE_RECOVERY, |recovery| recovery.0),
            peer_key: peer_key?,
            seed_addresses: seed_addresses.map(|list| list.0).unwrap_or_default(),
            processor: cores.map_or(DEFAULT_PROCESSOR, |cores| cores.0),
            memory: memory.unwrap_or(DEFAULT_MEMORY).0,
            domain_regions,
            retry_ratio: retry_ratio?,
            retry_slack: retry_slack?,
            retry_window_ms: retry_window?.0,
            stop_grace_ms: stop_grace?.0,
            cold_overage: cold_overage.map_or(DEFAULT_COLD_OVERAGE, |overage| overage.0),
            cold_slack: cold_slack.map_or(0.0, |slack| slack.0),
            log_lines_per_s: log_lines_per_s.unwrap_or(DEFAULT_LOG_LINES_PER_S),
            digest: shared_digest(raw),
            unknown_keys: unknown_keys.clone(),
        })
    };
    match settings() {
        Some(settings) if !has_errors => Ok((settings, findings)),
        Some(_) | None => Err(findings),
    }
}

/// Parses the settings of an entry VM. Findings name the file as `path`. Unknown sections and keys are no error, since
/// the file may be for a later or an earlier build.
pub fn parse_entry_settings(path: &str, text: &str) -> Result<EntrySettings, Findings> {
    let (settings, _unknown_keys) = resolve(&RawSettings::parse(path, text)?)?;
    Ok(settings)
}

/// Checks the settings of an entry VM; unknown sections and keys are findings too.
pub fn check_entry_settings(path: &str, text: &str) -> Result<EntrySettings, Findings> {
    let (settings, unknown_keys) = resolve(&RawSettings::parse(path, text)?)?;
    if unknown_keys.is_empty() { Ok(settings) } else { Err(unknown_keys) }
}
