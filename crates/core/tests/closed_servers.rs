//! Servers that leave or rest: what one daemon remembers, and what the router makes of it.

use bankcove_core::crashes::ServerStart;
use bankcove_core::hints::{Closed, LeavingFact, LeavingStarts, Rests};
use bankcove_core::router::{LoadReport, Router, ServerView};
use bankcove_core::table::{Server, Table};
use bankcove_core::{Millis, Name};
use serde_json::json;

/// Longer than a start that nobody lists is remembered.
const LONG: Millis = 3_600_000;

fn start(name: &str, started_ms: Millis) -> ServerStart {
    ServerStart { name: Name::from(name), started_ms }
}

fn fact(server: &ServerStart, age_ms: Millis) -> LeavingFact {
    LeavingFact { server: server.clone(), age_ms }
}

#[test]
fn a_start_leaves_for_good_and_another_one_does_not() {
    let mut leaving = LeavingStarts::default();
    assert!(leaving.add(1_000, &start("a", 7), 0));
    assert!(!leaving.add(2_000, &start("a", 7), 0), "it is known");
    leaving.forget_old(LONG, |_| true);
    assert!(leaving.contains(&start("a", 7)), "while it is listed, no time ends it");
    assert!(!leaving.contains(&start("a", 8)));
}

#[test]
fn a_start_is_forgotten_some_time_after_it_is_no_longer_listed_and_not_at_once() {
    let mut leaving = LeavingStarts::default();
    leaving.add(0, &start("a", 7), 0);
    leaving.forget_old(60_000, |_| false);
    assert!(leaving.contains(&start("a", 7)), "a list that lags may bring it back");
    leaving.forget_old(LONG, |_| false);
    assert!(leaving.is_empty());
    assert_eq!(leaving.digest(), 0);
}

#[test]
fn what_was_forgotten_is_not_brought_back_by_peers_unless_it_is_listed() {
    let mut leaving = LeavingStarts::default();
    let old = fact(&start("a", 7), LONG);
    assert!(leaving.merge(LONG, std::slice::from_ref(&old), |_| false).is_empty());
    assert_eq!(leaving.merge(LONG, std::slice::from_ref(&old), |_| true), [old]);
}

#[test]
fn daemons_that_know_the_same_starts_have_the_same_digest_whatever_the_order() {
    let (mut one, mut other) = (LeavingStarts::default(), LeavingStarts::default());
    let facts = [fact(&start("a", 1), 5), fact(&start("b", 2), 900), fact(&start("a", 2), 0)];
    one.merge(1_000, &facts, |_| true);
    let told = one.facts(4_000, usize::MAX, 1);
    assert_eq!(other.merge(77_000, &told, |_| true).len(), 3);
    assert_eq!(one.digest(), other.digest());
    assert!(other.merge(78_000, &told, |_| true).is_empty(), "nothing is new the second time");
}

#[test]
fn a_shorter_rest_does_not_end_a_longer_one() {
    let (mut rests, server) = (Rests::default(), start("a", 7));
    assert_eq!(rests.observe(1_000, &server, 5_000), Some(6_000));
    assert_eq!(rests.observe(2_000, &server, 1_000), None);
    assert_eq!(rests.observe(3_000, &server, 4_000), Some(7_000));
    assert_eq!((rests.end(&server), rests.end(&start("a", 8))), (7_000, 0));
    rests.forget_old(7_000, |_| true);
    assert!(rests.is_empty());
}

#[test]
fn an_endless_rest_lasts_until_the_start_is_gone() {
    let (mut rests, server) = (Rests::default(), start("a", 7));
    rests.observe(1_000, &server, Millis::MAX);
    rests.forget_old(LONG, |_| true);
    assert_eq!(rests.end(&server), Millis::MAX);
    rests.forget_old(LONG, |_| false);
    assert!(rests.is_empty());
}

#[test]
fn the_gate_tells_which_word_closes_a_server() {
    let mut router = Router::default();
    let server = start("a", 7);
    assert_eq!(router.check_open(0, &server), Ok(()));
    assert!(router.observe_rest(1_000, &server, 3_000));
    assert_eq!(router.check_open(1_500, &server), Err(Closed::Resting { left_ms: 2_500 }));
    assert_eq!(router.check_open(4_000, &server), Ok(()));
    assert!(router.observe_leaving(5_000, &server).is_some());
    assert_eq!(router.check_open(LONG, &server), Err(Closed::Leaving));
    assert_eq!(router.check_open(LONG, &start("a", 8)), Ok(()));
}

fn engine() -> Router {
    let rows = json!({"servers": [{"name": "a", "hall": "hall-1", "address": "10.0.0.1:1",
                                   "kind": "model", "models": ["m"]}]});
    let mut router = Router::default();
    router.adopt(&serde_json::from_value::<Table>(rows).expect("a table"));
    router
}

fn report(started_ms: Millis) -> LoadReport {
    LoadReport { running: 0, waiting: 0, leaving: false, started_ms }
}

#[test]
fn an_engine_of_the_operators_table_leaves_until_its_load_report_tells_of_another_start() {
    let (mut router, name) = (engine(), Name::from("a"));
    // The first answer may come before the first load report.
    router.observe_leaving(1_000, &start("a", 0));
    router.record_load_report(2_000, &name, report(70));
    assert_eq!(router.check_open(2_000, &start("a", 70)), Err(Closed::Leaving));
    assert_eq!(router.check_open(2_000, &start("a", 0)), Err(Closed::Leaving));
    router.record_load_report(3_000, &name, report(70));
    assert!(
        !router.is_current_and_staying(3_000, &name, 0),
        "a report that says otherwise undoes nothing"
    );
    router.record_load_report(4_000, &name, report(90));
    assert_eq!(router.check_open(4_000, &start("a", 0)), Ok(()));
    assert!(router.is_current_and_staying(4_000, &name, 0));
}

#[test]
fn a_table_that_is_adopted_again_keeps_what_was_said() {
    let (mut router, name) = (engine(), Name::from("a"));
    router.record_load_report(1_000, &name, report(70));
    router.observe_leaving(2_000, &start("a", 70));
    let rows = json!({"servers": []});
    let empty: Table = serde_json::from_value(rows).expect("a table");
    router.adopt(&empty);
    router.adopt(&Table { servers: table_of(&engine()), ..empty });
    router.record_load_report(3_000, &name, report(70));
    assert!(
        !router.is_current_and_staying(3_000, &name, 0),
        "a list that lags brings no start back"
    );
}

fn table_of(router: &Router) -> Vec<Server> {
    let row = |view: &ServerView| {
        json!({"name": view.name, "hall": view.hall, "address": view.address,
               "kind": "model", "models": ["m"]})
    };
    let rows = router.servers().iter().map(row);
    rows.map(|row| serde_json::from_value(row).expect("a row")).collect()
}
