//! Structured log: one JSON line for each record, written by a thread of its own.
//!
//! Lines are gathered for some milliseconds, since each hand-over wakes the writer. Its queue is
//! bounded and drops chunks when it is full, so a slow reader never holds the request path up. A rate limit bounds the volume; what was dropped is counted and stated.

use std::cell::{Cell, RefCell};
use std::io::Write;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use boragepass_path::{Record, RecordValue};
use serde_json::{Map, Value};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};

/// Chunks of lines that wait for the writer.
const QUEUE_CHUNKS: usize = 64;
/// Bytes of lines that are gathered into a chunk at most; further lines are dropped.
const CHUNK_BYTES_MAX: usize = 256 * 1_024;

/// Log of this process.
pub(crate) struct Journal {
    vm: String,
    gathered: RefCell<Vec<u8>>,
    writer: RefCell<NonBlocking>,
    _guard: WorkerGuard,
    lines_per_s: f64,
    allowance: Cell<f64>,
    filled_at: Cell<Instant>,
    dropped: Cell<u64>,
}

impl Journal {
    /// Log on standard output.
    pub(crate) fn new(vm: String, lines_per_s: u32) -> Self {
        let (writer, guard) =
            NonBlockingBuilder::default().lossy(true).buffered_lines_limit(QUEUE_CHUNKS).finish(std::io::stdout());
        Self {
            vm,
            gathered: RefCell::default(),
            writer: RefCell::new(writer),
            _guard: guard,
            lines_per_s: f64::from(lines_per_s),
            allowance: Cell::new(f64::from(lines_per_s)),
            filled_at: Cell::new(Instant::now()),
            dropped: Cell::new(0),
        }
    }

    /// Lines dropped so far, by the rate limit or a full queue.
    pub(crate) fn dropped(&self) -> u64 {
        self.dropped.get() + self.writer.borrow().error_counter().dropped_lines() as u64
    }

    fn may_write(&self) -> bool {
        let now = Instant::now();
        let gained = now.duration_since(self.filled_at.replace(now)).as_secs_f64() * self.lines_per_s;
        let allowance = (self.allowance.get() + gained).min(self.lines_per_s);
        if allowance < 1.0 {
            self.allowance.set(allowance);
            self.dropped.set(self.dropped.get() + 1);
            return false;
        }
        self.allowance.set(allowance - 1.0);
        true
    }

    /// Writes a record.
    pub(crate) fn write(&self, record: &Record) {
        if !self.may_write() {
            return;
        }
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut line = Map::new();
        line.insert("at_ms".to_owned(), Value::from(since_epoch.as_millis() as u64));
        line.insert("vm".to_owned(), Value::from(self.vm.as_str()));
        line.insert("what".to_owned(), Value::from(record.what));
        for (name, value) in &record.fields {
            let value = match value {
                RecordValue::Text(text) => Value::from(text.as_ref()),
                RecordValue::Number(number) => Value::from(*number),
            };
            line.insert((*name).to_owned(), value);
        }
        if let Ok(mut text) = serde_json::to_vec(&Value::Object(line)) {
            text.push(b'\n');
            let mut gathered = self.gathered.borrow_mut();
            if gathered.len() + text.len() > CHUNK_BYTES_MAX {
                self.dropped.set(self.dropped.get() + 1);
            } else {
                gathered.append(&mut text);
            }
        }
    }

    /// Hands the gathered lines to the writer.
    pub(crate) fn flush(&self) {
        let mut gathered = self.gathered.borrow_mut();
        if !gathered.is_empty() {
            // The lossy writer never fails; it counts the chunks that it drops.
            let _written = self.writer.borrow_mut().write(&gathered);
            gathered.clear();
        }
    }
}
