//! Settings of an entry VM on the users' platform, resolved from INI.

use std::net::SocketAddr;
use std::str::FromStr;

use boragepass_types::{
    AccessKey, FailureDomain, FindingKind, Findings, Millicores, Region, SpanMs, VmId, suggest_key,
};

use crate::raw::RawSettings;
use crate::resolve::Reader;

const SECTIONS: &[&str] = &["node", "listen", "store", "peers", "failure_domains", "retries", "stop", "log"];
/// Lines of the log a second, unless the settings say otherwise: some six lines a request at a
/// hundred requests a second.
const LOG_LINES_PER_S: u32 = 600;

/// Processor of a VM whose settings name none.
const ONE_CORE: Millicores = Millicores(1_000);

/// Settings of an entry VM.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// This VM.
    pub vm: VmId,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Where clients connect.
    pub clients: SocketAddr,
    /// Where the platform asks whether this VM is ready.
    pub readiness: SocketAddr,
    /// Where clients ask for addresses.
    pub addresses: SocketAddr,
    /// Where operators ask what this VM knows.
    pub operators: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// Where other VMs connect, over TCP and UDP.
    pub peers: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Key that VMs present to each other.
    pub peer_key: AccessKey,
    /// Addresses of some other VMs.
    pub seeds: Vec<SocketAddr>,
    /// Processor that this VM may use.
    pub processor: Millicores,
    /// Region of each failure domain.
    pub regions: Vec<(FailureDomain, Region)>,
    /// Repeated sends for each request, as a share.
    pub retry_ratio: f64,
    /// Repeated sends of all VMs beside that share.
    pub retry_slack: f64,
    /// Window over which they are counted.
    pub retry_window_ms: SpanMs,
    /// Time from the request to stop until the process is killed.
    pub stop_grace_ms: SpanMs,
    /// Lines of the log a second beyond which lines are dropped and counted.
    pub log_lines_per_s: u32,
}

/// List of addresses, separated by commas.
struct AddressList(Vec<SocketAddr>);

impl FromStr for AddressList {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
        items.map(str::parse).collect::<Result<_, _>>().map(Self)
    }
}

/// Cores of a VM, with a fraction.
struct Cores(Millicores);

impl FromStr for Cores {
    type Err = std::num::ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let cores: f64 = text.parse()?;
        Ok(Self(Millicores((cores.max(0.0) * 1e3).round() as u32)))
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

fn check_sections(raw: &RawSettings, findings: &mut Findings) {
    for section in raw.sections.iter().filter(|section| !SECTIONS.contains(&section.name.as_str())) {
        let fix = suggest_key(&section.name, SECTIONS);
        let finding = FindingKind::UnknownKey(format!("[{}]", section.name));
        findings.push(raw.place(section.line), finding, fix);
    }
}

fn failure_domains(raw: &RawSettings, findings: &mut Findings) -> Vec<(FailureDomain, Region)> {
    let Some(section) = raw.sections.iter().find(|section| section.name == "failure_domains") else {
        return Vec::new();
    };
    let mut regions = Vec::new();
    for entry in &section.entries {
        match (entry.key.parse::<FailureDomain>(), entry.value.parse::<Region>()) {
            (Ok(domain), Ok(region)) => regions.push((domain, region)),
            (Err(error), _) | (_, Err(error)) => {
                let kind = FindingKind::BadValue { key: entry.key.clone(), problem: error.to_string() };
                findings.push(raw.place(entry.line), kind, None);
            }
        }
    }
    regions
}

fn resolve(raw: &RawSettings) -> Result<EntrySettings, Findings> {
    let mut findings = Findings::default();
    check_sections(raw, &mut findings);
    let regions = failure_domains(raw, &mut findings);
    let mut node = Reader::new(raw, "node", &["vm", "region", "failure_domain", "cores"], &mut findings);
    let (vm, region, failure_domain) = (node.required("vm"), node.required("region"), node.required("failure_domain"));
    let cores: Option<Cores> = node.optional("cores");
    let known = ["clients", "readiness", "addresses", "operators", "metrics", "peers"];
    let mut listen = Reader::new(raw, "listen", &known, &mut findings);
    let (clients, readiness, addresses) =
        (listen.required("clients"), listen.required("readiness"), listen.required("addresses"));
    let (operators, metrics, peers) =
        (listen.required("operators"), listen.required("metrics"), listen.required("peers"));
    let store = Reader::new(raw, "store", &["address"], &mut findings).required("address");
    let mut others = Reader::new(raw, "peers", &["key", "seeds"], &mut findings);
    let peer_key = others.access_key("key");
    let seeds: Option<AddressList> = others.optional("seeds");
    let mut retries = Reader::new(raw, "retries", &["ratio", "slack", "window_s"], &mut findings);
    let (retry_ratio, retry_slack) = (retries.required("ratio"), retries.required("slack"));
    let window: Option<Seconds> = retries.required("window_s");
    let grace: Option<Seconds> = Reader::new(raw, "stop", &["grace_s"], &mut findings).required("grace_s");
    let log_lines_per_s = Reader::new(raw, "log", &["lines_per_s"], &mut findings).optional("lines_per_s");
    let settings = || {
        Some(EntrySettings {
            vm: vm?,
            region: region?,
            failure_domain: failure_domain?,
            clients: clients?,
            readiness: readiness?,
            addresses: addresses?,
            operators: operators?,
            metrics: metrics?,
            peers: peers?,
            store: store?,
            peer_key: peer_key?,
            seeds: seeds.map(|seeds| seeds.0).unwrap_or_default(),
            processor: cores.map_or(ONE_CORE, |cores| cores.0),
            regions,
            retry_ratio: retry_ratio?,
            retry_slack: retry_slack?,
            retry_window_ms: window?.0,
            stop_grace_ms: grace?.0,
            log_lines_per_s: log_lines_per_s.unwrap_or(LOG_LINES_PER_S),
        })
    };
    match settings() {
        Some(settings) if findings.is_empty() => Ok(settings),
        Some(_) | None => Err(findings),
    }
}

/// Parses settings of an entry VM; every finding carries its line.
pub fn parse_entry(path: &str, text: &str) -> Result<EntrySettings, Findings> {
    resolve(&RawSettings::parse(path, text)?)
}
