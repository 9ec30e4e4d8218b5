//! Counts of requests that daemons report to the owner of a budget, which protects it for more
//! urgent ones.

mod common;

use bankcove_core::holder::{DrawTerms, Holder, PrefetchScope, ProtectionTerms, TokenRequest};
use bankcove_core::{Incarnation, Millis, Tokens};
use common::budget;

const OWNER: Incarnation = Incarnation(1);
const HOST: Incarnation = Incarnation(2);
const ROW: Tokens = 100_000_000;
const URGENT: Tokens = 1_000;

/// Interval of the requests: 20 a second.
const INTERVAL_MS: Millis = 50;

fn protection(horizon_s: f64) -> ProtectionTerms {
    ProtectionTerms {
        horizon_s,
        outage_horizon_s: 11.0,
        is_store_unavailable: false,
        daemons: 1.0,
        row_tokens: ROW,
        row_version: 1,
    }
}

fn draw_terms() -> DrawTerms {
    DrawTerms { prefetch: PrefetchScope::LeftToOwner, held_ahead: 0.0, ..common::terms(ROW, 295) }
}

/// Returns a host that has counted urgent requests for 10 s, and its token request.
fn reporting_host() -> (Holder, TokenRequest) {
    let mut host = Holder::new(HOST);
    for now in (0..10_000).step_by(INTERVAL_MS as usize) {
        host.count_request(&budget(), 0, URGENT, now);
    }
    let request = host.token_request(&budget(), Some(OWNER), 0, &draw_terms(), 10_000);
    (host, request)
}

fn forecast_rate(owner: &Holder, now: Millis) -> f64 {
    owner.forecast(&budget(), now).first().map_or(0.0, |rank| rank.requests_per_s)
}

/// Guards against a forecast that is a multiple of the real rate: counts repeated after lost
/// answers, or gathered for seconds and reported at once.
#[test]
fn a_report_counts_once_and_for_the_time_in_which_it_was_gathered() {
    let (mut host, mut request) = reporting_host();
    let mut owner = Holder::new(OWNER);
    for repeat in 0..5 {
        let now = 10_000 + repeat * 100;
        owner.check_token_request(&mut request, &protection(60.0), now).expect("no demand");
    }
    let rate = forecast_rate(&owner, 10_400);
    assert!((18.0..22.0).contains(&rate), "{rate} a second in place of 20");
    // Answered counts are not sent again; later ones are.
    host.record_protection(&request, None, 10_000);
    assert!(host.usage_report(&budget(), 10_500).totals.is_empty());
    host.count_request(&budget(), 0, URGENT, 10_600);
    let report = host.usage_report(&budget(), 10_700);
    assert_eq!(report.totals[0].requests - report.answered[0].requests, 1);
}

/// Guards against memory kept for budgets that are not used any more, and against an owner that
/// ignores a daemon which has forgotten its counts and begins anew.
#[test]
fn counts_of_an_idle_budget_are_forgotten() {
    let (mut host, mut request) = reporting_host();
    let mut owner = Holder::new(OWNER);
    owner.check_token_request(&mut request, &protection(60.0), 10_000).expect("no demand");
    host.forget_idle_usage(100_000);
    assert_eq!(host.forecast_age(&budget(), 100_000), Some(90_050));
    host.forget_idle_usage(200_000);
    assert_eq!(host.forecast_age(&budget(), 200_000), None);
    for now in (200_000..204_000).step_by(INTERVAL_MS as usize) {
        host.count_request(&budget(), 0, URGENT, now);
    }
    let mut request = host.token_request(&budget(), Some(OWNER), 0, &draw_terms(), 204_000);
    owner.check_token_request(&mut request, &protection(60.0), 204_000).expect("no demand");
    let rate = forecast_rate(&owner, 204_000);
    assert!(rate > 5.0, "{rate} a second");
}

/// Guards against a new owner without a forecast.
#[test]
fn the_next_owner_learns_the_rates_from_the_next_report() {
    let (mut host, request) = reporting_host();
    host.record_protection(&request, None, 10_000);
    for now in (10_000..12_000).step_by(INTERVAL_MS as usize) {
        host.count_request(&budget(), 0, URGENT, now);
    }
    let mut request = host.token_request(&budget(), None, 0, &draw_terms(), 12_000);
    let mut next = Holder::new(Incarnation(3));
    next.check_token_request(&mut request, &protection(60.0), 12_000).expect("no demand");
    let rate = forecast_rate(&next, 12_000);
    assert!((8.0..22.0).contains(&rate), "{rate} a second in place of 20");
}
