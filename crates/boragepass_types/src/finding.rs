//! Problems in outside input, collected with their place and reported together.

use derive_more::Display;

const MAX_SUGGESTION_DISTANCE: usize = 3;

/// Where a problem stands.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Location {
    /// Line of a file, counted from one.
    #[display("{path}:{line}")]
    Line {
        /// File as the user named it.
        path: String,
        /// Line, counted from one.
        line: usize,
    },
    /// Path inside a JSON document, `$` for its root.
    #[display("{_0}")]
    Json(String),
}

/// Kind of a problem.
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
        /// What the value must be.
        problem: String,
    },
    /// key {0:?} appears twice
    DuplicateKey(String),
}

/// One problem with its place and, where one is known, a fix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Where it stands.
    pub location: Location,
    /// What is wrong.
    pub kind: FindingKind,
    /// What would mend it.
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

/// All problems of one document.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Adds a problem.
    pub fn push(&mut self, location: Location, kind: FindingKind, fix: Option<String>) {
        self.0.push(Finding { location, kind, fix });
    }

    /// Adds a wrong value at a JSON path.
    pub fn add_bad_value(&mut self, path: &str, problem: impl ToString) {
        let key = path.rsplit('.').next().unwrap_or(path).to_owned();
        let kind = FindingKind::BadValue { key, problem: problem.to_string() };
        self.push(Location::Json(path.to_owned()), kind, None);
    }

    /// Adds all problems of `other`.
    pub fn append(&mut self, mut other: Self) {
        self.0.append(&mut other.0);
    }

    /// Problems in the order in which they were found.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// `value` when there are no problems.
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

/// Known key that is nearest to `key`, if one is near enough to be a slip.
pub fn suggest_key(key: &str, known: &[&str]) -> Option<String> {
    known
        .iter()
        .map(|candidate| (strsim::damerau_levenshtein(key, candidate), candidate))
        .filter(|(distance, _)| *distance <= MAX_SUGGESTION_DISTANCE)
        .min()
        .map(|(_, candidate)| format!("did you mean {candidate:?}?"))
}
