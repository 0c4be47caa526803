use std::sync::Arc;

use hollyhook_core::{Error, ErrorKind, Result};
use hollyhook_settings::{AccountSettings, ServiceKind, key_digest};
use hollyhook_wire::{ApiErrorBody, ApiStyle, ConnectionGate, HttpServer};
use http_types::StatusCode;
use serde_json::json;
use tide::{Request, Response};

use super::{generate, plain};
use crate::fleet::HostContext;

/// Paths of the API, which plain services can't use.
pub(super) const API_PATHS: [&str; 4] = ["/v1/models", "/v1/completions", "/v1/chat/completions", "/-/health"];

/// State shared by all request handlers.
#[derive(Debug, Clone)]
pub(crate) struct FrontState {
    pub(crate) context: Arc<HostContext>,
    pub(crate) gate: ConnectionGate,
}

impl FrontState {
    /// The client account that a request's API key belongs to.
    ///
    /// # Errors
    ///
    /// `MissingKey` without an `Authorization` header, `UnknownKey` if the header holds no known key.
    pub(super) fn account(&self, request: &Request<Self>) -> Result<&AccountSettings> {
        let header = request.header("authorization").map(|values| values.as_str());
        let Some(header) = header else {
            let message = "no API key came with the request; send `Authorization: Bearer KEY`";
            return Err(Error::new(ErrorKind::MissingKey, message).param("Authorization"));
        };
        let unknown = || {
            let message = "the API key is not known here; check it, or ask the operator for one";
            Error::new(ErrorKind::UnknownKey, message).param("Authorization")
        };
        let (scheme, key) = header.split_once(' ').unwrap_or_default();
        if !scheme.eq_ignore_ascii_case("bearer") {
            return Err(unknown());
        }
        self.context.site.account_of_key(&key_digest(key.trim())).ok_or_else(unknown)
    }
}

/// Serves callers until the connection gate drains.
pub(crate) async fn serve_callers(server: HttpServer, state: FrontState) {
    let recorder = Arc::clone(&state.context.recorder);
    let mut app = tide::with_state(state);
    app.at(ApiStyle::Completion.path()).post(|request| run_handler(generate::handle(request, ApiStyle::Completion)));
    app.at(ApiStyle::Chat.path()).post(|request| run_handler(generate::handle(request, ApiStyle::Chat)));
    app.at("/v1/models").get(|request| run_handler(async move { list_models(&request) }));
    app.at("/-/health").get(|request| run_handler(async move { health(&request) }));
    app.at("/").all(|request| run_handler(plain::handle(request)));
    app.at("/*").all(|request| run_handler(plain::handle(request)));
    let handler = move |request: http_types::Request| {
        let app = app.clone();
        let recorder = Arc::clone(&recorder);
        async move {
            recorder.count("request");
            let response: http_types::Response = app.respond(request).await?;
            if response.status().is_client_error() || response.status().is_server_error() {
                recorder.count("request_refused");
            }
            Ok(response)
        }
    };
    server.run(handler).await;
}

/// Runs a handler and converts its error into an HTTP response.
async fn run_handler(handler: impl Future<Output = Result<Response>>) -> tide::Result {
    Ok(handler.await.unwrap_or_else(|error| ApiErrorBody::response(&error).into()))
}

fn list_models(request: &Request<FrontState>) -> Result<Response> {
    let state = request.state();
    state.account(request)?;
    let services = state.context.site.services.iter();
    let models: Vec<_> = services
        .filter_map(|service| match &service.kind {
            ServiceKind::Generation(generation) => Some(generation),
            ServiceKind::Plain(_) => None,
        })
        .map(|generation| json!({"id": &*generation.binding.model, "object": "model", "created": 0, "owned_by": "hollyhook"}))
        .collect();
    json_response(&json!({"object": "list", "data": models}))
}

fn health(request: &Request<FrontState>) -> Result<Response> {
    let state = request.state();
    if state.gate.is_draining() {
        return Err(Error::new(ErrorKind::Draining, "this host is stopping"));
    }
    json_response(&json!({"status": "ok", "host": &*state.context.host, "zone": &*state.context.zone}))
}

fn json_response(value: &serde_json::Value) -> Result<Response> {
    let body = serde_json::to_vec(value).map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
    Ok(Response::builder(StatusCode::Ok).content_type(tide::http::mime::JSON).body(body).build())
}
