use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::ReadExt;
use hollyhook_core::{Error, ErrorKind, Name, Result};
use http_types::{Method, Response};
use serde_json::Value;

use super::engine_client::request_to;
use super::{ApiErrorBody, ApiStyle};
use crate::http::{ClientResponse, HttpClient};
use crate::sse::SseParser;

/// A client of the callers' API, for the demo, the load tool and the tests.
#[derive(Debug, Clone)]
pub struct CallerClient {
    http: HttpClient,
    address: SocketAddr,
    key: Name,
}

/// An item of a caller's stream.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerItem {
    /// A token.
    Token {
        /// The cursor that resumes the stream after this token.
        cursor: String,
        /// The token's text.
        text: String,
    },
    /// The end of a complete generation, with its finish reason.
    End(String),
    /// The error that ends an incomplete generation.
    Failed(ApiErrorBody),
    /// The `[DONE]` mark after a complete generation.
    Done,
}

/// The minimal body of a completion request.
pub fn completion_body(model: &str, prompt: &str, max_tokens: u64, is_stream: bool) -> Value {
    serde_json::json!({"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": is_stream})
}

impl CallerClient {
    /// Creates a client of the daemon at `address` that sends `key` as its API key.
    pub fn new(address: SocketAddr, key: impl Into<Name>) -> Self {
        Self { http: HttpClient::new(Duration::from_secs(2)), address, key: key.into() }
    }

    /// Sets the address of the daemon.
    #[must_use]
    pub fn at(mut self, address: SocketAddr) -> Self {
        self.address = address;
        self
    }

    /// Sends a generation request, with `headers` as additional header fields, and opens its stream.
    ///
    /// The inner error is the host's error response.
    ///
    /// # Errors
    ///
    /// `NotRun` if the host could not be reached; `OutcomeUnknown` if the connection failed or the error response is
    /// not valid.
    pub async fn stream(
        &self,
        style: ApiStyle,
        body: &Value,
        headers: &[(&str, &str)],
    ) -> Result<std::result::Result<CallerStream, ApiErrorBody>> {
        let mut response = self.send(Method::Post, style.path(), Some(body), headers).await?;
        if response.inner.status().is_success() {
            return Ok(Ok(CallerStream { response, parser: SseParser::default() }));
        }
        let bytes = response.inner.body_bytes().await.map_err(|error| stream_error(&error))?;
        serde_json::from_slice(&bytes).map(Err).map_err(|error| stream_error(&error))
    }

    /// Sends a request, with `headers` as additional header fields, and waits for the complete response.
    ///
    /// # Errors
    ///
    /// `NotRun` if the host could not be reached, `OutcomeUnknown` if the connection failed.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        headers: &[(&str, &str)],
    ) -> Result<CallerResponse> {
        let mut response = self.send(method, path, body, headers).await?;
        let bytes = response.inner.body_bytes().await.map_err(|error| stream_error(&error))?;
        let retry_after = header(&response.inner, "retry-after").and_then(|text| text.parse().ok());
        let value = serde_json::from_slice(&bytes).unwrap_or_default();
        Ok(CallerResponse { status: response.inner.status().into(), retry_after, value })
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        headers: &[(&str, &str)],
    ) -> Result<ClientResponse> {
        let mut request = request_to(method, self.address, path)?;
        request.insert_header("authorization", format!("Bearer {}", self.key));
        if let Some(body) = body {
            request.set_body(body.to_string());
            request.set_content_type(http_types::mime::JSON);
        }
        for (name, value) in headers {
            request.insert_header(*name, *value);
        }
        self.http.send(self.address, request).await
    }
}

/// A complete response.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerResponse {
    /// The HTTP status.
    pub status: u16,
    /// The delay of the `Retry-After` header in seconds.
    pub retry_after: Option<u64>,
    /// The body; null if the body is not JSON.
    pub value: Value,
}

/// A caller's stream; dropping it shuts its connection down.
#[derive(Debug)]
pub struct CallerStream {
    response: ClientResponse,
    parser: SseParser,
}

impl CallerStream {
    /// The request ID that the host assigned.
    pub fn request_id(&self) -> Option<&str> {
        header(&self.response.inner, "x-request-id")
    }

    /// Waits for the next item.
    ///
    /// # Errors
    ///
    /// `OutcomeUnknown` if the stream ended early, the connection failed or an event is not valid.
    pub async fn next(&mut self) -> Result<CallerItem> {
        const CHUNK_BYTES: usize = 4_096;
        loop {
            while let Some(event) = self.parser.next_event() {
                if let Some(item) = parse_item(event.id, &event.data)? {
                    return Ok(item);
                }
            }
            let mut chunk = [0; CHUNK_BYTES];
            match self.response.inner.read(&mut chunk).await {
                Ok(0) => return Err(stream_error(&"it ended without `[DONE]`")),
                Ok(count) => self.parser.feed(&chunk[..count]),
                Err(error) => return Err(stream_error(&error)),
            }
        }
    }
}

fn parse_item(id: Option<String>, data: &str) -> Result<Option<CallerItem>> {
    if data == "[DONE]" {
        return Ok(Some(CallerItem::Done));
    }
    let value: Value = serde_json::from_str(data).map_err(|error| stream_error(&error))?;
    if value.get("error").is_some() {
        return serde_json::from_value(value)
            .map(|body| Some(CallerItem::Failed(body)))
            .map_err(|error| stream_error(&error));
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

fn stream_error(detail: &dyn std::fmt::Display) -> Error {
    Error::new(ErrorKind::OutcomeUnknown, format!("the response of the host is incomplete or invalid: {detail}"))
}
