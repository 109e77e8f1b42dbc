//! A faulty engine sends extra answers, late.

use std::{
    collections::HashMap,
    io::Write,
    net::SocketAddr,
    sync::{Arc, Mutex, OnceLock},
    thread,
    time::{Duration, Instant},
};

use crate::{
    common::{self, Announcement, CALLERS, Channel, ENGINES, Net, Programs, Record, STORE, Store, answer, listen, ms},
    engines::{publish, route},
};

/// One in so many answers of the faulty engine has an extra answer: 0.03.
const EXTRA_PERIOD: u64 = 34;

/// How long the engine is faulty, from its first request on.
const FAULTY_FOR: Duration = Duration::from_millis(5_000);

const CLIENTS: u64 = 4;
const REQUESTS: u64 = 120;

/// What ran: by the request's id, the engines that began to work on it.
type Runs = Arc<Mutex<HashMap<String, Vec<String>>>>;

pub fn run() -> bool {
    let (net, record) = (Net::free(), Record::new());
    let store = Store::start(net.at(250, STORE));
    let runs = Runs::default();
    for n in 0..3_u8 {
        let (at, id) = (net.at(20 + n, ENGINES), format!("i-valvur-{n}"));
        let zone = ["a", "b", "c"][usize::from(n)];
        // One of three engines, a third.
        let is_faulty = n == 0 && common::trouble();
        start_engine(at, &id, is_faulty, &runs, &record);
        Announcement::new(&store, &id, "valvur", zone, at, 6);
    }
    let tow = route("tow", "/tow/", "non_idempotent", "valvur", 800, 100, ",\"maxAttempts\":1");
    publish(&store, 3, &[tow]);
    let mut programs = Programs::new(net);
    programs.entry(1, "a", &[2], 250);
    programs.entry(2, "b", &[1], 250);
    programs.until_ready(1);
    programs.until_ready(2);
    thread::sleep(ms(3_000));
    let answers = Arc::new(Mutex::new(HashMap::new()));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (answers, record) = (answers.clone(), record.clone());
        clients.push(thread::spawn(move || {
            let to = net.at(1 + (client % 2) as u8, CALLERS);
            let mut channel = None;
            for n in 0..REQUESTS {
                let id = format!("tow-{client}-{n}");
                let mut open = match channel.take() {
                    Some(open) => open,
                    None => match Channel::open(to) {
                        Ok(open) => open,
                        Err(_) => continue,
                    },
                };
                let got = open.ask(&id, "/tow/a", 1_500, &[]);
                record.line(&format!("client of {id}: status {:?}, complete {} {}", got.status, got.complete, got.error));
                if got.complete {
                    channel = Some(open);
                }
                answers.lock().expect("answers").insert(id.clone(), got.status);
                if got.status == Some(503) {
                    // The promise "not run": the client asks once more.
                    let again = format!("{id}-again");
                    let got = common::ask(to, &again, "/tow/a", 1_000, &[]);
                    record.line(&format!("client of {again}: status {:?}, complete {}", got.status, got.complete));
                    answers.lock().expect("answers").insert(again, got.status);
                }
                thread::sleep(ms(60));
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(ms(500));
    drop(programs);
    let (runs, answers) = (runs.lock().expect("runs"), answers.lock().expect("answers"));
    let doubled: Vec<_> = runs.iter().filter(|it| it.1.len() > 1).collect();
    for (id, status) in answers.iter().filter(|it| *it.1 == Some(503) && runs.contains_key(it.0)) {
        record.line(&format!("REFUSED: {id} was answered {status:?} and has run at {}", runs[id].join(" and ")));
    }
    for (id, engines) in &doubled {
        record.line(&format!("TWICE: {id} has run at {}", engines.join(" and ")));
    }
    let refused = answers.iter().filter(|it| *it.1 == Some(503) && runs.contains_key(it.0)).count();
    let served = answers.values().filter(|it| **it == Some(200)).count();
    record.line(&format!(
        "REFUSED: of {} requests that aren't idempotent, {served} were served, {refused} were answered 503 and had \
         run; TWICE: {} ran more than once",
        answers.len(), doubled.len()
    ));
    if served < answers.len() / 2 {
        common::cannot_run("most requests were not served");
    }
    !doubled.is_empty() || refused > 0
}

/// An engine that answers after 15 ms. If it is faulty, some of its answers are
/// followed by another one on the same channel, at the point where the next
/// answer is expected: a 421 that bears the id of the earlier request.
fn start_engine(at: SocketAddr, id: &str, is_faulty: bool, runs: &Runs, record: &Arc<Record>) {
    let (engine, runs, record) = (id.to_string(), runs.clone(), record.clone());
    let owed = Mutex::new(HashMap::<SocketAddr, String>::new());
    let answered = Mutex::new(0_u64);
    let first_at = OnceLock::new();
    listen(at, move |head, _, to| {
        if common::refused_as_misdirected(head, &engine, 1, to)? {
            return Ok(true);
        }
        let request = head.get("x-request-id").unwrap_or("").to_string();
        runs.lock().expect("runs").entry(request.clone()).or_default().push(engine.clone());
        record.line(&format!("engine {engine} runs {request}"));
        let channel = to.peer_addr()?;
        let late = owed.lock().expect("extra answers").remove(&channel);
        if let Some(earlier) = late {
            record.line(&format!("engine {engine} sends an extra answer 421 of {earlier}"));
            let headers = [("x-request-id", &*earlier), ("x-not-executed", "1"), ("at-server", &engine)];
            to.write_all(&answer("421 Misdirected Request", &headers, b""))?;
        }
        thread::sleep(ms(15));
        let seal = format!("s.{engine}");
        let headers = [("x-request-id", &*request), ("x-response-seal", &seal)];
        to.write_all(&answer("200 OK", &headers, b"done"))?;
        record.line(&format!("engine {engine} has answered {request}"));
        let mut answered = answered.lock().expect("a count");
        *answered += 1;
        let is_faulty = is_faulty && first_at.get_or_init(Instant::now).elapsed() < FAULTY_FOR;
        if is_faulty && (*answered).is_multiple_of(EXTRA_PERIOD) {
            owed.lock().expect("extra answers").insert(channel, request);
        }
        Ok(true)
    });
}
