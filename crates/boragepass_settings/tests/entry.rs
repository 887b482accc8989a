//! Settings files of entry VMs: each fixture is parsed into the settings or findings of its snapshot.

use std::path::Path;

fn parsed_fixture_matches_snapshot(path: &Path, text: String) -> datatest_stable::Result<()> {
    let name = path.file_stem().ok_or("a fixture has a name")?.to_string_lossy().into_owned();
    let result = match boragepass_settings::check_entry_settings(&format!("{name}.ini"), &text) {
        Ok(settings) => format!("{settings:#?}"),
        Err(findings) => findings.to_string(),
    };
    let mut settings = insta::Settings::clone_current();
    settings.set_snapshot_path("../entry_fixtures");
    settings.set_prepend_module_to_snapshot(false);
    settings.set_omit_expression(true);
    settings.bind(|| insta::assert_snapshot!(name, result));
    Ok(())
}

datatest_stable::harness! {
    { test = parsed_fixture_matches_snapshot, root = "entry_fixtures", pattern = r"^.*\.ini$" },
}
