//! Parses INI text into sections and entries with their line numbers, which the INI library drops.

use boragepass_types::{FindingKind, Findings, Location};
use ini::{Ini, ParseOption};

/// Key and value, with the line on which they stand.
#[derive(Debug, Clone)]
pub(crate) struct RawEntry {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) line: usize,
}

/// Section, with the line of its header.
#[derive(Debug, Clone)]
pub(crate) struct RawSection {
    pub(crate) name: String,
    pub(crate) line: usize,
    pub(crate) entries: Vec<RawEntry>,
}

/// Parsed file.
#[derive(Debug, Clone)]
pub(crate) struct RawSettings {
    pub(crate) path: String,
    pub(crate) sections: Vec<RawSection>,
}

/// Line numbers of sections and keys, found by a scan of the text.
#[derive(Debug, Default)]
struct LineIndex {
    /// Name and line of each section.
    sections: Vec<(String, usize)>,
    /// Section, name and line of each key.
    keys: Vec<(String, String, usize)>,
}

impl LineIndex {
    fn from_text(text: &str) -> Self {
        let mut lines = Self::default();
        let mut section = String::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.split(']').next()) {
                section = name.trim().to_owned();
                lines.sections.push((section.clone(), index + 1));
            } else if !line.starts_with([';', '#'])
                && let Some((key, _)) = line.split_once('=')
            {
                lines.keys.push((section.clone(), key.trim().to_owned(), index + 1));
            }
        }
        lines
    }

    /// Line of a section, or the first line if the section is not in the text.
    fn section_line(&self, name: &str) -> usize {
        self.sections.iter().find(|(other, _)| other == name).map_or(1, |(_, line)| *line)
    }

    /// Removes and returns the first remaining line of a key, so that repeated keys get their own lines.
    fn take_key_line(&mut self, section: &str, key: &str) -> Option<usize> {
        let index = self.keys.iter().position(|(in_section, name, _)| in_section == section && name == key)?;
        Some(self.keys.remove(index).2)
    }
}

/// Finds lines that are neither a section, an entry nor a comment.
fn find_malformed_lines(path: &str, text: &str) -> Findings {
    let mut findings = Findings::default();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        let is_well_formed = line.is_empty() || line.starts_with([';', '#', '[']) || line.contains('=');
        if !is_well_formed {
            let location = Location::Line { path: path.to_owned(), line: index + 1 };
            let problem = format!("{line:?} is neither `[section]`, `key = value` nor a comment");
            findings.push(location, FindingKind::Syntax(problem), None);
        }
    }
    findings
}

impl RawSettings {
    /// Parses INI text.
    pub(crate) fn parse(path: &str, text: &str) -> Result<Self, Findings> {
        let mut lines = LineIndex::from_text(text);
        let malformed_lines = find_malformed_lines(path, text);
        if !malformed_lines.is_empty() {
            return Err(malformed_lines);
        }
        let parse_option = ParseOption { enabled_quote: true, enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, parse_option).map_err(|error| {
            let mut findings = Findings::default();
            let line = (error.line + 1).min(text.lines().count().max(1));
            let problem =
                if error.msg.contains('"') { "a quote is not closed".to_owned() } else { error.msg.to_string() };
            findings.push(Location::Line { path: path.to_owned(), line }, FindingKind::Syntax(problem), None);
            findings
        })?;
        let mut sections: Vec<RawSection> = Vec::new();
        for (name, properties) in ini.iter() {
            let name = name.unwrap_or_default().trim().to_owned();
            if name.is_empty() && properties.is_empty() {
                continue;
            }
            let line = lines.section_line(&name);
            let entries = properties.iter().map(|(key, value)| RawEntry {
                key: key.to_owned(),
                value: value.trim().to_owned(),
                line: lines.take_key_line(&name, key).unwrap_or(line),
            });
            let entries: Vec<_> = entries.collect();
            sections.push(RawSection { name, line, entries });
        }
        Ok(Self { path: path.to_owned(), sections })
    }

    /// Location of a finding on a line of this file.
    pub(crate) fn location(&self, line: usize) -> Location {
        Location::Line { path: self.path.clone(), line }
    }
}
