//! The fold from log records to the configuration in force.
//!
//! Invariant: the state after the record at offset `n` depends on the
//! records up to `n` alone. A replica only ever moves forward: a record
//! below [`State::next`] is ignored and one above it is refused as a gap, so
//! nothing that was accepted can revert. The verdicts of recent commands are
//! part of the state, which makes a repeated command a no-op everywhere.
//!
//! A snapshot is a record too. The fold passes over it, since its content
//! is what the fold already gave. It serves a replica that starts when the
//! records before it have left the log.

use std::collections::{BTreeMap, VecDeque};

use cowsliproad_kernel::{code::Code, id};
use serde::{Deserialize, Serialize};

use crate::object::{Key, Object};

/// Commands whose verdicts are remembered. At 40,000 changes a day this is
/// the last nine hours, far longer than a command is ever repeated.
pub const REMEMBERED: usize = 16_384;

/// One record of the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The operator's command.
    pub command: id::Command,
    /// What it does.
    pub change: Change,
}

/// What a record does.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Change {
    /// Creates or replaces an object.
    Put {
        /// The revision that the operator saw; 0 when there was no object.
        base: u64,
        /// The new object.
        object: Object,
    },
    /// Removes an object.
    Delete {
        /// The revision that the operator saw.
        base: u64,
        /// Which object.
        key: Key,
    },
    /// Carries the state folded up to an earlier offset.
    Snapshot(Box<State>),
}

/// What the fold made of a record.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// It took effect and the object has this revision.
    Accepted(u64),
    /// It was refused for this reason.
    Refused(Code),
}

/// An object and the offset of the record that made it so.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Versioned {
    /// The revision.
    pub revision: u64,
    /// The object.
    pub object: Object,
}

/// The folded configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct State {
    next: u64,
    #[serde(with = "entries")]
    objects: BTreeMap<Key, Versioned>,
    verdicts: VecDeque<(id::Command, Verdict)>,
}

/// A record that can't be folded yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Gap {
    /// The offset that is missing.
    pub expected: u64,
}

impl State {
    /// The state before the first record, at offset 1. Offset 0 is never
    /// used, so that revision 0 can mean "no object".
    pub fn new() -> State {
        State { next: 1, objects: BTreeMap::new(), verdicts: VecDeque::new() }
    }

    /// The offset after the last record folded in.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// The object with a key.
    pub fn get(&self, key: &Key) -> Option<&Versioned> {
        self.objects.get(key)
    }

    /// All objects in key order.
    pub fn objects(&self) -> impl Iterator<Item = &Versioned> {
        self.objects.values()
    }

    /// The remembered verdict on a command.
    pub fn verdict(&self, command: id::Command) -> Option<Verdict> {
        let known = self.verdicts.iter().rev();
        known
            .filter(|(id, _)| *id == command)
            .map(|(_, verdict)| *verdict)
            .next()
    }

    /// Folds in the record at an offset. `Ok(None)` when it was folded in
    /// before, or isn't an operator's command.
    pub fn apply(
        &mut self,
        offset: u64,
        bytes: &[u8],
    ) -> Result<Option<(id::Command, Verdict)>, Gap> {
        if offset < self.next {
            return Ok(None);
        }
        if offset > self.next {
            return Err(Gap { expected: self.next });
        }
        self.next = offset + 1;
        let Some(record) = decode(bytes) else {
            return Ok(None);
        };
        if let Some(known) = self.verdict(record.command) {
            return Ok(Some((record.command, known)));
        }
        let Some(verdict) = self.change(offset, record.change) else {
            return Ok(None);
        };
        self.remember(record.command, verdict);
        Ok(Some((record.command, verdict)))
    }

    /// The verdict that a change would get now.
    pub fn dry_run(&self, change: &Change) -> Result<(), Code> {
        match change {
            Change::Put { base, object } => self.check_put(*base, object),
            Change::Delete { base, key } => self.check_delete(*base, key),
            Change::Snapshot(_) => Ok(()),
        }
    }

    /// Takes over a state that was folded further than this one.
    pub fn advance(&mut self, other: State) -> Progress {
        if other.next <= self.next {
            return Progress::Unchanged;
        }
        *self = other;
        Progress::Advanced
    }

    fn change(&mut self, offset: u64, change: Change) -> Option<Verdict> {
        if let Err(code) = self.dry_run(&change) {
            return Some(Verdict::Refused(code));
        }
        match change {
            Change::Put { object, .. } => {
                let versioned = Versioned { revision: offset, object };
                self.objects.insert(versioned.object.key(), versioned);
            }
            Change::Delete { key, .. } => {
                self.objects.remove(&key);
            }
            Change::Snapshot(_) => return None,
        }
        Some(Verdict::Accepted(offset))
    }

    fn check_put(&self, base: u64, object: &Object) -> Result<(), Code> {
        if object.check().is_err() {
            return Err(Code::BadObject);
        }
        if self.revision(&object.key()) != base {
            return Err(Code::StaleBase);
        }
        if !object.needs().iter().all(|key| self.objects.contains_key(key)) {
            return Err(Code::NoSuchObject);
        }
        Ok(())
    }

    fn check_delete(&self, base: u64, key: &Key) -> Result<(), Code> {
        let revision = self.revision(key);
        if revision == 0 {
            return Err(Code::NoSuchObject);
        }
        if revision != base {
            return Err(Code::StaleBase);
        }
        let needed = |it: &Versioned| it.object.needs().contains(key);
        if self.objects.values().any(needed) {
            return Err(Code::InUse);
        }
        Ok(())
    }

    fn revision(&self, key: &Key) -> u64 {
        self.objects.get(key).map_or(0, |it| it.revision)
    }

    fn remember(&mut self, command: id::Command, verdict: Verdict) {
        if self.verdicts.len() == REMEMBERED {
            self.verdicts.pop_front();
        }
        self.verdicts.push_back((command, verdict));
    }
}

impl Default for State {
    fn default() -> State {
        State::new()
    }
}

/// Whether a replica moved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// It already was as far.
    Unchanged,
    /// It moved forward.
    Advanced,
}

/// Encodes a record for the log.
pub fn encode(record: &Record) -> Vec<u8> {
    to_cbor(record)
}

/// Decodes a record; `None` when the bytes are not one.
pub fn decode(bytes: &[u8]) -> Option<Record> {
    ciborium::de::from_reader_with_recursion_limit(bytes, DEPTH).ok()
}

/// Encodes a state for a peer.
pub fn encode_state(state: &State) -> Vec<u8> {
    to_cbor(state)
}

/// Decodes a peer's state; `None` when the bytes are not one.
pub fn decode_state(bytes: &[u8]) -> Option<State> {
    ciborium::de::from_reader_with_recursion_limit(bytes, DEPTH).ok()
}

/// The deepest nesting that a record has.
const DEPTH: usize = 32;

fn to_cbor<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes)
        .expect("records have no value that CBOR lacks");
    bytes
}

/// Objects as a list, since their keys follow from them.
mod entries {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serializer};

    use super::{Key, Versioned};

    pub(super) fn serialize<S: Serializer>(
        objects: &BTreeMap<Key, Versioned>,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        to.collect_seq(objects.values())
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<BTreeMap<Key, Versioned>, D::Error> {
        let list = Vec::<Versioned>::deserialize(from)?;
        Ok(list.into_iter().map(|it| (it.object.key(), it)).collect())
    }
}
