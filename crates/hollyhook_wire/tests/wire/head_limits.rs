//! The limit on the size of a request's head.

use std::io::{Read, Write};
use std::net::TcpStream;

use async_std::task;
use hollyhook_wire::{HttpServer, ServerLimits};
use http_types::{Response, StatusCode};

const HEAD_BYTES: usize = 200;

/// Sends a request whose head has `bytes` bytes, in one write, and returns the first line of the answer.
fn send_head(bytes: usize) -> String {
    let server = HttpServer::bind("127.0.0.1:0".parse().unwrap(), ServerLimits::default().head_bytes(HEAD_BYTES));
    let server = server.unwrap();
    let address = server.address();
    task::spawn(server.run(|_request| async { Ok(Response::new(StatusCode::Ok)) }));
    let rest = "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx: \r\n\r\n".len();
    let head = format!("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx: {}\r\n\r\n", "y".repeat(bytes - rest));
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(head.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer.lines().next().unwrap_or_default().to_owned()
}

#[test]
fn head_within_limit_accepted() {
    assert!(send_head(HEAD_BYTES).starts_with("HTTP/1.1 200"));
}

/// A head that arrives whole in the read that passes the limit is refused like one that arrives in parts.
#[test]
fn head_over_limit_in_one_read_refused() {
    assert!(send_head(HEAD_BYTES + 1).starts_with("HTTP/1.1 431"));
}
