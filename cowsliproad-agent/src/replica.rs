//! The agent's copy of the configuration.
//!
//! The agent itself uses little of the configuration. The copy serves entry
//! processes that start while the log is down, in an availability zone whose
//! other entry processes were all replaced: from an agent they still get the
//! last configuration in force.

use std::sync::{Mutex, MutexGuard};

use cowsliproad_config::{ConfigState, fold};
use cowsliproad_kernel::sync::lock;
use cowsliproad_kernel::wire::{ConfigRecords, ConfigSnapshot, Frame};

/// A copy of the configuration, built from records, whose log offset only
/// increases.
#[derive(Debug)]
pub struct ConfigReplica {
    state: Mutex<ConfigState>,
}

impl ConfigReplica {
    /// Creates a replica with an empty configuration.
    pub fn new() -> ConfigReplica {
        ConfigReplica { state: Mutex::new(ConfigState::new()) }
    }

    /// The log offset that follows the last configuration record applied.
    pub fn next_offset(&self) -> u64 {
        self.lock_config().next_offset()
    }

    /// Calls `read` with the current configuration, under the lock.
    pub fn read_config<T>(&self, read: impl FnOnce(&ConfigState) -> T) -> T {
        read(&self.lock_config())
    }

    /// Applies configuration records. After a gap in the offsets, returns the
    /// frame that requests a snapshot.
    pub fn apply_records(&self, records: &ConfigRecords) -> Option<Frame> {
        let mut state = self.lock_config();
        for (offset, bytes) in
            (records.first_record_offset..).zip(&records.encoded_records)
        {
            if let Err(gap) = state.apply_record(offset, bytes) {
                return Some(Frame::PullConfig(gap.expected_offset));
            }
        }
        None
    }

    /// Adopts the configuration of a snapshot if the snapshot is newer.
    pub fn apply_snapshot(&self, snapshot: &ConfigSnapshot) {
        let mut state = self.lock_config();
        if snapshot.next_offset <= state.next_offset() {
            return;
        }
        if let Some(peer_state) = fold::decode_state(&snapshot.encoded_config)
        {
            state.adopt_newer_peer_state(peer_state);
        }
    }

    /// The snapshot for a peer whose next log offset is `peer_next_offset`, or
    /// `None` if the peer is up to date.
    pub fn snapshot_for_peer(&self, peer_next_offset: u64) -> Option<Frame> {
        let state = self.lock_config();
        (state.next_offset() > peer_next_offset).then(|| {
            Frame::ConfigSnapshot(ConfigSnapshot {
                next_offset: state.next_offset(),
                encoded_config: fold::encode_state(&state),
            })
        })
    }

    fn lock_config(&self) -> MutexGuard<'_, ConfigState> {
        lock(&self.state)
    }
}

impl Default for ConfigReplica {
    fn default() -> ConfigReplica {
        ConfigReplica::new()
    }
}
