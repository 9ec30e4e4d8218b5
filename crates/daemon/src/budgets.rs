//! Shell around budgets: this daemon's holder, and the shards it owns.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Weak};
use std::time::Duration;

use bankcove_core::holder::{Draw, Holder, Reservation, Shortfall, Terms};
use bankcove_core::members::Peer;
use bankcove_core::owner::{
    Command, Event, HolderRef, Owner, OwnerCounts, RETRY_SOON_MS, Reply, Request,
};
use bankcove_core::shard::{Shard, shard_of_budget};
use bankcove_core::table::Budget;
use bankcove_core::witness::{Marks, Witness};
use bankcove_core::{Incarnation, Millis, Name, Tokens};
use bankcove_platform::{Kind, WriteOutcome};
use futures::future::join_all;
use parking_lot::Mutex;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};
use xxhash_rust::xxh3::xxh3_64;

use crate::daemon::Daemon;
use crate::peer::{GiveAnswer, OwnerAnswer, PeerServiceClient};

/// Owners that are tried before this daemon acts as the owner itself.
const OWNERS_TRIED: usize = 2;

/// Draws for one request before it is refused: each may bring tokens that
/// another request takes first.
const DRAWS: u32 = 8;

/// Daemons that attest what a holder opens while the store is away.
const WITNESSES: usize = 2;

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
    marks: Mutex<Marks>,
}

impl Budgets {
    /// Budgets of a daemon that holds nothing yet.
    pub fn new(incarnation: Incarnation) -> Self {
        Budgets {
            holder: Mutex::new(Holder::new(incarnation)),
            owners: Mutex::new(HashMap::new()),
            draws: Mutex::new(HashMap::new()),
            silent: Mutex::new(HashMap::new()),
            marks: Mutex::new(Marks::default()),
        }
    }

    /// The holder, for settling reservations.
    pub fn holder(&self) -> parking_lot::MutexGuard<'_, Holder> {
        self.holder.lock()
    }

    /// What this daemon attests for others.
    pub fn marks(&self) -> parking_lot::MutexGuard<'_, Marks> {
        self.marks.lock()
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
        prepare(daemon, budget);
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
        // Witnesses are nearer than the store, and there when it is away.
        if open(daemon, &budget.name, missing).await {
            continue;
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

/// Opens and draws ahead when little is left, away from the path of any request.
fn prepare(daemon: &Arc<Daemon>, budget: &Budget) {
    let terms = terms(daemon, budget);
    let now = daemon.clock.now();
    let (closes, runs_low) = {
        let holder = daemon.budgets.holder.lock();
        (holder.is_nearly_closed(&budget.name, now), holder.runs_low(&budget.name, &terms, now))
    };
    if !closes && !runs_low {
        return;
    }
    let draws = Arc::clone(daemon.budgets.draws.lock().entry(budget.name.clone()).or_default());
    let (daemon, budget) = (Arc::clone(daemon), budget.clone());
    tokio::spawn(async move {
        // A draw that runs already brings what this one would.
        let Ok(mut last) = draws.try_lock() else { return };
        if closes && open(&daemon, &budget.name, 0).await {
            return;
        }
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
    let witnesses = witnesses(daemon);
    let draw = {
        // In one step: what is opened later needs the new witnesses' word too.
        let mut holder = daemon.budgets.holder.lock();
        holder.propose_witnesses(&budget.name, &witnesses);
        let draw = holder.draw(&budget.name, need, terms, address, now);
        Draw { witnesses: witnesses.clone(), ..draw }
    };
    let answer = ask_owner(daemon, Request::Draw(draw)).await;
    let mut holder = daemon.budgets.holder.lock();
    if let Some((owner, cumulative)) = answer.sent {
        holder.received(&budget.name, owner, cumulative);
    }
    match answer.reply {
        Reply::Granted { granted, opened, recorded } => {
            holder.granted(&budget.name, granted);
            holder.opened(&budget.name, opened);
            if recorded {
                holder.witnesses_recorded(&budget.name, &witnesses);
            }
            Ok(())
        }
        Reply::Short { retry_after_ms } => Err(Refusal { retry_after_ms, store_away: false }),
        Reply::StoreAway { retry_after_ms } => Err(Refusal { retry_after_ms, store_away: true }),
        Reply::Recorded => Ok(()),
    }
}

/// Peers that are to attest what this daemon opens while the store is away.
fn witnesses(daemon: &Daemon) -> Vec<Witness> {
    let key = xxh3_64(daemon.cfg.name.as_str().as_bytes());
    let ranked = daemon.members.lock().owners(key, WITNESSES + 1);
    let peers = ranked.into_iter().flatten().take(WITNESSES);
    let witness = |peer: Peer| {
        Some(Witness { incarnation: peer.incarnation?, address: Arc::from(peer.address) })
    };
    peers.filter_map(witness).collect()
}

/// Opens `tokens` more of this daemon's grant, and some ahead, by its witnesses'
/// word; false when nothing is sealed or they do not agree.
async fn open(daemon: &Arc<Daemon>, budget: &Name, tokens: Tokens) -> bool {
    let now = daemon.clock.now();
    let Some(opening) = daemon.budgets.holder.lock().opening(budget, tokens, now) else {
        return false;
    };
    let (me, opened) = (daemon.incarnation, opening.opened);
    let timeout = Duration::from_millis(daemon.cfg.limits.gather_timeout_ms);
    let asks = opening.witnesses.iter().map(|witness| {
        let (budget, incarnation) = (budget.clone(), witness.incarnation);
        let ask = move |client: PeerServiceClient, cx| async move {
            client.open(cx, me, incarnation, budget, opened).await
        };
        daemon.peers.call(&witness.address, timeout, ask)
    });
    let agreed = join_all(asks).await.into_iter().all(|agreed| agreed == Some(true));
    agreed && daemon.budgets.holder.lock().opening_agreed(budget, &opening)
}

/// Sends a peer what is free and what is sealed, as far as it can be opened.
pub async fn give_all(
    daemon: &Arc<Daemon>,
    budget: &Name,
    receiver: Incarnation,
    received: Tokens,
    most: Tokens,
) -> GiveAnswer {
    if daemon.budgets.holder.lock().sealed(budget) > 0 {
        open(daemon, budget, Tokens::MAX).await;
    }
    let mut holder = daemon.budgets.holder.lock();
    let cumulative = holder.give(budget, receiver, received, most);
    let more_later = holder.reserved(budget) + holder.sealed(budget);
    GiveAnswer::Sent { cumulative, reserved: more_later }
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
        let ask =
            |client: PeerServiceClient, cx| async move { client.ask_owner(cx, request).await };
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
        Request::TopUp { budget, .. }
        | Request::Retire { budget, .. }
        | Request::Reclaim { budget, .. } => shard_of_budget(budget),
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
                Command::Give { own, ticket, draw, most, reply } => {
                    if let Some((granted, opened)) = own {
                        let mut holder = daemon.budgets.holder.lock();
                        holder.granted(&draw.budget, granted);
                        holder.opened(&draw.budget, opened);
                    }
                    let answer = give(daemon, &draw, most, reply);
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

fn give(daemon: &Arc<Daemon>, draw: &Draw, most: Tokens, reply: Reply) -> OwnerAnswer {
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

async fn gather(daemon: Arc<Daemon>, budget: Name, listed: Vec<HolderRef>) -> Event {
    let holders = with_unlisted(&daemon, &budget, listed);
    if daemon.budgets.holder.lock().sealed(&budget) > 0 {
        open(&daemon, &budget, Tokens::MAX).await;
    }
    let now = daemon.clock.now();
    let silent: HashSet<Incarnation> = {
        let mut silent = daemon.budgets.silent.lock();
        silent.retain(|_, until| *until > now);
        silent.keys().copied().collect()
    };
    let skipped = holders.iter().any(|holder| silent.contains(&holder.incarnation));
    let asked = holders.iter().filter(|holder| !silent.contains(&holder.incarnation));
    let answers = join_all(asked.map(|holder| gather_from(&daemon, &budget, holder)));
    let more_elsewhere = answers.await.into_iter().any(|more| more);
    let holder = daemon.budgets.holder.lock();
    let more_may_come = skipped || more_elsewhere || holder.reserved(&budget) > 0;
    Event::Gathered { free: holder.free(&budget), budget, more_may_come }
}

/// Adds those that may hold tokens without a grant: whom this daemon has sent
/// some, and peers that may have collected as owners before it.
fn with_unlisted(daemon: &Arc<Daemon>, budget: &Name, listed: Vec<HolderRef>) -> Vec<HolderRef> {
    let receivers: HashSet<Incarnation> =
        daemon.budgets.holder.lock().receivers(budget).into_iter().collect();
    let key = OWNER_KEY + u64::from(shard_of_budget(budget));
    let members = daemon.members.lock();
    let ranked = members.owners(key, UNLISTED_HOLDERS_ASKED).into_iter().flatten();
    let sent_to = members.usable().filter(|peer| {
        peer.incarnation.is_some_and(|incarnation| receivers.contains(&incarnation))
    });
    let unlisted = ranked.chain(sent_to.cloned()).filter_map(|peer| {
        let (incarnation, address) = (peer.incarnation?, Arc::from(peer.address));
        Some(HolderRef { incarnation, address, witnesses: Vec::new() })
    });
    let mut holders: HashMap<Incarnation, HolderRef> =
        listed.into_iter().map(|holder| (holder.incarnation, holder)).collect();
    for holder in unlisted {
        holders.entry(holder.incarnation).or_insert(holder);
    }
    holders.into_values().collect()
}

/// Collects from one holder; returns whether more may come from it later.
async fn gather_from(daemon: &Arc<Daemon>, budget: &Name, holder: &HolderRef) -> bool {
    let (me, incarnation) = (daemon.incarnation, holder.incarnation);
    let received = daemon.budgets.holder.lock().received_from(budget, incarnation);
    let timeout = Duration::from_millis(daemon.cfg.limits.gather_timeout_ms);
    let wanted = budget.clone();
    let ask = |client: PeerServiceClient, cx| async move {
        client.give(cx, wanted, incarnation, me, received, Tokens::MAX).await
    };
    match daemon.peers.call(&holder.address, timeout, ask).await {
        Some(GiveAnswer::Sent { cumulative, reserved }) => {
            daemon.budgets.holder.lock().received(budget, incarnation, cumulative);
            reserved > 0
        }
        Some(GiveAnswer::OtherIncarnation) => {
            reclaim(daemon, budget, holder).await;
            false
        }
        None if daemon.peers.is_refused(&holder.address, timeout).await => {
            reclaim(daemon, budget, holder).await;
            false
        }
        None => {
            let until = daemon.clock.now() + SILENT_HOLDER_MS;
            daemon.budgets.silent.lock().insert(incarnation, until);
            true
        }
    }
}

/// Takes back what a holder that seems to be gone never opened. Should it live
/// after all, its closed witness keeps it from opening any more.
async fn reclaim(daemon: &Arc<Daemon>, budget: &Name, holder: &HolderRef) {
    let timeout = Duration::from_millis(daemon.cfg.limits.gather_timeout_ms);
    for witness in &holder.witnesses {
        let (gone, attests, closed) = (holder.incarnation, witness.incarnation, budget.clone());
        let opened = if attests == daemon.incarnation {
            Some(daemon.budgets.marks().close(gone, budget))
        } else {
            let ask = |client: PeerServiceClient, cx| async move {
                client.close(cx, gone, attests, closed).await
            };
            daemon.peers.call(&witness.address, timeout, ask).await.flatten()
        };
        let Some(opened) = opened else { continue };
        let budget = budget.clone();
        let request = Request::Reclaim { budget, holder: gone, witness: attests, opened };
        let answer = ask_local_owner(daemon, request).await;
        slog::info!(daemon.log, "grant reclaimed"; "holder" => %gone, "answer" => ?answer.reply);
        return;
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
