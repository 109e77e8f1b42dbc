//! Prompt parts that crash each engine that begins to write an answer on them.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    common::{self, Announcement, CALLERS, ENGINES, Net, Programs, Record, STORE, Store, ms, read_body, read_head},
    engines::{publish, route},
};

const ENGINE_COUNT: u8 = 4;

/// The parts that crash engines, and how often a request with each is sent.
const DEADLY: [&str; 2] = ["dead", "d00d"];
const DEADLY_PAUSE: Duration = Duration::from_millis(250);

/// Engines that crashed start again one after the other, each after this time.
const RESTART: Duration = Duration::from_millis(2_000);

/// The time before the parts, the time with them, and the part of it at its end
/// that is judged.
const BEFORE: Duration = Duration::from_millis(5_000);
const WITH_PARTS: Duration = Duration::from_millis(40_000);
const JUDGED: Duration = Duration::from_millis(8_000);

struct World {
    record: Arc<Record>,
    store: Arc<Store>,
    begun: Mutex<HashMap<String, usize>>,
    /// When each part crashed an engine.
    crashes: Mutex<HashMap<&'static str, Vec<Instant>>>,
    /// Deadly requests that reached engines.
    reached: Mutex<Vec<(&'static str, Instant)>>,
    over: AtomicBool,
    restarts: Mutex<()>,
}

pub fn run() -> bool {
    let (net, record) = (Net::free(), Record::new());
    let store = Store::start(net.at(250, STORE));
    let world = Arc::new(World {
        record: record.clone(),
        store: store.clone(),
        begun: Mutex::default(),
        crashes: Mutex::default(),
        reached: Mutex::default(),
        over: AtomicBool::new(false),
        restarts: Mutex::default(),
    });
    for n in 0..ENGINE_COUNT {
        let world = world.clone();
        let zone = ["a", "b", "c"][usize::from(n % 3)];
        thread::spawn(move || run_engine(&world, net.at(20 + n, ENGINES), &format!("i-{n}"), zone));
    }
    let resumable = ",\"maxAttempts\":2,\"resumable\":true,\"sticky\":true,\"gapAimMs\":120";
    publish(&store, 3, &[route("draft", "/draft/", "streaming", "texts", 8_000, 400, resumable)]);
    let mut programs = Programs::new(net);
    programs.entry(1, "a", &[2, 3], 250);
    programs.entry(2, "b", &[1, 3], 250);
    programs.entry(3, "c", &[1, 2], 250);
    (1..=3).for_each(|it| programs.until_ready(it));
    thread::sleep(ms(3_000));
    let sent = Arc::new(Mutex::new(Vec::new()));
    for client in 0..6_usize {
        let (world, sent) = (world.clone(), sent.clone());
        thread::spawn(move || {
            for n in 0.. {
                if world.over.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("sound-{client}-{n}");
                let prompt = format!("a0:40,b{}:40,f9:40,e{client}{n:05}:9", (client + n) % 6);
                sent.lock().expect("sent").push((id.clone(), Instant::now()));
                thread::spawn(move || {
                    common::ask(net.at(1 + (client % 3) as u8, CALLERS), &id, "/draft/4", 4_000, &[("X-Prefix-Hash", &prompt)])
                });
                thread::sleep(ms(200));
            }
        });
    }
    thread::sleep(BEFORE);
    let parts_begin = Instant::now();
    let number = Arc::new(AtomicUsize::new(0));
    if common::trouble() {
        record.line("clients: requests with the parts begin");
        for (at, part) in DEADLY.into_iter().enumerate() {
            let (world, number) = (world.clone(), number.clone());
            thread::spawn(move || {
                while !world.over.load(Ordering::SeqCst) {
                    let n = number.fetch_add(1, Ordering::SeqCst);
                    let prompt = match n % 2 {
                        0 => format!("a0:40,{part}:40,b{}:40,f9:40,c{n:06}:9", n % 6),
                        _ => format!("a0:40,b{}:40,{part}:40,f9:40,c{n:06}:9", n % 6),
                    };
                    let id = format!("with-{part}-{n}");
                    let vm = 1 + ((n + at) % 3) as u8;
                    thread::spawn(move || {
                        common::ask(net.at(vm, CALLERS), &id, "/draft/4", 4_000, &[("X-Prefix-Hash", &prompt)])
                    });
                    thread::sleep(DEADLY_PAUSE);
                }
            });
        }
    }
    thread::sleep(WITH_PARTS);
    world.over.store(true, Ordering::SeqCst);
    let judged_from = parts_begin + WITH_PARTS - JUDGED;
    thread::sleep(ms(2_500));
    drop(programs);
    let begun = world.begun.lock().expect("begun");
    let sent = sent.lock().expect("sent");
    let share = |from: Instant, until: Instant| {
        let of = sent.iter().filter(|it| it.1 >= from && it.1 < until);
        (of.clone().filter(|it| begun.contains_key(&it.0)).count(), of.count())
    };
    let before = share(parts_begin - BEFORE, parts_begin);
    let judged = share(judged_from, parts_begin + WITH_PARTS);
    let mut known_long_ago = false;
    for (part, at) in world.crashes.lock().expect("crashes").iter() {
        let fifth = at.get(4).or(at.last()).copied();
        let since = fifth.map_or(Duration::ZERO, |it| judged_from.saturating_duration_since(it));
        known_long_ago |= at.len() >= 5 && since >= ms(6_000);
        let reached = world.reached.lock().expect("reached");
        let late = reached.iter().filter(|it| it.0 == *part && at.get(4).is_some_and(|f| it.1 > *f + ms(3_300))).count();
        record.line(&format!(
            "part {part}: {} crashes, the fifth (or last) {:.1} s before the judged time; BUDGET: {late} requests \
             with it reached engines later than stableWindowMs after the fifth",
            at.len(), since.as_secs_f64()
        ));
    }
    record.line(&format!(
        "LOST: of sound requests {} of {} began before the parts came, {} of {} in the judged time",
        before.0, before.1, judged.0, judged.1
    ));
    if before.0 < 20 || judged.1 < 20 {
        common::cannot_run("too few requests");
    }
    common::trouble() && known_long_ago && judged.0 * before.1 * 2 < before.0 * judged.1
        || !common::trouble() && judged.0 * 2 < judged.1
}

/// Runs an engine, and starts it again some seconds after each crash.
fn run_engine(world: &Arc<World>, at: SocketAddr, id: &str, zone: &str) {
    loop {
        let listener = loop {
            match TcpListener::bind(at) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(ms(20)),
            }
        };
        let _ = listener.set_nonblocking(true);
        Announcement::new(&world.store, id, "texts", zone, at, 12);
        let alive = Arc::new(AtomicBool::new(true));
        let channels = Arc::new(Mutex::new(Vec::<TcpStream>::new()));
        while alive.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ms(2));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(kept) = stream.try_clone() {
                channels.lock().expect("channels").push(kept);
            }
            let (world, alive, id) = (world.clone(), alive.clone(), id.to_string());
            thread::spawn(move || {
                let _ = serve(&world, &alive, &id, stream);
            });
        }
        drop(listener);
        for channel in channels.lock().expect("channels").drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
        let _turn = world.restarts.lock().expect("a turn");
        thread::sleep(RESTART);
    }
}

fn serve(world: &World, alive: &AtomicBool, engine: &str, mut to: TcpStream) -> std::io::Result<()> {
    let mut reader = BufReader::new(to.try_clone()?);
    while let Some(head) = read_head(&mut reader)? {
        read_body(&mut reader, &head)?;
        if common::refused_as_misdirected(&head, engine, 1, &mut to)? {
            continue;
        }
        let id = head.get("x-request-id").unwrap_or("").to_string();
        let prompt = head.get("x-prefix-hash").unwrap_or("");
        let deadly = DEADLY.into_iter().find(|it| prompt.contains(&format!("{it}:")));
        if let Some(part) = deadly {
            world.reached.lock().expect("reached").push((part, Instant::now()));
        }
        thread::sleep(ms(15));
        if !alive.load(Ordering::SeqCst) {
            return Ok(());
        }
        if let Some(part) = deadly {
            if alive.swap(false, Ordering::SeqCst) {
                world.record.line(&format!("engine {engine} crashes as it begins {id}"));
                world.crashes.lock().expect("crashes").entry(part).or_default().push(Instant::now());
            }
            return Ok(());
        }
        *world.begun.lock().expect("begun").entry(id.clone()).or_default() += 1;
        world.record.line(&format!("engine {engine} runs {id}"));
        let text = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: {id}\r\n\
             x-response-seal: s.{engine}\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        to.write_all(text.as_bytes())?;
        let after = head.get("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        for n in after + 1..=4_u64 {
            let event = format!("id: {n}\ndata: text\n\n");
            to.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(ms(20));
        }
        to.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}
