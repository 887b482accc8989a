//! Measures how memory, control traffic and processor time grow with fleet size, and compares the totals at the target
//! size with their targets.

use std::time::Instant;

use boragepass_core::{Event, Node, PeerMessage};
use boragepass_fakes::virtual_fleet::Fleet;
use boragepass_types::{AccessKey, CallId, Incarnation, RawRequest, Request, TimeMs};
use serde::Serialize;

use crate::agreement::{measure_claims, measure_link_us_per_message, settled_fleet};
use crate::decisions::{lists_snapshot, node_settings, plan_change, ready_node};
use crate::process::heap_bytes;

// The target fleet: its size, and its list changes.
const TARGET_VMS: f64 = 400.0;
const TARGET_ENDPOINTS: f64 = 1_300.0;
const TARGET_REGIONS: usize = 8;
const TARGET_DOMAINS: usize = 22;
const TARGET_WORKSPACES: f64 = 4_200.0;
const TARGET_CHANGES_PER_DAY: f64 = 2_800.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Workspaces that the busiest VM serves, over the mean of all VMs.
const WORKSPACE_SKEW: f64 = 3.0;

// Targets for one VM and, for the table service, for the whole fleet.
const CORE_SHARE_MAX: f64 = 0.031;
const MEMORY_BYTES_MAX: f64 = 32.0 * 1_048_576.0;
const BYTES_PER_S_MAX: f64 = 21.0 * 1_024.0;
const TABLE_READS_PER_S_MAX: f64 = 1_000.0;
const TABLE_WRITES_PER_S_MAX: f64 = 300.0;
const IN_FORCE_MAX_S: f64 = 6.0;

/// Growth of a quantity with a size, by least squares.
#[derive(Debug, Clone, Serialize)]
pub struct Slope {
    /// Quantity that grows.
    #[serde(rename = "of")]
    pub quantity: &'static str,
    /// Size that it grows with.
    #[serde(rename = "against")]
    pub size: &'static str,
    /// Measured sizes and values.
    pub points: Vec<(f64, f64)>,
    /// Growth of the quantity for one more of the size.
    pub slope: f64,
    /// Value of the fitted line at size zero.
    #[serde(rename = "base")]
    pub intercept: f64,
}

/// Slopes, and the totals for the busiest VM at the target size.
#[derive(Debug, Clone, Serialize)]
pub struct SlopeFigures {
    /// Measured slopes.
    pub slopes: Vec<Slope>,
    /// Share of a core for control traffic and list changes.
    pub control_core_share: f64,
    /// Heap for endpoints, lists, VMs and usage.
    pub control_memory_bytes: f64,
    /// Bytes of control traffic sent and received a second.
    pub control_bytes_per_s: f64,
    /// Reads of the table service a second, whole fleet.
    pub table_reads_per_s: f64,
    /// Transactions of the table service a second, whole fleet, claims included.
    pub table_writes_per_s: f64,
    /// Longest time from a commit until it is in force on every VM.
    pub config_in_force_s: f64,
    /// Processor time for one message between VMs over sockets, both sides together.
    pub link_us_per_message: f64,
    /// Messages about the targets that are exceeded.
    pub exceeded: Vec<String>,
}

/// Fits a line by least squares.
fn fit_line(quantity: &'static str, size: &'static str, points: Vec<(f64, f64)>) -> Slope {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    Slope { quantity, size, points, slope, intercept: mean_y - slope * mean_x }
}

/// Measures the heap that a built value holds.
fn measure_heap<T>(build: impl FnOnce() -> T) -> (T, f64) {
    let before = heap_bytes();
    let value = build();
    (value, heap_bytes().saturating_sub(before) as f64)
}

const START: TimeMs = TimeMs(1_000_000);

fn heap_against_endpoints() -> Slope {
    let points = [100, 500, 1_300].map(|count| {
        let (_node, heap) = measure_heap(|| ready_node(START, count, 1));
        (count as f64, heap)
    });
    fit_line("heap bytes of a node", "endpoints", points.to_vec())
}

fn heap_against_workspaces() -> Slope {
    let points = [500, 2_000, 4_200].map(|count| {
        let (_node, heap) = measure_heap(|| {
            let lists = std::sync::Arc::new(lists_snapshot(count));
            let mut node = ready_node(START, 1, 1);
            let (from, incarnation) = ("vm-2".parse().expect("the name is valid"), Incarnation(1));
            let mut lists = std::sync::Arc::unwrap_or_clone(lists);
            lists.version = lists.version.next();
            let message = PeerMessage::Snapshot(lists.into());
            node.handle(START, Event::PeerMessageReceived { from, incarnation, message });
            node
        });
        (count as f64, heap)
    });
    fit_line("heap bytes of a node", "workspaces", points.to_vec())
}

fn heap_against_vms() -> Slope {
    let points = [50, 150, 400].map(|count| {
        let (_node, heap) = measure_heap(|| {
            let mut node = Node::new(node_settings("vm-0"));
            let entries = (1..count).map(|number| boragepass_core::VmListEntry::EntryVm {
                vm: format!("vm-{number}").parse().expect("the names of the bench are valid"),
                region: "lagos".parse().expect("the name is valid"),
                failure_domain: format!("domain-{}", number % TARGET_DOMAINS).parse().expect("the names are valid"),
                peer_address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 1).into(),
                caller_address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 2).into(),
                state: boragepass_core::VmState::Live,
            });
            let entries = entries.collect();
            node.handle(START, Event::VmListReply(boragepass_core::VmListReply::Changes { version: 1, entries }));
            node
        });
        (count as f64, heap)
    });
    fit_line("heap bytes of a node", "VMs", points.to_vec())
}

fn heap_against_requests() -> Slope {
    let points = [100_u64, 300, 900].map(|count| {
        let mut node = ready_node(START, 20, 5);
        let now = START;
        let ((), heap) = measure_heap(|| {
            for number in 0..count {
                submit(&mut node, now, number);
            }
        });
        (count as f64, heap)
    });
    fit_line("heap bytes of a node", "requests in flight", points.to_vec())
}

fn submit(node: &mut Node, now: TimeMs, number: u64) {
    let raw = RawRequest {
        workspace: format!("workspace-{}", number % 5),
        pipeline: "contract-review".to_owned(),
        request_id: format!("r{number}"),
        input: format!("contract {number} {}", "x".repeat(1_000)),
        deadline_ms: None,
        idempotency_key: None,
        is_streaming: false,
    };
    let key = AccessKey::new(&boragepass_fakes::caller_key(&raw.workspace));
    let request = Request::try_from(raw).expect("the requests of the bench are valid");
    node.handle(now, Event::Submit { call: CallId(number), key, request });
}

fn time_against_changes() -> Slope {
    let points = [100_u64, 400, 1_600].map(|count| {
        let mut node = ready_node(START, 20, 50);
        let started_at = Instant::now();
        for number in 0..count {
            let change = Box::new(plan_change(2 + number, number as usize % 50));
            let (from, incarnation) = ("vm-2".parse().expect("the name is valid"), Incarnation(1));
            node.handle(START, Event::PeerMessageReceived { from, incarnation, message: PeerMessage::Change(change) });
        }
        (count as f64, started_at.elapsed().as_secs_f64() * 1e6)
    });
    fit_line("microseconds of a node", "configuration changes", points.to_vec())
}

/// The largest figures of any node, and the whole fleet's use of the table service.
struct BusiestNode {
    bytes_per_s: f64,
    messages_per_s: f64,
    core_share: f64,
    reads_per_s: f64,
    writes_per_s: f64,
}

/// Measures the control traffic and work of all nodes while no requests are sent.
fn measure_busiest_node(fleet: &mut Fleet, vms: usize) -> BusiestNode {
    const MEASUREMENT_MS: u64 = 10_000;
    fleet.measure_cost();
    fleet.advance(MEASUREMENT_MS);
    let measured_s = MEASUREMENT_MS as f64 / 1_000.0;
    let costs: Vec<_> = (0..vms).map(|node| fleet.cost(node)).collect();
    let largest = |of: &dyn Fn(&boragepass_fakes::virtual_fleet::NodeCost) -> f64| {
        costs.iter().map(of).fold(0.0, f64::max) / measured_s
    };
    BusiestNode {
        bytes_per_s: largest(&|cost| (cost.bytes_in + cost.bytes_out) as f64),
        messages_per_s: largest(&|cost| (cost.messages_in + cost.messages_out) as f64),
        core_share: largest(&|cost| cost.processing_time.as_secs_f64()),
        reads_per_s: costs.iter().map(|cost| cost.table_reads).sum::<u64>() as f64 / measured_s,
        writes_per_s: costs.iter().map(|cost| cost.table_writes).sum::<u64>() as f64 / measured_s,
    }
}

/// Measures fleets of growing size; returns the busiest node, the time until a change is in force, and the transactions
/// a second for claims, all at the largest size.
fn measure_fleet_slopes(slopes: &mut Vec<Slope>) -> (BusiestNode, f64, f64) {
    let mut bytes = Vec::new();
    let mut messages = Vec::new();
    let mut core_shares = Vec::new();
    let mut last = None;
    for vms in [100, 200, 400] {
        let endpoints = (TARGET_ENDPOINTS as usize) * vms / TARGET_VMS as usize;
        let mut fleet = settled_fleet(vms, TARGET_REGIONS, TARGET_DOMAINS, endpoints, 5);
        let figures = measure_busiest_node(&mut fleet, vms);
        bytes.push((vms as f64, figures.bytes_per_s));
        messages.push((vms as f64, figures.messages_per_s));
        core_shares.push((vms as f64, figures.core_share));
        let in_force_s = measure_in_force_s(&mut fleet);
        last = Some((figures, in_force_s, measure_claims(&mut fleet, vms).transactions_per_s));
    }
    slopes.push(fit_line("control bytes a second of the busiest node", "VMs", bytes));
    slopes.push(fit_line("control messages a second of the busiest node", "VMs", messages));
    slopes.push(fit_line("core share of reducer and codec of the busiest node", "VMs", core_shares));
    last.expect("at least one size was measured")
}

/// Measures the longest time until a plan change is in force on every VM.
fn measure_in_force_s(fleet: &mut Fleet) -> f64 {
    let mut longest_ms = 0;
    for change in 0..5_u32 {
        let edit = boragepass_core::ListEdit::SetPlan(boragepass_fakes::plan("workspace-0", 6_000, 3_000 + change));
        let sent_at = fleet.now;
        let command = boragepass_core::OperatorCommand::Commit { expect: None, edit };
        let call = fleet.send_operator_command((change as usize * 71) % fleet.node_count(), command);
        while !fleet.operator_replies.contains_key(&call) {
            fleet.advance(10);
        }
        longest_ms = longest_ms.max(fleet.now.since(sent_at).0);
    }
    longest_ms as f64 / 1_000.0
}

/// Measures the heap that usage and limits take on a node that serves `workspaces` workspaces.
fn measure_usage_heap(workspaces: usize) -> f64 {
    let mut node = ready_node(START, 20, workspaces);
    let (_, heap) = measure_heap(|| {
        for number in 0..workspaces as u64 {
            let raw = RawRequest {
                workspace: format!("workspace-{number}"),
                pipeline: "pickup-booking".to_owned(),
                request_id: format!("u{number}"),
                input: "pickup".to_owned(),
                deadline_ms: None,
                idempotency_key: None,
                is_streaming: false,
            };
            let key = AccessKey::new(&boragepass_fakes::caller_key(&raw.workspace));
            let request = Request::try_from(raw).expect("the requests of the bench are valid");
            node.handle(START, Event::Submit { call: CallId(number), key, request });
        }
    });
    heap
}

/// Measures slopes, and totals at the target size.
pub fn measure_slopes() -> Result<SlopeFigures, Box<dyn std::error::Error>> {
    let mut slopes = vec![
        heap_against_endpoints(),
        heap_against_workspaces(),
        heap_against_vms(),
        heap_against_requests(),
        time_against_changes(),
    ];
    let usage = [100, 400, 1_000].map(|count| (count as f64, measure_usage_heap(count)));
    slopes.push(fit_line("heap bytes of usage and limits", "workspaces served", usage.to_vec()));
    let (busiest, in_force_s, claim_writes_per_s) = measure_fleet_slopes(&mut slopes);
    // The indexes below are those of `slopes`, in the order of their measurement.
    let growth = |index: usize, size: f64| slopes[index].slope * size;
    // In each region, two entry VMs serve a workspace.
    let workspaces_served = TARGET_WORKSPACES * 2.0 * TARGET_REGIONS as f64 / TARGET_VMS * WORKSPACE_SKEW;
    let control_memory_bytes = slopes[0].intercept
        + growth(0, TARGET_ENDPOINTS)
        + growth(1, TARGET_WORKSPACES)
        + growth(2, TARGET_VMS)
        + growth(5, workspaces_served);
    let link_us_per_message = measure_link_us_per_message()?;
    let changes_per_s = TARGET_CHANGES_PER_DAY / SECONDS_PER_DAY;
    // Each message costs two VMs processor time; the busiest VM bears one side.
    let link_share = busiest.messages_per_s * link_us_per_message / 2.0 / 1e6;
    let control_core_share = busiest.core_share + link_share + changes_per_s * slopes[4].slope / 1e6;
    let mut figures = SlopeFigures {
        control_core_share,
        control_memory_bytes,
        control_bytes_per_s: busiest.bytes_per_s,
        table_reads_per_s: busiest.reads_per_s,
        table_writes_per_s: busiest.writes_per_s + claim_writes_per_s + changes_per_s,
        config_in_force_s: in_force_s,
        link_us_per_message,
        exceeded: Vec::new(),
        slopes,
    };
    figures.exceeded = exceeded_targets(&figures);
    Ok(figures)
}

/// Compares the totals with their targets.
fn exceeded_targets(figures: &SlopeFigures) -> Vec<String> {
    let checks = [
        ("control_core_share", figures.control_core_share, CORE_SHARE_MAX),
        ("control_memory_bytes", figures.control_memory_bytes, MEMORY_BYTES_MAX),
        ("control_bytes_per_s", figures.control_bytes_per_s, BYTES_PER_S_MAX),
        ("table_reads_per_s", figures.table_reads_per_s, TABLE_READS_PER_S_MAX),
        ("table_writes_per_s", figures.table_writes_per_s, TABLE_WRITES_PER_S_MAX),
        ("config_in_force_s", figures.config_in_force_s, IN_FORCE_MAX_S),
    ];
    let over_target = checks.into_iter().filter(|(_, value, target)| value > target);
    over_target.map(|(name, value, target)| format!("{name} is {value:.4}, target {target:.4}")).collect()
}
