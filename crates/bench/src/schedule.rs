//! Event queue ordered by time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bankcove_core::Millis;

struct Entry<T> {
    at: Millis,
    order: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Queue of future events. Events of the same time keep the order in which they were added.
pub struct Schedule<T> {
    entries: BinaryHeap<Reverse<Entry<T>>>,
    order: u64,
}

impl<T> Default for Schedule<T> {
    fn default() -> Self {
        Schedule { entries: BinaryHeap::new(), order: 0 }
    }
}

impl<T> Schedule<T> {
    /// Adds an event at this time.
    pub fn at(&mut self, at: Millis, event: T) {
        self.order += 1;
        self.entries.push(Reverse(Entry { at, order: self.order, event }));
    }

    /// Removes and returns the earliest event with its time.
    pub fn take_next(&mut self) -> Option<(Millis, T)> {
        self.entries.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }
}
