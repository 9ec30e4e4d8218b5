//! The state of budgets on one daemon: what it holds and attests, and what it is drawing.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use bankcove_core::holder::Holder;
use bankcove_core::table::Table;
use bankcove_core::witness::WitnessMarks;
use bankcove_core::{Incarnation, Millis, Name, Tokens};
use bankcove_ports::Store;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use crate::budget::owner_tasks::OwnerTasks;
use crate::fleet::Fleet;
use crate::peer::Refusal;

/// Shortest time between two draws ahead of one budget.
const MIN_PREFETCH_INTERVAL_MS: Millis = 500;

/// Mixed into the shard's number, so that budget shards and log shards do not
/// share owners.
pub const OWNER_KEY: u64 = 0x6275_6467_6574_0000;

/// The outcome of the last draw that brought too little.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct LastShortDraw {
    pub(super) asked_at: Millis,
    pub(super) need: Tokens,
    pub(super) refusal: Option<Refusal>,
}

/// The last draw ahead of one budget.
#[derive(Debug, Default, Clone, Copy)]
struct Prefetch {
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
    pub owner_tasks: OwnerTasks,
    pub(super) last_short_draws: Mutex<HashMap<Name, Arc<tokio::sync::Mutex<LastShortDraw>>>>,
    /// Draws ahead have a place of their own: they wait for others at the owner,
    /// and requests that need tokens now must not wait behind them.
    prefetches: Mutex<HashMap<Name, Prefetch>>,
    /// Holders that did not answer a collection, and until when they are left out.
    pub unresponsive: Mutex<HashMap<Incarnation, Millis>>,
    marks: Mutex<WitnessMarks>,
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
            owner_tasks: OwnerTasks::default(),
            last_short_draws: Mutex::new(HashMap::new()),
            prefetches: Mutex::new(HashMap::new()),
            unresponsive: Mutex::new(HashMap::new()),
            marks: Mutex::new(WitnessMarks::default()),
        }
    }

    /// The holder, for settling reservations.
    pub fn holder(&self) -> parking_lot::MutexGuard<'_, Holder> {
        self.holder.lock()
    }

    /// Whether a draw ahead may begin now: none runs, whose tokens this one would
    /// bring as well, and the last one is not too recent.
    pub(crate) fn begin_prefetch(&self, budget: &Name, now: Millis) -> bool {
        let mut ahead = self.prefetches.lock();
        let last = ahead.entry(budget.clone()).or_default();
        let is_recent = last.started_at.is_some_and(|at| now < at + MIN_PREFETCH_INTERVAL_MS);
        if last.running || is_recent {
            return false;
        }
        *last = Prefetch { started_at: Some(now), running: true };
        true
    }

    pub(crate) fn end_prefetch(&self, budget: &Name) {
        if let Some(last) = self.prefetches.lock().get_mut(budget) {
            last.running = false;
        }
    }

    /// What this daemon attests for others.
    pub fn marks(&self) -> parking_lot::MutexGuard<'_, WitnessMarks> {
        self.marks.lock()
    }
}
