//! `docs/OPERATIONS.md` holds the generated reference of settings, so that it cannot become outdated.

#[test]
fn operators_page_contains_the_generated_reference() {
    let page = include_str!("../../../docs/OPERATIONS.md");
    for section in boragepass_settings::limits_reference().split("\n\n") {
        assert!(page.contains(section.trim()), "docs/OPERATIONS.md lacks or has an outdated version of:\n{section}");
    }
}
