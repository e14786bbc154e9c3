//! A caller of the fleet.

use crate::configuration::key_of;
use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, HeaderMap};
use hyper::{Method, Request, StatusCode};
use mastbay_web::{ConnectError, Connection, ExchangeError, read_limited, within};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// Time that a test waits for an answer at the most.
const LIMIT: Duration = Duration::from_secs(60);
/// Largest answer read.
const ANSWER_LIMIT: usize = 64 << 20;

/// Why no whole answer came.
#[derive(Debug, Display, Error)]
pub enum CallFailed {
    /// No connection.
    #[display("{_0}")]
    Connect(ConnectError),
    /// No head of an answer.
    #[display("{_0}")]
    Exchange(ExchangeError),
    /// The body broke off.
    #[display("the body broke off")]
    Broken,
    /// No answer in a very long time.
    #[display("no answer in {LIMIT:?}")]
    TimedOut,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Answer {
    /// A header's text, empty if it is not there.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// What the caller is told of its request.
    pub fn outcome(&self) -> &str {
        self.header("mastbay-outcome")
    }

    /// The body as JSON, null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The code of an error answer.
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }
}

/// A caller with a tenant's key.
#[derive(Debug, Clone)]
pub struct Caller {
    address: SocketAddr,
    key: String,
    headers: Vec<(String, String)>,
}

impl Caller {
    /// A caller of the gateway at `address`.
    pub fn new(address: SocketAddr, tenant: &str) -> Self {
        Self { address, key: key_of(tenant), headers: Vec::new() }
    }

    /// The same caller with one more header on each request.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// The same caller with another key.
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = key.to_owned();
        self
    }

    /// Sends a request over a connection of its own and waits for the whole answer.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Answer, CallFailed> {
        let connection =
            Connection::open(self.address, LIMIT).await.map_err(CallFailed::Connect)?;
        self.send_over(connection, method, path, body.into()).await.map(|(answer, _)| answer)
    }

    /// Sends a request over a connection and gives it back with the whole answer.
    pub async fn send_over(
        &self,
        mut connection: Connection,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(Answer, Connection), CallFailed> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.key));
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(body)).unwrap_or_default();
        let exchange = async {
            let response = connection.exchange(request).await.map_err(CallFailed::Exchange)?;
            let (head, body) = response.into_parts();
            let body = read_limited(body, ANSWER_LIMIT).await.map_err(|_| CallFailed::Broken)?;
            Ok(Answer { status: head.status, headers: head.headers, body })
        };
        let answer = within(LIMIT, exchange).await.map_err(|_| CallFailed::TimedOut)??;
        Ok((answer, connection))
    }

    /// Posts to a plain service.
    pub async fn post(&self, path: &str, body: impl Into<Bytes>) -> Result<Answer, CallFailed> {
        self.send(Method::POST, path, body).await
    }

    /// Asks the model.
    pub async fn chat(
        &self,
        prompt: &str,
        tokens: usize,
        stream: bool,
    ) -> Result<Answer, CallFailed> {
        self.send(Method::POST, "/v1/chat/completions", chat_body(prompt, tokens, stream)).await
    }

    /// Gets a path, as for admin addresses and stand-ins.
    pub async fn get(&self, path: &str) -> Result<Answer, CallFailed> {
        self.send(Method::GET, path, Bytes::new()).await
    }
}

/// The body of a chat-completions request.
pub fn chat_body(prompt: &str, tokens: usize, stream: bool) -> Vec<u8> {
    let body = json!({
        "model": "anglers-8b",
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": stream,
    });
    body.to_string().into_bytes()
}

/// The text that a stream brought, and whether it ended with `[DONE]`.
pub fn event_data(body: &[u8]) -> (String, bool) {
    let text = String::from_utf8_lossy(body);
    let mut words = Vec::new();
    let mut whole = false;
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            whole = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(word) = event["choices"][0]["delta"]["content"].as_str() {
            words.push(word.to_owned());
        }
    }
    (words.join(" "), whole)
}
