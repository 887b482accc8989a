//! `boragepass-soak`: runs entry VMs as processes under faults that are drawn from a seed.

use std::path::PathBuf;
use std::process::ExitCode;

use boragepass_soak::{SoakError, SoakSettings, run};
use gumdrop::Options;

/// Runs entry VMs under injected faults and checks what clients and endpoints observe.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// first seed
    #[options(default = "1", meta = "N")]
    seed: u64,
    /// number of seeds to run, one after the other
    #[options(default = "1", meta = "N")]
    seeds: u64,
    /// run the recorded seeds of earlier failures instead
    #[options(no_short)]
    regression: bool,
    /// length of each run in seconds; no fault is injected in the last 12
    #[options(no_short, long = "for", default = "30", meta = "S")]
    run_s: u64,
    /// number of entry VMs
    #[options(default = "6", meta = "N")]
    processes: usize,
    /// program of an entry VM; default: boragepass-entry in the folder of this program
    #[options(meta = "FILE")]
    entry: Option<PathBuf>,
    /// program of the build in production: VMs start with it, and each restart switches a VM to the other build
    #[options(no_short, meta = "FILE")]
    production: Option<PathBuf>,
    /// folder for settings and logs; default: boragepass-soak in the temporary folder
    #[options(no_short, meta = "DIR")]
    folder: Option<PathBuf>,
    /// print the faults of each seed and keep its logs
    #[options(no_short)]
    plan: bool,
}

const EXIT_FAILED: u8 = 1;
const EXIT_BAD_INPUT: u8 = 2;
/// Shortest run in seconds: the 12 s without faults at the end and some seconds of faults.
const RUN_MIN_S: u64 = 15;
/// Most entry VMs. Each needs a loopback address of its own, of which there are 254, and a run should start no more
/// than a few hundred processes.
const PROCESSES_MAX: usize = 250;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.run_s < RUN_MIN_S || !(1..=PROCESSES_MAX).contains(&arguments.processes) {
        eprintln!("--for takes {RUN_MIN_S} s or more, --processes 1 to {PROCESSES_MAX}");
        return ExitCode::from(EXIT_BAD_INPUT);
    }
    let mut has_failed = false;
    let cases = if arguments.regression {
        regression_cases()
    } else {
        let seeds = arguments.seed..arguments.seed + arguments.seeds;
        seeds.map(|seed| RunCase { seed, run_s: arguments.run_s, vm_count: arguments.processes }).collect()
    };
    for case in cases {
        match run_case(&arguments, &case) {
            Ok(is_clean) => has_failed |= !is_clean,
            Err(error) => {
                eprintln!("seed {}: {error}", case.seed);
                return ExitCode::from(EXIT_FAILED);
            }
        }
    }
    if has_failed { ExitCode::from(EXIT_FAILED) } else { ExitCode::SUCCESS }
}

/// Seed, length and size of one run.
struct RunCase {
    seed: u64,
    run_s: u64,
    vm_count: usize,
}

/// Seeds that failed before, each with the length and size of the run in which it failed.
fn regression_cases() -> Vec<RunCase> {
    let lines = include_str!("../regression_seeds.txt").lines().filter(|line| !line.starts_with('#'));
    let case = |line: &str| {
        let mut numbers = line.split_whitespace().map_while(|word| word.parse::<u64>().ok());
        Some(RunCase { seed: numbers.next()?, run_s: numbers.next()?, vm_count: numbers.next()? as usize })
    };
    lines.filter_map(case).collect()
}

/// Runs one seed and prints its result; returns whether there were no violations.
fn run_case(arguments: &Arguments, &RunCase { seed, run_s, vm_count }: &RunCase) -> Result<bool, SoakError> {
    let default_program =
        || std::env::current_exe().map(|path| path.with_file_name("boragepass-entry")).unwrap_or_default();
    let folder = arguments.folder.clone().unwrap_or_else(|| std::env::temp_dir().join("boragepass-soak"));
    let settings = SoakSettings {
        program: arguments.entry.clone().unwrap_or_else(default_program),
        production: arguments.production.clone(),
        folder: folder.join(format!("{}-{seed}", std::process::id())),
        seed,
        run_ms: run_s * 1_000,
        vm_count,
    };
    let (plan, summary) = run(&settings)?;
    if arguments.plan || !summary.violations.is_empty() {
        for planned in &plan.faults {
            println!("seed {seed}: {:>6} ms {}", planned.at_ms, planned.fault);
        }
    }
    let endings: Vec<String> = summary.endings.iter().map(|(ending, count)| format!("{ending}: {count}")).collect();
    println!("seed {seed}: {} violations; {}", summary.violations.len(), endings.join(", "));
    for violation in &summary.violations {
        println!("seed {seed}: {violation}");
    }
    if summary.violations.is_empty() && !arguments.plan {
        // The logs of a run without violations are not needed; files that cannot be removed stay.
        std::fs::remove_dir_all(&settings.folder).ok();
    } else {
        println!("seed {seed}: logs in {}", settings.folder.display());
    }
    Ok(summary.violations.is_empty())
}
