//! Callers that send requests to the fleet.

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

/// Time-out of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest body of an answer, in bytes.
const MAX_ANSWER: usize = 64 << 20;

/// Errors of a call without a complete answer.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// The connection cannot be opened.
    #[display("{_0}")]
    Connect(ConnectError),
    /// The head of the answer was not received.
    #[display("{_0}")]
    Exchange(ExchangeError),
    /// The body of the answer is incomplete.
    #[display("the body broke off")]
    Broken,
    /// The call timed out.
    #[display("no answer in {CALL_TIMEOUT:?}")]
    TimedOut,
}

/// Complete answer to a call.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Complete body of the answer.
    pub body: Bytes,
}

impl Answer {
    /// Returns the text of a header, or an empty text if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Returns the outcome of the request that the answer reports, such as `not-run`.
    pub fn outcome(&self) -> &str {
        self.header("mastbay-outcome")
    }

    /// Returns the body as JSON, or null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the code of an error answer, otherwise an empty text.
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }
}

/// Caller that sends the key of a tenant.
#[derive(Debug, Clone)]
pub struct Caller {
    address: SocketAddr,
    key: String,
    headers: Vec<(String, String)>,
}

impl Caller {
    /// Creates a caller of the gateway at `address`.
    pub fn new(address: SocketAddr, tenant: &str) -> Self {
        Self { address, key: key_of(tenant), headers: Vec::new() }
    }

    /// Adds a header to each request.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Replaces the key.
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = key.to_owned();
        self
    }

    /// Sends a request on a new connection and waits for the complete answer.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Answer, CallError> {
        let connection =
            Connection::open(self.address, CALL_TIMEOUT).await.map_err(CallError::Connect)?;
        self.send_over(connection, method, path, body.into()).await.map(|(answer, _)| answer)
    }

    /// Sends a request on `connection` and returns the complete answer with the connection.
    pub async fn send_over(
        &self,
        mut connection: Connection,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(Answer, Connection), CallError> {
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
            let response = connection.exchange(request).await.map_err(CallError::Exchange)?;
            let (head, body) = response.into_parts();
            let body = read_limited(body, MAX_ANSWER).await.map_err(|_| CallError::Broken)?;
            Ok(Answer { status: head.status, headers: head.headers, body })
        };
        let answer = within(CALL_TIMEOUT, exchange).await.map_err(|_| CallError::TimedOut)??;
        Ok((answer, connection))
    }

    /// Sends a POST request to a plain service.
    pub async fn post(&self, path: &str, body: impl Into<Bytes>) -> Result<Answer, CallError> {
        self.send(Method::POST, path, body).await
    }

    /// Sends a chat-completions request.
    pub async fn chat(
        &self,
        prompt: &str,
        tokens: usize,
        stream: bool,
    ) -> Result<Answer, CallError> {
        self.send(Method::POST, "/v1/chat/completions", chat_body(prompt, tokens, stream)).await
    }

    /// Sends a GET request, for admin addresses and stand-ins.
    pub async fn get(&self, path: &str) -> Result<Answer, CallError> {
        self.send(Method::GET, path, Bytes::new()).await
    }
}

/// Returns the body of a chat-completions request.
pub fn chat_body(prompt: &str, tokens: usize, stream: bool) -> Vec<u8> {
    let body = json!({
        "model": "anglers-8b",
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": stream,
    });
    body.to_string().into_bytes()
}

/// Returns the text of a stream and whether the stream ended with `[DONE]`.
pub fn event_data(body: &[u8]) -> (String, bool) {
    let text = String::from_utf8_lossy(body);
    let mut words = Vec::new();
    let mut is_complete = false;
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            is_complete = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(word) = event["choices"][0]["delta"]["content"].as_str() {
            words.push(word.to_owned());
        }
    }
    (words.join(" "), is_complete)
}
