//! One client asks for other weights than the engines have.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    common::{self, CALLERS, ENGINES, Net, Programs, Record, STORE, Store, ms},
    engines::{Group, RANKS, publish, route, start_plain},
};

const PASS: Duration = Duration::from_millis(50);
/// Requests of one round on each route.
const ROUND: usize = 24;

pub fn run() -> bool {
    let (net, record) = (Net::free(), Record::new());
    let store = Store::start(net.at(250, STORE));
    let zones = ["a", "b"];
    let at = |rank: u16| (net.at(10 + rank as u8, ENGINES), zones[usize::from(rank % 2)]);
    let engines: Vec<_> = (0..RANKS).map(at).collect();
    let _group = Group::start(&engines, "kirjutaja", 2, PASS, &store, &record);
    for n in 0..3_u8 {
        let (at, id) = (net.at(20 + n, ENGINES), format!("i-valvur-{n}"));
        start_plain(at, &id, "valvur", zones[usize::from(n % 2)], &store, &record);
    }
    let first = route("check", "/check/", "idempotent", "valvur", 800, 100, ",\"maxAttempts\":2");
    publish(&store, 3, std::slice::from_ref(&first));
    let mut programs = Programs::new(net);
    programs.entry(1, "a", &[2], 250);
    programs.entry(2, "b", &[1], 250);
    for rank in 0..RANKS {
        programs.agent(10 + rank as u8);
    }
    programs.until_ready(1);
    programs.until_ready(2);
    let streaming = ",\"maxAttempts\":2,\"resumable\":true,\"sticky\":true,\"gapAimMs\":120";
    let later = route("draft", "/draft/", "streaming", "kirjutaja", 8_000, 400, streaming);
    record.line("operator: a version that adds the route /draft/");
    publish(&store, 6, &[first, later]);
    // configApplyMs after the ack, and the first reports of the agents.
    thread::sleep(ms(4_000));
    let before = round(net, &record, "before");
    if before.0 < ROUND / 2 || before.1 < ROUND / 2 {
        common::cannot_run("the routes are not served from the start");
    }
    // Another client, with and without the header.
    for n in 0..2 {
        let id = format!("pinned-{n}");
        let more: &[(&str, &str)] =
            if common::trouble() { &[("X-Expect-Version", "1")] } else { &[] };
        let got = common::ask(net.at(1, CALLERS), &id, "/draft/6", 8_000, more);
        record.line(&format!("client of {id} ({more:?}): status {:?}, complete {}", got.status, got.complete));
    }
    // stableWindowMs, so that nothing of this is under way any more.
    thread::sleep(ms(3_000));
    let mut broken = true;
    for (pause, name) in [(0, "after"), (10_000, "10 s later")] {
        thread::sleep(ms(pause));
        let (on_first, on_later) = round(net, &record, name);
        record.line(&format!(
            "CONFIG, {name}: of {ROUND} requests each, {on_first} on the first route and {on_later} on \
             the route that was added later were served; a quarter of the share is the least"
        ));
        broken &= on_later * 4 < on_first;
    }
    drop(programs);
    broken
}

/// Sends requests on both routes to both entries, and counts those served.
fn round(net: Net, record: &Arc<Record>, name: &str) -> (usize, usize) {
    let served = Arc::new(Mutex::new((0, 0)));
    let mut clients = Vec::new();
    for n in 0..ROUND {
        for path in ["/check/a", "/draft/6"] {
            let (served, record) = (served.clone(), record.clone());
            let id = format!("{}-{n}-{}", &path[1..6], name.replace(' ', "-"));
            clients.push(thread::spawn(move || {
                let to = net.at(1 + (n % 2) as u8, CALLERS);
                let limit = if path == "/check/a" { 1_500 } else { 8_000 };
                let got = common::ask(to, &id, path, limit, &[]);
                record.line(&format!(
                    "client of {id}: status {:?}, complete {}, took {:?} {}",
                    got.status, got.complete, got.took, got.error
                ));
                let good = got.status == Some(200) && got.complete && got.has_seal;
                let mut served = served.lock().expect("served");
                match path {
                    "/check/a" => served.0 += usize::from(good),
                    _ => served.1 += usize::from(good),
                }
            }));
        }
        thread::sleep(ms(20));
    }
    for client in clients {
        let _ = client.join();
    }
    *served.lock().expect("served")
}
