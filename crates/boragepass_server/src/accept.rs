//! Acceptance of connections, which goes on after a listener could not accept some.

use std::io;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::poll;

/// Delay after a failed accept. The system may be out of descriptors, which only ends if other tasks get to close some.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Change of whether a listener accepts connections.
#[derive(Debug)]
pub enum AcceptChange {
    /// It fails from now on.
    Failing(io::Error),
    /// It accepts again, after this many failures in a row.
    Recovered(u64),
}

impl AcceptChange {
    /// Writes the change to the daemon's log.
    pub(crate) fn log(self) {
        match self {
            Self::Failing(error) => log::warn!("connections are not accepted: {error}"),
            Self::Recovered(failures) => log::info!("connections are accepted again after {failures} failures"),
        }
    }
}

/// Listener that reports when it begins and ceases to fail.
#[derive(Debug)]
pub struct Acceptor<F> {
    listener: TcpListener,
    failures: Failures<F>,
}

/// Failures of a listener since it last did not fail.
#[derive(Debug)]
struct Failures<F> {
    count: u64,
    on_change: F,
}

impl<F: FnMut(AcceptChange)> Failures<F> {
    fn add(&mut self, error: io::Error) {
        if self.count == 0 {
            (self.on_change)(AcceptChange::Failing(error));
        }
        self.count += 1;
    }

    fn end(&mut self) {
        if self.count > 0 {
            (self.on_change)(AcceptChange::Recovered(std::mem::take(&mut self.count)));
        }
    }
}

impl<F: FnMut(AcceptChange)> Acceptor<F> {
    /// Accepts from a listener.
    pub fn new(listener: TcpListener, on_change: F) -> Self {
        Self { listener, failures: Failures { count: 0, on_change } }
    }

    /// Waits for the next connection, and pauses after each failure.
    pub async fn accept(&mut self) -> TcpStream {
        loop {
            let mut accepted = pin!(self.listener.accept());
            let result = match poll!(&mut accepted) {
                Poll::Ready(result) => result,
                Poll::Pending => {
                    // The system checks for a free descriptor before it looks for a connection, so there is one.
                    self.failures.end();
                    accepted.await
                }
            };
            match result {
                Ok((stream, _)) => {
                    self.failures.end();
                    return stream;
                }
                Err(error) => {
                    self.failures.add(error);
                    task::sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}
