//! Shell around budgets: this daemon's holder, and the shards it owns.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Weak};
use std::time::Duration;

use bankcove_core::holder::{Holder, Reservation, Shortfall, Terms};
use bankcove_core::owner::{Command, Event, Owner, OwnerCounts, RETRY_SOON_MS, Reply, Request};
use bankcove_core::shard::{Shard, shard_of_budget};
use bankcove_core::table::Budget;
use bankcove_core::{Incarnation, Millis, Name, Tokens};
use bankcove_platform::{Kind, WriteOutcome};
use futures::future::join_all;
use parking_lot::Mutex;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use crate::daemon::Daemon;
use crate::peer::{GiveAnswer, OwnerAnswer};

/// Owners that are tried before this daemon acts as the owner itself.
const OWNERS_TRIED: usize = 2;

/// Draws for one request before it is refused: each may bring tokens that
/// another request takes first.
const DRAWS: u32 = 8;

/// Shortest time between two draws ahead of one budget.
const DRAW_AHEAD_MS: Millis = 1_000;

/// A holder that did not answer is left out of collections this long.
const SILENT_HOLDER_MS: Millis = 2_000;

/// Peers asked in a collection though no grant of theirs is known: those that
/// come first as owners of the shard.
const UNLISTED_HOLDERS_ASKED: usize = 32;

/// Mixed into the shard's number, so that budget shards and log shards do not
/// share owners.
const OWNER_KEY: u64 = 0x6275_6467_6574_0000;

/// Why tokens were refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// When it is worth asking again.
    pub retry_after_ms: Millis,
    /// Whether the store was away, so that more may be there.
    pub store_away: bool,
}

/// The outcome of the last draw that brought too little.
#[derive(Debug, Default, Clone, Copy)]
struct LastShort {
    asked_at: Millis,
    need: Tokens,
    refusal: Option<Refusal>,
    ahead_at: Millis,
}

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

/// Budgets of one daemon.
#[derive(Debug)]
pub struct Budgets {
    holder: Mutex<Holder>,
    owners: Mutex<HashMap<u32, mpsc::UnboundedSender<Mail>>>,
    draws: Mutex<HashMap<Name, Arc<tokio::sync::Mutex<LastShort>>>>,
    silent: Mutex<HashMap<Incarnation, Millis>>,
}

impl Budgets {
    /// Budgets of a daemon that holds nothing yet.
    pub fn new(incarnation: Incarnation) -> Self {
        Budgets {
            holder: Mutex::new(Holder::new(incarnation)),
            owners: Mutex::new(HashMap::new()),
            draws: Mutex::new(HashMap::new()),
            silent: Mutex::new(HashMap::new()),
        }
    }

    /// The holder, for settling reservations.
    pub fn holder(&self) -> parking_lot::MutexGuard<'_, Holder> {
        self.holder.lock()
    }

    /// Sends unspent tokens to a peer.
    pub fn give(
        &self,
        budget: &Name,
        receiver: Incarnation,
        received: Tokens,
        most: Tokens,
    ) -> GiveAnswer {
        let mut holder = self.holder.lock();
        let cumulative = holder.give(budget, receiver, received, most);
        GiveAnswer::Sent { cumulative, reserved: holder.reserved(budget) }
    }

    /// What the owners in this daemon tell of themselves, by shard.
    pub async fn dump_owners(&self) -> HashMap<u32, OwnerDump> {
        let owners: Vec<_> = self.owners.lock().iter().map(|(n, tx)| (*n, tx.clone())).collect();
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

/// Sets `tokens` of a budget aside, drawing more when too few are at hand.
///
/// # Errors
/// [`Refusal`] when too few can be had anywhere in reach.
pub async fn reserve(
    daemon: &Arc<Daemon>,
    budget: &Budget,
    tokens: Tokens,
) -> Result<Reservation, Refusal> {
    let arrived = daemon.clock.now();
    let try_now = || daemon.budgets.holder.lock().reserve(&budget.name, tokens, arrived);
    if let Ok(reservation) = try_now() {
        draw_ahead(daemon, budget);
        return Ok(reservation);
    }
    let last = Arc::clone(daemon.budgets.draws.lock().entry(budget.name.clone()).or_default());
    let mut last = last.lock().await;
    for _ in 0..DRAWS {
        let Shortfall { missing } = match try_now() {
            Ok(reservation) => return Ok(reservation),
            Err(shortfall) => shortfall,
        };
        // A draw that began after this request came has answered for it too.
        if let Some(refusal) = last.refusal
            && last.asked_at > arrived
            && missing >= last.need
        {
            return Err(refusal);
        }
        let asked_at = daemon.clock.now();
        if let Err(refusal) = draw(daemon, budget, missing).await {
            *last = LastShort { asked_at, need: missing, refusal: Some(refusal), ..*last };
            return Err(refusal);
        }
    }
    // Others were faster each time.
    Err(Refusal { retry_after_ms: RETRY_SOON_MS, store_away: false })
}

fn terms(daemon: &Daemon, budget: &Budget) -> Terms {
    Terms {
        tokens: budget.tokens,
        version: budget.version,
        horizon_s: budget.horizon_s,
        share_divisor: budget.share_divisor,
        held_ahead: budget.held_ahead,
        daemons: 1 + daemon.members.lock().usable().count() as u64,
    }
}

/// Draws ahead when little is left, away from the path of any request.
fn draw_ahead(daemon: &Arc<Daemon>, budget: &Budget) {
    let terms = terms(daemon, budget);
    if !daemon.budgets.holder.lock().runs_low(&budget.name, &terms, daemon.clock.now()) {
        return;
    }
    let draws = Arc::clone(daemon.budgets.draws.lock().entry(budget.name.clone()).or_default());
    let (daemon, budget) = (Arc::clone(daemon), budget.clone());
    tokio::spawn(async move {
        // A draw that runs already brings what this one would.
        let Ok(mut last) = draws.try_lock() else { return };
        if daemon.clock.now() < last.ahead_at + DRAW_AHEAD_MS {
            return;
        }
        last.ahead_at = daemon.clock.now();
        // Nobody waits for it: the next request finds out what came.
        let _refused = draw(&daemon, &budget, 0).await;
    });
}

async fn draw(daemon: &Arc<Daemon>, budget: &Budget, need: Tokens) -> Result<(), Refusal> {
    let terms = terms(daemon, budget);
    let now = daemon.clock.now();
    let address = daemon.cfg.peer_address();
    let draw = daemon.budgets.holder.lock().draw(&budget.name, need, terms, address, now);
    let answer = ask_owner(daemon, Request::Draw(draw)).await;
    let mut holder = daemon.budgets.holder.lock();
    if let Some((owner, cumulative)) = answer.sent {
        holder.received(&budget.name, owner, cumulative);
    }
    match answer.reply {
        Reply::Granted { granted } => {
            holder.granted(&budget.name, granted);
            Ok(())
        }
        Reply::Short { retry_after_ms } => Err(Refusal { retry_after_ms, store_away: false }),
        Reply::StoreAway { retry_after_ms } => Err(Refusal { retry_after_ms, store_away: true }),
        Reply::Recorded => Ok(()),
    }
}

/// Asks the owner of the budget's shard: the first that answers of the first
/// few in rendezvous order, else this daemon itself.
pub async fn ask_owner(daemon: &Arc<Daemon>, request: Request) -> OwnerAnswer {
    let shard = shard_of_request(&request);
    let owners = daemon.members.lock().owners(OWNER_KEY + u64::from(shard), OWNERS_TRIED);
    let timeout = Duration::from_millis(daemon.cfg.limits.peer_timeout_ms);
    for owner in owners {
        let Some(owner) = owner else { break };
        let mut request = request.clone();
        if let (Request::Draw(draw), Some(incarnation)) = (&mut request, owner.incarnation) {
            draw.received = daemon.budgets.holder.lock().received_from(&draw.budget, incarnation);
        }
        let ask = |client: crate::peer::PeerServiceClient, cx| async move {
            client.ask_owner(cx, request).await
        };
        match daemon.peers.call(&owner.address, timeout, ask).await {
            Some(OwnerAnswer { reply: Reply::StoreAway { .. }, sent: None }) => {
                // The owner may be cut off from the store alone.
            }
            Some(answer) => return answer,
            None => daemon.members.lock().failed(&owner.name),
        }
    }
    ask_local_owner(daemon, request).await
}

/// Asks this daemon as the owner.
pub async fn ask_local_owner(daemon: &Arc<Daemon>, request: Request) -> OwnerAnswer {
    let shard = shard_of_request(&request);
    let (tx, rx) = oneshot::channel();
    let owner = local_owner(daemon, shard);
    let away = Reply::StoreAway { retry_after_ms: RETRY_SOON_MS };
    let away = OwnerAnswer { reply: away, sent: None };
    if owner.send(Mail::Asked(request, tx)).is_err() {
        return away;
    }
    rx.await.unwrap_or(away)
}

fn shard_of_request(request: &Request) -> u32 {
    match request {
        Request::Draw(draw) => shard_of_budget(&draw.budget),
        Request::TopUp { budget, .. } | Request::Retire { budget, .. } => shard_of_budget(budget),
    }
}

fn local_owner(daemon: &Arc<Daemon>, shard: u32) -> mpsc::UnboundedSender<Mail> {
    let mut owners = daemon.budgets.owners.lock();
    let owner = owners.entry(shard).or_insert_with(|| {
        let (tx, rx) = mpsc::unbounded_channel();
        let task = OwnerTask {
            shard,
            daemon: Arc::downgrade(daemon),
            tx: tx.downgrade(),
            tickets: HashMap::new(),
            next_ticket: 0,
        };
        let machine = Owner::new(
            daemon.incarnation,
            daemon.cfg.peer_address(),
            daemon.cfg.limits.budget_write_ms,
        );
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
    tickets: HashMap<u64, oneshot::Sender<OwnerAnswer>>,
    next_ticket: u64,
}

impl OwnerTask {
    async fn run(mut self, mut machine: Owner, mut rx: mpsc::UnboundedReceiver<Mail>) {
        while let Some(mail) = rx.recv().await {
            let Some(daemon) = self.daemon.upgrade() else { return };
            let event = match mail {
                Mail::Event(event) => event,
                Mail::Asked(request, reply) => {
                    self.next_ticket += 1;
                    self.tickets.insert(self.next_ticket, reply);
                    Event::Asked(self.next_ticket, request)
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
            self.carry_out(&daemon, commands);
        }
    }

    fn carry_out(&mut self, daemon: &Arc<Daemon>, commands: Vec<Command>) {
        let mut wake_at: Option<Millis> = None;
        for command in commands {
            match command {
                Command::Load => self.later(load(Arc::clone(daemon), self.shard)),
                Command::Write(version, shard) => {
                    self.later(write(Arc::clone(daemon), self.shard, version, shard));
                }
                Command::Gather(budget, holders) => {
                    self.later(gather(Arc::clone(daemon), budget, holders));
                }
                Command::Reply(ticket, reply) => {
                    self.answer(ticket, OwnerAnswer { reply, sent: None });
                }
                Command::Give { own_granted, ticket, draw, most, granted } => {
                    if let Some(own) = own_granted {
                        daemon.budgets.holder.lock().granted(&draw.budget, own);
                    }
                    let answer = give(daemon, &draw, most, granted);
                    self.answer(ticket, answer);
                }
                Command::WakeAt(at) => {
                    wake_at = Some(wake_at.map_or(at, |earlier| earlier.min(at)));
                }
            }
        }
        if let Some(at) = wake_at {
            let wait = Duration::from_millis(at.saturating_sub(daemon.clock.now()));
            self.later(async move {
                tokio::time::sleep(wait).await;
                Event::Tick
            });
        }
    }

    /// Sends the event that `work` ends in, unless the channel is closed then.
    fn later(&self, work: impl Future<Output = Event> + Send + 'static) {
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let event = work.await;
            if let Some(tx) = tx.upgrade() {
                // A closed channel has ended the task that would read this.
                let _closed = tx.send(Mail::Event(event));
            }
        });
    }

    fn answer(&mut self, ticket: u64, answer: OwnerAnswer) {
        if let Some(tx) = self.tickets.remove(&ticket) {
            // Whoever asked may have gone away; cumulative sums heal that.
            let _gone = tx.send(answer);
        }
    }
}

fn shard_name(shard: u32) -> String {
    format!("shard-{shard:02}")
}

async fn load(daemon: Arc<Daemon>, shard: u32) -> Event {
    match daemon.store.read::<Shard>(Kind::Budgets, &shard_name(shard)).await {
        Ok(Some(read)) => {
            daemon.contact.store_heard(daemon.clock.now());
            Event::Loaded(read.version, read.value)
        }
        Ok(None) => Event::Loaded(0, Shard::default()),
        Err(e) => {
            slog::warn!(daemon.log, "budget shard not read"; "shard" => shard, "error" => %e);
            Event::StoreAway
        }
    }
}

async fn write(daemon: Arc<Daemon>, shard: u32, version: u64, value: Shard) -> Event {
    let outcome = daemon.store.write(Kind::Budgets, &shard_name(shard), version, &value).await;
    match outcome {
        WriteOutcome::Written(version) => Event::Written(version),
        WriteOutcome::Conflict => Event::Conflict,
        WriteOutcome::Ambiguous => Event::Ambiguous,
        WriteOutcome::NotSent => Event::StoreAway,
    }
}

fn give(
    daemon: &Arc<Daemon>,
    draw: &bankcove_core::holder::Draw,
    most: Tokens,
    granted: Tokens,
) -> OwnerAnswer {
    let reply = Reply::Granted { granted };
    if draw.holder == daemon.incarnation {
        // The tokens are in this daemon's own holder already.
        return OwnerAnswer { reply, sent: None };
    }
    let mut holder = daemon.budgets.holder.lock();
    if !holder.can_give(&draw.budget, draw.holder, draw.received, draw.need) {
        let retry_after_ms = RETRY_SOON_MS;
        return OwnerAnswer { reply: Reply::Short { retry_after_ms }, sent: None };
    }
    let cumulative = holder.give(&draw.budget, draw.holder, draw.received, most);
    OwnerAnswer { reply, sent: Some((daemon.incarnation, cumulative)) }
}

async fn gather(daemon: Arc<Daemon>, budget: Name, holders: Vec<(Incarnation, String)>) -> Event {
    let holders = with_unlisted(&daemon, &budget, holders);
    let now = daemon.clock.now();
    let silent: HashSet<Incarnation> = {
        let mut silent = daemon.budgets.silent.lock();
        silent.retain(|_, until| *until > now);
        silent.keys().copied().collect()
    };
    let skipped = holders.iter().any(|(holder, _)| silent.contains(holder));
    let asked = holders.iter().filter(|(holder, _)| !silent.contains(holder));
    let answers = join_all(asked.map(|(holder, address)| {
        gather_from(Arc::clone(&daemon), budget.clone(), *holder, address.clone())
    }));
    let more_elsewhere = answers.await.into_iter().any(|more| more);
    let holder = daemon.budgets.holder.lock();
    let more_may_come = skipped || more_elsewhere || holder.reserved(&budget) > 0;
    Event::Gathered { free: holder.free(&budget), budget, more_may_come }
}

/// Adds those that may hold tokens without a grant: whom this daemon has sent
/// some, and peers that may have collected as owners before it.
fn with_unlisted(
    daemon: &Arc<Daemon>,
    budget: &Name,
    listed: Vec<(Incarnation, String)>,
) -> Vec<(Incarnation, String)> {
    let receivers: HashSet<Incarnation> =
        daemon.budgets.holder.lock().receivers(budget).into_iter().collect();
    let key = OWNER_KEY + u64::from(shard_of_budget(budget));
    let members = daemon.members.lock();
    let ranked = members.owners(key, UNLISTED_HOLDERS_ASKED).into_iter().flatten();
    let sent_to = members.usable().filter(|peer| {
        peer.incarnation.is_some_and(|incarnation| receivers.contains(&incarnation))
    });
    let unlisted = ranked.chain(sent_to.cloned());
    let mut holders: HashMap<Incarnation, String> = listed.into_iter().collect();
    for peer in unlisted {
        if let Some(incarnation) = peer.incarnation {
            holders.entry(incarnation).or_insert(peer.address);
        }
    }
    holders.into_iter().collect()
}

/// Collects from one holder; returns whether more may come from it later.
async fn gather_from(
    daemon: Arc<Daemon>,
    budget: Name,
    holder: Incarnation,
    address: String,
) -> bool {
    let me = daemon.incarnation;
    let received = daemon.budgets.holder.lock().received_from(&budget, holder);
    let timeout = Duration::from_millis(daemon.cfg.limits.gather_timeout_ms);
    let wanted = budget.clone();
    let ask = |client: crate::peer::PeerServiceClient, cx| async move {
        client.give(cx, wanted, holder, me, received, Tokens::MAX).await
    };
    match daemon.peers.call(&address, timeout, ask).await {
        Some(GiveAnswer::Sent { cumulative, reserved }) => {
            daemon.budgets.holder.lock().received(&budget, holder, cumulative);
            reserved > 0
        }
        Some(GiveAnswer::OtherIncarnation) => false,
        None => {
            let until = daemon.clock.now() + SILENT_HOLDER_MS;
            daemon.budgets.silent.lock().insert(holder, until);
            true
        }
    }
}

/// Gives every unspent token back to the store, for a planned stop. Returns
/// whether the store has recorded all of it.
pub async fn retire(daemon: &Arc<Daemon>) -> bool {
    let kept: Vec<(Name, i64)> = {
        let mut holder = daemon.budgets.holder.lock();
        let names: Vec<Name> = holder.accounts().keys().cloned().collect();
        names.into_iter().map(|name| (name.clone(), holder.retire(&name))).collect()
    };
    let holder = daemon.incarnation;
    let requests = kept
        .into_iter()
        .map(|(budget, kept)| ask_owner(daemon, Request::Retire { budget, holder, kept }));
    let answers = join_all(requests).await;
    answers.iter().all(|answer| answer.reply == Reply::Recorded)
}
