//! An event queue in virtual time.

use std::{cmp::Ordering, collections::BinaryHeap};

use chervilgate_clock::Time;

#[derive(Debug)]
struct Entry<E> {
    at: Time,
    order: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Entry<E>) -> bool {
        (self.at, self.order) == (other.at, other.order)
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
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// Events in order of time, then of insertion.
#[derive(Debug)]
pub struct Queue<E> {
    heap: BinaryHeap<Entry<E>>,
    order: u64,
}

impl<E> Default for Queue<E> {
    fn default() -> Queue<E> {
        Queue { heap: BinaryHeap::new(), order: 0 }
    }
}

impl<E> Queue<E> {
    /// Adds an event that happens at `at`.
    pub fn push(&mut self, at: Time, event: E) {
        self.heap.push(Entry { at, order: self.order, event });
        self.order += 1;
    }

    /// Takes the earliest event.
    pub fn pop(&mut self) -> Option<(Time, E)> {
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }

    /// Events not yet taken.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no event is left.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
