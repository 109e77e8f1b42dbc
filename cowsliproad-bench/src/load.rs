//! Load on one address: paced or as fast as it goes, whole answers checked
//! by status only, so that the generator stays cheap.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use cowsliproad_net::client::Client;
use hdrhistogram::Histogram;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use tokio::{sync::mpsc, task::JoinSet};

use crate::tally::histogram;

/// One request that is sent again and again.
#[derive(Clone, Debug)]
pub struct Shot {
    /// Where to.
    pub address: SocketAddr,
    /// The path.
    pub path: String,
    /// The organisation's key, if any.
    pub key: Option<String>,
    /// The body.
    pub body: String,
}

/// What came of a load.
#[derive(Debug)]
pub struct Outcome {
    /// The times of whole answers in microseconds.
    pub times: Histogram<u64>,
    /// Requests without a good answer.
    pub failed: u64,
    /// How long it took.
    pub taken: Duration,
}

/// How long one request may take.
const PATIENCE: Duration = Duration::from_secs(10);

/// The largest answer in bytes.
const MAX_ANSWER: usize = 8 << 20;

impl Shot {
    async fn fire(&self, client: &Client) -> Option<u64> {
        let uri = format!("http://{}{}", self.address, self.path);
        let mut request = Request::post(uri);
        if let Some(key) = &self.key {
            let value = format!("Bearer {key}");
            request = request.header(header::AUTHORIZATION, value);
        }
        let body = Full::new(Bytes::from(self.body.clone()));
        let request = request.body(body).ok()?;
        let start = Instant::now();
        let answer = client.call(request, MAX_ANSWER, PATIENCE).await.ok()?;
        let good = answer.status() == StatusCode::OK;
        good.then(|| start.elapsed().as_micros() as u64)
    }
}

/// Sends `rate` requests a second for a time, whatever the answers do.
pub async fn paced(shot: &Shot, rate: u64, time: Duration) -> Outcome {
    let client = Client::new();
    let mut calls = JoinSet::new();
    let start = Instant::now();
    let mut outcome = Outcome::new();
    let mut beats = metronome(rate, time);
    while beats.recv().await.is_some() {
        let (client, shot) = (client.clone(), shot.clone());
        calls.spawn(async move { shot.fire(&client).await });
        while let Some(Ok(result)) = calls.try_join_next() {
            outcome.note(result);
        }
    }
    while let Some(Ok(result)) = calls.join_next().await {
        outcome.note(result);
    }
    outcome.taken = start.elapsed();
    outcome
}

/// Beats at a rate for a time, finer than the runtime's timer, so that
/// requests don't come in bunches.
pub fn metronome(rate: u64, time: Duration) -> mpsc::UnboundedReceiver<()> {
    let (beat, beats) = mpsc::unbounded_channel();
    let gap = Duration::from_secs(1) / rate.max(1) as u32;
    std::thread::spawn(move || {
        let start = Instant::now();
        let mut due = Duration::ZERO;
        while due < time {
            std::thread::sleep(due.saturating_sub(start.elapsed()));
            if beat.send(()).is_err() {
                return;
            }
            due += gap;
        }
    });
    beats
}

/// Keeps `callers` requests under way for a time.
pub async fn closed(shot: &Shot, callers: usize, time: Duration) -> Outcome {
    let start = Instant::now();
    let mut workers = JoinSet::new();
    for _ in 0..callers {
        let shot = shot.clone();
        workers.spawn(async move {
            let client = Client::new();
            let mut outcome = Outcome::new();
            while start.elapsed() < time {
                outcome.note(shot.fire(&client).await);
            }
            outcome
        });
    }
    let mut sum = Outcome::new();
    while let Some(Ok(outcome)) = workers.join_next().await {
        sum.add(&outcome);
    }
    sum.taken = start.elapsed();
    sum
}

impl Outcome {
    fn new() -> Outcome {
        Outcome { times: histogram(), failed: 0, taken: Duration::ZERO }
    }

    /// Whole answers in a second.
    pub fn rate(&self) -> f64 {
        self.times.len() as f64 / self.taken.as_secs_f64()
    }

    /// Adds another outcome to this one.
    pub fn add(&mut self, other: &Outcome) {
        self.times.add(&other.times).expect("the bounds are the same");
        self.failed += other.failed;
        self.taken += other.taken;
    }

    fn note(&mut self, result: Option<u64>) {
        match result {
            Some(time) => self.times.saturating_record(time),
            None => self.failed += 1,
        }
    }
}
