//! Heap, resident memory and processor time of this process.

use std::alloc::System;
use std::time::Duration;

use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Unit of the times in `/proc/self/stat` (`USER_HZ`).
const CLOCK_TICKS_PER_S: f64 = 100.0;
const KIB: u64 = 1_024;

/// Bytes that are allocated on the heap.
pub fn heap_bytes() -> u64 {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated) as u64
}

/// Resident memory in bytes.
pub(crate) fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)).and_then(|text| text.parse::<u64>().ok());
    kib.unwrap_or(0) * KIB
}

/// Processor time of the process, user and system.
pub(crate) fn processor_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<_> = after_name.split_whitespace().collect();
    // Indexes after the process name, from zero: utime is at 11 and stime at 12.
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    Duration::from_secs_f64((ticks(11) + ticks(12)) / CLOCK_TICKS_PER_S)
}
