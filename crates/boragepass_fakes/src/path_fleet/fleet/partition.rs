//! Partitions of single VMs from all endpoints, while clients, the store and the other VMs reach them.

use super::*;

/// Share of sends and calls for which a VM has an open connection.
const REUSED_CONNECTION_SHARE: f64 = 0.5;

/// Time after which a probe fails.
const PROBE_TIMEOUT_MS: u64 = 600;

/// State of a VM's links to all endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, derive_more::Display)]
pub enum EndpointLinks {
    /// Connections work.
    #[default]
    Up,
    /// Open connections hang, and new ones get no answer.
    Hanging,
    /// Open connections are reset, and new ones are refused.
    Resetting,
    /// Open connections live on, and new ones are refused.
    RefusingNew,
}

/// What becomes of a new send or call.
pub(super) enum LinkOutcome {
    Passes,
    /// It gets no answer.
    Hangs,
    /// Its connection is reset.
    Resets,
    /// No connection opens; the VM learns that after a time.
    Fails {
        after_ms: u64,
    },
}

impl PathFleet {
    /// Changes the links of some VMs to all endpoints.
    pub fn set_endpoint_links(&mut self, vms: &[usize], links: EndpointLinks) {
        let now = self.now;
        for vm in vms.iter().copied() {
            let was_up = self.vms[vm].endpoint_links == EndpointLinks::Up;
            self.vms[vm].endpoint_links = links;
            match links {
                EndpointLinks::Up => self.ledger.partitions.end(now, vm),
                EndpointLinks::Hanging => self.break_connections(vm, true),
                EndpointLinks::Resetting => self.break_connections(vm, false),
                EndpointLinks::RefusingNew => {}
            }
            if was_up && links != EndpointLinks::Up {
                self.ledger.partitions.begin(now, vm);
            }
        }
    }

    /// Lets the sends and calls of a VM hang, or resets their connections.
    fn break_connections(&mut self, vm: usize, is_hanging: bool) {
        let mut keys: Vec<SendKey> = self.active_sends.keys().filter(|key| key.0 == vm).copied().collect();
        keys.sort_by_key(|(_, incarnation, send)| (*incarnation, send.0));
        for key in keys {
            if !is_hanging {
                self.fail_send(key, SendFailure::ConnectionLost);
            } else if let Some(active_send) = self.active_sends.get_mut(&key) {
                active_send.is_hung = true;
            }
        }
        let mut calls: Vec<_> =
            self.calls_by_tag.iter().filter(|(_, call)| call.0 == vm).map(|(tag, _)| *tag).collect();
        calls.sort();
        for tag in calls {
            let call_key = self.calls_by_tag.remove(&tag);
            if let Some((vm, _, call)) = call_key.filter(|_| !is_hanging) {
                let outcome = CallOutcome { results: Err(CallFailure::ConnectionLost), signals: None };
                self.deliver(vm, 1, Event::CallEnded(call, outcome));
            }
        }
    }

    /// Reports to a VM whether a connection to an endpoint opens.
    pub(super) fn probe_endpoint(&mut self, vm: usize, id: EndpointId) {
        let now = self.now;
        let down = self.endpoints.get(&id).filter(|endpoint| endpoint.is_down(now));
        let (is_down, is_unresponsive) = (down.is_some(), down.is_some_and(|endpoint| endpoint.is_unresponsive));
        let links = self.vms[vm].endpoint_links;
        let is_reached = links == EndpointLinks::Up && !is_down;
        let is_silent = links == EndpointLinks::Hanging || (links == EndpointLinks::Up && is_unresponsive);
        let after_ms = if is_silent { PROBE_TIMEOUT_MS } else { 2 * self.endpoint_delay_ms(vm, &id) };
        self.deliver(vm, after_ms, Event::EndpointProbed(id, is_reached));
    }

    /// What becomes of a send or call of a VM to an endpoint.
    pub(super) fn link_outcome(&mut self, vm: usize, id: &EndpointId) -> LinkOutcome {
        let links = self.vms[vm].endpoint_links;
        if links == EndpointLinks::Up {
            return LinkOutcome::Passes;
        }
        let round_trip_ms = 2 * self.endpoint_delay_ms(vm, id);
        let is_reused = self.rng.random::<f64>() < REUSED_CONNECTION_SHARE;
        match links {
            EndpointLinks::Hanging if is_reused => LinkOutcome::Hangs,
            EndpointLinks::Hanging => LinkOutcome::Fails { after_ms: CONNECT_TIMEOUT_MS },
            EndpointLinks::RefusingNew if is_reused => LinkOutcome::Passes,
            EndpointLinks::Resetting if is_reused && self.ledger.partitions.has_just_begun(self.now, vm) => {
                LinkOutcome::Resets
            }
            EndpointLinks::RefusingNew | EndpointLinks::Resetting => LinkOutcome::Fails { after_ms: round_trip_ms },
            EndpointLinks::Up => LinkOutcome::Passes,
        }
    }
}
