//! An entry stops as planned, and an engine preempts a stream for a moment.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    common::{self, CALLERS, ENGINES, Net, Programs, Record, STORE, Store, ms},
    engines::{Group, RANKS, publish, route},
};

const PASS: Duration = Duration::from_millis(50);
/// Streams that are measured, of each route.
const STREAMS: usize = 6;
const EVENTS: u64 = 40;

pub fn run() -> bool {
    let (net, record) = (Net::free(), Record::new());
    let store = Store::start(net.at(250, STORE));
    let zones = ["a", "b"];
    let at = |rank: u16| (net.at(10 + rank as u8, ENGINES), zones[usize::from(rank % 2)]);
    let engines: Vec<_> = (0..RANKS).map(at).collect();
    let group = Group::start(&engines, "kirjutaja", 1, PASS, &store, &record);
    let resumable = ",\"maxAttempts\":2,\"resumable\":true,\"sticky\":true,\"gapAimMs\":120";
    let once = ",\"maxAttempts\":1,\"resumable\":false,\"sticky\":true,\"gapAimMs\":120";
    let routes = [
        route("draft", "/draft/", "streaming", "kirjutaja", 8_000, 400, resumable),
        route("memo", "/memo/", "streaming", "kirjutaja", 8_000, 400, once),
    ];
    publish(&store, 3, &routes);
    let mut programs = Programs::new(net);
    let stopping = programs.entry(1, "a", &[2], 250);
    programs.entry(2, "b", &[1], 250);
    for rank in 0..RANKS {
        programs.agent(10 + rank as u8);
    }
    programs.until_ready(1);
    programs.until_ready(2);
    thread::sleep(ms(2_500));
    // Other clients' streams run all the while, through the other entry.
    for client in 0..8_u64 {
        let record = record.clone();
        thread::spawn(move || {
            thread::sleep(ms(client * 60));
            for n in 0..20 {
                let id = format!("other-{client}-{n}");
                let path = "/draft/69";
                let got = common::ask(net.at(2, CALLERS), &id, path, 8_000, &[]);
                record.line(&format!("client of {id}: status {:?}, complete {}", got.status, got.complete));
                thread::sleep(ms(50));
            }
        });
    }
    thread::sleep(ms(1_000));
    record.line("platform: SIGTERM to front-1");
    programs.signal(stopping, "TERM");
    let stopped_at = Instant::now();
    thread::sleep(ms(300));
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for route in ["draft", "memo"] {
        for n in 0..STREAMS {
            let (outcomes, record) = (outcomes.clone(), record.clone());
            clients.push(thread::spawn(move || {
                let id = format!("{route}-{n}");
                let path = format!("/{route}/{EVENTS}");
                record.line(&format!("client sends {id} to front-1"));
                let got = common::ask(net.at(1, CALLERS), &id, &path, 8_000, &[]);
                let ended = stopped_at.elapsed();
                record.line(&format!(
                    "client of {id}: {:.3} s after the SIGTERM, status {:?}, proof {}, complete {}, \
                     {} of {EVENTS} events, longest pause {:?} {}",
                    ended.as_secs_f64(), got.status, got.has_seal, got.complete,
                    got.events.len(), got.longest_gap, got.error
                ));
                outcomes.lock().expect("outcomes").push((route, ended, got));
            }));
            thread::sleep(ms(10));
        }
    }
    thread::sleep(ms(600));
    if common::trouble() {
        group.let_memory_run_out(ms(1_300));
    }
    for client in clients {
        let _ = client.join();
    }
    let outcomes = outcomes.lock().expect("outcomes");
    // Later than this the rule has an excuse: the last sixth of graceS.
    let judged: Vec<_> = outcomes.iter().filter(|it| it.1 < ms(6_600)).collect();
    let lost: Vec<_> = judged.iter().filter(|it| it.2.status.is_none() || !it.2.complete).collect();
    let of = |route| lost.iter().filter(|it| it.0 == route).count();
    let complete = judged.iter().filter(|it| it.2.complete && it.2.status == Some(200)).count();
    record.line(&format!(
        "LOST: of {} streams that front-1 had read and passed on after its SIGTERM, {complete} were complete; \
         {} on the route that may be resumed and {} on the other ended without a complete answer",
        judged.len(), of("draft"), of("memo")
    ));
    drop(programs);
    if complete == 0 && lost.is_empty() {
        common::cannot_run("no stream was answered");
    }
    !lost.is_empty()
}
