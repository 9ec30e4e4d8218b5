//! Replays of loads that outlast a budget of a small fleet, in which each daemon draws for itself
//! and decides by its own counts and the number of daemons.

mod common;

use bankcove_core::holder::{
    DrawTerms, Holder, Outlook, ProtectionTerms, RequestDemand, held_fraction,
};
use bankcove_core::{Incarnation, Millis, Tokens};
use common::budget;

const DAEMONS: usize = 8;
const HORIZON_S: f64 = 60.0;
const URGENT: Tokens = 1_400;
const LARGE: Tokens = 8_200;

/// Interval between two requests of a kind: 40 a second each.
const INTERVAL_MS: Millis = 25;

/// Budget that lasts for 20 s of both kinds.
const ROW: Tokens = 20 * 40 * (URGENT + LARGE);

/// Interval of prefetches and of readings of the shard.
const PREFETCH_MS: Millis = 500;

/// Daemons and the budget in the store.
struct Fleet {
    horizon_s: f64,
    now: Millis,
    row: Tokens,
    /// Tokens granted to daemons and not given back.
    granted: Tokens,
    store_unavailable: bool,
    daemons: Vec<Holder>,
    spent: Tokens,
}

/// Served and sent requests of one kind.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    served: u32,
    sent: u32,
}

impl Count {
    fn fraction(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent.max(1))
    }
}

impl Fleet {
    fn new(horizon_s: f64) -> Self {
        let daemons = (0..DAEMONS as u64).map(|n| Holder::new(Incarnation(1 + n))).collect();
        Fleet {
            horizon_s,
            now: 0,
            row: ROW,
            granted: 0,
            store_unavailable: false,
            daemons,
            spent: 0,
        }
    }

    fn terms(&self) -> ProtectionTerms {
        ProtectionTerms {
            horizon_s: self.horizon_s,
            outage_horizon_s: 11.0,
            is_store_unavailable: self.store_unavailable,
            daemons: if self.store_unavailable { 1.0 } else { DAEMONS as f64 },
            row_tokens: self.row,
            row_version: self.row,
        }
    }

    fn draw_terms(&self) -> DrawTerms {
        common::terms(self.row, DAEMONS as u64)
    }

    /// Updates the outlook of a daemon from the ledger.
    fn read_shard(&mut self, daemon: usize) {
        let left = self.row - self.granted;
        let share = (left as f64 * held_fraction(left, self.row)) as Tokens / DAEMONS as Tokens;
        self.daemons[daemon].set_outlook(&budget(), Outlook { share, left }, self.now);
        self.daemons[daemon].record_outlook_row(&budget(), self.row);
    }

    fn draw(&mut self, daemon: usize, need: Tokens) -> bool {
        if self.store_unavailable {
            return false;
        }
        let terms = self.draw_terms();
        let holder = &mut self.daemons[daemon];
        let draw = holder.draw(&budget(), need, terms, "127.0.0.1:1", self.now);
        let left = self.row - self.granted;
        let amount = terms.draw_amount(draw.want, left).max(need.min(left));
        self.granted += amount;
        let grant = holder.accounts()[&budget()].granted + amount;
        holder.record_granted(&budget(), grant);
        holder.record_opened(&budget(), grant);
        self.read_shard(daemon);
        amount >= need
    }

    fn request(&mut self, daemon: usize, rank: u32, tokens: Tokens) -> bool {
        let (now, terms) = (self.now, self.terms());
        let demand = RequestDemand { tokens, rank, ration_s: 0.0 };
        let holder = &mut self.daemons[daemon];
        holder.count_request(&budget(), rank, tokens, now);
        if holder.check_protection(&budget(), &demand, &terms, now).is_err() {
            return false;
        }
        let mut reservation = holder.reserve(&budget(), tokens, now);
        if let Err(short) = reservation
            && self.draw(daemon, short.missing)
        {
            reservation = self.daemons[daemon].reserve(&budget(), tokens, now);
        }
        let Ok(reservation) = reservation else { return false };
        self.daemons[daemon].settle(reservation, tokens);
        self.spent += tokens;
        true
    }

    /// Sends `(rank, tokens, requests per interval)` of two kinds until `until`.
    fn run(&mut self, until: Millis, kinds: [(u32, Tokens, usize); 2]) -> [Count; 2] {
        let mut counts = [Count::default(); 2];
        while self.now < until {
            for (kind, (rank, tokens, count)) in kinds.into_iter().enumerate() {
                for n in 0..count {
                    let turn = (self.now / INTERVAL_MS) as usize * 3 + kind * 5 + n;
                    counts[kind].sent += 1;
                    counts[kind].served += u32::from(self.request(turn % DAEMONS, rank, tokens));
                }
            }
            if self.now % PREFETCH_MS == 0 && !self.store_unavailable {
                for daemon in 0..DAEMONS {
                    self.read_shard(daemon);
                    let terms = self.draw_terms();
                    let holder = &mut self.daemons[daemon];
                    self.granted -= holder.return_surplus_to_store(&budget(), &terms, self.now);
                    if self.daemons[daemon].is_low(&budget(), &terms, self.now) {
                        self.draw(daemon, 0);
                    }
                }
            }
            self.now += INTERVAL_MS;
        }
        assert!(self.spent <= self.granted && self.granted <= self.row, "overspent");
        counts
    }
}

const BOTH: [(u32, Tokens, usize); 2] = [(0, URGENT, 1), (2, LARGE, 1)];

/// Guards against less urgent requests that spend the budget before the urgent ones have been
/// served for the horizon.
#[test]
fn urgent_requests_are_served_for_the_horizon() {
    let mut fleet = Fleet::new(HORIZON_S);
    let [urgent, _] = fleet.run(60_000, BOTH);
    assert!(urgent.fraction() > 0.99, "{urgent:?}");
    let [urgent, _] = Fleet::new(0.0).run(60_000, BOTH);
    assert!(urgent.fraction() < 0.5, "the load does not outlast the budget: {urgent:?}");
}

/// Guards against tokens that are held back until the end although nobody needs them.
#[test]
fn the_budget_is_spent_after_urgent_requests_have_stopped() {
    let mut fleet = Fleet::new(HORIZON_S);
    fleet.run(25_000, BOTH);
    fleet.run(120_000, [(0, URGENT, 0), (2, LARGE, 1)]);
    // What a daemon holds in parts smaller than a request stays with it in this replay.
    assert!(fleet.spent * 100 >= ROW * 95, "{} of {ROW} are spent", fleet.spent);
}

/// Guards against any effect on a budget with requests of one rank.
#[test]
fn requests_of_one_rank_are_served_as_without_protection() {
    let kinds = [(1, URGENT, 1), (1, LARGE, 1)];
    let [mut with, mut without] = [Fleet::new(HORIZON_S), Fleet::new(0.0)];
    let served = |counts: [Count; 2]| counts.map(|count| count.served);
    assert_eq!(served(with.run(40_000, kinds)), served(without.run(40_000, kinds)));
}

/// Guards against less urgent requests that take what the daemons hold in an outage.
#[test]
fn urgent_requests_outlast_a_store_outage() {
    let urgent_served = |horizon_s| {
        let mut fleet = Fleet::new(horizon_s);
        fleet.row = 20 * ROW;
        fleet.run(15_000, BOTH);
        fleet.store_unavailable = true;
        let [urgent, _] = fleet.run(26_000, [(0, URGENT, 1), (2, LARGE, 4)]);
        urgent.fraction()
    };
    let (without, with) = (urgent_served(0.0), urgent_served(HORIZON_S));
    assert!(with > 0.99 && without < 0.9, "{with} with protection, {without} without");
}

/// Guards against refusals that go on after a top-up.
#[test]
fn a_top_up_ends_refusals_at_once() {
    let mut fleet = Fleet::new(HORIZON_S);
    fleet.run(25_000, BOTH);
    let [_, large] = fleet.run(30_000, BOTH);
    assert!(large.fraction() < 0.05, "{large:?}");
    fleet.row += 3 * ROW;
    let [urgent, large] = fleet.run(31_000, BOTH);
    assert!(large.fraction() > 0.99 && urgent.fraction() > 0.99, "{urgent:?} {large:?}");
}
