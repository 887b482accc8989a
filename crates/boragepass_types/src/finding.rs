//! Problems in external input, collected with their locations and reported together.

use derive_more::Display;

/// Largest edit distance at which a known key is suggested for an unknown one.
const SUGGESTION_EDITS_MAX: usize = 3;

/// Location of a problem in the input.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Location {
    /// Line of a file.
    #[display("{path}:{line}")]
    Line {
        /// Path of the file as the user gave it.
        path: String,
        /// Line number, starting at 1.
        line: usize,
    },
    /// Path inside a JSON document, `$` for its root.
    #[display("{_0}")]
    Json(String),
}

/// What is wrong; the comment of a variant is its message.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum FindingKind {
    /// {0}
    Syntax(String),
    /// unknown key {0:?}
    UnknownKey(String),
    /// key {0:?} is missing
    MissingKey(String),
    /// {key} {problem}
    BadValue {
        /// Key whose value is wrong.
        key: String,
        /// Rest of the sentence that starts with the key, such as `must be at least 1`.
        problem: String,
    },
    /// key {0:?} appears twice
    DuplicateKey(String),
}

/// One problem with its location and, where one is known, a fix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Where the problem is.
    pub location: Location,
    /// What is wrong.
    pub kind: FindingKind,
    /// Suggested correction.
    pub fix: Option<String>,
}

impl std::fmt::Display for Finding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.location, self.kind)?;
        match &self.fix {
            Some(fix) => write!(f, " ({fix})"),
            None => Ok(()),
        }
    }
}

/// All problems of one document, in the order in which they were found.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Adds a problem.
    pub fn push(&mut self, location: Location, kind: FindingKind, fix: Option<String>) {
        self.0.push(Finding { location, kind, fix });
    }

    /// Adds a bad value at a JSON path; the message names the last component of the path.
    pub fn add_bad_value(&mut self, path: &str, problem: impl ToString) {
        let key = path.rsplit('.').next().unwrap_or(path).to_owned();
        let kind = FindingKind::BadValue { key, problem: problem.to_string() };
        self.push(Location::Json(path.to_owned()), kind, None);
    }

    /// Adds all problems of `other`.
    pub fn append(&mut self, mut other: Self) {
        self.0.append(&mut other.0);
    }

    /// Unknown keys and sections among the problems.
    pub fn unknown_keys(&self) -> impl Iterator<Item = &str> {
        self.0.iter().filter_map(|finding| match &finding.kind {
            FindingKind::UnknownKey(key) => Some(key.as_str()),
            _ => None,
        })
    }

    /// Iterates over the problems.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// Whether there are no problems.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns `value` if there are no problems, otherwise the problems.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl std::fmt::Display for Findings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines: Vec<_> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Findings {}

/// Suggests the known key with the smallest edit distance to `key`, if it is small enough for a typo.
pub fn suggest_key(key: &str, known: &[&str]) -> Option<String> {
    known
        .iter()
        .map(|candidate| (strsim::damerau_levenshtein(key, candidate), candidate))
        .filter(|(distance, _)| *distance <= SUGGESTION_EDITS_MAX)
        .min()
        .map(|(_, candidate)| format!("did you mean {candidate:?}?"))
}
