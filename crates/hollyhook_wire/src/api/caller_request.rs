use hollyhook_core::{Error, ErrorKind, Name, Result};
use serde_json::{Map, Value};
use sha2::{Digest, Sha256};

/// The maximum number of output tokens of a request that does not set one.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// Fields of a body that its digest does not cover: they do not change the answer, or are covered in another form.
const UNCOVERED_FIELDS: [&str; 5] = ["stream", "stream_options", "user", "max_tokens", "max_completion_tokens"];

/// Which of the API's two generation calls a request uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ApiStyle {
    /// `/v1/completions`, whose requests have a `prompt`.
    Completion,
    /// `/v1/chat/completions`, whose requests have `messages`.
    Chat,
}

impl ApiStyle {
    /// The URL path of the call.
    pub const fn path(self) -> &'static str {
        match self {
            Self::Completion => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }
}

/// The limits that a model sets on its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// The model's context length: the maximum number of prompt and output tokens together.
    pub context_tokens: u64,
}

/// A validated generation request.
///
/// Endpoints receive the body's fields as the caller sent them; `EngineClient::open` changes those that concern
/// streaming and adds its own.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerRequest {
    /// The API call.
    pub style: ApiStyle,
    /// The model's name.
    pub model: Name,
    /// Whether the caller requested a stream.
    pub is_stream: bool,
    /// Whether the stream is to end with the token usage.
    pub has_usage: bool,
    /// The maximum number of output tokens.
    pub max_tokens: u64,
    /// The prompt, or all messages with their roles, as one text.
    pub prompt: String,
    /// The API's `user` field: a label for reports, such as a franchise or a clerk.
    pub user: Option<Name>,
    /// The body as received.
    pub body: Map<String, Value>,
}

impl CallerRequest {
    /// Parses and validates a body.
    ///
    /// # Errors
    ///
    /// `InvalidJson` or `InvalidRequest`, with the field that is invalid and what it must be.
    pub fn parse(style: ApiStyle, bytes: &[u8]) -> Result<Self> {
        let body: Value = serde_json::from_slice(bytes).map_err(|error| {
            Error::new(ErrorKind::InvalidJson, format!("the body is not JSON: {error}")).param("body")
        })?;
        let Value::Object(body) = body else {
            return Err(invalid("body", "the body must be a JSON object"));
        };
        let reader = FieldReader { body: &body };
        reader.reject_unsupported()?;
        let max_tokens = match reader.count("max_completion_tokens")? {
            Some(number) => number,
            None => reader.count("max_tokens")?.unwrap_or(DEFAULT_MAX_TOKENS),
        };
        if max_tokens == 0 {
            return Err(invalid("max_tokens", "`max_tokens` must be at least 1"));
        }
        Ok(Self {
            style,
            model: reader.text("model")?.ok_or_else(|| invalid("model", "`model` is missing: give a string"))?.into(),
            is_stream: reader.flag("stream")?,
            has_usage: reader.has_usage()?,
            max_tokens,
            prompt: match style {
                ApiStyle::Completion => reader.prompt()?,
                ApiStyle::Chat => reader.messages()?,
            },
            user: reader.text("user")?.map(Name::from),
            body,
        })
    }

    /// The estimated number of prompt tokens: the number of words, which is how the endpoints of this system count
    /// tokens.
    ///
    /// It serves to reject requests early; the endpoint's own check decides.
    pub fn prompt_tokens(&self) -> u64 {
        self.prompt.split_whitespace().count() as u64
    }

    /// Checks the request against its model's limits.
    ///
    /// # Errors
    ///
    /// `ContextTooLong` if the prompt and the maximum output exceed the context length.
    pub fn check(&self, limits: RequestLimits) -> Result<()> {
        let prompt = self.prompt_tokens();
        if prompt + self.max_tokens <= limits.context_tokens {
            return Ok(());
        }
        let message = format!(
            "the prompt has {prompt} tokens and asks for {} more, but the model `{}` has a context of {}; shorten the \
             prompt or lower `max_tokens`",
            self.max_tokens, self.model, limits.context_tokens
        );
        Err(Error::new(ErrorKind::ContextTooLong, message).param("max_tokens"))
    }

    /// A digest of all that can change the answer: the call and every field of the body, other than those that decide
    /// only how the answer is sent or labelled.
    ///
    /// It ties a cursor or an idempotency key to its request, so that neither can be used with a request that has
    /// another answer.
    pub fn digest(&self) -> u64 {
        let is_covered =
            |(name, value): &(&String, &Value)| !value.is_null() && !UNCOVERED_FIELDS.contains(&name.as_str());
        let mut hash = Sha256::new();
        hash.update(self.style.path());
        hash.update(self.max_tokens.to_be_bytes());
        for (name, value) in self.body.iter().filter(is_covered) {
            let field = format!("{}:{value}\n", Value::from(name.as_str()));
            hash.update(field);
        }
        first_bits(hash)
    }

    /// Whether a digest, as a cursor holds it, is of this request.
    ///
    /// Cursors of the version before, whose digest covered the call, the model, the maximum number of output tokens and
    /// the prompt, stay valid until they are too old.
    pub fn has_digest(&self, digest: u64) -> bool {
        digest == self.digest() || digest == self.earlier_digest()
    }

    fn earlier_digest(&self) -> u64 {
        let mut hash = Sha256::new();
        hash.update(self.style.path());
        hash.update(&*self.model);
        hash.update(self.max_tokens.to_be_bytes());
        hash.update(&self.prompt);
        first_bits(hash)
    }
}

fn first_bits(hash: Sha256) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.finalize()[..8]);
    u64::from_be_bytes(bytes)
}

/// Reads typed fields of a JSON object; a null field counts as absent.
struct FieldReader<'a> {
    body: &'a Map<String, Value>,
}

impl FieldReader<'_> {
    fn get(&self, name: &str) -> Option<&Value> {
        self.body.get(name).filter(|value| !value.is_null())
    }

    fn text(&self, name: &str) -> Result<Option<&str>> {
        let is_text = |value: &'_ Value| value.as_str().is_some();
        match self.get(name) {
            None => Ok(None),
            Some(value) if is_text(value) => Ok(value.as_str()),
            Some(_) => Err(invalid(name, &format!("`{name}` must be a string"))),
        }
    }

    fn flag(&self, name: &str) -> Result<bool> {
        match self.get(name) {
            None => Ok(false),
            Some(Value::Bool(flag)) => Ok(*flag),
            Some(_) => Err(invalid(name, &format!("`{name}` must be true or false"))),
        }
    }

    fn count(&self, name: &str) -> Result<Option<u64>> {
        match self.get(name) {
            None => Ok(None),
            Some(value) => {
                let not_a_count = || invalid(name, &format!("`{name}` must be a whole number, not negative"));
                value.as_u64().map(Some).ok_or_else(not_a_count)
            }
        }
    }

    fn has_usage(&self) -> Result<bool> {
        match self.get("stream_options") {
            None => Ok(false),
            Some(Value::Object(options)) => FieldReader { body: options }.flag("include_usage"),
            Some(_) => Err(invalid("stream_options", "`stream_options` must be an object")),
        }
    }

    /// Rejects options that a single resumable stream of tokens can't satisfy, rather than ignoring them.
    fn reject_unsupported(&self) -> Result<()> {
        for name in ["n", "best_of"] {
            if self.count(name)?.is_some_and(|number| number != 1) {
                return Err(invalid(name, &format!("`{name}` must be 1: a request is one generation")));
            }
        }
        for name in ["logprobs", "echo", "suffix", "tools", "functions"] {
            let is_set = match self.get(name) {
                None | Some(Value::Bool(false)) => false,
                Some(Value::Array(items)) => !items.is_empty(),
                Some(_) => true,
            };
            if is_set {
                return Err(invalid(name, &format!("`{name}` is not supported; leave it out")));
            }
        }
        Ok(())
    }

    fn prompt(&self) -> Result<String> {
        let prompt = self.text("prompt")?.ok_or_else(|| invalid("prompt", "`prompt` is missing: give a string"))?;
        Ok(prompt.to_owned())
    }

    fn messages(&self) -> Result<String> {
        let invalid_messages = |message: &str| invalid("messages", message);
        let Some(Value::Array(messages)) = self.get("messages") else {
            return Err(invalid_messages("`messages` is missing: give an array of objects with `role` and `content`"));
        };
        if messages.is_empty() {
            return Err(invalid_messages("`messages` must not be empty"));
        }
        let mut text = String::new();
        for message in messages {
            let role = message.get("role").and_then(Value::as_str);
            let role = role.ok_or_else(|| invalid_messages("each message needs a `role` string"))?;
            let content = message.get("content").ok_or_else(|| invalid_messages("each message needs `content`"))?;
            text.push_str(role);
            text.push_str(": ");
            text.push_str(
                &content_text(content).ok_or_else(|| invalid_messages("`content` must be a string or text parts"))?,
            );
            text.push('\n');
        }
        Ok(text)
    }
}

/// The text of a message's content, or `None` if the content has another form than a string or text parts.
fn content_text(content: &Value) -> Option<String> {
    match content {
        Value::String(text) => Some(text.clone()),
        Value::Array(parts) => parts.iter().map(|part| part.get("text").and_then(Value::as_str)).collect(),
        _ => None,
    }
}

fn invalid(param: &str, message: &str) -> Error {
    Error::new(ErrorKind::InvalidRequest, message).param(param)
}
