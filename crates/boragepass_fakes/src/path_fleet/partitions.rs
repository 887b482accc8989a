//! Partitions of VMs from all endpoints, and the check of what clients got there meanwhile.

use std::collections::BTreeMap;

use boragepass_types::{SpanMs, TimeMs};

/// Time after the begin of a partition from which the check counts, as the users' sites set it.
const CONTACT: SpanMs = SpanMs(4_000);
/// Time for which idle connections are found reset only as they are used.
const STALE_CONNECTIONS: SpanMs = SpanMs(500);
/// Failed first tries at partitioned VMs that are allowed, beside [`FAILED_SHARE`] of all first tries.
const FAILED_BASE: f64 = 10.0;
const FAILED_SHARE: f64 = 1.0 / 50.0;
/// Least share that partitioned VMs serve of their first tries, over the share that the others serve of theirs.
const SERVED_RATIO_MIN: f64 = 2.0 / 3.0;

/// Past partitions and those in force, by VM.
#[derive(Debug, Default)]
pub(super) struct Partitions {
    ended: Vec<(usize, TimeMs, TimeMs)>,
    begun_at: BTreeMap<usize, TimeMs>,
}

/// First try of a client's request.
#[derive(Debug, Clone, Copy)]
pub(super) struct FirstTry {
    pub(super) vm: usize,
    pub(super) submitted_at: TimeMs,
    pub(super) is_served: bool,
}

impl Partitions {
    pub(super) fn begin(&mut self, now: TimeMs, vm: usize) {
        self.begun_at.insert(vm, now);
    }

    pub(super) fn end(&mut self, now: TimeMs, vm: usize) {
        if let Some(from) = self.begun_at.remove(&vm) {
            self.ended.push((vm, from, now));
        }
    }

    /// Whether a VM may still have idle connections from before its partition.
    pub(super) fn has_just_begun(&self, now: TimeMs, vm: usize) -> bool {
        self.begun_at.get(&vm).is_some_and(|at| now.since(*at) < STALE_CONNECTIONS)
    }

    /// Whether a VM was partitioned at a time, for long enough to count.
    fn counts(&self, vm: usize, at: TimeMs) -> bool {
        self.ended.iter().any(|(other, from, to)| *other == vm && (*from + CONTACT..*to).contains(&at))
    }

    /// Whether the partition of any VM counts at a time.
    fn any_counts(&self, at: TimeMs) -> bool {
        self.ended.iter().any(|(_, from, to)| (*from + CONTACT..*to).contains(&at))
    }

    /// Served and all first tries at partitioned VMs and at the others, while the partition of any VM counts.
    pub(super) fn tallies(&self, tries: impl Iterator<Item = FirstTry>) -> [(u32, u32); 2] {
        let mut tallies = [(0, 0); 2];
        for first_try in tries.filter(|first_try| self.any_counts(first_try.submitted_at)) {
            let tally = &mut tallies[usize::from(!self.counts(first_try.vm, first_try.submitted_at))];
            tally.0 += u32::from(first_try.is_served);
            tally.1 += 1;
        }
        tallies
    }
}

/// Whether clients of partitioned VMs were served far worse than the others.
pub(super) fn are_served_worse([partitioned, others]: [(u32, u32); 2]) -> bool {
    let share = |(served, all): (u32, u32)| f64::from(served) / f64::from(all.max(1));
    let failed = f64::from(partitioned.1 - partitioned.0);
    share(partitioned) < SERVED_RATIO_MIN * share(others)
        && failed > FAILED_BASE + FAILED_SHARE * f64::from(partitioned.1 + others.1)
}
