//! Requests whose contents crash endpoints: the check of an endpoint that lost a connection, the end of requests
//! with a content that was found harmful, and trials.

use boragepass_types::{EndpointId, Hash64, SpanMs, TimeMs, rendezvous_weight};

use super::RequestPath;
use crate::admission::RefusalReason;
use crate::effect::{Effect, SendTarget};
use crate::event::Arrival;
use crate::record::Record;
use crate::request::{Phase, RequestNumber, SendProgress};
use crate::retry::ContentVerdict;
use crate::timers::Timer;

/// Time from a lost connection to the check whether the endpoint is down.
const ENDPOINT_CHECK_DELAY: SpanMs = SpanMs(30);
/// Contents that a log line lists.
const LOGGED_CONTENTS_MAX: usize = 6;
/// Time after which a client may return whose request was refused while another VM may try its content.
const TRIAL_RETRY_AFTER: SpanMs = SpanMs(2_000);

impl RequestPath {
    /// Records that a connection was lost, and lets the endpoint be checked.
    pub(super) fn suspect_crash(
        &mut self,
        now: TimeMs,
        request: RequestNumber,
        endpoint: &EndpointId,
        progress: SendProgress,
    ) {
        let (Some(state), Some(known_endpoint)) = (self.requests.get(&request), self.endpoint_table.get(endpoint))
        else {
            return;
        };
        let started_at_unix_ms = known_endpoint.endpoint.started_at_unix_ms;
        let is_stream = state.route.repeatability.is_stream();
        let arrival = &state.arrival;
        self.crash_tracker.on_connection_lost(now, endpoint, started_at_unix_ms, arrival, is_stream, progress);
        self.timers.set(now + ENDPOINT_CHECK_DELAY, Timer::CheckEndpoint(endpoint.clone()));
    }

    /// Has the executor open a connection to an endpoint to see whether it is down.
    pub(super) fn check_endpoint(&mut self, endpoint: &EndpointId) {
        if let Some(known_endpoint) = self.endpoint_table.get(endpoint) {
            let target = SendTarget { endpoint: endpoint.clone(), address: known_endpoint.endpoint.address };
            self.effects.push(Effect::CheckEndpoint(target));
        }
    }

    /// Attributes the crash of an endpoint that was found down, once it is clear that not this VM's links failed.
    pub(super) fn on_endpoint_down(&mut self, now: TimeMs, endpoint: &EndpointId) {
        if self.endpoint_reach.is_in_doubt() {
            self.doubted_down_endpoints.push(endpoint.clone());
            return;
        }
        self.endpoint_table.on_down(now, endpoint);
        let contents = self.crash_tracker.on_endpoint_down(now, endpoint);
        if contents.is_empty() {
            return;
        }
        let listed: Vec<_> = contents.iter().take(LOGGED_CONTENTS_MAX).map(ToString::to_string).collect();
        self.log(
            Record::new("crash counted against contents")
                .text("endpoint", endpoint)
                .text("contents", listed.join(","))
                .number("count", contents.len()),
        );
        self.end_harmful_requests(now);
        self.send_heartbeats(now);
    }

    /// Attributes the crashes of endpoints that were found down while this VM's links were in doubt.
    pub(super) fn confirm_doubted_crashes(&mut self, now: TimeMs) {
        if self.endpoint_reach.is_in_doubt() {
            return;
        }
        for endpoint in std::mem::take(&mut self.doubted_down_endpoints) {
            self.on_endpoint_down(now, &endpoint);
        }
    }

    /// Drops what connections that were lost with this VM's links would count against contents.
    pub(super) fn drop_doubted_crashes(&mut self) {
        let endpoints = std::mem::take(&mut self.doubted_down_endpoints).len();
        let sends = self.crash_tracker.drop_lost_sends();
        if endpoints + sends > 0 {
            let record = Record::new("lost connections count against no content");
            self.log(record.number("endpoints", endpoints).number("sends", sends));
        }
    }

    /// Finds contents that have become harmful and ends the requests that have them, unless they are being answered.
    pub(super) fn end_harmful_requests(&mut self, now: TimeMs) {
        let newly_harmful = self.crash_tracker.judge();
        if newly_harmful.is_empty() {
            return;
        }
        for (content, crashes) in newly_harmful {
            self.log(Record::new("content crashes endpoints").text("content", content).number("crashes", crashes));
        }
        let mut harmful: Vec<RequestNumber> =
            self.requests.keys().copied().filter(|request| self.is_refused_for_content(now, *request)).collect();
        harmful.sort();
        for request in harmful {
            self.fail_request(now, request, RefusalReason::CrashesEndpoints);
        }
    }

    /// Whether a request that is not answered yet has a harmful content.
    pub(super) fn is_refused_for_content(&self, now: TimeMs, request: RequestNumber) -> bool {
        self.requests.get(&request).is_some_and(|state| {
            let is_open = match &state.phase {
                Phase::InStages => true,
                Phase::Sent(active_send) => active_send.progress != SendProgress::Streaming,
                Phase::Relayed(relayed) => !relayed.has_begun,
                Phase::Answered => false,
            };
            is_open && !state.is_trial && self.crash_tracker.verdict(now, &state.arrival) != ContentVerdict::Allowed
        })
    }

    /// Whether this VM is the one that tries a harmful content again.
    pub(super) fn tries_content(&self, now: TimeMs, content: Hash64) -> bool {
        let key = content.to_string();
        let serving = self.fleet.serving_with_endpoints(now);
        let trying = serving.into_iter().max_by_key(|record| rendezvous_weight(&key, record.vm.as_str()));
        trying.is_some_and(|record| record.vm == self.settings.vm)
    }

    /// Why a request with these contents is refused, and until when; its content if it is a trial.
    pub(super) fn admit_content(
        &self,
        now: TimeMs,
        arrival: &Arrival,
    ) -> Result<Option<Hash64>, (RefusalReason, Option<SpanMs>)> {
        match self.crash_tracker.verdict(now, arrival) {
            ContentVerdict::Allowed => Ok(None),
            ContentVerdict::TrialDue(content) if self.tries_content(now, content) => Ok(Some(content)),
            ContentVerdict::TrialDue(_) => Err((RefusalReason::CrashesEndpoints, Some(TRIAL_RETRY_AFTER))),
            ContentVerdict::Refused(refused_for) => Err((RefusalReason::CrashesEndpoints, Some(refused_for))),
        }
    }
}
