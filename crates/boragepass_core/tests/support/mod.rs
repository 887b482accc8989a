//! Configuration of the stateful tests.

use proptest::test_runner::{Config, RngSeed};

const DEFAULT_SEED: u64 = 20_261_203;

fn number_from_env(variable: &str) -> Option<u64> {
    std::env::var(variable).ok().and_then(|text| text.parse().ok())
}

/// Configuration with `cases` cases and the default seed; `BORAGEPASS_CASES` and `BORAGEPASS_SEED` override them.
pub(crate) fn config(cases: u32) -> Config {
    Config {
        cases: number_from_env("BORAGEPASS_CASES").map_or(cases, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(number_from_env("BORAGEPASS_SEED").unwrap_or(DEFAULT_SEED)),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}
