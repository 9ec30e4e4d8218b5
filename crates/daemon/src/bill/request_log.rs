//! Tasks that run the shards of the request log, and submission of claims and bills to them.

use std::sync::{Arc, Weak};
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::request_log::{Command, Entry, Event, Outcome, RequestLog, Segment};
use bankcove_ports::{Kind, WriteOutcome, segment_name};
use tokio::sync::{mpsc, oneshot};

use crate::base::task_channel::{PendingReplies, send_after, send_result};
use crate::bill::billing::Billing;
use crate::bill::log_tasks::{LogDump, Message};

/// Number of owners tried before this daemon appends an entry itself.
const MAX_OWNERS_TRIED: usize = 1;

/// Added to the shard number to form the rendezvous hashing key, so that budget shards and log
/// shards have different owners.
const OWNER_KEY: u64 = 0x6c6f_6700_0000_0000;

/// Appends an entry through the shard's owner, or in this daemon if the owner does not answer or
/// cannot reach the store. Submitting an entry twice is harmless: the log returns its outcome.
pub async fn submit(billing: &Arc<Billing>, entry: Entry) -> Outcome {
    let owners =
        billing.fleet.members.lock().owners(OWNER_KEY + u64::from(entry.shard()), MAX_OWNERS_TRIED);
    let timeout = Duration::from_millis(billing.fleet.base.cfg.limits.peer_timeout_ms);
    for owner in owners {
        let Some(owner) = owner else { break };
        let sent = entry.clone();
        let call = |client: crate::peer::PeerServiceClient, cx| async move {
            client.submit(cx, sent).await
        };
        match billing.fleet.base.peers.call(&owner.address, timeout, call).await {
            // The owner alone may be unable to reach the store.
            Some(Outcome::StoreAway) => {}
            Some(outcome) => return outcome,
            None => billing.fleet.members.lock().record_failure(&owner.name),
        }
    }
    submit_locally(billing, entry).await
}

/// Appends an entry in this daemon.
pub async fn submit_locally(billing: &Arc<Billing>, entry: Entry) -> Outcome {
    let (tx, rx) = oneshot::channel();
    let log = log_task(billing, entry.shard());
    if log.send(Message::Submitted(entry, tx)).is_err() {
        return Outcome::StoreAway;
    }
    rx.await.unwrap_or(Outcome::StoreAway)
}

/// Returns the channel to the task of a shard, starting the task if necessary.
fn log_task(billing: &Arc<Billing>, shard: u32) -> mpsc::UnboundedSender<Message> {
    let mut tasks = billing.log_tasks.tasks.lock();
    let log = tasks.entry(shard).or_insert_with(|| {
        let (tx, rx) = mpsc::unbounded_channel();
        let task = LogTask {
            shard,
            billing: Arc::downgrade(billing),
            tx: tx.downgrade(),
            pending_replies: PendingReplies::default(),
        };
        tokio::spawn(task.run(RequestLog::new(billing.fleet.base.cfg.limits.log_append_ms), rx));
        tx
    });
    log.clone()
}

/// The task of one log shard; it ends when its channel is closed.
struct LogTask {
    shard: u32,
    billing: Weak<Billing>,
    tx: mpsc::WeakUnboundedSender<Message>,
    pending_replies: PendingReplies<Outcome>,
}

impl LogTask {
    async fn run(mut self, mut machine: RequestLog, mut rx: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = rx.recv().await {
            let Some(billing) = self.billing.upgrade() else { return };
            let event = match message {
                Message::Event(event) => event,
                Message::Submitted(entry, reply) => {
                    Event::Submitted(self.pending_replies.add(reply), entry)
                }
                Message::Dump(reply) => {
                    let dump = LogDump {
                        remembered: machine.tracked_requests(),
                        waiting: machine.pending_entries(),
                        appends: machine.appends(),
                        reads: machine.reads(),
                    };
                    // The requester may have been dropped.
                    let _gone = reply.send(dump);
                    continue;
                }
            };
            let commands = machine.handle(billing.fleet.base.clock.unix_ms(), event);
            self.execute(&billing, commands);
        }
    }

    /// Executes the commands of the log's state machine.
    fn execute(&mut self, billing: &Arc<Billing>, commands: Vec<Command>) {
        let mut wake_at: Option<Millis> = None;
        for command in commands {
            match command {
                Command::FindNewest => {
                    send_result(&self.tx, event(find_newest(Arc::clone(billing), self.shard)))
                }
                Command::Read(number) => {
                    send_result(&self.tx, event(read(Arc::clone(billing), self.shard, number)))
                }
                Command::Append(number, segment) => {
                    send_result(
                        &self.tx,
                        event(append(Arc::clone(billing), self.shard, number, segment)),
                    );
                }
                Command::Answer(ticket, outcome) => self.pending_replies.answer(ticket, outcome),
                Command::WakeAt(at) => {
                    wake_at = Some(wake_at.map_or(at, |earlier| earlier.min(at)));
                }
            }
        }
        if let Some(at) = wake_at {
            let wait = at.saturating_sub(billing.fleet.base.clock.unix_ms());
            send_after(&self.tx, wait, Message::Event(Event::Tick));
        }
    }
}

/// Wraps the outcome of `work` in a message to the task.
async fn event(work: impl Future<Output = Event>) -> Message {
    Message::Event(work.await)
}

/// Finds the number of the newest segment in the store.
async fn find_newest(billing: Arc<Billing>, shard: u32) -> Event {
    match billing.store.greatest_name(Kind::RequestLog(shard)).await {
        Ok(name) => Event::NewestFound(name.and_then(|name| name.parse().ok())),
        Err(e) => read_failed(&billing, shard, &e),
    }
}

/// Reads a segment from the store.
async fn read(billing: Arc<Billing>, shard: u32, number: u64) -> Event {
    let name = segment_name(number);
    match billing.store.read::<Segment>(Kind::RequestLog(shard), &name).await {
        Ok(read) => Event::SegmentRead(number, read.map(|read| read.value)),
        Err(e) => read_failed(&billing, shard, &e),
    }
}

/// Creates a segment in the store if it is absent.
async fn append(billing: Arc<Billing>, shard: u32, number: u64, segment: Segment) -> Event {
    let name = segment_name(number);
    match billing.store.write(Kind::RequestLog(shard), &name, 0, &segment).await {
        WriteOutcome::Written(_) => Event::Appended,
        WriteOutcome::Conflict(_) => Event::Conflict,
        WriteOutcome::Ambiguous => Event::Ambiguous,
        WriteOutcome::NotSent => Event::StoreUnavailable,
    }
}

/// Logs a failed read and returns its event.
fn read_failed(billing: &Billing, shard: u32, e: &bankcove_ports::Error) -> Event {
    slog::warn!(billing.fleet.base.log, "failed to read request log shard"; "shard" => shard, "error" => %e);
    Event::StoreUnavailable
}
