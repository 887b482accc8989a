//! Delivers the reducer's replies to the connections that wait for them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use async_std::channel::{Receiver, Sender, bounded, unbounded};
use boragepass_core::{AddressAnswer, OperatorReply};
use boragepass_types::{CallId, Outcome, Payload};

/// Reply to a call.
#[derive(Debug, Clone)]
pub(crate) enum CallReply {
    /// Tokens of a stream; more replies follow.
    Token(Payload),
    /// Outcome of a request.
    Outcome { outcome: Outcome, alternative_addresses: Vec<SocketAddr> },
    /// Reply to an address query.
    Addresses(AddressAnswer),
    /// Reply to an operator's command.
    Operator(Box<OperatorReply>),
}

/// Calls whose connections wait for replies.
#[derive(Debug, Clone, Default)]
pub(crate) struct PendingReplies {
    next_call: Arc<AtomicU64>,
    senders: Arc<Mutex<HashMap<CallId, Sender<CallReply>>>>,
}

impl PendingReplies {
    /// Registers a new call and returns the channel on which its replies arrive.
    pub(crate) fn register(&self, is_stream: bool) -> (CallId, Receiver<CallReply>) {
        let call = CallId(self.next_call.fetch_add(1, Ordering::Relaxed));
        // A stream is unbounded, because the reducer must never wait for a slow reader; the request's
        // deadline bounds it.
        let (sender, receiver) = if is_stream { unbounded() } else { bounded(1) };
        self.senders.lock().expect("no holder of this lock panics").insert(call, sender);
        (call, receiver)
    }

    /// Delivers a reply to the connection of a call. Any reply but a token is the call's last.
    pub(crate) fn deliver(&self, call: CallId, reply: CallReply) {
        let mut senders = self.senders.lock().expect("no holder of this lock panics");
        let is_last = !matches!(reply, CallReply::Token(_));
        let sender = if is_last { senders.remove(&call) } else { senders.get(&call).cloned() };
        drop(senders);
        if let Some(sender) = sender {
            // Fails only if the connection has closed.
            sender.try_send(reply).ok();
        }
    }

    /// Removes a call whose connection has closed.
    pub(crate) fn unregister(&self, call: CallId) {
        self.senders.lock().expect("no holder of this lock panics").remove(&call);
    }
}
