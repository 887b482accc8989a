//! A caller's request, raw and checked.

use std::sync::Arc;

use derive_more::Display;

use crate::{ContentDigest, Findings, IdempotencyKey, PipelineId, RequestId, SpanMs, WorkspaceId};

/// Text that passes between stages; cheap to clone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
pub struct Payload(pub Arc<str>);

impl Payload {
    /// Payload with the given text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }
}

/// Request as it arrives from a caller.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RawRequest {
    /// Workspace name.
    pub workspace: String,
    /// Pipeline name.
    pub pipeline: String,
    /// Caller's name for the request.
    pub request_id: String,
    /// Input of the first stage.
    pub input: String,
    /// Deadline, never above the plan's.
    pub deadline_ms: Option<u64>,
    /// Name for a request that must not be repeated.
    pub idempotency_key: Option<String>,
    /// Whether tokens are wanted as they come.
    pub is_streaming: bool,
}

/// Checked request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Workspace that sent it.
    pub workspace: WorkspaceId,
    /// Pipeline to run.
    pub pipeline: PipelineId,
    /// Caller's name for the request.
    pub id: RequestId,
    /// Input of the first stage.
    pub input: Payload,
    /// Deadline the caller asked for.
    pub deadline_ms: Option<SpanMs>,
    /// Name for a request that must not be repeated.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether tokens are wanted as they come.
    pub is_streaming: bool,
    /// Digest of workspace, pipeline and input.
    pub digest: ContentDigest,
}

impl TryFrom<RawRequest> for Request {
    type Error = Findings;

    fn try_from(raw: RawRequest) -> Result<Self, Self::Error> {
        let mut findings = Findings::default();
        let workspace = raw.workspace.parse::<WorkspaceId>().map_err(|e| findings.add_bad_value("$.workspace", e));
        let pipeline = raw.pipeline.parse::<PipelineId>().map_err(|e| findings.add_bad_value("$.pipeline", e));
        let id = raw.request_id.parse::<RequestId>().map_err(|e| findings.add_bad_value("$.request_id", e));
        let key = raw.idempotency_key.map(|key| key.parse::<IdempotencyKey>()).transpose();
        let key = key.map_err(|e| findings.add_bad_value("$.idempotency_key", e));
        if raw.input.is_empty() {
            findings.add_bad_value("$.input", "must not be empty");
        }
        if raw.deadline_ms == Some(0) {
            findings.add_bad_value("$.deadline_ms", "must be at least 1");
        }
        match (workspace, pipeline, id, key) {
            (Ok(workspace), Ok(pipeline), Ok(id), Ok(idempotency_key)) => {
                let digest = ContentDigest::of(&workspace, &pipeline, &raw.input);
                findings.into_result(Self {
                    workspace,
                    pipeline,
                    id,
                    input: Payload::new(&raw.input),
                    deadline_ms: raw.deadline_ms.map(SpanMs),
                    idempotency_key,
                    is_streaming: raw.is_streaming,
                    digest,
                })
            }
            _ => Err(findings),
        }
    }
}
