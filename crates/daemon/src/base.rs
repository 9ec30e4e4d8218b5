//! Settings, clocks, logging, metrics and sockets that all layers of a daemon use.

pub mod clock;
pub mod config;
pub mod logging;
pub mod metrics;
pub mod store_calls;
pub mod task_channel;
pub mod tcp;

use std::sync::Arc;

use bankcove_core::Incarnation;
use slog::Logger;
use tokio_util::sync::CancellationToken;

use crate::base::clock::Clock;
use crate::base::config::Config;
use crate::base::metrics::Metrics;
use crate::peer::PeerPool;

/// State shared by all layers; clones refer to the same settings, clocks, metrics and
/// connections.
#[derive(Debug, Clone)]
pub struct Base {
    pub cfg: Arc<Config>,
    /// Identifier of this incarnation of the daemon.
    pub incarnation: Incarnation,
    pub clock: Clock,
    pub log: Logger,
    pub metrics: Metrics,
    /// Connections to peers.
    pub peers: Arc<PeerPool>,
    /// Cancelled when background tasks must end.
    pub shutdown: CancellationToken,
}
