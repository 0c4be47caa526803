//! What the HTTP library says of a body whose connection is given up: an error, never its end.

use std::io::{Read, Write};
use std::net::TcpListener;

use async_io::Async;
use async_std::task;
use bytes::Bytes;
use futures::future::abortable;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use smol_hyper::rt::FuturesIo;

/// Sends a request that is answered with this head and the first bytes of a body, drops the task that drives the
/// connection, and returns whether the body then ends in an error.
fn is_error_after_drop(head: &'static str) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _read = stream.read(&mut [0; 1_024]).unwrap();
        stream.write_all(format!("HTTP/1.1 200 OK\r\n{head}\r\n1\r\na\r\n").as_bytes()).unwrap();
        // Keeps the connection open until the peer has gone.
        let _read = stream.read(&mut [0; 1]);
    });
    task::block_on(async {
        let stream = Async::<std::net::TcpStream>::connect(address).await.unwrap();
        let (mut sender, connection) = http1::handshake(FuturesIo::new(stream)).await.unwrap();
        let (driver, handle) = abortable(connection);
        task::spawn(driver);
        let request = hyper::Request::get("/").header("host", "a").body(Full::<Bytes>::default()).unwrap();
        let mut body = sender.send_request(request).await.unwrap().into_body();
        body.frame().await.unwrap().unwrap();
        handle.abort();
        body.frame().await.is_some_and(|frame| frame.is_err())
    })
}

#[test]
fn chunked_body_of_dropped_connection_fails() {
    assert!(is_error_after_drop("transfer-encoding: chunked\r\n"));
}

#[test]
fn body_without_length_of_dropped_connection_fails() {
    assert!(is_error_after_drop(""));
}
