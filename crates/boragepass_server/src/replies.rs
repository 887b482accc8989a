//! Connections that wait for the reducer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use async_std::channel::{Receiver, Sender, bounded, unbounded};
use boragepass_core::{AddressAnswer, OperatorReply};
use boragepass_types::{CallId, Outcome, Payload};

/// What a connection waits for.
#[derive(Debug, Clone)]
pub(crate) enum Answer {
    /// Tokens of a stream.
    Token(Payload),
    /// Final answer to a request.
    Outcome { outcome: Outcome, alternative_addresses: Vec<SocketAddr> },
    /// Addresses.
    Addresses(AddressAnswer),
    /// Answer to an operator.
    Operator(Box<OperatorReply>),
}

/// Waiting connections by call.
#[derive(Debug, Clone, Default)]
pub(crate) struct Replies {
    next: Arc<AtomicU64>,
    waiting: Arc<Mutex<HashMap<CallId, Sender<Answer>>>>,
}

impl Replies {
    /// New call with the channel on which its answers come.
    pub(crate) fn open(&self, is_stream: bool) -> (CallId, Receiver<Answer>) {
        let call = CallId(self.next.fetch_add(1, Ordering::Relaxed));
        // The reducer bounds a stream by its deadline; it must never wait for a slow reader.
        let (sender, receiver) = if is_stream { unbounded() } else { bounded(1) };
        self.waiting.lock().expect("no holder of this lock panics").insert(call, sender);
        (call, receiver)
    }

    /// Hands an answer to a connection.
    pub(crate) fn give(&self, call: CallId, answer: Answer) {
        let mut waiting = self.waiting.lock().expect("no holder of this lock panics");
        let is_last = !matches!(answer, Answer::Token(_));
        let sender = if is_last { waiting.remove(&call) } else { waiting.get(&call).cloned() };
        drop(waiting);
        if let Some(sender) = sender {
            // A connection that has closed needs no answer.
            sender.try_send(answer).ok();
        }
    }

    /// Forgets a connection that has closed.
    pub(crate) fn close(&self, call: CallId) {
        self.waiting.lock().expect("no holder of this lock panics").remove(&call);
    }
}
