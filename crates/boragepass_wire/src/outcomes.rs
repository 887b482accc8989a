//! Requests of callers and the answers to them, in JSON.

use boragepass_core::AddressAnswer;
use boragepass_types::{Findings, NotRunReason, Outcome, RawRequest, Request};
use serde::{Deserialize, Serialize};

use crate::lists::check_raw;
use crate::parse_object;

/// Parses a request from a caller's JSON; reports every problem with its path.
pub fn request_from_json(bytes: &[u8]) -> Result<Request, Findings> {
    let mut object = parse_object(bytes)?;
    let raw = RawRequest {
        workspace: object.text("workspace"),
        pipeline: object.text("pipeline"),
        request_id: object.text("request_id"),
        input: object.text("input"),
        deadline_ms: object.optional_number("deadline_ms"),
        idempotency_key: object.optional_text("idempotency_key"),
        is_streaming: object.optional_flag("stream"),
    };
    check_raw(object, raw)
}

/// Answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeJson {
    /// `answered`, `not_run`, `failed` or `unknown`.
    pub outcome: String,
    /// Output of the last stage, if the request was answered.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub output: Option<String>,
    /// Why the request was not answered.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub reason: Option<String>,
    /// Stages that ran, or may have run, at least in part.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub ran: Vec<String>,
    /// Time after which a retry may succeed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
    /// Addresses of other entry VMs to try.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub addresses: Vec<String>,
    /// Problems of a malformed request.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub findings: Vec<String>,
}

impl OutcomeJson {
    /// Creates the refusal of a malformed request.
    pub fn malformed(findings: Vec<String>) -> Self {
        let reason = Some(NotRunReason::Malformed.to_string());
        Self { reason, findings, ..Self::empty("not_run") }
    }

    fn empty(outcome: &str) -> Self {
        Self {
            outcome: outcome.to_owned(),
            output: None,
            reason: None,
            ran: Vec::new(),
            retry_after_ms: None,
            addresses: Vec::new(),
            findings: Vec::new(),
        }
    }
}

impl From<&Outcome> for OutcomeJson {
    fn from(outcome: &Outcome) -> Self {
        let empty = Self::empty(&outcome.kind().to_string());
        match outcome {
            Outcome::Answered { output } => Self { output: Some(output.to_string()), ..empty },
            Outcome::NotRun { reason, retry_after_ms } => {
                Self { reason: Some(reason.to_string()), retry_after_ms: retry_after_ms.map(|span| span.0), ..empty }
            }
            Outcome::Failed { executed_stages, cause } => Self {
                reason: Some(cause.to_string()),
                ran: executed_stages.iter().map(ToString::to_string).collect(),
                ..empty
            },
            Outcome::Unknown { stage, retry_after_ms } => Self {
                reason: Some(format!("stage {stage} was sent and its reply has not come")),
                ran: vec![stage.to_string()],
                retry_after_ms: retry_after_ms.map(|span| span.0),
                ..empty
            },
        }
    }
}

/// Answer to a query for entry addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressesJson {
    /// Addresses in the order in which the caller should try them.
    pub addresses: Vec<String>,
    /// How long the caller may cache the answer.
    pub valid_ms: u64,
}

impl From<&AddressAnswer> for AddressesJson {
    fn from(answer: &AddressAnswer) -> Self {
        Self {
            addresses: answer.addresses.iter().map(|entry| entry.address.to_string()).collect(),
            valid_ms: answer.valid_ms.0,
        }
    }
}
