//! `boragepass plan` and `boragepass allow`: read and change the plans and allowlists of workspaces.

use std::io::Read;

use http_types::Method;

use crate::Output;
use crate::arguments::{Format, ListArguments};
use crate::client::Client;
use crate::render::render;

/// List that a command reads or changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListKind {
    Plans,
    Allowlists,
}

impl ListKind {
    fn path(self) -> &'static str {
        match self {
            Self::Plans => "/v1/plans",
            Self::Allowlists => "/v1/allowlists",
        }
    }

    /// Checks a document before it is sent, so that findings name the file.
    fn check(self, file: &str, text: &str) -> Result<(), Output> {
        let findings = match self {
            Self::Plans => boragepass_wire::plan_from_json(text.as_bytes()).err(),
            Self::Allowlists => boragepass_wire::allowlist_from_json(text.as_bytes()).err(),
        };
        match findings {
            Some(findings) => {
                let lines: Vec<_> = findings.iter().map(|finding| format!("{file}: {finding}")).collect();
                Err(Output::bad_input(lines.join("\n")))
            }
            None => Ok(()),
        }
    }
}

/// Runs a command on one of the lists.
pub(crate) fn run_list(client: &Client, kind: ListKind, arguments: &ListArguments, format: Format) -> Output {
    let words: Vec<_> = arguments.words.iter().map(String::as_str).collect();
    let version_query =
        arguments.expect_version.map_or_else(String::new, |version| format!("?expect_version={version}"));
    let path = kind.path();
    let result = match words.as_slice() {
        ["list"] => client.call(Method::Get, path, String::new()),
        ["show", workspace] => client.call(Method::Get, &format!("{path}/{workspace}"), String::new()),
        ["remove", workspace] => {
            client.call(Method::Delete, &format!("{path}/{workspace}{version_query}"), String::new())
        }
        ["set", file] => match read_document(file).and_then(|text| kind.check(file, &text).map(|()| text)) {
            Ok(text) => client.call(Method::Put, &format!("{path}{version_query}"), text),
            Err(output) => Err(output),
        },
        _ => Err(Output::bad_input("the command takes `list`, `show WORKSPACE`, `set FILE` or `remove WORKSPACE`")),
    };
    match result {
        Ok((reply, text)) => render(&reply, &text, format),
        Err(output) => output,
    }
}

/// Reads a file, or standard input if its name is `-`.
fn read_document(file: &str) -> Result<String, Output> {
    let mut text = String::new();
    let read = if file == "-" {
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(file)
    };
    read.map_err(|error| Output::bad_input(format!("{file}: {error}")))
}
