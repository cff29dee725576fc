//! Event queue of a simulation in virtual time.

use std::{cmp::Ordering, collections::BinaryHeap};

use chervilgate_clock::Time;

#[derive(Debug)]
struct Entry<E> {
    at: Time,
    /// Insertion number, which orders events of the same time.
    seq: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Entry<E>) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Entry<E>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Entry<E>) -> Ordering {
        (other.at, other.seq).cmp(&(self.at, self.seq))
    }
}

/// Priority queue of events, ordered by time and then by insertion.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Entry<E>>,
    seq: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> EventQueue<E> {
        EventQueue { heap: BinaryHeap::new(), seq: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event that is due at `at`.
    pub fn push(&mut self, at: Time, event: E) {
        self.heap.push(Entry { at, seq: self.seq, event });
        self.seq += 1;
    }

    /// Removes and returns the earliest event with its time.
    pub fn pop(&mut self) -> Option<(Time, E)> {
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }

    /// Number of events in the queue.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether the queue has no events.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
