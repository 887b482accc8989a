//! Finds contents of requests that crash the endpoints that run them, so that such requests are refused.
//!
//! A lost connection alone is no crash. It counts against the request on it once the endpoint is found down shortly
//! after. A content of which a request completed is cleared for a while. VMs share both in heartbeats: the crashes
//! that each knows, and that a content which another VM reports is cleared. A harmful content is tried again from
//! time to time, by one VM, since a sound one may have been involved in crashes by chance.

use std::collections::HashMap;

use boragepass_types::{EndpointId, Hash64, SpanMs, TimeMs};

use super::crash_evidence::{Content, Crash, CrashEvidence};
use crate::event::Arrival;
use crate::message::ContentCrashes;
use crate::request::SendProgress;

/// Time after a lost connection in which the endpoint has to be found down.
const CRASH_CONFIRMATION_WINDOW: SpanMs = SpanMs(2_000);
/// Time for which no crash counts against a prompt part of a request that completed.
const CLEARED_TIME: SpanMs = SpanMs(60_000);
/// Time for which heartbeats repeat changed evidence, and which contents of other VMs' reports are cleared.
const REPORT_TIME: SpanMs = SpanMs(3_000);
/// Reports and cleared contents that one heartbeat carries.
const REPORTS_MAX: usize = 12;
/// Harmful contents that each heartbeat reports in rotation, for VMs that have just started.
const ROTATED_REPORTS: usize = 2;
/// Prompt parts of a request that may be found harmful.
const PROMPT_PARTS_MAX: usize = 16;

/// Request whose connection was lost, until its endpoint is found down.
#[derive(Debug, Clone)]
struct LostSend {
    endpoint: EndpointId,
    /// Crash that it is, if the endpoint is down.
    crash: Hash64,
    contents: Vec<(Content, u8)>,
    lost_at: TimeMs,
}

/// Whether a request may be sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ContentVerdict {
    /// Nothing speaks against it.
    Allowed,
    /// A content of it crashes endpoints and is refused for this time.
    Refused(SpanMs),
    /// This content of it crashed endpoints and is due to be tried again.
    TrialDue(Hash64),
}

/// Unconfirmed crashes, and the evidence from confirmed ones.
#[derive(Debug, Default)]
pub(crate) struct CrashTracker {
    lost_sends: Vec<LostSend>,
    evidence: CrashEvidence,
    /// When a request with the content completed last.
    cleared: HashMap<Hash64, TimeMs>,
    /// Cleared contents that other VMs hold crashes against, with the time of their report.
    disputed: HashMap<Hash64, TimeMs>,
}

/// Contents of a request that may crash endpoints. The last prompt part belongs to the request alone.
fn contents(arrival: &Arrival) -> impl Iterator<Item = Content> {
    let whole = Content { id: arrival.digest, specificity: 0 };
    let shared_parts = arrival.prompt.split_last().map_or(&[][..], |(_, shared_parts)| shared_parts);
    let parts = shared_parts.iter().take(PROMPT_PARTS_MAX).zip(1_u8..);
    std::iter::once(whole).chain(parts.map(|(part, position)| Content { id: part.id, specificity: position }))
}

/// How likely a request whose stream had come this far caused a crash. Endpoints crash as they begin the answer.
fn crash_weight(content: Content, is_stream: bool, progress: SendProgress) -> u8 {
    let is_whole_request = content.specificity == 0;
    match progress {
        _ if !is_stream => 2,
        SendProgress::Begun => 2,
        SendProgress::Waiting => 1 + u8::from(is_whole_request),
        SendProgress::Streaming => u8::from(is_whole_request),
    }
}

impl CrashTracker {
    /// Records that a connection was lost while an endpoint process, started at this time, ran a request.
    pub(crate) fn on_connection_lost(
        &mut self,
        now: TimeMs,
        endpoint: &EndpointId,
        started_at_unix_ms: u64,
        arrival: &Arrival,
        is_stream: bool,
        progress: SendProgress,
    ) {
        let weighed = contents(arrival).map(|content| (content, crash_weight(content, is_stream, progress)));
        let suspected = weighed.filter(|(content, weight)| *weight > 0 && !self.is_cleared(now, content.id));
        let lost_send = LostSend {
            endpoint: endpoint.clone(),
            crash: Hash64::of(format!("{endpoint}/{started_at_unix_ms}").as_bytes()),
            contents: suspected.collect(),
            lost_at: now,
        };
        self.lost_sends.push(lost_send);
    }

    /// Drops the connections that were lost and not confirmed as crashes; returns their number.
    pub(crate) fn drop_lost_sends(&mut self) -> usize {
        std::mem::take(&mut self.lost_sends).len()
    }

    /// Counts the crash of an endpoint that was found down against the contents of the requests that it ran; returns the
    /// contents for which that is new.
    pub(crate) fn on_endpoint_down(&mut self, now: TimeMs, endpoint: &EndpointId) -> Vec<Hash64> {
        let lost_sends = std::mem::take(&mut self.lost_sends);
        let (confirmed, unconfirmed): (Vec<_>, Vec<_>) =
            lost_sends.into_iter().partition(|lost_send| lost_send.endpoint == *endpoint);
        self.lost_sends = unconfirmed;
        let mut counted = Vec::new();
        for lost_send in confirmed {
            if now.since(lost_send.lost_at) >= CRASH_CONFIRMATION_WINDOW {
                continue;
            }
            for (content, weight) in lost_send.contents {
                // A request with it may have completed since.
                if !self.is_cleared(now, content.id) {
                    let crash = Crash { id: lost_send.crash, weight };
                    if self.evidence.add(now, content, crash, lost_send.lost_at) {
                        counted.push(content.id);
                    }
                }
            }
        }
        counted
    }

    fn is_cleared(&self, now: TimeMs, content: Hash64) -> bool {
        self.cleared.get(&content).is_some_and(|at| now.since(*at) < CLEARED_TIME)
    }

    fn clear(&mut self, now: TimeMs, content: Hash64) {
        self.evidence.remove(content);
        self.cleared.insert(content, now);
    }

    /// Clears the contents of a request that completed.
    pub(crate) fn on_completed(&mut self, now: TimeMs, arrival: &Arrival) {
        for content in contents(arrival) {
            self.clear(now, content.id);
        }
    }

    /// Takes over what another VM's heartbeat reports; returns whether there is new evidence.
    pub(crate) fn on_peer_reports(&mut self, now: TimeMs, reports: &[ContentCrashes], cleared: &[Hash64]) -> bool {
        for content in cleared {
            self.clear(now, *content);
        }
        let mut has_changed = false;
        for report in reports {
            if self.is_cleared(now, report.content) {
                self.disputed.insert(report.content, now);
                continue;
            }
            let content = Content { id: report.content, specificity: report.specificity };
            let crashed_at = TimeMs(now.0.saturating_sub(report.age_ms.0));
            for (id, weight) in &report.crashes {
                let crash = Crash { id: *id, weight: *weight };
                has_changed |= self.evidence.add(now, content, crash, crashed_at);
            }
        }
        has_changed
    }

    /// Finds the contents that have become harmful, with their number of crashes.
    pub(crate) fn judge(&mut self) -> Vec<(Hash64, usize)> {
        self.evidence.judge()
    }

    /// Whether a request may be sent.
    pub(crate) fn verdict(&self, now: TimeMs, arrival: &Arrival) -> ContentVerdict {
        let harmful = contents(arrival).filter_map(|content| {
            self.evidence.refused_for(now, content.id).map(|refused_for| (refused_for, content.id))
        });
        match harmful.max() {
            None => ContentVerdict::Allowed,
            Some((SpanMs(0), content)) => ContentVerdict::TrialDue(content),
            Some((refused_for, _)) => ContentVerdict::Refused(refused_for),
        }
    }

    /// Records that a request with a harmful content is tried.
    pub(crate) fn on_trial(&mut self, now: TimeMs, content: Hash64) {
        self.evidence.on_trial(now, content);
    }

    /// Crashes by content, for this VM's heartbeat.
    pub(crate) fn reports(&mut self, now: TimeMs) -> Vec<ContentCrashes> {
        let changed_after = TimeMs(now.0.saturating_sub(REPORT_TIME.0));
        self.evidence.reports(now, changed_after, ROTATED_REPORTS, REPORTS_MAX)
    }

    /// Cleared contents that other VMs hold crashes against, for this VM's heartbeat.
    pub(crate) fn cleared_reports(&self, now: TimeMs) -> Vec<Hash64> {
        let is_recent = |(_, at): &(&Hash64, &TimeMs)| now.since(**at) < REPORT_TIME;
        let mut ids: Vec<_> = self.disputed.iter().filter(is_recent).map(|(content, _)| *content).collect();
        ids.sort();
        ids.truncate(REPORTS_MAX);
        ids
    }

    /// Drops what is outdated.
    pub(crate) fn sweep(&mut self, now: TimeMs) {
        self.lost_sends.retain(|lost_send| now.since(lost_send.lost_at) < CRASH_CONFIRMATION_WINDOW);
        self.evidence.sweep(now);
        self.cleared.retain(|_, at| now.since(*at) < CLEARED_TIME);
        self.disputed.retain(|_, at| now.since(*at) < REPORT_TIME);
    }
}
