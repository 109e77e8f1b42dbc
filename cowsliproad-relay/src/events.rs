//! Splitting of an answer stream into complete server-sent events.
//!
//! A target may fail in the middle of an event. Only complete events are
//! forwarded to the caller, so that another target can resume the stream
//! after the last complete event and no event is lost, repeated or merged
//! with another.

use bytes::{Bytes, BytesMut};

/// The largest server-sent event; longer events are buffered no further.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete server-sent event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerSentEvent {
    /// The numeric `id` field of the event, if it has one.
    pub id: Option<u64>,
    /// The bytes of the event, including the empty line at its end.
    pub bytes: Bytes,
}

/// Splits a byte stream into complete server-sent events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// The length of the part of the buffer that was already searched for the
    /// end of an event.
    searched_bytes: usize,
}

impl EventSplitter {
    /// Creates a splitter with an empty buffer.
    pub fn new() -> EventSplitter {
        EventSplitter::default()
    }

    /// Appends received bytes to the buffer.
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete event from the buffer and returns it.
    pub fn pop_event(&mut self) -> Option<ServerSentEvent> {
        let search_start = self.searched_bytes.saturating_sub(3);
        let Some(length) = event_length(&self.buffer, search_start) else {
            self.searched_bytes = self.buffer.len();
            return None;
        };
        self.searched_bytes = 0;
        let bytes = self.buffer.split_to(length).freeze();
        Some(ServerSentEvent { id: event_id(&bytes), bytes })
    }

    /// Whether the buffer holds an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the buffered event exceeds the maximum size.
    pub fn event_exceeds_max_size(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

/// Returns the length of the first event, up to and including the empty line
/// after it. Lines may end in LF or CRLF.
fn event_length(bytes: &[u8], search_start: usize) -> Option<usize> {
    (search_start..bytes.len()).find_map(|at| {
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

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
