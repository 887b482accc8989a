//! Seed and number of cases of the stateful tests.

use proptest::test_runner::{Config, RngSeed};

const DEFAULT_SEED: u64 = 20_261_203;

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok().and_then(|text| text.parse().ok())
}

/// Seed and number of cases, `BORAGEPASS_SEED` and `BORAGEPASS_CASES` if they are set.
pub(crate) fn config(cases: u32) -> Config {
    Config {
        cases: number("BORAGEPASS_CASES").map_or(cases, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(number("BORAGEPASS_SEED").unwrap_or(DEFAULT_SEED)),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}
