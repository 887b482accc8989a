//! Content that crashes the endpoints it runs on.
//!
//! A resend may carry a new request id but has the same content, so verdicts are keyed by digest.
//! After the first loss of an endpoint the content gets a trial: it runs on one more endpoint, as the
//! only suspect there, while other VMs refuse it. A second loss puts it in quarantine everywhere. A
//! trial starts only after the other VMs have had time to hear of it and to stop their own copies. If
//! it never ends, the next VM that gets the content runs it. Everything that ran on an endpoint when
//! it was lost is a suspect; no two suspects are sent to one endpoint, so that a second loss can be
//! blamed on one content. An endpoint that is lost several times in a short time, with whatever content, is
//! itself at fault, and what ran on it is not suspected, except content that was already a suspect.
//!
//! This module keeps the verdicts; `trial` applies them to requests and `verdict_row` stores them.

use std::collections::VecDeque;

use boragepass_types::{ContentDigest, Hash64, SpanMs, TimeMs, VmId, WorkspaceId};

use crate::map::Map;
use crate::message::{Verdict, VerdictKind};

/// An endpoint with [`ENDPOINT_FAULT_LOSSES`] crashes within this window is itself at fault.
const ENDPOINT_FAULT_WINDOW: SpanMs = SpanMs(30_000);
const ENDPOINT_FAULT_LOSSES: usize = 3;
/// Attempts lost on an endpoint within this time count as one crash.
const SAME_CRASH_WINDOW: SpanMs = SpanMs(200);
const KNOWN_GOOD_MAX: usize = 4_096;
const CASES_MAX: usize = 20_000;
/// Time after a release during which verdicts that were sent before it are ignored.
const RELEASE_SETTLE_TIME: SpanMs = SpanMs(10_000);
/// Verdicts that expire this soon are left out of the hash, since VMs drop them at different times.
const HASH_EXPIRY_MARGIN: SpanMs = SpanMs(5_000);

/// Whether content may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Clearance {
    /// Without restriction.
    Free,
    /// As a trial, on an endpoint that runs no other suspect.
    Alone,
    /// Not on this VM: another one runs the trial, for at most this long.
    UnderRemoteTrial(SpanMs),
    /// On no VM, for this long.
    Quarantined(SpanMs),
}

/// Verdict of one content that is suspected, in quarantine or just released.
#[derive(Debug, Clone)]
struct Case {
    workspace: WorkspaceId,
    /// Hashes of the endpoints that were lost while they ran it, on any VM.
    lost_endpoints: Vec<Hash64>,
    state: CaseState,
    /// Until when another VM runs its trial.
    remote_trial_until: TimeMs,
    /// When the case is dropped.
    expires_at: TimeMs,
}

impl Case {
    fn add_lost(&mut self, endpoints: &[Hash64]) {
        for endpoint in endpoints {
            if !self.lost_endpoints.contains(endpoint) {
                self.lost_endpoints.push(*endpoint);
            }
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CaseState {
    UnderLocalTrial,
    UnderRemoteTrial,
    Quarantined,
    /// Released by an operator less than [`RELEASE_SETTLE_TIME`] ago; verdicts still in transit are
    /// ignored.
    Released,
}

/// Consequence of another VM's verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum VerdictUpdate {
    /// Nothing new.
    Known,
    /// It changed what is known here and has to be passed on.
    Recorded,
    /// Together with the losses known here it puts the content in quarantine.
    Quarantine,
}

/// Content in quarantine as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The content.
    pub digest: ContentDigest,
    /// Workspace that sent it.
    pub workspace: WorkspaceId,
    /// Time until the quarantine ends.
    pub left_ms: SpanMs,
}

/// Consequence of a lost attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LossVerdict {
    /// First endpoint lost: the content gets a trial.
    Trial,
    /// Second endpoint lost: quarantine.
    Quarantine,
    /// The endpoint is at fault, not the content.
    EndpointFault,
}

/// Verdicts that this VM knows, and contents known to be harmless.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    cases: Map<ContentDigest, Case>,
    /// Times of recent crashes of each endpoint.
    recent_losses: Map<Hash64, Vec<TimeMs>>,
    /// Contents of answered requests, oldest first, to bound `known_good`.
    known_good_order: VecDeque<ContentDigest>,
    known_good: Map<ContentDigest, ()>,
}

impl Quarantine {
    /// Whether content may run.
    pub(crate) fn clearance(&self, now: TimeMs, digest: ContentDigest) -> Clearance {
        let Some(case) = self.cases.get(&digest).filter(|case| case.expires_at > now) else {
            return Clearance::Free;
        };
        match case.state {
            CaseState::UnderRemoteTrial if case.remote_trial_until > now => {
                Clearance::UnderRemoteTrial(case.remote_trial_until.since(now))
            }
            CaseState::UnderLocalTrial | CaseState::UnderRemoteTrial => Clearance::Alone,
            CaseState::Released => Clearance::Free,
            CaseState::Quarantined => Clearance::Quarantined(case.expires_at.since(now)),
        }
    }

    /// Records that `endpoint` was lost while it ran the content, and decides what follows.
    pub(crate) fn on_loss(
        &mut self,
        now: TimeMs,
        digest: ContentDigest,
        workspace: &WorkspaceId,
        endpoint: Hash64,
        was_suspect: bool,
        spans: VerdictSpans,
    ) -> LossVerdict {
        if self.record_endpoint_loss(now, endpoint) && !was_suspect {
            return LossVerdict::EndpointFault;
        }
        let case = self.cases.entry(digest).or_insert_with(|| Case {
            workspace: workspace.clone(),
            lost_endpoints: Vec::new(),
            state: CaseState::UnderLocalTrial,
            remote_trial_until: now,
            expires_at: now,
        });
        if case.state == CaseState::Released {
            case.lost_endpoints.clear();
        }
        case.expires_at = now + spans.quarantine;
        case.add_lost(&[endpoint]);
        if case.state == CaseState::Quarantined || case.lost_endpoints.len() > 1 {
            case.state = CaseState::Quarantined;
            return LossVerdict::Quarantine;
        }
        case.state = CaseState::UnderLocalTrial;
        LossVerdict::Trial
    }

    /// Hashes of the endpoints that were lost while they ran the content.
    pub(crate) fn endpoints_lost_with(&self, digest: ContentDigest) -> Vec<Hash64> {
        self.cases.get(&digest).map(|case| case.lost_endpoints.clone()).unwrap_or_default()
    }

    /// Clears content that ran to completion; returns whether it was under trial.
    pub(crate) fn on_success(&mut self, digest: ContentDigest) -> bool {
        self.mark_known_good(digest);
        let was_under_trial = self
            .cases
            .get(&digest)
            .is_some_and(|case| matches!(case.state, CaseState::UnderLocalTrial | CaseState::UnderRemoteTrial));
        if was_under_trial {
            self.cases.remove(&digest);
        }
        was_under_trial
    }

    fn mark_known_good(&mut self, digest: ContentDigest) {
        if self.known_good.insert(digest, ()).is_none() {
            self.known_good_order.push_back(digest);
        }
        if self.known_good_order.len() > KNOWN_GOOD_MAX
            && let Some(oldest) = self.known_good_order.pop_front()
        {
            self.known_good.remove(&oldest);
        }
    }

    /// Whether the content has run to completion before.
    pub(crate) fn is_known_good(&self, digest: ContentDigest) -> bool {
        self.known_good.contains_key(&digest)
    }

    /// Applies another VM's verdict. If two VMs run a trial of the same content, the one with the
    /// smaller name continues.
    pub(crate) fn apply(
        &mut self,
        now: TimeMs,
        local_vm: &VmId,
        verdict: &Verdict,
        spans: VerdictSpans,
    ) -> VerdictUpdate {
        let Some(case) = self.cases.get_mut(&verdict.digest) else {
            return self.open_case(now, verdict, spans);
        };
        match (verdict.kind, case.state) {
            (VerdictKind::Released, CaseState::Released) => VerdictUpdate::Known,
            (VerdictKind::Released, _) => {
                self.release(now, verdict.digest);
                VerdictUpdate::Recorded
            }
            (_, CaseState::Quarantined | CaseState::Released) => VerdictUpdate::Known,
            (VerdictKind::Cleared, _) => {
                self.cases.remove(&verdict.digest);
                VerdictUpdate::Recorded
            }
            (VerdictKind::Quarantined, _) => {
                case.state = CaseState::Quarantined;
                case.expires_at = now + verdict.for_ms;
                VerdictUpdate::Recorded
            }
            (VerdictKind::UnderTrial, known_state) => {
                let lost_before = case.lost_endpoints.len();
                case.add_lost(&verdict.lost);
                if case.lost_endpoints.len() > 1 {
                    case.state = CaseState::Quarantined;
                    case.expires_at = now + spans.quarantine;
                    return VerdictUpdate::Quarantine;
                }
                if known_state == CaseState::UnderLocalTrial && verdict.tester < *local_vm {
                    case.state = CaseState::UnderRemoteTrial;
                    case.remote_trial_until = now + verdict.for_ms;
                }
                if case.lost_endpoints.len() > lost_before { VerdictUpdate::Recorded } else { VerdictUpdate::Known }
            }
        }
    }

    /// Opens a case for content that was not suspected here.
    fn open_case(&mut self, now: TimeMs, verdict: &Verdict, spans: VerdictSpans) -> VerdictUpdate {
        let (state, for_ms) = match verdict.kind {
            VerdictKind::Cleared | VerdictKind::Released => return VerdictUpdate::Known,
            VerdictKind::UnderTrial => (CaseState::UnderRemoteTrial, spans.quarantine),
            VerdictKind::Quarantined => (CaseState::Quarantined, verdict.for_ms),
        };
        let case = Case {
            workspace: verdict.workspace.clone(),
            lost_endpoints: verdict.lost.clone(),
            state,
            remote_trial_until: now + verdict.for_ms,
            expires_at: now + for_ms,
        };
        self.cases.insert(verdict.digest, case);
        VerdictUpdate::Recorded
    }

    /// Quarantine verdicts in force, for the table row and for VMs that may have missed some.
    pub(crate) fn verdicts(&self, now: TimeMs, local_vm: &VmId) -> Vec<Verdict> {
        self.quarantined(now)
            .map(|(digest, case)| Verdict {
                digest: *digest,
                workspace: case.workspace.clone(),
                kind: VerdictKind::Quarantined,
                lost: case.lost_endpoints.clone(),
                tester: local_vm.clone(),
                for_ms: case.expires_at.since(now),
            })
            .collect()
    }

    /// Hash of the quarantined contents, independent of their order. VMs compare it to find out
    /// whether one missed a verdict.
    pub(crate) fn hash(&self, now: TimeMs) -> Hash64 {
        let stable = self.quarantined(now).filter(|(_, case)| case.expires_at.since(now) > HASH_EXPIRY_MARGIN);
        Hash64(stable.fold(0, |hash, (digest, _)| hash ^ digest.0 as u64))
    }

    /// Contents in quarantine, sorted by digest.
    pub(crate) fn entries(&self, now: TimeMs) -> Vec<QuarantineEntry> {
        let mut entries: Vec<_> = self
            .quarantined(now)
            .map(|(digest, case)| QuarantineEntry {
                digest: *digest,
                workspace: case.workspace.clone(),
                left_ms: case.expires_at.since(now),
            })
            .collect();
        entries.sort_by_key(|entry| entry.digest);
        entries
    }

    /// Releases content at an operator's request; returns whether there was a case to release.
    pub(crate) fn release(&mut self, now: TimeMs, digest: ContentDigest) -> bool {
        let Some(case) = self.cases.get_mut(&digest).filter(|case| case.state != CaseState::Released) else {
            return false;
        };
        case.state = CaseState::Released;
        case.expires_at = now + RELEASE_SETTLE_TIME;
        true
    }

    /// Drops expired cases and losses. Above [`CASES_MAX`] only quarantined contents are kept.
    pub(crate) fn sweep(&mut self, now: TimeMs) {
        self.cases.retain(|_, case| case.expires_at > now);
        self.recent_losses.retain(|_, losses| losses.iter().any(|at| now.since(*at) < ENDPOINT_FAULT_WINDOW));
        if self.cases.len() > CASES_MAX {
            self.cases.retain(|_, case| case.state == CaseState::Quarantined);
        }
    }

    fn quarantined(&self, now: TimeMs) -> impl Iterator<Item = (&ContentDigest, &Case)> {
        self.cases.iter().filter(move |(_, case)| case.state == CaseState::Quarantined && case.expires_at > now)
    }

    /// Records a loss of an endpoint, unless it belongs to the latest crash; returns whether the
    /// endpoint is at fault.
    fn record_endpoint_loss(&mut self, now: TimeMs, endpoint: Hash64) -> bool {
        let losses = self.recent_losses.entry(endpoint).or_default();
        losses.retain(|at| now.since(*at) < ENDPOINT_FAULT_WINDOW);
        let is_same_crash = losses.last().is_some_and(|at| now.since(*at) < SAME_CRASH_WINDOW);
        if !is_same_crash {
            losses.push(now);
        }
        losses.len() >= ENDPOINT_FAULT_LOSSES
    }
}

/// How long verdicts stay in force.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VerdictSpans {
    pub(crate) trial: SpanMs,
    pub(crate) quarantine: SpanMs,
}
