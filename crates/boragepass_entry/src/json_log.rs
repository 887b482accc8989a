//! Structured log: one JSON line per record, written to standard output by a dedicated thread.
//!
//! Lines are buffered for some milliseconds, since each hand-over wakes the writer thread. Its queue
//! is bounded and drops chunks when it is full, so a slow reader of the output never blocks the
//! request path. A rate limit bounds the volume; a metric counts the dropped lines.

use std::cell::{Cell, RefCell};
use std::io::Write;
use std::time::Instant;

use boragepass_path::{Record, RecordValue};
use boragepass_server::unix_time;
use serde_json::{Map, Value};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};

/// Capacity of the writer thread's queue, in chunks of lines.
const QUEUE_CHUNKS: usize = 64;
/// Size at which the buffer drops further lines until the next flush.
const CHUNK_BYTES_MAX: usize = 256 * 1_024;

/// Log of this process, with a token bucket as its rate limit.
pub(crate) struct JsonLog {
    vm: String,
    buffer: RefCell<Vec<u8>>,
    writer: RefCell<NonBlocking>,
    _writer_guard: WorkerGuard,
    lines_per_s: f64,
    tokens: Cell<f64>,
    refilled_at: Cell<Instant>,
    dropped_lines: Cell<u64>,
}

impl JsonLog {
    /// Creates a log that writes to standard output.
    pub(crate) fn new(vm: String, lines_per_s: u32) -> Self {
        let (writer, writer_guard) =
            NonBlockingBuilder::default().lossy(true).buffered_lines_limit(QUEUE_CHUNKS).finish(std::io::stdout());
        Self {
            vm,
            buffer: RefCell::default(),
            writer: RefCell::new(writer),
            _writer_guard: writer_guard,
            lines_per_s: f64::from(lines_per_s),
            tokens: Cell::new(f64::from(lines_per_s)),
            refilled_at: Cell::new(Instant::now()),
            dropped_lines: Cell::new(0),
        }
    }

    /// Returns the number of drops so far: lines by the rate limit or a full buffer, chunks by a full queue.
    pub(crate) fn dropped_lines(&self) -> u64 {
        self.dropped_lines.get() + self.writer.borrow().error_counter().dropped_lines() as u64
    }

    fn try_take_token(&self) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at.replace(now)).as_secs_f64() * self.lines_per_s;
        let tokens = (self.tokens.get() + refill).min(self.lines_per_s);
        if tokens < 1.0 {
            self.tokens.set(tokens);
            self.dropped_lines.set(self.dropped_lines.get() + 1);
            return false;
        }
        self.tokens.set(tokens - 1.0);
        true
    }

    /// Adds a record to the buffer, unless the rate limit or the buffer's size drops it.
    pub(crate) fn write(&self, record: &Record) {
        if !self.try_take_token() {
            return;
        }
        let since_epoch = unix_time();
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
            let mut buffer = self.buffer.borrow_mut();
            if buffer.len() + text.len() > CHUNK_BYTES_MAX {
                self.dropped_lines.set(self.dropped_lines.get() + 1);
            } else {
                buffer.append(&mut text);
            }
        }
    }

    /// Passes the buffered lines to the writer thread.
    pub(crate) fn flush(&self) {
        let mut buffer = self.buffer.borrow_mut();
        if !buffer.is_empty() {
            // The lossy writer never fails; it counts the chunks it drops.
            let _written = self.writer.borrow_mut().write(&buffer);
            buffer.clear();
        }
    }
}
