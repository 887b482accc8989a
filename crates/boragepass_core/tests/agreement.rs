//! Lists, claims and orders under faults, against the brief's invariants.
//!
//! Several reducers in two regions share a table service that goes down, loses replies and lets
//! writes land late, while VMs die, freeze, restart and regions lose each other. The oracle knows
//! only what operators, callers and engines saw and what stands in the table.

#![allow(clippy::unwrap_used, reason = "a test fails where it panics")]

mod support;

use std::collections::{BTreeMap, BTreeSet};

use boragepass_core::StateChange;
use boragepass_core::VmState;
use boragepass_core::{
    Event, Limits, ListChange, ListEdit, ListsSnapshot, OperatorCommand, OperatorReply, PeerMessage, RowKey, RowValue,
    VmListEntry,
};
use boragepass_fakes::virtual_fleet::{Fleet, NodeState, SimEndpoint, SimTableFaults};
use boragepass_fakes::{allowlist, plan};
use boragepass_types::{CallId, ListVersion, Outcome, Plan, SpanMs};
use proptest::prelude::{BoxedStrategy, Just, Strategy, prop_oneof};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const REGIONS: [&str; 2] = ["lagos", "abuja"];
const NODES: usize = 4;
const DEADLINE_MS: u64 = 3_000;
const FIRST_RATE: u32 = 10_000;
const SETTLE_MS: u64 = 120_000;

/// What can happen.
#[derive(Debug, Clone)]
enum Step {
    Commit { node: usize },
    CommitFor { node: usize, version_back: u64 },
    CommitTwice { first: usize, second: usize },
    Book { node: usize, key: u8 },
    TableDown,
    TableUp,
    LoseReplies { count: u32 },
    DelayCommits { count: u32 },
    Kill { node: usize },
    Restart { node: usize },
    Pause { node: usize, ms: u64 },
    SlowExecutor { node: usize, ms: u64 },
    Cut,
    Heal,
    ForgetModels { engine: usize },
    Advance { ms: u64 },
}

/// Any step is possible at any time.
struct AnyStep;

impl ReferenceStateMachine for AnyStep {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(()).boxed()
    }

    fn transitions(_state: &Self::State) -> BoxedStrategy<Self::Transition> {
        let node = || 0..NODES;
        prop_oneof![
            6 => node().prop_map(|node| Step::Commit { node }),
            2 => (node(), 0_u64..3).prop_map(|(node, version_back)| Step::CommitFor { node, version_back }),
            3 => (node(), node()).prop_map(|(first, second)| Step::CommitTwice { first, second }),
            8 => (node(), 0_u8..4).prop_map(|(node, key)| Step::Book { node, key }),
            2 => Just(Step::TableDown),
            3 => Just(Step::TableUp),
            3 => (1_u32..3).prop_map(|count| Step::LoseReplies { count }),
            3 => (1_u32..3).prop_map(|count| Step::DelayCommits { count }),
            2 => node().prop_map(|node| Step::Kill { node }),
            3 => node().prop_map(|node| Step::Restart { node }),
            2 => (node(), 100_u64..20_000).prop_map(|(node, ms)| Step::Pause { node, ms }),
            1 => (node(), 0_u64..12_000).prop_map(|(node, ms)| Step::SlowExecutor { node, ms }),
            1 => Just(Step::Cut),
            2 => Just(Step::Heal),
            1 => (0_usize..3).prop_map(|engine| Step::ForgetModels { engine }),
            8 => (1_u64..300).prop_map(|ms| Step::Advance { ms }),
            5 => (300_u64..8_000).prop_map(|ms| Step::Advance { ms }),
        ]
        .boxed()
    }

    fn apply(state: Self::State, _transition: &Self::Transition) -> Self::State {
        state
    }
}

/// Change that an operator asked for, told apart by its rate.
struct Asked {
    call: CallId,
    rate: u32,
}

struct Agreement {
    fleet: Fleet,
    next_id: u32,
    asked: Vec<Asked>,
    accepted: ListVersion,
    versions: BTreeMap<(usize, u64), ListVersion>,
    /// Whether no VM died, froze or was cut off, so that every owner of a claim can be asked.
    is_calm: bool,
}

const LEASE_MS: u64 = 4_000;
const ORDER_TIME_MS: u64 = 500;

fn new_fleet() -> Fleet {
    let limits = Limits { lease_ms: SpanMs(LEASE_MS), order_time_max_ms: SpanMs(ORDER_TIME_MS), ..Limits::default() };
    let mut fleet = Fleet::new(11, limits);
    fleet.seed_list(ListEdit::SetPlan(plan("lampu-lestari", DEADLINE_MS, FIRST_RATE)));
    fleet.seed_list(ListEdit::SetAllowlist(allowlist("lampu-lestari", &REGIONS)));
    for region in REGIONS {
        for pool in ["encoders", "payouts", "members", "engines", "engines", "engines"] {
            let number = fleet.endpoints.len();
            let held = if number.is_multiple_of(2) { "assistant-3b" } else { "contract-7b" };
            fleet.add_endpoint(SimEndpoint::new(number, pool, region, &[held], number.is_multiple_of(3)));
        }
    }
    for number in 0..NODES {
        let region = REGIONS[number / 2];
        fleet.add_node(&format!("vm-{number}"), region, &format!("{region}-{number}"));
    }
    fleet.advance(5_000);
    fleet
}

impl Agreement {
    fn commit(&mut self, node: usize, expect: Option<ListVersion>) {
        let rate = FIRST_RATE + 1 + self.asked.len() as u32;
        let edit = ListEdit::SetPlan(plan("lampu-lestari", DEADLINE_MS, rate));
        let call = self.fleet.operate(node, OperatorCommand::Commit { expect, edit });
        self.asked.push(Asked { call, rate });
    }

    fn apply_step(&mut self, step: Step) {
        let is_harmless = !matches!(
            step,
            Step::Kill { .. } | Step::Restart { .. } | Step::Pause { .. } | Step::SlowExecutor { .. } | Step::Cut
        );
        self.is_calm &= is_harmless;
        match step {
            Step::Commit { node } => self.commit(node, None),
            Step::CommitFor { node, version_back } => {
                let head = self.fleet.head();
                self.commit(node, Some(ListVersion(head.0.saturating_sub(version_back))));
            }
            Step::CommitTwice { first, second } => {
                self.commit(first, None);
                self.commit(second, None);
            }
            Step::Book { node, key } => {
                let id = format!("b{}", self.next_id);
                self.next_id += 1;
                let (input, key) = (format!("pickup {key}"), format!("key-{key}"));
                self.fleet.submit_keyed(node, "lampu-lestari", "pickup-booking", &id, &input, Some(&key));
            }
            Step::TableDown => self.fleet.table_faults.is_down = true,
            Step::TableUp => self.fleet.table_faults.is_down = false,
            Step::LoseReplies { count } => self.fleet.table_faults.lose_replies += count,
            Step::DelayCommits { count } => self.fleet.table_faults.delay_commits += count,
            Step::Kill { node } => self.fleet.kill(node),
            Step::Restart { node } => {
                if self.fleet.node_state(node) == NodeState::Down {
                    self.fleet.executor_delay_ms.remove(&node);
                    self.fleet.restart(node);
                }
            }
            Step::Pause { node, ms } => self.fleet.pause(node, ms),
            Step::SlowExecutor { node, ms } => {
                self.fleet.executor_delay_ms.insert(node, if ms < 1_000 { 0 } else { ms });
            }
            Step::Cut => {
                self.fleet.cut.insert((REGIONS[0].to_owned(), REGIONS[1].to_owned()));
                self.fleet.cut.insert((REGIONS[1].to_owned(), REGIONS[0].to_owned()));
            }
            Step::Heal => self.fleet.cut.clear(),
            Step::ForgetModels { engine } => {
                let engines = self.fleet.endpoints.iter_mut().filter(|known| !known.models.is_empty());
                if let Some(known) = engines.skip(engine).step_by(3).next() {
                    known.models = vec!["something-else".parse().unwrap()];
                }
            }
            Step::Advance { ms } => self.fleet.advance(ms),
        }
        self.look_at_nodes();
    }

    /// Asks every node that runs for its version and its plan.
    fn look_at_nodes(&mut self) {
        for reply in self.fleet.operator_replies.values() {
            if let OperatorReply::Committed { version, waiting_for } = reply
                && waiting_for.is_empty()
            {
                self.accepted = self.accepted.max(*version);
            }
        }
        for node in 0..NODES {
            if self.fleet.node_state(node) != NodeState::Up {
                continue;
            }
            if self.fleet.executor_delay_ms.get(&node).is_some_and(|ms| *ms > 0) {
                continue;
            }
            let Some(status) = self.fleet.status(node) else {
                continue;
            };
            let Some(version) = status.lists else {
                continue;
            };
            let process = (node, self.fleet.incarnation(node).0);
            let before = self.versions.insert(process, version).unwrap_or(version);
            assert!(version >= before, "vm-{node} went back from version {before} to {version}");
            let accepted = self.accepted;
            assert!(!status.admits || version >= accepted, "vm-{node} admits under {version}, {accepted} is accepted");
            let call = self.fleet.operate(node, OperatorCommand::Plans);
            if let Some(OperatorReply::Plans(version, plans)) = self.fleet.operator_replies.remove(&call) {
                let found: Vec<_> = plans.iter().map(|plan| plan.rate_per_s.0).collect();
                assert_eq!(found, rates_at(&self.fleet, version), "vm-{node} enforces something else at {version}");
            }
        }
    }
}

/// Plan in the table at a version.
fn plan_at(fleet: &Fleet, version: ListVersion) -> Option<Plan> {
    let mut current = None;
    for number in 1..=version.0 {
        let row = fleet.table.row(&RowKey::Change(ListVersion(number)));
        if let Some(RowValue::Change(change)) = row.map(|row| &row.value)
            && let ListEdit::SetPlan(plan) = &change.edit
        {
            current = Some(plan.clone());
        }
    }
    current
}

fn rates_at(fleet: &Fleet, version: ListVersion) -> Vec<u32> {
    plan_at(fleet, version).into_iter().map(|plan| plan.rate_per_s.0).collect()
}

/// Versions at which a rate was committed.
fn versions_of(fleet: &Fleet, rate: u32) -> Vec<ListVersion> {
    (1..=fleet.head().0 + 64)
        .map(ListVersion)
        .filter(|version| {
            let row = fleet.table.row(&RowKey::Change(*version));
            matches!(row.map(|row| &row.value), Some(RowValue::Change(change))
                if matches!(&change.edit, ListEdit::SetPlan(plan) if plan.rate_per_s.0 == rate))
        })
        .collect()
}

/// Operators are told the truth about their changes.
fn check_operators(system: &Agreement) {
    for asked in &system.asked {
        let stands = versions_of(&system.fleet, asked.rate);
        assert!(stands.len() <= 1, "one change was committed as {stands:?}");
        match system.fleet.operator_replies.get(&asked.call) {
            Some(OperatorReply::Committed { version, .. }) => {
                assert_eq!(stands, vec![*version], "told committed as {version}");
            }
            Some(reply @ (OperatorReply::Conflict { .. } | OperatorReply::Unavailable | OperatorReply::NoLists)) => {
                assert!(stands.is_empty(), "told {reply:?}, but it stands at {stands:?}");
            }
            Some(OperatorReply::Unsettled { version }) => {
                assert!(stands.is_empty() || stands == vec![*version], "told unsettled at {version}, is {stands:?}");
            }
            other => assert!(other.is_none(), "unexpected answer {other:?}"),
        }
    }
}

/// A booking runs at most once, and everyone who is told its answer is told the same.
fn check_claims(fleet: &Fleet) {
    let mut runs = BTreeMap::<_, u32>::new();
    for key in fleet.runs.iter().filter_map(|run| run.key.as_ref()) {
        *runs.entry(key.clone()).or_default() += 1;
    }
    for (key, count) in &runs {
        assert!(*count <= 1, "key {key} ran {count} times");
    }
    let mut answers = BTreeMap::<_, BTreeSet<String>>::new();
    for record in fleet.calls.values() {
        if let (Some(key), Some((_, Outcome::Answered { output }))) =
            (&record.request.idempotency_key, record.outcomes.first())
        {
            answers.entry(key.clone()).or_default().insert(output.to_string());
        }
    }
    for (key, outputs) in &answers {
        assert_eq!(outputs.len(), 1, "key {key} was answered in several ways");
        assert!(runs.contains_key(key), "key {key} was answered but never ran");
    }
}

/// `not_run` is true of the booking of that call.
fn check_refusals(fleet: &Fleet) {
    for record in fleet.calls.values() {
        if let Some((_, Outcome::NotRun { reason, .. })) = record.outcomes.first() {
            let ran = fleet
                .runs
                .iter()
                .any(|run| run.tag.request == record.request.id && run.tag.incarnation == record.incarnation);
            assert!(!ran, "{} was told `not run: {reason}`, but something ran", record.request.id);
        }
    }
}

/// A claim under which nothing ran can be claimed anew, as long as its owner can be asked.
fn check_nothing_is_stuck(system: &mut Agreement) {
    if !system.is_calm {
        return;
    }
    let ran: BTreeSet<_> = system.fleet.runs.iter().filter_map(|run| run.key.clone()).collect();
    for key in (0..4).map(|key| format!("key-{key}")) {
        if ran.iter().any(|known| known.as_str() == key) {
            continue;
        }
        let input = format!("pickup {}", &key[4..]);
        let id = format!("last-{key}");
        let call = system.fleet.submit_keyed(0, "lampu-lestari", "pickup-booking", &id, &input, Some(&key));
        system.fleet.advance(DEADLINE_MS * 2);
        let outcomes = &system.fleet.calls[&call].outcomes;
        let is_answered = matches!(outcomes.first(), Some((_, Outcome::Answered { .. })));
        assert!(is_answered, "{key} never ran and is stuck: {outcomes:?}");
    }
}

/// Once a holder's order has arrived in a region, no earlier holder's order arrives.
fn check_orders(fleet: &Fleet) {
    let mut highest = BTreeMap::<_, u64>::new();
    for (at, endpoint, order, _) in &fleet.orders {
        let region = endpoint / 6;
        let seen = highest.entry(region).or_default();
        assert!(order.fence.0 >= *seen, "at {at} an order with fence {} arrived after {seen}", order.fence);
        *seen = order.fence.0;
    }
}

struct AgreementTest;

impl StateMachineTest for AgreementTest {
    type SystemUnderTest = Agreement;
    type Reference = AnyStep;

    fn init_test(_state: &()) -> Self::SystemUnderTest {
        let fleet = new_fleet();
        Agreement {
            fleet,
            next_id: 0,
            asked: Vec::new(),
            accepted: ListVersion(0),
            versions: BTreeMap::new(),
            is_calm: true,
        }
    }

    fn apply(mut system: Self::SystemUnderTest, _state: &(), step: Step) -> Self::SystemUnderTest {
        system.apply_step(step);
        system
    }

    fn check_invariants(system: &Self::SystemUnderTest, _state: &()) {
        check_operators(system);
        check_claims(&system.fleet);
        check_refusals(&system.fleet);
        check_orders(&system.fleet);
    }

    /// Everything comes back: all lists agree, engines hold what is needed.
    fn teardown(mut system: Self::SystemUnderTest, state: ()) {
        system.fleet.table_faults = SimTableFaults::default();
        system.fleet.cut.clear();
        system.fleet.executor_delay_ms.clear();
        for node in 0..NODES {
            if system.fleet.node_state(node) == NodeState::Down {
                system.fleet.restart(node);
            }
        }
        for _ in 0..SETTLE_MS / 5_000 {
            system.fleet.advance(5_000);
            system.look_at_nodes();
            Self::check_invariants(&system, &state);
        }
        check_nothing_is_stuck(&mut system);
        let head = system.fleet.head();
        for node in 0..NODES {
            let status = system.fleet.status(node).expect("the node runs");
            assert_eq!(status.lists, Some(head), "vm-{node} did not catch up");
            assert!(status.admits, "vm-{node} does not admit");
        }
        for (region, name) in REGIONS.iter().enumerate() {
            let engines = &system.fleet.endpoints[region * 6 + 3..region * 6 + 6];
            for model in ["assistant-3b", "contract-7b"] {
                let is_held = engines.iter().any(|engine| engine.models.iter().any(|held| held.as_str() == model));
                assert!(is_held, "no engine of {name} holds {model}");
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(support::config(200))]

    #[test]
    fn agreements_hold_under_faults(sequential 1..50 => AgreementTest);
}

/// Node that holds the order lease of a region.
fn holder_of(fleet: &Fleet, region: &str) -> usize {
    let row = fleet.table.row(&RowKey::Lease(region.parse().unwrap())).expect("the lease was taken");
    match &row.value {
        RowValue::Lease(lease) => (0..NODES).find(|node| *fleet.vm(*node) == lease.holder).unwrap(),
        other => panic!("no lease: {other:?}"),
    }
}

#[test]
fn a_holder_that_stood_still_sends_nothing_stale() {
    let mut fleet = new_fleet();
    let holder = holder_of(&fleet, REGIONS[0]);
    fleet.executor_delay_ms.insert(holder, 12_000);
    // Reports that are under way already come first.
    fleet.advance(100);
    for engine in 3..6 {
        let known = &mut fleet.endpoints[engine];
        known.models = vec!["something-else".parse().unwrap()];
        let VmListEntry::Endpoint { endpoint, .. } = known.entry.clone() else { unreachable!("it is an endpoint") };
        let event = Event::Load { endpoint, asked_at: fleet.now, report: Some(fleet.endpoints[engine].report()) };
        fleet.feed(holder, event);
    }
    let stood_still_at = fleet.now;
    fleet.advance(30_000);
    check_orders(&fleet);
    let taken_at = fleet.log.iter().find_map(|(at, _, change)| match change {
        StateChange::LeaseHeld { region, fence } if region.as_str() == REGIONS[0] && fence.0 == 2 => Some(*at),
        _ => None,
    });
    let last_renewal = stood_still_at.0 - LEASE_MS / 2;
    assert!(taken_at.unwrap().0 >= last_renewal + LEASE_MS + ORDER_TIME_MS, "the successor did not wait");
    let fences: BTreeSet<_> = fleet.orders.iter().filter(|order| order.1 < 6).map(|order| order.2.fence.0).collect();
    assert!(fences.iter().any(|fence| *fence > 1), "no successor sent orders: {fences:?}");
}

#[test]
fn what_is_older_changes_nothing() {
    let mut fleet = new_fleet();
    for rate in [1, 2, 3] {
        let edit = ListEdit::SetPlan(plan("lampu-lestari", DEADLINE_MS, FIRST_RATE + rate));
        fleet.operate(0, OperatorCommand::Commit { expect: None, edit });
        fleet.advance(3_000);
    }
    let old = |version| ListsSnapshot {
        version: ListVersion(version),
        plans: vec![plan("lampu-lestari", DEADLINE_MS, 9).into()],
        allowlists: Vec::new(),
    };
    let stale_change =
        ListChange { version: ListVersion(4), edit: ListEdit::RemovePlan("lampu-lestari".parse().unwrap()) };
    let (from, incarnation) = (fleet.vm(1).clone(), fleet.incarnation(1));
    for message in [
        PeerMessage::Snapshot(old(4).into()),
        PeerMessage::Change(stale_change.into()),
        PeerMessage::Snapshot(old(5).into()),
    ] {
        fleet.feed(0, Event::Peer { from: from.clone(), incarnation, message });
    }
    let call = fleet.operate(0, OperatorCommand::Plans);
    let Some(OperatorReply::Plans(version, plans)) = fleet.operator_replies.get(&call) else {
        panic!("no plans");
    };
    let rates: Vec<_> = plans.iter().map(|plan| plan.rate_per_s.0).collect();
    assert_eq!((*version, rates), (ListVersion(5), vec![FIRST_RATE + 3]));
}

/// Lets a node that was gone start, and looks at it every millisecond.
fn start_and_look(fleet: &mut Fleet, node: usize, accepted: ListVersion) {
    fleet.restart(node);
    for _ in 0..3_000 {
        fleet.advance(1);
        let status = fleet.status(node).expect("the node runs");
        let version = status.lists.unwrap_or_default();
        assert!(!status.admits || version >= accepted, "vm-{node} admits under {version}, {accepted} is accepted");
    }
    assert!(fleet.status(node).expect("the node runs").admits, "vm-{node} does not admit");
}

#[test]
fn a_vm_that_starts_admits_nothing_old() {
    let mut fleet = new_fleet();
    fleet.kill(0);
    fleet.advance(8_000);
    for rate in [1, 2] {
        let edit = ListEdit::SetPlan(plan("lampu-lestari", DEADLINE_MS, FIRST_RATE + rate));
        let call = fleet.operate(1, OperatorCommand::Commit { expect: None, edit });
        fleet.advance(6_500);
        let reply = fleet.operator_replies.get(&call);
        assert!(
            matches!(reply, Some(OperatorReply::Committed { waiting_for, .. }) if waiting_for.is_empty()),
            "{reply:?}"
        );
    }
    start_and_look(&mut fleet, 0, ListVersion(4));
    fleet.kill(0);
    fleet.advance(8_000);
    fleet.table_faults.is_down = true;
    start_and_look(&mut fleet, 0, ListVersion(4));
}

#[test]
fn a_vm_that_hears_nobody_stops_admitting() {
    let mut fleet = new_fleet();
    fleet.table_faults.is_down = true;
    for node in 1..NODES {
        fleet.pause(node, 20_000);
    }
    fleet.advance(6_000);
    assert!(!fleet.status(0).expect("the node runs").admits);
    fleet.advance(20_000);
    for node in 0..NODES {
        assert!(fleet.status(node).expect("the node runs").admits, "vm-{node} does not admit again");
    }
}

fn commit_rate(fleet: &mut Fleet, node: usize, rate: u32) -> CallId {
    let edit = ListEdit::SetPlan(plan("lampu-lestari", DEADLINE_MS, FIRST_RATE + rate));
    let call = fleet.operate(node, OperatorCommand::Commit { expect: None, edit });
    fleet.advance(7_000);
    call
}

fn waiting_for(fleet: &Fleet, call: CallId) -> usize {
    match fleet.operator_replies.get(&call) {
        Some(OperatorReply::Committed { waiting_for, .. }) => waiting_for.len(),
        other => panic!("not committed: {other:?}"),
    }
}

fn is_answered(fleet: &Fleet, call: CallId) -> bool {
    matches!(fleet.calls[&call].outcomes.as_slice(), [(_, Outcome::Answered { .. })])
}

#[test]
fn regions_that_lose_each_other_for_an_hour_go_on_and_agree_again() {
    let mut fleet = new_fleet();
    for (from, to) in [(0, 1), (1, 0)] {
        fleet.cut.insert((REGIONS[from].to_owned(), REGIONS[to].to_owned()));
    }
    fleet.table_faults.is_down = true;
    fleet.advance(3_600_000);
    fleet.table_faults.is_down = false;
    let change = commit_rate(&mut fleet, 0, 1);
    assert_eq!(waiting_for(&fleet, change), 2, "the other region may still act on the older lists");
    let bookings: Vec<_> = (0..NODES)
        .map(|node| {
            let key = format!("hour-{node}");
            fleet.submit_keyed(node, "lampu-lestari", "pickup-booking", &key, "pickup", Some(&key))
        })
        .collect();
    fleet.advance(DEADLINE_MS);
    assert!(bookings.iter().all(|call| is_answered(&fleet, *call)));
    fleet.cut.clear();
    fleet.advance(10_000);
    for node in 0..NODES {
        let status = fleet.status(node).expect("the node runs");
        assert_eq!((status.lists, status.waiting_for.len()), (Some(ListVersion(3)), 0), "vm-{node}");
    }
    check_claims(&fleet);
}

#[test]
fn a_region_that_is_gone_is_not_waited_for_once_the_list_says_so() {
    let mut fleet = new_fleet();
    fleet.kill(2);
    fleet.kill(3);
    let first = commit_rate(&mut fleet, 0, 1);
    assert_eq!(waiting_for(&fleet, first), 2, "two VMs that nobody hears may hear each other");
    fleet.list_node(2, VmState::Gone);
    fleet.list_node(3, VmState::Gone);
    fleet.advance(3_000);
    let second = commit_rate(&mut fleet, 0, 2);
    assert_eq!(waiting_for(&fleet, second), 0);
}

#[test]
fn a_fleet_that_was_gone_starts_from_the_snapshot_and_the_log() {
    const CHANGES: u32 = 70;
    let mut fleet = new_fleet();
    for rate in 0..CHANGES {
        let edit = ListEdit::SetPlan(plan("lampu-lestari", DEADLINE_MS, FIRST_RATE + rate));
        fleet.operate(0, OperatorCommand::Commit { expect: None, edit });
        fleet.advance(1_000);
    }
    (0..NODES).for_each(|node| fleet.kill(node));
    fleet.advance(5_000);
    let reads = fleet.table.reads;
    fleet.restart(0);
    fleet.advance(10_000);
    let status = fleet.status(0).expect("the node runs");
    assert_eq!((status.lists, status.admits), (Some(ListVersion(u64::from(CHANGES) + 2)), true));
    assert!(fleet.table.reads > reads, "the head was read");
}

/// A VM that had just started behind a cut counted only itself and said that a list was in force everywhere.
#[test]
fn a_vm_that_has_just_started_accepts_nothing_without_the_others() {
    let steps = [
        Step::Kill { node: 0 },
        Step::DelayCommits { count: 1 },
        Step::Cut,
        Step::Restart { node: 0 },
        Step::Advance { ms: 12 },
        Step::CommitTwice { first: 0, second: 0 },
        Step::Advance { ms: 6 },
        Step::Advance { ms: 3_000 },
    ];
    let mut world = AgreementTest::init_test(&());
    for step in steps {
        world = AgreementTest::apply(world, &(), step);
    }
    AgreementTest::teardown(world, ());
}
