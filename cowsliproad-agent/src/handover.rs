//! The graceful stop.
//!
//! A stopping agent first refuses new work, then finishes what it has, then
//! hands its ticket records and kept answers to a peer agent of the same
//! service, preferably in its own availability zone. The peer announces in
//! its heartbeats that it answers for the stopped process, so the planned
//! restarts of every day leave no outcome unknown.

use std::time::Duration;

use cowsliproad_admission::register::TicketRegister;
use cowsliproad_config::{ConfigObject, object::Target};
use cowsliproad_kernel::{
    clock::Millis,
    id,
    wire::{Frame, Handover, ProcessRole, StoredAnswer},
};
use cowsliproad_net::link::{self, Identity, Sender};
use slog::{info, warn};
use tokio::time::{Instant, sleep, timeout};

use crate::{Agent, gate::Estate};

/// How often the stop looks whether the work is done.
const POLL: Duration = Duration::from_millis(10);

/// How long entries get to hear that the agent is leaving and to read the
/// ends of answers.
const LINGER: Duration = Duration::from_millis(300);

/// How long a peer may take to confirm.
const CONFIRM: Duration = Duration::from_secs(5);

/// How long an agent that knows no peers waits to hear of them.
const CONFIGURATION: Duration = Duration::from_secs(1);

/// How often it asks for them.
const ASK_AGAIN: Duration = Duration::from_millis(50);

/// Bytes of answers in one message.
const CHUNK: usize = 4 << 20;

/// Stops an agent gracefully.
pub async fn stop(agent: &Agent) {
    agent.gate.leave();
    agent.links.beat();
    let deadline = Instant::now() + agent.settings.stop_ms.duration();
    while agent.gate.in_hand() > 0 && Instant::now() < deadline {
        sleep(POLL).await;
    }
    let peers = find_peers(agent).await;
    let estate = agent.gate.hand_over();
    for peer in peers {
        if hand_to(agent, &peer, &estate).await {
            info!(agent.log, "handed_over";
                "peer" => %peer.name,
                "answers" => estate.answers.len());
            break;
        }
        warn!(agent.log, "handover_failed"; "peer" => %peer.name);
    }
    sleep(LINGER).await;
}

/// The agents that could take over. An agent may stop before it has heard
/// of them, so it asks the entries for the latest configuration first.
async fn find_peers(agent: &Agent) -> Vec<Target> {
    let deadline = Instant::now() + CONFIGURATION;
    loop {
        let found = peers(agent);
        if !found.is_empty() || Instant::now() >= deadline {
            return found;
        }
        agent.links.pull();
        sleep(ASK_AGAIN).await;
    }
}

/// Reads the ticket records in a handover.
pub fn decode(bytes: &[u8]) -> Option<TicketRegister> {
    ciborium::from_reader(bytes).ok()
}

/// The other agents of the service, those of the same zone first.
fn peers(agent: &Agent) -> Vec<Target> {
    let name = &agent.settings.name;
    let mut peers = agent.replica.with(|state| {
        let targets = state.objects().filter_map(|it| match &it.object {
            ConfigObject::Target(target) => Some(target.clone()),
            _ => None,
        });
        let targets: Vec<Target> = targets.collect();
        let own = targets.iter().find(|it| it.name == *name).cloned();
        let service = own.map(|it| it.service);
        let peers = targets.into_iter().filter(|it| {
            it.name != *name && Some(&it.service) == service.as_ref()
        });
        peers.collect::<Vec<_>>()
    });
    peers.sort_by_key(|it| it.zone != agent.settings.zone);
    peers
}

async fn hand_to(agent: &Agent, peer: &Target, estate: &Estate) -> bool {
    let identity = Identity {
        role: ProcessRole::Agent,
        name: agent.settings.name.clone(),
        zone: agent.settings.zone.clone(),
        key: agent.settings.key.0,
        source_address: None,
    };
    let Ok((sender, mut receiver, beat)) =
        link::dial(peer.agent_address, &identity).await
    else {
        return false;
    };
    if beat.phase != cowsliproad_kernel::wire::ProcessPhase::Serving {
        return false;
    }
    let sent = send(&sender, estate).await;
    let Some(last) = sent else { return false };
    let confirmed = async {
        while let Some(frame) = receiver.recv().await {
            if frame == Frame::HandoverDone(last) {
                return true;
            }
        }
        false
    };
    timeout(CONFIRM, confirmed).await.unwrap_or(false)
}

/// Sends everything and tells which message confirms it.
async fn send(sender: &Sender, estate: &Estate) -> Option<id::Incarnation> {
    let own = estate.registers.first()?.incarnation;
    for chunk in chunks(&estate.answers) {
        let handover = Handover {
            incarnation: own,
            sender_clock: Millis(0),
            encoded_tickets: Vec::new(),
            stored_answers: chunk,
            has_more: true,
        };
        sender.send(Frame::Handover(Box::new(handover))).await.ok()?;
    }
    // The process's own records go last, since they end the handover.
    for (index, sealed) in estate.registers.iter().enumerate().rev() {
        let mut encoded_tickets = Vec::new();
        ciborium::into_writer(&sealed.register, &mut encoded_tickets).ok()?;
        let handover = Handover {
            incarnation: sealed.incarnation,
            sender_clock: sealed.clock,
            encoded_tickets,
            stored_answers: Vec::new(),
            has_more: index > 0,
        };
        sender.send(Frame::Handover(Box::new(handover))).await.ok()?;
    }
    Some(own)
}

fn chunks(answers: &[StoredAnswer]) -> Vec<Vec<StoredAnswer>> {
    let mut chunks = Vec::new();
    let mut chunk = Vec::new();
    let mut size = 0;
    for answer in answers {
        size += answer.result.as_ref().map_or(0, |it| it.bytes.len());
        chunk.push(answer.clone());
        if size >= CHUNK {
            chunks.push(std::mem::take(&mut chunk));
            size = 0;
        }
    }
    chunks.push(chunk);
    chunks
}
