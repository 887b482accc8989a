//! Counters, which are sent as StatsD over UDP if the settings name an address.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};

use boragepass_core::Counter;
use cadence::{Counted, MetricError, QueuingMetricSink, StatsdClient, UdpMetricSink};

const METRIC_PREFIX: &str = "boragepass";

/// Counters of one daemon.
#[derive(Clone)]
pub(crate) struct Metrics {
    client: Option<Arc<StatsdClient>>,
    totals: Arc<Mutex<BTreeMap<Counter, u64>>>,
}

fn connect(address: SocketAddr) -> Result<StatsdClient, MetricError> {
    let socket = UdpSocket::bind(if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" })?;
    socket.set_nonblocking(true)?;
    let sink = QueuingMetricSink::from(UdpMetricSink::from(address, socket)?);
    Ok(StatsdClient::from_sink(METRIC_PREFIX, sink))
}

impl Metrics {
    /// Creates counters that are sent to `address`, if there is one.
    pub(crate) fn new(address: Option<SocketAddr>) -> Self {
        let client = address.and_then(|address| match connect(address) {
            Ok(client) => Some(Arc::new(client)),
            Err(error) => {
                log::warn!("counters are not sent to {address}: {error}");
                None
            }
        });
        Self { client, totals: Arc::default() }
    }

    /// Adds to a counter.
    pub(crate) fn add(&self, counter: Counter, by: u64) {
        *self.totals.lock().expect("no holder of this lock panics").entry(counter).or_default() += by;
        if let Some(client) = &self.client {
            // A lost update does not warrant a log line.
            client.count(&counter.to_string(), by as i64).ok();
        }
    }

    /// Total of a counter since the start.
    pub(crate) fn total(&self, counter: Counter) -> u64 {
        self.totals.lock().expect("no holder of this lock panics").get(&counter).copied().unwrap_or(0)
    }
}
