//! Memory that this VM holds for others: connections of clients and of relaying VMs, request bodies that arrive or wait,
//! replies of endpoints, and answers that clients have yet to read.
//!
//! All of it draws on one budget, a share of the machine's memory. When that is spent, connections whose clients let the VM
//! wait give way, the longest wait first: with a body or a head that is not complete, with an answer that is not read, or idle
//! between requests. If that does not free enough, what comes is refused.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use boragepass_types::Bytes as ByteCount;
use bytes::{Bytes, BytesMut};
use futures::future::AbortHandle;

/// Share of the machine's memory that may be held for others. The rest is for the program, what it knows, and the allocator.
const BUDGET_PERCENT: u64 = 30;
/// Size up to which content may use the whole budget, so that clients with large content do not lock out the others.
const SMALL_BYTES: usize = 64 * 1_024;
/// Share of the budget that larger content may use.
const LARGE_PERCENT: usize = 75;
/// Time for which a client may let the VM wait before its connection gives way to others.
const WAIT_MIN: Duration = Duration::from_millis(1_000);
/// Smallest buffer of content that grows.
const BUFFER_BYTES_MIN: usize = 1_024;

/// Memory that is held for others, and its limit. Clones share it.
#[derive(Debug, Clone)]
pub(crate) struct MemoryBudget {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    limit_bytes: usize,
    used_bytes: Arc<AtomicUsize>,
    /// Part of the bytes in use that connections hold which are being closed.
    closing_bytes: Cell<usize>,
    connections: RefCell<BTreeMap<u64, Weak<ConnectionHold>>>,
    last_connection: Cell<u64>,
    closed_connections: Cell<u64>,
    refusals: Cell<u64>,
}

/// Connection that can be closed when others need its memory.
#[derive(Debug)]
pub(crate) struct ConnectionHold {
    number: u64,
    budget: MemoryBudget,
    own_bytes: usize,
    /// Bytes of content that a close frees.
    content_bytes: Arc<AtomicUsize>,
    /// Since when the VM waits for the client to send.
    receiving_since: Cell<Option<Instant>>,
    /// Since when the VM waits for the client to read.
    sending_since: Rc<Cell<Option<Instant>>>,
    abort: AbortHandle,
    /// Bytes that its close frees; `None` while it stays open.
    closing_bytes: Cell<Option<usize>>,
}

/// Bytes of the budget that are in use until this is dropped. May be dropped on any thread.
#[derive(Debug)]
struct Charge {
    used_bytes: Arc<AtomicUsize>,
    /// Content of the connection that the bytes belong to.
    content_bytes: Arc<AtomicUsize>,
    bytes: usize,
}

/// the memory for what this VM holds for others is spent
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub(crate) struct BudgetSpent;

impl MemoryBudget {
    /// Creates a budget without a limit.
    pub(crate) fn unlimited() -> Self {
        Self::new(ByteCount(u64::MAX))
    }

    /// Creates the budget of a machine.
    pub(crate) fn new(machine_memory: ByteCount) -> Self {
        let limit_bytes = (machine_memory.0 / 100 * BUDGET_PERCENT) as usize;
        Self {
            shared: Rc::new(Shared {
                limit_bytes,
                used_bytes: Arc::default(),
                closing_bytes: Cell::new(0),
                connections: RefCell::default(),
                last_connection: Cell::new(0),
                closed_connections: Cell::new(0),
                refusals: Cell::new(0),
            }),
        }
    }

    /// Bytes in use.
    pub(crate) fn used_bytes(&self) -> usize {
        self.shared.used_bytes.load(Ordering::Relaxed)
    }

    /// Bytes that may be in use.
    pub(crate) fn limit_bytes(&self) -> usize {
        self.shared.limit_bytes
    }

    /// Connections that were closed since others needed their memory, and refusals for want of memory.
    pub(crate) fn shortages(&self) -> (u64, u64) {
        (self.shared.closed_connections.get(), self.shared.refusals.get())
    }

    /// Registers a connection with its own memory. `sending_since` is set while the client does not read what is sent to it, and
    /// `abort` closes the connection.
    pub(crate) fn hold_connection(
        &self,
        own_bytes: usize,
        sending_since: Rc<Cell<Option<Instant>>>,
        abort: AbortHandle,
    ) -> Result<Rc<ConnectionHold>, BudgetSpent> {
        self.take(own_bytes, 0, None)?;
        let number = self.shared.last_connection.get() + 1;
        self.shared.last_connection.set(number);
        let hold = Rc::new(ConnectionHold {
            number,
            budget: self.clone(),
            own_bytes,
            content_bytes: Arc::default(),
            receiving_since: Cell::new(Some(Instant::now())),
            sending_since,
            abort,
            closing_bytes: Cell::new(None),
        });
        self.shared.connections.borrow_mut().insert(number, Rc::downgrade(&hold));
        Ok(hold)
    }

    /// Takes bytes for content of which `held_bytes` are held already. Closes waiting connections other than `connection` if
    /// that is needed and enough.
    fn take(&self, bytes: usize, held_bytes: usize, connection: Option<u64>) -> Result<(), BudgetSpent> {
        let limit_bytes = match held_bytes + bytes > SMALL_BYTES {
            true => self.shared.limit_bytes / 100 * LARGE_PERCENT,
            false => self.shared.limit_bytes,
        };
        let used_bytes = self.used_bytes().saturating_sub(self.shared.closing_bytes.get());
        let needed_bytes = (used_bytes + bytes).saturating_sub(limit_bytes);
        if needed_bytes > 0 && !self.close_waiting_connections(needed_bytes, connection) {
            self.shared.refusals.set(self.shared.refusals.get() + 1);
            return Err(BudgetSpent);
        }
        self.shared.used_bytes.fetch_add(bytes, Ordering::Relaxed);
        Ok(())
    }

    /// Starts a buffer for content that belongs to no connection of a client, such as a reply.
    pub(crate) fn buffer(&self) -> ChargedBuffer {
        self.buffer_of(None)
    }

    fn buffer_of(&self, connection: Option<&ConnectionHold>) -> ChargedBuffer {
        let charge = Charge {
            used_bytes: self.shared.used_bytes.clone(),
            content_bytes: connection.map(|connection| connection.content_bytes.clone()).unwrap_or_default(),
            bytes: 0,
        };
        let connection = connection.map(|connection| connection.number);
        ChargedBuffer { bytes: BytesMut::new(), charge, budget: self.clone(), connection }
    }

    /// Closes connections that let this VM wait, the longest wait first, until their memory suffices.
    fn close_waiting_connections(&self, needed_bytes: usize, spared: Option<u64>) -> bool {
        let connections: Vec<_> = self.shared.connections.borrow().values().filter_map(Weak::upgrade).collect();
        let mut waiting: Vec<_> = connections
            .into_iter()
            .filter(|connection| Some(connection.number) != spared)
            .filter_map(|connection| Some((connection.waits_since()?, connection)))
            .filter(|(since, _)| since.elapsed() >= WAIT_MIN)
            .collect();
        waiting.sort_by_key(|(since, _)| *since);
        let mut freed_bytes = 0;
        for (_, connection) in &waiting {
            if freed_bytes >= needed_bytes {
                break;
            }
            freed_bytes += connection.close();
        }
        freed_bytes >= needed_bytes
    }
}

impl ConnectionHold {
    /// Starts a buffer for content of this connection.
    pub(crate) fn buffer(&self) -> ChargedBuffer {
        self.budget.buffer_of(Some(self))
    }

    /// Notes that the VM waits for the client to send, or no longer does.
    pub(crate) fn set_receiving(&self, is_receiving: bool) {
        self.receiving_since.set(is_receiving.then(Instant::now));
    }

    /// Since when the client lets this VM wait; `None` if it does not, or the connection is being closed.
    fn waits_since(&self) -> Option<Instant> {
        let since = self.receiving_since.get().or(self.sending_since.get());
        since.filter(|_| self.closing_bytes.get().is_none())
    }

    /// Closes the connection; returns the bytes that this frees. They count as free at once, though the connection's task ends a
    /// moment later.
    fn close(&self) -> usize {
        let bytes = self.own_bytes + self.content_bytes.load(Ordering::Relaxed);
        let shared = &self.budget.shared;
        self.closing_bytes.set(Some(bytes));
        shared.closing_bytes.set(shared.closing_bytes.get() + bytes);
        shared.closed_connections.set(shared.closed_connections.get() + 1);
        self.abort.abort();
        bytes
    }
}

impl Drop for ConnectionHold {
    fn drop(&mut self) {
        let shared = &self.budget.shared;
        shared.connections.borrow_mut().remove(&self.number);
        shared.used_bytes.fetch_sub(self.own_bytes, Ordering::Relaxed);
        shared.closing_bytes.set(shared.closing_bytes.get() - self.closing_bytes.get().unwrap_or_default());
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
        self.content_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Content that arrives in parts of any size. Its buffer is charged as it grows.
#[derive(Debug)]
pub(crate) struct ChargedBuffer {
    bytes: BytesMut,
    charge: Charge,
    budget: MemoryBudget,
    /// Connection of a client that it belongs to.
    connection: Option<u64>,
}

impl ChargedBuffer {
    /// Content so far.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Appends a part. The buffer doubles when it is full, up to `len_max`, so that small parts cost no memory of their own.
    pub(crate) fn extend(&mut self, part: &[u8], len_max: usize) -> Result<(), BudgetSpent> {
        let len = self.bytes.len() + part.len();
        if len > self.charge.bytes {
            let capacity = (2 * self.charge.bytes).max(BUFFER_BYTES_MIN).min(len_max).max(len);
            self.grow_charge(capacity - self.charge.bytes)?;
            self.bytes.reserve(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    fn grow_charge(&mut self, bytes: usize) -> Result<(), BudgetSpent> {
        self.budget.take(bytes, self.charge.bytes, self.connection)?;
        self.charge.bytes += bytes;
        self.charge.content_bytes.fetch_add(bytes, Ordering::Relaxed);
        Ok(())
    }

    /// Returns the content. It stays charged until all its copies are dropped.
    pub(crate) fn into_bytes(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(ChargedBytes { bytes: self.bytes, _charge: self.charge })
    }
}

struct ChargedBytes {
    bytes: BytesMut,
    _charge: Charge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
