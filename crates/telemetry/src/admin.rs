//! The admin HTTP endpoints: `/healthz`, `/readyz`, `/metrics`, `/status` and `/explain/SUBJECT`.

use derive_more::Display;
use hyper::{Response, StatusCode};
use mastbay_web::{Body, Server, full, json};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use serde_json::{Value, json};
use std::sync::Arc;

/// Why a process is not ready for work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum NotReady {
    /// The process has requested the configuration from the platform and its peers and waits for
    /// responses.
    #[display("asking for the configuration")]
    Asking,
    /// Neither the platform nor a peer has a configuration: none was ever applied.
    #[display("no configuration was applied")]
    Unconfigured,
    /// The process is shutting down.
    #[display("stopping")]
    Stopping,
}

/// State that a process exposes at its admin address.
pub trait Inspect: Send + Sync + 'static {
    /// Returns `Ok` if the process is ready for work, otherwise the reason why not.
    fn ready(&self) -> Result<(), NotReady>;
    /// Returns the state of the process for operators, served at `/status`.
    fn status(&self) -> Value;
    /// Returns the details of a request id or a tenant, or `None` if it is unknown.
    fn explain(&self, subject: &str) -> Option<Value>;
}

/// Serves the admin address until the server is stopped.
pub async fn serve_admin(server: Server, registry: Arc<Registry>, process: Arc<dyn Inspect>) {
    server
        .run(move |request, _| {
            let response = answer(request.uri().path(), &registry, process.as_ref());
            async move { response }
        })
        .await;
}

fn answer(path: &str, registry: &Registry, process: &dyn Inspect) -> Response<Body> {
    match path {
        "/healthz" => text(StatusCode::OK, "ok\n".to_owned()),
        "/readyz" => match process.ready() {
            Ok(()) => text(StatusCode::OK, "ready\n".to_owned()),
            Err(reason) => text(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
        },
        "/metrics" => metrics(registry),
        "/status" => value(StatusCode::OK, &process.status()),
        _ => match path.strip_prefix("/explain/").and_then(|subject| process.explain(subject)) {
            Some(details) => value(StatusCode::OK, &details),
            None => value(StatusCode::NOT_FOUND, &json!({ "error": { "code": "not_found" } })),
        },
    }
}

fn metrics(registry: &Registry) -> Response<Body> {
    let mut buffer = String::new();
    match encode(&mut buffer, registry) {
        Ok(()) => text(StatusCode::OK, buffer),
        Err(_) => text(StatusCode::INTERNAL_SERVER_ERROR, "metrics cannot be written\n".to_owned()),
    }
}

fn text(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
}

fn value(status: StatusCode, value: &Value) -> Response<Body> {
    let mut response = Response::new(json(value));
    *response.status_mut() = status;
    response
}
