//! `boragepass`: the operators' command line.

use std::process::ExitCode;

use boragepass::{Arguments, run};
use gumdrop::Options;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let output = run(&arguments);
    if !output.text.is_empty() {
        println!("{}", output.text.trim_end());
    }
    if !output.problems.is_empty() {
        eprintln!("{}", output.problems.trim_end());
    }
    output.status.into()
}
