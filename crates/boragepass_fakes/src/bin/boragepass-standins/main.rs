//! `boragepass-standins`: the fake platform and the fake endpoints in one process, for daemons that run
//! as processes of their own.
//!
//! It writes a settings file for each VM into a folder, adds the VMs to the VM list and serves until it
//! is terminated.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use async_std::task;
use boragepass_core::{ListEdit, VmListEntry, VmState};
use boragepass_fakes::{
    FakeEndpointSettings, LoopbackFleet, LoopbackFleetSettings, OPERATOR_KEY, PEER_KEY, allowlist, caller_key,
    pipelines, plan,
};
use boragepass_types::Pipeline;
use gumdrop::Options;

const REGION: &str = "lagos";
const PORTS_PER_VM: u16 = 3;

/// Serves the platform and the endpoints for daemons on this machine.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// folder for the settings of the VMs
    #[options(required, meta = "DIR")]
    dir: String,
    /// number of VMs
    #[options(default = "3", meta = "N")]
    vms: u16,
    /// first port of the VMs
    #[options(default = "7000", meta = "PORT")]
    base_port: u16,
}

type SetupError = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match task::block_on(serve(&arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(arguments: &Arguments) -> Result<(), SetupError> {
    let mut fleet = LoopbackFleet::start(LoopbackFleetSettings::default()).await?;
    for workspace in ["gigdesk", "lampu-lestari"] {
        fleet.commit_list_edit(ListEdit::SetPlan(plan(workspace, 6_000, 1_000)));
        fleet.commit_list_edit(ListEdit::SetAllowlist(allowlist(workspace, &[REGION])));
        println!("callers of {workspace} present the key {}", caller_key(workspace));
    }
    println!("operators present the key {OPERATOR_KEY}");
    let pools = [("encoders", 2), ("retrievers", 2), ("rerankers", 2), ("payouts", 2), ("members", 2), ("engines", 5)];
    for (pool, count) in pools {
        for number in 1..=count {
            let settings = FakeEndpointSettings {
                name: format!("{pool}-{number}"),
                models: vec!["contract-7b".to_owned(), "assistant-3b".to_owned()],
                ..FakeEndpointSettings::default()
            };
            fleet.add_endpoint(settings, pool, REGION).await?;
        }
    }
    std::fs::create_dir_all(&arguments.dir)?;
    for number in 1..=arguments.vms {
        let file = Path::new(&arguments.dir).join(format!("{REGION}-{number}.ini"));
        let first_port = arguments.base_port + (number - 1) * PORTS_PER_VM;
        std::fs::write(&file, add_vm_to_list(&fleet, number, first_port)?)?;
        println!("boragepassd --settings {}", file.display());
    }
    task::sleep(std::time::Duration::MAX).await;
    Ok(())
}

/// Adds a VM to the VM list and returns the text of its settings file.
fn add_vm_to_list(fleet: &LoopbackFleet, number: u16, first_port: u16) -> Result<String, SetupError> {
    let address = |offset: u16| SocketAddr::from(([127, 0, 0, 1], first_port + offset));
    let vm = format!("{REGION}-{number}");
    fleet.vm_list.put(VmListEntry::EntryVm {
        vm: vm.parse()?,
        region: REGION.parse()?,
        failure_domain: vm.parse()?,
        peer_address: address(2),
        caller_address: address(0),
        state: VmState::Live,
    });
    let (table, objects, vm_list) = fleet.platform_addresses();
    let mut text = format!(
        "[node]\nvm = {vm}\nregion = {REGION}\nfailure_domain = {vm}\n\n\
         [listen]\ncallers = {}\noperators = {}\npeers = {}\n\n\
         [platform]\ntable = {table}\nobjects = {objects}\nvm_list = {vm_list}\n\n\
         [keys]\noperator = {OPERATOR_KEY}\npeer = {PEER_KEY}\n",
        address(0),
        address(1),
        address(2),
    );
    for pipeline in pipelines() {
        write_pipeline(&mut text, &pipeline)?;
    }
    Ok(text)
}

fn write_pipeline(text: &mut String, pipeline: &Pipeline) -> Result<(), std::fmt::Error> {
    let names: Vec<_> = pipeline.stages.iter().map(|stage| stage.id.to_string()).collect();
    writeln!(text, "\n[pipeline {}]\nstages = {}", pipeline.id, names.join(", "))?;
    for stage in &pipeline.stages {
        writeln!(text, "\n[stage {}/{}]\nkind = {}\npool = {}", pipeline.id, stage.id, stage.kind, stage.pool)?;
        if let Some(model) = &stage.model {
            writeln!(text, "model = {model}")?;
        }
        writeln!(text, "repeatable = {}\nexpected_ms = {}", stage.is_repeatable, stage.expected_ms.0)?;
    }
    Ok(())
}
