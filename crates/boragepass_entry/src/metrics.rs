//! Prometheus metrics, derived from the records that are also logged.

use boragepass_path::{Record, RecordValue, ReplyHead};
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};

use crate::driver::ConfigurationSource;

/// Upper bounds of the latency buckets in seconds, from one exchange within a failure domain to the
/// longest deadline.
const BUCKETS_S: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

/// Metrics of this process.
pub(crate) struct Metrics {
    registry: Registry,
    records: IntCounterVec,
    refusals: IntCounterVec,
    latencies: HistogramVec,
    in_progress: IntGauge,
    cold_endpoints: IntGauge,
    dropped_lines: IntGauge,
    excess_bytes: IntGauge,
    rejections: IntCounterVec,
    evacuated_domains: IntGauge,
    kept_entries: IntGaugeVec,
    held_bytes: IntGauge,
    configuration_bytes: IntCounterVec,
    configuration_copies: IntCounterVec,
}

impl Metrics {
    /// Registers the metrics.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let records =
            IntCounterVec::new(Opts::new("boragepass_records_total", "decisions by what was decided"), &["what"])?;
        let refusals = IntCounterVec::new(
            Opts::new("boragepass_refusals_total", "answers of this VM by their reason"),
            &["reason"],
        )?;
        let latency_options =
            HistogramOpts::new("boragepass_time_seconds", "times by what ended").buckets(BUCKETS_S.to_vec());
        let latencies = HistogramVec::new(latency_options, &["what"])?;
        let in_progress = IntGauge::new("boragepass_requests_in_progress", "requests in progress")?;
        let cold_endpoints = IntGauge::new("boragepass_cold_endpoints", "endpoints that are cold after their start")?;
        let dropped_lines = IntGauge::new("boragepass_log_lines_dropped", "lines of the log that were dropped")?;
        let evacuated_domains =
            IntGauge::new("boragepass_evacuated_domains", "failure domains whose endpoints get no new work")?;
        let excess_bytes = IntGauge::new(
            "boragepass_connections_with_excess_bytes",
            "idle connections to endpoints that were closed since bytes arrived that belong to no request",
        )?;
        let rejections = IntCounterVec::new(
            Opts::new("boragepass_rejections_total", "replies that state that their request did not run"),
            &["named_request", "connection"],
        )?;
        let kept_entries = IntGaugeVec::new(
            Opts::new("boragepass_kept_entries", "entries that are kept for requests that have not ended"),
            &["kind"],
        )?;
        let held_bytes =
            IntGauge::new("boragepass_held_bytes", "memory that is held for clients and endpoints, out of its budget")?;
        let configuration_bytes = IntCounterVec::new(
            Opts::new(
                "boragepass_configuration_bytes_total",
                "bytes of configurations by where they came from or went to",
            ),
            &["link"],
        )?;
        let configuration_copies = IntCounterVec::new(
            Opts::new("boragepass_configuration_copies_total", "configurations by where they came from or went to"),
            &["link"],
        )?;
        let registry = Registry::new();
        registry.register(Box::new(records.clone()))?;
        registry.register(Box::new(refusals.clone()))?;
        registry.register(Box::new(latencies.clone()))?;
        registry.register(Box::new(in_progress.clone()))?;
        registry.register(Box::new(cold_endpoints.clone()))?;
        registry.register(Box::new(dropped_lines.clone()))?;
        registry.register(Box::new(evacuated_domains.clone()))?;
        registry.register(Box::new(excess_bytes.clone()))?;
        registry.register(Box::new(rejections.clone()))?;
        registry.register(Box::new(kept_entries.clone()))?;
        registry.register(Box::new(held_bytes.clone()))?;
        registry.register(Box::new(configuration_bytes.clone()))?;
        registry.register(Box::new(configuration_copies.clone()))?;
        Ok(Self {
            registry,
            records,
            refusals,
            latencies,
            in_progress,
            cold_endpoints,
            dropped_lines,
            excess_bytes,
            rejections,
            evacuated_domains,
            kept_entries,
            held_bytes,
            configuration_bytes,
            configuration_copies,
        })
    }

    /// Counts a record by its kind and its reason, and observes the times it states.
    pub(crate) fn observe(&self, record: &Record) {
        self.records.with_label_values(&[record.what]).inc();
        for (name, value) in &record.fields {
            match (*name, value) {
                ("took_ms" | "after_ms", RecordValue::Number(ms)) => {
                    self.latencies.with_label_values(&[record.what]).observe(*ms as f64 / 1e3);
                }
                ("reason", RecordValue::Text(reason)) => {
                    self.refusals.with_label_values(&[reason.as_ref()]).inc();
                }
                _ => {}
            }
        }
    }

    /// Counts a reply that states that its request did not run.
    pub(crate) fn observe_rejection(&self, head: &ReplyHead) {
        let connection = if head.earlier_exchanges == 0 { "new" } else { "reused" };
        self.rejections.with_label_values(&[head.named_request.to_string().as_str(), connection]).inc();
    }

    /// Counts a configuration that was received, newer or not.
    pub(crate) fn observe_configuration(&self, source: ConfigurationSource, bytes: usize) {
        self.count_configuration(&format!("from {source}"), bytes);
    }

    /// Counts a configuration that was sent to another VM; zero bytes stand for none.
    pub(crate) fn observe_shared_configuration(&self, bytes: usize) {
        if bytes > 0 {
            self.count_configuration("to other VM", bytes);
        }
    }

    fn count_configuration(&self, link: &str, bytes: usize) {
        self.configuration_copies.with_label_values(&[link]).inc();
        self.configuration_bytes.with_label_values(&[link]).inc_by(bytes as u64);
    }

    /// Sets the number of entries of some kind that are kept for requests.
    pub(crate) fn set_kept_entries(&self, kind: &str, entries: usize) {
        self.kept_entries.with_label_values(&[kind]).set(entries as i64);
    }

    /// Sets the bytes that are held for clients and endpoints.
    pub(crate) fn set_held_bytes(&self, bytes: usize) {
        self.held_bytes.set(bytes as i64);
    }

    /// Sets the number of evacuated failure domains.
    pub(crate) fn set_evacuated_domains(&self, domains: usize) {
        self.evacuated_domains.set(domains as i64);
    }

    /// Encodes all metrics as text.
    pub(crate) fn encode(
        &self,
        in_progress: usize,
        cold_endpoints: usize,
        dropped_lines: u64,
        excess_bytes: u64,
    ) -> Vec<u8> {
        self.excess_bytes.set(excess_bytes as i64);
        self.in_progress.set(in_progress as i64);
        self.cold_endpoints.set(cold_endpoints as i64);
        self.dropped_lines.set(dropped_lines as i64);
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            text = format!("# {error}\n").into_bytes();
        }
        text
    }
}
