//! The links to entry processes and the frames exchanged on them.
//!
//! Each attempt on a link has a task that sends the answer as fast as the
//! entry process acknowledges it. A slow caller therefore delays neither the
//! target nor the other callers on the same link.

use std::{
    collections::HashMap,
    pin::pin,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use cowsliproad_kernel::{
    gossip::CrashSuspectRequest,
    id,
    sync::lock,
    wire::{
        self, AnswerData, AnswerEnd, AttemptRefusal, FetchAnswerRequest,
        Frame, Handover, ProcessPhase, RequestAccepted, SubmitRequest,
    },
};
use cowsliproad_net::link::{self, Receiver, Sender};
use cowsliproad_net::timer::sleep;
use slog::{Logger, info, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::AbortHandle,
};

use crate::{
    gate::TargetGate,
    replica::ConfigReplica,
    work::{AnswerEnding, AnswerPiece, RequestWork},
};

/// The time between heartbeats on a link.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// How long a request whose link broke waits for its caller to reconnect.
const RECONNECT_GRACE_TIME: Duration = Duration::from_millis(2_000);

/// The largest number of answer bytes in one frame.
const MAX_ANSWER_FRAME_BYTES: usize = 16 << 10;

/// All open links of an agent to entry processes and peer agents.
#[derive(Debug)]
pub struct AgentLinks {
    gate: Arc<TargetGate>,
    replica: Arc<ConfigReplica>,
    log: Logger,
    open_links: Mutex<Vec<Sender>>,
}

impl AgentLinks {
    /// Creates an agent's link set without open links.
    pub fn new(
        gate: Arc<TargetGate>,
        replica: Arc<ConfigReplica>,
        log: Logger,
    ) -> AgentLinks {
        AgentLinks { gate, replica, log, open_links: Mutex::default() }
    }

    /// Sends a heartbeat and the unsent crash reports on every link.
    pub fn send_heartbeats(&self) {
        self.send_heartbeats_on(self.lock_open_links());
    }

    /// Sends unsent crash and cooldown reports to every entry process, ahead
    /// of any frame that is sent after this call.
    pub fn send_unsent_reports(&self) {
        // The lock is held until the reports are queued on all links, so no
        // concurrent caller returns before that.
        let open_links = self.lock_open_links();
        if self.gate.crashes.has_unsent_reports()
            || self.gate.pacer.has_unsent_cooldown()
        {
            self.send_heartbeats_on(open_links);
        }
    }

    fn send_heartbeats_on(&self, mut open_links: MutexGuard<'_, Vec<Sender>>) {
        let reports = self.gate.crashes.take_unsent_suspects();
        self.gate.pacer.mark_cooldown_sent();
        let heartbeat = Frame::Heartbeat(
            self.gate.build_heartbeat(self.replica.next_offset()),
        );
        open_links.retain(|link| !link.is_closed());
        for link in open_links.iter() {
            // If the send queue is full, the queued frames show the peer that
            // this agent is alive, so the heartbeat may be dropped.
            let _ = link.try_send(heartbeat.clone());
            if !reports.is_empty() {
                send_crash_suspects(link, reports.clone());
            }
        }
    }

    /// Requests newer configuration from the peer of every link.
    pub fn request_config(&self) {
        let config_request = Frame::PullConfig(self.replica.next_offset());
        for link in self.lock_open_links().iter() {
            // If the send queue is full, the peer is busy; the request goes to
            // the other peers too.
            let _ = link.try_send(config_request.clone());
        }
    }

    fn lock_open_links(&self) -> MutexGuard<'_, Vec<Sender>> {
        lock(&self.open_links)
    }
}

/// Sends requests suspected of crashing the target to an entry process, also
/// when the send queue of the link is full.
fn send_crash_suspects(link: &Sender, suspects: Vec<CrashSuspectRequest>) {
    let frame = Frame::CrashSuspectRequests(suspects);
    if link.try_send(frame.clone()).is_ok() {
        return;
    }
    let link = link.clone();
    tokio::spawn(async move {
        // Sending fails only if the link breaks. The error may be ignored,
        // since the entry process receives all requests suspected of crashing
        // the target when it reconnects.
        let _ = link.send(frame).await;
    });
}

/// Sends heartbeats for as long as the agent runs.
pub async fn run_heartbeats(links: Arc<AgentLinks>) {
    loop {
        sleep(HEARTBEAT_INTERVAL).await;
        links.send_heartbeats();
    }
}

/// Accepts links for as long as the agent runs.
pub async fn accept_links(links: Arc<AgentLinks>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                tokio::spawn(serve_link(links.clone(), tcp));
            }
            Err(_) => sleep(HEARTBEAT_INTERVAL).await,
        }
    }
}

async fn serve_link(links: Arc<AgentLinks>, tcp: TcpStream) {
    let key = links.gate.settings.shared_key.0;
    let heartbeat = links.gate.build_heartbeat(links.replica.next_offset());
    let (sender, receiver, peer_hello) =
        match link::accept(tcp, &key, heartbeat).await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(links.log, "link_refused"; "error" => %error);
                return;
            }
        };
    info!(links.log, "link_open"; "peer" => %peer_hello.name);
    let suspects = links.gate.crashes.all_suspected_requests();
    if !suspects.is_empty() {
        send_crash_suspects(&sender, suspects);
    }
    links.lock_open_links().push(sender.clone());
    let session =
        LinkSession { links: links.clone(), sender, attempts: HashMap::new() };
    session.run_session(receiver).await;
    info!(links.log, "link_closed"; "peer" => %peer_hello.name);
}

/// An open link to a peer, and the attempts whose answers are sent on it.
struct LinkSession {
    links: Arc<AgentLinks>,
    sender: Sender,
    attempts: HashMap<id::Attempt, AnswerReceiver>,
}

/// An attempt on this link that receives the answer of a request.
struct AnswerReceiver {
    work: Arc<RequestWork>,
    window: Arc<AnswerWindow>,
    task: AbortHandle,
}

impl LinkSession {
    async fn run_session(mut self, mut receiver: Receiver) {
        while let Some(frame) = receiver.recv().await {
            self.handle_frame(frame).await;
        }
        for (_, listener) in self.attempts.drain() {
            listener.task.abort();
            tokio::spawn(detach_after_grace_time(
                self.links.gate.clone(),
                listener.work,
            ));
        }
    }

    async fn handle_frame(&mut self, frame: Frame) {
        match frame {
            Frame::SubmitRequest(submit) => self.submit_request(*submit),
            Frame::FetchAnswerRequest(reclaim) => self.resume_answer(&reclaim),
            Frame::AnswerAck(ack) => {
                if let Some(listener) = self.attempts.get(&ack.attempt) {
                    listener.window.acknowledge(ack.delivered_bytes);
                }
            }
            Frame::Detach(attempt) => self.detach_attempt(attempt),
            Frame::CancelRequest(cancel) => {
                let failure = self.links.gate.cancel_request(&cancel);
                self.send_refusal(cancel.attempt, failure);
            }
            Frame::ConfigRecords(records) => {
                let reply = self.links.replica.apply_records(&records);
                self.send_reply(reply).await;
            }
            Frame::ConfigSnapshot(snapshot) => {
                self.links.replica.apply_snapshot(&snapshot);
            }
            Frame::PullConfig(next) => {
                let reply = self.links.replica.snapshot_for_peer(next);
                self.send_reply(reply).await;
            }
            Frame::Handover(handover) => self.accept_handover(*handover).await,
            // Other frames need no handling: heartbeats of entry processes
            // only keep the link alive.
            _ => {}
        }
    }

    fn submit_request(&mut self, submit: SubmitRequest) {
        let attempt = submit.attempt;
        match self.links.gate.submit_request(&submit) {
            Ok(work) => self.start_sending_answer(attempt, work, 0),
            Err(failure) => self.send_refusal(attempt, failure),
        }
    }

    fn resume_answer(&mut self, reclaim: &FetchAnswerRequest) {
        match self.links.gate.find_work_to_reclaim(reclaim) {
            Ok(work) => self.start_sending_answer(
                reclaim.attempt,
                work,
                reclaim.first_byte_offset,
            ),
            Err(failure) => self.send_refusal(reclaim.attempt, failure),
        }
    }

    fn start_sending_answer(
        &mut self,
        attempt: id::Attempt,
        work: Arc<RequestWork>,
        first_byte_offset: u64,
    ) {
        work.add_listener();
        self.attempts.retain(|_, listener| !listener.task.is_finished());
        let window = Arc::new(AnswerWindow::new(first_byte_offset));
        let answer_sender = AnswerSender {
            attempt,
            work: work.clone(),
            sender: self.sender.clone(),
            window: window.clone(),
            links: self.links.clone(),
        };
        let task = tokio::spawn(answer_sender.send_answer(first_byte_offset))
            .abort_handle();
        let listener = AnswerReceiver { work, window, task };
        self.attempts.insert(attempt, listener);
    }

    fn detach_attempt(&mut self, attempt: id::Attempt) {
        let Some(listener) = self.attempts.remove(&attempt) else { return };
        listener.task.abort();
        listener.work.decrement_listener_count();
        self.links.gate.abandon_unwanted_work(&listener.work);
    }

    fn send_refusal(
        &self,
        attempt: id::Attempt,
        failure: wire::RequestFailure,
    ) {
        let frame = refusal_frame(attempt, failure);
        let sender = self.sender.clone();
        tokio::spawn(async move { sender.send(frame).await });
    }

    async fn send_reply(&self, reply: Option<Frame>) {
        if let Some(frame) = reply {
            let _ = self.sender.send(frame).await;
        }
    }

    async fn accept_handover(&self, handover: Handover) {
        let incarnation = handover.incarnation;
        let has_more = handover.has_more;
        let register = match handover.encoded_tickets.is_empty() {
            true => None,
            false => crate::handover::decode_ticket_register(
                &handover.encoded_tickets,
            ),
        };
        self.links.gate.accept_handover(handover, register);
        if !has_more {
            self.links.send_heartbeats();
            self.send_reply(Some(Frame::HandoverDone(incarnation))).await;
        }
    }
}

/// Removes the listener of a broken link after `RECONNECT_GRACE_TIME`, and
/// cancels the request if its caller has not reconnected on another link.
async fn detach_after_grace_time(
    gate: Arc<TargetGate>,
    work: Arc<RequestWork>,
) {
    sleep(RECONNECT_GRACE_TIME).await;
    work.decrement_listener_count();
    gate.abandon_unwanted_work(&work);
}

/// Flow control of one answer: limits the bytes sent but not yet acknowledged
/// by the entry process.
#[derive(Debug)]
struct AnswerWindow {
    acknowledged_bytes: AtomicU64,
    window_opened: Notify,
}

impl AnswerWindow {
    fn new(first_byte_offset: u64) -> AnswerWindow {
        AnswerWindow {
            acknowledged_bytes: AtomicU64::new(first_byte_offset),
            window_opened: Notify::new(),
        }
    }

    fn acknowledge(&self, acknowledged_bytes: u64) {
        self.acknowledged_bytes
            .fetch_max(acknowledged_bytes, Ordering::Release);
        self.window_opened.notify_waiters();
    }

    /// Waits until more bytes may be sent after the first `sent_bytes`.
    async fn wait_for_window(&self, sent_bytes: u64) {
        loop {
            let mut opened = pin!(self.window_opened.notified());
            opened.as_mut().enable();
            let acknowledged = self.acknowledged_bytes.load(Ordering::Acquire);
            if sent_bytes < acknowledged + wire::SEND_WINDOW_BYTES {
                return;
            }
            opened.await;
        }
    }
}

/// Sends the answer of a request to one attempt.
struct AnswerSender {
    attempt: id::Attempt,
    work: Arc<RequestWork>,
    sender: Sender,
    window: Arc<AnswerWindow>,
    links: Arc<AgentLinks>,
}

impl AnswerSender {
    async fn send_answer(self, first_byte_offset: u64) {
        let accepted = RequestAccepted {
            attempt: self.attempt,
            request: self.work.request_id,
        };
        if self.sender.send(Frame::RequestAccepted(accepted)).await.is_err() {
            return;
        }
        let mut sent_bytes = first_byte_offset;
        let mut frame_sequence = 0;
        loop {
            match self
                .work
                .next_answer_piece(sent_bytes, MAX_ANSWER_FRAME_BYTES)
                .await
            {
                AnswerPiece::Bytes(bytes) => {
                    sent_bytes += bytes.len() as u64;
                    let attempt = self.attempt;
                    let data = AnswerData { attempt, frame_sequence, bytes };
                    frame_sequence += 1;
                    if self.sender.send(Frame::Data(data)).await.is_err() {
                        return;
                    }
                    self.window.wait_for_window(sent_bytes).await;
                }
                AnswerPiece::End(ending) => {
                    if matches!(ending, AnswerEnding::Failed(_)) {
                        self.links.send_unsent_reports();
                    }
                    let frame = self.ending_frame(ending, frame_sequence);
                    let _ = self.sender.send(frame).await;
                    self.send_agent_load().await;
                    return;
                }
                // `next_answer_piece` never returns `Pending`.
                AnswerPiece::Pending => {}
            }
        }
    }

    fn ending_frame(&self, ending: AnswerEnding, data_frames: u32) -> Frame {
        match ending {
            AnswerEnding::Whole { format, length, digest } => {
                Frame::End(AnswerEnd {
                    attempt: self.attempt,
                    data_frame_count: data_frames,
                    format,
                    answer_bytes_total: length,
                    answer_blake3_digest: digest.to_vec(),
                })
            }
            AnswerEnding::Failed(failure) => {
                refusal_frame(self.attempt, failure)
            }
        }
    }

    /// Sends the agent's load after an answer, so that a busy link carries
    /// fresher load reports than the periodic heartbeats.
    async fn send_agent_load(&self) {
        let heartbeat =
            self.links.gate.build_heartbeat(self.links.replica.next_offset());
        if heartbeat.phase == ProcessPhase::Serving
            && heartbeat.load.accepted_requests_total.is_multiple_of(4)
        {
            let _ = self.sender.send(Frame::Heartbeat(heartbeat)).await;
        }
    }
}

fn refusal_frame(
    attempt: id::Attempt,
    failure: wire::RequestFailure,
) -> Frame {
    Frame::AttemptRefusal(AttemptRefusal {
        attempt,
        code: failure.code,
        ran: failure.ran,
        retry_after: failure.retry_after,
    })
}
