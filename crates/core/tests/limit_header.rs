//! What servers may say of their limits.

use bankcove_core::limits::{LimitHeader, RequestRate};
use yare::parameterized;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).expect("it is a rate")
}

#[parameterized(
    nothing = { "0", 0.0 },
    zero_below = { "-0", 0.0 },
    little = { "0.05", 0.05 },
    blanks = { " 1.2 ", 1.2 },
    much = { "1e9", 1e9 },
    two = { "4, 1.5", 1.5 },
    one_of_two_unreadable = { "many, 1.5", 1.5 },
)]
fn a_rate_is_read(text: &str, per_second: f64) {
    assert_eq!(LimitHeader::parse([text]), LimitHeader::Limit(rate(per_second)));
}

#[parameterized(
    word = { "many" },
    no_number = { "NaN" },
    endless = { "inf" },
    below_zero = { "-1" },
    empty = { "" },
)]
fn what_is_no_rate_is_told(text: &str) {
    assert_eq!(LimitHeader::parse([text]), LimitHeader::Malformed(text.to_owned()));
}

#[test]
fn the_lowest_of_two_headers_counts_and_no_header_says_nothing() {
    assert_eq!(LimitHeader::parse(["3", "x", "2"]), LimitHeader::Limit(rate(2.0)));
    assert_eq!(LimitHeader::parse([]), LimitHeader::Absent);
}
