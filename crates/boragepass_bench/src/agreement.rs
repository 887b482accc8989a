//! Measures how VMs agree: the time until a list change is in force everywhere, the control traffic between VMs and to
//! the table service, and the time until a dead VM is detected.
//!
//! Runs daemons over sockets, and reducers in virtual time.

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

/// Time in which a new virtual fleet becomes ready and its control traffic steady.
const SETTLE_MS: u64 = 20_000;
const MEASUREMENT_MS: u64 = 20_000;
const LIST_CHANGES: u64 = 10;
/// Time over which the cost of a message between VMs is measured.
const LINK_MEASUREMENT: Duration = Duration::from_secs(5);
/// Of the 5,100 requests a second of the target fleet, one in twenty is a booking.
const TARGET_BOOKINGS_PER_S: f64 = 5_100.0 / 20.0;
const TARGET_VMS: f64 = 400.0;

/// Figures at one size.
#[derive(Debug, Clone, Serialize)]
pub struct AgreementFigures {
    /// What was measured: daemons over sockets, or reducers in virtual time.
    pub kind: &'static str,
    /// VMs in the fleet.
    pub vms: usize,
    /// Longest time from an operator's command until it is in force on every VM.
    pub in_force_ms: u64,
    /// Time from the death of a VM until all others have detected it.
    pub detect_ms: u64,
    /// Live VMs that were declared dead, summed over the VMs that declared it.
    pub falsely_dead: u64,
    /// Read requests to the table service a second, all VMs together.
    pub table_reads_per_s: f64,
    /// Transactions of the table service a second, all VMs together.
    pub table_writes_per_s: f64,
    /// Bytes sent and received by the busiest VM a second.
    pub busiest_bytes_per_s: f64,
    /// Messages sent and received by the busiest VM a second.
    pub busiest_messages_per_s: f64,
    /// Share of a core that reducer and codec take on the busiest VM; `None` for daemons over sockets.
    pub busiest_core_share: Option<f64>,
    /// Claims at the target rate; `None` for daemons over sockets.
    pub claims: Option<ClaimFigures>,
}

/// Claims while the fleet gets its share of the target rate of bookings.
#[derive(Debug, Clone, Serialize)]
pub struct ClaimFigures {
    /// Bookings submitted a second.
    pub bookings_per_s: f64,
    /// Share of bookings that were answered.
    pub answered_share: f64,
    /// Transactions a second, claims and their settlements together.
    pub transactions_per_s: f64,
    /// Mean number of rows in a transaction.
    pub rows_per_transaction: f64,
    /// Mean number of transactions for one booking.
    pub transactions_per_booking: f64,
}

/// Measures 8 daemons over sockets, and fleets of 8 and 400 reducers in virtual time.
pub fn measure_agreement() -> Result<Vec<AgreementFigures>, Box<dyn std::error::Error>> {
    Ok(vec![task::block_on(measure_daemons())?, measure_reducers(8, 3, 6, 50), measure_reducers(400, 8, 22, 1_300)])
}

async fn measure_daemons() -> Result<AgreementFigures, Box<dyn std::error::Error>> {
    const VMS: usize = 8;
    let mut fleet = LoopbackFleet::start(LoopbackFleetSettings::default()).await?;
    fleet.commit_list_edit(ListEdit::SetPlan(plan("gigdesk", 6_000, 1_000)));
    fleet.commit_list_edit(ListEdit::SetAllowlist(allowlist("gigdesk", &["region-0", "region-1", "region-2"])));
    for number in 0..30 {
        let name = format!("engine-{number}");
        let settings = FakeEndpointSettings { name, ..FakeEndpointSettings::default() };
        fleet.add_endpoint(settings, "engines", &format!("region-{}", number % 3)).await?;
    }
    let mut daemons = Vec::new();
    for number in 0..VMS {
        let region = format!("region-{}", number % 3);
        daemons.push(fleet.add_daemon(&format!("vm-{number}"), &region, &format!("domain-{}", number % 6)).await?);
    }
    for daemon in &daemons {
        let is_ready = |status: &boragepass_wire::WireFleetStatus| {
            status.admits && status.vms.iter().filter(|vm| vm.state == "alive").count() == VMS
        };
        if !fleet.wait_for_status(daemon, is_ready).await {
            return Err("a daemon did not become ready in time".into());
        }
    }
    let table_counts = || {
        let state = fleet.table.state.lock().expect("no holder of this lock panics");
        (state.reads, state.commits)
    };
    let (table_before, traffic_before): (_, Vec<_>) =
        (table_counts(), daemons.iter().map(|daemon| daemon.peer_traffic()).collect());
    let started = Instant::now();
    task::sleep(Duration::from_secs(10)).await;
    let (table_after, elapsed_s) = (table_counts(), started.elapsed().as_secs_f64());
    let sent_traffic = daemons.iter().zip(&traffic_before).map(|(daemon, (bytes, messages))| {
        let (now_bytes, now_messages) = daemon.peer_traffic();
        (now_bytes - bytes, now_messages - messages)
    });
    let busiest = sent_traffic.max().unwrap_or_default();
    let mut longest_in_force = Duration::ZERO;
    for change in 0..LIST_CHANGES {
        let daemon = &daemons[change as usize % VMS];
        let body = serde_json::to_string(&WirePlan::from(&plan("gigdesk", 6_000, 1_000 + change as u32)))?;
        let sent_at = Instant::now();
        match fleet.send_operator_command(daemon, Method::Put, "/v1/plans", body).await {
            Some(WireOperatorReply::Accepted { .. }) => longest_in_force = longest_in_force.max(sent_at.elapsed()),
            other => return Err(format!("the reply to a plan change is not an acceptance: {other:?}").into()),
        }
    }
    let falsely_dead = count_dead_reports(&fleet, &daemons).await?;
    let killed_at = Instant::now();
    daemons.remove(0).kill();
    for daemon in &daemons {
        let is_death_known = |status: &boragepass_wire::WireFleetStatus| {
            status.vms.iter().any(|vm| vm.vm == "vm-0" && vm.state == "dead")
        };
        if !fleet.wait_for_status(daemon, is_death_known).await {
            return Err("a daemon did not detect the death of vm-0 in time".into());
        }
    }
    Ok(AgreementFigures {
        kind: "daemons over sockets",
        vms: VMS,
        in_force_ms: longest_in_force.as_millis() as u64,
        detect_ms: killed_at.elapsed().as_millis() as u64,
        falsely_dead,
        table_reads_per_s: (table_after.0 - table_before.0) as f64 / elapsed_s,
        table_writes_per_s: (table_after.1 - table_before.1) as f64 / elapsed_s,
        // The fleet is symmetric, so the busiest VM receives about as much as it sends.
        busiest_bytes_per_s: 2.0 * busiest.0 as f64 / elapsed_s,
        busiest_messages_per_s: 2.0 * busiest.1 as f64 / elapsed_s,
        busiest_core_share: None,
        claims: None,
    })
}

/// Counts the VMs that each daemon reports as dead, summed over the daemons.
async fn count_dead_reports(
    fleet: &LoopbackFleet,
    daemons: &[boragepass_server::Daemon],
) -> Result<u64, Box<dyn std::error::Error>> {
    let mut dead_reports = 0;
    for daemon in daemons {
        let status = fleet.status(daemon).await.ok_or("a daemon did not answer a status query")?;
        dead_reports += status.vms.iter().filter(|vm| vm.state == "dead").count() as u64;
    }
    Ok(dead_reports)
}

/// Measures the processor time of one message between VMs over sockets, both sides together. Compares eight daemons
/// with frequent heartbeats and with rare ones, so that the load apart from heartbeats cancels out.
pub(crate) fn measure_link_us_per_message() -> Result<f64, Box<dyn std::error::Error>> {
    let frequent = task::block_on(measure_idle_daemons(10))?;
    let rare = task::block_on(measure_idle_daemons(500))?;
    let processor_us = (frequent.0.saturating_sub(rare.0)).as_secs_f64() * 1e6;
    Ok(processor_us / frequent.1.saturating_sub(rare.1).max(1) as f64)
}

/// Measures the processor time and the sent messages of eight idle daemons in one failure domain.
async fn measure_idle_daemons(heartbeat_ms: u64) -> Result<(Duration, u64), Box<dyn std::error::Error>> {
    const VMS: usize = 8;
    let limits = Limits { heartbeat_ms: SpanMs(heartbeat_ms), ..Limits::default() };
    let fleet = LoopbackFleet::start(LoopbackFleetSettings { limits, ..LoopbackFleetSettings::default() }).await?;
    let mut daemons = Vec::new();
    for number in 0..VMS {
        daemons.push(fleet.add_daemon(&format!("vm-{number}"), "lagos", "lagos-a").await?);
    }
    task::sleep(Duration::from_secs(3)).await;
    let sent_messages =
        |daemons: &[boragepass_server::Daemon]| daemons.iter().map(|daemon| daemon.peer_traffic().1).sum::<u64>();
    let (messages_before, processor_before) = (sent_messages(&daemons), processor_time());
    task::sleep(LINK_MEASUREMENT).await;
    let processor_time_and_messages =
        (processor_time().saturating_sub(processor_before), sent_messages(&daemons) - messages_before);
    daemons.iter().for_each(boragepass_server::Daemon::kill);
    Ok(processor_time_and_messages)
}

/// Builds a fleet of reducers in virtual time and runs it until its control traffic is steady.
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

/// Measures a fleet of reducers in virtual time.
fn measure_reducers(vms: usize, regions: usize, domains: usize, endpoints: usize) -> AgreementFigures {
    let mut fleet = settled_fleet(vms, regions, domains, endpoints, 5);
    fleet.measure_cost();
    let deaths_before = count_member_deaths(&fleet);
    fleet.advance(MEASUREMENT_MS);
    let elapsed_s = MEASUREMENT_MS as f64 / 1_000.0;
    let costs: Vec<_> = (0..vms).map(|node| fleet.cost(node)).collect();
    let falsely_dead = count_member_deaths(&fleet) - deaths_before;
    let mut in_force_ms = 0;
    for change in 0..LIST_CHANGES {
        let node = (change as usize * 37) % vms;
        let edit = ListEdit::SetPlan(plan("workspace-0", 6_000, 2_000 + change as u32));
        let sent_at = fleet.now;
        let call = fleet.send_operator_command(node, OperatorCommand::Commit { expect: None, edit });
        while !fleet.operator_replies.contains_key(&call) {
            fleet.advance(10);
        }
        let is_accepted = matches!(
            fleet.operator_replies.get(&call),
            Some(OperatorReply::Committed { waiting_for, .. }) if waiting_for.is_empty()
        );
        in_force_ms = in_force_ms.max(if is_accepted { fleet.now.since(sent_at).0 } else { u64::MAX });
    }
    AgreementFigures {
        kind: "reducers in virtual time",
        vms,
        in_force_ms,
        claims: Some(measure_claims(&mut fleet, vms)),
        detect_ms: measure_detection_ms(&mut fleet, vms),
        falsely_dead,
        table_reads_per_s: costs.iter().map(|cost| cost.table_reads).sum::<u64>() as f64 / elapsed_s,
        table_writes_per_s: costs.iter().map(|cost| cost.table_writes).sum::<u64>() as f64 / elapsed_s,
        busiest_bytes_per_s: costs.iter().map(|cost| cost.bytes_in + cost.bytes_out).max().unwrap_or(0) as f64
            / elapsed_s,
        busiest_messages_per_s: costs.iter().map(|cost| cost.messages_in + cost.messages_out).max().unwrap_or(0) as f64
            / elapsed_s,
        busiest_core_share: costs.iter().map(|cost| cost.processing_time.as_secs_f64() / elapsed_s).reduce(f64::max),
    }
}

/// Submits bookings at the share of the target rate that `vms` of the target fleet's VMs get, and counts their claims.
pub(crate) fn measure_claims(fleet: &mut Fleet, vms: usize) -> ClaimFigures {
    const SUBMISSION_MS: u64 = 5_000;
    /// Time in which the last claims are answered and settled.
    const SETTLEMENT_MS: u64 = 8_000;
    let bookings_per_s = TARGET_BOOKINGS_PER_S * vms as f64 / TARGET_VMS;
    let count = (bookings_per_s * SUBMISSION_MS as f64 / 1_000.0) as u64;
    let table_before = (fleet.table.commits, fleet.table.rows_written);
    let mut calls = Vec::new();
    for number in 0..count {
        let (id, input) = (format!("booking-{number}"), format!("pickup {number}"));
        let node = (number as usize * 61) % vms;
        let workspace = format!("workspace-{}", number % 5);
        calls.push(fleet.submit_with_key(node, &workspace, "pickup-booking", &id, &input, Some(&id)));
        let due_ms = number * SUBMISSION_MS / count.max(1);
        let next_due_ms = (number + 1) * SUBMISSION_MS / count.max(1);
        fleet.advance(next_due_ms - due_ms);
    }
    fleet.advance(SETTLEMENT_MS);
    let is_answered = |call: &&boragepass_types::CallId| {
        let outcomes = &fleet.calls[*call].outcomes;
        matches!(outcomes.first(), Some((_, boragepass_types::Outcome::Answered { .. })))
    };
    let answered = calls.iter().filter(is_answered).count();
    let transactions = (fleet.table.commits - table_before.0) as f64;
    let rows = (fleet.table.rows_written - table_before.1) as f64;
    ClaimFigures {
        bookings_per_s,
        answered_share: answered as f64 / calls.len().max(1) as f64,
        transactions_per_s: transactions * 1_000.0 / SUBMISSION_MS as f64,
        rows_per_transaction: rows / transactions.max(1.0),
        transactions_per_booking: transactions / calls.len().max(1) as f64,
    }
}

/// Counts how often a VM of the fleet declared another dead.
fn count_member_deaths(fleet: &Fleet) -> u64 {
    fleet.state_changes.iter().filter(|(_, _, change)| matches!(change, StateChange::MemberDead { .. })).count() as u64
}

/// Kills a VM and measures the time until all others have detected its death.
fn measure_detection_ms(fleet: &mut Fleet, vms: usize) -> u64 {
    let killed_node = vms / 2;
    let name = fleet.vm(killed_node).clone();
    let killed_at = fleet.now;
    fleet.kill(killed_node);
    let detections = |fleet: &Fleet| {
        let death_reports = fleet.state_changes.iter().filter(|(at, _, change)| {
            *at >= killed_at && matches!(change, StateChange::MemberDead { vm, .. } if *vm == name)
        });
        death_reports.count()
    };
    while detections(fleet) < vms - 1 && fleet.now.since(killed_at).0 < 30_000 {
        fleet.advance(20);
    }
    fleet.now.since(killed_at).0
}
