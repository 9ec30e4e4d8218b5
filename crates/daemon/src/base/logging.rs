//! Logging as JSON lines on standard output.

use std::sync::Mutex;

use slog::{Drain, Logger, o};

use crate::base::config::Config;

/// Number of lines queued for a slow reader before further ones are dropped and counted.
const QUEUE_LINES: usize = 4_096;

/// Creates a logger that writes JSON lines to standard output.
pub fn json(cfg: &Config) -> Logger {
    let lines = slog_json::Json::default(std::io::stdout());
    let lines = Mutex::new(lines).map(slog::Fuse);
    let drain = slog_async::Async::new(lines).chan_size(QUEUE_LINES).build().fuse();
    let level = slog::LevelFilter::new(drain, slog::Level::Info).fuse();
    Logger::root(level, o!("host" => cfg.name.to_string(), "hall" => cfg.hall.to_string()))
}

/// Creates a logger that discards all messages.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
