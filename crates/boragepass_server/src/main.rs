//! `boragepassd`: the daemon of an entry VM.

use std::process::ExitCode;

use async_std::channel::{Receiver, bounded};
use boragepass_server::Daemon;
use gumdrop::Options;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Serves requests on one entry VM.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// settings in INI
    #[options(required, meta = "FILE")]
    settings: String,
}

/// How the process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ExitStatus {
    Done,
    Failed,
    BadInput,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Done => Self::from(0),
            ExitStatus::Failed => Self::from(1),
            ExitStatus::BadInput => Self::from(2),
        }
    }
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let arguments = Arguments::parse_args_default_or_exit();
    let text = match std::fs::read_to_string(&arguments.settings) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{}: {error}", arguments.settings);
            return ExitStatus::BadInput.into();
        }
    };
    let settings = match boragepass_settings::parse_settings(&arguments.settings, &text) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitStatus::BadInput.into();
        }
    };
    async_std::task::block_on(run(settings)).into()
}

/// Signals that ask the process to stop.
fn stop_signals() -> std::io::Result<Receiver<()>> {
    let (sender, receiver) = bounded(4);
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    std::thread::spawn(move || {
        for _ in signals.forever() {
            // A full queue means that the process has been told often enough.
            sender.try_send(()).ok();
        }
    });
    Ok(receiver)
}

async fn run(settings: boragepass_settings::Settings) -> ExitStatus {
    let signals = match stop_signals() {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("cannot wait for signals: {error}");
            return ExitStatus::Failed;
        }
    };
    let daemon = match Daemon::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("{error}");
            return ExitStatus::Failed;
        }
    };
    log::info!("callers {}, operators {}, other VMs {}", daemon.callers, daemon.operators, daemon.peers);
    let daemon = std::sync::Arc::new(daemon);
    let told = daemon.clone();
    async_std::task::spawn(async move {
        while signals.recv().await.is_ok() {
            told.terminate().await;
        }
    });
    daemon.wait().await;
    ExitStatus::Done
}
