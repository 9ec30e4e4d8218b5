//! What every layer of a daemon stands on.

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

/// The settings, clocks, logger, metrics and connections to peers; copies share them.
#[derive(Debug, Clone)]
pub struct Base {
    /// The settings.
    pub cfg: Arc<Config>,
    /// This start of the daemon.
    pub incarnation: Incarnation,
    /// Its clocks.
    pub clock: Clock,
    /// Its logger.
    pub log: Logger,
    /// Its metrics.
    pub metrics: Metrics,
    /// Connections to peers.
    pub peers: Arc<PeerPool>,
    /// Cancelled when background tasks are to end.
    pub ended: CancellationToken,
}
