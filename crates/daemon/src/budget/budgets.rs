//! Budget state of one daemon: its token accounts, witness records, owned shards and draws.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use bankcove_core::holder::Holder;
use bankcove_core::table::Table;
use bankcove_core::witness::WitnessRecords;
use bankcove_core::{Incarnation, Millis, Name, Tokens};
use bankcove_ports::Store;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use crate::budget::owner_tasks::OwnerTasks;
use crate::fleet::Fleet;
use crate::peer::Refusal;

/// Minimum interval between the starts of two prefetches of a budget, in milliseconds.
const MIN_PREFETCH_INTERVAL_MS: Millis = 500;

/// Time in milliseconds for which a refusal also answers other requests that need as much. A draw
/// for each request would keep owners and peers busy just when a budget runs out.
const REFUSAL_REUSE_MS: Millis = 100;

/// Added to the shard number to form the rendezvous hashing key, so that budget shards and log
/// shards have different owners.
pub const OWNER_KEY: u64 = 0x6275_6467_6574_0000;

/// The last draw of a budget that yielded too few tokens.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct LastShortDraw {
    pub(super) asked_at: Millis,
    pub(super) need: Tokens,
    pub(super) refusal: Option<Refusal>,
}

impl LastShortDraw {
    /// Returns the refusal that also applies to a request that arrived at `arrived` and lacks
    /// `missing` tokens: the draw began afterwards, or shortly before. Refusals that depend on the
    /// request's size or rank apply to no other.
    pub(super) fn refusal_for(&self, missing: Tokens, arrived: Millis) -> Option<Refusal> {
        let is_recent = self.asked_at + REFUSAL_REUSE_MS > arrived;
        self.refusal.filter(|refusal| {
            let is_for_all = refusal.ration.is_none() && refusal.protected.is_none();
            is_for_all && is_recent && missing >= self.need
        })
    }
}

/// The most recent prefetch of a budget.
#[derive(Debug, Default, Clone, Copy)]
struct Prefetch {
    started_at: Option<Millis>,
    running: bool,
}

/// Budget state of one daemon.
pub struct Budgets {
    /// This daemon's view of the fleet.
    pub fleet: Fleet,
    /// The platform's store.
    pub store: Store,
    /// The current table.
    pub table: Arc<ArcSwapOption<Table>>,
    /// Cancelled when a graceful shutdown begins.
    pub leaving: CancellationToken,
    /// Cancelled when a graceful shutdown begins to reject new requests.
    pub stopping: CancellationToken,
    holder: Mutex<Holder>,
    /// Tasks of the shards that this daemon owns.
    pub owner_tasks: OwnerTasks,
    /// Per budget; the inner lock serializes the attempts to obtain tokens.
    pub(super) last_short_draws: Mutex<HashMap<Name, Arc<tokio::sync::Mutex<LastShortDraw>>>>,
    /// Per budget: requests of ranks that are held back, which ask the owner one after the other.
    /// More urgent requests, which wait for `last_short_draws`, do not wait for them.
    pub(super) last_short_asks: Mutex<HashMap<Name, Arc<tokio::sync::Mutex<LastShortDraw>>>>,
    /// Prefetches are kept apart from `last_short_draws`: they wait at the owner for other draws,
    /// and requests that need tokens now must not wait for them.
    prefetches: Mutex<HashMap<Name, Prefetch>>,
    /// Holders that did not answer a collection, with the time until which they are skipped.
    pub unresponsive: Mutex<HashMap<Incarnation, Millis>>,
    witness_records: Mutex<WitnessRecords>,
}

impl Budgets {
    /// Creates the state of a daemon that holds no tokens.
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
            last_short_asks: Mutex::new(HashMap::new()),
            prefetches: Mutex::new(HashMap::new()),
            unresponsive: Mutex::new(HashMap::new()),
            witness_records: Mutex::new(WitnessRecords::default()),
        }
    }

    /// Locks and returns the token accounts of this daemon.
    pub fn holder(&self) -> parking_lot::MutexGuard<'_, Holder> {
        self.holder.lock()
    }

    /// Marks a prefetch as running and returns true, unless one is already running, which fetches
    /// the same tokens, or the last one started too recently.
    pub(crate) fn begin_prefetch(&self, budget: &Name, now: Millis) -> bool {
        let mut prefetches = self.prefetches.lock();
        let last = prefetches.entry(budget.clone()).or_default();
        let is_recent = last.started_at.is_some_and(|at| now < at + MIN_PREFETCH_INTERVAL_MS);
        if last.running || is_recent {
            return false;
        }
        *last = Prefetch { started_at: Some(now), running: true };
        true
    }

    /// Marks the running prefetch as finished.
    pub(crate) fn end_prefetch(&self, budget: &Name) {
        if let Some(last) = self.prefetches.lock().get_mut(budget) {
            last.running = false;
        }
    }

    /// Locks and returns the records that this daemon keeps as a witness for other holders.
    pub fn witness_records(&self) -> parking_lot::MutexGuard<'_, WitnessRecords> {
        self.witness_records.lock()
    }
}
