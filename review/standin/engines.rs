//! Stand-ins for engines: model engines in a group, and plain ones.
//!
//! All ranks of the group execute each pass together; a pass begins only while
//! a request runs somewhere. Each running stream gets one event a pass. When
//! memory runs out, each rank preempts its newest request: the request gets no
//! event until there is memory again, and then goes on after its last event.
//! Nothing else is done to a request.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::common::{self, Announcement, Head, Record, Store, answer, listen, unix_ms};

pub const RANKS: u16 = 4;
const SETS: usize = 4;
const EXPERTS: usize = 64;

pub struct Group {
    state: Mutex<State>,
    passed: Condvar,
    service: String,
    /// The version of the weights of all engines.
    weights: u64,
    born: u64,
    record: Arc<Record>,
}

#[derive(Default)]
struct State {
    step: u64,
    /// The running requests of each rank, the oldest first.
    running: Vec<Vec<u64>>,
    next_run: u64,
    /// The requests that wait for memory, and until when.
    preempted: Vec<u64>,
    memory_short_until: Option<Instant>,
}

impl State {
    /// Whether a request is preempted now.
    fn is_preempted(&self, run: u64) -> bool {
        let short = self.memory_short_until.is_some_and(|it| Instant::now() < it);
        short && self.preempted.contains(&run)
    }
}

impl Group {
    pub fn start(
        engines: &[(SocketAddr, &str)], service: &str, weights: u64, pass: Duration,
        store: &Arc<Store>, record: &Arc<Record>,
    ) -> Arc<Group> {
        let running = vec![Vec::new(); engines.len()];
        let group = Arc::new(Group {
            state: Mutex::new(State { running, ..State::default() }),
            passed: Condvar::new(),
            service: service.into(),
            weights,
            born: unix_ms(),
            record: record.clone(),
        });
        for (rank, (at, zone)) in engines.iter().enumerate() {
            let serving = group.clone();
            listen(*at, move |head, body, to| serving.serve(rank, head, body, to));
            let id = group.id(rank);
            Announcement::new(store, &id, service, zone, *at, 12);
        }
        let ticking = group.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(pass);
                let mut state = ticking.state.lock().expect("the group");
                if state.running.iter().any(|it| !it.is_empty()) {
                    state.step += 1;
                }
                drop(state);
                ticking.passed.notify_all();
            }
        });
        group
    }

    /// Memory runs out at all ranks: the newest request of each waits for a
    /// time.
    pub fn let_memory_run_out(&self, time: Duration) {
        let mut state = self.state.lock().expect("the group");
        state.memory_short_until = Some(Instant::now() + time);
        state.preempted = state.running.iter().filter_map(|it| it.last().copied()).collect();
        let count = state.preempted.len();
        drop(state);
        self.record.line(&format!("engines: memory runs out, {count} requests wait {time:?} for it"));
    }

    fn id(&self, rank: usize) -> String {
        format!("i-{}-{rank}", self.service)
    }

    fn serve(&self, rank: usize, head: &Head, body: Vec<u8>, to: &mut TcpStream) -> io::Result<bool> {
        let json = [("content-type", "application/json")];
        match head.path() {
            "/-/report" => {
                let text = self.report(rank);
                to.write_all(&answer("200 OK", &json, text.as_bytes()))?;
            }
            "/-/picked" => {
                let text = self.picked(rank, head.query("lists").is_some());
                to.write_all(&answer("200 OK", &json, text.as_bytes()))?;
            }
            "/-/order" => {
                // Demand is even here, so that no map is better than map 0.
                self.record.line(&format!("engine {} refuses an order {}", self.id(rank), String::from_utf8_lossy(&body)));
                to.write_all(&answer("409 Conflict", &json, b"{}"))?;
            }
            _ => return self.run(rank, head, to),
        }
        Ok(true)
    }

    fn report(&self, rank: usize) -> String {
        let state = self.state.lock().expect("the group");
        let all = &state.running[rank];
        let waiting = all.iter().filter(|it| state.is_preempted(**it)).count();
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":{},\"adapters\":[]}}],\
             \"busy\":false,\"seq\":0,\"queued\":{waiting},\"running\":{},\"kvUsed\":0,\
             \"kvTotal\":372000,\"handles\":0,\"pace\":1.0,\"born\":{},\
             \"group\":{{\"name\":\"g-1\",\"epoch\":1,\"rank\":{rank},\"state\":\"open\"}},\
             \"size\":{},\"step\":{},\"map\":0,\"prepared\":null,\"armed\":null,\"held\":null}}",
            self.weights, all.len() - waiting, self.born, state.running.len(), state.step
        )
    }

    fn picked(&self, rank: usize, lists: bool) -> String {
        let state = self.state.lock().expect("the group");
        let ranks = state.running.len();
        if lists {
            let own: Vec<String> =
                (0..EXPERTS).filter(|it| it % ranks == rank).map(|it| it.to_string()).collect();
            let sets = vec![format!("[{}]", own.join(",")); SETS].join(",");
            return format!("{{\"epoch\":1,\"map\":{{\"version\":0,\"experts\":[{sets}]}},\"prepared\":null}}");
        }
        let counts = vec![state.step.to_string(); SETS * EXPERTS].join(",");
        format!("{{\"step\":{},\"epoch\":1,\"counts\":[{counts}]}}", state.step)
    }

    /// Runs a request: a stream of as many events as its path names.
    fn run(&self, rank: usize, head: &Head, to: &mut TcpStream) -> io::Result<bool> {
        let (id, engine) = (head.get("x-request-id").unwrap_or("").to_string(), self.id(rank));
        if common::refused_as_misdirected(head, &engine, self.weights, to)? {
            self.record.line(&format!("engine {engine} refuses {id} with 421"));
            return Ok(true);
        }
        let last = path_number(head.path());
        let after: u64 = head.get("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        let mut state = self.state.lock().expect("the group");
        let run = state.next_run;
        state.next_run += 1;
        state.running[rank].push(run);
        drop(state);
        self.record.line(&format!("engine {engine} runs {id} after event {after}"));
        let ended = self.stream(run, after, last, &id, &engine, to);
        let mut state = self.state.lock().expect("the group");
        state.running[rank].retain(|it| *it != run);
        drop(state);
        match &ended {
            Ok(()) => self.record.line(&format!("engine {engine} has sent all events of {id}")),
            Err(error) => self.record.line(&format!("engine {engine} drops {id}: its channel was closed ({error})")),
        }
        ended.map(|()| true)
    }

    fn stream(
        &self, run: u64, after: u64, last: u64, id: &str, engine: &str, to: &mut TcpStream,
    ) -> io::Result<()> {
        let (mut next, mut seen, mut head_sent, mut paused) = (after + 1, 0, false, None);
        while next <= last {
            let mut state = self.state.lock().expect("the group");
            let entered = *if seen == 0 { seen = state.step; &seen } else { &seen };
            while state.step <= entered {
                state = self.passed.wait(state).expect("the group");
            }
            seen = state.step;
            let preempted = state.is_preempted(run);
            drop(state);
            is_open(to)?;
            if preempted {
                if paused.is_none() {
                    paused = Some(Instant::now());
                    self.record.line(&format!("engine {engine} preempts {id} after event {}", next - 1));
                }
                continue;
            }
            if let Some(since) = paused.take() {
                self.record.line(&format!("engine {engine} goes on with {id} after {:?}", since.elapsed()));
            }
            if !head_sent {
                head_sent = true;
                let text = format!(
                    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: {id}\r\n\
                     x-response-seal: s.{engine}\r\nx-weight-versions: {}\r\n\
                     transfer-encoding: chunked\r\n\r\n",
                    self.weights
                );
                to.write_all(text.as_bytes())?;
            }
            let event = format!("id: {next}\ndata: five tokens of {id}\n\n");
            to.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            next += 1;
        }
        to.write_all(b"0\r\n\r\n")
    }
}

/// The number that ends a path: the events of a stream.
fn path_number(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|it| it.parse().ok()).unwrap_or(1)
}

/// An engine drops a request when its channel closes.
fn is_open(stream: &TcpStream) -> io::Result<()> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    match peeked {
        Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
        Err(error) if error.kind() != io::ErrorKind::WouldBlock => Err(error),
        _ => Ok(()),
    }
}

/// Starts a plain engine that answers each request after some milliseconds.
pub fn start_plain(
    at: SocketAddr, id: &str, service: &str, zone: &str, store: &Arc<Store>, record: &Arc<Record>,
) -> Announcement {
    let (engine, record) = (id.to_string(), record.clone());
    listen(at, move |head, _, to| {
        if common::refused_as_misdirected(head, &engine, 1, to)? {
            return Ok(true);
        }
        let request = head.get("x-request-id").unwrap_or("").to_string();
        record.line(&format!("engine {engine} runs {request}"));
        thread::sleep(common::ms(15));
        let seal = format!("s.{engine}");
        let headers = [("x-request-id", &*request), ("x-response-seal", &seal)];
        to.write_all(&answer("200 OK", &headers, b"done"))?;
        Ok(true)
    });
    Announcement::new(store, id, service, zone, at, 6)
}

/// A route of a configuration.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, timeout_ms: u64, aim_ms: u64, more: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":{aim_ms},\"priority\":1,\
         \"service\":\"{service}\",\"public\":false{more}}}",
        common::HOST
    )
}

/// Writes a configuration with the model engines' and the plain service.
pub fn publish(store: &Store, version: u64, routes: &[String]) {
    let text = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"kirjutaja\",\"maxConns\":348,\"engine\":{{\"sets\":{SETS},\"experts\":{EXPERTS},\
         \"places\":20,\"spare\":2,\"expertMb\":880.0,\"linkMbps\":180000.0}}}},\
         {{\"name\":\"valvur\",\"maxConns\":100}},{{\"name\":\"texts\",\"maxConns\":100}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"{}\",\"apiKeys\":[\"{}\"]}}]}}",
        routes.join(","), common::TENANT, common::KEY
    );
    store.put("keyed.op", "config", &text);
}
