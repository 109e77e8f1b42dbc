//! Reassembly of an answer from the frames of one attempt.
//!
//! An entry process relays exactly one attempt to a caller. An
//! [`AnswerAssembly`] accepts the frames of that attempt in any order and
//! returns the answer bytes in sequence. It reports the answer as complete
//! only if the length and the digest in the end frame match all bytes that it
//! returned. It drops frames of other attempts, however late they arrive.
//!
//! A caller that already has the first part of an answer may resume it. The
//! digest covers the complete answer, so the assembly continues from the hash
//! of the earlier bytes. If these bytes are not available, it checks only the
//! length and leaves the digest to the caller.

#![forbid(unsafe_code)]

pub mod events;

use std::collections::BTreeMap;

use cowsliproad_kernel::{
    id,
    wire::{AnswerData, AnswerEnd},
};

/// The largest number of data frames that are buffered while an earlier frame
/// is missing.
const MAX_OUT_OF_ORDER_FRAMES: usize = 1024;

/// The result of processing one frame of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AssemblyProgress {
    /// There are no bytes to forward yet, or the frame belongs to another
    /// attempt.
    Pending,
    /// Answer bytes to forward; the answer is not complete yet.
    Bytes(Vec<u8>),
    /// The last answer bytes to forward (possibly none); the answer is
    /// complete and verified.
    Complete(Vec<u8>),
    /// The answer can't be completed: too many frames are out of order, or
    /// the frame count, the length or the digest is wrong.
    Broken,
}

/// Reassembles an answer from the frames of one attempt.
#[derive(Clone, Debug)]
pub struct AnswerAssembly {
    attempt: id::Attempt,
    next_sequence: u32,
    next_byte_offset: u64,
    /// Boxed because a hasher is large and the assembly is moved often.
    hasher: Option<Box<blake3::Hasher>>,
    out_of_order: BTreeMap<u32, Vec<u8>>,
    end: Option<AnswerEnd>,
}

impl AnswerAssembly {
    /// Creates an assembly for an answer from its first byte on.
    pub fn new(attempt: id::Attempt) -> AnswerAssembly {
        AnswerAssembly {
            attempt,
            next_sequence: 0,
            next_byte_offset: 0,
            hasher: Some(Box::default()),
            out_of_order: BTreeMap::new(),
            end: None,
        }
    }

    /// Continues the same answer with the frames of another attempt, at the
    /// byte after the last one that was returned.
    pub fn resume(self, attempt: id::Attempt) -> AnswerAssembly {
        AnswerAssembly {
            attempt,
            next_sequence: 0,
            out_of_order: BTreeMap::new(),
            end: None,
            ..self
        }
    }

    /// Creates an assembly for an answer from byte `from` on, without access
    /// to the bytes before it.
    pub fn starting_at(
        attempt: id::Attempt,
        first_byte_offset: u64,
    ) -> AnswerAssembly {
        let hasher = (first_byte_offset == 0).then(Box::default);
        AnswerAssembly {
            next_byte_offset: first_byte_offset,
            hasher,
            ..AnswerAssembly::new(attempt)
        }
    }

    /// Returns the attempt whose frames are processed.
    pub fn attempt(&self) -> id::Attempt {
        self.attempt
    }

    /// Returns the offset in the answer after the last byte returned so far.
    pub fn next_byte_offset(&self) -> u64 {
        self.next_byte_offset
    }

    /// Processes a data frame of the answer.
    pub fn push_data(&mut self, data: AnswerData) -> AssemblyProgress {
        if data.attempt != self.attempt
            || data.frame_sequence < self.next_sequence
        {
            return AssemblyProgress::Pending;
        }
        if data.frame_sequence > self.next_sequence {
            if self.out_of_order.len() == MAX_OUT_OF_ORDER_FRAMES {
                return AssemblyProgress::Broken;
            }
            self.out_of_order.insert(data.frame_sequence, data.bytes);
            return AssemblyProgress::Pending;
        }
        let mut bytes = data.bytes;
        self.next_sequence += 1;
        while let Some(more) = self.out_of_order.remove(&self.next_sequence) {
            bytes.extend_from_slice(&more);
            self.next_sequence += 1;
        }
        self.next_byte_offset += bytes.len() as u64;
        if let Some(hasher) = &mut self.hasher {
            hasher.update(&bytes);
        }
        match self.completeness() {
            Completeness::Incomplete => AssemblyProgress::Bytes(bytes),
            Completeness::Complete => AssemblyProgress::Complete(bytes),
            Completeness::Broken => AssemblyProgress::Broken,
        }
    }

    /// Processes the end frame of the answer.
    pub fn push_end(&mut self, end: AnswerEnd) -> AssemblyProgress {
        if end.attempt != self.attempt {
            return AssemblyProgress::Pending;
        }
        self.end = Some(end);
        match self.completeness() {
            Completeness::Incomplete => AssemblyProgress::Pending,
            Completeness::Complete => AssemblyProgress::Complete(Vec::new()),
            Completeness::Broken => AssemblyProgress::Broken,
        }
    }

    /// Returns the end frame if it has arrived.
    pub fn end_frame(&self) -> Option<&AnswerEnd> {
        self.end.as_ref()
    }

    fn completeness(&self) -> Completeness {
        let Some(end) = &self.end else { return Completeness::Incomplete };
        if self.next_sequence < end.data_frame_count {
            return Completeness::Incomplete;
        }
        let digest_matches = match &self.hasher {
            Some(hasher) => {
                hasher.finalize().as_bytes() == &end.answer_blake3_digest[..]
            }
            None => true,
        };
        if digest_matches
            && self.next_byte_offset == end.answer_bytes_total
            && self.next_sequence == end.data_frame_count
        {
            Completeness::Complete
        } else {
            Completeness::Broken
        }
    }
}

enum Completeness {
    Incomplete,
    Complete,
    Broken,
}
