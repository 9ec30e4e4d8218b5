//! Parsing of the limit headers of backend servers.

use bankcove_core::limits::{LimitHeader, RequestRate};
use yare::parameterized;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).expect("the rate is valid")
}

#[parameterized(
    zero = { "0", 0.0 },
    negative_zero = { "-0", 0.0 },
    small = { "0.05", 0.05 },
    blanks = { " 1.2 ", 1.2 },
    large = { "1e9", 1e9 },
    two = { "4, 1.5", 1.5 },
    one_of_two_malformed = { "many, 1.5", 1.5 },
)]
fn a_rate_is_parsed(text: &str, per_second: f64) {
    assert_eq!(LimitHeader::parse([text]), LimitHeader::Limit(rate(per_second)));
}

#[parameterized(
    word = { "many" },
    not_a_number = { "NaN" },
    infinite = { "inf" },
    negative = { "-1" },
    empty = { "" },
)]
fn a_value_that_is_not_a_rate_is_malformed(text: &str) {
    assert_eq!(LimitHeader::parse([text]), LimitHeader::Unreadable(text.to_owned()));
}

#[test]
fn the_lowest_of_several_headers_applies_and_no_header_means_no_limit() {
    assert_eq!(LimitHeader::parse(["3", "x", "2"]), LimitHeader::Limit(rate(2.0)));
    assert_eq!(LimitHeader::parse([]), LimitHeader::Absent);
}
