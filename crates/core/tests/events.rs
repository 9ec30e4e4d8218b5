//! Events of a stream: splitting, duplicates and gaps.

use bankcove_core::events::{EventAction, EventSequence, EventSplitter};
use yare::parameterized;

#[test]
fn events_are_split_correctly_for_any_chunk_size() {
    let text = b"id: 4\ndata: a\n\nid: 5\r\ndata: b\r\n\r\n: comment\n\nid: 6\nda";
    for size in 1..text.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for chunk in text.chunks(size) {
            splitter.push(chunk);
            events.extend(std::iter::from_fn(|| splitter.next_event()));
        }
        let ids: Vec<Option<u64>> = events.iter().map(|event| event.id).collect();
        assert_eq!(ids, [Some(4), Some(5), None]);
        assert_eq!(events[0].raw, b"id: 4\ndata: a\n\n");
        assert!(!splitter.is_empty(), "a partial event is left");
    }
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
