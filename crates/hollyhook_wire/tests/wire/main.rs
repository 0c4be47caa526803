//! Tests of the HTTP server over real sockets, and of the API's messages.

mod request_digests;
mod slow_callers;
