//! Entries' links and what is said on them.
//!
//! Each attempt on a link has a task that reads the work's answer at the
//! pace of the entry's acknowledgements. A slow caller therefore holds up
//! neither the target nor the other callers on the same link.

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
use slog::{Logger, info, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::AbortHandle,
    time::sleep,
};

use crate::{
    gate::Gate,
    replica::Replica,
    work::{Ending, Piece, Work},
};

/// The time between heartbeats.
pub const BEAT: Duration = Duration::from_millis(250);

/// How long work whose link broke waits for its caller to come back.
const LINK_GRACE: Duration = Duration::from_millis(2_000);

/// Answer bytes in one frame.
const PIECE: usize = 16 << 10;

/// The links of an agent.
#[derive(Debug)]
pub struct Links {
    gate: Arc<Gate>,
    replica: Arc<Replica>,
    log: Logger,
    open: Mutex<Vec<Sender>>,
}

impl Links {
    /// No links yet.
    pub fn new(gate: Arc<Gate>, replica: Arc<Replica>, log: Logger) -> Links {
        Links { gate, replica, log, open: Mutex::default() }
    }

    /// Sends a heartbeat on every link, and news of the target's ends.
    pub fn beat(&self) {
        self.beat_on(self.lock());
    }

    /// Has every entry know of the target's ends before it hears what is
    /// sent next.
    pub fn tell_news(&self) {
        // Under the lock, so that whoever took the news has passed it on.
        let open = self.lock();
        if self.gate.ends.has_news() || self.gate.pace.has_news() {
            self.beat_on(open);
        }
    }

    fn beat_on(&self, mut open: MutexGuard<'_, Vec<Sender>>) {
        let news = self.gate.ends.take_news();
        self.gate.pace.take_news();
        let beat = Frame::Heartbeat(self.gate.beat(self.replica.next()));
        open.retain(|link| !link.is_closed());
        for link in open.iter() {
            // A full queue means that the peer will hear of us anyway.
            let _ = link.try_send(beat.clone());
            if !news.is_empty() {
                tell(link, news.clone());
            }
        }
    }

    /// Asks every peer for the configuration that is lacking.
    pub fn pull(&self) {
        let pull = Frame::PullConfig(self.replica.next());
        for link in self.lock().iter() {
            // A full queue means a busy peer; others are asked too.
            let _ = link.try_send(pull.clone());
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Sender>> {
        lock(&self.open)
    }
}

/// Tells an entry of work that ended the target, also on a busy link.
fn tell(link: &Sender, suspects: Vec<CrashSuspectRequest>) {
    let frame = Frame::CrashSuspectRequests(suspects);
    if link.try_send(frame.clone()).is_ok() {
        return;
    }
    let link = link.clone();
    tokio::spawn(async move {
        // An entry whose link is gone is told all when it links again.
        let _ = link.send(frame).await;
    });
}

/// Sends heartbeats for as long as the agent runs.
pub async fn beat(links: Arc<Links>) {
    loop {
        sleep(BEAT).await;
        links.beat();
    }
}

/// Accepts links for as long as the agent runs.
pub async fn accept(links: Arc<Links>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                tokio::spawn(serve(links.clone(), tcp));
            }
            Err(_) => sleep(BEAT).await,
        }
    }
}

async fn serve(links: Arc<Links>, tcp: TcpStream) {
    let key = links.gate.settings.key.0;
    let beat = links.gate.beat(links.replica.next());
    let (sender, receiver, hello) = match link::accept(tcp, &key, beat).await {
        Ok(accepted) => accepted,
        Err(error) => {
            warn!(links.log, "link_refused"; "error" => %error);
            return;
        }
    };
    info!(links.log, "link_open"; "peer" => %hello.name);
    let known = links.gate.ends.known();
    if !known.is_empty() {
        tell(&sender, known);
    }
    links.lock().push(sender.clone());
    let session =
        Session { links: links.clone(), sender, attempts: HashMap::new() };
    session.run(receiver).await;
    info!(links.log, "link_closed"; "peer" => %hello.name);
}

/// One link.
struct Session {
    links: Arc<Links>,
    sender: Sender,
    attempts: HashMap<id::Attempt, Listener>,
}

/// An attempt that listens to work.
struct Listener {
    work: Arc<Work>,
    window: Arc<Window>,
    task: AbortHandle,
}

impl Session {
    async fn run(mut self, mut receiver: Receiver) {
        while let Some(frame) = receiver.recv().await {
            self.take(frame).await;
        }
        for (_, listener) in self.attempts.drain() {
            listener.task.abort();
            tokio::spawn(part_later(self.links.gate.clone(), listener.work));
        }
    }

    async fn take(&mut self, frame: Frame) {
        match frame {
            Frame::SubmitRequest(submit) => self.submit(*submit),
            Frame::FetchAnswerRequest(reclaim) => self.reclaim(&reclaim),
            Frame::AnswerAck(ack) => {
                if let Some(listener) = self.attempts.get(&ack.attempt) {
                    listener.window.open(ack.delivered_bytes);
                }
            }
            Frame::Detach(attempt) => self.detach(attempt),
            Frame::CancelRequest(cancel) => {
                let failure = self.links.gate.cancel(&cancel);
                self.refuse(cancel.attempt, failure);
            }
            Frame::ConfigRecords(records) => {
                let answer = self.links.replica.records(&records);
                self.answer(answer).await;
            }
            Frame::ConfigSnapshot(snapshot) => {
                self.links.replica.snapshot(&snapshot);
            }
            Frame::PullConfig(next) => {
                let answer = self.links.replica.pull(next);
                self.answer(answer).await;
            }
            Frame::Handover(handover) => self.inherit(*handover).await,
            // Heartbeats of entries only keep the link from falling silent.
            _ => {}
        }
    }

    fn submit(&mut self, submit: SubmitRequest) {
        let attempt = submit.attempt;
        match self.links.gate.submit(&submit) {
            Ok(work) => self.listen(attempt, work, 0),
            Err(failure) => self.refuse(attempt, failure),
        }
    }

    fn reclaim(&mut self, reclaim: &FetchAnswerRequest) {
        match self.links.gate.reclaim(reclaim) {
            Ok(work) => {
                self.listen(reclaim.attempt, work, reclaim.first_byte_offset)
            }
            Err(failure) => self.refuse(reclaim.attempt, failure),
        }
    }

    fn listen(&mut self, attempt: id::Attempt, work: Arc<Work>, from: u64) {
        work.attach();
        self.attempts.retain(|_, listener| !listener.task.is_finished());
        let window = Arc::new(Window::new(from));
        let reader = Reader {
            attempt,
            work: work.clone(),
            sender: self.sender.clone(),
            window: window.clone(),
            links: self.links.clone(),
        };
        let task = tokio::spawn(reader.run(from)).abort_handle();
        let listener = Listener { work, window, task };
        self.attempts.insert(attempt, listener);
    }

    fn detach(&mut self, attempt: id::Attempt) {
        let Some(listener) = self.attempts.remove(&attempt) else { return };
        listener.task.abort();
        listener.work.detach();
        self.links.gate.abandon(&listener.work);
    }

    fn refuse(&self, attempt: id::Attempt, failure: wire::RequestFailure) {
        let frame = refusal(attempt, failure);
        let sender = self.sender.clone();
        tokio::spawn(async move { sender.send(frame).await });
    }

    async fn answer(&self, answer: Option<Frame>) {
        if let Some(frame) = answer {
            let _ = self.sender.send(frame).await;
        }
    }

    async fn inherit(&self, handover: Handover) {
        let incarnation = handover.incarnation;
        let more = handover.has_more;
        let register = match handover.encoded_tickets.is_empty() {
            true => None,
            false => crate::handover::decode(&handover.encoded_tickets),
        };
        self.links.gate.inherit(handover, register);
        if !more {
            self.links.beat();
            self.answer(Some(Frame::HandoverDone(incarnation))).await;
        }
    }
}

/// Lets go of work a while after its link broke, unless its caller has come
/// back through another.
async fn part_later(gate: Arc<Gate>, work: Arc<Work>) {
    sleep(LINK_GRACE).await;
    work.detach();
    gate.abandon(&work);
}

/// How far ahead of the entry's acknowledgements an answer may be sent.
#[derive(Debug)]
struct Window {
    acknowledged: AtomicU64,
    opened: Notify,
}

impl Window {
    fn new(from: u64) -> Window {
        Window { acknowledged: AtomicU64::new(from), opened: Notify::new() }
    }

    fn open(&self, acknowledged: u64) {
        self.acknowledged.fetch_max(acknowledged, Ordering::Release);
        self.opened.notify_waiters();
    }

    /// Waits until more may be sent after the first `sent` bytes.
    async fn wait(&self, sent: u64) {
        loop {
            let mut opened = pin!(self.opened.notified());
            opened.as_mut().enable();
            let acknowledged = self.acknowledged.load(Ordering::Acquire);
            if sent < acknowledged + wire::SEND_WINDOW_BYTES {
                return;
            }
            opened.await;
        }
    }
}

/// Reads an answer out to one attempt.
struct Reader {
    attempt: id::Attempt,
    work: Arc<Work>,
    sender: Sender,
    window: Arc<Window>,
    links: Arc<Links>,
}

impl Reader {
    async fn run(self, from: u64) {
        let accepted = RequestAccepted {
            attempt: self.attempt,
            request: self.work.request,
        };
        if self.sender.send(Frame::RequestAccepted(accepted)).await.is_err() {
            return;
        }
        let mut sent = from;
        let mut frame_sequence = 0;
        loop {
            match self.work.next(sent, PIECE).await {
                Piece::Bytes(bytes) => {
                    sent += bytes.len() as u64;
                    let attempt = self.attempt;
                    let data = AnswerData { attempt, frame_sequence, bytes };
                    frame_sequence += 1;
                    if self.sender.send(Frame::Data(data)).await.is_err() {
                        return;
                    }
                    self.window.wait(sent).await;
                }
                Piece::End(ending) => {
                    if matches!(ending, Ending::Failed(_)) {
                        self.links.tell_news();
                    }
                    let frame = self.ending(ending, frame_sequence);
                    let _ = self.sender.send(frame).await;
                    self.report_load().await;
                    return;
                }
                // Waiting ends with a piece.
                Piece::Nothing => {}
            }
        }
    }

    fn ending(&self, ending: Ending, frame_sequence: u32) -> Frame {
        match ending {
            Ending::Whole { format, length, digest } => {
                Frame::End(AnswerEnd {
                    attempt: self.attempt,
                    data_frame_count: frame_sequence,
                    format,
                    answer_bytes_total: length,
                    answer_blake3_digest: digest.to_vec(),
                })
            }
            Ending::Failed(failure) => refusal(self.attempt, failure),
        }
    }

    /// Sends the load along with the answer, so that a busy link carries
    /// fresher reports than the heartbeat alone.
    async fn report_load(&self) {
        let beat = self.links.gate.beat(self.links.replica.next());
        if beat.phase == ProcessPhase::Serving
            && beat.load.accepted_requests_total.is_multiple_of(4)
        {
            let _ = self.sender.send(Frame::Heartbeat(beat)).await;
        }
    }
}

fn refusal(attempt: id::Attempt, failure: wire::RequestFailure) -> Frame {
    Frame::AttemptRefusal(AttemptRefusal {
        attempt,
        code: failure.code,
        ran: failure.ran,
        retry_after: failure.retry_after,
    })
}
