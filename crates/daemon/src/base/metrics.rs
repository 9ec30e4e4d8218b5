//! Counters, current values and latency histograms, exposed as text on request and, if an address is
//! configured, also sent by UDP in the statsd protocol.

use std::net::UdpSocket;
use std::sync::Arc;

use cadence::{Counted, Gauged, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::error::{Error, Result};

/// Prefix of every metric.
const PREFIX: &str = "bankcove";

/// Buckets of the histograms: upper bounds from 1 ms to 32 s, each twice the one before.
const FIRST_BUCKET_MS: f64 = 1.0;
const BUCKETS: u16 = 16;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Event {
    event: String,
}

/// Metrics of this process; clones share the values.
#[derive(Debug, Clone)]
pub struct Metrics(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    registry: Registry,
    counters: Family<Event, Counter>,
    times: Family<Event, Histogram, fn() -> Histogram>,
    levels: Family<Event, Gauge>,
    statsd: Option<StatsdClient>,
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_MS, 2.0, BUCKETS))
}

impl Metrics {
    /// Creates metrics that are also sent to `address`, if one is given.
    ///
    /// # Errors
    /// [`Error::Setup`] when the UDP socket can't be opened.
    pub fn new(address: Option<&str>) -> Result<Self> {
        let mut registry = Registry::with_prefix(PREFIX);
        let counters = Family::<Event, Counter>::default();
        let times = Family::new_with_constructor(histogram as fn() -> Histogram);
        registry.register("events", "What has happened, by kind", counters.clone());
        registry.register("time_ms", "How long it took, in milliseconds", times.clone());
        let levels = Family::<Event, Gauge>::default();
        registry.register("levels", "Current amounts, by kind", levels.clone());
        let statsd = address.map(statsd_client).transpose()?;
        Ok(Metrics(Arc::new(Inner { registry, counters, times, levels, statsd })))
    }

    /// Counts one event.
    pub fn count(&self, name: &str) {
        self.0.counters.get_or_create(&Event { event: name.to_owned() }).inc();
        if let Some(statsd) = &self.0.statsd {
            // A failed metric must not disturb a request.
            let _unsent = statsd.count(name, 1);
        }
    }

    /// Counts `events` events.
    pub fn add(&self, name: &str, events: u64) {
        self.0.counters.get_or_create(&Event { event: name.to_owned() }).inc_by(events);
        if let Some(statsd) = &self.0.statsd {
            // As in `count`.
            let _unsent = statsd.count(name, events);
        }
    }

    /// Sets the current value of a quantity.
    pub fn set(&self, name: &str, value: u64) {
        let event = Event { event: name.to_owned() };
        self.0.levels.get_or_create(&event).set(i64::try_from(value).unwrap_or(i64::MAX));
        if let Some(statsd) = &self.0.statsd {
            // As in `count`.
            let _unsent = statsd.gauge(name, value);
        }
    }

    /// Records a duration in milliseconds.
    pub fn time(&self, name: &str, millis: u64) {
        let event = Event { event: name.to_owned() };
        self.0.times.get_or_create(&event).observe(millis as f64);
        if let Some(statsd) = &self.0.statsd {
            // As in `count`.
            let _unsent = statsd.time(name, millis);
        }
    }

    /// Returns the gauge of a current amount, which its owner keeps up to date. It is not sent by
    /// UDP: it may change with every event of every stream.
    pub fn level(&self, name: &str) -> Gauge {
        self.0.levels.get_or_create(&Event { event: name.to_owned() }).clone()
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.0.registry) {
            Ok(()) => text,
            Err(e) => format!("# the figures can't be written: {e}\n"),
        }
    }
}

/// Creates a client that sends metrics to `address` without blocking.
fn statsd_client(address: &str) -> Result<StatsdClient> {
    let socket = UdpSocket::bind("0.0.0.0:0").map_err(Error::Setup)?;
    socket.set_nonblocking(true).map_err(Error::Setup)?;
    let sink = UdpMetricSink::from(address, socket)
        .map_err(|e| Error::Setup(std::io::Error::other(e.to_string())))?;
    Ok(StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink)))
}
