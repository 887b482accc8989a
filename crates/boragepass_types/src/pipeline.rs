//! Pipelines: three to six stages that a request passes through in order.
//!
//! At most one stage of a pipeline may be non-repeatable; a request with such a pipeline carries an
//! idempotency key.

use std::str::FromStr;

use derive_more::Display;

use crate::{AdapterId, Findings, ModelId, PipelineId, PoolId, SpanMs, StageId};

const STAGES_MIN: usize = 3;
const STAGES_MAX: usize = 6;

/// Kind of work that a stage does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub enum StageKind {
    /// Embeds text as vectors.
    #[display("encode")]
    Encode,
    /// Retrieves documents.
    #[display("retrieve")]
    Retrieve,
    /// Reorders documents by relevance.
    #[display("rerank")]
    Rerank,
    /// Generates tokens as a stream.
    #[display("generate")]
    Generate,
    /// Calls a plain service once.
    #[display("service")]
    Service,
}

impl FromStr for StageKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "encode" => Ok(Self::Encode),
            "retrieve" => Ok(Self::Retrieve),
            "rerank" => Ok(Self::Rerank),
            "generate" => Ok(Self::Generate),
            "service" => Ok(Self::Service),
            _ => Err(format!("must be encode, retrieve, rerank, generate or service, got {text:?}")),
        }
    }
}

/// Stage as written in the settings, not yet validated.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RawStage {
    /// Stage name.
    pub id: String,
    /// Kind of work.
    pub kind: String,
    /// Pool whose endpoints run the stage.
    pub pool: String,
    /// Model that the engine must have loaded.
    pub model: Option<String>,
    /// Adapter that the engine must have loaded.
    pub adapter: Option<String>,
    /// Whether the stage may run more than once for a request.
    pub is_repeatable: bool,
    /// Expected service time, used until one has been measured.
    pub expected_ms: u64,
}

/// Pipeline as written in the settings, not yet validated.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RawPipeline {
    /// Pipeline name.
    pub id: String,
    /// Stages in the order in which they run.
    pub stages: Vec<RawStage>,
}

/// Validated stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stage {
    /// Stage name.
    pub id: StageId,
    /// Kind of work.
    pub kind: StageKind,
    /// Pool whose endpoints run the stage.
    pub pool: PoolId,
    /// Model that the engine must have loaded.
    pub model: Option<ModelId>,
    /// Adapter that the engine must have loaded.
    pub adapter: Option<AdapterId>,
    /// Whether the stage may run more than once for a request.
    pub is_repeatable: bool,
    /// Expected service time, used until one has been measured.
    pub expected_ms: SpanMs,
}

/// Validated pipeline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pipeline {
    /// Pipeline name.
    pub id: PipelineId,
    /// Stages in the order in which they run.
    pub stages: Vec<Stage>,
}

impl Pipeline {
    /// Whether every stage may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.stages.iter().all(|stage| stage.is_repeatable)
    }
}

fn parse_or_add_finding<T: FromStr>(findings: &mut Findings, path: &str, text: &str) -> Option<T>
where
    T::Err: std::fmt::Display,
{
    match text.parse() {
        Ok(value) => Some(value),
        Err(error) => {
            findings.add_bad_value(path, error);
            None
        }
    }
}

fn parse_optional<T: FromStr>(findings: &mut Findings, path: &str, text: Option<&str>) -> Option<T>
where
    T::Err: std::fmt::Display,
{
    text.and_then(|text| parse_or_add_finding(findings, path, text))
}

fn check_stage(findings: &mut Findings, index: usize, raw: &RawStage) -> Option<Stage> {
    let path = |key: &str| format!("$.stages[{index}].{key}");
    let id = parse_or_add_finding(findings, &path("id"), &raw.id);
    let kind = parse_or_add_finding(findings, &path("kind"), &raw.kind);
    let pool = parse_or_add_finding(findings, &path("pool"), &raw.pool);
    let model = parse_optional(findings, &path("model"), raw.model.as_deref());
    let adapter = parse_optional(findings, &path("adapter"), raw.adapter.as_deref());
    if raw.expected_ms == 0 {
        findings.add_bad_value(&path("expected_ms"), "must be at least 1");
    }
    Some(Stage {
        id: id?,
        kind: kind?,
        pool: pool?,
        model,
        adapter,
        is_repeatable: raw.is_repeatable,
        expected_ms: SpanMs(raw.expected_ms),
    })
}

impl TryFrom<RawPipeline> for Pipeline {
    type Error = Findings;

    fn try_from(raw: RawPipeline) -> Result<Self, Self::Error> {
        let mut findings = Findings::default();
        let count = raw.stages.len();
        if !(STAGES_MIN..=STAGES_MAX).contains(&count) {
            findings.add_bad_value("$.stages", format!("must hold {STAGES_MIN} to {STAGES_MAX} stages, got {count}"));
        }
        let id = parse_or_add_finding(&mut findings, "$.id", &raw.id);
        let stages: Vec<_> = raw
            .stages
            .iter()
            .enumerate()
            .filter_map(|(index, stage)| check_stage(&mut findings, index, stage))
            .collect();
        let non_repeatable_count = stages.iter().filter(|stage| !stage.is_repeatable).count();
        if non_repeatable_count > 1 {
            findings.add_bad_value("$.stages", "must hold at most one stage that is not repeatable");
        }
        match id {
            Some(id) => findings.into_result(Self { id, stages }),
            None => Err(findings),
        }
    }
}
