//! Body of an answer to a client, which reports whether it was handed over in full.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use async_std::channel::Receiver;
use boragepass_path::{Event, RequestNumber};
use bytes::Bytes;
use futures::Stream;
use hyper::body::{Body, Frame, SizeHint};

use crate::driver::Driver;

/// Part of a streamed answer.
#[derive(Debug)]
pub(crate) enum Part {
    /// Bytes.
    Data(Bytes),
    /// The answer is whole.
    End,
}

/// The answer ended before it was whole; the connection closes without the end of the body.
#[derive(Debug, displaydoc::Display)]
pub(crate) struct BrokenOff;

impl std::error::Error for BrokenOff {}

/// Tells the request path how an answer ended.
pub(crate) struct EndGuard {
    driver: Rc<Driver>,
    request: RequestNumber,
    is_whole: bool,
    is_armed: bool,
}

impl EndGuard {
    pub(crate) fn new(driver: Rc<Driver>, request: RequestNumber) -> Self {
        Self { driver, request, is_whole: false, is_armed: true }
    }

    /// Hands the duty to report over to another guard.
    pub(crate) fn disarm(&mut self) {
        self.is_armed = false;
    }
}

impl Drop for EndGuard {
    fn drop(&mut self) {
        if self.is_armed {
            let event = if self.is_whole {
                Event::AnswerDelivered(self.request)
            } else {
                Event::ClientDisconnected(self.request)
            };
            self.driver.post(event);
        }
    }
}

enum Content {
    Whole(Option<Bytes>),
    Stream(Pin<Box<Receiver<Part>>>),
}

/// Body of an answer.
pub(crate) struct AnswerBody {
    content: Content,
    /// Whether what came before the break has had a chance to leave.
    has_flushed: bool,
    guard: Option<EndGuard>,
}

impl AnswerBody {
    /// Body that is known whole.
    pub(crate) fn whole(bytes: Bytes, mut guard: Option<EndGuard>) -> Self {
        if bytes.is_empty()
            && let Some(guard) = &mut guard
        {
            guard.is_whole = true;
        }
        Self { content: Content::Whole(Some(bytes).filter(|bytes| !bytes.is_empty())), has_flushed: false, guard }
    }

    /// Body that comes in parts; it is broken off if its sender is dropped before the end.
    pub(crate) fn stream(parts: Receiver<Part>, guard: EndGuard) -> Self {
        Self { content: Content::Stream(Box::pin(parts)), has_flushed: false, guard: Some(guard) }
    }

    fn note_whole(&mut self) {
        if let Some(guard) = &mut self.guard {
            guard.is_whole = true;
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        let part = match &mut self.content {
            Content::Whole(bytes) => {
                let bytes = bytes.take();
                self.note_whole();
                return Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))));
            }
            Content::Stream(parts) => futures::ready!(parts.as_mut().poll_next(context)),
        };
        Poll::Ready(match part {
            Some(Part::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Part::End) => {
                self.note_whole();
                None
            }
            // hyper drops what it has not written yet once the body fails.
            None if !self.has_flushed => {
                self.has_flushed = true;
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            None => Some(Err(BrokenOff)),
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
