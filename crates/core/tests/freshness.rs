//! Age of a daemon's view, read from the store or received from peers.

use bankcove_core::freshness::{Freshness, unchanged_since};

#[test]
fn the_age_of_a_view_is_that_of_its_oldest_part() {
    let mut view = Freshness::default();
    assert_eq!(view.age(1_000), None);
    view.record_table_read(1_000);
    assert_eq!(view.age(1_000), None);
    view.record_servers_read(3_000);
    assert_eq!(view.age(3_500), Some(2_500));
    view.record_table_read(3_400);
    assert_eq!(view.age(3_500), Some(500));
}

#[test]
fn a_daemon_with_all_versions_of_a_peer_is_as_current_as_the_peer() {
    let mut view = Freshness::default();
    view.record_peer_sync(10_000, 400);
    assert_eq!(view.age(10_000), Some(400));
    // An older view reported by another peer changes nothing.
    view.record_peer_sync(10_100, 2_000);
    assert_eq!(view.age(10_100), Some(500));
}

#[test]
fn a_view_that_was_never_received_is_older_than_any_limit() {
    let mut view = Freshness::default();
    assert!(view.is_older_than(1_000_000, 10));
    view.record_peer_sync(10, 0);
    assert!(!view.is_older_than(100, 110));
    assert!(view.is_older_than(100, 111));
}

/// Guards against a daemon that has just started and takes a peer's old view for one as recent as
/// its own start. It told others that age, who then waited for news that they should have read.
#[test]
fn a_view_may_be_older_than_the_daemon() {
    let mut view = Freshness::new(true);
    view.record_peer_sync(4, 2_528);
    assert_eq!(view.age(42), Some(2_566));
    assert!(view.is_older_than(2_500, 42));
}

/// Guards against a response without changes that was delayed on its way and counted as new: a
/// change that the store accepted meanwhile was not noticed for 3.1 s.
#[test]
fn a_response_without_changes_is_no_newer_than_the_wait_of_the_store() {
    let (wait_ms, longest_ms) = (1_500, 2_500);
    assert_eq!(unchanged_since(1_000, 2_504, wait_ms, longest_ms), 2_500);
    assert_eq!(unchanged_since(1_000, 3_400, wait_ms, longest_ms), 2_500, "delayed by 0.9 s");
    assert_eq!(unchanged_since(1_000, 1_200, wait_ms, longest_ms), 1_200, "answered early");
    assert_eq!(unchanged_since(1_000, 60_000, wait_ms, longest_ms), 1_000, "after a suspension");
}
