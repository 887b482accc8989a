//! Tasks of one daemon, which end together with it.

use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex};

use async_std::task;
use futures::future::{AbortHandle, Abortable};

#[derive(Debug, Default)]
struct Inner {
    next: u64,
    is_closed: bool,
    handles: HashMap<u64, AbortHandle>,
}

/// Tasks of one daemon.
#[derive(Debug, Clone, Default)]
pub struct Tasks {
    inner: Arc<Mutex<Inner>>,
}

impl Tasks {
    /// Starts a task.
    pub fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        let (handle, registration) = AbortHandle::new_pair();
        let number = {
            let mut inner = self.inner.lock().expect("no holder of this lock panics");
            if inner.is_closed {
                handle.abort();
                return handle;
            }
            let number = inner.next;
            inner.next += 1;
            inner.handles.insert(number, handle.clone());
            number
        };
        let inner = self.inner.clone();
        task::spawn(async move {
            let _aborted = Abortable::new(future, registration).await;
            inner.lock().expect("no holder of this lock panics").handles.remove(&number);
        });
        handle
    }

    /// Ends all tasks at once.
    pub fn abort_all(&self) {
        let mut inner = self.inner.lock().expect("no holder of this lock panics");
        inner.is_closed = true;
        for (_, handle) in inner.handles.drain() {
            handle.abort();
        }
    }
}
