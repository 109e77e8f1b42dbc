//! The control task, which alone owns the configuration replica.
//!
//! Events come in through one queue, from the log, from peers and from the
//! VM list. After each batch a new [`View`] is published. Records are kept
//! for a while as they came, so that a peer that lags a little is sent the
//! records and only one that lags much is sent the whole state.

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
use serde_bytes::ByteBuf;
use slog::info;
use tokio::sync::{mpsc, oneshot};

use crate::{Shared, links, target::Target, view::View};

/// Records that are kept as they came.
const RECENT: usize = 1024;

/// A snapshot that is due is never smaller than this, in bytes.
const MIN_SNAPSHOT: usize = 4_096;

/// Events that may wait.
const QUEUE: usize = 1024;

/// Something the control task must know.
#[derive(Debug)]
pub enum Event {
    /// Records of the log.
    Records(ConfigRecords),
    /// A peer's state.
    Snapshot(ConfigSnapshot),
    /// A peer asks for what follows an offset.
    Pull(u64, oneshot::Sender<Option<Frame>>),
    /// The VM list's states by name.
    Vms(HashMap<String, crate::vms::State>),
}

/// Where events go.
#[derive(Clone, Debug)]
pub struct Inbox {
    queue: mpsc::Sender<Event>,
}

impl Inbox {
    /// Tells the control task something.
    pub async fn tell(&self, event: Event) {
        // The control task ends only with the process.
        let _ = self.queue.send(event).await;
    }

    /// What a peer that has folded up to `next` lacks.
    pub async fn lacking(&self, next: u64) -> Option<Frame> {
        let (sender, answer) = oneshot::channel();
        self.tell(Event::Pull(next, sender)).await;
        answer.await.ok().flatten()
    }
}

/// Makes the queue of events.
pub fn inbox() -> (Inbox, mpsc::Receiver<Event>) {
    let (queue, events) = mpsc::channel(QUEUE);
    (Inbox { queue }, events)
}

/// How often ejections are counted.
const WEIGH: Duration = Duration::from_millis(100);

/// Counts ejections for as long as the entry runs, so that a choice needs
/// not look at all targets.
pub async fn weigh_ejections(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(WEIGH).await;
        shared.published.load().weigh_ejections(Millis::now());
    }
}

/// The control task's state.
#[derive(Debug)]
pub struct Control {
    shared: Arc<Shared>,
    state: ConfigState,
    recent: VecDeque<ByteBuf>,
    targets: HashMap<Name, Arc<Target>>,
    /// The targets that the VM list has shown.
    vms_seen: HashSet<Name>,
}

impl Control {
    /// Starts from an empty configuration.
    pub fn new(shared: Arc<Shared>) -> Control {
        Control {
            shared,
            state: ConfigState::new(),
            recent: VecDeque::new(),
            targets: HashMap::new(),
            vms_seen: HashSet::new(),
        }
    }

    /// Handles events for as long as the entry runs.
    pub async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        self.publish();
        while let Some(event) = events.recv().await {
            let before = self.state.next_offset();
            self.take(event);
            while let Ok(event) = events.try_recv() {
                self.take(event);
            }
            if self.state.next_offset() != before {
                self.publish();
            }
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Records(records) => self.records(records),
            Event::Snapshot(snapshot) => self.snapshot(&snapshot),
            Event::Pull(next, answer) => {
                // A peer that left does not wait for its answer.
                let _ = answer.send(self.lacking(next));
            }
            Event::Vms(states) => self.vms(&states),
        }
    }

    fn records(&mut self, records: ConfigRecords) {
        for (offset, bytes) in
            (records.first_record_offset..).zip(records.encoded_records)
        {
            if offset < self.state.next_offset() {
                continue;
            }
            match self.state.apply_record(offset, &bytes) {
                Ok(outcome) => {
                    self.log_verdict(offset, outcome);
                    self.note_snapshot(&bytes);
                    self.recent.push_back(bytes);
                    if self.recent.len() > RECENT {
                        self.recent.pop_front();
                    }
                }
                // A snapshot or a peer closes the gap.
                Err(_) => return,
            }
        }
    }

    fn snapshot(&mut self, snapshot: &ConfigSnapshot) {
        if snapshot.next_offset <= self.state.next_offset() {
            return;
        }
        let Some(other) = fold::decode_state(&snapshot.encoded_config) else {
            return;
        };
        if self.state.adopt_newer_peer_state(other) == StateAdoption::Advanced
        {
            self.recent.clear();
            info!(self.shared.log, "config_snapshot";
                "next" => self.state.next_offset());
        }
    }

    fn lacking(&self, next: u64) -> Option<Frame> {
        let own = self.state.next_offset();
        if next >= own {
            return None;
        }
        let first = own - self.recent.len() as u64;
        if next >= first {
            let skip = (next - first) as usize;
            let encoded_records =
                self.recent.iter().skip(skip).cloned().collect();
            return Some(Frame::ConfigRecords(ConfigRecords {
                first_record_offset: next,
                encoded_records,
            }));
        }
        Some(Frame::ConfigSnapshot(ConfigSnapshot {
            next_offset: own,
            encoded_config: fold::encode_state(&self.state),
        }))
    }

    fn vms(&mut self, states: &HashMap<String, crate::vms::State>) {
        for target in self.targets.values() {
            let state = states.get(&*target.name);
            let leaving = state == Some(&crate::vms::State::Leaving);
            let before = target.vm_leaving.swap(leaving, Ordering::Relaxed);
            if before != leaving {
                info!(self.shared.log, "vm_state";
                    "target" => %target.name, "leaving" => leaving);
            }
            let seen = self.vms_seen.contains(&target.name);
            target.vm_gone.store(seen && state.is_none(), Ordering::Relaxed);
            if state.is_some() {
                self.vms_seen.insert(target.name.clone());
            }
        }
    }

    fn publish(&mut self) {
        let old = self.shared.published.load();
        let state = Arc::new(self.state.clone());
        let mut known = std::mem::take(&mut self.targets);
        let mut kept = HashMap::new();
        let view = View::new(state, &old, |declared| {
            let target = known
                .remove(&declared.name)
                .filter(|it| it.address == declared.agent_address)
                .filter(|it| it.service == declared.service)
                .unwrap_or_else(|| self.open(declared));
            let drain = ObjectKey::new(ObjectKind::Drain, &declared.name);
            let drained = self.state.get(&drain).is_some();
            target.drained.store(drained, Ordering::Relaxed);
            kept.insert(declared.name.clone(), target.clone());
            target
        });
        for target in known.values() {
            target.close();
        }
        self.targets = kept;
        self.shared.published.publish(view);
    }

    fn open(
        &self,
        declared: &cowsliproad_config::object::Target,
    ) -> Arc<Target> {
        let target = Arc::new(Target::new(declared));
        let dial = links::dial_agent(self.shared.clone(), target.clone());
        let task = self.shared.threads.traffic_runtime.spawn(dial);
        target.set_dialler(task.abort_handle());
        target
    }

    /// Another entry's snapshot puts off this one's.
    fn note_snapshot(&self, bytes: &[u8]) {
        if bytes.len() < MIN_SNAPSHOT {
            return;
        }
        let record = fold::decode_record(bytes).map(|record| record.change);
        if let Some(ConfigChange::Snapshot(state)) = record {
            self.shared.published.set_snapshot(state.next_offset());
        }
    }

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
        info!(self.shared.log, "config_record";
            "offset" => offset, "command" => %command,
            "verdict" => verdict);
    }
}
