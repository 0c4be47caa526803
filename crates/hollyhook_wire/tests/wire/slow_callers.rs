//! Callers that read slowly, and callers that do not read.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_std::task;
use hollyhook_wire::{HttpServer, ServerLimits};
use http_types::{Response, StatusCode};
use socket2::{Domain, Protocol, Socket, Type};

/// Far more than all socket buffers between the server and a caller hold.
const BODY_BYTES: usize = 12 << 20;
const READ_BYTES: usize = 64 << 10;
/// Pause between two reads of a slow caller; all reads together take several times the write timeout.
const READ_PAUSE: Duration = Duration::from_millis(20);
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts a server that answers each request with a body of [`BODY_BYTES`].
fn start_server() -> SocketAddr {
    let limits = ServerLimits::default().write_timeout(WRITE_TIMEOUT);
    let server = HttpServer::bind("127.0.0.1:0".parse().unwrap(), limits).unwrap();
    let address = server.address();
    task::spawn(server.run(|_request| async {
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(vec![b'x'; BODY_BYTES]);
        Ok(response)
    }));
    address
}

/// Sends a request on a connection with a small receive buffer, and reads the head of the response.
fn request_body(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP)).unwrap();
    socket.set_recv_buffer_size(READ_BYTES).unwrap();
    socket.connect(&address.into()).unwrap();
    let mut stream: TcpStream = socket.into();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n").unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        head.extend(byte);
    }
    stream
}

/// A body whose writes block again and again arrives whole if each write goes through within the write timeout.
#[test]
fn slow_steady_caller_gets_whole_body() {
    let mut stream = request_body(start_server());
    let mut buffer = vec![0; READ_BYTES];
    let mut received = 0;
    while received < BODY_BYTES {
        std::thread::sleep(READ_PAUSE);
        let count = stream.read(&mut buffer).unwrap_or(0);
        assert!(count > 0, "the body ended after {received} of {BODY_BYTES} bytes");
        received += count;
    }
}

/// A caller that does not read at all is given up, so that its connection is not held forever.
#[test]
fn caller_without_reads_given_up() {
    let mut stream = request_body(start_server());
    std::thread::sleep(WRITE_TIMEOUT * 3);
    let mut rest = Vec::new();
    let _reset = stream.read_to_end(&mut rest);
    assert!(rest.len() < BODY_BYTES, "the whole body arrived");
}
