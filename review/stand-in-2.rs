//! Stand-ins and scripts of the second independent review. One program without dependencies: a store,
//! engines and clients as the users' pages describe them, around real `mastbay-edge` processes.
//!
//!     stand-in-2 CASE EDGE FOLDER
//!
//! starts the case, writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and
//! 2 if the case could not run. With TROUBLE=0 in the environment the disruption is left out.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Error, ErrorKind, Result, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

// ---------------------------------------------------------------------------------------------
// HTTP/1.1

/// The head of a message and its body.
#[derive(Debug, Clone, Default)]
struct Message {
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

fn broken(text: &str) -> Error {
    Error::new(ErrorKind::InvalidData, text.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(Error::new(ErrorKind::UnexpectedEof, "closed"));
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads a message. A body lasts for its length, for its chunks, or, in an answer without either,
/// until the connection closes.
fn read_message(reader: &mut impl BufRead, is_answer: bool) -> Result<Message> {
    let mut message = Message { first: read_line(reader)?, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("no header"))?;
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    if is_answer && (100..200).contains(&message.status()) {
        return read_message(reader, is_answer);
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = read_line(reader)?;
            let size = size.split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| broken("chunk"))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            if size == 0 {
                while !read_line(reader)?.is_empty() {}
                return Ok(message);
            }
            read_line(reader)?;
        }
    }
    match message.header("content-length").map(str::parse::<usize>) {
        Some(length) => {
            message.body = vec![0; length.map_err(|_| broken("length"))?];
            reader.read_exact(&mut message.body)?;
        }
        None if is_answer => {
            reader.read_to_end(&mut message.body)?;
        }
        None => {}
    }
    Ok(message)
}

// ---------------------------------------------------------------------------------------------
// The platform's store

/// Returns the raw text of a member of a JSON object.
fn member<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let bytes = json.as_bytes();
    let mut at = json.find('{')? + 1;
    loop {
        at += bytes[at..].iter().position(|byte| *byte == b'"')?;
        let key_end = skip(bytes, at);
        let key = &json[at + 1..key_end - 1];
        let mut value = key_end + bytes[key_end..].iter().position(|byte| *byte == b':')? + 1;
        while bytes.get(value)?.is_ascii_whitespace() {
            value += 1;
        }
        let end = skip(bytes, value);
        if key == name {
            return Some(&json[value..end]);
        }
        at = end;
        while bytes.get(at)?.is_ascii_whitespace() {
            at += 1;
        }
        if bytes[at] == b'}' {
            return None;
        }
    }
}

/// Returns the end of the JSON value that begins at `at`.
fn skip(bytes: &[u8], at: usize) -> usize {
    let (mut depth, mut in_text, mut end) = (0, false, at);
    while end < bytes.len() {
        let byte = bytes[end];
        end += 1;
        if in_text {
            match byte {
                b'\\' => end += 1,
                b'"' => in_text = false,
                _ => {}
            }
            if !in_text && depth == 0 {
                return end;
            }
            continue;
        }
        match byte {
            b'"' => in_text = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' => {
                if depth == 0 {
                    return end - 1;
                }
                depth -= 1;
                if depth == 0 {
                    return end;
                }
            }
            b',' if depth == 0 => return end - 1,
            _ => {}
        }
    }
    end
}

#[derive(Debug, Clone)]
struct Stored {
    name: String,
    revision: u64,
    made: u64,
    spec: String,
    status: String,
}

impl Stored {
    fn json(&self) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{}\",\"revision\":{},\"made\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":{}}}",
            self.name, self.revision, self.made, self.spec, self.status
        )
    }
}

#[derive(Debug)]
struct Change {
    revision: u64,
    kind: String,
    gone: bool,
    object: String,
}

#[derive(Debug, Default)]
struct Objects {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Stored>>,
    changes: Vec<Change>,
}

/// The store: lists, watches and conditional writes, as PROTOCOL.md tells them. It is never in
/// disruption here.
#[derive(Debug)]
struct Store {
    address: SocketAddr,
    objects: Mutex<Objects>,
    changed: Condvar,
}

impl Store {
    fn start(ip: IpAddr) -> Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let objects = Mutex::new(Objects { revision: 100, ..Objects::default() });
        let store = Arc::new(Self { address, objects, changed: Condvar::new() });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn put(&self, kind: &str, name: &str, spec: &str) -> String {
        self.set(kind, name, |stored| stored.spec = spec.to_owned())
    }

    fn set(&self, kind: &str, name: &str, change: impl FnOnce(&mut Stored)) -> String {
        let mut objects = self.objects.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        let known = objects.kinds.entry(kind.to_owned()).or_default();
        let stored = known.entry(name.to_owned()).or_insert_with(|| Stored {
            name: name.to_owned(),
            revision,
            made: revision,
            spec: "null".to_owned(),
            status: "null".to_owned(),
        });
        change(stored);
        stored.revision = revision;
        let object = stored.json();
        let kind = kind.to_owned();
        objects.changes.push(Change { revision, kind, gone: false, object: object.clone() });
        self.changed.notify_all();
        object
    }

    fn remove(&self, kind: &str, name: &str) {
        let mut objects = self.objects.lock().unwrap();
        let removed = objects.kinds.get_mut(kind).and_then(|known| known.remove(name));
        if let Some(removed) = removed {
            objects.revision += 1;
            let (revision, kind) = (objects.revision, kind.to_owned());
            objects.changes.push(Change { revision, kind, gone: true, object: removed.json() });
            self.changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_message(&mut reader, false) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let query = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name).map(|(_, value)| value.to_owned())
        };
        let parts: Vec<&str> = path.split('/').skip(3).collect();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let metadata = member(&body, "metadata").unwrap_or("{}");
        let spec = member(&body, "spec").unwrap_or("null");
        match (request.method(), &parts[..]) {
            ("GET", [kind]) => match query("watch") {
                Some(since) => {
                    let wait = query("waitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                    self.watch(kind, since.parse().unwrap_or(0), Duration::from_millis(wait))
                }
                None => {
                    let objects = self.objects.lock().unwrap();
                    let known = objects.kinds.get(*kind);
                    let all: Vec<String> =
                        known.iter().flat_map(|known| known.values()).map(Stored::json).collect();
                    let entries = all.join(",");
                    let at = objects.revision;
                    (200, format!("{{\"entries\":[{entries}],\"more\":false,\"at\":{at}}}"))
                }
            },
            ("GET", [kind, name]) => match self.find(kind, name) {
                Some(stored) => (200, stored.json()),
                None => (404, "{}".to_owned()),
            },
            ("POST", [kind]) => {
                let name = member(metadata, "name").unwrap_or("").trim_matches('"').to_owned();
                match self.find(kind, &name) {
                    Some(stored) => (409, stored.json()),
                    None => (200, self.put(kind, &name, spec)),
                }
            }
            ("PUT", [kind, name, rest @ ..]) => {
                let Some(stored) = self.find(kind, name) else { return (404, "{}".to_owned()) };
                let condition = member(metadata, "revision").and_then(|text| text.parse().ok());
                if condition.is_some_and(|revision: u64| revision != stored.revision) {
                    return (409, stored.json());
                }
                let status = member(&body, "status").unwrap_or("null");
                let is_status = rest == ["status"];
                let object = self.set(kind, name, |stored| match is_status {
                    true => stored.status = status.to_owned(),
                    false => stored.spec = spec.to_owned(),
                });
                (200, object)
            }
            ("DELETE", [kind, name]) => {
                self.remove(kind, name);
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn find(&self, kind: &str, name: &str) -> Option<Stored> {
        let objects = self.objects.lock().unwrap();
        objects.kinds.get(kind)?.get(name).cloned()
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut objects = self.objects.lock().unwrap();
        loop {
            let new = objects.changes.iter().filter(|one| one.revision > since && one.kind == kind);
            let events: Vec<String> = new
                .map(|one| format!("{{\"gone\":{},\"object\":{}}}", one.gone, one.object))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"at\":{}}}", objects.revision));
            }
            objects = self.changed.wait_timeout(objects, left).unwrap().0;
        }
    }
}

// ---------------------------------------------------------------------------------------------
// The record of a case

#[derive(Debug, Clone)]
struct Run {
    at: f64,
    engine: String,
    service: String,
    id: String,
    tenant: Option<String>,
}

#[derive(Debug, Clone)]
struct Sent {
    at: f64,
    answered_at: f64,
    tenant: String,
    /// The status of the answer, or why there is none.
    outcome: std::result::Result<u16, String>,
}

/// What was sent, answered and run.
#[derive(Debug)]
struct Record {
    start: Instant,
    runs: Mutex<Vec<Run>>,
    sent: Mutex<BTreeMap<String, Sent>>,
    notes: Mutex<Vec<String>>,
}

impl Record {
    fn new() -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            runs: Mutex::default(),
            sent: Mutex::default(),
            notes: Mutex::default(),
        })
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn note(&self, text: impl Into<String>) {
        let line = format!("{:8.3} s  {}", self.now(), text.into());
        println!("{line}");
        self.notes.lock().unwrap().push(line);
    }

    /// Writes the record: notes, verdict, then each request with its answer and its runs.
    fn write(&self, folder: &Path, verdict: &str) -> Result<()> {
        let mut text = String::new();
        for note in self.notes.lock().unwrap().iter() {
            let _ = writeln!(text, "{note}");
        }
        let _ = writeln!(text, "{verdict}\n");
        let runs = self.runs.lock().unwrap();
        let mut by_id: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        runs.iter().for_each(|run| by_id.entry(&run.id).or_default().push(run));
        for (id, sent) in self.sent.lock().unwrap().iter() {
            let _ = write!(
                text,
                "{id} sent {:.3} by {} answered {:.3} {:?} run",
                sent.at, sent.tenant, sent.answered_at, sent.outcome
            );
            for run in by_id.get(id.as_str()).into_iter().flatten() {
                let tenant = run.tenant.as_deref().unwrap_or("(no Tenant)");
                let _ = write!(text, " {:.3} at {}/{} as {tenant}", run.at, run.service, run.engine);
            }
            text.push('\n');
        }
        std::fs::write(folder.join("record.txt"), text)
    }
}

// ---------------------------------------------------------------------------------------------
// Engines

/// Bytes that an engine in disruption sends after a whole answer, where the next answer is due.
#[derive(Debug)]
struct MoreBytes {
    is_on: AtomicBool,
    bytes: &'static str,
    /// After one in so many of its answers.
    one_in: u64,
    answers: AtomicU64,
    sent: AtomicU64,
}

impl MoreBytes {
    fn new(bytes: &'static str, one_in: u64) -> Arc<Self> {
        Arc::new(Self {
            is_on: AtomicBool::new(false),
            bytes,
            one_in,
            answers: AtomicU64::new(0),
            sent: AtomicU64::new(0),
        })
    }

    /// Returns whether the answer that is sent now is followed by more bytes.
    fn follows(&self) -> bool {
        self.is_on.load(Ordering::SeqCst)
            && self.answers.fetch_add(1, Ordering::SeqCst) % self.one_in == self.one_in - 1
    }
}

/// An engine of an application service: runs each request for `work` and answers it.
struct Engine {
    name: String,
    service: String,
    address: SocketAddr,
    work: Duration,
    more: Option<Arc<MoreBytes>>,
    record: Arc<Record>,
    is_stopped: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Engine {
    fn start(
        name: &str,
        service: &str,
        address: SocketAddr,
        more: Option<Arc<MoreBytes>>,
        record: &Arc<Record>,
    ) -> Result<Arc<Self>> {
        let listener = bind_reusable(address)?;
        let address = listener.local_addr()?;
        let engine = Arc::new(Self {
            name: name.to_owned(),
            service: service.to_owned(),
            address,
            work: Duration::from_millis(15),
            more,
            record: record.clone(),
            is_stopped: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        listener.set_nonblocking(true)?;
        let accepting = engine.clone();
        thread::spawn(move || {
            while !accepting.is_stopped.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(kept) = stream.try_clone() {
                            accepting.connections.lock().unwrap().push(kept);
                        }
                        let engine = accepting.clone();
                        thread::spawn(move || engine.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Ok(engine)
    }

    /// Writes the engine's entry, as it does at each heartbeat.
    fn register(&self, store: &Store) {
        let spec = format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"z1\",\"serial\":\"v1\",\"capacity\":6,\"state\":\"ready\",\"warmupLeftMs\":0,\"sequence\":1}}",
            self.service, self.address
        );
        store.put("servers", &self.name, &spec);
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let mut owes_more = false;
        while let Ok(request) = read_message(&mut reader, false) {
            if self.is_stopped.load(Ordering::SeqCst) {
                return;
            }
            let expected = request.header("expect-instance");
            if expected.is_some_and(|expected| expected != self.name) {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nServed-By: {}\r\nContent-Length: 0\r\n\r\n",
                    self.name
                );
                if writer.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if let Some(more) = self.more.as_ref().filter(|_| owes_more) {
                // Belongs to no request; the request that was just read is run and answered below.
                more.sent.fetch_add(1, Ordering::SeqCst);
                self.record.note(format!("{} sends more bytes after an earlier answer", self.name));
                if writer.write_all(more.bytes.as_bytes()).is_err() {
                    return;
                }
            }
            let id = request.header("attempt-id").unwrap_or("").to_owned();
            self.record.runs.lock().unwrap().push(Run {
                at: self.record.now(),
                engine: self.name.clone(),
                service: self.service.clone(),
                id: id.clone(),
                tenant: request.header("tenant").map(str::to_owned),
            });
            thread::sleep(self.work);
            owes_more = self.more.as_ref().is_some_and(|more| more.follows());
            let body = format!("done {id}\n");
            let answer = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nUpstream-Signature: {}.{id}\r\nContent-Length: {}\r\n\r\n{body}",
                self.name,
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Listens at an address that another engine may have used before.
fn bind_reusable(address: SocketAddr) -> Result<TcpListener> {
    // The standard library sets SO_REUSEADDR on Unix.
    let until = Instant::now() + Duration::from_secs(1);
    loop {
        match TcpListener::bind(address) {
            Err(_) if Instant::now() < until => thread::sleep(Duration::from_millis(20)),
            result => return result,
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Routers

/// The processes that were started and not ended yet.
static PROCESSES: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// The guards of these processes.
static GUARDS: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and then their guards.
fn end_processes() {
    for mut process in PROCESSES.lock().unwrap().drain(..) {
        let _ = process.kill();
        let _ = process.wait();
    }
    for mut guard in GUARDS.lock().unwrap().drain(..) {
        if let Some(mut input) = guard.stdin.take() {
            let _ = input.write_all(b"end\n");
        }
        let _ = guard.wait();
    }
}

/// Has a process end, and the temporary folder go, if this program is ended from outside: the guard's
/// input then closes before a line has come.
fn guard(process: u32, temporary: &Path) -> Result<()> {
    let script = "trap '' HUP INT TERM; read -r end && exit; kill -9 \"$0\"; rm -rf \"$1\"";
    let mut guard = Command::new("sh");
    guard.args(["-c", script, &process.to_string()]).arg(temporary);
    let guard = guard.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null()).spawn()?;
    GUARDS.lock().unwrap().push(guard);
    Ok(())
}

/// A `mastbay-edge` process.
struct Router {
    callers: SocketAddr,
    readiness: SocketAddr,
}

/// The loopback addresses of a fleet, with a port that is free on all of them.
struct Places {
    ips: Vec<Ipv4Addr>,
    port: u16,
}

impl Places {
    fn find(count: u8) -> Result<Self> {
        let ips: Vec<Ipv4Addr> = (0..count).map(|n| Ipv4Addr::new(127, 0, 0, 31 + n)).collect();
        let mut port = 20_000 + (std::process::id() % 20_000) as u16;
        for _ in 0..200 {
            port += 16;
            let is_free = ips.iter().all(|ip| {
                (0..4).all(|n| TcpListener::bind((*ip, port + n)).is_ok())
                    && UdpSocket::bind((*ip, port)).is_ok()
            });
            if is_free {
                return Ok(Self { ips, port });
            }
        }
        Err(broken("no free ports"))
    }

    /// Starts the fleet with the settings of deploy/router.ini.
    fn start(&self, edge: &Path, store: &Store, temporary: &Path) -> Result<Vec<Router>> {
        let port = self.port;
        let seeds: Vec<String> = self.ips.iter().map(|ip| format!("{ip}:{}", port + 3)).collect();
        let mut routers = Vec::new();
        for (number, ip) in self.ips.iter().enumerate() {
            let settings = format!(
                "[router]\nname = edge-z1-{n}\nzone = z1\nregions = z1:r1\ncallers = {ip}:{}\nreadiness = {ip}:{}\n\
                 operations = {ip}:{}\ndescriptors = 4200\nmemory = 260\nprocessor = 0.25\nstop-limit = 8s\n\
                 share-window = 4s\npropagation = 2000ms\nevent-delay = 120ms\nevacuations = no\n\n[peers]\n\
                 listen = {ip}:{port}\nseeds = {}\n\n[retries]\nratio = 0.2\nwindow = 10s\nburst = 54\n\n[store]\n\
                 address = {}\n\n[log]\nfilter = info\n",
                port + 1,
                port + 2,
                port + 3,
                seeds.join(","),
                store.address,
                n = number + 1,
            );
            let path = temporary.join(format!("settings-{number}.ini"));
            std::fs::write(&path, settings)?;
            let log = std::fs::File::create(temporary.join(format!("router-{number}.log")))?;
            let mut command = Command::new(edge);
            command.arg(&path).stdin(Stdio::null()).stderr(log.try_clone()?).stdout(log);
            let process = command.spawn()?;
            let id = process.id();
            PROCESSES.lock().unwrap().push(process);
            guard(id, temporary)?;
            routers.push(Router {
                callers: SocketAddr::from((*ip, port + 1)),
                readiness: SocketAddr::from((*ip, port + 2)),
            });
        }
        for router in &routers {
            router.until_ready()?;
        }
        Ok(routers)
    }
}

impl Router {
    fn until_ready(&self) -> Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let asked = TcpStream::connect(self.readiness).and_then(|mut stream| {
                stream.write_all(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")?;
                read_message(&mut BufReader::new(stream), true)
            });
            if asked.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(broken("a router is not ready"))
    }
}

// ---------------------------------------------------------------------------------------------
// Clients

/// A client with one kept connection to one router.
struct Client {
    number: usize,
    router: SocketAddr,
    tenant: &'static str,
    key: &'static str,
    /// Further header lines.
    lines: String,
    connection: Option<BufReader<TcpStream>>,
    count: usize,
}

impl Client {
    fn new(number: usize, router: SocketAddr, lines: &str) -> Self {
        let (tenant, key) = [("rangers", "key-rangers-1"), ("offices", "key-offices-1")][number % 2];
        let lines = lines.to_owned();
        Self { number, router, tenant, key, lines, connection: None, count: 0 }
    }

    /// Sends one request with an id of its own and records the answer.
    fn send(&mut self, record: &Record) {
        self.count += 1;
        let id = format!("{:04x}{:012x}", self.number, self.count);
        let at = record.now();
        let outcome = self.exchange(&id);
        if outcome.as_ref().map_or(true, |(_, closes)| *closes) {
            self.connection = None;
        }
        let outcome = outcome.map(|(status, _)| status).map_err(|error| error.to_string());
        let tenant = self.tenant.to_owned();
        let sent = Sent { at, answered_at: record.now(), tenant, outcome };
        record.sent.lock().unwrap().insert(id, sent);
    }

    /// Returns the status of the answer, and whether it closes the connection.
    fn exchange(&mut self, id: &str) -> Result<(u16, bool)> {
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.router, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(Duration::from_secs(4)))?;
            self.connection = Some(BufReader::new(stream));
        }
        let Some(connection) = &mut self.connection else { return Err(broken("no connection")) };
        let body = "permit\n";
        let request = format!(
            "POST /permits/new HTTP/1.1\r\nHost: permits.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 3000\r\n\
             Authorization: Token {}\r\n{}Content-Length: {}\r\n\r\n{body}",
            self.key,
            self.lines,
            body.len()
        );
        connection.get_mut().write_all(request.as_bytes())?;
        let answer = read_message(connection, true)?;
        let closes = answer.header("connection").is_some_and(|value| value.contains("close"));
        Ok((answer.status(), closes))
    }
}

/// The configuration: one unsafe route to the service `permits`, and a second service that no route
/// of these clients leads to.
const CONFIGURATION: &str = r#"{"serial":7,"routes":[{"name":"r-permits","hostname":"permits.example","pathPrefix":"/permits/","routeType":"unsafe","timeoutMs":1500,"sloMs":300,"priority":2,"backend":"permits","maxAttempts":1,"public":false,"sessionAffinity":false,"streamResume":false},{"name":"r-boats","hostname":"boats.example","pathPrefix":"/boats/","routeType":"unsafe","timeoutMs":1500,"sloMs":300,"priority":2,"backend":"boats","maxAttempts":1,"public":false,"sessionAffinity":false,"streamResume":false}],"backends":[{"name":"permits","healthPath":"/healthz","maxConnections":100,"protocol":"h1","upstreamTls":false},{"name":"boats","healthPath":"/healthz","maxConnections":100,"protocol":"h1","upstreamTls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokensPerS":600000},"tenants":[{"name":"rangers","apiKeys":["key-rangers-1"]},{"name":"offices","apiKeys":["key-offices-1"]}]}"#;

// ---------------------------------------------------------------------------------------------
// Cases

/// What a case found.
struct Verdict {
    is_broken: bool,
    text: String,
}

/// What a case needs to run.
struct Setup {
    edge: PathBuf,
    temporary: PathBuf,
    has_trouble: bool,
    record: Arc<Record>,
}

const LOCAL: Ipv4Addr = Ipv4Addr::LOCALHOST;

/// Sends requests from `clients` until `end`, `gap` apart at each client.
fn run_clients(record: &Arc<Record>, clients: Vec<Client>, end: f64, gap: Duration) {
    let threads: Vec<_> = clients
        .into_iter()
        .map(|mut client| {
            let record = record.clone();
            thread::spawn(move || {
                while record.now() < end {
                    client.send(&record);
                    thread::sleep(gap);
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| drop(thread.join()));
}

/// One of three engines sends `bytes` after one in 34 of its whole answers, for five seconds.
fn bytes_after_answers(setup: &Setup, bytes: &'static str) -> Result<()> {
    let record = &setup.record;
    let store = Store::start(LOCAL.into())?;
    store.put("config", "main", CONFIGURATION);
    let more = MoreBytes::new(bytes, 34);
    for number in 0..3 {
        let more = (number == 0).then(|| more.clone());
        let name = format!("i-permits-{number}");
        Engine::start(&name, "permits", SocketAddr::from((LOCAL, 0)), more, record)?
            .register(&store);
    }
    let places = Places::find(2)?;
    let routers = places.start(&setup.edge, &store, &setup.temporary)?;
    record.note("two routers are ready; traffic begins");
    let start = record.now();
    let (from, until, end) = (start + 12.0, start + 17.0, start + 20.0);
    let (switched, has_trouble) = (more.clone(), setup.has_trouble);
    let noting = record.clone();
    let switch = thread::spawn(move || {
        thread::sleep(Duration::from_secs_f64((from - noting.now()).max(0.0)));
        if has_trouble {
            noting.note("i-permits-0 begins to send more bytes after one in 34 answers");
            switched.is_on.store(true, Ordering::SeqCst);
        }
        thread::sleep(Duration::from_secs_f64((until - noting.now()).max(0.0)));
        switched.is_on.store(false, Ordering::SeqCst);
        noting.note("no further answers are followed by more bytes");
    });
    let clients = (0..12).map(|n| Client::new(n, routers[n % 2].callers, "")).collect();
    run_clients(record, clients, end, Duration::from_millis(60));
    let _ = switch.join();
    thread::sleep(Duration::from_millis(500));
    end_processes();
    let sent = more.sent.load(Ordering::SeqCst);
    let answers = more.answers.load(Ordering::SeqCst);
    record.note(format!("more bytes came {sent} times, in {answers} answers of i-permits-0"));
    if setup.has_trouble && sent == 0 {
        return Err(broken("no further request came on a connection with more bytes"));
    }
    Ok(())
}

/// Counts the runs of each request.
fn runs_by_id(record: &Record) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for run in record.runs.lock().unwrap().iter() {
        *runs.entry(run.id.clone()).or_insert(0) += 1;
    }
    runs
}

fn summary(record: &Record) -> String {
    let sent = record.sent.lock().unwrap();
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    for one in sent.values() {
        let name = one.outcome.as_ref().map_or_else(|error| error.clone(), u16::to_string);
        *outcomes.entry(name).or_insert(0) += 1;
    }
    format!("{} requests sent, answers {outcomes:?}", sent.len())
}

/// TWICE: a request of an unsafe route runs more than once.
fn twice(setup: &Setup) -> Result<Verdict> {
    let shed = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    bytes_after_answers(setup, shed)?;
    let runs = runs_by_id(&setup.record);
    let twice: Vec<&String> = runs.iter().filter(|(_, runs)| **runs > 1).map(|(id, _)| id).collect();
    let text = format!(
        "{}; {} requests of the unsafe route ran more than once: {twice:?}; {} were told 503 although they ran",
        summary(&setup.record),
        twice.len(),
        refused(&setup.record).len(),
    );
    Ok(Verdict { is_broken: !twice.is_empty(), text })
}

/// Returns the requests that ran and were answered by a promise that they did not.
fn refused(record: &Record) -> Vec<String> {
    let runs = runs_by_id(record);
    let sent = record.sent.lock().unwrap();
    let promised = sent.iter().filter(|(_, sent)| matches!(sent.outcome, Ok(408 | 421 | 429 | 503)));
    promised.filter(|(id, _)| runs.contains_key(*id)).map(|(id, _)| id.clone()).collect()
}

/// REFUSED: a request of an unsafe route runs and is answered 408.
fn promised(setup: &Setup) -> Result<Verdict> {
    let timeout = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n";
    bytes_after_answers(setup, timeout)?;
    let refused = refused(&setup.record);
    let text = format!(
        "{}; {} requests of the unsafe route ran and were answered 408, 421, 429 or 503: {refused:?}",
        summary(&setup.record),
        refused.len()
    );
    Ok(Verdict { is_broken: !refused.is_empty(), text })
}

/// DENIED: requests that every configuration in force allows are refused, since their connections
/// were accepted under an earlier one.
fn denied(setup: &Setup) -> Result<Verdict> {
    let record = &setup.record;
    let store = Store::start(LOCAL.into())?;
    let earlier = match setup.has_trouble {
        true => CONFIGURATION.replace("\"maxHeaderBytes\":16384", "\"maxHeaderBytes\":4096"),
        false => CONFIGURATION.to_owned(),
    };
    store.put("config", "main", &earlier);
    for number in 0..3 {
        let name = format!("i-permits-{number}");
        Engine::start(&name, "permits", SocketAddr::from((LOCAL, 0)), None, record)?
            .register(&store);
    }
    let places = Places::find(2)?;
    let routers = places.start(&setup.edge, &store, &setup.temporary)?;
    record.note("two routers are ready; traffic begins");
    let start = record.now();
    // A long header, such as a session that has grown: 10 KB, of 16 KB that are allowed.
    let long = format!("Session: {}\r\n", "s".repeat(10_000));
    let (changed, grown, end) = (start + 3.0, start + 8.0, start + 11.0);
    let threads: Vec<_> = (0..24)
        .map(|number| {
            let (record, long) = (record.clone(), long.clone());
            let mut client = Client::new(number, routers[number % 2].callers, "");
            thread::spawn(move || {
                while record.now() < end {
                    if record.now() >= grown {
                        client.lines = long.clone();
                    }
                    client.send(&record);
                    thread::sleep(Duration::from_millis(500));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs_f64((changed - record.now()).max(0.0)));
    if setup.has_trouble {
        store.put("config", "main", &CONFIGURATION.replace("\"serial\":7", "\"serial\":8"));
        record.note("version 8 is acknowledged: maxHeaderBytes 16384 in place of 4096");
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    end_processes();
    let sent = record.sent.lock().unwrap();
    let is_denied = |sent: &&Sent| {
        matches!(sent.outcome, Ok(300..=499)) && !matches!(sent.outcome, Ok(408 | 421 | 429))
    };
    let denied = sent.values().filter(is_denied).count();
    let allowed = 5 + sent.len() / 500;
    drop(sent);
    let text = format!(
        "{}; {denied} proper requests were ended with a 4xx of the routers' own, {allowed} are allowed",
        summary(record)
    );
    Ok(Verdict { is_broken: denied > allowed, text })
}

fn run(case: &str, setup: &Setup) -> Result<Verdict> {
    match case {
        "twice" => twice(setup),
        "promised" => promised(setup),
        "denied" => denied(setup),
        _ => Err(broken("no such case")),
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, edge, folder] = &arguments[..] else {
        eprintln!("usage: stand-in-2 CASE EDGE FOLDER");
        std::process::exit(2);
    };
    let temporary = std::env::temp_dir().join(format!("mastbay-review-{}", std::process::id()));
    // Nothing takes longer than 120 s, whatever happens.
    let folder_to_remove = temporary.clone();
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(110));
        end_processes();
        let _ = std::fs::remove_dir_all(&folder_to_remove);
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let folder = PathBuf::from(folder);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let setup =
        Setup { edge: PathBuf::from(edge), temporary, has_trouble, record: Record::new() };
    let result = std::fs::create_dir_all(&setup.temporary).and_then(|()| run(case, &setup));
    end_processes();
    let (code, text) = match result {
        Ok(verdict) => (i32::from(verdict.is_broken), verdict.text),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    println!("{text}");
    let written = setup.record.write(&folder, &text);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&setup.temporary);
    }
    std::process::exit(if written.is_ok() { code } else { 2 });
}
