use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::ReadExt;
use hollyhook_core::{Error, ErrorKind, Name, Result};
use http_types::{Method, Response};
use serde_json::Value;

use super::engine_client::request_to;
use super::{ApiErrorBody, ApiStyle};
use crate::http::{ClientAnswer, HttpClient};
use crate::sse::SseParser;

/// Calls hollyhook as any caller does: for the demo, the load tool and the tests.
#[derive(Debug, Clone)]
pub struct CallerClient {
    http: HttpClient,
    address: SocketAddr,
    key: Name,
}

/// What a stream brings its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerItem {
    /// A token.
    Token {
        /// The cursor behind it.
        cursor: String,
        /// Its text.
        text: String,
    },
    /// The reason that the generation ended with.
    End(String),
    /// The truthful end of a generation that is not whole.
    Failed(ApiErrorBody),
    /// The mark behind a whole answer.
    Done,
}

/// A generation request's body in its simplest form.
pub fn completion_body(model: &str, prompt: &str, max_tokens: u64, is_stream: bool) -> Value {
    serde_json::json!({"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": is_stream})
}

impl CallerClient {
    /// A client of the daemon at that address, with an API key.
    pub fn new(address: SocketAddr, key: impl Into<Name>) -> Self {
        Self { http: HttpClient::new(Duration::from_secs(2)), address, key: key.into() }
    }

    /// The same client at another host.
    #[must_use]
    pub fn at(mut self, address: SocketAddr) -> Self {
        self.address = address;
        self
    }

    /// Opens a stream; `fields` are more header fields. The inner error is the refusal.
    ///
    /// # Errors
    ///
    /// `NotRun` or `OutcomeUnknown` if the host could not be reached or the connection broke.
    pub async fn stream(
        &self,
        style: ApiStyle,
        body: &Value,
        fields: &[(&str, &str)],
    ) -> Result<std::result::Result<CallerStream, ApiErrorBody>> {
        let mut answer = self.send(Method::Post, style.path(), Some(body), fields).await?;
        if answer.response.status().is_success() {
            return Ok(Ok(CallerStream { answer, parser: SseParser::default() }));
        }
        let bytes = answer.response.body_bytes().await.map_err(|error| broken(&error))?;
        serde_json::from_slice(&bytes).map(Err).map_err(|error| broken(&error))
    }

    /// Makes one call and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// `NotRun` or `OutcomeUnknown` if the host could not be reached or the connection broke.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        fields: &[(&str, &str)],
    ) -> Result<CallerResponse> {
        let mut answer = self.send(method, path, body, fields).await?;
        let bytes = answer.response.body_bytes().await.map_err(|error| broken(&error))?;
        let retry_after = header(&answer.response, "retry-after").and_then(|text| text.parse().ok());
        let value = serde_json::from_slice(&bytes).unwrap_or_default();
        Ok(CallerResponse { status: answer.response.status().into(), retry_after, value })
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        fields: &[(&str, &str)],
    ) -> Result<ClientAnswer> {
        let mut request = request_to(method, self.address, path)?;
        request.insert_header("authorization", format!("Bearer {}", self.key));
        if let Some(body) = body {
            request.set_body(body.to_string());
            request.set_content_type(http_types::mime::JSON);
        }
        for (name, value) in fields {
            request.insert_header(*name, *value);
        }
        self.http.send(self.address, request).await
    }
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerResponse {
    /// The HTTP status.
    pub status: u16,
    /// Seconds of the `Retry-After` field.
    pub retry_after: Option<u64>,
    /// The body, if it is JSON.
    pub value: Value,
}

/// A caller's stream; its connection is cut when this is dropped.
#[derive(Debug)]
pub struct CallerStream {
    answer: ClientAnswer,
    parser: SseParser,
}

impl CallerStream {
    /// The identity that the host gave the request.
    pub fn request_id(&self) -> Option<&str> {
        header(&self.answer.response, "x-request-id")
    }

    /// Waits for the next item.
    ///
    /// # Errors
    ///
    /// `OutcomeUnknown` if the connection ended or broke.
    pub async fn next(&mut self) -> Result<CallerItem> {
        const PIECE: usize = 4_096;
        loop {
            while let Some(event) = self.parser.next_event() {
                if let Some(item) = read_item(event.id, &event.data)? {
                    return Ok(item);
                }
            }
            let mut piece = [0; PIECE];
            match self.answer.response.read(&mut piece).await {
                Ok(0) => return Err(broken(&"it ended without its end mark")),
                Ok(count) => self.parser.feed(&piece[..count]),
                Err(error) => return Err(broken(&error)),
            }
        }
    }
}

fn read_item(id: Option<String>, data: &str) -> Result<Option<CallerItem>> {
    if data == "[DONE]" {
        return Ok(Some(CallerItem::Done));
    }
    let value: Value = serde_json::from_str(data).map_err(|error| broken(&error))?;
    if value.get("error").is_some() {
        return serde_json::from_value(value)
            .map(|body| Some(CallerItem::Failed(body)))
            .map_err(|error| broken(&error));
    }
    let choice = &value["choices"][0];
    if let Some(reason) = choice["finish_reason"].as_str() {
        return Ok(Some(CallerItem::End(reason.to_owned())));
    }
    let text = choice["text"].as_str().or_else(|| choice["delta"]["content"].as_str());
    Ok(match (id, text) {
        (Some(cursor), Some(text)) => Some(CallerItem::Token { cursor, text: text.to_owned() }),
        _ => None,
    })
}

fn header<'r>(response: &'r Response, name: &str) -> Option<&'r str> {
    response.header(name).map(|values| values.as_str())
}

fn broken(what: &dyn std::fmt::Display) -> Error {
    Error::new(ErrorKind::OutcomeUnknown, format!("the answer broke off: {what}"))
}
