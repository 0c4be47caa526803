use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::ReadExt;
use hollyhook_core::{
    AttemptNumber, EndReason, EndpointRefusal, Error, ErrorKind, GenerationId, OpenMode, ProbeReport, Result, TokenLog,
};
use http_types::{Method, Request, StatusCode, Url};
use serde::de::DeserializeOwned;

use super::{CallerRequest, EngineChunk, EngineExtension, EngineLoad, EngineUsage, EngineWork, GenerationState};
use crate::http::{ClientAnswer, HttpClient};
use crate::sse::{SseEvent, SseParser};

/// Speaks the endpoint API.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: HttpClient,
}

/// What a stream brings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamItem {
    /// A token.
    Token {
        /// Its position, from 0.
        position: u64,
        /// Its text.
        text: String,
    },
    /// The end mark.
    End {
        /// The number of tokens of the whole generation.
        position: u64,
        /// Why the engine ended.
        reason: EndReason,
        /// The usage, if the endpoint gave it.
        usage: Option<EngineUsage>,
        /// The work, if the endpoint gave it.
        work: Option<EngineWork>,
    },
}

impl EngineClient {
    /// A client that waits that long for a connection.
    pub const fn new(connect_timeout: Duration) -> Self {
        Self { http: HttpClient::new(connect_timeout) }
    }

    /// Opens an attempt. The inner error is the endpoint's own refusal.
    ///
    /// # Errors
    ///
    /// `NotRun` or `OutcomeUnknown` if the connection could not be made or broke.
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
        body.insert("hollyhook".to_owned(), serde_json::to_value(extension).map_err(|error| internal(&error))?);
        let mut post = request_to(Method::Post, address, request.style.path())?;
        post.set_body(serde_json::to_vec(&body).map_err(|error| internal(&error))?);
        post.set_content_type(http_types::mime::JSON);
        self.stream(address, post).await
    }

    /// Attaches to what the endpoint is already producing.
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

    /// Asks, on a new connection and for up to `limit`, what the endpoint holds of a generation.
    pub async fn probe(&self, address: SocketAddr, generation: GenerationId, limit: Duration) -> ProbeReport {
        match self.generation_state(address, generation, limit).await {
            Ok(Some(state)) => ProbeReport::Holds { produced: state.produced, is_finished: state.is_finished },
            Ok(None) => ProbeReport::Lives,
            Err(_) => ProbeReport::Dead,
        }
    }

    /// The state of a generation at an endpoint, if it holds it.
    ///
    /// # Errors
    ///
    /// `NotRun` or `OutcomeUnknown` if no answer came within `limit`.
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

    /// Has the work for a generation stopped, unless a newer attempt has taken it over; repeatable.
    ///
    /// # Errors
    ///
    /// `NotRun` or `OutcomeUnknown` if no answer came within `limit`.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        generation: GenerationId,
        attempt: AttemptNumber,
        limit: Duration,
    ) -> Result<()> {
        let path = format!("/v1/generations/{generation}?attempt={attempt}");
        let delete = request_to(Method::Delete, address, &path)?;
        self.http.fetch(address, delete, limit).await.map(|_answer| ())
    }

    /// Asks for the endpoint's load.
    ///
    /// # Errors
    ///
    /// `NotRun` or `OutcomeUnknown` if no answer came within `limit`, `Internal` if it is not understood.
    pub async fn load(&self, address: SocketAddr, limit: Duration) -> Result<EngineLoad> {
        let get = request_to(Method::Get, address, "/v1/load")?;
        let (_status, body) = self.http.fetch(address, get, limit).await?;
        decode(&body)
    }

    async fn stream(
        &self,
        address: SocketAddr,
        request: Request,
    ) -> Result<std::result::Result<EngineStream, EndpointRefusal>> {
        let answer = self.http.send(address, request).await?;
        let refusal = match answer.response.status() {
            StatusCode::Ok => return Ok(Ok(EngineStream::new(answer))),
            StatusCode::NotFound => EndpointRefusal::NotHeld,
            StatusCode::Conflict => EndpointRefusal::Superseded,
            StatusCode::UnprocessableEntity => EndpointRefusal::Unable,
            StatusCode::BadRequest | StatusCode::PayloadTooLarge => EndpointRefusal::Invalid,
            _ => EndpointRefusal::Busy,
        };
        Ok(Err(refusal))
    }
}

/// An endpoint's stream; its connection is cut when this is dropped.
#[derive(Debug)]
pub struct EngineStream {
    answer: ClientAnswer,
    parser: SseParser,
    position: u64,
}

/// The field of a stream's head that carries an engine's load, as JSON.
pub const LOAD_HEADER: &str = "x-engine-load";

impl EngineStream {
    /// What the endpoint said of itself with the stream, if it did.
    pub fn load(&self) -> Option<EngineLoad> {
        let field = self.answer.response.header(LOAD_HEADER)?;
        serde_json::from_str(field.as_str()).ok()
    }

    fn new(answer: ClientAnswer) -> Self {
        Self { answer, parser: SseParser::default(), position: 0 }
    }

    /// An item that has arrived already, if there is one.
    ///
    /// # Errors
    ///
    /// As for [`next`](Self::next).
    pub fn next_buffered(&mut self) -> Option<Result<StreamItem>> {
        while let Some(event) = self.parser.next_event() {
            if let Some(item) = self.take(&event).transpose() {
                return Some(item);
            }
        }
        None
    }

    /// Waits for the next item; may be dropped and called again without losing one.
    ///
    /// # Errors
    ///
    /// `OutcomeUnknown` if the connection ended or broke, or what came is not understood.
    pub async fn next(&mut self) -> Result<StreamItem> {
        const PIECE: usize = 2_048;
        loop {
            if let Some(item) = self.next_buffered() {
                return item;
            }
            if self.parser.is_overfull() {
                return Err(broken("an event is longer than any endpoint sends"));
            }
            let mut piece = [0; PIECE];
            match self.answer.response.read(&mut piece).await {
                Ok(0) => return Err(broken("it ended without the end mark")),
                Ok(count) => self.parser.feed(&piece[..count]),
                Err(error) => return Err(broken(&error.to_string())),
            }
        }
    }

    fn take(&mut self, event: &SseEvent) -> Result<Option<StreamItem>> {
        if event.data == "[DONE]" {
            return Ok(None);
        }
        let chunk: EngineChunk<'_> =
            serde_json::from_str(&event.data).map_err(|error| broken(&format!("an event is no chunk: {error}")))?;
        let position = match &event.id {
            Some(id) => id.parse().map_err(|_error| broken("an event's id is no position"))?,
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

pub(crate) fn request_to(method: Method, address: SocketAddr, path: &str) -> Result<Request> {
    let url = Url::parse(&format!("http://{address}{path}")).map_err(|error| internal(&error))?;
    Ok(Request::new(method, url))
}

pub(crate) fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| internal(&error))
}

fn internal(error: &dyn std::fmt::Display) -> Error {
    Error::new(ErrorKind::Internal, format!("a message was not understood: {error}"))
}

fn broken(what: &str) -> Error {
    Error::new(ErrorKind::OutcomeUnknown, format!("the stream broke: {what}"))
}
