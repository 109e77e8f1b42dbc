//! Whole events of a stream, cut out of the bytes of its answer.
//!
//! A target may break off in the middle of an event. Only whole events are
//! passed on, so that a stream can go on at another target after the last
//! whole one, with nothing missing, twice or joined.

use bytes::{Bytes, BytesMut};

/// The most bytes that wait for the end of their event.
pub const MAX_BYTES: usize = 1 << 20;

/// A whole event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Its number, if it has one.
    pub id: Option<u64>,
    /// Its bytes, with the empty line at the end.
    pub bytes: Bytes,
}

/// Cuts events out of bytes.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    /// Bytes of the rest that were looked at already.
    seen: usize,
}

impl Splitter {
    /// Nothing taken yet.
    pub fn new() -> Splitter {
        Splitter::default()
    }

    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn pop(&mut self) -> Option<Event> {
        let from = self.seen.saturating_sub(3);
        let Some(length) = end(&self.rest, from) else {
            self.seen = self.rest.len();
            return None;
        };
        self.seen = 0;
        let bytes = self.rest.split_to(length).freeze();
        Some(Event { id: id(&bytes), bytes })
    }

    /// Whether an event has begun and not ended.
    pub fn is_inside(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Whether an event is longer than any may be.
    pub fn is_over_long(&self) -> bool {
        self.rest.len() > MAX_BYTES
    }
}

/// The length of the first event: up to an empty line, in either of the
/// usual line ends.
fn end(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).find_map(|at| {
        let rest = &bytes[at..];
        if rest.starts_with(b"\n\n") {
            Some(at + 2)
        } else if rest.starts_with(b"\n\r\n") {
            Some(at + 3)
        } else {
            None
        }
    })
}

fn id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
