//! Whether a rejection belongs to the send that it arrived for.
//!
//! A faulty endpoint may send a reply once more where the next reply on a connection is due, or on any other connection
//! that it keeps open. A copy of a rejection, taken for the reply to a request that runs, would let that request run
//! again or be refused as not run.

use crate::event::{NamedRequest, ReplyHead};

/// Whether a reply proves that its request did not run. `has_earlier_sends` states whether the request may have been
/// sent to an endpoint before, by this VM or another one: then its name may be on a copy too.
pub(crate) fn proves_not_run(head: &ReplyHead, has_earlier_sends: bool) -> bool {
    let is_new_connection = head.earlier_exchanges == 0;
    head.states_not_run
        && match head.named_request {
            NamedRequest::Sent => is_new_connection || !has_earlier_sends,
            NamedRequest::None => is_new_connection,
            NamedRequest::Another => false,
        }
}
