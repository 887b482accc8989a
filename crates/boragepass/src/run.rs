//! From arguments to output.

use boragepass_wire::{WireOperatorReply, WirePlan, WireUsageReport};
use http_types::Method;

use crate::arguments::{Arguments, BurnArguments, Command, Format};
use crate::burn::BurnReport;
use crate::burn_page::page;
use crate::client::Client;
use crate::cost::CostReport;
use crate::list_commands::{ListKind, run_list};
use crate::render::render;
use crate::settings_commands::{key_hash, settings};
use crate::{ExitStatus, Output};

/// Runs a command.
pub fn run(arguments: &Arguments) -> Output {
    let Some(command) = &arguments.command else {
        return Output::bad_input("a command is missing; --help lists them");
    };
    match command {
        Command::Settings(settings_arguments) => settings(&settings_arguments.words),
        Command::KeyHash(key_arguments) => key_hash(&key_arguments.salt),
        _ => match Client::new(arguments) {
            Ok(client) => run_remote(&client, command, arguments.format),
            Err(output) => output,
        },
    }
}

fn run_remote(client: &Client, command: &Command, format: Format) -> Output {
    match command {
        Command::Plan(list) => run_list(client, ListKind::Plans, list, format),
        Command::Allow(list) => run_list(client, ListKind::Allowlists, list, format),
        Command::Status(_) => show(client, Method::Get, "/v1/status", format),
        Command::Explain(explain) => show(client, Method::Get, &format!("/v1/explain/{}", explain.request), format),
        Command::Quarantine(quarantine) => run_quarantine(client, &quarantine.words, format),
        Command::Burn(burn) => match usage(client) {
            Ok(usage) => show_burn(&usage, burn, format),
            Err(output) => output,
        },
        Command::Cost(_) => match usage(client) {
            Ok(usage) => show_cost(&usage, format),
            Err(output) => output,
        },
        Command::Settings(_) | Command::KeyHash(_) => Output::bad_input("this command calls no VM"),
    }
}

fn show(client: &Client, method: Method, path: &str, format: Format) -> Output {
    match client.call(method, path, String::new()) {
        Ok((reply, text)) => render(&reply, &text, format),
        Err(output) => output,
    }
}

fn run_quarantine(client: &Client, words: &[String], format: Format) -> Output {
    let words: Vec<_> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["list"] => show(client, Method::Get, "/v1/quarantine", format),
        ["clear"] => show(client, Method::Delete, "/v1/quarantine", format),
        ["clear", digest] => show(client, Method::Delete, &format!("/v1/quarantine/{digest}"), format),
        _ => Output::bad_input("quarantine takes `list`, `clear` or `clear DIGEST`"),
    }
}

/// Usage of the fleet.
struct FleetUsage {
    reports: Vec<WireUsageReport>,
    silent: Vec<String>,
    plans: Vec<WirePlan>,
}

fn usage(client: &Client) -> Result<FleetUsage, Output> {
    match client.call(Method::Get, "/v1/usage", String::new())? {
        (WireOperatorReply::Usage { reports, silent, plans }, _) => Ok(FleetUsage { reports, silent, plans }),
        (other, text) => Err(render(&other, &text, Format::Text)),
    }
}

fn show_burn(usage: &FleetUsage, arguments: &BurnArguments, format: Format) -> Output {
    let report = BurnReport::new(&usage.reports, &usage.silent, &usage.plans);
    if let Some(file) = &arguments.html {
        let written =
            page(&report).and_then(|page| std::fs::write(file, page).map_err(|error| format!("{file}: {error}")));
        if let Err(problem) = written {
            return Output::problem(ExitStatus::Refused, problem);
        }
    }
    match format {
        Format::Text => Output::done(report.text()),
        Format::Json => Output::done(serde_json::to_string(&report).unwrap_or_default()),
    }
}

fn show_cost(usage: &FleetUsage, format: Format) -> Output {
    let report = CostReport::new(&usage.reports, &usage.silent);
    match format {
        Format::Text => Output::done(report.text()),
        Format::Json => Output::done(serde_json::to_string(&report).unwrap_or_default()),
    }
}
