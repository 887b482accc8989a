//! A short soak: entry VMs as processes under faults drawn from a seed.

use std::path::PathBuf;

use boragepass_soak::{Plan, SoakSettings, run};

/// Shortest run: 12 s of it are without faults.
const RUN_MS: u64 = 17_000;

fn play(seed: u64, vms: usize) {
    let folder = std::env::temp_dir().join(format!("boragepass-soak-test-{}-{seed}", std::process::id()));
    let program = PathBuf::from(env!("CARGO_BIN_EXE_boragepass-entry"));
    let settings = SoakSettings { program, folder: folder.clone(), seed, run_ms: RUN_MS, vms };
    let (plan, summary) = run(&settings).expect("the site starts");
    assert!(summary.violations.is_empty(), "{:#?}\n{plan:#?}\nlogs in {}", summary.violations, folder.display());
    assert!(summary.endings.values().sum::<u32>() > 100, "{:?}", summary.endings);
    // What cannot be removed stays in the temporary folder.
    std::fs::remove_dir_all(&folder).ok();
}

#[test]
fn promises_hold_under_faults_from_outside() {
    play(1, 3);
}

#[test]
fn the_same_seed_draws_the_same_plan() {
    assert_eq!(Plan::draw(7, 60_000, 6, 7), Plan::draw(7, 60_000, 6, 7));
    assert_ne!(Plan::draw(7, 60_000, 6, 7), Plan::draw(8, 60_000, 6, 7));
}
