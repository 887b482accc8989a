//! Planned stop: this VM takes no new requests and exits once those in progress have finished.

use boragepass_types::TimeMs;

use crate::effect::{Effect, Effects};
use crate::membership::MemberState;
use crate::node::Node;
use crate::state_change::StateChange;
use crate::timers::Timer;

/// State of a drain.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Drain {
    /// Not draining.
    #[default]
    Off,
    /// Takes no new requests. The process stays up for as long as callers may cache its address, so
    /// that they get a refusal with its reason and not a connection error.
    Draining {
        /// When callers no longer use its address, and the process may exit.
        linger_until: TimeMs,
    },
    /// Has asked the process to end.
    Done,
}

impl Node {
    /// Whether this VM takes no new requests.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain != Drain::Off
    }

    /// Starts the drain; a second request to stop ends the process at once.
    pub(crate) fn on_terminate(&mut self, now: TimeMs, out: &mut Effects) {
        if self.is_draining() {
            out.push(Effect::Exit);
            return;
        }
        let linger_until = now + self.settings.limits.drain_linger_ms;
        self.drain = Drain::Draining { linger_until };
        self.timers.set(linger_until, Timer::DrainLinger);
        self.membership.local_record.state = MemberState::Leaving;
        self.membership.view_version += 1;
        out.log(StateChange::Draining { in_progress: self.requests.len() });
        self.send_all_heartbeats(now, out);
        self.timers.set(now + self.settings.limits.drain_ms, Timer::DrainTimeout);
    }

    /// Ends the process once nothing is in progress and callers no longer use its address.
    pub(crate) fn exit_when_drained(&mut self, now: TimeMs, out: &mut Effects) {
        let Drain::Draining { linger_until } = self.drain else {
            return;
        };
        let is_idle = self.requests.len() == 0
            && self.late_attempts.is_empty()
            && self.claims.is_idle()
            && self.claim_batch.is_idle();
        if is_idle && now >= linger_until {
            self.drain = Drain::Done;
            out.log(StateChange::Drained);
            out.push(Effect::Exit);
        }
    }
}
