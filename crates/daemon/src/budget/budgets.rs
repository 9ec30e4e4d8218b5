//! Shell around budgets: what this daemon holds, reserves, draws and gives back.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use bankcove_core::holder::{Holder, Keeps, Reservation, Shortfall, Terms, Wish};
use bankcove_core::owner::RETRY_SOON_MS;
use bankcove_core::table::{Budget, Table};
use bankcove_core::witness::Marks;
use bankcove_core::{Incarnation, Millis, Name, Tokens};
use bankcove_ports::Store;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use crate::budget::allotment::{ask_for_tokens, owners, owners_to_ask};
use crate::budget::borrow;
use crate::budget::collect::open;
use crate::budget::draws::draw;
use crate::budget::owner::Owners;
use crate::fleet::Fleet;
use crate::peer::Refusal;

/// Draws for one request before it is refused: each may bring tokens that
/// another request takes first.
const DRAWS: u32 = 8;

/// How long a refusal answers for others that need as much: asking anew for each
/// request would keep owners and peers busy just when a budget runs out.
const REFUSAL_HOLDS_MS: Millis = 100;

/// Time since the start by which the other daemons are known, in milliseconds: the
/// list of hosts is read at once and again after 1 s.
const MEMBERS_KNOWN_MS: Millis = 3_000;

/// Daemons that a budget is taken to be shared by until they are known.
pub(crate) const UNKNOWN_FLEET: u64 = 100;

/// Shortest time between two draws ahead of one budget.
const DRAW_AHEAD_MS: Millis = 500;

/// How far ahead a daemon draws that leaves, in seconds of recent spending: the
/// store answers its draws, and callers come to it for 2.5 s more.
const LEAVING_HORIZON_S: f64 = 1.0;

/// Part of what all may hold that an owner in a large fleet keeps for the others before
/// any spending is known. Worth on seven days of three large fleets: 0.428; with 0.4, where
/// a killed owner takes twice as much along, 0.426; with nothing kept 0.401.
const KEPT_FOR_OTHERS: f64 = 0.2;

/// Mixed into the shard's number, so that budget shards and log shards do not
/// share owners.
pub const OWNER_KEY: u64 = 0x6275_6467_6574_0000;

/// Where more tokens come from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Source {
    /// The budget's owner, in a large fleet; else the store.
    Owner(Option<Wish>),
    /// The store: this daemon was asked as the owner, and asks no further.
    Store,
}

/// The outcome of the last draw that brought too little.
#[derive(Debug, Default, Clone, Copy)]
struct LastShort {
    asked_at: Millis,
    need: Tokens,
    refusal: Option<Refusal>,
}

/// The last draw ahead of one budget.
#[derive(Debug, Default, Clone, Copy)]
struct DrawAhead {
    started_at: Option<Millis>,
    running: bool,
}

/// Budgets of one daemon.
pub struct Budgets {
    /// The other daemons.
    pub fleet: Fleet,
    /// The platform's store.
    pub store: Store,
    /// The table in force.
    pub table: Arc<ArcSwapOption<Table>>,
    /// Cancelled when a planned stop begins.
    pub leaving: CancellationToken,
    /// Cancelled when a planned stop takes no more requests.
    pub stopping: CancellationToken,
    holder: Mutex<Holder>,
    /// The shards that this daemon owns.
    pub owners: Owners,
    draws: Mutex<HashMap<Name, Arc<tokio::sync::Mutex<LastShort>>>>,
    /// Draws ahead have a place of their own: they wait for others at the owner,
    /// and requests that need tokens now must not wait behind them.
    ahead: Mutex<HashMap<Name, DrawAhead>>,
    /// Holders that did not answer a collection, and until when they are left out.
    pub silent: Mutex<HashMap<Incarnation, Millis>>,
    marks: Mutex<Marks>,
}

impl Budgets {
    /// Budgets of a daemon that holds nothing yet.
    pub fn new(
        fleet: Fleet,
        store: Store,
        table: Arc<ArcSwapOption<Table>>,
        leaving: CancellationToken,
        stopping: CancellationToken,
    ) -> Self {
        let holder = Mutex::new(Holder::new(fleet.base.incarnation));
        Budgets {
            fleet,
            store,
            table,
            leaving,
            stopping,
            holder,
            owners: Owners::default(),
            draws: Mutex::new(HashMap::new()),
            ahead: Mutex::new(HashMap::new()),
            silent: Mutex::new(HashMap::new()),
            marks: Mutex::new(Marks::default()),
        }
    }

    /// The holder, for settling reservations.
    pub fn holder(&self) -> parking_lot::MutexGuard<'_, Holder> {
        self.holder.lock()
    }

    /// Whether a draw ahead may begin now: none runs, whose tokens this one would
    /// bring as well, and the last one is not too recent.
    pub(crate) fn begin_ahead(&self, budget: &Name, now: Millis) -> bool {
        let mut ahead = self.ahead.lock();
        let last = ahead.entry(budget.clone()).or_default();
        let is_recent = last.started_at.is_some_and(|at| now < at + DRAW_AHEAD_MS);
        if last.running || is_recent {
            return false;
        }
        *last = DrawAhead { started_at: Some(now), running: true };
        true
    }

    pub(crate) fn end_ahead(&self, budget: &Name) {
        if let Some(last) = self.ahead.lock().get_mut(budget) {
            last.running = false;
        }
    }

    /// What this daemon attests for others.
    pub fn marks(&self) -> parking_lot::MutexGuard<'_, Marks> {
        self.marks.lock()
    }
}

/// Sets what a request may cost aside, drawing more when too little is at hand.
///
/// # Errors
/// [`Refusal`] when too little can be had anywhere in reach.
pub async fn reserve(
    budgets: &Arc<Budgets>,
    budget: &Budget,
    wish: Wish,
) -> Result<Reservation, Refusal> {
    let arrived = budgets.fleet.base.clock.now();
    let try_now = || budgets.holder.lock().reserve(&budget.name, wish.tokens, arrived);
    if let Ok(reservation) = try_now() {
        if budgets.fleet.base.cfg.limits.witnesses > 0 {
            prepare(budgets, budget);
        }
        return Ok(reservation);
    }
    obtain(budgets, budget, Source::Owner(Some(wish)), arrived, try_now).await
}

/// Draws until `try_now` has what it takes.
pub(crate) async fn obtain<T>(
    budgets: &Arc<Budgets>,
    budget: &Budget,
    source: Source,
    arrived: Millis,
    try_now: impl Fn() -> Result<T, Shortfall>,
) -> Result<T, Refusal> {
    let last = Arc::clone(budgets.draws.lock().entry(budget.name.clone()).or_default());
    let mut last = last.lock().await;
    for _ in 0..DRAWS {
        let Shortfall { missing } = match try_now() {
            Ok(obtained) => return Ok(obtained),
            Err(shortfall) => shortfall,
        };
        // A draw that began after this request came, or shortly before, has
        // answered for it too.
        let is_recent = last.asked_at + REFUSAL_HOLDS_MS > arrived;
        if let Some(refusal) = last.refusal
            && refusal.ration.is_none()
            && is_recent
            && missing >= last.need
        {
            return Err(refusal);
        }
        // Witnesses are nearer than the store, and there when it is away.
        if open(budgets, &budget.name, missing).await {
            continue;
        }
        let asked_at = budgets.fleet.base.clock.now();
        let Err(refusal) = refill(budgets, budget, missing, source).await else { continue };
        // In a large fleet owners hold what there is, and they have been asked.
        if budgets.fleet.is_small() && borrow::borrow(budgets, budget, missing).await {
            continue;
        }
        *last = LastShort { asked_at, need: missing, refusal: Some(refusal) };
        return Err(refusal);
    }
    // Others were faster each time.
    Err(Refusal::short(RETRY_SOON_MS))
}

/// Brings `need` more tokens and some ahead.
pub(crate) async fn refill(
    budgets: &Arc<Budgets>,
    budget: &Budget,
    need: Tokens,
    source: Source,
) -> Result<(), Refusal> {
    let (owners, wish) = match source {
        Source::Owner(wish) => (owners(budgets, budget), wish),
        Source::Store => (Vec::new(), None),
    };
    let has_owners = !owners.is_empty();
    for owner in owners {
        let Some(owner) = owner else { return draw(budgets, budget, need).await };
        if let Some(outcome) = ask_for_tokens(budgets, budget, need, wish, &owner).await {
            return outcome;
        }
    }
    let is_unknown = budgets.fleet.base.cfg.limits.witnesses == 0 && budgets.fleet.size().is_none();
    if (has_owners || is_unknown) && !budgets.fleet.contact.is_alone() {
        // Were all that get no answer to write themselves, they would stand in
        // each other's way, and in the owners'.
        return Err(Refusal::out_of_reach(RETRY_SOON_MS));
    }
    draw(budgets, budget, need).await
}

/// The terms of a budget's row for this daemon now: how far ahead it draws, and for whom,
/// follows from the size of the fleet, from who owns the budget, and from a planned stop.
pub(crate) fn terms(budgets: &Budgets, budget: &Budget) -> Terms {
    let terms = Terms {
        tokens: budget.tokens,
        version: budget.version,
        horizon_s: budget.horizon_s,
        share_divisor: budget.share_divisor,
        held_ahead: budget.held_ahead,
        kept_for_others: 0.0,
        keeps: Keeps::ForItself,
        daemons: budgets.fleet.size().map_or(UNKNOWN_FLEET, |size| size as u64),
    };
    if budgets.fleet.base.cfg.limits.witnesses > 0 {
        let daemons = 1 + budgets.fleet.members.lock().usable().count() as u64;
        return Terms { daemons, ..terms };
    }
    if budgets.leaving.is_cancelled() {
        // What it holds goes back before the kill, and is drawn anew where it is needed.
        let is_stopping = budgets.stopping.is_cancelled();
        let horizon_s = if is_stopping { 0.0 } else { LEAVING_HORIZON_S };
        return Terms { horizon_s, held_ahead: 0.0, ..terms };
    }
    if budgets.fleet.is_small() {
        // Alone as it seems at first, this daemon would take all shares for itself.
        let is_new = budgets.fleet.base.clock.now() < MEMBERS_KNOWN_MS;
        let daemons = if is_new { terms.daemons.max(UNKNOWN_FLEET) } else { terms.daemons };
        return Terms { daemons, ..terms };
    }
    // In a large fleet an equal share is less than one request: the owner keeps for all.
    // Until spending is known it keeps some: with the store away as callers came, nobody
    // had anything to hand on, and two thirds of them were refused for 12 s.
    let is_owner = budgets.fleet.size().is_some() && owners_to_ask(budgets, budget).is_empty();
    if is_owner {
        let kept_for_others = KEPT_FOR_OTHERS;
        return Terms { held_ahead: 0.0, kept_for_others, keeps: Keeps::ForFleet, ..terms };
    }
    Terms { held_ahead: 0.0, keeps: Keeps::LeftToOwner, ..terms }
}

/// Opens and draws ahead when little is left, away from the path of any request.
pub(crate) fn prepare(budgets: &Arc<Budgets>, budget: &Budget) {
    let terms = terms(budgets, budget);
    let now = budgets.fleet.base.clock.now();
    let (closes, runs_low) = {
        let holder = budgets.holder.lock();
        (holder.is_nearly_closed(&budget.name, now), holder.runs_low(&budget.name, &terms, now))
    };
    if !closes && !runs_low {
        return;
    }
    if !budgets.begin_ahead(&budget.name, now) {
        return;
    }
    let (budgets, budget) = (Arc::clone(budgets), budget.clone());
    tokio::spawn(async move {
        let is_opened = closes && open(&budgets, &budget.name, 0).await;
        if !is_opened {
            // Nobody waits for it: the next request finds out what came.
            let _refused = refill(&budgets, &budget, 0, Source::Owner(None)).await;
        }
        budgets.end_ahead(&budget.name);
        if budgets.holder().owes(&budget.name) {
            prepare(&budgets, &budget);
        }
    });
}
