//! The graceful stop of an agent and the handover to a peer.
//!
//! A stopping agent first refuses new requests, then finishes the accepted
//! ones, then hands its ticket records and kept answers to a peer agent of the
//! same service, preferably in its own availability zone. The peer announces
//! in its heartbeats that it answers for the stopped process, so a planned
//! restart leaves no outcome unknown.

use std::time::Duration;

use cowsliproad_admission::register::TicketRegister;
use cowsliproad_config::{ConfigObject, object::Target};
use cowsliproad_kernel::{
    clock::Millis,
    id,
    wire::{Frame, Handover, ProcessRole, StoredAnswer},
};
use cowsliproad_net::link::{self, Identity, Sender};
use cowsliproad_net::timer::{sleep, timeout};
use slog::{info, warn};

use crate::{Agent, gate::HandoverData};

/// The time between checks whether all accepted requests are finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long a stopping agent stays up after the handover, so that entry
/// processes learn that it is leaving and receive the ends of answers.
const EXIT_DELAY: Duration = Duration::from_millis(300);

/// How long a peer may take to confirm a handover.
const HANDOVER_CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a stopping agent without known peers waits for the configuration
/// that lists them.
const PEER_DISCOVERY_TIMEOUT: Duration = Duration::from_secs(1);

/// The time between requests for the configuration while no peer is known.
const CONFIG_REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// The size from which a handover message takes no further answers.
const HANDOVER_CHUNK_BYTES: usize = 4 << 20;

/// Stops an agent gracefully: drains its requests and hands its records and
/// answers to a peer.
pub async fn stop_gracefully(agent: &Agent) {
    agent.gate.start_leaving();
    agent.links.send_heartbeats();
    let deadline = Millis::now() + agent.settings.drain_timeout;
    while agent.gate.unfinished_request_count() > 0 && Millis::now() < deadline
    {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    let peers = wait_for_peers(agent).await;
    let handover_data = agent.gate.seal_for_handover();
    for peer in peers {
        if hand_over_to_peer(agent, &peer, &handover_data).await {
            info!(agent.log, "handed_over";
                "peer" => %peer.name,
                "answers" => handover_data.stored_answers.len());
            break;
        }
        warn!(agent.log, "handover_failed"; "peer" => %peer.name);
    }
    sleep(EXIT_DELAY).await;
}

/// Finds the targets whose agents can take over. If the stopping agent's
/// configuration lists no such target, the stopping agent first requests the
/// latest configuration from entry processes.
async fn wait_for_peers(agent: &Agent) -> Vec<Target> {
    let deadline = Millis::now() + PEER_DISCOVERY_TIMEOUT.into();
    loop {
        let found = known_peers(agent);
        if !found.is_empty() || Millis::now() >= deadline {
            return found;
        }
        agent.links.request_config();
        sleep(CONFIG_REQUEST_INTERVAL).await;
    }
}

/// Decodes the ticket register of a handover, or returns `None` if the bytes
/// are invalid.
pub fn decode_ticket_register(bytes: &[u8]) -> Option<TicketRegister> {
    ciborium::from_reader(bytes).ok()
}

/// The targets of the same service whose agents can take over, those in the
/// same availability zone first.
fn known_peers(agent: &Agent) -> Vec<Target> {
    let name = &agent.settings.target_name;
    let mut peers = agent.replica.read_config(|state| {
        let targets = state.objects().filter_map(|it| match &it.object {
            ConfigObject::Target(target) => Some(target.clone()),
            _ => None,
        });
        let targets: Vec<Target> = targets.collect();
        let own_target = targets.iter().find(|it| it.name == *name).cloned();
        let service = own_target.map(|it| it.service);
        let peers = targets.into_iter().filter(|it| {
            it.name != *name && Some(&it.service) == service.as_ref()
        });
        peers.collect::<Vec<_>>()
    });
    peers.sort_by_key(|it| it.zone != agent.settings.zone);
    peers
}

async fn hand_over_to_peer(
    agent: &Agent,
    peer: &Target,
    handover_data: &HandoverData,
) -> bool {
    let identity = Identity {
        role: ProcessRole::Agent,
        name: agent.settings.target_name.clone(),
        zone: agent.settings.zone.clone(),
        key: agent.settings.shared_key.0,
        source_address: None,
    };
    let Ok((sender, mut receiver, heartbeat)) =
        link::dial(peer.agent_address, &identity).await
    else {
        return false;
    };
    if heartbeat.phase != cowsliproad_kernel::wire::ProcessPhase::Serving {
        return false;
    }
    let confirmation = send_handover(&sender, handover_data).await;
    let Some(incarnation) = confirmation else { return false };
    let confirmed = async {
        while let Some(frame) = receiver.recv().await {
            if frame == Frame::HandoverDone(incarnation) {
                return true;
            }
        }
        false
    };
    timeout(HANDOVER_CONFIRM_TIMEOUT, confirmed).await.unwrap_or(false)
}

/// Sends all handover data. Returns the incarnation that the peer's
/// confirmation must carry, or `None` if the link breaks.
async fn send_handover(
    sender: &Sender,
    handover_data: &HandoverData,
) -> Option<id::Incarnation> {
    let own = handover_data.ticket_registers.first()?.incarnation;
    for chunk in split_into_chunks(&handover_data.stored_answers) {
        let handover = Handover {
            incarnation: own,
            sender_clock: Millis(0),
            encoded_tickets: Vec::new(),
            stored_answers: chunk,
            has_more: true,
        };
        sender.send(Frame::Handover(Box::new(handover))).await.ok()?;
    }
    // The agent's own ticket register goes last, since its message ends the
    // handover.
    for (index, sealed) in
        handover_data.ticket_registers.iter().enumerate().rev()
    {
        let mut encoded_tickets = Vec::new();
        ciborium::into_writer(&sealed.ticket_register, &mut encoded_tickets)
            .ok()?;
        let handover = Handover {
            incarnation: sealed.incarnation,
            sender_clock: sealed.clock_at_handover,
            encoded_tickets,
            stored_answers: Vec::new(),
            has_more: index > 0,
        };
        sender.send(Frame::Handover(Box::new(handover))).await.ok()?;
    }
    Some(own)
}

fn split_into_chunks(answers: &[StoredAnswer]) -> Vec<Vec<StoredAnswer>> {
    let mut chunks = Vec::new();
    let mut chunk = Vec::new();
    let mut chunk_bytes = 0;
    for answer in answers {
        chunk_bytes +=
            answer.result.as_ref().map_or(0, |it| it.answer_bytes.len());
        chunk.push(answer.clone());
        if chunk_bytes >= HANDOVER_CHUNK_BYTES {
            chunks.push(std::mem::take(&mut chunk));
            chunk_bytes = 0;
        }
    }
    chunks.push(chunk);
    chunks
}
