//! Endpoint time that requests used, and how many met their deadline.
//!
//! A stage is counted once, for the attempt whose result was used. The cost of other attempts is
//! counted separately as waste.

use std::collections::BTreeMap;

use boragepass_types::{Bytes, Incarnation, OutcomeKind, PipelineId, SpanMs, StageId, TimeMs, VmId, WorkspaceId};

const SLOTS_PER_WINDOW: usize = 60;

/// Time window of the error budget's burn rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub enum BurnWindow {
    /// Five minutes.
    #[display("5m")]
    FiveMinutes,
    /// One hour.
    #[display("1h")]
    Hour,
    /// Six hours.
    #[display("6h")]
    SixHours,
    /// Three days.
    #[display("3d")]
    ThreeDays,
}

impl BurnWindow {
    /// All windows, shortest first.
    pub const ALL: [Self; 4] = [Self::FiveMinutes, Self::Hour, Self::SixHours, Self::ThreeDays];

    /// Length of the window.
    pub fn span(self) -> SpanMs {
        match self {
            Self::FiveMinutes => SpanMs(300_000),
            Self::Hour => SpanMs(3_600_000),
            Self::SixHours => SpanMs(21_600_000),
            Self::ThreeDays => SpanMs(259_200_000),
        }
    }

    fn slot_span(self) -> SpanMs {
        SpanMs(self.span().0 / SLOTS_PER_WINDOW as u64)
    }
}

/// Requests of a window, and how many of them met the objective.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Attainment {
    /// Requests that count for the service level.
    pub total: u64,
    /// Of these, answered in full within the deadline.
    pub met: u64,
}

impl Attainment {
    /// Adds another VM's requests.
    pub fn add(&mut self, other: Self) {
        self.total += other.total;
        self.met += other.met;
    }
}

/// Requests of one window in [`SLOTS_PER_WINDOW`] time slots, as (slot number, total, met).
/// Slots without requests are left out.
#[derive(Debug, Clone)]
struct SlotRing {
    slots: Vec<(u64, u32, u32)>,
    slot_ms: u64,
}

impl SlotRing {
    fn new(window: BurnWindow) -> Self {
        Self { slots: Vec::new(), slot_ms: window.slot_span().0 }
    }

    fn record(&mut self, now: TimeMs, is_met: bool) {
        let slot_number = now.0 / self.slot_ms;
        let oldest = slot_number.saturating_sub(SLOTS_PER_WINDOW as u64 - 1);
        if self.slots.last().is_none_or(|(last, _, _)| *last != slot_number) {
            self.slots.retain(|(slot, _, _)| *slot >= oldest);
            self.slots.push((slot_number, 0, 0));
        }
        if let Some((_, total, met)) = self.slots.last_mut() {
            *total += 1;
            *met += u32::from(is_met);
        }
    }

    fn sum(&self, now: TimeMs) -> Attainment {
        let oldest = (now.0 / self.slot_ms).saturating_sub(SLOTS_PER_WINDOW as u64 - 1);
        let mut sum = Attainment::default();
        for (_, total, met) in self.slots.iter().filter(|(slot, _, _)| *slot >= oldest) {
            sum.add(Attainment { total: u64::from(*total), met: u64::from(*met) });
        }
        sum
    }
}

/// Cost of one stage of a workspace.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct StageCost {
    /// Attempts whose result was used.
    pub used: u64,
    /// Time those attempts took.
    pub used_ms: SpanMs,
    /// Attempts whose result was not used.
    pub wasted: u64,
    /// Time those attempts took.
    pub wasted_ms: SpanMs,
    /// Bytes sent to another region.
    pub cross_region: Bytes,
}

impl StageCost {
    /// Adds another VM's cost.
    pub fn add(&mut self, other: &Self) {
        self.used += other.used;
        self.used_ms += other.used_ms;
        self.wasted += other.wasted;
        self.wasted_ms += other.wasted_ms;
        self.cross_region += other.cross_region;
    }
}

/// Service level of one pipeline of a workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceLevel {
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Pipeline.
    pub pipeline: PipelineId,
    /// Requests of each window, in the order of [`BurnWindow::ALL`].
    pub windows: [Attainment; 4],
    /// Requests by outcome since the process started.
    pub outcomes: BTreeMap<OutcomeKind, u64>,
}

/// Cost of one stage of a workspace, with their names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedCost {
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Stage.
    pub stage: StageId,
    /// Cost since the process started.
    pub cost: StageCost,
}

/// Usage of one VM since its process started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageReport {
    /// The VM.
    pub vm: VmId,
    /// Its incarnation. Of several reports of one incarnation only one counts.
    pub incarnation: Incarnation,
    /// Time since the process started.
    pub covers_ms: SpanMs,
    /// Service levels by workspace and pipeline.
    pub levels: Vec<ServiceLevel>,
    /// Costs by workspace and stage.
    pub costs: Vec<NamedCost>,
}

#[derive(Debug)]
struct PipelineUsage {
    rings: Vec<SlotRing>,
    outcomes: BTreeMap<OutcomeKind, u64>,
}

/// Usage recorded by this VM.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    started_at: Option<TimeMs>,
    levels: BTreeMap<(WorkspaceId, PipelineId), PipelineUsage>,
    costs: BTreeMap<WorkspaceId, BTreeMap<StageId, StageCost>>,
}

/// Cost of an attempt that ended.
pub(crate) struct EndedAttempt {
    pub(crate) took: SpanMs,
    pub(crate) is_used: bool,
    pub(crate) cross_region: Bytes,
}

impl Usage {
    /// Records when the process started.
    pub(crate) fn start(&mut self, now: TimeMs) {
        self.started_at.get_or_insert(now);
    }

    /// Adds the cost of an attempt that ended.
    pub(crate) fn record_attempt(&mut self, workspace: &WorkspaceId, stage: &StageId, ended: &EndedAttempt) {
        if !self.costs.contains_key(workspace) {
            self.costs.insert(workspace.clone(), BTreeMap::new());
        }
        let stages = self.costs.get_mut(workspace).expect("the workspace was inserted above");
        if !stages.contains_key(stage) {
            stages.insert(stage.clone(), StageCost::default());
        }
        let cost = stages.get_mut(stage).expect("the stage was inserted above");
        cost.cross_region += ended.cross_region;
        if ended.is_used {
            cost.used += 1;
            cost.used_ms += ended.took;
        } else {
            cost.wasted += 1;
            cost.wasted_ms += ended.took;
        }
    }

    /// Records the outcome of a request.
    pub(crate) fn record_outcome(
        &mut self,
        now: TimeMs,
        workspace: &WorkspaceId,
        pipeline: &PipelineId,
        kind: OutcomeKind,
        counts_against_service_level: bool,
    ) {
        let level = self.levels.entry((workspace.clone(), pipeline.clone())).or_insert_with(|| PipelineUsage {
            rings: BurnWindow::ALL.into_iter().map(SlotRing::new).collect(),
            outcomes: BTreeMap::new(),
        });
        *level.outcomes.entry(kind).or_default() += 1;
        if counts_against_service_level {
            let is_met = kind == OutcomeKind::Answered;
            level.rings.iter_mut().for_each(|ring| ring.record(now, is_met));
        }
    }

    /// Usage since the process started.
    pub(crate) fn report(&self, now: TimeMs, vm: &VmId, incarnation: Incarnation) -> UsageReport {
        let levels = self.levels.iter().map(|((workspace, pipeline), level)| ServiceLevel {
            workspace: workspace.clone(),
            pipeline: pipeline.clone(),
            windows: std::array::from_fn(|index| level.rings[index].sum(now)),
            outcomes: level.outcomes.clone(),
        });
        let costs = self.costs.iter().flat_map(|(workspace, stages)| {
            stages.iter().map(|(stage, cost)| NamedCost {
                workspace: workspace.clone(),
                stage: stage.clone(),
                cost: *cost,
            })
        });
        UsageReport {
            vm: vm.clone(),
            incarnation,
            covers_ms: self.started_at.map_or(SpanMs(0), |at| now.since(at)),
            levels: levels.collect(),
            costs: costs.collect(),
        }
    }
}
