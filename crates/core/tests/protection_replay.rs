//! Replays of loads that outlast a budget of a large fleet: urgent requests of 1,400 tokens, and
//! less urgent ones of 8,200. Without protection, the less urgent ones take the budget while it
//! lasts, and from then on both kinds are refused.

mod common;

use bankcove_core::holder::{
    DrawTerms, Holder, HostDecision, Outlook, PrefetchScope, ProtectionTerms, RequestDemand,
    held_fraction,
};
use bankcove_core::{Incarnation, Millis, Tokens};
use common::budget;

const HOSTS: usize = 12;
const HORIZON_S: f64 = 60.0;
const URGENT: Tokens = 1_400;
const LARGE: Tokens = 8_200;

/// Interval between two requests of a kind: 40 a second each.
const INTERVAL_MS: Millis = 25;

/// Budget that lasts for 20 s of both kinds.
const ROW: Tokens = 20 * 40 * (URGENT + LARGE);

/// Interval of the prefetches of hosts and owners.
const PREFETCH_MS: Millis = 500;

/// Requests of one kind in a replay, by second: whether each was served.
#[derive(Default)]
struct Outcomes(Vec<(Millis, bool)>);

impl Outcomes {
    fn served(&self, from: Millis, until: Millis) -> f64 {
        let within = self.0.iter().filter(|(at, _)| (from..until).contains(at));
        let (served, all) = within.fold((0, 0), |(served, all), (_, is_served)| {
            (served + u32::from(*is_served), all + 1)
        });
        f64::from(served) / f64::from(all.max(1))
    }
}

/// An owner, its successor, hosts, and the budget in the store.
struct Fleet {
    horizon_s: f64,
    ration_s: f64,
    now: Millis,
    row: Tokens,
    /// Tokens that the store has granted, to any owner.
    granted: Tokens,
    store_unavailable: bool,
    owner: usize,
    owners: Vec<Holder>,
    hosts: Vec<Holder>,
    messages: usize,
    /// Tokens of all served requests.
    spent: Tokens,
}

impl Fleet {
    fn new(horizon_s: f64) -> Self {
        Fleet {
            horizon_s,
            ration_s: 0.0,
            now: 0,
            row: ROW,
            granted: 0,
            store_unavailable: false,
            owner: 0,
            owners: (0..2).map(|n| Holder::new(Incarnation(1 + n))).collect(),
            hosts: (0..HOSTS as u64).map(|n| Holder::new(Incarnation(100 + n))).collect(),
            messages: 0,
            spent: 0,
        }
    }

    fn terms(&self) -> ProtectionTerms {
        ProtectionTerms {
            horizon_s: self.horizon_s,
            outage_horizon_s: 11.0,
            is_store_unavailable: self.store_unavailable,
            daemons: 1.0,
            row_tokens: self.row,
            row_version: self.row,
        }
    }

    fn draw_terms(&self, prefetch: PrefetchScope) -> DrawTerms {
        DrawTerms { prefetch, held_ahead: 0.0, ..common::terms(self.row, HOSTS as u64) }
    }

    /// Lets the owner draw `need` tokens and some ahead.
    fn draw(&mut self, need: Tokens) -> bool {
        if self.store_unavailable {
            return false;
        }
        let terms = self.draw_terms(PrefetchScope::ForFleet);
        let owner = &mut self.owners[self.owner];
        let draw = owner.draw(&budget(), need, terms, "127.0.0.1:1", self.now);
        let left = self.row - self.granted;
        let amount = terms.draw_amount(draw.want, left).max(need.min(left));
        self.granted += amount;
        let left = left - amount;
        let grant = owner.accounts()[&budget()].granted + amount;
        owner.record_granted(&budget(), grant);
        owner.record_opened(&budget(), grant);
        let share = (left as f64 * held_fraction(left, self.row)) as Tokens;
        owner.set_outlook(&budget(), Outlook { share, left }, self.now);
        owner.record_outlook_row(&budget(), self.row);
        amount >= need
    }

    /// Sends a token request of a host to the owner; returns whether it was served.
    fn request_tokens(&mut self, host: usize, need: Tokens, demand: Option<RequestDemand>) -> bool {
        self.messages += 1;
        let (terms, now) = (self.terms(), self.now);
        let draw_terms = self.draw_terms(PrefetchScope::LeftToOwner);
        let incarnation = Some(self.owners[self.owner].incarnation());
        let asking = &mut self.hosts[host];
        let request = asking.token_request(&budget(), incarnation, need, &draw_terms, now);
        let mut at_owner = request.clone();
        at_owner.demand = demand;
        let owner = &mut self.owners[self.owner];
        owner.record_given_back(&at_owner, now);
        let checked = owner.check_token_request(&mut at_owner, &terms, now);
        let allotted = match checked {
            Ok(()) if self.exceeds_ration(demand) => None,
            Ok(()) => {
                let mut allotted = self.owners[self.owner].allot(&at_owner, now);
                if let Err(short) = allotted
                    && self.draw(short.missing)
                {
                    allotted = self.owners[self.owner].allot(&at_owner, now);
                }
                allotted.ok()
            }
            Err(_) => None,
        };
        let state = self.owners[self.owner].protection_state(&budget(), &terms, now);
        let asking = &mut self.hosts[host];
        asking.record_protection(&request, state.filter(|_| terms.is_enabled()), now);
        if let (Err(refused), Some(demand)) = (checked, demand) {
            let delay = refused.retry_after_ms;
            let amount = refused.protected;
            asking.record_protection_refusal(&budget(), &demand, amount, delay, &terms, now);
        }
        if let Some(allotted) = allotted {
            asking.record_allotted(&budget(), allotted, now);
        }
        allotted.is_some()
    }

    /// Returns whether the owner refuses a request for exceeding its ration.
    fn exceeds_ration(&self, demand: Option<RequestDemand>) -> bool {
        let Some(demand) = demand.filter(|demand| demand.ration_s > 0.0) else { return false };
        let owner = &self.owners[self.owner];
        let protected = owner.protected(&budget(), &demand, &self.terms(), self.now);
        let is_unavailable = self.store_unavailable;
        let ration = owner.ration_beyond(&budget(), &demand, protected, is_unavailable, self.now);
        demand.tokens > ration
    }

    /// Runs a request at a host; returns whether it was served.
    fn request(&mut self, host: usize, rank: u32, tokens: Tokens) -> bool {
        let now = self.now;
        let demand = RequestDemand { tokens, rank, ration_s: self.ration_s };
        let mut decision = HostDecision::Admit;
        if self.terms().is_enabled() {
            self.hosts[host].count_request(&budget(), rank, tokens, now);
            decision = self.hosts[host].decide_as_host(&budget(), &demand, &self.terms(), now);
        }
        let missing = tokens.saturating_sub(self.hosts[host].free(&budget()));
        let is_admitted = match decision {
            HostDecision::Admit => true,
            HostDecision::Ask => self.request_tokens(host, missing, Some(demand)),
            HostDecision::Refuse { .. } | HostDecision::Alone => false,
        };
        if !is_admitted {
            return false;
        }
        let mut reservation = self.hosts[host].reserve(&budget(), tokens, now);
        if let Err(short) = reservation
            && self.request_tokens(host, short.missing, Some(demand))
        {
            reservation = self.hosts[host].reserve(&budget(), tokens, now);
        }
        let Ok(reservation) = reservation else { return false };
        self.hosts[host].settle(reservation, tokens);
        self.spent += tokens;
        true
    }

    /// Prefetches and gives back tokens at all daemons.
    fn rebalance(&mut self) {
        let terms = self.draw_terms(PrefetchScope::ForFleet);
        if self.owners[self.owner].is_low(&budget(), &terms, self.now) {
            self.draw(0);
        }
        let terms = self.draw_terms(PrefetchScope::LeftToOwner);
        let owner = self.owners[self.owner].incarnation();
        for host in 0..HOSTS {
            let holder = &mut self.hosts[host];
            let returned = holder.return_surplus_to_owner(&budget(), owner, &terms, self.now);
            if returned > 0 || holder.is_low(&budget(), &terms, self.now) {
                self.request_tokens(host, 0, None);
            }
        }
    }

    /// Sends requests of two ranks until `until`: `(rank, tokens, requests per interval)` each.
    fn run(&mut self, until: Millis, kinds: [(u32, Tokens, usize); 2]) -> [Outcomes; 2] {
        let mut outcomes = [Outcomes::default(), Outcomes::default()];
        while self.now < until {
            for (kind, (rank, tokens, count)) in kinds.into_iter().enumerate() {
                for n in 0..count {
                    // Neither kind prefers a host, also with several requests at once.
                    let host = (self.now / INTERVAL_MS) as usize * 5 + kind * 7 + n;
                    let is_served = self.request(host % HOSTS, rank, tokens);
                    outcomes[kind].0.push((self.now, is_served));
                }
            }
            if self.now % PREFETCH_MS == 0 {
                self.rebalance();
            }
            self.now += INTERVAL_MS;
        }
        assert!(self.spent <= self.granted && self.granted <= self.row, "overspent");
        outcomes
    }
}

const BOTH: [(u32, Tokens, usize); 2] = [(0, URGENT, 1), (2, LARGE, 1)];
const LESS_URGENT: [(u32, Tokens, usize); 2] = [(0, URGENT, 0), (2, LARGE, 1)];

/// Guards against a replay whose load does not outlast its budget: shows the failure itself.
#[test]
fn without_protection_urgent_requests_are_refused_once_the_budget_is_spent() {
    let mut fleet = Fleet::new(0.0);
    let [urgent, _] = fleet.run(70_000, BOTH);
    assert!(urgent.served(25_000, 70_000) < 0.1, "{}", urgent.served(25_000, 70_000));
}

#[test]
fn urgent_requests_are_served_to_the_end_and_the_budget_is_spent() {
    let mut fleet = Fleet::new(HORIZON_S);
    let [urgent, large] = fleet.run(65_000, BOTH);
    assert!(urgent.served(0, 65_000) > 0.999, "{}", urgent.served(0, 65_000));
    assert!(large.served(0, 8_000) > 0.99, "{}", large.served(0, 8_000));
    fleet.run(120_000, BOTH);
    assert!(fleet.spent * 100 >= ROW * 99, "{} of {ROW} are spent", fleet.spent);
}

/// Guards against a ration of the protected tokens: it would hand them to less urgent requests, or
/// refuse urgent ones early. The last ones before the end are rationed as without protection.
#[test]
fn urgent_requests_are_served_to_the_end_with_the_ration() {
    let served = |horizon_s| {
        let mut fleet = Fleet { ration_s: 0.9, ..Fleet::new(horizon_s) };
        let [urgent, _] = fleet.run(65_000, BOTH);
        urgent.served(0, 65_000)
    };
    let (without, with) = (served(0.0), served(HORIZON_S));
    assert!(with > 0.99 && without < 0.9, "{with} with protection, {without} without");
}

/// Guards against tokens held back for requests that nobody sends.
#[test]
fn nothing_is_held_back_when_no_urgent_requests_come() {
    let [mut with, mut without] = [Fleet::new(HORIZON_S), Fleet::new(0.0)];
    let [_, large] = with.run(30_000, LESS_URGENT);
    let [_, expected] = without.run(30_000, LESS_URGENT);
    assert_eq!(large.0, expected.0);
    assert_eq!((with.messages, with.spent), (without.messages, without.spent));
    assert!(with.spent * 100 >= ROW * 99, "{} of {ROW} are spent", with.spent);
}

/// Guards against any effect where less urgent requests displace no urgent ones.
#[test]
fn cheaper_less_urgent_requests_are_served_as_without_protection() {
    let kinds = [(0, LARGE, 1), (2, URGENT, 1)];
    let [mut with, mut without] = [Fleet::new(HORIZON_S), Fleet::new(0.0)];
    let [urgent, cheap] = with.run(30_000, kinds);
    let [expected_urgent, expected_cheap] = without.run(30_000, kinds);
    assert_eq!((urgent.0, cheap.0), (expected_urgent.0, expected_cheap.0));
    assert_eq!(with.messages, without.messages);
}

/// Guards against an amount that stays protected after the urgent requests have stopped.
#[test]
fn the_rest_is_spendable_after_urgent_requests_have_stopped() {
    let mut fleet = Fleet::new(HORIZON_S);
    fleet.run(25_000, BOTH);
    assert!(fleet.spent * 10 < ROW * 9, "nothing was protected: {}", fleet.spent);
    fleet.run(120_000, LESS_URGENT);
    assert!(fleet.spent * 100 >= ROW * 99, "{} of {ROW} are spent", fleet.spent);
}

/// Guards against refusals that go on after the operator has raised the budget.
#[test]
fn a_top_up_ends_refusals_at_once() {
    let mut fleet = Fleet::new(HORIZON_S);
    let [_, large] = fleet.run(30_000, BOTH);
    assert!(large.served(25_000, 30_000) < 0.05, "{}", large.served(25_000, 30_000));
    fleet.row += 3 * ROW;
    let [urgent, large] = fleet.run(32_000, BOTH);
    assert!(large.served(30_000, 32_000) > 0.99, "{}", large.served(30_000, 32_000));
    assert!(urgent.served(30_000, 32_000) > 0.99);
}

/// Guards against a workspace that sends many times its usual load: its refusals would each cost
/// a message, and its urgent requests be refused.
#[test]
fn refusals_of_a_hot_workspace_cost_few_messages() {
    let mut fleet = Fleet::new(HORIZON_S);
    fleet.run(20_000, BOTH);
    let before = fleet.messages;
    fleet.run(30_000, [(0, URGENT, 1), (2, LARGE, 0)]);
    let usual = fleet.messages - before;
    let before = fleet.messages;
    let [urgent, large] = fleet.run(40_000, [(0, URGENT, 1), (2, LARGE, 50)]);
    let refused = large.0.iter().filter(|(_, is_served)| !is_served).count();
    let messages = fleet.messages - before;
    assert!(refused > 19_000, "{refused} refused");
    assert!(messages < usual + HOSTS * 15, "{messages} messages, {usual} without refusals");
    assert!(urgent.served(30_000, 40_000) > 0.999, "{}", urgent.served(30_000, 40_000));
}

/// Guards against less urgent requests that take the few tokens within reach while most of the
/// budget is in an unavailable store.
#[test]
fn urgent_requests_outlast_a_store_outage() {
    let served = |horizon_s| {
        let mut fleet = Fleet::new(horizon_s);
        fleet.row = 20 * ROW;
        fleet.run(15_000, BOTH);
        fleet.store_unavailable = true;
        let [urgent, _] = fleet.run(26_000, [(0, URGENT, 1), (2, LARGE, 4)]);
        fleet.store_unavailable = false;
        let [_, large] = fleet.run(30_000, BOTH);
        (urgent.served(15_000, 26_000), large.served(27_000, 30_000))
    };
    let (without, _) = served(0.0);
    let (urgent, large_afterwards) = served(HORIZON_S);
    assert!(without < 0.9, "the outage does not matter without protection: {without}");
    assert!(urgent > 0.99, "{urgent} served in the outage");
    assert!(large_afterwards > 0.99, "{large_afterwards} served after the outage");
}

/// Guards against a loss of what is protected with the owner: its successor starts without a
/// forecast, and what the owner held is gone.
#[test]
fn the_next_owner_protects_within_seconds() {
    let mut fleet = Fleet::new(HORIZON_S);
    fleet.run(25_000, BOTH);
    fleet.owner = 1;
    let [urgent, large] = fleet.run(50_000, BOTH);
    assert!(large.served(28_000, 50_000) < 0.05, "{}", large.served(28_000, 50_000));
    assert!(urgent.served(25_000, 50_000) > 0.99, "{}", urgent.served(25_000, 50_000));
}

/// Guards against a forecast that follows the ranks of the past.
#[test]
fn protection_follows_ranks_that_change() {
    let mut fleet = Fleet::new(HORIZON_S);
    fleet.run(20_000, [(2, URGENT, 1), (2, LARGE, 1)]);
    let before = fleet.spent;
    assert!(before * 10 >= ROW * 9, "one rank is served in order of arrival: {before}");
    fleet.row += ROW;
    // The large requests become more urgent than the small ones, which displace none of them.
    let [large, small] = fleet.run(25_000, [(1, LARGE, 1), (2, URGENT, 1)]);
    assert!(large.served(20_000, 25_000) > 0.99 && small.served(20_000, 25_000) > 0.99);
    // Then the small ones become the most urgent.
    let [urgent, large] = fleet.run(70_000, [(0, URGENT, 1), (1, LARGE, 1)]);
    assert!(urgent.served(25_000, 70_000) > 0.99, "{}", urgent.served(25_000, 70_000));
    assert!(large.served(50_000, 70_000) < 0.05, "{}", large.served(50_000, 70_000));
}
