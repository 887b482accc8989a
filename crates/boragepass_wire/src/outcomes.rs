//! Callers' requests and answers in JSON.

use boragepass_core::AddressAnswer;
use boragepass_types::{Findings, NotRunReason, Outcome, RawRequest, Request};
use serde::{Deserialize, Serialize};

use crate::lists::checked;
use crate::parse_object;

/// Request from a caller's JSON; every problem with its path.
pub fn request_from_json(bytes: &[u8]) -> Result<Request, Findings> {
    let mut object = parse_object(bytes)?;
    let raw = RawRequest {
        workspace: object.text("workspace"),
        pipeline: object.text("pipeline"),
        request_id: object.text("request_id"),
        input: object.text("input"),
        deadline_ms: object.optional_number("deadline_ms"),
        idempotency_key: object.optional_text("idempotency_key"),
        is_streaming: object.flag("stream"),
    };
    checked(object, raw)
}

/// Answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeJson {
    /// `answered`, `not_run`, `failed` or `unknown`.
    pub outcome: String,
    /// The answer, when there is one.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub output: Option<String>,
    /// Why there is none.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub reason: Option<String>,
    /// Stages that ran at least in part.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub ran: Vec<String>,
    /// When asking again can help.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
    /// Other addresses to use.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub addresses: Vec<String>,
    /// Problems of a malformed request.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub findings: Vec<String>,
}

impl OutcomeJson {
    /// Refusal of a malformed request.
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

/// Answer to a question for addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressesJson {
    /// Addresses in the order in which to use them.
    pub addresses: Vec<String>,
    /// How long they may be kept.
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
