//! The operators' page holds the reference that the settings types give.

#[test]
fn operators_page_holds_the_reference() {
    let page = include_str!("../../../docs/OPERATIONS.md");
    for section in boragepass_settings::limits_reference().split("\n\n") {
        assert!(page.contains(section.trim()), "docs/OPERATIONS.md lacks or has an old version of:\n{section}");
    }
}
