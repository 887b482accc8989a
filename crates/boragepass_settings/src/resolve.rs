//! Resolves parsed sections into checked settings of `boragepassd`.
//!
//! A problem does not end the check: it becomes a finding, and the rest is checked as well.

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
const ACCESS_KEY_LEN_MIN: usize = 8;

/// Reads typed values from one section and collects findings about them.
pub(crate) struct SectionReader<'a> {
    raw: &'a RawSettings,
    /// The section, if the file has it.
    section: Option<&'a RawSection>,
    section_name: &'a str,
    findings: &'a mut Findings,
}

impl<'a> SectionReader<'a> {
    /// Opens a section and reports its unknown and repeated keys.
    pub(crate) fn new(
        raw: &'a RawSettings,
        section_name: &'a str,
        known_keys: &[&str],
        findings: &'a mut Findings,
    ) -> Self {
        let section = raw.sections.iter().find(|section| section.name == section_name);
        if let Some(section) = section {
            check_keys(raw, section, known_keys, findings);
        }
        Self { raw, section, section_name, findings }
    }

    fn entry(&self, key: &str) -> Option<&'a RawEntry> {
        self.section?.entries.iter().find(|entry| entry.key == key)
    }

    /// Location of the section, or the first line if the file lacks it.
    fn section_location(&self) -> Location {
        self.raw.location(self.section.map_or(1, |section| section.line))
    }

    fn push_bad_value(&mut self, entry: &RawEntry, problem: impl ToString) {
        let kind = FindingKind::BadValue { key: entry.key.clone(), problem: problem.to_string() };
        self.findings.push(self.raw.location(entry.line), kind, None);
    }

    /// Value of a key; `None` if the key is missing or, with a finding, if the value is invalid.
    pub(crate) fn optional<T: FromStr>(&mut self, key: &str) -> Option<T>
    where
        T::Err: std::fmt::Display,
    {
        let entry = self.entry(key)?;
        match entry.value.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.push_bad_value(entry, format!("{error}, got {:?}", entry.value));
                None
            }
        }
    }

    /// Value of a key; `None`, with a finding, if the key is missing or the value is invalid.
    pub(crate) fn required<T: FromStr>(&mut self, key: &str) -> Option<T>
    where
        T::Err: std::fmt::Display,
    {
        if self.entry(key).is_none() {
            let location = self.section_location();
            self.findings.push(location, FindingKind::MissingKey(format!("{}.{key}", self.section_name)), None);
            return None;
        }
        self.optional(key)
    }

    /// Value of a required key that holds an access key.
    pub(crate) fn access_key(&mut self, key: &str) -> Option<AccessKey> {
        let text: String = self.required(key)?;
        if text.len() < ACCESS_KEY_LEN_MIN {
            let entry = self.entry(key)?;
            self.push_bad_value(entry, format!("must have at least {ACCESS_KEY_LEN_MIN} characters"));
            return None;
        }
        Some(AccessKey::new(&text))
    }

    /// Sets the fields of `target` whose keys are in the section; the others keep their defaults.
    fn set_limits<T>(&mut self, target: &mut T, keys: &[LimitKey<T>]) {
        for key in keys {
            let Some(entry) = self.entry(key.name) else {
                continue;
            };
            match entry.value.parse::<u64>() {
                Ok(value) if (key.min..=key.max).contains(&value) => (key.set)(target, value),
                Ok(value) => {
                    self.push_bad_value(entry, format!("must be from {} to {}, got {value}", key.min, key.max))
                }
                Err(_) => self.push_bad_value(entry, format!("must be a whole number, got {:?}", entry.value)),
            }
        }
    }
}

fn check_keys(raw: &RawSettings, section: &RawSection, known_keys: &[&str], findings: &mut Findings) {
    let mut seen_keys = BTreeSet::new();
    for entry in &section.entries {
        let location = raw.location(entry.line);
        if !known_keys.contains(&entry.key.as_str()) {
            let fix = suggest_key(&entry.key, known_keys);
            findings.push(location, FindingKind::UnknownKey(entry.key.clone()), fix);
        } else if !seen_keys.insert(&entry.key) {
            findings.push(location, FindingKind::DuplicateKey(entry.key.clone()), None);
        }
    }
}

fn check_sections(raw: &RawSettings, findings: &mut Findings) {
    for section in &raw.sections {
        // The sections of pipelines and stages carry an id: `[pipeline ID]`.
        let section_kind = section.name.split_whitespace().next().unwrap_or_default();
        if !SECTIONS.contains(&section_kind) {
            let fix = suggest_key(section_kind, SECTIONS);
            let kind = FindingKind::UnknownKey(format!("[{}]", section.name));
            findings.push(raw.location(section.line), kind, fix);
        }
    }
}

fn key_names<T>(keys: &[LimitKey<T>]) -> Vec<&'static str> {
    keys.iter().map(|key| key.name).collect()
}

/// Resolves and checks parsed settings.
pub(crate) fn resolve(raw: &RawSettings) -> Result<Settings, Findings> {
    let mut findings = Findings::default();
    check_sections(raw, &mut findings);
    let mut node = SectionReader::new(raw, "node", &["vm", "region", "failure_domain"], &mut findings);
    let (vm, region, failure_domain) = (node.required("vm"), node.required("region"), node.required("failure_domain"));
    let mut listen = SectionReader::new(raw, "listen", &["callers", "operators", "peers"], &mut findings);
    let (caller_address, operator_address) = (listen.required("callers"), listen.required("operators"));
    let peer_address = listen.required("peers");
    let mut platform = SectionReader::new(raw, "platform", &["table", "objects", "vm_list"], &mut findings);
    let (table_address, object_store_address) = (platform.required("table"), platform.required("objects"));
    let vm_list_address = platform.required("vm_list");
    let mut keys = SectionReader::new(raw, "keys", &["operator", "peer"], &mut findings);
    let (operator_key, peer_key) = (keys.access_key("operator"), keys.access_key("peer"));
    let metrics_address = SectionReader::new(raw, "metrics", &["address"], &mut findings).optional("address");
    let mut limits = Limits::default();
    SectionReader::new(raw, "limits", &key_names(LIMITS), &mut findings).set_limits(&mut limits, LIMITS);
    let mut http = HttpLimits::default();
    SectionReader::new(raw, "http", &key_names(HTTP), &mut findings).set_limits(&mut http, HTTP);
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
            caller_address: caller_address?,
            operator_address: operator_address?,
            peer_address: peer_address?,
            table_address: table_address?,
            object_store_address: object_store_address?,
            vm_list_address: vm_list_address?,
            operator_key: operator_key?,
            peer_key: peer_key?,
            metrics_address,
            http,
            limits,
            pipelines,
        })
    };
    settings().ok_or(findings)
}

/// Checks limits that depend on each other: a single late heartbeat must not make a VM dead, and this VM
/// must not count as isolated before silent VMs count as dead.
fn check_timing(raw: &RawSettings, limits: &Limits, findings: &mut Findings) {
    let line_of = |key: &str| {
        let section = raw.sections.iter().find(|section| section.name == "limits");
        let entries = section.map_or(&[][..], |section| &section.entries);
        entries.iter().find(|entry| entry.key == key).map_or(1, |entry| entry.line)
    };
    let longest_heartbeat_ms = limits.heartbeat_ms.max(limits.relay_heartbeat_ms);
    if limits.member_timeout_ms.0 < 2 * longest_heartbeat_ms.0 {
        let problem = format!("must be at least two heartbeats, {} ms", 2 * longest_heartbeat_ms.0);
        let kind = FindingKind::BadValue { key: "member_timeout_ms".to_owned(), problem };
        findings.push(raw.location(line_of("member_timeout_ms")), kind, None);
    }
    if limits.isolation_limit_ms < limits.member_timeout_ms {
        let problem = format!("must be at least member_timeout_ms, {}", limits.member_timeout_ms);
        let kind = FindingKind::BadValue { key: "isolation_limit_ms".to_owned(), problem };
        findings.push(raw.location(line_of("isolation_limit_ms")), kind, None);
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
            findings.push(raw.location(section.line), kind, None);
        }
    }
    if pipelines.is_empty() && findings.is_empty() {
        findings.push(raw.location(1), FindingKind::MissingKey("[pipeline NAME]".to_owned()), None);
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
        findings.push(raw.location(section.line), FindingKind::MissingKey("stages".to_owned()), None);
        return None;
    };
    let stage_names: Vec<_> = entry.value.split(',').map(str::trim).filter(|name| !name.is_empty()).collect();
    let mut stages = Vec::new();
    for name in stage_names {
        let section_name = format!("stage {id}/{name}");
        used_stages.insert(section_name.clone());
        match resolve_stage(raw, &section_name, name, findings) {
            Some(stage) => stages.push(stage),
            None => {
                let kind = FindingKind::MissingKey(format!("[{section_name}]"));
                findings.push(raw.location(entry.line), kind, None);
            }
        }
    }
    let raw_pipeline = RawPipeline { id: id.to_owned(), stages };
    match Pipeline::try_from(raw_pipeline) {
        Ok(pipeline) => Some(pipeline),
        Err(problems) => {
            for problem in problems.iter() {
                let kind = FindingKind::Syntax(format!("pipeline {id}: {} {}", problem.location, problem.kind));
                findings.push(raw.location(section.line), kind, None);
            }
            None
        }
    }
}

fn resolve_stage(raw: &RawSettings, section_name: &str, name: &str, findings: &mut Findings) -> Option<RawStage> {
    let mut reader = SectionReader::new(raw, section_name, STAGE_KEYS, findings);
    reader.section?;
    let kind: Option<StageKind> = reader.required("kind");
    let expected_ms: Option<u64> = reader.required("expected_ms");
    if expected_ms == Some(0)
        && let Some(entry) = reader.entry("expected_ms")
    {
        reader.push_bad_value(entry, "must be at least 1");
    }
    Some(RawStage {
        id: name.to_owned(),
        // An invalid value already has its finding; a valid one in its place prevents a second finding.
        kind: kind.unwrap_or(StageKind::Service).to_string(),
        pool: reader.required("pool").unwrap_or_else(|| "unknown".to_owned()),
        model: reader.optional("model"),
        adapter: reader.optional("adapter"),
        is_repeatable: reader.required("repeatable").unwrap_or_default(),
        expected_ms: expected_ms.unwrap_or(1).max(1),
    })
}
