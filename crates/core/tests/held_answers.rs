//! Answers held for callers that read slowly.

use bankcove_core::held_answers::{HeldAnswers, MAX_READ_BYTES, ReadDecision};

/// Bound of the tests' host; that of one answer is a sixteenth, 1 MB.
const MAX_BYTES: u64 = 16 << 20;
const MAX_ANSWER_BYTES: u64 = 1 << 20;

/// Guards against memory that grows with the number of slow callers.
#[test]
fn no_more_than_the_hosts_bound_is_held_for_answers_that_are_not_read() {
    let mut held = HeldAnswers::new(MAX_BYTES);
    let mut answers = [MAX_READ_BYTES; 200];
    held.add(answers.iter().sum());
    let mut has_read = true;
    while has_read {
        has_read = false;
        for answer in &mut answers {
            if held.decide(*answer) == ReadDecision::Read {
                *answer += MAX_READ_BYTES;
                held.add(MAX_READ_BYTES);
                has_read = true;
            }
        }
    }
    assert!(held.held_bytes() <= MAX_BYTES, "{}", held.held_bytes());
    assert!(held.held_bytes() > MAX_BYTES - 2 * MAX_READ_BYTES, "{}", held.held_bytes());
}

/// Guards against a few callers that read nothing and use up what is held for all.
#[test]
fn one_answer_is_held_up_to_its_own_bound() {
    let mut held = HeldAnswers::new(MAX_BYTES);
    let mut answer = 0;
    while held.decide(answer) == ReadDecision::Read {
        answer += MAX_READ_BYTES;
        held.add(MAX_READ_BYTES);
    }
    assert_eq!(held.decide(answer), ReadDecision::AnswerFull);
    assert_eq!(answer, MAX_ANSWER_BYTES);
    assert_eq!(held.decide(MAX_READ_BYTES), ReadDecision::Read);
    assert!(!held.is_full());
}

/// Guards against answers of callers that read at once and wait for those of slow callers.
#[test]
fn an_answer_of_which_nothing_is_held_is_read_at_any_bound() {
    for max_bytes in [0, MAX_READ_BYTES, MAX_BYTES] {
        let mut held = HeldAnswers::new(max_bytes);
        held.add(2 * MAX_BYTES);
        assert_eq!(held.decide(0), ReadDecision::Read);
        assert_ne!(held.decide(1), ReadDecision::Read);
    }
}

/// Guards against a wake-up of all waiting answers for each released piece.
#[test]
fn reading_continues_once_an_eighth_of_the_bound_is_released() {
    let mut held = HeldAnswers::new(MAX_BYTES);
    held.add(MAX_BYTES);
    assert_eq!(held.decide(1), ReadDecision::HostFull);
    assert!(!held.release(MAX_BYTES / 16));
    assert_eq!(held.decide(1), ReadDecision::HostFull);
    assert!(held.release(MAX_BYTES / 16));
    assert_eq!(held.decide(1), ReadDecision::Read);
    assert!(!held.release(1), "reading continues only once");
}

/// Guards against a log line for each read during a time in which the bound is reached.
#[test]
fn the_bound_is_reported_every_ten_seconds_at_most() {
    let mut held = HeldAnswers::new(MAX_BYTES);
    assert_eq!(held.take_report(0), None);
    let mut reports = Vec::new();
    for now in (0..20_000).step_by(1_000) {
        held.add(MAX_BYTES);
        assert_eq!(held.decide(1), ReadDecision::HostFull);
        reports.extend(held.take_report(now));
        held.release(MAX_BYTES);
    }
    let times: Vec<u64> = reports.iter().map(|report| report.times).collect();
    assert_eq!(times, [1, 10]);
    assert_eq!(reports[0].max_bytes, MAX_BYTES);
}

/// Guards against answers that wait on after an operator has raised the bound.
#[test]
fn a_raised_bound_takes_effect_at_once() {
    let mut held = HeldAnswers::new(MAX_BYTES);
    held.add(MAX_BYTES);
    assert_eq!(held.decide(1), ReadDecision::HostFull);
    held.set_max_bytes(2 * MAX_BYTES);
    assert_eq!(held.decide(1), ReadDecision::Read);
}
