//! Slots of an endpoint: work runs at once up to a number, the rest waits by priority.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use futures::channel::oneshot;

#[derive(Debug, Default)]
struct State {
    running: u32,
    next: u64,
    waiting: BTreeMap<(std::cmp::Reverse<u8>, u64), oneshot::Sender<()>>,
}

/// Slots of an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Slots {
    state: Arc<Mutex<State>>,
    max: u32,
}

/// Slot in use; free again when dropped.
pub(crate) struct Slot {
    slots: Slots,
}

impl Slots {
    /// `max` slots.
    pub(crate) fn new(max: u32) -> Self {
        Self { state: Arc::default(), max }
    }

    /// Work that runs and work that waits.
    pub(crate) fn load(&self) -> (u32, u32) {
        let state = self.state.lock().expect("no holder of this lock panics");
        (state.running, state.waiting.len() as u32)
    }

    /// Waits for a slot; more important work goes first.
    pub(crate) async fn take(&self, priority: u8) -> Slot {
        let receiver = {
            let mut state = self.state.lock().expect("no holder of this lock panics");
            if state.running < self.max {
                state.running += 1;
                return Slot { slots: self.clone() };
            }
            let (sender, receiver) = oneshot::channel();
            let number = state.next;
            state.next += 1;
            state.waiting.insert((std::cmp::Reverse(priority), number), sender);
            receiver
        };
        // A sender is dropped only together with its endpoint.
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
