//! Stand-ins for the cases of this review: the platform's store, engines, clients, and the driver
//! that starts the routers. Standard library only; built by `review/build.sh`.
//!
//! `stand-in engine ...` is an engine in a process of its own. The other words are the cases.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::fs;
use std::io::{BufRead, BufReader, ErrorKind, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ROUTER: &str = "target/release/mastbay-edge";
const ZONES: [&str; 3] = ["salt-lake", "howrah", "garia"];
const KEY: &str = "asnmgkcuyj8pjbvk9m68";
const TENANT: &str = "hule930";
const HOST: &str = "ficu95.example";
/// Bounds of the site file.
const MEMORY_MB: u64 = 110;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let word = words.first().map(String::as_str).unwrap_or_default();
    let folder = PathBuf::from(words.get(1).cloned().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case: fn(&Path, bool, &Record) -> std::result::Result<Vec<String>, String> = match word {
        "engine" => return engine::run(&words[1..]),
        "foreign-421" => foreign_421::run,
        "cut-while-leaving" => cut_while_leaving::run,
        "chunked-burst" => chunked_burst::run,
        _ => return ExitCode::from(2),
    };
    let record = Record::new();
    record.add(format!("case {word}, disruption {}", if trouble { "on" } else { "off" }));
    let result = case(&folder, trouble, &record);
    let (code, verdict) = match &result {
        Ok(breaks) if breaks.is_empty() => (0, "held".to_owned()),
        Ok(breaks) => (1, format!("BROKEN, {} times; the first:\n{}", breaks.len(), breaks[0])),
        Err(reason) => (2, format!("could not run: {reason}")),
    };
    record.add(format!("verdict: {verdict}"));
    println!("{verdict}");
    match record.write(&folder.join("record.txt")) {
        Ok(()) => ExitCode::from(code),
        Err(_) => ExitCode::from(2),
    }
}

/// What was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    fn new() -> Self {
        Self { began: Instant::now(), lines: Arc::default() }
    }

    fn add(&self, line: impl Into<String>) {
        let at = self.began.elapsed().as_millis();
        self.lines.lock().unwrap().push((at, line.into()));
    }

    fn write(&self, path: &Path) -> Result<()> {
        let mut text = String::new();
        for (at, line) in self.lines.lock().unwrap().iter() {
            let _ = writeln!(text, "{:>8.3} {line}", *at as f64 / 1e3);
        }
        fs::write(path, text)
    }
}

/// A small generator of random numbers (xorshift), seeded by the clock.
struct Random(u64);

impl Random {
    fn new() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let time = time.unwrap_or_default().as_nanos() as u64;
        let own = NEXT.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        let mut random = Self((time ^ own ^ u64::from(std::process::id()) << 32) | 1);
        (0..8).for_each(|_| {
            random.next();
        });
        random
    }

    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn id(&mut self) -> String {
        format!("{:016x}", self.next())
    }
}

/// HTTP/1.1 messages.
mod http {
    use super::*;

    /// A request or an answer without its body. Names of headers are in lower case.
    #[derive(Debug, Clone, Default)]
    pub struct Head {
        pub first: String,
        pub headers: Vec<(String, String)>,
    }

    impl Head {
        pub fn get(&self, name: &str) -> Option<&str> {
            let found = self.headers.iter().find(|(known, _)| known == name);
            found.map(|(_, value)| value.as_str())
        }

        /// The method and the target of a request; the version and the status of an answer.
        pub fn words(&self) -> (&str, &str) {
            let mut words = self.first.split(' ');
            (words.next().unwrap_or_default(), words.next().unwrap_or_default())
        }

        pub fn status(&self) -> u16 {
            self.words().1.parse().unwrap_or(0)
        }

        pub fn length(&self) -> Option<usize> {
            self.get("content-length").and_then(|length| length.trim().parse().ok())
        }

        pub fn is_chunked(&self) -> bool {
            self.get("transfer-encoding").is_some_and(|value| value.contains("chunked"))
        }
    }

    fn line(reader: &mut impl BufRead) -> Result<String> {
        let mut line = Vec::new();
        reader.read_until(b'\n', &mut line)?;
        if line.pop() != Some(b'\n') {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        line.pop_if(|last| *last == b'\r');
        Ok(String::from_utf8_lossy(&line).into_owned())
    }

    /// Reads a head; `None` if the connection ended before it.
    pub fn read_head(reader: &mut impl BufRead) -> Result<Option<Head>> {
        if reader.fill_buf()?.is_empty() {
            return Ok(None);
        }
        let mut head = Head { first: line(reader)?, headers: Vec::new() };
        loop {
            let line = line(reader)?;
            let Some((name, value)) = line.split_once(':') else { return Ok(Some(head)) };
            head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    /// Reads a chunk; `None` for the last one, which marks the end of the body.
    pub fn read_chunk(reader: &mut impl BufRead) -> Result<Option<Vec<u8>>> {
        let size = line(reader)?;
        let size = usize::from_str_radix(size.trim(), 16);
        let size = size.map_err(|_| std::io::Error::from(ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        line(reader)?;
        Ok((size > 0).then_some(chunk))
    }

    /// Reads the body of a message whose end is marked.
    pub fn read_body(reader: &mut impl BufRead, head: &Head) -> Result<Vec<u8>> {
        let mut body = Vec::new();
        if head.is_chunked() {
            while let Some(chunk) = read_chunk(reader)? {
                body.extend(chunk);
            }
        } else if let Some(length) = head.length() {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        Ok(body)
    }
}

/// The platform's store: objects by kind and name, with watches.
mod store {
    use super::*;

    struct Object {
        revision: u64,
        made: u64,
        spec: String,
    }

    #[derive(Default)]
    struct State {
        revision: u64,
        objects: BTreeMap<(String, String), Object>,
        /// Revision, kind and the event as JSON.
        events: Vec<(u64, String, String)>,
    }

    #[derive(Clone, Default)]
    pub struct Store(Arc<(Mutex<State>, Condvar)>);

    fn json(name: &str, object: &Object) -> String {
        let Object { revision, made, spec } = object;
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"made\":{made},\
             \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
        )
    }

    impl Store {
        pub fn put(&self, kind: &str, name: &str, spec: &str) {
            let mut state = self.0.0.lock().unwrap();
            let key = (kind.to_owned(), name.to_owned());
            if state.objects.get(&key).is_some_and(|known| known.spec == spec) {
                return;
            }
            state.revision += 1;
            let revision = state.revision;
            let made = state.objects.get(&key).map_or(revision, |known| known.made);
            let object = Object { revision, made, spec: spec.to_owned() };
            let event = format!("{{\"gone\":false,\"object\":{}}}", json(name, &object));
            state.events.push((revision, kind.to_owned(), event));
            state.objects.insert(key, object);
            self.0.1.notify_all();
        }

        pub fn remove(&self, kind: &str, name: &str) {
            let mut state = self.0.0.lock().unwrap();
            let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
                return;
            };
            state.revision += 1;
            let revision = state.revision;
            let event = format!("{{\"gone\":true,\"object\":{}}}", json(name, &object));
            state.events.push((revision, kind.to_owned(), event));
            self.0.1.notify_all();
        }

        /// Serves the store; returns its address.
        pub fn serve(&self) -> Result<SocketAddr> {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let address = listener.local_addr()?;
            let store = self.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = store.clone();
                    thread::spawn(move || store.connection(stream));
                }
            });
            Ok(address)
        }

        fn connection(&self, stream: TcpStream) -> Result<()> {
            stream.set_nodelay(true)?;
            let mut reader = BufReader::new(stream.try_clone()?);
            let mut writer = stream;
            while let Some(head) = http::read_head(&mut reader)? {
                let body = http::read_body(&mut reader, &head)?;
                let (status, body) = self.answer(&head, &String::from_utf8_lossy(&body));
                let length = body.len();
                let answer = format!(
                    "HTTP/1.1 {status}\r\nContent-Type: application/json\r\n\
                     Content-Length: {length}\r\n\r\n{body}"
                );
                writer.write_all(answer.as_bytes())?;
            }
            Ok(())
        }

        fn answer(&self, head: &http::Head, body: &str) -> (&'static str, String) {
            let (method, target) = head.words();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let query: HashMap<&str, &str> =
                query.split('&').filter_map(|pair| pair.split_once('=')).collect();
            let Some(path) = path.strip_prefix("/v1/objects/") else {
                return ("404 Not Found", "{}".to_owned());
            };
            let mut path = path.split('/');
            let kind = path.next().unwrap_or_default();
            match (method, path.next()) {
                ("GET", None) if query.contains_key("watch") => {
                    let after = query["watch"].parse().unwrap_or(0);
                    let wait = query.get("waitMs").and_then(|wait| wait.parse().ok());
                    ("200 OK", self.watch(kind, after, Duration::from_millis(wait.unwrap_or(0))))
                }
                ("GET", None) => ("200 OK", self.list(kind, query.get("sinceRevision").copied())),
                ("POST", None) => {
                    let name = text_between(body, "\"name\":\"", "\"").unwrap_or_default();
                    let spec = body.split_once("\"spec\":").map_or("null", |(_, spec)| spec);
                    let spec = spec.strip_suffix('}').unwrap_or(spec);
                    self.put(kind, name, spec);
                    ("200 OK", "{}".to_owned())
                }
                ("DELETE", Some(name)) => {
                    self.remove(kind, name);
                    ("200 OK", "{}".to_owned())
                }
                _ => ("404 Not Found", "{}".to_owned()),
            }
        }

        fn list(&self, kind: &str, after: Option<&str>) -> String {
            let state = self.0.0.lock().unwrap();
            let of_kind = state.objects.iter().filter(|((known, _), _)| known == kind);
            let listed = of_kind.filter(|((_, name), _)| after.is_none_or(|after| &**name > after));
            let entries: Vec<String> = listed.map(|((_, name), one)| json(name, one)).collect();
            let at = state.revision;
            format!("{{\"entries\":[{}],\"more\":false,\"at\":{at}}}", entries.join(","))
        }

        fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
            let (state, changed) = &*self.0;
            let until = Instant::now() + wait;
            let mut state = state.lock().unwrap();
            loop {
                let events: Vec<&str> = state
                    .events
                    .iter()
                    .filter(|(revision, known, _)| *revision > after && known == kind)
                    .map(|(_, _, event)| event.as_str())
                    .collect();
                let left = until.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let at = state.revision;
                    return format!("{{\"events\":[{}],\"at\":{at}}}", events.join(","));
                }
                state = changed.wait_timeout(state, left).unwrap().0;
            }
        }
    }

    pub fn text_between<'a>(text: &'a str, before: &str, after: &str) -> Option<&'a str> {
        text.split_once(before)?.1.split_once(after).map(|(found, _)| found)
    }
}

/// An engine: a model engine or an application server.
mod engine {
    use super::*;

    struct Engine {
        id: String,
        /// Time of work on a request, for a stream until its head.
        work: Duration,
        /// Events of a stream and the pause between them.
        events: u32,
        pause: Duration,
        /// Share of whole answers that are followed by an extra one.
        extra: f64,
        /// Whether the ends of streams are marked.
        marked: bool,
    }

    /// `engine ADDRESS ID WORK_MS EVENTS PAUSE_MS EXTRA MARKED`. Writes a line for each run.
    pub fn run(words: &[String]) -> ExitCode {
        let number = |index: usize| words[index].parse::<f64>().unwrap_or(0.0);
        let engine = Arc::new(Engine {
            id: words[1].clone(),
            work: Duration::from_millis(number(2) as u64),
            events: number(3) as u32,
            pause: Duration::from_millis(number(4) as u64),
            extra: number(5),
            marked: number(6) > 0.0,
        });
        let Ok(listener) = TcpListener::bind(&words[0]) else { return ExitCode::from(2) };
        let Ok(address) = listener.local_addr() else { return ExitCode::from(2) };
        println!("listens on {address}");
        for stream in listener.incoming().flatten() {
            let engine = engine.clone();
            thread::spawn(move || engine.connection(stream));
        }
        ExitCode::SUCCESS
    }

    impl Engine {
        fn connection(&self, stream: TcpStream) -> Result<()> {
            stream.set_nodelay(true)?;
            let mut reader = BufReader::new(stream.try_clone()?);
            let mut writer = stream;
            let mut random = Random::new();
            // The id of an earlier request on this connection that is answered once more.
            let mut owed: Option<String> = None;
            while let Some(head) = http::read_head(&mut reader)? {
                let body = http::read_body(&mut reader, &head)?;
                let (method, path) = head.words();
                if method == "GET" && path == "/healthz" {
                    let id = &self.id;
                    let answer =
                        format!("HTTP/1.1 200 OK\r\nServed-By: {id}\r\nContent-Length: 0\r\n\r\n");
                    writer.write_all(answer.as_bytes())?;
                    continue;
                }
                let Some(attempt) = head.get("attempt-id") else {
                    let answer =
                        "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                    writer.write_all(answer.as_bytes())?;
                    continue;
                };
                if head.get("expect-instance").is_some_and(|expected| expected != self.id) {
                    writer.write_all(self.misdirected(attempt).as_bytes())?;
                    continue;
                }
                let tenant = head.get("tenant").unwrap_or("-");
                println!("run {attempt} {method} {path} body {} tenant {tenant}", body.len());
                if let Some(earlier) = owed.take() {
                    let (kind, answer) = self.extra_answer(&earlier, &mut random);
                    println!("extra answer {kind} of {earlier} in the place of that of {attempt}");
                    // The router may have closed by now.
                    let _ = writer.write_all(answer.as_bytes());
                }
                let written = if path.starts_with("/lohu930/") {
                    self.stream(&mut writer, attempt)
                } else {
                    thread::sleep(self.work);
                    writer.write_all(self.whole_answer(attempt).as_bytes())
                };
                println!("ran {attempt}, {}", if written.is_ok() { "answered" } else { "closed" });
                written?;
                if path.starts_with("/lohu930/") && !self.marked {
                    return Ok(());
                }
                if random.fraction() < self.extra {
                    owed = Some(attempt.to_owned());
                }
            }
            Ok(())
        }

        fn success(&self, attempt: &str) -> String {
            let id = &self.id;
            format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nUpstream-Signature: {id}.{attempt}\r\n"
            )
        }

        fn whole_answer(&self, attempt: &str) -> String {
            let body = format!("{attempt} {:a<780}\n", "");
            format!("{}Content-Length: {}\r\n\r\n{body}", self.success(attempt), body.len())
        }

        /// An answer of any kind that carries the id of an earlier request.
        fn extra_answer(&self, earlier: &str, random: &mut Random) -> (&'static str, String) {
            match random.next() % 3 {
                0 => ("200", self.whole_answer(earlier)),
                1 => {
                    let answer = format!(
                        "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {earlier}\r\n\
                         Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    );
                    ("503", answer)
                }
                _ => ("421", self.misdirected(earlier)),
            }
        }

        fn misdirected(&self, attempt: &str) -> String {
            let id = &self.id;
            format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nServed-By: {id}\r\n\
                 Content-Length: 0\r\n\r\n"
            )
        }

        /// Sends a stream: in chunks, or without a length, so that it ends with its connection.
        fn stream(&self, writer: &mut TcpStream, attempt: &str) -> Result<()> {
            thread::sleep(self.work);
            let framing =
                if self.marked { "Transfer-Encoding: chunked" } else { "Connection: close" };
            let head = format!(
                "{}Content-Type: text/event-stream\r\n{framing}\r\n\r\n",
                self.success(attempt)
            );
            writer.write_all(head.as_bytes())?;
            for number in 1..=self.events {
                thread::sleep(self.pause);
                let event =
                    format!("id: {number}\ndata: {attempt} {number} of {}\n\n", self.events);
                let event = match self.marked {
                    true => format!("{:x}\r\n{event}\r\n", event.len()),
                    false => event,
                };
                writer.write_all(event.as_bytes())?;
            }
            if self.marked { writer.write_all(b"0\r\n\r\n") } else { Ok(()) }
        }
    }
}

/// A process that is killed when it is dropped.
struct Process {
    child: Child,
}

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

impl Process {
    /// Starts a program that ends with this process.
    fn start(command: &mut Command) -> std::result::Result<Self, String> {
        const PR_SET_PDEATHSIG: i32 = 1;
        const SIGKILL: u64 = 9;
        // SAFETY: prctl is safe to call between fork and exec.
        let command = unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            })
        };
        let child = command.stdin(Stdio::null()).spawn();
        child.map(|child| Self { child }).map_err(|error| format!("{command:?}: {error}"))
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Memory in use, in bytes.
    fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
        kilobytes.unwrap_or(0_u64) * 1024
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

struct EngineProcess {
    process: Process,
    id: String,
    service: String,
    address: SocketAddr,
    zone: &'static str,
    capacity: u32,
}

impl EngineProcess {
    fn entry(&self, state: &str) -> String {
        let Self { service, address, zone, capacity, .. } = self;
        format!(
            "{{\"backend\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"serial\":\"v1\",\"capacity\":{capacity},\"state\":\"{state}\",\"warmupLeftMs\":0,\
             \"phase\":\"unified\",\"models\":[{{\"name\":\"m\",\"serial\":1,\"loras\":[]}}],\
             \"sequence\":1}}"
        )
    }
}

/// What an engine does.
#[derive(Clone, Copy)]
struct EngineWork {
    work_ms: u32,
    events: u32,
    pause_ms: u32,
    extra: f64,
    marked: bool,
}

struct Router {
    process: Process,
    settings: PathBuf,
    callers: SocketAddr,
    readiness: SocketAddr,
}

/// The deployment: a store, engines and three routers.
struct Deployment {
    record: Record,
    folder: PathBuf,
    store: store::Store,
    engines: Vec<EngineProcess>,
    routers: Vec<Router>,
    /// Ids of requests by the times that an engine began work on them.
    begun: Arc<Mutex<HashMap<String, Vec<String>>>>,
    /// Number of requests at work by engine.
    at_work: Arc<Mutex<HashMap<String, i32>>>,
}

/// Returns ports that are free on the loopback addresses of all routers.
fn free_ports(hosts: &[String]) -> std::result::Result<Vec<u16>, String> {
    'tries: for _ in 0..200 {
        let mut listeners = Vec::new();
        let mut ports = Vec::new();
        for _ in 0..4 {
            let first = TcpListener::bind((hosts[0].as_str(), 0)).map_err(|e| e.to_string())?;
            let port = first.local_addr().map_err(|error| error.to_string())?.port();
            listeners.push(first);
            for host in &hosts[1..] {
                match TcpListener::bind((host.as_str(), port)) {
                    Ok(other) => listeners.push(other),
                    Err(_) => continue 'tries,
                }
            }
            ports.push(port);
        }
        return Ok(ports);
    }
    Err("no free ports".to_owned())
}

impl Deployment {
    fn new(record: &Record) -> std::result::Result<Self, String> {
        let name = format!("mastbay-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        Ok(Self {
            record: record.clone(),
            folder,
            store: store::Store::default(),
            engines: Vec::new(),
            routers: Vec::new(),
            begun: Arc::default(),
            at_work: Arc::default(),
        })
    }

    /// Starts engines of a service, one in each zone in turn, and lists them as ready.
    fn start_engines(
        &mut self,
        service: &str,
        count: usize,
        capacity: u32,
        work: impl Fn(usize) -> EngineWork,
    ) -> std::result::Result<(), String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        for index in 0..count {
            let EngineWork { work_ms, events, pause_ms, extra, marked } = work(index);
            let id = format!("i-{}", &Random::new().id()[..8]);
            let mut command = Command::new(&program);
            command.args(["engine", "127.0.0.1:0", &id]);
            command.args([work_ms, events, pause_ms].map(|number| number.to_string()));
            command.args([extra.to_string(), u8::from(marked).to_string()]);
            command.stdout(Stdio::piped());
            let mut process = Process::start(&mut command)?;
            let output = process.child.stdout.take().ok_or("no output")?;
            let mut output = BufReader::new(output);
            // The engine tells the free port that it has taken.
            let mut first = String::new();
            output.read_line(&mut first).map_err(|error| error.to_string())?;
            let address = first.trim().strip_prefix("listens on ").and_then(|it| it.parse().ok());
            let address: SocketAddr = address.ok_or("an engine didn't start")?;
            let zone = ZONES[index % ZONES.len()];
            let service = service.to_owned();
            let one = EngineProcess { process, id: id.clone(), service, address, zone, capacity };
            self.collect_runs(id.clone(), output);
            self.store.put("servers", &id, &one.entry("ready"));
            self.record.add(format!("engine {id} of {} at {address} in {zone}", one.service));
            self.engines.push(one);
        }
        Ok(())
    }

    fn collect_runs(&self, id: String, output: impl BufRead + Send + 'static) {
        let record = self.record.clone();
        let (begun, at_work) = (self.begun.clone(), self.at_work.clone());
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                if let Some(attempt) = line.strip_prefix("run ").and_then(|l| l.split(' ').next()) {
                    let mut begun = begun.lock().unwrap();
                    begun.entry(attempt.to_owned()).or_default().push(id.clone());
                    *at_work.lock().unwrap().entry(id.clone()).or_default() += 1;
                } else if line.starts_with("ran ") {
                    *at_work.lock().unwrap().entry(id.clone()).or_default() -= 1;
                }
                record.add(format!("engine {id}: {line}"));
            }
        });
    }

    /// Writes the configuration. The stream route comes first, then the application's routes.
    fn configure(&self, serial: u64) {
        let limits = "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
                      \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"tokensPerS\":280000}";
        let route =
            |name: &str, prefix: &str, kind: &str, timeout: u32, slo: u32, service: &str| {
                let stream = kind == "streaming";
                format!(
                    "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\
                 \"routeType\":\"{kind}\",\"timeoutMs\":{timeout},\"sloMs\":{slo},\"priority\":1,\
                 \"backend\":\"{service}\",\"maxAttempts\":{},\"public\":false,\
                 \"sessionAffinity\":{stream},\"streamResume\":false,\"itlTargetMs\":{}}}",
                    if kind == "safe" { 2 } else { 1 },
                    if stream { "300" } else { "null" },
                )
            };
        let routes = [
            route("r-stream", "/lohu930/", "streaming", 12_000, 400, "guide-llm"),
            route("r-unsafe", "/puxa403/", "unsafe", 1_000, 100, "bookings-desk"),
            route("r-upload", "/pufi791/", "unsafe", 12_000, 800, "bookings-desk"),
        ];
        let engine = "{\"capacity\":64,\"kvCapacity\":511815,\"kvBytes\":18432,\
                      \"bandwidthMbps\":550000.0,\"stride\":5,\"models\":[{\"name\":\"m\"}]}";
        let service = |name: &str, connections: u32, engine: &str| {
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\
                 \"maxConnections\":{connections},\"protocol\":\"h1\",\"upstreamTls\":false{engine}}}"
            )
        };
        let services = [
            service("guide-llm", 370, &format!(",\"engine\":{engine}")),
            service("bookings-desk", 110, ""),
        ];
        let configuration = format!(
            "{{\"serial\":{serial},\"routes\":[{}],\"backends\":[{}],\"limits\":{limits},\
             \"tenants\":[{{\"name\":\"{TENANT}\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
            routes.join(","),
            services.join(",")
        );
        self.store.put("config", "main", &configuration);
    }

    /// Starts three routers, one in each zone, and waits until all are ready.
    fn start_routers(&mut self) -> std::result::Result<(), String> {
        let store = self.store.serve().map_err(|error| error.to_string())?;
        let net = 16 + Random::new().next() % 200;
        let hosts: Vec<String> = (1..=3).map(|host| format!("127.0.{net}.{host}")).collect();
        let ports = free_ports(&hosts)?;
        let seeds: Vec<String> = hosts.iter().map(|host| format!("{host}:{}", ports[2])).collect();
        for (index, host) in hosts.iter().enumerate() {
            let zone = ZONES[index];
            let settings = self.folder.join(format!("router-{index}.ini"));
            // `deploy/router.ini`, filled as `fleetbench wire` shows it for the site.
            let text = format!(
                "[router]\nname = edge-{zone}-1\nzone = {zone}\n\
                 regions = {zone}:kolkata,salt-lake:kolkata,howrah:kolkata,garia:kolkata\n\
                 callers = {host}:{}\nreadiness = {host}:{}\noperations = {host}:{}\n\
                 descriptors = 4100\nmemory = {MEMORY_MB}\nprocessor = 0.25\nstop-limit = 8s\n\
                 share-window = 4s\npropagation = 2000ms\nevent-delay = 120ms\nevacuations = no\n\
                 first-start = yes\n\n[peers]\nlisten = {host}:{}\nseeds = {}\n\n[retries]\n\
                 ratio = 0.2\nwindow = 10s\nburst = 58\n\n[store]\naddress = {store}\n\n[log]\n\
                 filter = info\n",
                ports[0],
                ports[1],
                ports[2],
                ports[3],
                seeds.join(",")
            );
            fs::write(&settings, text).map_err(|error| error.to_string())?;
            let process = Self::start_router(&settings)?;
            let address = |port: u16| format!("{host}:{port}").parse::<SocketAddr>();
            let (callers, readiness) = (address(ports[0]), address(ports[1]));
            let (Ok(callers), Ok(readiness)) = (callers, readiness) else {
                return Err("no address".to_owned());
            };
            self.record.add(format!("router {index} in {zone} at {callers}"));
            self.routers.push(Router { process, settings, callers, readiness });
        }
        for router in &self.routers {
            wait_until_ready(router.readiness, Duration::from_secs(10))?;
        }
        thread::sleep(Duration::from_secs(1));
        Ok(())
    }

    fn start_router(settings: &Path) -> std::result::Result<Process, String> {
        let log =
            fs::File::options().create(true).append(true).open(settings.with_extension("log"));
        let log = log.map_err(|error| error.to_string())?;
        let log_too = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new(ROUTER);
        Process::start(command.arg(settings).stdout(log).stderr(log_too))
    }

    /// Returns the requests on which engines began work more than once.
    fn run_twice(&self) -> Vec<String> {
        let begun = self.begun.lock().unwrap();
        let twice = begun.iter().filter(|(_, engines)| engines.len() > 1);
        twice.map(|(attempt, engines)| format!("{attempt} ran at {}", engines.join(", "))).collect()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.routers.clear();
        self.engines.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn wait_until_ready(readiness: SocketAddr, limit: Duration) -> std::result::Result<(), String> {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if is_ready(readiness).unwrap_or(false) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err(format!("the router at {readiness} is not ready"))
}

fn is_ready(readiness: SocketAddr) -> Result<bool> {
    let mut stream = TcpStream::connect_timeout(&readiness, Duration::from_millis(500))?;
    stream.set_read_timeout(Some(Duration::from_millis(500)))?;
    write!(stream, "GET /v1/readyz HTTP/1.1\r\nHost: {readiness}\r\n\r\n")?;
    let head = http::read_head(&mut BufReader::new(stream))?;
    Ok(head.is_some_and(|head| head.status() == 200))
}

/// A client with one connection, which it keeps as long as the router does.
struct Client {
    router: SocketAddr,
    kept: Option<BufReader<TcpStream>>,
}

/// How an answer ended.
#[derive(Debug, Clone, PartialEq)]
enum Answer {
    /// The status, the signature and the body, whole.
    Whole(u16, Option<String>, Vec<u8>),
    /// The connection ended within the answer.
    Broken(String),
    /// The connection ended without an answer.
    None(String),
}

impl Client {
    fn new(router: SocketAddr) -> Self {
        Self { router, kept: None }
    }

    fn connection(&mut self) -> Result<BufReader<TcpStream>> {
        if let Some(kept) = self.kept.take() {
            return Ok(kept);
        }
        let stream = TcpStream::connect_timeout(&self.router, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        stream.set_write_timeout(Some(Duration::from_secs(20)))?;
        Ok(BufReader::new(stream))
    }

    /// Sends a request with a body of known length and reads the whole answer.
    fn call(
        &mut self,
        path: &str,
        attempt: &str,
        deadline_ms: u32,
        more: &str,
        body: &[u8],
    ) -> Answer {
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n\
             Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n{more}\
             Content-Length: {}\r\n\r\n",
            body.len()
        );
        let message = [head.as_bytes(), body].concat();
        self.exchange(|stream| stream.write_all(&message))
            .unwrap_or_else(|error| Answer::None(error.to_string()))
    }

    fn exchange(&mut self, send: impl FnOnce(&mut TcpStream) -> Result<()>) -> Result<Answer> {
        let mut reader = self.connection()?;
        send(reader.get_mut())?;
        let Some(head) = http::read_head(&mut reader)? else {
            return Ok(Answer::None("closed".to_owned()));
        };
        let body = match http::read_body(&mut reader, &head) {
            Ok(body) => body,
            Err(error) => return Ok(Answer::Broken(error.to_string())),
        };
        if head.get("connection").is_none_or(|value| !value.eq_ignore_ascii_case("close")) {
            self.kept = Some(reader);
        }
        let signature = head.get("upstream-signature").map(str::to_owned);
        Ok(Answer::Whole(head.status(), signature, body))
    }
}

/// Engines send an extra answer, with the id of an earlier request, in the place where the next
/// answer is due.
mod foreign_421 {
    use super::*;

    const LENGTH: Duration = Duration::from_secs(20);
    const CLIENTS: usize = 18;

    pub fn run(
        _: &Path,
        trouble: bool,
        record: &Record,
    ) -> std::result::Result<Vec<String>, String> {
        let mut deployment = Deployment::new(record)?;
        // `garble`, how = "extra late": a share of 0.6, 0.03 of the answers.
        let work = |index| EngineWork {
            work_ms: 15,
            events: 0,
            pause_ms: 0,
            extra: if trouble && index < 2 { 0.03 } else { 0.0 },
            marked: true,
        };
        deployment.start_engines("bookings-desk", 3, 6, work)?;
        deployment.configure(1);
        deployment.start_routers()?;
        let until = Instant::now() + LENGTH;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|index| {
                let router = deployment.routers[index % 3].callers;
                let record = record.clone();
                thread::spawn(move || one_client(index, router, until, &record))
            })
            .collect();
        for client in clients {
            client.join().map_err(|_| "a client failed")?;
        }
        thread::sleep(Duration::from_secs(1));
        let runs = deployment.begun.lock().unwrap().len();
        record.add(format!("{runs} requests have run"));
        for twice in deployment.run_twice() {
            record.add(format!("TWICE: {twice}"));
        }
        if runs < 500 {
            return Err(format!("only {runs} requests ran"));
        }
        Ok(deployment.run_twice())
    }

    fn one_client(index: usize, router: SocketAddr, until: Instant, record: &Record) {
        let mut client = Client::new(router);
        let mut random = Random::new();
        while Instant::now() < until {
            let attempt = random.id();
            record.add(format!("client {index} sends {attempt} POST /puxa403/2f to {router}"));
            let answer = client.call("/puxa403/2f", &attempt, 1_000, "", &[b'b'; 600]);
            match answer {
                Answer::Whole(status, signature, body) => record.add(format!(
                    "client {index} gets {status} for {attempt}, signature {}, {} bytes",
                    signature.unwrap_or_else(|| "-".to_owned()),
                    body.len()
                )),
                Answer::Broken(reason) | Answer::None(reason) => {
                    record.add(format!("client {index} gets no answer for {attempt}: {reason}"));
                }
            }
            thread::sleep(Duration::from_millis(60 + random.next() % 80));
        }
    }
}

/// An engine that leaves crashes while it sends streams without a length.
mod cut_while_leaving {
    use super::*;

    /// Events of a stream and the pause between them: four seconds.
    const EVENTS: u32 = 58;
    const PAUSE_MS: u32 = 70;
    const CLIENTS: usize = 24;
    const ROUNDS: usize = 4;

    pub fn run(
        _: &Path,
        trouble: bool,
        record: &Record,
    ) -> std::result::Result<Vec<String>, String> {
        // For comparison: STATE=ready crashes engines that don't leave.
        let state = std::env::var("STATE").unwrap_or_else(|_| "draining".to_owned());
        let state = state.as_str();
        let mut deployment = Deployment::new(record)?;
        let work = |_| EngineWork {
            work_ms: 0,
            events: EVENTS,
            pause_ms: PAUSE_MS,
            extra: 0.0,
            marked: false,
        };
        deployment.start_engines("guide-llm", 3 + ROUNDS, 64, work)?;
        deployment.configure(1);
        deployment.start_routers()?;
        let stop = Arc::new(AtomicBool::new(false));
        let breaks: Arc<Mutex<Vec<String>>> = Arc::default();
        // How engines ended.
        let ends: Arc<Mutex<HashMap<String, &'static str>>> = Arc::default();
        let whole = Arc::new(AtomicUsize::new(0));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|index| {
                let router = deployment.routers[index % 3].callers;
                let (record, breaks, whole) = (record.clone(), breaks.clone(), whole.clone());
                let stop = stop.clone();
                thread::spawn(move || {
                    // Streams that begin and end at all times.
                    thread::sleep(Duration::from_millis(index as u64 * 170));
                    while !stop.load(Ordering::Relaxed) {
                        one_stream(index, router, &record, &breaks, &whole);
                    }
                })
            })
            .collect();
        for round in 0..ROUNDS {
            thread::sleep(Duration::from_secs(4));
            // Planned work: an engine says that it leaves, and serves on.
            // The engine that works on the most streams.
            let at_work = deployment.at_work.lock().unwrap().clone();
            let busiest = deployment.engines.iter().enumerate();
            let busiest = busiest.max_by_key(|(_, one)| at_work.get(&one.id).copied());
            let busiest = busiest.map_or(0, |(index, _)| index);
            let mut leaving = deployment.engines.remove(busiest);
            if state == "draining" {
                deployment.store.put("servers", &leaving.id, &leaving.entry(state));
            }
            record.add(format!("engine {} is {state}", leaving.id));
            let id = leaving.id.clone();
            let (end, after_ms, text) = match (trouble, round % 2) {
                // It crashes, `srv_crash`, while it leaves, `scale_in`.
                (true, 0) => ("crash", 800, "crashes"),
                // Its planned end, `drainMs` and a little longer after it said so.
                (true, _) => ("planned end", 2_200, "ends with streams at work"),
                // Its planned end many seconds later, when its streams have ended.
                (false, _) => ("late end", 4_800, "ends without streams at work"),
            };
            thread::sleep(Duration::from_millis(after_ms));
            leaving.process.kill();
            record.add(format!("engine {id} {text}"));
            ends.lock().unwrap().insert(id.clone(), end);
            thread::sleep(Duration::from_millis(5_000 - after_ms));
            deployment.store.remove("servers", &id);
        }
        stop.store(true, Ordering::Relaxed);
        for client in clients {
            client.join().map_err(|_| "a client failed")?;
        }
        let whole = whole.load(Ordering::Relaxed);
        record.add(format!("{whole} streams came whole"));
        if whole < 50 {
            return Err(format!("only {whole} streams came whole"));
        }
        let breaks = breaks.lock().unwrap().clone();
        for (id, end) in ends.lock().unwrap().iter() {
            let cut = breaks.iter().filter(|line| line.contains(id.as_str())).count();
            record.add(format!("engine {id}, {end}: {cut} streams cut and ended as complete"));
        }
        Ok(breaks)
    }

    fn one_stream(
        index: usize,
        router: SocketAddr,
        record: &Record,
        breaks: &Mutex<Vec<String>>,
        whole: &AtomicUsize,
    ) {
        let attempt = Random::new().id();
        let prompt = "Model: m\r\nToken-Usage: 826,250\r\n\
                      Prefix-Hash: 5c1e07a2:198,91bd3f06:628\r\n";
        record.add(format!("client {index} sends {attempt} POST /lohu930/2f to {router}"));
        let answer =
            Client::new(router).call("/lohu930/2f", &attempt, 12_000, prompt, &[b'p'; 800]);
        match answer {
            Answer::Whole(200, signature, body) => {
                let body = String::from_utf8_lossy(&body);
                let events = body.matches("id: ").count() as u32;
                let signature = signature.unwrap_or_else(|| "-".to_owned());
                record.add(format!(
                    "client {index} gets 200 for {attempt}, signature {signature}, which ends as \
                     complete with {events} of {EVENTS} events"
                ));
                if events == EVENTS {
                    whole.fetch_add(1, Ordering::Relaxed);
                } else {
                    breaks.lock().unwrap().push(format!(
                        "{attempt}: ended as complete with {events} of {EVENTS} events, {signature}"
                    ));
                }
            }
            Answer::Whole(status, ..) => {
                record.add(format!("client {index} gets {status} for {attempt}"));
                thread::sleep(Duration::from_millis(300));
            }
            Answer::Broken(reason) | Answer::None(reason) => {
                record.add(format!("client {index} gets {attempt} broken off: {reason}"));
                thread::sleep(Duration::from_millis(100));
            }
        }
    }
}

/// Many clients send long bodies in chunks at once.
mod chunked_burst {
    use super::*;

    /// Less than `maxBodyBytes`, 4,194,304.
    const BODY: usize = 4_000_000;
    const PIECES: usize = 50;
    /// Between two pieces: a body takes two seconds, 20 of them 320 Mbit/s of a machine's 1,000.
    const PAUSE: Duration = Duration::from_millis(40);
    const BURSTS: usize = 4;
    /// Clients with long bodies: 20 at each router. With the others they are 84; the site has 50, and
    /// `burst` brings up to 1.7 times as many.
    const CLIENTS: usize = 60;
    /// Clients of each router that send the usual requests.
    const STEADY: usize = 8;
    /// The rule allows three.
    const MOST_LOST: usize = 3;

    pub fn run(
        _: &Path,
        trouble: bool,
        record: &Record,
    ) -> std::result::Result<Vec<String>, String> {
        let mut deployment = Deployment::new(record)?;
        let work = |_| EngineWork { work_ms: 15, events: 0, pause_ms: 0, extra: 0.0, marked: true };
        deployment.start_engines("bookings-desk", 3, 6, work)?;
        // 500 ms to the first event, a second of events.
        let work =
            |_| EngineWork { work_ms: 500, events: 15, pause_ms: 70, extra: 0.0, marked: true };
        deployment.start_engines("guide-llm", 3, 64, work)?;
        deployment.configure(1);
        deployment.start_routers()?;
        let addresses: Vec<SocketAddr> = deployment.routers.iter().map(|one| one.callers).collect();
        let routers = addresses.len();
        let stop = Arc::new(AtomicBool::new(false));
        let served = Arc::new(AtomicUsize::new(0));
        // Requests on kept connections that closed without an answer, with their router.
        let unanswered: Arc<Mutex<Vec<(usize, String)>>> = Arc::default();
        let steady: Vec<_> = (0..routers * STEADY)
            .map(|index| {
                let router = index % routers;
                let address = addresses[router];
                let (record, stop, served) = (record.clone(), stop.clone(), served.clone());
                let unanswered = unanswered.clone();
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(index as u64 * 40));
                    let mut client = Client::new(address);
                    while !stop.load(Ordering::Relaxed) {
                        let lost = stream(index, &mut client, &record, &served);
                        unanswered.lock().unwrap().extend(lost.map(|attempt| (router, attempt)));
                    }
                })
            })
            .collect();
        thread::sleep(Duration::from_secs(5));
        let mut kills = vec![0_usize; routers];
        for burst in 0..BURSTS {
            record.add(format!("{CLIENTS} clients send a long body each"));
            let clients: Vec<_> = (0..CLIENTS)
                .map(|index| {
                    let router = addresses[index % routers];
                    let record = record.clone();
                    // All at once; or, without the burst, three of a router's clients at a time.
                    let wait = if trouble { 0 } else { index / routers / 3 * 2_300 };
                    thread::spawn(move || {
                        thread::sleep(Duration::from_millis(wait as u64));
                        upload(index, router, &record);
                    })
                })
                .collect();
            let mut peaks = vec![0_u64; routers];
            while clients.iter().any(|client| !client.is_finished()) {
                enforce_memory(&mut deployment, &mut peaks, &mut kills)?;
                thread::sleep(Duration::from_millis(5));
            }
            let peaks: Vec<u64> = peaks.iter().map(|peak| peak >> 20).collect();
            record.add(format!("burst {burst}: most memory of the routers, MB: {peaks:?}"));
            for router in &deployment.routers {
                wait_until_ready(router.readiness, Duration::from_secs(10))?;
            }
            thread::sleep(Duration::from_secs(5));
        }
        stop.store(true, Ordering::Relaxed);
        for client in steady {
            client.join().map_err(|_| "a client failed")?;
        }
        let served = served.load(Ordering::Relaxed);
        record.add(format!("{served} streams were served"));
        record.add(format!("times that the routers went over their memory: {kills:?}"));
        if served < 100 {
            return Err(format!("only {served} streams were served"));
        }
        // Those that an engine has begun to work on: they were handed to it.
        let begun = deployment.begun.lock().unwrap();
        let unanswered = unanswered.lock().unwrap();
        let handed = unanswered.iter().filter(|(_, attempt)| begun.contains_key(attempt));
        let mut lost = vec![Vec::new(); routers];
        handed.for_each(|(router, attempt)| lost[*router].push(attempt.clone()));
        let counts: Vec<usize> = lost.iter().map(Vec::len).collect();
        record.add(format!("handed to engines and closed without an answer: {counts:?}"));
        let breaks = lost.into_iter().enumerate().filter(|(_, lost)| lost.len() > MOST_LOST);
        let breaks = breaks.map(|(router, lost)| {
            let count = lost.len();
            format!("router {router} closed {count} times without an answer: {}", lost.join(", "))
        });
        Ok(breaks.collect())
    }

    /// Sends one of the usual requests. Returns its id if it was sent on a kept connection that
    /// closed without an answer.
    fn stream(
        index: usize,
        client: &mut Client,
        record: &Record,
        served: &AtomicUsize,
    ) -> Option<String> {
        let mut random = Random::new();
        let attempt = random.id();
        let again_after = Duration::from_millis(300 + random.next() % 1_500);
        let is_kept = client.kept.is_some();
        let connection = if is_kept { "its kept" } else { "a new" };
        let prompt = "Model: m\r\nToken-Usage: 826,75\r\n\
                      Prefix-Hash: 5c1e07a2:198,91bd3f06:628\r\n";
        record.add(format!(
            "client {index} sends {attempt} POST /lohu930/2f on {connection} connection"
        ));
        match client.call("/lohu930/2f", &attempt, 12_000, prompt, &[b'p'; 800]) {
            Answer::Whole(status, signature, _) => {
                let signature = signature.unwrap_or_else(|| "-".to_owned());
                record.add(format!("client {index} gets {status} for {attempt}, {signature}"));
                served.fetch_add(usize::from(status == 200), Ordering::Relaxed);
                thread::sleep(if status == 200 { again_after / 10 } else { again_after });
                None
            }
            Answer::Broken(reason) => {
                record.add(format!("client {index} gets {attempt} broken off: {reason}"));
                thread::sleep(again_after);
                None
            }
            Answer::None(reason) => {
                record.add(format!("client {index} gets no answer for {attempt}: {reason}"));
                thread::sleep(again_after);
                is_kept.then_some(attempt)
            }
        }
    }

    /// The platform kills a process that goes over its memory, and starts it again.
    fn enforce_memory(
        deployment: &mut Deployment,
        peaks: &mut [u64],
        kills: &mut [usize],
    ) -> std::result::Result<(), String> {
        for index in 0..deployment.routers.len() {
            let router = &mut deployment.routers[index];
            let memory = router.process.memory();
            peaks[index] = peaks[index].max(memory);
            if memory > MEMORY_MB << 20 {
                router.process.kill();
                kills[index] += 1;
                let megabytes = memory >> 20;
                deployment
                    .record
                    .add(format!("router {index} goes over its memory: {megabytes} MB"));
                thread::sleep(Duration::from_millis(200));
                let settings = fs::read_to_string(&router.settings).unwrap_or_default();
                let settings = settings.replace("first-start = yes", "first-start = no");
                fs::write(&router.settings, settings).map_err(|error| error.to_string())?;
                router.process = Deployment::start_router(&router.settings)?;
            }
        }
        Ok(())
    }

    fn upload(index: usize, router: SocketAddr, record: &Record) {
        let attempt = Random::new().id();
        record.add(format!(
            "uploader {index} sends {attempt} POST /pufi791/2f, {BODY} bytes in chunks"
        ));
        let head = format!(
            "POST /pufi791/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n\
             Deadline-Ms: 12000\r\nAuthorization: Token {KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let piece = vec![b'c'; BODY / PIECES];
        let answer = Client::new(router).exchange(|stream| {
            stream.write_all(head.as_bytes())?;
            for _ in 0..PIECES {
                write!(stream, "{:x}\r\n", piece.len())?;
                stream.write_all(&piece)?;
                stream.write_all(b"\r\n")?;
                thread::sleep(PAUSE);
            }
            stream.write_all(b"0\r\n\r\n")
        });
        let (status, end) = match answer {
            Ok(Answer::Whole(status, signature, _)) => (status, signature.unwrap_or_default()),
            Ok(Answer::Broken(reason) | Answer::None(reason)) => (0, reason),
            Err(error) => (0, error.to_string()),
        };
        match status {
            0 => record.add(format!("uploader {index} gets no answer for {attempt}: {end}")),
            _ => record.add(format!("uploader {index} gets {status} for {attempt}, {end}")),
        }
    }
}
