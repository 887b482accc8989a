//! A planned stop: no new work, everything in progress finishes.

use boragepass_types::TimeMs;

use crate::effect::{Effect, Effects};
use crate::membership::MemberState;
use crate::node::Node;
use crate::state_change::StateChange;
use crate::timers::Timer;

/// State of a drain.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Drain {
    /// Serves.
    #[default]
    Off,
    /// Takes nothing new. Lingers as long as callers may keep its address, to refuse them in words.
    Draining {
        /// When callers no longer use its address.
        linger_until: TimeMs,
    },
    /// Has asked the process to end.
    Done,
}

impl Node {
    /// Whether this VM takes nothing new.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain != Drain::Off
    }

    /// The process was asked to stop; the second time it stops at once.
    pub(crate) fn on_terminate(&mut self, now: TimeMs, out: &mut Effects) {
        if self.is_draining() {
            out.push(Effect::Exit);
            return;
        }
        let linger_until = now + self.settings.limits.drain_linger_ms;
        self.drain = Drain::Draining { linger_until };
        self.timers.set(linger_until, Timer::DrainIdle);
        self.membership.local_record.state = MemberState::Leaving;
        self.membership.view_version += 1;
        out.log(StateChange::Draining { in_progress: self.requests.len() });
        self.send_all_heartbeats(now, out);
        self.timers.set(now + self.settings.limits.drain_ms, Timer::DrainEnd);
    }

    /// Ends the process once nothing is left to do.
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
