//! The agent's copy of the configuration.
//!
//! An agent uses little of it itself. It keeps the copy so that entries
//! which start while the log is down, in an availability zone whose other
//! entries were all replaced, still find the last configuration in force.

use std::sync::{Mutex, MutexGuard};

use cowsliproad_config::{ConfigState, fold};
use cowsliproad_kernel::sync::lock;
use cowsliproad_kernel::wire::{ConfigRecords, ConfigSnapshot, Frame};

/// A folded configuration that only moves forward.
#[derive(Debug)]
pub struct Replica {
    state: Mutex<ConfigState>,
}

impl Replica {
    /// An empty configuration.
    pub fn new() -> Replica {
        Replica { state: Mutex::new(ConfigState::new()) }
    }

    /// The offset after the last record folded in.
    pub fn next(&self) -> u64 {
        self.lock().next_offset()
    }

    /// Runs a function on the state.
    pub fn with<T>(&self, read: impl FnOnce(&ConfigState) -> T) -> T {
        read(&self.lock())
    }

    /// Folds records in; the answer asks for a snapshot after a gap.
    pub fn records(&self, records: &ConfigRecords) -> Option<Frame> {
        let mut state = self.lock();
        for (offset, bytes) in
            (records.first_record_offset..).zip(&records.encoded_records)
        {
            if let Err(gap) = state.apply_record(offset, bytes) {
                return Some(Frame::PullConfig(gap.expected_offset));
            }
        }
        None
    }

    /// Takes over a state that is further on.
    pub fn snapshot(&self, snapshot: &ConfigSnapshot) {
        let mut state = self.lock();
        if snapshot.next_offset <= state.next_offset() {
            return;
        }
        if let Some(other) = fold::decode_state(&snapshot.encoded_config) {
            state.adopt_newer_peer_state(other);
        }
    }

    /// The answer to a peer that has folded up to `next`.
    pub fn pull(&self, next: u64) -> Option<Frame> {
        let state = self.lock();
        (state.next_offset() > next).then(|| {
            Frame::ConfigSnapshot(ConfigSnapshot {
                next_offset: state.next_offset(),
                encoded_config: fold::encode_state(&state),
            })
        })
    }

    fn lock(&self) -> MutexGuard<'_, ConfigState> {
        lock(&self.state)
    }
}

impl Default for Replica {
    fn default() -> Replica {
        Replica::new()
    }
}
