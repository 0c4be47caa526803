use std::fmt::Write as _;

use hollyhook_core::{EndReason, Error, GenerationId, Name};
use serde::Serialize;

use super::{ApiErrorBody, ApiStyle, EngineUsage};

/// Renders the server-sent events of one caller's stream.
///
/// The part that all events share is rendered once; each token then costs only the escaping of its text.
#[derive(Debug)]
pub struct StreamWriter {
    style: ApiStyle,
    event_prefix: String,
}

impl StreamWriter {
    /// Creates a writer for one generation; `created` is in Unix seconds.
    pub fn new(style: ApiStyle, generation: GenerationId, model: &Name, created: u64) -> Self {
        let (prefix, object) = match style {
            ApiStyle::Completion => ("cmpl", "text_completion"),
            ApiStyle::Chat => ("chatcmpl", "chat.completion.chunk"),
        };
        let model = json_string(model);
        let event_prefix =
            format!(r#"data: {{"id":"{prefix}-{generation}","object":"{object}","created":{created},"model":{model},"#);
        Self { style, event_prefix }
    }

    /// The event with the role that precedes the first token; only the chat style has one.
    pub fn role(&self) -> Option<String> {
        let choice = r#"{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}"#;
        (self.style == ApiStyle::Chat).then(|| format!("{}\"choices\":[{choice}]}}\n\n", self.event_prefix))
    }

    /// The event of a token; its `id` is the cursor that resumes the stream after this token.
    pub fn token(&self, text: &str, cursor: &str) -> String {
        let mut event = String::with_capacity(self.event_prefix.len() + cursor.len() + text.len() + 96);
        event.push_str("id: ");
        event.push_str(cursor);
        event.push('\n');
        event.push_str(&self.event_prefix);
        match self.style {
            ApiStyle::Completion => {
                event.push_str(r#""choices":[{"index":0,"text":"#);
                event.push_str(&json_string(text));
                event.push_str(r#","logprobs":null,"finish_reason":null}]}"#);
            }
            ApiStyle::Chat => {
                event.push_str(r#""choices":[{"index":0,"delta":{"content":"#);
                event.push_str(&json_string(text));
                event.push_str(r#"},"finish_reason":null}]}"#);
            }
        }
        event.push_str("\n\n");
        event
    }

    /// The events that end a complete generation: the finish reason, the usage if given, and `[DONE]`.
    pub fn end(&self, reason: EndReason, usage: Option<EngineUsage>) -> String {
        let choice = match self.style {
            ApiStyle::Completion => format!(r#"{{"index":0,"text":"","logprobs":null,"finish_reason":"{reason}"}}"#),
            ApiStyle::Chat => format!(r#"{{"index":0,"delta":{{}},"finish_reason":"{reason}"}}"#),
        };
        let mut events = format!("{}\"choices\":[{choice}]}}\n\n", self.event_prefix);
        if let Some(usage) = usage {
            let _infallible = write!(
                events,
                "{}\"choices\":[],\"usage\":{{\"prompt_tokens\":{},\"completion_tokens\":{},\"total_tokens\":{}}}}}\n\n",
                self.event_prefix, usage.prompt_tokens, usage.completion_tokens, usage.total_tokens
            );
        }
        events.push_str("data: [DONE]\n\n");
        events
    }

    /// The error event that ends a generation that could not be completed; no `[DONE]` follows.
    pub fn failure(error: &Error) -> String {
        format!("data: {}\n\n", ApiErrorBody::from(error).to_json())
    }
}

/// The response to a generation request that does not stream.
#[derive(Debug)]
pub struct CompletionResponse<'a> {
    /// The API call.
    pub style: ApiStyle,
    /// The generation.
    pub generation: GenerationId,
    /// The model's name.
    pub model: &'a str,
    /// The creation time in Unix seconds.
    pub created: u64,
    /// The generated text.
    pub text: &'a str,
    /// Why the generation ended.
    pub reason: EndReason,
    /// The token usage.
    pub usage: EngineUsage,
}

impl CompletionResponse<'_> {
    /// The response body as JSON text.
    ///
    /// # Panics
    ///
    /// Never: every field can be represented in JSON.
    pub fn to_json(&self) -> String {
        let (prefix, object) = match self.style {
            ApiStyle::Completion => ("cmpl", "text_completion"),
            ApiStyle::Chat => ("chatcmpl", "chat.completion"),
        };
        let (text, message) = match self.style {
            ApiStyle::Completion => (Some(self.text), None),
            ApiStyle::Chat => (None, Some(AnswerMessage { role: "assistant", content: self.text })),
        };
        let choice = AnswerChoice { index: 0, text, message, logprobs: None, finish_reason: self.reason };
        let body = AnswerBody {
            id: format!("{prefix}-{}", self.generation),
            object,
            created: self.created,
            model: self.model,
            choices: [choice],
            usage: self.usage,
        };
        serde_json::to_string(&body).expect("a completion should serialize to JSON")
    }
}

#[derive(Serialize)]
struct AnswerBody<'a> {
    id: String,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [AnswerChoice<'a>; 1],
    usage: EngineUsage,
}

#[derive(Serialize)]
struct AnswerChoice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<AnswerMessage<'a>>,
    logprobs: Option<()>,
    finish_reason: EndReason,
}

#[derive(Serialize)]
struct AnswerMessage<'a> {
    role: &'static str,
    content: &'a str,
}

fn json_string(text: &str) -> String {
    serde_json::to_string(text).expect("a string should serialize to JSON")
}
