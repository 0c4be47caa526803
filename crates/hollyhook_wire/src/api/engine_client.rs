use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::ReadExt;
use hollyhook_core::{
    AttemptNumber, EndReason, EndpointRefusal, Error, ErrorKind, GenerationId, OpenMode, ProbeReport, Result, TokenLog,
};
use http_types::{Method, Request, StatusCode, Url};
use serde::de::DeserializeOwned;

use super::{CallerRequest, EngineChunk, EngineExtension, EngineLoad, EngineUsage, EngineWork, GenerationState};
use crate::http::{ClientResponse, HttpClient};
use crate::sse::{SseEvent, SseParser};

/// A client of the endpoint API.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: HttpClient,
}

/// An item of an endpoint's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamItem {
    /// A token.
    Token {
        /// The token's position in the generation, from 0.
        position: u64,
        /// The token's text.
        text: String,
    },
    /// The end of the generation.
    End {
        /// The number of tokens of the whole generation.
        position: u64,
        /// Why the generation ended.
        reason: EndReason,
        /// The token usage, if the endpoint sent it.
        usage: Option<EngineUsage>,
        /// The work done for the generation, if the endpoint sent it.
        work: Option<EngineWork>,
    },
}

impl EngineClient {
    /// Creates a client that waits up to `connect_timeout` for each connection.
    pub const fn new(connect_timeout: Duration) -> Self {
        Self { http: HttpClient::new(connect_timeout) }
    }

    /// Opens the stream of an attempt at a generation.
    ///
    /// The inner error is the endpoint's refusal.
    ///
    /// # Errors
    ///
    /// `NotRun` if the connection could not be opened, `OutcomeUnknown` if it failed after that.
    pub async fn open(
        &self,
        address: SocketAddr,
        request: &CallerRequest,
        mut extension: EngineExtension,
        mode: OpenMode,
        log: &TokenLog,
    ) -> Result<std::result::Result<EngineStream, EndpointRefusal>> {
        if let OpenMode::Attach { position } = mode {
            return self.attach(address, extension.generation, extension.attempt, position).await;
        }
        if mode == OpenMode::Resume {
            extension.resume_tokens = log.iter().map(Into::into).collect();
        }
        let mut body = request.body.clone();
        body.insert("stream".to_owned(), true.into());
        body.remove("stream_options");
        body.insert("hollyhook".to_owned(), serde_json::to_value(extension).map_err(|error| decoding_error(&error))?);
        let mut post = request_to(Method::Post, address, request.style.path())?;
        post.set_body(serde_json::to_vec(&body).map_err(|error| decoding_error(&error))?);
        post.set_content_type(http_types::mime::JSON);
        self.stream(address, post).await
    }

    /// Opens a stream that attaches an attempt to a generation that the endpoint already holds.
    ///
    /// The stream starts at `position`.
    ///
    /// # Errors
    ///
    /// As for [`open`](Self::open).
    pub async fn attach(
        &self,
        address: SocketAddr,
        generation: GenerationId,
        attempt: AttemptNumber,
        position: u64,
    ) -> Result<std::result::Result<EngineStream, EndpointRefusal>> {
        let path = format!("/v1/generations/{generation}/stream?attempt={attempt}&from={position}");
        let get = request_to(Method::Get, address, &path)?;
        self.stream(address, get).await
    }

    /// Probes an endpoint, on a new connection and for up to `limit`, for the state of a generation.
    pub async fn probe(&self, address: SocketAddr, generation: GenerationId, limit: Duration) -> ProbeReport {
        match self.generation_state(address, generation, limit).await {
            Ok(Some(state)) => ProbeReport::Holds { produced: state.produced, is_finished: state.is_finished },
            Ok(None) => ProbeReport::Lives,
            Err(_) => ProbeReport::Dead,
        }
    }

    /// Fetches the state of a generation at an endpoint.
    ///
    /// Returns `None` if the endpoint does not hold the generation, or answers with anything else than a valid state.
    ///
    /// # Errors
    ///
    /// `NotRun` if the connection could not be opened, `OutcomeUnknown` if no response arrived within `limit`.
    pub async fn generation_state(
        &self,
        address: SocketAddr,
        generation: GenerationId,
        limit: Duration,
    ) -> Result<Option<GenerationState>> {
        let get = request_to(Method::Get, address, &format!("/v1/generations/{generation}"))?;
        let (status, body) = self.http.fetch(address, get, limit).await?;
        Ok(if status == 200 { decode(&body).ok() } else { None })
    }

    /// Requests that an endpoint stop a generation, unless a newer attempt has taken the generation over.
    ///
    /// The request may be repeated. A response with any status counts as success.
    ///
    /// # Errors
    ///
    /// `NotRun` if the connection could not be opened, `OutcomeUnknown` if no response arrived within `limit`.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        generation: GenerationId,
        attempt: AttemptNumber,
        limit: Duration,
    ) -> Result<()> {
        let path = format!("/v1/generations/{generation}?attempt={attempt}");
        let delete = request_to(Method::Delete, address, &path)?;
        self.http.fetch(address, delete, limit).await.map(|_response| ())
    }

    /// Fetches an endpoint's load.
    ///
    /// # Errors
    ///
    /// `NotRun` if the connection could not be opened, `OutcomeUnknown` if no response arrived within `limit`,
    /// `Internal` if the response is not valid.
    pub async fn load(&self, address: SocketAddr, limit: Duration) -> Result<EngineLoad> {
        let get = request_to(Method::Get, address, "/v1/load")?;
        let (_status, body) = self.http.fetch(address, get, limit).await?;
        decode(&body)
    }

    /// Opens a stream; the inner error is the endpoint's refusal.
    async fn stream(
        &self,
        address: SocketAddr,
        request: Request,
    ) -> Result<std::result::Result<EngineStream, EndpointRefusal>> {
        let response = self.http.send(address, request).await?;
        let refusal = match response.inner.status() {
            StatusCode::Ok => return Ok(Ok(EngineStream::new(response))),
            StatusCode::NotFound => EndpointRefusal::NotHeld,
            StatusCode::Conflict => EndpointRefusal::Superseded,
            StatusCode::UnprocessableEntity => EndpointRefusal::Unable,
            StatusCode::BadRequest | StatusCode::PayloadTooLarge => EndpointRefusal::Invalid,
            _ => EndpointRefusal::Busy,
        };
        Ok(Err(refusal))
    }
}

/// An endpoint's stream; dropping it shuts its connection down.
#[derive(Debug)]
pub struct EngineStream {
    response: ClientResponse,
    parser: SseParser,
    /// The position of the next token, for events without an `id`.
    position: u64,
}

/// The response header of a stream that carries the engine's load as JSON.
pub const LOAD_HEADER: &str = "x-engine-load";

impl EngineStream {
    /// The load that the endpoint sent with the head of the stream, or `None` if the header is absent or not valid.
    pub fn load(&self) -> Option<EngineLoad> {
        let field = self.response.inner.header(LOAD_HEADER)?;
        serde_json::from_str(field.as_str()).ok()
    }

    fn new(response: ClientResponse) -> Self {
        Self { response, parser: SseParser::default(), position: 0 }
    }

    /// The next item among the bytes already received, or `None` if they hold no complete item.
    ///
    /// # Errors
    ///
    /// As for [`next`](Self::next).
    pub fn next_buffered(&mut self) -> Option<Result<StreamItem>> {
        while let Some(event) = self.parser.next_event() {
            if let Some(item) = self.parse_event(&event).transpose() {
                return Some(item);
            }
        }
        None
    }

    /// Waits for the next item; cancel-safe, so that no item is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// `OutcomeUnknown` if the stream ended early, the connection failed or an event is not valid.
    pub async fn next(&mut self) -> Result<StreamItem> {
        const CHUNK_BYTES: usize = 2_048;
        loop {
            if let Some(item) = self.next_buffered() {
                return item;
            }
            if self.parser.is_oversized() {
                return Err(stream_error("an event exceeds the maximum size"));
            }
            let mut chunk = [0; CHUNK_BYTES];
            match self.response.inner.read(&mut chunk).await {
                Ok(0) => return Err(stream_error("it ended without an end event")),
                Ok(count) => self.parser.feed(&chunk[..count]),
                Err(error) => return Err(stream_error(&error.to_string())),
            }
        }
    }

    fn parse_event(&mut self, event: &SseEvent) -> Result<Option<StreamItem>> {
        if event.data == "[DONE]" {
            return Ok(None);
        }
        let chunk: EngineChunk<'_> = serde_json::from_str(&event.data)
            .map_err(|error| stream_error(&format!("an event is not a valid chunk: {error}")))?;
        let position = match &event.id {
            Some(id) => id.parse().map_err(|_error| stream_error("an event's id is not a position"))?,
            None => self.position,
        };
        let Some(choice) = chunk.choices.first() else {
            return Ok(None);
        };
        if let Some(reason) = choice.finish_reason {
            return Ok(Some(StreamItem::End { position, reason, usage: chunk.usage, work: chunk.work }));
        }
        let Some(text) = choice.content() else {
            return Ok(None);
        };
        self.position = position + 1;
        Ok(Some(StreamItem::Token { position, text: text.to_owned() }))
    }
}

/// Builds a request without a body.
pub(crate) fn request_to(method: Method, address: SocketAddr, path: &str) -> Result<Request> {
    let url = Url::parse(&format!("http://{address}{path}")).map_err(|error| decoding_error(&error))?;
    Ok(Request::new(method, url))
}

/// Decodes a JSON message.
pub(crate) fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| decoding_error(&error))
}

fn decoding_error(error: &dyn std::fmt::Display) -> Error {
    Error::new(ErrorKind::Internal, format!("a message could not be encoded or decoded: {error}"))
}

fn stream_error(detail: &str) -> Error {
    Error::new(ErrorKind::OutcomeUnknown, format!("the endpoint's stream failed: {detail}"))
}
