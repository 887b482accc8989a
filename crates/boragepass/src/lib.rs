//! The operators' command line: parses arguments, calls one VM if the command needs it, and formats the reply as text
//! or JSON.

mod arguments;
mod burn;
mod burn_page;
mod client;
mod cost;
mod exit_status;
mod list_commands;
mod output;
mod render;
mod run;
mod settings_commands;

pub use arguments::Arguments;
pub use burn::{BurnReport, BurnRow};
pub use cost::CostReport;
pub use exit_status::ExitStatus;
pub use output::Output;
pub use run::run;
