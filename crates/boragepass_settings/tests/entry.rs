//! Settings files of entry VMs on the users' platform, and what is found in them.

use std::path::Path;

fn check(path: &Path, text: String) -> datatest_stable::Result<()> {
    let name = path.file_stem().ok_or("a fixture has a name")?.to_string_lossy().into_owned();
    let shown = match boragepass_settings::parse_entry_settings(&format!("{name}.ini"), &text) {
        Ok(settings) => format!("{settings:#?}"),
        Err(findings) => findings.to_string(),
    };
    let mut settings = insta::Settings::clone_current();
    settings.set_snapshot_path("../entry_fixtures");
    settings.set_prepend_module_to_snapshot(false);
    settings.set_omit_expression(true);
    settings.bind(|| insta::assert_snapshot!(name, shown));
    Ok(())
}

datatest_stable::harness! {
    { test = check, root = "entry_fixtures", pattern = r"^.*\.ini$" },
}
