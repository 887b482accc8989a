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

/// Exit status of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ExitStatus {
    Success,
    Failure,
    BadInput,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Success => Self::from(0),
            ExitStatus::Failure => Self::from(1),
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
            eprintln!("cannot read the settings {}: {error}", arguments.settings);
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

/// Receives a message for each SIGTERM or SIGINT.
fn termination_signals() -> std::io::Result<Receiver<()>> {
    let (sender, receiver) = bounded(4);
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    std::thread::spawn(move || {
        for _ in signals.forever() {
            // A full queue already holds enough signals to end the process.
            sender.try_send(()).ok();
        }
    });
    Ok(receiver)
}

async fn run(settings: boragepass_settings::Settings) -> ExitStatus {
    let signals = match termination_signals() {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("cannot wait for signals: {error}");
            return ExitStatus::Failure;
        }
    };
    let daemon = match Daemon::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("{error}");
            return ExitStatus::Failure;
        }
    };
    log::info!(
        "listening: callers {}, operators {}, other VMs {}",
        daemon.caller_address,
        daemon.operator_address,
        daemon.peer_address
    );
    let daemon = std::sync::Arc::new(daemon);
    let signaled_daemon = daemon.clone();
    async_std::task::spawn(async move {
        while signals.recv().await.is_ok() {
            signaled_daemon.terminate().await;
        }
    });
    daemon.wait().await;
    ExitStatus::Success
}
