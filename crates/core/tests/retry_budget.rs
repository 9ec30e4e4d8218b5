//! One daemon's part of the fleet's retry budget.

use bankcove_core::Name;
use bankcove_core::retry_budget::{Allowance, RetryBudget};

const WINDOW_MS: u64 = 10_000;

fn budget(ratio: f64, extra: f64) -> RetryBudget {
    RetryBudget::new(Allowance { ratio, extra, window_ms: WINDOW_MS })
}

fn retries(budget: &mut RetryBudget, daemons: usize, now: u64) -> usize {
    let service = Name::from("plain");
    (0..1_000).take_while(|_| budget.try_retry(&service, daemons, now)).count()
}

#[test]
fn all_daemons_together_stay_within_the_allowance() {
    let allowed = 0.2 * 400.0 + 50.0;
    let mut spent = 0;
    for _ in 0..4 {
        let mut daemon_budget = budget(0.2, 50.0);
        (0..100).for_each(|_| daemon_budget.record_request(&Name::from("plain"), 0));
        spent += retries(&mut daemon_budget, 4, 0);
    }
    assert!(spent > 0 && spent as f64 <= allowed, "{spent} of {allowed}");
}

#[test]
fn retries_are_allowed_again_after_the_window() {
    let mut daemon_budget = budget(0.0, 10.0);
    let first = retries(&mut daemon_budget, 1, 0);
    assert_eq!(retries(&mut daemon_budget, 1, WINDOW_MS - 1), 0);
    assert_eq!(retries(&mut daemon_budget, 1, WINDOW_MS), first);
}

#[test]
fn services_do_not_share_their_retries() {
    let mut daemon_budget = budget(0.0, 10.0);
    retries(&mut daemon_budget, 1, 0);
    assert!(daemon_budget.try_retry(&Name::from("other"), 1, 0));
}

#[test]
fn a_new_allowance_applies_at_once() {
    let mut daemon_budget = budget(0.0, 0.0);
    assert_eq!(retries(&mut daemon_budget, 1, 0), 0);
    daemon_budget.set_allowance(Allowance { ratio: 0.0, extra: 10.0, window_ms: WINDOW_MS });
    assert!(retries(&mut daemon_budget, 1, 0) > 0);
}
