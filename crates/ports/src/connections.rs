//! Kept connections of an HTTP client, which are replaced together.
//!
//! Kept connections can go silent for good while new ones work, usually all of them at the same time:
//! then a call that times out says something about the others. After it, connections from before are not
//! used again, and the calls that wait on them start over.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use reqwest::{Client, RequestBuilder, StatusCode};
use tokio::sync::{Semaphore, watch};

use crate::http::{HttpClient, SendError};

/// Maximum size of an answer to [`Connections::read`] or [`Connections::write`], in bytes: several pages
/// of 1 MB.
const MAX_ANSWER_BYTES: usize = 12 << 20;

/// Timeout of a call whose request has none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Size beyond which an answer counts as large, in bytes.
const LARGE_ANSWER_BYTES: usize = 256 << 10;

/// Memory and time that a chunk of an answer takes up beside its data, counted in bytes.
const CHUNK_OVERHEAD_BYTES: usize = 256;

/// Maximum number of large answers that are received at the same time.
const MAX_LARGE_ANSWERS: usize = 2;

/// A client with all the connections that it keeps.
#[derive(Debug, Clone)]
pub struct Generation {
    number: u64,
    /// Whether a call was answered, so that a call may use a kept connection.
    has_answered: Arc<AtomicBool>,
    /// The client.
    pub client: HttpClient,
}

/// Connections of an HTTP client; clones share them.
#[derive(Clone)]
pub struct Connections {
    connect_timeout: Duration,
    current: watch::Sender<Generation>,
    /// A permit for each large answer that may be received.
    large_answers: Arc<Semaphore>,
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
    /// The request was not sent.
    #[error(transparent)]
    NotSent(SendError),
    /// The connection broke, or what it received is no answer.
    #[error(transparent)]
    Unanswered(SendError),
    /// The connection broke within the answer.
    #[error(transparent)]
    Incomplete(reqwest::Error),
    /// No whole answer was received in time.
    #[error("no whole answer in time")]
    TimedOut,
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
    /// Creates a client without connections; one that takes longer to make than `connect_timeout` fails.
    pub fn new(connect_timeout: Duration) -> Self {
        let current = watch::Sender::new(Generation::new(0, connect_timeout));
        let large_answers = Arc::new(Semaphore::new(MAX_LARGE_ANSWERS));
        Connections { connect_timeout, current, large_answers }
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
                *current = Generation::new(used.number + 1, self.connect_timeout);
            }
            is_current
        });
    }

    /// Makes a call that changes nothing; its request has a timeout for the whole answer. It is made a second time if kept connections are silent.
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

    /// Makes a call once; its request has a timeout for the whole answer.
    ///
    /// # Errors
    /// [`CallError`] if no answer was received. Except for [`CallError::NotSent`] the call may have
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
            answer = self.receive(&used, build(used.client.requests())) => answer,
            _ = replaced.wait_for(is_replaced) => return Err(CallError::Silent),
        };
        match answer {
            Ok(answer) => {
                used.has_answered.store(true, Ordering::Relaxed);
                Ok(answer)
            }
            Err(CallError::TimedOut) if used.may_be_kept() => {
                self.replace(&used);
                Err(CallError::Silent)
            }
            Err(e) => Err(e),
        }
    }

    /// Sends a request and receives the whole answer, within the timeout of the request.
    async fn receive(&self, used: &Generation, req: RequestBuilder) -> Result<Answer, CallError> {
        let (client, req) = req.build_split();
        let req = req.map_err(|e| CallError::NotSent(SendError::Invalid(e)))?;
        let timeout = req.timeout().copied().unwrap_or(DEFAULT_TIMEOUT);
        let answer = self.receive_whole(used, RequestBuilder::from_parts(client, req));
        tokio::time::timeout(timeout, answer).await.unwrap_or(Err(CallError::TimedOut))
    }

    async fn receive_whole(
        &self,
        used: &Generation,
        req: RequestBuilder,
    ) -> Result<Answer, CallError> {
        let mut res = used.client.send(req).await.map_err(|e| match e {
            SendError::Unanswered(_) => CallError::Unanswered(e),
            SendError::Invalid(_) | SendError::NotConnected(_) => CallError::NotSent(e),
        })?;
        let mut large = None;
        let mut body = BytesMut::new();
        let mut size = 0;
        while let Some(chunk) = res.chunk().await.map_err(CallError::Incomplete)? {
            size += chunk.len() + CHUNK_OVERHEAD_BYTES;
            if size > MAX_ANSWER_BYTES {
                return Err(CallError::TooLarge);
            }
            if size > LARGE_ANSWER_BYTES && large.is_none() {
                // The semaphore is never closed.
                large = self.large_answers.acquire().await.ok();
            }
            body.extend_from_slice(&chunk);
        }
        Ok(Answer { status: res.status(), body })
    }
}

impl Generation {
    fn new(number: u64, connect_timeout: Duration) -> Self {
        let client = HttpClient::new(connect_timeout);
        Generation { number, has_answered: Arc::default(), client }
    }

    /// Returns whether a call may have used a kept connection rather than a new one.
    fn may_be_kept(&self) -> bool {
        self.has_answered.load(Ordering::Relaxed)
    }
}
