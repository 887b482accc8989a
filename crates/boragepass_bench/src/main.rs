//! `boragepass-bench`: measured slopes and policy comparisons.

use std::process::ExitCode;

use boragepass_fakes::path_fleet::Site;
use boragepass_path::Batching;
use boragepass_types::EndpointId;
use gumdrop::Options;
use serde::Serialize;

/// Measures boragepass on embedded stand-ins.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// what to measure
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// one daemon before fakes against the fakes alone
    Path(PathArguments),
    /// cost of one admission and one routing decision
    Decisions(JsonArguments),
    /// our policy against baselines under faults
    Attainment(AttainmentArguments),
    /// lists in force, control traffic, detection of dead VMs
    Agreement(JsonArguments),
    /// loads on the platform's request path in virtual time
    Platform(PlatformArguments),
    /// slopes and what they come to at the size of letter 1
    Slopes(JsonArguments),
}

#[derive(Debug, Options)]
struct JsonArguments {
    /// print this help
    help: bool,
    /// print one JSON value and nothing else
    json: bool,
}

#[derive(Debug, Options)]
struct PathArguments {
    /// print this help
    help: bool,
    /// print one JSON value and nothing else
    json: bool,
    /// requests of the longest part
    #[options(default = "60000", meta = "N")]
    requests: u64,
}

#[derive(Debug, Options)]
struct AttainmentArguments {
    /// print this help
    help: bool,
    /// print one JSON value and nothing else
    json: bool,
    /// only this scenario
    #[options(meta = "NAME")]
    only: Option<String>,
}

#[derive(Debug, Options)]
struct PlatformArguments {
    /// print this help
    help: bool,
    /// print one JSON value and nothing else
    json: bool,
    /// site to play: gigdesk or lampu
    #[options(default = "gigdesk", meta = "SITE")]
    site: Site,
    /// multiple of the usual rate
    #[options(default = "1.0", meta = "X")]
    load: f64,
    /// who composes the calls of stage pools: led or alone
    #[options(default = "led", meta = "HOW")]
    batching: Batching,
    /// seed
    #[options(default = "1", meta = "N")]
    seed: u64,
    /// seconds that are measured
    #[options(default = "20", meta = "S")]
    seconds: u64,
    /// endpoint that is down meanwhile
    #[options(meta = "ENDPOINT")]
    down: Option<EndpointId>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match run(&arguments) {
        Ok(status) => status,
        Err(problem) => {
            eprintln!("{problem}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<ExitCode, Box<dyn std::error::Error>> {
    match &arguments.command {
        None => {
            eprintln!("a command is missing; --help lists them");
            return Ok(ExitCode::from(2));
        }
        Some(Command::Path(path)) => print(path.json, &boragepass_bench::path(path.requests)?)?,
        Some(Command::Decisions(decisions)) => print(decisions.json, &boragepass_bench::decisions())?,
        Some(Command::Attainment(attainment)) => {
            let figures = boragepass_bench::attainment(attainment.only.as_deref())?;
            print(attainment.json, &figures)?;
        }
        Some(Command::Agreement(agreement)) => print(agreement.json, &boragepass_bench::agreement()?)?,
        Some(Command::Platform(chosen)) => {
            let load = boragepass_bench::PlatformLoad {
                site: chosen.site,
                load: chosen.load,
                batching: chosen.batching,
                seed: chosen.seed,
                seconds: chosen.seconds,
                down: chosen.down.clone(),
            };
            let figures = boragepass_bench::platform(&load);
            print(chosen.json, &figures)?;
            return Ok(ExitCode::from(u8::from(!figures.violations.is_empty())));
        }
        Some(Command::Slopes(slopes)) => {
            let figures = boragepass_bench::slopes()?;
            print(slopes.json, &figures)?;
            return Ok(ExitCode::from(u8::from(!figures.exceeded.is_empty())));
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn print(is_json: bool, figures: &impl Serialize) -> Result<(), serde_json::Error> {
    let text = if is_json { serde_json::to_string(figures)? } else { serde_json::to_string_pretty(figures)? };
    println!("{text}");
    Ok(())
}
