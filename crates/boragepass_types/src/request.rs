//! Requests of callers, before and after validation.

use std::sync::Arc;

use derive_more::Display;

use crate::{ContentDigest, Findings, IdempotencyKey, PipelineId, RequestId, SpanMs, WorkspaceId};

/// Input or output text of a stage; cheap to clone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
pub struct Payload(pub Arc<str>);

impl Payload {
    /// Creates a payload from `text`.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }
}

/// Request as a caller sends it, not yet validated.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RawRequest {
    /// Workspace name.
    pub workspace: String,
    /// Pipeline name.
    pub pipeline: String,
    /// Identifier that the caller gives the request.
    pub request_id: String,
    /// Input of the first stage.
    pub input: String,
    /// Deadline that the caller asks for; the plan's is the upper limit and the default.
    pub deadline_ms: Option<u64>,
    /// Key of a request that must not be repeated.
    pub idempotency_key: Option<String>,
    /// Whether the caller wants tokens as they are generated.
    pub is_streaming: bool,
}

/// Validated request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Workspace that sent the request.
    pub workspace: WorkspaceId,
    /// Pipeline to run.
    pub pipeline: PipelineId,
    /// Identifier that the caller gives the request.
    pub id: RequestId,
    /// Input of the first stage.
    pub input: Payload,
    /// Deadline that the caller asks for.
    pub deadline_ms: Option<SpanMs>,
    /// Key of a request that must not be repeated.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether the caller wants tokens as they are generated.
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
