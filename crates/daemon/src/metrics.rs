//! Metrics, sent by UDP in the statsd protocol.

use std::net::UdpSocket;
use std::sync::Arc;

use cadence::{Counted, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};

use crate::error::{Error, Result};

/// Prefix of every metric.
const PREFIX: &str = "bankcove";

/// Metrics of this process; copies share the sender.
#[derive(Debug, Clone)]
pub struct Metrics(Arc<StatsdClient>);

impl Metrics {
    /// Metrics that go to this address, or nowhere.
    ///
    /// # Errors
    /// [`Error::Setup`] when no socket can be had.
    pub fn new(address: Option<&str>) -> Result<Self> {
        let Some(address) = address else {
            return Ok(Metrics(Arc::new(StatsdClient::from_sink(PREFIX, NopMetricSink))));
        };
        let socket = UdpSocket::bind("0.0.0.0:0").map_err(Error::Setup)?;
        socket.set_nonblocking(true).map_err(Error::Setup)?;
        let sink = UdpMetricSink::from(address, socket)
            .map_err(|e| Error::Setup(std::io::Error::other(e.to_string())))?;
        let client = StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink));
        Ok(Metrics(Arc::new(client)))
    }

    /// Counts one event.
    pub fn count(&self, name: &str) {
        // A metric that can't be sent is no reason to disturb a request.
        let _unsent = self.0.count(name, 1);
    }

    /// Records a duration in milliseconds.
    pub fn time(&self, name: &str, millis: u64) {
        // As above.
        let _unsent = self.0.time(name, millis);
    }
}
