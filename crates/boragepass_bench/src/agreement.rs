//! Lists in force, control traffic and detection of dead VMs.

use std::time::{Duration, Instant};

use async_std::task;
use boragepass_core::{Limits, ListEdit, OperatorCommand, OperatorReply, StateChange};
use boragepass_fakes::virtual_fleet::{Fleet, SimEndpoint};
use boragepass_fakes::{FakeEndpointSettings, LoopbackFleet, LoopbackFleetSettings, allowlist, plan};
use boragepass_types::SpanMs;
use boragepass_wire::{WireOperatorReply, WirePlan};
use http_types::Method;
use serde::Serialize;

use crate::process::processor_time;

const SETTLE_MS: u64 = 20_000;
const MEASURED_MS: u64 = 20_000;
const CHANGES: u64 = 10;
const LINK_FOR: Duration = Duration::from_secs(5);
const BOOKINGS_PER_S: f64 = 5_100.0 / 20.0;
const VMS_OF_LETTER: f64 = 400.0;

/// Figures at one size.
#[derive(Debug, Clone, Serialize)]
pub struct AgreementFigures {
    /// What was measured: daemons over sockets, or reducers in virtual time.
    pub kind: &'static str,
    /// VMs.
    pub vms: usize,
    /// Time from an operator's command to its acceptance, largest of several.
    pub in_force_ms: u64,
    /// Time from the death of a VM until all others know, largest.
    pub detect_ms: u64,
    /// VMs declared dead that were not.
    pub falsely_dead: u64,
    /// Requests to the table service that read, a second, all VMs together.
    pub table_reads_per_s: f64,
    /// Transactions a second, all VMs together.
    pub table_writes_per_s: f64,
    /// Bytes sent and received by the busiest VM a second.
    pub busiest_bytes_per_s: f64,
    /// Messages sent and received by the busiest VM a second.
    pub busiest_messages_per_s: f64,
    /// Share of a core for reducer and codec on the busiest VM, where reducers are measured.
    pub busiest_core_share: Option<f64>,
    /// Claims at the rate of letter 1, where reducers are measured.
    pub claims: Option<ClaimFigures>,
}

/// Claims at one request in twenty of the fleet's share of 5,100 a second.
#[derive(Debug, Clone, Serialize)]
pub struct ClaimFigures {
    /// Bookings a second.
    pub bookings_per_s: f64,
    /// Share of bookings that were answered.
    pub answered_share: f64,
    /// Transactions a second, claims and settlements together.
    pub transactions_per_s: f64,
    /// Rows in a transaction.
    pub rows_per_transaction: f64,
    /// Transactions for one booking.
    pub transactions_per_booking: f64,
}

/// Measures 8 daemons over sockets, and reducers at 8 and 400.
pub fn agreement() -> Result<Vec<AgreementFigures>, Box<dyn std::error::Error>> {
    Ok(vec![task::block_on(daemons())?, reducers(8, 3, 6, 50), reducers(400, 8, 22, 1_300)])
}

async fn daemons() -> Result<AgreementFigures, Box<dyn std::error::Error>> {
    const VMS: usize = 8;
    let mut world = LoopbackFleet::start(LoopbackFleetSettings::default()).await?;
    world.commit_list_edit(ListEdit::SetPlan(plan("gigdesk", 6_000, 1_000)));
    world.commit_list_edit(ListEdit::SetAllowlist(allowlist("gigdesk", &["region-0", "region-1", "region-2"])));
    for number in 0..30 {
        let name = format!("engine-{number}");
        let settings = FakeEndpointSettings { name, ..FakeEndpointSettings::default() };
        world.add_endpoint(settings, "engines", &format!("region-{}", number % 3)).await?;
    }
    let mut daemons = Vec::new();
    for number in 0..VMS {
        let region = format!("region-{}", number % 3);
        daemons.push(world.add_daemon(&format!("vm-{number}"), &region, &format!("domain-{}", number % 6)).await?);
    }
    for daemon in &daemons {
        let is_ready = |status: &boragepass_wire::WireFleetStatus| {
            status.admits && status.vms.iter().filter(|vm| vm.state == "alive").count() == VMS
        };
        if !world.wait_for_status(daemon, is_ready).await {
            return Err("a daemon did not become ready".into());
        }
    }
    let table = || {
        let state = world.table.state.lock().expect("no holder of this lock panics");
        (state.reads, state.commits)
    };
    let (before, traffic): (_, Vec<_>) = (table(), daemons.iter().map(|daemon| daemon.peer_traffic()).collect());
    let started = Instant::now();
    task::sleep(Duration::from_secs(10)).await;
    let (after, span) = (table(), started.elapsed().as_secs_f64());
    let sent = daemons.iter().zip(&traffic).map(|(daemon, (bytes, messages))| {
        let (now_bytes, now_messages) = daemon.peer_traffic();
        (now_bytes - bytes, now_messages - messages)
    });
    let busiest = sent.max().unwrap_or_default();
    let mut in_force = Duration::ZERO;
    for change in 0..CHANGES {
        let daemon = &daemons[change as usize % VMS];
        let body = serde_json::to_string(&WirePlan::from(&plan("gigdesk", 6_000, 1_000 + change as u32)))?;
        let began = Instant::now();
        match world.send_operator_command(daemon, Method::Put, "/v1/plans", body).await {
            Some(WireOperatorReply::Accepted { .. }) => in_force = in_force.max(began.elapsed()),
            other => return Err(format!("a change was not accepted: {other:?}").into()),
        }
    }
    let falsely_dead = dead_at(&world, &daemons).await?;
    let began = Instant::now();
    daemons.remove(0).kill();
    for daemon in &daemons {
        let is_known = |status: &boragepass_wire::WireFleetStatus| {
            status.vms.iter().any(|vm| vm.vm == "vm-0" && vm.state == "dead")
        };
        if !world.wait_for_status(daemon, is_known).await {
            return Err("a dead VM was not noticed".into());
        }
    }
    Ok(AgreementFigures {
        kind: "daemons over sockets",
        vms: VMS,
        in_force_ms: in_force.as_millis() as u64,
        detect_ms: began.elapsed().as_millis() as u64,
        falsely_dead,
        table_reads_per_s: (after.0 - before.0) as f64 / span,
        table_writes_per_s: (after.1 - before.1) as f64 / span,
        // What one VM sends another receives; the fleet is symmetric.
        busiest_bytes_per_s: 2.0 * busiest.0 as f64 / span,
        busiest_messages_per_s: 2.0 * busiest.1 as f64 / span,
        busiest_core_share: None,
        claims: None,
    })
}

/// VMs that some daemon takes for dead.
async fn dead_at(
    world: &LoopbackFleet,
    daemons: &[boragepass_server::Daemon],
) -> Result<u64, Box<dyn std::error::Error>> {
    let mut dead = 0;
    for daemon in daemons {
        let status = world.status(daemon).await.ok_or("a daemon did not answer")?;
        dead += status.vms.iter().filter(|vm| vm.state == "dead").count() as u64;
    }
    Ok(dead)
}

/// Processor time for one message between VMs over sockets, both sides together: eight daemons with
/// quick heartbeats against the same with slow ones.
pub(crate) fn link_us_per_message() -> Result<f64, Box<dyn std::error::Error>> {
    let quick = task::block_on(idle_daemons(10))?;
    let slow = task::block_on(idle_daemons(500))?;
    let work_us = (quick.0.saturating_sub(slow.0)).as_secs_f64() * 1e6;
    Ok(work_us / quick.1.saturating_sub(slow.1).max(1) as f64)
}

/// Processor time and messages of eight daemons in one failure domain.
async fn idle_daemons(heartbeat_ms: u64) -> Result<(Duration, u64), Box<dyn std::error::Error>> {
    const VMS: usize = 8;
    let limits = Limits { heartbeat_ms: SpanMs(heartbeat_ms), ..Limits::default() };
    let world = LoopbackFleet::start(LoopbackFleetSettings { limits, ..LoopbackFleetSettings::default() }).await?;
    let mut daemons = Vec::new();
    for number in 0..VMS {
        daemons.push(world.add_daemon(&format!("vm-{number}"), "lagos", "lagos-a").await?);
    }
    task::sleep(Duration::from_secs(3)).await;
    let sent =
        |daemons: &[boragepass_server::Daemon]| daemons.iter().map(|daemon| daemon.peer_traffic().1).sum::<u64>();
    let (messages, processor) = (sent(&daemons), processor_time());
    task::sleep(LINK_FOR).await;
    let figures = (processor_time().saturating_sub(processor), sent(&daemons) - messages);
    daemons.iter().for_each(boragepass_server::Daemon::kill);
    Ok(figures)
}

/// Fleet of reducers that has settled.
pub(crate) fn settled_fleet(vms: usize, regions: usize, domains: usize, endpoints: usize, workspaces: usize) -> Fleet {
    let mut fleet = Fleet::new(3, Limits::default());
    let names: Vec<_> = (0..regions).map(|number| format!("region-{number}")).collect();
    let regions_list: Vec<_> = names.iter().map(String::as_str).collect();
    for number in 0..workspaces {
        let name = format!("workspace-{number}");
        fleet.commit_list_edit(ListEdit::SetPlan(plan(&name, 6_000, 1_000)));
        fleet.commit_list_edit(ListEdit::SetAllowlist(allowlist(&name, &regions_list)));
    }
    let pools = ["engines", "encoders", "retrievers", "rerankers", "payouts", "members"];
    for number in 0..endpoints {
        let region = &names[number / pools.len() % regions];
        let models = ["contract-7b", "assistant-3b"];
        fleet.add_endpoint(SimEndpoint::new(number, pools[number % pools.len()], region, &models, true));
    }
    for number in 0..vms {
        let domain = number % domains;
        fleet.add_node(&format!("vm-{number}"), &names[domain % regions], &format!("domain-{domain}"));
    }
    fleet.advance(SETTLE_MS);
    fleet
}

fn reducers(vms: usize, regions: usize, domains: usize, endpoints: usize) -> AgreementFigures {
    let mut fleet = settled_fleet(vms, regions, domains, endpoints, 5);
    fleet.measure_cost();
    let falsely_dead_before = dead_count(&fleet);
    fleet.advance(MEASURED_MS);
    let span = MEASURED_MS as f64 / 1_000.0;
    let costs: Vec<_> = (0..vms).map(|node| fleet.cost(node)).collect();
    let falsely_dead = dead_count(&fleet) - falsely_dead_before;
    let mut in_force_ms = 0;
    for change in 0..CHANGES {
        let node = (change as usize * 37) % vms;
        let edit = ListEdit::SetPlan(plan("workspace-0", 6_000, 2_000 + change as u32));
        let began = fleet.now;
        let call = fleet.send_operator_command(node, OperatorCommand::Commit { expect: None, edit });
        while !fleet.operator_replies.contains_key(&call) {
            fleet.advance(10);
        }
        let is_accepted = matches!(
            fleet.operator_replies.get(&call),
            Some(OperatorReply::Committed { waiting_for, .. }) if waiting_for.is_empty()
        );
        in_force_ms = in_force_ms.max(if is_accepted { fleet.now.since(began).0 } else { u64::MAX });
    }
    AgreementFigures {
        kind: "reducers in virtual time",
        vms,
        in_force_ms,
        claims: Some(claims_at_rate(&mut fleet, vms)),
        detect_ms: detection_ms(&mut fleet, vms),
        falsely_dead,
        table_reads_per_s: costs.iter().map(|cost| cost.table_reads).sum::<u64>() as f64 / span,
        table_writes_per_s: costs.iter().map(|cost| cost.table_writes).sum::<u64>() as f64 / span,
        busiest_bytes_per_s: costs.iter().map(|cost| cost.bytes_in + cost.bytes_out).max().unwrap_or(0) as f64 / span,
        busiest_messages_per_s: costs.iter().map(|cost| cost.messages_in + cost.messages_out).max().unwrap_or(0) as f64
            / span,
        busiest_core_share: costs.iter().map(|cost| cost.processing_time.as_secs_f64() / span).reduce(f64::max),
    }
}

/// Sends bookings at one in twenty of the requests that `vms` of 400 VMs get.
pub(crate) fn claims_at_rate(fleet: &mut Fleet, vms: usize) -> ClaimFigures {
    const SPAN_MS: u64 = 5_000;
    const REST_MS: u64 = 8_000;
    let bookings_per_s = BOOKINGS_PER_S * vms as f64 / VMS_OF_LETTER;
    let count = (bookings_per_s * SPAN_MS as f64 / 1_000.0) as u64;
    let before = (fleet.table.commits, fleet.table.rows_written);
    let mut calls = Vec::new();
    for number in 0..count {
        let (id, input) = (format!("booking-{number}"), format!("pickup {number}"));
        let node = (number as usize * 61) % vms;
        let workspace = format!("workspace-{}", number % 5);
        calls.push(fleet.submit_with_key(node, &workspace, "pickup-booking", &id, &input, Some(&id)));
        let due = number * SPAN_MS / count.max(1);
        let next = (number + 1) * SPAN_MS / count.max(1);
        fleet.advance(next - due);
    }
    fleet.advance(REST_MS);
    let is_answered = |call: &&boragepass_types::CallId| {
        let outcomes = &fleet.calls[*call].outcomes;
        matches!(outcomes.first(), Some((_, boragepass_types::Outcome::Answered { .. })))
    };
    let answered = calls.iter().filter(is_answered).count();
    let transactions = (fleet.table.commits - before.0) as f64;
    let rows = (fleet.table.rows_written - before.1) as f64;
    ClaimFigures {
        bookings_per_s,
        answered_share: answered as f64 / calls.len().max(1) as f64,
        transactions_per_s: transactions * 1_000.0 / SPAN_MS as f64,
        rows_per_transaction: rows / transactions.max(1.0),
        transactions_per_booking: transactions / calls.len().max(1) as f64,
    }
}

fn dead_count(fleet: &Fleet) -> u64 {
    fleet.state_changes.iter().filter(|(_, _, change)| matches!(change, StateChange::MemberDead { .. })).count() as u64
}

/// Kills a VM and waits until all others know.
fn detection_ms(fleet: &mut Fleet, vms: usize) -> u64 {
    let victim = vms / 2;
    let name = fleet.vm(victim).clone();
    let began = fleet.now;
    fleet.kill(victim);
    let known = |fleet: &Fleet| {
        let told = fleet.state_changes.iter().filter(|(at, _, change)| {
            *at >= began && matches!(change, StateChange::MemberDead { vm, .. } if *vm == name)
        });
        told.count()
    };
    while known(fleet) < vms - 1 && fleet.now.since(began).0 < 30_000 {
        fleet.advance(20);
    }
    fleet.now.since(began).0
}
