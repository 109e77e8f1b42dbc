//! The control task, which alone owns the configuration replica.
//!
//! Events arrive through one queue from the log, from peers and from the VM
//! list. After each batch a new [`ConfigView`] is published. Recent records
//! are kept unchanged, so that a peer that lags a little is sent only the
//! missing records, and the whole state is sent only to a peer that lags
//! further.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cowsliproad_config::{
    ConfigState,
    fold::{self, ChangeOutcome, ConfigChange, StateAdoption},
    object::{ObjectKey, ObjectKind},
};
use cowsliproad_kernel::{
    Name,
    clock::Millis,
    id,
    wire::{ConfigRecords, ConfigSnapshot, Frame},
};
use cowsliproad_net::timer;
use serde_bytes::ByteBuf;
use slog::info;
use tokio::sync::{mpsc, oneshot};

use crate::{EntryState, links, target::Target, view::ConfigView};

/// The maximum number of recent configuration records kept for peers that lag.
const MAX_RECENT_RECORDS: usize = 1024;

/// The minimum size of a snapshot that is due, in bytes. Smaller records are
/// not decoded to look for a snapshot.
const MIN_SNAPSHOT_BYTES: usize = 4_096;

/// The capacity of the control task's event queue.
const CONTROL_QUEUE_CAPACITY: usize = 1024;

/// An event for the control task.
#[derive(Debug)]
pub enum ControlEvent {
    /// Records read from the log or received from a peer.
    Records(ConfigRecords),
    /// The configuration state of a peer, or of a snapshot in the log.
    Snapshot(ConfigSnapshot),
    /// A request for the configuration that follows an offset, with the
    /// channel for the reply.
    Pull(u64, oneshot::Sender<Option<Frame>>),
    /// The VM states of the VM list, by VM name.
    VmStates(HashMap<String, crate::vms::VmState>),
}

/// Sends events to the control task.
#[derive(Clone, Debug)]
pub struct ControlQueue {
    event_sender: mpsc::Sender<ControlEvent>,
}

impl ControlQueue {
    /// Sends an event to the control task.
    pub async fn send_event(&self, event: ControlEvent) {
        // The control task ends only with the process.
        let _ = self.event_sender.send(event).await;
    }

    /// Returns the configuration that is missing at a peer whose next log
    /// offset is `peer_offset`, if any.
    pub async fn missing_config(&self, peer_offset: u64) -> Option<Frame> {
        let (sender, answer) = oneshot::channel();
        self.send_event(ControlEvent::Pull(peer_offset, sender)).await;
        answer.await.ok().flatten()
    }
}

/// Creates the event queue of the control task.
pub fn new_control_queue() -> (ControlQueue, mpsc::Receiver<ControlEvent>) {
    let (event_sender, events) = mpsc::channel(CONTROL_QUEUE_CAPACITY);
    (ControlQueue { event_sender }, events)
}

/// The interval at which the ejected targets of each service are counted.
const EJECTION_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Counts ejected targets while the entry process runs, so that a choice need
/// not look at all targets.
pub async fn watch_ejections(shared: Arc<EntryState>) {
    loop {
        timer::sleep(EJECTION_CHECK_INTERVAL).await;
        shared
            .published_view
            .current_view()
            .update_ignored_ejections(Millis::now());
    }
}

/// The state of the control task.
#[derive(Debug)]
pub struct ControlTask {
    shared: Arc<EntryState>,
    state: ConfigState,
    recent_records: VecDeque<ByteBuf>,
    targets: HashMap<Name, Arc<Target>>,
    /// The targets whose VM the VM list has shown.
    listed_vms: HashSet<Name>,
}

impl ControlTask {
    /// Creates the control task with an empty configuration.
    pub fn new(shared: Arc<EntryState>) -> ControlTask {
        ControlTask {
            shared,
            state: ConfigState::new(),
            recent_records: VecDeque::new(),
            targets: HashMap::new(),
            listed_vms: HashSet::new(),
        }
    }

    /// Handles events while the entry process runs.
    pub async fn handle_events(
        mut self,
        mut events: mpsc::Receiver<ControlEvent>,
    ) {
        self.publish_view();
        while let Some(event) = events.recv().await {
            let before = self.state.next_offset();
            self.handle_control_event(event);
            while let Ok(event) = events.try_recv() {
                self.handle_control_event(event);
            }
            if self.state.next_offset() != before {
                self.publish_view();
            }
        }
    }

    fn handle_control_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Records(records) => self.apply_records(records),
            ControlEvent::Snapshot(snapshot) => self.adopt_snapshot(&snapshot),
            ControlEvent::Pull(peer_offset, answer) => {
                // A peer that disconnected does not wait for the reply.
                let _ = answer.send(self.missing_config(peer_offset));
            }
            ControlEvent::VmStates(states) => self.apply_vm_states(&states),
        }
    }

    /// Applies log records in order and skips those that are already applied.
    fn apply_records(&mut self, records: ConfigRecords) {
        for (offset, bytes) in
            (records.first_record_offset..).zip(records.encoded_records)
        {
            if offset < self.state.next_offset() {
                continue;
            }
            match self.state.apply_record(offset, &bytes) {
                Ok(outcome) => {
                    self.log_verdict(offset, outcome);
                    self.record_log_snapshot(&bytes);
                    self.recent_records.push_back(bytes);
                    if self.recent_records.len() > MAX_RECENT_RECORDS {
                        self.recent_records.pop_front();
                    }
                }
                // A snapshot, or records from a peer, will close the gap
                // before these records.
                Err(_) => return,
            }
        }
    }

    /// Replaces the configuration state by a snapshot that is ahead.
    fn adopt_snapshot(&mut self, snapshot: &ConfigSnapshot) {
        if snapshot.next_offset <= self.state.next_offset() {
            return;
        }
        let Some(other) = fold::decode_state(&snapshot.encoded_config) else {
            return;
        };
        if self.state.adopt_newer_peer_state(other) == StateAdoption::Advanced
        {
            self.recent_records.clear();
            info!(self.shared.logger, "config_snapshot";
                "next" => self.state.next_offset());
        }
    }

    /// Returns the recent records from `peer_offset` on, or the whole state if
    /// those records are no longer kept.
    fn missing_config(&self, peer_offset: u64) -> Option<Frame> {
        let own = self.state.next_offset();
        if peer_offset >= own {
            return None;
        }
        let first = own - self.recent_records.len() as u64;
        if peer_offset >= first {
            let skip = (peer_offset - first) as usize;
            let encoded_records =
                self.recent_records.iter().skip(skip).cloned().collect();
            return Some(Frame::ConfigRecords(ConfigRecords {
                first_record_offset: peer_offset,
                encoded_records,
            }));
        }
        Some(Frame::ConfigSnapshot(ConfigSnapshot {
            next_offset: own,
            encoded_config: fold::encode_state(&self.state),
        }))
    }

    /// Updates the targets with the states of the VM list.
    fn apply_vm_states(
        &mut self,
        states: &HashMap<String, crate::vms::VmState>,
    ) {
        for target in self.targets.values() {
            let state = states.get(&*target.name);
            let leaving = state == Some(&crate::vms::VmState::Leaving);
            let before = target.vm_leaving.swap(leaving, Ordering::Relaxed);
            if before != leaving {
                info!(self.shared.logger, "vm_state";
                    "target" => %target.name, "leaving" => leaving);
            }
            let seen = self.listed_vms.contains(&target.name);
            target.vm_gone.store(seen && state.is_none(), Ordering::Relaxed);
            if state.is_some() {
                self.listed_vms.insert(target.name.clone());
            }
        }
    }

    /// Publishes a view of the current state. Targets whose address and
    /// service are unchanged keep their link.
    fn publish_view(&mut self) {
        let old = self.shared.published_view.current_view();
        let state = Arc::new(self.state.clone());
        let mut known = std::mem::take(&mut self.targets);
        let mut kept = HashMap::new();
        let view = ConfigView::new(state, &old, |declared| {
            let target = known
                .remove(&declared.name)
                .filter(|it| it.agent_address == declared.agent_address)
                .filter(|it| it.service == declared.service)
                .unwrap_or_else(|| self.open_target(declared));
            let drain = ObjectKey::new(ObjectKind::Drain, &declared.name);
            let drained = self.state.get(&drain).is_some();
            target.is_drained.store(drained, Ordering::Relaxed);
            kept.insert(declared.name.clone(), target.clone());
            target
        });
        for target in known.values() {
            target.drop_link_and_stop_dialling();
        }
        self.targets = kept;
        self.shared.published_view.publish_view(view);
    }

    /// Creates the state of a declared target and starts to dial its agent.
    fn open_target(
        &self,
        declared: &cowsliproad_config::object::Target,
    ) -> Arc<Target> {
        let target = Arc::new(Target::new(declared));
        let dial = links::keep_agent_link(self.shared.clone(), target.clone());
        let task = self.shared.runtimes.traffic_runtime.spawn(dial);
        target.set_dial_task(task.abort_handle());
        target
    }

    /// Records a snapshot in the log, so that this entry process delays its
    /// own when another entry process has written one.
    fn record_log_snapshot(&self, bytes: &[u8]) {
        if bytes.len() < MIN_SNAPSHOT_BYTES {
            return;
        }
        let record = fold::decode_record(bytes).map(|record| record.change);
        if let Some(ConfigChange::Snapshot(state)) = record {
            self.shared
                .published_view
                .record_snapshot_offset(state.next_offset());
        }
    }

    /// Logs the verdict of a configuration command.
    fn log_verdict(
        &self,
        offset: u64,
        outcome: Option<(id::Command, ChangeOutcome)>,
    ) {
        let Some((command, verdict)) = outcome else { return };
        let verdict = match verdict {
            ChangeOutcome::Accepted(_) => "accepted",
            ChangeOutcome::Refused(code) => code.name(),
        };
        info!(self.shared.logger, "config_record";
            "offset" => offset, "command" => %command,
            "verdict" => verdict);
    }
}
