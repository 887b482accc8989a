//! Settings files of entry VMs that were written for an earlier or a later build.

use boragepass_settings::{check_entry_settings, parse_entry_settings};

const GOOD: &str = include_str!("../entry_fixtures/good.ini");

#[test]
fn a_process_starts_with_the_file_of_a_later_build() {
    let text = format!("{GOOD}\n[later]\nkey = 1\n").replace("[listen]", "[listen]\nlater_page = 10.1.0.1:9999");
    let settings = parse_entry_settings("later.ini", &text).expect("the settings are usable");
    assert_eq!(settings.unknown_keys, ["[later]", "later_page"]);
    let findings = check_entry_settings("later.ini", &text).expect_err("a check names what it does not know");
    insta::assert_snapshot!(findings.to_string());
}

#[test]
fn a_process_starts_with_the_file_of_a_build_without_relays() {
    let lines = GOOD.lines().filter(|line| !line.starts_with("relays"));
    let text = lines.collect::<Vec<_>>().join("\n");
    let settings = check_entry_settings("earlier.ini", &text).expect("the settings are usable");
    assert_eq!(settings.relay_address.port(), settings.peer_address.port() + 1);
    assert_eq!(settings.relay_address.ip(), settings.peer_address.ip());
}

#[test]
fn an_unknown_key_hides_no_error() {
    let text = GOOD.replace("[listen]", "[listen]\nlater_page = 10.1.0.1:9999").replace("grace_s", "grace");
    assert!(parse_entry_settings("bad.ini", &text).is_err());
}
