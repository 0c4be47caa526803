use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

use async_std::task::block_on;
use hollyhook_wire::CallerClient;
use http_types::Method;
use serde_json::{Value, json};

use crate::fleet::{Fleet, FleetConfig, KEY, MODEL, StreamReader, assert_complete};

/// Sends bytes unchanged, closes the sending side if `is_closing`, and reads the answer to its end.
fn send_raw(address: SocketAddr, bytes: &[u8], is_closing: bool) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(bytes).unwrap();
    if is_closing {
        stream.shutdown(Shutdown::Write).unwrap();
    }
    let mut answer = Vec::new();
    let _reset = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

#[track_caller]
fn assert_refused(answer: &str, status: u16, code: &str) {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or_else(|| panic!("no answer: {answer:?}"));
    assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
    let body: Value = serde_json::from_str(body).unwrap_or_else(|error| panic!("{error}: {body}"));
    assert_eq!(body["error"]["code"], code);
    assert!(body["error"]["message"].is_string() && body["error"]["type"].is_string());
}

fn post(path: &str, key: Option<&str>, body: &str) -> Vec<u8> {
    let auth = key.map(|key| format!("authorization: Bearer {key}\r\n")).unwrap_or_default();
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: h\r\n{auth}connection: close\r\ncontent-length: {length}\r\n\r\n{body}")
        .into()
}

#[test]
fn bad_input_refused_without_effect_on_another_stream() {
    let fleet =
        Fleet::start(&FleetConfig { limit_lines: "read_timeout = 300 ms\nbody = 8 KiB", ..FleetConfig::default() });
    let address = fleet.daemons[0].address;
    let path = "/v1/completions";
    let other_stream = std::thread::spawn({
        let client = fleet.client(0);
        move || {
            block_on(async {
                let mut reader = StreamReader::open(&client, "a report meanwhile", 150, &[]).await;
                reader.read_all().await;
                assert_complete("a report meanwhile", &reader.tokens, 150);
            });
        }
    });
    let valid = json!({"model": MODEL, "prompt": "x", "max_tokens": 1}).to_string();
    let cases: [(Vec<u8>, u16, &str); 16] = [
        (post(path, Some(KEY), "{not json"), 400, "invalid_json"),
        (post(path, Some(KEY), "[]"), 400, "invalid_request"),
        (post(path, None, &valid), 401, "missing_api_key"),
        (post(path, Some("hh-nobody"), &valid), 401, "invalid_api_key"),
        (post(path, Some(KEY), &valid.replace(MODEL, "tutr")), 404, "model_not_found"),
        (post(path, Some(KEY), &valid.replace('1', "5000")), 400, "context_length_exceeded"),
        (post(path, Some(KEY), &valid.replace('1', "0")), 400, "invalid_request"),
        (post(path, Some(KEY), &format!("{{\"prompt\":\"{}\"}}", "x".repeat(9_000))), 413, "body_too_large"),
        (post("/nowhere", Some(KEY), ""), 404, "unknown_path"),
        (post("/v1/models", Some(KEY), ""), 405, "wrong_method"),
        (b"no http at all\r\n\r\n".to_vec(), 400, "malformed_head"),
        (b"GET / HTTP/1.1\r\n\r\n".to_vec(), 400, "malformed_head"),
        (format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(20_000)).into(), 431, "head_too_large"),
        (format!("GET / HTTP/1.1\r\nhost: h\r\n{}\r\n", "a: b\r\n".repeat(200)).into(), 431, "head_too_large"),
        (b"POST /v1/completions HTTP/1.1\r\nhost: h\r\ncont".to_vec(), 408, "request_timeout"),
        (
            b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\n".to_vec(),
            400,
            "malformed_head",
        ),
    ];
    for (bytes, status, code) in &cases {
        assert_refused(&send_raw(address, bytes, false), *status, code);
    }
    let half = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {KEY}\r\nconnection: close\r\n\
         content-length: 100\r\n\r\n{{\"model\""
    );
    assert_refused(&send_raw(address, half.as_bytes(), false), 408, "request_timeout");
    other_stream.join().unwrap();
}

#[test]
fn unsupported_fields_refused() {
    let fleet = Fleet::start(&FleetConfig::default());
    block_on(async {
        for (name, value) in [("n", json!(2)), ("tools", json!([{}])), ("logprobs", json!(true)), ("stream", json!(1))]
        {
            let mut body = json!({"model": MODEL, "messages": [{"role": "user", "content": "x"}]});
            body[name] = value;
            let answer = fleet.client(0).call(Method::Post, "/v1/chat/completions", Some(&body), &[]).await.unwrap();
            assert_eq!((answer.status, answer.value["error"]["param"].as_str()), (400, Some(name)));
        }
    });
}

#[test]
fn models_listed() {
    let fleet = Fleet::start(&FleetConfig::default());
    block_on(async {
        let answer = fleet.client(0).call(Method::Get, "/v1/models", None, &[]).await.unwrap();
        assert_eq!(answer.value["data"][0]["id"], MODEL);
        let nobody = CallerClient::new(fleet.daemons[0].address, "hh-nobody");
        assert_eq!(nobody.call(Method::Get, "/v1/models", None, &[]).await.unwrap().status, 401);
    });
}
