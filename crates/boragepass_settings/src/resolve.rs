//! From raw sections to checked settings, with every problem and its line.

use std::collections::BTreeSet;
use std::str::FromStr;
use std::sync::Arc;

use boragepass_core::Limits;
use boragepass_types::{
    AccessKey, FindingKind, Findings, Location, Pipeline, RawPipeline, RawStage, StageKind, suggest_key,
};

use crate::limit_keys::{HTTP, LIMITS, LimitKey};
use crate::raw::{RawEntry, RawSection, RawSettings};
use crate::{HttpLimits, Settings};

const SECTIONS: &[&str] = &["node", "listen", "platform", "keys", "metrics", "limits", "http", "pipeline", "stage"];
const STAGE_KEYS: &[&str] = &["kind", "pool", "model", "adapter", "repeatable", "expected_ms"];
const MIN_KEY_LEN: usize = 8;

/// Reads the entries of one section.
pub(crate) struct Reader<'a> {
    raw: &'a RawSettings,
    section: Option<&'a RawSection>,
    name: &'a str,
    findings: &'a mut Findings,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(raw: &'a RawSettings, name: &'a str, known: &[&str], findings: &'a mut Findings) -> Self {
        let section = raw.sections.iter().find(|section| section.name == name);
        if let Some(section) = section {
            check_keys(raw, section, known, findings);
        }
        Self { raw, section, name, findings }
    }

    fn entry(&self, key: &str) -> Option<&'a RawEntry> {
        self.section?.entries.iter().find(|entry| entry.key == key)
    }

    fn place(&self) -> Location {
        self.raw.place(self.section.map_or(1, |section| section.line))
    }

    fn bad(&mut self, entry: &RawEntry, problem: impl ToString) {
        let kind = FindingKind::BadValue { key: entry.key.clone(), problem: problem.to_string() };
        self.findings.push(self.raw.place(entry.line), kind, None);
    }

    pub(crate) fn optional<T: FromStr>(&mut self, key: &str) -> Option<T>
    where
        T::Err: std::fmt::Display,
    {
        let entry = self.entry(key)?;
        match entry.value.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.bad(entry, format!("{error}, got {:?}", entry.value));
                None
            }
        }
    }

    pub(crate) fn required<T: FromStr>(&mut self, key: &str) -> Option<T>
    where
        T::Err: std::fmt::Display,
    {
        if self.entry(key).is_none() {
            let place = self.place();
            self.findings.push(place, FindingKind::MissingKey(format!("{}.{key}", self.name)), None);
            return None;
        }
        self.optional(key)
    }

    pub(crate) fn access_key(&mut self, key: &str) -> Option<AccessKey> {
        let text: String = self.required(key)?;
        if text.len() < MIN_KEY_LEN {
            let entry = self.entry(key)?;
            self.bad(entry, format!("must have at least {MIN_KEY_LEN} characters"));
            return None;
        }
        Some(AccessKey::new(&text))
    }

    fn numbers<T>(&mut self, target: &mut T, keys: &[LimitKey<T>]) {
        for key in keys {
            let Some(entry) = self.entry(key.name) else {
                continue;
            };
            match entry.value.parse::<u64>() {
                Ok(value) if (key.low..=key.high).contains(&value) => (key.set)(target, value),
                Ok(value) => self.bad(entry, format!("must be from {} to {}, got {value}", key.low, key.high)),
                Err(_) => self.bad(entry, format!("must be a whole number, got {:?}", entry.value)),
            }
        }
    }
}

fn check_keys(raw: &RawSettings, section: &RawSection, known: &[&str], findings: &mut Findings) {
    let mut seen = BTreeSet::new();
    for entry in &section.entries {
        let place = raw.place(entry.line);
        if !known.contains(&entry.key.as_str()) {
            let fix = suggest_key(&entry.key, known);
            findings.push(place, FindingKind::UnknownKey(entry.key.clone()), fix);
        } else if !seen.insert(&entry.key) {
            findings.push(place, FindingKind::DuplicateKey(entry.key.clone()), None);
        }
    }
}

fn check_sections(raw: &RawSettings, findings: &mut Findings) {
    for section in &raw.sections {
        let kind = section.name.split_whitespace().next().unwrap_or_default();
        if !SECTIONS.contains(&kind) {
            let fix = suggest_key(kind, SECTIONS);
            let finding = FindingKind::UnknownKey(format!("[{}]", section.name));
            findings.push(raw.place(section.line), finding, fix);
        }
    }
}

fn names<T>(keys: &[LimitKey<T>]) -> Vec<&'static str> {
    keys.iter().map(|key| key.name).collect()
}

/// Checks raw settings.
pub(crate) fn resolve(raw: &RawSettings) -> Result<Settings, Findings> {
    let mut findings = Findings::default();
    check_sections(raw, &mut findings);
    let mut node = Reader::new(raw, "node", &["vm", "region", "failure_domain"], &mut findings);
    let (vm, region, failure_domain) = (node.required("vm"), node.required("region"), node.required("failure_domain"));
    let mut listen = Reader::new(raw, "listen", &["callers", "operators", "peers"], &mut findings);
    let (callers, operators) = (listen.required("callers"), listen.required("operators"));
    let peers = listen.required("peers");
    let mut platform = Reader::new(raw, "platform", &["table", "objects", "vm_list"], &mut findings);
    let (table, objects) = (platform.required("table"), platform.required("objects"));
    let vm_list = platform.required("vm_list");
    let mut keys = Reader::new(raw, "keys", &["operator", "peer"], &mut findings);
    let (operator_key, peer_key) = (keys.access_key("operator"), keys.access_key("peer"));
    let metrics = Reader::new(raw, "metrics", &["address"], &mut findings).optional("address");
    let mut limits = Limits::default();
    Reader::new(raw, "limits", &names(LIMITS), &mut findings).numbers(&mut limits, LIMITS);
    let mut http = HttpLimits::default();
    Reader::new(raw, "http", &names(HTTP), &mut findings).numbers(&mut http, HTTP);
    check_timing(raw, &limits, &mut findings);
    let pipelines = resolve_pipelines(raw, &mut findings);
    if !findings.is_empty() {
        return Err(findings);
    }
    let settings = || {
        Some(Settings {
            vm: vm?,
            region: region?,
            failure_domain: failure_domain?,
            callers: callers?,
            operators: operators?,
            peers: peers?,
            table: table?,
            objects: objects?,
            vm_list: vm_list?,
            operator_key: operator_key?,
            peer_key: peer_key?,
            metrics,
            http,
            limits,
            pipelines,
        })
    };
    settings().ok_or(findings)
}

/// Limits that only make sense together.
fn check_timing(raw: &RawSettings, limits: &Limits, findings: &mut Findings) {
    let line_of = |key: &str| {
        let section = raw.sections.iter().find(|section| section.name == "limits");
        let entries = section.map_or(&[][..], |section| &section.entries);
        entries.iter().find(|entry| entry.key == key).map_or(1, |entry| entry.line)
    };
    let slowest = limits.heartbeat_ms.max(limits.relay_heartbeat_ms);
    if limits.member_timeout_ms.0 < 2 * slowest.0 {
        let problem = format!("must be at least two heartbeats, {} ms", 2 * slowest.0);
        let kind = FindingKind::BadValue { key: "member_timeout_ms".to_owned(), problem };
        findings.push(raw.place(line_of("member_timeout_ms")), kind, None);
    }
    if limits.isolation_limit_ms < limits.member_timeout_ms {
        let problem = format!("must be at least member_timeout_ms, {}", limits.member_timeout_ms);
        let kind = FindingKind::BadValue { key: "isolation_limit_ms".to_owned(), problem };
        findings.push(raw.place(line_of("isolation_limit_ms")), kind, None);
    }
}

fn resolve_pipelines(raw: &RawSettings, findings: &mut Findings) -> Vec<Arc<Pipeline>> {
    let mut pipelines = Vec::new();
    let mut used_stages = BTreeSet::new();
    for section in &raw.sections {
        let Some(id) = section.name.strip_prefix("pipeline ") else {
            continue;
        };
        check_keys(raw, section, &["stages"], findings);
        if let Some(pipeline) = resolve_pipeline(raw, section, id.trim(), &mut used_stages, findings) {
            pipelines.push(Arc::new(pipeline));
        }
    }
    for section in &raw.sections {
        let is_unused = section.name.starts_with("stage ") && !used_stages.contains(&section.name);
        if is_unused {
            let kind = FindingKind::Syntax(format!("[{}] belongs to no pipeline", section.name));
            findings.push(raw.place(section.line), kind, None);
        }
    }
    if pipelines.is_empty() && findings.is_empty() {
        findings.push(raw.place(1), FindingKind::MissingKey("[pipeline NAME]".to_owned()), None);
    }
    pipelines
}

fn resolve_pipeline(
    raw: &RawSettings,
    section: &RawSection,
    id: &str,
    used_stages: &mut BTreeSet<String>,
    findings: &mut Findings,
) -> Option<Pipeline> {
    let Some(entry) = section.entries.iter().find(|entry| entry.key == "stages") else {
        findings.push(raw.place(section.line), FindingKind::MissingKey("stages".to_owned()), None);
        return None;
    };
    let names: Vec<_> = entry.value.split(',').map(str::trim).filter(|name| !name.is_empty()).collect();
    let mut stages = Vec::new();
    for name in names {
        let section_name = format!("stage {id}/{name}");
        used_stages.insert(section_name.clone());
        match resolve_stage(raw, &section_name, name, findings) {
            Some(stage) => stages.push(stage),
            None => {
                let kind = FindingKind::MissingKey(format!("[{section_name}]"));
                findings.push(raw.place(entry.line), kind, None);
            }
        }
    }
    let raw_pipeline = RawPipeline { id: id.to_owned(), stages };
    match Pipeline::try_from(raw_pipeline) {
        Ok(pipeline) => Some(pipeline),
        Err(problems) => {
            for problem in problems.iter() {
                let kind = FindingKind::Syntax(format!("pipeline {id}: {} {}", problem.location, problem.kind));
                findings.push(raw.place(section.line), kind, None);
            }
            None
        }
    }
}

fn resolve_stage(raw: &RawSettings, section_name: &str, name: &str, findings: &mut Findings) -> Option<RawStage> {
    let mut reader = Reader::new(raw, section_name, STAGE_KEYS, findings);
    reader.section?;
    let kind: Option<StageKind> = reader.required("kind");
    let expected_ms: Option<u64> = reader.required("expected_ms");
    if expected_ms == Some(0)
        && let Some(entry) = reader.entry("expected_ms")
    {
        reader.bad(entry, "must be at least 1");
    }
    Some(RawStage {
        id: name.to_owned(),
        // A wrong value is reported above; a harmless one in its place keeps it from a second report.
        kind: kind.unwrap_or(StageKind::Service).to_string(),
        pool: reader.required("pool").unwrap_or_else(|| "unknown".to_owned()),
        model: reader.optional("model"),
        adapter: reader.optional("adapter"),
        is_repeatable: reader.required("repeatable").unwrap_or_default(),
        expected_ms: expected_ms.unwrap_or(1).max(1),
    })
}
