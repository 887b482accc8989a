//! Execution slots of an endpoint: stages run in parallel up to a limit, further ones wait by priority.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use futures::channel::oneshot;

#[derive(Debug, Default)]
struct State {
    running: u32,
    next_number: u64,
    /// Waiting stages, the highest priority first, then in order of arrival.
    waiting: BTreeMap<(std::cmp::Reverse<u8>, u64), oneshot::Sender<()>>,
}

/// Execution slots of an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Slots {
    state: Arc<Mutex<State>>,
    max: u32,
}

/// Slot in use; dropping it passes the slot to the first waiting stage.
pub(crate) struct Slot {
    slots: Slots,
}

impl Slots {
    /// Creates `max` free slots.
    pub(crate) fn new(max: u32) -> Self {
        Self { state: Arc::default(), max }
    }

    /// Number of stages that run and of stages that wait.
    pub(crate) fn load(&self) -> (u32, u32) {
        let state = self.state.lock().expect("no holder of this lock panics");
        (state.running, state.waiting.len() as u32)
    }

    /// Waits for a slot; the highest priority goes first.
    pub(crate) async fn acquire(&self, priority: u8) -> Slot {
        let receiver = {
            let mut state = self.state.lock().expect("no holder of this lock panics");
            if state.running < self.max {
                state.running += 1;
                return Slot { slots: self.clone() };
            }
            let (sender, receiver) = oneshot::channel();
            let number = state.next_number;
            state.next_number += 1;
            state.waiting.insert((std::cmp::Reverse(priority), number), sender);
            receiver
        };
        // The sender is dropped only when the endpoint itself goes away.
        receiver.await.ok();
        Slot { slots: self.clone() }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.slots.state.lock().expect("no holder of this lock panics");
        while let Some((_, sender)) = state.waiting.pop_first() {
            if sender.send(()).is_ok() {
                return;
            }
        }
        state.running -= 1;
    }
}
