//! How a command ends.

use std::process::ExitCode;

/// Exit status of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// It did what it was asked to.
    Done,
    /// It was refused or failed.
    Refused,
    /// Its input is wrong.
    BadInput,
    /// The VM cannot be reached.
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
