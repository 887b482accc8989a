//! `boragepass-bench`: runs one benchmark and prints its figures as JSON.

use std::process::ExitCode;

use boragepass_fakes::path_fleet::Site;
use boragepass_path::Batching;
use boragepass_types::EndpointId;
use gumdrop::Options;
use serde::Serialize;

/// Benchmarks boragepass against in-process fakes.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// benchmark to run
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// one daemon in front of fake endpoints, compared with calling the fakes directly
    Path(PathArguments),
    /// cost of one admission and one routing decision
    Decisions(JsonArguments),
    /// routing policy compared with baselines under faults
    Attainment(AttainmentArguments),
    /// propagation of list changes, control traffic, detection of dead VMs
    Agreement(JsonArguments),
    /// simulated load on the platform's request path, in virtual time
    Platform(PlatformArguments),
    /// growth of cost with fleet size, and totals at the target size
    Slopes(JsonArguments),
}

#[derive(Debug, Options)]
struct JsonArguments {
    /// print this help
    help: bool,
    /// print the figures on one line of JSON
    json: bool,
}

#[derive(Debug, Options)]
struct PathArguments {
    /// print this help
    help: bool,
    /// print the figures on one line of JSON
    json: bool,
    /// requests of the throughput measurement
    #[options(default = "60000", meta = "N")]
    requests: u64,
}

#[derive(Debug, Options)]
struct AttainmentArguments {
    /// print this help
    help: bool,
    /// print the figures on one line of JSON
    json: bool,
    /// run only this scenario
    #[options(meta = "NAME")]
    only: Option<String>,
}

#[derive(Debug, Options)]
struct PlatformArguments {
    /// print this help
    help: bool,
    /// print the figures on one line of JSON
    json: bool,
    /// site to simulate: gigdesk or lampu
    #[options(default = "gigdesk", meta = "SITE")]
    site: Site,
    /// multiple of the site's normal request rate
    #[options(default = "1.0", meta = "X")]
    load: f64,
    /// who batches pieces into calls of stage pools: led (one leader VM a pool and region) or alone (each VM)
    #[options(default = "led", meta = "HOW")]
    batching: Batching,
    /// seed of the simulation
    #[options(default = "1", meta = "N")]
    seed: u64,
    /// seconds to measure
    #[options(default = "20", meta = "S")]
    seconds: u64,
    /// endpoint that is down during the measurement
    #[options(meta = "ENDPOINT")]
    down: Option<EndpointId>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match run(&arguments) {
        Ok(status) => status,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<ExitCode, Box<dyn std::error::Error>> {
    match &arguments.command {
        None => {
            eprintln!("no command given; --help lists the commands");
            return Ok(ExitCode::from(2));
        }
        Some(Command::Path(path)) => print_figures(path.json, &boragepass_bench::measure_path(path.requests)?)?,
        Some(Command::Decisions(decisions)) => print_figures(decisions.json, &boragepass_bench::measure_decisions())?,
        Some(Command::Attainment(attainment)) => {
            let figures = boragepass_bench::measure_attainment(attainment.only.as_deref())?;
            print_figures(attainment.json, &figures)?;
        }
        Some(Command::Agreement(agreement)) => print_figures(agreement.json, &boragepass_bench::measure_agreement()?)?,
        Some(Command::Platform(platform)) => {
            let load = boragepass_bench::PlatformLoad {
                site: platform.site,
                load: platform.load,
                batching: platform.batching,
                seed: platform.seed,
                seconds: platform.seconds,
                down: platform.down.clone(),
            };
            let figures = boragepass_bench::measure_platform(&load);
            print_figures(platform.json, &figures)?;
            return Ok(ExitCode::from(u8::from(!figures.violations.is_empty())));
        }
        Some(Command::Slopes(slopes)) => {
            let figures = boragepass_bench::measure_slopes()?;
            print_figures(slopes.json, &figures)?;
            return Ok(ExitCode::from(u8::from(!figures.exceeded.is_empty())));
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints figures as JSON: on one line for programs, or else indented.
fn print_figures(is_one_line: bool, figures: &impl Serialize) -> Result<(), serde_json::Error> {
    let text = if is_one_line { serde_json::to_string(figures)? } else { serde_json::to_string_pretty(figures)? };
    println!("{text}");
    Ok(())
}
