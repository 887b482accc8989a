//! Exit status of a command.

use std::process::ExitCode;

/// Result of a command, as its exit code tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded (0).
    Done,
    /// The VM refused the command, or it failed (1).
    Refused,
    /// The input or the arguments are invalid (2).
    BadInput,
    /// The VM cannot be reached, or its reply cannot be parsed (3).
    Unreachable,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Done => Self::from(0),
            ExitStatus::Refused => Self::from(1),
            ExitStatus::BadInput => Self::from(2),
            ExitStatus::Unreachable => Self::from(3),
        }
    }
}
