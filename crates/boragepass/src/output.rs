//! What a command prints.

use crate::ExitStatus;

/// Result of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Output {
    /// For standard output.
    pub text: String,
    /// For standard error.
    pub problems: String,
    /// Exit status.
    pub status: ExitStatus,
}

impl Output {
    /// Result of a command that did what it was asked to.
    pub(crate) fn done(text: impl Into<String>) -> Self {
        Self { text: text.into(), problems: String::new(), status: ExitStatus::Done }
    }

    /// Result of a command that failed.
    pub(crate) fn problem(status: ExitStatus, problems: impl Into<String>) -> Self {
        Self { text: String::new(), problems: problems.into(), status }
    }

    /// Result of a command with wrong input.
    pub(crate) fn bad_input(problems: impl Into<String>) -> Self {
        Self::problem(ExitStatus::BadInput, problems)
    }
}
