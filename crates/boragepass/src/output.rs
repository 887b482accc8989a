//! Output of a command.

use crate::ExitStatus;

/// Texts that a command prints, and its exit status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Output {
    /// Text for standard output.
    pub text: String,
    /// Text for standard error.
    pub problems: String,
    /// Exit status.
    pub status: ExitStatus,
}

impl Output {
    /// Output of a command that succeeded.
    pub(crate) fn done(text: impl Into<String>) -> Self {
        Self { text: text.into(), problems: String::new(), status: ExitStatus::Done }
    }

    /// Output of a command that failed.
    pub(crate) fn problem(status: ExitStatus, problems: impl Into<String>) -> Self {
        Self { text: String::new(), problems: problems.into(), status }
    }

    /// Output of a command with invalid input or arguments.
    pub(crate) fn bad_input(problems: impl Into<String>) -> Self {
        Self::problem(ExitStatus::BadInput, problems)
    }
}
