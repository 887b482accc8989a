//! Arguments of the command line; the doc comments of the fields are the help texts.

use std::net::SocketAddr;

use gumdrop::Options;

/// Output format of replies.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    /// Text for people.
    #[default]
    Text,
    /// JSON as the VM sent it, or the computed report.
    Json,
}

impl std::str::FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("must be text or json, got {text:?}")),
        }
    }
}

/// Operates boragepass.
#[derive(Debug, Options)]
pub struct Arguments {
    /// print this help
    pub(crate) help: bool,
    /// operator address of any VM, IP and port
    #[options(meta = "ADDRESS")]
    pub(crate) address: Option<SocketAddr>,
    /// file with the operators' key; BORAGEPASS_OPERATOR_KEY if not given
    #[options(meta = "FILE")]
    pub(crate) key_file: Option<String>,
    /// output format: text or json
    #[options(meta = "FORMAT")]
    pub(crate) format: Format,
    /// command to run
    #[options(command)]
    pub(crate) command: Option<Command>,
}

#[derive(Debug, Options)]
pub(crate) enum Command {
    /// check settings or print their reference
    Settings(SettingsArguments),
    /// list, show, set or remove the plans of workspaces
    Plan(ListArguments),
    /// list, show, set or remove the allowlists of workspaces
    Allow(ListArguments),
    /// VMs, endpoints, list versions and the VMs that are waited for
    Status(NoArguments),
    /// error-budget burn rate by workspace and pipeline
    Burn(BurnArguments),
    /// cost and cross-region bytes by workspace and stage
    Cost(NoArguments),
    /// decisions that were made for one request
    Explain(ExplainArguments),
    /// list or clear content that crashed endpoints
    Quarantine(QuarantineArguments),
    /// salted hash of a caller's key, which is read from standard input
    KeyHash(KeyHashArguments),
}

#[derive(Debug, Options)]
pub(crate) struct NoArguments {
    /// print this help
    pub(crate) help: bool,
}

#[derive(Debug, Options)]
pub(crate) struct SettingsArguments {
    /// print this help
    pub(crate) help: bool,
    /// `check FILE` or `reference`
    #[options(free)]
    pub(crate) words: Vec<String>,
}

#[derive(Debug, Options)]
pub(crate) struct ListArguments {
    /// print this help
    pub(crate) help: bool,
    /// refuse the change unless this version of the lists is in force
    #[options(meta = "N")]
    pub(crate) expect_version: Option<u64>,
    /// `list`, `show WORKSPACE`, `set FILE` (`-` reads standard input) or `remove WORKSPACE`
    #[options(free)]
    pub(crate) words: Vec<String>,
}

#[derive(Debug, Options)]
pub(crate) struct BurnArguments {
    /// print this help
    pub(crate) help: bool,
    /// also write an HTML page with plots to a file
    #[options(meta = "FILE")]
    pub(crate) html: Option<String>,
}

#[derive(Debug, Options)]
pub(crate) struct ExplainArguments {
    /// print this help
    pub(crate) help: bool,
    /// request id
    #[options(free, required)]
    pub(crate) request: String,
}

#[derive(Debug, Options)]
pub(crate) struct QuarantineArguments {
    /// print this help
    pub(crate) help: bool,
    /// `list`, `clear` or `clear DIGEST`
    #[options(free)]
    pub(crate) words: Vec<String>,
}

#[derive(Debug, Options)]
pub(crate) struct KeyHashArguments {
    /// print this help
    pub(crate) help: bool,
    /// salt from the plan (key_salt)
    #[options(required, meta = "TEXT")]
    pub(crate) salt: String,
}
