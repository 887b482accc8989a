//! Pipelines: three to six stages that one request passes in order.

use std::str::FromStr;

use derive_more::Display;

use crate::{AdapterId, Findings, ModelId, PipelineId, PoolId, SpanMs, StageId};

const MIN_STAGES: usize = 3;
const MAX_STAGES: usize = 6;

/// Kind of work a stage does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub enum StageKind {
    /// Turns text into vectors.
    #[display("encode")]
    Encode,
    /// Finds documents.
    #[display("retrieve")]
    Retrieve,
    /// Orders documents.
    #[display("rerank")]
    Rerank,
    /// Generates tokens as a stream.
    #[display("generate")]
    Generate,
    /// Plain service with one call.
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

/// Stage as written in the configuration.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RawStage {
    /// Stage name.
    pub id: String,
    /// Kind of work.
    pub kind: String,
    /// Pool whose endpoints run it.
    pub pool: String,
    /// Model the engine must hold.
    pub model: Option<String>,
    /// Adapter the engine must hold.
    pub adapter: Option<String>,
    /// Whether a second run does no harm.
    pub is_repeatable: bool,
    /// Usual service time, used until one has been observed.
    pub expected_ms: u64,
}

/// Pipeline as written in the configuration.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RawPipeline {
    /// Pipeline name.
    pub id: String,
    /// Stages in order.
    pub stages: Vec<RawStage>,
}

/// Checked stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stage {
    /// Stage name.
    pub id: StageId,
    /// Kind of work.
    pub kind: StageKind,
    /// Pool whose endpoints run it.
    pub pool: PoolId,
    /// Model the engine must hold.
    pub model: Option<ModelId>,
    /// Adapter the engine must hold.
    pub adapter: Option<AdapterId>,
    /// Whether a second run does no harm.
    pub is_repeatable: bool,
    /// Usual service time, used until one has been observed.
    pub expected_ms: SpanMs,
}

/// Checked pipeline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pipeline {
    /// Pipeline name.
    pub id: PipelineId,
    /// Stages in order.
    pub stages: Vec<Stage>,
}

impl Pipeline {
    /// Whether every stage may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.stages.iter().all(|stage| stage.is_repeatable)
    }
}

fn parsed<T: FromStr>(findings: &mut Findings, path: &str, text: &str) -> Option<T>
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

fn parsed_option<T: FromStr>(findings: &mut Findings, path: &str, text: Option<&str>) -> Option<T>
where
    T::Err: std::fmt::Display,
{
    text.and_then(|text| parsed(findings, path, text))
}

fn check_stage(findings: &mut Findings, index: usize, raw: &RawStage) -> Option<Stage> {
    let path = |key: &str| format!("$.stages[{index}].{key}");
    let id = parsed(findings, &path("id"), &raw.id);
    let kind = parsed(findings, &path("kind"), &raw.kind);
    let pool = parsed(findings, &path("pool"), &raw.pool);
    let model = parsed_option(findings, &path("model"), raw.model.as_deref());
    let adapter = parsed_option(findings, &path("adapter"), raw.adapter.as_deref());
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
        if !(MIN_STAGES..=MAX_STAGES).contains(&count) {
            findings.add_bad_value("$.stages", format!("must hold {MIN_STAGES} to {MAX_STAGES} stages, got {count}"));
        }
        let id = parsed(&mut findings, "$.id", &raw.id);
        let stages: Vec<_> = raw
            .stages
            .iter()
            .enumerate()
            .filter_map(|(index, stage)| check_stage(&mut findings, index, stage))
            .collect();
        let unrepeatable = stages.iter().filter(|stage| !stage.is_repeatable).count();
        if unrepeatable > 1 {
            findings.add_bad_value("$.stages", "must hold at most one stage that is not repeatable");
        }
        match id {
            Some(id) => findings.into_result(Self { id, stages }),
            None => Err(findings),
        }
    }
}
