//! Formats replies of a VM as text, and maps them to exit statuses.

use std::fmt::Write;

use boragepass_wire::{WireFleetStatus, WireOperatorReply, WireRequestTrace};

use crate::arguments::Format;
use crate::{ExitStatus, Output};

/// Converts a reply to output; `raw` is its unparsed text, which is the output in JSON.
pub(crate) fn render(reply: &WireOperatorReply, raw: &str, format: Format) -> Output {
    let status = exit_status_of(reply);
    let text = match format {
        Format::Json => raw.to_owned(),
        Format::Text => reply_text(reply),
    };
    match status {
        ExitStatus::Done => Output::done(text),
        _ if format == Format::Json => Output { text, problems: String::new(), status },
        _ => Output::problem(status, text),
    }
}

fn exit_status_of(reply: &WireOperatorReply) -> ExitStatus {
    match reply {
        WireOperatorReply::Malformed { .. } => ExitStatus::BadInput,
        WireOperatorReply::Conflict { .. }
        | WireOperatorReply::Unavailable
        | WireOperatorReply::Unsettled { .. }
        | WireOperatorReply::Committed { .. }
        | WireOperatorReply::NoLists
        | WireOperatorReply::Forbidden => ExitStatus::Refused,
        _ => ExitStatus::Done,
    }
}

fn reply_text(reply: &WireOperatorReply) -> String {
    match reply {
        WireOperatorReply::Accepted { version } => format!("accepted: version {version} is in force on every VM"),
        WireOperatorReply::Committed { version, waiting_for } => {
            format!("committed as version {version}, waiting for {}", waiting_for.join(", "))
        }
        WireOperatorReply::Conflict { expected, current, changes } => {
            let mut text =
                format!("conflict: the change expects version {expected}, but version {current} is in force");
            changes.iter().for_each(|change| text.push_str(&format!("\n  {change}")));
            text
        }
        WireOperatorReply::Unavailable => "the table service did not answer; nothing took effect".to_owned(),
        WireOperatorReply::Unsettled { version } => {
            format!("not known yet whether version {version} took effect; `boragepass status` will show it")
        }
        WireOperatorReply::NoLists => "this VM has no lists yet".to_owned(),
        WireOperatorReply::Malformed { findings } => findings.join("\n"),
        WireOperatorReply::Forbidden => "the operators' key is missing or wrong".to_owned(),
        WireOperatorReply::Plans { version, plans } => versioned_list_text(*version, plans),
        WireOperatorReply::Allowlists { version, allowlists } => versioned_list_text(*version, allowlists),
        WireOperatorReply::Status(status) => status_text(status),
        WireOperatorReply::Explained { traces, silent } => explain_text(traces, silent),
        WireOperatorReply::Usage { .. } => String::new(),
        WireOperatorReply::Quarantine { entries } if entries.is_empty() => "nothing is in quarantine".to_owned(),
        WireOperatorReply::Quarantine { entries } => {
            let lines = entries.iter();
            let lines = lines.map(|(digest, workspace, left_ms)| format!("{digest}  {workspace}  {left_ms} ms left"));
            lines.collect::<Vec<_>>().join("\n")
        }
        WireOperatorReply::Cleared { count } => format!("{count} entries released"),
    }
}

fn versioned_list_text<T: serde::Serialize>(version: u64, items: &[T]) -> String {
    let mut text = format!("version {version}");
    for item in items {
        text.push('\n');
        text.push_str(&serde_json::to_string(item).unwrap_or_default());
    }
    text
}

fn status_text(status: &WireFleetStatus) -> String {
    let mut text = String::new();
    let lists = status.lists.map_or_else(|| "none".to_owned(), |version| version.to_string());
    let admits = if status.admits { "admits requests" } else { "admits nothing" };
    let table = if status.table_is_up { "up" } else { "down" };
    let highest = status.highest;
    // Writing to a string cannot fail.
    writeln!(text, "{}: lists {lists} of {highest}, {admits}, table service {table}", status.vm).ok();
    writeln!(text, "requests in progress: {}", status.in_progress).ok();
    if !status.waiting_for.is_empty() {
        writeln!(text, "waiting for: {}", status.waiting_for.join(", ")).ok();
    }
    writeln!(text, "\nVM                   region       state    lists").ok();
    for vm in &status.vms {
        writeln!(text, "{:<20} {:<12} {:<8} {}", vm.vm, vm.region, vm.state, vm.lists).ok();
    }
    writeln!(text, "\nendpoint             region       work  reported  age").ok();
    for endpoint in &status.endpoints {
        let age = endpoint.age_ms.map_or_else(|| "never reported".to_owned(), |age_ms| format!("{age_ms} ms"));
        let mut flags = String::new();
        flags.push_str(if endpoint.is_open { "" } else { "  leaving" });
        flags.push_str(if endpoint.is_ejected { "  ejected" } else { "" });
        let (name, region) = (&endpoint.endpoint, &endpoint.region);
        writeln!(text, "{name:<20} {region:<12} {:<5} {:<9} {age}{flags}", endpoint.in_flight, endpoint.reported).ok();
    }
    text
}

fn explain_text(traces: &[WireRequestTrace], silent: &[String]) -> String {
    let mut text = String::new();
    if traces.is_empty() {
        text.push_str("no VM that answered has a trace of this request\n");
    }
    for trace in traces {
        writeln!(text, "VM {}, workspace {}", trace.vm, trace.workspace).ok();
        for (after_ms, decision) in &trace.lines {
            writeln!(text, "  +{after_ms} ms  {decision}").ok();
        }
        if trace.left_out > 0 {
            writeln!(text, "  {} further decisions were not recorded", trace.left_out).ok();
        }
    }
    if !silent.is_empty() {
        writeln!(text, "VMs that did not answer: {}", silent.join(", ")).ok();
    }
    text
}
