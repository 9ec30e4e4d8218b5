//! What the task around a state machine needs: who waits for an answer, and
//! events that come later.

use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

/// Names a caller that waits.
pub type Ticket = u64;

/// Callers that wait for answers `A`.
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
    /// Names a new caller.
    pub fn add(&mut self, tx: oneshot::Sender<A>) -> Ticket {
        self.last += 1;
        self.waiting.insert(self.last, tx);
        self.last
    }

    /// Answers a caller.
    pub fn answer(&mut self, ticket: Ticket, answer: A) {
        if let Some(tx) = self.waiting.remove(&ticket) {
            // Whoever asked may have gone away, and can ask again.
            let _gone = tx.send(answer);
        }
    }
}

/// Sends what `work` ends in to the task, unless its channel is closed by then.
pub fn send_result<M: Send + 'static>(
    tx: &mpsc::WeakUnboundedSender<M>,
    work: impl Future<Output = M> + Send + 'static,
) {
    let tx = tx.clone();
    tokio::spawn(async move {
        let mail = work.await;
        if let Some(tx) = tx.upgrade() {
            // A closed channel has ended the task that would read this.
            let _closed = tx.send(mail);
        }
    });
}

/// Sends `mail` to the task after this time.
pub fn send_after<M: Send + 'static>(tx: &mpsc::WeakUnboundedSender<M>, millis: u64, mail: M) {
    send_result(tx, async move {
        tokio::time::sleep(Duration::from_millis(millis)).await;
        mail
    });
}
