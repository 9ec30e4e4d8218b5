//! Decisions on rollouts: exposure of the new version, its judgement, and the decider's lease.

use bankcove_core::rollout::{
    DECISION_VALID_MS, Decision, Exposure, Fault, LEASE_MS, Lease, Outcomes, Plan, RolloutChanges,
    RolloutList, RolloutOrder, RolloutState, ServiceOutcomes, Versions,
};
use bankcove_core::{Incarnation, Millis, Name};
use proptest::prelude::*;
use yare::parameterized;

/// Largest fraction of the requests that a version which turns out bad may get.
const MAX_FRACTION: f64 = 0.1;

/// Duration of the simulated rollouts, in milliseconds, and time for which they are played on.
const DURATION: Millis = 12_000;
const END_TIME: Millis = 4_000;

fn order(state: RolloutState) -> RolloutOrder {
    RolloutOrder {
        service: Name::from("engines"),
        to_version: Name::from("v2"),
        duration_ms: DURATION,
        state,
        version: 7,
    }
}

fn is_new(versions: Versions) -> bool {
    versions.allow(Some(&Name::from("v2")))
}

#[parameterized(
    tenth = { 0.1, 100 },
    none = { 0.0, 0 },
    all = { 1.0, 1_000 },
)]
fn the_new_version_gets_its_fraction_of_the_requests(fraction: f64, expected: usize) {
    let (mut exposure, order) = (Exposure::new(0.5), order(RolloutState::Running));
    exposure.set_fraction(0, fraction);
    let new = (0..1_000).filter(|_| is_new(exposure.versions(10, &order, true))).count();
    assert_eq!(new, expected);
}

#[test]
fn without_a_recent_decision_the_new_version_gets_nothing() {
    let (mut exposure, order) = (Exposure::new(0.9), order(RolloutState::Running));
    assert!(!is_new(exposure.versions(0, &order, true)), "no decision was received");
    exposure.set_fraction(1_000, 1.0);
    assert!(is_new(exposure.versions(1_000 + DECISION_VALID_MS - 1, &order, true)));
    assert!(!is_new(exposure.versions(1_000 + DECISION_VALID_MS, &order, true)));
}

#[test]
fn a_repeated_attempt_goes_to_the_old_version() {
    let (mut exposure, order) = (Exposure::new(0.5), order(RolloutState::Running));
    exposure.set_fraction(0, 1.0);
    assert!(!is_new(exposure.versions(0, &order, false)));
}

#[test]
fn after_its_end_one_version_gets_all_requests() {
    let mut exposure = Exposure::new(0.5);
    let (done, back) = (order(RolloutState::Done), order(RolloutState::RolledBack));
    assert_eq!(exposure.versions(0, &back, true), Versions::Except(&back.to_version));
    assert_eq!(exposure.versions(0, &done, false), Versions::Only(&done.to_version));
    assert_eq!(exposure.versions(60_000, &done, true), Versions::Any, "another may be deployed");
}

#[test]
fn a_new_order_of_the_list_replaces_the_one_before() {
    let mut list = RolloutList::default();
    let put = |at, state| RolloutChanges {
        at,
        put: vec![RolloutOrder { version: at, ..order(state) }],
        ..RolloutChanges::default()
    };
    assert!(list.apply(put(5, RolloutState::Ordered)));
    assert_eq!(list.running().count(), 1);
    assert!(list.apply(put(6, RolloutState::Done)));
    assert_eq!(list.running().count(), 0);
    let older = RolloutList::default().orders().clone();
    assert!(!list.adopt(older), "a peer's older list is ignored");
}

/// Behavior of a version: whether it fails a request, and how long it takes.
struct Version {
    fails: f64,
    slower: f64,
}

const GOOD: Version = Version { fails: 0.005, slower: 1.0 };

/// Random numbers from 0 to 1.
struct Rng(u64);

impl Rng {
    fn next(&mut self) -> f64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Result of a simulated rollout.
#[derive(Debug)]
struct Played {
    end: Option<RolloutState>,
    total: u32,
    new: u32,
    /// Requests that the new version got later than 5 s after its fiftieth bad answer.
    late: u32,
}

/// Rollout in a simulated fleet: daemons with equal shares of the requests, of which some are cut
/// off from the decider, and a decider that may be replaced by one without memory.
struct Play {
    daemons: usize,
    per_second: usize,
    old: Version,
    new: Version,
    /// When the new version's faults begin, in milliseconds, and the share of requests above which
    /// it has them.
    bad_from: Millis,
    bad_above: f64,
    /// Only on this route, of two.
    bad_route: Option<usize>,
    /// Daemons below this index are cut off from the decider in this time.
    cut: (usize, Millis, Millis),
    /// From when on all servers are slower, and by which factor.
    slowed: (Millis, f64),
    /// When the decider is lost; another takes over after the lease has ended.
    lost_at: Option<Millis>,
    seed: u64,
}

impl Default for Play {
    fn default() -> Self {
        Play {
            daemons: 60,
            per_second: 700,
            old: GOOD,
            new: GOOD,
            bad_from: 0,
            bad_above: 0.0,
            bad_route: None,
            cut: (0, 0, 0),
            slowed: (0, 1.0),
            lost_at: None,
            seed: 1,
        }
    }
}

const ROUTES: [&str; 2] = ["chat", "digest"];
const REPORT_INTERVAL: Millis = 200;

impl Play {
    fn run(&self) -> Played {
        let mut rng = Rng(self.seed);
        let order = order(RolloutState::Running);
        let mut exposures: Vec<Exposure> =
            (0..self.daemons).map(|_| Exposure::new(rng.next())).collect();
        let mut outcomes = vec![ServiceOutcomes::default(); self.daemons];
        let mut plan = Plan::default();
        let mut fraction = 0.0;
        let mut played = Played { end: None, total: 0, new: 0, late: 0 };
        let (mut bad_answers, mut fiftieth_at) = (0, None);
        for now in 0..DURATION + END_TIME {
            if self.lost_at == Some(now) {
                plan = Plan::default();
            }
            let has_decider = self.lost_at.is_none_or(|at| now < at || now >= at + LEASE_MS + 400);
            if now % REPORT_INTERVAL == 0 && has_decider && played.end.is_none() {
                match plan.decide(now, now, DURATION, MAX_FRACTION) {
                    Decision::Continue(next) => fraction = next,
                    Decision::Done => (fraction, played.end) = (1.0, Some(RolloutState::Done)),
                    Decision::RollBack { .. } => {
                        (fraction, played.end) = (0.0, Some(RolloutState::RolledBack));
                    }
                }
            }
            for _ in 0..self.requests_at(now) {
                let daemon = (rng.next() * self.daemons as f64) as usize;
                let route = usize::from(rng.next() < 0.5);
                let takes_new = is_new(exposures[daemon].versions(now, &order, true));
                let is_counted = now < DURATION;
                played.total += u32::from(is_counted);
                let has_fault = takes_new
                    && now >= self.bad_from
                    && fraction >= self.bad_above
                    && self.bad_route.is_none_or(|bad| bad == route);
                let version = if has_fault { &self.new } else { &self.old };
                let is_bad = rng.next() < version.fails;
                if takes_new {
                    played.new += u32::from(is_counted);
                    bad_answers += u32::from(is_bad || (has_fault && self.new.slower > 2.0));
                    if bad_answers >= 50 {
                        let since = *fiftieth_at.get_or_insert(now);
                        played.late += u32::from(now > since + 5_000);
                    }
                }
                let route = outcomes[daemon].routes.entry(Name::from(ROUTES[route])).or_default();
                let outcomes: &mut Outcomes =
                    if takes_new { &mut route.new } else { &mut route.old };
                if is_bad {
                    outcomes.record_failure();
                } else {
                    let (slowed_from, factor) = self.slowed;
                    let load = if now >= slowed_from { factor } else { 1.0 };
                    let millis = 40.0 * (0.5 + rng.next()) * version.slower * load;
                    outcomes.record_answer(Some(millis));
                }
            }
            if now % REPORT_INTERVAL == REPORT_INTERVAL / 2 && has_decider {
                for daemon in 0..self.daemons {
                    let (cut, from, to) = self.cut;
                    if daemon < cut && (from..to).contains(&now) {
                        continue;
                    }
                    let from = Incarnation(daemon as u64 + 1);
                    plan.record_report(now, from, outcomes[daemon].clone());
                    exposures[daemon].set_fraction(now, fraction);
                }
            }
        }
        played
    }

    /// Returns the number of requests in this millisecond.
    fn requests_at(&self, now: Millis) -> usize {
        let (now, rate) = (now as usize, self.per_second);
        (now + 1) * rate / 1_000 - now * rate / 1_000
    }
}

impl Played {
    /// Checks the bound on a version that is bad.
    fn assert_bounded(&self) {
        let allowed = f64::from(self.total) * MAX_FRACTION + 50.0;
        assert!(f64::from(self.new) <= allowed, "{self:?}, {allowed} allowed");
        assert_eq!(self.late, 0, "{self:?}");
    }
}

const FAILING: Version = Version { fails: 0.4, slower: 1.0 };

#[parameterized(
    at_once = { Play { new: FAILING, ..Play::default() } },
    all_requests = { Play { new: Version { fails: 1.0, slower: 1.0 }, ..Play::default() } },
    few_requests = { Play { new: Version { fails: 0.05, slower: 1.0 }, ..Play::default() } },
    later = { Play { new: FAILING, bad_from: 7_000, ..Play::default() } },
    under_load = { Play { new: FAILING, bad_above: 0.1, ..Play::default() } },
    when_it_gets_all = { Play { new: FAILING, bad_above: 0.9, ..Play::default() } },
    on_one_route = { Play { new: FAILING, bad_route: Some(1), ..Play::default() } },
    slow = { Play { new: Version { fails: 0.0, slower: 3.0 }, ..Play::default() } },
    slow_while_all_speed_up = { Play { new: Version { fails: 0.0, slower: 3.0 }, slowed: (5_000, 0.2), ..Play::default() } },
    slow_under_load = { Play { new: Version { fails: 0.0, slower: 2.5 }, bad_above: 0.1, ..Play::default() } },
    decider_lost_early = { Play { new: FAILING, lost_at: Some(500), ..Play::default() } },
    decider_lost_late = { Play { new: FAILING, bad_from: 9_700, lost_at: Some(9_800), ..Play::default() } },
)]
fn a_bad_version_is_rolled_back_within_its_bound(play: Play) {
    let played = play.run();
    assert_eq!(played.end, Some(RolloutState::RolledBack), "{played:?}");
    played.assert_bounded();
}

#[parameterized(
    alone = { Play::default() },
    small_fleet = { Play { daemons: 6, per_second: 100, ..Play::default() } },
    large_fleet = { Play { daemons: 984, per_second: 650, ..Play::default() } },
    while_all_fail_often = { Play { old: Version { fails: 0.2, slower: 1.0 }, new: Version { fails: 0.2, slower: 1.0 }, ..Play::default() } },
    decider_lost = { Play { lost_at: Some(4_000), ..Play::default() } },
    all_slow_down_in_a_stage = { Play { slowed: (9_000, 3.0), ..Play::default() } },
    all_slow_down_when_it_gets_most = { Play { slowed: (10_850, 3.0), ..Play::default() } },
)]
fn a_good_version_is_done_before_its_time_is_over(play: Play) {
    assert_eq!(play.run().end, Some(RolloutState::Done));
}

#[test]
fn hardly_any_good_version_is_rolled_back() {
    let wrong = (0..200).filter(|seed| {
        let play = Play { seed: *seed, ..Play::default() };
        play.run().end != Some(RolloutState::Done)
    });
    assert!(wrong.count() <= 1);
}

#[test]
fn a_version_that_was_not_seen_to_work_is_rolled_back_at_the_end() {
    let mut plan = Plan::default();
    assert!(matches!(plan.decide(0, 0, DURATION, MAX_FRACTION), Decision::Continue(_)));
    assert!(matches!(plan.decide(11_900, 11_900, DURATION, MAX_FRACTION), Decision::Continue(_)));
    let end = plan.decide(12_000, 12_000, DURATION, MAX_FRACTION);
    assert_eq!(end, Decision::RollBack { route: None, fault: None });
}

#[test]
fn a_fault_names_its_route_and_figures() {
    let mut outcomes = ServiceOutcomes::default();
    let route = outcomes.routes.entry(Name::from("chat")).or_default();
    (0..100).for_each(|_| route.old.record_answer(Some(10.0)));
    (0..10).for_each(|_| route.new.record_failure());
    let (route, fault) = outcomes.fault().expect("a fault");
    assert_eq!(route, Some(Name::from("chat")));
    assert_eq!(fault, Fault::Fails { failed: 10, answers: 10 });
    assert_eq!(fault.to_string(), "10 of 10 requests failed");
}

#[test]
fn a_lease_is_taken_over_only_after_it_was_seen_unchanged_for_its_duration() {
    let (mut holder, mut other) = (Lease::default(), Lease::default());
    holder.record_read(0, None);
    assert_eq!(holder.claimable(0), Some(0), "there is no record yet");
    holder.record_written(0, 11, 1);
    assert!(holder.is_held(100));
    other.record_read(100, Some((11, 1)));
    assert_eq!(other.claimable(100), None);
    holder.record_written(900, 12, 1);
    other.record_read(2_050, Some((12, 1)));
    assert_eq!(other.claimable(2_100), None, "it was renewed");
    assert_eq!(other.claimable(2_050 + LEASE_MS), Some(12));
    assert!(!holder.is_held(900 + LEASE_MS), "it ended before by the holder's clock");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Whatever is cut off or lost, and whenever the version turns bad, it gets no more than its
    /// bound, from all daemons together.
    #[test]
    fn no_bad_version_exceeds_its_bound(
        daemons in 1_usize..200,
        per_second in 200_usize..1_000,
        fails in 0.1_f64..1.0,
        bad_from in 0_u64..9_000,
        cut in 0_usize..200,
        cut_at in 0_u64..DURATION,
        cut_for in 0_u64..DURATION,
        lost_at in prop::option::of(0_u64..DURATION),
        seed in any::<u64>(),
    ) {
        let new = Version { fails, slower: 1.0 };
        let cut = (cut, cut_at, cut_at + cut_for);
        let play = Play { daemons, per_second, new, bad_from, cut, lost_at, seed, ..Play::default() };
        let played = play.run();
        let allowed = f64::from(played.total) * MAX_FRACTION + 50.0;
        prop_assert!(f64::from(played.new) <= allowed, "{:?}", played);
        prop_assert_eq!(played.late, 0);
    }
}
