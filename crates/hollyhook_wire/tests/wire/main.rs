//! Tests of the HTTP server over real sockets, and of the API's messages.

mod head_limits;
mod request_digests;
mod slow_callers;
