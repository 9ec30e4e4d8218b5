//! Parsing of the response headers by which servers announce leaving and request rest periods.

use bankcove_core::hints::{Hint, read_leaving, read_retry_after};
use yare::parameterized;

/// `Date` of a response, and a time 90 s later.
const DATE: &str = "Thu, 03 Dec 2026 08:00:00 GMT";
const LATER: &str = "Thu, 03 Dec 2026 08:01:30 GMT";

#[parameterized(
    one = { &["1"], Hint::Given(()) },
    blanks = { &[" 1 "], Hint::Given(()) },
    two_ones = { &["1", "1"], Hint::Given(()) },
    one_of_two = { &["0", "1"], Hint::Given(()) },
    one_of_a_list = { &["soon, 1"], Hint::Given(()) },
    nothing = { &[], Hint::Absent },
    zero = { &["0"], Hint::Absent },
    text = { &["soon"], Hint::Unreadable("soon".to_owned()) },
    empty = { &[""], Hint::Unreadable(String::new()) },
)]
fn only_the_value_1_announces_leaving(values: &[&'static str], hint: Hint<()>) {
    assert_eq!(read_leaving(values.iter().copied()), hint);
}

#[parameterized(
    seconds = { &["3"], Hint::Given(3_000) },
    fraction = { &["0.25"], Hint::Given(250) },
    less_than_a_millisecond = { &["0.0001"], Hint::Given(1) },
    long = { &["1e9"], Hint::Given(1_000_000_000_000) },
    longest_of_two = { &["2", "5"], Hint::Given(5_000) },
    one_of_two_unreadable = { &["soon", "5"], Hint::Given(5_000) },
    none = { &[], Hint::Absent },
    zero = { &["0"], Hint::Absent },
    below_zero = { &["-1"], Hint::Unreadable("-1".to_owned()) },
    no_number = { &["NaN"], Hint::Unreadable("NaN".to_owned()) },
    endless = { &["inf"], Hint::Unreadable("inf".to_owned()) },
    text = { &["soon"], Hint::Unreadable("soon".to_owned()) },
    date = { &[LATER], Hint::Given(90_000) },
    past = { &["Thu, 03 Dec 2026 07:00:00 GMT"], Hint::Absent },
)]
fn retry_after_is_parsed(values: &[&'static str], hint: Hint<u64>) {
    assert_eq!(read_retry_after(values.iter().copied(), Some(DATE)), hint);
}

#[test]
fn a_retry_after_date_is_unreadable_without_the_date_of_its_response() {
    assert_eq!(read_retry_after([LATER], None), Hint::Unreadable(LATER.to_owned()));
}
