//! The stored half of budgets: what has been granted to whom.
//!
//! A budget is divided beforehand. The store records for each holder (one
//! daemon's start) a cumulative sum that it may spend. The sum of what holders
//! have, and of what retired holders used, never exceeds the budget's total;
//! this is all that "spend never exceeds a budget" rests on.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::holder::{Draw, DrawTerms, Outlook, PrefetchScope, held_fraction};
use crate::id::shard_of_name;
use crate::witness::Witness;
use crate::{Incarnation, Name, Tokens};

/// Number of objects that hold all budgets. Fixed by the store's write rate,
/// not by the fleet: 128 objects at 1 write a second are 128 writes a second.
pub const BUDGET_SHARDS: u32 = 128;

/// Holders that the store grants tokens of one budget to. Further ones get
/// theirs from the shard's owner, so that a stored shard does not grow with the
/// fleet: 305 budgets of 8 grants are some 600 KB.
pub const MAX_GRANTS: usize = 8;

/// Part of an equal share that a holder may keep ahead though it spends less.
const QUIET_PART: f64 = 0.25;

/// How many top-ups a ledger remembers by identity.
pub const REMEMBERED_TOP_UPS: usize = 128;

/// How many retired holders a ledger remembers, so that a repeated retirement
/// counts once. A request older than [`crate::owner::MAX_REQUEST_AGE_MS`] is
/// dropped, which is long before this many others have retired.
pub const REMEMBERED_RETIRED: usize = 256;

/// The one of `count` shards that holds this budget.
pub fn shard_of_budget(budget: &Name, count: u32) -> u32 {
    shard_of_name(budget, count)
}

/// What the store grants one holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Cumulative tokens granted.
    pub granted: Tokens,
    /// Cumulative tokens of the grant that the holder may spend, as far as the
    /// store knows; its witnesses may have let it open more.
    pub opened: Tokens,
    /// Cumulative tokens that the holder has given back.
    #[serde(default)]
    pub returned: Tokens,
    /// Where the holder's peer port listens.
    pub address: Arc<str>,
    /// Who attests what else the holder has opened.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub witnesses: Vec<Witness>,
    /// Recent spending of the holder when it drew last, in tokens a second.
    #[serde(default)]
    pub rate: Tokens,
    /// Number of the draw that named the witnesses; an older draw that is
    /// written late does not replace them.
    #[serde(default)]
    pub named_by: u64,
}

/// A top-up that was recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopUp {
    /// Identity that the operator's client gave it.
    pub id: String,
    /// Tokens added.
    pub tokens: Tokens,
}

/// One budget in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Tokens that the table's row allows.
    pub row_tokens: Tokens,
    /// Version of that row; an older row never replaces a newer one.
    pub row_version: u64,
    /// Cumulative tokens of all top-ups.
    #[serde(default)]
    pub topped_up: Tokens,
    /// The last top-ups, oldest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub top_ups: Vec<TopUp>,
    /// Sum of what retired holders kept of their grants. Negative for one that
    /// returned more than its grant: tokens that others had sent it.
    #[serde(default)]
    pub retired: i64,
    /// The last holders that have retired, oldest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub retired_holders: Vec<Incarnation>,
    /// Holders that may spend.
    #[serde(default)]
    pub grants: BTreeMap<Incarnation, Grant>,
}

impl Ledger {
    /// Tokens that may be spent in all.
    pub fn total(&self) -> Tokens {
        self.row_tokens.saturating_add(self.topped_up)
    }

    /// Tokens that holders have or have used.
    pub fn committed(&self) -> i64 {
        let held = self.grants.values().map(|grant| grant.granted as i64 - grant.returned as i64);
        self.retired + held.sum::<i64>()
    }

    /// Tokens not yet granted to anybody.
    pub fn available(&self) -> Tokens {
        let left = self.total() as i64 - self.committed();
        left.max(0) as Tokens
    }

    /// What one holder may keep ahead, so that a multiple is left here of what all
    /// holders have together ([`held_fraction`]): holders that are lost take little
    /// with them, and one that runs out finds something. Who spends more may keep
    /// more: callers are not spread evenly over daemons.
    ///
    /// `terms` tell how many daemons there are: grants of daemons that are gone stay. One
    /// that keeps for the whole fleet may keep what all may.
    pub fn share(&self, holder: Incarnation, terms: &DrawTerms) -> Tokens {
        let left = self.available();
        if terms.prefetch == PrefetchScope::ForFleet {
            return (left as f64 * held_fraction(left, self.total())) as Tokens;
        }
        let holders = (self.grants.len() as u64).clamp(1, terms.daemons.max(1));
        let fleet: u64 = self.grants.values().map(|grant| grant.rate).sum();
        let rate = self.grants.get(&holder).map_or(0, |grant| grant.rate);
        let equal = 1.0 / holders as f64;
        let part = if fleet == 0 { equal } else { rate as f64 / fleet as f64 };
        // A holder that has been quiet may have its callers back at any time.
        let part = part.max(equal * QUIET_PART);
        (left as f64 * part * held_fraction(left, self.total())) as Tokens
    }

    /// The budget as `holder` is told of it.
    pub fn outlook(&self, holder: Incarnation, terms: &DrawTerms) -> Outlook {
        let share = self.share(holder, terms);
        Outlook { share, left: self.available() }
    }

    /// Takes in how fast `holder` spends.
    pub fn spends_at(&mut self, holder: Incarnation, rate: Tokens) {
        if let Some(grant) = self.grants.get_mut(&holder) {
            grant.rate = rate;
        }
    }

    /// Takes the row's terms, unless the ledger has seen a newer row.
    pub fn adopt_row(&mut self, tokens: Tokens, version: u64) {
        if version > self.row_version {
            self.row_tokens = tokens;
            self.row_version = version;
        }
    }

    /// Cumulative tokens granted to `holder`.
    pub fn granted_to(&self, holder: Incarnation) -> Tokens {
        self.grants.get(&holder).map_or(0, |grant| grant.granted)
    }

    /// Whether `holder` has no grant and there is no room for one more.
    pub fn is_full_for(&self, holder: Incarnation) -> bool {
        self.grants.len() >= MAX_GRANTS && !self.grants.contains_key(&holder)
    }

    /// What `holder` may spend of its grant, as far as the store knows.
    pub fn opened_by(&self, holder: Incarnation) -> Tokens {
        self.grants.get(&holder).map_or(0, |grant| grant.opened)
    }

    /// Ends the grants of earlier starts of the daemon at `address`: its port is
    /// held for life, so a later start proves that they spend no more. What they
    /// held counts as spent.
    pub fn end_earlier_starts(&mut self, holder: Incarnation, address: &str) {
        let earlier = |(other, grant): (&Incarnation, &Grant)| {
            let is_earlier = *other != holder && &*grant.address == address;
            is_earlier.then_some((*other, grant.granted as i64 - grant.returned as i64))
        };
        let ended: Vec<(Incarnation, i64)> = self.grants.iter().filter_map(earlier).collect();
        for (earlier, kept) in ended {
            self.retire(earlier, kept);
        }
    }

    /// A start other than `holder` that the ledger names at `address`.
    pub fn other_start_at(&self, address: &str, holder: Incarnation) -> Option<Incarnation> {
        let mut others = self.grants.iter().filter(|(other, _)| **other != holder);
        others.find(|(_, grant)| &*grant.address == address).map(|(other, _)| *other)
    }

    /// Ends the grant of `earlier`, a start that `holder` says ran before it at `address`.
    /// What it held counts as spent.
    pub fn end_earlier_start(&mut self, earlier: Incarnation, holder: Incarnation, address: &str) {
        let Some(grant) = self.grants.get(&earlier) else { return };
        if earlier != holder && &*grant.address == address {
            let kept = grant.granted as i64 - grant.returned as i64;
            self.retire(earlier, kept);
        }
    }

    /// Grants `tokens` more to `holder`; they are sealed at first.
    pub fn grant(&mut self, holder: Incarnation, address: &str, tokens: Tokens) {
        let entry = self.grants.entry(holder).or_insert_with(|| Grant {
            granted: 0,
            opened: 0,
            returned: 0,
            address: Arc::from(address),
            witnesses: Vec::new(),
            rate: 0,
            named_by: 0,
        });
        entry.granted += tokens;
    }

    /// Lets `holder` spend its grant up to the cumulative sum `opened`.
    pub fn open(&mut self, holder: Incarnation, opened: Tokens) {
        if let Some(grant) = self.grants.get_mut(&holder) {
            grant.opened = grant.opened.max(opened).min(grant.granted);
        }
    }

    /// Takes back what `holder` has returned, as a cumulative sum; whether that
    /// is more than was known.
    pub fn take_back(&mut self, holder: Incarnation, returned: Tokens) -> bool {
        let Some(grant) = self.grants.get_mut(&holder) else { return false };
        let is_more = returned > grant.returned;
        grant.returned = grant.returned.max(returned).min(grant.granted);
        is_more
    }

    /// Records the witnesses that a draw names, unless a later one has.
    pub fn name_witnesses(&mut self, draw: &Draw) {
        if let Some(grant) = self.grants.get_mut(&draw.holder)
            && draw.number > grant.named_by
        {
            grant.witnesses.clone_from(&draw.witnesses);
            grant.named_by = draw.number;
        }
    }

    /// Takes back what `holder` never opened; `opened` is what one of its
    /// witnesses said when it closed the holder. False when that daemon is not
    /// its witness any more, so that its word says nothing.
    pub fn reclaim(&mut self, holder: Incarnation, witness: Incarnation, opened: Tokens) -> bool {
        let Some(grant) = self.grants.get(&holder) else { return true };
        if !grant.witnesses.iter().any(|known| known.incarnation == witness) {
            return false;
        }
        let kept = grant.opened.max(opened).min(grant.granted) as i64 - grant.returned as i64;
        self.retire(holder, kept);
        true
    }

    /// Records a top-up once; a repeat of its identity changes nothing.
    pub fn top_up(&mut self, id: &str, tokens: Tokens) {
        if self.has_top_up(id) {
            return;
        }
        self.topped_up = self.topped_up.saturating_add(tokens);
        self.top_ups.push(TopUp { id: id.to_owned(), tokens });
        let surplus = self.top_ups.len().saturating_sub(REMEMBERED_TOP_UPS);
        self.top_ups.drain(..surplus);
    }

    /// Whether a top-up of this identity is recorded.
    pub fn has_top_up(&self, id: &str) -> bool {
        self.top_ups.iter().any(|top_up| top_up.id == id)
    }

    /// Whether `holder` is known to have retired.
    pub fn has_retired(&self, holder: Incarnation) -> bool {
        self.retired_holders.contains(&holder)
    }

    /// Ends `holder`: of its grant it keeps `kept`, which is what it spent and
    /// sent to others less what others sent it. A repeat changes nothing.
    pub fn retire(&mut self, holder: Incarnation, kept: i64) {
        if self.has_retired(holder) {
            return;
        }
        // A grant may be greater than the holder knew: an answer was lost.
        self.grants.remove(&holder);
        self.retired += kept;
        self.retired_holders.push(holder);
        let surplus = self.retired_holders.len().saturating_sub(REMEMBERED_RETIRED);
        self.retired_holders.drain(..surplus);
    }
}

/// One stored object: many budgets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// The budgets of this shard that were ever drawn on.
    #[serde(default)]
    pub budgets: BTreeMap<Name, Ledger>,
}

impl Shard {
    /// The ledger of `budget`, made empty when it is new.
    pub fn ledger(&mut self, budget: &Name) -> &mut Ledger {
        self.budgets.entry(budget.clone()).or_default()
    }
}
