//! Stop of this process within its grace period: until when it takes new requests, when it ends those in progress, and when
//! it exits.

use boragepass_types::{SpanMs, TimeMs};

use super::RequestPath;
use crate::admission::RefusalReason;
use crate::effect::Effect;
use crate::fleet::VmState;
use crate::record::Record;
use crate::stages::Pool;
use crate::timers::Timer;

/// Interval at which a stopping process checks whether it can exit.
const DRAIN_CHECK_INTERVAL: SpanMs = SpanMs(100);
/// Time for which a stopping process serves new requests, since clients cache its address.
const SERVING_TIME: SpanMs = SpanMs(3_000);
/// The same as a share of a short grace period, so that what it takes can still end.
const SERVING_PERCENT: u64 = 38;
/// Time before the end of the grace period at which requests in progress are aborted, so that their clients
/// still get an answer.
const ABORT_MARGIN: SpanMs = SpanMs(1_200);
/// The same as a share of a short grace period.
const ABORT_MARGIN_PERCENT: u64 = 15;
/// Time before the end of the grace period at which the process exits, so that the last answers can still be sent.
const EXIT_MARGIN: SpanMs = SpanMs(700);
/// The same as a share of a short grace period.
const EXIT_MARGIN_PERCENT: u64 = 9;
/// Shortest time until requests are aborted in which one is still sent to an endpoint.
const SEND_TIME_MIN: SpanMs = SpanMs(300);

/// Times after the stop signal at which a process takes the steps of its stop.
#[derive(Debug, Clone, Copy)]
struct StopSchedule {
    refuses_after: SpanMs,
    aborts_after: SpanMs,
    exits_after: SpanMs,
}

impl StopSchedule {
    fn within(grace: SpanMs) -> Self {
        Self {
            refuses_after: SERVING_TIME.min(grace.percent(SERVING_PERCENT)),
            aborts_after: grace.saturating_sub(ABORT_MARGIN.min(grace.percent(ABORT_MARGIN_PERCENT))),
            exits_after: grace.saturating_sub(EXIT_MARGIN.min(grace.percent(EXIT_MARGIN_PERCENT))),
        }
    }
}

impl RequestPath {
    pub(super) fn on_terminate(&mut self, now: TimeMs) {
        if self.stopping_since.is_some() {
            return;
        }
        self.stopping_since = Some(now);
        self.fleet.local_record.state = VmState::Leaving;
        self.log(Record::new("stopping").number("requests", self.requests.len()));
        self.effects.push(Effect::SetReady(false));
        self.effects.push(Effect::CloseConnections);
        self.send_heartbeats(now);
        self.timers.set(now + DRAIN_CHECK_INTERVAL, Timer::CheckDrain);
    }

    fn stop_schedule(&self) -> StopSchedule {
        StopSchedule::within(self.settings.stop_grace_ms)
    }

    pub(super) fn check_drain(&mut self, now: TimeMs) {
        let Some(stopping_since) = self.stopping_since else {
            return;
        };
        let (stopping_for, schedule) = (now.since(stopping_since), self.stop_schedule());
        let is_idle = self.requests.is_empty() && self.led_pools.values().all(Pool::is_idle);
        if stopping_for >= schedule.aborts_after {
            let mut requests: Vec<_> = self.requests.keys().copied().collect();
            requests.sort();
            for request in requests {
                self.fail_request(now, request, RefusalReason::Stopping);
            }
        }
        if stopping_for >= schedule.exits_after || (is_idle && stopping_for >= schedule.refuses_after) {
            self.log(
                Record::new("stopped").number("after_ms", stopping_for.0).number("requests_left", self.requests.len()),
            );
            self.effects.push(Effect::Exit);
            return;
        }
        self.timers.set(now + DRAIN_CHECK_INTERVAL, Timer::CheckDrain);
    }

    /// Whether a stopping process refuses new requests.
    pub(super) fn refuses_new_requests(&self, now: TimeMs) -> bool {
        self.stopping_since.is_some_and(|since| now.since(since) >= self.stop_schedule().refuses_after)
    }

    /// Whether a stopping process would abort a request that is sent to an endpoint now before it can end.
    pub(super) fn is_too_late_to_send(&self, now: TimeMs) -> bool {
        self.stopping_since.is_some_and(|since| now.since(since) + SEND_TIME_MIN >= self.stop_schedule().aborts_after)
    }
}
