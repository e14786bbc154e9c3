//! A simulated model engine with the chat-completions interface. Its answers cycle through the
//! words of the prompt, one for each token, so that callers can verify that they got the answer to
//! their own prompt, and all of it.

use crate::generation::{Generations, SequenceHandle};
use crate::reply::{status, value};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use mastbay_web::{Body, BodyError, Server, read_limited, streamed};
use serde::Deserialize;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Largest request body, in bytes.
const MAX_BODY: usize = 4 << 20;
/// Tokens of an answer if the request has no `max_tokens`.
const DEFAULT_TOKENS: usize = 16;
/// Header with the id of the request, echoed in the answer.
const REQUEST_ID: HeaderName = HeaderName::from_static("mastbay-request-id");
/// Header that announces to the gateway that streams can be resumed.
const RESUMABLE: HeaderName = HeaderName::from_static("mastbay-resumable");
/// Header that injects a fault: `break-after=N` breaks the first connection after N tokens,
/// `break-for-good=N` also cancels the sequence.
const FAULT: HeaderName = HeaderName::from_static("stand-in-fault");

#[derive(Deserialize)]
struct ChatRequest {
    messages: Vec<ChatMessage>,
    max_tokens: Option<usize>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct ChatMessage {
    content: String,
}

/// Injected fault that breaks a stream after some tokens.
#[derive(Clone, Copy)]
struct BreakAfter {
    tokens: usize,
    for_good: bool,
}

/// Serves requests until the process ends.
pub async fn serve(server: Server, slots: usize, step: Duration) {
    let engine = Generations::new(slots, step);
    server
        .run(move |request, _| {
            let engine = engine.clone();
            async move { answer(engine, request).await }
        })
        .await;
}

async fn answer(engine: Arc<Generations>, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let Ok(body) = read_limited(body, MAX_BODY).await else {
        return status(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let path = head.uri.path();
    match (&head.method, path) {
        (&Method::POST, "/v1/chat/completions") => chat(engine, &head.headers, &body).await,
        (&Method::GET, "/record") => value(&engine.runs()),
        (method, path) => match path.strip_prefix("/v1/streams/") {
            Some(id) => stream_call(&engine, method, id, head.uri.query()),
            None => status(StatusCode::NOT_FOUND),
        },
    }
}

fn stream_call(
    engine: &Arc<Generations>,
    method: &Method,
    id: &str,
    query: Option<&str>,
) -> Response<Body> {
    let Some(sequence) = engine.find(id) else {
        return status(StatusCode::NOT_FOUND);
    };
    if method == Method::DELETE {
        sequence.cancel();
        return status(StatusCode::NO_CONTENT);
    }
    let after = query.and_then(|query| query.strip_prefix("after=")?.parse().ok()).unwrap_or(0);
    event_stream(id, sequence, after, None)
}

async fn chat(engine: Arc<Generations>, headers: &HeaderMap, body: &[u8]) -> Response<Body> {
    let Ok(chat) = serde_json::from_slice::<ChatRequest>(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let prompt: Vec<String> = chat
        .messages
        .iter()
        .flat_map(|message| message.content.split_whitespace())
        .map(str::to_owned)
        .collect();
    if prompt.is_empty() {
        return status(StatusCode::BAD_REQUEST);
    }
    let id = header_text(headers, &REQUEST_ID).unwrap_or_default().to_owned();
    let wanted = chat.max_tokens.unwrap_or(DEFAULT_TOKENS).max(1);
    let prompt_tokens = prompt.len();
    let sequence = engine.start(&id, prompt, wanted);
    if chat.stream {
        return event_stream(&id, sequence, 0, fault(headers));
    }
    buffered_answer(&id, sequence, prompt_tokens).await
}

async fn buffered_answer(
    id: &str,
    sequence: SequenceHandle,
    prompt_tokens: usize,
) -> Response<Body> {
    let reader = Reader::new(sequence);
    let mut tokens = Vec::new();
    while let Some(token) = reader.0.token(tokens.len()).await {
        tokens.push(token);
    }
    let answer = json!({
        "object": "chat.completion",
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": tokens.join(" ") },
            "finish_reason": "stop",
        }],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens.len(),
            "total_tokens": prompt_tokens + tokens.len(),
        },
    });
    let mut response = value(&answer);
    set_header(&mut response, REQUEST_ID, id);
    set_header(&mut response, CONTENT_TYPE, "application/json");
    response
}

/// Registers a reader of a sequence and removes it when dropped.
struct Reader(SequenceHandle);

impl Reader {
    fn new(sequence: SequenceHandle) -> Self {
        sequence.attach();
        Self(sequence)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.0.detach();
    }
}

fn event_stream(
    id: &str,
    sequence: SequenceHandle,
    after: usize,
    fault: Option<BreakAfter>,
) -> Response<Body> {
    let (sender, chunks) = smol::channel::bounded(4);
    let reader = Reader::new(sequence);
    smol::spawn(send_events(reader, after, fault, sender)).detach();
    let mut response = Response::new(streamed(chunks));
    set_header(&mut response, CONTENT_TYPE, "text/event-stream");
    set_header(&mut response, REQUEST_ID, id);
    set_header(&mut response, RESUMABLE, "yes");
    response
}

async fn send_events(
    reader: Reader,
    after: usize,
    fault: Option<BreakAfter>,
    sender: smol::channel::Sender<Result<Bytes, BodyError>>,
) {
    let mut index = after;
    while let Some(token) = reader.0.token(index).await {
        if let Some(fault) = fault.filter(|fault| fault.tokens == index) {
            if fault.for_good {
                reader.0.cancel();
            }
            let _ = sender.send(Err(BodyError)).await;
            return;
        }
        index += 1;
        let delta = json!({ "choices": [{ "index": 0, "delta": { "content": token } }] });
        if sender.send(Ok(event(&delta.to_string()))).await.is_err() {
            return;
        }
    }
    let end = if reader.0.is_complete() { Ok(event("[DONE]")) } else { Err(BodyError) };
    // Sending fails if the connection was closed.
    let _ = sender.send(end).await;
}

fn event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

fn fault(headers: &HeaderMap) -> Option<BreakAfter> {
    let (kind, tokens) = header_text(headers, &FAULT)?.split_once('=')?;
    let for_good = kind == "break-for-good";
    Some(BreakAfter { tokens: tokens.parse().ok()?, for_good })
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn set_header(response: &mut Response<Body>, name: HeaderName, text: &str) {
    if let Ok(text) = HeaderValue::from_str(text) {
        response.headers_mut().insert(name, text);
    }
}
