//! Shell around the owners of budget shards: their tasks and the store.

use std::sync::{Arc, Weak};

use bankcove_core::holder::Draw;
use bankcove_core::owner::{Command, Event, Owner, RETRY_SOON_MS, Reply, Request};
use bankcove_core::shard::{Shard, shard_of_budget};
use bankcove_core::{Millis, Name, Tokens};
use bankcove_ports::{Kind, Versioned, WriteOutcome};
use tokio::sync::mpsc;

use crate::base::task_channel::{PendingReplies, send_after, send_result};
use crate::budget::budgets::Budgets;
use crate::budget::collect::gather;
use crate::budget::owner_tasks::{Mail, OwnerDump};
use crate::budget::terms::terms;
use crate::peer::OwnerAnswer;

/// The shard that there is in any number of them.
const FIRST_SHARD: u32 = 0;

/// Asks this daemon as the owner.
pub async fn ask_local_owner(budgets: &Arc<Budgets>, request: Request) -> OwnerAnswer {
    let shard = shard_of_request(budgets, &request);
    begin(budgets, shard);
    let away = Reply::StoreAway { retry_after_ms: RETRY_SOON_MS };
    let away = OwnerAnswer { reply: away, sent: None };
    budgets.owners.ask(shard, request).await.unwrap_or(away)
}

/// The shard that a request is about.
pub fn shard_of_request(budgets: &Budgets, request: &Request) -> u32 {
    shard_of_budget(request.budget(), budgets.fleet.base.cfg.limits.budget_shards)
}

/// Begins the task of a shard unless it runs.
fn begin(budgets: &Arc<Budgets>, shard: u32) {
    let mut owners = budgets.owners.tasks.lock();
    owners.entry(shard).or_insert_with(|| {
        let (tx, rx) = mpsc::unbounded_channel();
        let task = OwnerTask {
            shard,
            budgets: Arc::downgrade(budgets),
            tx: tx.downgrade(),
            tickets: PendingReplies::default(),
            told: None,
        };
        let limits = &budgets.fleet.base.cfg.limits;
        let address = budgets.fleet.base.cfg.peer_address();
        let mut machine =
            Owner::new(budgets.fleet.base.incarnation, address, limits.budget_write_ms);
        if limits.witnesses == 0 {
            // Without sealed grants each holder gives back by itself what it
            // does not need.
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
    tx: mpsc::WeakUnboundedSender<Mail>,
    tickets: PendingReplies<OwnerAnswer>,
    /// Version of the shard that the holder was told of last.
    told: Option<u64>,
}

impl OwnerTask {
    async fn run(mut self, mut machine: Owner, mut rx: mpsc::UnboundedReceiver<Mail>) {
        while let Some(mail) = rx.recv().await {
            let Some(budgets) = self.budgets.upgrade() else { return };
            let event = match mail {
                Mail::Event(event) => event,
                Mail::Asked(request, reply) => {
                    machine.enqueue(
                        budgets.fleet.base.clock.now(),
                        self.tickets.add(reply),
                        request,
                    );
                    if !rx.is_empty() {
                        // What waits already is served by the same write.
                        continue;
                    }
                    Event::Tick
                }
                Mail::Dump(reply) => {
                    let dump =
                        OwnerDump { counts: machine.counts(), shard: machine.shard().cloned() };
                    // Whoever asked may have gone away.
                    let _gone = reply.send(dump);
                    continue;
                }
            };
            let commands = machine.handle(budgets.fleet.base.clock.now(), event);
            self.tell_holder(&budgets, &machine);
            self.carry_out(&budgets, commands);
        }
    }

    /// Tells this daemon's holder what any read or write of the shard shows.
    fn tell_holder(&mut self, budgets: &Budgets, machine: &Owner) {
        let Some((version, shard)) = machine.versioned_shard() else { return };
        if budgets.fleet.base.cfg.limits.witnesses > 0 || self.told == Some(version) {
            return;
        }
        self.told = Some(version);
        tell_holder(budgets, shard);
    }

    fn carry_out(&mut self, budgets: &Arc<Budgets>, commands: Vec<Command>) {
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
                Command::Gather(budget, holders) => {
                    send_result(&self.tx, event(gather(Arc::clone(budgets), budget, holders)));
                }
                Command::Reply(ticket, reply) => {
                    self.tickets.answer(ticket, OwnerAnswer { reply, sent: None });
                }
                Command::Transfer { own_grant, ticket, draw, max, reply } => {
                    if let Some((granted, opened)) = own_grant {
                        let mut holder = budgets.holder();
                        holder.record_granted(&draw.budget, granted);
                        holder.record_opened(&draw.budget, opened);
                    }
                    let answer = give(budgets, &draw, max, reply);
                    self.tickets.answer(ticket, answer);
                }
                Command::WakeAt(at) => {
                    wake_at = Some(wake_at.map_or(at, |earlier| earlier.min(at)));
                }
            }
        }
        if let Some(at) = wake_at {
            let wait = at.saturating_sub(budgets.fleet.base.clock.now());
            send_after(&self.tx, wait, Mail::Event(Event::Tick));
        }
    }
}

/// Tells this daemon's holder what the shard shows of each budget: its own last draw may
/// be seconds old, in which others have spent.
fn tell_holder(budgets: &Budgets, shard: &Shard) {
    let now = budgets.fleet.base.clock.now();
    let table = budgets.table.load();
    let Some(table) = table.as_ref() else { return };
    for (budget, ledger) in &shard.budgets {
        let Some(row) = table.budget(budget) else { continue };
        if !budgets.holder().accounts().contains_key(budget) {
            continue;
        }
        let mut ledger = ledger.clone();
        // The next draw writes it; until then nobody is refused what was topped up.
        ledger.update_row(row.tokens, row.version);
        let terms = terms(budgets, row);
        let outlook = ledger.outlook(budgets.fleet.base.incarnation, &terms);
        budgets.holder().set_outlook(budget, outlook, now);
    }
}

/// Reads the shard of a budget, to know how much is left of it.
pub async fn look_at_store(budgets: &Arc<Budgets>, budget: &Name) {
    let shard = shard_of_budget(budget, budgets.fleet.base.cfg.limits.budget_shards);
    if let Event::Loaded(_, shard) = load(Arc::clone(budgets), shard).await {
        tell_holder(budgets, &shard);
    }
}

fn shard_name(shard: u32) -> String {
    format!("shard-{shard:02}")
}

/// Whether the store answers now: one read of it, unless it is known to be away.
pub async fn store_answers(budgets: &Arc<Budgets>) -> bool {
    !matches!(load(Arc::clone(budgets), FIRST_SHARD).await, Event::StoreUnavailable)
}

async fn load(budgets: Arc<Budgets>, shard: u32) -> Event {
    if budgets.fleet.contact.is_store_away(budgets.fleet.base.clock.now()) {
        return Event::StoreUnavailable;
    }
    match budgets.store.read::<Shard>(Kind::Budgets, &shard_name(shard)).await {
        Ok(Some(read)) => {
            budgets.fleet.contact.store_heard(budgets.fleet.base.clock.now());
            Event::Loaded(read.version, read.value)
        }
        Ok(None) => Event::Loaded(0, Shard::default()),
        Err(e) => {
            budgets.fleet.contact.store_failed(budgets.fleet.base.clock.now());
            slog::warn!(budgets.fleet.base.log, "budget shard not read"; "shard" => shard, "error" => %e);
            Event::StoreUnavailable
        }
    }
}

async fn write(budgets: Arc<Budgets>, shard: u32, version: u64, value: Shard) -> Event {
    if budgets.fleet.contact.is_store_away(budgets.fleet.base.clock.now()) {
        return Event::StoreUnavailable;
    }
    let outcome = budgets.store.write(Kind::Budgets, &shard_name(shard), version, &value).await;
    match outcome {
        WriteOutcome::Written(version) => Event::Written(version),
        WriteOutcome::Conflict(now) => conflict(&budgets, shard, now),
        // The read that settles it tells whether the store is away.
        WriteOutcome::Ambiguous => Event::Ambiguous,
        WriteOutcome::NotSent => {
            budgets.fleet.contact.store_failed(budgets.fleet.base.clock.now());
            Event::StoreUnavailable
        }
    }
}

/// The object that stands in the way spares reading it.
fn conflict(budgets: &Budgets, shard: u32, now: Option<Versioned<serde_json::Value>>) -> Event {
    let Some(read) = now else { return Event::Conflict };
    match serde_json::from_value(read.value) {
        Ok(value) => Event::Superseded(read.version, value),
        Err(e) => {
            slog::error!(budgets.fleet.base.log, "budget shard not understood"; "shard" => shard, "error" => %e);
            Event::Conflict
        }
    }
}

fn give(budgets: &Arc<Budgets>, draw: &Draw, most: Tokens, reply: Reply) -> OwnerAnswer {
    let mut holder = budgets.holder();
    let is_own = draw.holder == budgets.fleet.base.incarnation;
    let is_there = if is_own {
        // Another owner may have collected them meanwhile: told "granted", this daemon
        // would ask for them again and again.
        holder.free(&draw.budget) >= draw.need
    } else {
        holder.can_transfer(&draw.budget, draw.holder, draw.received, draw.need)
    };
    if !is_there {
        let retry_after_ms = RETRY_SOON_MS;
        return OwnerAnswer { reply: Reply::Short { retry_after_ms }, sent: None };
    }
    if is_own {
        return OwnerAnswer { reply, sent: None };
    }
    let cumulative = holder.transfer(&draw.budget, draw.holder, draw.received, most);
    OwnerAnswer { reply, sent: Some((budgets.fleet.base.incarnation, cumulative)) }
}

async fn event(work: impl Future<Output = Event>) -> Mail {
    Mail::Event(work.await)
}
