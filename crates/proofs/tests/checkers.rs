//! Each checker accepts a valid history and fails on one that violates its guarantee.

use bankcove_core::bill::Bill;
use bankcove_core::request_log::{Entry, Segment};
use bankcove_core::shard::Shard;
use bankcove_core::{AttemptId, Incarnation, Name, RequestHash};
use bankcove_proofs::caller::{Attempt, AttemptOutcome};
use bankcove_proofs::check;
use bankcove_standins::engine::RunRecord;
use bankcove_standins::service::CallRecord;

fn request_of(key: &str) -> RequestHash {
    RequestHash::of(&Name::from("dispatch"), key)
}

fn run(attempt: &str, output_tokens: u64) -> RunRecord {
    RunRecord {
        run: "run-1".to_owned(),
        attempt: attempt.to_owned(),
        attached: Vec::new(),
        prompt_tokens: 10,
        output_tokens,
        ended: true,
        cancelled: false,
        at_ms: 0,
    }
}

fn attempt(key: &str, outcome: AttemptOutcome) -> Attempt {
    let (attempt_id, run_id) = (Some("a-1".to_owned()), Some("run-1".to_owned()));
    Attempt { key: key.to_owned(), attempt_id, run_id, outcome }
}

fn done(text: &str, output_tokens: u64) -> AttemptOutcome {
    AttemptOutcome::Done { text: text.to_owned(), output_tokens }
}

fn not_run() -> AttemptOutcome {
    AttemptOutcome::NotRun { code: "budget_short".to_owned(), retry_after_ms: None }
}

fn bill(key: &str) -> Bill {
    let attempt = AttemptId { incarnation: Incarnation(1), sequence: 1 };
    let budget = Name::from("main");
    Bill { request: request_of(key), attempt, budget, prompt_tokens: 1, output_tokens: 1 }
}

#[test]
fn overspend_is_found() {
    assert_eq!(check::spend_within_budget(&[run("a", 90)], 0, 100), Ok(100));
    assert!(check::spend_within_budget(&[run("a", 91)], 0, 100).is_err());
    assert!(check::spend_within_budget(&[run("a", 90)], 5, 100).is_err());
}

#[test]
fn a_grant_beyond_the_budget_is_found() {
    let mut shard = Shard::default();
    let ledger = shard.ledger(&Name::from("main"));
    ledger.update_row(100, 1);
    ledger.grant(Incarnation(1), "127.0.0.1:1", 100);
    assert!(check::grants_within_budgets(std::slice::from_ref(&shard)).is_ok());
    shard.ledger(&Name::from("main")).grant(Incarnation(2), "127.0.0.1:2", 1);
    assert!(check::grants_within_budgets(&[shard]).is_err());
}

#[test]
fn a_duplicate_a_missing_and_an_unknown_bill_are_found() {
    let answered = [attempt("k", done("", 0))];
    assert!(check::billed_once(&answered, &[bill("k")], request_of).is_ok());
    assert!(check::billed_once(&answered, &[bill("k"), bill("k")], request_of).is_err());
    assert!(check::billed_once(&answered, &[], request_of).is_err());
    assert!(check::billed_once(&answered, &[bill("k"), bill("z")], request_of).is_err());
}

#[test]
fn a_gap_a_duplicate_and_a_foreign_chunk_are_found() {
    let complete = "run-1:0 run-1:1 ";
    assert_eq!(check::responses_complete(&[attempt("k", done(complete, 2))]), Ok(1));
    for bad in ["run-1:1 ", "run-1:0 run-1:0 run-1:1 ", "run-1:0 other:1 ", "run-1:0 "] {
        assert!(check::responses_complete(&[attempt("k", done(bad, 2))]).is_err(), "{bad}");
    }
}

#[test]
fn an_attempt_answered_not_run_that_ran_is_found() {
    let outcome = [attempt("k", not_run())];
    assert_eq!(check::not_run_never_executed(&outcome, &[run("a-2", 1)], &[]), Ok(1));
    assert!(check::not_run_never_executed(&outcome, &[run("a-1", 1)], &[]).is_err());
    let mut attached = run("a-2", 1);
    attached.attached.push("a-1".to_owned());
    assert!(check::not_run_never_executed(&outcome, &[attached], &[]).is_err());
    let call = CallRecord {
        run: "r".to_owned(),
        attempt: "a-1".to_owned(),
        method: "POST".to_owned(),
        path: "/orders".to_owned(),
        body: String::new(),
        at_ms: 0,
    };
    assert!(check::not_run_never_executed(&outcome, &[], &[call]).is_err());
}

#[test]
fn a_repeated_run_id_is_found() {
    assert_eq!(check::at_most_once(["a", "b"].into_iter()), Ok(2));
    assert!(check::at_most_once(["a", "b", "a"].into_iter()).is_err());
}

#[test]
fn a_decreasing_revision_is_found() {
    let line = |revision: u64| format!("{{\"msg\":\"table adopted\",\"revision\":{revision}}}\n");
    let serving = "{\"msg\":\"serving\"}\n";
    assert_eq!(check::revisions_increase(&(line(1) + &line(3))), Ok(2));
    assert!(check::revisions_increase(&(line(3) + &line(2))).is_err());
    assert_eq!(check::revisions_increase(&(line(3) + serving + &line(2))), Ok(2));
}

#[test]
fn claims_are_read_from_the_log() {
    let attempt = AttemptId { incarnation: Incarnation(1), sequence: 1 };
    let claim = Entry::Claim { request: request_of("k"), attempt };
    let segment = Segment { at: 0, window_start: 0, entries: vec![claim] };
    assert!(check::claimed_requests(&[segment]).contains(&request_of("k").to_string()));
}
