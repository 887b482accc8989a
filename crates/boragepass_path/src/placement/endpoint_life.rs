//! Whether the process of an endpoint is still the one that wrote the known entry.
//!
//! An endpoint may restart under its id with another software version, and writes its new entry only after it serves
//! again. One that was found down is in doubt until its new entry is read, a reply shows that the process lives on, or
//! enough time has passed since it replied again. A VM may miss that an endpoint was down, so a stream goes on there only
//! after the store was asked for its entry.

use boragepass_types::{SpanMs, TimeMs};

/// Time in which an endpoint that restarted writes its new entry, while the store is reachable.
pub(crate) const RESTART_ENTRY_TIME: SpanMs = SpanMs(5_000);
/// Time for which an entry that was read shows the process of an endpoint, which takes longer to restart.
const CONFIRMATION_AGE_MAX: SpanMs = SpanMs(500);

/// What shows whether an endpoint has restarted since the start that its known entry states.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EndpointLife {
    /// When a VM found it down: first and last since it was last known to live.
    down: Option<(TimeMs, TimeMs)>,
    /// When it first replied after it was last found down.
    up_at: Option<TimeMs>,
    /// Beginning and end of the last exchange with it, during which its process did not end.
    last_exchange: Option<(TimeMs, TimeMs)>,
    /// When the store was last asked for its entry and had the known one.
    confirmed_at: Option<TimeMs>,
    /// When the store last gave no answer about its entry.
    unanswered_at: Option<TimeMs>,
}

impl EndpointLife {
    /// Whether it may have restarted without an entry that shows it.
    pub(crate) fn is_in_doubt(&self) -> bool {
        self.down.is_some()
    }

    /// Records that a VM found it down at a moment.
    pub(crate) fn on_found_down(&mut self, at: TimeMs) {
        if self.last_exchange.is_some_and(|(began_at, ended_at)| began_at <= at && at <= ended_at) {
            return;
        }
        self.confirmed_at = None;
        self.up_at = self.up_at.filter(|up_at| *up_at >= at);
        let (first, last) = self.down.unwrap_or((at, at));
        self.down = Some((first.min(at), last.max(at)));
    }

    /// Records a reply to a send or call.
    pub(crate) fn on_reply(&mut self, now: TimeMs, sent_at: TimeMs) {
        self.last_exchange = Some((sent_at, now));
        match self.down {
            Some((first, _)) if sent_at <= first => *self = Self { down: None, up_at: None, ..*self },
            Some((_, last)) if sent_at > last => self.up_at = self.up_at.or(Some(now)),
            Some(_) | None => {}
        }
    }

    /// Records that the store is reachable again, so that entries can be written from now on.
    pub(crate) fn on_store_returned(&mut self, now: TimeMs) {
        self.up_at = self.up_at.map(|_| now);
    }

    /// Ends the doubt once a restart would show in its entry.
    pub(crate) fn sweep(&mut self, now: TimeMs) {
        if self.up_at.is_some_and(|up_at| now.since(up_at) >= RESTART_ENTRY_TIME) {
            *self = Self { down: None, up_at: None, ..*self };
        }
    }

    /// Records that the store, asked at `asked_at`, had the known entry.
    pub(crate) fn on_confirmed(&mut self, asked_at: TimeMs) {
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
    }

    /// Whether the store was asked for its entry a moment ago and had the known one.
    pub(crate) fn is_confirmed(&self, now: TimeMs) -> bool {
        self.confirmed_at.is_some_and(|at| now.since(at) < CONFIRMATION_AGE_MAX)
    }

    /// Records that the store gave no answer about its entry.
    pub(crate) fn on_unanswered(&mut self, now: TimeMs) {
        self.unanswered_at = Some(now);
    }

    /// Whether the store gave no answer about its entry a moment ago.
    pub(crate) fn is_unanswered(&self, now: TimeMs) -> bool {
        self.unanswered_at.is_some_and(|at| now.since(at) < CONFIRMATION_AGE_MAX)
    }
}
