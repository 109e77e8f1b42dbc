//! Links to agents and between entry processes.
//!
//! An entry process keeps a link to every agent in the configuration and to
//! every entry process in its settings. On both kinds of link, heartbeats
//! state the configuration offset of the sender, and the side that is ahead
//! sends the missing configuration.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cowsliproad_kernel::{
    clock::Millis,
    wire::{AgentLoad, Frame, Heartbeat, ProcessRole, TargetProcessState},
};
use cowsliproad_net::link::{self, Identity, Receiver, Sender};
use cowsliproad_net::timer::sleep;
use slog::{debug, info};
use tokio::net::{TcpListener, TcpStream};

use crate::{
    EntryState,
    control::ControlEvent,
    quarantine,
    target::{AgentLink, Target},
};

/// The interval between heartbeats of an entry process.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The offset of the first configuration record. Nothing is configured before
/// it.
const FIRST_CONFIG_OFFSET: u64 = 1;

/// The backoff between two dial attempts, in milliseconds, drawn from this
/// range.
const REDIAL_BACKOFF_MS: std::ops::Range<u64> = 50..150;

/// The number of delays over which entry processes spread the configuration
/// that an agent lacks, so that mostly only one of them sends it.
const CONFIG_PUSH_DELAY_STEPS: u64 = 4;

/// The difference between two successive delays of configuration pushes.
const CONFIG_PUSH_DELAY_STEP: Millis = Millis(150);

/// Keeps the link to an agent up.
pub async fn keep_agent_link(shared: Arc<EntryState>, target: Arc<Target>) {
    let identity = own_identity(&shared);
    loop {
        match link::dial(target.agent_address, &identity).await {
            Ok((sender, receiver, heartbeat)) => {
                info!(shared.logger, "link_up";
                    "target" => %target.name,
                    "incarnation" => %heartbeat.incarnation);
                serve_agent_link(
                    &shared, &target, sender, receiver, heartbeat,
                )
                .await;
                info!(shared.logger, "link_down"; "target" => %target.name);
            }
            Err(error) => {
                debug!(shared.logger, "dial_failed";
                    "target" => %target.name, "error" => %error);
            }
        }
        sleep(random_redial_backoff()).await;
    }
}

/// Handles the frames of an agent until the link breaks.
async fn serve_agent_link(
    shared: &Arc<EntryState>,
    target: &Arc<Target>,
    sender: Sender,
    mut receiver: Receiver,
    heartbeat: Heartbeat,
) {
    let link = Arc::new(AgentLink::new(sender.clone(), heartbeat.incarnation));
    target.record_heartbeat(heartbeat.clone(), Millis::now());
    target.agent_link.store(Some(link.clone()));
    let mut config_push = ConfigPush::new(&shared.settings.name, &target.name);
    config_push
        .sync_config_with_peer(shared, &sender, heartbeat.next_config_offset)
        .await;
    while let Some(frame) = receiver.recv().await {
        match frame {
            Frame::Heartbeat(heartbeat) => {
                let offset = heartbeat.next_config_offset;
                target.record_heartbeat(heartbeat, Millis::now());
                config_push
                    .sync_config_with_peer(shared, &sender, offset)
                    .await;
            }
            Frame::CrashSuspectRequests(suspects) => {
                quarantine::merge_suspected_requests(shared, target, suspects);
            }
            other => handle_agent_frame(shared, &sender, &link, other).await,
        }
    }
    target.drop_link();
}

/// Handles a frame from an agent: configuration frames go to the control task,
/// answer frames to their attempt.
async fn handle_agent_frame(
    shared: &Arc<EntryState>,
    sender: &Sender,
    link: &AgentLink,
    frame: Frame,
) {
    match frame {
        Frame::ConfigRecords(_)
        | Frame::ConfigSnapshot(_)
        | Frame::PullConfig(_) => {
            handle_config_frame(shared, sender, frame).await;
        }
        other => link.deliver_to_attempt(other),
    }
}

/// Handles a configuration frame from an agent or another entry process.
async fn handle_config_frame(
    shared: &EntryState,
    sender: &Sender,
    frame: Frame,
) {
    match frame {
        Frame::ConfigRecords(records) => {
            shared
                .control_queue
                .send_event(ControlEvent::Records(records))
                .await;
        }
        Frame::ConfigSnapshot(snapshot) => {
            shared
                .control_queue
                .send_event(ControlEvent::Snapshot(snapshot))
                .await;
        }
        Frame::PullConfig(next) => {
            if let Some(frame) =
                shared.control_queue.missing_config(next).await
            {
                // If the link broke, the offsets are compared again once it is
                // up.
                let _ = sender.send(frame).await;
            }
        }
        _ => {}
    }
}

/// Decides when a peer is sent the configuration that it lacks.
struct ConfigPush {
    push_delay: Millis,
    peer_behind_since: Option<Millis>,
}

impl ConfigPush {
    fn new(own_name: &str, peer_name: &str) -> ConfigPush {
        let hash = blake3::hash(format!("{own_name} {peer_name}").as_bytes());
        let delay_steps =
            u64::from(hash.as_bytes()[0]) % CONFIG_PUSH_DELAY_STEPS;
        ConfigPush {
            push_delay: Millis(delay_steps * CONFIG_PUSH_DELAY_STEP.0),
            peer_behind_since: None,
        }
    }

    /// Compares configuration offsets with a peer: pulls from a peer that is
    /// ahead, and pushes to a peer that has been behind for `push_delay`.
    async fn sync_config_with_peer(
        &mut self,
        shared: &EntryState,
        sender: &Sender,
        peer_offset: u64,
    ) {
        let own =
            shared.published_view.current_view().config_state.next_offset();
        if peer_offset > own {
            // If the link broke, the offsets are compared again once it is up.
            let _ = sender.send(Frame::PullConfig(own)).await;
        }
        if peer_offset >= own {
            self.peer_behind_since = None;
            return;
        }
        let now = Millis::now();
        let since = *self.peer_behind_since.get_or_insert(now);
        // A peer without any configuration is sent it without delay: until
        // then it could not hand its work over if it had to stop.
        if peer_offset > FIRST_CONFIG_OFFSET
            && now.since(since) < self.push_delay
        {
            return;
        }
        if let Some(frame) =
            shared.control_queue.missing_config(peer_offset).await
        {
            let _ = sender.send(frame).await;
        }
    }
}

/// Keeps the link to another entry process up.
pub async fn keep_peer_link(shared: Arc<EntryState>, address: SocketAddr) {
    let identity = own_identity(&shared);
    loop {
        if let Ok((sender, receiver, heartbeat)) =
            link::dial(address, &identity).await
        {
            serve_peer_link(&shared, sender, receiver, Some(heartbeat)).await;
        }
        sleep(random_redial_backoff()).await;
    }
}

/// Keeps a link to an agent up and pulls the configuration until this entry
/// process has one.
pub async fn pull_config_from_seed(
    shared: Arc<EntryState>,
    address: SocketAddr,
) {
    let mut published = shared.published_view.subscribe_offsets();
    let configured = async {
        // The watch sender is owned by `shared`, so waiting cannot fail.
        let _ = published.wait_for(|next| *next > FIRST_CONFIG_OFFSET).await;
    };
    tokio::select! {
        () = keep_peer_link(shared.clone(), address) => {}
        () = configured => {}
    }
}

/// Accepts links from other entry processes while this one runs.
pub async fn accept_peer_links(
    shared: Arc<EntryState>,
    listener: TcpListener,
) {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                tokio::spawn(accept_peer_link(shared.clone(), tcp));
            }
            Err(_) => sleep(random_redial_backoff()).await,
        }
    }
}

async fn accept_peer_link(shared: Arc<EntryState>, tcp: TcpStream) {
    let key = shared.settings.shared_key.0;
    let accepted = link::accept(tcp, &key, own_heartbeat(&shared)).await;
    if let Ok((sender, receiver, _)) = accepted {
        serve_peer_link(&shared, sender, receiver, None).await;
    }
}

/// Handles the frames of another entry process until the link breaks.
async fn serve_peer_link(
    shared: &Arc<EntryState>,
    sender: Sender,
    mut receiver: Receiver,
    heartbeat: Option<Heartbeat>,
) {
    let heartbeat_task =
        tokio::spawn(send_peer_heartbeats(shared.clone(), sender.clone()));
    let mut config_push =
        ConfigPush { push_delay: Millis(0), peer_behind_since: None };
    if let Some(heartbeat) = heartbeat {
        config_push
            .sync_config_with_peer(
                shared,
                &sender,
                heartbeat.next_config_offset,
            )
            .await;
    }
    while let Some(frame) = receiver.recv().await {
        match frame {
            Frame::Heartbeat(heartbeat) => {
                config_push
                    .sync_config_with_peer(
                        shared,
                        &sender,
                        heartbeat.next_config_offset,
                    )
                    .await;
            }
            other => handle_config_frame(shared, &sender, other).await,
        }
    }
    heartbeat_task.abort();
}

/// Sends heartbeats to another entry process until the link breaks.
async fn send_peer_heartbeats(shared: Arc<EntryState>, sender: Sender) {
    while sender.send(Frame::Heartbeat(own_heartbeat(&shared))).await.is_ok() {
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Sends heartbeats to all linked agents while the entry process runs.
pub async fn send_agent_heartbeats(shared: Arc<EntryState>) {
    loop {
        sleep(HEARTBEAT_INTERVAL).await;
        let heartbeat = own_heartbeat(&shared);
        for target in shared.published_view.current_view().targets.values() {
            if let Some(link) = &*target.agent_link.load() {
                // A heartbeat is not needed when the send queue is full: the
                // queued frames show the agent that the link is alive.
                let _ =
                    link.try_send_frame(Frame::Heartbeat(heartbeat.clone()));
            }
        }
    }
}

/// The current heartbeat of this entry process.
fn own_heartbeat(shared: &EntryState) -> Heartbeat {
    Heartbeat {
        sender_name: shared.settings.name.clone(),
        incarnation: shared.own_incarnation,
        sender_clock: Millis::now(),
        phase: shared.lifecycle_phase(),
        load: AgentLoad::default(),
        target_cooldown_remaining: Millis(0),
        presence: TargetProcessState::Here,
        taken_over_incarnations: Vec::new(),
        next_config_offset: shared
            .published_view
            .current_view()
            .config_state
            .next_offset(),
    }
}

/// The identity that this entry process presents when it dials a link.
fn own_identity(shared: &EntryState) -> Identity {
    Identity {
        role: ProcessRole::Entry,
        name: shared.settings.name.clone(),
        zone: shared.settings.zone.clone(),
        key: shared.settings.shared_key.0,
        source_address: shared.settings.source_address,
    }
}

/// A random backoff before the next dial attempt.
fn random_redial_backoff() -> Duration {
    Duration::from_millis(rand::random_range(REDIAL_BACKOFF_MS))
}
