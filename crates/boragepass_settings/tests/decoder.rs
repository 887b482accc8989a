//! Any text is parsed into settings or findings: the parser never panics, and a finding never names a
//! line that the file lacks.

use proptest::prelude::proptest;
use proptest::test_runner::{Config, RngSeed};

const VALID_SETTINGS: &str = include_str!("../fixtures/good.ini");

fn config() -> Config {
    Config { cases: 256, rng_seed: RngSeed::Fixed(20_261_203), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_text_gives_settings_or_findings(text in r#"[\[\]a-z0-9= ;#\n"'./-]{0,300}"#) {
        boragepass_settings::parse_settings("any.ini", &text).ok();
    }

    #[test]
    fn findings_of_damaged_settings_name_existing_lines(start in 0..VALID_SETTINGS.len(), len in 0_usize..40) {
        let end = (start + len).min(VALID_SETTINGS.len());
        let damaged = format!("{}{}", &VALID_SETTINGS[..start], &VALID_SETTINGS[end..]);
        if let Err(findings) = boragepass_settings::parse_settings("damaged.ini", &damaged) {
            let line_count = damaged.lines().count().max(1);
            for finding in findings.iter() {
                let location = finding.location.to_string();
                let line: usize = location.rsplit(':').next().and_then(|text| text.parse().ok()).unwrap_or(0);
                assert!((1..=line_count).contains(&line), "{finding} names none of the {line_count} lines");
            }
        }
    }
}
