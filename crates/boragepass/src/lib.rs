//! The operators' command line: arguments, one call to a VM, and the answer as text or JSON.

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
