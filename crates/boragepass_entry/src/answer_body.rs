//! Body of an answer to a client. It reports to the request path whether it was handed to the
//! connection in full.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use async_std::channel::Receiver;
use boragepass_path::{Event, RequestNumber};
use bytes::Bytes;
use futures::Stream;
use hyper::body::{Body, Frame, SizeHint};

use crate::driver::Driver;
use crate::memory_budget::ConnectionHold;

/// Chunk of a streamed answer.
#[derive(Debug)]
pub(crate) enum BodyChunk {
    /// Bytes of one or more complete events.
    Data(Bytes),
    /// The answer is complete.
    End,
}

// hyper then closes the connection without the end of the body, so the client sees that it is incomplete.
/// answer aborted before it was complete
#[derive(Debug, displaydoc::Display)]
pub(crate) struct AnswerAborted;

impl std::error::Error for AnswerAborted {}

/// Reports to the request path how an answer ended, when it is dropped.
pub(crate) struct DeliveryGuard {
    driver: Rc<Driver>,
    request: RequestNumber,
    is_complete: bool,
    is_armed: bool,
}

impl DeliveryGuard {
    pub(crate) fn new(driver: Rc<Driver>, request: RequestNumber) -> Self {
        Self { driver, request, is_complete: false, is_armed: true }
    }

    /// Stops this guard from reporting, for use where another guard reports instead.
    pub(crate) fn disarm(&mut self) {
        self.is_armed = false;
    }
}

impl Drop for DeliveryGuard {
    fn drop(&mut self) {
        if self.is_armed {
            let event = if self.is_complete {
                Event::AnswerDelivered(self.request)
            } else {
                Event::ClientDisconnected(self.request)
            };
            self.driver.enqueue(event);
        }
    }
}

enum Content {
    Whole(Option<Bytes>),
    Stream(Pin<Box<Receiver<BodyChunk>>>),
}

/// Body of an answer.
pub(crate) struct AnswerBody {
    content: Content,
    /// Whether hyper had a turn to write the chunks before the abort.
    has_flushed: bool,
    guard: Option<DeliveryGuard>,
    connection: Option<Rc<ConnectionHold>>,
}

impl AnswerBody {
    /// Names the connection that it goes to, which waits for its client again once the answer was handed over.
    pub(crate) fn on_connection(mut self, connection: Rc<ConnectionHold>) -> Self {
        self.connection = Some(connection);
        self
    }

    /// Creates a body whose bytes are all known.
    pub(crate) fn whole(bytes: Bytes, mut guard: Option<DeliveryGuard>) -> Self {
        if bytes.is_empty()
            && let Some(guard) = &mut guard
        {
            guard.is_complete = true;
        }
        let content = Content::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()));
        Self { content, has_flushed: false, guard, connection: None }
    }

    /// Creates a body that arrives in chunks. It is aborted if the sender is dropped before
    /// [`BodyChunk::End`].
    pub(crate) fn stream(chunks: Receiver<BodyChunk>, guard: DeliveryGuard) -> Self {
        let content = Content::Stream(Box::pin(chunks));
        Self { content, has_flushed: false, guard: Some(guard), connection: None }
    }

    fn mark_complete(&mut self) {
        if let Some(guard) = &mut self.guard {
            guard.is_complete = true;
        }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.set_receiving(true);
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        let chunk = match &mut self.content {
            Content::Whole(bytes) => {
                let bytes = bytes.take();
                self.mark_complete();
                return Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))));
            }
            Content::Stream(chunks) => futures::ready!(chunks.as_mut().poll_next(context)),
        };
        Poll::Ready(match chunk {
            Some(BodyChunk::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(BodyChunk::End) => {
                self.mark_complete();
                None
            }
            // Once the body fails, hyper drops what it has not written yet, so it is first given a turn to write.
            None if !self.has_flushed => {
                self.has_flushed = true;
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            None => Some(Err(AnswerAborted)),
        })
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Content::Stream(_) => SizeHint::default(),
        }
    }
}
