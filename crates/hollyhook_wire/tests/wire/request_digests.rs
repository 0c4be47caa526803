//! The digest that ties cursors and idempotency keys to their request.

use hollyhook_wire::{ApiStyle, CallerRequest};
use serde_json::{Value, json};

fn parse(fields: &Value) -> CallerRequest {
    let mut body = json!({"model": "m", "prompt": "a b", "max_tokens": 9, "temperature": 0.5});
    body.as_object_mut().unwrap().extend(fields.as_object().unwrap().clone());
    CallerRequest::parse(ApiStyle::Completion, body.to_string().as_bytes()).unwrap()
}

fn digest(fields: &Value) -> u64 {
    parse(fields).digest()
}

/// A cursor or key of one request must not be accepted with another that has another answer.
#[test]
fn digest_differs_with_answer() {
    let plain = digest(&json!({}));
    for fields in [
        json!({"temperature": 0.7}),
        json!({"temperature": null}),
        json!({"seed": 1}),
        json!({"top_p": 0.9}),
        json!({"stop": ["x"]}),
        json!({"max_tokens": 8}),
        json!({"prompt": "a  b"}),
        json!({"model": "n"}),
        json!({"response_format": {"type": "json_object"}}),
    ] {
        assert_ne!(digest(&fields), plain, "{fields}");
    }
}

/// What decides only how the answer is sent or labelled may change between a request and its repeat.
#[test]
fn digest_same_for_same_answer() {
    let plain = digest(&json!({}));
    for fields in [
        json!({"stream": true}),
        json!({"stream": true, "stream_options": {"include_usage": true}}),
        json!({"user": "clerk-7"}),
        json!({"seed": null}),
        json!({"max_tokens": null, "max_completion_tokens": 9}),
    ] {
        assert_eq!(digest(&fields), plain, "{fields}");
    }
}

#[test]
fn digest_of_chat_differs_by_message() {
    let digest = |role: &str, content: &Value| {
        let body = json!({"model": "m", "messages": [{"role": role, "content": content}]});
        CallerRequest::parse(ApiStyle::Chat, body.to_string().as_bytes()).unwrap().digest()
    };
    assert_ne!(digest("user", &json!("a")), digest("system", &json!("a")));
    assert_ne!(digest("user", &json!("a")), digest("user", &json!("b")));
}

/// Cursors that the version before sealed stay valid until they are too old.
#[test]
fn digest_of_earlier_version_kept() {
    let request = parse(&json!({}));
    assert!(request.has_digest(request.digest()));
    assert!(request.has_digest(EARLIER_DIGEST));
    assert!(!parse(&json!({"prompt": "a c"})).has_digest(EARLIER_DIGEST));
}

/// The digest of the plain request by the version that covered path, model, number of tokens and prompt only.
const EARLIER_DIGEST: u64 = 0xf4be_560a_4e07_49e5;
