//! Kept connections of an HTTP client, which are replaced together.
//!
//! Kept connections can go silent for good while new ones work, usually all of them at the same time:
//! then a call that times out says something about the others. After it, connections from before are not
//! used again, and the calls that wait on them start over.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::BytesMut;
use reqwest::{Client, RequestBuilder, StatusCode};
use tokio::sync::watch;

/// Maximum size of an answer to [`Connections::read`] or [`Connections::write`], in bytes: several pages
/// of 1 MB.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A client with all the connections that it keeps.
#[derive(Debug, Clone)]
pub struct Generation {
    number: u64,
    /// Whether a call was answered, so that a call may use a kept connection.
    has_answered: Arc<AtomicBool>,
    /// The client.
    pub client: Client,
}

/// Connections of an HTTP client; clones share them.
#[derive(Clone)]
pub struct Connections {
    build: Arc<dyn Fn() -> Client + Send + Sync>,
    current: watch::Sender<Generation>,
}

/// Answer to a call.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: BytesMut,
}

/// Error of a call without an answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection was made, so nothing was sent.
    #[error(transparent)]
    NotConnected(reqwest::Error),
    /// The connection broke, or no answer was received in time.
    #[error(transparent)]
    Unanswered(reqwest::Error),
    /// Kept connections are silent: this one, or another one that was made as early.
    #[error("the kept connections are silent")]
    Silent,
    /// The answer is larger than any that is expected.
    #[error("the answer is too large")]
    TooLarge,
}

/// Which try of a call is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Try {
    /// The first one.
    First,
    /// The second one, over new connections.
    Repeated,
}

impl fmt::Debug for Connections {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connections").field("current", &*self.current.borrow()).finish()
    }
}

impl Connections {
    /// Creates the connections of the clients that `build` creates.
    pub fn new(build: impl Fn() -> Client + Send + Sync + 'static) -> Self {
        let current = watch::Sender::new(Generation::new(0, build()));
        Connections { build: Arc::new(build), current }
    }

    /// Returns the current connections.
    pub fn current(&self) -> Generation {
        self.current.borrow().clone()
    }

    /// Replaces the connections of this generation, unless they were replaced before. Reads and writes
    /// that wait on them end as [`CallError::Silent`]; no further call uses them.
    pub fn replace(&self, used: &Generation) {
        self.current.send_if_modified(|current| {
            let is_current = current.number == used.number;
            if is_current {
                *current = Generation::new(used.number + 1, (self.build)());
            }
            is_current
        });
    }

    /// Makes a call that changes nothing. It is made a second time if kept connections are silent.
    ///
    /// # Errors
    /// [`CallError`] if no answer was received.
    pub async fn read(
        &self,
        build: impl Fn(&Client, Try) -> RequestBuilder,
    ) -> Result<Answer, CallError> {
        match self.exchange(|client| build(client, Try::First)).await {
            Err(CallError::Silent) => self.exchange(|client| build(client, Try::Repeated)).await,
            answer => answer,
        }
    }

    /// Makes a call once.
    ///
    /// # Errors
    /// [`CallError`] if no answer was received. Except for [`CallError::NotConnected`] the call may have
    /// been carried out.
    pub async fn write(
        &self,
        build: impl FnOnce(&Client) -> RequestBuilder,
    ) -> Result<Answer, CallError> {
        self.exchange(build).await
    }

    async fn exchange(
        &self,
        build: impl FnOnce(&Client) -> RequestBuilder,
    ) -> Result<Answer, CallError> {
        let mut replaced = self.current.subscribe();
        let used = self.current();
        let is_replaced = |current: &Generation| current.number != used.number;
        let answer = tokio::select! {
            answer = receive(build(&used.client)) => answer,
            _ = replaced.wait_for(is_replaced) => return Err(CallError::Silent),
        };
        match answer {
            Ok(answer) => {
                used.has_answered.store(true, Ordering::Relaxed);
                Ok(answer)
            }
            Err(CallError::Unanswered(e)) if e.is_timeout() && used.may_be_kept() => {
                self.replace(&used);
                Err(CallError::Silent)
            }
            Err(e) => Err(e),
        }
    }
}

impl Generation {
    fn new(number: u64, client: Client) -> Self {
        Generation { number, has_answered: Arc::default(), client }
    }

    /// Returns whether a call may have used a kept connection rather than a new one.
    fn may_be_kept(&self) -> bool {
        self.has_answered.load(Ordering::Relaxed)
    }
}

/// Sends a request and receives the whole answer.
async fn receive(req: RequestBuilder) -> Result<Answer, CallError> {
    let mut res = req.send().await.map_err(|e| {
        if e.is_connect() { CallError::NotConnected(e) } else { CallError::Unanswered(e) }
    })?;
    let mut body = BytesMut::new();
    while let Some(chunk) = res.chunk().await.map_err(CallError::Unanswered)? {
        if body.len() + chunk.len() > MAX_ANSWER_BYTES {
            return Err(CallError::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(Answer { status: res.status(), body })
}
