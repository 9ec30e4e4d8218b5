//! Leaving servers and rest periods: what a daemon stores, and how the router applies it.

use bankcove_core::crashes::ServerInstance;
use bankcove_core::hints::{Closed, LeavingFact, LeavingServers, RestPeriods};
use bankcove_core::rollout::Versions;
use bankcove_core::router::{Homes, LoadReport, Router, RoutingRequest, ServerView};
use bankcove_core::table::{Server, ServerState, Table};
use bankcove_core::{Millis, Name};
use serde_json::json;

/// A time, or the age of a fact, after the retention time of unlisted instances.
const AFTER_RETENTION_MS: Millis = 3_600_000;

fn instance(name: &str, started_ms: Millis) -> ServerInstance {
    ServerInstance { name: Name::from(name), started_ms }
}

fn fact(server: &ServerInstance, age_ms: Millis) -> LeavingFact {
    LeavingFact { server: server.clone(), age_ms }
}

#[test]
fn a_leaving_instance_stays_leaving_and_a_later_instance_is_not_leaving() {
    let mut leaving = LeavingServers::default();
    assert!(leaving.add(1_000, &instance("a", 7), 0));
    assert!(!leaving.add(2_000, &instance("a", 7), 0), "the instance is already known");
    leaving.remove_expired(AFTER_RETENTION_MS, |_| true);
    assert!(leaving.contains(&instance("a", 7)), "a listed instance never expires");
    assert!(!leaving.contains(&instance("a", 8)));
}

#[test]
fn an_unlisted_instance_is_removed_only_after_the_retention_time() {
    let mut leaving = LeavingServers::default();
    leaving.add(0, &instance("a", 7), 0);
    leaving.remove_expired(60_000, |_| false);
    assert!(leaving.contains(&instance("a", 7)), "a lagging list may contain it again");
    leaving.remove_expired(AFTER_RETENTION_MS, |_| false);
    assert!(leaving.is_empty());
    assert_eq!(leaving.digest(), 0);
}

#[test]
fn a_removed_instance_is_not_restored_by_peers_unless_it_is_listed() {
    let mut leaving = LeavingServers::default();
    let old = fact(&instance("a", 7), AFTER_RETENTION_MS);
    assert!(leaving.merge(AFTER_RETENTION_MS, std::slice::from_ref(&old), |_| false).is_empty());
    assert_eq!(leaving.merge(AFTER_RETENTION_MS, std::slice::from_ref(&old), |_| true), [old]);
}

#[test]
fn daemons_that_know_the_same_instances_have_the_same_digest_in_any_order() {
    let (mut one, mut other) = (LeavingServers::default(), LeavingServers::default());
    let facts =
        [fact(&instance("a", 1), 5), fact(&instance("b", 2), 900), fact(&instance("a", 2), 0)];
    one.merge(1_000, &facts, |_| true);
    let sent = one.facts(4_000, usize::MAX, 1);
    assert_eq!(other.merge(77_000, &sent, |_| true).len(), 3);
    assert_eq!(one.digest(), other.digest());
    assert!(other.merge(78_000, &sent, |_| true).is_empty(), "no fact is new the second time");
}

#[test]
fn a_shorter_rest_does_not_end_a_longer_one() {
    let (mut rests, server) = (RestPeriods::default(), instance("a", 7));
    assert_eq!(rests.record(1_000, &server, 5_000), Some(6_000));
    assert_eq!(rests.record(2_000, &server, 1_000), None);
    assert_eq!(rests.record(3_000, &server, 4_000), Some(7_000));
    assert_eq!((rests.end(&server), rests.end(&instance("a", 8))), (7_000, 0));
    rests.remove_expired(7_000, |_| true);
    assert!(rests.is_empty());
}

#[test]
fn an_endless_rest_lasts_until_the_instance_is_unlisted() {
    let (mut rests, server) = (RestPeriods::default(), instance("a", 7));
    rests.record(1_000, &server, Millis::MAX);
    rests.remove_expired(AFTER_RETENTION_MS, |_| true);
    assert_eq!(rests.end(&server), Millis::MAX);
    rests.remove_expired(AFTER_RETENTION_MS, |_| false);
    assert!(rests.is_empty());
}

#[test]
fn the_router_returns_the_reason_for_which_a_server_is_closed() {
    let mut router = Router::default();
    let server = instance("a", 7);
    assert_eq!(router.check_open(0, &server), Ok(()));
    assert!(router.record_rest(1_000, &server, 3_000));
    assert_eq!(router.check_open(1_500, &server), Err(Closed::Resting { left_ms: 2_500 }));
    assert_eq!(router.check_open(4_000, &server), Ok(()));
    assert!(router.record_leaving(5_000, &server).is_some());
    assert_eq!(router.check_open(AFTER_RETENTION_MS, &server), Err(Closed::Leaving));
    assert_eq!(router.check_open(AFTER_RETENTION_MS, &instance("a", 8)), Ok(()));
}

fn router_with_engine() -> Router {
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
fn an_engine_of_the_table_stays_leaving_until_a_load_report_of_another_instance() {
    let (mut router, name) = (router_with_engine(), Name::from("a"));
    // The first response may arrive before the first load report.
    router.record_leaving(1_000, &instance("a", 0));
    router.record_load_report(2_000, &name, report(70));
    assert_eq!(router.check_open(2_000, &instance("a", 70)), Err(Closed::Leaving));
    assert_eq!(router.check_open(2_000, &instance("a", 0)), Err(Closed::Leaving));
    router.record_load_report(3_000, &name, report(70));
    assert!(
        !router.is_current_and_not_leaving(3_000, &name, 0),
        "a report without leaving changes nothing"
    );
    router.record_load_report(4_000, &name, report(90));
    assert_eq!(router.check_open(4_000, &instance("a", 0)), Ok(()));
    assert!(router.is_current_and_not_leaving(4_000, &name, 0));
}

#[test]
fn leaving_is_kept_when_a_server_is_removed_from_the_table_and_added_again() {
    let (mut router, name) = (router_with_engine(), Name::from("a"));
    router.record_load_report(1_000, &name, report(70));
    router.record_leaving(2_000, &instance("a", 70));
    let rows = json!({"servers": []});
    let empty: Table = serde_json::from_value(rows).expect("a table");
    router.adopt(&empty);
    router.adopt(&Table { servers: table_of(&router_with_engine()), ..empty });
    router.record_load_report(3_000, &name, report(70));
    assert!(
        !router.is_current_and_not_leaving(3_000, &name, 0),
        "a lagging list does not make a leaving instance usable again"
    );
}

#[test]
fn a_server_that_the_list_drops_or_drains_after_its_choice_is_not_sent_to() {
    let mut router = router_with_engine();
    let request = RoutingRequest {
        pool: "m",
        prefix: 1,
        prompt_tokens: 0,
        shared_tokens: 0,
        hour: 0,
        seed: 1,
        tried: &[],
        homes: Homes::default(),
        versions: Versions::Any,
    };
    let choice = router.choose(0, &request).expect("a server");
    assert_eq!(router.check_choice(0, &choice), Ok(()));
    let mut rows = table_of(&router);
    rows[0].state = ServerState::Draining;
    router.adopt(&Table { servers: rows, ..Table::default() });
    assert_eq!(router.check_choice(10, &choice), Err(Closed::Unlisted), "it drains");
    router.adopt(&Table { servers: table_of(&router), ..Table::default() });
    assert_eq!(router.check_choice(20, &choice), Ok(()), "it serves again");
    router.adopt(&Table::default());
    assert_eq!(router.check_choice(30, &choice), Err(Closed::Unlisted), "it is gone");
}

fn table_of(router: &Router) -> Vec<Server> {
    let row = |view: &ServerView| {
        json!({"name": view.name, "hall": view.hall, "address": view.address,
               "kind": "model", "models": ["m"]})
    };
    let rows = router.servers().iter().map(row);
    rows.map(|row| serde_json::from_value(row).expect("a row")).collect()
}
