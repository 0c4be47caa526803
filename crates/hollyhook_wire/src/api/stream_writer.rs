use std::fmt::Write as _;

use hollyhook_core::{EndReason, Error, GenerationId, Name};
use serde::Serialize;

use super::{ApiErrorBody, ApiStyle, EngineUsage};

/// Writes the events of one caller's stream.
///
/// The unchanging parts are rendered once; each token costs one escape of its text.
#[derive(Debug)]
pub struct StreamWriter {
    style: ApiStyle,
    head: String,
}

impl StreamWriter {
    /// A writer for one generation; `created` is in Unix seconds.
    pub fn new(style: ApiStyle, generation: GenerationId, model: &Name, created: u64) -> Self {
        let (prefix, object) = match style {
            ApiStyle::Completion => ("cmpl", "text_completion"),
            ApiStyle::Chat => ("chatcmpl", "chat.completion.chunk"),
        };
        let model = quoted(model);
        let head =
            format!(r#"data: {{"id":"{prefix}-{generation}","object":"{object}","created":{created},"model":{model},"#);
        Self { style, head }
    }

    /// The event before the first token, which the chat style has.
    pub fn role(&self) -> Option<String> {
        let choice = r#"{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}"#;
        (self.style == ApiStyle::Chat).then(|| format!("{}\"choices\":[{choice}]}}\n\n", self.head))
    }

    /// The event of a token, with the cursor behind it.
    pub fn token(&self, text: &str, cursor: &str) -> String {
        let mut event = String::with_capacity(self.head.len() + cursor.len() + text.len() + 96);
        event.push_str("id: ");
        event.push_str(cursor);
        event.push('\n');
        event.push_str(&self.head);
        match self.style {
            ApiStyle::Completion => {
                event.push_str(r#""choices":[{"index":0,"text":"#);
                event.push_str(&quoted(text));
                event.push_str(r#","logprobs":null,"finish_reason":null}]}"#);
            }
            ApiStyle::Chat => {
                event.push_str(r#""choices":[{"index":0,"delta":{"content":"#);
                event.push_str(&quoted(text));
                event.push_str(r#"},"finish_reason":null}]}"#);
            }
        }
        event.push_str("\n\n");
        event
    }

    /// The end of a whole generation, with the usage if it was asked for.
    pub fn end(&self, reason: EndReason, usage: Option<EngineUsage>) -> String {
        let choice = match self.style {
            ApiStyle::Completion => format!(r#"{{"index":0,"text":"","logprobs":null,"finish_reason":"{reason}"}}"#),
            ApiStyle::Chat => format!(r#"{{"index":0,"delta":{{}},"finish_reason":"{reason}"}}"#),
        };
        let mut events = format!("{}\"choices\":[{choice}]}}\n\n", self.head);
        if let Some(usage) = usage {
            let _infallible = write!(
                events,
                "{}\"choices\":[],\"usage\":{{\"prompt_tokens\":{},\"completion_tokens\":{},\"total_tokens\":{}}}}}\n\n",
                self.head, usage.prompt_tokens, usage.completion_tokens, usage.total_tokens
            );
        }
        events.push_str("data: [DONE]\n\n");
        events
    }

    /// The truthful end of a generation that could not be made whole; no `[DONE]` follows.
    pub fn failure(error: &Error) -> String {
        format!("data: {}\n\n", ApiErrorBody::from(error).to_json())
    }
}

/// The whole answer of a request that does not stream.
#[derive(Debug)]
pub struct CompletionResponse<'a> {
    /// The call.
    pub style: ApiStyle,
    /// The generation.
    pub generation: GenerationId,
    /// The model's name.
    pub model: &'a str,
    /// Unix seconds.
    pub created: u64,
    /// The text.
    pub text: &'a str,
    /// Why the engine ended.
    pub reason: EndReason,
    /// The usage.
    pub usage: EngineUsage,
}

impl CompletionResponse<'_> {
    /// The answer as JSON text.
    ///
    /// # Panics
    ///
    /// Never: the object has nothing that JSON can't hold.
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
        serde_json::to_string(&body).expect("an answer is JSON")
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

fn quoted(text: &str) -> String {
    serde_json::to_string(text).expect("a string is JSON")
}
