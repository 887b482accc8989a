//! Whatever text comes as settings, the parser answers with settings or findings.

use proptest::prelude::proptest;
use proptest::test_runner::{Config, RngSeed};

const GOOD: &str = include_str!("../fixtures/good.ini");

fn config() -> Config {
    Config { cases: 256, rng_seed: RngSeed::Fixed(20_261_203), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_text_is_settings_or_findings(text in r#"[\[\]a-z0-9= ;#\n"'./-]{0,300}"#) {
        boragepass_settings::parse("any.ini", &text).ok();
    }

    #[test]
    fn damaged_settings_are_settings_or_findings(at in 0..GOOD.len(), len in 0_usize..40) {
        let end = (at + len).min(GOOD.len());
        let damaged = format!("{}{}", &GOOD[..at], &GOOD[end..]);
        if let Err(findings) = boragepass_settings::parse("damaged.ini", &damaged) {
            let lines = damaged.lines().count().max(1);
            for finding in findings.iter() {
                let place = finding.location.to_string();
                let line: usize = place.rsplit(':').next().and_then(|text| text.parse().ok()).unwrap_or(0);
                assert!((1..=lines).contains(&line), "{finding} names no line of {lines}");
            }
        }
    }
}
