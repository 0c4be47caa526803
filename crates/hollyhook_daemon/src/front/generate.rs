use std::sync::Arc;

use async_std::task;
use hollyhook_core::{Error, ErrorKind, GenerationId, Name, Result, StreamCursor};
use hollyhook_settings::{AccountSettings, GenerationSettings, ServiceKind, ServiceSettings};
use hollyhook_wire::{
    ApiStyle, CallerRequest, CompletionResponse, RequestLimits, StreamWriter, body_channel, read_body,
};
use http_types::StatusCode;
use tide::{Request, Response};

use super::FrontState;
use crate::fleet::HostContext;
use crate::relay::{CallerLink, RelayDriver, RelayReply, RelayTask, resolve_start};

/// Body chunks that are buffered for a caller who reads more slowly than the stream is produced.
const BODY_CHUNK_CAPACITY: usize = 8;
/// Maximum length of an idempotency key, in characters.
const MAX_KEY_LENGTH: usize = 256;

/// Handles a request for a generation.
pub(super) async fn handle(mut request: Request<FrontState>, style: ApiStyle) -> Result<Response> {
    let state = request.state().clone();
    let context = Arc::clone(&state.context);
    let arrived_at = context.timer.now();
    let account = state.account(&request)?;
    let bytes = read_body(request.take_body(), context.site.limits.body).await?;
    let caller = CallerRequest::parse(style, &bytes)?;
    let (service, settings) = find_service(&context, &caller)?;
    caller.check(RequestLimits { context_tokens: settings.context_tokens })?;
    let cursor = read_cursor(&context, &request, account, &caller)?;
    let keyed_generation = read_idempotency_key(&request)?.map(|key| {
        // The id is derived from the request's digest as well as from the key, so that a key that is reused for another
        // request never returns the answer to the first.
        let key = format!("{:016x}{key}", caller.digest());
        GenerationId::from_key(&account.name, &key)
    });
    let start = resolve_start(&context, &service.name, settings, cursor, keyed_generation).await;
    let generation = start.generation;

    let request = Arc::new(caller);
    let relay_task = RelayTask {
        request: Arc::clone(&request),
        account: Name::clone(&account.name),
        service: Name::clone(&service.name),
        class: service.class,
        settings: settings.clone(),
        arrived_at,
    };
    let created = context.timer.unix_secs();
    let (reply_sender, reply) = async_channel::bounded(1);
    let (link, body) = if request.is_stream {
        let writer = StreamWriter::new(style, generation, &request.model, created);
        let (body_sender, body) = body_channel(BODY_CHUNK_CAPACITY);
        (CallerLink::streaming(reply_sender, body_sender, writer), Some(body))
    } else {
        (CallerLink::buffered(reply_sender), None)
    };
    task::spawn(RelayDriver::new(context, relay_task, start, link).run());
    let reply =
        reply.recv().await.map_err(|_gone| Error::new(ErrorKind::Internal, "the relay ended without a word"))?;
    let response = Response::builder(StatusCode::Ok).header("x-request-id", generation.to_string());
    match (reply, body) {
        (RelayReply::Failed(error), _) => Err(error),
        (RelayReply::Streaming, Some(body)) => {
            Ok(response.body(body).content_type("text/event-stream").header("cache-control", "no-cache").build())
        }
        (RelayReply::Completed(result), _) => {
            let completion = CompletionResponse {
                style,
                generation,
                model: &request.model,
                created,
                text: &result.text,
                reason: result.reason,
                usage: result.usage,
            };
            Ok(response.body(completion.to_json()).content_type(tide::http::mime::JSON).build())
        }
        (RelayReply::Streaming, None) => Err(Error::new(ErrorKind::Internal, "a whole answer began to stream")),
    }
}

fn find_service<'c>(
    context: &'c HostContext,
    caller: &CallerRequest,
) -> Result<(&'c ServiceSettings, &'c GenerationSettings)> {
    let service = context.site.service_of_model(&caller.model);
    if let Some(service) = service
        && let ServiceKind::Generation(settings) = &service.kind
    {
        return Ok((service, settings));
    }
    let message = format!("there is no model `{}`; `GET /v1/models` lists them", caller.model);
    Err(Error::new(ErrorKind::UnknownModel, message).param("model"))
}

fn read_cursor(
    context: &HostContext,
    request: &Request<FrontState>,
    account: &AccountSettings,
    caller: &CallerRequest,
) -> Result<Option<StreamCursor>> {
    let Some(text) = request.header("last-event-id").map(|values| values.as_str()) else {
        return Ok(None);
    };
    if !caller.is_stream {
        let message = "`Last-Event-ID` continues a stream; send it with `\"stream\": true`";
        return Err(Error::new(ErrorKind::InvalidRequest, message).param("Last-Event-ID"));
    }
    let cursor = context.seal.open(&account.name, text, context.timer.unix_secs())?;
    if !caller.has_digest(cursor.request) {
        let message = "the cursor is of another request; send the request unchanged";
        return Err(Error::new(ErrorKind::CursorInvalid, message).param("Last-Event-ID"));
    }
    Ok(Some(cursor))
}

/// The idempotency key of a request.
///
/// # Errors
///
/// `InvalidRequest` if the key is empty or longer than [`MAX_KEY_LENGTH`].
pub(super) fn read_idempotency_key(request: &Request<FrontState>) -> Result<Option<String>> {
    let Some(key) = request.header("idempotency-key").map(|values| values.as_str()) else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY_LENGTH {
        let message = format!("the idempotency key must have 1 to {MAX_KEY_LENGTH} characters");
        return Err(Error::new(ErrorKind::InvalidRequest, message).param("Idempotency-Key"));
    }
    Ok(Some(key.to_owned()))
}
