//! Snapshot tests of the parsers of callers' and operators' JSON: each fixture is compared with the
//! parsed value or the findings recorded for it.

use std::fmt::Debug;
use std::path::Path;

use boragepass_types::Findings;

fn assert_parsed_snapshot<T: Debug>(
    path: &Path,
    kind: &str,
    parsed: Result<T, Findings>,
) -> datatest_stable::Result<()> {
    let name = path.file_stem().ok_or("a fixture has a name")?.to_string_lossy().into_owned();
    let parsed_text = match parsed {
        Ok(value) => format!("{value:#?}"),
        Err(findings) => findings.to_string(),
    };
    let mut settings = insta::Settings::clone_current();
    settings.set_snapshot_path(format!("../fixtures/{kind}"));
    settings.set_prepend_module_to_snapshot(false);
    settings.set_omit_expression(true);
    settings.bind(|| insta::assert_snapshot!(name, parsed_text));
    Ok(())
}

fn request(path: &Path, bytes: Vec<u8>) -> datatest_stable::Result<()> {
    assert_parsed_snapshot(path, "requests", boragepass_wire::request_from_json(&bytes))
}

fn plan(path: &Path, bytes: Vec<u8>) -> datatest_stable::Result<()> {
    assert_parsed_snapshot(path, "plans", boragepass_wire::plan_from_json(&bytes))
}

fn allowlist(path: &Path, bytes: Vec<u8>) -> datatest_stable::Result<()> {
    assert_parsed_snapshot(path, "allowlists", boragepass_wire::allowlist_from_json(&bytes))
}

datatest_stable::harness! {
    { test = request, root = "fixtures/requests", pattern = r"\.json$" },
    { test = plan, root = "fixtures/plans", pattern = r"\.json$" },
    { test = allowlist, root = "fixtures/allowlists", pattern = r"\.json$" },
}
