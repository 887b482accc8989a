//! Outputs of the fake stages: a pure function of stage and input, so that a test detects a wrong or
//! misdelivered answer.

use boragepass_types::{Hash64, Pipeline, StageKind};

/// Output of a stage. It keeps the last word of the input, so that a word that crashes engines reaches
/// the later stages.
pub fn stage_output(kind: StageKind, stage: &str, input: &str, tokens: u32) -> String {
    match kind {
        StageKind::Generate => (0..tokens).map(|index| token(stage, input, index)).collect(),
        _ => {
            let last_word = input.rsplit(' ').next().unwrap_or_default();
            format!("{stage}:{} {last_word}", Hash64::of(format!("{stage}|{input}").as_bytes()))
        }
    }
}

/// Token number `index` of a generated text.
pub(crate) fn token(stage: &str, input: &str, index: u32) -> String {
    let hash = Hash64::of(format!("{stage}|{input}|{index}").as_bytes());
    format!("{:04x} ", hash.0 & 0xffff)
}

/// Answer of a whole pipeline to an input.
pub fn expected_answer(pipeline: &Pipeline, input: &str, tokens: u32) -> String {
    let initial_input = input.to_owned();
    pipeline
        .stages
        .iter()
        .fold(initial_input, |input, stage| stage_output(stage.kind, stage.id.as_str(), &input, tokens))
}
