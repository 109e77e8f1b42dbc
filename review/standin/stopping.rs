//! An entry stops as planned, and takes streams that it can't finish.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    common::{self, CALLERS, Channel, ENGINES, Net, Programs, Record, STORE, Store, ms},
    engines::{Group, RANKS, publish, route},
};

/// A pass, and so the pause between two events: less than gapAimMs.
const PASS: Duration = Duration::from_millis(100);
const EVENTS: u64 = 60;

pub fn run() -> bool {
    let (net, record) = (Net::free(), Record::new());
    let store = Store::start(net.at(250, STORE));
    let zones = ["a", "b"];
    let at = |rank: u16| (net.at(10 + rank as u8, ENGINES), zones[usize::from(rank % 2)]);
    let engines: Vec<_> = (0..RANKS).map(at).collect();
    let _group = Group::start(&engines, "kirjutaja", 1, PASS, &store, &record);
    let resumable = ",\"maxAttempts\":2,\"resumable\":true,\"sticky\":true,\"gapAimMs\":120";
    publish(&store, 3, &[route("draft", "/draft/", "streaming", "kirjutaja", 8_000, 400, resumable)]);
    let mut programs = Programs::new(net);
    let stopping = programs.entry(1, "a", &[2], 250);
    programs.entry(2, "b", &[1], 250);
    for rank in 0..RANKS {
        programs.agent(10 + rank as u8);
    }
    programs.until_ready(1);
    programs.until_ready(2);
    thread::sleep(ms(2_500));
    let stopped_at = Arc::new(Mutex::new(None::<Instant>));
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    let begun = Instant::now();
    for n in 0..8_u64 {
        let (outcomes, record, stopped_at) = (outcomes.clone(), record.clone(), stopped_at.clone());
        clients.push(thread::spawn(move || {
            // A channel that the client keeps, and has used before.
            let Ok(mut channel) = Channel::open(net.at(1, CALLERS)) else { return };
            let early = channel.ask(&format!("early-{n}"), "/draft/3", 8_000, &[]);
            record.line(&format!("client of early-{n}: status {:?}, complete {}", early.status, early.complete));
            // 3.04 to 3.11 s after the SIGTERM, which is a second from now.
            let at = begun + ms(2_000) + ms(3_040 + n * 10);
            thread::sleep(at.saturating_duration_since(Instant::now()));
            let id = format!("draft-{n}");
            let since = || stopped_at.lock().expect("a time").map_or(-1.0, |it| it.elapsed().as_secs_f64());
            record.line(&format!("client sends {id} on its channel to front-1, {:.3} s after the SIGTERM", since()));
            let sent = since();
            let got = channel.ask(&id, &format!("/draft/{EVENTS}"), 8_000, &[]);
            record.line(&format!(
                "client of {id}: {:.3} s after the SIGTERM, status {:?}, proof {}, complete {}, \
                 {} of {EVENTS} events, longest pause {:?} {}",
                since(), got.status, got.has_seal, got.complete, got.events.len(), got.longest_gap, got.error
            ));
            outcomes.lock().expect("outcomes").push((sent, got));
        }));
    }
    thread::sleep((begun + ms(2_000)).saturating_duration_since(Instant::now()));
    if common::trouble() {
        record.line("platform: SIGTERM to front-1");
        *stopped_at.lock().expect("a time") = Some(Instant::now());
        programs.signal(stopping, "TERM");
    }
    for client in clients {
        let _ = client.join();
    }
    let outcomes = outcomes.lock().expect("outcomes");
    // A request that wasn't read, or got another answer, isn't lost.
    let late = outcomes.iter().filter(|it| !common::trouble() || it.0 > 3.0);
    let lost = late.clone().filter(|it| it.1.status == Some(200) && !it.1.complete).count();
    let complete = late.clone().filter(|it| it.1.status == Some(200) && it.1.complete).count();
    record.line(&format!(
        "LOST: of {} streams sent later than 3 s after the SIGTERM, front-1 passed {} on; {complete} were \
         complete, {lost} ended without a complete answer",
        late.count(), complete + lost
    ));
    drop(programs);
    if outcomes.len() < 8 {
        common::cannot_run("not all clients have had a channel");
    }
    lost > 0
}
