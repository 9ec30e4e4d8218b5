//! Tasks that run the owners of budget shards and execute their commands.

use std::sync::{Arc, Weak};

use bankcove_core::holder::Draw;
use bankcove_core::owner::{Command, Event, Owner, RETRY_SOON_MS, Reply, Request};
use bankcove_core::shard::{Shard, shard_of_budget};
use bankcove_core::{Millis, Name, Tokens};
use bankcove_ports::{Kind, Versioned, WriteOutcome};
use tokio::sync::mpsc;

use crate::base::task_channel::{PendingReplies, send_after, send_result};
use crate::budget::budgets::Budgets;
use crate::budget::collect::collect_free_tokens;
use crate::budget::owner_tasks::{Message, OwnerDump};
use crate::budget::terms::draw_terms;
use crate::peer::OwnerAnswer;

/// A shard that exists whatever the number of shards is.
const FIRST_SHARD: u32 = 0;

/// Sends a request to the owner in this daemon, starting its task if necessary.
pub async fn ask_local_owner(budgets: &Arc<Budgets>, request: Request) -> OwnerAnswer {
    let shard = shard_of_request(budgets, &request);
    ensure_task(budgets, shard);
    let store_away = Reply::StoreAway { retry_after_ms: RETRY_SOON_MS };
    let store_away = OwnerAnswer { reply: store_away, sent: None };
    budgets.owner_tasks.send_request(shard, request).await.unwrap_or(store_away)
}

/// Returns the shard of the budget that a request concerns.
pub fn shard_of_request(budgets: &Budgets, request: &Request) -> u32 {
    shard_of_budget(request.budget(), budgets.fleet.base.cfg.limits.budget_shards)
}

/// Starts the task of a shard unless it is running.
fn ensure_task(budgets: &Arc<Budgets>, shard: u32) {
    let mut owners = budgets.owner_tasks.tasks.lock();
    owners.entry(shard).or_insert_with(|| {
        let (tx, rx) = mpsc::unbounded_channel();
        let task = OwnerTask {
            shard,
            budgets: Arc::downgrade(budgets),
            tx: tx.downgrade(),
            pending_replies: PendingReplies::default(),
            reported_version: None,
        };
        let limits = &budgets.fleet.base.cfg.limits;
        let address = budgets.fleet.base.cfg.peer_address();
        let mut machine =
            Owner::new(budgets.fleet.base.incarnation, address, limits.budget_write_ms);
        if limits.witnesses == 0 {
            // Without sealed grants each holder gives back its surplus by itself.
            machine = machine.without_collecting();
        }
        tokio::spawn(task.run(machine, rx));
        tx
    });
}

/// The task of one owned shard; it ends when its channel is closed.
struct OwnerTask {
    shard: u32,
    budgets: Weak<Budgets>,
    tx: mpsc::WeakUnboundedSender<Message>,
    pending_replies: PendingReplies<OwnerAnswer>,
    /// Version of the shard that was last reported to the holder.
    reported_version: Option<u64>,
}

impl OwnerTask {
    async fn run(mut self, mut machine: Owner, mut rx: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = rx.recv().await {
            let Some(budgets) = self.budgets.upgrade() else { return };
            let event = match message {
                Message::Event(event) => event,
                Message::Request(request, reply) => {
                    machine.enqueue(
                        budgets.fleet.base.clock.now(),
                        self.pending_replies.add(reply),
                        request,
                    );
                    if !rx.is_empty() {
                        // Requests that are already queued share the same write.
                        continue;
                    }
                    Event::Tick
                }
                Message::Dump(reply) => {
                    let dump =
                        OwnerDump { counts: machine.counts(), shard: machine.shard().cloned() };
                    // The requester may have been dropped.
                    let _gone = reply.send(dump);
                    continue;
                }
            };
            let commands = machine.handle(budgets.fleet.base.clock.now(), event);
            self.update_holder_outlook(&budgets, &machine);
            self.execute(&budgets, commands);
        }
    }

    /// Reports each new version of the shard to this daemon's holder.
    fn update_holder_outlook(&mut self, budgets: &Budgets, machine: &Owner) {
        let Some((version, shard)) = machine.versioned_shard() else { return };
        if budgets.fleet.base.cfg.limits.witnesses > 0 || self.reported_version == Some(version) {
            return;
        }
        self.reported_version = Some(version);
        update_holder_outlook(budgets, shard);
    }

    /// Executes the commands of the owner's state machine.
    fn execute(&mut self, budgets: &Arc<Budgets>, commands: Vec<Command>) {
        let mut wake_at: Option<Millis> = None;
        for command in commands {
            match command {
                Command::Load => {
                    send_result(&self.tx, event(load(Arc::clone(budgets), self.shard)))
                }
                Command::Write(version, shard) => {
                    send_result(
                        &self.tx,
                        event(write(Arc::clone(budgets), self.shard, version, shard)),
                    );
                }
                Command::Collect(budget, holders) => {
                    send_result(
                        &self.tx,
                        event(collect_free_tokens(Arc::clone(budgets), budget, holders)),
                    );
                }
                Command::Reply(ticket, reply) => {
                    self.pending_replies.answer(ticket, OwnerAnswer { reply, sent: None });
                }
                Command::Transfer { own_grant, ticket, draw, max, reply } => {
                    if let Some((granted, opened)) = own_grant {
                        let mut holder = budgets.holder();
                        holder.record_granted(&draw.budget, granted);
                        holder.record_opened(&draw.budget, opened);
                    }
                    let answer = transfer(budgets, &draw, max, reply);
                    self.pending_replies.answer(ticket, answer);
                }
                Command::WakeAt(at) => {
                    wake_at = Some(wake_at.map_or(at, |earlier| earlier.min(at)));
                }
            }
        }
        if let Some(at) = wake_at {
            let wait = at.saturating_sub(budgets.fleet.base.clock.now());
            send_after(&self.tx, wait, Message::Event(Event::Tick));
        }
    }
}

/// Updates the outlook of each budget in this daemon's holder from the shard. The holder's own last
/// draw may be seconds old, and other daemons have spent tokens since.
fn update_holder_outlook(budgets: &Budgets, shard: &Shard) {
    let now = budgets.fleet.base.clock.now();
    let table = budgets.table.load();
    let Some(table) = table.as_ref() else { return };
    for (budget, ledger) in &shard.budgets {
        let Some(row) = table.budget(budget) else { continue };
        if !budgets.holder().accounts().contains_key(budget) {
            continue;
        }
        let mut ledger = ledger.clone();
        // The next draw writes a changed row; until then no request is refused tokens that a
        // top-up has added.
        ledger.update_row(row.tokens, row.version);
        let terms = draw_terms(budgets, row);
        let outlook = ledger.outlook(budgets.fleet.base.incarnation, &terms);
        let mut holder = budgets.holder();
        holder.set_outlook(budget, outlook, now);
        holder.record_outlook_row(budget, row.tokens);
    }
}

/// Reads the shard of a budget to update the outlooks of the budgets in it.
pub async fn refresh_outlook(budgets: &Arc<Budgets>, budget: &Name) {
    let shard = shard_of_budget(budget, budgets.fleet.base.cfg.limits.budget_shards);
    if let Event::Loaded(_, shard) = load(Arc::clone(budgets), shard).await {
        update_holder_outlook(budgets, &shard);
    }
}

/// Returns the name of a shard's object in the store.
fn shard_name(shard: u32) -> String {
    format!("shard-{shard:02}")
}

/// Returns whether the store answers one read; false without a read while it is known to be
/// unavailable.
pub async fn is_store_reachable(budgets: &Arc<Budgets>) -> bool {
    !matches!(load(Arc::clone(budgets), FIRST_SHARD).await, Event::StoreUnavailable)
}

/// Reads a shard from the store.
async fn load(budgets: Arc<Budgets>, shard: u32) -> Event {
    if budgets.fleet.connectivity.is_store_unavailable(budgets.fleet.base.clock.now()) {
        return Event::StoreUnavailable;
    }
    match budgets.store.read::<Shard>(Kind::Budgets, &shard_name(shard)).await {
        Ok(Some(read)) => {
            budgets.fleet.connectivity.record_store_answer(budgets.fleet.base.clock.now());
            Event::Loaded(read.version, read.value)
        }
        Ok(None) => Event::Loaded(0, Shard::default()),
        Err(e) => {
            budgets.fleet.connectivity.record_store_failure(budgets.fleet.base.clock.now());
            slog::warn!(budgets.fleet.base.log, "failed to read budget shard"; "shard" => shard, "error" => %e);
            Event::StoreUnavailable
        }
    }
}

/// Writes a shard to the store if it is still at this version.
async fn write(budgets: Arc<Budgets>, shard: u32, version: u64, value: Shard) -> Event {
    if budgets.fleet.connectivity.is_store_unavailable(budgets.fleet.base.clock.now()) {
        return Event::StoreUnavailable;
    }
    let outcome = budgets.store.write(Kind::Budgets, &shard_name(shard), version, &value).await;
    match outcome {
        WriteOutcome::Written(version) => Event::Written(version),
        WriteOutcome::Conflict(now) => conflict(&budgets, shard, now),
        // The read that resolves it shows whether the store is available.
        WriteOutcome::Ambiguous => Event::Ambiguous,
        WriteOutcome::NotSent => {
            budgets.fleet.connectivity.record_store_failure(budgets.fleet.base.clock.now());
            Event::StoreUnavailable
        }
    }
}

/// Returns the event of a write conflict; a newer object returned with it saves a read.
fn conflict(budgets: &Budgets, shard: u32, now: Option<Versioned<serde_json::Value>>) -> Event {
    let Some(read) = now else { return Event::Conflict };
    match serde_json::from_value(read.value) {
        Ok(value) => Event::Superseded(read.version, value),
        Err(e) => {
            slog::error!(budgets.fleet.base.log, "failed to parse budget shard"; "shard" => shard, "error" => %e);
            Event::Conflict
        }
    }
}

/// Transfers up to `max` tokens to the drawing holder and returns the answer to it. Replies that
/// tokens are short if the holder cannot get what it needs.
fn transfer(budgets: &Arc<Budgets>, draw: &Draw, max: Tokens, reply: Reply) -> OwnerAnswer {
    let mut holder = budgets.holder();
    let is_own = draw.holder == budgets.fleet.base.incarnation;
    let is_available = if is_own {
        // Another owner may have collected the tokens in the meantime: with the reply
        // `Granted` this daemon would request them over and over.
        holder.free(&draw.budget) >= draw.need
    } else {
        holder.can_transfer(&draw.budget, draw.holder, draw.received, draw.need)
    };
    if !is_available {
        let retry_after_ms = RETRY_SOON_MS;
        return OwnerAnswer { reply: Reply::Short { retry_after_ms }, sent: None };
    }
    if is_own {
        return OwnerAnswer { reply, sent: None };
    }
    let cumulative = holder.transfer(&draw.budget, draw.holder, draw.received, max);
    OwnerAnswer { reply, sent: Some((budgets.fleet.base.incarnation, cumulative)) }
}

/// Wraps the outcome of `work` in a message to the task.
async fn event(work: impl Future<Output = Event>) -> Message {
    Message::Event(work.await)
}
