//! Kept connections of an HTTP client, which can be replaced together.

use std::fmt;
use std::sync::Arc;

use reqwest::Client;
use tokio::sync::watch;

/// A client with all the connections that it keeps.
#[derive(Debug, Clone)]
pub struct Generation {
    number: u64,
    /// The client.
    pub client: Client,
}

/// Connections of an HTTP client; clones share them.
#[derive(Clone)]
pub struct Connections {
    build: Arc<dyn Fn() -> Client + Send + Sync>,
    current: watch::Sender<Generation>,
}

impl fmt::Debug for Connections {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connections").field("current", &*self.current.borrow()).finish()
    }
}

impl Connections {
    /// Creates the connections of the clients that `build` creates.
    pub fn new(build: impl Fn() -> Client + Send + Sync + 'static) -> Self {
        let current = watch::Sender::new(Generation { number: 0, client: build() });
        Connections { build: Arc::new(build), current }
    }

    /// Returns the current connections.
    pub fn current(&self) -> Generation {
        self.current.borrow().clone()
    }

    /// Replaces the connections of this generation, unless they were replaced before. Calls that are
    /// in progress on them go on; no further call uses them. Returns whether they were replaced.
    pub fn replace(&self, used: &Generation) -> bool {
        self.current.send_if_modified(|current| {
            let is_current = current.number == used.number;
            if is_current {
                *current = Generation { number: used.number + 1, client: (self.build)() };
            }
            is_current
        })
    }
}
