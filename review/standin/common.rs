//! Stand-ins for the platform's store, engines and clients, and the start of
//! the project's programs. The standard library only; every address is a
//! loopback address.

use std::{
    collections::{BTreeMap, HashMap},
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const CALLERS: u16 = 21_080;
pub const READY: u16 = 21_081;
pub const CONTROL: u16 = 21_082;
pub const PEERS: u16 = 21_083;
pub const AGENTS: u16 = 21_084;
pub const ENGINES: u16 = 21_085;
pub const STORE: u16 = 21_086;

pub const HOST: &str = "case.example";
pub const KEY: &str = "key-of-the-case";
pub const TENANT: &str = "tenant-1";
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The case couldn't run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case couldn't run: {why}");
    std::process::exit(2);
}

/// What was sent, answered and run, with the time since the start.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        let path = std::env::var("RECORD").unwrap_or("record.txt".into());
        let file = File::create(path).unwrap_or_else(|it| cannot_run(&it.to_string()));
        Arc::new(Record { started: Instant::now(), file: Mutex::new(file) })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_millis();
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{:>8.3} {text}", at as f64 / 1_000.0);
    }
}

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

// ---------------------------------------------------------------- network

/// Loopback addresses 127.A.B.1 to 127.A.B.250 that nobody else uses.
#[derive(Clone, Copy)]
pub struct Net(u8, u8);

impl Net {
    pub fn free() -> Net {
        let id = std::process::id();
        for n in 0..200 {
            let net = Net(30 + ((id + n) % 200) as u8, 1 + (id / 200 % 250) as u8);
            let ports = [CALLERS, READY, CONTROL, PEERS, AGENTS, ENGINES, STORE];
            let free = |vm: u8| {
                ports.iter().all(|it| TcpListener::bind((net.vm(vm), *it)).is_ok())
            };
            if (1..30).all(free) && free(250) && free(251) {
                return net;
            }
        }
        cannot_run("no free addresses")
    }

    pub fn vm(self, vm: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, self.1, vm)
    }

    pub fn at(self, vm: u8, port: u16) -> SocketAddr {
        (self.vm(vm), port).into()
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0 == name);
        found.map(|it| it.1.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|it| it.split_once('='));
        pairs.into_iter().find(|it| it.0 == name).map(|it| it.1)
    }
}

pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return match head.first.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        if head.first.is_empty() {
            head.first = line.into();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            head.headers.push((name, value.trim().into()));
        }
    }
}

fn read_chunk(from: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or("");
    let size = usize::from_str_radix(size, 16)
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size + 2];
    from.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

pub fn read_body(from: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let chunked = head.get("transfer-encoding").is_some_and(|it| it.contains("chunked"));
    let mut body = Vec::new();
    if chunked {
        loop {
            let chunk = read_chunk(from)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    let length = head.get("content-length").and_then(|it| it.parse().ok());
    body.resize(length.unwrap_or(0), 0);
    from.read_exact(&mut body)?;
    Ok(body)
}

pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves each connection on a thread; `serve` returns false to close it.
pub fn listen<F>(at: SocketAddr, serve: F)
where
    F: Fn(&Head, Vec<u8>, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(at).unwrap_or_else(|it| cannot_run(&it.to_string()));
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || -> io::Result<()> {
                stream.set_nodelay(true)?;
                let mut reader = BufReader::new(stream.try_clone()?);
                let mut writer = stream;
                while let Some(head) = read_head(&mut reader)? {
                    let body = read_body(&mut reader, &head)?;
                    if !serve(&head, body, &mut writer)? {
                        break;
                    }
                }
                Ok(())
            });
        }
    });
}

// ---------------------------------------------------------------- store

/// The platform's store: a log, as the pages describe it.
#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    appended: Condvar,
}

/// A path to the store. While it is cut, calls get no answer, also those under
/// way, and their channels return nothing any more.
#[derive(Clone, Default)]
pub struct Path(Arc<AtomicBool>);

impl Path {
    pub fn cut(&self, is_cut: bool) {
        self.0.store(is_cut, Ordering::SeqCst);
    }

    fn is_cut(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
}

impl Store {
    pub fn start(at: SocketAddr) -> Arc<Store> {
        let store = Arc::new(Store::default());
        store.listen_on_path(at);
        store
    }

    /// Serves the store on one more path, which can be cut by itself.
    pub fn listen_on_path(self: &Arc<Store>, at: SocketAddr) -> Path {
        let (serving, path) = (self.clone(), Path::default());
        let watched = path.clone();
        listen(at, move |head, body, to| {
            if watched.is_cut() {
                return silence(&watched);
            }
            let reply = serving.reply(head, body);
            if watched.is_cut() {
                return silence(&watched);
            }
            to.write_all(&reply)?;
            Ok(true)
        });
        path
    }

    /// Removes a key.
    pub fn remove(&self, topic: &str, key: &str) {
        self.put(topic, key, "");
    }

    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.append(topic, vec![record]);
    }

    fn append(&self, name: &str, records: Vec<Vec<u8>>) -> (u64, u64) {
        let mut topics = self.topics.lock().expect("topics");
        let topic = topics.entry(name.into()).or_default();
        let offset = topic.records.len() as u64;
        for record in records {
            if name.starts_with("keyed.") && !record.is_empty() {
                let length = usize::from(record[0]);
                let key = String::from_utf8_lossy(&record[1..1 + length]).into_owned();
                let value = record[1 + length..].to_vec();
                let at = topic.records.len() as u64;
                if value.is_empty() {
                    topic.newest.remove(&key);
                } else {
                    topic.newest.insert(key, (value, at));
                }
            }
            topic.records.push(record);
        }
        let end = topic.records.len() as u64;
        self.appended.notify_all();
        (offset, end)
    }

    fn reply(&self, head: &Head, body: Vec<u8>) -> Vec<u8> {
        let name = head.query("topic").unwrap_or("").to_string();
        let number = |key| head.query(key).and_then(|it| it.parse::<u64>().ok());
        thread::sleep(ms(4));
        let json = [("content-type", "application/json")];
        match head.path() {
            "/-/log-append" => {
                let (mut records, mut rest) = (Vec::new(), &body[..]);
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]);
                    let length = (length as usize).min(rest.len() - 4);
                    records.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let (offset, end) = self.append(&name, records);
                let text = format!("{{\"offset\":{offset},\"end\":{end}}}");
                answer("200 OK", &json, text.as_bytes())
            }
            "/-/log-newest" => {
                let topics = self.topics.lock().expect("topics");
                let empty = Topic::default();
                let topic = topics.get(&name).unwrap_or(&empty);
                let item = |(key, (value, offset)): (&String, &(Vec<u8>, u64))| {
                    format!(
                        "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                        base64(value)
                    )
                };
                let items: Vec<String> = topic.newest.iter().map(item).collect();
                let text = format!(
                    "{{\"items\":[{}],\"hasMore\":false,\"end\":{}}}",
                    items.join(","),
                    topic.records.len()
                );
                answer("200 OK", &json, text.as_bytes())
            }
            "/-/log-read" => {
                let from = number("from").unwrap_or(0) as usize;
                let until = Instant::now() + ms(number("waitMs").unwrap_or(0));
                let mut topics = self.topics.lock().expect("topics");
                loop {
                    let end = topics.get(&name).map_or(0, |it| it.records.len());
                    let left = until.saturating_duration_since(Instant::now());
                    if end > from || left.is_zero() {
                        break;
                    }
                    topics = self.appended.wait_timeout(topics, left).expect("topics").0;
                }
                let empty = Topic::default();
                let topic = topics.get(&name).unwrap_or(&empty);
                if from > topic.records.len() {
                    answer("410 Gone", &json, b"{\"first\":0}")
                } else {
                    let mut page = (topic.records.len() as u64).to_be_bytes().to_vec();
                    page.extend_from_slice(&0_u64.to_be_bytes());
                    for record in &topic.records[from..] {
                        page.extend_from_slice(&(record.len() as u32).to_be_bytes());
                        page.extend_from_slice(record);
                    }
                    answer("200 OK", &[("content-type", "application/octet-stream")], &page)
                }
            }
            _ => answer("404 Not Found", &[], b""),
        }
    }
}

/// Gives no answer while a path is cut; then the channel is closed.
fn silence(path: &Path) -> io::Result<bool> {
    while path.is_cut() {
        thread::sleep(ms(20));
    }
    Ok(false)
}

fn base64(bytes: &[u8]) -> String {
    let digits = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(*group.get(at).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            if at <= group.len() {
                let digit = bits >> (18 - 6 * at) & 63;
                text.push(char::from(digits[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- programs

/// The project's programs that the case started. All end with the case.
pub struct Programs {
    net: Net,
    directory: PathBuf,
    children: Vec<(String, Child)>,
}

impl Programs {
    pub fn new(net: Net) -> Programs {
        let directory = std::env::var("CASE_TMP").unwrap_or_else(|_| cannot_run("CASE_TMP is not set"));
        Programs { net, directory: directory.into(), children: Vec::new() }
    }

    /// The program of a role of the deploy file, and its settings template.
    fn role(name: &str) -> (String, String) {
        let text = fs::read_to_string("deploy/system.toml").unwrap_or_else(|it| cannot_run(&it.to_string()));
        let part = text.split(&format!("[roles.{name}]")).nth(1).unwrap_or("");
        let part = part.split("\n[").next().unwrap_or("");
        let value = |key: &str| {
            let line = part.lines().find_map(|it| it.strip_prefix(&format!("{key} = ")));
            line.map(|it| it.trim().trim_matches('"').to_string())
        };
        match (value("run"), value("template")) {
            (Some(run), Some(template)) => (run, template),
            _ => cannot_run("the deploy file lacks a role"),
        }
    }

    fn start(&mut self, role: &str, name: &str, values: &[(&str, String)]) -> u32 {
        let (run, template) = Programs::role(role);
        let mut settings = fs::read_to_string(&template).unwrap_or_else(|it| cannot_run(&it.to_string()));
        for (key, value) in values {
            let json = value.parse::<f64>().is_ok()
                || value.starts_with('[')
                || ["true", "false"].contains(&value.as_str());
            let quoted = if json { value.clone() } else { format!("\"{value}\"") };
            settings = settings.replace(&format!("{{{{{key}|json}}}}"), &quoted);
            settings = settings.replace(&format!("{{{{{key}}}}}"), value);
        }
        if settings.contains("{{") {
            cannot_run(&format!("the template has an unknown field: {settings}"));
        }
        let file = self.directory.join(format!("{name}.json"));
        fs::write(&file, settings).unwrap_or_else(|it| cannot_run(&it.to_string()));
        let output = File::create(self.directory.join(format!("{name}.log")))
            .unwrap_or_else(|it| cannot_run(&it.to_string()));
        let mut words = run.split(' ');
        let mut command = Command::new(words.next().unwrap_or(""));
        command.args(words).env("COWSLIPROAD_NODE_FILE", &file);
        command.stdout(output).stdin(Stdio::null());
        let child = command.spawn().unwrap_or_else(|it| cannot_run(&format!("{run}: {it}")));
        let id = child.id();
        if let Ok(mut pids) = File::options().create(true).append(true).open(self.directory.join("pids")) {
            let _ = writeln!(pids, "{id}");
        }
        self.children.push((name.into(), child));
        id
    }

    /// Starts an entry with the bounds of a small deployment, and its path to
    /// the store.
    pub fn entry(&mut self, vm: u8, zone: &str, others: &[u8], store: u8) -> u32 {
        let net = self.net;
        let seeds: Vec<String> = [&[vm][..], others].concat().iter()
            .map(|it| format!("\"{}\"", net.at(*it, CONTROL))).collect();
        let name = format!("front-{vm}");
        let values = [
            ("node", name.clone()),
            ("zone", zone.into()),
            ("listen.front", net.at(vm, CALLERS).to_string()),
            ("listen.ready", net.at(vm, READY).to_string()),
            ("seeds", format!("[{}]", seeds.join(","))),
            ("internalPorts.0", PEERS.to_string()),
            ("platform.address", net.at(store, STORE).to_string()),
            ("heartbeatMs", "1200".into()),
            ("bounds.drainMs", "2000".into()),
            ("bounds.configApplyMs", "2000".into()),
            ("bounds.graceS", "8".into()),
            ("bootstrap", "true".into()),
            ("bounds.retryBudgetRatio", "0.2".into()),
            ("bounds.retryBudgetSlack", "90".into()),
            ("bounds.budgetWindowS", "10".into()),
            ("limits.maxFds", "4200".into()),
        ];
        self.start("entry", &name, &values)
    }

    /// Starts the agent beside an engine.
    pub fn agent(&mut self, vm: u8) -> u32 {
        let net = self.net;
        let name = format!("side-{vm}");
        let values = [
            ("node", name.clone()),
            ("ip", net.vm(vm).to_string()),
            ("app", net.at(vm, ENGINES).to_string()),
            ("internalPorts.0", PEERS.to_string()),
            ("internalPorts.1", AGENTS.to_string()),
            ("platform.address", net.at(250, STORE).to_string()),
        ];
        self.start("agent", &name, &values)
    }

    /// Waits until an entry says that it is ready.
    pub fn until_ready(&self, vm: u8) {
        let until = Instant::now() + ms(15_000);
        while !is_ready(self.net.at(vm, READY)) {
            if Instant::now() > until {
                cannot_run("an entry does not get ready");
            }
            thread::sleep(ms(50));
        }
    }

    /// Sends a signal to a program of this case.
    pub fn signal(&self, id: u32, name: &str) {
        let sent = Command::new("sh").arg("-c").arg(format!("kill -{name} {id}")).status();
        if !sent.is_ok_and(|it| it.success()) {
            cannot_run("a signal can't be sent");
        }
    }
}

impl Drop for Programs {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

pub fn is_ready(at: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&at, ms(500)) else { return false };
    let _ = stream.set_read_timeout(Some(ms(500)));
    let asked = stream.write_all(b"GET /-/ready HTTP/1.1\r\nhost: ready\r\n\r\n");
    let head = asked.and_then(|()| read_head(&mut BufReader::new(&mut stream)));
    matches!(head, Ok(Some(head)) if head.status() == 200)
}

// ---------------------------------------------------------------- clients

/// How a client's attempt ended.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub status: Option<u16>,
    /// Whether the answer came whole.
    pub complete: bool,
    /// Whether the answer has the engine's proof.
    pub has_seal: bool,
    pub events: Vec<u64>,
    pub longest_gap: Duration,
    pub took: Duration,
    pub error: String,
}

/// A client's channel to an entry.
pub struct Channel {
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn open(to: SocketAddr) -> io::Result<Channel> {
        let stream = TcpStream::connect_timeout(&to, ms(1_000))?;
        stream.set_nodelay(true)?;
        Ok(Channel { reader: BufReader::new(stream) })
    }

    /// Sends a request and reads its answer as it comes.
    pub fn ask(&mut self, id: &str, path: &str, limit_ms: u64, more: &[(&str, &str)]) -> Outcome {
        let begun = Instant::now();
        let mut outcome = Outcome::default();
        if let Err(error) = self.exchange(id, path, limit_ms, more, &mut outcome) {
            outcome.error = error.to_string();
        }
        outcome.took = begun.elapsed();
        outcome
    }

    fn exchange(
        &mut self, id: &str, path: &str, limit_ms: u64, more: &[(&str, &str)], outcome: &mut Outcome,
    ) -> io::Result<()> {
        let body = format!("work of {id}");
        let mut text = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: {limit_ms}\r\nAuthorization: Bearer {KEY}\r\n\
             X-Model: m\r\nX-Token-Counts: 700,140\r\nContent-Length: {}\r\n",
            body.len()
        );
        for (name, value) in more {
            text += &format!("{name}: {value}\r\n");
        }
        text += &format!("\r\n{body}");
        // A client leaves at its own time limit, a little later here.
        self.reader.get_ref().set_read_timeout(Some(ms(limit_ms + 300)))?;
        self.reader.get_mut().write_all(text.as_bytes())?;
        let head = read_head(&mut self.reader)?;
        let head = head.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        outcome.status = Some(head.status());
        outcome.has_seal = head.get("x-response-seal").is_some();
        if !head.get("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
            read_body(&mut self.reader, &head)?;
            outcome.complete = true;
            return Ok(());
        }
        let (mut last, mut pending) = (None::<Instant>, String::new());
        loop {
            let chunk = read_chunk(&mut self.reader)?;
            if chunk.is_empty() {
                outcome.complete = pending.is_empty();
                return Ok(());
            }
            if let Some(last) = last.replace(Instant::now()) {
                outcome.longest_gap = outcome.longest_gap.max(last.elapsed());
            }
            pending += &String::from_utf8_lossy(&chunk);
            while let Some((event, rest)) = pending.split_once("\n\n") {
                let id = event.lines().find_map(|it| it.strip_prefix("id: "));
                outcome.events.extend(id.and_then(|it| it.parse::<u64>().ok()));
                pending = rest.to_string();
            }
        }
    }
}

impl Drop for Channel {
    fn drop(&mut self) {
        let _ = self.reader.get_ref().shutdown(Shutdown::Both);
    }
}

/// One attempt on a new channel.
pub fn ask(to: SocketAddr, id: &str, path: &str, limit_ms: u64, more: &[(&str, &str)]) -> Outcome {
    match Channel::open(to) {
        Ok(mut channel) => channel.ask(id, path, limit_ms, more),
        Err(error) => Outcome { error: error.to_string(), ..Outcome::default() },
    }
}

// ---------------------------------------------------------------- engines

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

/// An engine's entry in the store. The engine writes at each heartbeat; the
/// entry changes when more than `seq` does, so that this stand-in's heartbeats
/// leave no record.
pub struct Announcement {
    store: Arc<Store>,
    id: String,
    service: String,
    zone: String,
    at: SocketAddr,
    slots: u32,
    born: u64,
    started: Instant,
    last_seq: AtomicU64,
}

impl Announcement {
    pub fn new(
        store: &Arc<Store>, id: &str, service: &str, zone: &str, at: SocketAddr, slots: u32,
    ) -> Announcement {
        let announcement = Announcement {
            store: store.clone(),
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            at,
            slots,
            born: unix_ms(),
            started: Instant::now(),
            last_seq: AtomicU64::new(0),
        };
        announcement.write("ready");
        announcement
    }

    /// Writes the entry, with the number of the heartbeat.
    pub fn write(&self, state: &str) {
        let beats = (self.started.elapsed().as_millis() / HEARTBEAT.as_millis()) as u64 + 1;
        let seq = beats.max(self.last_seq.load(Ordering::SeqCst) + 1);
        self.last_seq.store(seq, Ordering::SeqCst);
        let Announcement { id, service, zone, at, slots, born, .. } = self;
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{at}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\
             \"coldLeftMs\":0,\"seq\":{seq},\"born\":{born}}}"
        );
        self.store.put("keyed.servers", id, &value);
    }

    /// The store removes the entry after three silent heartbeats.
    pub fn lapse(&self) {
        self.store.remove("keyed.servers", &self.id);
    }
}

/// Refuses a request that is meant for another engine or other weights, as the
/// pages say. Returns whether it did.
pub fn refused_as_misdirected(
    head: &Head, id: &str, weights: u64, to: &mut TcpStream,
) -> io::Result<bool> {
    let other_engine = head.get("x-expect-instance").is_some_and(|it| it != id);
    let other_weights =
        head.get("x-expect-version").is_some_and(|it| it.trim() != weights.to_string());
    if other_engine || other_weights {
        let request = head.get("x-request-id").unwrap_or("");
        let headers = [
            ("x-request-id", request),
            ("x-not-executed", "1"),
            ("at-server", id),
        ];
        to.write_all(&answer("421 Misdirected Request", &headers, b""))?;
        return Ok(true);
    }
    Ok(false)
}
