//! Folds the records of the configuration log into the configuration in force.
//!
//! Invariant: the state after the record at offset `n` depends on the records
//! up to `n` alone. A replica only moves forward: a record below
//! [`ConfigState::next_offset`] is ignored and a record above that offset is
//! refused as a gap, so no accepted change can be reverted. The outcomes of
//! recent commands are part of the state, so every replica treats a repeated
//! command as a no-op.
//!
//! A snapshot is also a record of the log. The fold skips it, because it only
//! repeats the folded state. A replica that starts after older records have
//! left the log loads the snapshot.

use std::collections::{BTreeMap, VecDeque};

use cowsliproad_kernel::{code::ResultCode, id};
use serde::{Deserialize, Serialize};

use crate::object::{ConfigObject, ObjectKey};

/// The number of operator commands whose outcomes are kept. At 40,000 changes a
/// day, the outcomes of the last nine hours are kept; operators repeat a command
/// much sooner.
pub const MAX_KEPT_COMMAND_OUTCOMES: usize = 16_384;

/// A record of the configuration log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigRecord {
    /// The operator's command that the record belongs to.
    pub command: id::Command,
    /// The change that the record makes.
    pub change: ConfigChange,
}

/// The change that a record makes to the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ConfigChange {
    /// Creates or replaces an object.
    Put {
        /// The revision of the object that the operator saw; 0 if the object
        /// did not exist.
        #[serde(rename = "base")]
        base_revision: u64,
        /// The object to store.
        object: ConfigObject,
    },
    /// Removes an object.
    Delete {
        /// The revision of the object that the operator saw.
        #[serde(rename = "base")]
        base_revision: u64,
        /// The key of the object to remove.
        key: ObjectKey,
    },
    /// Carries a snapshot of the state after an earlier record.
    Snapshot(Box<ConfigState>),
}

/// The result of applying the change of a record to the configuration.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ChangeOutcome {
    /// The change took effect; the object now has this revision.
    Accepted(u64),
    /// The change was refused with this result code.
    Refused(ResultCode),
}

/// An object and its revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionedObject {
    /// The offset of the record that last changed the object.
    pub revision: u64,
    /// The object at this revision.
    pub object: ConfigObject,
}

/// The configuration that results from folding the records of the log up to an
/// offset.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigState {
    #[serde(rename = "next")]
    next_offset: u64,
    #[serde(with = "object_list")]
    objects: BTreeMap<ObjectKey, VersionedObject>,
    #[serde(rename = "verdicts")]
    command_outcomes: VecDeque<(id::Command, ChangeOutcome)>,
}

/// The error for a record that arrives before all records at lower offsets have
/// been folded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MissingRecordError {
    /// The offset of the first missing record.
    pub expected_offset: u64,
}

impl ConfigState {
    /// The state before the first record, which has offset 1. Offset 0 is
    /// never used, so that revision 0 can mean "no object".
    pub fn new() -> ConfigState {
        ConfigState {
            next_offset: 1,
            objects: BTreeMap::new(),
            command_outcomes: VecDeque::new(),
        }
    }

    /// The offset of the first record that has not been folded.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// The object with this key and its revision.
    pub fn get(&self, key: &ObjectKey) -> Option<&VersionedObject> {
        self.objects.get(key)
    }

    /// All objects of the configuration, in key order.
    pub fn objects(&self) -> impl Iterator<Item = &VersionedObject> {
        self.objects.values()
    }

    /// The outcome of a recent command, if the outcome is still kept.
    pub fn command_outcome(
        &self,
        command: id::Command,
    ) -> Option<ChangeOutcome> {
        let newest_first = self.command_outcomes.iter().rev();
        newest_first
            .filter(|(id, _)| *id == command)
            .map(|(_, outcome)| *outcome)
            .next()
    }

    /// Folds the encoded record at an offset. Returns `Ok(None)` for a record
    /// that was folded before or is not an operator's command.
    pub fn apply_record(
        &mut self,
        offset: u64,
        record_bytes: &[u8],
    ) -> Result<Option<(id::Command, ChangeOutcome)>, MissingRecordError> {
        if offset < self.next_offset {
            return Ok(None);
        }
        if offset > self.next_offset {
            return Err(MissingRecordError {
                expected_offset: self.next_offset,
            });
        }
        self.next_offset = offset + 1;
        let Some(record) = decode_record(record_bytes) else {
            return Ok(None);
        };
        if let Some(known) = self.command_outcome(record.command) {
            return Ok(Some((record.command, known)));
        }
        let Some(outcome) = self.apply_change(offset, record.change) else {
            return Ok(None);
        };
        self.store_command_outcome(record.command, outcome);
        Ok(Some((record.command, outcome)))
    }

    /// Checks whether the current state would accept a change; the error is
    /// the code with which the state would refuse the change.
    pub fn check_change(
        &self,
        change: &ConfigChange,
    ) -> Result<(), ResultCode> {
        match change {
            ConfigChange::Put { base_revision, object } => {
                self.check_put(*base_revision, object)
            }
            ConfigChange::Delete { base_revision, key } => {
                self.check_delete(*base_revision, key)
            }
            ConfigChange::Snapshot(_) => Ok(()),
        }
    }

    /// Replaces this state by a peer's state if more records were folded into
    /// the peer's.
    pub fn adopt_newer_peer_state(
        &mut self,
        peer_state: ConfigState,
    ) -> StateAdoption {
        if peer_state.next_offset <= self.next_offset {
            return StateAdoption::Unchanged;
        }
        *self = peer_state;
        StateAdoption::Advanced
    }

    fn apply_change(
        &mut self,
        offset: u64,
        change: ConfigChange,
    ) -> Option<ChangeOutcome> {
        if let Err(code) = self.check_change(&change) {
            return Some(ChangeOutcome::Refused(code));
        }
        match change {
            ConfigChange::Put { object, .. } => {
                let versioned = VersionedObject { revision: offset, object };
                self.objects.insert(versioned.object.key(), versioned);
            }
            ConfigChange::Delete { key, .. } => {
                self.objects.remove(&key);
            }
            ConfigChange::Snapshot(_) => return None,
        }
        Some(ChangeOutcome::Accepted(offset))
    }

    fn check_put(
        &self,
        base_revision: u64,
        object: &ConfigObject,
    ) -> Result<(), ResultCode> {
        if object.validate().is_err() {
            return Err(ResultCode::BadObject);
        }
        if self.object_revision(&object.key()) != base_revision {
            return Err(ResultCode::StaleBase);
        }
        if !object
            .dependencies()
            .iter()
            .all(|key| self.objects.contains_key(key))
        {
            return Err(ResultCode::NoSuchObject);
        }
        Ok(())
    }

    fn check_delete(
        &self,
        base_revision: u64,
        key: &ObjectKey,
    ) -> Result<(), ResultCode> {
        let revision = self.object_revision(key);
        if revision == 0 {
            return Err(ResultCode::NoSuchObject);
        }
        if revision != base_revision {
            return Err(ResultCode::StaleBase);
        }
        let depends =
            |it: &VersionedObject| it.object.dependencies().contains(key);
        if self.objects.values().any(depends) {
            return Err(ResultCode::InUse);
        }
        Ok(())
    }

    fn object_revision(&self, key: &ObjectKey) -> u64 {
        self.objects.get(key).map_or(0, |it| it.revision)
    }

    fn store_command_outcome(
        &mut self,
        command: id::Command,
        outcome: ChangeOutcome,
    ) {
        if self.command_outcomes.len() == MAX_KEPT_COMMAND_OUTCOMES {
            self.command_outcomes.pop_front();
        }
        self.command_outcomes.push_back((command, outcome));
    }
}

impl Default for ConfigState {
    fn default() -> ConfigState {
        ConfigState::new()
    }
}

/// Whether a replica replaced its configuration by a peer's newer
/// configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StateAdoption {
    /// The replica kept its configuration, because the peer's configuration
    /// contains no log records that the replica had not folded.
    Unchanged,
    /// The replica adopted the newer state.
    Advanced,
}

/// Encodes a record for the log.
pub fn encode_record(record: &ConfigRecord) -> Vec<u8> {
    to_cbor(record)
}

/// Decodes a record of the log; `None` if the bytes are not a valid record.
pub fn decode_record(bytes: &[u8]) -> Option<ConfigRecord> {
    ciborium::de::from_reader_with_recursion_limit(bytes, MAX_NESTING_DEPTH)
        .ok()
}

/// Encodes a state for a peer.
pub fn encode_state(state: &ConfigState) -> Vec<u8> {
    to_cbor(state)
}

/// Decodes a peer's state; `None` if the bytes are not a valid state.
pub fn decode_state(bytes: &[u8]) -> Option<ConfigState> {
    ciborium::de::from_reader_with_recursion_limit(bytes, MAX_NESTING_DEPTH)
        .ok()
}

/// The deepest nesting of CBOR values that a decoder accepts.
const MAX_NESTING_DEPTH: usize = 32;

fn to_cbor<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes)
        .expect("records have no value that CBOR lacks");
    bytes
}

/// Serializes the map of objects as a list, because each object contains its
/// key.
mod object_list {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serializer};

    use super::{ObjectKey, VersionedObject};

    pub(super) fn serialize<S: Serializer>(
        objects: &BTreeMap<ObjectKey, VersionedObject>,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        to.collect_seq(objects.values())
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<BTreeMap<ObjectKey, VersionedObject>, D::Error> {
        let list = Vec::<VersionedObject>::deserialize(from)?;
        Ok(list.into_iter().map(|it| (it.object.key(), it)).collect())
    }
}
