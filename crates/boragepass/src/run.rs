//! Runs the command that the arguments name.

use boragepass_wire::{WireOperatorReply, WirePlan, WireUsageReport};
use http_types::Method;

use crate::arguments::{Arguments, BurnArguments, Command, Format};
use crate::burn::BurnReport;
use crate::burn_page::render_page;
use crate::client::Client;
use crate::cost::CostReport;
use crate::list_commands::{ListKind, run_list};
use crate::render::render;
use crate::settings_commands::{run_key_hash, run_settings};
use crate::{ExitStatus, Output};

/// Runs the command of the arguments and returns what to print.
pub fn run(arguments: &Arguments) -> Output {
    let Some(command) = &arguments.command else {
        return Output::bad_input("no command given; --help lists the commands");
    };
    match command {
        Command::Settings(settings_arguments) => run_settings(&settings_arguments.words),
        Command::KeyHash(key_arguments) => run_key_hash(&key_arguments.salt),
        _ => match Client::new(arguments) {
            Ok(client) => run_remote(&client, command, arguments.format),
            Err(output) => output,
        },
    }
}

/// Runs a command that calls a VM.
fn run_remote(client: &Client, command: &Command, format: Format) -> Output {
    match command {
        Command::Plan(list) => run_list(client, ListKind::Plans, list, format),
        Command::Allow(list) => run_list(client, ListKind::Allowlists, list, format),
        Command::Status(_) => call_and_render(client, Method::Get, "/v1/status", format),
        Command::Explain(explain) => {
            call_and_render(client, Method::Get, &format!("/v1/explain/{}", explain.request), format)
        }
        Command::Quarantine(quarantine) => run_quarantine(client, &quarantine.words, format),
        Command::Burn(burn) => match fetch_usage(client) {
            Ok(usage) => burn_output(&usage, burn, format),
            Err(output) => output,
        },
        Command::Cost(_) => match fetch_usage(client) {
            Ok(usage) => cost_output(&usage, format),
            Err(output) => output,
        },
        Command::Settings(_) | Command::KeyHash(_) => Output::bad_input("this command calls no VM"),
    }
}

fn call_and_render(client: &Client, method: Method, path: &str, format: Format) -> Output {
    match client.call(method, path, String::new()) {
        Ok((reply, text)) => render(&reply, &text, format),
        Err(output) => output,
    }
}

fn run_quarantine(client: &Client, words: &[String], format: Format) -> Output {
    let words: Vec<_> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["list"] => call_and_render(client, Method::Get, "/v1/quarantine", format),
        ["clear"] => call_and_render(client, Method::Delete, "/v1/quarantine", format),
        ["clear", digest] => call_and_render(client, Method::Delete, &format!("/v1/quarantine/{digest}"), format),
        _ => Output::bad_input("quarantine takes `list`, `clear` or `clear DIGEST`"),
    }
}

/// Reply to the usage query: counts of all VMs that answered, and the plans.
struct FleetUsage {
    reports: Vec<WireUsageReport>,
    silent_vms: Vec<String>,
    plans: Vec<WirePlan>,
}

fn fetch_usage(client: &Client) -> Result<FleetUsage, Output> {
    match client.call(Method::Get, "/v1/usage", String::new())? {
        (WireOperatorReply::Usage { reports, silent, plans }, _) => {
            Ok(FleetUsage { reports, silent_vms: silent, plans })
        }
        (other, text) => Err(render(&other, &text, Format::Text)),
    }
}

fn burn_output(usage: &FleetUsage, arguments: &BurnArguments, format: Format) -> Output {
    let report = BurnReport::new(&usage.reports, &usage.silent_vms, &usage.plans);
    if let Some(file) = &arguments.html {
        let write_result = render_page(&report)
            .and_then(|html| std::fs::write(file, html).map_err(|error| format!("{file}: {error}")));
        if let Err(problem) = write_result {
            return Output::problem(ExitStatus::Refused, problem);
        }
    }
    match format {
        Format::Text => Output::done(report.text()),
        Format::Json => Output::done(serde_json::to_string(&report).unwrap_or_default()),
    }
}

fn cost_output(usage: &FleetUsage, format: Format) -> Output {
    let report = CostReport::new(&usage.reports, &usage.silent_vms);
    match format {
        Format::Text => Output::done(report.text()),
        Format::Json => Output::done(serde_json::to_string(&report).unwrap_or_default()),
    }
}
