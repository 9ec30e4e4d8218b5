//! Admission control for the link of a host: reservations by priority rank.

use bankcove_core::link::{Link, Traffic};

/// Returns a link of 1 MB/s, of which four fifths are usable: 800 bytes per millisecond.
fn link() -> Link {
    Link::new(8.0)
}

fn traffic(bytes: u64) -> Traffic {
    Traffic { bytes, ..Traffic::default() }
}

#[test]
fn a_full_link_refuses_the_lowest_rank_first() {
    let mut link = link();
    assert!(link.reserve(traffic(800 * 700), 2, 0));
    assert!(!link.reserve(traffic(1), 2, 0));
    assert!(link.reserve(traffic(800 * 400), 1, 0));
    assert!(!link.reserve(traffic(1), 1, 0));
    assert!(link.reserve(traffic(800 * 500), 0, 0));
    assert!(!link.reserve(traffic(1), 0, 0));
}

#[test]
fn the_backlog_shrinks_as_time_passes() {
    let mut link = link();
    assert!(link.reserve(traffic(800 * 2_000), 0, 0));
    assert!(!link.reserve(traffic(1), 0, 400));
    assert!(link.reserve(traffic(1), 0, 600));
}

#[test]
fn a_request_that_sends_less_than_expected_releases_the_rest_of_its_reservation() {
    let mut link = link();
    let expected = traffic(800 * 2_000);
    assert!(link.reserve(expected, 0, 0));
    link.settle(expected, traffic(800 * 100), 100);
    assert!(link.reserve(traffic(1), 2, 100));
}

/// Guards against a request whose body was refused unread, and which then keeps others out.
#[test]
fn a_request_whose_body_is_not_sent_releases_its_reservation() {
    let mut link = link();
    let expected = Traffic { body_bytes: 99_999_999_999, bytes: 99_999_999_999, chunks: 1 };
    assert!(link.reserve(expected, 0, 0));
    link.settle(expected, traffic(800), 1);
    assert_eq!(link.body_backlog_ms(1), 0.0);
    assert!(link.reserve(traffic(1), 2, 1));
}

#[test]
fn chunks_cost_more_than_their_bytes() {
    let mut link = link();
    let many = Traffic { chunks: 20_000, ..Traffic::default() };
    assert!(link.reserve(many, 0, 0));
    assert!(link.backlog_ms(0) > 1_000.0);
}
