//! Protection of a budget for more urgent requests: amounts, what daemons that are not the owner
//! may spend, cached refusals.

mod common;

use bankcove_core::holder::{
    DrawTerms, Holder, HostDecision, Outlook, PrefetchScope, ProtectionState, ProtectionTerms,
    RankProtection, RequestDemand,
};
use bankcove_core::{Incarnation, Millis, Tokens};
use common::budget;
use yare::parameterized;

const OWNER: Incarnation = Incarnation(1);
const HOST: Incarnation = Incarnation(2);
const ROW: Tokens = 100_000_000;
const URGENT: Tokens = 1_000;
const LARGE: Tokens = 8_000;

/// Time for which requests arrive before a decision, 20 a second.
const COUNTED_MS: Millis = 30_000;
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

fn demand(rank: u32, tokens: Tokens) -> RequestDemand {
    RequestDemand { tokens, rank, ration_s: 0.9 }
}

fn draw_terms() -> DrawTerms {
    DrawTerms { prefetch: PrefetchScope::LeftToOwner, held_ahead: 0.0, ..common::terms(ROW, 295) }
}

/// Returns a holder with `left` tokens in the store and none held, after 20 requests a second of
/// each of these ranks and costs.
fn counted(left: Tokens, requests: &[(u32, Tokens)]) -> Holder {
    let mut holder = Holder::new(OWNER);
    holder.set_outlook(&budget(), Outlook { share: 0, left }, COUNTED_MS);
    for now in (0..COUNTED_MS).step_by(INTERVAL_MS as usize) {
        for (rank, tokens) in requests {
            holder.count_request(&budget(), *rank, *tokens, now);
        }
    }
    holder
}

/// Returns the ratio of the amount protected from a request to what is expected: the use by 20
/// requests a second in 60 s, and one standard deviation.
fn protected_ratio(holder: &Holder, rank: u32, tokens: Tokens, expected: Tokens) -> f64 {
    let requests: f64 = 20.0 * 60.0;
    let expected = expected as f64 * (requests + requests.sqrt());
    let demand = demand(rank, tokens);
    holder.protected(&budget(), &demand, &protection(60.0), COUNTED_MS) as f64 / expected
}

/// Guards against protecting more than the more urgent requests use, and against counting
/// requests of the same or less urgent ranks.
#[parameterized(
    urgent = { 0, LARGE, 0 },
    of_the_middle_rank = { 1, LARGE, 1_000 },
    least_urgent = { 2, 40_000, 6_000 },
    cheaper_than_the_middle_rank = { 2, 2_000, 1_000 },
    cheaper_than_all = { 2, 900, 0 },
    unknown_rank = { 9, 200_000, 46_000 },
    unknown_rank_of_small_requests = { 9, LARGE, 1_000 },
)]
fn expected_use_of_more_urgent_ranks_is_protected(rank: u32, tokens: Tokens, expected: Tokens) {
    let holder = counted(0, &[(0, 1_000), (1, 5_000), (2, 40_000)]);
    let amount = holder.protected(&budget(), &demand(rank, tokens), &protection(60.0), COUNTED_MS);
    if expected == 0 {
        assert_eq!(amount, 0);
    } else {
        let ratio = protected_ratio(&holder, rank, tokens, expected);
        assert!((0.9..1.1).contains(&ratio), "{amount}, {ratio} of what is expected");
    }
}

/// Guards against refusing requests for the sake of expected ones that cost about as much: kept
/// tokens were unspent in the end, and no more of the urgent requests were served.
#[parameterized(
    alike = { 1_000, 0.0 },
    three_times_as_much = { 3_000, 0.0 },
    four_times_as_much = { 4_000, 1.0 },
)]
fn only_ranks_of_much_smaller_requests_are_protected(less_urgent: Tokens, expected: f64) {
    let holder = counted(0, &[(0, URGENT), (1, less_urgent)]);
    let ratio = protected_ratio(&holder, 1, LARGE, URGENT);
    assert!((ratio - expected).abs() < 0.1, "{ratio} of what is expected");
}

/// Guards against holding tokens for a rank that sends nothing any more.
#[test]
fn nothing_is_protected_for_a_rank_that_has_stopped() {
    let holder = counted(0, &[(0, URGENT)]);
    let amount = |after_ms| {
        let now = COUNTED_MS + after_ms;
        holder.protected(&budget(), &demand(1, LARGE), &protection(60.0), now)
    };
    assert!(amount(10_000) < amount(0) / 2, "{} after 10 s, {} before", amount(10_000), amount(0));
    assert_eq!(amount(90_000), 0);
}

/// Guards against refusing requests for tokens that the forecast does not need.
#[test]
fn tokens_beyond_the_protected_amount_are_spendable() {
    let mut holder = counted(0, &[(0, URGENT), (1, LARGE)]);
    let terms = protection(60.0);
    let amount = holder.protected(&budget(), &demand(1, LARGE), &terms, COUNTED_MS);
    let mut admits = |left, rank, tokens| {
        holder.set_outlook(&budget(), Outlook { share: 0, left }, COUNTED_MS);
        holder.check_protection(&budget(), &demand(rank, tokens), &terms, COUNTED_MS)
    };
    assert_eq!(admits(amount + LARGE, 1, LARGE), Ok(()));
    let refused = admits(amount + LARGE - 1, 1, LARGE).expect_err("a token is missing");
    assert!(refused.fits && refused.protected == amount, "{refused:?}");
    assert!(refused.retry_after_ms >= 30_000);
    assert_eq!(admits(amount + LARGE - 1, 0, LARGE), Ok(()));
    assert!(!admits(LARGE - 1, 1, LARGE).expect_err("too few are left").fits);
}

/// Guards against any effect where protection is off or has nothing to protect.
#[parameterized(
    off = { 0.0, &[(0, URGENT), (1, LARGE)] },
    one_rank = { 60.0, &[(1, LARGE), (1, URGENT)] },
    less_urgent_requests_are_cheaper = { 60.0, &[(0, LARGE), (1, URGENT)] },
)]
fn requests_are_admitted_as_without_protection(horizon_s: f64, requests: &[(u32, Tokens)]) {
    let mut holder = counted(URGENT, requests);
    let terms = protection(horizon_s);
    for (rank, tokens) in requests {
        let demand = demand(*rank, *tokens);
        assert_eq!(holder.check_protection(&budget(), &demand, &terms, COUNTED_MS), Ok(()));
        let state = holder.protection_state(&budget(), &terms, COUNTED_MS).expect("a state");
        assert!(!state.holds_back(*rank), "{state:?}");
    }
}

/// Guards against requests that stay refused after a top-up until the owner happens to draw.
#[test]
fn a_raised_row_counts_before_the_next_draw() {
    let mut holder = counted(LARGE, &[(0, URGENT)]);
    holder.record_outlook_row(&budget(), ROW);
    let terms = protection(60.0);
    let demand = demand(1, LARGE);
    assert!(holder.check_protection(&budget(), &demand, &terms, COUNTED_MS).is_err());
    let raised = ProtectionTerms { row_tokens: 2 * ROW, row_version: 2, ..terms };
    assert_eq!(holder.check_protection(&budget(), &demand, &raised, COUNTED_MS), Ok(()));
}

/// Guards against counting tokens in the store that can't be drawn during an outage, and against
/// keeping the whole horizon's use from the few tokens that are held.
#[test]
fn during_an_outage_only_tokens_held_count_for_the_time_that_it_lasts() {
    let mut holder = counted(ROW, &[(0, URGENT)]);
    let terms = ProtectionTerms { is_store_unavailable: true, ..protection(60.0) };
    let outage_use = 20 * 11 * URGENT;
    let demand = demand(1, LARGE);
    holder.record_received(&budget(), HOST, outage_use);
    assert!(holder.check_protection(&budget(), &demand, &terms, COUNTED_MS).is_err());
    holder.record_received(&budget(), HOST, outage_use * 13 / 10);
    assert_eq!(holder.check_protection(&budget(), &demand, &terms, COUNTED_MS), Ok(()));
}

/// Guards against a forecast for one daemon of a small fleet, where each counts only its own.
#[test]
fn counts_of_a_small_fleet_stand_for_all_its_daemons() {
    let holder = counted(0, &[(0, URGENT)]);
    let amount = |daemons| {
        let terms = ProtectionTerms { daemons, ..protection(60.0) };
        holder.protected(&budget(), &demand(1, LARGE), &terms, COUNTED_MS) as f64
    };
    let ratio = amount(8.0) / amount(1.0);
    assert!((7.5..8.0).contains(&ratio), "{ratio}");
}

/// Guards against many times the expected use protected after one request of a rarely used rank.
#[test]
fn a_single_request_does_not_make_a_rate() {
    let mut holder = Holder::new(OWNER);
    let amount = |holder: &Holder, now| {
        holder.protected(&budget(), &demand(1, LARGE), &protection(60.0), now)
    };
    holder.count_request(&budget(), 0, URGENT, 0);
    assert_eq!(amount(&holder, 0), 0);
    // One in 30 s: two are expected, and one standard deviation.
    for now in [30_000, 60_000, 90_000] {
        holder.count_request(&budget(), 0, URGENT, now);
        let mean =
            (0..30_000).step_by(1_000).map(|after| amount(&holder, now + after)).sum::<Tokens>()
                / 30;
        assert!(mean < 4 * URGENT, "{mean} on average after the request at {now}");
    }
}

/// Guards against a retry delay that grows with each refusal, or that is shorter than a budget
/// without tokens names.
#[test]
fn a_refusal_names_the_rest_of_the_horizon() {
    let mut holder = counted(LARGE, &[(0, URGENT)]);
    let mut retry_after = |after_ms| {
        let now = COUNTED_MS + after_ms;
        let refused = holder.check_protection(&budget(), &demand(1, LARGE), &protection(60.0), now);
        refused.expect_err("it is protected").retry_after_ms
    };
    assert_eq!([0, 5_000, 14_000].map(&mut retry_after), [60_000, 55_000, 46_000]);
    assert_eq!(retry_after(24_000), 60_000);
    assert_eq!([32_000, 40_000, 48_000, 56_000].map(&mut retry_after)[3], 30_000);
}

/// Guards against daemons that take what is protected ahead of their requests.
#[test]
fn a_daemon_gets_nothing_ahead_until_it_knows_which_ranks_are_held_back() {
    let terms = protection(60.0);
    let mut owner = counted(ROW / 1_000, &[(0, URGENT), (1, LARGE)]);
    let mut request = Holder::new(HOST).token_request(&budget(), None, 0, &draw_terms(), 0);
    let mut want = |held_back_from| {
        request.want = 5_000;
        request.held_back_from = held_back_from;
        owner.check_token_request(&mut request, &terms, COUNTED_MS).expect("no demand");
        request.want
    };
    assert_eq!(want(None), 0);
    assert_eq!(want(Some(2)), 0);
    assert_eq!(want(Some(1)), 5_000);
}

/// Guards against a daemon that prefetches for requests on which the owner decides anyway.
#[test]
fn a_daemon_prefetches_only_for_ranks_that_are_not_held_back() {
    let mut host = Holder::new(HOST);
    host.record_received(&budget(), OWNER, ROW);
    for now in (0..COUNTED_MS).step_by(INTERVAL_MS as usize) {
        for (rank, tokens) in [(0, URGENT), (1, LARGE)] {
            host.count_request(&budget(), rank, tokens, now);
            let reservation = host.reserve(&budget(), tokens, now).expect("it is held");
            host.settle(reservation, tokens);
        }
    }
    let spare = host.free(&budget());
    host.transfer(&budget(), OWNER, 0, spare);
    let request = host.token_request(&budget(), Some(OWNER), 0, &draw_terms(), COUNTED_MS);
    let state = ProtectionState { held_back_from: Some(1), ..ProtectionState::default() };
    host.record_protection(&request, Some(state), COUNTED_MS);
    let held_back = host.token_request(&budget(), Some(OWNER), 0, &draw_terms(), COUNTED_MS);
    assert!(held_back.want * 8 < request.want, "{} of {}", held_back.want, request.want);
    assert!(held_back.want >= URGENT * 20, "urgent requests find tokens: {}", held_back.want);
}

/// Returns a host with `held` tokens and this last answer of the owner.
fn host_with(held: Tokens, held_back_from: Option<u32>, answered_at: Millis) -> Holder {
    let mut host = Holder::new(HOST);
    host.record_received(&budget(), OWNER, held);
    let request = host.token_request(&budget(), Some(OWNER), 0, &draw_terms(), answered_at);
    let mut state = ProtectionState { held_back_from, reachable: 100_000, ..Default::default() };
    state.amounts[0] = RankProtection { rank: 1, tokens: 60_000 };
    state.amounts[1] = RankProtection { rank: 5, tokens: 60_000 };
    host.record_protection(&request, Some(state), answered_at);
    host
}

/// Guards against spending held tokens on ranks that are held back, and against asking the owner
/// for ranks that are not.
#[parameterized(
    most_urgent = { 0, Some(1), 1_000, HostDecision::Admit },
    held_back = { 1, Some(1), 1_000, HostDecision::Ask },
    more_urgent_than_those_held_back = { 1, Some(2), 1_000, HostDecision::Admit },
    plenty_is_left = { 1, None, 1_000, HostDecision::Admit },
    rank_without_counts_at_the_owner = { 5, None, 1_000, HostDecision::Ask },
    old_answer = { 1, None, 3_000, HostDecision::Ask },
    old_answer_for_the_most_urgent = { 0, None, 3_000, HostDecision::Admit },
)]
fn what_a_daemon_may_spend_follows_from_the_last_answer(
    rank: u32,
    held_back_from: Option<u32>,
    now: Millis,
    expected: HostDecision,
) {
    let host = host_with(100_000, held_back_from, 0);
    let decision = host.decide_as_host(&budget(), &demand(rank, LARGE), &protection(60.0), now);
    assert_eq!(decision, expected);
}

/// Guards against a message to the owner for each of many refusals, and against refusals that
/// outlive a top-up, or that apply to more urgent or smaller requests.
#[test]
fn a_refusal_is_reused_for_a_second_and_ends_with_a_changed_row() {
    let mut host = host_with(0, Some(1), 0);
    let terms = protection(60.0);
    host.record_protection_refusal(&budget(), &demand(1, LARGE), 60_000, 30_000, &terms, 100);
    let decide = |rank, tokens, terms: &ProtectionTerms, now| {
        host.decide_as_host(&budget(), &demand(rank, tokens), terms, now)
    };
    let refused = HostDecision::Refuse { protected: 60_000, retry_after_ms: 30_000 };
    assert_eq!(decide(1, LARGE, &terms, 1_099), refused);
    assert_eq!(decide(2, LARGE + 1, &terms, 1_099), refused);
    assert_eq!(decide(1, LARGE - 1, &terms, 1_099), HostDecision::Ask);
    assert_eq!(decide(0, LARGE, &terms, 1_099), HostDecision::Admit);
    assert_eq!(decide(1, LARGE, &terms, 1_100), HostDecision::Ask);
    let raised = ProtectionTerms { row_tokens: 2 * ROW, row_version: 2, ..terms };
    assert_eq!(decide(1, LARGE, &raised, 1_099), HostDecision::Ask);
}

/// Guards against a host without an owner that spends all it holds on less urgent requests, or
/// none of it, and against waiting for a timeout at each request.
#[test]
fn without_an_owner_the_last_amounts_apply_until_they_are_old() {
    let terms = protection(60.0);
    // 60 of 100 thousand tokens were protected: of 20 thousand held here 12 are.
    let mut host = host_with(20_000, Some(1), 0);
    host.record_no_owner(&budget(), 500);
    let decide =
        |host: &Holder, now| host.decide_as_host(&budget(), &demand(1, LARGE), &terms, now);
    assert_eq!(decide(&host, 1_000), HostDecision::Alone);
    assert_eq!(decide(&host, 1_500), HostDecision::Ask);
    assert_eq!(host.decide_alone(&budget(), &demand(1, LARGE), &terms, 9_000), Ok(()));
    let refused = host.decide_alone(&budget(), &demand(1, LARGE + 1), &terms, 9_000);
    assert_eq!(refused.expect_err("12 thousand are protected").protected, 12_000);
    // Its own counts: 20 urgent requests a second use 220 thousand tokens in an outage.
    let now = 20_000;
    assert_eq!(host.decide_alone(&budget(), &demand(1, LARGE), &terms, now), Ok(()));
    for at in (now..now + 10_000).step_by(INTERVAL_MS as usize) {
        host.count_request(&budget(), 0, URGENT, at);
    }
    assert!(host.decide_alone(&budget(), &demand(1, LARGE), &terms, now + 10_000).is_err());
    assert_eq!(host.decide_alone(&budget(), &demand(0, LARGE), &terms, now + 10_000), Ok(()));
}

/// Guards against a ration that hands out what protection keeps.
#[test]
fn the_ration_shares_what_is_left_after_the_protected_amount() {
    let holder = counted(100_000, &[(0, URGENT)]);
    let ration = |protected| {
        holder.ration_beyond(&budget(), &demand(1, LARGE), protected, false, COUNTED_MS)
    };
    assert_eq!(ration(0), holder.ration(&budget(), 0.9, 1, COUNTED_MS));
    assert_eq!(ration(60_000), ration(0) * 4 / 10);
    assert_eq!(ration(200_000), 0);
}
