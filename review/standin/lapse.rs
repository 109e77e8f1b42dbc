//! The store is away until the engines' entries have lapsed, and one entry
//! process reaches it some seconds later than the others. Then an engine
//! leaves as planned.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    common::{self, CALLERS, ENGINES, Net, Programs, Record, STORE, Store, ms},
    engines::{publish, route, start_plain},
};

/// How long the store is away, and how much longer the path of one entry
/// process to it is cut.
const AWAY: Duration = Duration::from_millis(4_500);
const CUT_LONGER: Duration = Duration::from_millis(4_000);

/// Requests of one round, on each route.
const ROUND: usize = 24;

pub fn run() -> bool {
    let (net, record) = (Net::free(), Record::new());
    let store = Arc::new(Store::default());
    let (path, own_path) =
        (store.listen_on_path(net.at(250, STORE)), store.listen_on_path(net.at(251, STORE)));
    let mut engines = Vec::new();
    for n in 0..4_u8 {
        let (at, id) = (net.at(20 + n, ENGINES), format!("i-valvur-{n}"));
        let zone = ["a", "b", "c"][usize::from(n % 3)];
        engines.push(start_plain(at, &id, "valvur", zone, &store, &record));
    }
    let of = |name: &str, prefix: &str| {
        route(name, prefix, "idempotent", "valvur", 800, 100, ",\"maxAttempts\":2")
    };
    let (first, later) = (of("check", "/check/"), of("later", "/later/"));
    publish(&store, 3, std::slice::from_ref(&first));
    let mut programs = Programs::new(net);
    programs.entry(1, "a", &[2, 3], 250);
    programs.entry(2, "b", &[1, 3], 250);
    programs.entry(3, "c", &[1, 2], 251);
    for vm in 1..=3 {
        programs.until_ready(vm);
    }
    thread::sleep(ms(3_000));
    let counts = Counts::default();
    round(net, &record, "/check/a", "before", &counts.first);
    if counts.first.served.load(Ordering::SeqCst) < ROUND / 2 {
        common::cannot_run("the route is not served from the start");
    }
    if common::trouble() {
        record.line("platform: the store is away");
        path.cut(true);
        own_path.cut(true);
        // Three silent heartbeats.
        thread::sleep(common::HEARTBEAT * 3);
        engines.iter().for_each(|it| it.lapse());
        record.line("platform: the entries of the engines have lapsed");
        thread::sleep(AWAY.saturating_sub(common::HEARTBEAT * 3));
        path.cut(false);
        record.line("platform: the store is back, but the path of front-3 is cut");
        let back = Instant::now();
        // Entries are back within about two seconds.
        thread::sleep(ms(1_000));
        engines.iter().for_each(|it| it.write("ready"));
        record.line("engines: their entries are back");
        thread::sleep(CUT_LONGER.saturating_sub(back.elapsed()));
        own_path.cut(false);
        record.line("platform: the path of front-3 is there again");
    }
    // Both spans of stableWindowMs are over by then.
    thread::sleep(ms(7_000));
    round(net, &record, "/check/a", "calm", &counts.first);
    record.line("platform: the last engine is draining");
    if let Some(last) = engines.last() {
        last.write("draining");
    }
    thread::sleep(ms(3_000));
    record.line("operator: a version that adds the route /later/");
    publish(&store, 6, &[first, later]);
    thread::sleep(ms(4_000));
    for name in ["after", "10-s-after"] {
        let (a, b) = (Count::default(), Count::default());
        round(net, &record, "/check/a", name, &a);
        round(net, &record, "/later/a", name, &b);
        record.line(&format!("{name}: on the first route {a}, on the route that was added later {b}"));
        counts.first.add(&a);
        counts.later.add(&b);
        thread::sleep(ms(10_000));
    }
    record.line(&format!(
        "CONFIG: on the first route {}, on the route that was added later {}; a quarter of the share is the least",
        counts.first, counts.later
    ));
    drop(programs);
    let ((a, of_a), (b, of_b)) = (counts.first.numbers(), counts.later.numbers());
    of_b >= 20 && b * of_a * 4 < a * of_b
}

#[derive(Default)]
struct Counts {
    first: Count,
    later: Count,
}

/// Requests sent and served.
#[derive(Default)]
struct Count {
    served: AtomicUsize,
    sent: AtomicUsize,
}

impl Count {
    fn numbers(&self) -> (usize, usize) {
        (self.served.load(Ordering::SeqCst), self.sent.load(Ordering::SeqCst))
    }

    fn add(&self, other: &Count) {
        let (served, sent) = other.numbers();
        self.served.fetch_add(served, Ordering::SeqCst);
        self.sent.fetch_add(sent, Ordering::SeqCst);
    }
}

impl std::fmt::Display for Count {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (served, sent) = self.numbers();
        write!(f, "{served} of {sent} requests were served")
    }
}

/// Sends requests on a route to all entry processes in turn.
fn round(net: Net, record: &Arc<Record>, path: &'static str, name: &str, count: &Count) {
    let served = Arc::new(Mutex::new(0));
    let mut clients = Vec::new();
    for n in 0..ROUND {
        let (served, record) = (served.clone(), record.clone());
        let id = format!("{}-{name}-{n}", &path[1..6]);
        clients.push(thread::spawn(move || {
            let vm = 1 + (n % 3) as u8;
            let got = common::ask(net.at(vm, CALLERS), &id, path, 1_500, &[]);
            record.line(&format!(
                "client of {id} at front-{vm}: status {:?}, complete {}, took {:?} {}",
                got.status, got.complete, got.took, got.error
            ));
            let good = got.status == Some(200) && got.complete && got.has_seal;
            *served.lock().expect("served") += usize::from(good);
        }));
        thread::sleep(ms(20));
    }
    for client in clients {
        let _ = client.join();
    }
    count.sent.fetch_add(ROUND, Ordering::SeqCst);
    count.served.fetch_add(*served.lock().expect("served"), Ordering::SeqCst);
}
