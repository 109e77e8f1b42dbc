//! Links to agents and between entries.
//!
//! An entry keeps a link to every agent that the configuration names, and
//! one to every entry in its settings. On both, heartbeats tell how far the
//! peer's configuration is, and whoever is further sends what is lacking.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cowsliproad_kernel::{
    clock::Millis,
    wire::{AgentLoad, Frame, Heartbeat, ProcessRole, TargetPresence},
};
use cowsliproad_net::link::{self, Identity, Receiver, Sender};
use slog::{debug, info};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::{
    Shared,
    control::Event,
    quarantine,
    target::{Link, Target},
};

/// The time between an entry's heartbeats.
const BEAT: Duration = Duration::from_millis(500);

/// The offset of the first record; nothing is configured before it.
const FIRST_OFFSET: u64 = 1;

/// The shortest and longest time between two tries to dial.
const REDIAL_MS: std::ops::Range<u64> = 50..150;

/// Entries spread what an agent lacks over so many delays, so that mostly
/// one of them sends it.
const PUSH_SLOTS: u64 = 4;

/// The time between two of these delays.
const PUSH_SLOT: Millis = Millis(150);

/// Keeps a link to an agent up.
pub async fn dial_agent(shared: Arc<Shared>, target: Arc<Target>) {
    let identity = identity(&shared);
    loop {
        match link::dial(target.address, &identity).await {
            Ok((sender, receiver, beat)) => {
                info!(shared.log, "link_up";
                    "target" => %target.name,
                    "incarnation" => %beat.incarnation);
                serve_agent(&shared, &target, sender, receiver, beat).await;
                info!(shared.log, "link_down"; "target" => %target.name);
            }
            Err(error) => {
                debug!(shared.log, "dial_failed";
                    "target" => %target.name, "error" => %error);
            }
        }
        sleep(redial()).await;
    }
}

async fn serve_agent(
    shared: &Arc<Shared>,
    target: &Arc<Target>,
    sender: Sender,
    mut receiver: Receiver,
    beat: Heartbeat,
) {
    let link = Arc::new(Link::new(sender.clone(), beat.incarnation));
    target.take_beat(beat.clone(), Millis::now());
    target.link.store(Some(link.clone()));
    let mut push = Push::new(&shared.settings.name, &target.name);
    push.compare(shared, &sender, beat.next_config_offset).await;
    while let Some(frame) = receiver.recv().await {
        match frame {
            Frame::Heartbeat(beat) => {
                let offset = beat.next_config_offset;
                target.take_beat(beat, Millis::now());
                push.compare(shared, &sender, offset).await;
            }
            Frame::SuspectedRequests(suspects) => {
                quarantine::hear(shared, target, suspects);
            }
            other => take(shared, &sender, &link, other).await,
        }
    }
    target.unlink();
}

async fn take(
    shared: &Arc<Shared>,
    sender: &Sender,
    link: &Link,
    frame: Frame,
) {
    match frame {
        Frame::ConfigRecords(_)
        | Frame::ConfigSnapshot(_)
        | Frame::PullConfig(_) => {
            take_config(shared, sender, frame).await;
        }
        other => link.deliver(other),
    }
}

async fn take_config(shared: &Shared, sender: &Sender, frame: Frame) {
    match frame {
        Frame::ConfigRecords(records) => {
            shared.control.tell(Event::Records(records)).await;
        }
        Frame::ConfigSnapshot(snapshot) => {
            shared.control.tell(Event::Snapshot(snapshot)).await;
        }
        Frame::PullConfig(next) => {
            if let Some(frame) = shared.control.lacking(next).await {
                // A link that broke is compared anew when it is back.
                let _ = sender.send(frame).await;
            }
        }
        _ => {}
    }
}

/// When to send a peer the configuration that it lacks.
struct Push {
    delay: Millis,
    behind_since: Option<Millis>,
}

impl Push {
    fn new(own: &str, peer: &str) -> Push {
        let hash = blake3::hash(format!("{own} {peer}").as_bytes());
        let slot = u64::from(hash.as_bytes()[0]) % PUSH_SLOTS;
        Push { delay: Millis(slot * PUSH_SLOT.0), behind_since: None }
    }

    async fn compare(
        &mut self,
        shared: &Shared,
        sender: &Sender,
        offset: u64,
    ) {
        let own = shared.published.load().state.next_offset();
        if offset > own {
            // A broken link is compared anew when it is back.
            let _ = sender.send(Frame::PullConfig(own)).await;
        }
        if offset >= own {
            self.behind_since = None;
            return;
        }
        let now = Millis::now();
        let since = *self.behind_since.get_or_insert(now);
        // A peer without any configuration doesn't wait its turn: it could
        // not hand its work over yet if it had to stop.
        if offset > FIRST_OFFSET && now.since(since) < self.delay {
            return;
        }
        if let Some(frame) = shared.control.lacking(offset).await {
            let _ = sender.send(frame).await;
        }
    }
}

/// Keeps a link to another entry up.
pub async fn dial_peer(shared: Arc<Shared>, address: SocketAddr) {
    let identity = identity(&shared);
    loop {
        if let Ok((sender, receiver, beat)) =
            link::dial(address, &identity).await
        {
            serve_peer(&shared, sender, receiver, Some(beat)).await;
        }
        sleep(redial()).await;
    }
}

/// Asks an agent for the configuration until there is one.
pub async fn dial_seed(shared: Arc<Shared>, address: SocketAddr) {
    let mut published = shared.published.subscribe();
    let configured = async {
        // The sender lives as long as `shared`, so waiting can't fail.
        let _ = published.wait_for(|next| *next > FIRST_OFFSET).await;
    };
    tokio::select! {
        () = dial_peer(shared.clone(), address) => {}
        () = configured => {}
    }
}

/// Accepts links from other entries for as long as the entry runs.
pub async fn accept_peers(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                tokio::spawn(accept_peer(shared.clone(), tcp));
            }
            Err(_) => sleep(redial()).await,
        }
    }
}

async fn accept_peer(shared: Arc<Shared>, tcp: TcpStream) {
    let key = shared.settings.key.0;
    let accepted = link::accept(tcp, &key, beat_of(&shared)).await;
    if let Ok((sender, receiver, _)) = accepted {
        serve_peer(&shared, sender, receiver, None).await;
    }
}

async fn serve_peer(
    shared: &Arc<Shared>,
    sender: Sender,
    mut receiver: Receiver,
    beat: Option<Heartbeat>,
) {
    let beats = tokio::spawn(beat_peer(shared.clone(), sender.clone()));
    let mut push = Push { delay: Millis(0), behind_since: None };
    if let Some(beat) = beat {
        push.compare(shared, &sender, beat.next_config_offset).await;
    }
    while let Some(frame) = receiver.recv().await {
        match frame {
            Frame::Heartbeat(beat) => {
                push.compare(shared, &sender, beat.next_config_offset).await;
            }
            other => take_config(shared, &sender, other).await,
        }
    }
    beats.abort();
}

async fn beat_peer(shared: Arc<Shared>, sender: Sender) {
    while sender.send(Frame::Heartbeat(beat_of(&shared))).await.is_ok() {
        sleep(BEAT).await;
    }
}

/// Sends heartbeats to all agents for as long as the entry runs.
pub async fn beat(shared: Arc<Shared>) {
    loop {
        sleep(BEAT).await;
        let beat = beat_of(&shared);
        for target in shared.published.load().targets.values() {
            if let Some(link) = &*target.link.load() {
                // A full queue keeps the link from falling silent anyway.
                let _ = link.try_send(Frame::Heartbeat(beat.clone()));
            }
        }
    }
}

fn beat_of(shared: &Shared) -> Heartbeat {
    Heartbeat {
        sender_name: shared.settings.name.clone(),
        incarnation: shared.incarnation,
        sender_clock: Millis::now(),
        phase: shared.phase(),
        load: AgentLoad::default(),
        target_cooldown_remaining: Millis(0),
        presence: TargetPresence::Here,
        taken_over_incarnations: Vec::new(),
        next_config_offset: shared.published.load().state.next_offset(),
    }
}

fn identity(shared: &Shared) -> Identity {
    Identity {
        role: ProcessRole::Entry,
        name: shared.settings.name.clone(),
        zone: shared.settings.zone.clone(),
        key: shared.settings.key.0,
        source_address: shared.settings.source,
    }
}

fn redial() -> Duration {
    Duration::from_millis(rand::random_range(REDIAL_MS))
}
