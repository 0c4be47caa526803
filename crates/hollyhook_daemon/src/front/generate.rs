use std::sync::Arc;

use async_std::task;
use hollyhook_core::{Error, ErrorKind, GenerationId, Name, Result, StreamCursor};
use hollyhook_settings::{AccountSettings, GenerationSettings, ServiceKind, ServiceSettings};
use hollyhook_wire::{ApiStyle, CallerRequest, RequestLimits, StreamWriter, WholeAnswer, feed_body, read_body};
use http_types::StatusCode;
use tide::{Request, Response};

use super::FrontState;
use crate::fleet::HostContext;
use crate::relay::{CallerLink, RelayDriver, RelayReply, RelayTask, resolve_start};

/// Pieces that a stream may be ahead of its caller.
const FEED_CAPACITY: usize = 8;
/// The most characters of an idempotency key.
const MAX_KEY: usize = 256;

/// Answers a request for a generation.
pub(super) async fn handle(mut request: Request<FrontState>, style: ApiStyle) -> Result<Response> {
    let state = request.state().clone();
    let context = Arc::clone(&state.context);
    let arrived = context.timer.now();
    let account = state.account(&request)?;
    let bytes = read_body(request.take_body(), context.site.limits.body).await?;
    let caller = CallerRequest::parse(style, &bytes)?;
    let (service, settings) = find_service(&context, &caller)?;
    caller.check(RequestLimits { context: settings.context_tokens })?;
    let cursor = read_cursor(&context, &request, account, &caller)?;
    let keyed = read_key(&request)?.map(|key| {
        // The request is part of the identity, so that a key used twice never leads to another request's answer.
        let key = format!("{:016x}{key}", caller.digest());
        GenerationId::from_key(&account.name, &key)
    });
    let start = resolve_start(&context, &service.name, settings, cursor, keyed).await;
    let generation = start.generation;

    let request = Arc::new(caller);
    let relay_task = RelayTask {
        request: Arc::clone(&request),
        account: Name::clone(&account.name),
        service: Name::clone(&service.name),
        class: service.class,
        settings: settings.clone(),
        arrived,
    };
    let created = context.timer.unix_secs();
    let (reply_sender, reply) = async_channel::bounded(1);
    let (link, body) = if request.is_stream {
        let writer = StreamWriter::new(style, generation, &request.model, created);
        let (feed, body) = feed_body(FEED_CAPACITY);
        (CallerLink::streaming(reply_sender, feed, writer), Some(body))
    } else {
        (CallerLink::whole(reply_sender), None)
    };
    task::spawn(RelayDriver::new(context, relay_task, start, link).run());
    let reply =
        reply.recv().await.map_err(|_gone| Error::new(ErrorKind::Internal, "the relay ended without a word"))?;
    let response = Response::builder(StatusCode::Ok).header("x-request-id", generation.to_string());
    match (reply, body) {
        (RelayReply::Refused(error), _) => Err(error),
        (RelayReply::Streaming, Some(body)) => {
            Ok(response.body(body).content_type("text/event-stream").header("cache-control", "no-cache").build())
        }
        (RelayReply::Whole(whole), _) => {
            let answer = WholeAnswer {
                style,
                generation,
                model: &request.model,
                created,
                text: &whole.text,
                reason: whole.reason,
                usage: whole.usage,
            };
            Ok(response.body(answer.to_json()).content_type(tide::http::mime::JSON).build())
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
    if cursor.request != caller.digest() {
        let message = "the cursor is of another request; send the request unchanged";
        return Err(Error::new(ErrorKind::CursorInvalid, message).param("Last-Event-ID"));
    }
    Ok(Some(cursor))
}

/// The idempotency key of a request.
///
/// # Errors
///
/// `InvalidRequest` if it is empty or too long.
pub(super) fn read_key(request: &Request<FrontState>) -> Result<Option<String>> {
    let Some(key) = request.header("idempotency-key").map(|values| values.as_str()) else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY {
        let message = format!("the idempotency key must have 1 to {MAX_KEY} characters");
        return Err(Error::new(ErrorKind::InvalidRequest, message).param("Idempotency-Key"));
    }
    Ok(Some(key.to_owned()))
}
