//! Streams of back ends that crash under parts of prompts, and a record of what happened.

use crate::raw::header;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use std::collections::BTreeMap;
use std::io;
use std::time::{Duration, Instant};

/// Time from the arrival of a request to the head of its answer.
const START_DELAY: Duration = Duration::from_millis(10);
/// Time from the head of a fatal request's answer to the end of the back end.
const CRASH_DELAY: Duration = Duration::from_millis(5);
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);
/// Number of events of a stream.
const EVENTS: u64 = 3;

/// Parts of prompts under which back ends end, and how their answers are written.
#[derive(Debug, Clone, Copy)]
pub struct FatalParts {
    /// Header that lists the parts of a prompt, as `ID:TOKENS` joined by commas.
    pub header: &'static str,
    /// Ids of the fatal parts.
    pub ids: &'static [&'static str],
    /// How the ends of all answers are marked.
    pub framing: Framing,
    /// What is written of a fatal request's first event.
    pub partial_event: PartialEvent,
}

/// How the end of an answer is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    Unmarked,
}

/// What is written of an event before the back end ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartialEvent {
    /// Nothing.
    Nothing,
    /// The beginning.
    Beginning,
}

/// Runs under a fatal part, and the ends that it caused.
#[derive(Debug, Clone, Default)]
pub struct Crashes {
    /// Times at which requests with the part arrived at back ends.
    pub runs: Vec<Instant>,
    /// Times at which back ends ended.
    pub ends: Vec<Instant>,
}

/// What happened under each fatal part.
#[derive(Debug, Clone, Default)]
pub struct CrashRecord(BTreeMap<&'static str, Crashes>);

impl CrashRecord {
    /// Returns what happened under a part.
    pub fn of(&self, part: &str) -> Crashes {
        self.0.get(part).cloned().unwrap_or_default()
    }

    pub(crate) fn on_run(&mut self, part: &'static str) {
        self.0.entry(part).or_default().runs.push(Instant::now());
    }

    pub(crate) fn on_end(&mut self, part: &'static str) {
        self.0.entry(part).or_default().ends.push(Instant::now());
    }
}

impl FatalParts {
    /// Returns the fatal part of a request's prompt, if it has one. The last part never is.
    pub(crate) fn find(&self, head: &str) -> Option<&'static str> {
        let parts = header(head, self.header)?;
        let mut ids: Vec<&str> =
            parts.split(',').filter_map(|part| part.split(':').next()).collect();
        ids.pop();
        self.ids.iter().copied().find(|fatal| ids.contains(fatal))
    }

    /// Returns whether the end of an answer is the end of its connection, as its head announces.
    pub(crate) fn closes_connections(&self) -> bool {
        self.framing == Framing::Unmarked
    }

    /// Writes a whole stream. `head` lacks the framing and the empty line.
    pub(crate) async fn answer(&self, stream: &mut TcpStream, head: &str) -> io::Result<()> {
        smol::Timer::after(START_DELAY).await;
        self.write_head(stream, head).await?;
        for number in 1..=EVENTS {
            self.write(stream, &format!("id: {number}\ndata: served\n\n")).await?;
            smol::Timer::after(EVENT_INTERVAL).await;
        }
        match self.framing {
            Framing::Chunked => stream.write_all(b"0\r\n\r\n").await,
            Framing::Unmarked => Ok(()),
        }
    }

    /// Begins the answer to a fatal request, until the back end is to end.
    pub(crate) async fn begin_fatal(&self, stream: &mut TcpStream, head: &str) -> io::Result<()> {
        smol::Timer::after(START_DELAY).await;
        self.write_head(stream, head).await?;
        if self.partial_event == PartialEvent::Beginning {
            self.write(stream, "id: 1\nda").await?;
        }
        smol::Timer::after(CRASH_DELAY).await;
        Ok(())
    }

    async fn write_head(&self, stream: &mut TcpStream, head: &str) -> io::Result<()> {
        let framing = match self.framing {
            Framing::Chunked => "transfer-encoding: chunked\r\n",
            Framing::Unmarked => "connection: close\r\n",
        };
        stream.write_all(format!("{head}{framing}\r\n").as_bytes()).await
    }

    async fn write(&self, stream: &mut TcpStream, text: &str) -> io::Result<()> {
        let written = match self.framing {
            Framing::Chunked => format!("{:x}\r\n{text}\r\n", text.len()),
            Framing::Unmarked => text.to_owned(),
        };
        stream.write_all(written.as_bytes()).await
    }
}
