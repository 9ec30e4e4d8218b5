//! Helpers for the task that runs a state machine: pending replies to callers, and
//! messages sent to the task's channel later.

use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

/// Number of a request that waits for its reply.
pub type Ticket = u64;

/// Reply channels of requests that wait for an answer of type `A`.
#[derive(Debug)]
pub struct PendingReplies<A> {
    waiting: HashMap<Ticket, oneshot::Sender<A>>,
    last: Ticket,
}

impl<A> Default for PendingReplies<A> {
    fn default() -> Self {
        PendingReplies { waiting: HashMap::new(), last: 0 }
    }
}

impl<A> PendingReplies<A> {
    /// Registers the reply channel of a new request and returns its ticket.
    pub fn add(&mut self, tx: oneshot::Sender<A>) -> Ticket {
        self.last += 1;
        self.waiting.insert(self.last, tx);
        self.last
    }

    /// Sends the answer to the request with this ticket, if it still waits.
    pub fn answer(&mut self, ticket: Ticket, answer: A) {
        if let Some(tx) = self.waiting.remove(&ticket) {
            // The caller may have been cancelled; it can send the request again.
            let _cancelled = tx.send(answer);
        }
    }
}

/// Runs `work` in the background and sends its output to the channel, unless that is closed
/// by then.
pub fn send_result<M: Send + 'static>(
    tx: &mpsc::WeakUnboundedSender<M>,
    work: impl Future<Output = M> + Send + 'static,
) {
    let tx = tx.clone();
    tokio::spawn(async move {
        let message = work.await;
        if let Some(tx) = tx.upgrade() {
            // When the channel is closed, its task has ended.
            let _closed = tx.send(message);
        }
    });
}

/// Sends `message` to the channel after `millis` milliseconds.
pub fn send_after<M: Send + 'static>(tx: &mpsc::WeakUnboundedSender<M>, millis: u64, message: M) {
    send_result(tx, async move {
        tokio::time::sleep(Duration::from_millis(millis)).await;
        message
    });
}
