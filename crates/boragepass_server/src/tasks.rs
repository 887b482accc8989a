//! Tasks that are aborted together when their daemon ends.

use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex};

use async_std::task;
use futures::future::{AbortHandle, Abortable};

#[derive(Debug, Default)]
struct TaskRegistry {
    next_id: u64,
    is_closed: bool,
    handles: HashMap<u64, AbortHandle>,
}

/// Spawns the tasks of a daemon and can abort all of them. Clones share the same tasks.
#[derive(Debug, Clone, Default)]
pub struct Tasks {
    registry: Arc<Mutex<TaskRegistry>>,
}

impl Tasks {
    /// Spawns a task. After [`Self::abort_all`] it is not run.
    pub fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        let (handle, registration) = AbortHandle::new_pair();
        let id = {
            let mut registry = self.registry.lock().expect("no holder of this lock panics");
            if registry.is_closed {
                handle.abort();
                return handle;
            }
            let id = registry.next_id;
            registry.next_id += 1;
            registry.handles.insert(id, handle.clone());
            id
        };
        let registry = self.registry.clone();
        task::spawn(async move {
            let _aborted = Abortable::new(future, registration).await;
            registry.lock().expect("no holder of this lock panics").handles.remove(&id);
        });
        handle
    }

    /// Aborts all tasks.
    pub fn abort_all(&self) {
        let mut registry = self.registry.lock().expect("no holder of this lock panics");
        registry.is_closed = true;
        for (_, handle) in registry.handles.drain() {
            handle.abort();
        }
    }
}
