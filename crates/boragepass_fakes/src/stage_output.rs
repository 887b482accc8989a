//! What stages give: a pure function of stage and input, so that a caller can tell a wrong answer.

use boragepass_types::{Hash64, Pipeline, StageKind};

/// Output of a stage. The last word of the input is kept, so that a harmful one reaches later stages.
pub fn stage_output(kind: StageKind, stage: &str, input: &str, tokens: u32) -> String {
    match kind {
        StageKind::Generate => (0..tokens).map(|index| token(stage, input, index)).collect(),
        _ => {
            let last_word = input.rsplit(' ').next().unwrap_or_default();
            format!("{stage}:{} {last_word}", Hash64::of(format!("{stage}|{input}").as_bytes()))
        }
    }
}

/// One token of a generated text.
pub(crate) fn token(stage: &str, input: &str, index: u32) -> String {
    let hash = Hash64::of(format!("{stage}|{input}|{index}").as_bytes());
    format!("{:04x} ", hash.0 & 0xffff)
}

/// Answer that a whole pipeline gives.
pub fn expected_answer(pipeline: &Pipeline, input: &str, tokens: u32) -> String {
    let first = input.to_owned();
    pipeline.stages.iter().fold(first, |input, stage| stage_output(stage.kind, stage.id.as_str(), &input, tokens))
}
