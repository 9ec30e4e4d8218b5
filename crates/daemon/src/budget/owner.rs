//! Shell around the owners of budget shards: their tasks and the store.

use std::collections::HashMap;
use std::sync::{Arc, Weak};

use bankcove_core::holder::Draw;
use bankcove_core::owner::{Command, Event, Owner, OwnerCounts, RETRY_SOON_MS, Reply, Request};
use bankcove_core::shard::{Shard, shard_of_budget};
use bankcove_core::{Millis, Name, Tokens};
use bankcove_ports::{Kind, Versioned, WriteOutcome};
use parking_lot::Mutex;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use crate::budget::budgets::terms;
use crate::budget::collect::gather;
use crate::daemon::Daemon;
use crate::mailbox::{Tickets, after, later};
use crate::peer::OwnerAnswer;

enum Mail {
    Asked(Request, oneshot::Sender<OwnerAnswer>),
    Event(Event),
    Dump(oneshot::Sender<OwnerDump>),
}

/// What an owner tells of itself.
#[derive(Debug, Clone, Serialize)]
pub struct OwnerDump {
    /// Its figures.
    pub counts: OwnerCounts,
    /// The shard as last read or written.
    pub shard: Option<Shard>,
}

/// The shard that there is in any number of them.
const FIRST_SHARD: u32 = 0;

/// The shards that this daemon owns, or has acted as the owner of.
#[derive(Debug, Default)]
pub struct Owners {
    tasks: Mutex<HashMap<u32, mpsc::UnboundedSender<Mail>>>,
}

impl Owners {
    /// What the owners in this daemon tell of themselves, by shard.
    pub async fn dump(&self) -> HashMap<u32, OwnerDump> {
        let owners: Vec<_> = self.tasks.lock().iter().map(|(n, tx)| (*n, tx.clone())).collect();
        let mut dumps = HashMap::new();
        for (shard, owner) in owners {
            let (tx, rx) = oneshot::channel();
            if owner.send(Mail::Dump(tx)).is_ok()
                && let Ok(dump) = rx.await
            {
                dumps.insert(shard, dump);
            }
        }
        dumps
    }
}

/// Asks this daemon as the owner.
pub async fn ask_local_owner(daemon: &Arc<Daemon>, request: Request) -> OwnerAnswer {
    let shard = shard_of_request(daemon, &request);
    let (tx, rx) = oneshot::channel();
    let owner = local_owner(daemon, shard);
    let away = Reply::StoreAway { retry_after_ms: RETRY_SOON_MS };
    let away = OwnerAnswer { reply: away, sent: None };
    if owner.send(Mail::Asked(request, tx)).is_err() {
        return away;
    }
    rx.await.unwrap_or(away)
}

/// The shard that a request is about.
pub fn shard_of_request(daemon: &Daemon, request: &Request) -> u32 {
    shard_of_budget(request.budget(), daemon.cfg.limits.budget_shards)
}

fn local_owner(daemon: &Arc<Daemon>, shard: u32) -> mpsc::UnboundedSender<Mail> {
    let mut owners = daemon.budgets.owners.tasks.lock();
    let owner = owners.entry(shard).or_insert_with(|| {
        let (tx, rx) = mpsc::unbounded_channel();
        let task = OwnerTask {
            shard,
            daemon: Arc::downgrade(daemon),
            tx: tx.downgrade(),
            tickets: Tickets::default(),
            told: None,
        };
        let limits = &daemon.cfg.limits;
        let address = daemon.cfg.peer_address();
        let mut machine = Owner::new(daemon.incarnation, address, limits.budget_write_ms);
        if limits.witnesses == 0 {
            // Without sealed grants each holder gives back by itself what it
            // does not need.
            machine = machine.without_collecting();
        }
        tokio::spawn(task.run(machine, rx));
        tx
    });
    owner.clone()
}

/// The task of one owned shard; it ends when its channel is closed.
struct OwnerTask {
    shard: u32,
    daemon: Weak<Daemon>,
    tx: mpsc::WeakUnboundedSender<Mail>,
    tickets: Tickets<OwnerAnswer>,
    /// Version of the shard that the holder was told of last.
    told: Option<u64>,
}

impl OwnerTask {
    async fn run(mut self, mut machine: Owner, mut rx: mpsc::UnboundedReceiver<Mail>) {
        while let Some(mail) = rx.recv().await {
            let Some(daemon) = self.daemon.upgrade() else { return };
            let event = match mail {
                Mail::Event(event) => event,
                Mail::Asked(request, reply) => {
                    machine.ask(daemon.clock.now(), self.tickets.add(reply), request);
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
            let commands = machine.handle(daemon.clock.now(), event);
            self.tell_holder(&daemon, &machine);
            self.carry_out(&daemon, commands);
        }
    }

    /// Tells this daemon's holder what any read or write of the shard shows.
    fn tell_holder(&mut self, daemon: &Daemon, machine: &Owner) {
        let Some((version, shard)) = machine.stored() else { return };
        if daemon.cfg.limits.witnesses > 0 || self.told == Some(version) {
            return;
        }
        self.told = Some(version);
        tell_holder(daemon, shard);
    }

    fn carry_out(&mut self, daemon: &Arc<Daemon>, commands: Vec<Command>) {
        let mut wake_at: Option<Millis> = None;
        for command in commands {
            match command {
                Command::Load => later(&self.tx, event(load(Arc::clone(daemon), self.shard))),
                Command::Write(version, shard) => {
                    later(&self.tx, event(write(Arc::clone(daemon), self.shard, version, shard)));
                }
                Command::Gather(budget, holders) => {
                    later(&self.tx, event(gather(Arc::clone(daemon), budget, holders)));
                }
                Command::Reply(ticket, reply) => {
                    self.tickets.answer(ticket, OwnerAnswer { reply, sent: None });
                }
                Command::Give { own, ticket, draw, most, reply } => {
                    if let Some((granted, opened)) = own {
                        let mut holder = daemon.budgets.holder();
                        holder.granted(&draw.budget, granted);
                        holder.opened(&draw.budget, opened);
                    }
                    let answer = give(daemon, &draw, most, reply);
                    self.tickets.answer(ticket, answer);
                }
                Command::WakeAt(at) => {
                    wake_at = Some(wake_at.map_or(at, |earlier| earlier.min(at)));
                }
            }
        }
        if let Some(at) = wake_at {
            let wait = at.saturating_sub(daemon.clock.now());
            after(&self.tx, wait, Mail::Event(Event::Tick));
        }
    }
}

/// Tells this daemon's holder what the shard shows of each budget: its own last draw may
/// be seconds old, in which others have spent.
fn tell_holder(daemon: &Daemon, shard: &Shard) {
    let now = daemon.clock.now();
    let table = daemon.table.load();
    let Some(table) = table.as_ref() else { return };
    for (budget, ledger) in &shard.budgets {
        let Some(row) = table.budget(budget) else { continue };
        if !daemon.budgets.holder().accounts().contains_key(budget) {
            continue;
        }
        let mut ledger = ledger.clone();
        // The next draw writes it; until then nobody is refused what was topped up.
        ledger.adopt_row(row.tokens, row.version);
        let terms = terms(daemon, row);
        let outlook = ledger.outlook(daemon.incarnation, &terms);
        daemon.budgets.holder().known(budget, outlook, now);
    }
}

/// Reads the shard of a budget, to know how much is left of it.
pub async fn look_at_store(daemon: &Arc<Daemon>, budget: &Name) {
    let shard = shard_of_budget(budget, daemon.cfg.limits.budget_shards);
    if let Event::Loaded(_, shard) = load(Arc::clone(daemon), shard).await {
        tell_holder(daemon, &shard);
    }
}

fn shard_name(shard: u32) -> String {
    format!("shard-{shard:02}")
}

/// Whether the store answers now: one read of it, unless it is known to be away.
pub async fn store_answers(daemon: &Arc<Daemon>) -> bool {
    !matches!(load(Arc::clone(daemon), FIRST_SHARD).await, Event::StoreAway)
}

async fn load(daemon: Arc<Daemon>, shard: u32) -> Event {
    if daemon.contact.is_store_away(daemon.clock.now()) {
        return Event::StoreAway;
    }
    match daemon.store.read::<Shard>(Kind::Budgets, &shard_name(shard)).await {
        Ok(Some(read)) => {
            daemon.contact.store_heard(daemon.clock.now());
            Event::Loaded(read.version, read.value)
        }
        Ok(None) => Event::Loaded(0, Shard::default()),
        Err(e) => {
            daemon.contact.store_failed(daemon.clock.now());
            slog::warn!(daemon.log, "budget shard not read"; "shard" => shard, "error" => %e);
            Event::StoreAway
        }
    }
}

async fn write(daemon: Arc<Daemon>, shard: u32, version: u64, value: Shard) -> Event {
    if daemon.contact.is_store_away(daemon.clock.now()) {
        return Event::StoreAway;
    }
    let outcome = daemon.store.write(Kind::Budgets, &shard_name(shard), version, &value).await;
    match outcome {
        WriteOutcome::Written(version) => Event::Written(version),
        WriteOutcome::Conflict(now) => conflict(&daemon, shard, now),
        // The read that settles it tells whether the store is away.
        WriteOutcome::Ambiguous => Event::Ambiguous,
        WriteOutcome::NotSent => {
            daemon.contact.store_failed(daemon.clock.now());
            Event::StoreAway
        }
    }
}

/// The object that stands in the way spares reading it.
fn conflict(daemon: &Daemon, shard: u32, now: Option<Versioned<serde_json::Value>>) -> Event {
    let Some(read) = now else { return Event::Conflict };
    match serde_json::from_value(read.value) {
        Ok(value) => Event::Superseded(read.version, value),
        Err(e) => {
            slog::error!(daemon.log, "budget shard not understood"; "shard" => shard, "error" => %e);
            Event::Conflict
        }
    }
}

fn give(daemon: &Arc<Daemon>, draw: &Draw, most: Tokens, reply: Reply) -> OwnerAnswer {
    let mut holder = daemon.budgets.holder();
    let is_own = draw.holder == daemon.incarnation;
    let is_there = if is_own {
        // Another owner may have collected them meanwhile: told "granted", this daemon
        // would ask for them again and again.
        holder.free(&draw.budget) >= draw.need
    } else {
        holder.can_give(&draw.budget, draw.holder, draw.received, draw.need)
    };
    if !is_there {
        let retry_after_ms = RETRY_SOON_MS;
        return OwnerAnswer { reply: Reply::Short { retry_after_ms }, sent: None };
    }
    if is_own {
        return OwnerAnswer { reply, sent: None };
    }
    let cumulative = holder.give(&draw.budget, draw.holder, draw.received, most);
    OwnerAnswer { reply, sent: Some((daemon.incarnation, cumulative)) }
}

async fn event(work: impl Future<Output = Event>) -> Mail {
    Mail::Event(work.await)
}
