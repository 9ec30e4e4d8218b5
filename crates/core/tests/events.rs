//! Events of a stream: splitting, duplicates and gaps.

use bankcove_core::events::{
    EventAction, EventSequence, EventSplitter, EventTooLarge, MAX_EVENT_BYTES, RawEvent,
};
use bankcove_core::stream_bounds::StreamBounds;
use yare::parameterized;

/// Returns the complete events, none of which is too large.
fn complete_events(splitter: &mut EventSplitter) -> Vec<RawEvent> {
    std::iter::from_fn(|| splitter.next_event().expect("no event is too large")).collect()
}

/// Returns the next event, which is complete.
fn complete_event(splitter: &mut EventSplitter) -> RawEvent {
    splitter.next_event().expect("it is not too large").expect("it is complete")
}

#[test]
fn events_are_split_correctly_for_any_chunk_size() {
    let text = b"id: 4\ndata: a\n\nid: 5\r\ndata: b\r\n\r\n: comment\n\nid: 6\nda";
    for size in 1..text.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for chunk in text.chunks(size) {
            splitter.push(chunk);
            events.extend(complete_events(&mut splitter));
        }
        let ids: Vec<Option<u64>> = events.iter().map(|event| event.id).collect();
        assert_eq!(ids, [Some(4), Some(5), None]);
        assert_eq!(events[0].raw, b"id: 4\ndata: a\n\n");
        assert!(!splitter.is_empty(), "a partial event is left");
    }
}

/// Guards against bytes without the end of an event that are kept without a bound.
#[parameterized(
    without_an_end = { &[] },
    with_an_end = { b"\n\n" },
)]
fn an_event_beyond_the_maximum_is_an_error(end: &[u8]) {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\n\n");
    splitter.push(&vec![b'x'; MAX_EVENT_BYTES + 1 - end.len()]);
    splitter.push(end);
    assert_eq!(complete_event(&mut splitter).id, Some(1));
    assert_eq!(splitter.next_event(), Err(EventTooLarge));
    splitter.push(b"id: 2\n\n");
    assert_eq!(splitter.next_event(), Err(EventTooLarge));
}

#[test]
fn an_event_of_the_maximum_size_is_returned() {
    let mut splitter = EventSplitter::default();
    let mut event = vec![b'x'; MAX_EVENT_BYTES - 2];
    event.extend(b"\n\n");
    for chunk in event.chunks(60_000) {
        assert_eq!(splitter.next_event(), Ok(None));
        splitter.push(chunk);
    }
    assert_eq!(complete_event(&mut splitter).raw.len(), MAX_EVENT_BYTES);
    assert_eq!((splitter.next_event(), splitter.partial_bytes()), (Ok(None), 0));
}

#[parameterized(
    first = { None, Some(7), EventAction::Deliver },
    next = { Some(7), Some(8), EventAction::Deliver },
    duplicate = { Some(7), Some(7), EventAction::Duplicate },
    older = { Some(7), Some(3), EventAction::Duplicate },
    gap = { Some(7), Some(9), EventAction::Gap },
    without_id = { Some(7), None, EventAction::Deliver },
)]
fn an_event_is_delivered_once_and_in_order(
    last: Option<u64>,
    id: Option<u64>,
    expected: EventAction,
) {
    let mut order = EventSequence::after(last);
    assert_eq!(order.accept(id), expected);
    if expected != EventAction::Deliver {
        assert_eq!(order.last(), last);
    }
}

#[parameterized(
    with_an_id = { "id: 3\n\n", true },
    with_text = { "data: a\n\n", true },
    comment = { ": wait\n\n", false },
    without_a_line = { "\n\n", false },
)]
fn a_comment_is_no_content(text: &str, expected: bool) {
    let mut splitter = EventSplitter::default();
    splitter.push(text.as_bytes());
    assert_eq!(complete_event(&mut splitter).has_content(), expected);
}

/// Guards against a stream that is given up although its server sends the largest event in small
/// reads, and against one that goes on with nothing but comments.
#[test]
fn the_largest_event_is_not_idle_and_twice_as_much_is() {
    let mut bounds = StreamBounds::new(Some(1), false);
    for _ in 0..MAX_EVENT_BYTES / 128 {
        bounds.record_read(128);
    }
    assert!(!bounds.is_idle());
    assert!(bounds.take_event());
    bounds.record_read(2 * MAX_EVENT_BYTES);
    assert!(bounds.is_idle());
    bounds.restart();
    assert!(!bounds.is_idle());
    assert!(!bounds.take_event(), "one event was reserved");
}

/// Guards against events without end, and against a stream that is cut before its last event because the
/// first one of a server was not full.
#[test]
fn one_more_event_may_come_for_each_server_whose_first_one_is_not_full() {
    let mut bounds = StreamBounds::new(Some(2), true);
    assert!(bounds.take_event() && bounds.take_event() && !bounds.take_event());
    assert!(bounds.take_partial_event() && !bounds.take_partial_event());
    bounds.restart();
    assert!(bounds.take_partial_event() && !bounds.take_partial_event());
    let mut full = StreamBounds::new(Some(2), false);
    assert!(!full.take_partial_event());
}
