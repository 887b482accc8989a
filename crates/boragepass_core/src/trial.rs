//! Trials of content that may crash endpoints.
//!
//! Until content has been answered once, each VM runs one copy of it at a time. After a loss the
//! next attempt waits until the other VMs have had time to hear of the trial, and runs on an endpoint
//! that runs no other suspect. The verdicts themselves are kept by `quarantine`.

use boragepass_types::{ContentDigest, FailureCause, TimeMs};

use crate::counter::Counter;
use crate::effect::Effects;
use crate::explain::{AttemptReason, Decision};
use crate::message::VerdictKind;
use crate::node::Node;
use crate::quarantine::{Clearance, LossVerdict, VerdictSpans};
use crate::request_table::{Attempt, Phase, RequestKey};
use crate::settings::Limits;
use crate::state_change::StateChange;
use crate::timers::Timer;

impl Node {
    /// Decides what follows for content whose attempt was lost; returns whether it is in quarantine.
    pub(crate) fn assess_lost_attempt(
        &mut self,
        now: TimeMs,
        key: RequestKey,
        attempt: &Attempt,
        out: &mut Effects,
    ) -> bool {
        let Some(active) = self.requests.get(key) else {
            return false;
        };
        let (digest, workspace) = (active.request.digest, active.request.workspace.clone());
        let spans = self.settings.limits.verdict_spans();
        let endpoint = self.endpoints.get(attempt.endpoint).hash;
        match self.quarantine.on_loss(now, digest, &workspace, endpoint, attempt.is_suspect, spans) {
            LossVerdict::EndpointFault => false,
            LossVerdict::Trial => {
                self.broadcast_verdict(digest, &workspace, VerdictKind::UnderTrial, spans.trial, out);
                self.mark_suspect(now, key);
                self.make_copies_await_trial(now, digest, Some(key));
                false
            }
            LossVerdict::Quarantine => {
                out.count(Counter::QuarantineAdded);
                let for_ms = spans.quarantine;
                out.log(StateChange::ContentQuarantined { digest, workspace: workspace.clone(), for_ms });
                self.broadcast_verdict(digest, &workspace, VerdictKind::Quarantined, for_ms, out);
                self.save_verdicts(now, out);
                true
            }
        }
    }

    fn mark_suspect(&mut self, now: TimeMs, key: RequestKey) {
        if let Some(active) = self.requests.get_mut(key).filter(|active| !active.is_suspect) {
            active.is_suspect = true;
            self.tracer.record(now, &active.request.workspace, &active.request.id, Decision::Suspected);
        }
    }

    /// Whether a request's content is suspected of crashing endpoints.
    pub(crate) fn is_suspect(&self, key: RequestKey) -> bool {
        self.requests.get(key).is_some_and(|active| active.is_suspect)
    }

    /// Makes other requests with the content wait for its trial. Attempts that were already sent are
    /// not canceled, so that a further loss is noticed.
    pub(crate) fn make_copies_await_trial(&mut self, now: TimeMs, digest: ContentDigest, except: Option<RequestKey>) {
        for key in self.requests.requests_with_digest(digest).to_vec() {
            if Some(key) == except {
                continue;
            }
            self.mark_suspect(now, key);
            let is_queued = self.requests.get(key).is_some_and(|active| matches!(active.phase, Phase::Queued(_)));
            if is_queued {
                self.leave_queue(key);
                self.await_trial(now, key);
            }
        }
    }

    /// Makes a request wait for the trial of its content, and checks again after the trial delay.
    pub(crate) fn await_trial(&mut self, now: TimeMs, key: RequestKey) {
        if let Some(active) = self.requests.get_mut(key) {
            active.phase = Phase::AwaitingTrial;
            self.timers.set(now + self.settings.limits.trial_delay_ms, Timer::TrialCheck(key));
        }
    }

    /// Whether a request must wait for another copy of its content, here or on another VM.
    ///
    /// Content that has never been answered runs one copy at a time, so that a caller who resends it
    /// while it is still running cannot crash several endpoints at once.
    pub(crate) fn must_await_trial(&self, now: TimeMs, key: RequestKey) -> bool {
        let Some(active) = self.requests.get(key) else {
            return false;
        };
        let digest = active.request.digest;
        match self.quarantine.clearance(now, digest) {
            Clearance::UnderRemoteTrial(_) => true,
            Clearance::Free if self.quarantine.is_known_good(digest) => false,
            Clearance::Free | Clearance::Alone => self.has_running_copy(key, digest),
            Clearance::Quarantined(_) => false,
        }
    }

    fn has_running_copy(&self, key: RequestKey, digest: ContentDigest) -> bool {
        self.requests.requests_with_digest(digest).iter().filter(|other| **other != key).any(|other| {
            self.requests.get(*other).is_some_and(|copy| !matches!(copy.phase, Phase::AwaitingTrial | Phase::Claiming))
        })
    }

    /// Makes copies that wait for a finished request check at once whether they may run.
    pub(crate) fn recheck_waiting_copies(&mut self, now: TimeMs, digest: ContentDigest) {
        for key in self.requests.requests_with_digest(digest).to_vec() {
            let is_waiting = self.requests.get(key).is_some_and(|active| active.phase == Phase::AwaitingTrial);
            if is_waiting {
                self.timers.set(now, Timer::TrialCheck(key));
            }
        }
    }

    /// Checks whether a request that waits for a trial may run.
    pub(crate) fn on_trial_timer(&mut self, now: TimeMs, key: RequestKey, out: &mut Effects) {
        let Some(active) = self.requests.get(key).filter(|active| active.phase == Phase::AwaitingTrial) else {
            return;
        };
        match self.quarantine.clearance(now, active.request.digest) {
            Clearance::Quarantined(_) => self.finish_failed(now, key, FailureCause::Quarantined, out),
            Clearance::UnderRemoteTrial(_) => self.await_trial(now, key),
            _ if self.must_await_trial(now, key) => self.await_trial(now, key),
            clearance @ (Clearance::Alone | Clearance::Free) => {
                let reason = if active.tokens > 0 { AttemptReason::Resume } else { AttemptReason::Retry };
                if let Some(active) = self.requests.get_mut(key) {
                    active.is_suspect = clearance == Clearance::Alone;
                }
                self.run_stage(now, key, reason, out);
            }
        }
    }
}

impl Limits {
    /// Lifetimes of verdicts.
    pub(crate) fn verdict_spans(&self) -> VerdictSpans {
        VerdictSpans { trial: self.trial_ms, quarantine: self.quarantine_ms }
    }
}
