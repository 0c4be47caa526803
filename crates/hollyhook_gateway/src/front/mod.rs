//! Servers for callers, for the platform's balancer and for metrics scrapers.

mod admission;
mod body_reader;
mod caller_request;
mod front_server;
mod idle_watch;
mod readiness;
mod request_handler;
mod response_body;
mod status_server;
mod unwritten_responses;

pub(crate) use caller_request::CallerRequest;
pub(crate) use front_server::{ACCEPT_PAUSE, serve_callers};
pub(crate) use readiness::{log_readiness, readiness_response};
pub(crate) use response_body::{ResponseBody, error_response, full_body};
pub(crate) use status_server::{metrics_response, serve_status};
