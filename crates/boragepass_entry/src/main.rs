//! `boragepass-entry`: the program that runs an entry VM on the users' platform.

use std::path::PathBuf;
use std::process::ExitCode;

use boragepass_platform::names::SETTINGS_VARIABLE;
use boragepass_settings::{check_entry_settings, parse_entry_settings};
use gumdrop::Options;

/// Runs an entry VM.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// settings file in INI; without this flag, the platform's variable names it
    #[options(meta = "FILE")]
    settings: Option<PathBuf>,
    /// check the settings and exit
    check: bool,
}

const EXIT_FAILED: u8 = 1;
const EXIT_BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let path = arguments.settings.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let Some(path) = path else {
        eprintln!("no settings file: pass --settings FILE or set {SETTINGS_VARIABLE}");
        return ExitCode::from(EXIT_BAD_INPUT);
    };
    let name = path.display().to_string();
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{name}: {error}");
            return ExitCode::from(EXIT_BAD_INPUT);
        }
    };
    let parse = if arguments.check { check_entry_settings } else { parse_entry_settings };
    let settings = match parse(&name, &text) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(EXIT_BAD_INPUT);
        }
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    match async_std::task::block_on(boragepass_entry::run(path, settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
