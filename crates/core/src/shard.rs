//! The stored part of budgets: the tokens granted to each holder.
//!
//! A budget is divided in advance. For each holder (one incarnation of a daemon) the
//! store records a cumulative amount that it may spend. The grants of all holders plus
//! the tokens used by retired holders never exceed the budget's total. The guarantee
//! that spending never exceeds a budget rests on this invariant alone.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::holder::{Draw, DrawTerms, Outlook, PrefetchScope, held_fraction};
use crate::id::shard_of_name;
use crate::witness::Witness;
use crate::{Incarnation, Name, Tokens};

/// Number of stored objects that hold all budgets. Limited by the store's write rate and
/// independent of the fleet's size: 128 objects at 1 write per second make 128 writes per
/// second.
pub const BUDGET_SHARDS: u32 = 128;

/// Maximum number of holders with a grant of one budget in the store. Further holders
/// get their tokens from the shard's owner, so that a stored shard does not grow with
/// the fleet: 305 budgets of 8 grants take about 600 KB.
pub const MAX_GRANTS: usize = 8;

/// Fraction of an equal share that a holder may keep in advance even if it spends less.
const MIN_SHARE_FRACTION: f64 = 0.25;

/// Number of most recent top-ups whose IDs a ledger keeps to detect repeats.
pub const MAX_RECORDED_TOP_UPS: usize = 128;

/// Number of most recently retired holders that a ledger keeps, so that a repeated
/// retirement is counted once. Requests older than
/// [`crate::owner::MAX_REQUEST_AGE_MS`] are dropped, long before this many other holders
/// have retired.
pub const MAX_RECORDED_RETIREMENTS: usize = 256;

/// Returns the index of the shard, out of `count`, that holds this budget.
pub fn shard_of_budget(budget: &Name, count: u32) -> u32 {
    shard_of_name(budget, count)
}

/// One holder's grant of a budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Cumulative tokens granted.
    pub granted: Tokens,
    /// Cumulative tokens of the grant that the holder may spend according to the store;
    /// its witnesses may have approved more.
    pub opened: Tokens,
    /// Cumulative tokens that the holder has returned.
    #[serde(default)]
    pub returned: Tokens,
    /// Address of the holder's peer port.
    pub address: Arc<str>,
    /// Daemons that attest which further tokens the holder has opened.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub witnesses: Vec<Witness>,
    /// Recent spending rate of the holder as of its last draw, in tokens per second.
    #[serde(default)]
    pub rate: Tokens,
    /// Sequence number of the draw that named the witnesses; an older draw that is
    /// written later does not replace them.
    #[serde(default)]
    pub named_by: u64,
}

/// A recorded top-up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopUp {
    /// Unique ID assigned by the operator's client.
    pub id: String,
    /// Tokens added.
    pub tokens: Tokens,
}

/// The stored state of one budget.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Tokens allowed by the budget's row in the table.
    pub row_tokens: Tokens,
    /// Version of that row; an older row never replaces a newer one.
    pub row_version: u64,
    /// Cumulative tokens of all top-ups.
    #[serde(default)]
    pub topped_up: Tokens,
    /// The most recent top-ups, oldest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub top_ups: Vec<TopUp>,
    /// Sum of the tokens that retired holders used of their grants. A holder that returned
    /// more than its grant, because others had sent it tokens, contributes a negative
    /// amount.
    #[serde(default)]
    pub retired: i64,
    /// The most recently retired holders, oldest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub retired_holders: Vec<Incarnation>,
    /// Grants of the holders that may spend.
    #[serde(default)]
    pub grants: BTreeMap<Incarnation, Grant>,
}

impl Ledger {
    /// Returns the total number of tokens that may be spent.
    pub fn total(&self) -> Tokens {
        self.row_tokens.saturating_add(self.topped_up)
    }

    /// Returns the tokens that holders hold or have used.
    pub fn committed(&self) -> i64 {
        let held = self.grants.values().map(|grant| grant.granted as i64 - grant.returned as i64);
        self.retired + held.sum::<i64>()
    }

    /// Returns the tokens that are not granted to any holder.
    pub fn available(&self) -> Tokens {
        let left = self.total() as i64 - self.committed();
        left.max(0) as Tokens
    }

    /// Returns the number of tokens that one holder may keep in advance. It is limited so
    /// that the store keeps a multiple of what all holders have together ([`held_fraction`]):
    /// few tokens are then lost with a holder, and a holder that runs out can draw more.
    /// A holder that spends more may keep more, because callers are not spread evenly over
    /// the daemons.
    ///
    /// The number of daemons is taken from `terms`, because the grants of daemons that no
    /// longer exist remain in the ledger. A holder that keeps tokens for the whole fleet
    /// may keep the amount that all holders together may.
    pub fn share(&self, holder: Incarnation, terms: &DrawTerms) -> Tokens {
        let available = self.available();
        if terms.prefetch == PrefetchScope::ForFleet {
            return (available as f64 * held_fraction(available, self.total())) as Tokens;
        }
        let holders = (self.grants.len() as u64).clamp(1, terms.daemons.max(1));
        let fleet_rate: u64 = self.grants.values().map(|grant| grant.rate).sum();
        let rate = self.grants.get(&holder).map_or(0, |grant| grant.rate);
        let equal_fraction = 1.0 / holders as f64;
        let fraction =
            if fleet_rate == 0 { equal_fraction } else { rate as f64 / fleet_rate as f64 };
        // The callers of an idle holder may return at any time.
        let fraction = fraction.max(equal_fraction * MIN_SHARE_FRACTION);
        (available as f64 * fraction * held_fraction(available, self.total())) as Tokens
    }

    /// Returns the state of the budget that is reported to `holder`.
    pub fn outlook(&self, holder: Incarnation, terms: &DrawTerms) -> Outlook {
        let share = self.share(holder, terms);
        Outlook { share, left: self.available() }
    }

    /// Records the spending rate of `holder`, in tokens per second.
    pub fn set_rate(&mut self, holder: Incarnation, rate: Tokens) {
        if let Some(grant) = self.grants.get_mut(&holder) {
            grant.rate = rate;
        }
    }

    /// Updates the tokens from the table's row, unless the ledger has a newer version.
    pub fn update_row(&mut self, tokens: Tokens, version: u64) {
        if version > self.row_version {
            self.row_tokens = tokens;
            self.row_version = version;
        }
    }

    /// Returns the cumulative tokens granted to `holder`.
    pub fn granted_to(&self, holder: Incarnation) -> Tokens {
        self.grants.get(&holder).map_or(0, |grant| grant.granted)
    }

    /// Returns whether `holder` has no grant and the maximum number of grants is reached.
    pub fn is_full_for(&self, holder: Incarnation) -> bool {
        self.grants.len() >= MAX_GRANTS && !self.grants.contains_key(&holder)
    }

    /// Returns the cumulative tokens that `holder` may spend according to the store.
    pub fn opened_by(&self, holder: Incarnation) -> Tokens {
        self.grants.get(&holder).map_or(0, |grant| grant.opened)
    }

    /// Retires the earlier incarnations of `holder` at `address`. A process keeps its port
    /// for its whole lifetime, so the existence of a later incarnation proves that the
    /// earlier ones no longer spend. Tokens that they held count as spent.
    pub fn retire_earlier_incarnations(&mut self, holder: Incarnation, address: &str) {
        let earlier = |(other, grant): (&Incarnation, &Grant)| {
            let is_earlier = *other != holder && &*grant.address == address;
            is_earlier.then_some((*other, grant.granted as i64 - grant.returned as i64))
        };
        let ended: Vec<(Incarnation, i64)> = self.grants.iter().filter_map(earlier).collect();
        for (earlier, kept) in ended {
            self.retire(earlier, kept);
        }
    }

    /// Returns an incarnation other than `holder` that is recorded at `address`.
    pub fn other_incarnation_at(&self, address: &str, holder: Incarnation) -> Option<Incarnation> {
        let mut others = self.grants.iter().filter(|(other, _)| **other != holder);
        others.find(|(_, grant)| &*grant.address == address).map(|(other, _)| *other)
    }

    /// Retires `earlier`, an incarnation reported by `holder` as its predecessor at
    /// `address`. Tokens that it held count as spent.
    pub fn retire_earlier_incarnation(
        &mut self,
        earlier: Incarnation,
        holder: Incarnation,
        address: &str,
    ) {
        let Some(grant) = self.grants.get(&earlier) else { return };
        if earlier != holder && &*grant.address == address {
            let kept = grant.granted as i64 - grant.returned as i64;
            self.retire(earlier, kept);
        }
    }

    /// Grants `tokens` more to `holder`; they can't be spent before [`Ledger::open`].
    pub fn grant(&mut self, holder: Incarnation, address: &str, tokens: Tokens) {
        let grant = self.grants.entry(holder).or_insert_with(|| Grant {
            granted: 0,
            opened: 0,
            returned: 0,
            address: Arc::from(address),
            witnesses: Vec::new(),
            rate: 0,
            named_by: 0,
        });
        grant.granted += tokens;
    }

    /// Allows `holder` to spend its grant up to the cumulative amount `opened`.
    pub fn open(&mut self, holder: Incarnation, opened: Tokens) {
        if let Some(grant) = self.grants.get_mut(&holder) {
            grant.opened = grant.opened.max(opened).min(grant.granted);
        }
    }

    /// Records the cumulative tokens that `holder` has returned, and makes them available
    /// again. Returns whether this is more than recorded before.
    pub fn record_return(&mut self, holder: Incarnation, returned: Tokens) -> bool {
        let Some(grant) = self.grants.get_mut(&holder) else { return false };
        let is_more = returned > grant.returned;
        grant.returned = grant.returned.max(returned).min(grant.granted);
        is_more
    }

    /// Records the witnesses named by a draw, unless a later draw has named others.
    pub fn record_witnesses(&mut self, draw: &Draw) {
        if let Some(grant) = self.grants.get_mut(&draw.holder)
            && draw.number > grant.named_by
        {
            grant.witnesses.clone_from(&draw.witnesses);
            grant.named_by = draw.number;
        }
    }

    /// Retires `holder` and takes back the tokens that it never opened. `opened` is the
    /// cumulative amount reported by `witness` when it closed the holder. Returns false if
    /// that daemon is no longer a witness of the holder, so that its report is not
    /// conclusive.
    pub fn reclaim(&mut self, holder: Incarnation, witness: Incarnation, opened: Tokens) -> bool {
        let Some(grant) = self.grants.get(&holder) else { return true };
        if !grant.witnesses.iter().any(|known| known.incarnation == witness) {
            return false;
        }
        let kept = grant.opened.max(opened).min(grant.granted) as i64 - grant.returned as i64;
        self.retire(holder, kept);
        true
    }

    /// Records a top-up; a repeated ID has no effect.
    pub fn record_top_up(&mut self, id: &str, tokens: Tokens) {
        if self.has_top_up(id) {
            return;
        }
        self.topped_up = self.topped_up.saturating_add(tokens);
        self.top_ups.push(TopUp { id: id.to_owned(), tokens });
        let surplus = self.top_ups.len().saturating_sub(MAX_RECORDED_TOP_UPS);
        self.top_ups.drain(..surplus);
    }

    /// Returns whether a top-up with this ID is recorded.
    pub fn has_top_up(&self, id: &str) -> bool {
        self.top_ups.iter().any(|top_up| top_up.id == id)
    }

    /// Returns whether `holder` is recorded as retired.
    pub fn has_retired(&self, holder: Incarnation) -> bool {
        self.retired_holders.contains(&holder)
    }

    /// Retires `holder` and removes its grant. `kept` is the part of the grant that counts
    /// as used: tokens that it spent or sent to others, minus the tokens that others sent
    /// to it. A repeated call has no effect.
    pub fn retire(&mut self, holder: Incarnation, kept: i64) {
        if self.has_retired(holder) {
            return;
        }
        // The grant may be larger than the holder knew, because a reply was lost.
        self.grants.remove(&holder);
        self.retired += kept;
        self.retired_holders.push(holder);
        let surplus = self.retired_holders.len().saturating_sub(MAX_RECORDED_RETIREMENTS);
        self.retired_holders.drain(..surplus);
    }
}

/// One stored object with the ledgers of many budgets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// The budgets of this shard that have been drawn on or topped up.
    #[serde(default)]
    pub budgets: BTreeMap<Name, Ledger>,
}

impl Shard {
    /// Returns the ledger of `budget`; creates an empty one if there is none.
    pub fn ledger(&mut self, budget: &Name) -> &mut Ledger {
        self.budgets.entry(budget.clone()).or_default()
    }
}
