//! Content that crashes the endpoints it runs on.
//!
//! What repeats is the content, not the request id, so verdicts go by digest. After the first loss
//! the content is tested alone on one more endpoint while other VMs refuse it; a second loss puts
//! it in quarantine everywhere. A test waits until the other VMs have heard of it and stopped their
//! own copies; one that comes to no end is taken over by whoever is asked next. Everything that ran on an endpoint when it was lost is a suspect,
//! but only the one that is tested alone can be found guilty. An endpoint that is lost with many
//! different contents in a short time is itself at fault, and what ran on it is not suspected.

use std::collections::VecDeque;

use boragepass_types::{ContentDigest, Hash64, SpanMs, TimeMs, VmId, WorkspaceId};

use crate::map::Map;
use crate::message::{Verdict, VerdictKind};

const ENDPOINT_FAULT_WINDOW: SpanMs = SpanMs(30_000);
const ENDPOINT_FAULT_LOSSES: usize = 3;
const SAME_CRASH_WINDOW: SpanMs = SpanMs(200);
const KNOWN_GOOD_MAX: usize = 4_096;
const CASES_MAX: usize = 20_000;
const RELEASE_SETTLE_TIME: SpanMs = SpanMs(10_000);
const HASH_EXPIRY_MARGIN: SpanMs = SpanMs(5_000);

/// Whether content may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Clearance {
    /// As any other.
    Free,
    /// Alone on an endpoint, as a test.
    Alone,
    /// Not here; another VM tests it.
    TestedElsewhere(SpanMs),
    /// Nowhere.
    Quarantined(SpanMs),
}

/// What this VM knows of one content.
#[derive(Debug, Clone)]
struct Case {
    workspace: WorkspaceId,
    /// Endpoints that were lost with it, here or elsewhere.
    lost_endpoints: Vec<Hash64>,
    state: CaseState,
    /// While another VM tests it.
    tested_until: TimeMs,
    /// When all of it is forgotten.
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
    TestedHere,
    TestedElsewhere,
    Quarantined,
    /// Let go by an operator a moment ago; verdicts that are still under way do not count.
    Released,
}

/// Consequence of another VM's verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum VerdictUpdate {
    /// It was known.
    Known,
    /// It was news.
    Recorded,
    /// Together with what was known here it makes a quarantine.
    Quarantine,
}

/// Content in quarantine as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The content.
    pub digest: ContentDigest,
    /// Workspace that sent it.
    pub workspace: WorkspaceId,
    /// Time until it is let go.
    pub left_ms: SpanMs,
}

/// Consequence of a lost attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LossVerdict {
    /// First loss: test alone.
    Test,
    /// Second loss: quarantine.
    Quarantine,
    /// The endpoint is at fault.
    EndpointFault,
}

/// Verdicts on contents.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    cases: Map<ContentDigest, Case>,
    recent_losses: Map<Hash64, Vec<TimeMs>>,
    /// Contents that were answered, oldest first.
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
            CaseState::TestedElsewhere if case.tested_until > now => {
                Clearance::TestedElsewhere(case.tested_until.since(now))
            }
            CaseState::TestedHere | CaseState::TestedElsewhere => Clearance::Alone,
            CaseState::Released => Clearance::Free,
            CaseState::Quarantined => Clearance::Quarantined(case.expires_at.since(now)),
        }
    }

    /// Judges the loss of an attempt.
    pub(crate) fn on_loss(
        &mut self,
        now: TimeMs,
        digest: ContentDigest,
        workspace: &WorkspaceId,
        endpoint: Hash64,
        ran_alone: bool,
        spans: VerdictSpans,
    ) -> LossVerdict {
        if self.record_endpoint_loss(now, endpoint) && !ran_alone {
            return LossVerdict::EndpointFault;
        }
        let case = self.cases.entry(digest).or_insert_with(|| Case {
            workspace: workspace.clone(),
            lost_endpoints: Vec::new(),
            state: CaseState::TestedHere,
            tested_until: now,
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
        case.state = CaseState::TestedHere;
        LossVerdict::Test
    }

    /// Endpoints that were lost with content.
    pub(crate) fn endpoints_lost_with(&self, digest: ContentDigest) -> Vec<Hash64> {
        self.cases.get(&digest).map(|case| case.lost_endpoints.clone()).unwrap_or_default()
    }

    /// Clears content that ran to its end; says whether it was a suspect.
    pub(crate) fn on_success(&mut self, digest: ContentDigest) -> bool {
        self.mark_known_good(digest);
        let is_tested = self
            .cases
            .get(&digest)
            .is_some_and(|case| matches!(case.state, CaseState::TestedHere | CaseState::TestedElsewhere));
        if is_tested {
            self.cases.remove(&digest);
        }
        is_tested
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

    /// Whether content was answered before.
    pub(crate) fn is_known_good(&self, digest: ContentDigest) -> bool {
        self.known_good.contains_key(&digest)
    }

    /// Takes over another VM's verdict. Of two VMs that test the same content, the one with the
    /// smaller name goes on.
    pub(crate) fn apply(&mut self, now: TimeMs, me: &VmId, verdict: &Verdict, spans: VerdictSpans) -> VerdictUpdate {
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
            (VerdictKind::UnderTrial, known) => {
                let lost_before = case.lost_endpoints.len();
                case.add_lost(&verdict.lost);
                if case.lost_endpoints.len() > 1 {
                    case.state = CaseState::Quarantined;
                    case.expires_at = now + spans.quarantine;
                    return VerdictUpdate::Quarantine;
                }
                if known == CaseState::TestedHere && verdict.tester < *me {
                    case.state = CaseState::TestedElsewhere;
                    case.tested_until = now + verdict.for_ms;
                }
                if case.lost_endpoints.len() > lost_before { VerdictUpdate::Recorded } else { VerdictUpdate::Known }
            }
        }
    }

    /// Opens a case on another VM's word.
    fn open_case(&mut self, now: TimeMs, verdict: &Verdict, spans: VerdictSpans) -> VerdictUpdate {
        let (kind, for_ms) = match verdict.kind {
            VerdictKind::Cleared | VerdictKind::Released => return VerdictUpdate::Known,
            VerdictKind::UnderTrial => (CaseState::TestedElsewhere, spans.quarantine),
            VerdictKind::Quarantined => (CaseState::Quarantined, verdict.for_ms),
        };
        let case = Case {
            workspace: verdict.workspace.clone(),
            lost_endpoints: verdict.lost.clone(),
            state: kind,
            tested_until: now + verdict.for_ms,
            expires_at: now + for_ms,
        };
        self.cases.insert(verdict.digest, case);
        VerdictUpdate::Recorded
    }

    /// Verdicts in force, for a VM that may have missed some.
    pub(crate) fn verdicts(&self, now: TimeMs, me: &VmId) -> Vec<Verdict> {
        self.quarantined(now)
            .map(|(digest, case)| Verdict {
                digest: *digest,
                workspace: case.workspace.clone(),
                kind: VerdictKind::Quarantined,
                lost: case.lost_endpoints.clone(),
                tester: me.clone(),
                for_ms: case.expires_at.since(now),
            })
            .collect()
    }

    /// Order-free hash of the quarantine, to find VMs that missed a verdict.
    pub(crate) fn hash(&self, now: TimeMs) -> Hash64 {
        let stable = self.quarantined(now).filter(|(_, case)| case.expires_at.since(now) > HASH_EXPIRY_MARGIN);
        Hash64(stable.fold(0, |hash, (digest, _)| hash ^ digest.0 as u64))
    }

    /// Content in quarantine.
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

    /// Lets content go on an operator's word; says whether it was held.
    pub(crate) fn release(&mut self, now: TimeMs, digest: ContentDigest) -> bool {
        let Some(case) = self.cases.get_mut(&digest).filter(|case| case.state != CaseState::Released) else {
            return false;
        };
        case.state = CaseState::Released;
        case.expires_at = now + RELEASE_SETTLE_TIME;
        true
    }

    /// Drops what is over.
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

    /// Counts losses of an endpoint; those of one moment are one crash.
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
