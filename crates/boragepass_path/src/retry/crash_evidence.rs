//! Evidence that contents of requests crash endpoints, and the decision which contents are harmful.
//!
//! A crash counts against every content of the requests that may have caused it. A content becomes harmful once
//! enough crashes count against it that no other harmful content explains. Of contents with the same evidence the
//! most specific prompt part is harmful, since many sound requests share the parts before it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use boragepass_types::{Hash64, SpanMs, TimeMs};

use crate::message::ContentCrashes;

/// Weight of unexplained crashes from which a content is harmful: two crashes while its answer began.
const HARMFUL_WEIGHT: u32 = 4;
/// Time for which a content is refused after its second crash; doubles with each further one.
const FIRST_REFUSAL_TIME: SpanMs = SpanMs(30_000);
/// Longest time for which a content is refused, and for which a harmful one is remembered.
const REFUSAL_TIME_MAX: SpanMs = SpanMs(3_600_000);
/// Time for which crashes count against a content that is not harmful.
const EVIDENCE_RETENTION: SpanMs = SpanMs(120_000);
/// Contents that are remembered; the oldest ones that are not harmful are dropped.
const CONTENTS_MAX: usize = 512;
/// Crashes of one content that a report lists.
const REPORTED_CRASHES_MAX: usize = 6;

/// Content of a request that may crash endpoints: the whole request, or a part of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Content {
    pub(crate) id: Hash64,
    /// Position of a prompt part, counted from 1; zero for the whole request.
    pub(crate) specificity: u8,
}

/// End of one endpoint process in which contents are involved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Crash {
    /// Hash of the endpoint's id and the start of its process.
    pub(crate) id: Hash64,
    /// How likely the content has caused it.
    pub(crate) weight: u8,
}

#[derive(Debug, Clone, Default)]
struct Evidence {
    specificity: u8,
    /// Weights by the crash's id.
    crashes: BTreeMap<Hash64, u8>,
    last_crash_at: TimeMs,
    /// When a crash was added last, here or by a report.
    changed_at: TimeMs,
    is_harmful: bool,
    last_trial_at: Option<TimeMs>,
}

impl Evidence {
    fn refusal_time(&self) -> SpanMs {
        let doublings = self.crashes.len().saturating_sub(2).min(16) as u32;
        SpanMs((FIRST_REFUSAL_TIME.0 << doublings).min(REFUSAL_TIME_MAX.0))
    }

    /// Time until a request with the content may be tried again.
    fn refused_for(&self, now: TimeMs) -> SpanMs {
        let since = self.last_trial_at.map_or(self.last_crash_at, |at| at.max(self.last_crash_at));
        (since + self.refusal_time()).since(now)
    }

    fn unexplained_weight(&self, explained: &BTreeSet<Hash64>) -> u32 {
        let unexplained = self.crashes.iter().filter(|(crash, _)| !explained.contains(crash));
        unexplained.map(|(_, weight)| u32::from(*weight)).sum()
    }

    fn is_outdated(&self, now: TimeMs) -> bool {
        now.since(self.last_crash_at) >= if self.is_harmful { REFUSAL_TIME_MAX } else { EVIDENCE_RETENTION }
    }
}

/// Crashes by content.
#[derive(Debug, Default)]
pub(crate) struct CrashEvidence {
    by_content: HashMap<Hash64, Evidence>,
    /// First harmful content of the next rotation of reports.
    next_reported: Hash64,
}

impl CrashEvidence {
    /// Counts a crash against a content; returns whether it is new.
    pub(crate) fn add(&mut self, now: TimeMs, content: Content, crash: Crash, crashed_at: TimeMs) -> bool {
        if !self.by_content.contains_key(&content.id) {
            self.make_room();
        }
        let evidence = self.by_content.entry(content.id).or_default();
        evidence.specificity = content.specificity;
        let weight = evidence.crashes.entry(crash.id).or_default();
        if *weight >= crash.weight {
            return false;
        }
        *weight = crash.weight;
        evidence.last_crash_at = evidence.last_crash_at.max(crashed_at);
        evidence.changed_at = now;
        true
    }

    fn make_room(&mut self) {
        if self.by_content.len() >= CONTENTS_MAX {
            let oldest = self.by_content.iter().min_by_key(|(id, known)| (known.is_harmful, known.last_crash_at, **id));
            if let Some(id) = oldest.map(|(id, _)| *id) {
                self.by_content.remove(&id);
            }
        }
    }

    /// Drops all evidence against a content; returns whether there was any.
    pub(crate) fn remove(&mut self, content: Hash64) -> bool {
        self.by_content.remove(&content).is_some()
    }

    /// Finds the contents that have become harmful, with their number of crashes.
    pub(crate) fn judge(&mut self) -> Vec<(Hash64, usize)> {
        let harmful = self.by_content.values().filter(|evidence| evidence.is_harmful);
        let mut explained: BTreeSet<Hash64> = harmful.flat_map(|evidence| evidence.crashes.keys().copied()).collect();
        let mut newly_harmful = Vec::new();
        loop {
            let candidates = self.by_content.iter_mut().filter(|(_, evidence)| !evidence.is_harmful);
            let weighed = candidates
                .map(|(id, evidence)| ((evidence.unexplained_weight(&explained), evidence.specificity, *id), evidence));
            let Some(((weight, _, id), evidence)) = weighed.max_by_key(|(rank, _)| *rank) else {
                return newly_harmful;
            };
            if weight < HARMFUL_WEIGHT {
                return newly_harmful;
            }
            evidence.is_harmful = true;
            explained.extend(evidence.crashes.keys().copied());
            newly_harmful.push((id, evidence.crashes.len()));
        }
    }

    /// Time until a request with the content may be tried again; `None` if the content is not harmful.
    pub(crate) fn refused_for(&self, now: TimeMs, content: Hash64) -> Option<SpanMs> {
        let evidence = self.by_content.get(&content).filter(|evidence| evidence.is_harmful)?;
        Some(evidence.refused_for(now))
    }

    /// Records that a request with the content is tried.
    pub(crate) fn on_trial(&mut self, now: TimeMs, content: Hash64) {
        if let Some(evidence) = self.by_content.get_mut(&content) {
            evidence.last_trial_at = Some(now);
        }
    }

    /// Reports of the contents whose evidence changed after `changed_after`, and of `rotated` harmful ones in rotation, at
    /// most `reports_max` in all.
    pub(crate) fn reports(
        &mut self,
        now: TimeMs,
        changed_after: TimeMs,
        rotated: usize,
        reports_max: usize,
    ) -> Vec<ContentCrashes> {
        let mut harmful: Vec<_> =
            self.by_content.iter().filter(|(_, known)| known.is_harmful).map(|it| *it.0).collect();
        harmful.sort();
        let start = harmful.partition_point(|id| *id < self.next_reported);
        harmful.rotate_left(start);
        self.next_reported = harmful.get(rotated).copied().unwrap_or_default();
        harmful.truncate(rotated);
        let has_changed =
            |(id, known): &(&Hash64, &Evidence)| known.changed_at > changed_after && !harmful.contains(id);
        let mut changed: Vec<_> = self.by_content.iter().filter(has_changed).collect();
        changed.sort_by_key(|(id, known)| {
            (std::cmp::Reverse((known.is_harmful, known.crashes.len(), known.last_crash_at)), **id)
        });
        let changed = changed.into_iter().map(|(id, _)| *id);
        harmful.iter().copied().chain(changed).take(reports_max).map(|id| self.report(now, id)).collect()
    }

    fn report(&self, now: TimeMs, content: Hash64) -> ContentCrashes {
        let known = &self.by_content[&content];
        ContentCrashes {
            content,
            specificity: known.specificity,
            crashes: known.crashes.iter().take(REPORTED_CRASHES_MAX).map(|(crash, weight)| (*crash, *weight)).collect(),
            age_ms: now.since(known.last_crash_at),
        }
    }

    /// Drops outdated evidence.
    pub(crate) fn sweep(&mut self, now: TimeMs) {
        self.by_content.retain(|_, evidence| !evidence.is_outdated(now));
    }
}
