//! The admin address: `/healthz`, `/readyz`, `/metrics`, `/status` and `/explain/SUBJECT`.

use derive_more::Display;
use hyper::{Response, StatusCode};
use mastbay_web::{Body, Server, full, json};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use serde_json::{Value, json};
use std::sync::Arc;

/// Why a process takes no work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum NotReady {
    /// It has asked the platform and its peers for the configuration and waits for answers.
    #[display("asking for the configuration")]
    Asking,
    /// Nobody knows a configuration: none was ever applied.
    #[display("no configuration was applied")]
    Unconfigured,
    /// It stops.
    #[display("stopping")]
    Stopping,
}

/// What a process tells about itself.
pub trait Inspect: Send + Sync + 'static {
    /// Whether it takes work.
    fn ready(&self) -> Result<(), NotReady>;
    /// Its state, for operators.
    fn status(&self) -> Value;
    /// What it knows about a request id or a tenant, `None` if nothing.
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
            Some(account) => value(StatusCode::OK, &account),
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
