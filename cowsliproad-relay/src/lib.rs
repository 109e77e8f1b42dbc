//! The whole answer from the frames of one attempt.
//!
//! An entry relays exactly one attempt to a caller. An [`Assembly`] takes
//! the frames of that attempt in whatever order they come, gives the bytes
//! out in sequence, and says that the answer is whole only when the length
//! and the digest in the end frame match every byte given out. Frames of
//! another attempt are dropped, however late they come.
//!
//! An answer may also be taken up in its middle by a caller that has the
//! first part. The digest covers the whole, so such an assembly starts from
//! the hash of the bytes that came before, or, when those bytes are not at
//! hand, checks the length alone and leaves the digest to the caller.

#![forbid(unsafe_code)]

pub mod events;

use std::collections::BTreeMap;

use cowsliproad_kernel::{
    id,
    wire::{Data, End},
};

/// Frames that may wait for one that is missing.
const MAX_EARLY: usize = 1024;

/// What a frame led to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing to pass on yet, or the frame was not for this attempt.
    Nothing,
    /// Bytes to pass on.
    Bytes(Vec<u8>),
    /// Perhaps bytes to pass on, after which the answer is whole.
    Whole(Vec<u8>),
    /// The answer can't become whole any more.
    Broken,
}

/// The frames of one attempt being put together.
#[derive(Clone, Debug)]
pub struct Assembly {
    attempt: id::Attempt,
    next: u32,
    length: u64,
    /// Boxed, since an assembly is moved often and a hasher is large.
    hasher: Option<Box<blake3::Hasher>>,
    early: BTreeMap<u32, Vec<u8>>,
    end: Option<End>,
}

impl Assembly {
    /// Starts an answer from its first byte.
    pub fn new(attempt: id::Attempt) -> Assembly {
        Assembly {
            attempt,
            next: 0,
            length: 0,
            hasher: Some(Box::default()),
            early: BTreeMap::new(),
            end: None,
        }
    }

    /// Goes on with the same answer under another attempt, from the byte
    /// that this assembly has reached.
    pub fn resume(self, attempt: id::Attempt) -> Assembly {
        Assembly {
            attempt,
            next: 0,
            early: BTreeMap::new(),
            end: None,
            ..self
        }
    }

    /// Takes an answer up at byte `from` without the bytes before it.
    pub fn tail(attempt: id::Attempt, from: u64) -> Assembly {
        let hasher = (from == 0).then(Box::default);
        Assembly { length: from, hasher, ..Assembly::new(attempt) }
    }

    /// The attempt whose frames count.
    pub fn attempt(&self) -> id::Attempt {
        self.attempt
    }

    /// The number of bytes given out so far, with those taken as read.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Takes a piece.
    pub fn data(&mut self, data: Data) -> Step {
        if data.attempt != self.attempt || data.sequence < self.next {
            return Step::Nothing;
        }
        if data.sequence > self.next {
            if self.early.len() == MAX_EARLY {
                return Step::Broken;
            }
            self.early.insert(data.sequence, data.bytes);
            return Step::Nothing;
        }
        let mut bytes = data.bytes;
        self.next += 1;
        while let Some(more) = self.early.remove(&self.next) {
            bytes.extend_from_slice(&more);
            self.next += 1;
        }
        self.length += bytes.len() as u64;
        if let Some(hasher) = &mut self.hasher {
            hasher.update(&bytes);
        }
        match self.verdict() {
            Verdict::Open => Step::Bytes(bytes),
            Verdict::Whole => Step::Whole(bytes),
            Verdict::Broken => Step::Broken,
        }
    }

    /// Takes the end frame.
    pub fn end(&mut self, end: End) -> Step {
        if end.attempt != self.attempt {
            return Step::Nothing;
        }
        self.end = Some(end);
        match self.verdict() {
            Verdict::Open => Step::Nothing,
            Verdict::Whole => Step::Whole(Vec::new()),
            Verdict::Broken => Step::Broken,
        }
    }

    /// The end frame, once it came.
    pub fn ending(&self) -> Option<&End> {
        self.end.as_ref()
    }

    fn verdict(&self) -> Verdict {
        let Some(end) = &self.end else { return Verdict::Open };
        if self.next < end.sequence {
            return Verdict::Open;
        }
        let digest = match &self.hasher {
            Some(hasher) => hasher.finalize().as_bytes() == &end.digest[..],
            None => true,
        };
        if digest && self.length == end.length && self.next == end.sequence {
            Verdict::Whole
        } else {
            Verdict::Broken
        }
    }
}

enum Verdict {
    Open,
    Whole,
    Broken,
}
