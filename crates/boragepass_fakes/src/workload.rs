//! Two workloads with plans and allowlists: contract reviews of the workspace `gigdesk`, and pickup
//! bookings of the workspace `lampu-lestari`, whose payout stage must not run twice.

use std::collections::BTreeSet;
use std::str::FromStr;
use std::sync::Arc;

use boragepass_types::{
    AccessKey, Allowlist, KeyHash, KeySalt, Permille, Pipeline, Plan, Priority, RatePerS, RawPipeline, RawStage,
    Region, SpanMs, WorkspaceId,
};

/// Operator key of the fake installation.
pub const OPERATOR_KEY: &str = "operator-key-of-the-demo";
/// Peer key of the VMs of the fake installation.
pub const PEER_KEY: &str = "peer-key-of-the-demo";

fn stage(id: &str, kind: &str, pool: &str, model: Option<&str>, is_repeatable: bool, expected_ms: u64) -> RawStage {
    RawStage {
        id: id.to_owned(),
        kind: kind.to_owned(),
        pool: pool.to_owned(),
        model: model.map(ToOwned::to_owned),
        adapter: None,
        is_repeatable,
        expected_ms,
    }
}

/// Pipelines of both workloads.
pub fn pipelines() -> Vec<Arc<Pipeline>> {
    let review = vec![
        stage("encode", "encode", "encoders", None, true, 5),
        stage("retrieve", "retrieve", "retrievers", None, true, 5),
        stage("rerank", "rerank", "rerankers", None, true, 5),
        stage("review", "generate", "engines", Some("contract-7b"), true, 25),
    ];
    let booking = vec![
        stage("understand", "encode", "encoders", None, true, 5),
        stage("draft", "generate", "engines", Some("assistant-3b"), true, 25),
        stage("payout", "service", "payouts", None, false, 5),
        stage("confirm", "service", "members", None, true, 5),
    ];
    let raw_pipelines = [("contract-review", review), ("pickup-booking", booking)];
    raw_pipelines
        .into_iter()
        .map(|(id, stages)| {
            let pipeline = Pipeline::try_from(RawPipeline { id: id.to_owned(), stages });
            Arc::new(pipeline.expect("the pipelines of the fakes are valid"))
        })
        .collect()
}

/// Bearer key of the callers of a workspace.
pub fn caller_key(workspace: &str) -> String {
    format!("caller-key-of-{workspace}")
}

/// Plan of a workspace that admits the key of [`caller_key`].
pub fn plan(workspace: &str, deadline_ms: u64, rate_per_s: u32) -> Plan {
    let key_salt = KeySalt(format!("salt-of-{workspace}"));
    let key_hash = KeyHash::of(&key_salt, &AccessKey::new(&caller_key(workspace)));
    Plan {
        workspace: workspace.parse::<WorkspaceId>().expect("the workspaces of the fakes are valid"),
        deadline_ms: SpanMs(deadline_ms),
        rate_per_s: RatePerS(rate_per_s),
        in_flight_max: 100_000,
        priority: Priority(5),
        attainment_weight_permille: Permille(800),
        objective_permille: Permille(990),
        entry_vms: 2,
        key_salt,
        key_hash,
    }
}

/// Parses names into a set.
fn parse_all<T: FromStr + Ord>(names: &[&str]) -> BTreeSet<T> {
    names.iter().filter_map(|name| name.parse().ok()).collect()
}

/// Allowlist that permits every model and stage of both workloads in `regions`.
pub fn allowlist(workspace: &str, regions: &[&str]) -> Allowlist {
    Allowlist {
        workspace: workspace.parse().expect("the workspaces of the fakes are valid"),
        models: parse_all(&["contract-7b", "assistant-3b"]),
        adapters: BTreeSet::new(),
        stages: parse_all(&["encode", "retrieve", "rerank", "review", "understand", "draft", "payout", "confirm"]),
        regions: parse_all::<Region>(regions),
    }
}
