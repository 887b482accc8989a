//! Allowlists: the models, adapters, stages and regions that a workspace's requests may use.
//!
//! Converting a [`RawAllowlist`] reports every invalid or repeated name at once.

use std::collections::BTreeSet;
use std::str::FromStr;

use crate::{AdapterId, Findings, ModelId, Pipeline, Region, StageId, WorkspaceId};

/// Allowlist as an operator sends it, not yet validated.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RawAllowlist {
    /// Workspace name.
    pub workspace: String,
    /// Model names.
    pub models: Vec<String>,
    /// Adapter names.
    pub adapters: Vec<String>,
    /// Stage names.
    pub stages: Vec<String>,
    /// Region names.
    pub regions: Vec<String>,
}

/// Validated allowlist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Allowlist {
    /// Workspace the list belongs to.
    pub workspace: WorkspaceId,
    /// Models its requests may use.
    pub models: BTreeSet<ModelId>,
    /// Adapters its requests may use.
    pub adapters: BTreeSet<AdapterId>,
    /// Stages its requests may use.
    pub stages: BTreeSet<StageId>,
    /// Regions whose endpoints may run its stages.
    pub regions: BTreeSet<Region>,
}

impl Allowlist {
    /// Returns kind and name of the first stage, model or adapter of `pipeline` that the list does not allow.
    pub fn first_missing(&self, pipeline: &Pipeline) -> Option<String> {
        pipeline.stages.iter().find_map(|stage| {
            if !self.stages.contains(&stage.id) {
                return Some(format!("stage {}", stage.id));
            }
            if let Some(model) = stage.model.as_ref().filter(|model| !self.models.contains(*model)) {
                return Some(format!("model {model}"));
            }
            let adapter = stage.adapter.as_ref().filter(|adapter| !self.adapters.contains(*adapter));
            adapter.map(|adapter| format!("adapter {adapter}"))
        })
    }
}

fn parse_set<T: FromStr<Err = crate::IdError> + Ord>(
    findings: &mut Findings,
    key: &str,
    items: &[String],
) -> BTreeSet<T> {
    let mut set = BTreeSet::new();
    for (index, item) in items.iter().enumerate() {
        match item.parse() {
            Ok(id) => {
                if !set.insert(id) {
                    findings.add_bad_value(&format!("$.{key}[{index}]"), format!("names {item:?} a second time"));
                }
            }
            Err(error) => findings.add_bad_value(&format!("$.{key}[{index}]"), error),
        }
    }
    set
}

impl TryFrom<RawAllowlist> for Allowlist {
    type Error = Findings;

    fn try_from(raw: RawAllowlist) -> Result<Self, Self::Error> {
        let mut findings = Findings::default();
        let models = parse_set(&mut findings, "models", &raw.models);
        let adapters = parse_set(&mut findings, "adapters", &raw.adapters);
        let stages = parse_set(&mut findings, "stages", &raw.stages);
        let regions = parse_set(&mut findings, "regions", &raw.regions);
        match raw.workspace.parse() {
            Ok(workspace) => findings.into_result(Self { workspace, models, adapters, stages, regions }),
            Err(error) => {
                findings.add_bad_value("$.workspace", error);
                Err(findings)
            }
        }
    }
}

fn to_strings<T: ToString>(set: &BTreeSet<T>) -> Vec<String> {
    set.iter().map(ToString::to_string).collect()
}

impl From<&Allowlist> for RawAllowlist {
    fn from(list: &Allowlist) -> Self {
        Self {
            workspace: list.workspace.to_string(),
            models: to_strings(&list.models),
            adapters: to_strings(&list.adapters),
            stages: to_strings(&list.stages),
            regions: to_strings(&list.regions),
        }
    }
}
